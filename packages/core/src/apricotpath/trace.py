"""Versioned trace of an entry's input events, one JSON line each: recording, writing, reading."""

import json
import logging
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, fields, is_dataclass
from enum import Enum
from pathlib import Path
from typing import Any, TypeVar

import anyio
from anyio.to_thread import run_sync

from apricotpath.config import build
from apricotpath.errors import SettingsError, TraceError
from apricotpath.ids import (
    ClassId,
    DataCentreId,
    HostId,
    JobId,
    ProcessId,
    RackId,
    ServiceId,
    TaskId,
    TeamId,
)
from apricotpath.model import JobSpec, ServiceState, Size

log = logging.getLogger(__name__)

TRACE_VERSION = 1
NO_TEAM, NO_RACK = TeamId(""), RackId("")
# Limits of a recording: events waiting to be written, and bytes of the file. Events beyond
# them are dropped and counted. Waiting events are written every WRITE_INTERVAL_S seconds.
MAX_WAITING_EVENTS = 10_000
MAX_FILE_BYTES = 256 << 20
WRITE_INTERVAL_S = 1.0
# Maximum duration of the last write when the process ends.
LAST_WRITE_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Header:
    """First line of a trace; `utc` is the ISO time that corresponds to event time 0.

    `settings` are those that a replay needs; `source` describes how the trace was made.
    """

    version: int
    shape: str
    seed: int
    utc: str
    source: str
    settings: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Event:
    """Base class of trace events, the inputs of scheduling and routing decisions."""


@dataclass(frozen=True, slots=True)
class Job(Event):
    """An accepted job; `run_ratio` is its actual divided by its declared run time, or 1.0."""

    spec: JobSpec
    run_ratio: float = 1.0


@dataclass(frozen=True, slots=True)
class Cancel(Event):
    """A cancelled job."""

    job: JobId


@dataclass(frozen=True, slots=True)
class HostUp(Event):
    """A host announced itself, with a backend server if `slots` is not 0."""

    process: ProcessId
    host: HostId
    data_centre: DataCentreId
    size: Size
    rack: RackId = NO_RACK
    service: ServiceId | None = None
    slots: int = 0
    connections: int = 0


@dataclass(frozen=True, slots=True)
class HostGone(Event):
    """A host's agent disconnected or is leaving."""

    process: ProcessId


@dataclass(frozen=True, slots=True)
class TaskSeen:
    """A task in a host's report."""

    task: TaskId
    attempt: int
    progress: float
    activity: str = ""


@dataclass(frozen=True, slots=True)
class Report(Event):
    """A host's report: measured usage, slowdown of its requests (`pressure`), and its tasks."""

    process: ProcessId
    usage: Size
    pressure: float
    tasks: tuple[TaskSeen, ...] = ()


@dataclass(frozen=True, slots=True)
class Activity(Event):
    """Measured effect of an activity on other work on the same host.

    One task adds `pressure` to the slowdown of requests and `drag` to that of
    other tasks; `use_ratio` is its actual usage divided by its declared size. If
    `keeps` is false, an eviction loses the work since the last checkpoint.
    """

    activity: str
    pressure: float = 0.0
    drag: float = 0.0
    use_ratio: float = 1.0
    keeps: bool = True


@dataclass(frozen=True, slots=True)
class Request(Event):
    """Requests of one class; `count` of them arrive within `over_s` seconds.

    `work_s` is the service time of one at an idle backend server, 0 if unknown.
    """

    service: ServiceId
    request_class: ClassId
    team: TeamId = NO_TEAM
    work_s: float = 0.0
    deadline_s: float = 10.0
    count: int = 1
    over_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Answer(Event):
    """The end of one attempt at a backend server; `status` is 0 if there was no response."""

    process: ProcessId
    latency_s: float
    status: int


@dataclass(frozen=True, slots=True)
class Status(Event):
    """Operators took a data centre out of service or put it back into service."""

    data_centre: DataCentreId
    state: ServiceState
    seq: int


@dataclass(frozen=True, slots=True)
class BundleInForce(Event):
    """A bundle took effect; `text` is its JSON without the signature."""

    text: str


@dataclass(frozen=True, slots=True)
class Dropped(Event):
    """Number of events dropped since the previous such event."""

    count: int


KINDS: dict[str, type[Event]] = {
    "job": Job,
    "cancel": Cancel,
    "host": HostUp,
    "gone": HostGone,
    "report": Report,
    "activity": Activity,
    "request": Request,
    "answer": Answer,
    "status": Status,
    "bundle": BundleInForce,
    "dropped": Dropped,
}
NAMES = {cls: name for name, cls in KINDS.items()}


@dataclass(frozen=True, slots=True)
class Timed:
    """An event with its time in seconds since the start of the trace."""

    at: float
    event: Event


@dataclass(frozen=True, slots=True)
class Trace:
    """A complete trace; event times never decrease."""

    header: Header
    events: tuple[Timed, ...]


T = TypeVar("T")


