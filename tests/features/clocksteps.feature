Feature: clocksteps

  The clock of an executor may step back, so that its next incarnation has a lower start time than
  the one before. Guards against an executor that its agent ignores for good, and against late
  heartbeats that bring a former incarnation back.

  # Guards against an executor that is ignored for good, and late heartbeats that bring the old one back.
  Scenario Outline: clocksteps take <case>
    Given an agent of clocksteps whose executor answers as <alive>
    When it gets the heartbeats <heartbeats>
    Then clocksteps have passed <passed> on

    Examples:
      | case                                           | alive | heartbeats                    | passed     |
      | a next incarnation that was born earlier       | a50   | a100:7 a50:1 a50:2            | a100 a50   |
      | a next one with another id                     | b50   | a100:7 b50:1                  | a100 b50   |
      | no late heartbeat after a step back            | a50   | a100:7 a50:1 a100:8 a50:2     | a100 a50   |
      | no late heartbeat of one never heard before    | a50   | a50:1 a100:3 a50:2            | a50        |
      | the present one after a late first heartbeat   | a50   | a100:9 a50:1 a100:10          | a100 a50   |
      | no older heartbeat of the present one          | a50   | a50:2 a50:1                   | a50        |
      | a next one that lists no start time, in time   | none  | a100:7@0 a50:1@1 a50:2@14     | a100 a50   |
      | no other one while the present one is heard    | none  | a100:7@0 a50:1@1 a100:8@2 a50:2@14 | a100  |
      | no single heartbeat of one that does not tell  | none  | a100:7@0 a50:1@1 a50:1@20     | a100       |

  # Guards against two runs of a task: an incarnation with a lower start time was not fenced.
  Scenario: clocksteps do not keep an agent from fencing the next incarnation
    Given an incarnations agent whose executor carries out a start 4 seconds late
    When a start is ordered of the incarnations agent, and then it loses its scheduler
    And the executor restarts under its id with a lower start time after 3 seconds
    Then no run begins at the incarnations executor in the next 10 seconds

  # Guards against a host that is lost for good, as its agent waits for a later start time.
  Scenario: clocksteps do not keep an agent from attaching the next incarnation
    Given an incarnations agent whose executor carries out a start 4 seconds late
    When a start is ordered of the incarnations agent, and then it loses its scheduler
    And the executor restarts under its id with a lower start time after 3 seconds
    Then the agent of clocksteps is attached 2 seconds after it finds its scheduler again
