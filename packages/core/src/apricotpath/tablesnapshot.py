"""Records that rebuild the scheduler's tables, in slices that each take little time."""

from collections.abc import Iterable, Iterator, Mapping

from apricotpath.bitranges import set_bit_ranges
from apricotpath.crashes import CrashHistory
from apricotpath.ids import JobId, QueueId
from apricotpath.jobrows import JobRow, Task
from apricotpath.runrecords import (
    Assigned,
    Crashed,
    OccurrencesDone,
    OperatorState,
    QueueKept,
    RunRecord,
    SuspectWaited,
    TasksDone,
    TaskSummary,
)
from apricotpath.workload import Queue, TaskKey

# Open tasks that one slice looks at.
TASKS_PER_SLICE = 200


def summary_slices(
    rows: Mapping[JobId, JobRow],
    crashes: Mapping[TaskKey, CrashHistory],
    queues: Mapping[QueueId, Queue],
    operator: OperatorState,
) -> Iterator[list[RunRecord]]:
    """Yield lists of records that rebuild the tasks and runs of all unfinished jobs.

    Jobs may be added or cancelled between two lists, but no record may be applied.
    """
    yield [QueueKept(queue) for queue in queues.values()]
    yield [operator]
    for job, row in list(rows.items()):
        yield list(_done_records(job, row))
        tasks = list(row.tasks.values())
        # All runs go first: a summary that finishes a gang drops the members without runs.
        for records in (_run_records, _task_records):
            for first in range(0, len(tasks), TASKS_PER_SLICE):
                yield list(records(tasks[first : first + TASKS_PER_SLICE]))
    histories = list(crashes.items())
    for first in range(0, len(histories), TASKS_PER_SLICE):
        yield [
            record
            for key, history in histories[first : first + TASKS_PER_SLICE]
            for record in _crash_records(key, history)
        ]


def _crash_records(key: TaskKey, history: CrashHistory) -> Iterator[RunRecord]:
    """Yield records of the crashes at which a task was, and of its wait since then."""
    for number, part in history.parts.items():
        yield Crashed(key, number, part)
    if history.calm_s or history.waited_s:
        yield SuspectWaited(key, history.calm_s, history.waited_s)


def _done_records(job: JobId, row: JobRow) -> Iterator[RunRecord]:
    """Yield records of what is done of a job."""
    done_tasks = row.done_tasks()
    finished = row.finished
    for occurrence in {occurrence for occurrence, _ in done_tasks}:
        finished &= ~(1 << occurrence)
    for first, end in set_bit_ranges(finished):
        yield OccurrencesDone(job, first, end)
    for (occurrence, number), done in done_tasks.items():
        for first, end in set_bit_ranges(done):
            yield TasksDone(job, occurrence, number, first, end)


def _run_records(tasks: Iterable[Task]) -> Iterator[RunRecord]:
    """Yield records of the runs of tasks."""
    for task in tasks:
        for run in task.runs.values():
            yield Assigned(task.key, run.run, run.host, run.instance, run.born_ms)


def _task_records(tasks: Iterable[Task]) -> Iterator[RunRecord]:
    """Yield records of what is to be remembered of tasks."""
    for task in tasks:
        if task.last_run or task.done or task.saved:
            failed = tuple(sorted(task.failed_runs))
            yield TaskSummary(task.key, task.done, failed, task.last_run, task.saved)
