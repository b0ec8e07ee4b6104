"""Placement of gangs: how many members fit is computed for each host, not tried for each member.

Answers for up to 5,000 members of a gang and any number of waiting gangs. Looking whether a gang
fits takes one step for each host, and placing it at most `CHUNKS_PER_HOST` for each host, however
many members it has. `gangturns` limits the gangs of one pass.
"""

from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from heapq import heapify, heappop, heapreplace

from apricotpath.hostload import HOSTS_PER_STEP, HostLoad
from apricotpath.jobrows import Task
from apricotpath.model import Size
from apricotpath.steps import Steps, finish
from apricotpath.workload import Step

# Members are placed in so many chunks for each host; more chunks fill the hosts more evenly.
CHUNKS_PER_HOST = 16
CHUNKS_PER_STEP = 64

# Returns the sort key of a host for a task; the lowest is preferred.
Preference = Callable[[HostLoad, Task, Step], tuple[bool, bool, bool, float, float]]


@dataclass(frozen=True, slots=True)
class _Misfit:
    """A gang that does not fit; one that needs as much in every respect does not either."""

    size: Size
    members: int
    max_per_host: int
    same_rack: bool

    def covers(self, step: Step, members: int) -> bool:
        """Return whether another gang does not fit either."""
        return (
            self.size.fits_in(step.size)
            and self.members <= members
            and 0 < (step.max_per_host or members) <= self.max_per_host
        )


@dataclass(slots=True)
class Misfits:
    """The gangs of one pass, and of one kind of host, that do not fit; hosts only fill up."""

    found: list[_Misfit] = field(default_factory=list)

    def cover(self, step: Step, members: int) -> bool:
        """Return whether a gang cannot fit, as one of those found needs no more."""
        return any(misfit.covers(step, members) for misfit in self.found)

    def add(self, step: Step, members: int) -> None:
        """Add a gang that does not fit."""
        limit = step.max_per_host or members
        self.found.append(_Misfit(step.size, members, limit, step.same_rack))


def assign(
    members: Sequence[Task], step: Step, candidates: Collection[HostLoad], prefer: Preference
) -> list[tuple[Task, HostLoad]]:
    """Return a host for each member and commit them, or change nothing and return nothing.

    The members are on one rack if the step asks for that and one has room.
    """
    return finish(assign_in_steps(members, step, candidates, prefer))


def assign_in_steps(
    members: Sequence[Task], step: Step, candidates: Collection[HostLoad], prefer: Preference
) -> Steps[list[tuple[Task, HostLoad]]]:
    """Do the same in steps."""
    suspects = next((load.suspects for load in candidates), {})
    # Suspected members go first: they start only on hosts where nothing else starts.
    parts = [[task for task in members if task.key in suspects] if suspects else []]
    parts.append([task for task in members if task.key not in suspects] if suspects else [*members])
    yield
    rooms = [(load, _room(load, parts, step)) for load in candidates]
    yield
    for pool in _pools(rooms, step):
        if sum(room for _, room in pool) >= len(members):
            chosen = yield from _assign_to(
                [load for load, room in pool if room], parts, step, prefer
            )
            if chosen is not None:
                return chosen
    return []


def _room(load: HostLoad, parts: Iterable[Sequence[Task]], step: Step) -> int:
    """Return how many members may start on a host, at most."""
    for part in parts:
        if part and load.admits(part[0].key, step):
            return load.room_for(part[0].key, step)
    return 0


def _pools(rooms: list[tuple[HostLoad, int]], step: Step) -> Iterator[list[tuple[HostLoad, int]]]:
    """Yield the hosts that a gang may be placed on together, those of single racks first."""
    if step.same_rack:
        by_rack: dict[str, list[tuple[HostLoad, int]]] = {}
        for load, room in rooms:
            if load.host.facts is not None:
                by_rack.setdefault(load.host.facts.rack, []).append((load, room))
        yield from (by_rack[rack] for rack in sorted(by_rack))
    yield rooms


def _assign_to(
    pool: list[HostLoad], parts: Iterable[Sequence[Task]], step: Step, prefer: Preference
) -> Steps[list[tuple[Task, HostLoad]] | None]:
    """Commit all members to the hosts of a pool, or change nothing and return None."""
    before = []
    for load in pool:
        images = dict(load.serving_images)
        before.append(replace(load, steps=dict(load.steps), serving_images=images))
        if len(before) % HOSTS_PER_STEP == 0:
            yield
    chosen: list[tuple[Task, HostLoad]] = []
    for part in parts:
        placed = yield from _place_part(pool, part, step, prefer)
        if len(placed) < len(part):
            for load, saved in zip(pool, before, strict=True):
                load.restore(saved)
            return None
        chosen += placed
    return chosen


def _place_part(
    pool: list[HostLoad], members: Sequence[Task], step: Step, prefer: Preference
) -> Steps[list[tuple[Task, HostLoad]]]:
    """Place members that prefer the same hosts, some at a time on the host preferred most."""
    if not members:
        return []
    task = members[0]
    # All members avoid the hosts on which some failed in the newest run that a member failed in.
    avoided = task.gang.failed_hosts if task.gang is not None else set()
    at_once = max(1, len(members) // (CHUNKS_PER_HOST * len(pool)))

    def key(number: int) -> tuple[bool, bool, bool, float, float, int]:
        load = pool[number]
        not_kept, unreliable, other_rack, separation, share = prefer(load, task, step)
        unreliable = unreliable or load.host.host in avoided
        return not_kept, unreliable, other_rack, separation, share, number

    def room(load: HostLoad) -> int:
        return load.room_for(task.key, step) if load.admits(task.key, step) else 0

    heap = [key(number) for number, load in enumerate(pool) if room(load)]
    heapify(heap)
    placed: list[tuple[Task, HostLoad]] = []
    chunks = 0
    while heap and len(placed) < len(members):
        chunks += 1
        if chunks % CHUNKS_PER_STEP == 0:
            yield
        number = heap[0][-1]
        load = pool[number]
        part = members[len(placed) : len(placed) + min(at_once, room(load))]
        load.add_starts(task.key, step, len(part))
        placed += [(member, load) for member in part]
        if room(load):
            heapreplace(heap, key(number))
        else:
            heappop(heap)
    return placed
