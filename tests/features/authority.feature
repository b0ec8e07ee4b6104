Feature: authority

  A scheduler grants leases only for as long as its successor waits for that. Guards against two
  runs of a task when a later scheduler takes a former one for ended that still grants leases, or
  takes leases for expired that the former one has granted.

  # TWICE: a renewed store lease counted as proof that nobody else could be elected.
  Scenario Outline: authority ends soon after another entry is elected while the store lease goes on, <change>
    Given a world of replacements with 2 entries and 4 hosts
    And 1 long-running tasks at work
    When the keys of authority's scheduler are taken away while its lease goes on, <change>
    Then no task of the replacements ran twice at the same time

    Examples:
      | change                                 |
      | and it hears of no change in the store |
      | and it hears of changes                |

  # TWICE: a scheduler that read all keys again did not see the election of one that had gone.
  Scenario: authority ends when a full read shows the epoch of a scheduler that has gone
    Given a world of replacements with 3 entries and 4 hosts
    And 6 long-running tasks at work
    When authority's scheduler reads a later epoch without a leader key after the store forgot its history
    Then no task of the replacements ran twice at the same time
    And the former scheduler of authority has ended its term within 1.5 seconds

  # TWICE: a registration of an earlier incarnation counted as proof that a later one had ended.
  Scenario: authority of an earlier incarnation's late registration proves no end
    Given a world of replacements with 2 entries and 4 hosts
    And 6 long-running tasks at work
    When authority's scheduler restarts, is overtaken by its earlier registration and loses its place
    Then no task of the replacements ran twice at the same time

  # TWICE: holds were counted from the election although the former scheduler ended during the load.
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
