Feature: misbehavingclients

  Runs an entry as a process and sends it crowds of misbehaving clients, over
  HTTP/1.1 and HTTP/2, to a path with a route, to one without, and to the
  readiness address. Guards against an entry that ends, hangs, exceeds its
  memory or uses up its file descriptors because of what clients send.

  Background:
    Given the misbehavingclients' entry is running

  # Bodies were kept without a bound on their sum until they were complete.
  Scenario: misbehavingclients stop just before the end of many bodies of legal size
    When many misbehavingclients stop just before the end of a body of legal size
    Then the misbehavingclients' entry has kept its bounds
    And the misbehavingclients' entry answers an ordinary request

  Scenario: misbehavingclients send bodies far over the limit
    When many misbehavingclients send a body far over the limit
    Then the misbehavingclients' entry has kept its bounds
    And the misbehavingclients' entry answers an ordinary request

  # Each of thousands of short headers took some hundred bytes for as long as its request lasted.
  Scenario: misbehavingclients send requests with very many short fields
    When many misbehavingclients send requests with very many short fields
    Then the misbehavingclients' entry has kept its bounds
    And the misbehavingclients' entry answers an ordinary request

  # Pipelined requests and unread answers were buffered for each connection.
  Scenario: misbehavingclients pipeline requests and read no answer
    When many misbehavingclients pipeline requests and read no answer
    Then the misbehavingclients' entry has kept its bounds
    And the misbehavingclients' entry answers an ordinary request

  # Connections were accepted until no file descriptor was left.
  Scenario: misbehavingclients open a crowd of connections that are slow or stop half-way
    When a crowd of misbehavingclients is slow or stops half-way
    Then the misbehavingclients' entry has kept its bounds
    And the misbehavingclients' entry answers an ordinary request
