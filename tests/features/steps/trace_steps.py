"""Steps for trace.feature."""

import json
import tempfile
from pathlib import Path
from typing import Any

import anyio
from behave import given, then, when

from apricotpath.errors import TraceError
from apricotpath.model import JobSpec, ServiceState, Size
from apricotpath.trace import (
    KINDS,
    Activity,
    Answer,
    BundleInForce,
    Cancel,
    Dropped,
    Header,
    HostGone,
    HostUp,
    Job,
    Recorder,
    Report,
    Request,
    Status,
    TaskSeen,
    Timed,
    Trace,
    parse_trace,
    read_trace,
    write_trace,
)

HEADER = Header(1, "suva", 5, "2026-06-01T02:00:00+00:00", "a test", {"tick_s": 0.1})
SIZE = Size(1000, 2000, 0)
EVENTS = (
    BundleInForce("{}"),
    HostUp("agent-1", "host-1", "suva-depot", SIZE, "rack-0", "scraps", 8, 64),
    Job(JobSpec("j", "compost", "sorting", SIZE, 3, 2.0), 1.5),
    Cancel("j"),
    Report("agent-1", SIZE, 1.25, (TaskSeen("j/0", 1, 0.5, "sorting"),)),
    Activity("sorting", 0.1, 0.2, 1.3, False),
    Request("scraps", "booking", "compost", 0.02, 3.0, 5, 2.0),
    Answer("agent-1", 0.02, 200),
    Status("suva-depot", ServiceState.OUT, 3),
    HostGone("agent-1"),
    Dropped(7),
)


class TraceSubject:
    """A trace in a temporary folder."""

    def __init__(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name) / "one.trace"
        self.trace = Trace(HEADER, tuple(Timed(float(n), event) for n, event in enumerate(EVENTS)))
        write_trace(self.path, self.trace)
        self.recorder: Recorder | None = None

    def corrupt(self, fault: str) -> None:
        lines = self.path.read_text().splitlines()
        third = json.loads(lines[2])
        changes: dict[str, tuple[int, Any]] = {
            "a newer version": (0, json.loads(lines[0]) | {"version": 2}),
            "no header": (0, third),
            "a broken line": (2, None),
            "an unknown kind": (2, third | {"kind": "miracle"}),
            "a time that goes back": (2, third | {"at": -1.0}),
            "a field too many": (2, third | {"extra": 1}),
            "a field of another type": (2, third | {"slots": "eight"}),
            "a list as a line": (2, []),
        }
        if fault == "no line":
            lines = []
        else:
            number, value = changes[fault]
            lines[number] = "{" if value is None else json.dumps(value)
        self.path.write_text("\n".join(lines))

    def record(self, count: int) -> None:
        assert self.recorder is not None

        async def main() -> None:
            for _ in range(count):
                self.recorder.record(HostGone("agent-1"))
            await self.recorder.flush()

        anyio.run(main)


@given("a trace with one event of every kind")
def _(context: Any) -> None:
    assert {type(event) for event in EVENTS} == set(KINDS.values())
    context.trace = TraceSubject()
    context.add_cleanup(context.trace.folder.cleanup)


@when("the trace is written and read again")
def _(context: Any) -> None:
    context.read = read_trace(context.trace.path)


@then("the trace is the same")
def _(context: Any) -> None:
    assert context.read == context.trace.trace


@when("the trace is changed to have {fault}")
def _(context: Any, fault: str) -> None:
    context.trace.corrupt(fault)


@then("the trace is refused at line {line:d} because of {text}")
def _(context: Any, line: int, text: str) -> None:
    path = context.trace.path
    try:
        read_trace(path)
    except TraceError as exc:
        place = f"{path}, line {line}: " if line else f"{path}: "
        assert str(exc).startswith(place) and text in str(exc), exc
    else:
        raise AssertionError("the trace was accepted")


@given("a trace recorder with {fault}")
def _(context: Any, fault: str) -> None:
    subject = context.trace = TraceSubject()
    context.add_cleanup(subject.folder.cleanup)
    path = Path(subject.folder.name) if fault == "a folder as its file" else subject.path
    most = 1000 if fault == "room for 1000 bytes" else 1 << 30
    subject.recorder = Recorder(path, HEADER, most)


@when("{count:d} events are recorded for the trace")
def _(context: Any, count: int) -> None:
    context.trace.record(count)


@then("the trace recorder dropped between {low:d} and {high:d} events")
def _(context: Any, low: int, high: int) -> None:
    recorder = context.trace.recorder
    assert low <= recorder.dropped <= high, recorder.dropped
    if recorder.path.is_file() and recorder.max_bytes > 1000:
        events = parse_trace(recorder.path.read_text().splitlines(), "it").events
        assert [e.event.count for e in events if isinstance(e.event, Dropped)] == [low]
