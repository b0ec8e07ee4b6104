"""Records of the run log: the scheduler state that survives restarts and failover."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch
from typing import Any

from apricotpath.crashes import Blame, CrashPart
from apricotpath.errors import InputError
from apricotpath.ids import DataCentreId, HostId, JobId, QueueId, ServiceId
from apricotpath.jsonfields import to_int, to_list, to_number, to_str
from apricotpath.workload import MAX_TASKS_PER_JOB, Progress, Queue, RunResult, TaskKey

MAX_RUN = 1 << 31
# Probability taken for a suspicion in logs of earlier versions, which do not tell it.
OLD_SUSPICION_CHANCE = 0.001
DIGITS_OF_CHANCE = 4


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
class Crashed(RunRecord):
    """The executor of a run crashed while the run was there."""

    task: TaskKey
    run: int
    part: CrashPart


@dataclass(frozen=True, slots=True)
class SuspectWaited(RunRecord):
    """A task that is suspected of crashes has waited; a later scheduler counts on from here.

    `calm_s`: time (seconds) since the last of the crashes. `waited_s`: time since the task may be
    placed. Both leave out times without a scheduler.
    """

    task: TaskKey
    calm_s: float
    waited_s: float


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


@dataclass(frozen=True, slots=True)
class TasksDone(RunRecord):
    """The tasks of a step from position `first` to before `end` are done; part of a snapshot."""

    job: JobId
    occurrence: int
    step: int
    first: int
    end: int


@dataclass(frozen=True, slots=True)
class OccurrencesDone(RunRecord):
    """The occurrences of a job from `first` to before `end` are done; part of a snapshot."""

    job: JobId
    first: int
    end: int


@dataclass(frozen=True, slots=True)
class QueueKept(RunRecord):
    """The newest rules of a queue; its jobs go on under them once it is not configured."""

    queue: Queue


@dataclass(frozen=True, slots=True)
class OperatorState(RunRecord):
    """What was known of the operator's rules, but for the queues, which have records of their own.

    `version` is that of the configuration, `out` the data centres out of service at a revision of
    the store.
    """

    version: int = 0
    revision: int = 0
    out: frozenset[DataCentreId] = frozenset()


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
def _(record: Crashed) -> list[Any]:
    part = record.part
    row = ["c", str(record.task), record.run, part.blame.value]
    if part.blame is Blame.SUSPECT:
        chance = float(f"{part.chance:.{DIGITS_OF_CHANCE}g}")
        row += [chance, part.alone, part.host, round(part.ran_s, 3), part.apart]
    return row


@to_row.register
def _(record: SuspectWaited) -> list[Any]:
    return ["w", str(record.task), round(record.calm_s, 3), round(record.waited_s, 3)]


@to_row.register
def _(record: JobEnded) -> list[Any]:
    return ["j", record.job, record.progress.value]


@to_row.register
def _(record: TaskSummary) -> list[Any]:
    summary = [record.done, list(record.failed_runs), record.last_run, record.saved]
    return ["t", str(record.task), *summary]


@to_row.register
def _(record: TasksDone) -> list[Any]:
    return ["d", record.job, record.occurrence, record.step, record.first, record.end]


@to_row.register
def _(record: OccurrencesDone) -> list[Any]:
    return ["o", record.job, record.first, record.end]


@to_row.register
def _(record: QueueKept) -> list[Any]:
    return ["q", *queue_row(record.queue)]


@to_row.register
def _(record: OperatorState) -> list[Any]:
    return ["x", record.version, record.revision, sorted(record.out)]


def from_row(row: Any) -> RunRecord:
    """Parse the JSON form of a record, or raise InputError."""
    tag, *values = to_list(row, "a record", 1)
    parse = _PARSERS.get(tag) if isinstance(tag, str) else None
    if parse is None:
        raise InputError("a record has an unknown tag")
    try:
        return parse(values)
    except ValueError as exc:
        raise InputError(f"a record with the tag {tag!r} is malformed") from exc


def _assigned(values: list[Any]) -> RunRecord:
    task, run, host, instance, born_ms = values
    return Assigned(
        _task(task),
        _run(run),
        HostId(to_str(host, "host")),
        to_str(instance, "instance"),
        to_int(born_ms, "born_ms"),
    )


def _ended(values: list[Any]) -> RunRecord:
    task, run, result, saved = values
    return Ended(
        _task(task), _run(run), RunResult(to_str(result, "result")), to_str(saved, "saved")
    )


def _saved(values: list[Any]) -> RunRecord:
    task, saved = values
    return Saved(_task(task), to_str(saved, "saved"))


def _crashed(values: list[Any]) -> RunRecord:
    task, run, blame, *details = values
    return Crashed(_task(task), _run(run), _crash_part(Blame(to_str(blame, "blame")), details))


def _crash_part(blame: Blame, details: list[Any]) -> CrashPart:
    """Return a run's part in a crash; logs of earlier versions have no details of it."""
    if not details:
        chance = OLD_SUSPICION_CHANCE if blame is Blame.SUSPECT else 1.0
        return CrashPart(blame, chance)
    chance, alone, host, ran_s, *later = details
    apart = later[0] if later else False
    if not isinstance(alone, bool) or not isinstance(apart, bool):
        raise InputError("alone or apart is not true or false", path="alone")
    return CrashPart(
        blame,
        to_number(chance, "chance"),
        alone,
        HostId(to_str(host, "host")),
        to_number(ran_s, "ran_s"),
        apart,
    )


