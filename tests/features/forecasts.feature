Feature: forecasts

  The ends that the dry run expects of runs. Guards against times that rest on callers' estimates
  although progress shows better, and on ends that have been missed.

  Scenario Outline: forecasts expect a run to end <left> seconds from now <case>
    When a forecast run of 4 estimated seconds <case>
    Then it is forecast to end in <left> seconds

    Examples:
      | left | case                                                       |
      | 3    | is 1 second old                                            |
      | 9    | is 1 second old and at 10 percent                          |
      | 2    | is 6 seconds old                                           |
      | 2    | is 2 seconds old, has gone on at 60 percent and is now at 80 |
      | 0.5  | is 1 second old and was told to stop                       |
