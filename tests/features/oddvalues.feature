Feature: oddvalues

  Guards against a process that ends, or stops following the others, when
  another writer leaves a malformed value where a record of ours is expected.

  # A registration that was nested too deeply, or had a port out of range, ended each process.
  Scenario: oddvalues names no peer by a malformed registration, and the others are followed
    Given an oddvalues world of 2 entries and 2 agents
    And each malformed registration is stored in the oddvalues world
    Then the oddvalues world serves a job, and another one after its scheduler is killed
    And the entries of the oddvalues world know each other and nobody else
    And each process of the oddvalues world has logged each malformed record once

  # A malformed leader ended each process; without a leader of their own, no job is served.
  Scenario: oddvalues elects a scheduler although the leader's record is malformed
    Given an oddvalues world of 2 entries and 2 agents
    Then the oddvalues world serves a job after each malformed value at the leader's key

  Scenario: oddvalues serves jobs although the record of supporters is malformed
    Given an oddvalues world of 2 entries and 2 agents
    Then the oddvalues world serves a job after each malformed value at the supporters's key

  # The scheduler of the epoch after a malformed one began at 1 again, and no agent followed it.
  Scenario: oddvalues raises the epoch although its record is malformed
    Given an oddvalues world of 2 entries and 2 agents
    Then the oddvalues world serves a job after each malformed value at the epoch's key
    And the epochs of the oddvalues world only rose

  # Agents keep the epoch that they have seen, and entries that start know none.
  Scenario: oddvalues raises the epoch also if all entries have restarted beside a malformed one
    Given an oddvalues world of 2 entries and 2 agents
    When all entries of the oddvalues world are replaced beside a malformed epoch
    Then the oddvalues world serves a job, and another one after its scheduler is killed
    And the epochs of the oddvalues world only rose

  # A stored job whose fields had other types, or that was nested too deeply, ended each scheduler.
  Scenario: oddvalues runs the other jobs beside malformed ones
    Given an oddvalues world of 2 entries and 2 agents
    And each malformed job is stored in the oddvalues world
    Then the oddvalues world serves a job, and another one after its scheduler is killed
    And each process of the oddvalues world has logged each malformed record once

  # A malformed entry of the run log, even an empty one, ended each scheduler that loaded it.
  Scenario: oddvalues runs jobs beside malformed entries of the run log
    Given an oddvalues world of 2 entries and 2 agents
    And each malformed entry of the run log is stored in the oddvalues world
    Then the oddvalues world serves a job, and another one after its scheduler is killed

  # A dialling loop ended its process at an address that could not be passed to a socket.
  Scenario Outline: oddvalues goes on dialling when the peer's <part> is <value>
    When an oddvalues peer is dialled for a second at an address whose <part> is <value>
    Then the oddvalues dialling has not ended

    Examples:
      | part | value            |
      | port | -3               |
      | port | 99999999         |
      | host | a lone surrogate |
      | host | a long text      |
      | host | a text with zero |

  # An answer to an order that names no task ended the scheduler's process.
  Scenario: oddvalues takes the other answers beside one that names no task
    Given an oddvalues world of 1 entries and 1 agents
    When an agent of the oddvalues world answers orders of malformed names and refuses a real one
    Then the oddvalues world has started the refused run again and completed its job

  # A value that does not fit its field, or a message too long, ended the sender's process.
  Scenario: oddvalues reports a message that cannot be encoded as an error of the link
    When a message with a number too large and one that is too long are sent over an oddvalues link
    Then the oddvalues link has refused both
