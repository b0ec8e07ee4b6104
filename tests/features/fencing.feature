Feature: fencing

  A new process of an agent does not know which fencing tokens the earlier ones have used. It bounds
  them by the store and fences the executor above them. Guards against starts of an earlier process
  that are carried out late, by an executor that has restarted under its id, and against agents that
  are locked out by their own fence.

  # Guards against two runs of a task: the next process of an agent fenced below the tokens of the last one.
  Scenario Outline: fencing refuses late starts of life <life> of an agent once the next one has heard its executor
    Given a fencing world of 2 agents
    When agent 0 of the fencing world lives <life> times, and then all processes and its executor restart
    Then a start under the last token of that life is refused 1.5 seconds later, with no entry up
    And the fencing world has broken no rule

    Examples:
      | life |
      | 1    |
      | 2    |
      | 4    |

  # Guards against an agent that restarts and is locked out by its fence, or stops the runs that it finds.
  Scenario: fencing lets a living scheduler attach an agent that has restarted, whose run goes on
    Given a fencing world of 1 agents
    When a run of 6 seconds is at work in the fencing world, and its agent restarts
    Then the agent is attached again within 1 seconds under a higher token of the same epoch
    And the run of the fencing world has begun once and its job is completed
    And the fencing world has broken no rule

  # Guards against calls before the tokens of the earlier processes are known, and against giving up.
  Scenario: fencing waits for the store and then goes on
    Given a fencing world of 1 agents
    When agent 0 of the fencing world restarts while the store is away for it for 3 seconds
    Then its executor gets no call under the next process before the store answers
    And the agent is attached again within 3 seconds under a higher token of the same epoch
    And the fencing world has broken no rule

  # Guards against agents that no scheduler of an earlier version can attach while versions are mixed.
  Scenario: fencing lets a scheduler without a stored limit attach an agent
    Given a fencing world of 1 agents
    When agent 0 of the fencing world restarts, and the stored limit is missing
    Then the agent is attached again within 1 seconds under a higher token of the same epoch
    And the fencing world has broken no rule

  # Guards against a host that is lost for good once an epoch has no more tokens.
  Scenario: fencing begins another epoch when all tokens of one are issued
    Given a fencing world of 1 agents
    When agent 0 of the fencing world restarts, and the stored limit is the last of the epoch
    Then the agent is attached again within 10 seconds under a token of a later epoch
    And the fencing world has broken no rule

  # Guards against a limit that moves back when a write is carried out late or its answer is lost.
  Scenario Outline: fencing keeps a raised limit when <fault>
    Given a fencing world of 1 agents
    When agent 0 of the fencing world restarts, and for the write of the limit <fault>
    And agent 0 of the fencing world restarts
    Then the agent is attached again within 5 seconds under a higher token of the same epoch
    And the stored limit of the fencing world is at least its token, also 5 seconds later
    And the fencing world has broken no rule

    Examples:
      | fault                              |
      | the answer is lost                 |
      | it is carried out 2 seconds late   |

  # Guards against a bound below tokens in use when a key of the store is missing, malformed or newer.
  Scenario Outline: fencing bounds earlier tokens by epoch <epoch> and limit <limit>
    Then the bound of epoch <epoch> and limit <limit> is number <number> of epoch <of>

    Examples:
      | epoch     | limit     | number  | of |
      | none      | none      | 0       | 0  |
      | 5         | none      | 0       | 5  |
      | 5         | 4:70      | 0       | 5  |
      | 5         | 5:70      | 70      | 5  |
      | 5         | 6:70      | 70      | 6  |
      | malformed | 5:70      | 0       | 9  |
      | 5         | malformed | 1048576 | 5  |
