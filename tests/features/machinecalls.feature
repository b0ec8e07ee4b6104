Feature: machinecalls

  Calls to the machine service over HTTP. Guards against a machine that is taken for gone since its
  page or row was not read, and an order that is taken for refused although it may be carried out.

  Scenario: machinecalls lists the machines that are asked for, from all pages
    Given a machinecalls service of 5 machines
    When machinecalls lists machines 0, 4 and 9
    Then machinecalls found machines 0 and 4, in a whole list of 3 calls

  Scenario Outline: machinecalls calls a list with <row> not whole
    Given a machinecalls service of 3 machines
    And the machinecalls list begins with <row>
    When machinecalls lists machines 0 and 1
    Then machinecalls found machines 0 and 1, in a list that is not whole

    Examples:
      | row           |
      | null          |
      | {"state":"up"} |
      | {"machine":7} |

  Scenario Outline: machinecalls takes an order that is answered <answer> for <outcome>
    Given a machinecalls service of 2 machines
    When machinecalls orders the upkeep of machine 0, which is answered <answer>
    Then the machinecalls outcome is <outcome>

    Examples:
      | answer                  | outcome         |
      | 200 {}                  | begun           |
      | 400 {}                  | no-such-machine |
      | 409 {"reason":"fence"}  | fence           |
      | 409 {"reason":"busy"}   | busy            |
      | 409 {"reason":"wave"}   | wave            |
      | 409 {"reason":"other"}  | no-answer       |
      | 409 []                  | no-answer       |
      | 429 {}                  | rate-limit      |
      | 500 {}                  | no-answer       |
      | 503 {}                  | no-answer       |
      | not at all              | no-answer       |
      | by a closed port        | not-sent        |

  Scenario: machinecalls names the holder and its token
    Given a machinecalls service of 2 machines
    When machinecalls orders the upkeep of machine 0 with the token 7
    Then the machinecalls service got the holder front-1 and the token 7

  Scenario Outline: machinecalls does not list while the service <fault>
    Given a machinecalls service of 2 machines
    When machinecalls lists machines while the service answers <answer>
    Then machinecalls has no list

    Examples:
      | fault             | answer                            |
      | refuses calls     | 429 {}                            |
      | is out of service | 503 {}                            |
      | answers no list   | 200 {"machines":7}                |
      | repeats a token   | 200 {"machines":[],"nextToken":"2"} |
