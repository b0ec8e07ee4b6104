Feature: crashingtasks

  Some tasks crash each executor that starts them; another incarnation of the executor is there some
  seconds later. Virtual time. Guards against tasks that are started without end and keep executors
  from all other work, and against jobs that are given up for crashes that none of their tasks caused.

  # A run lost with its executor counted against nothing, so a deadly task was started again without end.
  Scenario Outline: crashingtasks give up a deadly task among ordinary ones when crashed executors <form>
    Given a world of crashing tasks with 2 entries and 6 hosts
    And its crashed executors <form>
    When 8 ordinary jobs of 6 tasks are submitted
    And a job of 4 tasks is submitted of which 1 are deadly
    And 4 ordinary jobs of 6 tasks are submitted
    Then each deadly task has crashed at most 3 executors
    And the jobs with deadly tasks are failed within 60 seconds
    And all ordinary jobs are completed within 90 seconds
    And the world of crashing tasks has no violation

    Examples:
      | form               |
      | refuse connections |
      | answer nothing     |

  # Each of many deadly tasks of a job crashed as many executors as a single one.
  Scenario: crashingtasks give up a job of which all tasks are deadly
    Given a world of crashing tasks with 2 entries and 6 hosts
    And its crashed executors do either
    When a job of 6 tasks is submitted of which 6 are deadly
    Then deadly tasks have crashed at most 8 executors in all
    And the jobs with deadly tasks are failed within 60 seconds
    And the world of crashing tasks has no violation

  # Tasks beside a deadly one lost their runs each time, and could be taken for deadly themselves.
  Scenario: crashingtasks complete the jobs whose tasks run beside those of two deadly ones
    Given a world of crashing tasks with 2 entries and 6 hosts
    And its crashed executors do either
    When 10 ordinary jobs of 4 tasks of 5 seconds are at work
    And 2 jobs of 2 tasks are submitted of which 1 each are deadly
    Then all ordinary jobs are completed within 120 seconds
    And the jobs with deadly tasks are failed within 60 seconds
    And no task was started more than 2 times after it had crashed 3 executors
    And the world of crashing tasks has no violation

  # Executors that lose power crash under all their tasks, and none of these is to blame.
  Scenario: crashingtasks give up no job when all executors lose power three times in a row
    Given a world of crashing tasks with 2 entries and 6 hosts
    And its crashed executors do either
    When 10 ordinary jobs of 4 tasks of 8 seconds are at work
    And all executors crash at once 3 times, 8 seconds apart
    Then no job is shown as failed
    And all ordinary jobs are completed within 120 seconds
    And the world of crashing tasks has no violation

  # A task that is unlucky more than once is not deadly.
  Scenario: crashingtasks give up no job when executors crash one after another
    Given a world of crashing tasks with 2 entries and 6 hosts
    And its crashed executors do either
    When 6 ordinary jobs of 2 tasks of 8 seconds are at work
    And executors crash one after another 18 times, 2 seconds apart
    Then no job is shown as failed
    And all ordinary jobs are completed within 120 seconds
    And the world of crashing tasks has no violation

  # A count of crashes kept only in the memory of a scheduler, or lost with a write, begins anew.
  Scenario Outline: crashingtasks keep the count of crashes when <event> after crash 2
    Given a world of crashing tasks with 3 entries and 6 hosts
    And its crashed executors do either
    When 8 ordinary jobs of 6 tasks are submitted
    And a job of 4 tasks is submitted of which 1 are deadly
    And <event> after crash 2
    Then each deadly task has crashed at most 3 executors
    And the jobs with deadly tasks are failed within 90 seconds
    And all ordinary jobs are completed within 120 seconds
    And the world of crashing tasks has no violation

    Examples:
      | event                                                     |
      | the scheduler is killed                                   |
      | the scheduler is killed 4 seconds                         |
      | the store is away for some seconds                        |
      | the scheduler is killed and the store away for some seconds |

  # A run that an earlier scheduler had ordered after the pause did not count as apart, so that no crash was enough.
  Scenario: crashingtasks give up a deadly task when the scheduler is killed after the third crash
    Given a world of crashing tasks with 3 entries and 6 hosts
    And its crashed executors do either
    When 8 ordinary jobs of 6 tasks are submitted
    And a job of 4 tasks is submitted of which 1 are deadly
    And the scheduler is killed after crash 3
    Then each deadly task has crashed at most 3 executors
    And the jobs with deadly tasks are failed within 90 seconds
    And all ordinary jobs are completed within 120 seconds
    And the world of crashing tasks has no violation

  # A new scheduler took the crashes of before its term, reported again, for crashes of the host by itself.
  Scenario: crashingtasks keep what a task is suspected of on one host when the scheduler changes
    Given a world of crashing tasks with 3 entries and 1 hosts
    When a job of 1 tasks is submitted of which 1 are deadly
    And the scheduler is killed 4 seconds after crash 2
    Then each deadly task has crashed at most 3 executors
    And the jobs with deadly tasks are failed within 60 seconds
    And the world of crashing tasks has no violation

  # A copy was ordered while the crash of the first run was not reported yet, and crashed a second executor.
  Scenario: crashingtasks start no copy of a task whose run may have crashed its executor
    Given a world of crashing tasks with 2 entries and 6 hosts
    And its crashed executors do either
    When a speculative step with a deadly task is submitted
    Then no deadly task was started while an executor that it had crashed was down
    And each deadly task has crashed at most 3 executors
    And the world of crashing tasks has no violation

  # Fillers, gangs, long-running tasks and copies are started in ways of their own.
  Scenario Outline: crashingtasks start a deadly task of a <kind> step at most twice after 3 crashes
    Given a world of crashing tasks with 2 entries and 6 hosts
    And its crashed executors do either
    When 4 ordinary jobs of 6 tasks are submitted
    And a <kind> step with a deadly task is submitted
    Then no task was started more than 2 times after it had crashed 3 executors
    And all ordinary jobs are completed within 90 seconds
    And the world of crashing tasks has no violation

    Examples:
      | kind         |
      | filler       |
      | gang         |
      | long-running |
      | speculative  |

  # Failures were compared with the attempts only when a run failed that was the last one of its task.
  Scenario: crashingtasks start no task again that has failed as often as it may when its copy is lost
    Given a world of crashing tasks with 2 entries and 6 hosts
    And its crashed executors do either
    When a speculative task fails as often as it may, and then its copy is lost with the executor
    Then the job of the speculative task is failed within 10 seconds
    And the speculative task was not started again

  # A task that was seen at work before its executor crashed looked sound.
  Scenario: crashingtasks start a task that crashes executors after a while at most twice after 3 crashes
    Given a world of crashing tasks with 2 entries and 6 hosts
    And its crashed executors do either
    And its tasks take 3 seconds
    And its deadly tasks crash their executors after 1.5 seconds of work
    When 8 ordinary jobs of 6 tasks are submitted
    And a job of 4 tasks is submitted of which 1 are deadly
    Then no task was started more than 2 times after it had crashed 3 executors
    And all ordinary jobs are completed within 120 seconds
    And the world of crashing tasks has no violation

  # Gangs whose suspected members do not fit on one host waited for ever, and kept a host from all others.
  Scenario: crashingtasks complete a gang of more than one host when all executors lose power several times
    Given a world of crashing tasks with 2 entries and 6 hosts
    And its crashed executors do either
    When an ordinary gang of 12 tasks of 8 seconds is at work
    And all executors crash at once 3 times, 8 seconds apart
    Then no job is shown as failed
    And all ordinary jobs are completed within 90 seconds
    And the world of crashing tasks has no violation

  # A crash without a silence of its own was taken for part of an earlier loss of power.
  Scenario Outline: crashingtasks give up a deadly task when executors are back after <seconds> seconds
    Given a world of crashing tasks with 2 entries and 6 hosts
    And its crashed executors do either
    And executors of crashing tasks restart in <seconds> seconds
    When 10 ordinary jobs of 3 tasks of 8 seconds are at work
    And all executors crash at once 1 times, 8 seconds apart
    And a job of 4 tasks is submitted of which 1 are deadly
    Then no task was started more than 2 times after it had crashed 3 executors
    And the jobs with deadly tasks are failed within 90 seconds
    And all ordinary jobs are completed within 120 seconds
    And the world of crashing tasks has no violation

    Examples:
      | seconds |
      | 0.001   |
      | 10      |

  # A change of the scheduler at each crash could hide all of them.
  Scenario: crashingtasks give up a deadly task when the scheduler is killed at each crash
    Given a world of crashing tasks with 6 entries and 6 hosts
    And its crashed executors do either
    When 8 ordinary jobs of 6 tasks are submitted
    And a job of 4 tasks is submitted of which 1 are deadly
    And the scheduler is killed at each of 3 crashes
    Then no task was started more than 2 times after it had crashed 3 executors
    And all ordinary jobs are completed within 120 seconds
    And the world of crashing tasks has no violation

  # A suspected gang spread over the hosts, and each of its members crashed one of them.
  Scenario: crashingtasks start a deadly gang whose members crash all at most twice after 3 crashes
    Given a world of crashing tasks with 2 entries and 6 hosts
    And its crashed executors do either
    When 4 ordinary jobs of 6 tasks are submitted
    And a job of 12 gang members is submitted of which 12 are deadly
    Then no task was started more than 2 times after it had crashed 3 executors
    And deadly tasks have crashed at most 10 executors in all
    And the jobs with deadly tasks are failed within 60 seconds
    And all ordinary jobs are completed within 90 seconds
    And the world of crashing tasks has no violation

  # A last failure while the queue was not in the configuration did not end the job.
  Scenario: crashingtasks start no task again that failed as often as it may while its queue was missing
    Given a world of crashing tasks with 2 entries and 6 hosts
    And its crashed executors do either
    When a task fails as often as it may, the last time while its queue is missing for 3 seconds
    Then the job of the failing task is failed within 10 seconds
    And the failing task was started once for each attempt

  # A sick host crashed under a sound task three times, and the task's job was given up for it.
  Scenario: crashingtasks give up no job whose only host keeps crashing some time after each start
    Given a world of crashing tasks with 2 entries and 1 hosts
    And executors of crashing tasks restart in 1 seconds
    When 1 ordinary jobs of 1 tasks of 4 seconds are at work
    And executors crash one after another 6 times, 3 seconds apart
    Then no job is shown as failed
    And all ordinary jobs are completed within 40 seconds
    And the world of crashing tasks has no violation

  # Tasks that were at several crashes waited for a host of their own, up to 97 s beside idle ones.
  Scenario: crashingtasks leave no task waiting after many crashes that none of them caused
    Given a world of crashing tasks with 2 entries and 11 hosts
    And its crashed executors do either
    And executors of crashing tasks restart in 1 seconds
    When 40 ordinary jobs of 8 tasks of 4 seconds are at work
    And 3 executors crash together 30 times, 1.4 seconds apart
    Then no job is shown as failed
    And all ordinary jobs are completed within 56 seconds
    And the world of crashing tasks has no violation

  # One ordinary crash kept all tasks apart that had been there for some seconds, as few crashes make one improbable.
  Scenario Outline: crashingtasks suspect a task that ran for <seconds> s of <crashes> crashes or more
    When a task was there at one crash less than <crashes>, <seconds> s after its start, with a chance of 0.001
    Then the task of the crash history is not suspected
    When it was there at another crash
    Then the task of the crash history is suspected

    Examples:
      | seconds | crashes |
      | 0.01    | 1       |
      | 1.0     | 2       |
