"""Checks the invariants against the records of workers, backend servers and callers."""

import json
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path
from typing import Any

from apricotpath_bench.workerstandin import checkpoint_progress

MAX_TAKE_OUT_DELAY_S = 5.0
MAX_LEAVE_DELAY_S = 5.0
BUNDLE_BOUND_S = 5.0
# A worker stand-in reads the wall clock only once, at its start, and derives all later
# times from the monotonic clock. The times of two workers can differ by the delay between
# reading the two clocks.
CLOCK_SLACK_S = 0.02


@dataclass(slots=True)
class TaskRun:
    """One attempt on a worker; unix times in seconds, `ended` is None while it runs."""

    worker: str
    data_centre: str
    task: str
    attempt: int
    activity: str
    started: float
    resumed_from: str
    ended: float | None = None
    checkpoint: str = ""
    outcome: str = ""


@dataclass(frozen=True, slots=True)
class Commitment:
    """Sum of declared sizes on a worker after an event, plus its backend server's claim."""

    worker: str
    cpu_milli: int
    memory_mb: int
    cpu_limit: int
    memory_limit: int


@dataclass(frozen=True, slots=True)
class RequestRun:
    """One run at a backend server; unix time in seconds."""

    backend: str
    request: str
    key: str
    path: str
    started: float


@dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller and its result; `outcome` is `cut` if the connection failed.

    `run` is the id of the request that the answer belongs to. `problem` describes
    a wrong body and is empty otherwise. Unix times in seconds.
    """

    path: str
    entry: int
    request_class: str
    key: str
    sent_at: float
    ended: float
    outcome: str
    status: int
    run: str = ""
    problem: str = ""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Period:
    """Time span for a name: a data centre, backend server or process; unix times."""

    name: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class ForbiddenSpan:
    """Time span in which an activity must not run in a data centre; unix times."""

    data_centre: str
    activity: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class Sample:
    """Bundle version that a process (name and pid) reported at a unix time."""

    process: str
    pid: int
    at: float
    version: int


@dataclass(slots=True)
class Observations:
    """All records of a run.

    `outs` and `leaves` are the spans in which a data centre or a leaving backend
    server must get no new work. `in_force` holds bundle versions and the unix
    times at which they were applied.
    """

    tasks: list[TaskRun] = field(default_factory=list)
    commitments: list[Commitment] = field(default_factory=list)
    requests: list[RequestRun] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    take_outs: list[Period] = field(default_factory=list)
    shutdowns: list[Period] = field(default_factory=list)
    forbidden: list[ForbiddenSpan] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    in_force: list[tuple[int, float]] = field(default_factory=list)
    # Spans in which a process was subject to a fault and may have an older bundle.
    disturbed: list[Period] = field(default_factory=list)


def read_worker(
    path: Path, worker: str, data_centre: str, size: tuple[int, int], claim: tuple[int, int]
) -> tuple[list[TaskRun], list[Commitment]]:
    """Return the runs and commitments in a worker's record file.

    A `killed` event ends all open runs at its time `at`.
    """
    runs: list[TaskRun] = []
    open_runs: dict[tuple[str, int], TaskRun] = {}
    totals = []
    for line in _read_json_lines(path):
        if line["event"] == "killed":
            for run in open_runs.values():
                run.ended, run.outcome = line["at"], "killed"
            open_runs = {}
            continue
        key = (line["task"], line["attempt"])
        if line["event"] == "start":
            run = TaskRun(
                *(worker, data_centre, *key, line["activity"]),
                *(line["started_at"], line["resumed_from"]),
            )
            runs.append(run)
            open_runs[key] = run
        elif key in open_runs:
            run = open_runs.pop(key)
            run.ended, run.outcome = line["ended_at"], line["outcome"]
            run.checkpoint = line["checkpoint"]
        declared = line["declared"]
        cpu, memory = declared["cpu_milli"] + claim[0], declared["memory_mb"] + claim[1]
        totals.append(Commitment(worker, cpu, memory, *size))
    return runs, totals


def read_backend(path: Path, backend: str, unix_offset: float) -> list[RequestRun]:
    """Return the runs in a backend server's record file.

    `unix_offset` converts the times of its monotonic clock to unix time.
    """
    return [
        RequestRun(backend, row["request"], row["key"], row["path"], row["start"] + unix_offset)
        for row in _read_json_lines(path)
        if row["event"] == "start"
    ]


def _read_json_lines(path: Path) -> list[dict[str, Any]]:
    if not path.exists():
        return []
    # A kill can truncate the last line; only lines with a newline are complete.
    rows = path.read_text(encoding="utf-8").split("\n")[:-1]
    return [json.loads(row) for row in rows if row]


def commitments_problems(observed: Observations) -> Iterator[str]:
    """R1: the declared sizes plus the claim never exceed the host's size."""
    for row in observed.commitments:
        if row.cpu_milli > row.cpu_limit or row.memory_mb > row.memory_limit:
            yield f"{row.worker} holds {row.cpu_milli} milli-cores and {row.memory_mb} MB"


def overlap_problems(observed: Observations) -> Iterator[str]:
    """R2: no two attempts of one task run at the same time."""
    for task, runs in _runs_by_task(observed).items():
        for first, second in pairwise(runs):
            if first.ended is None or first.ended > second.started + CLOCK_SLACK_S:
                yield (
                    f"{task}#{first.attempt} on {first.worker} until {first.ended} overlaps "
                    f"#{second.attempt} on {second.worker} from {second.started}"
                )


