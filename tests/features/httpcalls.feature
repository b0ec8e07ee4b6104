Feature: httpcalls

  Guards against calls over plain HTTP that load TLS certificates, which cost an agent 27 ms of
  processor time per timeout, against the reuse of idle connections after a timeout, and against
  a bound on time that takes no account of the size of an answer.

  Scenario: httpcalls loads no certificates, also for the connections after a timeout
    Given a httpcalls server that does not answer its first request
    When httpcalls makes 3 calls in turn with a timeout of 0.2 seconds
    Then the httpcalls outcomes are no answer, 200, 200
    And no certificate was loaded for httpcalls

  Scenario: httpcalls sends at most 32 calls at a time
    Given a httpcalls server that answers after 0.1 seconds
    When httpcalls makes 80 calls at once
    Then the httpcalls server had at most 32 requests in flight and answered all of them

  # A call that no connection was free for counted as sent, so that what it asked for was in doubt.
  Scenario: httpcalls tells that a call was not sent when no connection was free in time
    Given a httpcalls server that answers after 60 seconds
    When httpcalls makes a call with a timeout of 0.1 seconds while 32 others wait for their answers
    Then the last httpcalls call was not sent, and the connections are kept

  # Any failed connection counted as proof that an executor has ended.
  Scenario Outline: httpcalls takes only a refused connection as proof that nobody listens
    When httpcalls calls an address at which <failure>
    Then the httpcalls outcome is <outcome>

    Examples:
      | failure                     | outcome           |
      | nothing listens             | ConnectionRefused |
      | no descriptor is left       | CallFailed        |
      | the network is unreachable  | CallFailed        |

  # A bound on the whole call made a scheduler read the same page of the store again and again.
  Scenario Outline: httpcalls read a long page of the store for as long as it keeps coming
    Given a httpcalls store whose page of 400 kB <comes>
    When the page of the httpcalls store is read
    Then the read of the httpcalls store <ends> after <least> to <most> seconds

    Examples:
      | comes                                      | ends                  | least | most |
      | takes 2.5 seconds                          | returns the page      | 2.4   | 6    |
      | stops after 100 kB                         | fails                 | 1.2   | 3    |
      | is reset after 100 kB                      | fails                 | 0     | 1.5  |
      | is refused                                 | fails                 | 0     | 3    |
