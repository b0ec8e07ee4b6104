Feature: config

  Guards against an invalid settings file that is accepted, and an error that
  does not name the file and the setting.

  Scenario Outline: a wrong setting is refused with its place
    Given the example entry settings
    When the entry setting <path> becomes <value>
    Then the entry settings are refused with <words>

    Examples:
      | path                | value                 | words                                     |
      | linkz               | 1                     | unknown setting 'linkz'                   |
      | links.prot          | 1                     | links: unknown setting 'prot'             |
      | links.port          | "7111"                | links.port: must be a number              |
      | links.port          | 70000                 | links.port: 70000 is not a TCP port       |
      | links.port          | -1                    | links.port: -1 is outside                 |
      | links.port          | 1.5                   | links.port: must be a whole number        |
      | links.port          | true                  | links.port: must be a number              |
      | links               | []                    | links: must be an object                  |
      | entry               | ""                    | entry: must be a text that is not empty   |
      | entry               | 5                     | entry: must be a text                     |
      | drain_s             | -0.1                  | drain_s: -0.1 is outside                  |
      | drain_s             | 1e999                 | drain_s: inf is outside                   |
      | policy              | {"shards": 1e300}     | policy.shards: must be a whole number     |
      | policy              | {"fresh_s": "2"}      | policy.fresh_s: must be a number          |
      | policy              | {"guards": "on"}      | policy.guards: must be true or false      |
      | limits              | {"queue": 1e16}       | limits.queue: must be a whole number      |
      | limits              | {"queue": 999999999999999999} | is outside                        |
      | trusted_keys        | "key"                 | trusted_keys: must be a list              |
      | trusted_keys        | [1]                   | trusted_keys[0]: must be a text           |
      | store               | {}                    | store: setting 'url' is missing           |

  Scenario Outline: a file that is no settings file is refused
    Then an entry settings file with <content> is refused

    Examples:
      | content              |
      | nothing              |
      | a repeated name      |
      | deep nesting         |
      | bytes that are binary |
      | no file at all       |

  Scenario: arbitrary values never raise anything but a settings error
    When 300 arbitrary values replace settings or the whole file
    Then each gave settings or a settings error that names the file
