Feature: replacements

  Executors, their agents and the entries are replaced or restarted in a planned way, in virtual
  time. Guards against long-running tasks that stay down although there is room for them: because
  nobody tells the scheduler that an executor has shut down, or because a planned change of the
  scheduler costs as much time as a crash.

  # The scheduler got no notice that the executor had shut down, and waited for the lease to expire.
  Scenario: replacements run a task again soon after its executor has shut down
    Given a world of replacements with 2 entries and 4 hosts
    And 6 long-running tasks at work
    When the executor of the host with most tasks shuts down without time to stop them
    Then no task of the replacements was down for longer than 1.5 seconds
    And no task of the replacements ran twice at the same time

  # The next scheduler never heard of an executor that had shut down before it was elected.
  Scenario: replacements tell the next scheduler of an executor that shut down before
    Given a world of replacements with 2 entries and 4 hosts
    And 6 long-running tasks at work
    When the executor of the host with most tasks shuts down without time to stop them, just after the scheduler was killed
    Then no task of the replacements was down for longer than 4 seconds
    And no task of the replacements ran twice at the same time

  # An agent that was stopped before a scheduler was elected took its knowledge with it.
  Scenario: replacements let no agent stop before a scheduler knows that its executor shut down
    Given a world of replacements with 2 entries and 4 hosts
    And 6 long-running tasks at work
    When the executor of the host with most tasks shuts down without time to stop them, just after the scheduler was killed
    And that host's agent is told to stop 0.2 seconds later
    Then no task of the replacements was down for longer than 4 seconds
    And no task of the replacements ran twice at the same time

  # Checkpoints of runs that ended with their executor were lost with it.
  Scenario: replacements resume tasks from the checkpoints that a leaving executor reported last
    Given a world of replacements with 2 entries and 4 hosts
    And tasks of the replacements take 20 seconds and make a checkpoint each second
    And 6 tasks with checkpoints at work for 5 seconds
    When the executor of the host with most tasks shuts down without time to stop them, just after the scheduler was killed
    Then the job of the replacements is completed within 30 seconds
    And each later run of the replacements resumed from at least 3 seconds of work
    And no task of the replacements ran twice at the same time

  # A deregistration that arrives late, of an earlier incarnation, must not end a live executor.
  Scenario: replacements keep the runs of an executor that still answers after a deregistration
    Given a world of replacements with 2 entries and 4 hosts
    And 6 long-running tasks at work
    When a late deregistration arrives at the agent of the host with most tasks
    Then no task of the replacements was down for longer than 0 seconds
    And no task of the replacements ran twice at the same time

  # Silence is no proof that an executor has ended, also after a deregistration.
  Scenario: replacements keep the runs of an executor that is silent for a while after a deregistration
    Given a world of replacements with 2 entries and 4 hosts
    And 6 long-running tasks at work
    When a late deregistration arrives at the agent of the host with most tasks
    And that host's executor answers nothing for 3 seconds
    Then no task of the replacements was down for longer than 0 seconds
    And no task of the replacements ran twice at the same time

  # While all entries were shutting down none of them scheduled, although they served on for seconds.
  Scenario: replacements keep a scheduler while all entries restart in turn
    Given a world of replacements with 3 entries and 4 hosts
    And 6 long-running tasks at work
    When all entries restart in turn, 2 seconds apart, each serving for 4.5 more seconds
    Then the replacements had a scheduler all the time, but for 0.5 seconds

  # A successor waited as if its predecessor might still grant leases, although that had ended or the host had
  # heard from the successor.
  Scenario Outline: replacements run the tasks of a lost host again after its lease when the scheduler <event>
    Given a world of replacements with 2 entries and 4 hosts
    And 6 long-running tasks at work
    When the host with most tasks is lost while the scheduler <event>
    Then no task of the replacements was down for longer than <limit> seconds
    And no task of the replacements ran twice at the same time

    Examples:
      | event                                         | limit |
      | restarts gracefully                           | 7     |
      | is killed and starts again once it is replaced | 9     |
      | is killed for good                            | 9     |
      | was replaced 3 seconds before                 | 7     |

  # A late notice of an earlier incarnation made the scheduler stop the serving tasks of a sound executor.
  Scenario: replacements stop no task when a late deregistration arrives long before the next heartbeat
    Given a world of replacements with 2 entries and 4 hosts
    And 6 long-running tasks at work
    When a late deregistration arrives at the agent of the host with most tasks
    And that host's executor sends no heartbeat for 1.5 seconds
    Then no run of the replacements was stopped

  # A heartbeat that the notice has overtaken undid the agent's knowledge of its executor's end.
  Scenario: replacements run a task again soon when the last heartbeat arrives after the deregistration
    Given a world of replacements with 2 entries and 4 hosts
    And 6 long-running tasks at work
    When the executor of the host with most tasks shuts down without time to stop them
    And that host's last heartbeat arrives after the deregistration
    Then no task of the replacements was down for longer than 1.5 seconds
    And no task of the replacements ran twice at the same time

  # A hold was cut when a host attached, although its executor had not seen the new fencing token
  # and its next agent followed the former scheduler, which still granted leases.
  Scenario: replacements run no task twice when an agent restarts right after it has attached
    Given a world of replacements with 2 entries and 4 hosts
    And 6 long-running tasks at work
    When an agent attaches to the next scheduler, restarts and then hears only the former one
    Then no task of the replacements ran twice at the same time

  # A scheduler that served shortly counted as the only one that may have granted leases, although
  # the one before it was cut off and still granted them.
  Scenario Outline: replacements run no task twice when the successor of a scheduler that is cut off <event>
    Given a world of replacements with 3 entries and 4 hosts
    And 6 long-running tasks at work
    When the scheduler and the host with most tasks are cut off together, and its successor <event>
    Then no task of the replacements ran twice at the same time

    Examples:
      | event                              |
      | stops gracefully after 0.5 seconds |
      | restarts after 0.5 seconds         |
      | is elected again after 0.5 seconds |
      | stops gracefully after 5 seconds   |
      | restarts after 4 seconds           |

  # Each answer of the store let a scheduler grant on, also after its place in the store was gone.
  Scenario: replacements run no task twice while a former scheduler hears of no change in the store
    Given a world of replacements with 2 entries and 4 hosts
    And 1 long-running tasks at work
    When the scheduler and the host with most tasks are cut off together, and hear of no change in the store
    Then no task of the replacements ran twice at the same time

  # Each of two draining entries took the other for one that stays, and neither scheduled.
  Scenario: replacements keep a scheduler when the store refuses the writes of entries that drain
    Given a world of replacements with 2 entries and 4 hosts
    And 6 long-running tasks at work
    When all entries restart in turn, 1 second apart, and the store refuses the write of each that it drains
    Then the replacements had a scheduler all the time, but for 0.5 seconds

  # A scheduler that shut down while the store was away ended its term although nobody could be elected.
  Scenario: replacements keep all runs when the scheduler is told to stop during an outage of the store
    Given a world of replacements with 2 entries and 4 hosts
    And 6 long-running tasks at work
    When the scheduler is told to stop while the store is away for 7 seconds
    Then no run of the replacements was stopped

  # An entry that resigned while its election was written scheduled on, and its term was never ended.
  Scenario: replacements let no entry schedule that resigns while it is elected
    Given a world of replacements with 2 entries and 4 hosts
    And 6 long-running tasks at work
    When the scheduler is killed and the other entry resigns while its election is written
    Then no entry that has resigned schedules

  # An ended executor stayed ended for its agent whatever it heard of it.
  Scenario: replacements use an executor again that sends heartbeats after it counted as ended
    Given a world of replacements with 2 entries and 2 hosts
    And 2 long-running tasks at work
    When a late deregistration arrives at the agent of the host with most tasks, and one connection is refused
    And that host's executor sends no heartbeat for 1.5 seconds
    Then the agents of the replacements are attached for executors that run

  # Each scheduler began the hold of a lost host anew.
  Scenario: replacements run the tasks of a lost host again after its lease while schedulers follow one another
    Given a world of replacements with 3 entries and 4 hosts
    And 6 long-running tasks at work
    When the host with most tasks is lost while the scheduler stays
    And all entries restart in turn, 3 seconds apart, each serving for 2 more seconds
    Then no task of the replacements was down for longer than 7 seconds

  # Each scheduler held the runs of a lost executor for a whole lease, since its agent was attached.
  Scenario: replacements run the tasks of a lost executor again after its lease while schedulers follow one another
    Given a world of replacements with 3 entries and 4 hosts
    And 6 long-running tasks at work
    When the executor of the host with most tasks is lost, and its agent stays
    And the scheduler restarts 4 times, 4 seconds apart, each time serving for 2 more seconds
    Then no task of the replacements was down for longer than 7 seconds
    And no task of the replacements ran twice at the same time

  # An executor that had announced its end and left without a deregistration counted as silent.
  Scenario Outline: replacements run a task again soon after an executor has left as announced, <agent>
    Given a world of replacements with 2 entries and 4 hosts
    And 6 long-running tasks at work
    When the executor of the host with most tasks leaves 0.25 seconds after it announced that, without a deregistration
    And <agent>
    Then no task of the replacements was down for longer than 2 seconds
    And no task of the replacements ran twice at the same time

    Examples:
      | agent                                               |
      | that host's agent stays                             |
      | that host's agent is told to stop 0.4 seconds later |

  # What an announced end must not be taken from: the notice alone, or a single refused connection.
  Scenario: replacements keep the runs of an executor that stays beyond its announced end
    Given a world of replacements with 2 entries and 2 hosts
    And 4 long-running tasks at work
    When the executor of the host with most tasks announces its end in 0.25 seconds and stays, refusing 2 connections
    Then the agents of the replacements are attached for executors that run
    And no executor of the replacements was taken for ended

  # Stops without an answer were repeated at a dead executor for as long as the agent lived.
  Scenario: replacements call an executor no more once it has ended
    Given a world of replacements with 2 entries and 4 hosts
    And 6 long-running tasks at work
    When the executor of the host with most tasks drains, answers nothing for 1 second and shuts down
    Then that executor was not called from 1 second after its end on

  # Each repeated stop order added one more loop of calls, which use up the connections of lease renewals.
  Scenario: replacements stop each run of a silent executor with one call at a time
    Given a world of replacements with 2 entries and 4 hosts
    And 6 long-running tasks at work
    When the executor of the host with most tasks drains, answers nothing for 5 seconds and shuts down
    Then that executor got at most one stop of each run at a time

  # Incident inc1: tasks were down for over 13 seconds.
  Scenario: replacements run tasks again soon while executors are replaced and entries restart in turn
    Given a world of replacements with 3 entries and 8 hosts
    And 24 long-running tasks at work
    When all entries restart in turn, 2 seconds apart, each serving for 4.5 more seconds
    And 5 hosts are replaced from second 3 on, 0.7 seconds apart
    Then no task of the replacements was down for longer than 4 seconds
    And no task of the replacements ran twice at the same time

  # Two runs of a task at once, or a task that nobody starts again, after any order of events.
  Scenario Outline: replacements run each task once at a time in a random order of events, seed <seed>
    Given a world of replacements with 3 entries and 6 hosts
    And 12 long-running tasks at work
    When 12 random replacements, restarts and late notices follow one another with seed <seed>
    Then no task of the replacements was down for longer than 16 seconds
    And no task of the replacements ran twice at the same time

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

    @long
    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |
      | 17   |
      | 18   |
      | 19   |
      | 20   |
      | 21   |
      | 22   |
      | 23   |
      | 24   |
      | 25   |
      | 26   |
      | 27   |
      | 28   |
      | 29   |
      | 30   |
      | 31   |
      | 32   |
      | 33   |
      | 34   |
      | 35   |
      | 36   |
      | 37   |
      | 38   |
      | 39   |
      | 40   |
      | 41   |
      | 42   |
      | 43   |
      | 44   |
      | 45   |
      | 46   |
      | 47   |
      | 48   |
      | 49   |
      | 50   |
      | 51   |
      | 52   |
      | 53   |
      | 54   |
      | 55   |
      | 56   |
      | 57   |
      | 58   |
      | 59   |
      | 60   |
