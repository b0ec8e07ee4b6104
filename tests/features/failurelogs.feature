Feature: failurelogs

  Scenarios with real processes may fail only beside load, and then leave nothing but their error.
  Guards against such a failure whose process logs are gone.

  Scenario Outline: failurelogs are kept and named if a step <outcome>
    When a feature of failurelogs runs with a passing scenario and 1 whose step <outcome>
    Then failurelogs has kept 1 folder with the error, the load average and all process output
    And the test run of failurelogs prints the error and the folder

    Examples:
      | outcome |
      | fails   |
      | raises  |

  Scenario: failurelogs keeps only the newest failures
    When a feature of failurelogs runs with a passing scenario and 23 whose step fails
    Then failurelogs has kept 20 folders with the error, the load average and all process output
    And the newest folder of failurelogs is that of the last failure
