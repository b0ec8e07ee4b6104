"""Stops runs that must not continue on their current host."""

import logging
from collections.abc import Callable, Sequence

from apricotpath.fleet import Host
from apricotpath.gangs import Gang
from apricotpath.hostload import PlacementInput, host_loads
from apricotpath.ids import TaskId
from apricotpath.jobrows import Run, RunPhase
from apricotpath.jobtable import JobTable
from apricotpath.messages import RunName, StopRuns
from apricotpath.runmoves import serving_runs_to_consolidate, slow_runs, stalled
from apricotpath.slices import RUNS_PER_OPERATION, Slices
from apricotpathd.hosttracker import STOP_RESEND_S, HostTracker

log = logging.getLogger(__name__)

# Runs on a draining executor are stopped this long before it exits, so that they checkpoint.
LEAVE_LEAD_S = 1.0
MOVE_INTERVAL_S = 1.0
# Time for one serving task to run again before the next one is moved.
CONSOLIDATE_INTERVAL_S = 2.0
# Executors end the other members of a gang by themselves when one has ended. Those that are left
# after this time are stopped, too.
BREAK_S = 1.0
# Stop orders of one message: about 20 kB.
STOPS_PER_MESSAGE = 400


def _must_break(run: Run, gang: Gang, now: float) -> bool:
    """Tell whether a run of a gang that is done or incomplete must be stopped, and note the first.

    Executors end the members of a gang at work by themselves. If it waits for members that do
    not come, only one member is stopped until BREAK_S has passed, as the executors end the others.
    """
    if now - gang.ended_at > BREAK_S:
        return True
    if run.percent > run.first_percent or run.phase is not RunPhase.RUNNING:
        return False
    first = gang.stopped_run < run.run
    gang.stopped_run = max(gang.stopped_run, run.run)
    return first


class RunStops:
    """Sends stop orders, and repeats each until the run has ended."""

    def __init__(self, table: JobTable, tracker: HostTracker, now: float) -> None:
        self._table, self._tracker = table, tracker
        self._moved_at = self._consolidated_at = now

    async def send(self, inputs: PlacementInput, slices: Slices, may_move: bool = True) -> None:
        """Send stop orders that are due for runs that must not continue, or that move."""
        now = inputs.now
        await self._stop(lambda run, host: self._must_stop(run, host, now), now, slices)
        # Moves are chosen afterwards, so that they count the runs stopped above.
        moved = self._runs_to_move(inputs) if may_move else []
        if moved:
            await self._stop(lambda run, _host: run in moved, now, slices)

    async def _stop(self, selects: Callable[[Run, Host], bool], now: float, slices: Slices) -> None:
        """Send the stop orders of the selected runs that are due; other tasks run in between."""
        for name, runs in list(self._table.by_host.items()):
            await slices.note(len(runs) // RUNS_PER_OPERATION)
            host = self._tracker.hosts.get(name)
            if host is None or not host.reported:
                continue
            stops = [run for run in runs.values() if selects(run, host)]
            due = [run for run in stops if now - run.stop_sent_at > STOP_RESEND_S]
            for first in range(0, len(due), STOPS_PER_MESSAGE):
                self._order(host, due[first : first + STOPS_PER_MESSAGE], now)
                await slices.note(STOPS_PER_MESSAGE // RUNS_PER_OPERATION)
                if not host.reported:
                    break

    def _order(self, host: Host, due: Sequence[Run], now: float) -> None:
        """Send one message of stop orders."""
        for run in due:
            run.stop_sent_at = now
            run.phase = RunPhase.STOPPING
        names = tuple(RunName(TaskId(str(run.task)), run.run) for run in due)
        log.info("runs stopped", extra={"host": host.host, "tasks": [item.task for item in names]})
        self._tracker.send(host, StopRuns(host.fence, names))

    def _runs_to_move(self, inputs: PlacementInput) -> list[Run]:
        """Return runs that should move to another host; searched for once per second."""
        if inputs.now - self._moved_at < MOVE_INTERVAL_S:
            return []
        self._moved_at = inputs.now
        for host in self._tracker.hosts.values():
            host.recover_speed()
        loads = host_loads(self._table, inputs)
        moved = slow_runs(self._table, inputs, loads)
        if inputs.now - self._consolidated_at >= CONSOLIDATE_INTERVAL_S:
            consolidated = serving_runs_to_consolidate(self._table, inputs, loads)
            for run in consolidated:
                self._consolidated_at = inputs.now
                log.info(
                    "serving task moved to free its host for filler tasks",
                    extra={"task": str(run.task), "run": run.run, "host": run.host},
                )
            moved += consolidated
        return moved

    def _must_stop(self, run: Run, host: Host, now: float) -> bool:
        row = self._table.rows.get(run.task.job)
        if row is None or row.to_be_stopped or run.task not in row.tasks:
            return True
        task = row.tasks[run.task]
        if run.phase is RunPhase.STOPPING:
            return True
        if task.gang is not None and (task.done or task.gang.incomplete):
            # An incomplete gang starts again as a whole once all of its runs have ended.
            return _must_break(run, task.gang, now)
        if task.done:
            return True
        if host.upkeep_stops is not None and (run.task, run.run) in host.upkeep_stops:
            return True
        step = row.step(run.task)
        if host.draining:
            return step.long_running or now > host.leaves_at - LEAVE_LEAD_S
        if run.phase is RunPhase.RUNNING and stalled(run, step):
            log.warning("run makes no progress", extra={"task": str(run.task), "host": host.host})
            self._tracker.record_failure(host, run, "runs stall", now)
            return True
        return False
