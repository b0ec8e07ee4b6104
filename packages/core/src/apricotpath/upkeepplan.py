"""Which hosts to empty and which machines to send for upkeep: a pure function of what is known.

Answers the load of a wave over all machines of a deployment, whose hosts run long-running,
checkpointing and short tasks at the same time.
"""

from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from itertools import islice
from math import ceil
from typing import NamedTuple

from apricotpath.fleet import Host
from apricotpath.hostload import HostLoad, PlacementInput, host_loads, may_use
from apricotpath.ids import HostId, JobId, MachineId, ServiceId, WaveId
from apricotpath.jobrows import READY_PERCENT, Run, RunPhase
from apricotpath.jobtable import JobTable
from apricotpath.machines import MachineState
from apricotpath.upkeepstate import MachineView, WaveProgress
from apricotpath.workload import Step, TaskKey

# No order is sent by a list that was requested longer ago. A list of many pages takes seconds, and
# is older when the next one is complete.
MAX_LIST_AGE_S = 3.0
# A machine whose instance no host has may have a host that has just restarted. Longer than
# MAX_LIST_AGE_S, so that a newer list has named its present instance.
UNMATCHED_S = 4.0
# Time of one round of upkeep besides the upkeep itself: stops, the order and the next list.
ROUND_S = 2.0
# Hosts are emptied ahead of their turn while at most one in this many of a service is out of use.
HOSTS_PER_AHEAD = 4
# A run that has exceeded its estimate is assumed to need this share of its run time more.
OVERRUN_SHARE = 0.5
# A long-running task that has not become ready within this time does not hold its host back.
MAX_STARTING_S = 10.0
# Machines whose runs one plan looks at, and searches for room on all hosts; both bound its time.
MAX_RANKED = 16
MAX_ROOM_SEARCHES = 8

StepKey = tuple[JobId, int, int]
RunKey = tuple[TaskKey, int]


@dataclass(frozen=True, slots=True)
class UpkeepInput:
    """What a plan is made from; `fenced` machines get no order in this term."""

    waves: Sequence[WaveProgress]
    view: MachineView
    table: JobTable
    placement: PlacementInput
    upkeep_s: float
    fenced: frozenset[MachineId] = frozenset()


class UpkeepOrder(NamedTuple):
    """An order to send."""

    wave: WaveId
    machine: MachineId


@dataclass(slots=True)
class UpkeepPlan:
    """What to do next.

    `stops`: the hosts to be emptied, each with the runs to stop there now. `due`: hosts whose
    upkeep is still to come. `emptied`: the machines that `stops` is about, except those that are
    emptied ahead of their turn. `held`: machines that give way to others, and why. `stuck`: how
    many tasks may not be stopped now, of those of `emptied` with such tasks.
    """

    stops: dict[HostId, frozenset[RunKey]] = field(default_factory=dict)
    due: set[HostId] = field(default_factory=set)
    emptied: set[UpkeepOrder] = field(default_factory=set)
    stuck: Counter[UpkeepOrder] = field(default_factory=Counter)
    held: dict[UpkeepOrder, str] = field(default_factory=dict)
    orders: list[UpkeepOrder] = field(default_factory=list)
    completed: list[WaveId] = field(default_factory=list)


def plan_upkeep(given: UpkeepInput) -> UpkeepPlan:
    """Return what to do next for the open waves; the wave that is due first goes first."""
    planning = _Planning(given)
    for progress in sorted(given.waves, key=lambda item: (item.due_at, item.wave.wave)):
        planning.add_wave(progress)
    return planning.plan


def match_hosts(
    view: MachineView, table: JobTable, hosts: Sequence[Host]
) -> dict[MachineId, HostId]:
    """Return the host of each machine, by the instance of its executor.

    A host that has not attached is found by the runs that were ordered for its executor.
    """
    by_instance: dict[str, HostId] = {}
    for host in hosts:
        if host.facts is not None:
            by_instance[host.facts.instance] = host.host
            continue
        for run in table.by_host.get(host.host, {}).values():
            if run.instance:
                by_instance[run.instance] = host.host
    return {
        name: by_instance[machine.instance]
        for name, machine in view.machines.items()
        if machine.instance in by_instance
    }


