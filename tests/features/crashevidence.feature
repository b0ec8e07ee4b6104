Feature: crashevidence

  Executors that crash close to each other in time may do so for one cause. Virtual time. Guards
  against sound jobs that are given up for crashes of executors that go down and up by themselves.

  # Guards against a sound job that is failed: three crashes on two hosts counted as independent (review/7).
  Scenario Outline: crashevidence completes a sound job whose <hosts> hosts flap for <seconds> s with seed <seed>
    Given a crashevidence world of 18 plain hosts and <hosts> that flap
    When a job of 1 task of 4.4 seconds needs a host that flaps every 1.4 seconds for <seconds> seconds
    Then the crashevidence job is completed within 30 seconds of the last crash with seed <seed>

    Examples:
      | hosts | seconds | seed |
      | 2     | 6.5     | 1    |
      | 2     | 6.5     | 2    |
      | 2     | 6.5     | 3    |
      | 2     | 30      | 1    |
      | 4     | 30      | 2    |
      | 1     | 30      | 3    |

  # Guards against a verdict on crashes that one cause may have made, and against a task that is never given up.
  Scenario Outline: crashevidence <verdict> a task after crashes <apart> at <ran> s on <hosts> hosts
    When a task is suspected of crashes of <hosts> hosts at <ran> s of its runs, <apart> apart
    Then the task of the crashevidence history is <verdict>

    Examples:
      | verdict  | apart   | ran  | hosts |
      | kept     | 0,0,0   | 0.01 | 3     |
      | given up | 0,0,1   | 0.01 | 3     |
      | kept     | 0,1     | 0.01 | 2     |
      | kept     | 0,1,0   | 0.01 | 3     |
      | given up | 0,1,0,1 | 0.01 | 3     |
      | kept     | 0,0,1   | 1.0  | 1     |
      | given up | 0,0,1   | 1.0  | 2     |

  # Guards against a task that starts during the crashes of which it may be the innocent victim, or never again.
  Scenario: crashevidence holds a task back before a crash that could end its job
    When a task is suspected of crashes of 2 hosts at 0.01 s of its runs, 0,0 apart
    Then the task of the crashevidence history must not start for 4 seconds after the last crash

  # Guards against a rate over all hosts that hides the crashes of the few hosts that a task may use.
  Scenario: crashevidence counts the crashes of a host that a task is not suspected of
    When a host of crashevidence crashes 3 times in 4 seconds, 1 of them under a suspect of the job
    Then its rate of crashes without the job is 2 in 14 seconds, and without another one 3 in 14 seconds

  # Guards against a deadly job that is given up late, since another one has crashed its hosts before.
  Scenario: crashevidence does not excuse a job by crashes at the start of another one
    When a host of crashevidence crashes 3 times in 4 seconds at the start of another job
    Then its rate of crashes without the job is 0
