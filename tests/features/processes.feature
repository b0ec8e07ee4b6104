Feature: processes

  Runs real processes on loopback under kills, pauses, silent connections and store
  faults, and judges them by the records of the worker and backend server
  stand-ins, not by what the processes report. Guards against a host above its capacity,
  a task that runs in two places, a resume from an outdated checkpoint, task starts
  in a data centre out of service, swapped or truncated answers, a false "not run",
  a booking that runs twice, and a bundle that is replaced by an older one.

  @long
  Scenario Outline: processes run each task in one place after <fault>
    Given running processes with a job of 6 tasks that run for 8 seconds
    When <fault> is injected into the processes
    Then the processes' job finishes
    And the processes' records show no violation

    Examples:
      | fault                                   |
      | kill of an entry and an agent           |
      | pause of an agent past the task leases  |
      | kill of an entry                        |
      | kill of an agent                        |
      | kill of a host                          |
      | pause of an entry past its lease        |
      | silent connections                      |
      | a store that is down                    |
      | a store that is slow                    |
      | a store that loses answers              |
      | a store that limits writes              |
      | a restart of everything without store   |

  Scenario Outline: processes run a booking once that is sent again after <fault>
    Given running processes
    When a booking is in flight at the processes and <fault> is injected
    And the booking is sent again to the processes through another entry
    Then the processes answered it as <outcome>
    And the processes' backend servers recorded the booking once
    And the processes' records show no violation

    Examples:
      | fault                          | outcome  |
      | a kill of its entry            | answered |
      | a kill and restart of its agent | unknown |

    @long
    Examples: longer
      | fault                          | outcome  |
      | silence on all connections     | answered |

  @long
  Scenario Outline: processes start nothing in a data centre taken out with <fault>
    Given running processes with a stream of jobs
    When a data centre of the processes is taken out with <fault>
    Then the processes' workers start no task there after 5 seconds
    And the processes' records show no violation

    Examples:
      | fault                             |
      | no fault                          |
      | the store out                     |
      | an entry paused                   |
      | the store out and an entry paused |
      | bring-backs racing                |

  Scenario Outline: processes cut off nothing when <process> shuts down
    Given running processes
    When <process> of the processes shuts down with 12 long answers in flight
    Then the processes answered all of them
    And the processes' records show no violation

    Examples:
      | process  |
      | an entry |
      | an agent |

  # Guards against a relay that takes a port chosen for a process, which then cannot start.
  Scenario: processes and the relays between them get different ports
    When the ports of processes with relays are chosen
    Then the relays of the processes listen on ports that were chosen for them alone

  Scenario: processes take one of two bundles that operators race with
    Given running processes
    When two operators apply different bundles of one version to the processes
    Then one of the bundles is accepted and all processes show it within 5 seconds
    And the processes' records show no violation

  @long
  Scenario: processes stop forbidden work before quiet hours begin
    Given running processes
    When quiet hours begin at the processes while a long job runs in two data centres
    Then the processes' workers run none of its tasks in the quiet data centre
    And the processes' records show no violation

  Scenario: processes hold every row in a mixed run of 12 seconds with seed 7
    When processes go through a mixed run of 12 seconds with seed 7
    Then every row of the processes' mixed run holds

  @long
  Scenario Outline: processes hold every row in a mixed run with seed <seed>
    When processes go through a mixed run of 90 seconds with seed <seed>
    Then every row of the processes' mixed run holds

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