def remaining_s(run: Run, step: Step, now: float) -> float:
    """Return the expected time to the end of a run in seconds, by its progress if it shows any."""
    ran_s = max(0.0, now - run.since)
    made = run.percent - run.first_percent
    if made > 0:
        return ran_s * (READY_PERCENT - run.percent) / made
    return max(step.estimate_s - ran_s, OVERRUN_SHARE * ran_s)


class _Planning:
    """One plan in the making."""

    def __init__(self, given: UpkeepInput) -> None:
        self.plan = UpkeepPlan()
        self._given = given
        self._table, self._view = given.table, given.view
        self._inputs, self._now = given.placement, given.placement.now
        hosts = list(self._inputs.hosts.values())
        self._hosts = match_hosts(given.view, given.table, hosts)
        self._loads = host_loads(given.table, given.placement)
        self._at_work = self._count_at_work()
        self._taken: set[MachineId] = set()
        # The steps of jobs that are still to be served.
        self._steps: dict[JobId, tuple[Step, ...]] = {}
        # Up to two hosts with room for one more task of a step.
        self._room: dict[StepKey, list[HostId]] = {}
        # Machines that may be down, for each wave and for any.
        self._down_for = {
            progress.wave.wave: set(progress.down(given.view, self._now))
            for progress in given.waves
        }
        self._down: set[MachineId] = set().union(*self._down_for.values())

    def _count_at_work(self) -> Counter[StepKey]:
        """Count the runs at work of each step, but for those about to be stopped."""
        counts: Counter[StepKey] = Counter()
        for name, runs in self._table.by_host.items():
            host = self._inputs.hosts.get(name)
            if host is None or not self._is_heard_of(host):
                continue
            stops = host.upkeep_stops or ()
            counts.update(
                run.task.step_key
                for run in runs.values()
                # Written out, since it is done for all runs.
                if run.percent >= READY_PERCENT
                and run.phase is RunPhase.RUNNING
                and (run.task, run.run) not in stops
            )
        return counts

    def _is_heard_of(self, host: Host) -> bool:
        """Return whether the runs of a host are known; otherwise they may have ended."""
        is_recent = host.reported and self._now - host.reported_at < self._inputs.cfg.silent_s
        return is_recent and self._now < host.silent_since

    def _is_at_work(self, run: Run) -> bool:
        """Return whether a run certainly serves, and is not being stopped."""
        host = self._inputs.hosts.get(run.host)
        is_ready = run.percent >= READY_PERCENT and run.phase is RunPhase.RUNNING
        return is_ready and host is not None and self._is_heard_of(host)

    def add_wave(self, progress: WaveProgress) -> None:
        """Plan the next steps of one wave."""
        pending = progress.pending(self._view)
        if not pending:
            self.plan.completed.append(progress.wave.wave)
            return
        self.plan.due.update(self._hosts[name] for name in pending if name in self._hosts)
        rounds = ceil(len(pending) / progress.wave.max_down)
        slack_s = progress.due_at - self._now - rounds * (self._given.upkeep_s + ROUND_S)
        for name in pending:
            # Its place is taken already; it stays empty, since the order may still take effect.
            if progress.order(name).in_doubt:
                self._empty(progress, name, slack_s)
        if not self._list_is_fresh():
            return
        free = progress.wave.max_down - len(self._down_for[progress.wave.wave])
        for name in self._ranked(progress, pending, slack_s):
            reason = self._hold_reason(progress, name)
            if reason:
                self.plan.held[UpkeepOrder(progress.wave.wave, name)] = reason
            elif free > 0:
                free -= 1
                self._empty(progress, name, slack_s)
            elif not self._empty_ahead(name):
                break

    def _list_is_fresh(self) -> bool:
        return self._now - self._view.requested_at <= MAX_LIST_AGE_S + 2 * self._view.took_s

    def _is_candidate(self, progress: WaveProgress, name: MachineId) -> bool:
        """Return whether a machine may be sent for upkeep next, as far as the service is known."""
        order, machine = progress.order(name), self._view.machines.get(name)
        return (
            machine is not None
            and machine.state is MachineState.UP
            and name not in self._taken
            and name not in self._given.fenced
            and name not in self._down
            and order.retry_at <= self._now
        )

    def _ranked(
        self, progress: WaveProgress, pending: Sequence[MachineId], slack_s: float
    ) -> list[MachineId]:
        """Return the machines that may go next, in order, as many as one plan looks at."""
        names = [name for name in pending if self._is_candidate(progress, name)]
        names.sort(key=lambda name: self._first_rank(progress, name))
        return sorted(names[:MAX_RANKED], key=lambda name: self._rank(progress, name, slack_s))

    def _first_rank(self, progress: WaveProgress, name: MachineId) -> tuple[bool, int, int]:
        """Return a sort key that does not look at single runs."""
        load = self._loads.get(self._hosts.get(name, HostId("")))
        emptied = progress.order(name).emptied
        return (not emptied, load.serving, load.runs) if load else (not emptied, 0, 0)

    def _runs(self, name: MachineId) -> Iterator[tuple[Run, Step]]:
        """Yield the runs on the host of a machine whose jobs are still to be served."""
        host = self._hosts.get(name)
        for run in self._table.by_host.get(host, {}).values() if host is not None else ():
            job = run.task.job
            if job not in self._steps:
                row = self._table.rows.get(job)
                is_served = row is not None and row.tasks and not row.to_be_stopped
                self._steps[job] = row.job.steps if row is not None and is_served else ()
            steps = self._steps[job]
            if steps:
                yield run, steps[run.task.step]

    def _rank(
        self, progress: WaveProgress, name: MachineId, slack_s: float
    ) -> tuple[bool, int, float, float]:
        """Return the sort key of a machine; the lowest goes first.

        A machine that is being emptied goes on. Then hosts with the fewest long-running tasks,
        of these where least work is lost, and of these where the last task ends soonest.
        """
        long_running, lost, longest_s = 0, 0.0, 0.0
        for run, step in self._runs(name):
            if step.long_running:
                long_running += 1
            elif not step.checkpoints:
                needed_s = remaining_s(run, step, self._now)
                longest_s = max(longest_s, needed_s)
                if needed_s > slack_s:
                    lost += (self._now - run.since) * step.size.cpu_milli
        return not progress.order(name).emptied, long_running, lost, longest_s

    def _hold_reason(self, progress: WaveProgress, name: MachineId) -> str:
        """Return why the tasks on a host could not all be stopped; empty if they could.

        A host that is being emptied already goes on, until it is given up for some time.
        """
        load = self._loads.get(self._hosts.get(name, HostId("")))
        if progress.order(name).emptied or (load is not None and not load.serving):
            return ""
        here: Counter[StepKey] = Counter()
        steps: dict[StepKey, Step] = {}
        for run, step in self._runs(name):
            if not step.long_running or step.max_unavailable is None:
                continue
            is_at_work = self._is_at_work(run)
            here[run.task.step_key] += is_at_work
            if is_at_work or self._now - run.since < MAX_STARTING_S:
                steps[run.task.step_key] = step
        for key, step in steps.items():
            count = here[key]
            limit, away = step.max_unavailable or 0, step.count - self._at_work[key]
            if not limit:
                return "a task may never be stopped"
            if away >= limit:
                return "enough tasks of a step are away"
            if away + count > limit and not self._has_room_elsewhere(key, step, name):
                return "no room for its tasks elsewhere"
        return ""

    def _has_room_elsewhere(self, key: StepKey, step: Step, name: MachineId) -> bool:
        """Return whether one more task of a step fits on another host.

        Also returns False if the plan has searched for room for too many steps already.
        """
        if key not in self._room:
            if len(self._room) >= MAX_ROOM_SEARCHES:
                return False
            self._room[key] = list(islice(self._hosts_with_room(key, step), 2))
        usable = [host for host in self._room[key] if host not in self.plan.stops]
        return any(host != self._hosts.get(name) for host in usable)

    def _hosts_with_room(self, key: StepKey, step: Step) -> Iterator[HostId]:
        queue = self._inputs.queues.get(self._table.rows[key[0]].job.queue)
        task = TaskKey(*key, 0)
        if queue is None:
            return
        for load in self._loads.values():
            if (
                load.host.host not in self.plan.stops
                and may_use(load, step, queue, self._inputs)
                and load.fits(step)
                and load.within_max_per_host(task, step)
            ):
                yield load.host.host

    def _empty(self, progress: WaveProgress, name: MachineId, slack_s: float) -> None:
        """Empty the host of a machine, and order its upkeep once nothing runs there."""
        order = UpkeepOrder(progress.wave.wave, name)
        self._taken.add(name)
        self.plan.emptied.add(order)
        host = self._hosts.get(name)
        if host is not None:
            stops = self._stops(order, host, slack_s)
            self.plan.stops[host] = stops
        state = progress.order(name)
        is_due = not state.in_flight and state.retry_at <= self._now
        may_order = is_due and name not in self._given.fenced
        if may_order and self._list_is_fresh() and self._is_empty(name):
            self.plan.orders.append(order)

    def _is_empty(self, name: MachineId) -> bool:
        """Return whether nothing certainly runs on the machine, as far as our runs go."""
        host = self._inputs.hosts.get(self._hosts.get(name, HostId("")))
        if host is None:
            since = self._view.unmatched_since.get(name, self._now)
            return self._now - since >= UNMATCHED_S + 2 * self._view.took_s
        if self._table.by_host.get(host.host) or host.unknown_runs:
            return False
        # An executor that has just attached may list runs that the table does not contain.
        return host.reported or not host.attached

    def _stops(self, order: UpkeepOrder, host: HostId, slack_s: float) -> frozenset[RunKey]:
        """Return the runs on a host that must stop now."""
        former = self._inputs.hosts[host].upkeep_stops or frozenset()
        stops: set[RunKey] = set()
        for run, step in self._runs(order.machine):
            key = (run.task, run.run)
            if key in former or self._may_stop(run, step, slack_s):
                stops.add(key)
            elif step.long_running:
                self.plan.stuck[order] += 1
        return frozenset(stops)

    def _may_stop(self, run: Run, step: Step, slack_s: float) -> bool:
        """Return whether a run is to be stopped now, and count it as away.

        A task without checkpoints may end by itself if the wave is in time nevertheless.
        """
        if not step.long_running:
            return step.checkpoints or remaining_s(run, step, self._now) > slack_s
        if step.max_unavailable is None or not self._is_at_work(run):
            return True
        key = run.task.step_key
        if step.count - self._at_work[key] >= step.max_unavailable:
            return False
        self._at_work[key] -= 1
        return True

    def _empty_ahead(self, name: MachineId) -> bool:
        """Keep a host free of new starts ahead of its turn; return False if enough are.

        Its long-running tasks move, one after another; all others go on.
        """
        load = self._loads.get(self._hosts.get(name, HostId("")))
        if load is None or load.host.facts is None:
            return True
        service = load.host.facts.service
        total = sum(_is_of(other, service) for other in self._loads.values())
        emptied = sum(_is_of(self._loads.get(other), service) for other in self.plan.stops)
        out = emptied + len(self._down)
        if out + 1 > total // HOSTS_PER_AHEAD:
            return False
        self._taken.add(name)
        host = load.host
        self.plan.stops[host.host] = frozenset()
        self.plan.stops[host.host] = frozenset(
            (run.task, run.run)
            for run, step in self._runs(name)
            if step.long_running
            and self._has_room_elsewhere(run.task.step_key, step, name)
            and ((run.task, run.run) in (host.upkeep_stops or ()) or self._may_stop(run, step, 0.0))
        )
        return True


def _is_of(load: HostLoad | None, service: ServiceId) -> bool:
    return load is not None and load.host.facts is not None and load.host.facts.service == service
