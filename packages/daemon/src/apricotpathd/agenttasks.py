"""Task handling of an agent: commitments, starts, leases, evictions and reports."""

import logging
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import anyio
from anyio.abc import TaskGroup

from apricotpath.codec import Envelope
from apricotpath.config import AgentSettings
from apricotpath.errors import LinkError
from apricotpath.ids import Epoch, IncarnationId, ShardId, TaskId
from apricotpath.link import Link
from apricotpath.messages import (
    ClaimShard,
    EvictTask,
    Failure,
    HostReport,
    Message,
    OutcomeAck,
    RenewTasks,
    ShardClaimed,
    StartTask,
    StopTask,
    TaskReply,
    ThrottleTask,
)
from apricotpath.model import Outcome, ReplyCode, Size
from apricotpath.rules import Rules
from apricotpath.worker import Worker, WorkerStatus
from apricotpathd.component import TaskFunction, UtcClock
from apricotpathd.hostview import HostView
from apricotpathd.taskattempts import Changes, Phase
from apricotpathd.taskchecks import TaskCommand, task_reply
from apricotpathd.taskends import Endings
from apricotpathd.taskguard import TaskGuard
from apricotpathd.taskleases import Leases
from apricotpathd.taskstarts import Starts

log = logging.getLogger(__name__)

