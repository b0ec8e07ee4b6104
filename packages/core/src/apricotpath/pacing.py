"""Share of its speed at which a host's filler tasks may work beside tasks that serve users."""

# Above this share of its target, a serving task's latency makes filler tasks slow down.
SLOW_DOWN_ABOVE = 0.85
# Below this share they may work faster again.
SPEED_UP_BELOW = 0.6
SLOW_DOWN_FACTOR = 0.4
SPEED_UP_STEP = 15.0
# Below this a filler task is stopped altogether, since it only keeps its memory.
LEAST_PERCENT = 8.0


class Pacer:
    """Additive increase, multiplicative decrease of one percentage for a host."""

    def __init__(self) -> None:
        self.percent = 100.0

    def update(self, worst: float | None) -> int:
        """Return the percentage after a reading.

        `worst` is the highest ratio of tail latency to target among the
        serving tasks, or None if there are none.
        """
        if worst is None:
            self.percent = 100.0
        elif worst > SLOW_DOWN_ABOVE:
            self.percent *= SLOW_DOWN_FACTOR
            if self.percent < LEAST_PERCENT:
                self.percent = 0.0
        elif worst < SPEED_UP_BELOW:
            self.percent = min(100.0, self.percent + SPEED_UP_STEP)
        return round(self.percent)
