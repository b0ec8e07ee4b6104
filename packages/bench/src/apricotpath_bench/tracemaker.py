"""Generates the shipped traces: `python -m apricotpath_bench.tracemaker`."""

import argparse
import json
import sys
from collections.abc import Iterator
from pathlib import Path
from random import Random

from apricotpath.errors import ApricotpathError
from apricotpath.ids import (
    ClassId,
    DataCentreId,
    HostId,
    JobId,
    ProcessId,
    RackId,
    ServiceId,
    TeamId,
)
from apricotpath.model import JobSpec, Priority, ServiceState, Size
from apricotpath.trace import (
    TRACE_VERSION,
    Activity,
    Answer,
    BundleInForce,
    Event,
    Header,
    HostUp,
    Job,
    Request,
    Status,
    Timed,
    Trace,
    write_trace,
)
from apricotpath_bench.shapes import MB_PER_GB, SHAPES, Shape, bundle_of

START_UTC = "2026-06-01T02:00:00+00:00"
# Start and end of the phases, in seconds: a wave of noisy tasks, urgent jobs, no answers from
# half of the backend servers, and a data centre that is out of service.
WAVE = (20.0, 44.0)
URGENT = (55.0, 62.0)
FAILED = (68.0, 78.0)
OUT = (80.0, 100.0)
END = 130.0
REQUEST_INTERVAL_S = 2.0
REQUESTS_PER_INTERVAL = 120
# Factor on requests in the wave, high enough that routing cannot avoid all noisy hosts.
WAVE_LOAD_FACTOR = 10
FAILED_LATENCY_S = 0.2
# Jobs of noisy tasks; each task takes an eighth of a host's processors.
NOISY_JOBS = 10
TEAM_COUNT = 220


def make_trace(shape: Shape, seed: int) -> Trace:
    """Return a trace of a deployment, determined by shape and seed."""
    rng = Random(seed)
    events = [
        *_hosts(shape),
        *_activities(shape),
        *_jobs(shape, rng),
        *_requests(shape),
        *_faults(shape),
    ]
    events.sort(key=lambda timed: timed.at)
    # Capacity that is out of service, as a share of the capacity over the whole trace.
    out_hosts = sum(
        shape.data_centre_of(n) == _data_centre_taken_out(shape) for n in range(shape.hosts)
    )
    settings = {
        "wave_from": WAVE[0],
        "wave_to": WAVE[1],
        "urgent_from": URGENT[0],
        "urgent_to": URGENT[1] + 5.0,
        "fail_from": FAILED[0],
        "fail_to": FAILED[1],
        "out_share": round(out_hosts / shape.hosts * (OUT[1] - OUT[0]) / END, 4),
    }
    source = f"python -m apricotpath_bench.tracemaker --shape {shape.name} --seed {seed} OUT"
    header = Header(TRACE_VERSION, shape.name, seed, START_UTC, source, settings)
    return Trace(header, tuple(events))


def _data_centre_taken_out(shape: Shape) -> str:
    return shape.data_centres[1]


def _process(number: int) -> ProcessId:
    return ProcessId(f"agent-{number + 1}")


def _hosts(shape: Shape) -> Iterator[Timed]:
    yield Timed(0.0, BundleInForce(json.dumps(bundle_of(shape), separators=(",", ":"))))
    size = Size(shape.cores * 1000, shape.memory_gb * MB_PER_GB, 0)
    for number in range(shape.hosts):
        yield Timed(
            0.0,
            HostUp(
                _process(number),
                HostId(f"host-{number + 1}"),
                DataCentreId(shape.data_centre_of(number)),
                size,
                RackId(shape.rack_of(number)),
                ServiceId(shape.service),
                shape.slots,
                shape.connections,
            ),
        )


def _activities(shape: Shape) -> Iterator[Timed]:
    """Yield the activities; the second is noisy, the last does not finish its checkpoints."""
    quiet, noisy, uncheckpointed = shape.activities
    yield Timed(0.0, Activity(quiet, 0.01, 0.01))
    yield Timed(0.0, Activity(noisy, 0.6, 0.05, 1.1))
    yield Timed(0.0, Activity(uncheckpointed, 0.02, 0.02, 0.8, keeps=False))


