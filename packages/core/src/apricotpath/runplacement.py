"""Placement of waiting tasks on hosts: pure functions over the job and host tables."""

from collections.abc import Callable, Collection, Iterable, Iterator, Mapping, Sequence
from heapq import heapify, heappop, heapreplace
from operator import attrgetter
from typing import NamedTuple

from apricotpath.disturbance import LOW_IMPACT_PRESSURE
from apricotpath.gangplacement import Misfits, assign_in_steps
from apricotpath.gangturns import GangTurns
from apricotpath.hostload import HostLoad, PlacementInput, load_in_steps, may_use
from apricotpath.ids import HostId, ServiceId
from apricotpath.joborder import WaitingGroup, group_in_steps
from apricotpath.jobrows import Task
from apricotpath.jobtable import JobTable
from apricotpath.model import Size
from apricotpath.steps import Steps, finish
from apricotpath.workload import Step, TaskKey

# A group of tasks that has waited this long reserves one host, which smaller tasks of later
# groups then do not get.
RESERVE_AFTER_S = 2.0
# At most one in this many hosts is reserved, so that placement continues on the others.
HOSTS_PER_RESERVATION = 5
# Long-running tasks that are away for this long may use reserved hosts: their callers go unserved
# meanwhile, and the tasks that a host is reserved for do not fit there yet.
LONG_RUNNING_MAX_WAIT_S = 3.0
# At most one in this many hosts is kept for tasks that are suspected of crashes.
HOSTS_PER_SUSPECT = 3
# A filler job without a running task gets one after this long, however busy the hosts are: slow
# progress is better than none.
FILLER_MAX_WAIT_S = 1.5
STARTS_PER_STEP = 64


class Placement(NamedTuple):
    """A decision to start a task on a host under a run number."""

    task: TaskKey
    run: int
    host: HostId


# Gets a group that a pass has looked at, the loads of all hosts by then, and the group's starts.
PassWatch = Callable[[WaitingGroup, Mapping[HostId, HostLoad], Sequence[Placement]], Steps[None]]


def place(table: JobTable, inputs: PlacementInput) -> list[Placement]:
    """Return the tasks to start now, in order."""
    return finish(place_in_steps(table, inputs))


def place_in_steps(
    table: JobTable, inputs: PlacementInput, watch: PassWatch | None = None
) -> Steps[list[Placement]]:
    """Do the same in steps, between which waiting tasks and the set of hosts may not change.

    `watch` is called after each group that the pass has looked at.
    """
    if not table.waiting:
        return []
    loads = yield from load_in_steps(table, inputs)
    placements: list[Placement] = []
    groups = yield from group_in_steps(table, inputs)
    if table.crashes:
        _keep_hosts_for_suspects(groups, loads.values(), inputs)
    hosts = _UsableHosts(list(loads.values()), inputs)
    turns = inputs.gang_turns
    turns.begin((group.key for group in groups if group.step.gang), len(loads))
    for group in groups:
        yield
        if inputs.budget.spent:
            break
        if group.step.gang and not turns.may_look_at(group.key):
            continue
        allowed = hosts.allowed(group)
        candidates = _candidates(group, allowed, inputs)
        if group.step.gang:
            misfits = hosts.misfits(group)
            placed = yield from _place_gang(group, candidates, misfits, turns, inputs.now)
        elif hosts.are_full_for(group):
            placed = []
        else:
            del group.tasks[inputs.budget.allowance(group.row.job.command) :]
            placed = []
            for placement in _place_each(group, candidates, inputs):
                placed.append(placement)
                if len(placed) % STARTS_PER_STEP == 0:
                    yield
            if len(placed) < len(group.tasks):
                hosts.note_if_full(group, candidates)
        if len(placed) < len(group.tasks):
            _reserve_for_next(group, placed, allowed, loads.values(), inputs)
        if not placed and group.step.filler:
            placed = _place_starving(group, allowed, inputs, placements)
        if placed:
            inputs.budget.spend(group.row.job.command, len(placed))
            placements += placed
        if watch is not None:
            yield from watch(group, loads, placed)
    return placements


