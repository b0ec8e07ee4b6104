"""Load of each host during a placement pass, and which tasks a host may take."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from statistics import median

from apricotpath.commitments import SERVING_CPU_SHARE, Commitments, reserved_size
from apricotpath.crashes import OBSERVATION_S
from apricotpath.disturbance import LOW_IMPACT_PRESSURE, Pressures
from apricotpath.fleet import FleetSettings, Host
from apricotpath.gangturns import GangTurns
from apricotpath.ids import DataCentreId, HostId, JobId, QueueId
from apricotpath.jobrows import Run
from apricotpath.jobtable import JobTable
from apricotpath.model import Size
from apricotpath.steps import Steps, finish
from apricotpath.workload import Queue, Step, TaskKey

# Filler tasks are placed while the processors in use stay below this share of a host. Above 1
# they only slow each other down, which is better than slowing a serving task. On a host with
# serving tasks the share lies between PACED (filler tasks fully throttled) and UNPACED.
FILLER_SHARE_ALONE = 1.4
FILLER_SHARE_PACED = 0.6
FILLER_SHARE_UNPACED = 1.0
# Hosts that run tasks below this share of the median speed get new tasks last. Speeds are
# compared between hosts, since errors in the estimated run times affect all hosts alike.
SLOW_HOST_SHARE = 0.55

# A task that is suspected of crashes waits at most this long (seconds) for a host of its own.
MAX_SUSPECT_WAIT_S = 2.0

# Bytes of start orders that one pass may choose, which bounds its time, the records that it
# writes, and what it sends; and the bytes of an order besides its command.
MAX_PASS_BYTES = 512 << 10
ORDER_BYTES = 512

HOSTS_PER_STEP = 32

# Tasks may ask for nothing. So many runs still fit the messages of a host, of some 150 bytes each.
MAX_RUNS_PER_HOST = 2000

# A task is large if it takes at least one in this many parts of a host in a resource: gaps for
# smaller ones come often enough.
LARGE_PARTS = 8

OTHER_SERVICE = "of another service"


@dataclass(slots=True)
class PassBudget:
    """How many bytes of start orders a pass may still choose.

    An order takes about `ORDER_BYTES` and the command. A gang starts whole, beyond the budget
    if necessary.
    """

    left_bytes: int = MAX_PASS_BYTES

    @property
    def spent(self) -> bool:
        """Whether the pass may start nothing more."""
        return self.left_bytes <= 0

    def allowance(self, command: str) -> int:
        """Return how many tasks with a command the pass may still start."""
        return max(0, -(-self.left_bytes // _order_bytes(command)))

    def spend(self, command: str, starts: int) -> None:
        """Note that tasks with a command are started."""
        self.left_bytes -= starts * _order_bytes(command)


def _order_bytes(command: str) -> int:
    return ORDER_BYTES + len(command.encode())


@dataclass(frozen=True, slots=True)
class PlacementInput:
    """Inputs of a placement pass besides the job table.

    `now` is in boot-clock seconds, `utc_s` in UTC seconds.
    """

    hosts: Mapping[HostId, Host]
    queues: Mapping[QueueId, Queue]
    out_of_service: frozenset[DataCentreId]
    now: float
    utc_s: float
    cfg: FleetSettings
    # Estimates of how much filler tasks slow serving tasks down.
    pressures: Pressures = field(default_factory=Pressures)
    # Executors (instance id) that an advisory service allows for a task, or None if it has not
    # answered yet.
    advised: Callable[[TaskKey], frozenset[str] | None] = lambda _task: None
    budget: PassBudget = field(default_factory=PassBudget)
    gang_turns: GangTurns = field(default_factory=GangTurns)


@dataclass(slots=True)
class HostLoad(Commitments):
    """Resources committed on one host during a placement pass.

    `suspects` tells of how many crashes tasks are suspected. Such a task starts only on a
    host that is `kept_for` its job (a gang on others as well) and where no run of another job
    is `starting`. `observed` is the job of suspected tasks that are being observed; only others
    of these start on its host, since one that causes a crash ends the job. Suspects that are
    `held` start nowhere.
    """

    host: Host = field(kw_only=True)
    capacity: Size = field(kw_only=True)
    reserved: bool = False
    slow: bool = False
    pressures: Pressures = field(default_factory=Pressures)
    suspects: Mapping[TaskKey, int] = field(default_factory=dict)
    held: frozenset[TaskKey] = frozenset()
    kept_for: JobId | None = None
    observed: JobId | None = None
    # Impacts of images of filler tasks beside the present serving tasks.
    _impacts: dict[str, float] = field(default_factory=dict)

    def add_start(self, task: TaskKey, step: Step) -> None:
        """Commit one more task, which is to start now."""
        self.add_starts(task, step, 1)

    def add_starts(self, task: TaskKey, step: Step, count: int) -> None:
        """Commit some tasks of a step, which are to start now; `task` is one of them."""
        self.add(task, step, count)
        self.starting += count
        if step.long_running:
            self._impacts.clear()
        if task in self.suspects:
            self.observed = task.job

    def admits(self, task: TaskKey, step: Step) -> bool:
        """Return whether a task may start here beside tasks that are suspected of crashes.

        Members of a gang are suspected together, since none of them runs alone. Those that do
        not fit on the host kept for their job may start on others.
        """
        if task in self.held:
            return False
        if self.observed is not None:
            return self.observed == task.job and (step.gang or task in self.suspects)
        if task in self.suspects:
            kept = self.kept_for == task.job or (step.gang and self.kept_for is None)
            return kept and not self.starting
        return self.kept_for is None

    def restore(self, saved: "HostLoad") -> None:
        """Take back the tasks committed since `saved` was copied from this load."""
        self.copy_from(saved)
        self.observed = saved.observed
        self._impacts.clear()

    def fits(self, step: Step) -> bool:
        """Return whether one more task of a step fits without slowing the tasks already there."""
        limit = self.filler_share(step) * self.capacity.cpu_milli
        if step.filler and self.used + step.size.cpu_milli > limit:
            return False
        return self.has_resources_for(step)

    def filler_share(self, step: Step) -> float:
        """Return the share of processors in use up to which a step's filler tasks are placed."""
        if not self.serving:
            return FILLER_SHARE_ALONE
        # Tasks with a low impact on the serving tasks are throttled last.
        low_impact = self.impact(step) < LOW_IMPACT_PRESSURE
        unpaced = 1.0 if low_impact else self.host.filler_percent / 100
        return FILLER_SHARE_PACED + unpaced * (FILLER_SHARE_UNPACED - FILLER_SHARE_PACED)

    def impact(self, step: Step) -> float:
        """Return the highest pressure of a filler step on the serving tasks; 0 without any."""
        if not self.serving:
            return 0.0
        impact = self._impacts.get(step.image)
        if impact is None:
            impact = self.pressures.highest(step.image, self.serving_images)
            self._impacts[step.image] = impact
        return impact

    def has_resources_for(self, step: Step) -> bool:
        """Return whether the host has the resources that one more task of a step reserves."""
        # Asked for each host and group; sums of sizes would take most of the time of a pass.
        size, claimed, capacity = step.size, self.claimed, self.capacity
        return (
            (step.filler or claimed.cpu_milli + size.cpu_milli <= capacity.cpu_milli)
            and claimed.cpu_milli <= capacity.cpu_milli
            and claimed.memory_mb + size.memory_mb <= capacity.memory_mb
            and claimed.accelerators + size.accelerators <= capacity.accelerators
            and self.runs < MAX_RUNS_PER_HOST
        )

    def room_for(self, task: TaskKey, step: Step) -> int:
        """Return how many tasks of a step fit together, beside what is committed already."""
        size, capacity, claimed = step.size, self.capacity, self.claimed
        if not claimed.fits_in(capacity):
            return 0
        count = MAX_RUNS_PER_HOST - self.runs
        if size.memory_mb:
            count = min(count, (capacity.memory_mb - claimed.memory_mb) // size.memory_mb)
        if size.accelerators:
            free = capacity.accelerators - claimed.accelerators
            count = min(count, free // size.accelerators)
        if step.filler:
            left_milli = self.filler_share(step) * capacity.cpu_milli - self.used
            if left_milli < size.cpu_milli or left_milli < 0:
                return 0
            if size.cpu_milli:
                count = min(count, int(left_milli // size.cpu_milli))
        elif size.cpu_milli:
            count = min(count, (capacity.cpu_milli - claimed.cpu_milli) // size.cpu_milli)
        if step.max_per_host:
            count = min(count, step.max_per_host - self.steps.get(task.step_key, 0))
        return max(0, count)

    def can_make_room_for(self, step: Step) -> bool:
        """Return whether one more task of a step fits once all but long-running tasks end."""
        size, lasting, capacity = step.size, self.long_running, self.capacity
        reserved_milli = 0 if step.filler else size.cpu_milli
        return (
            size.fits_in(capacity)
            and reserved_milli + lasting.cpu_milli <= capacity.cpu_milli
            and size.memory_mb + lasting.memory_mb <= capacity.memory_mb
            and size.accelerators + lasting.accelerators <= capacity.accelerators
        )

    def most_room_for(self, step: Step) -> int:
        """Return how many more tasks of a step fit once all but long-running tasks end."""
        if not self.can_make_room_for(step):
            return 0
        need, left = reserved_size(step), self.capacity - self.long_running
        limits = [MAX_RUNS_PER_HOST]
        if need.cpu_milli:
            limits.append(left.cpu_milli // need.cpu_milli)
        if need.memory_mb:
            limits.append(left.memory_mb // need.memory_mb)
        if need.accelerators:
            limits.append(left.accelerators // need.accelerators)
        if step.filler and step.size.cpu_milli:
            used = self.long_running.cpu_milli * SERVING_CPU_SHARE
            most = FILLER_SHARE_UNPACED if self.serving else FILLER_SHARE_ALONE
            limits.append(int(most * self.capacity.cpu_milli - used) // step.size.cpu_milli)
        if step.max_per_host:
            limits.append(step.max_per_host)
        return max(0, min(limits))

    def within_max_per_host(self, task: TaskKey, step: Step) -> bool:
        """Return whether one more task of a step stays within the step's limit per host."""
        return not step.max_per_host or self.steps.get(task.step_key, 0) < step.max_per_host

    def share_used(self, more_milli: int = 0) -> float:
        """Return the share of processors in use after adding `more_milli` (1000 = one core)."""
        return (self.used + more_milli) / max(1, self.capacity.cpu_milli)

    def share_claimed(self) -> float:
        """Return the share of the processors that tasks reserve."""
        return self.claimed.cpu_milli / max(1, self.capacity.cpu_milli)


def is_large(step: Step, capacity: Size) -> bool:
    """Return whether a task takes a large part of a host of a capacity."""
    size = step.size
    return (
        LARGE_PARTS * size.cpu_milli >= capacity.cpu_milli
        or LARGE_PARTS * size.memory_mb >= capacity.memory_mb
        or size.accelerators > 0
    )


def host_loads(table: JobTable, inputs: PlacementInput) -> dict[HostId, HostLoad]:
    """Return the load of every host whose executor has attached."""
    return finish(load_in_steps(table, inputs))


def load_in_steps(table: JobTable, inputs: PlacementInput) -> Steps[dict[HostId, HostLoad]]:
    """Do the same in steps; each load is that of the moment at which its step is done."""
    loads = {}
    suspects = _suspects(table, inputs.now)
    held = frozenset(key for key in suspects if table.crashes[key].held_until > inputs.now)
    for number, host in enumerate(inputs.hosts.values(), start=1):
        if number % HOSTS_PER_STEP == 0:
            yield
        if host.facts is None:
            continue
        load = HostLoad(
            host=host,
            capacity=host.facts.capacity,
            pressures=inputs.pressures,
            suspects=suspects,
            held=held,
        )
        load.copy_from(table.commitments(host.host))
        for run in table.by_host.get(host.host, {}).values() if suspects else ():
            if run.task in suspects and _is_observed(table, run, inputs.now):
                load.observed = run.task.job
        loads[host.host] = load
    yield
    if loads:
        median_speed = median(load.host.speed for load in loads.values())
        for load in loads.values():
            load.slow = load.host.speed < SLOW_HOST_SHARE * median_speed
    return loads


def _suspects(table: JobTable, now: float) -> dict[TaskKey, int]:
    """Return of how many crashes tasks are suspected that must start apart from others.

    One that has waited for too long starts like any other: most suspects are innocent.
    """
    return {
        key: history.suspicions
        for key, history in table.crashes.items()
        if history.suspected and not _is_overdue(table, key, now)
    }


def _is_overdue(table: JobTable, key: TaskKey, now: float) -> bool:
    task = table.waiting.get(key)
    if task is None:
        return False
    since = max(task.waiting_since, table.crashes[key].held_until)
    return now - since > MAX_SUSPECT_WAIT_S


def _is_observed(table: JobTable, run: Run, now: float) -> bool:
    """Return whether a suspected task is still kept apart from others."""
    if table.crashes[run.task].delayed and now - run.since < OBSERVATION_S:
        return True
    return not run.survived


def may_use(load: HostLoad, step: Step, queue: Queue, inputs: PlacementInput) -> bool:
    """Return whether a step's tasks may start on a host, regardless of free resources."""
    return not exclusion_reason(load, step, queue, inputs)


def exclusion_reason(load: HostLoad, step: Step, queue: Queue, inputs: PlacementInput) -> str:
    """Return why a step's tasks may not start on a host; empty if they may.

    Free resources are not checked.
    """
    facts = load.host.facts
    if facts is None or facts.service != queue.service:
        return OTHER_SERVICE
    if facts.data_centre in inputs.out_of_service:
        return "data centre taken out"
    if step.label and step.label not in facts.labels:
        return "without the label"
    if load.host.unknown_runs and not queue.guards_capacity:
        return "unknown runs"
    return load.host.exclusion_reason(inputs.now, inputs.cfg.silent_s)
