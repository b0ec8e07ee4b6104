Feature: frozen

  A process may be paused for seconds and then go on with what it was doing. Guards against one
  that acts on a permission that has expired meanwhile, against orders given twice around a
  hand-over, and against work of a host given up or begun again that was only silent.

  # Three jobs: one is submitted and one is cancelled just before, one is at work.
  Scenario Outline: frozen processes run no task twice when <process> is paused for <seconds> s
    Given frozen's processes are running with a job at work and another to be cancelled
    When frozen's <process> is paused for <seconds> seconds amid a submission and a cancellation
    Then the two other jobs of frozen are completed within 40 seconds
    And no task of frozen had two runs at the same time
    And no task of the cancelled job of frozen began 5 seconds after its cancellation

    Examples:
      | process                        | seconds |
      | scheduler                      | 3       |
      | scheduler                      | 12      |
      | agent                          | 12      |
      | scheduler that is shutting down | 6      |

    @long
    Examples:
      | process                        | seconds |
      | scheduler                      | 6       |
      | agent                          | 6       |
      | scheduler that is shutting down | 3      |
      | scheduler that is shutting down | 12     |

  # An agent that was silent for less than the lease of its runs had them started elsewhere.
  Scenario: frozen agents keep their work when they are silent for less than its lease
    Given frozen's processes are running with a job at work and another to be cancelled
    When frozen's agent is paused for 3 seconds amid a submission and a cancellation
    Then the two other jobs of frozen are completed within 40 seconds
    And no task of frozen had two runs at the same time
    And each task of frozen's job at work had one run only
