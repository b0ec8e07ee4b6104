"""Steps for upkeep.feature; all of them run in virtual time at the last one."""

from collections.abc import Awaitable, Callable
from itertools import pairwise
from typing import Any

import anyio
from behave import given, then, when

from apricotpath.boottime import boot_s
from apricotpath.ids import WaveId
from apricotpath.machines import WaveState
from apricotpath.model import Size
from apricotpath.store import Compare, Delete
from apricotpath.workload import Step
from support.machinemodel import Fault
from support.upkeepworld import READY_S, SHORT_S, UpkeepWorld

CORE = Size(1000, 100, 0)
LASTING_S = 10_000.0
OUTAGE_S = 6.0
# Long enough for the next scheduler to send orders meanwhile.
CUT_OFF_S = 12.0


def machines(text: str) -> list[str]:
    return [f"m-{name}" for name in text.replace(" and ", ", ").split(", ")]


@given("an upkeep world of {entries:d} entries and {agents:d} agents")
def create(context: Any, entries: int, agents: int) -> None:
    context.upkeep = UpkeepWorld(entries, agents)


@given("{serving:d} serving upkeep tasks of which {limit:d} may be away, and {short:d} short ones")
def submit(context: Any, serving: int, limit: int, short: int) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        world = upkeep.world
        job = upkeep.serving = world.next_job()
        world.behaviour.lengths[job] = LASTING_S
        world.behaviour.serving[job] = READY_S
        lasting = Step(serving, CORE, long_running=True, max_unavailable=limit)
        await world.submit(lasting)
        if short:
            await world.submit(Step(short, CORE, SHORT_S))
        await anyio.sleep(2.0)

    upkeep.add(context, act)


@given("{count:d} upkeep tasks of {seconds:d} s that save checkpoints")
def submit_checkpointing(context: Any, count: int, seconds: int) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        world = upkeep.world
        world.behaviour.checkpoint_s = 1.0
        world.behaviour.lengths[world.next_job()] = seconds
        await world.submit(Step(count, CORE, seconds, checkpoints=True))
        await anyio.sleep(2.0)

    upkeep.add(context, act)


@when("wave {wave:d} names machines {names} for {seconds:d} seconds, {most:d} at a time")
def open_wave(context: Any, wave: int, names: str, seconds: int, most: int) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        upkeep.wave[wave] = machines(names)
        upkeep.opened_at = min(upkeep.opened_at, boot_s())
        body = {"wave": wave, "machines": upkeep.wave[wave], "durationS": seconds}
        upkeep.write(f"op/wave/{wave}", body | {"maxCount": most})

    upkeep.add(context, act)


@when("the upkeep world meets {fault} after the first upkeep")
def meet(context: Any, fault: str) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        await upkeep.wait(lambda: bool(upkeep.service.upkeeps), 20)
        await anyio.sleep(0.1)
        await FAULTS[fault](upkeep)

    upkeep.add(context, act)


async def kill_scheduler(upkeep: UpkeepWorld) -> None:
    node = upkeep.world.leader()
    assert node is not None
    await upkeep.world.kill(node)


async def stop_scheduler(upkeep: UpkeepWorld) -> None:
    node = upkeep.world.leader()
    assert node is not None
    await upkeep.world.stop_entry(str(node.process.hello.process_id), 1.0)


async def cut_scheduler_off(upkeep: UpkeepWorld) -> None:
    """Cut the scheduler off from the store and all others; it goes on by itself for a while."""
    node = upkeep.world.leader()
    assert node is not None
    node.store.faults.silent = True
    await upkeep.world.partition(str(node.process.hello.process_id), CUT_OFF_S)
    node.store.faults.silent = False


async def lose_store(upkeep: UpkeepWorld) -> None:
    for node in upkeep.world.entries.values():
        node.store.faults.down = True
    await anyio.sleep(OUTAGE_S)
    for node in upkeep.world.entries.values():
        node.store.faults.down = False


async def lose_service(upkeep: UpkeepWorld) -> None:
    upkeep.service.is_silent = True
    await anyio.sleep(OUTAGE_S)
    upkeep.service.is_silent = False


def orders(kind: str, count: int) -> Callable[[UpkeepWorld], Awaitable[None]]:
    async def act(upkeep: UpkeepWorld) -> None:
        upkeep.service.faults.append(Fault(kind, count))

    return act


async def cut_off_with_lost_orders(upkeep: UpkeepWorld) -> None:
    upkeep.service.faults.append(Fault("not carried out", 8))
    await anyio.sleep(2.0)
    await cut_scheduler_off(upkeep)


