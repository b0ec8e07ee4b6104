Feature: platforminput

  Guards against a process that ends, or takes over half of it, when another
  writer sends fields that are missing, of another type, or no JSON at all.

  Scenario Outline: platforminput meets random input in <reader> with its own error only
    When random input of 300 kinds is read by the platforminput reader <reader>
    Then the platforminput reader answered each with a value or with its own error

    Examples:
      | reader        |
      | submission    |
      | configuration |
      | heartbeat     |
      | holding       |
      | settings      |
      | store answer  |

  Scenario Outline: platforminput refuses a settings file that <fault> with one sentence
    When the platform's command starts with a settings file that <fault>
    Then the platform's command says one sentence with <words> and exits with 2

    Examples:
      | fault               | words     |
      | does not exist      | No such   |
      | is not JSON         | JSON      |
      | has no ip           | ip        |
      | has a bad address   | address   |
      | has no port range   | portRange |