def resume_problems(observed: Observations) -> Iterator[str]:
    """R3: each attempt runs once and resumes from the latest checkpoint of an eviction."""
    for task, runs in _runs_by_task(observed).items():
        attempts = [run.attempt for run in runs]
        if len(set(attempts)) != len(attempts) or attempts != sorted(attempts):
            yield f"{task} ran the attempts {attempts}"
        latest = ""
        for run in runs:
            if checkpoint_progress(run.resumed_from) < checkpoint_progress(latest):
                yield f"{task}#{run.attempt} began at {run.resumed_from!r}, not {latest!r}"
            if run.outcome == "evicted":
                latest = run.checkpoint


def take_out_problems(observed: Observations) -> Iterator[str]:
    """R4: no task starts in a data centre while it is out of service."""
    for span in observed.take_outs:
        for run in observed.tasks:
            if run.data_centre == span.name and span.since < run.started < span.until:
                delay_s = run.started - span.since
                yield f"{run.task}#{run.attempt} started in {span.name} {delay_s:.2f} s too late"


def body_problems(observed: Observations) -> Iterator[str]:
    """R5: an answer is complete and belongs to the caller's own request or key."""
    runs = {run.request: run for run in observed.requests}
    for call in observed.calls:
        if call.outcome != "answered":
            continue
        if call.problem:
            yield f"{call.path}: {call.problem}"
        elif call.status == 200:
            run = runs.get(call.run)
            if run is None or (run.key != call.key if call.key else run.path != call.path):
                yield f"{call.path}: the answer belongs to {run}"


def not_run_problems(observed: Observations) -> Iterator[str]:
    """R6: a request answered `not-run` has not run, nor has its key before the answer."""
    paths = {run.path: run for run in observed.requests}
    keys = {run.key: run for run in observed.requests if run.key}
    for call in observed.calls:
        if call.outcome == "not-run" and call.path in paths:
            yield f"{call.path} was answered as not run ({call.reason}): {paths[call.path]}"
        run = keys.get(call.key) if call.key else None
        if call.outcome == "not-run" and run is not None and run.started < call.ended:
            yield f"{call.path}: answered as not run ({call.reason}), but its key ran: {run}"


def key_problems(observed: Observations) -> Iterator[str]:
    """R7: requests with the same idempotency key run at most once."""
    found = defaultdict(list)
    for run in observed.requests:
        if run.key:
            found[run.key].append(run)
    for key, runs in found.items():
        if len(runs) > 1:
            yield f"key {key} ran {len(runs)} times: {runs}"


def leaving_problems(observed: Observations) -> Iterator[str]:
    """R8: a leaving backend server gets no new requests after LEAVE_BOUND_S."""
    for leave in observed.shutdowns:
        for run in observed.requests:
            if (
                run.backend == leave.name
                and leave.since + MAX_LEAVE_DELAY_S < run.started < leave.until
            ):
                yield f"{run.path} started on {leave.name} {run.started - leave.since:.2f} s late"


def version_problems(observed: Observations) -> Iterator[str]:
    """R10: versions never go back, and each reaches all processes within BUNDLE_BOUND_S."""
    last: dict[tuple[str, int], int] = {}
    for sample in observed.samples:
        key = (sample.process, sample.pid)
        if sample.version < last.get(key, 0):
            yield f"{sample.process} went from version {last[key]} to {sample.version}"
        last[key] = sample.version
        due = [v for v, at in observed.in_force if at + BUNDLE_BOUND_S < sample.at]
        if sample.version < max(due, default=0) and not _was_disturbed(observed, sample):
            yield f"{sample.process} has version {sample.version} at {sample.at}, not {max(due)}"


def ban_problems(observed: Observations) -> Iterator[str]:
    """R11: no task runs where or when the bundle forbids it."""
    for ban in observed.forbidden:
        for run in observed.tasks:
            if (run.data_centre, run.activity) != (ban.data_centre, ban.activity):
                continue
            if run.started < ban.until and (run.ended is None or run.ended > ban.since):
                yield f"{run.task}#{run.attempt} ran in {ban.data_centre} until {run.ended}: {ban}"


INVARIANTS = {
    "R1 no host beyond its size": commitments_problems,
    "R2 no task in two places": overlap_problems,
    "R3 evicted work resumes once, from its newest checkpoint": resume_problems,
    "R4 no start after a take-out": take_out_problems,
    "R5 whole answers to their own callers": body_problems,
    "R6 'not run' is true": not_run_problems,
    "R7 a key runs at most once": key_problems,
    "R8 a leaving backend server gets nothing new": leaving_problems,
    "R10 bundles spread and never revert": version_problems,
    "R11 nothing runs where or when it is forbidden": ban_problems,
}


def check_invariants(observed: Observations) -> dict[str, Sequence[str]]:
    """Return the violations of every invariant by its name."""
    return {name: list(problems(observed)) for name, problems in INVARIANTS.items()}


def _runs_by_task(observed: Observations) -> dict[str, list[TaskRun]]:
    found = defaultdict(list)
    for run in observed.tasks:
        found[run.task].append(run)
    return {task: sorted(runs, key=lambda run: run.started) for task, runs in found.items()}


def _was_disturbed(observed: Observations, sample: Sample) -> bool:
    return any(
        item.name == sample.process and item.since <= sample.at <= item.until + BUNDLE_BOUND_S
        for item in observed.disturbed
    )
