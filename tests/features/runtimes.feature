Feature: runtimes

  Run times that the scheduler learns from ended runs, and the ends that it expects. Guards against
  plans that rest on callers' estimates, which are far off, and on ends that have been missed.

  Scenario Outline: runtimes expect <expected> seconds <case>
    Given runtimes of an image whose callers estimate 2 seconds
    When runtimes learn from <count> runs of 5 seconds, and then <case>
    Then runtimes expect <expected> seconds

    Examples:
      | count | expected | case                                |
      | 4     | 2        | nothing else happens                |
      | 5     | 5        | nothing else happens                |
      | 20    | 5        | one run takes 35 seconds            |
      | 20    | 2        | 700 seconds pass                    |
      | 20    | 2        | a filler step of the image is asked |
      | 20    | 5        | a larger step of the image is asked |
      | 20    | 2        | another image is asked              |

  Scenario: runtimes tell how far off expected times were
    When runtimes expect 2 seconds of runs that take 1, 2, 2, 2 and 14 seconds
    Then runtimes tell of 5 runs, of which the ratios are 0.5, 1 and 7

  # Callers choose the names of images.
  Scenario: runtimes of many images take bounded memory
    When runtimes learn from runs of 5000 images
    Then runtimes keep at most 1024 kinds

  Scenario Outline: runtimes expect a run to end <left> seconds from now <case>
    When a runtimes run of 4 expected seconds <case>
    Then it is expected to end in <left> seconds

    Examples:
      | left | case                                                           |
      | 3    | is 1 second old                                                |
      | 9    | is 1 second old and at 10 percent                              |
      | 2    | is 6 seconds old                                               |
      | 2    | is 2 seconds old, was found at 60 percent and is now at 80     |
      | 0.5  | is 1 second old and was told to stop                           |

  Scenario: runtimes of all hosts are forecast in parts
    Given runtimes hosts with 3 times as many runs as one pass forecasts
    When runtimes are forecast in 3 passes
    Then each pass of runtimes has forecast at most a third of the hosts and all are known
