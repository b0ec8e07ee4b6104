Feature: daemon

  Fails if a process starts with unusable settings, or ends with a traceback instead
  of an error message of one sentence.

  Scenario Outline: the daemon refuses <mistake> in <role> settings
    Given valid daemon settings of the role <role>
    When the daemon is started with <mistake>
    Then the daemon ends with exit code 2 and one sentence that contains <text>

    Examples:
      | role  | mistake                  | text                 |
      | entry | no settings file         | cannot be read       |
      | entry | an unknown setting       | unknown setting      |
      | agent | an unknown setting       | unknown setting      |
      | entry | a text for a port        | must be              |
      | agent | a negative size          | outside              |
      | entry | a huge drain time        | outside              |
      | entry | an address in use        | cannot listen        |
      | agent | an address in use        | cannot listen        |
      | entry | a missing certificate    | no such file         |
      | agent | a missing certificate    | no such file         |
      | agent | a malformed trusted key  | key                  |
