"""Steps for quarantine.feature."""

from dataclasses import replace
from typing import Any

import anyio
from behave import given, then, when

from apricotpath.fleet import Host
from apricotpath.ids import DataCentreId, HostId, JobId, RackId, ServiceId, TaskId
from apricotpath.model import Size
from apricotpath.quarantine import Quarantine
from apricotpath.workload import HostFacts, Step
from support.jobworld import QUEUE, JobWorld, run_virtual, tasks_of

HOST = Size(8000, 16000, 0)
TASK = Size(240, 480, 0)
JOB_S, HOPELESS_S = 2.0, 0.5
HOPELESS_TASKS, ATTEMPTS = 32, 4
SILENT_S = 1.6
NOW = 100.0


@given("a quarantine world of {hosts:d} hosts")
def create(context: Any, hosts: int) -> None:
    context.hosts = hosts


@when("{jobs:d} jobs come, of which {hopeless:d} fail all of their 32 tasks")
def set_jobs(context: Any, jobs: int, hopeless: int) -> None:
    context.jobs, context.hopeless = jobs, hopeless


async def submit(world: JobWorld, is_hopeless: bool) -> JobId:
    """Submit a job, of which no task can be done if it is hopeless."""
    if is_hopeless:
        job = world.next_job()
        world.behaviour.lengths[job] = HOPELESS_S
        world.behaviour.failing |= {TaskId(name) for name in tasks_of(job, 0, HOPELESS_TASKS)}
        return await world.submit(Step(HOPELESS_TASKS, TASK, JOB_S))
    step = Step(2, TASK, JOB_S)
    return await world.submit(step, replace(step, after=(0,)))


@then(
    "all other jobs of the quarantine world are completed within {limit:d} seconds with seed "
    "{seed:d}"
)
def are_completed(context: Any, limit: int, seed: int) -> None:
    async def main() -> list[str]:
        async with anyio.create_task_group() as group:
            world = JobWorld(group)
            world.behaviour.seconds = JOB_S
            world.queues[QUEUE] = replace(world.queues[QUEUE], attempts=ATTEMPTS)
            world.add_entry("entry0")
            for number in range(context.hosts):
                world.add_agent(f"host{number}", HOST)
            await world.wait_until_attached()
            others = []
            first = (context.jobs - context.hopeless) // 2
            for number in range(context.jobs):
                is_hopeless = first <= number < first + context.hopeless
                job = await submit(world, is_hopeless)
                if not is_hopeless:
                    others.append(job)
            with anyio.move_on_after(limit):
                ends = [await world.wait_for_end(job, limit) for job in others]
                group.cancel_scope.cancel()
                return ends
            group.cancel_scope.cancel()
        return ["unfinished"]

    ends = run_virtual(main, seed)
    assert set(ends) == {"completed"}, ends


@given("{count:d} quarantined hosts of a service")
def quarantined_hosts(context: Any, count: int) -> None:
    facts = HostFacts("x", 1, ServiceId("bakery"), DataCentreId("z1"), RackId("r1"))
    context.hosts = {
        HostId(name): Host(HostId(name), facts, reported=True, reported_at=NOW)
        for name in "abcdefgh"[:count]
    }
    context.quarantine = Quarantine(context.hosts, SILENT_S)


def end_runs(context: Any, ends: str) -> None:
    """End runs: HOST JOB, with a plus if it is done; each is ordered after the last one."""
    for number, end in enumerate(ends.split()):
        host, job = context.hosts[HostId(end[0])], JobId(end[1])
        at = NOW + number / 100
        if end.endswith("+"):
            context.quarantine.record_success(host, job)
        else:
            context.quarantine.record_failure(host, job, at - 0.005, at)


def set_aside(context: Any, now: float = NOW + 1) -> list[str]:
    """Return the names of the hosts that are set aside."""
    return [name for name, host in context.hosts.items() if host.is_set_aside(now)]


@when("their runs end as {ends}, and hosts c and d stop answering")
def end_and_lose(context: Any, ends: str) -> None:
    end_runs(context, ends)
    context.aside = set_aside(context)
    for name in "cd":
        context.hosts[HostId(name)].silent_since = NOW


@when("their runs end as {ends}")
def end(context: Any, ends: str) -> None:
    end_runs(context, ends)


@then("the quarantined hosts that are set aside are {names}")
def are_aside(context: Any, names: str) -> None:
    wanted = [] if names == "none" else names.split(",")
    assert set_aside(context) == wanted, set_aside(context)


@when("host a fails {jobs:d} jobs of runs that were ordered before the first of them ended")
def fail_old_runs(context: Any, jobs: int) -> None:
    host = context.hosts[HostId("a")]
    for number in range(jobs):
        context.quarantine.record_failure(host, JobId(f"old{number}"), NOW, NOW + 0.1)


@then(
    "host a is set aside for {first:d} seconds, and for {later:d} seconds after {jobs:d} more jobs "
    "once it is back"
)
def set_aside_for(context: Any, first: int, later: int, jobs: int) -> None:
    host = context.hosts[HostId("a")]
    assert round(host.set_aside_until - NOW - 0.1, 6) == first, host
    back = host.set_aside_until
    for other in context.hosts.values():
        other.reported_at = back
    for number in range(jobs):
        context.quarantine.record_failure(host, JobId(f"new{number}"), back, back + 0.1)
    assert round(host.set_aside_until - back - 0.1, 6) == later, host


@then(
    "{count:d} of the quarantined hosts that are set aside is taken back, the one that ends first"
)
def taken_back(context: Any, count: int) -> None:
    assert context.aside == ["a", "b"], context.aside
    context.quarantine.restore_share(NOW + 1)
    assert set_aside(context) == context.aside[count:], set_aside(context)
