Feature: worker

  Guards against an adapter that takes a lost answer for a refusal, and against a stand-in
  that does not keep the worker's contract, which would make the agent's tests worthless.

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
    Then the worker adapter reports it unavailable and the task runs