def _candidates(
    group: WaitingGroup, allowed: list[HostLoad], inputs: PlacementInput
) -> list[HostLoad]:
    """Return the hosts that a group may use: reserved ones only if a task is away for long."""
    if group.step.long_running:
        away_since = min(task.away_since for task in group.tasks)
        if inputs.now - away_since >= LONG_RUNNING_MAX_WAIT_S:
            return allowed
    return [load for load in allowed if not load.reserved]


class _HostKind(NamedTuple):
    """What decides which hosts the tasks of a group may use, apart from free resources."""

    service: ServiceId
    label: str
    guards_capacity: bool


class _ResourceKind(NamedTuple):
    """What decides whether a host has room for tasks, apart from their size."""

    hosts: _HostKind
    filler: bool
    filler_image: str


class _UsableHosts:
    """The hosts that groups may use in one pass, looked up once for groups of a kind.

    Hosts only fill up during a pass, so that a task which fits on none of them needs not be
    tried again, nor one that is as large.
    """

    def __init__(self, loads: list[HostLoad], inputs: PlacementInput) -> None:
        self._loads, self._inputs = loads, inputs
        self._allowed: dict[_HostKind, list[HostLoad]] = {}
        self._too_large: dict[_ResourceKind, list[Size]] = {}
        self._misfits: dict[_ResourceKind, Misfits] = {}

    def allowed(self, group: WaitingGroup) -> list[HostLoad]:
        """Return the hosts on which a group's tasks may start, regardless of free resources."""
        kind = _kind(group)
        found = self._allowed.get(kind)
        if found is None:
            found = self._allowed[kind] = [
                load for load in self._loads if may_use(load, group.step, group.queue, self._inputs)
            ]
        return found

    def are_full_for(self, group: WaitingGroup) -> bool:
        """Return whether no host has the resources that a task of a group needs."""
        if not self._too_large:
            return False
        noted = self._too_large.get(self._resource_kind(group), ())
        return any(size.fits_in(group.step.size) for size in noted)

    def note_if_full(self, group: WaitingGroup, candidates: Iterable[HostLoad]) -> None:
        """Remember the size of a group's tasks if it fits on none of its candidates."""
        if not any(load.fits(group.step) for load in candidates):
            self._too_large.setdefault(self._resource_kind(group), []).append(group.step.size)

    def misfits(self, group: WaitingGroup) -> Misfits:
        """Return the gangs of a group's kind that did not fit in this pass."""
        return self._misfits.setdefault(self._resource_kind(group), Misfits())

    def _resource_kind(self, group: WaitingGroup) -> _ResourceKind:
        step = group.step
        filler_image = step.image if step.filler else ""
        return _ResourceKind(_kind(group), step.filler, filler_image)


def _kind(group: WaitingGroup) -> _HostKind:
    return _HostKind(group.queue.service, group.step.label, group.queue.guards_capacity)


def _place_each(
    group: WaitingGroup, candidates: list[HostLoad], inputs: PlacementInput
) -> Iterator[Placement]:
    """Place tasks one by one: first those with hosts of their own to prefer or to avoid."""
    suspects = _suspects(candidates)
    particular: list[Task] = []
    alike: list[Task] = []
    for task in group.tasks:
        is_alike = not (group.queue.advised or task.key in suspects or task.failed_hosts)
        (alike if is_alike else particular).append(task)
    for task in sorted(particular, key=lambda task: -suspects.get(task.key, -1)):
        allowed = _advised(group, task, candidates, inputs)
        if allowed is None:
            return
        load = choose_host(group, task, allowed)
        if load is None and task.key in suspects:
            # It waits for a host of its own, and the others do not.
            continue
        if load is None:
            return
        load.add_start(task.key, group.step)
        yield Placement(task.key, task.last_run + 1, load.host.host)
    yield from _place_alike(group.step, alike, candidates)


