"""Steps for acknowledgements.feature."""

from typing import Any

import anyio
from behave import given, then, when

from apricotpath.ids import TaskId
from apricotpath.messages import RunOrder
from apricotpath.model import Size
from apricotpath.workload import RunResult, Step
from support.gangworld import GangWorld, gang_main, wait_until
from support.jobworld import run_virtual

SIZE = Size(100, 10, 0)
SOON_S, OUTAGE_S, LIMIT_S = 0.5, 2.0, 10.0
NAMES = {
    "a run of a job that is gone": TaskId("00000000000000ff.0.0.0"),
    "a run whose name is malformed": TaskId("what"),
}


@given("an acknowledgements host")
def one_host(context: Any) -> None:
    context.took_s = context.early = None


async def start_one(world: GangWorld) -> RunOrder:
    """Submit a job of one task, and return the order of its run."""
    await world.submit(1, Step(1, SIZE))
    await wait_until(lambda: world.running() == 1, LIMIT_S)
    return world.hosts[0].orders[0]


async def report_end(world: GangWorld, run: str) -> float:
    """Report an end that needs no record; return the seconds until it is acknowledged."""
    host = world.hosts[0]
    # The end of an earlier run of a task that runs again has been recorded as lost.
    order = await start_one(world)
    task, number = NAMES.get(run, order.task), 0 if run not in NAMES else 1
    host.runs[task, number] = order
    host.end(task, number, RunResult.STOPPED)
    return await wait_until(lambda: not host.endings, LIMIT_S)


async def report_in_outage(world: GangWorld, context: Any) -> None:
    """Report an end while the store does not answer."""
    host = world.hosts[0]
    order = await start_one(world)
    world.store.faults.down = True
    host.end(order.task, order.run, RunResult.DONE)
    await anyio.sleep(OUTAGE_S)
    context.early = not host.endings
    world.store.faults.down = False
    context.took_s = await wait_until(lambda: not host.endings, LIMIT_S)


@when("it reports the end of a run that it was given while the store does not answer")
def end_in_outage(context: Any) -> None:
    run_virtual(gang_main(1, lambda world: report_in_outage(world, context)))


@when("it reports the end of {run}")
def end_of(context: Any, run: str) -> None:
    async def act(world: GangWorld) -> None:
        context.took_s = await report_end(world, run)

    run_virtual(gang_main(1, act))


@then("the end is acknowledged within {seconds:g} seconds")
def acknowledged(context: Any, seconds: float) -> None:
    assert seconds == SOON_S
    assert context.took_s <= seconds, context.took_s


@then("the end is not acknowledged before the store answers, and soon after that")
def after_outage(context: Any) -> None:
    assert context.early is False
    assert context.took_s <= 2.0, context.took_s
