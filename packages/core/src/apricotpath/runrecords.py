"""Records of the run log: the scheduler state that survives restarts and failover."""

from dataclasses import dataclass
from functools import singledispatch
from typing import Any

from apricotpath.errors import InputError
from apricotpath.ids import HostId, JobId
from apricotpath.workload import Progress, RunResult, TaskKey


@dataclass(frozen=True, slots=True)
class RunRecord:
    """Base of all records."""


@dataclass(frozen=True, slots=True)
class Assigned(RunRecord):
    """A run was assigned to a host's executor; written before the start order is sent.

    `instance` and `born_ms` identify the executor process.
    """

    task: TaskKey
    run: int
    host: HostId
    instance: str
    born_ms: int


@dataclass(frozen=True, slots=True)
class Ended(RunRecord):
    """A run has ended; written before the end is acknowledged to the executor."""

    task: TaskKey
    run: int
    result: RunResult
    saved: str = ""


@dataclass(frozen=True, slots=True)
class Saved(RunRecord):
    """A run that continues has written a checkpoint, from which its task can resume."""

    task: TaskKey
    saved: str


@dataclass(frozen=True, slots=True)
class JobEnded(RunRecord):
    """A job reached a final state."""

    job: JobId
    progress: Progress


@dataclass(frozen=True, slots=True)
class TaskSummary(RunRecord):
    """The state of one task after all earlier records; part of a snapshot."""

    task: TaskKey
    done: bool
    failed_runs: tuple[int, ...]
    last_run: int
    saved: str


@singledispatch
def to_row(record: RunRecord) -> list[Any]:
    """Return the JSON form of a record: a tag and its fields in order."""
    raise TypeError(f"{type(record).__name__} has no JSON form")


@to_row.register
def _(record: Assigned) -> list[Any]:
    return ["a", str(record.task), record.run, record.host, record.instance, record.born_ms]


@to_row.register
def _(record: Ended) -> list[Any]:
    return ["e", str(record.task), record.run, record.result.value, record.saved]


@to_row.register
def _(record: Saved) -> list[Any]:
    return ["s", str(record.task), record.saved]


@to_row.register
def _(record: JobEnded) -> list[Any]:
    return ["j", record.job, record.progress.value]


@to_row.register
def _(record: TaskSummary) -> list[Any]:
    summary = [record.done, list(record.failed_runs), record.last_run, record.saved]
    return ["t", str(record.task), *summary]


def from_row(row: list[Any]) -> RunRecord:
    """Parse the JSON form of a record, or raise InputError."""
    try:
        tag, *values = row
        if tag == "a":
            task, run, host, instance, born_ms = values
            return Assigned(TaskKey.parse(task), run, HostId(host), instance, born_ms)
        if tag == "e":
            task, run, result, saved = values
            return Ended(TaskKey.parse(task), run, RunResult(result), saved)
        if tag == "s":
            return Saved(TaskKey.parse(values[0]), str(values[1]))
        if tag == "j":
            return JobEnded(JobId(values[0]), Progress(values[1]))
        if tag == "t":
            task, done, failed, last_run, saved = values
            return TaskSummary(TaskKey.parse(task), done, tuple(failed), last_run, saved)
    except (ValueError, IndexError, TypeError) as exc:
        raise InputError(f"a record of the run log is malformed: {row!r}") from exc
    raise InputError(f"a record of the run log has the unknown tag {tag!r}")
