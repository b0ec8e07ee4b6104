"""Steps for platforminput.feature."""

import contextlib
import io
import json
import tempfile
from collections.abc import Callable
from dataclasses import replace
from functools import cache
from pathlib import Path
from typing import Any

import httpx
from behave import then, when
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from apricotpath import worker
from apricotpath.config import PolicySettings, StoreSettings
from apricotpath.entryrecords import EntryRecord, LeaderRecord
from apricotpath.errors import InputError, RecordError, SettingsError, StoreError
from apricotpath.executor import ExecutorError
from apricotpath.ids import Epoch, JobId, QueueId, ShardId, TaskId
from apricotpath.jobcodec import parse_job
from apricotpath.journal import Journal
from apricotpath.messages import RunEnding, RunStatus
from apricotpath.records import from_json
from apricotpath.runlog import decode_records
from apricotpath.store import EtcdStore, KeyValue, LeaseId, has_token
from apricotpath.worker import from_json_value
from apricotpath.workload import RunResult
from apricotpath_platform import executorcalls, machinecalls, store, waves
from apricotpath_platform.cmdline import main
from apricotpath_platform.heartbeats import parse_heartbeat
from apricotpath_platform.jobrequests import parse_submission
from apricotpath_platform.operatorview import parse_configuration
from apricotpath_platform.settings import load_node_settings
from apricotpathd.controlrecords import build_view
from support.oddvalues import (
    HEARTBEAT,
    ODD_ENDED,
    ODD_HEARTBEATS,
    ODD_RUN_DETAILS,
    ODD_RUNNING,
    ODD_VALUES,
    raw_object,
)

# Field names that the parsers look up, so that random objects exercise more than a missing field.
NAMES = st.sampled_from(
    [
        *("steps", "count", "cpu", "after", "spec", "times", "startAtMs", "routes", "name", "host"),
        *("prefix", "service", "version", "limits", "state", "capacity", "labels", "born", "seq"),
        *("zone", "running", "ended", "clockMs", "ip", "listen", "portRange", "bounds", "platform"),
        *("addr", "nodeName", "key", "value", "rev", "items", "events", "deleted", "currentRev"),
        *("hasMore", "priority", "daemon", "services", "enforcesCapacity", "wave", "machines"),
        *("durationS", "maxCount", "machine", "id", "nextToken", "reason", "cloudApi", "ratePerS"),
    ]
)
LEAVES = (
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["ready", "1.2.3.4:5", "AA==", "x" * 5000])
)
VALUES = st.recursive(
    LEAVES,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(NAMES, inner, max_size=8),
    max_leaves=25,
)
OBJECTS = st.dictionaries(NAMES, VALUES, max_size=14)


def read_settings(data: bytes) -> None:
    with tempfile.NamedTemporaryFile() as file:
        file.write(data)
        file.flush()
        load_node_settings(file.name)


def read_store(data: bytes) -> None:
    for read in (store._read_item, store._read_page, store._read_changes):
        with contextlib.suppress(StoreError):
            read(data)


def read_control_keys(data: bytes) -> None:
    """Read a value under each control key; malformed ones are left out."""
    for name in ("bundle/current", "dc/a", "entry/a", "service/a", "shard/1"):
        item = KeyValue(f"p/{name}", data, 1, LeaseId(0))
        build_view([item], "p/", 1, 0.0)


@cache
def journal() -> Journal:
    store = EtcdStore(StoreSettings("http://127.0.0.1:1"))
    return Journal(store, ShardId(1), Epoch(1), 1, PolicySettings())


def read_journal(data: bytes) -> None:
    """Read a value of the journal, and each record in it."""
    content = journal()._content(KeyValue("journal", data, 1, LeaseId(0)))
    for row in content["records"]:
        with contextlib.suppress(RecordError):
            from_json(row)


def read_worker(data: bytes) -> None:
    answer = worker._parse(data)
    if answer is not None:
        from_json_value(worker.WorkerTask, answer)


