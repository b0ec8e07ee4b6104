"""Steps for placement.feature."""

import random
from collections import Counter
from datetime import UTC, datetime, timedelta
from time import perf_counter
from typing import Any

from behave import given, then, when

from apricotpath.interference import Estimates
from apricotpath.jobs import JobRow
from apricotpath.model import JobSpec, Priority, Size
from apricotpath.placement import Demand, Host, HostIndex, Mode, Placer
from apricotpath.rules import Verdict
from ownerworld import job

NOW = datetime(2026, 6, 1, 12, tzinfo=UTC)


class PlacementRules:
    """`out` is out of service; grinding is forbidden in `quiet` now and in `soon` in 5.5 s."""

    bundle_version = 3

    def in_service(self, dc: str) -> bool:
        return dc != "out"

    def claim_of(self, service: str) -> Size:
        return Size()

    def verdict(self, team: str, activity: str, dc: str, utc: datetime) -> Verdict:
        if activity == "grinding" and dc == "quiet":
            return Verdict(False, "quiet-hours", 3, None)
        until = utc + timedelta(seconds=5.5) if dc == "soon" else None
        return Verdict(True, "quiet-hours", 3, until if activity == "grinding" else None)


class PlacementSubject:
    """Hosts, jobs and the result of one placement round."""

    def __init__(self) -> None:
        self.index, self.rules, self.estimates = HostIndex(), PlacementRules(), Estimates()
        self.estimates.single["desk", "noisy"] = 1.5
        self.free: dict[str, Size] = {}
        self.rows: dict[str, JobRow] = {}
        self.rng = random.Random(0)
        self.placer: Placer | None = None
        self.costs: list[float] = []

    def host(self, name: str, dc: str, cores: float, accelerators: int, memory: int = 0) -> None:
        free = Size(int(cores * 1000), memory or int(cores * 1000), accelerators)
        service = "desk" if name.startswith("busy") else ""
        self.index.put(Host(name, name, dc, service, free, free))
        self.free[name] = free

    def serve(self, specs: list[JobSpec], ages: list[float] | None = None, **options: Any) -> None:
        ages = ages or [0.0] * len(specs)
        self.rows = {s.job_id: JobRow(s, -age) for s, age in zip(specs, ages, strict=True)}
        demands = [Demand(row, list(range(row.spec.tasks))) for row in self.rows.values()]
        self.placer = Placer(
            self.index,
            self.rules,
            self.estimates,
            lambda process, priority: not process.startswith("sick"),
            lambda process: None,
            lambda spec: None,
            NOW,
            5.0,
            **options,
        )
        self.placer.run(demands, {}, lambda team: 2.0 if team == "double" else 1.0, 5000)

    def placed(self) -> list[str]:
        return [placement.job for placement in self.placer.placed]

    def random_hosts(self, seed: int) -> None:
        self.rng = random.Random(seed)
        for number in range(40):
            kind = self.rng.choice(["h", "h", "h", "sick", "busy"])
            dc = self.rng.choice(["suva", "out", "quiet", "soon"])
            accelerators = self.rng.choice([0, 0, 2])
            cores, memory = self.rng.randint(1, 16), self.rng.randint(1000, 16_000)
            self.host(f"{kind}{number}", dc, cores, accelerators, memory)

    def random_jobs(self, count: int) -> list[JobSpec]:
        rng, specs = self.rng, []
        for number in range(count):
            size = Size(rng.randint(500, 8000), rng.randint(500, 8000), rng.choice([0, 0, 0, 1]))
            fields = {
                "activity": rng.choice(["sorting", "grinding", "noisy"]),
                "team": "xyz"[number % 3],
            }
            spec = JobSpec(
                job_id=f"j{number}", size=size, tasks=rng.randint(1, 9), run_time_s=9.0, **fields
            )
            specs.append(spec)
        return specs

    def allows(self, spec: JobSpec, host: Host) -> bool:
        grinding = spec.activity == "grinding" and host.data_centre in ("quiet", "soon")
        noisy = spec.activity == "noisy" and host.service
        sick = host.process.startswith("sick")
        return not (host.data_centre == "out" or grinding or noisy or sick)

    def measure(self, hosts: int, starts: int) -> float:
        """Return the microseconds per placement on hosts filled as in the capacity target."""
        subject = PlacementSubject()
        rng = subject.rng = random.Random(hosts)
        for number in range(hosts):
            subject.host(f"h{number}", f"dc{number % 8}", rng.uniform(0, 16), 0, 30_000)
        specs = [
            job(f"j{n}", 7, cores=rng.uniform(0.5, 4), team=f"t{n % 220}")
            for n in range(starts // 7)
        ]
        begin = perf_counter()
        subject.serve(specs)
        cost = (perf_counter() - begin) / starts * 1e6
        assert len(subject.placed()) == starts, len(subject.placed())
        return cost


@given("placement hosts with 4 free cores in total")
def _(context: Any) -> None:
    context.placement = PlacementSubject()
    context.placement.host("h1", "suva", 4, 0)


@given("placement hosts {hosts}")
def _(context: Any, hosts: str) -> None:
    context.placement = PlacementSubject()
    for item in hosts.split():
        name, dc, cores, accelerators = item.split(":")
        context.placement.host(name, dc, float(cores), int(accelerators))


@when("placement serves the jobs {jobs}")
def _(context: Any, jobs: str) -> None:
    specs, ages = [], []
    for item in jobs.split():
        name, team, priority, age, tasks = item.split(":")
        specs.append(job(name, int(tasks), 1, team=team, priority=Priority(priority)))
        ages.append(float(age))
    context.placement.serve(specs, ages)


@then("placement places {order}")
def _(context: Any, order: str) -> None:
    assert context.placement.placed() == order.split(), context.placement.placed()


@when("placement serves one task of {cores:d} cores, {accelerators:d} accelerators for {activity}")
def _(context: Any, cores: int, accelerators: int, activity: str) -> None:
    size = Size(cores * 1000, cores * 1000, accelerators)
    spec = JobSpec("j", "x", activity, size, 1, 9.0)
    context.placement.serve([spec])


@when("the placement baseline serves one task of {cores:d} cores")
def _(context: Any, cores: int) -> None:
    context.placement.serve([job("j", 1, cores)], mode=Mode.BASELINE)


@then("placement uses host {host}")
def _(context: Any, host: str) -> None:
    used = [placement.process for placement in context.placement.placer.placed] or ["none"]
    assert used == [host], used


@when("placement serves a job too large, a job whose rule forbids it and a small job")
def _(context: Any) -> None:
    large = job("large", 3, 60, priority=Priority.URGENT)
    out = job("out", 3, 1, priority=Priority.URGENT, data_centres=("out",))
    context.placement.serve([large, out, job("small", 3, 1, priority=Priority.LOW)])


@then("only the small job is placed and placement explains the others")
def _(context: Any) -> None:
    subject = context.placement
    assert subject.placed() == ["small"] * 3
    reasons = subject.placer.reasons
    assert reasons["large"].code == "no-room"
    assert (reasons["out"].code, reasons["out"].bundle_version) == ("out-of-service", 3)


@given("40 random placement hosts from seed {seed:d}")
def _(context: Any, seed: int) -> None:
    context.placement = PlacementSubject()
    context.placement.random_hosts(seed)


@when("placement serves {count:d} random jobs")
def _(context: Any, count: int) -> None:
    context.placement.serve(context.placement.random_jobs(count))


@then("placement kept every host within its free size and every rule")
def _(context: Any) -> None:
    subject = context.placement
    left = dict(subject.free)
    assert len(subject.placed()) > 20
    for placement in subject.placer.placed:
        spec = subject.rows[placement.job].spec
        assert subject.allows(spec, subject.index.hosts[placement.process]), placement
        left[placement.process] = left[placement.process] - spec.size
    for size in left.values():
        assert min(size.cpu_milli, size.memory_mb, size.accelerators) >= 0, left


@then("no job left waiting by placement fits on a usable host")
def _(context: Any) -> None:
    subject = context.placement
    counts = Counter(subject.placed())
    for name, row in subject.rows.items():
        for host in subject.index.hosts.values():
            fits = row.spec.size.fits_in(host.free) and subject.allows(row.spec, host)
            assert counts[name] == row.spec.tasks or not fits, (name, host)


@when("placement serves {starts:d} tasks on 520, 2600 and 5200 hosts")
def _(context: Any, starts: int) -> None:
    context.placement = PlacementSubject()
    for hosts in (520, 2600, 5200):
        cost = context.placement.measure(hosts, starts)
        context.placement.costs.append(cost)
        print(f"{hosts} hosts: {cost:.0f} us per placement")


@then("each placement takes under {limit:d} microseconds")
def _(context: Any, limit: int) -> None:
    assert max(context.placement.costs) < limit, context.placement.costs
