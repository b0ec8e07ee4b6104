Feature: authority

  A scheduler grants leases only for as long as its successor waits for that. Guards against two
  runs of a task when a later scheduler takes a former one for ended that still grants leases, or
  takes leases for expired that the former one has granted.

  # Guards against two runs of a task: a renewed store lease counted as proof that nobody else could be elected.
  Scenario Outline: authority ends soon after another entry is elected while the store lease goes on, <change>
    Given a world of replacements with 2 entries and 4 hosts
    And 1 long-running tasks at work
    When the keys of authority's scheduler are taken away while its lease goes on, <change>
    Then no task of the replacements ran twice at the same time

    Examples:
      | change                                 |
      | and it hears of no change in the store |
      | and it hears of changes                |

  # Guards against two runs of a task: a scheduler that read all keys again did not see the election of one that had gone.
  Scenario: authority ends when a full read shows the epoch of a scheduler that has gone
    Given a world of replacements with 3 entries and 4 hosts
    And 6 long-running tasks at work
    When authority's scheduler reads a later epoch without a leader key after the store forgot its history
    Then no task of the replacements ran twice at the same time
    And the former scheduler of authority has ended its term within 1.5 seconds

  # Guards against two runs of a task: a registration of an earlier incarnation counted as proof that a later one had ended.
  Scenario: authority of an earlier incarnation's late registration proves no end
    Given a world of replacements with 2 entries and 4 hosts
    And 6 long-running tasks at work
    When authority's scheduler restarts, is overtaken by its earlier registration and loses its place
    Then no task of the replacements ran twice at the same time

  # Guards against two runs of a task: holds were counted from the election although the former scheduler ended during the load.
  Scenario Outline: authority is waited for by a scheduler whose pages take <seconds> seconds to load
    Given a world of replacements with 2 entries and 4 hosts
    And 6 long-running tasks at work
    When authority's scheduler and a host are cut off, and pages take its successor <seconds> seconds
    Then no task of the replacements ran twice at the same time

    Examples:
      | seconds |
      | 3       |
      | 7       |
      | 10      |

  # Guards against two runs of a task: a successor that took a former scheduler, or its leases, for ended too early, in any order of events.
  Scenario Outline: authority never lets a task run twice in a random order of <count> events, seed <seed>
    Given a world of replacements with 3 entries and 5 hosts
    And 10 long-running tasks at work
    When <count> random events around authority's elections follow one another with seed <seed>
    Then no task of the replacements ran twice at the same time

    Examples:
      | count | seed |
      | 12    | 29   |
      | 12    | 47   |
      | 12    | 60   |
      | 12    | 78   |
      | 12    | 83   |
      | 12    | 110  |
      | 12    | 115  |
      | 12    | 139  |
      | 12    | 150  |
      | 12    | 154  |
      | 12    | 175  |
      | 12    | 186  |
      | 12    | 219  |
      | 12    | 220  |
      | 12    | 244  |
      | 12    | 246  |
      | 12    | 260  |
      | 12    | 266  |
      | 25    | 302  |
      | 25    | 303  |
      | 25    | 314  |
      | 25    | 315  |
      | 25    | 325  |
      | 25    | 326  |
      | 25    | 328  |
      | 25    | 338  |
      | 25    | 349  |
      | 25    | 353  |
      | 25    | 360  |
      | 25    | 369  |
      | 25    | 382  |
      | 25    | 391  |
