"""Entries, agents, executors and a store in virtual time, connected by in-memory links."""

import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from itertools import pairwise
from typing import Any
from zlib import crc32

import anyio
import anyio.lowlevel
import trio
import trio.testing
from anyio.abc import TaskGroup

from apricotpath.boottime import boot_s, set_clock
from apricotpath.codec import Envelope, encode
from apricotpath.config import Address, LinkSettings
from apricotpath.errors import CodecError, LinkError, PeerError
from apricotpath.executor import Executor
from apricotpath.fencelimits import FENCES_PER_EPOCH
from apricotpath.fleet import FleetSettings
from apricotpath.ids import (
    DataCentreId,
    Epoch,
    HostId,
    JobId,
    ProcessId,
    QueueId,
    RackId,
    ServiceId,
    TaskId,
)
from apricotpath.jobmetrics import JobMetrics
from apricotpath.messages import Failure, Hello, HostGrant, Message, StartRuns
from apricotpath.model import Role, Size
from apricotpath.term import ElectionSettings, Term
from apricotpath.traffic import Traffic
from apricotpath.workload import HostFacts, Job, Queue, Step, TaskKey
from apricotpathd.attachment import ExecutorState
from apricotpathd.dialler import Dialler
from apricotpathd.formerfence import FormerFence
from apricotpathd.hostagent import HostAgent
from apricotpathd.jobentry import JobEntry
from apricotpathd.jobservice import JobService
from apricotpathd.operatorrules import SchedulerRules
from apricotpathd.process import Process
from support.executormodel import Behaviour, Crash, ExecutorModel, ModelExecutor
from support.memorystore import MemoryStore, SharedStore

SERVICE = ServiceId("bakery")
QUEUE = QueueId("bread")
PREFIX = "test/"
LINK_DELAY_S = 0.001
# Entries of the world register with it, but links are opened without an address.
ADDRESS = Address("127.0.0.1", 1)
# Grace period of a process that is told to stop.
STOP_GRACE_S = 4.5
# A task that has crashed so many executors may be started only so many times more.
MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 2


