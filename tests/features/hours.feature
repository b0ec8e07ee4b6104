Feature: hours

  Guards against allowing work in quiet hours: at their boundaries, across
  midnight, at clock changes, in zones with fractional offsets, and where the
  weekday differs between UTC and the zone.

  Scenario Outline: a time is forbidden or allowed
    Given quiet hours <from> to <to> on <days> in <zone>
    Then at <utc> UTC the quiet hours return <answer>

    Examples: edges and midnight
      | zone             | days    | from  | to    | utc                 | answer    |
      | Africa/Accra     | mon     | 20:00 | 06:00 | 2026-12-07T19:59:59 | allowed   |
      | Africa/Accra     | mon     | 20:00 | 06:00 | 2026-12-07T20:00:00 | forbidden |
      | Africa/Accra     | mon     | 20:00 | 06:00 | 2026-12-08T05:59:59 | forbidden |
      | Africa/Accra     | mon     | 20:00 | 06:00 | 2026-12-08T06:00:00 | allowed   |
      | Africa/Accra     | mon     | 20:00 | 06:00 | 2026-12-08T20:00:00 | allowed   |
      | Africa/Accra     | sun     | 00:00 | 24:00 | 2026-12-06T23:59:59 | forbidden |
      | Africa/Accra     | sun     | 00:00 | 24:00 | 2026-12-07T00:00:00 | allowed   |

    Examples: offsets and weekdays
      | zone             | days    | from  | to    | utc                 | answer    |
      | Pacific/Fiji     | mon     | 21:00 | 06:00 | 2026-12-07T09:00:00 | forbidden |
      | Pacific/Fiji     | mon     | 21:00 | 06:00 | 2026-12-07T08:59:59 | allowed   |
      | Pacific/Fiji     | sun     | 06:00 | 08:00 | 2026-12-05T18:30:00 | forbidden |
      | Asia/Kathmandu   | mon     | 00:00 | 01:00 | 2026-12-06T18:15:00 | forbidden |
      | Pacific/Kiritimati | mon   | 00:00 | 01:00 | 2026-12-06T10:00:00 | forbidden |

    Examples: the hour that does not occur (Berlin, 29 March 2026, 02:00 to 03:00)
      | zone             | days    | from  | to    | utc                 | answer    |
      | Europe/Berlin    | sun     | 02:30 | 04:00 | 2026-03-29T00:29:59 | allowed   |
      | Europe/Berlin    | sun     | 02:30 | 04:00 | 2026-03-29T00:30:00 | forbidden |
      | Europe/Berlin    | sun     | 02:30 | 04:00 | 2026-03-29T01:59:59 | forbidden |
      | Europe/Berlin    | sun     | 02:30 | 04:00 | 2026-03-29T02:00:00 | allowed   |
      | Europe/Berlin    | sat     | 22:00 | 02:30 | 2026-03-29T01:29:59 | forbidden |
      | Europe/Berlin    | sat     | 22:00 | 02:30 | 2026-03-29T01:30:00 | allowed   |

    Examples: the hour that occurs twice (Berlin, 25 October 2026, 02:00 to 03:00)
      | zone             | days    | from  | to    | utc                 | answer    |
      | Europe/Berlin    | sun     | 02:30 | 04:00 | 2026-10-25T00:30:00 | forbidden |
      | Europe/Berlin    | sun     | 02:30 | 04:00 | 2026-10-25T02:59:59 | forbidden |
      | Europe/Berlin    | sat     | 22:00 | 02:30 | 2026-10-25T01:29:59 | forbidden |
      | Europe/Berlin    | sat     | 22:00 | 02:30 | 2026-10-25T01:30:00 | allowed   |

  Scenario Outline: the next forbidden period starts at the right time
    Given quiet hours <from> to <to> on <days> in <zone>
    Then after <utc> UTC the next quiet hours start at <start> UTC

    Examples:
      | zone          | days    | from  | to    | utc                 | start               |
      | Africa/Accra  | mon     | 20:00 | 06:00 | 2026-12-07T19:00:00 | 2026-12-07T20:00:00 |
      | Africa/Accra  | mon     | 20:00 | 06:00 | 2026-12-07T20:00:00 | 2026-12-14T20:00:00 |
      | Europe/Berlin | sat,sun | 22:00 | 06:00 | 2026-03-28T12:00:00 | 2026-03-28T21:00:00 |
      | Europe/Berlin | sat,sun | 22:00 | 06:00 | 2026-03-29T12:00:00 | 2026-03-29T20:00:00 |
      | Europe/Berlin | sun     | 02:30 | 04:00 | 2026-10-24T12:00:00 | 2026-10-25T00:30:00 |

  Scenario: whatever the wall clock shows as quiet is forbidden
    When 3000 random quiet hours and times from seed 11 are compared with the wall clock
    Then no time that the wall clock shows as quiet was allowed
    And nothing was allowed after the announced start of the next quiet hours
