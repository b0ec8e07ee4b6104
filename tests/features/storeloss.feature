Feature: storeloss

  The scheduler loses the store while other entries reach it, in virtual time. Guards against an
  entry that schedules nothing until its store lease has ended, and against two schedulers that act
  at the same time because one has handed over to the other.

  # The next scheduler was elected only when the store lease of the former one had ended.
  Scenario Outline: storeloss lets an entry that reaches the store schedule soon when calls <fault>
    Given a world of replacements with 3 entries and 4 hosts
    And 6 long-running tasks at work
    When storeloss's scheduler finds that its store calls <fault>
    And a job of storeloss is submitted at an entry that reaches the store 0.05 seconds later
    Then another entry of storeloss schedules within 1 seconds
    And the job of storeloss has begun within 1.2 seconds of its submission
    And the scheduler of storeloss changed 1 time
    And no task of the replacements was down for longer than 0 seconds
    And no task of the replacements ran twice at the same time

    Examples:
      | fault          |
      | get no answer  |
      | fail at once   |

  Scenario: storeloss of a scheduler holds the runs of a lost host no longer than a resignation
    Given a world of replacements with 3 entries and 4 hosts
    And 6 long-running tasks at work
    When storeloss's scheduler finds that its store calls get no answer, and the host with most tasks is lost
    Then no task of the replacements was down for longer than 7.5 seconds
    And no task of the replacements ran twice at the same time

  Scenario Outline: storeloss costs no more than the store lease when <loss>
    Given a world of replacements with 3 entries and 4 hosts
    And 6 long-running tasks at work
    When storeloss's scheduler loses the store, and <loss>
    Then another entry of storeloss schedules within <limit> seconds
    And schedulers of storeloss have handed over <handovers> times
    And the scheduler of storeloss changed 1 times
    And no task of the replacements was down for longer than 0 seconds
    And no task of the replacements ran twice at the same time

    Examples:
      | loss                                                      | limit | handovers |
      | its questions to other entries are lost                   | 2.2   | 0         |
      | answers of the other entries are lost                     | 2.2   | 0         |
      | its handover is lost                                      | 2.2   | 1         |
      | its handover arrives after another election               | 2.2   | 1         |
      | its handover arrives twice                                | 1     | 1         |
      | the entry that it hands over to loses the store just then | 2.2   | 1         |
      | the answer to the successor's election is lost            | 1     | 1         |
      | the successor's election is carried out late              | 2.2   | 1         |
      | the entry that it hands over to dies just then            | 2.2   | 1         |
      | its own late writes are carried out after the handover    | 1     | 1         |

  Scenario: storeloss of a former scheduler that reaches the store again right after its handover was lost
    Given a world of replacements with 3 entries and 4 hosts
    And 6 long-running tasks at work
    When storeloss's scheduler reaches the store again just after its handover was lost
    Then the former scheduler of storeloss never acted again in its term
    And some entry of storeloss schedules within 2.2 seconds
    And no task of the replacements ran twice at the same time

  Scenario Outline: storeloss of all entries for <seconds> seconds hands nothing over and keeps all runs
    Given a world of replacements with 3 entries and 4 hosts
    And 6 long-running tasks at work
    When all entries of storeloss lose the store for <seconds> seconds at the same time
    Then no scheduler of storeloss has handed over
    And no task of the replacements was down for longer than 0 seconds
    And no task of the replacements ran twice at the same time

    Examples:
      | seconds |
      | 1         |
      | 3       |
      | 5       |

  Scenario: storeloss that comes and goes changes the scheduler at a bounded rate
    Given a world of replacements with 3 entries and 4 hosts
    And 6 long-running tasks at work
    When each scheduler of storeloss loses the store for 1 second, again and again for 20 seconds
    Then schedulers of storeloss have handed over at most 5 times
    And no task of the replacements was down for longer than 0 seconds
    And no task of the replacements ran twice at the same time

  Scenario: storeloss is not assumed while some calls to the store fail
    Given a world of replacements with 3 entries and 4 hosts
    And 6 long-running tasks at work
    When one call in 3 of storeloss's scheduler to the store fails for 10 seconds
    Then no scheduler of storeloss has handed over
    And no task of the replacements ran twice at the same time

  Scenario Outline: storeloss never lets a task run twice in a random order of <count> events, seed <seed>
    Given a world of replacements with 3 entries and 5 hosts
    And 10 long-running tasks at work
    When <count> random events around storeloss follow one another with seed <seed>
    Then no task of the replacements ran twice at the same time

    Examples:
      | count | seed |
      | 12    | 1    |
      | 12    | 2    |
      | 12    | 3    |
      | 12    | 4    |
      | 12    | 5    |
      | 12    | 6    |
      | 25    | 7    |
      | 25    | 8    |
      | 25    | 9    |
      | 25    | 10   |
