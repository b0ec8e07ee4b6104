Feature: clientlimits

  Guards against a client within the limits that is refused, a client beyond
  them that is kept or ends more than its own connection, memory that stays
  charged after a request, and a wrong limit that is accepted.

  Scenario: clientlimits close first the connection with the least progress for the longest time
    Given clientlimits of 3000 bytes and connections a, b, c, d that hold 1000, 1000, 0 and 900
    And connection a of the clientlimits is handling a request, and b made progress after d
    When connection c of the clientlimits needs 1500 bytes
    Then the clientlimits have closed d, b and hold 2500 bytes
    When connection c of the clientlimits needs 1000 bytes
    Then the clientlimits have refused it, since the one left is about to progress

  Scenario: clientlimits refuse a connection that has itself made the least progress
    Given clientlimits of 3000 bytes and connections a, b, c, d that hold 1000, 1000, 0 and 900
    When connection a of the clientlimits needs 1500 bytes
    Then the clientlimits have refused it and closed none

  Scenario: clientlimits make room for a new connection at the cost of its own peer
    Given clientlimits of 8 connections, 4 from a peer, all taken by one peer
    When that peer of the clientlimits opens one more
    Then the clientlimits have closed its oldest connection

  Scenario Outline: clientlimits refuse the setting <text>
    When the clientlimits are set by <text>
    Then the clientlimits answer "--client-limit <text>: <reason>"

    Examples:
      | text             | reason                                                       |
      | connections=7    | the value is not from 8 to 1099511627776                     |
      | connections=many | the value is not a number                                    |
      | idle_s=nan       | the value is not from 0.1 to 1099511627776                   |

  Scenario Outline: clientlimits serve <request>
    Given a server with clientlimits
    When a client of the clientlimits sends <request>
    Then the clientlimits' server answers 200 with the length 262144
    And nothing stays charged to the clientlimits

    Examples:
      | request                                      |
      | a body of legal size in one piece            |
      | a body of legal size in small pieces         |
      | a body of legal size in chunks               |
      | a body of legal size over HTTP/2             |
      | a body of legal size after 4000 short fields |

  # The answer waited for room in the queue of the body, which nobody emptied.
  Scenario: clientlimits answer a request whose body the app does not read
    Given a server with clientlimits
    When a client of the clientlimits sends a body that the app does not read
    Then the clientlimits' server answers it without any limit
    And nothing stays charged to the clientlimits

  Scenario Outline: clientlimits answer <status> to <request>
    Given a server with clientlimits
    When a client of the clientlimits sends <request>
    Then the clientlimits' server answers <status> and closes the connection
    And nothing stays charged to the clientlimits
    And the clientlimits have counted <limit>

    Examples:
      | request                             | status | limit            |
      | a head that stops half-way          | 408    | header_s         |
      | a head that goes on byte by byte    | 408    | header_s         |
      | a body that stops half-way          | 408    | body_s           |
      | a body that goes on byte by byte    | 408    | body_s           |
      | a head beyond the limit             | 431    | header_bytes     |
      | more than a connection may hold     | 503    | connection_bytes |

  Scenario Outline: clientlimits close the connection of a client that <does>
    Given a server with clientlimits
    When a client of the clientlimits <does>
    Then the clientlimits' server has closed its connection for <limit>
    And nothing stays charged to the clientlimits

    Examples:
      | does                                | limit        |
      | sends nothing                       | idle_s       |
      | reads no answer                     | send_s       |
      | reads no answer over HTTP/2         | send_s       |

  Scenario: clientlimits let a request that was received whole be handled after its connection closed
    Given a server with clientlimits
    When a client of the clientlimits closes its connection while its request is handled
    Then the clientlimits' server has handled the request
    And nothing stays charged to the clientlimits
