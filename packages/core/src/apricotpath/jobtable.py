"""The scheduler's tables of jobs, tasks and runs; runs change only by log records."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from functools import singledispatchmethod

from apricotpath.commitments import Commitments
from apricotpath.crashes import CrashHistory
from apricotpath.ids import HostId, JobId
from apricotpath.runrecords import (
    Assigned,
    Crashed,
    Ended,
    JobEnded,
    RunRecord,
    Saved,
    TaskSummary,
)
from apricotpath.workload import Job, Progress, RunResult, Step, TaskKey

# Progress in percent at which a long-running task is ready to serve.
READY_PERCENT = 100


class RunPhase(Enum):
    """Phase of a run that has not ended."""

    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True)
class Run:
    """One run of a task on a host; `since` is in boot-clock seconds.

    `percent` is the progress that the executor reports, `first_percent` that
    of its first report; `stalled_s` is the reported time without progress.
    `load` is the tail latency in ms of a long-running task, else the
    processors in use in thousandths of a core. `pace` is the speed limit of a
    filler task in percent. `saved` names its newest checkpoint. `survived`: the
    executor listed it SURVIVAL_S or more after it was ordered. `on_other`: it was reported by
    another incarnation of its host's executor than the one that it was ordered for.
    """

    task: TaskKey
    run: int
    host: HostId
    instance: str
    born_ms: int
    phase: RunPhase = RunPhase.ORDERED
    since: float = 0.0
    saved: str = ""
    percent: int = 0
    first_percent: int = 0
    stalled_s: float = 0.0
    load: float = 0.0
    pace: int = 100
    stop_sent_at: float = 0.0
    survived: bool = False
    on_other: bool = False


@dataclass(slots=True)
class Task:
    """One task of a step; `saved` names its newest checkpoint."""

    key: TaskKey
    done: bool = False
    failed_runs: set[int] = field(default_factory=set)
    last_run: int = 0
    saved: str = ""
    runs: dict[int, Run] = field(default_factory=dict)
    failed_hosts: list[HostId] = field(default_factory=list)
    waiting_since: float = 0.0


@dataclass(slots=True)
class StepState:
    """Progress of one step of one occurrence: the number of tasks not done."""

    remaining: int


class JobRow:
    """A job with its tasks; the tasks are dropped once the job and its runs have ended."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.progress = Progress.QUEUED
        self.cancelling = False
        self.failing = False
        self.ended_at = 0.0
        self.tasks: dict[TaskKey, Task] = {}
        self.steps: dict[tuple[int, int], StepState] = {}
        for occurrence in range(job.occurrences):
            for number, step in enumerate(job.steps):
                self.steps[occurrence, number] = StepState(step.count)
                for index in range(step.count):
                    key = TaskKey(job.job_id, occurrence, number, index)
                    self.tasks[key] = Task(key)

    @property
    def to_be_stopped(self) -> bool:
        """Whether the remaining runs of the job are to be stopped."""
        return self.cancelling or self.failing or self.progress.final

    def step(self, task: TaskKey) -> Step:
        """Return the step of a task."""
        return self.job.steps[task.step]

    def members(self, task: TaskKey) -> Iterator[Task]:
        """Yield the tasks of the same step and occurrence."""
        for index in range(self.step(task).count):
            yield self.tasks[TaskKey(task.job, task.occurrence, task.step, index)]

    def step_ready(self, occurrence: int, number: int) -> bool:
        """Return whether all steps that a step depends on are done."""
        return all(
            self.steps[occurrence, earlier].remaining == 0
            for earlier in self.job.steps[number].after
        )

    def runs(self) -> Iterator[Run]:
        """Yield all runs that have not ended."""
        for task in self.tasks.values():
            yield from task.runs.values()


