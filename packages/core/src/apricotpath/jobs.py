"""Jobs and tasks of a shard; only journal records change them."""

from bisect import insort
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import singledispatchmethod
from zlib import crc32

from apricotpath.bitranges import set_bit_ranges
from apricotpath.errors import JobUnknown
from apricotpath.ids import HostId, JobId, ProcessId, ShardId, TaskId
from apricotpath.model import JobSpec, TaskState
from apricotpath.records import (
    JobAccepted,
    JobCancelled,
    JobForgotten,
    JobImpossible,
    Record,
    TaskAssigned,
    TaskEvicted,
    TaskFailed,
    TaskFinished,
    TaskLost,
    TaskRestored,
    TasksFinished,
)

NO_HOST = HostId("")
NO_PROCESS = ProcessId("")


def shard_of(job: JobId, shards: int) -> ShardId:
    """Return a job's shard, the same in every process."""
    return ShardId(crc32(job.encode()) % shards)


def task_id(job: JobId, number: int) -> TaskId:
    """Return the id `<job>/<number>`."""
    return TaskId(f"{job}/{number}")


def split_task(task: TaskId) -> tuple[JobId, int]:
    """Return the job and number of a task id, or raise JobUnknown."""
    job, _, number = task.rpartition("/")
    if not job or not number.isdecimal():
        raise JobUnknown(f"{task!r} is not the id of a task")
    return JobId(job), int(number)


@dataclass(slots=True)
class TaskRow:
    """A task that has been assigned at least once and has not finished."""

    state: TaskState = TaskState.WAITING
    attempt: int = 0
    host: HostId = NO_HOST
    process: ProcessId = NO_PROCESS
    checkpoint: str = ""
    failures: int = 0
    evictions: int = 0
    reason: str = ""


@dataclass(slots=True)
class JobRow:
    """One job. Tasks from number `first_unassigned` on were never assigned and have no row.

    Finished tasks are bits of `finished` (bit number = task number). Both keep
    a job of many thousands of tasks small. `requeued` holds, in order, the
    numbers of waiting tasks below `first_unassigned`. `assigned` counts tasks.
    """

    spec: JobSpec
    accepted_at: float
    cancelled: bool = False
    impossible: str = ""
    first_unassigned: int = 0
    finished: int = 0
    rows: dict[int, TaskRow] = field(default_factory=dict)
    requeued: list[int] = field(default_factory=list)
    assigned: int = 0

    @property
    def waiting(self) -> int:
        """Number of tasks waiting to be placed."""
        return 0 if self.cancelled else len(self.requeued) + self.spec.tasks - self.first_unassigned

    @property
    def ended(self) -> bool:
        """Whether no task is waiting or assigned."""
        return self.waiting == 0 and self.assigned == 0

    def waiting_numbers(self) -> Iterator[int]:
        """Yield the tasks to place next; those that were assigned before come first."""
        if not self.cancelled:
            yield from self.requeued
            yield from range(self.first_unassigned, self.spec.tasks)

    def is_finished(self, number: int) -> bool:
        """Return whether a task has finished."""
        return bool(self.finished >> number & 1)

    def state_of(self, number: int) -> TaskState:
        """Return the durable state of a task, or raise JobUnknown."""
        if not 0 <= number < self.spec.tasks:
            raise JobUnknown(f"job {self.spec.job_id} has no task {number}")
        row = self.rows.get(number)
        if row is not None:
            return row.state
        if self.is_finished(number):
            return TaskState.FINISHED
        return TaskState.CANCELLED if self.cancelled else TaskState.WAITING

    def counts(self) -> dict[TaskState, int]:
        """Return the number of tasks in each state that occurs."""
        found = Counter(row.state for row in self.rows.values())
        unassigned_state = TaskState.CANCELLED if self.cancelled else TaskState.WAITING
        found[unassigned_state] += self.spec.tasks - self.first_unassigned
        found[TaskState.FINISHED] += self.finished.bit_count()
        return {state: number for state, number in found.items() if number}