def read_machines(data: bytes) -> None:
    machinecalls._read_answer(httpx.Response(409, content=data))
    rows, _ = machinecalls.read_page(data)
    for row in rows:
        machinecalls._read_machine(row)


READERS: dict[str, tuple[Callable[[bytes], Any], type[Exception]]] = {
    "submission": (lambda data: parse_submission(JobId("a"), QueueId("q"), data), InputError),
    "configuration": (parse_configuration, InputError),
    "heartbeat": (lambda data: parse_heartbeat("i-1", data, 0.0), InputError),
    "holding": (
        lambda data: executorcalls.ReportReader().read(httpx.Response(200, content=data)),
        ExecutorError,
    ),
    "settings": (read_settings, SettingsError),
    "store answer": (read_store, StoreError),
    "entry": (EntryRecord.parse, InputError),
    "leader": (LeaderRecord.parse, InputError),
    "stored job": (parse_job, InputError),
    "run log": (lambda data: decode_records(KeyValue("log", data, 1, LeaseId(0))), InputError),
    "control keys": (read_control_keys, InputError),
    "writer token": (lambda data: has_token(data, "token"), InputError),
    "journal": (read_journal, StoreError),
    "worker answer": (read_worker, ValueError),
    "wave": (lambda data: waves.parse_wave("1", data, 1), InputError),
    "state of a wave": (waves._parse_status, InputError),
    "machine list": (read_machines, InputError),
}


@when("the platforminput parser reads a configuration with the services {services}")
def read_services(context: Any, services: str) -> None:
    route = {"name": "bread", "host": "a.example", "prefix": "/b/", "service": "bakery"}
    body = {"version": 3, "routes": [route], "services": json.loads(services)}
    try:
        context.configuration = parse_configuration(json.dumps(body).encode())
    except InputError:
        context.configuration = None


@then("the platforminput queue of the service bakery {result}")
def queue_guards(context: Any, result: str) -> None:
    parsed = context.configuration
    if parsed is None:
        found = "is refused"
    elif parsed.queues[QueueId("bread")].guards_capacity:
        found = "guards its capacity"
    else:
        found = "does not guard its capacity"
    assert found == result, found


@when("the platforminput parser for {name} reads {count:d} random inputs")
def read_random(context: Any, count: int, name: str) -> None:
    read, expected_error = READERS[name]
    context.failures = []

    @settings(
        max_examples=count,
        deadline=None,
        database=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.binary(max_size=40) | OBJECTS.map(lambda value: json.dumps(value).encode()))
    def check_random(data: bytes) -> None:
        check(data)

    def check(data: bytes) -> None:
        try:
            read(data)
        except expected_error:
            pass
        except Exception as exc:
            context.failures.append((data[:300], repr(exc)))

    check_random()
    for data in ODD_VALUES:
        check(data)


@then("the platforminput parser returned a value or raised its own error each time")
def check_failures(context: Any) -> None:
    assert not context.failures, context.failures[:3]


VALID_SETTINGS: dict[str, Any] = {
    "nodeName": "front-1",
    "ip": "127.0.0.1",
    "zone": "z1",
    "listen": {"front": "127.0.0.1:8161", "ready": "127.0.0.1:8167"},
    "portRange": [7720, 7735],
    "bounds": {},
    "platform": {"addr": "127.0.0.1:8169"},
}


UNREADABLE = {"is not JSON": "{", "is nested deeply": 100_000 * "["}
ODD_PORTS = {
    "has a port of 1e400": "1e400",
    "has a port of 65536": "65536",
    "has a nested port": 900 * "[" + 900 * "]",
}


