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

  # The holds rest on this: an agent takes nothing from an epoch below the one that it follows.
  Scenario: hostholds rest on agents that take no grant of an earlier epoch
    Given a hostholds agent that is attached to the scheduler of epoch 4
    When it hears of the scheduler of epoch 5, and then gets grants and notices of epoch 4
    Then its hostholds lease was not extended, and it never attached to epoch 4 again
