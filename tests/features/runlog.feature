Feature: runlog

  Guards against an acknowledged record that is lost after a failover, a record
  written by a replaced scheduler, a record written twice after a lost answer,
  and a snapshot that loses or repeats records.

  Scenario Outline: runlog appends a record exactly once when <fault>
    Given a runlog of the first scheduler
    When a record is appended to the runlog while <fault>
    Then the next scheduler loads the runlog's records once and in order

    Examples:
      | fault                                     |
      | nothing fails                             |
      | the answer is lost                        |
      | the write is carried out 2 seconds later  |
      | three answers in a row are lost           |
      | the store is down for 4 seconds           |

  Scenario Outline: runlog refuses a scheduler that was replaced <when>
    Given a runlog of the first scheduler
    When another scheduler takes over <when> the first one appends to the runlog
    Then the runlog rejects the append of the first scheduler as fenced
    And the next scheduler does not load the first one's last record

    Examples:
      | when                                   |
      | before                                 |
      | before a late write is carried out and |

  # Guards against a takeover that renews no lease and sends no heartbeat until it has loaded.
  Scenario: runlog lets other tasks run while it loads
    Given a runlog of the first scheduler
    When 40 entries of 50 records each are appended to the runlog
    Then another task runs at least 9 times while the next scheduler loads the runlog

  Scenario: runlog keeps all records over snapshots, and removes what they replace
    Given a runlog of the first scheduler
    When 40 records are appended to the runlog with a snapshot after every 15
    Then the next scheduler loads the runlog's records once and in order
    And the store holds at most 12 keys of the runlog

  # A snapshot that begins after the next append must not claim to contain it.
  Scenario: runlog keeps the records that are appended before a snapshot is begun
    Given a runlog of the first scheduler
    When a snapshot of the runlog is begun late, after 3 more records were appended
    Then the next scheduler loads the runlog's records once and in order

  # Parts that a dead scheduler left were still to be removed when the same keys were written again.
  Scenario: runlog keeps a snapshot at the place of one that was not completed
    Given a runlog of the first scheduler
    When the first scheduler dies during a snapshot of the runlog, and the next one makes it again
    And the next scheduler appends records until no key of the runlog is obsolete
    Then the next scheduler loads the runlog's records once and in order

  # A malformed log entry or head of a snapshot ended each scheduler that loaded it.
  Scenario: runlog loads the other records beside malformed ones
    Given a runlog of the first scheduler
    When each malformed entry is written to the runlog, each followed by a good one
    And entries with malformed keys are written to the runlog
    And the next scheduler appends a record to the runlog
    Then the next scheduler loads the runlog's records once and in order

  # Without a readable head, the parts and the log still hold all records.
  Scenario Outline: runlog loads all records with a malformed head <when>
    Given a runlog of the first scheduler
    When 40 records are appended to the runlog with a snapshot after every 15
    And the head of the runlog's snapshot is malformed <when>
    Then the next scheduler loads the runlog's records once and in order
    And the store holds at most 12 keys of the runlog

    Examples:
      | when                                       |
      | at once                                    |
      | right after a snapshot                     |
      | after a snapshot that was not completed    |
      | while a restarted scheduler removes parts  |

  # A head that was written again after no answer took effect once more, after a newer one, and the
  # next scheduler loaded an old snapshot and lost the entries that the newer one had replaced.
  Scenario: runlog keeps all records when an unanswered head takes effect after a newer one
    Given a runlog of the first scheduler
    When the runlog's write of a head is carried out late, while a newer snapshot replaces it
    Then the next scheduler loads the runlog's records once and in order
    And the runlog's reader reports nothing

  # A part that was written again after no answer came back after its removal.
  Scenario: runlog does not bring back a part of a replaced snapshot
    Given a runlog of the first scheduler
    When the runlog's write of a part is carried out late, while a newer snapshot replaces it
    Then the next scheduler loads the runlog's records once and in order
    And the store holds the parts of 1 snapshot of the runlog

  # An append that was written again after no answer took effect once more when its entry had been
  # removed, and removed the key of a job that was accepted since.
  Scenario: runlog carries out an append once although its entry is removed meanwhile
    Given a runlog of the first scheduler
    When an append to the runlog that removes a key is carried out again after its entry is removed
    Then the next scheduler loads the runlog's records once and in order
    And the key that was written after the removal is in the store

  # Entries that are kept for the sake of such an append would pile up in a term of months.
  Scenario: runlog removes an entry whose append was not answered once no attempt can take effect
    Given a runlog of the first scheduler
    When an append to the runlog is not answered, and a snapshot replaces its entry
    Then the runlog's entry is in the store for 9 minutes and not after 11

  # A head that named an older snapshot, of which entries were removed, was loaded without a word.
  Scenario: runlog loads the newest whole snapshot when the head names an older one
    Given a runlog of the first scheduler
    When the head of the runlog names an older snapshot while entries after it are removed
    Then the next scheduler loads the runlog's records once and in order
    And the runlog's reader reports 26 missing entries after snapshot 1

  # A gap in the entries was passed over without a word.
  Scenario: runlog reports a gap in its entries and loads all others
    Given a runlog of the first scheduler
    When 20 records are appended to the runlog with a snapshot after every 15
    And the runlog's entry 18 is lost
    Then the next scheduler loads the runlog's records but that of entry 18
    And the runlog's reader reports 1 missing entries after snapshot 16

  # For the sake of one lost entry, a snapshot that a dead scheduler had begun was taken for whole.
  Scenario: runlog loads no incomplete snapshot in place of a whole one that lacks an entry
    Given a runlog of the first scheduler
    When 20 records are appended to the runlog with a snapshot after every 15
    And a snapshot of 3000 records of the runlog is not completed, and entry 18 is lost
    Then the next scheduler loads the runlog's records but that of entry 18
    And the runlog's reader reports 1 missing entries after snapshot 16

  # A snapshot that had lost a part was loaded as if it were whole, although the log had it all.
  Scenario: runlog does not take a snapshot without some of its parts for a whole one
    Given a runlog of the first scheduler
    When a snapshot of 3000 records of the runlog loses a part while the entries are there
    Then the next scheduler loads the runlog's records once and in order
    And the runlog's reader reports 1 parts of 2

  # A longer snapshot at the same place, which a dead scheduler left, was read along with it.
  Scenario: runlog leaves out a part beyond those that the head counts
    Given a runlog of the first scheduler
    When a snapshot of the runlog is followed by a part of an earlier one at its place
    Then the next scheduler loads the runlog's records once and in order
    And the runlog's reader reports nothing

  # Logs of the version before, whose heads do not count the parts, must load.
  Scenario: runlog loads a snapshot whose head does not count its parts
    Given a runlog of the first scheduler
    When 20 records are appended to the runlog with a snapshot after every 15
    And the head of the runlog's snapshot does not count its parts
    Then the next scheduler loads the runlog's records once and in order
    And the runlog's reader reports nothing

  # A scheduler whose head was removed by others could write no snapshot any more.
  Scenario: runlog writes a snapshot after its head was removed
    Given a runlog of the first scheduler
    When 20 records are appended to the runlog with a snapshot after every 15
    And the head of the runlog is removed
    Then the first scheduler's second attempt to write a snapshot of the runlog succeeds
    And the next scheduler loads the runlog's records once and in order

  Scenario: runlog loads an empty log whose head is malformed
    Given a runlog of the first scheduler
    When all of the runlog but a malformed head is lost
    Then the next scheduler loads the runlog's records once and in order

  # Late writes of entries, parts and heads, and takeovers in their midst, lost records.
  Scenario Outline: runlog loses no record while unanswered writes take effect late, seed <seed>
    Given a runlog of the first scheduler
    When 8 schedulers append to the runlog in turn while writes are late, with seed <seed>
    Then the next scheduler loads the runlog's records once and in order
    And the runlog's reader reports nothing

    Examples:
      | seed |
      | 2    |
      | 9    |
      | 12   |