FAULTS: dict[str, Callable[[UpkeepWorld], Awaitable[None]]] = {
    "the end of the scheduler": kill_scheduler,
    "a shutdown of the scheduler": stop_scheduler,
    "a scheduler that is cut off": cut_scheduler_off,
    "a scheduler that is cut off while 8 orders are lost": cut_off_with_lost_orders,
    "an unanswered order that was carried out": orders("carried out", 1),
    "an unanswered order that was not carried out": orders("not carried out", 1),
    "an unanswered order that is carried out late": orders("late", 1),
    "3 refusals of kind busy": orders("busy", 3),
    "3 refusals of kind wave": orders("wave", 3),
    "3 refusals of kind 400": orders("400", 3),
    "3 refusals of kind 429": orders("429", 3),
    "an outage of the store": lose_store,
    "an outage of the machine service": lose_service,
}


@when("the next {count:d} orders of upkeep are not answered, and carried out late")
def lose_orders(context: Any, count: int) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        upkeep.service.faults.append(Fault("late", count, late_s=5.0))

    upkeep.add(context, act)


@then("no other machine was ordered before the first one was answered")
def only_first(context: Any) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        await upkeep.wait(lambda: upkeep.state(1) == "completed", 60)
        first = upkeep.service.orders[0].machine
        names = [order.machine for order in upkeep.service.orders[:6]]
        assert names == [first] * 6, names

    upkeep.add(context, act)


@when("a token of {token:d} was used for upkeep machine {number:d}")
def use_token(context: Any, token: int, number: int) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        upkeep.service.tokens[f"m-{number}"] = token

    upkeep.add(context, act)


@when("{seconds:d} seconds pass in the upkeep world")
def pass_time(context: Any, seconds: int) -> None:
    upkeep: UpkeepWorld = context.upkeep
    upkeep.add(context, lambda: anyio.sleep(seconds))


@when("the scheduler of the upkeep world ends")
def end_scheduler(context: Any) -> None:
    upkeep: UpkeepWorld = context.upkeep
    upkeep.add(context, lambda: kill_scheduler(upkeep))


@when("upkeep machine {number:d} refuses orders as busy")
def refuse(context: Any, number: int) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        upkeep.service.faults.append(Fault("busy", 1000, f"m-{number}"))

    upkeep.add(context, act)


@when("upkeep machine {number:d} disappears")
def disappear(context: Any, number: int) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        del upkeep.service.executors[f"m-{number}"]

    upkeep.add(context, act)


@when("upkeep machine {number:d} appears in place of machine {former:d}")
def appear(context: Any, number: int, former: int) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        executors = upkeep.service.executors
        executors[f"m-{number}"] = executors.pop(f"m-{former}")

    upkeep.add(context, act)


@when("wave {wave:d} names machine {number:d} in place of others after the first upkeep")
def change_wave(context: Any, wave: int, number: int) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        await upkeep.wait(lambda: bool(upkeep.service.upkeeps), 20)
        upkeep.wave[wave] = [f"m-{number}"]
        body = {"wave": wave, "machines": upkeep.wave[wave], "durationS": 20, "maxCount": 1}
        upkeep.write(f"op/wave/{wave}", body)

    upkeep.add(context, act)


@when(
    "wave {wave:d} names machine {number:d} in place of others just before it is reported as "
    "completed"
)
def change_late(context: Any, wave: int, number: int) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        (keeper,) = upkeep.keepers.values()
        write = keeper.statuses.write

        async def write_after_operator(name: WaveId, state: WaveState, leads: Compare) -> bool:
            if state is WaveState.COMPLETED and not upkeep.wave:
                upkeep.wave[wave] = [f"m-{number}"]
                body["machines"] = upkeep.wave[wave]
                upkeep.write(f"op/wave/{wave}", body)
            return await write(name, state, leads)

        keeper.statuses.write = write_after_operator  # type: ignore[method-assign]
        body: dict[str, Any] = {"wave": wave, "machines": ["m-0"], "durationS": 20, "maxCount": 1}
        upkeep.write(f"op/wave/{wave}", body)
        await upkeep.wait(lambda: upkeep.state(wave) == "completed", 20)
        await upkeep.wait(lambda: upkeep.state(wave) == "running", 5)

    upkeep.add(context, act)


@when("wave {wave:d} is removed after the first upkeep")
def remove(context: Any, wave: int) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        await upkeep.wait(lambda: bool(upkeep.service.upkeeps), 20)
        upkeep.world.shared.apply([], [Delete(f"op/wave/{wave}")])

    upkeep.add(context, act)


@when("the operator writes the malformed wave {value}")
def write_malformed(context: Any, value: str) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        upkeep.write("op/wave/1", value)

    upkeep.add(context, act)


def check(context: Any, test: Callable[[UpkeepWorld], None]) -> None:
    """Add a check that waits for nothing."""
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        test(upkeep)

    upkeep.add(context, act)


@then("wave {wave:d} is completed within {seconds:d} seconds")
def completed(context: Any, wave: int, seconds: int) -> None:
    upkeep: UpkeepWorld = context.upkeep
    upkeep.add(context, lambda: upkeep.wait(lambda: upkeep.state(wave) == "completed", seconds))


