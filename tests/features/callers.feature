Feature: callers

  Fails if a caller takes a truncated body for a complete one, if a request that ran
  is reported as "not run", if callers exhaust the entry, or if a shutdown interrupts
  requests. Everything runs over TCP on loopback; the backend servers' records show
  which requests ran.

  Scenario Outline: every caller gets the whole answer to its own request
    Given a callers deployment with 3 agents
    When 120 callers ask over HTTP/<version> for bodies of 0 to 3000000 bytes
    Then each caller got the complete body of its own request once

    Examples:
      | version |
      | 1       |
      | 2       |

  Scenario Outline: a cut body is never taken for a whole one
    Given a callers deployment with 1 agents
    When the backend server truncates a body of <size> bytes asked for over HTTP/<version>
    Then the caller of the truncated body sees <what>

    Examples:
      | size    | version | what        |
      | 1000    | 1       | 502 unknown |
      | 1000    | 2       | 502 unknown |
      | 3000000 | 1       | an error    |
      | 3000000 | 2       | an error    |

  # The time for a body ran out first in a process that had been paused, though the body was there.
  Scenario: a body that arrived while the entry was paused is read
    Given a callers deployment with 1 agents
    When the rest of a body arrives while the entry is paused for longer than a body may take
    Then the paused call is answered with status 200

  # Each piece that came after the deadline gave the next one more time.
  Scenario: a body that trickles in beyond its deadline is given up
    Given a callers deployment with 1 agents
    When a body arrives a byte each 0.05 seconds under a deadline of 0.3 seconds
    Then the slow body is answered with status 408 within 1.5 seconds

  Scenario Outline: a call that breaks a rule is refused and does not run
    Given a callers deployment with 1 agents
    When a caller sends <what>
    Then the caller gets status <status> and reason <reason>, and nothing ran

    Examples:
      | what                    | status | reason            |
      | another path            | 404    | not-found         |
      | an unknown service      | 404    | no-service        |
      | an unknown class        | 400    | no-class          |
      | a booking without a key | 400    | key-missing       |
      | a deadline that is text | 400    | bad-deadline      |
      | a body over the limit   | 413    | body-too-large    |
      | headers over the limit  | 431    | headers-too-large |
      | a body that stalls      | 408    | body-too-slow     |

  # A restarted entry knew no service yet, and answered 404 "not run" to a key that had run.
  Scenario Outline: a call with a key that may have run before is never reported as not run
    Given a callers deployment with 1 agents
    When a caller repeats an answered booking <how>
    Then the repeated booking gets status <status>, reason <reason> and outcome unknown

    Examples:
      | how                                              | status | reason       |
      | at an entry that has no bundle yet               | 503    | no-bundle    |
      | at an entry without the service's founders       | 502    | no-founders  |
      | for a service that the bundle no longer names    | 404    | no-service   |
      | with a class that the bundle does not name       | 400    | no-class     |
      | with a deadline that is text                     | 400    | bad-deadline |
      | while the entry holds too many requests          | 503    | too-many-requests |

  Scenario: a call without a key is reported as not run by an entry that has no bundle yet
    Given a callers deployment with 1 agents
    When a request without a key reaches an entry that has no bundle yet
    Then the request gets status 503, Retry-After and outcome not-run

  Scenario: a large request body reaches the backend server whole
    Given a callers deployment with 1 agents
    When a caller uploads 900000 bytes
    Then the backend server got 900000 bytes from the caller

  Scenario: a flood is answered or refused as not run, and nothing else
    Given a callers deployment with 1 agents
    When 150 callers send requests at once with 30 ms of work each
    Then each of these callers got an answer or a refusal with Retry-After, and only answered requests ran

  Scenario: refused requests over HTTP/2 leave the others on their connection alone
    Given a callers deployment with 1 agents
    When 40 callers share one HTTP/2 connection to an entry that takes 5 requests
    Then each caller on the connection was answered or refused

  Scenario: connections beyond the limit are closed and the others served
    Given a callers deployment with 1 agents
    When 60 connections are opened by callers where 40 are allowed
    Then 20 connections were closed and a caller is served once the others have gone

  Scenario: a shutdown ends no request in flight
    Given a callers deployment with 2 agents
    When the entry shuts down while 12 callers wait for 400 ms of work
    Then all 12 callers got their answers and the port is closed

  Scenario: the work of a caller who hangs up is cancelled
    Given a callers deployment with 1 agents
    When a caller hangs up during 1500 ms of work
    Then the agent's slot for that caller was free before the work had ended
