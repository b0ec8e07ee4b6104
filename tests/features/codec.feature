Feature: codec

  Guards against messages that change when they are encoded and decoded, and
  against malformed frames that crash the process instead of only ending the
  connection.

  Scenario: every message kind survives a round trip
    Given a sample of every message kind
    When each is encoded and decoded
    Then each equals what was encoded

  Scenario Outline: a malformed frame gives a codec error
    Given the frame of a heartbeat
    When the frame is damaged by <damage>
    Then decoding it raises a codec error

    Examples:
      | damage              |
      | cutting it short    |
      | an unknown version  |
      | an unknown kind     |
      | a bad enum value    |
      | a length of zero    |
      | a length over 1 MiB |

  Scenario: random bytes never raise anything but a codec error
    When 3000 random payloads from seed 7 are decoded
    Then each gives a message or a codec error

  Scenario: a message larger than a frame is refused when it is encoded
    When a body of 2 MiB is encoded
    Then encoding it raises a codec error
