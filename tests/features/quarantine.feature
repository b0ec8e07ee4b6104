Feature: quarantine

  A host that fails the runs of several jobs is set aside for a while. Guards against jobs that can
  never be done and take all hosts of a service out, and against hosts that stay out untried.

  # Guards against a service that starts nothing for 30 s: two hopeless jobs set all its hosts aside (review/9).
  Scenario Outline: quarantine keeps a service at work while <hopeless> of 34 jobs can never be done, with seed <seed>
    Given a quarantine world of 4 hosts
    When 34 jobs come, of which <hopeless> fail all of their 32 tasks
    Then all other jobs of the quarantine world are completed within 20 seconds with seed <seed>

    Examples:
      | hopeless | seed |
      | 2        | 1    |
      | 2        | 2    |
      | 4        | 3    |

  # Guards against failures that count against hosts although a job causes them, or against a job although a host does.
  Scenario Outline: quarantine judges <case>
    Given 4 quarantined hosts of a service
    When their runs end as <ends>
    Then the quarantined hosts that are set aside are <aside>

    Examples:
      | case                                         | ends                        | aside |
      | a host that fails two jobs                   | a1 a2                       | a     |
      | a host that fails one job                    | a1 a1 a1                    | none  |
      | a success between                            | a1 a9+ a2                   | none  |
      | two jobs that fail everywhere                | a1 b1 c2 d2 a2 b2           | none  |
      | a hopeless job, after its host was set aside | a1 a2 b1                    | none  |
      | a sick host and a job that succeeds          | b1+ a1 a2                   | a     |
      | two sick hosts and jobs that succeed         | c1+ c2+ a1 a2 b1 b2         | a,b   |
      | hosts beyond half of a service               | a1 a2 b3 b4 c5 c6 d7 d8     | a,b   |

  # Guards against a time that doubles although no run was started after the host was set aside.
  Scenario: quarantine counts no run that was ordered before its host was set aside
    Given 4 quarantined hosts of a service
    When host a fails 6 jobs of runs that were ordered before the first of them ended
    Then host a is set aside for 4 seconds, and for 8 seconds after 2 more jobs once it is back

  # Guards against a service without a usable host after the others are gone.
  Scenario: quarantine takes hosts back when the others are gone
    Given 4 quarantined hosts of a service
    When their runs end as a1 a2 b3 b4, and hosts c and d stop answering
    Then 1 of the quarantined hosts that are set aside is taken back, the one that ends first
