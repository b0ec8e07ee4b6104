"""Steps for upkeepwaits.feature, beside those for worlds with machine upkeep."""

from typing import Any

from behave import given, then, when
from upkeep_steps import LASTING_S, check

from apricotpath.boottime import boot_s
from apricotpath.model import Size
from apricotpath.workload import Step
from support.upkeepworld import READY_S, UpkeepWorld

START_S = 6.0


def running(upkeep: UpkeepWorld) -> list[str]:
    """Return the host of each serving task that runs."""
    nodes = upkeep.world.agents.items()
    return [
        name
        for name, node in nodes
        for task, _ in node.model.runs
        if task.startswith(upkeep.serving)
    ]


@then("no serving task of the upkeepwaits was away for longer than {limit_s:g} seconds")
def none_away(context: Any, limit_s: float) -> None:
    def test(upkeep: UpkeepWorld) -> None:
        away_s = [begins - ended for ended, begins in upkeep.gaps()]
        ends = {task: to for task, _, to in upkeep.spans()}
        away_s += [boot_s() - to for to in ends.values()]
        assert away_s and max(away_s) <= limit_s, sorted(away_s)

    check(context, test)


@given(
    "{count:d} serving tasks of upkeepwaits of {cores:d} cores, of which {limit:d} may be away, "
    "on one machine"
)
def submit_serving(context: Any, count: int, cores: int, limit: int) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        world = upkeep.world
        job = upkeep.serving = world.next_job()
        world.behaviour.lengths[job] = LASTING_S
        world.behaviour.serving[job] = READY_S
        size = Size(1000 * cores, 100, 0)
        await world.submit(Step(count, size, long_running=True, max_unavailable=limit))
        await upkeep.wait(lambda: len(running(upkeep)) == count, START_S)
        (context.host,) = set(running(upkeep))

    upkeep.add(context, act)


@when("the upkeepwaits machine is to be emptied, and the other one is lost as a task starts there")
def lose_other(context: Any) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        machines = {model.name: name for name, model in upkeep.service.executors.items()}
        wave = {"wave": 1, "machines": [machines[context.host]], "durationS": 60, "maxCount": 1}
        upkeep.write("op/wave/1", wave)
        await upkeep.wait(lambda: set(running(upkeep)) != {context.host}, START_S)
        lost = next(n for name, n in upkeep.world.agents.items() if name != context.host)
        lost.sends_heartbeats = False
        lost.model.shut_down()
        lost.agent.on_executor_shutdown(lost.model.name)

    upkeep.add(context, act)


@then("both tasks of the upkeepwaits run on their machine within {limit_s:g} seconds")
def run_there(context: Any, limit_s: float) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        await upkeep.wait(lambda: running(upkeep) == [context.host] * 2, limit_s)

    upkeep.add(context, act)