REPORT_INTERVAL_S = 1.0
DRAIN_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load of the backend server for host reports; `pressure` as in HostReport."""

    pressure: float = 1.0
    busy_slots: int = 0
    queued: int = 0


class AgentTasks:
    """Manages the host's resource commitments and all commands to its worker.

    Commands for one task run in the order of their arrival. `utc` returns the
    time for rules on hours; everything else uses the worker's clock.
    """

    handles: frozenset[type[Message]] = frozenset(
        {ClaimShard, StartTask, StopTask, EvictTask, ThrottleTask, RenewTasks, OutcomeAck}
    )

    def __init__(
        self,
        cfg: AgentSettings,
        worker: Worker,
        rules: Rules,
        utc: UtcClock,
        incarnation: IncarnationId,
        load: Callable[[], ServiceLoad] = ServiceLoad,
    ) -> None:
        self.cfg = cfg
        self.worker = worker
        self.rules = rules
        self.utc = utc
        self.incarnation = incarnation
        self.load = load
        self.epochs: dict[ShardId, Epoch] = {}
        self._view = HostView(cfg, worker, rules, utc, incarnation, self._applied)
        self.table = self._view.table
        self.clock = self._view.clock
        self._leases = Leases(self._view)
        self._endings = Endings(self._view, self._leases, self._spawn, self._signal_progress)
        self._guard = TaskGuard(self._view, self._endings)
        self._starts = Starts(self._view, self._handle_changes)
        self._links: list[Link] = []
        self._group: TaskGroup | None = None
        # Functions that were spawned before `run`.
        self._backlog: list[TaskFunction] = []
        # Commands by task that are in progress or wait, in order of arrival.
        self._queues: dict[TaskId, deque[TaskFunction]] = {}
        self._starting: Counter[tuple[ShardId, Epoch]] = Counter()
        self._report_now = anyio.Event()
        self._progress = anyio.Event()

    # State for other components.

    @property
    def worker_clock_ms(self) -> int:
        """The newest reading of the worker's clock, for heartbeats; 0 before the first."""
        return self.clock.last_reading_ms

    @property
    def status(self) -> WorkerStatus | None:
        """The worker's newest status, None before the first."""
        return self._view.status

    @property
    def draining(self) -> bool:
        """Whether the agent is shutting down and takes no new work."""
        return self._view.draining

    @property
    def ready(self) -> bool:
        """Whether starts are considered: tasks are adopted and the worker answers."""
        return self._view.ready

    @property
    def committed(self) -> Size:
        """Sum of the host's commitments, the backend server's claim included."""
        return self.table.ledger.total

    def report(self) -> HostReport:
        """Return the state of the host for owners."""
        load = self.load()
        return HostReport(
            self.cfg.host,
            self.worker_clock_ms,
            self.ready,
            self.committed,
            self.status.usage if self.status else Size(),
            load.pressure,
            load.busy_slots,
            load.queued,
            tuple(held.report() for held in self.table.active.values()),
            self.table.outcomes(),
        )

    # Component.

    async def run(self) -> None:
        """Poll the worker, enforce the rules and report until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            while self._backlog:
                group.start_soon(self._backlog.pop(0))
            for loop in (
                self._view.refresh_forever,
                self._guard.enforce_forever,
                self._leases.cap_forever,
                self._guard.guard_forever,
                self._report_forever,
            ):
                group.start_soon(loop)
            try:
                await anyio.sleep_forever()
            finally:
                # Commands may still arrive while the loops end.
                self._group = None

    async def received(self, link: Link, envelope: Envelope) -> None:
        """Handle a command; slow work runs in the component's task group."""
        msg = envelope.body
        if isinstance(msg, ClaimShard):
            self._raise_epoch(msg.shard, msg.epoch)
            self._spawn(partial(self._claim, link, envelope.id, msg))
        elif isinstance(msg, RenewTasks):
            self._receive_renewal(link, envelope.id, msg)
        elif isinstance(msg, OutcomeAck):
            keys = list(zip(msg.tasks, msg.attempts, strict=False))
            self._spawn(partial(self._endings.forget, keys))
        elif isinstance(msg, StartTask | StopTask | EvictTask | ThrottleTask):
            self._receive_command(link, envelope.id, msg)

    async def link_opened(self, link: Link) -> None:
        """Add a link to those that get reports."""
        self._links.append(link)
        self._report_now.set()

    async def link_closed(self, link: Link) -> None:
        """Stop reporting over a link."""
        if link in self._links:
            self._links.remove(link)

    async def drain(self) -> None:
        """Refuse starts, finish commands in progress and checkpoint running tasks.

        Running tasks stay with the worker: a successor agent adopts them within their
        lease; without one they resume elsewhere from these checkpoints.
        """
        self._view.draining = True
        with anyio.move_on_after(DRAIN_TIMEOUT_S):
            await self._wait_until(self._is_settled)
            async with anyio.create_task_group() as group:
                for held in list(self.table.active.values()):
                    group.start_soon(self._endings.write_checkpoint, held)
            await self._view.refresh()
        self._send_reports()

    def _is_settled(self) -> bool:
        return not self._queues and not any(held.ending for held in self.table.active.values())

    async def _wait_until(self, done: Callable[[], bool]) -> None:
        while not done():
            await self._progress.wait()

    def _signal_progress(self) -> None:
        self._progress.set()
        self._progress = anyio.Event()

    async def refresh(self) -> bool:
        """Read the worker's status and apply it; tell whether the worker answered."""
        return await self._view.refresh()

    def _applied(self, changes: Changes) -> None:
        for held in self.table.active.values():
            self._raise_epoch(held.shard, held.epoch)
        for row in self.table.ended.values():
            self._raise_epoch(row.shard, row.epoch)
        self._handle_changes(changes)

    def _handle_changes(self, changes: Changes) -> None:
        for held in changes.adopted:
            if held.phase is Phase.STOPPING:
                self._spawn(partial(self._endings.finish, held, Outcome.EVICTED))
            elif not held.fits:
                self._endings.begin(held, "the task exceeds the host's size", Outcome.EVICTED)
        if changes.ended:
            self._report_now.set()

    # Epochs.

    def _raise_epoch(self, shard: ShardId, epoch: Epoch) -> None:
        if epoch > self.epochs.get(shard, -1):
            self.epochs[shard] = epoch

    async def _claim(self, link: Link, reply_to: int, msg: ClaimShard) -> None:
        # A start of a former owner may be under way to the worker. The reply must include
        # it, or the new owner could start the task elsewhere.
        await self._wait_until(lambda: not self._has_starts_before(msg))
        fresh = await self._view.refresh()
        self._send(link, self._shard_state(msg.shard, fresh), reply_to)

    def _has_starts_before(self, msg: ClaimShard) -> bool:
        return any(
            shard == msg.shard and epoch < msg.epoch for shard, epoch in self._starting.elements()
        )

    def _shard_state(self, shard: ShardId, fresh: bool) -> ShardClaimed:
        ended = [row for row in self.table.ended.values() if row.shard == shard]
        return ShardClaimed(
            shard,
            self.epochs.get(shard, Epoch(0)),
            fresh and self.status is not None,
            tuple(held.report() for held in self.table.of_shard(shard)),
            self.table.outcomes(ended),
        )

    # Commands.

    def _receive_command(self, link: Link, reply_to: int, msg: TaskCommand) -> None:
        if msg.epoch < self.epochs.get(msg.shard, -1):
            self._send(link, self._epoch_refusal(msg), reply_to)
            return
        self._raise_epoch(msg.shard, msg.epoch)
        if self.status is None or self._group is None:
            # This is not a refusal, since the attempt may already run on the worker.
            self._send(link, Failure("not-ready", "the worker's tasks are not known yet"), reply_to)
            return
        owner = (msg.shard, msg.epoch)
        if isinstance(msg, StartTask):
            self._starting[owner] += 1

        async def job() -> None:
            try:
                reply = await self._execute(msg)
            finally:
                if isinstance(msg, StartTask):
                    self._starting[owner] -= 1
                    self._signal_progress()
            self._send(link, reply, reply_to)

        queue = self._queues.get(msg.task)
        if queue is not None:
            queue.append(job)
        else:
            self._queues[msg.task] = deque([job])
            self._group.start_soon(self._run_queue, msg.task)

    async def _run_queue(self, task: TaskId) -> None:
        queue = self._queues[task]
        while queue:
            await queue[0]()
            queue.popleft()
        del self._queues[task]
        self._signal_progress()

    async def _execute(self, msg: TaskCommand) -> TaskReply:
        if msg.epoch < self.epochs.get(msg.shard, -1):
            return self._epoch_refusal(msg)
        if isinstance(msg, StartTask):
            return await self._starts.start(msg)
        held = self.table.active.get((msg.task, msg.attempt))
        if held is None:
            return self._starts.refuse_absent(msg)
        if isinstance(msg, ThrottleTask):
            return await self._guard.throttle(msg, held)
        if isinstance(msg, EvictTask):
            self._endings.begin(held, msg.reason, Outcome.EVICTED)
        else:
            self._endings.begin(held, msg.reason, Outcome.STOPPED)
        return task_reply(msg, True, ReplyCode.OK, "")

    def _epoch_refusal(self, msg: TaskCommand) -> TaskReply:
        current_epoch = self.epochs.get(msg.shard, Epoch(0))
        return task_reply(
            msg, False, ReplyCode.EPOCH, f"shard {msg.shard} is at epoch {current_epoch}"
        )

    def _receive_renewal(self, link: Link, reply_to: int, msg: RenewTasks) -> None:
        if msg.epoch < self.epochs.get(msg.shard, -1):
            # The reply tells a former owner about the higher epoch.
            self._send(link, self._shard_state(msg.shard, False), reply_to)
            return
        self._raise_epoch(msg.shard, msg.epoch)
        current = msg.anchor_incarnation == self.incarnation
        if current and msg.anchor_clock_ms <= self.worker_clock_ms:
            self._spawn(partial(self._leases.renew, msg))

    # Reports and replies.

    async def _report_forever(self) -> None:
        while True:
            with anyio.move_on_after(REPORT_INTERVAL_S):
                await self._report_now.wait()
            self._report_now = anyio.Event()
            self._send_reports()

    def _send_reports(self) -> None:
        report = self.report()
        for link in list(self._links):
            self._send(link, report, 0)

    def _send(self, link: Link, msg: Message, reply_to: int) -> None:
        try:
            link.send_nowait(msg, reply_to)
        except LinkError as exc:
            # The owner asks again or reads the next report.
            log.info("%s was not sent: %s", type(msg).__name__, exc)

    def _spawn(self, function: TaskFunction) -> None:
        if self._group is None:
            self._backlog.append(function)
        else:
            self._group.start_soon(function)