@then("wave {wave:d} is completed within {seconds:d} seconds, with 1 upkeep of each machine named")
def completed_once(context: Any, wave: int, seconds: int) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        await upkeep.wait(lambda: upkeep.state(wave) == "completed", seconds)
        counts = {name: upkeep.service.upkeeps[name, wave] for name in upkeep.wave[wave]}
        assert set(counts.values()) == {1}, counts

    upkeep.add(context, act)


@then("wave {wave:d} is running")
def running(context: Any, wave: int) -> None:
    def test(upkeep: UpkeepWorld) -> None:
        assert upkeep.state(wave) == "running", upkeep.state(wave)

    check(context, test)


@then("upkeep machine {number:d} got {count:d} order, and wave {wave:d} is running")
def ordered(context: Any, number: int, count: int, wave: int) -> None:
    def test(upkeep: UpkeepWorld) -> None:
        found = [order for order in upkeep.service.orders if order.machine == f"m-{number}"]
        assert len(found) == count, found
        assert upkeep.state(wave) == "running"

    check(context, test)


@then("no more than {count:d} machine was down for wave {wave:d}")
@then("no more than {count:d} machines were down for wave {wave:d}")
def most_down(context: Any, count: int, wave: int) -> None:
    def test(upkeep: UpkeepWorld) -> None:
        assert upkeep.service.most_down[wave] <= count, upkeep.service.orders

    check(context, test)


@then("no upkeep ended a task")
def nothing_ended(context: Any) -> None:
    def test(upkeep: UpkeepWorld) -> None:
        assert not any(ended.tasks for ended in upkeep.service.ended), upkeep.service.ended

    check(context, test)


@then("each of the {count:d} upkeep tasks that save checkpoints started from the beginning once")
def resumed(context: Any, count: int) -> None:
    def test(upkeep: UpkeepWorld) -> None:
        starts = [
            done_s for node in upkeep.world.agents.values() for done_s in node.model.resumed_s
        ]
        assert starts.count(0.0) == count < len(starts), starts

    check(context, test)


@then("at most 1 serving upkeep task was away at a time, and each was moved at most once")
def moved_once(context: Any) -> None:
    moved(context, 1)


@then("at most 1 serving upkeep task was away at a time, and each was moved at most {most:d} times")
def moved(context: Any, most: int) -> None:
    def test(upkeep: UpkeepWorld) -> None:
        gaps = sorted(upkeep.gaps())
        for (_, ended), (begins, _) in pairwise(gaps):
            assert begins >= ended, gaps
        names = [task for task, _, _ in upkeep.spans()]
        assert max(map(names.count, names)) <= 1 + most, upkeep.spans()

    check(context, test)


@then("the upkeep machines were listed once a second at most, and only while a wave was open")
def listed(context: Any) -> None:
    def test(upkeep: UpkeepWorld) -> None:
        times = upkeep.service.listed_at
        assert times[0] >= upkeep.opened_at
        assert all(later - earlier >= 0.99 for earlier, later in pairwise(times)), times

    check(context, test)


@then("the state of wave {wave:d} was written as {states}")
def states_written(context: Any, wave: int, states: str) -> None:
    def test(upkeep: UpkeepWorld) -> None:
        assert upkeep.states() == states.split(", "), upkeep.states()

    check(context, test)


@then(
    "{count:d} upkeep was carried out, no host is kept free, and no call was made in the last 5 "
    "seconds"
)
def not_carried_on(context: Any, count: int) -> None:
    def test(upkeep: UpkeepWorld) -> None:
        assert upkeep.service.upkeeps.total() == count, upkeep.service.upkeeps
        node = upkeep.world.leader()
        assert node is not None and node.jobs.scheduler is not None
        for host in node.jobs.scheduler.host_tracker.hosts.values():
            assert host.upkeep_stops is None and not host.upkeep_due, host
        calls = [*upkeep.service.listed_at, *(order.at for order in upkeep.service.orders)]
        assert max(calls) < boot_s() - 5, calls

    check(context, test)


@then("nothing was called for upkeep and no state was written")
def nothing_called(context: Any) -> None:
    def test(upkeep: UpkeepWorld) -> None:
        assert not upkeep.service.listed_at and not upkeep.service.orders
        assert not upkeep.states()

    check(context, test)


@then("nothing was called for upkeep, no state was written, and a malformed wave was counted")
def malformed_counted(context: Any) -> None:
    def test(upkeep: UpkeepWorld) -> None:
        assert not upkeep.service.listed_at and not upkeep.service.orders
        assert not upkeep.states()
        assert [view.waves.malformed for view in upkeep.views.values()] == [1]

    check(context, test)


@then(
    "{count:d} upkeeps were carried out, no serving upkeep task was ended, and wave {wave:d} is "
    "running"
)
def none_ended(context: Any, count: int, wave: int) -> None:
    def test(upkeep: UpkeepWorld) -> None:
        assert upkeep.service.upkeeps.total() == count, upkeep.service.upkeeps
        assert len(upkeep.spans()) == 1, upkeep.spans()
        assert upkeep.state(wave) == "running"

    check(context, test)
