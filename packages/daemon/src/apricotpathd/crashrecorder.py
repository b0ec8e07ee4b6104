"""Records the crashes of executors at the tasks that were there."""

import logging
from collections.abc import Callable, Iterator
from typing import NamedTuple

from apricotpath.crashes import (
    BYSTANDER,
    Blame,
    CrashedRun,
    CrashHistory,
    CrashPart,
    CrashRate,
    assign_blame,
)
from apricotpath.errors import InputError
from apricotpath.ids import HostId
from apricotpath.jobmetrics import JobMetrics
from apricotpath.jobrows import Run
from apricotpath.jobtable import JobTable
from apricotpath.runrecords import Crashed, SuspectWaited
from apricotpath.suspectwaits import RECORD_INTERVAL_S, suspect_waits
from apricotpath.workload import TaskKey
from apricotpathd.hostevents import ExecutorName, ReportedCrash
from apricotpathd.hosttracker import HostTracker

log = logging.getLogger(__name__)

MAX_SUSPECTS_LOGGED = 10
# Lost runs whose crash may still be reported; a host reports one once its next executor is up.
MAX_LOST_RUNS = 10_000

Apply = Callable[[Crashed], None]


class _Order(NamedTuple):
    """When a run was ordered, or loaded (boot-clock seconds); `apart`: see `Run`."""

    at: float
    apart: bool


class CrashRecorder:
    """Turns the crashes that agents report into records; `started` is when the term began.

    Agents tell each scheduler their newest crashes. Those of before the term show what their runs
    are suspected of, but not how often executors crash by themselves: an earlier scheduler may
    have recorded the runs that caused them, or ended their jobs.
    """

    def __init__(
        self, table: JobTable, tracker: HostTracker, metrics: JobMetrics, started: float
    ) -> None:
        self._table, self._tracker, self._metrics = table, tracker, metrics
        self._started = started
        self._rate = CrashRate(started)
        self._waits_recorded_at = started
        self._loaded_at = float("-inf")
        self._lost_orders: dict[tuple[TaskKey, int], _Order] = {}

    def loaded(self, now: float) -> None:
        """Note that all runs in the table so far were ordered by earlier schedulers."""
        self._loaded_at = now

    def note_lost(self, run: Run) -> None:
        """Remember when a run was ordered that is lost; its crash may be reported later."""
        self._lost_orders[run.task, run.run] = _Order(run.since, run.apart)
        if len(self._lost_orders) > MAX_LOST_RUNS:
            del self._lost_orders[next(iter(self._lost_orders))]

    def process(self, apply: Apply, now: float) -> None:
        """Record the crashes that have been reported."""
        queued = self._tracker.crash_reports.queued
        while queued:
            self._process_one(queued.popleft(), apply, now)

    def record_waits(self, apply: Callable[[SuspectWaited], None], now: float) -> None:
        """Record at intervals how long suspects have waited."""
        if now - self._waits_recorded_at < RECORD_INTERVAL_S:
            return
        self._waits_recorded_at = now
        for record in suspect_waits(self._table, now):
            apply(record)

    def _process_one(self, reported: ReportedCrash, apply: Apply, now: float) -> None:
        host, crash, crashed_at = reported
        runs = list(self._runs_at_crash(reported, now))
        parts = assign_blame(runs, host)
        executor = ExecutorName(host, crash.instance, crash.born_ms)
        if self._tracker.crash_reports.crashed_with_others(executor):
            parts = dict.fromkeys(runs, BYSTANDER)
        suspects = [run for run, part in parts.items() if part.blame is Blame.SUSPECT]
        if crashed_at >= self._started:
            at_start = not any(parts[run].delayed for run in suspects)
            self._rate.add(now, host, frozenset(run.task.job for run in suspects), at_start)
            if not suspects and self._rate.on_host(host, now).crashes_by_itself:
                self._clear_suspicions(host, apply)
        self._metrics.executor_crashed()
        log.warning(
            "executor crashed",
            extra={
                "host": host,
                "instance": crash.instance,
                "ago_s": round(now - crashed_at, 3),
                "runs": len(crash.runs),
                "suspects": [str(run.task) for run in suspects[:MAX_SUSPECTS_LOGGED]],
                "suspect_count": len(suspects),
            },
        )
        for run, part in parts.items():
            self._record(run, part, apply)

    def _clear_suspicions(self, host: HostId, apply: Apply) -> None:
        """Take back the suspicions of crashes of a host that crashes by itself."""
        cleared = [
            Crashed(task, run, BYSTANDER)
            for task, history in self._table.crashes.items()
            for run in history.runs_suspected_on(host)
        ]
        if cleared:
            log.info("suspicions taken back", extra={"host": host, "runs": len(cleared)})
        for record in cleared:
            apply(record)

    def _runs_at_crash(self, reported: ReportedCrash, now: float) -> Iterator[CrashedRun]:
        """Yield the runs at a crash whose tasks are not done, except those recorded before."""
        hosts = len(self._tracker.hosts)
        own = self._rate.on_host(reported.host, now)
        for item in reported.crash.runs:
            try:
                key = TaskKey.parse(item.task)
            except InputError as exc:
                log.error("invalid run reported at a crash: %s", exc)
                continue
            task, history = self._table.task(key), self._table.crashes.get(key, CrashHistory())
            if task is None or task.done or item.run in history.parts:
                continue
            rate = self._rate.without(len(history.parts), hosts, now)
            ran_s = item.ran_ms / 1000
            run = task.runs.get(item.run)
            order = self._lost_orders.get((key, item.run))
            if run is not None:
                order = _Order(run.since, run.apart)
            yield CrashedRun(
                key,
                item.run,
                ran_s,
                history.suspected,
                max(rate, own.rate_without(key.job)),
                order is not None and self._is_apart(order, history),
                max(0.0, now - min(reported.at, order.at + ran_s)) if order is not None else 0.0,
            )

    def _is_apart(self, order: _Order, history: CrashHistory) -> bool:
        """Return whether a run was ordered long enough after its task's last suspicion.

        The times of what happened before the load are not known.
        """
        return history.is_apart(order.at) if order.at > self._loaded_at else order.apart

    def _record(self, run: CrashedRun, part: CrashPart, apply: Apply) -> None:
        """Record the part of a task in a crash; its job fails once it is to blame."""
        if part.blame is Blame.OUTLIVED and run.task not in self._table.crashes:
            return
        row = self._table.rows[run.task.job]
        given_up = row.to_be_stopped
        apply(Crashed(run.task, run.run, part))
        if row.failing and not given_up:
            history = self._table.crashes[run.task]
            log.warning(
                "job failed: its task crashes executors",
                extra={
                    "job": run.task.job,
                    "task": str(run.task),
                    "crashes": len(history.parts),
                    "suspicions": history.suspicions,
                    "chance": history.chance,
                },
            )
