"""Ends of jobs: their final states, their attempts, and when they are forgotten."""

import logging
from collections import deque
from collections.abc import Mapping

from apricotpath.fleet import FleetSettings
from apricotpath.ids import JobId, QueueId
from apricotpath.jobcodec import ended_text
from apricotpath.jobkeys import JobKeys
from apricotpath.jobmetrics import JobMetrics
from apricotpath.joborder import objective_s
from apricotpath.jobtable import JobTable
from apricotpath.runlog import MAX_EXTRA
from apricotpath.runrecords import JobEnded
from apricotpath.store import Delete, Put
from apricotpath.workload import Job, Queue, TaskKey

log = logging.getLogger(__name__)

# Interval of the scan over all jobs for expired ones.
FORGET_INTERVAL_S = 0.5
# Open tasks of the jobs that one pass ends, and tasks whose attempts one pass counts.
MAX_TASKS_ENDED = 5000
MAX_RETRIES_CHECKED = 500


class JobEnds:
    """Decides when jobs have failed, and makes the operations that end and forget jobs."""

    def __init__(
        self,
        table: JobTable,
        keys: JobKeys,
        cfg: FleetSettings,
        metrics: JobMetrics,
        now: float,
    ) -> None:
        self._table, self._keys, self._cfg, self._metrics = table, keys, cfg, metrics
        self._forgot_at = now
        self.cancel_keys: set[JobId] = set()
        self._queues: Mapping[QueueId, Queue] = {}

    def fail_exhausted(self, queues: Mapping[QueueId, Queue]) -> bool:
        """Fail jobs with a waiting task that has failed as often as its queue allows.

        Its last failure may be older than this term, or than the queue's return to the rules.
        Returns whether all of these tasks are checked; until then none may start.
        """
        if queues != self._queues:
            self._queues = dict(queues)
            self._check_retries()
        for _ in range(MAX_RETRIES_CHECKED):
            if not self._table.retries:
                return True
            key = self._table.retries.popleft()
            row = self._table.rows.get(key.job)
            if row is None or row.to_be_stopped or key not in self._table.waiting:
                continue
            queue = queues.get(row.job.queue)
            if queue is not None and self._out_of_attempts(key, queue.attempts):
                log.info(
                    "job failed",
                    extra={"job": key.job, "task": str(key), "attempts": queue.attempts},
                )
                self._table.fail(key.job)
        return not self._table.retries

    def _check_retries(self) -> None:
        """Have the attempts counted again of all waiting tasks that have failed before."""
        waiting = self._table.waiting
        self._table.retries = deque(key for key, task in waiting.items() if task.failed_runs)

    def _out_of_attempts(self, key: TaskKey, attempts: int) -> bool:
        """Return whether a task, or its gang, has used up its queue's attempts."""
        row = self._table.rows[key.job]
        return not row.step(key).long_running and row.tasks[key].failures() >= attempts

    def due(self, room: int) -> list[JobEnded]:
        """Return the records of jobs to end now, for which the append has room."""
        ended: list[JobEnded] = []
        tasks = 0
        for job, progress in self._table.to_end.items():
            if len(ended) >= room or tasks >= MAX_TASKS_ENDED:
                break
            tasks += len(self._table.rows[job].tasks)
            ended.append(JobEnded(job, progress))
        return ended

    def note_ended(self, record: JobEnded, job: Job, utc_s: float) -> Put:
        """Log and count the end of a job; return the operation that stores its final state."""
        took_s = max(0.0, utc_s - job.accepted_s)
        queue = self._queues.get(job.queue)
        self._metrics.job_ended(job.queue, record.progress, took_s)
        log.info(
            "job ended",
            extra={
                "job": record.job,
                "queue": job.queue,
                "progress": record.progress.value,
                "took_s": round(took_s, 3),
                "objective_s": round(objective_s(job, queue), 3) if queue is not None else 0.0,
            },
        )
        text = ended_text(record.job, job.queue, record.progress)
        return Put(self._keys.job(record.job), text.encode())

    def forget(self, extra: list[Put | Delete], now: float) -> list[JobId]:
        """Remove jobs past their retention time, and the cancel keys of jobs that have ended.

        Adds the operations to `extra`, and returns the removed jobs.
        """
        if now - self._forgot_at < FORGET_INTERVAL_S:
            return []
        self._forgot_at = now
        removed = []
        for job, row in list(self._table.rows.items()):
            if not row.progress.final or len(extra) + 2 > MAX_EXTRA:
                continue
            if job in self.cancel_keys:
                self.cancel_keys.discard(job)
                extra.append(Delete(self._keys.cancel(job)))
            if now - row.ended_at > self._cfg.retention_s and not row.tasks:
                extra.append(Delete(self._keys.job(job)))
                self._table.remove(job)
                removed.append(job)
        return removed
