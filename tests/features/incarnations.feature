Feature: incarnations

  An executor may restart under its id. It then has seen no fencing token, remembers neither
  stops nor endings, and its clock starts anew, while calls without an answer may still be
  carried out seconds later. Guards against calls that take effect on another incarnation than
  the one that they were meant for.

  # Guards against two runs of a task: a withdrawn start was carried out by the next incarnation, which nobody had fenced.
  Scenario: incarnations do not begin a late start that was withdrawn from the former incarnation
    Given an incarnations agent whose executor carries out a start 4 seconds late
    When a start is ordered of the incarnations agent, and then it loses its scheduler
    And the incarnations executor restarts under its id after 3 seconds and sends a heartbeat
    Then no run begins at the incarnations executor in the next 10 seconds

  # Guards against two runs of a task: an agent that has restarted too fences the executor under a token below those of late calls.
  Scenario: incarnations do not begin a late start when the agent has restarted as well
    Given an incarnations agent whose executor carries out a start 4 seconds late
    When a start is ordered of the incarnations agent, and then it loses its scheduler
    And the incarnations agent is replaced by its next process, which finds no scheduler
    And the incarnations executor restarts under its id after 3 seconds and sends a heartbeat
    Then no run begins at the incarnations executor in the next 10 seconds

  # Guards against two runs of a task: a run that the next incarnation had begun for the former one went on without a scheduler.
  Scenario: incarnations stop a run that was begun for the former incarnation
    Given an incarnations agent whose executor carries out a start 4 seconds late
    When a start is ordered of the incarnations agent, and then it loses its scheduler
    And the incarnations executor restarts under its id after 3 seconds, heard of 1.2 seconds later
    Then the run at the incarnations executor has ended as stopped within 1 second

  # Guards against two runs of a task: only a heartbeat told of the restart, although a list had told of it before.
  Scenario: incarnations are told apart by a list that comes before a heartbeat
    Given an incarnations agent whose executor carries out a start 4 seconds late
    When a start is ordered of the incarnations agent, and then it loses its scheduler
    And the incarnations executor restarts under its id after 3 seconds without a heartbeat
    Then no run begins at the incarnations executor in the next 10 seconds

  # Guards against two runs of a task: a late renewal made the next incarnation forget the ending of a run that was done.
  Scenario: incarnations keep their endings when a renewal meant for the former one comes late
    Given an incarnations agent whose executor has ended 1 run and had it acknowledged
    And the incarnations executor carries out a renewal 4 seconds late
    When the incarnations executor restarts, and has done the run of a late start after 3 seconds
    Then the incarnations executor has forgotten no ending unseen in the next 5 seconds

  # Guards against two runs of a task: the first renewal after a failed one acknowledged endings of the next incarnation.
  Scenario: incarnations keep their endings when a renewal follows a failed one
    Given an incarnations agent whose executor has ended 1 run and had it acknowledged
    When the incarnations executor answers no call for 3 seconds, and has restarted meanwhile
    Then the incarnations executor has forgotten no ending unseen in the next 5 seconds

  # Guards against two runs of a task: a start that was ordered for the former incarnation was sent to the next one.
  Scenario: incarnations get no start while a renewal has no answer
    Given an incarnations agent whose executor has ended 1 run and had it acknowledged
    When a start is ordered of the incarnations agent after a failed renewal and a restart
    Then no run begins at the incarnations executor in the next 5 seconds

  # Guards against a host that is lost for good, and runs that are stopped, after one odd start time.
  Scenario: incarnations go on after one list with a start time that is too high
    Given an incarnations agent whose executor carries out a start 4 seconds late
    When a run of the incarnations agent is at work, and 1 list has a start time in the far future
    Then the incarnations agent is attached 2 seconds later, and its run is at work

  # Guards against a restart that goes unnoticed after an odd start time, which was taken for a later one.
  Scenario: incarnations are fenced after one list with a start time that is too high
    Given an incarnations agent whose executor carries out a start 4 seconds late
    When a run of the incarnations agent is at work, and 1 list has a start time in the far future
    And the incarnations executor restarts and has begun a run of the former one
    Then the run at the incarnations executor has ended as stopped within 1 second

  # Guards against a host that is lost for good when the answer to the fencing call is odd as well.
  Scenario Outline: incarnations are attached again after <lists> lists with a start time that is too high
    Given an incarnations agent whose executor carries out a start 4 seconds late
    When a run of the incarnations agent is at work, and <lists> list has a start time in the far future
    Then the incarnations agent is attached again within 4 seconds

    Examples:
      | lists |
      | 2     |
      | 4     |

  # Guards against stops of an executor that has ended, twenty a second for each run, until another comes.
  Scenario: incarnations get no stops any more once the executor has ended
    Given an incarnations agent whose executor carries out a start 4 seconds late
    When a run of the incarnations agent is at work, and 0 list has a start time in the far future
    And the incarnations executor restarts and has begun a run of the former one, and answers no stop
    And the incarnations executor shuts down 1 second later, with a scheduler
    Then the incarnations executor gets no stop in the last 1 of 3 seconds

  # Nothing told that a start had been carried out by another incarnation than it was ordered for.
  Scenario: incarnations that run what was ordered of another one are logged with both
    Given an incarnations world of 1 agents whose executors leave 0 of 100 calls unanswered
    When the executor of the incarnations world restarts, and begins a run before it is heard of
    Then the incarnations log names both incarnations of the run once

  # Guards against a host that is lost for good, since a late attachment has replaced its newest one.
  Scenario Outline: incarnations attach again after a late attachment <which>
    Given an incarnations world of 1 agents whose executors leave 0 of 100 calls unanswered
    When an attachment <which> reaches the scheduler of the incarnations world late
    Then the incarnations host is attached and reported again 2 seconds later, its run at work

    Examples:
      | which                                      |
      | over an older link, which then closes      |
      | over an older link, which stays open       |
      | of a former incarnation over an older link |

  # Guards against two runs of a task: a reported ending was dropped, since the executor had restarted before it was in the run log.
  Scenario: incarnations keep an ending that was reported before a restart
    Given an incarnations world of 1 agents whose executors leave 0 of 100 calls unanswered
    When a run of the incarnations world is done and reported while an append waits, and the executor restarts
    Then each task of the incarnations world has begun once and is done

  # Guards against two runs of a task as a whole: restarts under an id beside late calls, cuts and kills.
  Scenario Outline: incarnations never make two runs of a task with seed <seed>
    Given an incarnations world of 4 agents whose executors leave 30 of 100 calls unanswered
    When 8 jobs of 4 tasks are submitted to the incarnations world under faults of seed <seed>
    Then the incarnations world has broken no rule and completed all jobs

    Examples:
      | seed |
      | 2    |
      | 8    |
      | 16   |
      | 25   |
      | 40   |
