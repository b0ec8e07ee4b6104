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
