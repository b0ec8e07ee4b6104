Feature: ledger

  Guards against a host committed beyond its size, and against tasks that take the
  resources claimed by the backend server.

  Scenario Outline: random commitments never exceed the ledger's size
    When <steps> random ledger operations run from seed <seed>
    Then the ledger total never exceeded its size and matched its keys

    Examples:
      | steps | seed |
      | 3000  | 1    |
      | 3000  | 2    |
      | 3000  | 3    |

  Scenario Outline: a ledger of 16 cores with a claim of 4 answers to <operation>
    Given a ledger of 16 cores with a claim of 4 and a task of 8
    When the ledger is asked to <operation>
    Then the ledger answers "<answer>" and has <total> cores committed

    Examples:
      | operation                         | answer | total |
      | reserve 4 cores                   | ok     | 16    |
      | reserve 5 cores                   | error  | 12    |
      | reserve the task again            | ok     | 12    |
      | reserve the task with other size  | error  | 12    |
      | reserve a negative size           | error  | 12    |
      | adopt 5 cores                     | error  | 12    |
      | grow the claim to 12              | wait   | 16    |
      | reserve 1 core after the claim grew | error | 16    |
      | release the task after the claim grew | ok  | 12    |
      | release an unknown task           | ok     | 12    |
