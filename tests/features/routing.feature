Feature: routing

  Guards against requests that pile up at a slow, full or failing backend
  server, and against a healthy fleet being ejected for a common failure.

  Scenario Outline: two choices keep the longest queue short, against the random baseline
    Given a routing table of 11 backend servers with <choices> choices and seed 5
    When 88 requests are routed without any ending
    Then the highest routing load is <load>

    Examples:
      | choices | load        |
      | 2       | at most 10  |
      | 1       | at least 11 |

  Scenario: a slow backend server gets less work
    Given a routing table of 4 backend servers with 2 choices and seed 5
    When 2000 requests are routed and backend server 1 takes 5 times as long
    Then routing sent backend server 1 fewer than 250 requests

  Scenario: a full backend server gets none
    Given a routing table of 1 backend servers with 2 choices and seed 5
    When 20 requests are routed without any ending
    Then the highest routing load is at most 16

  Scenario Outline: a backend server that fails in a row is ejected, then probed
    Given a routing table of 4 backend servers with 2 choices and seed 5
    When routing sees backend server 1 fail 5 times in a row
    Then routing does not use it for 5 s and then sends one probe
    And after a probe that <probe> routing uses it <again>

    Examples:
      | probe    | again             |
      | succeeds | at once           |
      | fails    | after 10 s        |

  Scenario: a failure of most backend servers ejects none of the last ones
    Given a routing table of 4 backend servers with 2 choices and seed 5
    When routing sees every backend server fail 5 times in a row
    Then routing still finds a backend server