def _jobs(shape: Shape, rng: Random) -> Iterator[Timed]:
    quiet, noisy, uncheckpointed = shape.activities
    task_cpu_milli = shape.cores * 125
    size = Size(task_cpu_milli, shape.memory_gb * MB_PER_GB // 16, 0)
    number = 0

    def job(at: float, activity: str, tasks: int, run_s: float, priority: Priority) -> Timed:
        nonlocal number
        number += 1
        spec = JobSpec(
            JobId(f"job-{number}"),
            TeamId(rng.choice(shape.teams)),
            activity,
            size,
            tasks,
            run_s,
            priority=priority,
            checkpoint_s=0.5,
        )
        # Actual run times differ from the declared ones by up to a factor of two.
        return Timed(round(at, 3), Job(spec, round(rng.uniform(0.6, 2.0), 3)))

    for _ in range(NOISY_JOBS):
        at = rng.uniform(WAVE[0] - 6.0, WAVE[0] + 8.0)
        yield job(at, noisy, 4, 12.0, Priority.LOW)
    # Enough low-priority work to keep all hosts busy until the end.
    for at in range(1, int(END), 4):
        activity = uncheckpointed if at % 8 == 1 else quiet
        yield job(at, activity, 10, rng.uniform(15.0, 30.0), Priority.LOW)
    for _ in range(8):
        at = rng.uniform(*URGENT)
        yield job(at, quiet, 4, 6.0, Priority.URGENT)


def _requests(shape: Shape) -> Iterator[Timed]:
    for step in range(int(END / REQUEST_INTERVAL_S)):
        load = WAVE_LOAD_FACTOR if WAVE[0] <= step * REQUEST_INTERVAL_S < WAVE[1] else 1
        for cls in shape.classes:
            yield Timed(
                step * REQUEST_INTERVAL_S,
                Request(
                    ServiceId(shape.service),
                    ClassId(cls.name),
                    TeamId(shape.teams[0]),
                    cls.work_ms / 1000,
                    cls.deadline_ms / 1000,
                    round(REQUESTS_PER_INTERVAL * cls.share * load),
                    REQUEST_INTERVAL_S,
                ),
            )


def _faults(shape: Shape) -> Iterator[Timed]:
    for number in range(0, shape.hosts, 2):
        yield Timed(FAILED[0], Answer(_process(number), FAILED_LATENCY_S, 0))
        yield Timed(FAILED[1], Answer(_process(number), 0.02, 200))
    out_dc = DataCentreId(_data_centre_taken_out(shape))
    yield Timed(OUT[0], Status(out_dc, ServiceState.OUT, 1))
    yield Timed(OUT[1], Status(out_dc, ServiceState.IN, 2))


def make_teams_trace(seed: int) -> Trace:
    """Return a trace of many teams with low rate limits, whose jobs start many tasks at once."""
    rng = Random(seed)
    shape = SHAPES["small"]
    bundle = bundle_of(shape)
    quota = next(iter(bundle["teams"].values()))["quota"]
    names = [f"team-{number}" for number in range(1, TEAM_COUNT + 1)]
    bundle["teams"] = {
        name: {"share": 1.0, "quota": quota, "rate_per_s": rng.choice([3.0, 6.0, 20.0, 60.0])}
        for name in names
    }
    events: list[tuple[float, Event]] = []
    text = json.dumps(bundle, separators=(",", ":"))
    for number in range(400):
        rate = bundle["teams"][names[number % TEAM_COUNT]]["rate_per_s"]
        spec = JobSpec(
            JobId(f"burst-{number}"),
            TeamId(names[number % TEAM_COUNT]),
            shape.activities[0],
            Size(10, 10, 0),
            max(2, int(rate * rng.uniform(0.5, 4.0))),
            1.0,
        )
        events.append((round(rng.uniform(0.0, 60.0), 3), Job(spec)))
    events.sort(key=lambda item: item[0])
    source = f"python -m apricotpath_bench.tracemaker --shape teams --seed {seed} OUT"
    header = Header(TRACE_VERSION, "teams", seed, START_UTC, source)
    timed = (Timed(0.0, BundleInForce(text)), *(Timed(at, event) for at, event in events))
    return Trace(header, timed)


def trace_of(name: str, seed: int) -> Trace:
    """Return the trace of a shape, or the trace of many teams for the name `teams`."""
    return make_teams_trace(seed) if name == "teams" else make_trace(SHAPES[name], seed)


def main(argv: list[str] | None = None) -> int:
    """Write a trace and return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m apricotpath_bench.tracemaker")
    parser.add_argument("--shape", choices=["suva", "asante", "teams"], required=True)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("out", type=Path)
    args = parser.parse_args(argv)
    try:
        write_trace(args.out, trace_of(args.shape, args.seed))
    except ApricotpathError as exc:
        print(f"tracemaker: {exc}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
