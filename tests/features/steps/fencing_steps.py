"""Steps for fencing.feature."""

from typing import Any

import anyio
from behave import given, then, when

from apricotpath.boottime import boot_s
from apricotpath.entryrecords import LeaderRecord
from apricotpath.executor import ExecutorFenced, StartCall
from apricotpath.fencelimits import (
    FENCES_PER_EPOCH,
    FenceLimit,
    epoch_key,
    epoch_of,
    highest_issued,
    limit_key,
)
from apricotpath.ids import Epoch, FenceToken, IncarnationId, JobId, ProcessId, TaskId
from apricotpath.model import Size
from apricotpath.store import KeyValue, LeaseId, Put
from apricotpath.workload import Step
from support.jobworld import PREFIX, AgentNode, JobWorld, run_virtual

HOST = Size(8000, 8000, 0)
TASK = TaskId("00000000000000f1.0.0.0")
REVISION = 9
WAIT_LIMIT_S = 10.0


class FencingWorld:
    """A job world whose agent `host0` restarts; `actions` run one after another."""

    def __init__(self, agents: int) -> None:
        self.agents = agents
        self.actions: list[Any] = []
        self.last_token = FenceToken(0)
        self.job = JobId("")

    def run(self) -> None:
        """Play the scenario in virtual time."""
        run_virtual(self._main)

    async def _main(self) -> None:
        async with anyio.create_task_group() as group:
            self.world = JobWorld(group)
            for number in range(2):
                self.world.add_entry(f"entry{number}")
            for number in range(self.agents):
                self.world.add_agent(f"host{number}", HOST)
            await self.world.wait_until_attached()
            for action in self.actions:
                await action()
            group.cancel_scope.cancel()

    @property
    def node(self) -> AgentNode:
        """The newest process of the agent."""
        return self.world.agents["host0"]

    @property
    def token(self) -> FenceToken:
        """The token of the agent's attachment."""
        attached = self.node.agent.attachment
        assert attached is not None
        return attached.fence

    async def restart(self) -> None:
        """Replace the agent by its next process."""
        self.last_token = self.token
        await self.world.kill(self.node)
        self.world.add_agent("host0", HOST)

    def stored_limit(self) -> FenceLimit:
        """Return the limit that the store holds."""
        return FenceLimit.parse(self.world.shared.items[limit_key(PREFIX)].value)

    def store_limit(self, limit: FenceLimit) -> None:
        """Set the limit that the store holds."""
        self.world.shared.apply([], [Put(limit_key(PREFIX), limit.encode())])


@given("a fencing world of {agents:d} agents")
def fencing_world(context: Any, agents: int) -> None:
    context.world = FencingWorld(agents)


@when(
    "agent 0 of the fencing world lives {lives:d} times, and then all processes and its executor "
    "restart"
)
def live(context: Any, lives: int) -> None:
    case: FencingWorld = context.world

    async def act() -> None:
        for _ in range(lives - 1):
            await case.restart()
            await case.world.wait_until_attached()
        case.last_token = case.token
        for entry in case.world.entries.values():
            await case.world.kill(entry)
        await case.world.kill(case.node)
        case.node.model.crash()
        case.world.add_agent("host0", HOST)

    case.actions.append(act)


@then("a start under the last token of that life is refused 1.5 seconds later, with no entry up")
def is_refused(context: Any) -> None:
    case: FencingWorld = context.world

    async def act() -> None:
        await anyio.sleep(1.5)
        try:
            case.node.model.start(StartCall(TASK, 1, "bake", "", "", 1 << 30), case.last_token)
        except ExecutorFenced:
            return
        raise AssertionError(f"started under {case.last_token}, fence {case.node.model.fence}")

    case.actions.append(act)


@when("a run of {seconds:d} seconds is at work in the fencing world, and its agent restarts")
def restart_at_work(context: Any, seconds: int) -> None:
    case: FencingWorld = context.world

    async def act() -> None:
        case.world.behaviour.seconds = seconds
        case.job = await case.world.submit(Step(1, Size(8000, 8000, 0), 2.0))
        await anyio.sleep(1.0)
        busy = [node for node in case.world.agents.values() if node.model.runs]
        assert [node.agent.host for node in busy] == ["host0"], busy
        await case.restart()

    case.actions.append(act)


