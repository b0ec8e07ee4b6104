"""The agent's side of tasks: commitments, starts, leases, evictions and reports."""

import logging
from collections import Counter, deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from functools import partial
from math import isfinite
from typing import Any

import anyio
from anyio.abc import TaskGroup

from apricotpath.codec import Envelope
from apricotpath.config import AgentSettings
from apricotpath.errors import (
    CapacityError,
    CodecError,
    LinkError,
    WorkerError,
    WorkerRefused,
    WorkerUnavailable,
)
from apricotpath.guard import GuardRow, Shed, Throttle, decide
from apricotpath.ids import Epoch, IncarnationId, ShardId, TaskId, TeamId
from apricotpath.ledger import Ledger
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
from apricotpath.worker import StartOrder, Worker, WorkerStatus, WorkerTask
from apricotpathd.component import UtcClock
from apricotpathd.heldtasks import (
    Changes,
    Held,
    HeldTable,
    Key,
    Phase,
    WorkerClock,
    held_from_start,
)

log = logging.getLogger(__name__)

# The worker's clock is read this often, so the reading in a heartbeat is at most
# this old plus one call. An older reading only shortens what an owner may grant.
REFRESH_S = 0.25
# Without a status for this long the worker counts as unreachable and no start is tried.
STATUS_STALE_S = 3.0
REPORT_S = 1.0
# Pause before a worker call with an unknown effect is repeated.
RETRY_S = 0.25
# A checkpoint may exceed its declared time by this before the task is stopped anyway.
CHECKPOINT_SLACK_S = 2.0
# An eviction before a boundary begins this much earlier than the checkpoint needs:
# the slack above and a second to stop.
EVICT_SLACK_S = 3.0
# A task that has not stopped after this time is killed by the end of its lease.
STOP_PATIENCE_S = 5.0
STOP_REPEAT_S = 1.0
# Measured usage lags, so the guard waits to see an action's effect before the next.
GUARD_S = 2.0
# Deadlines closer than this to their limit are left alone: readings of the clock vary.
DEADLINE_TOLERANCE_MS = 100
DRAIN_S = 10.0
# Longer declared times are mistakes, and would overflow a date.
MAX_TASK_S = 1e9


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load of the backend server for host reports; `pressure` as in HostReport."""

    pressure: float = 1.0
    busy_slots: int = 0
    queued: int = 0


@dataclass(frozen=True, slots=True)
class Allowance:
    """Whether work may run here now, and until which UTC time (None: no end in sight).

    `code` is None if it may run. `until` is early enough for a kill and a clock offset.
    """

    code: ReplyCode | None
    reason: str
    until: datetime | None = None


def allowance(
    rules: Rules, cfg: AgentSettings, team: TeamId, activity: str, utc: datetime
) -> Allowance:
    """Decide whether an activity may run on this host at a UTC time."""
    if not rules.in_service(cfg.data_centre):
        return Allowance(ReplyCode.OUT, f"data centre {cfg.data_centre} is out of service")
    verdict = rules.verdict(team, activity, cfg.data_centre, utc)
    if not verdict.allowed:
        return Allowance(ReplyCode.HOURS, f"{activity} is forbidden now by {verdict.rule}")
    if verdict.until is None:
        return Allowance(None, "")
    margin_s = max(cfg.policy.hours_margin_s, cfg.policy.kill_grace_s)
    return Allowance(None, verdict.rule, verdict.until - timedelta(seconds=margin_s))


def malformed(msg: StartTask) -> str:
    """Return what is wrong with the values of a start, or an empty text."""
    times = (msg.run_time_s, msg.checkpoint_s)
    if not all(isfinite(value) and 0 <= value <= MAX_TASK_S for value in times):
        return f"a time is outside 0 to {MAX_TASK_S:.0f} s"
    if not Size().fits_in(msg.size):
        return "the size has a negative dimension"
    return "" if msg.attempt >= 0 and msg.task else "the task or attempt is not valid"


Job = Callable[[], Coroutine[Any, Any, None]]
TaskCommand = StartTask | StopTask | EvictTask | ThrottleTask


class AgentTasks:
    """Owner of the host's commitments and of every command to its worker.

    Commands for one task run in the order of their arrival. `utc` gives the
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
        self.draining = False
        self.epochs: dict[ShardId, Epoch] = {}
        self.table = HeldTable(Ledger(Size()))
        policy = cfg.policy
        rights_s = policy.task_lease_s + policy.kill_grace_s + policy.start_window_s
        self.clock = WorkerClock(int(rights_s * 1000))
        self.status: WorkerStatus | None = None
        self._status_began = -1.0
        self._status_utc = utc()
        self._status_done = 0.0
        self._links: list[Link] = []
        self._group: TaskGroup | None = None
        # Jobs that came in before `run`.
        self._backlog: list[Job] = []
        self._lanes: dict[TaskId, deque[Job]] = {}
        self._starting: Counter[tuple[ShardId, Epoch]] = Counter()
        # Refused starts by attempt, with the clock up to which anchors are refused again.
        self._refused: dict[Key, tuple[int, TaskReply]] = {}
        self._refresh_lock = anyio.Lock()
        self._renew_lock = anyio.Lock()
        self._report_now = anyio.Event()
        self._progress = anyio.Event()
        self._reachable = True

    # State that other parts use.

    @property
    def worker_clock_ms(self) -> int:
        """The newest reading of the worker's clock, for heartbeats; 0 before the first."""
        return self.clock.reading_ms

    @property
    def ready(self) -> bool:
        """Whether starts are considered: tasks are adopted and the worker answers."""
        if self.status is None or self.draining:
            return False
        return anyio.current_time() - self._status_done <= STATUS_STALE_S

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
            tuple(held.report() for held in self.table.held.values()),
            self.table.outcomes(),
        )

    # Component.

    async def run(self) -> None:
        """Read the worker, enforce the rules and report until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            while self._backlog:
                group.start_soon(self._backlog.pop(0))
            for loop in (
                self._refresh_forever,
                self._enforce_forever,
                self._cap_forever,
                self._guard_forever,
                self._report_forever,
            ):
                group.start_soon(loop)
            try:
                await anyio.sleep_forever()
            finally:
                # Commands may still come in while the loops end.
                self._group = None

    async def received(self, link: Link, envelope: Envelope) -> None:
        """Handle a command; slow work goes to the component's task group."""
        msg = envelope.body
        if isinstance(msg, ClaimShard):
            self._raise_epoch(msg.shard, msg.epoch)
            self._spawn(partial(self._claim, link, envelope.id, msg))
        elif isinstance(msg, RenewTasks):
            self._receive_renewal(link, envelope.id, msg)
        elif isinstance(msg, OutcomeAck):
            keys = list(zip(msg.tasks, msg.attempts, strict=False))
            self._spawn(partial(self._forget, keys))
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
        """Refuse starts, finish what is in progress and checkpoint what runs.

        Running tasks stay with the worker: a successor adopts them within their
        lease, and if none comes they resume elsewhere from these checkpoints.
        """
        self.draining = True
        with anyio.move_on_after(DRAIN_S):
            await self._wait_until(self._is_settled)
            async with anyio.create_task_group() as group:
                for held in list(self.table.held.values()):
                    group.start_soon(self._write_checkpoint, held)
            await self.refresh()
        self._send_reports()

    def _is_settled(self) -> bool:
        return not self._lanes and not any(held.ending for held in self.table.held.values())

    async def _wait_until(self, done: Callable[[], bool]) -> None:
        while not done():
            await self._progress.wait()

    def _note_progress(self) -> None:
        self._progress.set()
        self._progress = anyio.Event()

    # Reading the worker.

    async def refresh(self) -> bool:
        """Read the worker's status and apply it; tell whether the worker answered."""
        async with self._refresh_lock:
            began = anyio.current_time()
            try:
                status = await self.worker.status()
            except WorkerError as exc:
                if self._reachable:
                    log.warning("cannot read the worker's status: %s", exc)
                self._reachable = False
                return False
            self._reachable = True
            self._apply(status, began)
            return True

    def _apply(self, status: WorkerStatus, began: float) -> None:
        # UTC is taken after the reading: a pause in between makes boundaries earlier.
        self._status_utc = self.utc()
        if self.clock.read(status):
            log.warning("the worker has restarted and lost its tasks")
        if self.status is None or self.status.size != status.size:
            self.table.ledger.size = _smaller(self.cfg.size, status.size)
        changes = self.table.apply(status, began)
        self.status, self._status_began = status, began
        self._status_done = anyio.current_time()
        for held in self.table.held.values():
            self._raise_epoch(held.shard, held.epoch)
        for row in self.table.ended.values():
            self._raise_epoch(row.shard, row.epoch)
        self._set_claim()
        self._take(changes)

    def _take(self, changes: Changes) -> None:
        for held in changes.adopted:
            if held.phase is Phase.STOPPING:
                self._spawn(partial(self._finish, held, Outcome.EVICTED))
            elif not held.fits:
                self._begin_end(held, "the task exceeds the host's size", Outcome.EVICTED)
        if changes.ended:
            self._report_now.set()

    def _set_claim(self) -> None:
        if self.cfg.backend is not None:
            self.table.ledger.set_claim(self.rules.claim_of(self.cfg.backend.service))

    async def _refresh_forever(self) -> None:
        while True:
            await self.refresh()
            await anyio.sleep(REFRESH_S)

    # Epochs.

    def _raise_epoch(self, shard: ShardId, epoch: Epoch) -> None:
        if epoch > self.epochs.get(shard, -1):
            self.epochs[shard] = epoch

    async def _claim(self, link: Link, reply_to: int, msg: ClaimShard) -> None:
        # A start of a former owner may be on its way to the worker. It must show in
        # the answer, or the new owner could start the task elsewhere.
        await self._wait_until(lambda: not self._has_starts_before(msg))
        fresh = await self.refresh()
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
            # This is no refusal: the attempt may run on the worker already.
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
                    self._note_progress()
            self._send(link, reply, reply_to)

        lane = self._lanes.get(msg.task)
        if lane is not None:
            lane.append(job)
        else:
            self._lanes[msg.task] = deque([job])
            self._group.start_soon(self._run_lane, msg.task)

    async def _run_lane(self, task: TaskId) -> None:
        lane = self._lanes[task]
        while lane:
            await lane[0]()
            lane.popleft()
        del self._lanes[task]
        self._note_progress()

    async def _execute(self, msg: TaskCommand) -> TaskReply:
        if msg.epoch < self.epochs.get(msg.shard, -1):
            return self._epoch_refusal(msg)
        if isinstance(msg, StartTask):
            return await self._start(msg)
        held = self.table.held.get((msg.task, msg.attempt))
        if held is None:
            return self._answer_absent(msg)
        if isinstance(msg, ThrottleTask):
            return await self._throttle(msg, held)
        if isinstance(msg, EvictTask):
            self._begin_end(held, msg.reason, Outcome.EVICTED)
        else:
            self._begin_end(held, msg.reason, Outcome.STOPPED)
        return _reply(msg, True, ReplyCode.OK, "")

    def _answer_absent(self, msg: TaskCommand) -> TaskReply:
        key = (msg.task, msg.attempt)
        if key in self.table.ended:
            return _reply(msg, True, ReplyCode.ENDED, "the attempt has ended")
        reply = _reply(msg, False, ReplyCode.UNKNOWN, "the attempt does not run here")
        # Once the owner has been told so, a delayed start of it must not run.
        self._refused[key] = (self.worker_clock_ms, reply)
        return reply

    def _epoch_refusal(self, msg: TaskCommand) -> TaskReply:
        known = self.epochs.get(msg.shard, Epoch(0))
        return _reply(msg, False, ReplyCode.EPOCH, f"shard {msg.shard} is at epoch {known}")

    # Starts.

    async def _start(self, msg: StartTask) -> TaskReply:
        key = (msg.task, msg.attempt)
        if key in self.table.held or key in self.table.ended:
            return _reply(msg, True, ReplyCode.KNOWN, "")
        reply = self._refusal(msg)
        if reply is None:
            reply = await self._admit(msg)
        if not reply.accepted:
            self._expire_refused()
            # A second copy of a refused start must not run either.
            self._refused[key] = (max(msg.anchor_clock_ms, self._refused_up_to(key)), reply)
        return reply

    def _refused_up_to(self, key: Key) -> int:
        return self._refused[key][0] if key in self._refused else -1

    def _expire_refused(self) -> None:
        window_ms = int(self.cfg.policy.start_window_s * 1000)
        for key, (anchor_ms, _) in list(self._refused.items()):
            if anchor_ms + window_ms < self.worker_clock_ms:
                del self._refused[key]

    def _refusal(self, msg: StartTask) -> TaskReply | None:
        """Return why a start is refused before it costs anything, or None."""
        if reason := malformed(msg):
            return _reply(msg, False, ReplyCode.MALFORMED, reason)
        if self.draining:
            return _reply(msg, False, ReplyCode.DRAINING, "the agent takes no new work")
        if not self.ready:
            return _reply(msg, False, ReplyCode.NOT_READY, "the worker does not answer")
        if msg.anchor_incarnation != self.incarnation:
            return _reply(msg, False, ReplyCode.ANCHOR, "the anchor is of another incarnation")
        if msg.anchor_clock_ms > self.worker_clock_ms:
            return _reply(msg, False, ReplyCode.ANCHOR, "the anchor is ahead of the worker's clock")
        if msg.anchor_clock_ms <= self._refused_up_to((msg.task, msg.attempt)):
            return self._refused[msg.task, msg.attempt][1]
        if msg.bundle_version > self.rules.bundle_version:
            return _reply(
                msg, False, ReplyCode.BUNDLE_BEHIND, "this host does not have that bundle yet"
            )
        if self.table.of_task(msg.task) is not None:
            return _reply(
                msg, False, ReplyCode.BUSY, "another attempt of the task has not ended here"
            )
        return self._hours_refusal(msg)

    def _hours_refusal(self, msg: StartTask) -> TaskReply | None:
        utc = self.utc()
        may = allowance(self.rules, self.cfg, msg.team, msg.activity, utc)
        if may.code:
            return _reply(msg, False, may.code, may.reason)
        lead = timedelta(seconds=msg.checkpoint_s + EVICT_SLACK_S)
        if may.until is not None and utc + lead >= may.until:
            return _reply(msg, False, ReplyCode.HOURS, f"{may.reason} begins too soon")
        return None

    async def _admit(self, msg: StartTask) -> TaskReply:
        held = held_from_start(msg)
        try:
            self.table.add(held)
        except CapacityError as exc:
            return _reply(msg, False, ReplyCode.CAPACITY, str(exc))
        order = self._order(msg)
        try:
            row: WorkerTask | None = await self.worker.start(order)
        except WorkerRefused as exc:
            self.table.drop(held)
            return _reply(msg, False, ReplyCode.REFUSED, str(exc))
        except WorkerUnavailable as exc:
            log.info("start of %s has no answer: %s", msg.task, exc)
            row = await self._settle_start(order)
        if row is None:
            self.table.drop(held)
            return _reply(msg, False, ReplyCode.LATE, "the start did not reach the worker in time")
        held.known_at = anyio.current_time()
        if held.phase is Phase.STARTING:
            held.phase = Phase.RUNNING
        changes = Changes()
        self.table.apply_row(row, held.known_at, changes)
        self._take(changes)
        return _reply(msg, True, ReplyCode.OK, "")

    def _order(self, msg: StartTask) -> StartOrder:
        policy = self.cfg.policy
        anchor_ms = self.clock.to_worker(msg.anchor_clock_ms)
        deadline_ms = anchor_ms + int(policy.task_lease_s * 1000)
        may = allowance(self.rules, self.cfg, msg.team, msg.activity, self.utc())
        limit_ms = self._limit_ms(may)
        return StartOrder(
            msg.task,
            msg.attempt,
            msg.shard,
            msg.epoch,
            msg.team,
            msg.activity,
            msg.task_class,
            msg.size,
            msg.command,
            msg.run_time_s,
            msg.checkpoint,
            msg.checkpoint_s,
            start_by_ms=anchor_ms + int(policy.start_window_s * 1000),
            deadline_ms=deadline_ms if limit_ms is None else min(deadline_ms, limit_ms),
            boot=self.clock.boot,
        )

    async def _settle_start(self, order: StartOrder) -> WorkerTask | None:
        """Return the attempt once the worker shows it, or None once it cannot start.

        The order may still be on its way, so only a reading past `start_by_ms`
        or of another boot proves that it never starts.
        """
        lost_at = anyio.current_time()
        while True:
            if await self.refresh() and self.status and self._status_began >= lost_at:
                for row in self.status.tasks:
                    if (row.task, row.attempt) == (order.task, order.attempt):
                        return row
                if self.status.boot != order.boot or self.status.clock_ms > order.start_by_ms:
                    return None
            await anyio.sleep(RETRY_S)

    # Leases.

    def _limit_ms(self, may: Allowance) -> int | None:
        """Return the latest deadline that the rules allow, on the worker's clock."""
        if may.until is None or self.status is None:
            return None
        left_s = (may.until - self._status_utc).total_seconds()
        return self.status.clock_ms + int(left_s * 1000)

    def _receive_renewal(self, link: Link, reply_to: int, msg: RenewTasks) -> None:
        if msg.epoch < self.epochs.get(msg.shard, -1):
            # This tells a former owner of the higher epoch.
            self._send(link, self._shard_state(msg.shard, False), reply_to)
            return
        self._raise_epoch(msg.shard, msg.epoch)
        current = msg.anchor_incarnation == self.incarnation
        if current and msg.anchor_clock_ms <= self.worker_clock_ms:
            self._spawn(partial(self._renew, msg))

    async def _renew(self, msg: RenewTasks) -> None:
        lease_ms = int(self.cfg.policy.task_lease_s * 1000)
        deadline_ms = self.clock.to_worker(msg.anchor_clock_ms) + lease_ms
        for task in msg.tasks:
            held = self.table.of_task(task)
            if held is not None and held.shard == msg.shard:
                await self._move_deadline(held, deadline_ms)

    async def _move_deadline(self, held: Held, wanted_ms: int | None) -> None:
        """Extend a lease to `wanted_ms` if that is later, and never past the limit."""
        # One at a time: an extension in flight must not land after a reduction.
        async with self._renew_lock:
            row = held.row
            if row is None or held.ended.is_set() or held.phase is Phase.STOPPING:
                return
            may = allowance(self.rules, self.cfg, held.team, held.activity, self.utc())
            if may.code is ReplyCode.HOURS:
                return
            limit_ms = self._limit_ms(may)
            target_ms = max(row.deadline_ms, wanted_ms or 0)
            if limit_ms is not None and target_ms > limit_ms + DEADLINE_TOLERANCE_MS:
                target_ms = limit_ms
            if target_ms != row.deadline_ms:
                await self._set_deadline(held, target_ms)

    async def _set_deadline(self, held: Held, deadline_ms: int) -> None:
        try:
            row = await self.worker.renew(held.task, held.attempt, deadline_ms)
        except WorkerError as exc:
            log.info("lease of %s was not moved: %s", held.task, exc)
            return
        if held.row is not None:
            held.row = replace(held.row, deadline_ms=row.deadline_ms)

    # Ends.

    def _begin_end(self, held: Held, reason: str, outcome: Outcome) -> None:
        """Begin to end an attempt; a second call can only make it skip the checkpoint."""
        if outcome is Outcome.STOPPED:
            held.skip_checkpoint = True
        if held.ending:
            return
        held.phase = Phase.CHECKPOINTING
        held.reason = reason
        log.info("ending %s attempt %d: %s", held.task, held.attempt, reason)
        self._spawn(partial(self._finish, held, outcome))

    async def _finish(self, held: Held, outcome: Outcome) -> None:
        if held.phase is Phase.CHECKPOINTING:
            await self._write_checkpoint(held)
        held.phase = Phase.STOPPING
        if held.skip_checkpoint:
            outcome = Outcome.STOPPED
        kill_ms = (self.status.clock_ms if self.status else 0) + int(STOP_PATIENCE_S * 1000)
        while not held.ended.is_set():
            try:
                await self.worker.stop(held.task, held.attempt, outcome)
            except WorkerError as exc:
                log.info("stop of %s has no effect yet: %s", held.task, exc)
            # The worker kills a task that ignores the stop when its lease ends.
            async with self._renew_lock:
                if held.row is not None and held.row.deadline_ms > kill_ms:
                    await self._set_deadline(held, kill_ms)
            with anyio.move_on_after(STOP_REPEAT_S):
                await held.ended.wait()
        self._note_progress()

    async def _write_checkpoint(self, held: Held) -> None:
        """Try to write a checkpoint; the newest one before stays if that fails."""
        before = held.row.checkpoint if held.row else held.checkpoint
        with anyio.move_on_after(held.checkpoint_s + CHECKPOINT_SLACK_S):
            while not held.ended.is_set() and not held.skip_checkpoint:
                try:
                    await self.worker.checkpoint(held.task, held.attempt)
                    return
                except WorkerRefused as exc:
                    log.warning("checkpoint of %s failed: %s", held.task, exc)
                    return
                except WorkerUnavailable as exc:
                    log.info("checkpoint of %s has no answer: %s", held.task, exc)
                await self.refresh()
                if held.row is not None and held.row.checkpoint != before:
                    return
                await anyio.sleep(RETRY_S)

    async def _forget(self, keys: list[Key]) -> None:
        for key in keys:
            if key not in self.table.ended:
                continue
            try:
                await self.worker.forget(*key)
            except WorkerError as exc:
                # It is reported again, and the owner acknowledges it again.
                log.info("outcome of %s is not forgotten: %s", key[0], exc)
                continue
            self.table.ended.pop(key, None)
            self.table.forgotten[key] = anyio.current_time()

    # Rules and guard.

    async def _enforce_forever(self) -> None:
        while True:
            if self.status is not None:
                self._set_claim()
                for held in list(self.table.held.values()):
                    self._enforce(held)
            await anyio.sleep(self.cfg.policy.tick_s)

    def _enforce(self, held: Held) -> None:
        if held.phase is not Phase.RUNNING:
            return
        utc = self.utc()
        may = allowance(self.rules, self.cfg, held.team, held.activity, utc)
        lead = timedelta(seconds=min(held.checkpoint_s, MAX_TASK_S) + EVICT_SLACK_S)
        if may.code:
            self._begin_end(held, may.reason, Outcome.EVICTED)
        elif may.until is not None and utc + lead >= may.until:
            self._begin_end(held, f"{may.reason} begins soon", Outcome.EVICTED)

    async def _cap_forever(self) -> None:
        """Pull leases in that a new bundle made too long; apart, since the worker may hang."""
        while True:
            for held in list(self.table.held.values()):
                await self._move_deadline(held, None)
            await anyio.sleep(self.cfg.policy.tick_s)

    async def _throttle(self, msg: ThrottleTask, held: Held) -> TaskReply:
        if not 0.0 <= msg.share <= 1.0:
            return _reply(msg, False, ReplyCode.MALFORMED, "the share is outside 0 to 1")
        held.owner_share = msg.share
        try:
            await self._apply_share(held)
        except WorkerError as exc:
            return _reply(msg, False, ReplyCode.REFUSED, str(exc))
        return _reply(msg, True, ReplyCode.OK, "")

    async def _apply_share(self, held: Held) -> None:
        share = min(held.owner_share, held.guard_share)
        await self.worker.throttle(held.task, held.attempt, share)

    async def _guard_forever(self) -> None:
        while True:
            await anyio.sleep(GUARD_S)
            if self.cfg.policy.guards and self.status is not None:
                await self._guard(self.status.usage)

    async def _guard(self, usage: Size) -> None:
        rows = [
            GuardRow(*held.key, held.task_class, held.size, held.row.usage, held.guard_share)
            for held in self.table.held.values()
            if held.row is not None and not held.ending
        ]
        for action in decide(self.table.ledger.size, usage, rows):
            held = self.table.held.get((action.task, action.attempt))
            if held is None:
                continue
            if isinstance(action, Shed):
                self._begin_end(held, action.reason, Outcome.EVICTED)
            elif isinstance(action, Throttle):
                held.guard_share = action.share
                try:
                    await self._apply_share(held)
                except WorkerError as exc:
                    log.info("%s was not throttled: %s", held.task, exc)

    # Reports and replies.

    async def _report_forever(self) -> None:
        while True:
            with anyio.move_on_after(REPORT_S):
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
        except (LinkError, CodecError) as exc:
            # The owner asks again or reads the next report.
            log.info("%s was not sent: %s", type(msg).__name__, exc)

    def _spawn(self, job: Job) -> None:
        if self._group is None:
            self._backlog.append(job)
        else:
            self._group.start_soon(job)


def _reply(msg: TaskCommand, accepted: bool, code: ReplyCode, reason: str) -> TaskReply:
    return TaskReply(msg.task, msg.attempt, accepted, code, reason)


def _smaller(a: Size, b: Size) -> Size:
    return Size(
        min(a.cpu_milli, b.cpu_milli),
        min(a.memory_mb, b.memory_mb),
        min(a.accelerators, b.accelerators),
    )
