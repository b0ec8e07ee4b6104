"""Versioned trace of what an entry saw, one JSON line per event: record, write and read."""

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
# Bounds of a recording: events waiting to be written, bytes of the file, seconds
# between writes. What exceeds them is dropped and counted.
MAX_WAITING = 10_000
MAX_BYTES = 256 << 20
WRITE_S = 1.0
# Longest wait for the last write when the process ends.
LAST_WRITE_S = 2.0


@dataclass(frozen=True, slots=True)
class Header:
    """First line of a trace. `utc` is the ISO time at which the event times are 0.

    `settings` are those that matter for a replay, `source` says how it was made.
    """

    version: int
    shape: str
    seed: int
    utc: str
    source: str
    settings: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Event:
    """One input of the decisions."""


@dataclass(frozen=True, slots=True)
class Job(Event):
    """An accepted job; `run_ratio` is the real run time against the declared one, if known."""

    spec: JobSpec
    run_ratio: float = 1.0


@dataclass(frozen=True, slots=True)
class Cancel(Event):
    """A cancelled job."""

    job: JobId


@dataclass(frozen=True, slots=True)
class HostUp(Event):
    """A host that was announced, with its backend server if `slots` is not 0."""

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
    """A host whose agent is gone or leaves."""

    process: ProcessId


@dataclass(frozen=True, slots=True)
class TaskSeen:
    """A task in a report."""

    task: TaskId
    attempt: int
    progress: float
    activity: str = ""


@dataclass(frozen=True, slots=True)
class Report(Event):
    """A host's report: measured usage, slowdown of its requests, and its tasks."""

    process: ProcessId
    usage: Size
    pressure: float
    tasks: tuple[TaskSeen, ...] = ()


@dataclass(frozen=True, slots=True)
class Activity(Event):
    """How an activity behaves beside others, as it was measured.

    One task adds `pressure` to the slowdown of requests and `drag` to that of
    other tasks; `use_ratio` is its real use against the declared size. Without
    `keeps`, an eviction loses the work since the newest checkpoint.
    """

    activity: str
    pressure: float = 0.0
    drag: float = 0.0
    use_ratio: float = 1.0
    keeps: bool = True


@dataclass(frozen=True, slots=True)
class Request(Event):
    """Requests of one class; `count` of them arrive within `over_s` seconds.

    `work_s` is the time one takes at an idle backend server, 0 if it is not known.
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
    """The end of one try at a backend server; status 0 if there was no answer."""

    process: ProcessId
    latency_s: float
    status: int


@dataclass(frozen=True, slots=True)
class Status(Event):
    """Operators took a data centre out of service or brought it back."""

    data_centre: DataCentreId
    state: ServiceState
    seq: int


@dataclass(frozen=True, slots=True)
class BundleInForce(Event):
    """A bundle that came into force, without its signature."""

    text: str


@dataclass(frozen=True, slots=True)
class Dropped(Event):
    """Events that were not recorded since the last such line."""

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
    """An event at a time in seconds after the trace began."""

    at: float
    event: Event


@dataclass(frozen=True, slots=True)
class Trace:
    """A whole trace; times never decrease."""

    header: Header
    events: tuple[Timed, ...]


T = TypeVar("T")


def _plain(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if is_dataclass(value) and not isinstance(value, type):
        shown = {item.name: _plain(getattr(value, item.name)) for item in fields(value)}
        return {name: item for name, item in shown.items() if item not in (None, "")}
    if isinstance(value, tuple):
        return [_plain(item) for item in value]
    return value


def header_line(header: Header) -> str:
    """Return the first line of a trace."""
    return json.dumps({"kind": "trace", **_plain(header)}, ensure_ascii=False)


def event_line(at: float, event: Event) -> str:
    """Return the line of an event."""
    shown = {"at": round(at, 6), "kind": NAMES[type(event)], **_plain(event)}
    return json.dumps(shown, ensure_ascii=False, separators=(",", ":"))


def write_trace(path: Path, trace: Trace) -> None:
    """Write a trace; raises TraceError if the file cannot be written."""
    lines = [header_line(trace.header), *(event_line(t.at, t.event) for t in trace.events)]
    try:
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
    except OSError as exc:
        raise TraceError(f"{path}: cannot be written: {exc.strerror}") from exc


def read_trace(path: Path) -> Trace:
    """Return the trace in a file, or raise TraceError naming the file and line."""
    try:
        with path.open(encoding="utf-8") as file:
            return parse_trace(file, str(path))
    except OSError as exc:
        raise TraceError(f"{path}: cannot be read: {exc.strerror}") from exc
    except UnicodeDecodeError as exc:
        raise TraceError(f"{path}: is not UTF-8 text") from exc


def parse_trace(lines: Iterable[str], name: str) -> Trace:
    """Return the trace in some lines; raises TraceError like `read_trace`."""
    numbered = ((number, line) for number, line in enumerate(lines, 1) if line.strip())
    first = next(numbered, None)
    if first is None:
        raise TraceError(f"{name}: is empty")
    header = _header(first[1], f"{name}, line {first[0]}")
    return Trace(header, tuple(_events(numbered, name)))


def _events(numbered: Iterator[tuple[int, str]], name: str) -> Iterator[Timed]:
    former = 0.0
    for number, line in numbered:
        where = f"{name}, line {number}"
        body = _object(line, where)
        at, kind = body.pop("at", None), body.pop("kind", None)
        if isinstance(at, bool) or not isinstance(at, int | float) or not former <= at < 1e9:
            raise TraceError(f"{where}: at must be a time in seconds that does not go back")
        cls = KINDS.get(kind) if isinstance(kind, str) else None
        if cls is None:
            raise TraceError(f"{where}: unknown kind of event {kind!r}")
        former = float(at)
        yield Timed(former, _build(cls, body, where))


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
    """Records events of a running entry; never waits and never fails.

    Lines wait in memory until `run` writes them in a thread. When too many
    wait, the file is full or a write fails, events are dropped and counted.
    """

    def __init__(self, path: Path, header: Header, max_bytes: int = MAX_BYTES) -> None:
        self.path = path
        self.header = header
        self.max_bytes = max_bytes
        self.dropped = 0
        self.written = 0
        self._noted = 0
        self._headed = False
        self._waiting: deque[tuple[float, Event]] = deque()
        self._began: float | None = None

    def record(self, event: Event) -> None:
        """Take an event at the present time."""
        if len(self._waiting) >= MAX_WAITING or self.written >= self.max_bytes:
            self.dropped += 1
            return
        now = anyio.current_time()
        if self._began is None:
            self._began = now
        self._waiting.append((now - self._began, event))

    async def run(self) -> None:
        """Write what is recorded until cancelled; the rest is written then."""
        try:
            while True:
                await anyio.sleep(WRITE_S)
                await self.flush()
        finally:
            with anyio.move_on_after(LAST_WRITE_S, shield=True):
                await self.flush()

    async def flush(self) -> None:
        """Write what is recorded so far."""
        waiting, self._waiting = self._waiting, deque()
        if not waiting:
            return
        missed = self.dropped - self._noted
        if missed:
            waiting.append((waiting[-1][0], Dropped(missed)))
            self._noted += missed
        await run_sync(self._write_events, waiting, abandon_on_cancel=True)

    def _write_events(self, events: Iterable[tuple[float, Event]]) -> None:
        """Format and write events; runs in a thread, so that the event loop is not held up."""
        if not self._headed:
            self._headed = True
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
