Feature: mirror

  Guards against a local copy of the store that keeps its process from everything else.

  # An entry that read all jobs at once could not renew its lease of the store meanwhile.
  Scenario: mirror lets other tasks run while it applies a full read
    Given a mirror of 2000 keys whose changes take a while to apply
    Then another task runs at least 30 times while the mirror reads all its keys

  # Each version of a large configuration was read in turn, which kept a narrow link full; lease
  # renewals found no room on it, and the configuration in force was seconds old.
  Scenario: mirror reads the newest of many versions of a large value
    Given a mirror over a link of 2 Mbit/s
    When a value of 60 kB changes 5 times a second for 6 seconds
    Then the mirror is never more than 1.5 seconds behind the value
    And the mirror has received at most 12 of the 30 versions

  Scenario: mirror shows a single change at once
    Given a mirror over a link of 2 Mbit/s
    When a value of 60 kB changes 1 times a second for 4 seconds
    Then the mirror is never more than 1.2 seconds behind the value