@dataclass(slots=True)
class JobTable:
    """The jobs of one shard by id."""

    jobs: dict[JobId, JobRow] = field(default_factory=dict)

    def job(self, job: JobId) -> JobRow:
        """Return a job, or raise JobUnknown."""
        row = self.jobs.get(job)
        if row is None:
            raise JobUnknown(f"there is no job {job!r}")
        return row

    def task(self, task: TaskId) -> TaskRow | None:
        """Return the row of a task, or None if it has none."""
        job, number = split_task(task)
        row = self.jobs.get(job)
        return None if row is None else row.rows.get(number)

    def assigned(self) -> Iterator[tuple[TaskId, JobRow, TaskRow]]:
        """Yield every assigned task, which may be running on its host."""
        for job, row in self.jobs.items():
            if row.assigned:
                for number, task in row.rows.items():
                    if task.state is TaskState.ASSIGNED:
                        yield task_id(job, number), row, task

    @singledispatchmethod
    def apply(self, record: Record) -> bool:
        """Apply a record and return whether it changed anything.

        A record that does not match the table (another attempt, an ended
        task, an unknown job) changes nothing, so replay is deterministic.
        """
        raise TypeError(f"not a journal record: {record!r}")

    @apply.register
    def _(self, record: JobAccepted) -> bool:
        if record.spec.job_id in self.jobs:
            return False
        self.jobs[record.spec.job_id] = JobRow(record.spec, record.accepted_at)
        return True

    @apply.register
    def _(self, record: TaskAssigned) -> bool:
        job, number = split_task(record.task)
        row = self.jobs.get(job)
        if row is None or row.cancelled or not 0 <= number < row.spec.tasks:
            return False
        if row.is_finished(number):
            return False
        task = _ensure_row(row, number)
        if task.state is not TaskState.WAITING or record.attempt != task.attempt + 1:
            return False
        row.requeued.remove(number)
        row.assigned += 1
        task.state, task.attempt = TaskState.ASSIGNED, record.attempt
        task.host, task.process = record.host, record.process
        return True

    @apply.register
    def _(self, record: TaskEvicted) -> bool:
        return self._ended(record.task, record.attempt, record.checkpoint, evicted=True)

    @apply.register
    def _(self, record: TaskLost) -> bool:
        return self._ended(record.task, record.attempt, record.checkpoint, evicted=False)

    @apply.register
    def _(self, record: TaskFinished) -> bool:
        found = self._running(record.task, record.attempt)
        if found is None:
            return False
        row, number, _ = found
        row.finished |= 1 << number
        row.assigned -= 1
        del row.rows[number]
        return True

    @apply.register
    def _(self, record: TaskFailed) -> bool:
        found = self._running(record.task, record.attempt)
        if found is None:
            return False
        row, number, task = found
        task.failures += 1
        task.reason = record.reason
        if task.failures >= row.spec.max_attempts and not row.cancelled:
            row.assigned -= 1
            task.state, task.host, task.process = TaskState.FAILED, NO_HOST, NO_PROCESS
        else:
            _release(row, number, task)
        return True

    @apply.register
    def _(self, record: JobCancelled) -> bool:
        row = self.jobs.get(record.job)
        if row is None or row.cancelled:
            return False
        row.cancelled = True
        for number in row.requeued:
            row.rows[number].state = TaskState.CANCELLED
        row.requeued.clear()
        return True

    @apply.register
    def _(self, record: JobImpossible) -> bool:
        row = self.jobs.get(record.job)
        if row is None or row.impossible == record.reason:
            return False
        row.impossible = record.reason
        return True

    @apply.register
    def _(self, record: JobForgotten) -> bool:
        return self.jobs.pop(record.job, None) is not None

    @apply.register
    def _(self, record: TasksFinished) -> bool:
        row = self.jobs[record.job]
        row.finished |= (1 << record.end) - (1 << record.first)
        row.first_unassigned = max(row.first_unassigned, record.end)
        return True

    @apply.register
    def _(self, record: TaskRestored) -> bool:
        job, number = split_task(record.task)
        row = self.jobs[job]
        row.first_unassigned = max(row.first_unassigned, number + 1)
        row.rows[number] = TaskRow(
            record.state,
            record.attempt,
            record.host,
            record.process,
            record.checkpoint,
            record.failures,
            record.evictions,
            record.reason,
        )
        row.assigned += record.state is TaskState.ASSIGNED
        if record.state is TaskState.WAITING:
            insort(row.requeued, number)
        return True

    def snapshot_records(self) -> Iterator[Record]:
        """Yield records that rebuild an equal table from an empty one."""
        for job, row in self.jobs.items():
            yield JobAccepted(row.spec, row.accepted_at)
            if row.impossible:
                yield JobImpossible(job, row.impossible)
            for first, end in set_bit_ranges(row.finished):
                yield TasksFinished(job, first, end)
            for number, task in row.rows.items():
                yield TaskRestored(
                    task_id(job, number),
                    task.state,
                    task.attempt,
                    task.host,
                    task.process,
                    task.checkpoint,
                    task.failures,
                    task.evictions,
                    task.reason,
                )
            if row.cancelled:
                yield JobCancelled(job)

    def _running(self, task: TaskId, attempt: int) -> tuple[JobRow, int, TaskRow] | None:
        job, number = split_task(task)
        row = self.jobs.get(job)
        found = None if row is None else row.rows.get(number)
        if row is None or found is None:
            return None
        if found.state is not TaskState.ASSIGNED or found.attempt != attempt:
            return None
        return row, number, found

    def _ended(self, task: TaskId, attempt: int, checkpoint: str, *, evicted: bool) -> bool:
        found = self._running(task, attempt)
        if found is None:
            return False
        row, number, state = found
        state.checkpoint = checkpoint or state.checkpoint
        state.evictions += evicted
        _release(row, number, state)
        return True


def _ensure_row(job: JobRow, number: int) -> TaskRow:
    """Return the row of a task; creates the missing rows up to its number."""
    while job.first_unassigned <= number:
        job.rows[job.first_unassigned] = TaskRow()
        insort(job.requeued, job.first_unassigned)
        job.first_unassigned += 1
    return job.rows[number]


def _release(job: JobRow, number: int, task: TaskRow) -> None:
    """End an attempt whose task may be placed again."""
    job.assigned -= 1
    task.host, task.process = NO_HOST, NO_PROCESS
    task.state = TaskState.CANCELLED if job.cancelled else TaskState.WAITING
    if not job.cancelled:
        insort(job.requeued, number)
