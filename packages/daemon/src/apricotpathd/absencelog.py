"""Measures and logs for how long long-running tasks are away between two of their runs."""

import logging

from apricotpath.absences import MAX_ABSENCE_S, Absence, AbsenceBasis, EndBasis
from apricotpath.jobmetrics import JobMetrics
from apricotpath.jobrows import Run, Task
from apricotpath.jobtable import JobTable

log = logging.getLogger(__name__)


class AbsenceLog:
    """The absences of one term, which began at `started` (boot-clock seconds)."""

    def __init__(self, table: JobTable, metrics: JobMetrics, started: float) -> None:
        self._table, self._metrics, self._started = table, metrics, started
        self._loaded_at = float("inf")

    def on_loaded(self, now: float) -> None:
        """Count the tasks that earlier schedulers have left without a run as away."""
        self._loaded_at = now
        for key, task in self._table.waiting.items():
            if task.last_run and self._table.step_of(key).long_running:
                task.absence = Absence(self._started, AbsenceBasis.EARLIER_TERM)

    def on_ended(self, task: Task, run: Run, basis: EndBasis) -> None:
        """Note that a run of a task has ended."""
        if task.absence is not None or not self._table.step_of(task.key).long_running:
            return
        if not self._may_have_run(run) or any(other.was_reported for other in task.runs.values()):
            return
        task.absence = Absence(max(self._started, run.reported_at), basis)

    def _may_have_run(self, run: Run) -> bool:
        """Tell whether a run was reported, or ordered by an earlier scheduler."""
        return run.was_reported or run.since <= self._loaded_at

    def on_begun(self, run: Run, now: float) -> None:
        """Note that a run is at work, and measure the absence that it ends."""
        task = self._table.task(run.task)
        if task is None or task.absence is None:
            return
        away_s, basis = now - task.absence.since, task.absence.basis
        task.absence = None
        self._metrics.absence_ended(basis, away_s)
        if away_s > MAX_ABSENCE_S:
            extra = {"task": str(run.task), "run": run.run, "host": run.host}
            extra |= {"basis": basis.value, "away_s": round(away_s, 3)}
            log.warning("long-running task was away for long", extra=extra)
