Feature: trace

  Guards against a trace that changes when it is written and read, an error that
  does not name the file and line of a malformed or newer trace, and a recorder
  that fails or grows without limit when its file cannot be written.

  Scenario: every kind of trace event is read as it was written
    Given a trace with one event of every kind
    When the trace is written and read again
    Then the trace is the same

  Scenario Outline: a trace with <fault> is refused with its file and line
    Given a trace with one event of every kind
    When the trace is changed to have <fault>
    Then the trace is refused at line <line> because of <text>

    Examples:
      | fault                  | line | text             |
      | no line                | 0    | is empty         |
      | a newer version        | 1    | is newer than 1  |
      | no header              | 1    | begins with      |
      | a broken line          | 3    | is not JSON      |
      | an unknown kind        | 3    | unknown kind     |
      | a time that goes back  | 3    | does not go back |
      | a field too many       | 3    | unknown field    |
      | a field of another type | 3   | must be          |
      | a list as a line       | 3    | must be an object |

  Scenario Outline: a trace recorder with <fault> drops and counts events and never fails
    Given a trace recorder with <fault>
    When 20000 events are recorded for the trace
    Then the trace recorder dropped between <low> and <high> events

    Examples:
      | fault                  | low   | high  |
      | a good file            | 10000 | 10000 |
      | a folder as its file   | 20002 | 20002 |
      | room for 1000 bytes    | 20001 | 20001 |
