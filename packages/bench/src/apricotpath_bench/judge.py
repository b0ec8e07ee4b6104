"""Judges the invariants from the records of workers, backend servers and callers."""

import json
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path
from typing import Any

from apricotpath_bench.workerstandin import checkpoint_progress

OUT_BOUND_S = 5.0
LEAVE_BOUND_S = 5.0
BUNDLE_BOUND_S = 5.0
# Each worker stand-in reads the wall clock once, when it starts; its later times come
# from the monotonic clock. Two workers can disagree by the time between the two reads.
CLOCK_SLACK_S = 0.02


@dataclass(slots=True)
class TaskRun:
    """One attempt on a worker; unix times in seconds, `ended` None while it runs."""

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
    """Declared sizes on a worker after an event, plus its backend server's claim."""

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
    """What one caller sent and got; `outcome` is `cut` if the connection failed.

    `run` is the request id that the body belongs to, and `problem` says what
    is wrong with the body. Unix times in seconds.
    """

    path: str
    entry: int
    request_class: str
    key: str
    begun: float
    ended: float
    outcome: str
    status: int
    run: str = ""
    problem: str = ""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Period:
    """A span in which a name (data centre, backend server) must get nothing new."""

    name: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class Ban:
    """A span in which an activity may not run in a data centre."""

    data_centre: str
    activity: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class Sample:
    """Bundle version that a process (name and pid) showed at a unix time."""

    process: str
    pid: int
    at: float
    version: int


@dataclass(slots=True)
class Observed:
    """Everything that was recorded during a run."""

    tasks: list[TaskRun] = field(default_factory=list)
    commitments: list[Commitment] = field(default_factory=list)
    requests: list[RequestRun] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    outs: list[Period] = field(default_factory=list)
    leaves: list[Period] = field(default_factory=list)
    bans: list[Ban] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    in_force: list[tuple[int, float]] = field(default_factory=list)
    # Spans in which a process was being disturbed and may lag behind.
    disturbed: list[Period] = field(default_factory=list)


def read_worker(
    path: Path, worker: str, data_centre: str, size: tuple[int, int], claim: tuple[int, int]
) -> tuple[list[TaskRun], list[Commitment]]:
    """Return runs and commitments from a worker's record file.

    A line `killed` with the time `at` ends the runs that are still open.
    """
    runs: list[TaskRun] = []
    open_runs: dict[tuple[str, int], TaskRun] = {}
    sums = []
    for line in _lines(path):
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
        sums.append(Commitment(worker, cpu, memory, *size))
    return runs, sums


def read_backend(path: Path, backend: str, unix_offset: float) -> list[RequestRun]:
    """Return runs from a backend server's record; its clock plus the offset is unix time."""
    return [
        RequestRun(backend, row["request"], row["key"], row["path"], row["start"] + unix_offset)
        for row in _lines(path)
        if row["event"] == "start"
    ]


def _lines(path: Path) -> list[dict[str, Any]]:
    if not path.exists():
        return []
    # A kill can leave the last line unfinished, without an end.
    rows = path.read_text(encoding="utf-8").split("\n")[:-1]
    return [json.loads(row) for row in rows if row]


def commitments_problems(seen: Observed) -> Iterator[str]:
    """R1: the sum of declared sizes and the claim never exceeds the host."""
    for row in seen.commitments:
        if row.cpu_milli > row.cpu_limit or row.memory_mb > row.memory_limit:
            yield f"{row.worker} holds {row.cpu_milli} milli-cores and {row.memory_mb} MB"


def overlap_problems(seen: Observed) -> Iterator[str]:
    """R2: no two attempts of one task run at the same time."""
    for task, runs in _by_task(seen).items():
        for one, two in pairwise(runs):
            if one.ended is None or one.ended > two.started + CLOCK_SLACK_S:
                yield (
                    f"{task}#{one.attempt} on {one.worker} until {one.ended} overlaps "
                    f"#{two.attempt} on {two.worker} from {two.started}"
                )


def resume_problems(seen: Observed) -> Iterator[str]:
    """R3: an attempt runs once, and begins at the newest checkpoint an eviction left."""
    for task, runs in _by_task(seen).items():
        attempts = [run.attempt for run in runs]
        if len(set(attempts)) != len(attempts) or attempts != sorted(attempts):
            yield f"{task} ran the attempts {attempts}"
        newest = ""
        for run in runs:
            if checkpoint_progress(run.resumed_from) < checkpoint_progress(newest):
                yield f"{task}#{run.attempt} began at {run.resumed_from!r}, not {newest!r}"
            if run.outcome == "evicted":
                newest = run.checkpoint


