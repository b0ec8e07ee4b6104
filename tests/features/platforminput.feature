Feature: platforminput

  Guards against a process that crashes or applies only part of an input when
  another process sends invalid JSON, or JSON with missing or mistyped fields.

  Scenario Outline: platforminput meets random input in <reader> with its own error only
    When the platforminput parser for <reader> reads 300 random inputs
    Then the platforminput parser returned a value or raised its own error each time

    Examples:
      | reader        |
      | submission    |
      | configuration |
      | heartbeat     |
      | holding       |
      | settings      |
      | store answer  |
      | entry         |
      | leader        |
      | stored job    |
      | run log       |
      | control keys  |
      | writer token  |
      | journal       |
      | worker answer |
      | wave          |
      | state of a wave |
      | machine list  |

  Scenario Outline: platforminput refuses a settings file that <fault> with one sentence
    When the platform's command starts with a settings file that <fault>
    Then the platform's command prints one sentence with <words> and exits with 2

    Examples:
      | fault               | words     |
      | does not exist      | No such   |
      | is not JSON         | JSON      |
      | has no ip           | ip        |
      | has a bad address   | address   |
      | has no port range   | portRange |
      | has a port of 1e400 | portRange |
      | has a port of 65536 | portRange |
      | has a nested port   | portRange |
      | has a high address  | address   |
      | has a bad cloudApi  | address   |
      | has a rate of 0     | ratePerS  |
      | is nested deeply    | JSON      |

  # Nothing knew which executors start whatever they are told to.
  Scenario Outline: platforminput reads whether a queue's executors guard their capacity: <services>
    When the platforminput parser reads a configuration with the services <services>
    Then the platforminput queue of the service bakery <result>

    Examples:
      | services                                                                            | result                     |
      | [{"name":"bakery","enforcesCapacity":true}]                                         | guards its capacity        |
      | [{"name":"bakery","enforcesCapacity":false}]                                        | does not guard its capacity |
      | [{"name":"bakery"}]                                                                 | guards its capacity        |
      | [{"name":"mill","enforcesCapacity":false}]                                          | guards its capacity        |
      | [{"name":"mill","enforcesCapacity":true},{"name":"bakery","enforcesCapacity":false}] | does not guard its capacity |
      | []                                                                                  | guards its capacity        |
      | [{"name":"bakery","enforcesCapacity":"no"}]                                         | is refused                 |
      | [{"enforcesCapacity":false}]                                                        | is refused                 |
      | [7]                                                                                 | is refused                 |
      | {}                                                                                  | is refused                 |

  # A label that is not valid Unicode, or a birth or a number far too large, was passed on.
  Scenario: platforminput refuses each malformed heartbeat
    Then the platforminput parser refuses each malformed heartbeat, also from an id that no header can hold

  # One malformed row made the agent drop the whole answer, so that no lease was renewed.
  Scenario: platforminput leaves malformed rows out of an executor's lists
    Then the platforminput parser keeps the other rows beside malformed ones in an executor's lists

  # A run was taken for ended since its row was malformed or its end not listed yet.
  Scenario: platforminput tells whether a run may be missing in an executor's lists
    Then the platforminput parser calls an executor's lists whole only if no run and no end may be missing
