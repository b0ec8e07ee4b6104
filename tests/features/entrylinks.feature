Feature: entrylinks

  Fails if agents link to every entry, so that each entry serves every agent; if an
  agent waits for a scheduler that it has no link to; or if all agents dial all entries
  when they lose the scheduler, which keeps each successor too busy to renew its lease.

  Scenario: entrylinks dials one entry more each 0.7 seconds until a scheduler grants
    Given an agent of entrylinks that knows 10 entries
    Then entrylinks dials 1 entries
    When entrylinks runs 2 seconds later
    Then entrylinks dials 3 entries
    When entrylinks runs 8 seconds later
    Then entrylinks dials 10 entries
    When the scheduler of entrylinks grants
    Then entrylinks dials 2 entries, the scheduler's among them

  Scenario Outline: entrylinks dials <dialled> entries <seconds> seconds after the newest grant
    Given an agent of entrylinks that knows 10 entries
    When the scheduler of entrylinks grants
    And entrylinks runs <seconds> seconds later
    Then entrylinks dials <dialled> entries

    Examples:
      | seconds | dialled |
      | 1       | 2       |
      | 2       | 4       |
      | 9       | 10      |

  Scenario: entrylinks keeps to one entry while the agent has no executor
    Given an agent of entrylinks that knows 10 entries and has no executor
    When entrylinks runs 9 seconds later
    Then entrylinks dials 1 entries

  Scenario: entrylinks dials a later scheduler that a spare entry has named
    Given an agent of entrylinks that knows 10 entries
    When the scheduler of entrylinks grants
    And a spare entry of entrylinks names a later scheduler
    Then entrylinks dials 2 entries, the scheduler's among them

  Scenario: entrylinks spreads the spare links of many agents over the entries
    When 300 agents of entrylinks have a scheduler among 10 entries
    Then no entry of entrylinks but the scheduler's has more than 60 links

  Scenario: entrylinks spreads the dials of agents that have lost the scheduler
    When 300 agents of entrylinks lose the scheduler among 10 entries for 1 second
    Then no entry of entrylinks but the scheduler's has more than 120 links

  # Agents that were linked to entries shutting down only heard late of the next scheduler.
  Scenario: entrylinks dials entries that are draining last
    Given an agent of entrylinks that knows 10 entries
    When 8 of the entries that entrylinks knows are draining
    And entrylinks runs 1 seconds later
    Then entrylinks dials 2 entries, none of them draining
