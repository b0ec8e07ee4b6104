Feature: upkeepwaits

  The upkeep of machines has waits of its own: 3 s without orders after an election, and 10 s until a
  machine that cannot be emptied gives way. Guards against serving tasks that are away for longer than
  9 s because of them, also while one scheduler follows another.

  Scenario Outline: upkeepwaits keep no serving task away for long when schedulers <event> every <gap> seconds
    Given an upkeep world of 3 entries and 6 agents
    And 4 serving upkeep tasks of which 1 may be away, and 8 short ones
    When wave 1 names machines 0, 1, 2, 3 and 4 for 60 seconds, 1 at a time
    And the schedulers of the upkeep doubts <event> every <gap> seconds
    And 45 seconds pass in the upkeep world
    Then no serving task of the upkeepwaits was away for longer than 9 seconds

    Examples:
      | event     | gap |
      | shut down | 3   |
      | shut down | 4.5 |
      | end       | 3   |
      | end       | 4.5 |

  # It was kept free for its upkeep for 10 s, while the task that was away fitted nowhere else.
  Scenario: upkeepwaits let a serving task start again on the machine that it had to leave
    Given an upkeep world of 1 entries and 2 agents
    And 2 serving tasks of upkeepwaits of 4 cores, of which 1 may be away, on one machine
    When the upkeepwaits machine is to be emptied, and the other one is lost as a task starts there
    Then both tasks of the upkeepwaits run on their machine within 9 seconds
