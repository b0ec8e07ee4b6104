Feature: doubts

  What a scheduler, an agent or an entry does not know, it waits for. Guards against a wait that is
  too short, so that two runs of a task overlap, and against one that each change begins anew.

  # An agent that restarts may follow a former scheduler again until the executor has seen a token of this term.
  # Its second attachment kept the bound of the first one, if the link of that had not been seen to close.
  Scenario Outline: doubts about a host last until <until> seconds when it attaches at 1 and 6 seconds, <link>
    Given a doubts host of the last term whose scheduler may still grant leases
    When the doubts host attaches 1 and 6 seconds after the start of the term, <link>
    Then the doubts host is given up between <until> and <latest> seconds after the start of the term

    Examples:
      | link                                             | until | latest |
      | over one link                                    | 7.4   | 7.6    |
      | over another link, while the first one is open   | 12.4  | 12.6   |
      | over another link, after the first one is closed | 12.4  | 12.6   |

  # An acknowledgement answers an earlier report, and the agent counts the lease from that.
  Scenario: doubts about a lost executor are not prolonged by a late acknowledgement of its endings
    Given a doubts host that reports once and is silent from then on
    When the doubts host gets an acknowledgement of endings 4 seconds after its report
    Then the doubts host is given up between 6.4 and 6.6 seconds after the start of the term

  # A scheduler that is killed leaves no record, so that the next one began the hold anew, although the agent was
  # there all the time.
  Scenario: doubts about a lost executor end after its lease while one scheduler after another is killed
    Given a world of replacements with 3 entries and 4 hosts
    And 6 long-running tasks at work
    When the executor of the host with most tasks is lost, and its agent stays
    And the scheduler of the doubts is killed 4 times, 3 seconds apart, and starts again each time
    Then no task of the replacements was down for longer than 8 seconds
    And no task of the replacements ran twice at the same time

  # The lease that an agent tells of is one bound of several.
  Scenario Outline: doubts about a host that attaches with <lease> seconds of a lease left end after <until> seconds
    Given a doubts host of the last term whose scheduler may still grant leases
    When the doubts host attaches after 1 second with <lease> seconds of a lease left, and <event>
    Then the doubts host is given up between <until> and <latest> seconds after the start of the term

    Examples:
      | lease | event                     | until | latest |
      | 2     | stays                     | 3.4   | 3.6    |
      | 0     | stays                     | 1.4   | 1.6    |
      | 30    | stays                     | 7.4   | 7.6    |
      | 2     | its link closes           | 12.4  | 12.6   |
      | 2     | follows the former epoch  | 12.4  | 12.6   |

  # What an agent cannot know of, it takes for a whole lease.
  Scenario: doubts of an agent about the leases of its earlier process last for a whole lease
    Given a doubts agent that has just started
    When it attaches at once, and again after 4 seconds without a grant
    Then it told the schedulers of 6 and 2 seconds of a lease

  Scenario: doubts of an agent about a granted lease end with that
    Given a doubts agent that has just started
    When it attaches, is granted a lease after 3 seconds, and attaches again 1 second later
    Then it told the schedulers of 6 and 5 seconds of a lease

  # Runs go on under the lease that the earlier process of an agent was granted.
  Scenario Outline: doubts about the lease of an earlier agent let no task run twice when the scheduler <event>
    Given a world of replacements with 2 entries and 4 hosts
    And 6 long-running tasks at work
    When the agent of the host with most tasks restarts, its executor answers nothing for 9 seconds, and the scheduler of the doubts <event>
    Then no task of the replacements ran twice at the same time

    Examples:
      | event       |
      | is killed   |
      | shuts down  |

  # Each scheduler emptied and ordered all machines of a wave anew, so that with a change every few seconds a wave
  # never ended, and work was stopped in vain on machines that had had their upkeep.
  Scenario Outline: doubts about the upkeep of machines are not begun anew when schedulers <event> every <gap> seconds
    Given an upkeep world of 3 entries and 6 agents
    When wave 1 names machines 0, 1, 2, 3 and 4 for 60 seconds, 1 at a time
    And the schedulers of the upkeep doubts <event> every <gap> seconds
    Then wave 1 is completed within <limit> seconds, with 1 upkeep of each machine named
    And no machine of the upkeep doubts was ordered again once its upkeep had begun
    And the upkeep doubts leave no record of wave 1

    Examples:
      | event     | gap | limit |
      | shut down | 6   | 30    |
      | end       | 8   | 40    |

  # Each scheduler counted the time of a wave from when it had seen the wave first, and thought itself in time.
  Scenario: doubts about the time of a wave are not begun anew when schedulers shut down every 6 seconds
    Given an upkeep world of 3 entries and 6 agents
    And 3 upkeep tasks of 90 s that save checkpoints
    When wave 1 names machines 0, 1, 2, 3 and 4 for 60 seconds, 1 at a time
    And the schedulers of the upkeep doubts shut down every 6 seconds
    Then the scheduler of the upkeep doubts has at most 50 seconds left for wave 1 after 14 seconds

  # The next scheduler knew nothing of an order without an answer, and sent another machine.
  Scenario Outline: doubts about an order of upkeep outlive a scheduler that <event>, late by <late> seconds
    Given an upkeep world of 3 entries and 4 agents
    When wave 1 names machines 0, 1, 2 and 3 for 60 seconds, 1 at a time
    And the first order of the upkeep doubts is carried out <late> seconds late, and its scheduler <event>
    Then wave 1 is completed within 60 seconds, with 1 upkeep of each machine named
    And no more than 1 machine was down for wave 1

    Examples:
      | event                     | late |
      | shuts down                | 4    |
      | shuts down                | 5    |
      | shuts down                | 8    |
      | ends                      | 6    |
      | ends                      | 8    |
      | ends, and the next one    | 12   |
      | ends, and the wave is written again | 8 |

  Scenario Outline: doubts about upkeeps are answered by no record that <fault>
    Given an upkeep world of 1 entries and 3 agents
    When the record of the upkeep doubts of wave 1 is <value>
    And wave 1 names machines 0 and 1 for 60 seconds, 1 at a time
    Then wave 1 is completed within 20 seconds, with 1 upkeep of each machine named

    Examples:
      | fault                        | value                       |
      | is malformed                 | {"revision":                |
      | has no number                | {"revision":1,"begun":"x"}  |
      | has malformed orders         | {"revision":1,"begun":"0","ordered":[1]} |
      | concerns an earlier revision | {"revision":1,"begun":"3"}  |

  # A task that is down for longer than a lease, or twice at work, after planned changes in any order.
  Scenario Outline: doubts of planned changes last no longer than a lease in a random order of events, seed <seed>
    Given a world of replacements with 3 entries and 6 hosts
    And 12 long-running tasks at work
    When 12 planned doubts follow one another with seed <seed>
    Then no task of the replacements was down for longer than 8 seconds
    And no task of the replacements ran twice at the same time

    Examples:
      | seed |
      | 101  |
      | 102  |
      | 103  |

    @long
    Examples:
      | seed |
      | 111  |
      | 112  |
      | 113  |
      | 114  |
      | 115  |
      | 116  |
      | 117  |
      | 118  |
      | 119  |
      | 120  |
      | 121  |
      | 122  |
      | 123  |
      | 124  |
      | 125  |
      | 126  |
      | 127  |
      | 128  |
      | 129  |
      | 130  |
      | 131  |
      | 132  |
      | 133  |
      | 134  |
      | 135  |
      | 136  |
      | 137  |
      | 138  |
      | 139  |
      | 140  |
      | 141  |
      | 142  |
      | 143  |
      | 144  |
      | 145  |
      | 146  |
      | 147  |
      | 148  |
      | 149  |
      | 150  |
      | 151  |
      | 152  |
      | 153  |
      | 154  |
      | 155  |
      | 156  |
      | 157  |
      | 158  |
      | 159  |
      | 160  |

  # Two runs of a task at once when schedulers, agents and writes are late or cut off, in any order.
  Scenario Outline: doubts of all kinds let no task run twice in a random order of events, seed <seed>
    Given a world of replacements with 3 entries and 6 hosts
    And 12 long-running tasks at work
    When 12 doubts of all kinds follow one another with seed <seed>
    Then no task of the replacements was down for longer than 25 seconds
    And no task of the replacements ran twice at the same time

    Examples:
      | seed |
      | 201  |
      | 202  |
      | 203  |

    @long
    Examples:
      | seed |
      | 211  |
      | 212  |
      | 213  |
      | 214  |
      | 215  |
      | 216  |
      | 217  |
      | 218  |
      | 219  |
      | 220  |
      | 221  |
      | 222  |
      | 223  |
      | 224  |
      | 225  |
      | 226  |
      | 227  |
      | 228  |
      | 229  |
      | 230  |
      | 231  |
      | 232  |
      | 233  |
      | 234  |
      | 235  |
      | 236  |
      | 237  |
      | 238  |
      | 239  |
      | 240  |
      | 241  |
      | 242  |
      | 243  |
      | 244  |
      | 245  |
      | 246  |
      | 247  |
      | 248  |
      | 249  |
      | 250  |
      | 251  |
      | 252  |
      | 253  |
      | 254  |
      | 255  |
      | 256  |
      | 257  |
      | 258  |
      | 259  |
      | 260  |
