"""Record types of a shard's journal and their JSON form."""

from dataclasses import asdict, dataclass, fields
from enum import Enum
from functools import cache, singledispatch
from typing import Any, get_type_hints

from apricotpath.config import build
from apricotpath.errors import InputError, RecordError
from apricotpath.ids import HostId, JobId, ProcessId, TaskId
from apricotpath.jsonfields import to_number
from apricotpath.model import JobSpec, TaskState

RECORD_VERSION = 1


@dataclass(frozen=True, slots=True)
class Record:
    """Base class of all journal records."""


@dataclass(frozen=True, slots=True)
class JobAccepted(Record):
    """A job was accepted; `accepted_at` is in seconds since the epoch."""

    spec: JobSpec
    accepted_at: float


@dataclass(frozen=True, slots=True)
class TaskAssigned(Record):
    """An attempt was assigned to a host."""

    task: TaskId
    attempt: int
    host: HostId
    process: ProcessId


@dataclass(frozen=True, slots=True)
class TaskEvicted(Record):
    """An attempt was evicted; an empty `checkpoint` keeps the task's previous one."""

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
    """An attempt is certain to have ended without a result, or never began."""

    task: TaskId
    attempt: int
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class JobCancelled(Record):
    """A job was cancelled; no further attempt of its tasks starts."""

    job: JobId


@dataclass(frozen=True, slots=True)
class JobImpossible(Record):
    """No registered host can run a task of the job; an empty `reason` revokes such a record."""

    job: JobId
    reason: str


@dataclass(frozen=True, slots=True)
class JobForgotten(Record):
    """An ended job was removed from the job table."""

    job: JobId


@dataclass(frozen=True, slots=True)
class TasksFinished(Record):
    """Snapshot record of finished tasks, with numbers from `first` up to but not `end`."""

    job: JobId
    first: int
    end: int


@dataclass(frozen=True, slots=True)
class TaskRestored(Record):
    """Snapshot record of one task that has been assigned at least once."""

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


def _to_json_value(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, dict):
        return {key: _to_json_value(item) for key, item in value.items()}
    if isinstance(value, tuple | list):
        return [_to_json_value(item) for item in value]
    return value


def spec_to_json(spec: JobSpec) -> dict[str, Any]:
    """Return a job as JSON values, without None and empty strings."""
    plain = {key: _to_json_value(value) for key, value in asdict(spec).items()}
    return {key: value for key, value in plain.items() if value not in (None, "")}


def spec_from_json(value: Any) -> JobSpec:
    """Return a job from JSON values, or raise SettingsError that names the field."""
    return build(JobSpec, value, "job")


def to_json(record: Record) -> dict[str, Any]:
    """Return a record as JSON values: its fields with `kind` and `version`."""
    return {"kind": type(record).__name__, "version": RECORD_VERSION, **_field_values(record)}


@singledispatch
def _field_values(record: Record) -> dict[str, Any]:
    return {item.name: _to_json_value(getattr(record, item.name)) for item in fields(record)}


@_field_values.register
def _(record: JobAccepted) -> dict[str, Any]:
    return {"spec": spec_to_json(record.spec), "accepted_at": record.accepted_at}


def from_json(value: Any) -> Record:
    """Return a record from JSON values, or raise RecordError."""
    if not isinstance(value, dict):
        raise RecordError("a journal record must be an object")
    body = dict(value)
    kind, version = body.pop("kind", None), body.pop("version", None)
    if version != RECORD_VERSION:
        # A nested value cannot be shown.
        shown = version if isinstance(version, int | str) else "of another type"
        raise RecordError(f"journal record version {shown} is not {RECORD_VERSION}")
    cls = KINDS.get(kind) if isinstance(kind, str) else None
    if cls is None:
        raise RecordError("unknown kind of journal record")
    names = {item.name for item in fields(cls)}
    if set(body) - names:
        raise RecordError(f"{kind}: unknown fields {sorted(set(body) - names)}")
    try:
        return cls(**{name: _convert_field(cls, name, item) for name, item in body.items()})
    except (TypeError, ValueError, InputError) as exc:
        raise RecordError(f"malformed journal record {kind}: {exc}") from exc


@cache
def _hints(kind: str) -> dict[str, Any]:
    return get_type_hints(KINDS[kind])


def _convert_field(cls: type[Record], name: str, value: Any) -> Any:
    hint = _hints(cls.__name__)[name]
    while hasattr(hint, "__supertype__"):
        hint = hint.__supertype__
    if hint is JobSpec:
        return spec_from_json(value)
    if issubclass(hint, Enum):
        return hint(value)
    if hint is float:
        return float(to_number(value, name))
    if type(value) is not hint:
        raise ValueError(f"{name} must be a {hint.__name__}")
    return value