@when("the platform's command starts with a settings file that {fault}")
def start_command(context: Any, fault: str) -> None:
    body = dict(VALID_SETTINGS)
    if fault == "has no ip":
        del body["ip"]
    elif fault == "has a bad address":
        body["platform"] = {"addr": "nowhere"}
    elif fault == "has a bad cloudApi":
        body["cloudApi"] = {"addr": "nowhere"}
    elif fault == "has a rate of 0":
        body["cloudApi"] = {"addr": "127.0.0.1:8170", "ratePerS": 0}
    elif fault == "has no port range":
        body["portRange"] = []
    elif fault == "has a high address":
        body["platform"] = {"addr": "127.0.0.1:99999"}
    text = json.dumps(body)
    if fault in ODD_PORTS:
        text = text.replace("7720", ODD_PORTS[fault])
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        if fault != "does not exist":
            path.write_text(UNREADABLE.get(fault, text))
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors):
            context.code = main(["entry", "--settings", str(path)])
        context.stderr = errors.getvalue()


@then("the platform's command prints one sentence with {words} and exits with 2")
def check_error_output(context: Any, words: str) -> None:
    assert context.code == 2, context.code
    assert words in context.stderr, context.stderr
    assert context.stderr.count("\n") == 1, context.stderr


@then(
    "the platforminput parser refuses each malformed heartbeat, "
    "also from an id that no header can hold"
)
def check_heartbeats(context: Any) -> None:
    accepted = []
    cases = [("i-1", label, data) for label, data in ODD_HEARTBEATS.items()]
    valid = raw_object(HEARTBEAT)
    cases += [(name, "its id", valid) for name in ("", "i-\u00e9", "i 1", "i\n1", "i" * 1000)]
    for instance, label, data in cases:
        try:
            parse_heartbeat(instance, data, 0.0)
        except InputError:
            continue
        accepted.append((instance[:10], label))
    assert not accepted, accepted
    assert parse_heartbeat("i-1", valid, 0.0)


@then("the platforminput parser keeps the other rows beside malformed ones in an executor's lists")
def check_lists(context: Any) -> None:
    running = [[f"x.0.0.{number}", 1, *rest] for number, rest in enumerate(ODD_RUN_DETAILS)]
    answer = {
        "clockMs": 1,
        "running": [*ODD_RUNNING, *running, ["x.0.1.0", 2, "c", 50, 3.5]],
        "ended": [*ODD_ENDED, [1, "x.0.2.0", 3, "done", "d"], [2, "x.0.2.1", 3, [], 7]],
    }
    reader = executorcalls.ReportReader()
    report = reader.read(httpx.Response(200, content=json.dumps(answer).encode()))
    unreadable = [RunStatus(TaskId(row[0]), 1, "", 0, 0.0) for row in running]
    assert [replace(run, percent=0) for run in report.runs[:-1]] == unreadable, report.runs
    assert report.runs[-1] == RunStatus(TaskId("x.0.1.0"), 2, "c", 50, 3.5), report.runs[-1]
    assert report.endings == (
        RunEnding(1, TaskId("x.0.2.0"), 3, RunResult.DONE, "d"),
        RunEnding(2, TaskId("x.0.2.1"), 3, RunResult.LOST, ""),
    ), report.endings
    assert reader.malformed == len(ODD_RUNNING) + len(ODD_ENDED)


@then(
    "the platforminput parser calls an executor's lists whole "
    "only if no run and no end may be missing"
)
def check_whole(context: Any) -> None:
    ends = [[number, f"x.0.0.{number}", 1, "done", ""] for number in range(1, 501)]
    cases = [
        ([["x.0.1.0", 2, "c", 50]], ends[:-1], True),
        ([["x.0.1.0", 2, 7, "much"]], [], True),
        ([], ODD_ENDED[:1], True),
        ([ODD_RUNNING[0], ["x.0.1.0", 2, "c", 50]], [], False),
        ([], ends, False),
    ]
    for running, ended, whole in cases:
        body = json.dumps({"clockMs": 1, "running": running, "ended": ended})
        report = executorcalls.ReportReader().read(httpx.Response(200, content=body.encode()))
        assert report.whole is whole, (running, ended[:3])
