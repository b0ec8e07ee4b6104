Feature: jobtable

  Guards against a step that starts before the steps it depends on, a run end
  that is counted twice, a lost checkpoint, a job that is shown as completed
  while a task is not done, and tables that differ after a replay.

  Scenario: jobtable wants a step only when the steps it waits for are done
    Given a jobtable with a job of steps 2 and 1, the second after the first
    Then the jobtable has waiting tasks 0.0 0.1
    When run 1 of 0.0 in the jobtable ends done
    Then the jobtable has waiting tasks 0.1
    When run 1 of 0.1 in the jobtable ends done
    Then the jobtable has waiting tasks 1.0
    When run 1 of 1.0 in the jobtable ends done
    Then the jobtable's job is to end completed

  Scenario: jobtable wants a task again, from its newest checkpoint, when its run ends otherwise
    Given a jobtable with a job of steps 1 and 1, the second after the first
    When run 1 of 0.0 in the jobtable ends stopped with checkpoint c7
    Then the jobtable has waiting tasks 0.0
    And the jobtable's task 0.0 resumes from c7 as run 2

  Scenario: jobtable counts the end of a run once
    Given a jobtable with a job of steps 1 and 1, the second after the first
    When run 1 of 0.0 in the jobtable ends failed
    And the end failed of run 1 of 0.0 reaches the jobtable again
    Then the jobtable's task 0.0 has failed 1 time

  Scenario: jobtable takes an end done that is listed after the run was given up
    Given a jobtable with a job of steps 1 and 1, the second after the first
    When run 1 of 0.0 in the jobtable ends lost
    And the end done of run 1 of 0.0 reaches the jobtable again
    Then the jobtable has waiting tasks 1.0

  Scenario: jobtable takes one end of a gang for all its members
    Given a jobtable with a gang of 3
    When run 1 of 0.1 in the jobtable ends done
    Then the jobtable's job is to end completed

  Scenario: jobtable wants nothing of a job that is cancelled or has failed
    Given a jobtable with a job of steps 2 and 1, the second after the first
    When the jobtable's job is cancelled
    Then the jobtable has no waiting tasks
    And the jobtable's job is to end cancelled

  # A job counted as begun, and so not as pending, once a start was decided that its executor refused.
  Scenario: jobtable takes a job for running only when a run of it has begun
    Given a jobtable with a job of steps 1 and 1, the second after the first
    When run 1 of 0.0 in the jobtable is assigned
    Then the jobtable's job is shown as queued
    When the end lost of run 1 of 0.0 reaches the jobtable again
    And run 2 of 0.0 in the jobtable is assigned
    Then the jobtable's job is shown as queued
    When run 2 of 0.0 in the jobtable has begun
    Then the jobtable's job is shown as running

  Scenario: jobtable never ends a job whose tasks run until it is cancelled
    Given a jobtable with a long-running step of 2
    When run 1 of 0.0 in the jobtable ends done
    Then the jobtable has waiting tasks 0.0 0.1
    And the jobtable's job is not to end

  Scenario: jobtable is the same after any history and after its snapshot, seeds 1 to 60
    When random histories of jobtables are replayed and rebuilt from snapshots, seeds 1 to 60
    Then the rebuilt jobtables equal the original ones

  # A crash of such a run convicts its task; after a snapshot it would take one crash more.
  Scenario: jobtable snapshots keep that a run was ordered after the pause of a suspect
    When a run is ordered after two crashes of which its task is suspected, and a snapshot is read
    Then the run counts as ordered after the pause, also after the snapshot
