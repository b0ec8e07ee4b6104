Feature: retry

  Guards against retries that multiply the load during an outage, and against
  tries that cannot finish before the caller's deadline.

  Scenario Outline: retries stay within their share of arrivals
    Given a retry budget whose limit is <limit>
    When 1000 arrivals each request 2 retries
    Then between <least> and <most> retries were allowed

    Examples:
      | limit | least | most |
      | on    | 100   | 103  |
      | off   | 2000  | 2000 |

  Scenario: a quiet time saves up no storm
    Given a retry budget whose limit is on
    When 1000 arrivals request no retry and then 100 retries are requested at once
    Then between 20 and 20 retries were allowed

  Scenario Outline: a retry needs time and a try left, and costs nothing if refused
    Given a retry budget whose limit is on
    When a retry is requested at <now> s for a deadline at 10 s after <tries> tries
    Then the retry answer is <answer>

    Examples:
      | now  | tries | answer |
      | 5    | 1     | yes    |
      | 5    | 3     | no     |
      | 9.99 | 1     | no     |
      | 11   | 1     | no     |