def run_virtual(main: Callable[[], Awaitable[Any]], seed: int = 0) -> Any:
    """Run a coroutine function in virtual time; the boot clock uses it too."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    random.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    set_clock(trio.current_time)
    try:
        return anyio.run(main, backend="trio", backend_options={"clock": clock})
    finally:
        set_clock(None)


class MemoryLink:
    """One end of a link between two processes of the world."""

    def __init__(self, world: "JobWorld", near: Process, far: Process) -> None:
        self.world, self.near, self.far = world, near, far
        self.peer: Hello | None = far.hello
        self.other: MemoryLink | None = None
        self.is_open = True
        self.frames_sent = self.frames_received = 0
        self.traffic = Traffic()
        self._number = 0
        self._calls: dict[int, Any] = {}
        self._sent: list[Envelope] = []

    @property
    def peer_id(self) -> str:
        return self.far.hello.process_id

    def send_nowait(self, body: Message, reply_to: int = 0) -> None:
        if not self.is_open:
            raise LinkError("the link is closed")
        if self.world.starts_rejected and isinstance(body, StartRuns):
            self.world.starts_rejected -= 1
            raise LinkError("the link's send queue is full")
        self._number += 1
        if isinstance(body, StartRuns):
            self._encode(body)
        self.frames_sent += 1
        self.world.messages[type(body).__name__] += 1
        if isinstance(body, HostGrant):
            self.world.last_grants[Epoch(body.fence // FENCES_PER_EPOCH)] = boot_s()
        envelope = Envelope(self._number, reply_to, body)
        for delay_s in self.world.deliveries(self, body):
            self.world.group.start_soon(self._deliver, envelope, delay_s)

    def _encode(self, body: Message) -> None:
        """Encode a message as a link does, which refuses one that is too large."""
        try:
            frame = encode(Envelope(self._number, 0, body))
        except CodecError as exc:
            raise LinkError(f"the message cannot be sent: {exc}") from exc
        self.world.largest_start_bytes = max(self.world.largest_start_bytes, len(frame))

    async def send(self, body: Message, reply_to: int = 0) -> int:
        self.send_nowait(body, reply_to)
        return self._number

    async def _deliver(self, envelope: Envelope, delay_s: float) -> None:
        await anyio.sleep(delay_s)
        self._sent.append(envelope)
        await anyio.sleep(LINK_DELAY_S)
        while self._sent and self._sent[0] is not envelope:
            await anyio.lowlevel.checkpoint()
        if self._sent:
            self._sent.pop(0)
        other = self.other
        # A partition drops messages without an error; a paused process handles them later.
        if other is None or not other.is_open or self.world.is_partitioned(self.near, self.far):
            return
        await self.world.wait_while_paused(self.far)
        call = other._calls.pop(envelope.reply_to, None) if envelope.reply_to else None
        if call is not None:
            call[1].append(envelope.body)
            call[0].set()
        else:
            await self.far.received(other, envelope)

    async def call(self, body: Message, timeout_s: float | None = None) -> Message:
        self.send_nowait(body)
        done, replies = anyio.Event(), []
        self._calls[self._number] = (done, replies)
        with anyio.move_on_after(timeout_s):
            await done.wait()
        if not replies:
            raise LinkError("no reply")
        if isinstance(replies[0], Failure):
            raise PeerError(replies[0].code, replies[0].text)
        return replies[0]

    def close(self, reason: str) -> None:
        self.world.group.start_soon(self.world.close, self)


@dataclass
class EntryNode:
    """An entry of the world; cancelling `scope` kills it."""

    process: Process
    store: MemoryStore
    job_service: JobService
    jobs: JobEntry
    scope: anyio.CancelScope


@dataclass
class AgentNode:
    """An agent of the world with its executor; cancelling `scope` kills the agent."""

    process: Process
    agent: HostAgent
    model: ExecutorModel
    scope: anyio.CancelScope
    store: MemoryStore
    sends_heartbeats: bool = True
    drain_until: float = float("inf")


class JobWorld:
    """A small deployment; use it inside `run_virtual`."""

    def __init__(self, group: TaskGroup, cfg: FleetSettings | None = None) -> None:
        self.group = group
        self.cfg = cfg or FleetSettings()
        self.election = ElectionSettings(prefix=PREFIX)
        self.shared = SharedStore()
        self.behaviour = Behaviour()
        self.executor_class: type[ModelExecutor] = ModelExecutor
        self.entries: dict[str, EntryNode] = {}
        self.agents: dict[str, AgentNode] = {}
        self.queues = {QUEUE: Queue(QUEUE, SERVICE, attempts=2)}
        self.out: set[DataCentreId] = set()
        self.partitioned: set[str] = set()
        self.partitioned_pairs: set[frozenset[str]] = set()
        self.links: list[MemoryLink] = []
        self.unanswered_share = 0.0
        self.unanswered_renewals = 0.0
        self.late_s = 12.0
        self.late_after_restart_s = 0.0
        # Number of the next messages with starts that links reject because their queue is full.
        self.starts_rejected = 0
        # Size of the largest message with start orders.
        self.largest_start_bytes = 0
        self.messages: Counter[str] = Counter()
        # Time of the last grant of each epoch, and the time from which on the scheduler of an
        # epoch takes all earlier ones for ended.
        self.last_grants: dict[Epoch, float] = {}
        self.earlier_ended: dict[Epoch, float] = {}
        # Returns how much later than usual (s) each copy of a message is delivered.
        self.deliveries: Callable[[MemoryLink, Message], tuple[float, ...]] = lambda *_: (0.0,)
        self._paused: dict[str, anyio.Event] = {}
        self._jobs_submitted = 0

    # Processes.

    def add_entry(
        self, name: str, cores: float = 1.0, agents_link_after_s: float = 0.0
    ) -> EntryNode:
        """Start an entry; agents find it only after a while."""
        process = Process(Role.ENTRY, ProcessId(name), DataCentreId("z1"))
        store = MemoryStore(self.shared)
        job_service = JobService(store, PREFIX, utc=boot_s)
        dialler = Dialler(process.hello, LinkSettings(), process)
        jobs = JobEntry(
            process,
            store,
            self.cfg,
            replace(self.election, cores=cores),
            ADDRESS,
            job_service,
            lambda: SchedulerRules(dict(self.queues), frozenset(self.out)),
            dialler,
            JobMetrics(),
            boot_s,
        )
        dialler.set_targets = lambda wanted: None  # type: ignore[method-assign]
        self._record_ended_predecessors(jobs)
        process.set_components([job_service, jobs])
        node = EntryNode(process, store, job_service, jobs, anyio.CancelScope())
        self.entries[name] = node
        self.group.start_soon(self._run, node.scope, process)
        for other in self.entries.values():
            if other is not node and not other.scope.cancel_called:
                self.group.start_soon(self.connect, other.process, process)
        for agent in self.agents.values():
            if not agent.scope.cancel_called:
                self.group.start_soon(self._connect_later, agent, node, agents_link_after_s)
        return node

    def _record_ended_predecessors(self, jobs: JobEntry) -> None:
        """Record when each scheduler of an entry takes the earlier ones for ended."""
        election: Any = jobs.election
        serve_term, check_predecessor = election._serve_term, election._check_predecessor

        def record(term: Term | None) -> None:
            if term is not None and term.predecessor_ended.is_set():
                # Holds of hosts count from the earlier of the two.
                self.earlier_ended.setdefault(term.epoch, min(boot_s(), term.earlier_until))

        async def serve_and_record(term: Term) -> None:
            record(term)
            await serve_term(term)

        def check_and_record() -> None:
            check_predecessor()
            record(election.term)

        election._serve_term, election._check_predecessor = serve_and_record, check_and_record

    async def _connect_later(self, agent: "AgentNode", entry: EntryNode, delay_s: float) -> None:
        await anyio.sleep(delay_s)
        if not agent.scope.cancel_called and not entry.scope.cancel_called:
            await self.connect(agent.process, entry.process)

    def add_agent(self, name: str, capacity: Size, zone: str = "z1", rack: str = "r1") -> AgentNode:
        previous = self.agents.get(name)
        model = previous.model if previous else ExecutorModel(name, capacity, self.behaviour)
        process = Process(Role.AGENT, ProcessId(name), DataCentreId(zone))

        def connect_executor(facts: HostFacts) -> Executor:
            executor = self.executor_class(model, self.group, crc32(name.encode()))
            executor.unanswered_share = self.unanswered_share
            executor.unanswered_renewals = self.unanswered_renewals
            executor.late_s = self.late_s
            executor.late_after_restart_s = self.late_after_restart_s
            return executor

        store = MemoryStore(self.shared)
        former_fence = FormerFence(store, PREFIX)
        agent = HostAgent(HostId(name), self.cfg, connect_executor, former_fence)
        process.set_components([agent])
        node = AgentNode(process, agent, model, anyio.CancelScope(), store)
        self.agents[name] = node
        self.group.start_soon(self._run, node.scope, process)
        self.group.start_soon(self._send_heartbeats, node, zone, rack)
        for entry in self.entries.values():
            if not entry.scope.cancel_called:
                self.group.start_soon(self.connect, process, entry.process)
        return node

    async def _run(self, scope: anyio.CancelScope, process: Process) -> None:
        with scope:
            async with anyio.create_task_group() as group:
                await process.serve(group)

    async def _send_heartbeats(self, node: AgentNode, zone: str, rack: str) -> None:
        while not node.scope.cancel_called:
            model = node.model
            if node.sends_heartbeats and not model.is_down:
                facts = HostFacts(
                    model.instance,
                    model.born_ms,
                    SERVICE,
                    DataCentreId(zone),
                    RackId(rack),
                    frozenset({rack}),
                    model.capacity,
                )
                draining = node.drain_until < float("inf")
                state = ExecutorState(facts, draining, node.drain_until)
                node.agent.on_executor_heartbeat(state)
            model.process_due()
            await anyio.sleep(0.5)

    async def kill(self, node: EntryNode | AgentNode) -> None:
        """Kill a process without a clean shutdown."""
        node.scope.cancel()
        for link in [link for link in self.links if link.near is node.process]:
            await self.close(link)

    async def stop_agent(self, name: str) -> None:
        """Stop an agent gracefully, as its process does at SIGTERM."""
        node = self.agents[name]
        with anyio.move_on_after(STOP_GRACE_S):
            await node.process.drain()
        await self.kill(node)

    async def stop_entry(self, name: str, serving_s: float) -> None:
        """Stop an entry gracefully; it serves callers for `serving_s` after the signal."""
        node = self.entries[name]
        await node.process.drain()
        await anyio.sleep(serving_s)
        await node.jobs.resign()
        await self.kill(node)

    # Links.

    async def connect(self, near: Process, far: Process) -> None:
        """Open a link between two processes."""
        one, two = MemoryLink(self, near, far), MemoryLink(self, far, near)
        one.other, two.other = two, one
        self.links += [one, two]
        await near.opened(one)
        await far.opened(two)

    async def close(self, link: MemoryLink) -> None:
        """Close both ends of a link."""
        for end in (link, link.other):
            if end is not None and end.is_open:
                end.is_open = False
                self.links.remove(end)
                await end.near.closed(end)
                for done, _ in end._calls.values():
                    done.set()

    def is_partitioned(self, near: Process, far: Process) -> bool:
        """Tell whether messages between two processes are lost."""
        names = frozenset({str(near.hello.process_id), str(far.hello.process_id)})
        return bool(names & self.partitioned) or names in self.partitioned_pairs

    async def partition(self, name: str, for_s: float) -> None:
        """Partition a process from all others: messages are lost, and links close on silence."""
        self.partitioned.add(name)
        await anyio.sleep(1.6)
        process = (self.entries.get(name) or self.agents[name]).process
        for link in [link for link in self.links if link.near is process]:
            await self.close(link)
        await anyio.sleep(max(0.0, for_s - 1.6))
        self.partitioned.discard(name)
        others = [*self.entries.values(), *self.agents.values()]
        for other in others:
            involves_entry = name in self.entries or other in self.entries.values()
            if other.process is not process and involves_entry and not other.scope.cancel_called:
                await self.connect(process, other.process)

    async def wait_while_paused(self, process: Process) -> None:
        """Wait while a process is paused."""
        event = self._paused.get(process.hello.process_id)
        if event is not None:
            await event.wait()

    def pause(self, name: str) -> Callable[[], None]:
        """Delay messages to a process; returns a function that resumes it."""
        event = self._paused[name] = anyio.Event()

        def resume() -> None:
            del self._paused[name]
            event.set()

        return resume

    # Work.

    def next_job(self) -> JobId:
        """Return the id of the job that is submitted next."""
        return JobId(f"{self._jobs_submitted + 1:016x}")

    async def submit(self, *steps: Step, at: str = "", command: str = "bake") -> JobId:
        """Submit a job at an entry and return its id."""
        job = self.next_job()
        self._jobs_submitted += 1
        job_service = self.entries[at or next(iter(self.entries))].job_service
        rules = self.queues.get(QUEUE)
        outcome = await job_service.submit(Job(job, QUEUE, command, steps), rules)
        assert outcome.value == "accepted", outcome
        return job

    def leader(self) -> EntryNode | None:
        """Return the entry whose scheduler is loaded."""
        for node in self.entries.values():
            scheduler = node.jobs.scheduler
            if scheduler is not None and scheduler.loaded.is_set() and not node.scope.cancel_called:
                return node
        return None

    async def wait_until_attached(self) -> None:
        """Wait until a scheduler is loaded and every running agent is attached."""
        with anyio.fail_after(30):
            while self.leader() is None or not all(
                node.agent.attachment is not None and node.agent.attachment.reported
                for node in self.agents.values()
                if not node.scope.cancel_called
            ):
                await anyio.sleep(0.05)

    async def wait_for_end(self, job: JobId, within_s: float, at: str = "") -> str:
        """Return the final state of a job as an entry shows it; raises TimeoutError."""
        node = (
            self.entries[at]
            if at
            else next(item for item in self.entries.values() if not item.scope.cancel_called)
        )
        with anyio.fail_after(within_s):
            while True:
                progress = await node.job_service.progress(job)
                if progress is not None and progress.final:
                    return progress.value
                await anyio.sleep(0.05)

    def violations(self) -> list[str]:
        """Return violated invariants.

        They are overlapping runs of a task, an overcommitted host, an ending that was
        acknowledged unseen, a task that was started too often after it had crashed executors,
        and a lease granted by a scheduler that a later one took for ended.
        """
        found = [*self._start_budget_violations(), *self._late_grants()]
        runs: dict[str, list[tuple[float, float]]] = {}
        for node in self.agents.values():
            model = node.model
            model.process_due()
            if model.overcommitted:
                found.append(f"{model.name} was overcommitted")
            for ending in model.unseen:
                found.append(f"the end of {ending.task} was acknowledged unseen")
            active = [
                (run.task, run.run, model.began[run.task, run.run], boot_s())
                for run in model.runs.values()
            ]
            for task, _run, began, ended in [*model.history, *active]:
                runs.setdefault(task, []).append((began, ended))
        for task, spans in runs.items():
            spans.sort()
            for (_, ended), (began, _) in pairwise(spans):
                if began < ended:
                    found.append(f"{task} had overlapping runs")
        return found

    def _late_grants(self) -> list[str]:
        return [
            f"epoch {old} granted a lease {at - ended:.2f} s after epoch {later} believed it ended"
            for later, ended in self.earlier_ended.items()
            for old, at in self.last_grants.items()
            if old < later and at > ended
        ]

    def crashes(self) -> list[Crash]:
        """Return the crashes of all executors after which a new incarnation came, by time."""
        found = [crash for node in self.agents.values() for crash in node.model.crashes]
        return sorted(found, key=lambda crash: crash.at)

    def crash_times(self) -> dict[TaskId, list[float]]:
        """Return for each task the times at which it crashed an executor."""
        times: dict[TaskId, list[float]] = {}
        for crash in self.crashes():
            if crash.task is not None:
                times.setdefault(crash.task, []).append(crash.at)
        return times

    def start_times(self, task: TaskId) -> list[float]:
        """Return the times at which executors started a task."""
        starts = [start for node in self.agents.values() for start in node.model.starts]
        return sorted(at for name, at in starts if name == task)

    def starts_after_crashes(self) -> dict[TaskId, int]:
        """Return how often each task was started after it had crashed three executors."""
        counts = {}
        for task, times in self.crash_times().items():
            if len(times) >= MAX_CRASHES:
                since = times[MAX_CRASHES - 1]
                counts[task] = sum(at > since for at in self.start_times(task))
        return counts

    def _start_budget_violations(self) -> list[str]:
        return [
            f"{task} was started {count} times after it had crashed {MAX_CRASHES} executors"
            for task, count in self.starts_after_crashes().items()
            if count > MAX_STARTS_AFTER_CRASHES
        ]


def tasks_of(job: JobId, step: int, count: int) -> list[str]:
    """Return the names of a step's tasks."""
    return [str(TaskKey(job, 0, step, number)) for number in range(count)]
