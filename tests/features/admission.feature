Feature: admission

  Guards against unbounded queues, against low-priority requests that displace
  others, and against requests that wait beyond their deadline.

  Scenario: a class has no more waiting requests than its rules allow
    Given admission queues for 100 requests
    When 30 requests are offered to admission: intake
    Then admission holds 20 and refused 10 as queue-full

  Scenario Outline: a full queue sheds the lowest priority, newest first
    Given admission queues for 20 requests
    When 20 requests are offered to admission: round-plan
    And 3 requests are offered to admission: <newcomer>
    Then admission shed <shed> and refused <refused> new requests

    Examples:
      | newcomer   | shed | refused |
      | booking    | 3    | 0       |
      | intake     | 3    | 0       |
      | round-plan | 0    | 3       |

  Scenario Outline: the next request is the one of the highest priority, then the oldest
    Given admission queues for 100 requests in <mode> mode
    When requests are offered to admission in the order round-plan, intake, booking, intake
    Then admission dequeues them in the order <order>

    Examples:
      | mode     | order                               |
      | priority | booking, intake, intake, round-plan |
      | baseline | round-plan, intake, booking, intake |

  Scenario: a request that would pass its deadline in the queue is refused at once
    Given admission queues for 100 requests
    When admission dequeues one request per second with 10 waiting
    Then admission refuses a request with a deadline in 0.3 s as deadline-too-near
    And admission accepts a request with a deadline in 60 s

  Scenario: requests whose deadline passes in the queue are taken out
    Given admission queues for 100 requests
    When 5 requests are offered to admission: intake
    Then admission expires 5 of them at their deadline and none before
