Feature: worker

  Guards against a client that treats a lost answer as a refusal, and against a stand-in
  that breaks the worker's contract, since the agent's tests rely on the stand-in.

  Scenario Outline: the worker keeps its contract for <case> on <backend>
    When the worker contract case "<case>" runs on <backend>
    Then the worker contract holds

    Examples:
      | case                                | backend |
      | a start and its end                 | trio    |
      | a start and its end                 | asyncio |
      | refused starts                      | trio    |
      | a lease                             | trio    |
      | checkpoints                         | trio    |
      | throttle and interference           | trio    |
      | stop and forget                     | trio    |
      | bad answers                         | trio    |
      | bad answers                         | asyncio |
      | late usage                          | trio    |

  Scenario: a worker process loses an answer on a real connection
    When a worker process is told to lose one answer to a start
    Then the worker client reports it unavailable and the task runs
