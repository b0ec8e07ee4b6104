"""Arrivals of requests and jobs, generated from a seed before a run starts."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random
from typing import Any

from apricotpath_bench.shapes import ClassShape, Shape


@dataclass(frozen=True, slots=True)
class Burst:
    """Span in which the request rate is multiplied by `factor`; seconds from the start."""

    start_s: float
    end_s: float
    factor: float


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Request load: `rate` per second on average, outside bursts, for `seconds`.

    `label` is part of the idempotency keys. Without it, two phases of a run would
    send the same keys, and the second would get the stored answers of the first.
    """

    seed: int
    seconds: float
    rate: float
    bursts: tuple[Burst, ...] = ()
    label: str = ""


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request; `at_s` is its intended time, in seconds from the start."""

    at_s: float
    request_class: str
    team: str
    key: str
    work_ms: float
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class JobArrival:
    """One job in the format of the operators' interface; times in seconds from the start."""

    at_s: float
    job: dict[str, Any]
    cancel_at_s: float | None = None


@dataclass(frozen=True, slots=True)
class JobMix:
    """Jobs of one kind that arrive at even intervals between two times.

    `cancelled_share` is the probability of a cancellation `cancel_after_s` after the arrival.
    """

    prefix: str
    activity: str
    jobs: int
    tasks: int
    run_time_s: float
    cpu_milli: int
    start_s: float
    end_s: float
    priority: str = "normal"
    cancelled_share: float = 0.0
    cancel_after_s: float = 2.0
    memory_mb: int = 256


def request_arrivals(shape: Shape, plan: LoadPlan) -> list[Arrival]:
    """Return Poisson arrivals of every class and team, in order of time.

    Each class and team has its own random stream, so that changing one does not change
    the arrivals of the others.
    """
    streams = [
        _request_stream(plan, cls, team, plan.rate * cls.share / len(shape.teams))
        for cls in shape.classes
        for team in shape.teams
    ]
    return list(heapq.merge(*streams, key=lambda arrival: arrival.at_s))


def _request_stream(plan: LoadPlan, cls: ClassShape, team: str, rate: float) -> Iterator[Arrival]:
    rng = Random(f"{plan.seed}/{cls.name}/{team}")
    peak_factor = max([1.0, *(burst.factor for burst in plan.bursts)])
    at, number = 0.0, 0
    while rate > 0:
        at += rng.expovariate(rate * peak_factor)
        if at >= plan.seconds:
            return
        # Thinning: candidates arrive at the peak rate and are accepted with the probability
        # of the current rate over the peak rate.
        if rng.random() * peak_factor >= _burst_factor(plan, at):
            continue
        number += 1
        key = "" if cls.idempotent else f"{plan.label}-{plan.seed}-{cls.name}-{team}-{number}"
        yield Arrival(at, cls.name, team, key, cls.work_ms, cls.deadline_ms)


def _burst_factor(plan: LoadPlan, at_s: float) -> float:
    factors = [b.factor for b in plan.bursts if b.start_s <= at_s < b.end_s]
    return max(factors, default=1.0)


def job_arrivals(shape: Shape, mixes: list[JobMix], seed: int) -> list[JobArrival]:
    """Return the jobs of all mixes in order of time."""
    found = [
        job for mix in mixes for job in _mix_arrivals(shape, mix, Random(f"{seed}/{mix.prefix}"))
    ]
    return sorted(found, key=lambda job: job.at_s)


def _mix_arrivals(shape: Shape, mix: JobMix, rng: Random) -> Iterator[JobArrival]:
    for number in range(mix.jobs):
        at = mix.start_s + (mix.end_s - mix.start_s) * number / mix.jobs
        size = {"cpu_milli": mix.cpu_milli, "memory_mb": mix.memory_mb, "accelerators": 0}
        job = {
            "job_id": f"{mix.prefix}-{number}",
            "team": shape.teams[number % len(shape.teams)],
            "activity": mix.activity,
            "size": size,
            "tasks": mix.tasks,
            "run_time_s": mix.run_time_s * rng.uniform(0.8, 1.2),
            "priority": mix.priority,
            "checkpoint_s": 0.2,
            "max_attempts": 20,
        }
        cancel = at + mix.cancel_after_s if rng.random() < mix.cancelled_share else None
        yield JobArrival(at, job, cancel)
