Feature: settle

  Guards against settling a request as "never" although it ran, against running
  it after that, against kept answers that exhaust the memory, and against keys
  that are dropped too early.

  Scenario Outline: what an agent says of a request id
    Given an agent's settle tables
    When the settled request has <history>
    Then settling it returns <settlement>
    And a later start of the settled request is <verdict>

    Examples:
      | history                                  | settlement | verdict   |
      | never come                               | never      | never     |
      | been queued                              | running    | duplicate |
      | started to run                           | running    | duplicate |
      | been refused                             | never      | never     |
      | been unsent and refused                  | never      | never     |
      | been answered                            | done       | duplicate |
      | failed                                   | unknown    | duplicate |
      | been answered with more than is kept     | unknown    | duplicate |
      | been answered before many other answers  | unknown    | duplicate |
      | been answered and forgotten              | unknown    | forgotten |
      | been refused and forgotten               | unknown    | forgotten |

  Scenario: kept answers stay within their total
    Given an agent's settle tables
    When 50 answers of 100 bytes are kept by the settle tables
    Then the settle tables hold at most 1000 bytes and the newest answers

  Scenario Outline: a key is remembered for its time after the last use
    Given an agent's settle tables
    When a settle key is reserved, used again after 200 s and reserved by another after <wait> s more
    Then the settle key reply is <state>

    Examples:
      | wait | state |
      | 239  | known |
      | 241  | new   |

  Scenario: only the request that holds a key can release it
    Given an agent's settle tables
    When a settle key is released for another request
    Then the settle key is still held

  Scenario Outline: an agent vouches by its age
    Then an agent of age <age> s whose founder flag is <founder> is <maturity> in settling

    Examples:
      | age | founder | maturity |
      | 0   | no      | young    |
      | 119 | no      | young    |
      | 120 | no      | joining  |
      | 239 | no      | joining  |
      | 240 | no      | full     |
      | 0   | yes     | full     |
