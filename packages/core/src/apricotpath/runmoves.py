"""Speculative copies, migrations and stall detection of runs: pure functions over the tables."""

from collections.abc import Iterable, Mapping

from apricotpath.crashes import OBSERVATION_S
from apricotpath.disturbance import LOW_IMPACT_PRESSURE
from apricotpath.fleet import Host
from apricotpath.hostload import HostLoad, PlacementInput, host_loads, may_use
from apricotpath.ids import HostId
from apricotpath.joborder import WaitingGroup
from apricotpath.jobrows import READY_PERCENT, Run, RunPhase, Task
from apricotpath.jobtable import JobTable
from apricotpath.runplacement import Placement, choose_host
from apricotpath.workload import Queue, Step

# A task is migrated if, at its present rate, it needs this many times as long as on a host that
# does not slow it down. Runs younger than MOVE_AFTER_S are not considered.
MOVE_FACTOR = 1.5
MOVE_AFTER_S = 2.0
# Cost of a migration: stop, restart and the work repeated since the newest checkpoint.
MOVE_COST_S = 1.0
MAX_MOVES_PER_PASS = 3
# A host with at most this many serving tasks is cleared for filler tasks if the serving tasks fit
# elsewhere. Runs younger than CONSOLIDATE_AFTER_S are not moved.
MAX_CONSOLIDATED = 2
CONSOLIDATE_AFTER_S = 3.0
# A speculative task gets a second run after COPY_MIN_S plus COPY_FACTOR times its estimate.
COPY_FACTOR = 1.6
COPY_MIN_S = 0.4
# A run without progress for this long is stopped. The factor applies to one hundredth of the
# estimated run time, which is the time of one percent of progress.
STALL_MIN_S = 2.5
STALL_FACTOR = 20.0


def place_copies(table: JobTable, inputs: PlacementInput) -> list[Placement]:
    """Return second runs to start for speculative tasks that take much longer than estimated."""
    loads: dict[HostId, HostLoad] = {}
    copies = []
    for row in table.rows.values():
        queue = inputs.queues.get(row.job.queue)
        if (
            queue is None
            or row.to_be_stopped
            or not any(step.speculative for step in row.job.steps)
        ):
            continue
        for task in row.tasks.values():
            step = row.step(task.key)
            # A second run would let the task crash two executors at once.
            if _is_suspected(table, task) or not _needs_copy(task, step, queue, inputs.now):
                continue
            (run,) = task.runs.values()
            if _may_have_crashed_executor(run, inputs.hosts.get(run.host), inputs.now):
                continue
            loads = loads or host_loads(table, inputs)
            current_host = run.host
            group = WaitingGroup(row, step, queue, [task])
            allowed = [
                load
                for load in loads.values()
                if load.host.host != current_host and may_use(load, step, queue, inputs)
            ]
            load = choose_host(group, task, allowed)
            if load is not None:
                load.add_start(task.key, step)
                copies.append(Placement(task.key, task.last_run + 1, load.host.host))
    return copies


def _is_suspected(table: JobTable, task: Task) -> bool:
    history = table.crashes.get(task.key)
    return history is not None and history.suspicions > 0


def _may_have_crashed_executor(run: Run, host: Host | None, now: float) -> bool:
    """Return whether a run's executor stopped answering soon after the start of the run.

    Its agent reports a crash once the next executor is there; without one, the run is lost when
    its lease expires.
    """
    if host is None or not host.attached or (host.reported and now < host.silent_since):
        return False
    return host.reported_at - run.since < OBSERVATION_S


def _needs_copy(task: Task, step: Step, queue: Queue, now: float) -> bool:
    if not step.speculative or step.gang or task.done or len(task.runs) != 1 or queue.advised:
        return False
    if len(task.failed_runs) >= queue.attempts:
        return False
    (run,) = task.runs.values()
    return now - run.since > COPY_MIN_S + COPY_FACTOR * step.estimate_s


def slow_runs(
    table: JobTable, inputs: PlacementInput, loads: Mapping[HostId, HostLoad]
) -> list[Run]:
    """Return runs to stop because they would finish much sooner on another host.

    They are added to the load of that host, so that later moves leave them room.
    """
    selected: list[Run] = []
    for load in loads.values():
        slowed_by_serving = load.serving > 0 and load.fillers > 0
        if not slowed_by_serving and not load.slow:
            continue
        for run in table.by_host.get(load.host.host, {}).values():
            row = table.rows.get(run.task.job)
            queue = inputs.queues.get(row.job.queue) if row else None
            if row is None or queue is None or not row.tasks or row.to_be_stopped:
                continue
            step = row.step(run.task)
            if not _is_slow(run, step, load, inputs.now):
                continue
            better = _better_host(load, step, queue, loads.values(), inputs)
            if better is None:
                continue
            better.add(run.task, step)
            selected.append(run)
            if len(selected) == MAX_MOVES_PER_PASS:
                return selected
    return selected


