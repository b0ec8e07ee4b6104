Feature: pacing

  Guards against throttling all filler tasks on a host with serving tasks evenly, so
  that none of their jobs ends in time, and against a new speed limit for each of them
  after every measurement.

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
