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

  Scenario: disturbance keeps estimates of a bounded number of images
    When disturbance gets measurements of 1000 images
    Then disturbance keeps estimates of 256 images

  Scenario: disturbance stays within its bounds whatever the readings are
    Given images of disturbance with pressures light 0.2, medium 1.5 and heavy 4.5
    When disturbance gets measurements of 0, of 1000000 and without filler tasks
    Then all pressures of disturbance are between 0 and 8
