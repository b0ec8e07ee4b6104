Feature: workerhealth

  Guards against a worker that fails all tasks at once and thereby attracts all
  waiting ones, and against one broken job that takes healthy hosts from others.

  Scenario Outline: a host is set aside after failures of several jobs only
    Given a worker whose results are <results>
    Then the worker is set aside: <aside>

    Examples:
      | results          | aside |
      | a- a- a- a- b-   | yes   |
      | a- a- a- a- a-   | no    |
      | a- b- a- b-      | no    |
      | a- b- a- c+ b- a- | no   |
      | a- a- a- a- a- a- b- | yes |

  Scenario: a worker that is set aside gets one probe after each pause, and pauses double
    Given a worker whose results are a- b- a- b- a-
    When the worker fails every probe for 2000 s
    Then the worker was probed after pauses of 30, 60, 120, 240, 480 and 600 s

  Scenario: a worker returns with its first success
    Given a worker whose results are a- b- a- b- a-
    When the worker completes a probe
    Then the worker gets several tasks at once again