@when("agent 0 of the fencing world restarts")
def restart(context: Any) -> None:
    case: FencingWorld = context.world

    async def act() -> None:
        await case.world.wait_until_attached()
        await case.restart()

    case.actions.append(act)


@when(
    "agent 0 of the fencing world restarts while the store is away for it for {seconds:d} seconds"
)
def restart_without_store(context: Any, seconds: int) -> None:
    case: FencingWorld = context.world

    async def act() -> None:
        await case.restart()
        case.node.store.faults.down = True
        context.fence_before = case.node.model.fence
        await anyio.sleep(seconds)
        context.fence_meanwhile = case.node.model.fence
        assert case.node.agent.attachment is None
        case.node.store.faults.down = False

    case.actions.append(act)


@then("its executor gets no call under the next process before the store answers")
def no_call(context: Any) -> None:
    case: FencingWorld = context.world

    async def act() -> None:
        assert context.fence_meanwhile == context.fence_before

    case.actions.append(act)


@when("agent 0 of the fencing world restarts, and the stored limit is {which}")
def restart_with_limit(context: Any, which: str) -> None:
    case: FencingWorld = context.world

    async def act() -> None:
        epoch = epoch_of(case.token)
        if which == "missing":
            case.world.shared.remove(limit_key(PREFIX))
        else:
            case.store_limit(FenceLimit(epoch, FENCES_PER_EPOCH - 1))
        await case.restart()

    case.actions.append(act)


@when("agent 0 of the fencing world restarts, and for the write of the limit {fault}")
def restart_with_fault(context: Any, fault: str) -> None:
    case: FencingWorld = context.world

    async def act() -> None:
        leader = case.world.leader()
        assert leader is not None
        if fault == "the answer is lost":
            leader.store.faults.lost_answers = 1
        else:
            leader.store.faults.late_writes = 1
            leader.store.faults.late_prefix = limit_key(PREFIX)
        await case.restart()

    case.actions.append(act)


@then("the agent is attached again within {seconds:d} seconds under a {which}")
def is_attached(context: Any, seconds: int, which: str) -> None:
    case: FencingWorld = context.world

    async def act() -> None:
        began = boot_s()
        await case.world.wait_until_attached()
        assert boot_s() - began <= seconds, boot_s() - began
        assert case.token > case.last_token, (case.token, case.last_token)
        later = epoch_of(case.token) - epoch_of(case.last_token)
        assert later == (0 if which.endswith("the same epoch") else 1), later

    case.actions.append(act)


@then("the run of the fencing world has begun once and its job is completed")
def has_begun_once(context: Any) -> None:
    case: FencingWorld = context.world

    async def act() -> None:
        assert await case.world.wait_for_end(case.job, WAIT_LIMIT_S) == "completed"
        assert len(case.node.model.starts) == 1, case.node.model.starts

    case.actions.append(act)


@then("the stored limit of the fencing world is at least its token, also 5 seconds later")
def limit_kept(context: Any) -> None:
    case: FencingWorld = context.world

    async def act() -> None:
        assert case.stored_limit().token >= case.token
        await anyio.sleep(5.0)
        assert case.stored_limit().token >= case.token

    case.actions.append(act)


@then("the fencing world has broken no rule")
def no_rule_broken(context: Any) -> None:
    case: FencingWorld = context.world

    async def act() -> None:
        assert not case.world.violations(), case.world.violations()

    case.actions.append(act)
    case.run()


def stored_item(key: str, text: str) -> KeyValue | None:
    """Return the item of an epoch, or of a limit as EPOCH:LIMIT."""
    if text == "none":
        return None
    if text == "malformed":
        return KeyValue(key, b"?", REVISION, LeaseId(0))
    if ":" in text:
        epoch, limit = text.split(":")
        return KeyValue(
            key, FenceLimit(Epoch(int(epoch)), int(limit)).encode(), REVISION, LeaseId(0)
        )
    record = LeaderRecord(Epoch(int(text)), ProcessId("entry0"), IncarnationId("x"))
    return KeyValue(key, record.encode(), REVISION, LeaseId(0))


@then("the bound of epoch {epoch} and limit {limit} is number {number:d} of epoch {of:d}")
def bound(context: Any, epoch: str, limit: str, number: int, of: int) -> None:
    found = highest_issued(
        stored_item(epoch_key(PREFIX), epoch), stored_item(limit_key(PREFIX), limit)
    )
    assert found == of * FENCES_PER_EPOCH + number, found
