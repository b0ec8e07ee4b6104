Feature: logs

  Guards against a log that grows without limit under load, a process that
  blocks because the reader of its log has stopped reading, and lines that are
  lost without being counted.

  Scenario: logs keep their volume bounded in a burst and count what is left out
    Given a process logs to a pipe that is read
    When it logs 5000 lines at once
    Then at most 1400 of its lines are written
    And the lines written and those reported as left out add up to 5000

  Scenario: logs are not delayed by a reader that stops reading
    Given a process logs to a pipe that nobody reads
    When it logs 5000 lines of 1500 characters over 2 seconds
    Then no log call took longer than 0.25 seconds
    When the pipe is read again
    Then the lines written and those reported as left out add up to 5000

  Scenario: logs keep warnings although ordinary lines use up their budget
    Given a process logs to a pipe that is read
    When it logs 5000 lines at once
    And it logs 100 warnings at once
    Then 100 of its warnings are written

  Scenario: logs of a process that ends are written out
    Given a process logs to a pipe that is read
    When it logs 300 lines at once
    And it ends
    Then 300 of its lines are written

  Scenario: logs do not keep a process from ending when nobody reads them
    Given a process logs to a pipe that nobody reads
    When it logs 200 lines of 1500 characters over 0 seconds
    Then it ends within 2 seconds

  Scenario: logs cut off a long field and stay one JSON object a line
    Given a process logs to a pipe that is read
    When it logs a line with a field of 100000 characters
    And it ends
    Then its longest line has at most 5000 characters

  Scenario Outline: logs tell the story of <subject>
    Given logs of an entry, an agent and a scheduler that was replaced
    When the operators' command explains <subject> from the logs
    Then it prints the lines <lines> in order of time

    Examples:
      | subject                | lines                                                                            |
      | 00000000000000a1       | job submitted, run ordered, run started, scheduler elected, run ended, job ended |
      | 00000000000000a1.0.0.1 | run ordered, run started, scheduler elected, run ended                           |

  Scenario: logs tell once what a process repeats meanwhile
    Given logs of an entry, an agent and a scheduler that was replaced
    And the agent logs 5 times that it cannot reach the store
    When the operators' command explains 00000000000000a1 from the logs
    Then it prints one line "entries not looked up" that was repeated 4 times

  Scenario: logs without a line about an id say so in one sentence
    Given logs of an entry, an agent and a scheduler that was replaced
    When the operators' command explains 00000000000000ff from the logs
    Then it fails with the sentence "no line of the logs names 00000000000000ff"
