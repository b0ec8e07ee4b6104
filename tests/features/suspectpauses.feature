Feature: suspectpauses

  A task that is suspected of two crashes of executors waits for some seconds before it starts again,
  since another crash too soon would prove nothing. Guards against such a pause that begins anew with
  each change of the scheduler, so that a task that lasts stays down for as long as changes go on.

  # 26.6 and 27.5 s: each scheduler began the pause anew. Killed, each leaves 1.2 s without a scheduler.
  Scenario Outline: suspectpauses end although the scheduler is <change> every <gap> seconds
    Given a world of replacements with 3 entries and 4 hosts
    And 1 long-running tasks at work
    When its executor crashes and another one as it starts, and suspectpauses' schedulers are <change> 8 times, <gap> seconds apart
    Then no task of the replacements was down for longer than <bound> seconds
    And no task of the replacements ran twice at the same time

    Examples:
      | change       | gap | bound |
      | told to stop | 3   | 9     |
      | killed       | 3   | 9     |

  # A log that keeps the crashes but not the time since then lets each scheduler begin the pause anew.
  Scenario Outline: suspectpauses are counted on from <source> of an earlier scheduler
    Given a suspectpauses task that is suspected of 2 crashes, and a record that it has waited for 3 seconds
    When another scheduler loads <source> 100 seconds later
    Then its suspectpauses task is held for 1 second more, and counts as waiting for 3 seconds
    When that task has run, and loads follow from <source>
    Then its suspectpauses task counts as waiting for 0 seconds

    Examples:
      | source     |
      | the log    |
      | a snapshot |