def _place_alike(step: Step, tasks: list[Task], candidates: list[HostLoad]) -> Iterator[Placement]:
    """Place tasks that prefer the same hosts, as `choose_host` would one after another.

    A placement changes the preference for its own host only, so a heap finds the next one.
    """
    if not tasks:
        return
    heap = [
        (_preference(load, tasks[0], step), number)
        for number, load in enumerate(candidates)
        if _may_place(load, tasks[0], step)
    ]
    heapify(heap)
    for task in tasks:
        if not heap:
            return
        number = heap[0][1]
        load = candidates[number]
        load.add_start(task.key, step)
        yield Placement(task.key, task.last_run + 1, load.host.host)
        if _may_place(load, task, step):
            heapreplace(heap, (_preference(load, task, step), number))
        else:
            heappop(heap)


def _advised(
    group: WaitingGroup, task: Task, loads: Iterable[HostLoad], inputs: PlacementInput
) -> list[HostLoad] | None:
    """Return the hosts that an advisory service allows, or None if it has not answered yet."""
    if not group.queue.advised or group.step.gang:
        return list(loads)
    advised = inputs.advised(task.key)
    if advised is None:
        return None
    return [load for load in loads if load.host.executor_incarnation()[0] in advised]


def choose_host(group: WaitingGroup, task: Task, candidates: Iterable[HostLoad]) -> HostLoad | None:
    """Return the preferred host on which a task fits, or None."""
    step = group.step
    fitting = [load for load in candidates if _may_place(load, task, step)]
    return min(fitting, key=lambda load: _preference(load, task, step), default=None)


def _may_place(load: HostLoad, task: Task, step: Step) -> bool:
    """Return whether one more task of a step may start on a host now."""
    return (
        load.fits(step) and load.within_max_per_host(task.key, step) and load.admits(task.key, step)
    )


def _preference(load: HostLoad, task: Task, step: Step) -> tuple[bool, bool, bool, float, float]:
    """Return the sort key of a host for a task; the lowest is preferred.

    A suspected task goes to the host that is kept for its job, if it fits there, and the
    members of a gang to as few others as they need.

    Filler tasks slow serving tasks down, so the two are kept on different
    hosts, unless the image of the one hardly disturbs that of the other.
    Serving tasks fill one host after another regardless of filler tasks, which
    can be throttled or end soon. Other tasks prefer hosts with serving tasks,
    which leaves the remaining hosts to filler tasks.
    """
    facts = load.host.facts
    other_rack = bool(step.near) and facts is not None and facts.rack != step.near
    share = load.share_used(step.size.cpu_milli)
    if step.filler:
        impact = load.impact(step)
        separation = 0.0 if impact < LOW_IMPACT_PRESSURE else impact * load.serving
    elif step.long_running:
        separation = 0.0 if load.serving else 1.0 + load.fillers
        share = -load.share_claimed()
    else:
        separation = 0.0 if load.serving else 0.2
        separation += max(0.0, share - 1)
    unreliable = load.host.host in task.failed_hosts or load.slow
    # A long-running task would have to move again soon.
    unreliable = unreliable or (step.long_running and load.host.upkeep_due)
    not_kept = load.kept_for is None and load.observed is None
    return (task.key in load.suspects and not_kept, unreliable, other_rack, separation, share)


def _place_starving(
    group: WaitingGroup,
    allowed: list[HostLoad],
    inputs: PlacementInput,
    earlier: Iterable[Placement],
) -> list[Placement]:
    """Start one task of a filler job that has no running task, on the least busy host.

    `earlier` are the placements that the pass has chosen already.
    """
    task = group.tasks[0]
    waited_s = inputs.now - task.waiting_since
    if not group.step.filler or waited_s < FILLER_MAX_WAIT_S or group.row.run_count:
        return []
    if any(placement.task.job == task.key.job for placement in earlier):
        return []
    eligible = [
        load
        for load in allowed
        if load.has_resources_for(group.step) and load.admits(task.key, group.step)
    ]
    if group.step.gang or group.queue.advised or not eligible:
        return []
    load = min(eligible, key=HostLoad.share_used)
    load.add_start(task.key, group.step)
    return [Placement(task.key, task.last_run + 1, load.host.host)]


