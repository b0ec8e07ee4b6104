Feature: pacing

  Guards against throttling all filler tasks on a host with serving tasks evenly, so
  that none of their jobs ends in time, and against a new speed limit for each of them
  after every measurement, and heavy tasks at the speed that suited the light ones there before.

  Scenario Outline: pacing gives the first filler tasks full speed and lets the others wait
    When pacing distributes <percent> percent of the pressures <pressures> of filler tasks
    Then the speed limits of pacing in percent are <paces>

    Examples:
      | percent | pressures               | paces            |
      | 100     | 0.2, 0.2, 0.2           | 100, 100, 100    |
      | 50      | 0.2, 0.2, 0.2, 0.2      | 100, 100, 0, 0   |
      | 30      | 0.2, 0.2, 0.2, 0.2, 0.2 | 100, 50, 0, 0, 0 |
      | 4       | 0.2                     | 4                |
      | 0       | 0.2, 0.2                | 0, 0             |
      | 20      | 0.5, 0.0, 0.4, 0.1      | 0, 100, 21, 100  |

  # A limit of 100 percent beside light tasks let the heavy ones that joined them start at full speed.
  Scenario Outline: pacing keeps filler tasks within the room that the newest measurement leaves
    Given filler tasks of pressures <before> at full speed beside a pacing ratio of <ratio>
    When filler tasks of pressures <joining> join them
    Then the paces in use have a pressure of at most <most>

    Examples:
      | before     | ratio | joining       | most |
      | 0.02, 0.02 | 0.45  | 0.8, 0.8, 0.8 | 0.7  |
      | 0.4        | 0.7   | 0.8           | 0.6  |
      | 0.4        | 1.5   | 0.1           | 0.0  |
