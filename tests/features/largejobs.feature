Feature: largejobs

  A caller may send jobs of very many tasks, that repeat very often, or that have long commands.
  What the scheduler holds, one step of its loop, and each message stay within bounds that do not
  depend on that, and every accepted job is served.

  # A job that repeats for a year stopped all scheduling: each task of each occurrence was created
  # at once, which took longer than the leader's lease.
  Scenario Outline: largejobs open few tasks of <jobs> jobs of <form>
    Given a largejobs table with <jobs> jobs of <form>
    When all that is due is opened in the largejobs table
    Then the largejobs table has at most <tasks> open tasks
    And every largejobs job has a waiting task, if it is due

    Examples:
      | jobs | form                                        | tasks |
      | 1    | 6 tasks, 105120 times, not yet due          | 0     |
      | 1    | 6 tasks, 105120 times, long overdue         | 1000  |
      | 1    | 60 steps of 10000 tasks                     | 1000  |
      | 40   | 60 steps of 10000 tasks                     | 40000 |
      | 1000 | 6 tasks, 105120 times, long overdue         | 40000 |

  # Tasks that are opened late must neither be forgotten nor started twice.
  Scenario Outline: largejobs complete a job of <form> in full, also when the scheduler changes
    Given a largejobs table with 1 jobs of <form>
    When its tasks are run 100 at a time, and the table is rebuilt from a snapshot 5 times
    Then each of its <tasks> tasks was run once, and the largejobs job is completed

    Examples:
      | form                                | tasks |
      | 3 steps of 3000 tasks in a row      | 9000  |
      | 6 tasks, 500 times, long overdue    | 3000  |
      | 2500 tasks                          | 2500  |

  # A gang waits whole, so that its size is limited when it is submitted.
  Scenario: largejobs refuse a job whose gangs are too large at once, and name the limit
    When a largejobs job of 2 gangs of 3000 tasks is submitted
    Then it is refused with "the gangs of a job have at most 5000 tasks in all"

  # What a scheduler holds grew with the number of jobs, however small each of them was.
  Scenario: largejobs refuse a job at once while too many are open, and take a repeated one
    Given a largejobs entry that knows 5000 open jobs, and one that it stored without an answer
    Then a new job is refused as too-many, and nothing of it is stored
    And the job that is stored is accepted again
    When one of the open largejobs jobs ends
    Then a new job is accepted

  # A submission without an answer was in doubt for ever, and its cancelling was refused for ever.
  Scenario Outline: largejobs cancel a job whose submission got no answer <seconds> seconds before
    Given a largejobs entry whose submission of a job got no answer from the store
    When its job is cancelled <seconds> seconds later
    Then that is answered at once that there is no such job, which no late write stores any more

    Examples:
      | seconds |
      | 0       |
      | 500     |
      | 700     |

  # All starts of a pass for a host were one message, which was refused over 1 MiB and chosen again.
  Scenario: largejobs start the tasks of a job with a long command, and those of other jobs
    Given a largejobs world of 2 hosts with room for 600 tasks
    When a job of 600 tasks with a command of 4000 bytes is submitted, and then one of 1 task
    Then all 601 largejobs tasks have started within 10 seconds, each once
    And no largejobs message was larger than 128 kB