def _keep_hosts_for_suspects(
    groups: Iterable[WaitingGroup], loads: Collection[HostLoad], inputs: PlacementInput
) -> None:
    """Keep hosts free for waiting tasks that are suspected of crashes, which start alone.

    There is one host for each job, since the first of its tasks that is given up ends the job.
    The one with the fewest runs is taken: all of these would be lost in another crash.
    """
    observed = {load.observed for load in loads if load.observed is not None}
    limit = max(1, len(loads) // HOSTS_PER_SUSPECT)
    suspects, held = _suspects(loads), next((load.held for load in loads), frozenset())
    steps = {key.step_key for key in suspects}
    for group in groups:
        step, job = group.step, group.row.job.job_id
        if group.key not in steps:
            continue
        waiting = [task for task in group.tasks if task.key in suspects and task.key not in held]
        if not waiting or job in observed or len(observed) >= limit:
            continue
        task = max(waiting, key=lambda task: suspects[task.key])
        eligible = [
            load
            for load in _advised(group, task, loads, inputs) or ()
            if may_use(load, step, group.queue, inputs) and _may_keep(load, task.key, step)
        ]
        if eligible:
            chosen = min(eligible, key=lambda load: (not load.fits(step), load.starting, load.runs))
            chosen.kept_for = job
            observed.add(job)


def _suspects(loads: Iterable[HostLoad]) -> Mapping[TaskKey, int]:
    """Return the tasks that are suspected of crashes; all loads of a pass share them."""
    return next((load.suspects for load in loads), {})


def _may_keep(load: HostLoad, task: TaskKey, step: Step) -> bool:
    """Return whether a host may be kept free for a task that is suspected of crashes."""
    if load.observed is not None or load.kept_for is not None:
        return False
    return load.can_make_room_for(step) and load.within_max_per_host(task, step)


def _reserve_for_next(
    group: WaitingGroup,
    placed: Collection[Placement],
    allowed: Collection[HostLoad],
    loads: Collection[HostLoad],
    inputs: PlacementInput,
) -> None:
    """Reserve a host for the first task that was not placed and is not suspected of crashes."""
    passed_over = {placement.task for placement in placed} | _suspects(loads).keys()
    task = next((task for task in group.tasks if task.key not in passed_over), None)
    if task is not None and can_fit_whole(group, allowed):
        _reserve(group, task, allowed, loads, inputs)


def can_fit_whole(group: WaitingGroup, allowed: Iterable[HostLoad]) -> bool:
    """Return whether a gang fits once all but long-running tasks end; true for other groups."""
    if not group.step.gang:
        return True
    missing = group.step.count
    for load in allowed:
        missing -= load.most_room_for(group.step)
        if missing <= 0:
            return True
    return False


def _reserve(
    group: WaitingGroup,
    task: Task,
    allowed: Iterable[HostLoad],
    loads: Collection[HostLoad],
    inputs: PlacementInput,
) -> None:
    """Reserve the host with the most unreserved processors for a task that fits nowhere yet."""
    if inputs.now - task.waiting_since < RESERVE_AFTER_S:
        return
    reserved = sum(load.reserved for load in loads)
    if reserved >= max(1, len(loads) // HOSTS_PER_RESERVATION):
        return
    eligible = [
        load
        for load in allowed
        if not load.reserved
        and load.can_make_room_for(group.step)
        and load.within_max_per_host(task.key, group.step)
    ]
    if eligible:
        closest = min(eligible, key=lambda load: load.claimed.cpu_milli - load.capacity.cpu_milli)
        closest.reserved = True


def _place_gang(
    group: WaitingGroup,
    candidates: list[HostLoad],
    misfits: Misfits,
    turns: GangTurns,
    now: float,
) -> Steps[list[Placement]]:
    """Place all members of a gang at once, or none; preferably on one rack if it asks for that."""
    gang, step, count = group.tasks[0].gang, group.step, len(group.tasks)
    if gang is None or not gang.can_start(count, now):
        return []
    # Which hosts a gang may use depends on its job while tasks are suspected of crashes.
    alike = not _suspects(candidates)
    skipped = alike and misfits.cover(step, count)
    turns.note_checks(group.key, len(candidates), skipped)
    if skipped:
        return []
    members = sorted(group.tasks, key=attrgetter("key"))
    chosen = yield from assign_in_steps(members, step, candidates, _preference)
    if not chosen and alike:
        misfits.add(step, count)
    return [Placement(task.key, gang.last_run + 1, load.host.host) for task, load in chosen]
