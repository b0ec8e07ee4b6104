Feature: operators

  Fails if the operator port acts on a request without valid credentials, acts twice on
  a replayed request, reads bodies of unlimited size, or returns errors without a reason.

  Scenario Outline: some paths need no credentials
    Given an operator port that is <state>
    When the operator port gets GET <path> without credentials
    Then the operator port answers <status>

    Examples:
      | state     | path       | status |
      | ready     | /healthz   | 200    |
      | ready     | /readyz    | 200    |
      | not ready | /healthz   | 200    |
      | not ready | /readyz    | 503    |
      | ready     | /metrics   | 200    |
      | ready     | /v1/status | 401    |
      | ready     | /nothing   | 401    |

  Scenario Outline: bad credentials change nothing
    Given an operator port that is ready
    When the operator port gets a take-out with <credentials>
    Then the operator port answers 401
    And no further change was made through the operator port

    Examples:
      | credentials                  |
      | no credentials               |
      | a bearer token               |
      | a key that is not trusted    |
      | a signature for another body |
      | a signature for another path |
      | a time 31 s old              |
      | a replay                     |
      | a chain that is not JSON     |

  Scenario Outline: what is too large is refused
    Given an operator port that is ready
    When the operator port gets a signed request with <excess>
    Then the operator port answers <status>
    And no further change was made through the operator port

    Examples:
      | excess                     | status |
      | a body over the limit      | 413    |
      | a declared length too high | 413    |
      | headers over the limit     | 431    |
      | a path over the limit      | 414    |

  Scenario Outline: a wrong request is answered with its reason
    Given an operator port that is ready
    When the operator port gets signed <method> <path> with <body>
    Then the operator port answers <status> with path <where> and a rule like <rule>
    And no further change was made through the operator port

    Examples:
      | method | path                       | body                          | status | where   | rule             |
      | PUT    | /v1/bundle                 | bundle 1                      | 409    | none    | none             |
      | PUT    | /v1/bundle                 | bundle 3                      | 409    | none    | none             |
      | PUT    | /v1/bundle                 | bundle 2 without data centres | 400    | datacentres | at least one |
      | PUT    | /v1/bundle                 | bundle 2 of a stranger        | 401    | none    | trusted_keys     |
      | PUT    | /v1/datacentres/suva-depot | {"seq": 0, "state": "out"}    | 400    | seq     | from 1           |
      | PUT    | /v1/datacentres/suva-depot | {"seq": true, "state": "out"} | 400    | seq     | whole number     |
      | PUT    | /v1/datacentres/suva-depot | {"seq": 1, "state": "up"}     | 400    | state   | 'in' or 'out'    |
      | PUT    | /v1/datacentres/suva-depot | {"seq": 1}                    | 400    | body    | 'seq' and        |
      | PUT    | /v1/datacentres/suva-depot | {"seq":                       | 400    | body    | JSON             |
      | POST   | /v1/jobs                   | {"job_id": "j"}               | 400    | none    | is missing       |
      | GET    | /v1/jobs/none              | nothing                       | 404    | none    | none             |
      | GET    | /v1/other                  | nothing                       | 404    | none    | path             |
      | GET    | /v1/jobs/                  | nothing                       | 404    | none    | path             |
      | POST   | /v1/status                 | nothing                       | 405    | none    | method           |

  Scenario: a change that is not in force yet is answered as accepted
    Given an operator port that is ready
    When the operator port gets bundle 2 while other processes lag
    Then the operator port answers 202

  Scenario: a store that is out is told apart from a refusal
    Given an operator port that is ready
    When the operator port's store is out and it gets bundle 2
    Then the operator port answers 503
    And no further change was made through the operator port

  Scenario: a fault in the entry shows no details
    Given an operator port that is ready
    When the operator port's services raise an unexpected error
    Then the operator port answers 500 without details

  Scenario: a body that never ends is given up
    Given an operator port that is ready
    Then a body that stays incomplete is answered 408 after 10 s
