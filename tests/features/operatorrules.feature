Feature: operatorrules

  The operator's keys may be read late, not at all, or be outdated, while all else of the store
  answers. Guards against decisions by rules that were not read, and against waits for them without
  an end.

  # After all entries had been killed, the next scheduler started 10 to 14 tasks in an evacuated data
  # centre, since the configuration took longer to read than its jobs.
  Scenario Outline: operatorrules start nothing in a data centre out of service when <fault>
    Given an operatorrules world of 2 entries whose operator has taken z2 out of service
    When all entries of the operatorrules world are killed, and <fault>
    Then nothing has started in z2 since it was taken out of service
    And tasks of the operatorrules world start again within <within> seconds

    Examples:
      | fault                                                 | within |
      | nothing else happens                                  | 5      |
      | the configuration takes 3 seconds to read             | 8      |
      | the configuration is not read for 6 seconds           | 12     |
      | the configuration is never read                       | 12     |
      | the evacuations are not read for 6 seconds            | 12     |
      | neither is ever read                                  | 12     |
      | neither is ever read, and the next ones are killed    | 14     |
      | the configuration is malformed                        | 5      |
      | there is no configuration                             | 5      |

  Scenario: operatorrules follow what the operator changed while there was no scheduler
    Given an operatorrules world of 2 entries whose operator has taken z2 out of service
    When all entries of the operatorrules world are killed, and the operator takes z1 out and z2 back
    Then nothing has started in z1 since then
    And tasks of the operatorrules world start again within 5 seconds

  # A job failed by the number of attempts that its queue had before.
  Scenario Outline: operatorrules give up no job by the attempts of an earlier configuration when <fault>
    Given an operatorrules world of 2 entries whose queue allows 1 attempt
    When a task fails while there is no scheduler, the attempts are raised to 3, and <fault>
    Then the job of the operatorrules world is completed

    Examples:
      | fault                                     |
      | nothing else happens                      |
      | the configuration takes 3 seconds to read |

  # A watch that is cut shows nothing, and looks like one without changes.
  Scenario: operatorrules start nothing in a data centre whose evacuation a cut watch has hidden
    Given an operatorrules world of 2 entries whose operator has taken nothing out of service
    When the scheduler's watch of the operator's keys is cut for 7 seconds, and z2 is taken out 0.5 seconds after that
    Then nothing starts in z2 from 5 seconds after that on
    And tasks of the operatorrules world start again within 5 seconds

  Scenario: operatorrules let tasks start again although a watch stays cut
    Given an operatorrules world of 2 entries whose operator has taken nothing out of service
    When the scheduler's watch of the operator's keys is cut for 60 seconds
    Then tasks of the operatorrules world start again within 10 seconds

  # A configuration that was never read was taken as a reason to go by outdated evacuations.
  Scenario Outline: operatorrules wait for each of the copies when <case>
    Given operatorrules with a configuration <configuration> and evacuations <evacuations>, <reading> seconds after the first read began
    Then they allow decisions at once: <now>, and 6 seconds later: <later>

    Examples:
      | case                            | configuration | evacuations   | reading | now | later |
      | all is read                     | 1 second old  | 1 second old  | 2       | yes | yes   |
      | the configuration is not read   | not read      | 1 second old  | 2       | no  | no    |
      | the evacuations are not read    | 1 second old  | not read      | 2       | no  | no    |
      | neither is read in time         | not read      | not read      | 9       | yes | yes   |
      | the evacuations are outdated    | 1 second old  | 4 seconds old | 2       | no  | yes   |
      | the configuration is outdated   | 7 seconds old | 1 second old  | 2       | no  | yes   |
      | one is not read, one outdated   | not read      | 4 seconds old | 9       | no  | yes   |

  # An entry that is cut off from the newest configuration may schedule after one that had read it.
  Scenario Outline: operatorrules of the run log go before those read when <case>
    Given operatorrules in the run log of version 6, revision 60, 3 attempts, and z2 out of service
    When an entry has read version <version> with 2 attempts, and at revision <revision> that <read> is out
    Then the operatorrules in force allow <attempts> attempts, with <out> out of service
    And a queue that is not configured is <queue>

    Examples:
      | case                    | version | revision | read | attempts | out | queue     |
      | both are older          | 5       | 50       | z1   | 3        | z2  | kept      |
      | the version is older    | 5       | 70       | z1   | 3        | z1  | kept      |
      | the revision is older   | 7       | 50       | z1   | 2        | z2  | forgotten |
      | none is older           | 7       | 70       | z1   | 2        | z1  | forgotten |
      | the versions are equal  | 6       | 60       | z2   | 2        | z2  | forgotten |

  Scenario: operatorrules in a snapshot are those that were recorded
    Given operatorrules in the run log of version 6, revision 60, 3 attempts, and z2 out of service
    Then a table that is rebuilt from its snapshot has the same operatorrules

  # A route that was just added was said not to exist by an entry whose watch was cut.
  Scenario Outline: operatorrules answer <status> for an unknown queue when the configuration is <age> seconds old
    Given an operatorrules entry that read its configuration <age> seconds ago
    Then it answers <status> to a call of a queue that it does not know

    Examples:
      | age | status |
      | 1   | 404    |
      | 4   | 503    |
