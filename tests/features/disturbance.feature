Feature: disturbance

  Guards against throttling all filler tasks because of the impact of some images, and against
  estimates that do not follow when an image changes.

  Scenario Outline: disturbance tells light images from heavy ones in noisy readings, seed <seed>
    Given images of disturbance with pressures light 0.2, medium 1.5 and heavy 4.5
    When disturbance gets 20 seconds of measurements of 10 hosts with seed <seed>
    Then the only light image of disturbance is light
    And disturbance ranks the images in the order light, medium, heavy
    When the images of disturbance have pressures light 4.5, medium 1.5 and heavy 0.2
    And disturbance gets 30 seconds of measurements of 10 hosts with seed <seed>
    Then the only light image of disturbance is heavy

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: disturbance takes an unknown image for neither light nor heavy
    Given images of disturbance with pressures light 0.2, medium 1.5 and heavy 4.5
    Then the images of disturbance have equal pressures and none is light

  # All filler tasks were paced down on hosts where one image slowed one of the serving images down:
  # a single estimate for each image was near the mean of its effects, and low for all of them.
  Scenario: disturbance tells which serving tasks an image slows down
    Given images of disturbance with pressures light 0.2, medium 1.5 and heavy 4.5
    When image heavy slows watch down by 8 and feed not at all, on 10 hosts
    Then disturbance tells the two apart, and expects the higher pressure where both serve

  Scenario: disturbance keeps estimates of a bounded number of images
    When disturbance gets measurements of 2000 pairs of images
    Then disturbance keeps estimates of 1024 pairs and 256 serving images

  Scenario: disturbance stays within its bounds whatever the readings are
    Given images of disturbance with pressures light 0.2, medium 1.5 and heavy 4.5
    When disturbance gets measurements of 0, of 1000000 and without filler tasks
    Then all pressures of disturbance are between 0 and 16

  # Each new scheduler took heavy images for unknown ones and slowed serving tasks down with them.
  Scenario: disturbance goes on from the estimates of an earlier scheduler
    Given images of disturbance with pressures light 0.2, medium 1.5 and heavy 4.5
    When disturbance gets 20 seconds of measurements of 10 hosts with seed 1
    And a new scheduler restores the saved estimates of disturbance
    Then the only light image of disturbance is light
    And disturbance ranks the images in the order light, medium, heavy
    When the images of disturbance have pressures light 4.5, medium 1.5 and heavy 0.2
    And disturbance gets 30 seconds of measurements of 10 hosts with seed 1
    Then the only light image of disturbance is heavy

  # A malformed value must end neither the term nor the estimates that have been made meanwhile.
  Scenario Outline: disturbance starts without saved estimates that are <form>
    Given images of disturbance with pressures light 0.2, medium 1.5 and heavy 4.5
    When a new scheduler restores the estimates <form>
    Then the images of disturbance have equal pressures and none is light

    Examples:
      | form                                           |
      | not there                                      |
      | [1, 2]                                         |
      | {"bases": {}}                                  |
      | {"bases": {}, "pressures": {"a": [1]}}         |
      | {"bases": {}, "pressures": {"a": 1}}           |
      | {"bases": {}, "pressures": {"a": {"b": "x"}}}  |
      | {"bases": {}, "pressures": {"a": {"b": 99}}}   |
      | {"bases": {}, "pressures": {"a": {"b": -1}}}   |

  # Estimates are saved with an append, which a later scheduler fences, and not each time.
  Scenario: disturbance saves its estimates at intervals and only if they have changed
    Given images of disturbance with pressures light 0.2, medium 1.5 and heavy 4.5
    When disturbance gets 2 seconds of measurements of 10 hosts with seed 1
    Then the estimates of disturbance are saved at 4 s, and at 5 s and 9 s they are not
