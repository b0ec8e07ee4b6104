Feature: upkeep

  Upkeep waves: every machine that an operator names is sent for upkeep. Guards against too many
  machines down at once, work that is ended in vain, serving steps that miss too many tasks,
  orders of two schedulers for one machine, and a wave that is reported as completed too early.

  Scenario: upkeep sends each machine once, and reports the wave
    Given an upkeep world of 2 entries and 4 agents
    And 3 serving upkeep tasks of which 1 may be away, and 6 short ones
    When wave 1 names machines 0, 1, 2 and 3 for 60 seconds, 1 at a time
    Then wave 1 is completed within 40 seconds, with 1 upkeep of each machine named
    And no more than 1 machine was down for wave 1
    And no upkeep ended a task
    And at most 1 serving upkeep task was away at a time, and each was moved at most once
    And the upkeep machines were listed once a second at most, and only while a wave was open
    And the state of wave 1 was written as running, completed

  # Each machine was emptied only after the one before it had returned.
  Scenario: upkeep sends as many machines at a time as the wave allows
    Given an upkeep world of 1 entries and 8 agents
    When wave 1 names machines 0, 1, 2, 3, 4 and 5 for 20 seconds, 3 at a time
    Then wave 1 is completed within 12 seconds, with 1 upkeep of each machine named
    And no more than 3 machines were down for wave 1

  Scenario: upkeep moves tasks that save checkpoints, which go on from these
    Given an upkeep world of 1 entries and 4 agents
    And 6 upkeep tasks of 20 s that save checkpoints
    When wave 1 names machines 0, 1, 2 and 3 for 60 seconds, 1 at a time
    Then wave 1 is completed within 15 seconds, with 1 upkeep of each machine named
    And no upkeep ended a task
    And each of the 6 upkeep tasks that save checkpoints started from the beginning once

  Scenario Outline: upkeep goes on after <fault>
    Given an upkeep world of 2 entries and 4 agents
    And 2 serving upkeep tasks of which 1 may be away, and 4 short ones
    When wave 1 names machines 0, 1 and 2 for 60 seconds, 1 at a time
    And the upkeep world meets <fault> after the first upkeep
    Then wave 1 is completed within 60 seconds, with 1 upkeep of each machine named
    And no more than 1 machine was down for wave 1
    And no upkeep ended a task
    And at most 1 serving upkeep task was away at a time, and each was moved at most 4 times

    Examples:
      | fault                                         |
      | the end of the scheduler                      |
      | a shutdown of the scheduler                   |
      | a scheduler that is cut off                   |
      | a scheduler that is cut off while 8 orders are lost |
      | an unanswered order that was carried out      |
      | an unanswered order that was not carried out  |
      | an unanswered order that is carried out late  |
      | 3 refusals of kind busy                       |
      | 3 refusals of kind wave                       |
      | 3 refusals of kind 400                        |
      | 3 refusals of kind 429                        |
      | an outage of the store                        |
      | an outage of the machine service              |

  # The machine of an unanswered order was forgotten, and the next one sent.
  Scenario: upkeep counts a machine as down while its order is not answered
    Given an upkeep world of 1 entries and 4 agents
    When wave 1 names machines 0, 1 and 2 for 60 seconds, 1 at a time
    And the next 6 orders of upkeep are not answered, and carried out late
    Then no other machine was ordered before the first one was answered
    And no more than 1 machine was down for wave 1

  Scenario: upkeep makes no further call for a machine after a refusal with fence
    Given an upkeep world of 2 entries and 3 agents
    When a token of 2 was used for upkeep machine 0
    And wave 1 names machines 0 and 1 for 20 seconds, 1 at a time
    And 20 seconds pass in the upkeep world
    Then upkeep machine 0 got 1 order, and wave 1 is running
    When the scheduler of the upkeep world ends
    Then wave 1 is completed within 30 seconds, with 1 upkeep of each machine named

  Scenario: upkeep completes a wave without a machine that disappears
    Given an upkeep world of 1 entries and 3 agents
    When upkeep machine 1 refuses orders as busy
    And wave 1 names machines 0, 1 and 9 for 20 seconds, 1 at a time
    And 10 seconds pass in the upkeep world
    Then wave 1 is running
    When upkeep machine 1 disappears
    Then wave 1 is completed within 10 seconds

  # A machine that earlier lists had lacked was taken for gone, and its wave for completed.
  Scenario: upkeep looks for the machines of each wave anew
    Given an upkeep world of 1 entries and 3 agents
    When wave 1 names machines 0 and 9 for 20 seconds, 1 at a time
    Then wave 1 is completed within 15 seconds
    When upkeep machine 9 appears in place of machine 2
    And wave 2 names machines 9 for 20 seconds, 1 at a time
    Then wave 2 is completed within 15 seconds, with 1 upkeep of each machine named

  # The machines of a wave that was written again while its end was reported were never sent.
  Scenario: upkeep carries out a wave again that is written again while it is reported
    Given an upkeep world of 1 entries and 3 agents
    When wave 1 names machine 2 in place of others just before it is reported as completed
    Then wave 1 is completed within 25 seconds, with 1 upkeep of each machine named

  # A machine that was down was not counted any more once the wave did not name it.
  Scenario: upkeep counts a machine that the wave does not name any more
    Given an upkeep world of 1 entries and 3 agents
    When wave 1 names machines 0 and 1 for 20 seconds, 1 at a time
    And wave 1 names machine 2 in place of others after the first upkeep
    Then wave 1 is completed within 15 seconds, with 1 upkeep of each machine named
    And no more than 1 machine was down for wave 1

  Scenario: upkeep does not carry on a wave that is removed
    Given an upkeep world of 1 entries and 4 agents
    And 2 serving upkeep tasks of which 1 may be away, and 4 short ones
    When wave 1 names machines 0, 1, 2 and 3 for 60 seconds, 1 at a time
    And wave 1 is removed after the first upkeep
    And 10 seconds pass in the upkeep world
    Then 1 upkeep was carried out, no host is kept free, and no call was made in the last 5 seconds

  Scenario Outline: upkeep ignores a wave that <fault>
    Given an upkeep world of 1 entries and 2 agents
    When the operator writes the malformed wave <value>
    And 6 seconds pass in the upkeep world
    Then nothing was called for upkeep, no state was written, and a malformed wave was counted

    Examples:
      | fault                  | value                                                             |
      | is not an object       | [1]                                                               |
      | has another number     | {"wave":2,"machines":["m-0"],"durationS":20,"maxCount":1}         |
      | allows none            | {"wave":1,"machines":["m-0"],"durationS":20,"maxCount":0}         |
      | names no machines list | {"wave":1,"machines":"m-0","durationS":20,"maxCount":1}           |
      | names a number         | {"wave":1,"machines":["m-0",7],"durationS":20,"maxCount":1}       |
      | has a negative time    | {"wave":1,"machines":["m-0"],"durationS":-1,"maxCount":1}         |
      | has no count           | {"wave":1,"machines":["m-0"],"durationS":20}                      |

  Scenario: upkeep sends a machine that is named twice once, and for each wave that names it
    Given an upkeep world of 1 entries and 3 agents
    When wave 1 names machines 0, 0 and 1 for 30 seconds, 1 at a time
    And wave 2 names machines 0 and 2 for 30 seconds, 1 at a time
    Then wave 1 is completed within 30 seconds, with 1 upkeep of each machine named
    And wave 2 is completed within 30 seconds, with 1 upkeep of each machine named

  Scenario: upkeep calls nothing without a wave
    Given an upkeep world of 1 entries and 2 agents
    When 10 seconds pass in the upkeep world
    Then nothing was called for upkeep and no state was written

  # A step that misses nothing had its task ended when the time of the wave was over.
  Scenario: upkeep never ends a serving task of which none may be away
    Given an upkeep world of 1 entries and 3 agents
    And 1 serving upkeep tasks of which 0 may be away, and 0 short ones
    When wave 1 names machines 0, 1 and 2 for 5 seconds, 1 at a time
    And 20 seconds pass in the upkeep world
    Then 2 upkeeps were carried out, no serving upkeep task was ended, and wave 1 is running
