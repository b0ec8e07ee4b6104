Feature: controlflow

  Fails if a change does not reach every process, if a take-out of a data centre is
  lost while the store is down or reported in force too early, or if bundles are sent
  repeatedly.

  Scenario: a bundle and a take-out reach every entry and agent
    Given a control network of 2 entries and 3 agents linked to both
    When entry-1 reads bundle 2 and a take-out from the store
    Then the whole control network has bundle 2 and the take-out
    And entry-1 sees both acknowledged by all its peers
    And each process of the control network was sent bundle 2 at most 2 times

  Scenario: a process that links later gets the state
    Given a control network of 1 entries and 0 agents linked to both
    When entry-1 reads bundle 2 and a take-out from the store
    And agent-9 links to entry-1 of the control network
    Then the whole control network has bundle 2 and the take-out

  Scenario Outline: a peer whose update was lost is brought up to date by its heartbeat
    Given a control network of 2 entries and 1 agents linked to both
    When the updates from <sender> to <peer> are lost while it gets bundle 2
    And <peer> sends heartbeats to <sender> for 4 s
    Then <peer> has bundle 2 in the control network
    And <sender> sent bundle 2 to <peer> 1 times after the loss

    Examples:
      | sender  | peer    |
      | entry-1 | agent-1 |
      | entry-1 | entry-2 |
      | agent-1 | entry-2 |

  Scenario: an agent leaves an entry that is briefly behind to the other entries
    Given a control network of 2 entries and 1 agents linked to both
    When the updates from agent-1 to entry-2 are lost while it gets bundle 2
    And entry-2 sends heartbeats to agent-1 for 2 s
    Then agent-1 sent bundle 2 to entry-2 0 times after the loss

  Scenario: a peer that refuses the bundle is not sent it with every heartbeat
    Given a control network of 1 entries and 1 agents linked to both
    When agent-1 of the control network trusts no key
    And entry-1 reads bundle 2 and a take-out from the store
    And agent-1 sends heartbeats to entry-1 for 62 s
    Then entry-1 sent bundle 2 to the refusing agent-1 from 2 to 6 times

  # Guards against a withdrawn key that a restart brings back for good, or at all if no settings list it.
  Scenario Outline: a restarted control process with <keys> does not keep a withdrawn key from <source>
    Given a control network of 2 entries and 1 agents linked to both
    When bundle 2 by a rotated key revokes the old one and reaches only entry-1 of the control network
    And <process> restarts in the control network with settings that list <keys>
    And the restarted control process hears from <source>, which has bundle 1 by the withdrawn key
    Then the restarted control process has bundle <first> and <trusts> the withdrawn key
    When the restarted control process hears from <later>, which has bundle 2
    And the restarted control process hears from <source>, which has bundle 1 by the withdrawn key
    Then the restarted control process has bundle 2 and refuses the withdrawn key

    Examples:
      | process | keys         | source    | later     | first | trusts  |
      | agent-9 | the new key  | entry-2   | entry-1   | 0     | refuses |
      | entry-9 | the new key  | entry-2   | entry-1   | 0     | refuses |
      | entry-9 | the new key  | the store | entry-1   | 0     | refuses |
      | entry-9 | the new key  | agent-1   | the store | 0     | refuses |
      | agent-9 | both keys    | entry-2   | entry-1   | 1     | accepts |
      | entry-9 | both keys    | entry-2   | the store | 1     | accepts |
      | entry-9 | the old key  | the store | entry-1   | 1     | accepts |

  Scenario: a take-out without the store is written back once the store answers
    Given a control network of 2 entries and 1 agents linked to both
    When entry-2 takes suva-depot out while the store is out
    Then entry-1 has written the take-out back after a store read that failed to write once

  Scenario: an older state in the store changes nothing
    Given a control network of 1 entries and 1 agents linked to both
    When entry-1 reads bundle 2 and a take-out from the store
    And entry-1 reads bundle 1 and an older bring-back from the store
    Then the whole control network has bundle 2 and the take-out

  Scenario Outline: a take-out is reported in force only when no start can take effect
    Given a control network of <entries> entries and 1 agents linked to both
    When entry-1 takes suva-depot out with <event>
    Then after <seconds> s entry-1 reports the take-out <report>

    Examples:
      | entries | event                     | seconds | report       |
      | 2       | the store                 | 4.4     | not in force |
      | 2       | the store                 | 4.5     | in force     |
      | 2       | all acknowledging         | 2.4     | not in force |
      | 2       | all acknowledging         | 2.5     | in force     |
      | 2       | entry-2 cut off           | 60      | not in force |
      | 2       | entry-2 restarted         | 60      | not in force |
      | 1       | all acknowledging         | 0       | in force     |
      | 1       | agent-1 silent            | 2.4     | not in force |
      | 1       | agent-1 silent            | 2.5     | in force     |

  Scenario: a bundle is in force when all entries and linked agents have it
    Given a control network of 2 entries and 1 agents linked to both
    When the updates from entry-1 to agent-1 are lost while it gets bundle 2
    Then entry-1 reports bundle 2 as not in force
    And after agent-1 has sent heartbeats for 3 s entry-1 reports bundle 2 as in force
