Feature: bundle

  Guards against an invalid bundle that is accepted, an error that does not tell
  what to change, and a comparison that omits a change.

  Scenario: the examples are valid and survive a round trip
    Then each example bundle equals itself after it is written and parsed

  Scenario Outline: a wrong bundle is refused with path and rule
    Given the example bundle of Suva
    When the bundle value at <path> becomes <value>
    Then the bundle is refused at <where> because <rule>

    Examples:
      | path                                     | value                    | where                                    | rule                    |
      | version                                  | 0                        | version                                  | at least 1              |
      | version                                  | -1                       | version                                  | outside                 |
      | version                                  | 1.5                      | version                                  | whole number            |
      | version                                  | true                     | version                                  | number                  |
      | version                                  | 1e300                    | version                                  | whole number            |
      | region                                   | ""                       | region                                   | not empty               |
      | speed                                    | 1                        | (top)                                    | unknown setting 'speed' |
      | datacentres                              | {}                       | datacentres                              | at least one            |
      | datacentres.suva-depot.zone              | "Pacific/Atlantis"       | datacentres.suva-depot.zone              | not a time zone         |
      | datacentres.suva-depot.zone              | "../../etc/passwd"       | datacentres.suva-depot.zone              | not a time zone         |
      | datacentres.suva-depot.in_service        | "no"                     | datacentres.suva-depot.in_service        | true or false           |
      | datacentres.a b                          | {"zone": "Pacific/Fiji"} | datacentres.a b                          | must be a name          |
      | quiet_hours.0.datacentres                | ["suva"]                 | quiet_hours[0].datacentres               | not in 'datacentres'    |
      | quiet_hours.0.datacentres                | []                       | quiet_hours[0].datacentres               | at least one            |
      | quiet_hours.0.activities                 | []                       | quiet_hours[0].activities                | at least one            |
      | quiet_hours.0.days                       | ["monday"]               | quiet_hours[0].days[0]                   | must be one of 'mon'    |
      | quiet_hours.0.days                       | []                       | quiet_hours[0].days                      | at least one day        |
      | quiet_hours.0.from                       | "9:00"                   | quiet_hours[0].from                      | HH:MM                   |
      | quiet_hours.0.from                       | "24:00"                  | quiet_hours[0].from                      | before 24:00            |
      | quiet_hours.0.to                         | "24:01"                  | quiet_hours[0].to                        | HH:MM                   |
      | quiet_hours.0.to                         | "21:00"                  | quiet_hours[0].to                        | must differ             |
      | quiet_hours.0.start                      | "21:00"                  | quiet_hours[0]                           | unknown setting 'start' |
      | services.scraps.claim.cpu_milli          | -5                       | services.scraps.claim.cpu_milli          | outside                 |
      | services.scraps.classes                  | {}                       | services.scraps.classes                  | at least one class      |
      | services.scraps.classes.intake.deadline_s | 0                       | services.scraps.classes.intake.deadline_s | above 0                |
      | services.scraps.classes.intake.queue     | 1000000                  | services.scraps.classes.intake.queue     | from 0 to 100000        |
      | services.scraps.classes.intake.priority  | 101                      | services.scraps.classes.intake.priority  | from 0 to 100           |
      | teams.composting.share                   | 0                        | teams.composting.share                   | above 0                 |
      | teams.composting.rate_per_s              | "fast"                   | teams.composting.rate_per_s              | number                  |
      | placement.0.teams                        | ["nobody"]               | placement[0].teams                       | not in 'teams'          |
      | placement.0.datacentres                  | ["*"]                    | placement[0].datacentres                 | not in 'datacentres'    |
      | trusted_keys                             | ["AAAA"]                 | trusted_keys[0]                          | 32 bytes                |
      | placement.0.activities                   | []                       | placement[0]                             | teams or activities     |

  Scenario Outline: a text that is no bundle is refused
    Then the bundle text <kind> is refused

    Examples:
      | kind                 |
      | empty                |
      | a list               |
      | with a repeated key  |
      | with a bare NaN      |
      | nested 100000 deep   |
      | not UTF-8            |
      | larger than allowed  |

  Scenario: a comparison names every changed value
    Given the example bundle of Suva
    Then the comparison of the changed bundle shows
      | change                                        | line                                                        |
      | version=2                                     | ~ version: 1 -> 2                                           |
      | datacentres.suva-depot.in_service=false       | ~ datacentres.suva-depot.in_service: true -> false          |
      | quiet_hours.0.to="05:00"                      | ~ quiet_hours[0].to: "06:00" -> "05:00"                     |
      | revoked_keys=["k1"]                           | ~ revoked_keys: [] -> ["k1"]                                |
      | datacentres.new={"zone":"Pacific/Fiji"}       | + datacentres.new.zone: "Pacific/Fiji"                      |
