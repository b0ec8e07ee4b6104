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
