Feature: acknowledgements

  Each reported end of a run is acknowledged. Guards against ends that an executor lists again and
  again, which delays its reports and fills its list.

  # Ends without a record were acknowledged only with the next recorded end of their host.
  Scenario Outline: acknowledgements follow at once for the end of <run>
    Given an acknowledgements host
    When it reports the end of <run>
    Then the end is acknowledged within 0.5 seconds

    Examples:
      | run                                |
      | a run that was given up            |
      | a run of a job that is gone        |
      | a run whose name is malformed      |

  Scenario: acknowledgements wait until the end is in the run log
    Given an acknowledgements host
    When it reports the end of a run that it was given while the store does not answer
    Then the end is not acknowledged before the store answers, and soon after that
