Feature: quota

  Guards against a team that exceeds its limit by using several entries, against
  a share in use at two entries after a lost answer or a change of the lender,
  and against starvation of a team with a small limit.

  Scenario Outline: the exact rolling window of a quota never exceeds its limit
    Given a quota window of <limit> starts per second
    When 5000 starts at random times from seed <seed> are checked against the quota window
    Then no quota window of one second holds more than <limit> starts and none was refused needlessly

    Examples:
      | limit | seed |
      | 1     | 1    |
      | 7     | 2    |
      | 50    | 3    |

  Scenario Outline: shares of a quota rate never add up to more than the limit
    Given a quota of 220 teams over 6 entries with bursts from seed <seed>
    When the quota runs for 60 s with <faults>
    Then no team exceeded its quota rate in any second
    And the quota served at least <served> % of what an exact window would serve

    Examples:
      | faults                  | seed | served |
      | no faults               | 1    | 60     |
      | lost answers            | 2    | 50     |
      | a change of the lender  | 3    | 40     |

  Scenario: a quota with less than one start per entry still serves every entry in turn
    Given a quota of one team with 2 starts per second over 6 entries that all request it
    When the quota runs for 120 s
    Then every entry got a part of the quota
    And no team exceeded its quota rate in any second

  Scenario: a lender of a quota that has just taken over lends nothing until old shares have ended
    Given a quota lender that opens in 10 s
    Then the quota lender grants nothing before and the whole limit after
