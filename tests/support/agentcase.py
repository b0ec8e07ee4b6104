"""An agent with a simulated scheduler and executor in virtual time."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from apricotpath.boottime import boot_s
from apricotpath.codec import PROTOCOL_VERSION, Envelope
from apricotpath.entryrecords import LeaderRecord
from apricotpath.errors import LinkError
from apricotpath.executor import ExecutorUnavailable, StartCall
from apricotpath.fencelimits import FIRST_LIMIT, FenceLimit, epoch_key, limit_key
from apricotpath.fleet import FleetSettings
from apricotpath.ids import (
    DataCentreId,
    Epoch,
    FenceToken,
    HostId,
    IncarnationId,
    ProcessId,
    RackId,
    ServiceId,
    TaskId,
)
from apricotpath.messages import (
    Hello,
    HostAttach,
    HostAttached,
    HostGrant,
    HostRuns,
    LeaderNotice,
    Message,
    OrderAnswers,
    RunOrder,
    StartRuns,
)
from apricotpath.model import Role, Size, StartAnswer
from apricotpath.store import Put
from apricotpath.workload import HostFacts
from apricotpathd.attachment import ExecutorState
from apricotpathd.formerfence import FormerFence
from apricotpathd.hostagent import HostAgent
from support.executormodel import Behaviour, ExecutorModel, ModelExecutor
from support.jobworld import PREFIX, run_virtual
from support.memorystore import MemoryStore, SharedStore

TASK = TaskId("00000000000000a1.0.0.0")
FILLER = TaskId("00000000000000a2.0.0.0")
EPOCH = Epoch(4)


ExecutorFactory = Callable[[ExecutorModel, TaskGroup], ModelExecutor]


class SilentStartExecutor(ModelExecutor):
    """Answers no start, or only every second one; stops are answered."""

    every_second = False
    starts = 0

    async def start(self, call: StartCall, fence: FenceToken) -> StartAnswer:
        self.starts += 1
        if self.every_second and self.starts % 2 == 0:
            return self.model.start(call, fence)
        self._group.start_soon(self._execute_late, self.model.start, call, fence)
        await anyio.sleep(0.5)
        raise ExecutorUnavailable("no answer")


class SilentPaceExecutor(ModelExecutor):
    """Answers no pace calls."""

    async def pace(self, task: TaskId, run: int, percent: int, fence: FenceToken) -> None:
        await anyio.sleep(0.5)
        raise ExecutorUnavailable("no answer")


class SchedulerLink:
    """The agent's end of a link to the scheduler."""

    is_open = True

    def __init__(self, case: "AgentCase") -> None:
        self.case = case
        self.peer = Hello(
            PROTOCOL_VERSION,
            Role.ENTRY,
            ProcessId("entry0"),
            IncarnationId("x"),
            DataCentreId("z1"),
        )
        self.peer_id = "entry0"

    async def call(self, body: Message, timeout_s: float | None = None) -> Message:
        assert isinstance(body, HostAttach)
        if not self.case.attaching:
            await anyio.sleep(timeout_s or 0.0)
            raise LinkError("no answer")
        self.case.fences_issued += 1
        return HostAttached(EPOCH, FenceToken(1000 + self.case.fences_issued))

    def send_nowait(self, body: Message, reply_to: int = 0) -> None:
        case = self.case
        if isinstance(body, HostRuns):
            case.renewals.append((body.renewal, boot_s()))
            case.filler_percent = body.filler_percent
            case.reports_with_endings += bool(body.endings)
            case.endings |= {ending.number for ending in body.endings}
            if case.granting:
                case.send_later(HostGrant(body.fence, body.renewal, 0))
            if case.granting and case.ack_after_s is not None:
                number = max(case.endings, default=0)
                grant = HostGrant(body.fence, body.renewal, number)
                case.send_later(grant, case.ack_after_s)
        elif isinstance(body, OrderAnswers):
            for answer in body.answers:
                case.answers.append(answer.answer)
                if answer.answer is not StartAnswer.STARTED:
                    case.refused.append((answer.task, answer.run))


