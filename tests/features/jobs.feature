Feature: jobs

  Guards against a snapshot that rebuilds a different table than the journal it
  replaces, against records of former attempts that change a task, and against
  large jobs that exhaust the memory of their owner.

  Scenario Outline: a snapshot of the job table rebuilds an equal table
    Given a job table changed by 2000 random records from seed <seed>
    When the job table is rebuilt from its snapshot as JSON
    Then both job tables are equal and behave the same for 500 more records

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: a record that does not match the job table changes nothing
    Given a job table with one task assigned under attempt 2
    When the job table gets <record>
    Then the job table is as before

    Examples:
      | record                       |
      | the end of attempt 1         |
      | the end of attempt 3         |
      | an assignment of attempt 2   |
      | an assignment of a task that is not in the job |
      | the same job again           |
      | the end of an unknown task   |

  Scenario: a task fails for good only after its last allowed attempt
    Given a job table with a job of one task that may fail twice
    When the task of the job table is evicted once, lost once and fails twice
    Then the task in the job table has failed with 1 eviction

  Scenario: tasks of a cancelled job never wait again
    Given a job table with one task assigned under attempt 2
    When the job of the job table is cancelled and its task is lost
    Then no task of the job table waits or is assigned

  Scenario: a job of 29000 waiting tasks stays small in the job table
    When a job table gets a job of 29000 tasks of which 100 are assigned
    Then the job table holds at most 200 kB
