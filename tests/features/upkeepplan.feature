Feature: upkeepplan

  What is decided for an upkeep wave from one state of hosts and runs. Guards against work that is
  ended in vain, hosts that are sent while something runs there, and serving tasks that move twice.

  Scenario: upkeepplan sends hosts that run nothing first, and those with serving tasks last
    Given upkeepplan hosts a, b, c and d
    And on host a 1 serving task of a step of 1, of which 1 may be away
    And on host b a task of 20 s that has run for 5 s
    And on host c a task of 20 s that has run for 17 s
    When upkeepplan plans a wave of 100 s for a, b, c and d, 1 at a time, until each is sent
    Then the upkeepplan machines were chosen in the order d, c, b, a

  Scenario Outline: upkeepplan with <time> s left stops <stopped>
    Given upkeepplan hosts a, b and c
    And on host a a task of 20 s that has run for 5 s
    And on host a a checkpointing task of 20 s that has run for 5 s
    When upkeepplan plans a wave of <time> s for a, 1 at a time
    Then the upkeepplan stops <stopped> on host a, and sends nothing

    Examples:
      | time | stopped |
      | 60   | 1 run   |
      | 10   | 2 runs  |

  Scenario Outline: upkeepplan stops <stopped> of 2 serving tasks on a host when <case>
    Given upkeepplan hosts a, b and c
    And on host a 2 serving tasks of a step of <count>, of which <limit> may be away
    And on host b 1 more of them
    And the upkeepplan's <case>
    When upkeepplan plans a wave of 1 s for a, 1 at a time
    Then the upkeepplan stops <stopped> on host a, and sends nothing

    Examples:
      | case                        | count | limit | stopped |
      | other hosts are fine        | 3     | 1     | 1 run   |
      | other hosts are fine        | 3     | 2     | 2 runs  |
      | other hosts are fine        | 4     | 1     | nothing |
      | host b is not heard of      | 3     | 1     | nothing |
      | host b drains               | 3     | 0     | nothing |

  Scenario Outline: upkeepplan sends nothing for a machine while <case>
    Given upkeepplan hosts a and b
    And the upkeepplan's <case>
    When upkeepplan plans a wave of 20 s for a, 1 at a time
    Then the upkeepplan sends nothing

    Examples:
      | case                           |
      | host a has an unknown run      |
      | host a has not reported yet    |
      | machine a has another instance |
      | machine a is down              |
      | list is 4 s old                |

  # No machine was ever sent where a list takes longer than it may be old.
  Scenario: upkeepplan goes by an older list if lists take long
    Given upkeepplan hosts a and b
    And the upkeepplan's list is 6 s old, and took 2 s
    When upkeepplan plans a wave of 20 s for a, 1 at a time
    Then the upkeepplan sends machine a

  Scenario: upkeepplan places a serving task on a host whose upkeep is not still to come
    Given upkeepplan hosts a and b
    And on host a 1 serving task of a step of 1, of which 1 may be away
    When upkeepplan plans a wave of 20 s for a, 1 at a time
    Then a serving task that waits then goes to host b
