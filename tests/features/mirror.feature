Feature: mirror

  Guards against a local copy of the store that keeps its process from everything else.

  # An entry that read all jobs at once could not renew its lease of the store meanwhile.
  Scenario: mirror lets other tasks run while it applies a full read
    Given a mirror of 2000 keys whose changes take a while to apply
    Then another task runs at least 30 times while the mirror reads all its keys
