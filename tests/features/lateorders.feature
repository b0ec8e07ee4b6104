Feature: lateorders

  An executor may carry out an order seconds after the call was given up. Guards against a
  task that is started elsewhere although such an order made, or will make, its earlier run begin.

  # Guards against two runs of a task: an answered stop, or the refusal of a repeated start, was taken as proof that a run never begins.
  Scenario Outline: lateorders are not called refused when <case>
    Given a lateorders agent whose executor <case>
    When a start is ordered of the lateorders agent
    Then no start that the lateorders agent refused has begun in the next 15 seconds
    And the lateorders agent has <settled> the run

    Examples:
      | case                                                                | settled             |
      | carries out a start late, before it answers the stop                | reported the end of |
      | has no room for a repeated start and carries out the first one late | refused             |
      | fails on a repeated start and carries out the first one late        | refused             |
      | finishes a run before it refuses its repeated start                 | reported the end of |

  # Guards against two runs of a task: an attempt after the order to stop started a copy of a task that was done.
  Scenario: lateorders do not repeat a start that was ordered to stop
    Given a lateorders agent beside an executor that answers no order for 2 seconds
    When a start is ordered of the lateorders agent, and a stop of it 0.7 seconds later
    Then the lateorders agent has made 2 attempts to start the run
    And the lateorders agent has refused the run

  # A filler task stayed slow for good once an unanswered pace was carried out after the one that released it.
  Scenario: lateorders release a filler task that an earlier pace slows down late
    Given a lateorders agent with an executor that slows tasks down 3 seconds late and without an answer
    When a filler task beside a serving one is slowed down, and the serving one ends after 2 seconds
    Then the filler task of the lateorders agent has full speed 8 seconds later, after it was slowed down late

  # Guards against two runs of a task: a task was started on a second host while a start carried out late ran on the first.
  Scenario Outline: lateorders never make two runs of a task with seed <seed>
    Given a lateorders world of 3 agents whose executors leave <share> of 100 orders unanswered
    When 6 jobs of 4 tasks are submitted to the lateorders world with seed <seed>
    Then no two runs of a task overlapped in the lateorders world
    And the lateorders world has completed all jobs

    Examples:
      | seed | share |
      | 0    | 60    |
      | 5    | 60    |
      | 9    | 60    |
      | 15   | 30    |
