"""Open-loop load against a running local deployment, in phases with their own faults."""

import itertools
import ssl
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field, replace
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import httpx

from apricotpath.errors import ApricotpathError
from apricotpath.signing import load_key
from apricotpath_bench.arrivals import (
    Arrival,
    Burst,
    JobArrival,
    JobMix,
    LoadPlan,
    job_arrivals,
    request_arrivals,
)
from apricotpath_bench.deploy import Deployment
from apricotpath_bench.local import wait_until_founded
from apricotpath_bench.measure import (
    Latencies,
    batch_of,
    busy_core_s,
    change_cost,
    sends_per_arrival,
    service_time,
)
from apricotpath_bench.shapes import Shape
from apricotpath_cli.client import Client

MAX_RATE = 400.0
# Loading the certificates of the system for each client would take milliseconds.
PLAIN = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
# A caller gives up this long after the deadline that it sent.
GIVE_UP_S = 5.0
CALL_TIMEOUT_S = 3.0
# Shares of a run's seconds that the phases take, in their order.
PHASE_SHARES = {"wave": 0.4, "evict": 0.15, "change": 0.3, "half-failed": 0.15}
# A host's batch room, in tasks: its cores less the backend server's claim, by the task size.
WARM_UP_S = 60.0
WARM_REQUESTS_S = 3.0
POLL_S = 0.3
TASKS_PER_CORES = 8
TASKS_PER_HOST = 6
LOUD, MILD = 0.4, 0.1
# Measured over declared size of batch tasks, on the first hosts.
WRONG_SIZE, WRONG_HOSTS = 1.3, 3

BASELINE_REQUESTS = {
    "choices": 1,
    "ejection": False,
    "priority_queues": False,
    "retry_budget": False,
}


@dataclass(frozen=True, slots=True)
class RunSettings:
    """One side of a comparison: `seconds` are shared out among the phases."""

    shape: Shape
    seconds: float = 60.0
    seed: int = 1
    rate: float = 200.0
    baseline: bool = False


@dataclass(slots=True)
class Phase:
    """What one phase measured; `jobs` are the ids that were accepted."""

    name: str
    latencies: Latencies = field(default_factory=Latencies)
    jobs: list[str] = field(default_factory=list)
    refused_jobs: int = 0
    lag_s: float = 0.0
    values: dict[str, Any] = field(default_factory=dict)


