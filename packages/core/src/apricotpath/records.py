"""Records of a shard's journal and their JSON form."""

from dataclasses import asdict, dataclass, fields
from enum import Enum
from functools import cache, singledispatch
from typing import Any, get_type_hints

from apricotpath.config import build
from apricotpath.errors import RecordError, SettingsError
from apricotpath.ids import HostId, JobId, ProcessId, TaskId
from apricotpath.model import JobSpec, TaskState

RECORD_VERSION = 1


@dataclass(frozen=True, slots=True)
class Record:
    """Base of every record."""


@dataclass(frozen=True, slots=True)
class JobAccepted(Record):
    """A job was accepted; `accepted_at` is in seconds since the epoch."""

    spec: JobSpec
    accepted_at: float


@dataclass(frozen=True, slots=True)
class TaskAssigned(Record):
    """An attempt may run on a host from now on."""

    task: TaskId
    attempt: int
    host: HostId
    process: ProcessId


@dataclass(frozen=True, slots=True)
class TaskEvicted(Record):
    """An attempt ended with a checkpoint; an empty one keeps the former checkpoint."""

    task: TaskId
    attempt: int
    checkpoint: str


@dataclass(frozen=True, slots=True)
class TaskFinished(Record):
    """An attempt completed its task."""

    task: TaskId
    attempt: int


@dataclass(frozen=True, slots=True)
class TaskFailed(Record):
    """An attempt ended in failure."""

    task: TaskId
    attempt: int
    reason: str


@dataclass(frozen=True, slots=True)
class TaskLost(Record):
    """An attempt has surely ended without a result, or never began."""

    task: TaskId
    attempt: int
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class JobCancelled(Record):
    """No further attempt of a job starts."""

    job: JobId


@dataclass(frozen=True, slots=True)
class JobImpossible(Record):
    """No known host could hold a task of the job; an empty reason withdraws this."""

    job: JobId
    reason: str


@dataclass(frozen=True, slots=True)
class JobForgotten(Record):
    """An ended job has left the table."""

    job: JobId


@dataclass(frozen=True, slots=True)
class TasksFinished(Record):
    """Snapshot form of finished tasks: numbers from `first` up to but not `end`."""

    job: JobId
    first: int
    end: int


@dataclass(frozen=True, slots=True)
class TaskRestored(Record):
    """Snapshot form of one task that has been assigned at least once."""

    task: TaskId
    state: TaskState
    attempt: int
    host: HostId
    process: ProcessId
    checkpoint: str
    failures: int
    evictions: int
    reason: str


KINDS: dict[str, type[Record]] = {cls.__name__: cls for cls in Record.__subclasses__()}


def _plain(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, dict):
        return {key: _plain(item) for key, item in value.items()}
    if isinstance(value, tuple | list):
        return [_plain(item) for item in value]
    return value


def spec_to_json(spec: JobSpec) -> dict[str, Any]:
    """Return a job's JSON form; absent and empty values are left out."""
    plain = {key: _plain(value) for key, value in asdict(spec).items()}
    return {key: value for key, value in plain.items() if value not in (None, "")}


def spec_from_json(value: Any) -> JobSpec:
    """Return the job of its JSON form, or raise SettingsError naming the field."""
    return build(JobSpec, value, "job")


def to_json(record: Record) -> dict[str, Any]:
    """Return the JSON form of a record: its fields with `kind` and `version`."""
    return {"kind": type(record).__name__, "version": RECORD_VERSION, **_body(record)}


@singledispatch
def _body(record: Record) -> dict[str, Any]:
    return {item.name: _plain(getattr(record, item.name)) for item in fields(record)}


@_body.register
def _(record: JobAccepted) -> dict[str, Any]:
    return {"spec": spec_to_json(record.spec), "accepted_at": record.accepted_at}


def from_json(value: Any) -> Record:
    """Return the record of its JSON form, or raise RecordError."""
    if not isinstance(value, dict):
        raise RecordError("a journal record must be an object")
    body = dict(value)
    kind, version = body.pop("kind", None), body.pop("version", None)
    if version != RECORD_VERSION:
        raise RecordError(f"journal record version {version!r} is not {RECORD_VERSION}")
    cls = KINDS.get(kind) if isinstance(kind, str) else None
    if cls is None:
        raise RecordError(f"unknown kind of journal record: {kind!r}")
    names = {item.name for item in fields(cls)}
    if set(body) - names:
        raise RecordError(f"{kind}: unknown fields {sorted(set(body) - names)}")
    try:
        return cls(**{name: _field(cls, name, item) for name, item in body.items()})
    except (TypeError, ValueError, SettingsError) as exc:
        raise RecordError(f"malformed journal record {kind}: {exc}") from exc


@cache
def _hints(kind: str) -> dict[str, Any]:
    return get_type_hints(KINDS[kind])


def _field(cls: type[Record], name: str, value: Any) -> Any:
    hint = _hints(cls.__name__)[name]
    while hasattr(hint, "__supertype__"):
        hint = hint.__supertype__
    if hint is JobSpec:
        return spec_from_json(value)
    if issubclass(hint, Enum):
        return hint(value)
    if hint is float and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    if type(value) is not hint:
        raise ValueError(f"{name} must be a {hint.__name__}")
    return value