def _better_host(
    current: HostLoad, step: Step, queue: Queue, loads: Iterable[HostLoad], inputs: PlacementInput
) -> HostLoad | None:
    """Return a host on which a task fits and that does not slow it down, or None."""
    for load in loads:
        if load is current or load.slow:
            continue
        if step.filler and load.impact(step) >= LOW_IMPACT_PRESSURE:
            continue
        if may_use(load, step, queue, inputs) and load.fits(step):
            return load
    return None


def serving_runs_to_consolidate(
    table: JobTable, inputs: PlacementInput, loads: Mapping[HostId, HostLoad]
) -> list[Run]:
    """Return at most one serving run to stop so that its host can be cleared for filler tasks.

    A host qualifies if it has few serving tasks and all of them fit on hosts
    with more serving tasks. Nothing moves while no filler task would benefit.
    """
    if not any(load.fillers for load in loads.values()):
        return []
    lightly_loaded = [load for load in loads.values() if 0 < load.serving <= MAX_CONSOLIDATED]
    for load in sorted(lightly_loaded, key=HostLoad.share_claimed):
        others = [
            other
            for other in loads.values()
            if other.serving > load.serving and not other.host.upkeep_due
        ]
        runs = [
            run
            for run in table.by_host.get(load.host.host, {}).values()
            if table.step_of(run.task).long_running and not table.step_of(run.task).filler
        ]
        # A host that is itself to be cleared later must not be the target of one cleared earlier.
        if all(_may_move_serving(table, run, inputs) for run in runs) and _fit_on(
            table, runs, others, inputs
        ):
            return runs[:1]
    return []


def _fit_on(
    table: JobTable, runs: list[Run], others: list[HostLoad], inputs: PlacementInput
) -> bool:
    """Return whether all runs fit on the other hosts; runs that fit are added to their loads."""
    for run in runs:
        row = table.rows[run.task.job]
        queue, task = inputs.queues[row.job.queue], row.tasks[run.task]
        step = row.step(run.task)
        group = WaitingGroup(row, step, queue, [task])
        eligible = [load for load in others if may_use(load, step, queue, inputs)]
        selected = choose_host(group, task, eligible)
        if selected is None:
            return False
        selected.add(run.task, step)
    return True


def _may_move_serving(table: JobTable, run: Run, inputs: PlacementInput) -> bool:
    """Return whether a serving run may be stopped: all tasks of its step must be ready."""
    row = table.rows[run.task.job]
    step = row.step(run.task)
    if (
        row.to_be_stopped
        or row.job.queue not in inputs.queues
        or inputs.queues[row.job.queue].advised
    ):
        return False
    if step.gang or step.max_unavailable == 0 or inputs.now - run.since < CONSOLIDATE_AFTER_S:
        return False
    members = list(row.members(run.task))
    return len(members) == step.count and all(
        any(
            other.phase is RunPhase.RUNNING and other.percent >= READY_PERCENT
            for other in member.runs.values()
        )
        for member in members
    )


def _is_slow(run: Run, step: Step, load: HostLoad, now: float) -> bool:
    """Return whether a run would finish much sooner on a host that does not slow it down."""
    if step.long_running or step.gang or run.phase is not RunPhase.RUNNING:
        return False
    ran_s = now - run.since
    if ran_s < MOVE_AFTER_S or not (step.filler or load.slow):
        return False
    rate = max(0.1, run.percent - run.first_percent) / ran_s
    kept = run.percent if step.checkpoints else 0
    elsewhere_s = MOVE_COST_S + step.estimate_s * (100 - kept) / 100
    return (100 - run.percent) / rate > MOVE_FACTOR * elsewhere_s


def stalled(run: Run, step: Step) -> bool:
    """Return whether a run makes no progress although its executor still reports it."""
    if step.gang or step.long_running or step.filler:
        return False
    expected = max(STALL_MIN_S, STALL_FACTOR * step.estimate_s / 100)
    return run.stalled_s > expected
