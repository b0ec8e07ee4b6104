Feature: owner

  Guards against a task that runs in two places at once, work that resumes twice
  or from an old checkpoint, a start without fresh control state, an accepted job
  that is lost, and waiting work that blocks other work. All checks use the
  intervals in which the simulated workers ran the tasks.

  Scenario Outline: owners under random faults run each task in one place and finish all
    Given an owner world of 8 hosts and 2 entries from seed <seed>
    When owner messages are lost, duplicated, delayed and reordered and 10 random faults occur
    Then the owners finish all jobs and no invariant of the runs is violated

    Examples:
      | seed |
      | 34   |
      | 35   |
      | 67   |

  Scenario Outline: single faults of the owner world
    Given an owner world of 4 hosts and 2 entries from seed <seed>
    And an owner runs a job of 8 tasks of <run> s
    When the owner world has <fault>
    Then the owners finish all jobs and no invariant of the runs is violated
    And owner tasks that ran again: <again>

    Examples:
      | seed | run | fault                                  | again |
      | 1    | 60  | the owner paused for 45 s              | no    |
      | 2    | 60  | the owner killed                       | no    |
      | 3    | 60  | a host cut off for 10 s                | no    |
      | 4    | 60  | a host cut off for 50 s                | yes   |
      | 5    | 20  | a host lost                            | yes   |
      | 6    | 60  | every agent restarted                  | no    |
      | 7    | 60  | the store out for 45 s                 | no    |
      | 8    | 20  | lost answers of the store              | any   |
      | 11   | 20  | lost answers of the store              | any   |
      | 9    | 60  | the shard handed over in good order    | no    |
      | 10   | 20  | every task evicted and the acknowledgements lost | yes |

  Scenario Outline: a start whose answer is lost runs once
    Given an owner world of 2 hosts and 1 entries from seed <seed>
    When the owner submits 6 tasks while a third of the messages is lost
    Then the owners finish all jobs and no invariant of the runs is violated

    Examples:
      | seed |
      | 21   |
      | 22   |

  Scenario Outline: a sole owner that was paused hears its hosts before it declares work lost
    Given an owner world of 4 hosts and 1 entries from seed <seed>
    And an owner runs a job of 8 tasks of 20 s
    When the owner world has the owner paused for 45 s and lost answers afterwards
    Then the owners finish all jobs and no invariant of the runs is violated
    And owner tasks that ran again: no

    Examples:
      | seed |
      | 25   |
      | 26   |
      | 27   |

  Scenario: a paused owner that resumes between its journal write and the start
    Given an owner world of 4 hosts and 2 entries from seed 31
    When the owner is paused for 28 s just after an assignment was journaled
    Then the owners finish all jobs and no invariant of the runs is violated

  Scenario: a new owner holds tasks on a host that nobody reaches
    Given an owner world of 4 hosts and 2 entries from seed 41
    And an owner runs a job of 8 tasks of 150 s
    When a host is cut off from the second entry and the owner loses only its store lease
    Then the held owner tasks start nowhere else while the old owner may renew

  Scenario: with the store out the owner accepts and starts nothing
    Given an owner world of 4 hosts and 1 entries from seed 51
    When the owner loses the store while jobs wait
    Then the owner refuses a submission and starts nothing until the store is back

  Scenario Outline: an owner starts nothing that control does not allow
    Given an owner world of 4 hosts and 1 entries from seed 61
    When the owner gets a job while <state>
    Then the owner starts nothing and explains it by <code>

    Examples:
      | state                                   | code           |
      | the control state is not fresh          | not-fresh      |
      | both data centres are out of service    | out-of-service |
      | a quiet hour begins in 4 s              | rule           |

  Scenario: work in a data centre that goes out of service moves and is resumed once
    Given an owner world of 4 hosts and 1 entries from seed 62
    And an owner runs a job of 4 tasks of 30 s
    When one data centre of the owner goes out of service
    Then every owner task ends in the other data centre, resumed from its checkpoint

  Scenario Outline: urgent work starts within 1.8 s of its submission to the owner
    Given an owner world of 4 hosts and 2 entries from seed <seed>
    When an urgent job reaches the owner with hosts <load>
    Then the urgent tasks of the owner started within 1.8 s

    Examples:
      | seed | load                          |
      | 71   | free                          |
      | 72   | full of low-priority tasks    |

  Scenario: a wave of cancellations stops all tasks and nothing starts again
    Given an owner world of 4 hosts and 2 entries from seed 81
    When 60 jobs are submitted to the owner and all cancelled at once
    Then no owner task runs 5 s later and none starts after that

  Scenario: jobs that can never run are refused or explained and block nobody
    Given an owner world of 4 hosts and 1 entries from seed 91
    When the owner gets jobs that can never run before jobs that can
    Then the owner refuses jobs that fit no host and finishes the rest

  Scenario: a job that became impossible is explained, and runs when a host returns
    Given an owner world of 4 hosts and 1 entries from seed 92
    When the only host that can hold a job of the owner leaves for 400 s
    Then the owner explains the job as impossible and finishes it afterwards

  Scenario: a submission to the owner is idempotent by job id, through any entry
    Given an owner world of 2 hosts and 2 entries from seed 95
    When the same job is submitted through both entries, and again with another size
    Then the owner accepted it once and refused the other size as a conflict

  Scenario: a worker that fails everything does not fail the jobs of the owner
    Given an owner world of 4 hosts and 1 entries from seed 96
    When one worker of the owner fails every task of 20 jobs
    Then the owners finish all jobs and no invariant of the runs is violated
    And the failing worker of the owner got few tasks

  Scenario: batch work that slows requests is throttled, then moved, by the owner
    Given an owner world of 2 hosts and 1 entries from seed 97
    When batch work of the owner doubles the response times of a service
    Then the owner throttled the work first and then moved it to the quiet host

  Scenario Outline: work starts at once on an idle deployment that has just started
    Given an owner world of 4 hosts and <entries> entries from seed <seed>
    And the team of the owner may start 1000 tasks per second
    When a job of 6 tasks and an urgent one reach the owner at <second> s through <via>
    Then the first tasks of the owner start within 1.0 s and its urgent ones within 1.8 s

    Examples:
      | entries | second | via | seed |
      | 1       | 0.1    | e0  | 61   |
      | 2       | 0.1    | e0  | 62   |
      | 3       | 0.1    | e2  | 63   |
      | 3       | 5.0    | e1  | 64   |
      | 3       | 14.0   | e1  | 65   |

  Scenario Outline: shards move only when entries join, and calls wait for a shard that moves
    Given an owner world of 2 hosts and <entries> entries from seed <seed>
    When the owner world runs for <seconds> s and <late>
    Then the owners have <shares> shards after <moves> moves and answered every call

    Examples:
      | entries | seconds | late                      | shares | moves | seed |
      | 2       | 20      | all entries start at once | 2,2    | 0     | 71   |
      | 3       | 20      | all entries start at once | 1,1,2  | 0     | 72   |
      | 2       | 25      | one entry joins after 5 s | 2,2    | 2     | 73   |

  Scenario Outline: tasks on a host cut off at a change of owner wait as long as they may be renewed
    Given an owner world of 4 hosts and <entries> entries from seed <seed>
    And an owner runs a job of 8 tasks of 200 s
    When a host is cut off and the shards of the owner go to another entry <how>
    Then its owner tasks start elsewhere after <low> to <high> s and none runs twice at once

    Examples:
      | entries | how                                    | low | high | seed |
      | 2       | in good order                          | 28  | 50   | 74   |
      | 3       | by a crash, and on while tasks are held | 60  | 150  | 75   |