class Driver:
    """Sends requests and jobs to a deployment at their intended times."""

    def __init__(self, deployment: Deployment, cfg: RunSettings) -> None:
        self.deployment = deployment
        self.cfg = cfg
        self.entries: Iterator[int] = itertools.cycle(range(1, cfg.shape.entries + 1))
        # A shared pool takes time in proportion to its waiting requests for each of
        # them, which delays all sends once answers are late. Each connection is a client.
        self.idle: list[httpx.AsyncClient] = []
        self.made = 0
        key = load_key(deployment.key_path)
        self.client = Client(deployment.operator_urls(), key, CALL_TIMEOUT_S)

    async def requests(self, phase: Phase, arrivals: list[Arrival]) -> None:
        """Send requests without waiting for earlier ones; return when all have ended."""
        origin = anyio.current_time()
        async with anyio.create_task_group() as group:
            for arrival in arrivals:
                await _until(origin + arrival.at_s)
                phase.lag_s = max(phase.lag_s, anyio.current_time() - origin - arrival.at_s)
                group.start_soon(self._request, phase, arrival, origin + arrival.at_s)

    async def _request(self, phase: Phase, arrival: Arrival, intended: float) -> None:
        delay_s = self.cfg.shape.client_delay_ms / 1000.0
        await anyio.sleep(delay_s)
        outcome = await self._send(phase.name, arrival)
        ended = anyio.current_time() + delay_s
        phase.latencies.add(arrival.request_class, arrival.team, outcome, intended, ended)

    async def _send(self, path: str, arrival: Arrival) -> str:
        headers = {
            "Apricotpath-Class": arrival.request_class,
            "Apricotpath-Team": arrival.team,
            "Apricotpath-Deadline-Ms": str(arrival.deadline_ms),
        }
        if arrival.key:
            headers["Idempotency-Key"] = arrival.key
        entry = self.deployment.url(f"entry-{next(self.entries)}-callers")
        url = f"{entry}/s/{self.cfg.shape.service}/{path}?work_ms={arrival.work_ms}&size=200"
        timeout = arrival.deadline_ms / 1000.0 + GIVE_UP_S
        client = self._take()
        try:
            response = await client.post(url, headers=headers, content=b"{}", timeout=timeout)
        except httpx.HTTPError:
            await client.aclose()
            self.made -= 1
            return "error"
        self.idle.append(client)
        outcome = response.headers.get("apricotpath-outcome", "error")
        return "error" if outcome == "answered" and response.status_code >= 500 else outcome

    def _take(self) -> httpx.AsyncClient:
        """Return an idle client, or a new one with a connection per entry."""
        if self.idle:
            return self.idle.pop()
        self.made += 1
        transport = httpx.AsyncHTTPTransport(verify=PLAIN, limits=httpx.Limits(max_connections=8))
        return httpx.AsyncClient(transport=transport)

    async def close(self) -> None:
        """Close the callers' connections."""
        while self.idle:
            await self.idle.pop().aclose()

    async def jobs(self, phase: Phase, arrivals: list[JobArrival]) -> None:
        """Submit and cancel jobs at their times."""
        origin = anyio.current_time()
        async with anyio.create_task_group() as group:
            for arrival in arrivals:
                group.start_soon(self._job, phase, arrival, origin)

    async def _job(self, phase: Phase, arrival: JobArrival, origin: float) -> None:
        await _until(origin + arrival.at_s)
        job = arrival.job["job_id"]
        try:
            await self.client.call_any("POST", "/v1/jobs", arrival.job)
            phase.jobs.append(job)
        except ApricotpathError:
            phase.refused_jobs += 1
            return
        if arrival.cancel_at_s is not None:
            await _until(origin + arrival.cancel_at_s)
            await self.cancel(job)

    async def cancel(self, job: str) -> None:
        """Cancel a job; one that has ended already is no error."""
        try:
            await self.client.call_any("DELETE", f"/v1/jobs/{job}")
        except ApricotpathError:
            return

    async def records(self, kind: str) -> list[dict[str, Any]]:
        """Return the records of all stand-ins of a kind that still run."""
        found = []
        for host in self.deployment.host_names():
            name = f"{kind}-{host}"
            if self.deployment.processes[name].process.poll() is None:
                found.append(await anyio.to_thread.run_sync(self.deployment.record, name))
        return found

    async def runs(self, prefix: str) -> list[dict[str, Any]]:
        """Return the workers' attempts of a phase's tasks."""
        records = await self.records("worker")
        return [run for r in records for run in r["runs"] if run["task"].startswith(prefix)]

    async def clear(self, phase: Phase) -> None:
        """Cancel a phase's jobs and wait until none of its tasks runs."""
        async with anyio.create_task_group() as group:
            for job in phase.jobs:
                group.start_soon(self.cancel, job)
        with anyio.move_on_after(15):
            # The stand-ins have no event to wait for.
            while any(run["outcome"] is None for run in await self.runs(phase.name)):  # noqa: ASYNC110
                await anyio.sleep(POLL_S)


async def _until(at: float) -> None:
    await anyio.sleep(max(0.0, at - anyio.current_time()))


def task_milli(shape: Shape) -> int:
    """Return the size of a batch task, so that a host has room for six beside its claim."""
    return shape.cores * 1000 // TASKS_PER_CORES


async def warm_up(driver: Driver) -> None:
    """Run one task of each team, so that the entries hold shares of the teams' limits."""
    phase, shape = Phase("warm"), driver.cfg.shape
    mix = JobMix("warm", shape.activities[2], len(shape.teams), 1, 0.2, 100, 0.0, 0.1)
    await driver.jobs(phase, job_arrivals(shape, [mix], driver.cfg.seed))
    with anyio.fail_after(WARM_UP_S):
        # The stand-ins have no event to wait for.
        while len(await driver.runs("warm")) < len(shape.teams):  # noqa: ASYNC110
            await anyio.sleep(POLL_S)
    plan = LoadPlan(driver.cfg.seed, WARM_REQUESTS_S, driver.cfg.rate, label=phase.name)
    await driver.requests(phase, request_arrivals(shape, plan))