class AgentCase:
    """An agent with its executor and a simulated scheduler."""

    def __init__(self) -> None:
        self.granting = True
        # Without a scheduler, no attachment is answered.
        self.attaching = True
        self.fences_issued = 0
        self.renewals: list[tuple[int, float]] = []
        self.answers: list[StartAnswer] = []
        self.refused: list[tuple[TaskId, int]] = []
        self.orders = 0
        self.filler_percent = 100.0
        self.reports_with_endings = 0
        self.endings: set[int] = set()
        self.ack_after_s: float | None = None
        self.answers_every_second: bool | None = None
        self.answers_pace = True
        self.connect_executor: ExecutorFactory | None = None
        self.actions: list[Callable[[], Awaitable[None]]] = []

    def run(self) -> None:
        run_virtual(self._main)

    async def _main(self) -> None:
        async with anyio.create_task_group() as group:
            self.group = group
            self.behaviour = Behaviour(seconds=60.0)
            self.model = ExecutorModel("oven", Size(16000, 16000, 0), self.behaviour)
            self.agent = HostAgent(HostId("host0"), FleetSettings(), self._connect)
            group.start_soon(self.agent.run)
            self.link: Any = SchedulerLink(self)
            await self.agent.link_opened(self.link)
            await self.deliver(LeaderNotice(EPOCH, ProcessId("entry0")))
            self.send_heartbeat()
            await anyio.sleep(1.5)
            assert self.agent.attachment is not None
            for action in self.actions:
                await action()
            group.cancel_scope.cancel()

    def next_agent(self) -> HostAgent:
        """Return the next process of the agent, which finds the epoch in the store."""
        shared = SharedStore()
        record = LeaderRecord(EPOCH, ProcessId("entry0"), IncarnationId("x"))
        limit = FenceLimit(EPOCH, FIRST_LIMIT)
        puts = [Put(epoch_key(PREFIX), record.encode()), Put(limit_key(PREFIX), limit.encode())]
        shared.apply([], puts)
        former_fence = FormerFence(MemoryStore(shared), PREFIX)
        return HostAgent(HostId("host0"), FleetSettings(), self._connect, former_fence)

    def _connect(self, facts: HostFacts) -> ModelExecutor:
        if self.connect_executor is not None:
            return self.connect_executor(self.model, self.group)
        if not self.answers_pace:
            return SilentPaceExecutor(self.model, self.group)
        if self.answers_every_second is None:
            return ModelExecutor(self.model, self.group)
        executor = SilentStartExecutor(self.model, self.group, 7)
        executor.every_second = self.answers_every_second
        return executor

    def send_heartbeat(self, draining: bool = False) -> None:
        facts = HostFacts(
            "oven",
            self.model.born_ms,
            ServiceId("bakery"),
            DataCentreId("z1"),
            RackId("r1"),
            frozenset(),
            self.model.capacity,
        )
        self.agent.on_executor_heartbeat(ExecutorState(facts, draining))

    async def deliver(self, message: Message) -> None:
        await self.agent.received(self.link, Envelope(1, 0, message))

    def send_later(self, message: Message, after_s: float = 0.0) -> None:
        self.group.start_soon(self._deliver_after, message, after_s)

    async def _deliver_after(self, message: Message, after_s: float) -> None:
        await anyio.sleep(after_s)
        await self.deliver(message)

    async def order(
        self, task: TaskId = TASK, fence: int = 0, renewal: int = 0, **traits: Any
    ) -> None:
        traits = {"filler": False, "target_ms": 0.0} | traits
        order = RunOrder(task, 1, "bake", "", "", **traits)
        token = FenceToken(fence or 1000 + self.fences_issued)
        await self.deliver(StartRuns(token, renewal or self.renewals[-1][0], (order,)))

    async def started_after(self, seconds: float) -> int:
        """Return how many runs the executor has started after some time."""
        ends_at = boot_s() + seconds
        while boot_s() < ends_at:
            await anyio.sleep(0.1)
            self.model.process_due()
        return len(self.model.began)
