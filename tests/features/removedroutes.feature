Feature: removedroutes

  The operator removes a route while jobs of its queue are accepted. Guards against jobs that are
  never finished, and against calls that are served by an earlier configuration.

  # Work of a queue stalled once its route was removed, and for good once the scheduler changed.
  Scenario Outline: removedroutes let accepted jobs go on under the last rules when <event>
    Given a removedroutes scheduler with a running and a waiting job
    When the route of their queue is removed, and <event>
    Then both removedroutes jobs are completed

    Examples:
      | event                                         |
      | nothing else happens                          |
      | the scheduler is replaced                     |
      | a snapshot is written and the scheduler is replaced |

  Scenario: removedroutes fail a job by the attempts that its queue had last
    Given a removedroutes scheduler with a running and a waiting job
    When the attempts of their queue are lowered to 1, its route is removed and a task fails
    Then the removedroutes job is shown as failed

  Scenario: removedroutes forget the rules of a queue without jobs
    Given a removedroutes scheduler with a running and a waiting job
    When both jobs are done, the route is removed and a snapshot is written
    Then the next removedroutes scheduler knows no rules of the queue

  # A job was accepted while there was no scheduler, so that none had recorded the rules of its queue.
  Scenario Outline: removedroutes let the first job of a queue run that no scheduler has seen, when <event>
    Given a removedroutes world of 2 entries without a scheduler
    When the first job of a queue is accepted, its route is removed, and <event>
    Then the first removedroutes job is completed

    Examples:
      | event                                               |
      | nothing else happens                                |
      | the scheduler is replaced twice                     |
      | a snapshot is written and the scheduler is replaced |

  Scenario Outline: removedroutes answer 404 to <method>, and do nothing
    Given a removedroutes entry that knows a job
    When the configuration without its route comes into force at the removedroutes entry
    Then <method> of the job is answered 404, and the removedroutes job service was not asked

    Examples:
      | method |
      | GET    |
      | DELETE |
      | POST   |
