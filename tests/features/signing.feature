Feature: signing

  Guards against accepting a bundle or operator request that no trusted key has
  signed, against replayed and altered requests, against a key rotation that
  needs new settings, and against private keys that others can read.

  Scenario: a signed envelope is accepted with its exact payload
    Given a trusted signing key and a sealed envelope
    Then the sealed envelope opens to its payload after a round trip

  Scenario Outline: a wrong envelope is refused
    Given a trusted signing key and a sealed envelope
    When the sealed envelope is damaged by <damage>
    Then opening the sealed envelope raises a signature error

    Examples:
      | damage                              |
      | one changed payload byte            |
      | a signature by another key          |
      | the id of a key nobody knows        |
      | a key that is revoked               |
      | a chain that an unknown key began   |
      | a chain with a forged delegation    |
      | a chain through a revoked key       |
      | a signature made for a request      |
      | a cut off end                       |
      | more bytes than a store value takes |

  Scenario: a key rotated twice is trusted without a change of settings
    Given a trusted signing key and a sealed envelope
    When the signing key is rotated 2 times and signs the envelope again
    Then the sealed envelope opens to its payload after a round trip

  Scenario Outline: an altered operator request is refused
    Given a signed operator request
    When the request credentials are damaged by <damage>
    Then the request credentials are refused

    Examples:
      | damage                    |
      | another method            |
      | another path              |
      | another query             |
      | another body              |
      | another time              |
      | another nonce             |
      | a clock 31 s ahead        |
      | a clock 31 s behind       |
      | a replay                  |
      | a revoked key             |
      | an unknown key            |
      | no signature              |
      | a time that is not number |

  Scenario: a request within the clock skew is accepted once
    Given a signed operator request
    Then the request credentials are accepted with a clock 29 s ahead

  Scenario: the nonce cache forgets only what is too old to be replayed
    Given a nonce cache filled to its limit
    Then a further nonce is refused until the old ones cannot be replayed

  Scenario: a key file is private and is never overwritten
    Given a key file on disk
    Then the key file has mode 600 and loads to the same key
    And a key file that others can read is refused
    And writing another key to the key file is refused

  Scenario Outline: processes prove themselves to each other by certificates
    Given an authority and two process certificates
    When a process with <certificate> dials another
    Then the handshake <result>

    Examples:
      | certificate                        | result    |
      | a certificate of the authority     | succeeds  |
      | a certificate of another authority | fails     |
