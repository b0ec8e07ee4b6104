Feature: placement

  Guards against a job that blocks others, against placement beyond the free
  resources of a host, and against starts that a rule, a data centre out of
  service or the interference estimates forbid.

  Scenario Outline: jobs are served by priority, then team share, then age
    Given placement hosts with 4 free cores in total
    When placement serves the jobs <jobs>
    Then placement places <order>

    Examples: each job is name:team:priority:age in s:tasks of one core
      | jobs                                              | order   |
      | a:x:low:9:1 b:x:normal:5:1 c:x:urgent:1:1         | c b a   |
      | a:x:normal:1:1 b:x:normal:9:1                     | b a     |
      | a:x:normal:9:4 b:y:normal:1:2                     | a b a b |
      | a:x:normal:9:4 b:double:normal:1:4                | a b b a |

  Scenario Outline: a task goes to the host of best fit
    Given placement hosts <hosts>
    When placement serves one task of <cores> cores, <accelerators> accelerators for <activity>
    Then placement uses host <host>

    Examples: each host is name:data centre:free cores:accelerators
      | hosts                             | cores | accelerators | activity | host |
      | h1:suva:8:0 h2:suva:4:0 h3:suva:6:0 | 4   | 0            | sorting  | h2   |
      | h1:suva:4:1 h2:suva:8:0           | 4     | 0            | sorting  | h2   |
      | h1:suva:8:0 h2:suva:16:1          | 4     | 1            | sorting  | h2   |
      | h1:out:4:0 h2:suva:8:0            | 4     | 0            | sorting  | h2   |
      | h1:suva:4:0 h2:quiet:8:0          | 4     | 0            | grinding | h1   |
      | h1:soon:4:0 h2:suva:8:0           | 4     | 0            | grinding | h2   |
      | h1:suva:4:0 sick:suva:4:0         | 4     | 0            | sorting  | h1   |
      | h1:suva:3:0                       | 4     | 0            | sorting  | none |
      | busy:suva:4:0 h2:suva:9:0         | 4     | 0            | noisy    | h2   |
      | busy:suva:4:0                     | 4     | 0            | noisy    | none |

  Scenario: tasks that cannot be placed block no other job
    Given placement hosts h1:suva:8:0 h2:out:64:0
    When placement serves a job too large, a job whose rule forbids it and a small job
    Then only the small job is placed and placement explains the others

  Scenario Outline: random placement never exceeds a host or a rule
    Given 40 random placement hosts from seed <seed>
    When placement serves 60 random jobs
    Then placement kept every host within its free size and every rule
    And no job left waiting by placement fits on a usable host

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario: the placement baseline is first fit without feedback
    Given placement hosts h1:suva:9:0 h2:suva:4:0
    When the placement baseline serves one task of 4 cores
    Then placement uses host h1

  @long
  Scenario: the cost of a placement at target size is printed
    When placement serves 1400 tasks on 520, 2600 and 5200 hosts
    Then each placement takes under 700 microseconds
