Feature: passes

  A pass of the scheduler starts waiting tasks and copies of slow ones. Guards against decisions
  of one pass that do not count each other.

  # ROUTE: a copy and a waiting task of a step went to one host in the same pass, beyond its limit.
  Scenario Outline: passes put no more on a host that attaches than <limit>
    Given a passes world of 2 agents with room for <room> tasks of 1 core each
    And a speculative step of 5 tasks, <most> per host, that take much longer than estimated
    When another agent joins the passes world after 3 seconds, while the log is written
    Then it has been given 2 tasks, one of them a copy, and no host had more than 2 tasks or lacked room for one

    Examples:
      | limit                    | room | most       |
      | the step's limit allows  | 8    | at most 2  |
      | it has room for          | 2    | any number |

  # Two tasks of a step that allowed one to be away were stopped at once, on different hosts.
  Scenario Outline: passes move no serving task while another of its step is stopped because <reason>
    Given passes hosts a, b and c with a serving task on a, three on b, one on c, and room on b
    And a filler task runs on passes host a, and at most 1 of the serving tasks may be away
    When the scheduler looks for runs to stop while <reason>
    Then it has stopped the serving tasks on <hosts> only

    Examples:
      | reason                | hosts |
      | nothing else happens  | a     |
      | passes host c drains  | c     |

  # Two tasks were stopped to be moved to a host that had room for one of them.
  Scenario: passes move a serving task only to room that no other moved task is to get
    Given passes hosts a, b and c with a serving task on a, three on b, one on c, and room on b
    And a filler task runs on passes host a, and at most 1 of the serving tasks may be away
    And a slow passes host d runs a task, and only b has room left, for one task
    When the scheduler looks for runs to stop while nothing else happens
    Then it has stopped one run, on d

  # Two tasks of a filler job without a running one were started on hosts that were too busy.
  Scenario: passes start one task of a starving filler job of two steps
    Given passes hosts a, b and c full of filler tasks
    When a passes job of two filler steps has waited for 5 seconds
    Then a pass starts one task of it

  # The digest of the placements on 4abb8eb.
  Scenario: passes of 30 generated tables choose the same placements as ever
    Then the digest of the passes of 30 generated tables is 41bf7959a1e032b2

  Scenario: passes start filler tasks up to 1.4 times the processors of a host without serving tasks
    Given a passes host of 8 cores that 2 filler tasks of 3.5 cores run on
    When 3 filler tasks of 2 cores come to a pass
    Then the pass starts 2 of them

  Scenario: passes tell how long large and small groups waited for their starts
    When the scheduler starts a small task after 1 second and a gang after 5
    Then the metrics of passes have these waits by size
