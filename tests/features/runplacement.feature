Feature: runplacement

  Guards against overcommitted hosts, tasks on hosts that their step, their queue
  or the operators exclude, partially started gangs, filler tasks on the hosts of
  serving tasks, serving tasks spread over all hosts so that none is left to
  filler tasks, and large tasks starved by small ones.

  Scenario: runplacement never gives a host more than it holds, seeds 1 to 80
    When random jobs are placed on random hosts by runplacement, seeds 1 to 80
    Then no host of runplacement was overcommitted

  Scenario Outline: runplacement leaves out a host that <reason>
    Given runplacement hosts a and b of 4 cores
    And runplacement host a <reason>
    When a step of 2 tasks of 1 core is placed by runplacement
    Then runplacement puts 2 on b and 0 on a

    Examples:
      | reason                    |
      | is in a zone taken out    |
      | leaves                    |
      | is silent                 |
      | is set aside              |
      | is of another service     |
      | lacks the label           |
      | has not reported its runs |

  # The sizes of runs that the job table does not contain are unknown, and the host refuses nothing.
  Scenario Outline: runplacement heeds unknown runs on a host where executors <guards> their capacity
    Given runplacement hosts a and b of 4 cores
    And runplacement's hosts <guards> their capacity
    And runplacement host a reports a run that the job table does not contain
    When a step of 8 tasks of 1 core is placed by runplacement
    Then runplacement puts <on_a> on a and 4 on b
    When the unknown run of runplacement host a has ended
    Then runplacement puts 4 on a and 4 on b

    Examples:
      | guards       | on_a |
      | guard        | 4    |
      | do not guard | 0    |

  Scenario: runplacement puts at most so many tasks of a step on a host
    Given runplacement hosts a and b of 8 cores
    When a step of 6 tasks of 1 core, at most 2 per host, is placed
    Then runplacement puts 2 on a and 2 on b

  Scenario: runplacement starts a gang whole or not at all
    Given runplacement hosts a and b of 4 cores
    When a gang of 9 tasks of 1 core is placed by runplacement
    Then runplacement puts 0 on a and 0 on b
    When a gang of 8 tasks of 1 core is placed by runplacement
    Then runplacement puts 4 on a and 4 on b

  Scenario: runplacement keeps a gang on one rack where it fits
    Given runplacement hosts a and b of 4 cores
    When a gang of 3 tasks of 1 core on one rack is placed by runplacement
    Then runplacement puts all 3 on one host

  Scenario: runplacement keeps filler tasks off the hosts of serving tasks
    Given runplacement hosts a and b of 8 cores
    And a serving task of 2 cores runs on runplacement host a
    When a step of 3 filler tasks of 1 core is placed by runplacement
    Then runplacement puts 3 on b and 0 on a

  Scenario: runplacement gathers serving tasks although filler tasks run beside them
    Given runplacement hosts a and b of 20 cores
    And a serving task of 4 cores runs on runplacement host a
    And 3 filler tasks of 1 core run on runplacement host a
    When a step of 2 serving tasks of 4 cores is placed by runplacement
    Then runplacement puts 2 on a and 0 on b

  Scenario: runplacement fills hosts of serving tasks one after another
    Given runplacement hosts a and b of 20 cores
    And a serving task of 12 cores runs on runplacement host a
    And a serving task of 4 cores runs on runplacement host b
    And a serving task of 4 cores runs on runplacement host b
    When a step of 1 serving tasks of 8 cores is placed by runplacement
    Then runplacement puts 1 on a and 0 on b

  Scenario: runplacement leaves hosts to filler tasks when all come back one after another
    Given 8 runplacement hosts of 20 cores that are lost
    When 20 serving tasks of 4 cores wait behind 30 short ones of 1 core, and the hosts return one by one
    Then runplacement has put all serving tasks on 4 hosts

  Scenario: runplacement keeps small tasks off a host that a large one waits for
    Given runplacement hosts a and b of 4 cores
    And 2 tasks of 1 core run on each runplacement host
    And a task of 4 cores has waited 3 seconds for runplacement
    When a step of 4 tasks of 1 core is placed by runplacement
    Then runplacement puts all 2 on one host

  Scenario Outline: runplacement puts fewer filler tasks beside serving ones where these are paced
    Given runplacement hosts a and b of 20 cores
    And a serving task of 10 cores runs on runplacement host a
    And a serving task of 10 cores runs on runplacement host b
    And filler tasks on runplacement host a were limited to <percent> percent of their speed
    When a step of 30 filler tasks of 1 core is placed by runplacement
    Then runplacement puts between <least> and <most> on a

    Examples:
      | percent | least | most |
      | 100     | 15    | 20   |
      | 50      | 10    | 14   |
      | 0       | 3     | 8    |

  Scenario: runplacement fills up beside paced serving tasks with what hardly disturbs them
    Given runplacement hosts a and b of 20 cores
    And a serving task of 10 cores runs on runplacement host a
    And a serving task of 10 cores runs on runplacement host b
    And filler tasks on runplacement host a were limited to 0 percent of their speed
    And filler tasks of image oven have a low impact on other runplacement tasks
    When a step of 30 filler tasks of 1 core of image oven is placed by runplacement
    Then runplacement puts between 15 and 20 on a

  # Filler tasks went to the hosts with the fewest serving tasks, whichever of these they slow down.
  Scenario: runplacement puts filler tasks beside the serving tasks that they hardly slow down
    Given runplacement hosts a and b of 20 cores
    And a serving task of 4 cores of image watch runs on runplacement host a
    And a serving task of 4 cores of image feed runs on runplacement host b
    And a serving task of 4 cores of image feed runs on runplacement host b
    And filler tasks of image oven slow watch down by 8 and feed not at all
    When a step of 10 filler tasks of 1 core of image oven is placed by runplacement
    Then runplacement puts 10 on b and 0 on a

  Scenario: runplacement lets a filler job begin that has waited long beside full hosts
    Given runplacement hosts a and b of 4 cores
    And 4 filler tasks of 1 core run on each runplacement host
    And 1 filler tasks of 1 core run on each runplacement host
    When a step of 3 filler tasks of 1 core after 1 seconds is placed
    Then runplacement puts 0 on a and 0 on b
    When a step of 3 filler tasks of 1 core after 3 seconds is placed
    Then runplacement starts 1 task of the newest job

  Scenario: runplacement keeps most hosts open although many tasks wait for room
    Given 10 runplacement hosts of 4 cores with 2 cores in use
    And 12 tasks of 3 cores have waited 5 seconds for runplacement
    When a step of 20 tasks of 1 core is placed by runplacement
    Then runplacement starts at least 14 tasks of the newest job

  Scenario Outline: runplacement puts a job that can still be on time before one that cannot
    Given runplacement hosts a and b of 1 cores
    And the objective of the runplacement queue is twice the run time of a job
    When a job of 1 second that has waited <waited> seconds and a new one of 1 second compete for both hosts
    Then runplacement starts the <first> one first

    Examples:
      | waited | first   |
      | 0.5    | waiting |
      | 2.0    | new     |
      | 9.0    | new     |
      | 60.0   | waiting |

  Scenario: runplacement starts a copy of a slow speculative task on another host
    Given runplacement hosts a and b of 4 cores
    When a speculative task of 1 second has run for 3 seconds on runplacement host a
    Then runplacement starts a copy of it on b as run 2

  Scenario Outline: runplacement moves a task off a host only if it is slower than others
    Given runplacement hosts a and b of 4 cores
    When a task of 1 second is at 20 percent after 3 seconds on a with speed 0.2, and b has <speed>
    Then runplacement moves <count> runs

    Examples:
      | speed | count |
      | 1.0   | 1     |
      | 0.25  | 0     |

  Scenario Outline: runplacement leaves a host with one serving task to filler tasks <case>
    Given runplacement hosts a and b of 20 cores
    And 3 filler tasks of 1 core run on runplacement host a
    And a job of serving tasks of 5 cores at work, 1 on runplacement host a and 3 on b
    When the case of runplacement is: <case>
    Then runplacement stops <count> serving runs on a

    Examples:
      | case                              | count |
      | if the task has room elsewhere    | 1     |
      | but not if b has no room          | 0     |
      | but not if b leaves               | 0     |
      | but not if another is not at work | 0     |
      | but not if none may be away       | 0     |
      | but not if it has just begun      | 0     |
      | but not without filler tasks      | 0     |

  # Guards against waits whose reason cannot be told from the log.
  Scenario Outline: runplacement logs that a task waits because of <reason>
    Given runplacement hosts a and b of 4 cores
    When a task of 1 core has waited 3 seconds beside hosts with <reason>
    Then the runplacement log names <reason> for both hosts

    Examples:
      | reason                   |
      | processors reserved      |
      | processors in use        |
      | memory reserved          |
      | long-running tasks       |
      | enough tasks of the step |
      | has room                 |

  # Guards against a large task that waits for a host whose long-running tasks leave it no room.
  Scenario: runplacement reserves no host that long-running tasks keep too full for the waiting one
    Given runplacement hosts a and b of 8 cores
    And a serving task of 5 cores runs on runplacement host a
    And a serving task of 4 cores runs on runplacement host b
    And 3 tasks of 1 core run on runplacement host b
    And a serving task of 4 cores has waited 3 seconds for runplacement
    When a step of 2 tasks of 1 core is placed by runplacement
    Then runplacement puts 2 on a and 0 on b

  # Guards against a host kept free for a task that can never run there.
  Scenario: runplacement reserves no host if long-running tasks keep all of them too full
    Given runplacement hosts a and b of 8 cores
    And a serving task of 5 cores runs on runplacement host a
    And a serving task of 5 cores runs on runplacement host b
    And a serving task of 4 cores has waited 3 seconds for runplacement
    When a step of 6 tasks of 1 core is placed by runplacement
    Then runplacement puts 3 on a and 3 on b

  # Guards against a long-running task that waits beside a host with room for it.
  Scenario: runplacement starts a serving task although a larger one fits nowhere
    Given runplacement hosts a and b of 8 cores
    And a serving task of 5 cores runs on runplacement host a
    And a serving task of 6 cores runs on runplacement host b
    And a serving task of 4 cores has waited 3 seconds for runplacement
    When a step of 1 serving tasks of 3 cores is placed by runplacement
    Then runplacement puts 1 on a and 0 on b

  # A serving task that was down waited beside a host with room for it, which was reserved for a larger task.
  Scenario Outline: runplacement starts <count> serving task on a reserved host after a wait of <waited> seconds
    Given runplacement hosts a and b of 8 cores
    And 5 tasks of 1 core run on runplacement host a
    And a serving task of 8 cores runs on runplacement host b
    And a serving task of 5 cores has waited 4 seconds for runplacement
    And a serving task of 2 cores has waited <waited> seconds for runplacement
    When a step of 1 tasks of 1 core is placed by runplacement
    Then runplacement puts <count> on a and 0 on b

    Examples:
      | waited | count |
      | 2      | 0     |
      | 4      | 1     |

  # Its callers had gone unserved for 6 s when its host was given up, and it then waited 3 s more.
  Scenario Outline: runplacement starts <count> serving task on a reserved host that was away for <away> seconds
    Given runplacement hosts a and b of 8 cores
    And 5 tasks of 1 core run on runplacement host a
    And a serving task of 8 cores runs on runplacement host b
    And a serving task of 5 cores has waited 4 seconds for runplacement
    And a serving task of 2 cores has waited 0 seconds for runplacement, and does not run since <away> seconds
    When a step of 1 tasks of 1 core is placed by runplacement
    Then runplacement puts <count> on a and 0 on b

    Examples:
      | away | count |
      | 2    | 0     |
      | 6    | 1     |

  # Guards against a suspected task that waits for ever for a host where it may not run.
  Scenario: runplacement keeps a host for a suspected task that its advisory service allows
    Given runplacement hosts a and b of 8 cores
    And 2 tasks of 1 core run on runplacement host b
    When a task that is suspected of a crash is advised to run on runplacement host b
    Then runplacement puts 0 on a and 1 on b

  # Guards against a host kept free for a gang of which only single members fit (review/8).
  Scenario Outline: runplacement reserves a host for a waiting gang only if all members fit, <why>
    Given runplacement hosts a and b of 16 cores
    And runplacement host a lacks the label
    And a serving task of <serving> cores runs on runplacement host b
    And 8 tasks of 1 core run on runplacement host b
    And a gang of <count> tasks of <cores> cores that needs the label has waited 3 seconds
    When a step of 3 tasks of 1 core is placed by runplacement
    Then runplacement puts 0 on a and <on_b> on b

    Examples:
      | why                         | count | cores | serving | on_b |
      | each member alone           | 2     | 9.6   | 1       | 3    |
      | beside a long-running task  | 3     | 4     | 5       | 3    |
      | all once the short ones end | 2     | 6     | 1       | 0    |

  # Guards against a reservation that outlasts the gang's chance to fit.
  Scenario: runplacement gives up the reservation of a gang when its hosts shrink
    Given runplacement hosts a and b of 16 cores
    And runplacement host a lacks the label
    And 8 tasks of 1 core run on runplacement host b
    And a gang of 2 tasks of 6 cores that needs the label has waited 3 seconds
    When a step of 3 tasks of 1 core is placed by runplacement
    Then runplacement puts 0 on a and 0 on b
    When runplacement host b shrinks to 11 cores
    Then runplacement puts 0 on a and 3 on b
