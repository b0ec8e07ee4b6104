Feature: lookahead

  Reservations with backfill. Guards against large tasks and gangs that wait long because small
  tasks take each gap as it opens, and against hosts that are kept free for nothing.

  # Hosts have 16 cores; tasks of 1 core run there that end at the stated times.

  Scenario: lookahead changes no placement unless it is enabled
    # The digest of the placements on 4abb8eb, before reservations with backfill.
    Then the lookahead digest of 30 generated tables without the switch is 41bf7959a1e032b2

  Scenario: lookahead never gives a host more than it holds
    When lookahead places 30 generated tables
    Then no lookahead host was overcommitted and lookahead has backfilled tasks

  Scenario Outline: lookahead starts tasks of <seconds> seconds beside a reservation: <count>
    Given lookahead hosts a and b, full for 2 and 10 seconds, with 4 cores free on b
    And a lookahead gang of <members> tasks of 8 cores that waits, on any rack
    When a lookahead step of 20 tasks of 1 core and <seconds> seconds comes
    Then lookahead starts <count> of them on b
    And the lookahead gang starts at most <start> seconds from now

    Examples:
      | members | seconds | count | start |
      | 4       | 5       | 4     | 10    |
      | 4       | 30      | 0     | 10    |
      | 2       | 30      | 4     | 2     |

  Scenario Outline: lookahead gives up a reservation as <reason> <case>
    Given lookahead hosts a and b, full for 2 and 10 seconds, with 0 cores free on b
    And a lookahead gang of 2 tasks of 8 cores that waits, on any rack
    Then lookahead reserves a
    When the event of lookahead is: <case>
    Then lookahead has given up 1 reservation as <reason>
    And lookahead reserves <then>

    Examples:
      | reason  | case                             | then    |
      | gone    | the gang is cancelled            | nothing |
      | host    | host a drains                    | b       |
      | host    | host a leaves                    | b       |
      | host    | the zone of host a is taken out  | b       |
      | no-room | host a shrinks to 12 cores       | b       |
      | late    | the runs on a take 8 seconds     | a       |
      | overdue | the runs on both take 60 seconds | nothing |

  # Such a group got no reservation for 10 s more, as if it had held hosts all the time.
  Scenario: lookahead counts against a group only the time in which it holds hosts
    Given lookahead hosts a and b, full for 2 and 2 seconds, with 0 cores free on b
    And a lookahead gang of 4 tasks of 8 cores that waits, on any rack
    Then lookahead reserves a and b
    When the event of lookahead is: all hosts drain for 25 seconds and are full for 2 after that
    Then lookahead reserves a and b
    And lookahead has given up 0 reservation as overdue

  Scenario Outline: lookahead reserves nothing for <members> members of <cores> cores
    Given lookahead hosts a and b, full for 2 and 10 seconds, with 0 cores free on b
    And a lookahead gang of <members> tasks of <cores> cores that waits, on any rack
    Then lookahead reserves nothing

    Examples:
      | members | cores |
      | 5       | 8     |
      | 1       | 17    |

  Scenario: lookahead lets a more urgent queue pass, and its own queue wait
    Given lookahead hosts a and b, full for 2 and 10 seconds, with 4 cores free on b
    And a lookahead gang of 4 tasks of 8 cores that waits, on any rack
    When an urgent step of 2 tasks of 1 core and 30 seconds comes to lookahead
    Then lookahead starts 2 of them on b
    When a lookahead step of 2 tasks of 1 core and 30 seconds comes
    Then lookahead starts 0 of them on b

  Scenario: lookahead of a new scheduler reserves the same hosts
    Given lookahead hosts a and b, full for 2 and 10 seconds, with 0 cores free on b
    And a lookahead gang of 2 tasks of 8 cores that waits, on any rack
    Then lookahead reserves a
    When another scheduler takes over at lookahead
    Then lookahead reserves a

  Scenario: lookahead waits for one rack if that is not much later
    Given lookahead hosts a and b, full for 2 and 10 seconds, with 0 cores free on b
    And a lookahead host c on the rack of a, full for 3 seconds
    And a lookahead gang of 4 tasks of 8 cores that waits, on one rack
    Then lookahead reserves a and c

  # Such a task waited for ever, as each gap went to tasks of 1 core.
  Scenario Outline: lookahead lets a task of 15 cores start in a stream of small ones <switch>
    Given 5 lookahead hosts in a stream of tasks of 1 core and 1 second
    When a lookahead task of 15 cores comes into the stream, <switch>
    Then it has started within <seconds> seconds and the stream has lost at most 1 in 5 starts

    Examples:
      | switch        | seconds |
      | with backfill | 3       |

  # Filler tasks use up to 1.4 of a host's processors, with and without a plan. With one, they
  # used up to 1.15 and waited for earlier ones to end.
  Scenario Outline: lookahead without reservations starts filler tasks beside 14 cores <case>: <count>
    Given a lookahead host with 14 cores of filler tasks, <case>
    When a lookahead filler step of <tasks> tasks of 4 cores comes
    Then lookahead starts <count> of them on a

    Examples:
      | case                                        | tasks | count |
      | of which half end at once by their progress | 3     | 2     |
      | that go on for seconds                      | 3     | 2     |

  # They went to hosts with serving tasks, which they slow down, instead of waiting.
  Scenario: lookahead keeps filler tasks apart from serving tasks as long as other hosts have room
    Given a lookahead host with 14 cores of filler tasks, that go on for seconds
    And a lookahead host b with a serving task of 2 cores
    When a lookahead filler step of 2 tasks of 4 cores comes
    Then lookahead starts 2 of them on a

  Scenario: lookahead bounds the work of a pass
    Given a lookahead table of 60 hosts, each with 20 runs, and 200 groups that wait
    Then a lookahead pass takes at most 1.5 times the instructions of one without it

  # Guards against a plan that the scheduler's loop does not use, and one that a successor needs.
  Scenario: lookahead lets a scheduler plan, learn and report, and its successor begin anew
    When a lookahead world runs a stream of small jobs, a gang that fits beside none, and a new scheduler
    Then the lookahead gang and all jobs are done before and after the change of scheduler
    And the first lookahead scheduler has learned run times and used a reservation
    And the lookahead metrics name the waits of large and small groups and the reservations

  Scenario Outline: lookahead is enabled by the command line <words>: <result>
    When lookahead settings are loaded with the command line <words>
    Then the result of lookahead is <result>

    Examples:
      | words            | result  |
      | entry            | off     |
      | entry --backfill | on      |
      | agent --backfill | refused |
