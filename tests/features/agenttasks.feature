Feature: agenttasks

  Guards against a host committed beyond its size, a task that runs twice, evicted work
  that resumes from the wrong checkpoint, a start after a take-out and work in forbidden
  hours. The worker stand-in's record is the judge; its own size check is out of the way.

  Scenario Outline: an agent and its tasks survive <fault>
    When an agent meets "<fault>" with seeds 1 to <seeds>
    Then the worker record of the agent holds every invariant

    Examples: starts
      | fault                              | seeds |
      | a restart before a start's answer  | 10    |
      | a lost start answer                | 10    |
      | a start on the wire past its window | 10   |
      | a late start message               | 10    |
      | a copy of a refused start          | 3     |
      | a stop before its delayed start    | 3     |
      | a worker that restarts             | 5     |
      | a status read across a start       | 5     |
      | a repeated start                   | 3     |
      | a newer bundle at the owner        | 2     |

    Examples: ownership and leases
      | fault                             | seeds |
      | a pause past the lease            | 10    |
      | an older owner                    | 5     |
      | an older owner's start in flight  | 10    |
      | commands before adoption          | 5     |

    Examples: ends
      | fault                             | seeds |
      | a task that ignores its stop      | 5     |
      | a slow stop                       | 5     |
      | a second evict during the resume  | 10    |
      | a kill between checkpoint and stop | 10   |
      | a lost checkpoint answer          | 5     |
      | a failing checkpoint              | 3     |
      | a lost forget answer              | 3     |
      | declared sizes that are wrong     | 5     |
      | a grown claim                     | 3     |
      | a drain                           | 3     |

    Examples: control
      | fault                                   | seeds |
      | a boundary                              | 5     |
      | a boundary with a paused agent          | 10    |
      | a boundary with a slow checkpoint       | 5     |
      | a boundary with an ignored stop         | 5     |
      | a boundary with a slow clock            | 5     |
      | a boundary with a fast clock            | 5     |
      | a boundary in a new bundle              | 5     |
      | a boundary as summer time begins        | 3     |
      | a boundary as summer time ends          | 3     |
      | a take-out                              | 5     |
      | a take-out with a late start            | 10    |

    Examples: everything at once
      | fault   | seeds |
      | a storm | 25    |
