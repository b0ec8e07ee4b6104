Feature: exchange

  Fails if a caller gets a truncated answer, another request's answer or a repeated
  one; if a request is reported as "not run" although it ran or runs later; if a
  request with the same idempotency key runs twice; or if requests are sent to agents
  that leave. The backend servers' records show which requests ran.

  Scenario Outline: answers are whole and run once whatever happens to their messages
    Given a deployment with agents: 3, entries: 1, seed: <seed>
    When 12 exchange requests of <size> bytes are made while answers are <fault>
    Then every exchange answer is complete and belongs to its request
    And no exchange request ran twice

    Examples:
      | fault     | size   | seed |
      | lost      | 100    | 1    |
      | lost      | 200000 | 2    |
      | late      | 100    | 3    |
      | late      | 200000 | 4    |
      | doubled   | 100    | 5    |
      | doubled   | 200000 | 6    |
      | reordered | 200000 | 7    |

  Scenario Outline: a link that fails while a request runs is settled by id
    Given a deployment with agents: 2, entries: 1, seed: 1
    When the link of a running exchange request <failure> after <after> s and it needs 1 s
    Then every exchange answer is complete and belongs to its request
    And exchange requests that ran: 1

    Examples:
      | failure     | after |
      | breaks      | 0.5   |
      | goes silent | 0.5   |
      | goes silent | 0.0   |

  Scenario: a request settled as never run does not run when a late copy of it comes
    Given a deployment with agents: 2, entries: 1, seed: 1
    When an exchange request is delayed for 6 s and its link breaks
    Then every exchange answer is complete and belongs to its request
    And exchange requests that ran: 1

  Scenario Outline: an agent's restart leaves the outcome unknown unless the class is idempotent
    Given a deployment with agents: 3, entries: 1, seed: 1
    When the agent of a running <class> exchange request restarts
    Then the exchange outcome is <outcome>

    Examples:
      | class   | outcome  |
      | intake  | answered |
      | booking | unknown  |

  Scenario Outline: a caller's retry with the same key through another entry does not run again
    Given a deployment with agents: 3, entries: 2, seed: 1
    When a booking of 1 s is made, its entry is killed after <killed> s and the caller retries after <retry> s
    Then the exchange outcome is <outcome>
    And exchange requests that ran: 1

    Examples:
      | killed | retry | outcome  |
      | 0.5    | 0.1   | answered |
      | 0.5    | 2.0   | answered |
      | 0.5    | 110.0 | answered |

  Scenario Outline: a retry after a failure of the key's home is never a second run
    Given a deployment with agents: 4, entries: 1, seed: 1
    When a booking has run, its home <failure> and the caller retries with the same key
    Then the exchange outcome is <outcome>
    And exchange requests that ran: 1

    Examples:
      | failure         | outcome |
      | restarts        | unknown |
      | is unreachable  | unknown |

  Scenario Outline: bookings need agents that can vouch for the key
    Given a deployment with agents: 3, entries: 1, seed: 1
    When <missing> of the agents have no full key memory and a booking is made
    Then the exchange outcome is <outcome>

    Examples:
      | missing | outcome  |
      | 1       | answered |
      | 2       | unknown  |

  Scenario: a backend server never gets more than its slots and connections
    Given a deployment with agents: 1, entries: 3, seed: 1
    When 200 exchange requests of 50 ms are sent at once
    Then the backend server saw at most 8 requests at a time
    And every exchange answer is complete or its request did not run

  Scenario: a leaving agent finishes its requests and gets no new ones
    Given a deployment with agents: 2, entries: 1, seed: 1
    When an agent leaves while 8 exchange requests of 3 s run
    Then the drain ended after the last answer
    And every exchange answer is complete and belongs to its request
    And nothing started at the leaving agent after it left

  # Guards against an agent that stops while its link is down, so that its last answers are lost
  # and their callers wait until the deadline.
  Scenario Outline: exchange answers are not lost when the link <failure> before their agent stops
    Given a deployment with agents: 2, entries: 1, seed: 1
    When an exchange agent shuts down and its link <failure> before its answers of <size> bytes
    Then the exchange agent had requests and has stopped
    And every exchange answer is complete and belongs to its request
    And no exchange request ran twice

    Examples:
      | failure     | size   |
      | breaks      | 100    |
      | breaks      | 0      |
      | breaks      | 200000 |
      | goes silent | 100    |
      | goes silent | 200000 |

  # Guards against a shutdown that waits for a confirmation that no entry will send.
  Scenario: an exchange agent whose entry is gone stops without a confirmation of its answers
    Given a deployment with agents: 1, entries: 1, seed: 1
    When an exchange agent shuts down and its entry is gone before its answers
    Then the exchange agent stopped within 9 s of its last answer

  # Guards against callers that wait until the deadline for the answer of an agent that has left.
  Scenario Outline: an exchange request whose agent left while cut off ends as <outcome>
    Given a deployment with agents: 3, entries: 1, seed: 1
    When an exchange agent leaves and is cut off during <class> requests with a deadline of 40 s
    Then the exchange agent had requests and has stopped
    And the exchange outcomes of its requests are <outcome> after <from> to <to> s

    Examples:
      | class   | outcome  | from | to |
      | intake  | answered | 11   | 20 |
      | booking | unknown  | 39   | 42 |

  Scenario: an agent that left or whose data centre is out refuses what still comes
    Given a deployment with agents: 1, entries: 1, seed: 1
    When exchange requests bypass routing after leaving and with the data centre out
    Then both were refused and nothing ran

  Scenario: a caller that hangs up while its request is queued leaves nothing to run
    Given a deployment with agents: 1, entries: 1, seed: 1
    When 8 exchange requests of 1 s run and 8 queued ones are cancelled
    Then exchange requests that ran: 8

  Scenario Outline: a request without an answer ends as unknown at its deadline
    Given a deployment with agents: 1, entries: 1, seed: 1
    When <fault> during an exchange request with a deadline of 2 s
    Then the exchange outcome is unknown
    And the exchange answer took at most 3.1 s

    Examples:
      | fault                         |
      | the backend server hangs      |
      | every message of it gets lost |

  Scenario: a backend server that fails everything gets little work
    Given a deployment with agents: 4, entries: 1, seed: 1
    When 1 backend server fails all of 400 exchange requests it gets
    Then fewer than 40 exchange requests were answered with status 500

  Scenario Outline: one key runs at most once over all interleavings of racing entries
    Given racing entries where <views>
    When every interleaving of their messages is explored
    Then no interleaving runs the key twice or runs a request reported as not run
    And some interleaving runs the key once

    Examples:
      | views                                   |
      | both see all places                     |
      | the second does not see the home        |
      | the second gets no answer from place 2  |
      | the second gets no answer from place 3  |
      | each misses another place               |
      | a joining agent moves the places        |

  Scenario: entries that reach no common place of a key both refuse
    Given racing entries where each reaches only one place
    When every interleaving of their messages is explored
    Then no interleaving runs the key twice or runs a request reported as not run

  Scenario Outline: the exploration finds a second run when a protection is off
    Given racing entries where <views>
    When every interleaving is explored without <protection>
    Then some interleaving runs the key twice

    Examples:
      | views                                  | protection    |
      | each reaches only one place            | the majority  |
      | the second does not see the home       | the tombstone |

  Scenario: a backend server that is down does not attract requests by refusing fast
    Given a deployment with agents: 4, entries: 1, seed: 3
    And the backend server of an exchange agent is down
    When 200 idempotent exchange requests of 20 ms are sent one after the other
    Then the exchange sent at most 8 requests to the backend server that is down
