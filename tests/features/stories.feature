Feature: stories

  The log lines about one job, in the order of their times, tell what happened to it.

  # The scheduler reads a stored job before the entry has the store's answer, and ordered its run
  # before the entry logged the submission.
  Scenario: stories of a job begin with its submission when the store's answer is late
    Given a stories world whose store answers writes of the entries 0.5 seconds late
    When a job is submitted to the stories world at an entry that does not schedule
    Then the log lines of the job are in this order
      | line                |
      | job submitted       |
      | run ordered         |
      | submission answered |
      | run ended           |
      | job ended           |
