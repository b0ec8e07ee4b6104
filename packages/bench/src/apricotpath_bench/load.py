"""Open-loop load against a local deployment, in phases that each inject their own faults."""

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
from apricotpath_bench.local import wait_until_keys_accepted
from apricotpath_bench.measure import (
    Latencies,
    batch_work,
    busy_core_s,
    change_cost,
    sends_per_arrival,
    service_time,
)
from apricotpath_bench.shapes import Shape
from apricotpath_cli.client import Client

MAX_REQUESTS_PER_S = 400.0
# Shared, since loading the system's certificates takes milliseconds for each client.
TLS_CONTEXT = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
# A caller stops waiting for an answer this long after the request's deadline.
CALLER_TIMEOUT_MARGIN_S = 5.0
CALL_TIMEOUT_S = 3.0
# Fraction of the run's duration for each phase, in order.
PHASE_SHARES = {"wave": 0.4, "evict": 0.15, "change": 0.3, "half-failed": 0.15}
WARM_UP_S = 60.0
WARM_REQUESTS_S = 3.0
POLL_S = 0.3
# A batch task takes an eighth of a host's cores. The backend server claims a quarter of the
# host, so that six tasks fit beside it.
TASKS_PER_CORES = 8
TASKS_PER_HOST = 6
# Slowdown of the backend server by one task of the loud or the mild activity on its host.
LOUD_SLOWDOWN, MILD_SLOWDOWN = 0.4, 0.1
# On the first hosts, batch tasks use this multiple of their declared size.
USAGE_FACTOR, USAGE_FACTOR_HOSTS = 1.3, 3

BASELINE_REQUESTS = {
    "choices": 1,
    "ejection": False,
    "priority_queues": False,
    "retry_budget": False,
}


@dataclass(frozen=True, slots=True)
class RunSettings:
    """One side of a comparison; `seconds` is the total of all phases, `rate` in requests/s."""

    shape: Shape
    seconds: float = 60.0
    seed: int = 1
    rate: float = 200.0
    baseline: bool = False


@dataclass(slots=True)
class Phase:
    """Results of one phase.

    `jobs` are the ids of accepted jobs, `lag_s` the longest delay of a send behind its
    intended time.
    """

    name: str
    latencies: Latencies = field(default_factory=Latencies)
    jobs: list[str] = field(default_factory=list)
    refused_jobs: int = 0
    lag_s: float = 0.0
    values: dict[str, Any] = field(default_factory=dict)


class LoadDriver:
    """Sends requests and jobs to a deployment at their intended times."""

    def __init__(self, deployment: Deployment, cfg: RunSettings) -> None:
        self.deployment = deployment
        self.cfg = cfg
        self.entries: Iterator[int] = itertools.cycle(range(1, cfg.shape.entries + 1))
        # The cost of each request in a shared pool grows with the number of waiting
        # requests, which would delay all sends once answers are late. So every request in
        # flight has a client of its own.
        self.idle_clients: list[httpx.AsyncClient] = []
        self.client_count = 0
        key = load_key(deployment.key_path)
        self.client = Client(deployment.operator_urls(), key, CALL_TIMEOUT_S)

    async def requests(self, phase: Phase, arrivals: list[Arrival]) -> None:
        """Send each request at its intended time and return when all have ended."""
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
        timeout = arrival.deadline_ms / 1000.0 + CALLER_TIMEOUT_MARGIN_S
        client = self._acquire_client()
        try:
            response = await client.post(url, headers=headers, content=b"{}", timeout=timeout)
        except httpx.HTTPError:
            await client.aclose()
            self.client_count -= 1
            return "error"
        self.idle_clients.append(client)
        outcome = response.headers.get("apricotpath-outcome", "error")
        return "error" if outcome == "answered" and response.status_code >= 500 else outcome

    def _acquire_client(self) -> httpx.AsyncClient:
        """Return an idle client, or a new one with a connection per entry."""
        if self.idle_clients:
            return self.idle_clients.pop()
        self.client_count += 1
        transport = httpx.AsyncHTTPTransport(
            verify=TLS_CONTEXT, limits=httpx.Limits(max_connections=8)
        )
        return httpx.AsyncClient(transport=transport)

    async def close(self) -> None:
        """Close the callers' connections."""
        while self.idle_clients:
            await self.idle_clients.pop().aclose()

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
        """Cancel a job; errors are ignored, since it may have ended already."""
        try:
            await self.client.call_any("DELETE", f"/v1/jobs/{job}")
        except ApricotpathError:
            return

    async def records(self, kind: str) -> list[dict[str, Any]]:
        """Return the records of all running stand-ins of a kind, `worker` or `backend`."""
        found = []
        for host in self.deployment.host_names():
            name = f"{kind}-{host}"
            if self.deployment.processes[name].process.poll() is None:
                found.append(await anyio.to_thread.run_sync(self.deployment.record, name))
        return found

    async def runs(self, prefix: str) -> list[dict[str, Any]]:
        """Return the workers' attempts of tasks whose id starts with `prefix`."""
        records = await self.records("worker")
        return [run for r in records for run in r["runs"] if run["task"].startswith(prefix)]

    async def clear(self, phase: Phase) -> None:
        """Cancel a phase's jobs and wait until none of its tasks is running."""
        async with anyio.create_task_group() as group:
            for job in phase.jobs:
                group.start_soon(self.cancel, job)
        with anyio.move_on_after(15):
            # The stand-ins have no event to wait for.
            while any(run["outcome"] is None for run in await self.runs(phase.name)):  # noqa: ASYNC110
                await anyio.sleep(POLL_S)


