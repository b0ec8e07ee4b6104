"""Where a job would go if it were submitted now, and why: a pass of placement on a copy.

Handles one job at a time, in about the time of a pass of the scheduler. That pass is the one that
decides on starts, in steps between which the scheduler goes on; what it reads is shared with the
scheduler, and what it changes is copied.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import NamedTuple

from apricotpath.earlieststart import Candidate, earliest_start
from apricotpath.fleet import Host
from apricotpath.forecasts import HostForecast, forecast
from apricotpath.hostload import HOSTS_PER_STEP, HostLoad, PlacementInput, may_use
from apricotpath.ids import HostId, JobId
from apricotpath.joborder import GROUPS_PER_STEP, WaitingGroup
from apricotpath.jobtable import JobTable
from apricotpath.runplacement import Placement, can_fit_whole, place_in_steps
from apricotpath.steps import Steps, finish
from apricotpath.waitreasons import trial_reason
from apricotpath.workload import Job, Step

# No accepted job has this id.
TRIAL_JOB = JobId("dry-run")
# Steps of a job whose hosts are looked at; starts of the others are only counted.
MAX_STEPS_EXPLAINED = 4
# Hosts of which the ends of runs are forecast for a step, those with most room first, and the runs
# on them.
MAX_HOSTS_FORECAST = 100
MAX_RUNS_FORECAST = 600


class Outcome(Enum):
    """What becomes of a job, or of the tasks of a step, that is submitted now."""

    PLACED = "placed"
    WAITING = "waiting"
    REFUSED = "refused"


class WaitCause(Enum):
    """Why tasks of a step wait, as far as hosts do not tell."""

    NOT_DUE = "the first occurrence is not due yet"
    EARLIER_STEPS = "earlier steps must be done first"
    LATER_PASS = "the pass has no time or budget left for the step; a later pass looks at it"
    ADVICE = "the advisory service of the queue has not answered"
    NO_HOST = "no host may run it now, whatever is free"
    TOO_LARGE = "it fits no host that may run it, even once all but long-running tasks end"
    ROOM = "no host that may run it has room now"
    NOT_EXPLAINED = "only the first steps that a pass looks at are explained"


class GroupAhead(NamedTuple):
    """Tasks of another job's step that come first and wait too."""

    job: JobId
    step: int
    tasks: int


@dataclass(slots=True)
class StepTrial:
    """What a pass does with the tasks of a step.

    `tasks` are those of the step, `due` those that would wait to be placed at once. `placed`
    counts starts by host. `ruled_out` has by reason the hosts that were not chosen or, if tasks
    wait, that take no more. `not_before_s`: the
    seconds after which there is room by the expected ends of runs if nothing else starts; None
    if that is not known, or never.
    """

    number: int
    step: Step
    due: int = 0
    cause: WaitCause | None = None
    placed: Counter[HostId] = field(default_factory=Counter)
    ruled_out: dict[str, list[HostId]] = field(default_factory=dict)
    ahead: tuple[GroupAhead, ...] = ()
    not_before_s: float | None = None

    @property
    def outcome(self) -> Outcome:
        """PLACED if all tasks that are due start now, else WAITING."""
        return Outcome.WAITING if self.cause is not None else Outcome.PLACED


@dataclass(frozen=True, slots=True)
class JobTrial:
    """What a pass does with a job; without `steps` it is not due before `not_before_s` (seconds).

    `cause` tells why no step was tried; the steps have causes of their own.
    """

    steps: tuple[StepTrial, ...]
    not_before_s: float | None = None
    cause: WaitCause | None = None

    @property
    def outcome(self) -> Outcome:
        """PLACED if all tasks that are due start now, else WAITING."""
        due = [step for step in self.steps if step.due]
        waits = not due or any(step.outcome is Outcome.WAITING for step in due)
        return Outcome.WAITING if waits else Outcome.PLACED


def try_job(table: JobTable, job: Job, inputs: PlacementInput) -> JobTrial:
    """Return what a pass would do with a job that has just been accepted; changes nothing.

    Of a job with a schedule, the first occurrence is tried.
    """
    return finish(try_in_steps(table, job, inputs))


def try_in_steps(table: JobTable, job: Job, inputs: PlacementInput) -> Steps[JobTrial]:
    """Do the same in steps, between which the table and the hosts may change.

    The tasks that wait and the hosts are those found at first; loads and states of hosts are those
    of the moment at which a step looks at them.
    """
    schedule = replace(job.schedule, times=1) if job.schedule is not None else None
    job = replace(job, job_id=TRIAL_JOB, schedule=schedule, accepted_s=inputs.utc_s)
    inputs = replace(inputs, hosts=dict(inputs.hosts), gang_turns=inputs.gang_turns.copy())
    trial = yield from _copy_for_trial(table)
    row = yield from trial.add_in_steps(job, inputs.now)
    trial.open_due(inputs.utc_s, inputs.now)
    if row is None or not row.steps:
        return JobTrial((), max(0.0, job.due_s(0) - inputs.utc_s), WaitCause.NOT_DUE)
    watch = _Watch(trial, inputs)
    yield
    yield from place_in_steps(trial, inputs, watch)
    steps = enumerate(job.steps)
    found = tuple(watch.found.get(n) or _unseen(trial, n, step) for n, step in steps)
    # To free them all at once takes long.
    while trial.waiting_steps:
        trial.waiting_steps.popitem()
        yield
    return JobTrial(found)


