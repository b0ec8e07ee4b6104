Feature: link

  Guards against connections that stay open although the peer is silent, against
  malformed frames that end other connections as well, and against calls that
  wait forever or get another call's reply.

  Scenario: link calls get their own replies when these come in reverse order
    Given two linked processes with a silence limit of 3 s
    When 20 link calls are answered in reverse order
    Then each link call has its own reply

  Scenario: a link that a relay holds silent is replaced by a new one
    Given two linked processes with a silence limit of 0.4 s
    When the relay stops forwarding on the link
    Then both ends close the silent link within 2 s
    And a new link answers calls

  Scenario: a pending link call fails when the link goes silent
    Given two linked processes with a silence limit of 0.4 s
    When the relay stops forwarding on the link during a call
    Then the link call ends with a link error

  Scenario Outline: a link that carries other messages <case>
    Given two linked processes whose links <case>
    When messages go both ways on the link every 0.1 s for 2 s
    Then the link has carried between <least> and <most> heartbeats
    And the first link still answers calls

    Examples:
      | case                          | least | most |
      | send heartbeats when busy      | 6     | 12   |
      | send heartbeats only when idle | 0     | 4    |

  # Guards against a full network link whose causes no log tells apart.
  Scenario: a link counts its bytes by message type
    Given two linked processes with a silence limit of 3 s
    When messages go both ways on the link every 0.1 s for 0.5 s
    Then both ends count the same bytes of calls and replies

  Scenario Outline: a bad byte stream ends only its own link
    Given two linked processes with a silence limit of 3 s
    When an unknown client connects to the link port and sends <bytes>
    Then the unknown client is disconnected
    And the first link still answers calls

    Examples:
      | bytes                |
      | random bytes         |
      | an oversized length  |
      | a message before Hello |
      | a wrong protocol     |
      | Hello then garbage   |
      | nothing              |
