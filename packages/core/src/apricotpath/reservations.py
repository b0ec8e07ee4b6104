"""The earliest set of hosts on which a waiting group will fit: pure functions.

Answers large tasks and gangs that wait long because small ones take each gap as it opens.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from apricotpath.commitments import reserved_size
from apricotpath.forecasts import HostForecast
from apricotpath.hostload import MAX_RUNS_PER_HOST, Hold, HostLoad
from apricotpath.ids import HostId, JobId
from apricotpath.model import Size
from apricotpath.workload import Step

# A group that fits later than this (seconds) gets no reservation: so far ahead ends are guesses.
HORIZON_S = 20.0
# Ends on one host from which on smaller tasks could take the room that the first of them frees.
MIN_ENDS = 2
# Points in time, over all hosts, at which the room for a gang is computed, and on one host.
MAX_POINTS = 1200
MIN_POINTS_PER_HOST = 2
MAX_POINTS_PER_HOST = 16
# A gang that asks for one rack waits at most this much longer (seconds) for one.
MAX_RACK_WAIT_S = 2.0


class Slot(NamedTuple):
    """Room for `tasks` tasks of a group on a host from a time on (boot-clock seconds)."""

    tasks: int
    starts_at: float


@dataclass(slots=True)
class Reservation:
    """Room that is kept for a waiting group.

    `held_since` is when the group got its first reservation, in boot-clock seconds.
    """

    group: tuple[JobId, int, int]
    step: Step
    priority: int
    held_since: float
    slots: dict[HostId, Slot]
    hold: Hold = field(init=False)

    def __post_init__(self) -> None:
        self.hold = Hold(self.step.filler)


class _Room(NamedTuple):
    """How many members of a gang fit on a host from a time on."""

    starts_at: float
    tasks: int
    load: HostLoad


class Candidate(NamedTuple):
    """A host that a group may use, and what its runs will free."""

    load: HostLoad
    forecast: HostForecast


def spare_beside(candidate: Candidate, step: Step, slot: Slot) -> Size:
    """Return what is left on a host for tasks that go on beside a reservation once it begins."""
    load, forecast = candidate
    done = forecast.count_ended(slot.starts_at)
    claimed = load.claimed - forecast.freed[done]
    if step.filler:
        limit = int(load.filler_share(step) * load.capacity.cpu_milli)
        used = int(load.used - forecast.freed_used[done])
        left = Size(limit - used, load.capacity.memory_mb, load.capacity.accelerators)
        left = left - Size(0, claimed.memory_mb, claimed.accelerators)
        need = step.size
    else:
        left, need = load.capacity - claimed, reserved_size(step)
    for_group = Size(
        need.cpu_milli * slot.tasks, need.memory_mb * slot.tasks, need.accelerators * slot.tasks
    )
    return (left - for_group).not_negative()


def slots_for_tasks(
    step: Step, need: int, candidates: Iterable[Candidate], now: float
) -> dict[HostId, Slot]:
    """Return the hosts on which up to `need` tasks fit first, one on each; may be empty.

    There are none if a task fits somewhere now, so that something else than room keeps it waiting,
    or if it fits first where a single run ends: then it takes that room in its turn.
    """
    found: list[tuple[float, int, HostId]] = []
    for candidate in candidates:
        if _count_after(candidate, step, len(candidate.forecast.ends)) < 1:
            continue
        first = _first_fitting(candidate, step)
        if not first:
            return {}
        found.append((candidate.forecast.ends[first - 1], first, candidate.load.host.host))
    found.sort()
    if not found or found[0][1] < MIN_ENDS:
        return {}
    return {host: Slot(1, at) for at, _, host in found[:need] if at <= now + HORIZON_S}


def earliest_start(step: Step, candidates: Collection[Candidate], now: float) -> float | None:
    """Return when a task, or the whole gang, fits first if nothing else starts; None if never."""
    if step.gang:
        rooms = sorted(_rooms(step, candidates, now), key=lambda room: room.starts_at)
        at = _start_of_gang(step.count, rooms)
        return at if at < float("inf") else None
    found = []
    for candidate in candidates:
        ends = candidate.forecast.ends
        if _count_after(candidate, step, len(ends)) >= 1:
            first = _first_fitting(candidate, step)
            found.append(ends[first - 1] if first else now)
    return min(found, default=None)


def _first_fitting(candidate: Candidate, step: Step) -> int:
    """Return after how many ends a task fits, if it fits after all of them."""
    low, high = 0, len(candidate.forecast.ends)
    while low < high:
        middle = (low + high) // 2
        if _count_after(candidate, step, middle) >= 1:
            high = middle
        else:
            low = middle + 1
    return low


def slots_for_gang(step: Step, candidates: Collection[Candidate], now: float) -> dict[HostId, Slot]:
    """Return the hosts on which a gang fits first as a whole; empty if it never does.

    The few hosts with most room are taken, and the smallest sufficient one for the last members.
    """
    rooms = list(_rooms(step, candidates, now))
    rooms.sort(key=lambda room: room.starts_at)
    at = _start_of_gang(step.count, rooms)
    if step.same_rack:
        by_rack: dict[str, list[_Room]] = {}
        for room in rooms:
            if room.load.host.facts is not None:
                by_rack.setdefault(room.load.host.facts.rack, []).append(room)
        starts = {rack: _start_of_gang(step.count, items) for rack, items in by_rack.items()}
        rack = min(starts, key=lambda rack: (starts[rack], rack), default=None)
        if rack is not None and starts[rack] <= at + MAX_RACK_WAIT_S:
            at, rooms = starts[rack], by_rack[rack]
    if at > now + HORIZON_S:
        return {}
    return _pack(step.count, at, rooms)


def _rooms(step: Step, candidates: Collection[Candidate], now: float) -> Iterable[_Room]:
    """Yield how much room each host has for a gang, at some of the ends of its runs."""
    points = MAX_POINTS // max(1, len(candidates))
    points = min(MAX_POINTS_PER_HOST, max(MIN_POINTS_PER_HOST, points))
    for candidate in candidates:
        ends = candidate.forecast.ends
        steps = min(points - 1, len(ends))
        counts = {len(ends) * number // steps for number in range(steps + 1)} if steps else {0}
        for done in sorted(counts):
            count = _count_after(candidate, step, done)
            if count > 0:
                yield _Room(ends[done - 1] if done else now, count, candidate.load)


def _start_of_gang(need: int, rooms: Iterable[_Room]) -> float:
    """Return when `need` members fit, given rooms in order of time; infinite if they never do."""
    total = 0
    counted: dict[HostId, int] = {}
    for room in rooms:
        host = room.load.host.host
        total += room.tasks - counted.get(host, 0)
        counted[host] = room.tasks
        if total >= need:
            return room.starts_at
    return float("inf")


def _pack(need: int, at: float, rooms: Iterable[_Room]) -> dict[HostId, Slot]:
    """Choose hosts for all members at a time, given rooms in order of time."""
    counts = {room.load.host.host: room.tasks for room in rooms if room.starts_at <= at}
    slots: dict[HostId, Slot] = {}
    for host, count in sorted(counts.items(), key=lambda item: (-item[1], item[0])):
        if count >= need:
            enough = [(other, name) for name, other in counts.items() if name not in slots]
            best = min((other, name) for other, name in enough if other >= need)[1]
            slots[best] = Slot(need, at)
            return slots
        slots[host] = Slot(count, at)
        need -= count
    return {}


def _count_after(candidate: Candidate, step: Step, done: int) -> int:
    """Return how many tasks of a step fit on a host once its first `done` runs have ended."""
    load, forecast = candidate
    need, freed = reserved_size(step), forecast.freed[done]
    capacity, claimed = load.capacity, load.claimed
    if not step.size.fits_in(capacity):
        return 0
    limit = MAX_RUNS_PER_HOST - load.runs + done
    if need.cpu_milli:
        left = capacity.cpu_milli - claimed.cpu_milli + freed.cpu_milli
        limit = min(limit, left // need.cpu_milli)
    if need.memory_mb:
        left = capacity.memory_mb - claimed.memory_mb + freed.memory_mb
        limit = min(limit, left // need.memory_mb)
    if need.accelerators:
        left = capacity.accelerators - claimed.accelerators + freed.accelerators
        limit = min(limit, left // need.accelerators)
    if step.filler and step.size.cpu_milli:
        used = load.used - forecast.freed_used[done]
        room = load.filler_share(step) * capacity.cpu_milli - used
        limit = min(limit, int(room // step.size.cpu_milli))
    return min(limit, step.max_per_host) if step.max_per_host else limit
