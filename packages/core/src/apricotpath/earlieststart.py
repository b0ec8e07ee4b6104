"""When a task or gang fits first, by the expected ends of runs: pure functions."""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from apricotpath.commitments import reserved_size
from apricotpath.forecasts import HostForecast
from apricotpath.hostload import MAX_RUNS_PER_HOST, HostLoad
from apricotpath.ids import HostId
from apricotpath.workload import Step

# Points in time, over all hosts, at which the room for a gang is computed, and on one host.
MAX_POINTS = 1200
MIN_POINTS_PER_HOST = 2
MAX_POINTS_PER_HOST = 16


class _Room(NamedTuple):
    """How many members of a gang fit on a host from a time on."""

    starts_at: float
    tasks: int
    load: HostLoad


class Candidate(NamedTuple):
    """A host that a group may use, and what its runs will free."""

    load: HostLoad
    forecast: HostForecast


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
