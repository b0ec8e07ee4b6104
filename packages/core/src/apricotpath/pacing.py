"""Throttling of a host's filler tasks so that serving tasks keep their latency target."""

from collections.abc import Sequence
from math import inf, log

# Thresholds for the ratio of a serving task's tail latency to its target. Above ABOVE_TARGET the
# speed of filler tasks is multiplied by FAST_DECREASE, above NEAR_TARGET by SLOW_DECREASE; below
# WELL_BELOW_TARGET it rises by INCREASE_PERCENT.
ABOVE_TARGET = 1.0
NEAR_TARGET = 0.82
WELL_BELOW_TARGET = 0.7
FAST_DECREASE = 0.35
SLOW_DECREASE = 0.75
INCREASE_PERCENT = 10.0
# Speed in percent at which filler tasks start on a host with serving tasks.
INITIAL_PERCENT = 30.0
MIN_PERCENT = 4.0
# Weight of the newest measurement; single measurements scatter by a third.
RATIO_WEIGHT = 0.6
# Smaller pressures are within the estimation error.
MIN_PRESSURE = 0.02
# Lower ratios are those of serving tasks that have no load yet.
MIN_RATIO = 0.1
# Weight of the newest percentage in the moving average that is reported.
AVERAGE_WEIGHT = 0.15


def pressure_in_use(pressures: Sequence[float], paces: Sequence[int]) -> float:
    """Return the pressure of filler tasks at their paces in percent."""
    return sum(
        max(MIN_PRESSURE, pressure) * pace / 100
        for pressure, pace in zip(pressures, paces, strict=True)
    )


def speed_limits(percent: float, pressures: Sequence[float]) -> list[int]:
    """Return the speed limit of each filler task in percent.

    `percent` of the total pressure is distributed in order of increasing
    pressure (ties in input order): the first tasks run at full speed, the last
    ones stand still. Tasks then finish one after another, which is sooner on
    average than all at the end, and a change of `percent` affects few tasks.
    """
    weights = [max(MIN_PRESSURE, pressure) for pressure in pressures]
    remaining = percent / 100 * sum(weights)
    limits = [0] * len(weights)
    for index in sorted(range(len(weights)), key=lambda index: weights[index]):
        share = min(1.0, remaining / weights[index])
        remaining -= share * weights[index]
        limits[index] = round(100 * share)
    return limits


class Pacer:
    """Additive increase, multiplicative decrease of the speed limit of one host's filler tasks.

    `percent` is the current limit, `average_percent` its moving average. `max_pressure` is the
    pressure that the newest measurement leaves room for: a limit that suits the tasks at work
    may be too high once heavier ones join them.
    """

    def __init__(self) -> None:
        self.percent = INITIAL_PERCENT
        self.average_percent = 100.0
        self.max_pressure = inf
        self._smoothed: float | None = None

    def limits(self, pressures: Sequence[float]) -> list[int]:
        """Return the speed limit of each filler task in percent."""
        total = sum(max(MIN_PRESSURE, pressure) for pressure in pressures)
        percent = min(self.percent, 100 * self.max_pressure / total) if total else self.percent
        return speed_limits(percent, pressures)

    def update(self, worst_ratio: float | None, fillers: int, in_use: float) -> int:
        """Return the limit in percent after a measurement with `fillers` filler tasks running.

        `in_use` is the pressure of these tasks during the measurement. `worst_ratio`
        is the highest ratio of tail latency to target among the serving tasks, or
        None if there are none. Without filler tasks the latency does not show their
        effect, so the limit returns to its start value.
        """
        if worst_ratio is None:
            self._smoothed = None
            self.max_pressure = inf
            self.percent = self.average_percent = 100.0
            return 100
        previous = worst_ratio if self._smoothed is None else self._smoothed
        self._smoothed = RATIO_WEIGHT * worst_ratio + (1 - RATIO_WEIGHT) * previous
        self.max_pressure = max(0.0, in_use + log(NEAR_TARGET / max(MIN_RATIO, worst_ratio)))
        if not fillers:
            self.percent = INITIAL_PERCENT
        elif worst_ratio > ABOVE_TARGET:
            self.percent *= FAST_DECREASE
        elif self._smoothed > NEAR_TARGET:
            self.percent *= SLOW_DECREASE
        elif self._smoothed < WELL_BELOW_TARGET:
            self.percent = min(100.0, max(self.percent, MIN_PERCENT) + INCREASE_PERCENT)
        if self.percent < MIN_PERCENT:
            self.percent = 0.0
        if fillers:
            self.average_percent += AVERAGE_WEIGHT * (self.percent - self.average_percent)
        return round(self.percent)