async def _until(at: float) -> None:
    await anyio.sleep(max(0.0, at - anyio.current_time()))


def task_cpu_milli(shape: Shape) -> int:
    """Return the milli-cores of a batch task; TASKS_PER_HOST of them fit on a host."""
    return shape.cores * 1000 // TASKS_PER_CORES


async def warm_up(driver: LoadDriver) -> None:
    """Run one task of each team, so that entries hold shares of the teams' rates, then requests."""
    phase, shape = Phase("warm"), driver.cfg.shape
    mix = JobMix("warm", shape.activities[2], len(shape.teams), 1, 0.2, 100, 0.0, 0.1)
    await driver.jobs(phase, job_arrivals(shape, [mix], driver.cfg.seed))
    with anyio.fail_after(WARM_UP_S):
        # The stand-ins have no event to wait for.
        while len(await driver.runs("warm")) < len(shape.teams):  # noqa: ASYNC110
            await anyio.sleep(POLL_S)
    plan = LoadPlan(driver.cfg.seed, WARM_REQUESTS_S, driver.cfg.rate, label=phase.name)
    await driver.requests(phase, request_arrivals(shape, plan))


async def wave(driver: LoadDriver, seconds: float) -> Phase:
    """Add a wave of loud tasks to requests and quieter batch work.

    Requests come in a burst, some tasks exceed their declared size, and some jobs are cancelled.
    """
    phase, shape, cfg = Phase("wave"), driver.cfg.shape, driver.cfg
    for host in range(1, USAGE_FACTOR_HOSTS + 1):
        factor = partial(driver.deployment.set_faults, f"worker-{host}", size_factor=USAGE_FACTOR)
        await anyio.to_thread.run_sync(factor)
    mild, loud, quiet = shape.activities
    cpu_milli, hosts = task_cpu_milli(shape), shape.hosts
    mixes = [
        JobMix("wave-quiet", quiet, 4, hosts // 3, seconds * 0.5, cpu_milli, 0.0, seconds * 0.2),
        JobMix("wave-mild", mild, 2, hosts // 3, seconds * 0.5, cpu_milli, 0.0, seconds * 0.2),
        JobMix(
            *("wave-loud", loud, 8, hosts * 2 // 3, seconds * 0.3, cpu_milli),
            *(seconds * 0.2, seconds * 0.6),
            priority="low",
            cancelled_share=0.15,
        ),
    ]
    burst = Burst(seconds * 0.5, seconds * 0.6, 1.5)
    plan = LoadPlan(cfg.seed, seconds, cfg.rate, (burst,), phase.name)
    async with anyio.create_task_group() as group:
        group.start_soon(driver.jobs, phase, job_arrivals(shape, mixes, cfg.seed))
        await driver.requests(phase, request_arrivals(shape, plan))
    runs = await driver.runs("wave")
    records = await driver.records("backend")
    phase.values = {"batch": asdict(batch_work(runs)), "service": service_time(records, "/wave")}
    for host in range(1, USAGE_FACTOR_HOSTS + 1):
        factor = partial(driver.deployment.set_faults, f"worker-{host}", size_factor=1.0)
        await anyio.to_thread.run_sync(factor)
    await driver.clear(phase)
    return phase


async def evict(driver: LoadDriver, seconds: float) -> Phase:
    """Submit urgent jobs while low-priority tasks fill all hosts."""
    phase, shape, cfg = Phase("evict"), driver.cfg.shape, driver.cfg
    cpu_milli, quiet = task_cpu_milli(shape), shape.activities[2]
    low_tasks = shape.hosts * TASKS_PER_HOST // 6
    mixes = [
        JobMix("evict-low", quiet, 6, low_tasks, seconds * 3, cpu_milli, 0.0, 0.5, "low"),
        JobMix(
            *("evict-urgent", quiet, 4, shape.hosts // 2, seconds * 0.25, cpu_milli),
            *(seconds * 0.4, seconds * 0.8, "urgent"),
        ),
    ]
    with anyio.move_on_after(seconds):
        await driver.jobs(phase, job_arrivals(shape, mixes, cfg.seed))
        await anyio.sleep_forever()
    runs = await driver.runs("evict")
    urgent = [run for run in runs if run["task"].startswith("evict-urgent")]
    phase.values = {"batch": asdict(batch_work(runs)), "urgent_started": len(urgent)}
    await driver.clear(phase)
    return phase


async def change(driver: LoadDriver, seconds: float) -> Phase:
    """Take a data centre out and bring it back while batch work fills all hosts."""
    phase, shape, cfg = Phase("change"), driver.cfg.shape, driver.cfg
    removed_dc = shape.data_centres[1]
    task_capacity = shape.hosts * TASKS_PER_HOST
    run_time_s = seconds / 4
    mixes = [
        JobMix(
            *(
                "change-fill",
                shape.activities[2],
                12,
                task_capacity // 2,
                run_time_s,
                task_cpu_milli(shape),
            ),
            *(0.0, seconds * 0.1),
        )
    ]
    plan = LoadPlan(cfg.seed, seconds, cfg.rate, label=phase.name)
    # Fixed in advance, so that both sides are measured over the same spans.
    span_limits = [seconds * share for share in (0.2, 0.45, 0.7, 1.0)]
    origin, unix_origin = anyio.current_time(), time.time()

    async def run_operator_command() -> None:
        await _until(origin + span_limits[1])
        await _set_service_state(driver, "out", removed_dc)
        await _until(origin + span_limits[2])
        await _set_service_state(driver, "in", removed_dc)

    async with anyio.create_task_group() as group:
        group.start_soon(driver.jobs, phase, job_arrivals(shape, mixes, cfg.seed))
        group.start_soon(run_operator_command)
        await driver.requests(phase, request_arrivals(shape, plan))
    runs = await driver.runs("change")
    lost_share = (
        sum(shape.data_centre_of(n) == removed_dc for n in range(shape.hosts)) / shape.hosts
    )
    spans = [unix_origin + limit for limit in span_limits]
    work = [busy_core_s(runs, a, b) for a, b in itertools.pairwise(spans)]
    lengths = tuple(b - a for a, b in itertools.pairwise(span_limits))
    batch = batch_work(runs)
    # Work that tasks lost when they were stopped does not count as done.
    kept_after = work[2] - batch.wasted
    phase.values = {
        "batch": asdict(batch),
        "core_s": dict(zip(("before", "out", "after"), work, strict=True)),
        "share": lost_share,
        "cost": change_cost(work[0], work[1], kept_after, lengths, lost_share),
    }
    await driver.clear(phase)
    return phase


async def _set_service_state(driver: LoadDriver, state: str, data_centre: str) -> None:
    await anyio.to_thread.run_sync(driver.deployment.run_operator_command, "dc", state, data_centre)


async def half_failed(driver: LoadDriver, seconds: float) -> Phase:
    """Send requests while half of the backend servers are down or fail every request."""
    phase, shape, cfg = Phase("half-failed"), driver.cfg.shape, driver.cfg
    failing_hosts = driver.deployment.host_names()[: (shape.hosts + 1) // 2]
    for number, host in enumerate(failing_hosts):
        name = f"backend-{host}"
        if number % 2:
            driver.deployment.kill(name)
        else:
            fail = partial(driver.deployment.set_faults, name, fail_all=True)
            await anyio.to_thread.run_sync(fail)
    arrivals = request_arrivals(shape, LoadPlan(cfg.seed, seconds, cfg.rate, label=phase.name))
    await driver.requests(phase, arrivals)
    records = await driver.records("backend")
    phase.values = {"sends": sends_per_arrival(records, "/half-failed", len(arrivals))}
    return phase


PHASES = {"wave": wave, "evict": evict, "change": change, "half-failed": half_failed}


def deployment_of(cfg: RunSettings, folder: Path) -> Deployment:
    """Return the deployment of one side, before its start."""
    mild, loud, _ = cfg.shape.activities
    # Quiet hours would make the result depend on the time of day.
    deployment = Deployment(replace(cfg.shape, quiet_hours=()), folder)
    deployment.noise = {mild: MILD_SLOWDOWN, loud: LOUD_SLOWDOWN}
    if cfg.baseline:
        deployment.policy = {"guards": False}
        deployment.overrides = {"entry": {"requests": BASELINE_REQUESTS}}
    return deployment


def run_side(cfg: RunSettings, folder: Path, phases: tuple[str, ...] = tuple(PHASES)) -> Any:
    """Run the phases on a new deployment and return their results as JSON values."""
    if cfg.rate > MAX_REQUESTS_PER_S:
        raise ApricotpathError(f"a load above {MAX_REQUESTS_PER_S:g} requests/s is not allowed")
    deployment = deployment_of(cfg, folder)
    try:
        deployment.start()
        wait_until_keys_accepted(deployment)
        return anyio.run(_run_phases, deployment, cfg, phases)
    finally:
        deployment.stop()


async def _run_phases(deployment: Deployment, cfg: RunSettings, phases: tuple[str, ...]) -> Any:
    driver = LoadDriver(deployment, cfg)
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
