Feature: absences

  For how long long-running tasks are away is measured at the scheduler, by what the end of their runs
  is known from. Guards against tasks that stand for longer than 9 s without on-call seeing it.

  Scenario Outline: absences are counted as <basis> when the host with most tasks <event>
    Given a world of replacements with 3 entries and 4 hosts
    And 6 long-running tasks at work
    When the <subject> of the host with most tasks <event>, for absences
    Then its tasks' absences are counted as <basis>, and last as long as the tasks were down but for <before> seconds

    Examples:
      | subject  | event                                        | basis                     | before |
      | executor | shuts down                                   | unlisted                  | 0      |
      | machine  | is lost                                      | grant                     | 0      |
      | machine  | is lost as the scheduler is killed           | assumption                | 2      |

  Scenario Outline: absences of <seconds> seconds are logged <times> times
    Given an absences task whose run was reported last at 100 seconds
    When its run ends with the basis assumption, its next start is refused, and another one begins <seconds> seconds after the report
    Then the absences log has <times> lines with the task, its basis and <seconds> seconds

    Examples:
      | seconds | times |
      | 14      | 1     |
      | 8.9     | 0     |

  Scenario: absences of tasks that an earlier scheduler left without a run count from the start of the term
    Given an absences task that an earlier scheduler has recorded as lost
    When its next run begins 3 seconds after the start of the term
    Then its absence was counted as earlier term with 3 seconds