def _copy_for_trial(table: JobTable) -> Steps[JobTable]:
    """Return a table to which a job may be added without changing the given one.

    It shares the jobs, tasks and runs there are, so that no record may be applied to it.
    """
    other = JobTable()
    other.rows, other.waiting = table.rows.copy(), table.waiting.copy()
    other.index, other.by_host = table.index, table.by_host
    other.crashes, other.queues = table.crashes.copy(), table.queues
    for number, (key, tasks) in enumerate(list(table.waiting_steps.items()), start=1):
        if number % GROUPS_PER_STEP == 0:
            yield
        # Those of a step may all have started meanwhile.
        if tasks:
            other.waiting_steps[key] = tasks.copy()
    return other


def _unseen(table: JobTable, number: int, step: Step) -> StepTrial:
    """Return what is known of a step that the pass has not looked at."""
    due = len(table.waiting_steps.get((TRIAL_JOB, 0, number), ()))
    cause = WaitCause.LATER_PASS if due else WaitCause.EARLIER_STEPS
    return StepTrial(number, step, due, cause)


class _Watch:
    """Collects what a pass does with the steps of the trial job, and what comes before them."""

    def __init__(self, table: JobTable, inputs: PlacementInput) -> None:
        self.found: dict[int, StepTrial] = {}
        self._table, self._inputs = table, inputs
        # Steps share these, since most of them may use the same hosts.
        self._forecasts: dict[HostId, HostForecast] = {}
        self._ahead: list[GroupAhead] = []

    def __call__(
        self,
        group: WaitingGroup,
        loads: Mapping[HostId, HostLoad],
        placed: Sequence[Placement],
    ) -> Steps[None]:
        """Note a group that the pass has looked at."""
        job, _, number = group.key
        if job != TRIAL_JOB:
            if len(placed) < len(group.tasks):
                left = len(group.tasks) - len(placed)
                self._ahead.append(GroupAhead(job, number, left))
            return
        due = len(self._table.waiting_steps[group.key])
        found = StepTrial(number, group.step, due)
        found.placed.update(placement.host for placement in placed)
        found.ahead = tuple(self._ahead)
        explained = len(self.found) < MAX_STEPS_EXPLAINED
        if len(placed) < due:
            cause = self._cause(group, loads.values()) if explained else WaitCause.NOT_EXPLAINED
            found.cause = cause
        if explained:
            yield from self._explain(found, group, loads)
        self.found[number] = found

    def _cause(self, group: WaitingGroup, loads: Iterable[HostLoad]) -> WaitCause:
        allowed = self._allowed(group, loads)
        if not allowed:
            return WaitCause.NO_HOST
        step = group.step
        possible = any(load.can_make_room_for(step) for load in allowed)
        if not possible or not can_fit_whole(group, allowed):
            return WaitCause.TOO_LARGE
        if group.queue.advised and self._inputs.advised(group.tasks[0].key) is None:
            return WaitCause.ADVICE
        return WaitCause.LATER_PASS if self._inputs.budget.spent else WaitCause.ROOM

    def _explain(
        self, found: StepTrial, group: WaitingGroup, loads: Mapping[HostId, HostLoad]
    ) -> Steps[None]:
        """Add why hosts were not chosen, or take no more, and when there is room."""
        waits = found.cause is not None
        for number, (name, load) in enumerate(loads.items(), start=1):
            if number % HOSTS_PER_STEP == 0:
                yield
            if waits or name not in found.placed:
                reason = trial_reason(load, group, self._inputs, waits)
                found.ruled_out.setdefault(reason, []).append(name)
        if found.cause is WaitCause.ROOM:
            found.not_before_s = yield from self._not_before_s(group, loads.values())

    def _not_before_s(self, group: WaitingGroup, loads: Iterable[HostLoad]) -> Steps[float | None]:
        """Return in how many seconds there is room, as far as the ends of runs are forecast."""
        now, left = self._inputs.now, MAX_RUNS_FORECAST
        candidates = []
        allowed = sorted(self._allowed(group, loads), key=HostLoad.share_claimed)
        for load in allowed[:MAX_HOSTS_FORECAST]:
            if left <= 0:
                break
            left -= load.runs
            yield
            if load.within_max_per_host(group.tasks[0].key, group.step):
                candidates.append(Candidate(load, self._forecast(load.host)))
        yield
        at = earliest_start(group.step, candidates, now)
        return max(0.0, at - now) if at is not None else None

    def _forecast(self, host: Host) -> HostForecast:
        found = self._forecasts.get(host.host)
        if found is None:
            found = forecast(self._table, host, self._inputs.now)
            self._forecasts[host.host] = found
        return found

    def _allowed(self, group: WaitingGroup, loads: Iterable[HostLoad]) -> list[HostLoad]:
        """Return the hosts on which a group's tasks may start, regardless of free resources."""
        return [load for load in loads if may_use(load, group.step, group.queue, self._inputs)]
