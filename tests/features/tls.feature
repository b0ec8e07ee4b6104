Feature: tls

  Guards against a process that is accepted without a certificate of our
  authority or under the name of another process, and against links that fail
  after certificates were replaced.

  Scenario: two TLS processes with certificates of one authority are linked
    Given a TLS authority with certificates for server and client
    When the TLS client dials the server
    Then the TLS link answers calls

  Scenario Outline: a TLS client with <certificate> gets nowhere
    Given a TLS authority with certificates for server and client
    When a TLS client with <certificate> dials the server
    Then the TLS server opened no link

    Examples:
      | certificate                        |
      | no TLS at all                      |
      | a certificate of another authority |
      | the certificate of another process |

  Scenario: TLS certificates are replaced without a restart
    Given a TLS authority with certificates for server and client
    When the TLS authority and all certificates are replaced while linked
    Then the open TLS link still works and a new one opens with the new certificates
