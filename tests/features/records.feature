Feature: records

  Guards against a journal that cannot be read back, and against a malformed
  record or one of an unknown kind that is applied to the job table.

  Scenario: every kind of journal record survives its JSON form
    Given a journal record of every kind
    When each journal record is converted to JSON text and back
    Then each journal record equals the original

  Scenario Outline: a malformed journal record gives a record error
    When a journal record is read with <damage>
    Then the journal record is refused with a text that contains <text>

    Examples:
      | damage             | text                    |
      | an unknown kind    | unknown kind            |
      | another version    | version 2               |
      | a missing field    | missing                 |
      | an extra field     | unknown fields          |
      | a field of a wrong type | attempt must be a int |
