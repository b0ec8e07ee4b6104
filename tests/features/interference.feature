Feature: interference

  Guards against estimates that attribute slowdown to harmless tasks or follow a
  single outlier, and against a guard that oscillates or moves a task before it
  has throttled it.

  Scenario Outline: estimates approach the planted slowdown from late, noisy reports
    Given true interference <planted> with <noise> of outlier reports and 2 s of lag
    When interference is learned from 40 hosts for 300 s from seed <seed>
    Then each interference estimate is within 0.1 of the true value

    Examples:
      | planted                       | noise | seed |
      | grinding=0.5 sorting=0.0      | 0 %   | 1    |
      | grinding=0.5 sorting=0.0      | 5 %   | 2    |
      | grinding=0.3 sorting=0.1      | 5 %   | 3    |

  Scenario: a pair that is noisy only together is told from quiet singles
    Given true interference grinding=0.0 sorting=0.0 with 0 % of outlier reports and 2 s of lag
    And interference of 0.8 when grinding and sorting run together
    When interference is learned from 40 hosts for 300 s from seed 4
    Then the pair is predicted at least 0.5 slower than its singles

  Scenario: interference estimates fade
    Given an interference estimate of 0.8
    When interference decays for two hours
    Then the interference estimate is below 0.05

  Scenario Outline: steps of the guard under interference
    Given a guarded host with a noisy and a quiet batch task
    When the interference pressure is <pressures>
    Then the actions of the guard are <steps>

    Examples: pressure for a number of seconds
      | pressures              | steps |
      | 1.4 for 60             | none |
      | 2.0 for 2, 1.0 for 5   | none |
      | 2.0 for 4              | throttle noisy 0.5 |
      | 2.0 for 25             | throttle noisy 0.5, throttle noisy 0.25, move noisy, throttle quiet 0.5, throttle quiet 0.25 |
      | 2.0 for 4, 1.3 for 60  | throttle noisy 0.5 |
      | 2.0 for 4, 1.0 for 20  | throttle noisy 0.5, release noisy 1.0 |
