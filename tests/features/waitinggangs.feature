Feature: waitinggangs

  Many gangs that do not fit may wait. Guards against a placement pass whose work grows with
  their members or their number, and against gangs or ordinary jobs that are never looked at.

  # 30 gangs of 5000 tasks stopped all scheduling: each pass tried every member on every host.
  Scenario Outline: waitinggangs of <members> tasks take few calls of a pass, and ordinary jobs start
    Given waitinggangs hosts of 16 cores, <hosts> in all, half full
    And <gangs> waiting gangs of <members> tasks, <sizes>
    When an ordinary job of 4 tasks arrives at the waitinggangs, and a pass is made
    Then the pass starts the ordinary job, and makes at most <calls> calls

    Examples:
      | hosts | gangs | members | sizes           | calls |
      | 11    | 30    | 5000    | all alike       | 50000 |
      | 53    | 30    | 5000    | each of its own | 50000 |
      | 300   | 30    | 4000    | each of its own | 50000 |

  # The gangs that come last must be looked at as well, while others before them never fit.
  Scenario: waitinggangs are looked at in turn
    Given waitinggangs hosts of 16 cores, 300 in all, half full
    And 200 waiting gangs of 400 tasks, each of its own
    And a waiting gang of 3 small tasks behind them
    When passes are made until the small waitinggang starts
    Then it took at most 110 passes

  # The arithmetic must tell the same as trying each member on each host.
  Scenario: waitinggangs fit exactly when trying each member says so, seeds 1 to 300
    When random gangs are placed on random waitinggangs hosts, seeds 1 to 300
    Then each was placed whole if trying each member finds room, and else not at all
