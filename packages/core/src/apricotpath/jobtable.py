"""The scheduler's tables of jobs, tasks and runs; runs change only by log records."""

from collections import deque
from collections.abc import Iterable, Iterator
from functools import singledispatchmethod
from heapq import heappop, heappush

from apricotpath.bitranges import first_unset
from apricotpath.commitments import Commitments
from apricotpath.crashes import Blame, CrashHistory
from apricotpath.ids import HostId, JobId, QueueId
from apricotpath.jobrows import TASKS_PER_STEP, JobRow, Run, StepState, Task
from apricotpath.runindex import RunIndex
from apricotpath.runrecords import (
    Assigned,
    Crashed,
    Ended,
    JobEnded,
    OccurrencesDone,
    OperatorState,
    QueueKept,
    RunRecord,
    Saved,
    SuspectWaited,
    TasksDone,
    TaskSummary,
)
from apricotpath.steps import Steps, finish
from apricotpath.tablesnapshot import summary_slices
from apricotpath.workload import Job, Progress, Queue, RunResult, Step, StepKey, TaskKey

# Waiting tasks that one occurrence of a job has open at most, shared by its steps, but for gangs,
# which wait whole. More are opened as these start.
JOB_WINDOW = 1000
# A step has at least this many waiting tasks open.
MIN_WINDOW = 16
# Once this many tasks wait in all, each step has only CROWDED_WINDOW open, and each job only one
# more occurrence.
MAX_WAITING = 20_000
CROWDED_WINDOW = 4
# Occurrences of a job that are open at the same time, and all that one call opens.
MAX_OPEN_OCCURRENCES = 16
MAX_OPENED_PER_CALL = 64


