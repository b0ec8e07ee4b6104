Feature: control

  Guards against a bundle version or data-centre status that goes backwards, a
  state that depends on the order of updates, an out status that is overridden
  by an in status of the same seq, trust in a revoked key, and work that is
  allowed without rules or against them. A take-out is a status with state out,
  a bring-back one with state in.

  Scenario: every order of updates leads to the same state and never reverts
    Given a control state and updates with 3 bundles, 4 statuses and 1 founders record
    When the updates are applied in every order
    Then every order of updates ends in bundle 3 and the highest statuses
    And no step of any order lowered the bundle version or a status

  Scenario Outline: a take-out races with a bring-back
    Given a control state with bundle 1 in force
    When a take-out with seq <out> and a bring-back with seq <back> arrive in both orders
    Then the raced data centre is <state> in both orders

    Examples:
      | out | back | state |
      | 5   | 5    | out   |
      | 5   | 6    | in    |
      | 6   | 5    | out   |

  Scenario Outline: a bundle is refused but the rest of the update is merged
    Given a control state with bundle 1 in force
    When an update brings <bundle> with a take-out
    Then bundle 1 stays in force and the take-out is applied

    Examples:
      | bundle                                |
      | bundle 1 with other rules             |
      | bundle 2 signed by a stranger         |
      | bundle 2 that revokes its signing key |
      | bundle 2 with an invalid rule         |
      | bundle 2 announced as 0               |
      | bundle 1 announced as 9               |
      | bytes that are no envelope            |

  Scenario: a rotated key stays trusted when its predecessor is revoked
    Given a control state with bundle 1 in force
    When bundle 2 is signed by a rotated key and bundle 3 revokes the old one
    Then a bundle 4 by the revoked key is refused
    And a bundle 4 by a key with a delegation from the revoked one is refused
    And a bundle 4 by the rotated key is accepted

  Scenario Outline: one bundle hands over from a key in the settings to others
    Given a control state with bundle 1 in force
    When bundle 2 by a rotated key revokes the old one and lists the key of a colleague as trusted
    Then a bundle 3 by <signer> is <result> by a running and by a restarted process

    Examples:
      | signer          | result   |
      | the rotated key | accepted |
      | the colleague   | accepted |
      | the revoked key | refused  |

  Scenario Outline: only the next version may be submitted
    Given a control state with bundle 1 in force
    Then submitting bundle <version> gives <result>

    Examples:
      | version | result   |
      | 1       | conflict |
      | 2       | accepted |
      | 3       | conflict |

  Scenario Outline: freshness follows the start of the last read
    Given a control state with bundle 1 in force
    When control reads began at <reads>
    Then at <now> s the control state is <fresh>

    Examples:
      | reads    | now   | fresh |
      | none     | 0.0   | stale |
      | 10       | 12.0  | fresh |
      | 10       | 12.01 | stale |
      | 10,9     | 12.0  | fresh |

  Scenario: a process without a bundle refuses everything
    Given a control state without a bundle
    Then work of collection doing intake in suva-depot is refused by: no bundle is in force

  Scenario Outline: work is allowed or refused by the rules
    Given a control state with bundle 1 in force
    When the control state gets status <state> of <dc>
    Then work of <team> doing <activity> in <dc> is refused by: <rule>

    Examples:
      | team       | activity  | dc           | state | rule                      |
      | nobody     | intake    | suva-depot   | in    | teams does not name       |
      | collection | intake    | lautoka      | in    | datacentres does not name |
      | collection | intake    | suva-depot   | out   | out of service            |
      | composting | shredding | suva-depot   | in    | placement[0]              |
      | composting | turning   | compost-yard | in    | quiet_hours[0]            |
      | composting | turning   | nasinu-depot | in    | nothing                   |

  Scenario: an allowed verdict names the start of the next quiet hours
    Given a control state with bundle 1 in force
    Then work of composting doing shredding in nasinu-depot ends at 2026-12-12T12:00:00 UTC
