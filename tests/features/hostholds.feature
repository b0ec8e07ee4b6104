Feature: hostholds

  A new scheduler holds the runs of hosts of the last term until they have certainly ended. Guards
  against holds that are longer than the runs of a host can last, and against shorter ones, which
  would let two runs of a task overlap.

  # review/10: tasks on lost executors were started again 13.7 s later, although their agents lived.
  Scenario: hostholds let tasks of lost executors run again soon after the scheduler was frozen
    Given a world of replacements with 3 entries and 4 hosts
    And 6 long-running tasks at work
    When the scheduler is frozen for 2.2 seconds and the executor with most tasks is lost for good
    Then no task of the replacements was down for longer than 9 seconds
    And no task of the replacements ran twice at the same time

  Scenario Outline: hostholds end <seconds> seconds after the start of the term when a host <event>
    Given a hostholds host of the last term whose scheduler may still grant leases
    When the hostholds host <event>
    Then its runs are given up between <seconds> and <latest> seconds after the start of the term

    Examples:
      | event                                                      | seconds | latest |
      | never attaches                                             | 12.4    | 12.6   |
      | attaches after 1 second                                    | 7.4     | 7.6    |
      | attaches after 1 second under the former epoch             | 12.4    | 12.6   |
      | attaches after 1 second and its link closes                | 12.4    | 12.6   |
      | attaches after 1 second and its link closes after a report | 7.4     | 7.6    |
      | attaches after 1 second, and the former one ended at 3     | 7.4     | 7.6    |

  # Each scheduler, and each attachment of one, began the hold anew.
  Scenario Outline: hostholds that the last scheduler recorded as 2 seconds end then when the host <event>
    Given a hostholds host whose runs last 2 seconds as the last scheduler recorded
    When the hostholds host <event>
    Then its runs are given up between 2.0 and 2.2 seconds after the start of the term

    Examples:
      | event                                                  |
      | never attaches                                         |
      | attaches after 1 second                                |
      | attaches after 1 second under the former epoch         |
      | attaches after 1 second and its link closes            |
      | attaches again and again                               |

  Scenario: hostholds are not begun anew by a host that attaches again and again without a report
    Given a hostholds host of the last term whose scheduler may still grant leases
    When the hostholds host attaches again and again
    Then its runs are given up between 6.4 and 6.6 seconds after the start of the term

  # The record of a term left out hosts whose agents were attached to it.
  Scenario: hostholds of a host that attached and gave no report are recorded at the end of the term
    Given a hostholds host of the last term whose scheduler may still grant leases
    When it attaches 1 second after the start of the term, which ends 4 seconds later
    Then its hostholds record says 7.42 seconds, as its next agent may follow the former scheduler

  # A lease that is granted after the record was taken would outlast it.
  Scenario: hostholds that are recorded are followed by no grant
    Given a hostholds host of the last term that has reported
    When the term of the hostholds ends, and another report arrives
    Then the host gets no hostholds grant after the record was taken

  # A scheduler that had to go while it loaded left a record without holds.
  Scenario: hostholds are passed on by a scheduler that ends before it has loaded
    Given a hostholds scheduler whose predecessor recorded 4 seconds for a host
    When it ends 1.5 seconds after its start, while it still loads its tables
    Then its hostholds record says 2.5 seconds

  # The record kept any 100 hosts, not those whose runs have nearly ended.
  Scenario: hostholds records name the hosts whose runs end first
    Given a hostholds record of 400 hosts that are held for up to 6 seconds
    Then its stored form names the 100 with the shortest holds, and can be read again

  # The holds rest on this: an agent takes nothing from an epoch below the one that it follows.
  Scenario: hostholds rest on agents that take no grant of an earlier epoch
    Given a hostholds agent that is attached to the scheduler of epoch 4
    When it hears of the scheduler of epoch 5, and then gets grants and notices of epoch 4
    Then its hostholds lease was not extended, and it never attached to epoch 4 again
