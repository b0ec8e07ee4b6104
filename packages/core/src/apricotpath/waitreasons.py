"""Log fields about host load and about why waiting tasks cannot start."""

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any

from apricotpath.hostload import OTHER_SERVICE, HostLoad, PlacementInput, exclusion_reason
from apricotpath.ids import HostId
from apricotpath.joborder import WaitingGroup, waiting_groups
from apricotpath.jobtable import JobTable
from apricotpath.workload import Step

# Shorter waits are not logged.
LONG_WAIT_S = 2.0
# Steps logged per call, longest waits first.
MAX_STEPS_LOGGED = 5

HAS_ROOM = "has room"
IN_USE = "processors in use"
RESERVED = "reserved for another group"


def long_waits(
    table: JobTable, inputs: PlacementInput, loads: Mapping[HostId, HostLoad]
) -> Iterator[dict[str, Any]]:
    """Yield log fields of the steps that have waited longest.

    `hosts` maps each reason to the number of hosts it applies to.
    """
    groups = sorted(waiting_groups(table, inputs), key=lambda group: group.tasks[0].waiting_since)
    for group in groups[:MAX_STEPS_LOGGED]:
        waited_s = inputs.now - group.tasks[0].waiting_since
        if waited_s < LONG_WAIT_S:
            return
        key = group.tasks[0].key
        reasons = Counter(
            reason for load in loads.values() if (reason := wait_reason(load, group, inputs))
        )
        yield {
            "job": key.job,
            "step": key.step,
            "occurrence": key.occurrence,
            "tasks": len(group.tasks),
            "size": [group.step.size.cpu_milli, group.step.size.memory_mb],
            "max_per_host": group.step.max_per_host,
            "long_running": group.step.long_running,
            "waited_s": round(waited_s, 3),
            "gang": group.step.gang,
            "hosts": dict(reasons) or {"none of the service": len(loads)},
        }


def wait_reason(load: HostLoad, group: WaitingGroup, inputs: PlacementInput) -> str:
    """Return why no task of a group starts on a host now; empty if it is of another service."""
    step = group.step
    reason = exclusion_reason(load, step, group.queue, inputs)
    if reason:
        return "" if reason == OTHER_SERVICE else reason
    if not step.size.fits_in(load.capacity):
        return "too small"
    if not load.within_max_per_host(group.tasks[0].key, step):
        return "enough tasks of the step"
    return resource_shortage(load, step) or HAS_ROOM


def trial_reason(load: HostLoad, group: WaitingGroup, inputs: PlacementInput, waits: bool) -> str:
    """Return why a host takes no task of a group, or no more, after the group was looked at.

    `waits`: some of its tasks were not placed.
    """
    step, task = group.step, group.tasks[0].key
    reason = wait_reason(load, group, inputs) or OTHER_SERVICE
    if reason != HAS_ROOM:
        return reason
    if not load.admits(task, step):
        return "kept for tasks suspected of crashes"
    if load.reserved:
        return RESERVED
    if waits:
        return "has room for some members of the gang" if step.gang else HAS_ROOM
    return "less preferred"


def resource_shortage(load: HostLoad, step: Step) -> str:
    """Return which resource a host lacks for one more task of a step; empty if it has room."""
    if not load.can_make_room_for(step):
        return "long-running tasks"
    free = load.capacity - load.claimed
    if free.cpu_milli < step.size.cpu_milli and not step.filler:
        return "processors reserved"
    if free.memory_mb < step.size.memory_mb:
        return "memory reserved"
    if free.accelerators < step.size.accelerators:
        return "accelerators reserved"
    return "" if load.fits(step) else IN_USE


def host_row(load: HostLoad, now: float, silent_s: float) -> list[float]:
    """Return the values of one host in the `fleet` log line, in this order.

    Share of processors in use, share reserved, number of serving tasks, number
    of filler tasks, speed limit of filler tasks in percent, 1 if the host
    accepts new runs, else 0, and share of memory reserved.
    """
    return [
        round(load.share_used(), 2),
        round(load.share_claimed(), 2),
        load.serving,
        load.fillers,
        round(load.host.filler_percent),
        int(load.host.accepts_starts(now, silent_s)),
        round(load.claimed.memory_mb / max(1, load.capacity.memory_mb), 2),
    ]
