"""Records the ends of runs that hosts report, and the runs that are lost."""

import logging
from collections.abc import Callable

from apricotpath.absences import AbsenceBasis, EndBasis
from apricotpath.errors import InputError
from apricotpath.fleet import Host
from apricotpath.jobmetrics import JobMetrics
from apricotpath.jobtable import JobTable
from apricotpath.messages import RunEnding
from apricotpath.runrecords import Ended
from apricotpath.slices import Slices
from apricotpath.workload import RunResult, TaskKey
from apricotpathd.absencelog import AbsenceLog
from apricotpathd.crashrecorder import CrashRecorder
from apricotpathd.hostevents import ExecutorName
from apricotpathd.hosttracker import HostTracker
from apricotpathd.schedulerbatch import Batch

log = logging.getLogger(__name__)

# Endings, and lost runs, that one pass records: about 80 kB of the run log.
MAX_ENDS_PER_PASS = 1000


class RunEnds:
    """Records ends; `wake` asks for another pass if some are left."""

    def __init__(
        self,
        table: JobTable,
        tracker: HostTracker,
        crashes: CrashRecorder,
        absences: AbsenceLog,
        metrics: JobMetrics,
        wake: Callable[[], None],
    ) -> None:
        self._table, self._tracker, self._crashes = table, tracker, crashes
        self._absences = absences
        self._metrics, self._wake = metrics, wake

    async def process_endings(self, batch: Batch, now: float, slices: Slices) -> None:
        """Record the reported endings.

        Of an executor that has restarted since, only done runs count: the next incarnation may
        be running the others, as its lists will tell.
        """
        endings = self._tracker.endings
        for _ in range(min(MAX_ENDS_PER_PASS, len(endings))):
            await slices.note()
            name, executor_incarnation, ending = endings.popleft()
            batch.acked_endings[ExecutorName(name, *executor_incarnation)] = ending.number
            try:
                key = TaskKey.parse(ending.task)
            except InputError as exc:
                log.error("invalid ending reported by host %s: %s", name, exc)
                continue
            host = self._tracker.hosts.get(name)
            if host is not None and host.executor_incarnation() == executor_incarnation:
                self._record_host_health(host, key, ending, now)
            elif ending.result is not RunResult.DONE:
                continue
            self._end_run(
                batch, Ended(key, ending.run, ending.result, ending.saved), AbsenceBasis.REPORT, now
            )
        if endings:
            self._wake()

    def _record_host_health(self, host: Host, key: TaskKey, ending: RunEnding, now: float) -> None:
        task = self._table.task(key)
        run = task.runs.get(ending.run) if task is not None else None
        if ending.result is RunResult.DONE:
            self._tracker.quarantine.record_success(host, key.job)
        elif ending.result is RunResult.FAILED and run is not None:
            self._tracker.record_failure(host, run, "runs fail", now)

    async def process_lost_runs(self, batch: Batch, now: float, slices: Slices) -> None:
        """Record the runs that are lost."""
        lost_runs = self._tracker.lost_runs
        for _ in range(min(MAX_ENDS_PER_PASS, len(lost_runs))):
            await slices.note()
            _, (key, run, reason, basis) = lost_runs.popitem(last=False)
            task = self._table.task(key)
            lost = task.runs.get(run) if task is not None else None
            if lost is None:
                continue
            self._crashes.note_lost(lost)
            log.info(
                "run lost: %s",
                reason,
                extra={
                    "task": str(key),
                    "run": run,
                    "host": lost.host,
                    "percent": lost.percent,
                    "saved": lost.saved,
                },
            )
            self._end_run(batch, Ended(key, run, RunResult.LOST, lost.saved), basis, now)
        if lost_runs:
            self._wake()

    def _end_run(self, batch: Batch, end: Ended, basis: EndBasis, now: float) -> None:
        """Record the end of a run, unless it is known and tells nothing new."""
        key, result = end.task, end.result
        task = self._table.task(key)
        if task is None or (
            end.run not in task.runs and (task.done or result is not RunResult.DONE)
        ):
            return
        row, run = self._table.rows[key.job], task.runs.get(end.run)
        self._metrics.run_ended(row.job.queue, result)
        batch.apply(end, now)
        if run is not None and not row.to_be_stopped:
            self._absences.on_ended(task, run, basis)
        log.info("run ended", extra={"task": str(key), "run": end.run, "result": result.value})
