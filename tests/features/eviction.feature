Feature: eviction

  Guards against evictions that lose more work than needed, that choose other than
  low-priority batch tasks, and that evict tasks of the same job endlessly.

  Scenario Outline: room for urgent work costs the least lost work
    Given eviction candidates <candidates>
    And free cores per host for the eviction <free>
    When an eviction must free <need> cores
    Then the evicted tasks are <victims>

    Examples: each candidate is name:host:cores:priority:core seconds lost
      | candidates                                | free      | need | victims |
      | a:h1:4:low:10 b:h1:4:low:5                | h1=0      | 4    | b       |
      | a:h1:4:low:10 b:h2:4:low:5                | h1=0 h2=0 | 4    | b       |
      | a:h1:4:normal:1 b:h1:4:low:50             | h1=0      | 4    | b       |
      | a:h1:4:normal:1                           | h1=0      | 4    | none    |
      | a:h1:2:low:1 b:h1:2:low:2 c:h2:4:low:9    | h1=0 h2=0 | 4    | a,b     |
      | a:h1:1:low:1 b:h1:8:low:2                 | h1=0      | 8    | b       |
      | a:h1:4:low:1                              | h2=0      | 4    | none    |
      | a:h1:4:low:1                              | h1=2      | 8    | none    |

  Scenario: evictions of one job are limited
    Given 30 eviction candidates of one job
    When the eviction asks for one core 30 times within a minute
    Then the eviction chose 20 tasks
    And the eviction chooses again a minute later
