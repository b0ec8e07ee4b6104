Feature: replay

  Guards against a replay that depends on anything but the trace and the seed, a
  baseline that decides as the production code does, an expected outcome that is not
  checked, and a policy change that misses a target on the shipped traces.

  Scenario: the same replay trace and seed give the same decisions
    Given the short replay trace
    When it is replayed twice with seed 3 and once with seed 4
    Then the replay digests of seed 3 are equal and that of seed 4 differs

  Scenario Outline: the replay baseline of <decision> differs from the real decision
    Given the short replay trace
    When it is replayed with the baseline of <decision>
    Then the replay digest differs from that of the production decisions

    Examples:
      | decision  |
      | placement |
      | routing   |

  Scenario Outline: a replay command with <input> exits with <code>
    When the replay command gets <input>
    Then the replay command exits with <code> and prints <text>

    Examples:
      | input                   | code | text              |
      | a trace and outcomes    | 0    | digest            |
      | an outcome that is out of reach | 1 | missed: urgent |
      | an unknown metric       | 1    | no such metric    |
      | a newer trace           | 2    | line 1            |
      | a trace without events  | 2    | has no events     |

  Scenario Outline: the stated outcomes of the <name> replay trace hold
    Given the shipped <name> replay trace
    When all its replay baselines are compared
    Then every expected outcome of the replay holds

    Examples: shipped
      | name   |
      | suva   |
      | asante |
      | teams  |

  Scenario Outline: the shipped <name> replay trace is what its header says
    Given the shipped <name> replay trace
    Then the command in its header makes the same replay trace

    Examples:
      | name   |
      | suva   |
      | asante |
      | teams  |