class JobTable:
    """All jobs and the runs on each host.

    `waiting` holds the open tasks to be placed, `waiting_steps` the same by step. `crashes` holds
    the tasks that were on crashed executors. `changed` collects jobs whose progress changed.
    `to_end` maps jobs whose final state is decided, but not in the log yet, to that state.
    `retries` collects tasks that wait again after a failure, to have their attempts counted.
    `queues` holds the newest rules of queues, `queues_used` the queues of jobs that were added, and
    `operator` what else was last known of the operator's rules.
    """

    def __init__(self) -> None:
        self.rows: dict[JobId, JobRow] = {}
        self.waiting: dict[TaskKey, Task] = {}
        self.waiting_steps: dict[StepKey, dict[TaskKey, Task]] = {}
        self.index = RunIndex(self._step_with_tasks)
        self.by_host = self.index.by_host
        self.crashes: dict[TaskKey, CrashHistory] = {}
        self.changed: set[JobId] = set()
        self.to_end: dict[JobId, Progress] = {}
        self.retries: deque[TaskKey] = deque()
        self.queues: dict[QueueId, Queue] = {}
        self.queues_used: set[QueueId] = set()
        self.operator = OperatorState()
        # When (UTC seconds) the next occurrences of scheduled jobs are due; a heap.
        self._due: list[tuple[float, JobId]] = []

    def add(self, job: Job, now: float) -> JobRow | None:
        """Add an accepted job; None if it is in the table already."""
        return finish(self.add_in_steps(job, now))

    def add_in_steps(self, job: Job, now: float) -> Steps[JobRow | None]:
        """Do the same in steps, between which nothing else may change the table."""
        if job.job_id in self.rows:
            return None
        row = JobRow(job)
        self.rows[job.job_id] = row
        self.queues_used.add(job.queue)
        self.changed.add(job.job_id)
        if job.schedule is None:
            yield from self._open_next(row, now)
        else:
            self._await_next(row)
        return row

    def open_due(self, utc_s: float, now: float) -> bool:
        """Open the occurrences of scheduled jobs that are due; return whether all are open.

        `utc_s` is in UTC seconds, `now` in boot-clock seconds.
        """
        for _ in range(MAX_OPENED_PER_CALL):
            if not self._due or self._due[0][0] > utc_s:
                return True
            row = self.rows.get(heappop(self._due)[1])
            if row is not None and not row.to_be_stopped:
                row.awaits_due = False
                finish(self._open_next(row, now))
                self._await_next(row)
        return False

    def _await_next(self, row: JobRow) -> None:
        """Wait until the next occurrence of a job is due, unless too many are open."""
        row.next_occurrence = first_unset(row.finished, row.next_occurrence)
        limit = 1 if len(self.waiting) >= MAX_WAITING else MAX_OPEN_OCCURRENCES
        left = row.next_occurrence < row.job.occurrences and row.opened < limit
        if left and not row.awaits_due:
            row.awaits_due = True
            heappush(self._due, (row.job.due_s(row.next_occurrence), row.job.job_id))

    def _open_next(self, row: JobRow, now: float) -> Steps[None]:
        """Open the next occurrence of a job; records may have opened some of its tasks."""
        occurrence = row.next_occurrence
        row.next_occurrence += 1
        if row.is_finished(occurrence):
            return
        row.opened += 1
        row.open_steps(occurrence)
        for number in range(len(row.job.steps)):
            yield from self._open_in_steps(row, occurrence, number, now)

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

    def task(self, key: TaskKey) -> Task | None:
        """Return an open task; None if it is done, or its job is unknown or has ended."""
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
        return self.index.commitments(host)

    def note_survived(self, run: Run) -> None:
        """Note that a run has survived its start."""
        self.index.note_survived(run)

    def _step_with_tasks(self, key: TaskKey) -> Step | None:
        """Return the step of a task; None if its job is unknown or has no tasks any more."""
        row = self.rows.get(key.job)
        return row.step(key) if row is not None and row.tasks else None

    def note_begun(self, job: JobId) -> None:
        """Note that a run of a job has begun; a start that is only ordered may be refused."""
        row = self.rows.get(job)
        if row is not None and row.progress is Progress.QUEUED:
            row.progress = Progress.RUNNING
            self.changed.add(job)

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
        task = self._open_task(record.task)
        if task is None:
            return
        run = Run(record.task, record.run, record.host, record.instance, record.born_ms, since=now)
        history = self.crashes.get(record.task)
        run.apart = history is not None and history.holds_back
        row = self.rows[record.task.job]
        row.run_count += record.run not in task.runs
        task.add_run(run)
        self._drop_waiting(record.task)
        if record.task in self.crashes:
            self.crashes[record.task].waited_s = 0.0
        self.index.add(run)
        if task.gang is None:
            self._open_tasks(row, record.task.occurrence, record.task.step, now)

    @apply.register
    def _(self, record: Ended, now: float) -> None:
        task = self._open_task(record.task)
        if task is None:
            return
        row = self.rows[record.task.job]
        step = row.step(record.task)
        run = task.end_run(record.run, now)
        if run is not None:
            row.run_count -= 1
            self.index.remove(run)
        if record.result is not RunResult.LOST:
            self.note_begun(record.task.job)
        if record.saved:
            task.save(record.run, record.saved)
        if record.result is RunResult.DONE and not step.long_running and not task.done:
            self._finish(row, task, now)
        elif record.result is RunResult.FAILED and run is not None:
            # A second record of the same end does not count as another failure.
            task.note_failure(run)
        if not task.done and not task.runs:
            self._enqueue(row, task, now)
        self._close_if_done(row, task)
        self._check_end(row)

    @apply.register
    def _(self, record: Saved, now: float) -> None:
        task = self._open_task(record.task)
        if task is not None:
            task.save(task.last_run, record.saved)

    @apply.register
    def _(self, record: Crashed, now: float) -> None:
        task = self.task(record.task)
        if task is None:
            return
        for run in task.runs.values() if record.part.blame is Blame.SUSPECT else ():
            run.apart = False
        history = self.crashes.setdefault(record.task, CrashHistory())
        history.note(record.run, record.part, now)
        row = self.rows[record.task.job]
        if history.convicted and not row.to_be_stopped:
            self.fail(record.task.job)

    @apply.register
    def _(self, record: SuspectWaited, now: float) -> None:
        history, task = self.crashes.get(record.task), self.waiting.get(record.task)
        if history is not None and task is not None:
            history.resume_wait(record.calm_s, record.waited_s, now)
            task.waiting_since = min(task.waiting_since, now - record.waited_s)

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
        task = self._open_task(record.task)
        if task is None:
            return
        row = self.rows[record.task.job]
        task.restore(record.failed_runs, record.last_run, record.saved)
        if record.done or record.failed_runs or record.saved:
            self.note_begun(record.task.job)
        if record.done:
            self._finish(row, task, now)
            self._check_end(row)
        elif not task.runs:
            self._enqueue(row, task, now)

    @apply.register
    def _(self, record: TasksDone, now: float) -> None:
        row = self.rows.get(record.job)
        last = TaskKey(record.job, record.occurrence, record.step, record.end - 1)
        if row is None or not row.has_task(last) or row.is_finished(record.occurrence):
            return
        self.note_begun(record.job)
        row.open_steps(record.occurrence)
        state = row.steps[record.occurrence, record.step]
        for position in range(record.first, min(record.end, state.opened)):
            key = last._replace(position=position)
            row.drop_task(key)
            self._drop_waiting(key)
        before = state.done.bit_count()
        state.done |= (1 << record.end) - (1 << record.first)
        state.remaining -= state.done.bit_count() - before
        self._advance(row, record.occurrence, record.step, now)
        self._check_end(row)

    @apply.register
    def _(self, record: OccurrencesDone, now: float) -> None:
        row = self.rows.get(record.job)
        if row is None or not 0 <= record.first < record.end <= row.job.occurrences:
            return
        self.note_begun(record.job)
        row.finished |= (1 << record.end) - (1 << record.first)
        for key in [key for key in row.tasks if row.is_finished(key.occurrence)]:
            row.drop_task(key)
            self._drop_waiting(key)
        for occurrence in {occurrence for occurrence, _ in row.steps}:
            if row.is_finished(occurrence):
                self._close_steps(row, occurrence)
        self._check_end(row)

    @apply.register
    def _(self, record: QueueKept, now: float) -> None:
        self.queues[record.queue.queue] = record.queue

    @apply.register
    def _(self, record: OperatorState, now: float) -> None:
        self.operator = record

    def summaries(self) -> Iterator[RunRecord]:
        """Yield records that rebuild the tasks and runs of all unfinished jobs."""
        return (record for records in self.summary_slices() for record in records)

    def summary_slices(self) -> Iterator[list[RunRecord]]:
        """Yield the records of `summaries` in lists; no record may be applied in between."""
        return summary_slices(self.rows, self.crashes, self.queues, self.operator)

    def _open_task(self, key: TaskKey) -> Task | None:
        """Return a task that a record names; None if it is done, or its job unknown or ended."""
        row = self.rows.get(key.job)
        return row.open_task(key) if row is not None else None

    def _finish(self, row: JobRow, task: Task, now: float) -> None:
        """Mark a task as done; one finished member of a gang finishes all members."""
        key = task.key
        state = row.steps[key.occurrence, key.step]
        if task.gang is not None:
            self._finish_gang(row, state, task)
        else:
            task.done = True
            state.done |= 1 << key.position
            state.remaining -= 1
            self._drop_waiting(key)
            self._close_if_done(row, task)
        self._advance(row, key.occurrence, key.step, now)

    def _finish_gang(self, row: JobRow, state: StepState, finished: Task) -> None:
        """Mark all members of a gang as done, and drop those without runs."""
        for key in self.waiting_steps.pop(finished.key.step_key, ()):
            del self.waiting[key]
        for task in list(row.members(finished.key)):
            task.done = True
            if not task.runs:
                self._close_if_done(row, task)
        state.done, state.remaining = (1 << row.step(finished.key).count) - 1, 0
        if finished.gang is not None:
            finished.gang.size = 0

    def _advance(self, row: JobRow, occurrence: int, number: int, now: float) -> None:
        """Open what may start now that tasks of a step are done."""
        if row.steps[occurrence, number].remaining:
            self._open_tasks(row, occurrence, number, now)
            return
        for later, step in enumerate(row.job.steps):
            if number in step.after:
                self._open_tasks(row, occurrence, later, now)
        self._finish_occurrence(row, occurrence)

    def _close_if_done(self, row: JobRow, task: Task) -> None:
        """Drop a done task without runs; its step knows that it is done."""
        if task.done and not task.runs:
            row.tasks.pop(task.key, None)
            self.crashes.pop(task.key, None)

    def _finish_occurrence(self, row: JobRow, occurrence: int) -> None:
        """Drop the steps of an occurrence once all of its tasks are done."""
        states = [row.steps[occurrence, number] for number in range(len(row.job.steps))]
        if any(state.remaining for state in states):
            return
        row.finished |= 1 << occurrence
        self._close_steps(row, occurrence)

    def _close_steps(self, row: JobRow, occurrence: int) -> None:
        """Drop the steps of a finished occurrence, and await the next one."""
        for number in range(len(row.job.steps)):
            del row.steps[occurrence, number]
        if occurrence < row.next_occurrence:
            row.opened -= 1
            self._await_next(row)

    def _open_tasks(self, row: JobRow, occurrence: int, number: int, now: float) -> None:
        """Let tasks of a step wait if it is ready and few of them do."""
        finish(self._open_in_steps(row, occurrence, number, now))

    def _open_in_steps(self, row: JobRow, occurrence: int, number: int, now: float) -> Steps[None]:
        state = row.steps.get((occurrence, number))
        if state is None or row.to_be_stopped or not row.step_ready(occurrence, number):
            return
        step, window = row.job.steps[number], self._window(row)
        key = (row.job.job_id, occurrence, number)
        if not step.gang and len(self.waiting_steps.get(key, ())) > window // 2:
            return
        if step.gang:
            yield from self._open_gang(row, TaskKey(*key, 0), now)
            return
        while len(self.waiting_steps.get(key, ())) < window:
            position = first_unset(state.done, state.opened)
            if position >= step.count:
                return
            state.opened = position + 1
            task = row.open_task(TaskKey(*key, position))
            if task is not None and not task.done and not task.runs:
                self._enqueue(row, task, now)
            if position % TASKS_PER_STEP == 0:
                yield

    def _open_gang(self, row: JobRow, key: TaskKey, now: float) -> Steps[None]:
        """Let all members of a gang wait whose turn has come and that do not run."""
        state, count = row.steps[key.occurrence, key.step], row.step(key).count
        first = first_unset(state.done, state.opened)
        state.opened = count
        if first >= count:
            return
        member = key._replace(position=first)
        if member not in row.tasks:
            yield from row.open_in_steps(member)
        waiting = self.waiting_steps.setdefault(key.step_key, {})
        for number, task in enumerate(row.members(key)):
            if number % TASKS_PER_STEP == 0:
                yield
            if not task.done and not task.runs and task.key not in waiting:
                task.waiting_since = now
                self.waiting[task.key] = waiting[task.key] = task
        if not waiting:
            del self.waiting_steps[key.step_key]

    def _window(self, row: JobRow) -> int:
        """Return how many tasks of a step may wait open."""
        if len(self.waiting) >= MAX_WAITING:
            return CROWDED_WINDOW
        return max(MIN_WINDOW, JOB_WINDOW // len(row.job.steps))

    def _enqueue(self, row: JobRow, task: Task, now: float) -> None:
        ready = row.step_ready(task.key.occurrence, task.key.step)
        if not row.to_be_stopped and ready and task.key not in self.waiting:
            task.waiting_since = now
            self.waiting[task.key] = task
            self.waiting_steps.setdefault(task.key.step_key, {})[task.key] = task
            if task.failed_runs:
                self.retries.append(task.key)

    def _remove_waiting(self, row: JobRow) -> None:
        for occurrence, step in row.steps:
            for key in self.waiting_steps.pop((row.job.job_id, occurrence, step), ()):
                del self.waiting[key]

    def _drop_waiting(self, key: TaskKey) -> None:
        """Remove a task from those to be placed, if it is there."""
        if self.waiting.pop(key, None) is not None:
            tasks = self.waiting_steps[key.step_key]
            del tasks[key]
            if not tasks:
                del self.waiting_steps[key.step_key]

    def _release_tasks(self, row: JobRow) -> None:
        if row.progress.final and not row.run_count:
            for key in row.tasks if self.crashes else ():
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
        elif row.completed:
            self.to_end[job] = Progress.COMPLETED
