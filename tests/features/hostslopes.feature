Feature: hostslopes

  What a host costs the scheduler must not grow with the number of hosts. Work is counted in
  instructions of Python's virtual machine, which are the same in every run.

  # Each report was matched with all hosts, so that the cost of all reports grew with their square.
  Scenario Outline: hostslopes let <event> cost the same beside 20 and beside 400 hosts
    Given hostslopes trackers of 20 and of 400 attached hosts
    When <event> is counted at both hostslopes trackers
    Then it took at most 1.2 times as many instructions at the larger hostslopes tracker

    Examples:
      | event                              |
      | a report of an idle host           |
      | a message that an executor is silent |
      | the end of a host's link           |

  # A pass added up all runs of all hosts, and looked at each host again for each task that it placed.
  Scenario Outline: hostslopes let a pass of the scheduler <work> at little more cost than <other work>
    Given a hostslopes fleet of 100 hosts, each with 12 runs
    When the hostslopes passes that <work> and that <other work> are counted
    Then the first takes at most <factor> times as many instructions as the second

    Examples:
      | work                                     | other work                            | factor |
      | place 40 filler tasks                    | place 1 filler task                   | 4      |
      | find no room for 30 jobs of 40 tasks     | find no room for 1 job of 40 tasks    | 4      |
      | place 1 task beside 12 runs a host       | place 1 task beside no runs           | 1.5    |

  Scenario: hostslopes do not change where tasks go
    Then 40 random hostslopes groups of tasks are placed on the same hosts as one by one
