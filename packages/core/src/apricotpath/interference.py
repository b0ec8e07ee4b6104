"""Estimates of how much batch work slows a service's requests, and the guard against it."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import exp

from apricotpath.ids import ProcessId, ServiceId, TaskId

# Reports lag behind the host: for this long after a change of the running tasks, pressure is not
# attributed to the new set.
SETTLE_S = 2.0
# Errors are clipped to this slowdown, so that a single outlier has little effect.
MAX_ERROR = 0.5
LEARNING_RATE = 0.2
PAIR_RATE = 0.05
# Time constant of the exponential decay of estimates, since programs change.
DECAY_S = 1800.0

# Hysteresis: the guard acts after HIGH_FOR_S at HIGH_PRESSURE or above, and releases after
# LOW_FOR_S at LOW_PRESSURE or below.
HIGH_PRESSURE = 1.5
LOW_PRESSURE = 1.15
HIGH_FOR_S = 3.0
LOW_FOR_S = 10.0
ACTION_INTERVAL_S = 5.0
MOVE_PAUSE_S = 30.0
THROTTLE_STEPS = (0.5, 0.25)
# Tasks that add less than MIN_ADDED_SLOWDOWN to the slowdown are not throttled, nor are those that
# add less than NOISY_FRACTION of what the worst task on the host adds.
MIN_ADDED_SLOWDOWN = 0.05
NOISY_FRACTION = 0.25


@dataclass(slots=True)
class Estimates:
    """Estimated slowdown that a task of an activity, or a pair of activities, adds to a service.

    A value of 0.3 means that requests take 1.3 times as long. `sets` has the
    tasks per activity in the newest report of each host, and `changed_at` the
    time when they last changed.
    """

    single: dict[tuple[ServiceId, str], float] = field(default_factory=dict)
    pairs: dict[tuple[ServiceId, str, str], float] = field(default_factory=dict)
    changed_at: dict[ProcessId, float] = field(default_factory=dict)
    sets: dict[ProcessId, dict[str, int]] = field(default_factory=dict)
    decayed_at: float = 0.0

    def observe(
        self,
        process: ProcessId,
        service: ServiceId,
        activities: Mapping[str, int],
        pressure: float,
        now: float,
    ) -> None:
        """Update the estimates from one report: running tasks per activity and request pressure.

        `pressure` is the slowdown relative to the service's unloaded baseline, 1.0 = none.
        """
        current = {name: number for name, number in activities.items() if name and number}
        if self.sets.get(process) != current:
            self.sets[process] = current
            self.changed_at[process] = now
            return
        if not service or not current or now - self.changed_at[process] < SETTLE_S:
            return
        excess = max(0.0, pressure - 1.0)
        error = excess - (self.predict(service, current) - 1.0)
        error = max(-MAX_ERROR, min(MAX_ERROR, error))
        norm = sum(number * number for number in current.values())
        for name, number in current.items():
            self._add(self.single, (service, name), LEARNING_RATE * error * number / norm)
        for pair in _pairs(current):
            self._add(self.pairs, (service, *pair), PAIR_RATE * error)

    @staticmethod
    def _add(table: dict, key: tuple, change: float) -> None:  # type: ignore[type-arg]
        table[key] = max(0.0, table.get(key, 0.0) + change)

    def predict(self, service: ServiceId, activities: Mapping[str, int]) -> float:
        """Return the expected slowdown of a service on a host with these tasks, 1.0 = none."""
        total = 1.0
        for name, number in activities.items():
            total += number * self.single.get((service, name), 0.0)
        if self.pairs and len(activities) > 1:
            for pair in _pairs(activities):
                total += self.pairs.get((service, *pair), 0.0)
        return total

    def added(self, service: ServiceId, activities: Mapping[str, int], activity: str) -> float:
        """Return the slowdown that one more task of an activity would add."""
        total = self.single.get((service, activity), 0.0)
        if self.pairs and activity not in activities:
            for other in activities:
                first, second = sorted((activity, other))
                total += self.pairs.get((service, first, second), 0.0)
        return total

    def decay(self, now: float) -> None:
        """Decay all estimates by the time since the last call."""
        factor = exp(-max(0.0, now - self.decayed_at) / DECAY_S)
        self.decayed_at = now
        for key in self.single:
            self.single[key] *= factor
        for pair in self.pairs:
            self.pairs[pair] *= factor

    def forget_host(self, process: ProcessId) -> None:
        """Remove the state kept for a host."""
        self.sets.pop(process, None)
        self.changed_at.pop(process, None)


def _pairs(activities: Iterable[str]) -> list[tuple[str, str]]:
    names = sorted(activities)
    return [(a, b) for i, a in enumerate(names) for b in names[i + 1 :]]


class Step(Enum):
    """Action on a batch task that slows requests."""

    THROTTLE = "throttle"
    RELEASE = "release"
    MOVE = "move"


@dataclass(frozen=True, slots=True)
class GuardedTask:
    """A batch task that may be throttled or moved; `lost_work` is in core seconds."""

    task: TaskId
    activity: str
    share: float
    lost_work: float


@dataclass(frozen=True, slots=True)
class Action:
    """One decision about a task."""

    step: Step
    task: TaskId
    share: float
    reason: str


@dataclass(slots=True)
class GuardRow:
    """Hysteresis state of one host; times are monotonic seconds."""

    high_since: float | None = None
    low_since: float | None = None
    acted_at: float = -1e9
    moved_at: float = -1e9


def guard(
    row: GuardRow,
    service: ServiceId,
    pressure: float,
    tasks: list[GuardedTask],
    estimates: Estimates,
    now: float,
) -> Action | None:
    """Return at most one action for a host: throttle first, then checkpoint and move.

    Between the two thresholds nothing changes, so the guard does not oscillate.
    """
    row.high_since = (row.high_since or now) if pressure >= HIGH_PRESSURE else None
    row.low_since = (row.low_since or now) if pressure <= LOW_PRESSURE else None
    if now - row.acted_at < ACTION_INTERVAL_S or not tasks:
        return None
    if row.high_since is not None and now - row.high_since >= HIGH_FOR_S:
        return _relieve(row, service, pressure, tasks, estimates, now)
    if row.low_since is not None and now - row.low_since >= LOW_FOR_S:
        throttled = [task for task in tasks if task.share < 1.0]
        if throttled:
            row.acted_at = now
            # The task that slows requests least is released first.
            task = min(throttled, key=lambda t: estimates.added(service, {}, t.activity))
            return Action(Step.RELEASE, task.task, 1.0, f"pressure is back to {pressure:.2f}")
    return None


def _relieve(
    row: GuardRow,
    service: ServiceId,
    pressure: float,
    tasks: list[GuardedTask],
    estimates: Estimates,
    now: float,
) -> Action | None:
    reason = f"requests of {service} take {pressure:.2f} times their usual time"
    noisy = _noisy_tasks(service, tasks, estimates)
    for share in THROTTLE_STEPS:
        throttleable = [task for task in noisy if task.share > share]
        if throttleable:
            row.acted_at = now
            worst = max(throttleable, key=lambda t: estimates.added(service, {}, t.activity))
            return Action(Step.THROTTLE, worst.task, share, reason)
    if now - row.moved_at < MOVE_PAUSE_S:
        return None
    row.acted_at = row.moved_at = now
    return Action(Step.MOVE, min(noisy, key=lambda t: t.lost_work).task, 0.0, reason)


def _noisy_tasks(
    service: ServiceId, tasks: list[GuardedTask], estimates: Estimates
) -> list[GuardedTask]:
    """Return the tasks whose throttling would help; all of them without usable estimates."""
    added = {task.task: estimates.added(service, {}, task.activity) for task in tasks}
    least = max(MIN_ADDED_SLOWDOWN, NOISY_FRACTION * max(added.values()))
    return [task for task in tasks if added[task.task] >= least] or tasks
