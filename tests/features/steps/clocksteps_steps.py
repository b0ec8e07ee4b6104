"""Steps for clocksteps.feature."""

from typing import Any

import anyio
from behave import given, then, when

from apricotpath.boottime import boot_s
from apricotpath.ids import DataCentreId, RackId, ServiceId
from apricotpath.workload import HostFacts
from apricotpath_platform.heartbeats import HeartbeatApp
from apricotpathd.attachment import ExecutorState
from support.agentcase import AgentCase
from support.jobworld import run_virtual

SERVICE = ServiceId("bakery")
STEP_BACK_MS = 50


def facts_of(text: str) -> HostFacts:
    """Return the facts of an incarnation: its id, a letter, and its start time."""
    return HostFacts(text[0], int(text[1:]), SERVICE, DataCentreId("z1"), RackId("r1"))


@given("an agent of clocksteps whose executor answers as {alive}")
def agent(context: Any, alive: str) -> None:
    context.alive = alive


@when("it gets the heartbeats {heartbeats}")
def receive(context: Any, heartbeats: str) -> None:
    """Pass on heartbeats: INCARNATION:SEQ, at a time if one is given after an @."""
    context.passed = []

    def on_state(state: ExecutorState) -> None:
        name = f"{state.facts.instance}{state.facts.born_ms}"
        if not context.passed or context.passed[-1] != name:
            context.passed.append(name)

    async def answers_as(facts: HostFacts) -> bool | None:
        if context.alive == "none":
            return None
        return f"{facts.instance}{facts.born_ms}" == context.alive

    async def main() -> None:
        app: Any = HeartbeatApp(SERVICE, on_state, lambda _instance: None, answers_as)
        async with anyio.create_task_group() as group:
            group.start_soon(app.run)
            for heartbeat in heartbeats.split():
                text, _, at = heartbeat.partition("@")
                await anyio.sleep(max(0.0, float(at or 0) - boot_s()))
                incarnation, seq = text.split(":")
                app._accept(ExecutorState(facts_of(incarnation)), int(seq))
                await anyio.sleep(0.1)
            group.cancel_scope.cancel()

    run_virtual(main)


@then("clocksteps have passed {passed} on")
def have_passed(context: Any, passed: str) -> None:
    assert context.passed == passed.split(), context.passed


@when("the executor restarts under its id with a lower start time after {seconds:d} seconds")
def restart_earlier(context: Any, seconds: int) -> None:
    case: AgentCase = context.case

    async def act() -> None:
        await anyio.sleep(context.ordered_at + seconds - boot_s())
        case.model.crash()
        case.model.born_ms -= STEP_BACK_MS
        case.send_heartbeat()

    case.actions.insert(0, lambda: raise_start_time(case))
    case.actions.append(act)


async def raise_start_time(case: AgentCase) -> None:
    """Let the first incarnation have a start time that leaves room for a lower one."""
    case.model.born_ms += 2 * STEP_BACK_MS
    case.send_heartbeat()
    await anyio.sleep(1.0)


@then("the agent of clocksteps is attached {seconds:d} seconds after it finds its scheduler again")
def is_attached(context: Any, seconds: int) -> None:
    case: AgentCase = context.case

    async def act() -> None:
        case.granting = case.attaching = True
        await anyio.sleep(seconds)
        attached = case.agent.attachment
        assert attached is not None and attached.reported, attached
        assert attached.facts.born_ms == case.model.born_ms

    case.actions.append(act)
    case.run()