class JobTable:
    """All jobs and the runs on each host.

    `waiting` holds the tasks to be placed; tasks of scheduled jobs may not be
    due yet. `crashes` holds the tasks that were on crashed executors. `changed`
    collects jobs whose progress changed. `to_end` maps jobs whose final state
    is decided, but not in the log yet, to that state.
    """

    def __init__(self) -> None:
        self.rows: dict[JobId, JobRow] = {}
        self.waiting: dict[TaskKey, Task] = {}
        # The same tasks by step.
        self.waiting_steps: dict[tuple[JobId, int, int], dict[TaskKey, Task]] = {}
        self._commitments: dict[HostId, Commitments] = {}
        self.by_host: dict[HostId, dict[tuple[TaskKey, int], Run]] = {}
        self.crashes: dict[TaskKey, CrashHistory] = {}
        self.changed: set[JobId] = set()
        self.to_end: dict[JobId, Progress] = {}

    def add(self, job: Job, now: float) -> JobRow | None:
        """Add an accepted job; None if it is in the table already."""
        if job.job_id in self.rows:
            return None
        row = JobRow(job)
        self.rows[job.job_id] = row
        self.changed.add(job.job_id)
        for occurrence in range(job.occurrences):
            for number, step in enumerate(job.steps):
                if not step.after:
                    self._enqueue_step(row, occurrence, number, now)
        return row

    def add_ended(self, job: Job, progress: Progress, now: float) -> None:
        """Add a job that has ended already; only its state can be read."""
        row = JobRow(Job(job.job_id, job.queue, "", ()))
        row.progress = progress
        row.ended_at = now
        self.rows[job.job_id] = row

    def cancel(self, job: JobId) -> None:
        """Mark a job as being cancelled, unless it has ended."""
        row = self.rows.get(job)
        if row is None or row.progress.final or row.cancelling:
            return
        row.cancelling = True
        self._remove_waiting(row)
        self._check_end(row)

    def remove(self, job: JobId) -> None:
        """Remove a job that has ended."""
        self.rows.pop(job, None)

    def new_checkpoints(self) -> Iterator[Saved]:
        """Yield records of the checkpoints of current runs that are not recorded yet."""
        for runs in self.by_host.values():
            for run in runs.values():
                task = self.task(run.task)
                if task is None or not run.saved or run.saved == task.saved:
                    continue
                # With two runs of a task, only checkpoints of the newer one count.
                if run.run == task.last_run:
                    yield Saved(run.task, run.saved)

    def task(self, key: TaskKey) -> Task | None:
        """Return a task, or None if its job is unknown or has ended."""
        row = self.rows.get(key.job)
        return row.tasks.get(key) if row else None

    def step_of(self, key: TaskKey) -> Step:
        """Return the step of a task whose job is in the table."""
        return self.rows[key.job].step(key)

    def runs_on(self, host: HostId) -> list[Run]:
        """Return the runs assigned to a host that have not ended by the records."""
        return list(self.by_host.get(host, {}).values())

    def commitments(self, host: HostId) -> Commitments:
        """Return what the runs on a host reserve and use; not to be changed."""
        found = self._commitments.get(host)
        if found is None:
            found = self._commitments[host] = Commitments()
            for run in self.by_host.get(host, {}).values():
                row = self.rows.get(run.task.job)
                if row is not None and row.tasks:
                    found.add(run.task, row.step(run.task))
                found.starting += not run.survived
        return found

    def commitments_changed(self, host: HostId) -> None:
        """Note that runs of a host were added or have ended, or have survived their start."""
        self._commitments.pop(host, None)

    def apply_all(self, records: Iterable[RunRecord], now: float) -> None:
        """Apply records in order."""
        for record in records:
            self.apply(record, now)

    @singledispatchmethod
    def apply(self, record: RunRecord, now: float) -> None:
        """Apply one record; one about an unknown job changes nothing."""
        raise TypeError(f"unknown record type {type(record).__name__}")

    @apply.register
    def _(self, record: Assigned, now: float) -> None:
        task = self.task(record.task)
        if task is None:
            return
        run = Run(record.task, record.run, record.host, record.instance, record.born_ms, since=now)
        task.runs[record.run] = run
        task.last_run = max(task.last_run, record.run)
        self._drop_waiting(record.task)
        self.commitments_changed(record.host)
        self.by_host.setdefault(record.host, {})[record.task, record.run] = run
        row = self.rows[record.task.job]
        if row.progress is Progress.QUEUED:
            row.progress = Progress.RUNNING
            self.changed.add(record.task.job)

    @apply.register
    def _(self, record: Ended, now: float) -> None:
        task = self.task(record.task)
        if task is None:
            return
        row = self.rows[record.task.job]
        step = row.step(record.task)
        run = task.runs.pop(record.run, None)
        if run is not None:
            self.by_host.get(run.host, {}).pop((record.task, record.run), None)
            self.commitments_changed(run.host)
        task.last_run = max(task.last_run, record.run)
        # A second record of the same end must not count as another failure.
        first_record = run is not None
        if record.saved:
            self._save(row, task, record.saved)
        if record.result is RunResult.DONE and not step.long_running:
            self._finish(row, task, now)
        elif record.result is RunResult.FAILED and first_record:
            task.failed_runs.add(record.run)
            if run is not None:
                task.failed_hosts.append(run.host)
        if not task.done and not task.runs:
            self._enqueue(row, task, now)
        self._check_end(row)

    @apply.register
    def _(self, record: Saved, now: float) -> None:
        task = self.task(record.task)
        if task is not None:
            self._save(self.rows[record.task.job], task, record.saved)

    @staticmethod
    def _save(row: JobRow, task: Task, saved: str) -> None:
        """Set the newest checkpoint of a task; in a gang, that of all members."""
        for member in row.members(task.key) if row.step(task.key).gang else (task,):
            member.saved = saved

    @apply.register
    def _(self, record: Crashed, now: float) -> None:
        if self.task(record.task) is None:
            return
        history = self.crashes.setdefault(record.task, CrashHistory())
        history.note(record.run, record.part)
        row = self.rows[record.task.job]
        if history.convicted and not row.to_be_stopped:
            self.fail(record.task.job)

    @apply.register
    def _(self, record: JobEnded, now: float) -> None:
        row = self.rows.get(record.job)
        if row is None:
            return
        self._remove_waiting(row)
        row.progress = record.progress
        row.ended_at = now
        self.changed.add(record.job)
        self.to_end.pop(record.job, None)
        # Tasks with runs that are still being stopped remain until these have ended.
        self._release_tasks(row)

    @apply.register
    def _(self, record: TaskSummary, now: float) -> None:
        task = self.task(record.task)
        if task is None:
            return
        row = self.rows[record.task.job]
        task.failed_runs, task.last_run = set(record.failed_runs), record.last_run
        task.saved = record.saved
        if record.last_run and row.progress is Progress.QUEUED:
            row.progress = Progress.RUNNING
        if record.done:
            self._finish(row, task, now)
            self._check_end(row)

    def summaries(self) -> Iterator[RunRecord]:
        """Yield records that rebuild the tasks and runs of all unfinished jobs."""
        for row in self.rows.values():
            for task in row.tasks.values():
                if task.last_run or task.done or task.saved:
                    failed = tuple(sorted(task.failed_runs))
                    yield TaskSummary(task.key, task.done, failed, task.last_run, task.saved)
                for run in task.runs.values():
                    yield Assigned(task.key, run.run, run.host, run.instance, run.born_ms)
        for key, history in self.crashes.items():
            for number, part in history.parts.items():
                yield Crashed(key, number, part)

    def _finish(self, row: JobRow, task: Task, now: float) -> None:
        """Mark a task as done; one finished member of a gang finishes all members."""
        members = list(row.members(task.key)) if row.step(task.key).gang else [task]
        state = row.steps[task.key.occurrence, task.key.step]
        for member in members:
            if not member.done:
                member.done = True
                state.remaining -= 1
                self._drop_waiting(member.key)
        if state.remaining == 0 and not row.to_be_stopped:
            for number, step in enumerate(row.job.steps):
                if task.key.step in step.after and row.step_ready(task.key.occurrence, number):
                    self._enqueue_step(row, task.key.occurrence, number, now)

    def _enqueue_step(self, row: JobRow, occurrence: int, number: int, now: float) -> None:
        for index in range(row.job.steps[number].count):
            task = row.tasks[TaskKey(row.job.job_id, occurrence, number, index)]
            if not task.done and not task.runs:
                self._enqueue(row, task, now)

    def _enqueue(self, row: JobRow, task: Task, now: float) -> None:
        ready = row.step_ready(task.key.occurrence, task.key.step)
        if not row.to_be_stopped and ready and task.key not in self.waiting:
            task.waiting_since = now
            self.waiting[task.key] = task
            self.waiting_steps.setdefault(task.key.step_key, {})[task.key] = task

    def _remove_waiting(self, row: JobRow) -> None:
        for key in row.tasks:
            self._drop_waiting(key)

    def _drop_waiting(self, key: TaskKey) -> None:
        """Remove a task from those to be placed, if it is there."""
        if self.waiting.pop(key, None) is not None:
            tasks = self.waiting_steps[key.step_key]
            del tasks[key]
            if not tasks:
                del self.waiting_steps[key.step_key]

    def _release_tasks(self, row: JobRow) -> None:
        if row.progress.final and not any(task.runs for task in row.tasks.values()):
            for key in row.tasks:
                self.crashes.pop(key, None)
            row.tasks.clear()
            row.steps.clear()
            row.job = Job(row.job.job_id, row.job.queue, "", ())

    def fail(self, job: JobId) -> None:
        """Mark a job as failing: it can no longer succeed."""
        row = self.rows[job]
        row.failing = True
        self._remove_waiting(row)
        self._check_end(row)

    def _check_end(self, row: JobRow) -> None:
        """Put the final state of a job into `to_end` once it is decided."""
        job = row.job.job_id
        if row.progress.final:
            self._release_tasks(row)
        elif row.cancelling:
            self.to_end[job] = Progress.CANCELLED
        elif row.failing:
            self.to_end[job] = Progress.FAILED
        elif all(state.remaining == 0 for state in row.steps.values()):
            self.to_end[job] = Progress.COMPLETED

    def out_of_attempts(self, key: TaskKey, attempts: int) -> bool:
        """Return whether a task, or its gang, has used up its queue's attempts."""
        row = self.rows[key.job]
        step = row.step(key)
        if step.long_running:
            return False
        members = row.members(key) if step.gang else (row.tasks[key],)
        return len(set().union(*(task.failed_runs for task in members))) >= attempts
