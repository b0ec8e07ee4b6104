Feature: httpcalls

  Guards against calls over plain HTTP that load TLS certificates, which cost an agent 27 ms of
  processor time per timeout, and against the reuse of idle connections after a timeout.

  Scenario: httpcalls loads no certificates, also for the connections after a timeout
    Given a httpcalls server that does not answer its first request
    When httpcalls makes 3 calls in turn with a timeout of 0.2 seconds
    Then the httpcalls outcomes are no answer, 200, 200
    And no certificate was loaded for httpcalls

  Scenario: httpcalls sends at most 32 calls at a time
    Given a httpcalls server that answers after 0.1 seconds
    When httpcalls makes 80 calls at once
    Then the httpcalls server had at most 32 requests in flight and answered all of them

  # Any failed connection counted as proof that an executor has ended.
  Scenario Outline: httpcalls takes only a refused connection as proof that nobody listens
    When httpcalls calls an address at which <failure>
    Then the httpcalls outcome is <outcome>

    Examples:
      | failure                     | outcome           |
      | nothing listens             | ConnectionRefused |
      | no descriptor is left       | CallFailed        |
      | the network is unreachable  | CallFailed        |
