"""Steps for crashevidence.feature."""

from typing import Any

import anyio
from behave import given, then, when

from apricotpath.boottime import boot_s
from apricotpath.crashes import Blame, CrashHistory, CrashPart, CrashRate
from apricotpath.ids import HostId, JobId
from apricotpath.model import Size
from apricotpath.workload import Step
from support.executormodel import ExecutorModel
from support.jobworld import JobWorld, run_virtual

HOST = Size(8000, 8000, 0)
DOWN_S = 0.5
FLAPPING_RACK = "r9"
JOB, OTHER_JOB = JobId("00000000000000e1"), JobId("00000000000000e2")
CHANCE = 0.001


@given("a crashevidence world of {plain:d} plain hosts and {flapping:d} that flap")
def create(context: Any, plain: int, flapping: int) -> None:
    context.hosts = [*["r1"] * plain, *[FLAPPING_RACK] * flapping]


@when(
    "a job of 1 task of {seconds:g} seconds needs a host that flaps every {period:g} seconds for "
    "{flap_s:g} seconds"
)
def set_job(context: Any, seconds: float, period: float, flap_s: float) -> None:
    context.seconds, context.period_s, context.flap_s = seconds, period, flap_s


async def flap(model: ExecutorModel, offset_s: float, period_s: float, flap_s: float) -> None:
    """Let an executor go down and up until the time is over."""
    ends_at = boot_s() + flap_s
    await anyio.sleep(offset_s)
    while boot_s() + DOWN_S < ends_at:
        if not model.is_down:
            model.go_down()
        await anyio.sleep(period_s)


@then(
    "the crashevidence job is completed within {limit:d} seconds of the last crash with seed "
    "{seed:d}"
)
def is_completed(context: Any, limit: int, seed: int) -> None:
    async def main() -> str:
        async with anyio.create_task_group() as group:
            world = JobWorld(group)
            world.behaviour.seconds, world.behaviour.restart_s = context.seconds, DOWN_S
            for number in range(2):
                world.add_entry(f"entry{number}")
            for number, rack in enumerate(context.hosts):
                world.add_agent(f"host{number}", HOST, rack=rack)
            await world.wait_until_attached()
            numbers = [number for number, rack in enumerate(context.hosts) if rack != "r1"]
            offset_s = context.period_s / len(numbers)
            for place, number in enumerate(numbers):
                model = world.agents[f"host{number}"].model
                group.start_soon(flap, model, place * offset_s, context.period_s, context.flap_s)
            job = await world.submit(
                Step(1, Size(1800, 3200, 0), context.seconds, label=FLAPPING_RACK)
            )
            state = await world.wait_for_end(job, context.flap_s + limit)
            assert not world.violations(), world.violations()
            group.cancel_scope.cancel()
        return state

    state = run_virtual(main, seed)
    assert state == "completed", state


@when("a task is suspected of crashes of {hosts:d} hosts at {ran:g} s of its runs, {apart} apart")
def suspect(context: Any, hosts: int, ran: float, apart: str) -> None:
    context.history = CrashHistory()
    for number, flag in enumerate(apart.split(",")):
        host = HostId(f"host{number % hosts}")
        part = CrashPart(Blame.SUSPECT, CHANCE, True, host, ran, flag == "1")
        context.history.note(number + 1, part, float(number))
        context.last_crash_at = float(number)


@then("the task of the crashevidence history is {verdict}")
def judged(context: Any, verdict: str) -> None:
    assert context.history.convicted is (verdict == "given up"), context.history


@then(
    "the task of the crashevidence history must not start for {seconds:d} seconds after the last "
    "crash"
)
def held(context: Any, seconds: int) -> None:
    assert context.history.held_until == context.last_crash_at + seconds, context.history


@when(
    "a host of crashevidence crashes {count:d} times in {seconds:d} seconds, 1 of them under a "
    "suspect of the job"
)
def crash_host(context: Any, count: int, seconds: int) -> None:
    rate = CrashRate(0.0)
    for number in range(count):
        jobs = frozenset({JOB} if number == count - 1 else ())
        rate.add(100.0 + number, HostId("host0"), jobs)
        rate.add(100.0 + number, HostId("host1"), frozenset())
    context.crashes = rate.on_host(HostId("host0"), 100.0 + seconds)


@then(
    "its rate of crashes without the job is {own:d} in {span:d} seconds, and without another one "
    "{other:d} in {other_span:d} seconds"
)
def has_rate(context: Any, own: int, span: int, other: int, other_span: int) -> None:
    assert context.crashes.rate_without(JOB) == own / span
    assert context.crashes.rate_without(OTHER_JOB) == other / other_span
    assert context.crashes.crashes_by_itself


@when(
    "a host of crashevidence crashes {count:d} times in {seconds:d} seconds at the start of "
    "another job"
)
def crash_at_start(context: Any, count: int, seconds: int) -> None:
    rate = CrashRate(0.0)
    for number in range(count):
        rate.add(100.0 + number, HostId("host0"), frozenset({OTHER_JOB}), at_start=True)
    context.crashes = rate.on_host(HostId("host0"), 100.0 + seconds)


@then("its rate of crashes without the job is 0")
def has_no_rate(context: Any) -> None:
    assert context.crashes.rate_without(JOB) == 0.0
