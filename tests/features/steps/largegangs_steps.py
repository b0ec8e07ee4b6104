"""Steps for largegangs.feature."""

from typing import Any

import anyio
from behave import given, then, when

from apricotpath.boottime import boot_s
from apricotpath.ids import JobId, TaskId
from apricotpath.jsonfields import parse_object, read_list
from apricotpath.model import Size
from apricotpath.workload import Progress, RunResult, Step
from support.gangworld import PREFIX, REPORT_S, GangWorld, gang_main, wait_until
from support.jobworld import run_virtual

MEMBER = Size(25, 100, 0)
# Time for a gang to start, and for its end to be recorded, in virtual time.
SOON_S = 10.0
SAVE_S = 2.5
# Stops by which a gang is broken; executors end the other members by themselves.
MAX_STOPS = 1
REFUSE_ALL = 1_000_000


def gang(count: int) -> Step:
    """Return a gang that saves."""
    return Step(count, MEMBER, 6.0, gang=True, checkpoints=True)


async def run_gang(world: GangWorld, count: int) -> JobId:
    """Submit a gang, and wait until it runs and each member has a checkpoint of its own."""
    job = await world.submit(1, gang(count))
    await wait_until(lambda: world.running() == count, SOON_S)
    save(world, "a")
    return job


def save(world: GangWorld, name: str) -> None:
    """Have each member work, and make a checkpoint."""
    for host in world.hosts:
        host.saved = {task: f"{name}-{task}" for task, _ in host.runs}
        host.percent += 10


def break_gang(world: GangWorld) -> None:
    """Have one member fail, which ends all others."""
    host = world.hosts[0]
    host.end(*next(iter(host.runs)), RunResult.FAILED)
    world.end_all(RunResult.BROKEN)


@given("a largegangs world of {hosts:d} hosts")
def hosts_of_world(context: Any, hosts: int) -> None:
    context.hosts = hosts


def play(context: Any, act: Any) -> None:
    """Play a scenario, and keep the number of calls of the longest step."""

    async def main(world: GangWorld) -> None:
        context.world = world
        await act(world)

    run_virtual(gang_main(context.hosts, main))


@when("a gang of {count:d} tasks saves, is broken by a failing member, and is run again to its end")
def run_twice(context: Any, count: int) -> None:
    async def act(world: GangWorld) -> None:
        context.job = await run_gang(world, count)
        await anyio.sleep(SAVE_S)
        save(world, "b")
        await anyio.sleep(2 * REPORT_S)
        for host in world.hosts:
            host.orders.clear()
        break_gang(world)
        await wait_until(lambda: world.running() == count, SOON_S)
        context.orders = [order for host in world.hosts for order in host.orders]
        context.stops = sum(host.stops for host in world.hosts)
        world.end_all(RunResult.DONE)
        await wait_until(lambda: world.progress(context.job) is Progress.COMPLETED, SOON_S)
        await wait_until(lambda: not any(host.endings for host in world.hosts), SOON_S)

    play(context, act)


@then("the gang's second run resumed from one checkpoint, and its job is completed")
def resumed(context: Any) -> None:
    saved = {order.saved for order in context.orders}
    assert len(saved) == 1 and next(iter(saved)).startswith("b-"), sorted(saved)[:5]
    assert {order.run for order in context.orders} == {2}
    assert context.world.progress(context.job) is Progress.COMPLETED


@then("no stop was ordered of the members that the failure had ended")
def no_stops(context: Any) -> None:
    assert not context.stops, context.stops


@then("no step of the scheduler made more than {limit:d} calls")
def short_steps(context: Any, limit: int) -> None:
    assert 0 < context.world.counter.most <= limit, context.world.counter.most


@when("a gang of {count:d} tasks is cancelled while it runs")
def cancel(context: Any, count: int) -> None:
    async def act(world: GangWorld) -> None:
        job = await run_gang(world, count)
        world.scheduler.cancel(job)
        context.took_s = await wait_until(
            lambda: not world.running() and not any(host.endings for host in world.hosts), 60.0
        )

    play(context, act)


@then("all runs of the gang have ended and are acknowledged within {limit:d} seconds")
def ended_soon(context: Any, limit: int) -> None:
    assert context.took_s <= limit, context.took_s


@when("a gang of {count:d} tasks is broken and the scheduler is replaced before it records that")
def replace(context: Any, count: int) -> None:
    async def act(world: GangWorld) -> None:
        await run_gang(world, count)
        break_gang(world)
        await world.replace_scheduler()
        await wait_until(lambda: world.running() == count, SOON_S)
        context.runs = {run for host in world.hosts for _, run in host.runs}
        await wait_until(lambda: not any(host.endings for host in world.hosts), SOON_S)

    play(context, act)


@then("the gang runs again, and all ends are acknowledged")
def runs_again(context: Any) -> None:
    assert context.runs == {2}, context.runs


