Feature: narrowlinks

  The state of a fleet grows with its work, and the scheduler may be on the machine with the
  narrowest link. Guards against a bound on time that takes no account of size: a scheduler that
  never serves after a power cut, since each try to read its log begins anew and is cut off.

  # After a power cut of all machines, a scheduler tried 17 times to read the same first page.
  Scenario Outline: narrowlinks let a scheduler serve after a power cut of everything
    Given a narrowlinks world of 3 entries and 4 agents with <jobs> jobs of 40 waiting tasks
    When the narrowlinks world loses power, and connections to the store <fault>
    Then the narrowlinks world serves again within <within> seconds
    And the narrowlinks world runs no task twice and completes its first job

    Examples:
      | jobs | fault                                          | within |
      | 40   | carry 2 Mbit/s                                 | 20     |
      | 40   | carry 2 Mbit/s and are reset after 300 kB      | 20     |
      | 40   | are reset after 20 kB                          | 20     |

  # The first entry kept its place for 33 s while it could read nothing, and no other tried.
  Scenario: narrowlinks make a scheduler that loads nothing give up its term
    Given a narrowlinks world of 3 entries and 4 agents with 4 jobs of 40 waiting tasks
    When the narrowlinks world loses power, and the strongest entry reads no page of the store
    Then the narrowlinks world serves again within 12 seconds
    And the narrowlinks world runs no task twice and completes its first job

  # Guards against entries that leave the leadership to each other after all have given up.
  Scenario: narrowlinks let a scheduler serve soon after no entry could read
    Given a narrowlinks world of 2 entries and 4 agents with 4 jobs of 40 waiting tasks
    When the narrowlinks world loses power, and no entry reads a page of the store for 12 seconds
    Then the narrowlinks world serves again within 15 seconds
    And the narrowlinks world runs no task twice and completes its first job

  Scenario: narrowlinks need states of open jobs only when a scheduler starts
    Given a narrowlinks world of 3 entries and 4 agents with 30 jobs that have ended
    When the scheduler of the narrowlinks world is killed
    Then the next scheduler of the narrowlinks world sends no final state
    And each entry of the narrowlinks world still shows the jobs as completed

  # A snapshot of 5 s held up every start and end meanwhile.
  Scenario: narrowlinks let a scheduler start tasks while it writes a snapshot
    Given a narrowlinks world of 3 entries and 4 agents with 40 jobs of 40 waiting tasks
    When the scheduler writes a snapshot at 1 part a second in the narrowlinks world
    Then the narrowlinks scheduler appends at least 2 times during the snapshot
    And the narrowlinks world serves again within 20 seconds after a power cut
    And the narrowlinks world runs no task twice and completes its first job

  # A batch after a power cut grew with the fleet, and was never written over a narrow link.
  Scenario: narrowlinks let no value of the run log grow with the fleet
    Given a narrowlinks world of 3 entries and 4 agents with 40 jobs of 40 waiting tasks
    When 3000 records and 20 other operations are appended to a run log at once
    Then no value of the run log has more than 70000 bytes
    And the next run log loads the 3000 records in order, and the other operations took effect
