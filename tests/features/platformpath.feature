Feature: platformpath

  Runs entries and agents as processes against stand-ins of the platform's
  store and executors. Guards against a job that is lost or run twice, an
  answer that breaks the protocol, a configuration that is not applied or is
  replaced by an older one, and a process that crashes at a signal or at
  malformed input.

  Background:
    Given the platformpath's processes are running

  Scenario: platformpath serves a job of two steps from client to executor
    When a client submits a job of steps 2 and 1 at platformpath's front-1
    Then platformpath answers 200
    And platformpath's front-2 shows the job as completed within 8 seconds
    And platformpath's executors ran 3 tasks once each

  Scenario Outline: platformpath answers <status> to <call>
    When a client makes the call <call> at platformpath's front-1
    Then platformpath answers <status>

    Examples:
      | call                                        | status |
      | POST of a body that is not JSON             | 400    |
      | POST of a step that waits for a later one   | 400    |
      | POST of a count that is a text              | 400    |
      | POST of a body beyond the limit             | 413    |
      | POST to a queue that is not configured      | 404    |
      | GET of a job that nobody submitted          | 410    |
      | DELETE of a job that nobody submitted       | 410    |
      | GET of the queue                            | 200    |

  Scenario: platformpath cancels a job and stops its tasks
    Given tasks of platformpath take 30 seconds
    When a client submits a job of steps 2 and 1 at platformpath's front-1
    And tasks of the job run at platformpath's executors
    And a client cancels the job at platformpath's front-2
    Then platformpath's front-1 shows the job as cancelled within 3 seconds
    And nothing runs at platformpath's executors within 3 seconds

  Scenario: platformpath brings a new configuration into force and never goes back
    When platformpath's operator adds a queue in version 9
    Then both entries of platformpath accept a job in the new queue within 2 seconds
    When platformpath's operator writes version 5 without the new queue
    Then both entries of platformpath still accept a job in the new queue a second later

  Scenario: platformpath starts nothing in a zone that is taken out, and goes on when it is back
    When platformpath's operator takes the zone out
    And a client submits a job of steps 1 and 1 at platformpath's front-1
    Then nothing has started at platformpath's executors 2 seconds later
    When platformpath's operator takes the zone back
    Then platformpath's front-1 shows the job as completed within 8 seconds

  Scenario Outline: platformpath finishes a job although <fault>
    Given tasks of platformpath take 3 seconds
    When a client submits a job of steps 4 and 1 at platformpath's front-1
    And <fault> at platformpath
    Then platformpath shows the job as completed within 25 seconds
    And no task of platformpath had two runs at the same time

    Examples:
      | fault                                     |
      | the scheduler is killed                   |
      | the scheduler is told to stop             |
      | an agent is killed and started again      |
      | an executor crashes                       |
      | the store is silent for 3 seconds         |
      | the store refuses calls for 3 seconds     |
      | the store loses its history               |
      | answers of the store are lost             |

  Scenario: platformpath refuses a job while the store is away, and it never runs
    When the store of platformpath refuses all calls
    And a client submits a job of steps 1 and 1 at platformpath's front-1
    Then platformpath answers 503
    And the answer of platformpath names the job, and the log of the entry gives the reason
    When the store of platformpath serves again
    Then the job is not known at platformpath's front-2 2 seconds later

  Scenario: platformpath stays up at SIGHUP and at malformed heartbeats, and ends cleanly at SIGTERM
    When platformpath's processes get SIGHUP and malformed heartbeats
    Then all processes of platformpath still run and have logged that they read the settings again
    When platformpath's agent side-1 is told to stop
    Then it has exited with code 0

  Scenario: platformpath serves metrics and state of each process
    When a client submits a job of steps 2 and 1 at platformpath's front-1
    Then platformpath's front-2 shows the job as completed within 8 seconds
    And the metrics of platformpath count the job and its 3 runs
    And each process of platformpath shows its state and that it is ready

  Scenario: platformpath tells where a job would go without running it
    When the dry-run command asks all entries of platformpath about a job of 2 tasks
    Then platformpath's scheduler has answered that both start now
    And platformpath's other entry alone answers with the name of the scheduler
    And no task of platformpath has started since the dry runs, 2 seconds later

  Scenario: platformpath leads from a job's id to its story although its scheduler died
    Given tasks of platformpath take 3 seconds
    When a client submits a job of steps 2 and 1 at platformpath's front-1
    And tasks of the job run at platformpath's executors
    And the scheduler is killed at platformpath
    Then platformpath shows the job as completed within 25 seconds
    And the logs of platformpath show the job's submission, run, new scheduler and end in order

  Scenario: platformpath stops in one sentence at a status port that is not one
    When a process of platformpath is started with the status port 99999
    Then it has failed with the sentence "--status-port 99999 is not a port"

  Scenario: platformpath links an agent to few of many entries, and it follows the next scheduler
    When 5 more entries of platformpath are started
    Then each agent of platformpath keeps at most 2 links, one of them to the scheduler
    When the scheduler is killed at platformpath
    Then each agent of platformpath keeps at most 2 links, one of them to the scheduler

  # Malformed records ended each process that read them, and again after each restart.
  Scenario: platformpath serves on beside malformed records in the store
    When malformed records of all kinds are left in platformpath's store
    And the scheduler and an agent of platformpath are killed, and the agent is started again
    And a client submits a job of steps 4 and 1 at a live front of platformpath
    Then platformpath shows the job as completed within 25 seconds
    And each process of platformpath that was not killed still runs

  # An id that no header can hold ended the agent; after a start time far too large, it ignored all
  # heartbeats of its executor.
  Scenario: platformpath follows an executor after malformed heartbeats
    When platformpath's agents get each malformed heartbeat
    And platformpath's executor of side-1 begins to drain
    Then platformpath's agent side-1 knows within 3 seconds that its executor drains
    When a client submits a job of steps 4 and 1 at platformpath's front-1
    Then platformpath shows the job as completed within 25 seconds
    And each process of platformpath that was not killed still runs

  # After one malformed row in an executor's lists, its agent renewed no lease there.
  Scenario: platformpath runs tasks on an executor whose lists have malformed rows
    When platformpath's executors list malformed rows
    And a client submits a job of steps 4 and 1 at platformpath's front-1
    Then platformpath shows the job as completed within 25 seconds
    And no task of platformpath had two runs at the same time
    And each process of platformpath that was not killed still runs

  # A number of occurrences without a bound was accepted, and no scheduler could hold its tasks.
  Scenario: platformpath refuses each malformed job of a client
    When a client posts each malformed job at platformpath's front-1
    Then platformpath has refused each of them
    And each process of platformpath that was not killed still runs

  # An agent told nobody that its executor had shut down.
  Scenario: platformpath learns that an executor has ended from its deregistration and closed port
    When platformpath's executor of side-2 shuts down
    Then platformpath's agent side-2 knows within 3 seconds that its executor has ended
    And each process of platformpath that was not killed still runs

  # A deadly task was started again without end, and its job never ended.
  Scenario Outline: platformpath gives up a task that crashes executors, which then <form>
    Given crashed executors of platformpath <form> and are back 1 seconds later
    When a client submits a job of 2 tasks of which one is deadly at platformpath's front-1
    And a client submits a job of steps 4 and 1 at platformpath's front-2
    Then platformpath shows the job as completed within 20 seconds
    And platformpath shows the job with the deadly task as failed within 20 seconds
    And the deadly task of platformpath has crashed 1 to 3 executors
    And no task of platformpath had two runs at the same time

    Examples:
      | form               |
      | refuse connections |
      | answer nothing     |

  # Nothing started for the rest of the scheduler's store lease.
  Scenario: platformpath's scheduler hands over when the store answers only the other entries
    Given tasks of platformpath take 3 seconds
    When a client submits a job of steps 4 and 1 at platformpath's front-1
    And only the scheduler of platformpath gets no answer from the store, 4 times at most until it has handed over
    Then platformpath shows the job as completed within 25 seconds
    And no task of platformpath had two runs at the same time
    When a client submits a job of steps 4 and 1 at the scheduler of platformpath
    Then platformpath answers 200
    And platformpath shows the job as completed within 25 seconds
    And each process of platformpath that was not killed still runs

  Scenario: platformpath carries out an upkeep wave
    When the operator opens wave 1 for all machines of platformpath, 1 at a time
    Then platformpath reports wave 1 as completed within 30 seconds
    And each machine of platformpath had one upkeep, ordered by the scheduler with its epoch
    And each process of platformpath that was not killed still runs
