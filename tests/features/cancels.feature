Feature: cancels

  A client may cancel a job while its submission is still under way, at any entry, since it got no
  answer. Guards against a job that runs although its cancelling was answered, and against records
  of cancels that grow with what callers send.

  # A DELETE was answered 410 without a record, and the job ran once its held-up write was stored.
  Scenario Outline: cancels of a job that is not stored yet hold when <event>
    Given a cancels world of 3 entries and 2 agents
    When a job is cancelled at <place> while its write is held up for 2 seconds, and <event>
    Then the cancelling was answered that there is no such job
    And nothing of the cancelled job ever starts
    And another submission of it is answered that it is cancelled, at each entry

    Examples:
      | place           | event                                 |
      | another entry   | nothing else happens                  |
      | the same entry  | nothing else happens                  |
      | another entry   | the submitting entry is killed        |
      | another entry   | the entry that answered is killed     |
      | another entry   | the scheduler is killed               |
      | the same entry  | the submitting entry is killed        |
      | another entry   | all entries are killed                |

  # What was refused at an entry was said never to run, while another submission was under way there.
  Scenario: cancels leave the outcome of a submission open while another one is under way
    Given a cancels world of 1 entries and 1 agents
    When a job is submitted again, and refused by the store, while its first write is held up
    Then the second submission is answered as unknown

  Scenario Outline: cancels are acknowledged soon when <fault>
    Given a cancels world of 2 entries and 2 agents
    When <kind> job is cancelled, and <fault>
    Then the cancelling is answered within 2.5 seconds
    And nothing of the cancelled job starts later than 3 seconds after that

    Examples:
      | kind         | fault                                  |
      | a running    | the answer of the first write is lost  |
      | an unknown   | the answer of the first write is lost  |
      | a running    | the first write is held up             |
      | an unknown   | the first write is held up             |

  # Whoever can send a DELETE can send a million of them.
  Scenario: cancels of unknown jobs cost a bounded number of writes and records
    Given a cancels world of 2 entries and 0 agents
    When 6000 unknown jobs are cancelled at one entry, 200 at a time
    Then 4096 of them are acknowledged, and the others refused as too many
    And these cancels took at most 300 writes
    And the cancelling of a stored job is acknowledged beside them
    And the next scheduler of the cancels world loads none of their records
    And all of their records are gone 900 seconds later, and none was within 660 seconds

  Scenario: cancels are told to clients that submit, show and cancel the job again
    Given a cancels entry that serves clients
    Then it answers DELETE with 410, POST with 200 and "cancelled", GET with 200 and "cancelled", and DELETE with 200

  Scenario: cancels that are too many are refused with the limit and a time to come back
    Given a cancels entry that serves clients
    When 4096 unknown jobs were cancelled there
    Then it answers DELETE with 429, "4096 of them were cancelled here within 660 s" and Retry-After

  Scenario: cancels of unknown jobs do not wait behind a crowd of others
    Given a cancels world of 1 entries and 0 agents
    When 1000 unknown jobs are cancelled at one entry, 1000 at a time
    Then 256 of them are acknowledged, and the others refused as too many
    And each of them was answered within 2 seconds

  Scenario: cancels of one unknown job again and again take one write
    Given a cancels world of 1 entries and 0 agents
    When one unknown job is cancelled 100 times
    Then these cancels took at most 1 writes

  Scenario Outline: cancels leave no record for ever whose time is <time>
    Given a cancels world of 1 entries and 0 agents
    When there is a record of a cancelled job with <value>
    Then all of their records are gone 900 seconds later, and none was within 660 seconds

    Examples:
      | time           | value           |
      | malformed      | {"at":          |
      | not a number   | {"at":"x"}      |
      | still to come  | {"at":1e9}      |