@when(
    "a gang of {count:d} tasks runs for {seconds:d} seconds, "
    "each member with checkpoints of its own"
)
def save_often(context: Any, count: int, seconds: int) -> None:
    async def act(world: GangWorld) -> None:
        await run_gang(world, count)
        for number in range(seconds):
            save(world, str(number))
            await anyio.sleep(1.0)
        context.saved = [
            row[1]
            for key, item in world.shared.items.items()
            if key.startswith(f"{PREFIX}runs/")
            for row in read_list(parse_object(item.value, "an entry"), "records", [])
            if row[0] == "s"
        ]

    play(context, act)


@then("at most {limit:d} checkpoints of the gang are in the run log")
def few_checkpoints(context: Any, limit: int) -> None:
    saved: list[TaskId] = context.saved
    assert 0 < len(saved) <= limit, len(saved)


async def refuse(world: GangWorld) -> None:
    """Let the start of one member be refused; nothing else happens."""


async def change_scheduler(world: GangWorld) -> None:
    """Change the scheduler after the refusal is recorded, and before a stop arrives."""
    for host in world.hosts:
        host.gets_no_orders = True
    await anyio.sleep(0.5)
    for host in world.hosts:
        host.gets_no_orders = False
    await world.replace_scheduler()


async def attach_again(world: GangWorld) -> None:
    """Attach the host that got no orders again."""
    await anyio.sleep(0.2)
    host = world.hosts[0]
    host.gets_no_orders = False
    host.attach()


async def lose_host(world: GangWorld) -> None:
    """Lose the host that got no orders."""
    await anyio.sleep(0.2)
    world.hosts[0].lose()


async def restart_executor(world: GangWorld) -> None:
    """Restart an executor that has got its orders, before the gang is at work."""
    world.hosts[0].restart()


# What happens once a gang is ordered, by the words of the scenario.
MISSED_STARTS = {
    "is refused by its host": refuse,
    "is refused, and the scheduler changes": change_scheduler,
    "has a host that attaches again without it": attach_again,
    "has a host that is lost": lose_host,
    "has an executor that restarts": restart_executor,
}


@when("a gang of {count:d} tasks is ordered, and a member {misses}")
def miss_start(context: Any, count: int, misses: str) -> None:
    act_on = MISSED_STARTS[misses]

    async def act(world: GangWorld) -> None:
        host = world.hosts[0]
        host.gets_no_orders = act_on in (attach_again, lose_host)
        for item in world.hosts:
            item.others = world.hosts
        host.refusals = 1 if act_on in (refuse, change_scheduler) else 0
        context.job = await world.submit(1, gang(count))
        await wait_until(lambda: any(item.runs for item in world.hosts), SOON_S)
        began = boot_s()
        await act_on(world)
        await wait_until(lambda: {run for _, run in all_runs(world)} == {2}, 20.0)
        await wait_until(lambda: world.running() == count, SOON_S)
        context.took_s = boot_s() - began
        context.runs = {run for _, run in all_runs(world)}
        context.stops = sum(item.stops for item in world.hosts)
        members = world.scheduler.table.rows[context.job].tasks.values()
        context.failed_runs = [task.key for task in members if task.failures()]
        world.end_all(RunResult.DONE)
        await wait_until(lambda: world.progress(context.job) is Progress.COMPLETED, SOON_S)

    play(context, act)


def all_runs(world: GangWorld) -> list[tuple[TaskId, int]]:
    """Return the runs on all hosts."""
    return [name for host in world.hosts for name in host.runs]


@then("all members ran together within {seconds:g} seconds, in run 2, and its job is completed")
def ran_together(context: Any, seconds: float) -> None:
    assert context.took_s <= seconds, context.took_s
    assert context.runs == {2}, context.runs
    assert context.stops <= MAX_STOPS, context.stops


@then("the gang has failed in no run")
def no_failures(context: Any) -> None:
    assert not context.failed_runs, context.failed_runs


@when(
    "a gang of {count:d} tasks is ordered, and all hosts refuse all starts for {seconds:d} seconds"
)
def refuse_all(context: Any, count: int, seconds: int) -> None:
    async def act(world: GangWorld) -> None:
        for host in world.hosts:
            host.refusals = REFUSE_ALL
        await world.submit(1, gang(count))
        await anyio.sleep(seconds)
        context.orders = len({order.run for host in world.hosts for order in host.orders})
        for host in world.hosts:
            host.refusals = 0
        context.took_s = await wait_until(lambda: world.running() == count, SOON_S)

    play(context, act)


@then(
    "the gang was ordered at most {orders:d} times, and ran whole at most {seconds:g} seconds "
    "after that"
)
def ordered_less_often(context: Any, orders: int, seconds: float) -> None:
    assert context.orders <= orders, context.orders
    assert context.took_s <= seconds, context.took_s
