"""Overload protection of a host: actions when the measured usage exceeds its size."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from apricotpath.ids import TaskId
from apricotpath.model import Size, TaskClass

# Usage is reported with a delay, so a throttled task keeps this share until the effect shows.
MIN_SHARE = 0.1
# Throttled tasks get processors back while usage is below this share of the host. It is well
# under the limit, so that the guard does not alternate between throttling and releasing.
RELEASE_BELOW = 0.85
RELEASE_STEP = 1.5


@dataclass(frozen=True, slots=True)
class GuardRow:
    """One running task: declared size, measured usage and its current share of processors."""

    task: TaskId
    attempt: int
    task_class: TaskClass
    size: Size
    usage: Size
    share: float = 1.0


@dataclass(frozen=True, slots=True)
class Throttle:
    """Limit an attempt to a share of its processors, from 0.0 to 1.0."""

    task: TaskId
    attempt: int
    share: float


@dataclass(frozen=True, slots=True)
class Shed:
    """Checkpoint and stop an attempt."""

    task: TaskId
    attempt: int
    reason: str


def decide(size: Size, usage: Size, rows: Sequence[GuardRow]) -> list[Throttle | Shed]:
    """Return the actions that bring `usage` back under the host's `size`.

    Batch tasks are throttled first, starting with those furthest over their
    declared size. If memory is exceeded, which cannot be throttled, or all are
    throttled already, one batch task is shed per call. Latency-critical tasks
    are never touched.
    """
    batch = [row for row in rows if row.task_class is TaskClass.BATCH]
    if usage.memory_mb > size.memory_mb:
        return _shed(batch, "measured memory exceeds the host's size", _memory_excess)
    excess = usage.cpu_milli - size.cpu_milli
    if excess > 0:
        actions = _throttle(batch, excess)
        if actions:
            return actions
        return _shed(batch, "measured processor use exceeds the host's size", _cpu_excess)
    if usage.cpu_milli < RELEASE_BELOW * size.cpu_milli:
        return _release(batch, int(RELEASE_BELOW * size.cpu_milli) - usage.cpu_milli)
    return []


def _cpu_excess(row: GuardRow) -> int:
    return row.usage.cpu_milli - row.size.cpu_milli


def _memory_excess(row: GuardRow) -> int:
    return row.usage.memory_mb - row.size.memory_mb


def _shed(
    batch: list[GuardRow], reason: str, excess_of: Callable[[GuardRow], int]
) -> list[Throttle | Shed]:
    if not batch:
        return []
    worst = max(batch, key=lambda row: (excess_of(row), row.task))
    return [Shed(worst.task, worst.attempt, reason)]


def _throttle(batch: list[GuardRow], excess: int) -> list[Throttle | Shed]:
    actions: list[Throttle | Shed] = []
    for row in sorted(batch, key=lambda row: (-_cpu_excess(row), row.task)):
        if excess <= 0:
            break
        if row.share <= MIN_SHARE or row.usage.cpu_milli <= 0:
            continue
        fraction = max(0, row.usage.cpu_milli - excess) / row.usage.cpu_milli
        share = max(MIN_SHARE, row.share * fraction)
        excess -= int(row.usage.cpu_milli * (1 - share / row.share))
        actions.append(Throttle(row.task, row.attempt, share))
    return actions


def _release(batch: list[GuardRow], headroom_milli: int) -> list[Throttle | Shed]:
    actions: list[Throttle | Shed] = []
    for row in sorted(batch, key=lambda row: (row.share, row.task)):
        if row.share >= 1.0:
            continue
        share = min(1.0, row.share * RELEASE_STEP)
        headroom_milli -= int(row.usage.cpu_milli * (share / row.share - 1))
        if headroom_milli < 0:
            break
        actions.append(Throttle(row.task, row.attempt, share))
    return actions
