Feature: capacity

  Guards against costs that grow with time or with the number of hosts although
  they must not: store calls in proportion to the hosts, tables that keep rows of
  replaced hosts, messages that repeat unchanged state, and connections that are
  not reused.

  Scenario Outline: capacity of the store when entries start or return together
    Given a capacity trial of <entries> entries that each have 300 hosts of 5 services
    When the capacity entries <event>
    Then the capacity trial makes at most <most> store calls in any second
    And the idle capacity entries make at most 2.5 store calls a second each

    Examples:
      | entries | event                           | most |
      | 3       | all start at once               | 40   |
      | 24      | all start at once               | 320  |
      | 24      | lose the store for a minute     | 130  |

  Scenario: capacity of the host tables while hosts are replaced
    Given a capacity owner that is linked to 100 hosts
    When 1000 capacity hosts are replaced one after another, 10 s apart
    Then the capacity tables hold at most 100 hosts and 15 that are gone

  Scenario: capacity of links for announcements
    Given a capacity agent with 3 links
    When the capacity agent is idle for 60 s and then starts to leave
    Then each capacity link carried at most 8 announcements and the last one says leaving

  Scenario Outline: capacity of a node's links
    Then a capacity agent with <tasks> tasks and <links> links sends at most <kb> KB a second

    Examples:
      | tasks | links | kb |
      | 0     | 24    | 22 |
      | 8     | 3     | 22 |
      | 8     | 10    | 22 |
      | 40    | 2     | 22 |

  Scenario Outline: capacity of connections to a backend server
    Given a capacity backend server that <behaviour>
    When 3 rounds of 4 capacity requests at once are sent to it
    Then the capacity backend server has seen <connections> connections and 12 requests

    Examples:
      | behaviour                      | connections |
      | keeps connections open         | 4           |
      | closes after each answer       | 12          |