def _to_json_value(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if is_dataclass(value) and not isinstance(value, type):
        content = {item.name: _to_json_value(getattr(value, item.name)) for item in fields(value)}
        return {name: item for name, item in content.items() if item not in (None, "")}
    if isinstance(value, tuple):
        return [_to_json_value(item) for item in value]
    return value


def header_line(header: Header) -> str:
    """Return the first line of a trace, without a newline."""
    return json.dumps({"kind": "trace", **_to_json_value(header)}, ensure_ascii=False)


def event_line(at: float, event: Event) -> str:
    """Return the line of an event, without a newline; `at` is in seconds."""
    content = {"at": round(at, 6), "kind": NAMES[type(event)], **_to_json_value(event)}
    return json.dumps(content, ensure_ascii=False, separators=(",", ":"))


def write_trace(path: Path, trace: Trace) -> None:
    """Write a trace to a file; raises TraceError if it cannot be written."""
    lines = [header_line(trace.header), *(event_line(t.at, t.event) for t in trace.events)]
    try:
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
    except OSError as exc:
        raise TraceError(f"{path}: cannot be written: {exc.strerror}") from exc


def read_trace(path: Path) -> Trace:
    """Read a trace from a file; a TraceError names the file and line."""
    try:
        with path.open(encoding="utf-8") as file:
            return parse_trace(file, str(path))
    except OSError as exc:
        raise TraceError(f"{path}: cannot be read: {exc.strerror}") from exc
    except UnicodeDecodeError as exc:
        raise TraceError(f"{path}: is not UTF-8 text") from exc


def parse_trace(lines: Iterable[str], name: str) -> Trace:
    """Parse the lines of a trace; `name` is the file name in a TraceError."""
    numbered = ((number, line) for number, line in enumerate(lines, 1) if line.strip())
    first = next(numbered, None)
    if first is None:
        raise TraceError(f"{name}: is empty")
    header = _header(first[1], f"{name}, line {first[0]}")
    return Trace(header, tuple(_events(numbered, name)))


def _events(numbered: Iterator[tuple[int, str]], name: str) -> Iterator[Timed]:
    previous = 0.0
    for number, line in numbered:
        where = f"{name}, line {number}"
        body = _object(line, where)
        at, kind = body.pop("at", None), body.pop("kind", None)
        if isinstance(at, bool) or not isinstance(at, int | float) or not previous <= at < 1e9:
            raise TraceError(f"{where}: at must be a time in seconds that does not go back")
        cls = KINDS.get(kind) if isinstance(kind, str) else None
        if cls is None:
            raise TraceError(f"{where}: unknown kind of event {kind!r}")
        previous = float(at)
        yield Timed(previous, _build(cls, body, where))


def _header(line: str, where: str) -> Header:
    body = _object(line, where)
    if body.pop("kind", None) != "trace":
        raise TraceError(f"{where}: a trace begins with a line of kind 'trace'")
    version = body.get("version")
    if isinstance(version, int) and version > TRACE_VERSION:
        raise TraceError(f"{where}: version {version} is newer than {TRACE_VERSION}")
    if version != TRACE_VERSION:
        raise TraceError(f"{where}: unknown version {version!r}")
    return _build(Header, body, where)


def _object(line: str, where: str) -> dict[str, Any]:
    try:
        body = json.loads(line)
    except (ValueError, RecursionError) as exc:
        raise TraceError(f"{where}: is not JSON: {exc}") from exc
    if not isinstance(body, dict):
        raise TraceError(f"{where}: must be an object")
    return body


def _build(cls: type[T], body: dict[str, Any], where: str) -> T:
    try:
        return build(cls, body, where)
    except SettingsError as exc:
        raise TraceError(str(exc).replace("setting", "field", 1)) from exc


class Recorder:
    """Records events of a running entry; `record` never blocks and never fails.

    Events are queued in memory until `run` writes them in a thread. If the queue
    or the file is full or a write fails, events are dropped and counted.
    """

    def __init__(self, path: Path, header: Header, max_bytes: int = MAX_FILE_BYTES) -> None:
        self.path = path
        self.header = header
        self.max_bytes = max_bytes
        self.dropped = 0
        self.written = 0
        self._reported_drops = 0
        self._header_written = False
        self._waiting: deque[tuple[float, Event]] = deque()
        self._started_at: float | None = None

    def record(self, event: Event) -> None:
        """Queue an event with the current time."""
        if len(self._waiting) >= MAX_WAITING_EVENTS or self.written >= self.max_bytes:
            self.dropped += 1
            return
        now = anyio.current_time()
        if self._started_at is None:
            self._started_at = now
        self._waiting.append((now - self._started_at, event))

    async def run(self) -> None:
        """Write queued events periodically until cancelled, and once more at the end."""
        try:
            while True:
                await anyio.sleep(WRITE_INTERVAL_S)
                await self.flush()
        finally:
            with anyio.move_on_after(LAST_WRITE_TIMEOUT_S, shield=True):
                await self.flush()

    async def flush(self) -> None:
        """Write all queued events."""
        waiting, self._waiting = self._waiting, deque()
        if not waiting:
            return
        unreported_drops = self.dropped - self._reported_drops
        if unreported_drops:
            waiting.append((waiting[-1][0], Dropped(unreported_drops)))
            self._reported_drops += unreported_drops
        await run_sync(self._write_events, waiting, abandon_on_cancel=True)

    def _write_events(self, events: Iterable[tuple[float, Event]]) -> None:
        """Format and write events; runs in a thread, so that it does not block the event loop."""
        if not self._header_written:
            self._header_written = True
            self._write([header_line(self.header)], "w")
        self._write([event_line(at, event) for at, event in events], "a")

    def _write(self, lines: list[str], mode: str) -> None:
        text = "\n".join(lines) + "\n"
        try:
            if self.written + len(text) > self.max_bytes:
                raise OSError(f"the trace would exceed {self.max_bytes} bytes")
            with self.path.open(mode, encoding="utf-8") as file:
                file.write(text)
            self.written += len(text)
        except OSError as exc:
            if not self.dropped:
                log.warning("the trace is incomplete: %s", exc)
            self.dropped += len(lines)
