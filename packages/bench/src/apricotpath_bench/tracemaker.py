"""Makes the shipped traces from a shape and a seed: `python -m apricotpath_bench.tracemaker`."""

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

UTC = "2026-06-01T02:00:00+00:00"
# Phases in seconds: a wave of noisy tasks, urgent work, half of the backend servers
# without answers, and a data centre that leaves and returns.
WAVE = (20.0, 44.0)
URGENT = (55.0, 62.0)
FAILED = (68.0, 78.0)
OUT = (80.0, 100.0)
END = 130.0
REQUESTS_S = 2.0
REQUESTS_EACH = 120
# In the wave requests are as many more, so that routing cannot avoid all noisy hosts.
WAVE_LOAD = 10
FAIL_S = 0.2
# Noisy tasks come in this many jobs; a task takes an eighth of a host's processors.
NOISY_JOBS = 10
TEAMS = 220


def make_trace(shape: Shape, seed: int) -> Trace:
    """Return a trace of a deployment; the same for the same shape and seed."""
    rng = Random(seed)
    events = [
        *_hosts(shape),
        *_activities(shape),
        *_jobs(shape, rng),
        *_requests(shape),
        *_faults(shape),
    ]
    events.sort(key=lambda timed: timed.at)
    # Capacity that is away, as a share of all capacity over the whole time.
    away = sum(shape.data_centre_of(n) == _leaving(shape) for n in range(shape.hosts))
    settings = {
        "wave_from": WAVE[0],
        "wave_to": WAVE[1],
        "urgent_from": URGENT[0],
        "urgent_to": URGENT[1] + 5.0,
        "fail_from": FAILED[0],
        "fail_to": FAILED[1],
        "out_share": round(away / shape.hosts * (OUT[1] - OUT[0]) / END, 4),
    }
    source = f"python -m apricotpath_bench.tracemaker --shape {shape.name} --seed {seed} OUT"
    header = Header(TRACE_VERSION, shape.name, seed, UTC, source, settings)
    return Trace(header, tuple(events))


def _leaving(shape: Shape) -> str:
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
    """Yield activities: the second is noisy, the last cannot write checkpoints in time."""
    calm, noisy, stiff = shape.activities
    yield Timed(0.0, Activity(calm, 0.01, 0.01))
    yield Timed(0.0, Activity(noisy, 0.6, 0.05, 1.1))
    yield Timed(0.0, Activity(stiff, 0.02, 0.02, 0.8, keeps=False))


def _jobs(shape: Shape, rng: Random) -> Iterator[Timed]:
    calm, noisy, stiff = shape.activities
    unit = shape.cores * 125
    size = Size(unit, shape.memory_gb * MB_PER_GB // 16, 0)
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
        # Declared run times are off by up to a factor of two.
        return Timed(round(at, 3), Job(spec, round(rng.uniform(0.6, 2.0), 3)))

    for _ in range(NOISY_JOBS):
        at = rng.uniform(WAVE[0] - 6.0, WAVE[0] + 8.0)
        yield job(at, noisy, 4, 12.0, Priority.LOW)
    # Enough low work to keep all hosts busy until the end.
    for at in range(1, int(END), 4):
        activity = stiff if at % 8 == 1 else calm
        yield job(at, activity, 10, rng.uniform(15.0, 30.0), Priority.LOW)
    for _ in range(8):
        at = rng.uniform(*URGENT)
        yield job(at, calm, 4, 6.0, Priority.URGENT)


def _requests(shape: Shape) -> Iterator[Timed]:
    for step in range(int(END / REQUESTS_S)):
        load = WAVE_LOAD if WAVE[0] <= step * REQUESTS_S < WAVE[1] else 1
        for cls in shape.classes:
            yield Timed(
                step * REQUESTS_S,
                Request(
                    ServiceId(shape.service),
                    ClassId(cls.name),
                    TeamId(shape.teams[0]),
                    cls.work_ms / 1000,
                    cls.deadline_ms / 1000,
                    round(REQUESTS_EACH * cls.share * load),
                    REQUESTS_S,
                ),
            )


def _faults(shape: Shape) -> Iterator[Timed]:
    for number in range(0, shape.hosts, 2):
        yield Timed(FAILED[0], Answer(_process(number), FAIL_S, 0))
        yield Timed(FAILED[1], Answer(_process(number), 0.02, 200))
    leaving = DataCentreId(_leaving(shape))
    yield Timed(OUT[0], Status(leaving, ServiceState.OUT, 1))
    yield Timed(OUT[1], Status(leaving, ServiceState.IN, 2))


def make_teams(seed: int) -> Trace:
    """Return a trace of many teams with small limits whose jobs come in bursts."""
    rng = Random(seed)
    shape = SHAPES["small"]
    bundle = bundle_of(shape)
    quota = next(iter(bundle["teams"].values()))["quota"]
    names = [f"team-{number}" for number in range(1, TEAMS + 1)]
    bundle["teams"] = {
        name: {"share": 1.0, "quota": quota, "rate_per_s": rng.choice([3.0, 6.0, 20.0, 60.0])}
        for name in names
    }
    events: list[tuple[float, Event]] = []
    text = json.dumps(bundle, separators=(",", ":"))
    for number in range(400):
        rate = bundle["teams"][names[number % TEAMS]]["rate_per_s"]
        spec = JobSpec(
            JobId(f"burst-{number}"),
            TeamId(names[number % TEAMS]),
            shape.activities[0],
            Size(10, 10, 0),
            max(2, int(rate * rng.uniform(0.5, 4.0))),
            1.0,
        )
        events.append((round(rng.uniform(0.0, 60.0), 3), Job(spec)))
    events.sort(key=lambda item: item[0])
    source = f"python -m apricotpath_bench.tracemaker --shape teams --seed {seed} OUT"
    header = Header(TRACE_VERSION, "teams", seed, UTC, source)
    timed = (Timed(0.0, BundleInForce(text)), *(Timed(at, event) for at, event in events))
    return Trace(header, timed)


def trace_of(name: str, seed: int) -> Trace:
    """Return the trace of a shape, or of many teams for `teams`."""
    return make_teams(seed) if name == "teams" else make_trace(SHAPES[name], seed)


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
