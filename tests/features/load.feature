Feature: load

  Guards against arrivals that differ between the two sides of a comparison, latencies
  that do not include the time a request waited to be sent, and batch figures that count
  work twice or leave out the work that evictions lost.

  Scenario Outline: the load's arrivals follow from the seed alone
    When the load tool plans <rate> requests/s for 60 s from seed <seed>
    Then the same load seed gives the same arrivals and another seed does not
    And the load has about <rate> arrivals/s in the shares of the classes
    And only load arrivals that are not idempotent have a key, and no two share one

    Examples:
      | rate | seed |
      | 50   | 1    |
      | 200  | 2    |

  Scenario: a burst adds load only while it lasts
    When the load tool plans 100 requests/s for 60 s with a burst of 3 from 20 to 40 s
    Then about 100, 300 and 100 load arrivals/s come in the three spans

  Scenario: another class's rate leaves a load stream as it was
    When the load tool plans a shape again with another share of one class
    Then the load arrivals of the other classes are the same

  Scenario: load keys of two phases differ
    When the load tool plans two phases from one seed
    Then the two phases have no load key in common

  Scenario Outline: load latency counts from the intended arrival
    When a load of <count> requests every 10 ms is served one at a time with a pause of <pause> ms
    Then the load p99 is within <low> to <high> ms
    And the load p50 includes a wait of at least <waited> ms

    Examples:
      | count | pause | low  | high | waited |
      | 1000  | 0     | 4.9  | 5.1  | 4.9    |
      | 1000  | 2000  | 1900 | 2010 | 4.9    |
      | 200   | 4000  | 3900 | 4010 | 3400   |

  Scenario: load outcomes other than answered have no latency
    When the load tool counts one request of each outcome
    Then one load latency and four outcomes are counted

  Scenario Outline: the work of <attempts> is counted once
    When the load tool counts the batch work of <attempts>
    Then the load work is <done> done, <useful> useful, <evicted> lost by <evictions> evictions

    Examples:
      | attempts                       | done | useful | evicted | evictions |
      | one finished attempt           | 20   | 20     | 0       | 0         |
      | an eviction at its checkpoint  | 20   | 20     | 0       | 1         |
      | an eviction past a checkpoint  | 22   | 20     | 2       | 1         |
      | an eviction not resumed yet    | 10   | 8      | 2       | 1         |
      | a lost host                    | 26   | 20     | 0       | 0         |
      | a running attempt              | 10   | 10     | 0       | 0         |

  Scenario Outline: the cost of a data centre's change is what exceeds its share
    When a data centre with share 0.25 leaves for 10 of 30 s and <out> and <after> of 100 core s are done
    Then the load change cost is <cost>

    Examples:
      | out | after | cost |
      | 75  | 100   | 0.0  |
      | 50  | 90    | 0.2  |
      | 100 | 100   | -0.14 |