async def wave(driver: Driver, seconds: float) -> Phase:
    """Send a noisy wave beside quiet batch work, with bursts, wrong sizes and cancellations."""
    phase, shape, cfg = Phase("wave"), driver.cfg.shape, driver.cfg
    for host in range(1, WRONG_HOSTS + 1):
        factor = partial(driver.deployment.faults, f"worker-{host}", size_factor=WRONG_SIZE)
        await anyio.to_thread.run_sync(factor)
    mild, loud, quiet = shape.activities
    milli, hosts = task_milli(shape), shape.hosts
    mixes = [
        JobMix("wave-quiet", quiet, 4, hosts // 3, seconds * 0.5, milli, 0.0, seconds * 0.2),
        JobMix("wave-mild", mild, 2, hosts // 3, seconds * 0.5, milli, 0.0, seconds * 0.2),
        JobMix(
            *("wave-loud", loud, 8, hosts * 2 // 3, seconds * 0.3, milli),
            *(seconds * 0.2, seconds * 0.6),
            priority="low",
            cancelled=0.15,
        ),
    ]
    burst = Burst(seconds * 0.5, seconds * 0.6, 1.5)
    plan = LoadPlan(cfg.seed, seconds, cfg.rate, (burst,), phase.name)
    async with anyio.create_task_group() as group:
        group.start_soon(driver.jobs, phase, job_arrivals(shape, mixes, cfg.seed))
        await driver.requests(phase, request_arrivals(shape, plan))
    runs = await driver.runs("wave")
    records = await driver.records("backend")
    phase.values = {"batch": asdict(batch_of(runs)), "service": service_time(records, "/wave")}
    for host in range(1, WRONG_HOSTS + 1):
        factor = partial(driver.deployment.faults, f"worker-{host}", size_factor=1.0)
        await anyio.to_thread.run_sync(factor)
    await driver.clear(phase)
    return phase


async def evict(driver: Driver, seconds: float) -> Phase:
    """Urgent jobs arrive where low-priority tasks fill all hosts."""
    phase, shape, cfg = Phase("evict"), driver.cfg.shape, driver.cfg
    milli, quiet = task_milli(shape), shape.activities[2]
    fill = shape.hosts * TASKS_PER_HOST // 6
    mixes = [
        JobMix("evict-low", quiet, 6, fill, seconds * 3, milli, 0.0, 0.5, "low"),
        JobMix(
            *("evict-urgent", quiet, 4, shape.hosts // 2, seconds * 0.25, milli),
            *(seconds * 0.4, seconds * 0.8, "urgent"),
        ),
    ]
    with anyio.move_on_after(seconds):
        await driver.jobs(phase, job_arrivals(shape, mixes, cfg.seed))
        await anyio.sleep_forever()
    runs = await driver.runs("evict")
    urgent = [run for run in runs if run["task"].startswith("evict-urgent")]
    phase.values = {"batch": asdict(batch_of(runs)), "urgent_started": len(urgent)}
    await driver.clear(phase)
    return phase


async def change(driver: Driver, seconds: float) -> Phase:
    """Take a data centre out and bring it back while batch work fills all hosts."""
    phase, shape, cfg = Phase("change"), driver.cfg.shape, driver.cfg
    gone = shape.data_centres[1]
    room = shape.hosts * TASKS_PER_HOST
    run_time_s = seconds / 4
    mixes = [
        JobMix(
            *("change-fill", shape.activities[2], 12, room // 2, run_time_s, task_milli(shape)),
            *(0.0, seconds * 0.1),
        )
    ]
    plan = LoadPlan(cfg.seed, seconds, cfg.rate, label=phase.name)
    # Times are set before the run, so that both sides are measured over the same spans.
    marks = [seconds * share for share in (0.2, 0.45, 0.7, 1.0)]
    origin, unix = anyio.current_time(), time.time()

    async def operate() -> None:
        await _until(origin + marks[1])
        await _operate(driver, "out", gone)
        await _until(origin + marks[2])
        await _operate(driver, "in", gone)

    async with anyio.create_task_group() as group:
        group.start_soon(driver.jobs, phase, job_arrivals(shape, mixes, cfg.seed))
        group.start_soon(operate)
        await driver.requests(phase, request_arrivals(shape, plan))
    runs = await driver.runs("change")
    lost = sum(shape.data_centre_of(n) == gone for n in range(shape.hosts)) / shape.hosts
    spans = [unix + mark for mark in marks]
    work = [busy_core_s(runs, a, b) for a, b in itertools.pairwise(spans)]
    lengths = tuple(b - a for a, b in itertools.pairwise(marks))
    batch = batch_of(runs)
    # What tasks lost when they were stopped counts as work not done.
    kept_after = work[2] - batch.wasted
    phase.values = {
        "batch": asdict(batch),
        "core_s": dict(zip(("before", "out", "after"), work, strict=True)),
        "share": lost,
        "cost": change_cost(work[0], work[1], kept_after, lengths, lost),
    }
    await driver.clear(phase)
    return phase


async def _operate(driver: Driver, state: str, data_centre: str) -> None:
    await anyio.to_thread.run_sync(driver.deployment.operate, "dc", state, data_centre)


async def half_failed(driver: Driver, seconds: float) -> Phase:
    """Half of the backend servers are gone or fail every request."""
    phase, shape, cfg = Phase("half-failed"), driver.cfg.shape, driver.cfg
    bad = driver.deployment.host_names()[: (shape.hosts + 1) // 2]
    for number, host in enumerate(bad):
        name = f"backend-{host}"
        if number % 2:
            driver.deployment.kill(name)
        else:
            fail = partial(driver.deployment.faults, name, fail_all=True)
            await anyio.to_thread.run_sync(fail)
    arrivals = request_arrivals(shape, LoadPlan(cfg.seed, seconds, cfg.rate, label=phase.name))
    await driver.requests(phase, arrivals)
    records = await driver.records("backend")
    phase.values = {"sends": sends_per_arrival(records, "/half-failed", len(arrivals))}
    return phase


PHASES = {"wave": wave, "evict": evict, "change": change, "half-failed": half_failed}


def deployment_of(cfg: RunSettings, folder: Path) -> Deployment:
    """Return the deployment of one side, not started yet."""
    mild, loud, _ = cfg.shape.activities
    # Quiet hours would make the result depend on the time of day.
    deployment = Deployment(replace(cfg.shape, quiet_hours=()), folder)
    deployment.noise = {mild: MILD, loud: LOUD}
    if cfg.baseline:
        deployment.policy = {"guards": False}
        deployment.overrides = {"entry": {"requests": BASELINE_REQUESTS}}
    return deployment


def run_side(cfg: RunSettings, folder: Path, phases: tuple[str, ...] = tuple(PHASES)) -> Any:
    """Start a deployment, run the phases on it and return what was measured, as JSON values."""
    if cfg.rate > MAX_RATE:
        raise ApricotpathError(f"a load above {MAX_RATE:g} requests/s is not allowed")
    deployment = deployment_of(cfg, folder)
    try:
        deployment.start()
        wait_until_founded(deployment)
        return anyio.run(_run_phases, deployment, cfg, phases)
    finally:
        deployment.stop()


async def _run_phases(deployment: Deployment, cfg: RunSettings, phases: tuple[str, ...]) -> Any:
    driver = Driver(deployment, cfg)
    result: dict[str, Any] = {}
    async with driver.client:
        await warm_up(driver)
        for name in phases:
            phase = await PHASES[name](driver, cfg.seconds * PHASE_SHARES[name])
            result[name] = phase_values(phase)
        await driver.close()
    return result


def phase_values(phase: Phase) -> dict[str, Any]:
    """Return a phase as JSON values."""
    rows = phase.latencies.rows() if phase.latencies.histograms else []
    return {
        "latency": rows,
        "curve": phase.latencies.curve() if rows else [],
        "outcomes": dict(phase.latencies.total()),
        "jobs": len(phase.jobs),
        "refused_jobs": phase.refused_jobs,
        "send_lag_ms": phase.lag_s * 1000.0,
        **phase.values,
    }