def take_out_problems(seen: Observed) -> Iterator[str]:
    """R4: no start in a data centre once its take-out is in force."""
    for out in seen.outs:
        for run in seen.tasks:
            if run.data_centre == out.name and out.since < run.started < out.until:
                late = run.started - out.since
                yield f"{run.task}#{run.attempt} started in {out.name} {late:.2f} s too late"


def body_problems(seen: Observed) -> Iterator[str]:
    """R5: an answer is whole and belongs to the caller's own request or key."""
    runs = {run.request: run for run in seen.requests}
    for call in seen.calls:
        if call.outcome != "answered":
            continue
        if call.problem:
            yield f"{call.path}: {call.problem}"
        elif call.status == 200:
            run = runs.get(call.run)
            if run is None or (run.key != call.key if call.key else run.path != call.path):
                yield f"{call.path}: the answer belongs to {run}"


def not_run_problems(seen: Observed) -> Iterator[str]:
    """R6: a request answered as not run is in no record, nor is an earlier run with its key."""
    paths = {run.path: run for run in seen.requests}
    keys = {run.key: run for run in seen.requests if run.key}
    for call in seen.calls:
        if call.outcome == "not-run" and call.path in paths:
            yield f"{call.path} was answered as not run ({call.reason}): {paths[call.path]}"
        run = keys.get(call.key) if call.key else None
        if call.outcome == "not-run" and run is not None and run.started < call.ended:
            yield f"{call.path}: not run was said ({call.reason}), but its key ran: {run}"


def key_problems(seen: Observed) -> Iterator[str]:
    """R7: a key is recorded at most once."""
    found = defaultdict(list)
    for run in seen.requests:
        if run.key:
            found[run.key].append(run)
    for key, runs in found.items():
        if len(runs) > 1:
            yield f"key {key} ran {len(runs)} times: {runs}"


def leaving_problems(seen: Observed) -> Iterator[str]:
    """R8: a leaving backend server gets no new work after the bound."""
    for left in seen.leaves:
        for run in seen.requests:
            if run.backend == left.name and left.since + LEAVE_BOUND_S < run.started < left.until:
                yield f"{run.path} started on {left.name} {run.started - left.since:.2f} s late"


def version_problems(seen: Observed) -> Iterator[str]:
    """R10: a version never reverts, and one in force is everywhere within the bound."""
    last: dict[tuple[str, int], int] = {}
    for sample in seen.samples:
        key = (sample.process, sample.pid)
        if sample.version < last.get(key, 0):
            yield f"{sample.process} went from version {last[key]} to {sample.version}"
        last[key] = sample.version
        due = [v for v, at in seen.in_force if at + BUNDLE_BOUND_S < sample.at]
        if sample.version < max(due, default=0) and not _is_disturbed(seen, sample):
            yield f"{sample.process} has version {sample.version} at {sample.at}, due {max(due)}"


def ban_problems(seen: Observed) -> Iterator[str]:
    """R11: nothing runs where and when the bundle forbids it."""
    for ban in seen.bans:
        for run in seen.tasks:
            if (run.data_centre, run.activity) != (ban.data_centre, ban.activity):
                continue
            if run.started < ban.until and (run.ended is None or run.ended > ban.since):
                yield f"{run.task}#{run.attempt} ran in {ban.data_centre} until {run.ended}: {ban}"


ROWS = {
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


def judge(seen: Observed) -> dict[str, Sequence[str]]:
    """Return the violations of every row."""
    return {name: list(problems(seen)) for name, problems in ROWS.items()}


def _by_task(seen: Observed) -> dict[str, list[TaskRun]]:
    found = defaultdict(list)
    for run in seen.tasks:
        found[run.task].append(run)
    return {task: sorted(runs, key=lambda run: run.started) for task, runs in found.items()}


def _is_disturbed(seen: Observed, sample: Sample) -> bool:
    return any(
        item.name == sample.process and item.since <= sample.at <= item.until + BUNDLE_BOUND_S
        for item in seen.disturbed
    )
