"""How long groups of tasks have waited for their starts, by size class."""

from collections import deque
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

from apricotpath.fleet import Host
from apricotpath.hostload import is_large
from apricotpath.ids import HostId, JobId, QueueId
from apricotpath.jobtable import JobTable
from apricotpath.workload import TaskKey

# Newest waits of a size class of which the percentiles are taken.
MAX_WAITS = 500


class SizeClass(Enum):
    """Whether a group is one that small tasks can keep from its room: a gang, or large tasks."""

    LARGE = "large"
    SMALL = "small"


class GroupWait(NamedTuple):
    """The longest wait (seconds) of the tasks of a group that one pass has started."""

    queue: QueueId
    size: SizeClass
    waited_s: float


class WaitSummary(NamedTuple):
    """Percentiles of the newest waits of a size class, in seconds."""

    groups: int
    p50_s: float
    p95_s: float


def group_waits(
    table: JobTable,
    placed: Iterable[tuple[TaskKey, HostId]],
    hosts: Mapping[HostId, Host],
    now: float,
) -> list[GroupWait]:
    """Return how long groups have waited of which tasks are to start, before these are recorded."""
    found: dict[tuple[JobId, int, int], GroupWait] = {}
    for key, name in placed:
        task, facts = table.waiting.get(key), hosts[name].facts
        if task is None or facts is None:
            continue
        waited_s = now - task.waiting_since
        known = found.get(key.step_key)
        if known is None:
            row = table.rows[key.job]
            step = row.step(key)
            large = step.gang or is_large(step, facts.capacity)
            size = SizeClass.LARGE if large else SizeClass.SMALL
            found[key.step_key] = GroupWait(row.job.queue, size, waited_s)
        elif waited_s > known.waited_s:
            found[key.step_key] = known._replace(waited_s=waited_s)
    return list(found.values())


class WaitLog:
    """The newest waits of each size class."""

    def __init__(self) -> None:
        self._waits: dict[SizeClass, deque[float]] = {
            size: deque(maxlen=MAX_WAITS) for size in SizeClass
        }

    def add(self, wait: GroupWait) -> None:
        """Add the wait of a group."""
        self._waits[wait.size].append(wait.waited_s)

    def summary(self, size: SizeClass) -> WaitSummary:
        """Return the percentiles of a size class; zeros if there were no waits."""
        waits = sorted(self._waits[size])
        if not waits:
            return WaitSummary(0, 0.0, 0.0)
        p50, p95 = (waits[min(len(waits) - 1, int(share * len(waits)))] for share in (0.5, 0.95))
        return WaitSummary(len(waits), round(p50, 3), round(p95, 3))
