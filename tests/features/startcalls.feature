Feature: startcalls

  An agent limits its start calls under way by how fast its executor answers. Guards against
  repeats of calls that a slow executor has not reached yet, which take up its time, so that the
  members of a large gang begin too far apart.

  Scenario Outline: startcalls of a window follow the rate of answers
    Given a startcalls window, and a server that answers <rate> calls a second
    When 150 startcalls are made through the window
    Then the server got at most <attempts> startcalls, and the last answer came after <seconds> seconds
    And the startcalls window ends with a limit of <low> to <high>

    Examples: a gang of 3000 members on 20 hosts
      | rate | attempts | seconds | low | high |
      | 2000 | 150      | 0.1     | 24  | 24   |
      | 150  | 150      | 1.1     | 24  | 24   |
      | 60   | 150      | 2.6     | 16  | 24   |
      | 20   | 190      | 9.5     | 5   | 12   |
      | 5    | 200      | 40      | 1   | 2    |

  Scenario: startcalls that are lost do not lower the limit
    Given a startcalls window, and a server that answers 1000 calls a second
    And the server of the startcalls loses every third call
    When 150 startcalls are made through the window
    Then the startcalls window ends with a limit of 8 to 24

  Scenario: startcalls leave connections to other calls
    Then 8 connections to an executor are never used by startcalls

  # review/6: 8,500 to 14,000 attempts for 3,000 members, of which 370 to 1,760 began.
  Scenario Outline: startcalls of a large gang reach slow executors within the time that members wait
    Given a startcalls world of 20 hosts whose executors answer <rate> starts a second
    When a gang of 3000 tasks is submitted to the startcalls world
    Then all 3000 members have begun their first run within 3 seconds of each other
    And the executors of the startcalls world got at most 3000 starts
    And the gang of the startcalls world is completed

    Examples:
      | rate |
      | 150  |
      | 200  |
      | 1000 |

  # The members that had begun waited for the others until they ended as alone.
  Scenario: startcalls of a gang are made again for all members after lost calls
    Given a startcalls world of 4 hosts whose executors leave a share of 0.3 of calls without an answer
    When a gang of 60 long tasks is submitted to the startcalls world
    Then the gang of the startcalls world is whole within 20 seconds
    And no two runs of a member overlapped

  Scenario: startcalls go on once an executor answers again
    Given a startcalls agent whose executor answers no start for 4 seconds
    When 12 starts are ordered of the startcalls agent each second for 4 seconds, and 12 at 4.5 seconds
    Then the startcalls limit had fallen to 1 when the executor answered again
    And the last 12 startcalls have begun within 0.5 seconds of their order

  Scenario: startcalls that wait are withdrawn at once
    Given a startcalls agent whose executor answers 20 starts a second
    When 30 starts are ordered of the startcalls agent, and a stop of the last one 0.1 seconds later
    Then the last run of the startcalls agent is refused 0.05 seconds later
    And the executor has got no startcalls of the last run

  Scenario: startcalls are refused once their order has become invalid
    Given a startcalls agent whose executor answers 5 starts a second
    When 30 starts are ordered of the startcalls agent
    Then no startcalls are made later than 2 seconds after the report
    And each of the 30 startcalls is answered as started or refused within 4 seconds
    And no run that the startcalls agent refused has begun 15 seconds later

  Scenario: startcalls that wait end with their attachment
    Given a startcalls agent whose executor answers 20 starts a second
    When 30 starts are ordered of the startcalls agent, which is detached 0.1 seconds later
    Then no startcalls wait 2 seconds later
    And no startcalls were made after the agent was detached

  Scenario: startcalls go on beside one that is refused
    Given a startcalls agent whose executor answers 100 starts a second
    And the executor of the startcalls agent refuses the run of task 3
    When 30 starts are ordered of the startcalls agent
    Then 29 startcalls are answered as started and that of task 3 as refused
