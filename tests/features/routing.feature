Feature: routing

  Guards against requests that accumulate at a slow, full or failing backend
  server, and against ejecting healthy backend servers because of a common cause.

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

  Scenario Outline: a slow minority of backend servers does not set the p99
    When requests are routed to 11 backend servers of which <slow> take <factor> times as long at <rate> per s from seed <seed>
    Then the routed p99 is at most <p99> ms and every slow server was tried again

    Examples:
      | slow | factor | rate | seed | p99 |
      | 4    | 3.4    | 200  | 1    | 75  |
      | 2    | 3.4    | 200  | 2    | 75  |
      | 5    | 2.5    | 200  | 3    | 75  |
      | 4    | 3.4    | 1500 | 4    | 90  |
