Feature: signals

  A process shuts down gracefully at SIGTERM and reads its settings again at SIGHUP. Guards against
  calls that are cut off, since a SIGHUP ends a process that is shutting down.

  # Guards against a process that ends at once: its handler was gone after the first SIGTERM.
  Scenario Outline: signals let the graceful shutdown go on at SIGHUP on <backend>
    Given a process of signals on <backend> that takes 1 second to shut down
    When it gets SIGHUP, then SIGTERM, and then <more>
    Then the process of signals has <ended>, after it read its settings <times> times

    Examples:
      | backend | more            | ended                           | times |
      | asyncio | SIGHUP          | shut down gracefully            | 2     |
      | trio    | SIGHUP          | shut down gracefully            | 2     |
      | asyncio | SIGHUP, SIGHUP  | shut down gracefully            | 3     |
      | trio    | SIGTERM         | ended at once                   | 1     |