def _suspect_waited(values: list[Any]) -> RunRecord:
    task, calm_s, waited_s = values
    return SuspectWaited(
        _task(task),
        to_number(calm_s, "calm_s", low=0),
        to_number(waited_s, "waited_s", low=0),
    )


def _job_ended(values: list[Any]) -> RunRecord:
    job, progress = values
    return JobEnded(JobId(to_str(job, "job")), Progress(to_str(progress, "progress")))


def _task_summary(values: list[Any]) -> RunRecord:
    task, done, failed, last_run, saved = values
    if not isinstance(done, bool):
        raise InputError("done is not true or false", path="done")
    failed_runs = tuple(_run(run) for run in to_list(failed, "failed"))
    return TaskSummary(_task(task), done, failed_runs, _run(last_run), to_str(saved, "saved"))


def _tasks_done(values: list[Any]) -> RunRecord:
    job, occurrence, step, first, end = values
    first, end = _range(first, end)
    return TasksDone(
        JobId(to_str(job, "job")),
        to_int(occurrence, "occurrence", low=0),
        to_int(step, "step", low=0),
        first,
        end,
    )


def _occurrences_done(values: list[Any]) -> RunRecord:
    job, first, end = values
    return OccurrencesDone(JobId(to_str(job, "job")), *_range(first, end))


def queue_row(queue: Queue) -> list[Any]:
    """Return the JSON form of a queue's rules."""
    numbers = [queue.priority, queue.attempts, queue.stretch, queue.target_s]
    return [queue.queue, queue.service, *numbers, queue.advised, queue.guards_capacity]


def parse_queue_row(values: list[Any]) -> Queue:
    """Parse the JSON form of a queue's rules; raises ValueError, of which InputError is one."""
    queue, service, priority, attempts, stretch, target_s, advised, guards_capacity = values
    if not isinstance(advised, bool) or not isinstance(guards_capacity, bool):
        raise InputError("advised or guards_capacity is not true or false", path="advised")
    return Queue(
        QueueId(to_str(queue, "queue")),
        ServiceId(to_str(service, "service")),
        to_int(priority, "priority"),
        to_int(attempts, "attempts", low=1),
        to_number(stretch, "stretch"),
        to_number(target_s, "target_s"),
        advised,
        guards_capacity,
    )


def _queue_kept(values: list[Any]) -> RunRecord:
    return QueueKept(parse_queue_row(values))


def _operator_state(values: list[Any]) -> RunRecord:
    version, revision, out = values
    return OperatorState(
        to_int(version, "version", low=0),
        to_int(revision, "revision", low=0),
        frozenset(DataCentreId(to_str(row, "out")) for row in to_list(out, "out")),
    )


def _range(first: Any, end: Any) -> tuple[int, int]:
    low = to_int(first, "first", low=0, high=MAX_TASKS_PER_JOB)
    return low, to_int(end, "end", low=low + 1, high=MAX_TASKS_PER_JOB)


def _task(value: Any) -> TaskKey:
    return TaskKey.parse(to_str(value, "task"))


def _run(value: Any) -> int:
    """Return the number of a run; the numbers of later runs must fit messages as well."""
    return to_int(value, "run", low=0, high=MAX_RUN)


_PARSERS: dict[str, Callable[[list[Any]], RunRecord]] = {
    "a": _assigned,
    "e": _ended,
    "s": _saved,
    "c": _crashed,
    "w": _suspect_waited,
    "j": _job_ended,
    "t": _task_summary,
    "d": _tasks_done,
    "o": _occurrences_done,
    "q": _queue_kept,
    "x": _operator_state,
}
