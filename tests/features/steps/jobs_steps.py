"""Steps for jobs.feature."""

import copy
import json
import random
import tracemalloc
from typing import Any

from behave import given, then, when

from apricotpath.jobs import JobTable, task_id
from apricotpath.model import TaskState
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
    from_json,
    to_json,
)
from ownerworld import job


def random_record(rng: random.Random) -> Record:
    """Return a random record that often, but not always, matches the table."""
    name = f"j{rng.randrange(6)}"
    task, attempt = task_id(name, rng.randrange(9)), rng.randint(1, 4)
    return rng.choice(
        [
            JobAccepted(job(name, 8, max_attempts=2), 5.0),
            TaskAssigned(task, attempt, f"h{attempt}", "p"),
            TaskAssigned(task, attempt, f"h{attempt}", "p"),
            TaskAssigned(task, attempt, f"h{attempt}", "p"),
            TaskEvicted(task, attempt, f"c{rng.random()}"),
            TaskFinished(task, attempt),
            TaskFailed(task, attempt, "broken"),
            TaskLost(task, attempt),
            JobImpossible(name, rng.choice(["", "too large"])),
            rng.choice([JobCancelled(name), JobForgotten(name), TaskLost(task, attempt)])
            if rng.random() < 0.1
            else TaskLost(task, attempt),
        ]
    )


class JobsSubject:
    """A table, its copy and a measured memory size in bytes."""

    def __init__(self) -> None:
        self.rng = random.Random(0)
        self.table, self.copy = JobTable(), JobTable()
        self.size = 0

    def assigned_once(self) -> None:
        self.table.apply(JobAccepted(job("j", 2), 1.0))
        self.apply(TaskAssigned("j/0", 1, "h", "p"), TaskLost("j/0", 1))
        self.apply(TaskAssigned("j/0", 2, "h", "p"))
        self.copy = copy.deepcopy(self.table)

    def apply(self, *records: Record) -> None:
        for record in records:
            assert self.table.apply(record), record

    def rebuild(self) -> None:
        self.copy = JobTable()
        for record in self.table.snapshot_records():
            self.copy.apply(from_json(json.loads(json.dumps(to_json(record)))))


MISMATCHED_RECORDS: dict[str, Record] = {
    "the end of attempt 1": TaskFinished("j/0", 1),
    "the end of attempt 3": TaskFailed("j/0", 3, ""),
    "an assignment of attempt 2": TaskAssigned("j/0", 2, "h2", "p2"),
    "an assignment of a task that is not in the job": TaskAssigned("j/2", 1, "h", "p"),
    "the same job again": JobAccepted(job("j", 5), 9.0),
    "the end of an unknown task": TaskLost("k/0", 1),
}


@given("a job table changed by {count:d} random records from seed {seed:d}")
def _(context: Any, count: int, seed: int) -> None:
    subject = context.jobs = JobsSubject()
    subject.rng = random.Random(seed)
    changed = sum(subject.table.apply(random_record(subject.rng)) for _n in range(count))
    assert changed > count / 10


@when("the job table is rebuilt from its snapshot as JSON")
def _(context: Any) -> None:
    context.jobs.rebuild()


@then("both job tables are equal and behave the same for {count:d} more records")
def _(context: Any, count: int) -> None:
    subject = context.jobs
    for _number in range(count):
        assert subject.table == subject.copy
        record = random_record(subject.rng)
        assert subject.table.apply(record) == subject.copy.apply(record)


@given("a job table with one task assigned under attempt 2")
def _(context: Any) -> None:
    context.jobs = JobsSubject()
    context.jobs.assigned_once()


@when("the job table gets {record}")
def _(context: Any, record: str) -> None:
    assert not context.jobs.table.apply(MISMATCHED_RECORDS[record])


@then("the job table is as before")
def _(context: Any) -> None:
    assert context.jobs.table == context.jobs.copy


@given("a job table with a job of one task that may fail twice")
def _(context: Any) -> None:
    context.jobs = JobsSubject()
    context.jobs.apply(JobAccepted(job("j", 1, max_attempts=2), 1.0))


@when("the task of the job table is evicted once, lost once and fails twice")
def _(context: Any) -> None:
    ends = (TaskEvicted("j/0", 1, "c1"), TaskLost("j/0", 2))
    failures = (TaskFailed("j/0", 3, "x"), TaskFailed("j/0", 4, "y"))
    for attempt, end in enumerate((*ends, *failures), 1):
        context.jobs.apply(TaskAssigned("j/0", attempt, "h", "p"), end)


@then("the task in the job table has failed with 1 eviction")
def _(context: Any) -> None:
    row = context.jobs.table.task("j/0")
    assert (row.state, row.evictions, row.checkpoint) == (TaskState.FAILED, 1, "c1")
    assert context.jobs.table.job("j").ended


@when("the job of the job table is cancelled and its task is lost")
def _(context: Any) -> None:
    context.jobs.apply(JobCancelled("j"), TaskLost("j/0", 2))


@then("no task of the job table waits or is assigned")
def _(context: Any) -> None:
    row = context.jobs.table.job("j")
    assert row.ended and row.counts() == {TaskState.CANCELLED: 2}


@when("a job table gets a job of {count:d} tasks of which {assigned:d} are assigned")
def _(context: Any, count: int, assigned: int) -> None:
    subject = context.jobs = JobsSubject()
    tracemalloc.start()
    subject.apply(JobAccepted(job("j", count), 1.0))
    for number in range(assigned):
        subject.apply(TaskAssigned(task_id("j", number), 1, "h", "p"))
    subject.size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert subject.table.job("j").waiting == count - assigned


@then("the job table holds at most {limit:d} kB")
def _(context: Any, limit: int) -> None:
    assert context.jobs.size <= limit * 1000, context.jobs.size
