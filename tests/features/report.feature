Feature: report

  Guards against a report that shows a missed target as met, divides by a baseline of 0,
  or fails when a phase is missing on one side.

  Scenario Outline: a report judges <measure>
    Given a recorded comparison for the report
    When the report's <side> has <key> = <value> in phase <phase>
    Then the report shows "<measure>" as <verdict>

    Examples:
      | measure                        | side     | phase       | key                      | value | verdict        |
      | p99 of all                     | system   | wave        | p99                      | 60    | met            |
      | p99 of all                     | system   | wave        | p99                      | 61    | missed         |
      | p99 of all                     | baseline | wave        | p99                      | 0     | not comparable |
      | batch work kept                | system   | wave        | useful                   | 95    | met            |
      | batch work kept                | system   | wave        | useful                   | 94    | missed         |
      | work wasted by evictions       | baseline | evict       | wasted_by_eviction       | 20    | met            |
      | work wasted by evictions       | baseline | evict       | wasted_by_eviction       | 19    | missed         |
      | work wasted by evictions       | baseline | evict       | wasted_by_eviction       | 0     | not comparable |
      | beyond the data centre's share | system   | change      | cost                     | 0.05  | met            |
      | beyond the data centre's share | system   | change      | cost                     | 0.06  | missed         |
      | requests sent per arrival      | system   | half-failed | sends                    | 1.1   | met            |
      | requests sent per arrival      | system   | half-failed | sends                    | 1.11  | missed         |

  Scenario: a report leaves out a phase that one side does not have
    Given a recorded comparison for the report
    When the report's baseline has no phase change
    Then the report has measures of wave, evict and half-failed only

  Scenario: a report is written as text, JSON and one page with its plots
    Given a recorded comparison for the report
    When the report is written
    Then the report's text and page name every measure and the missed ones
    And the report's JSON holds both sides and the measures
    And the report's page holds its plots and refers to no other file
