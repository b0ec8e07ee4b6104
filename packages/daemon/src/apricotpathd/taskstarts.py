"""Starts task attempts: checks, resource commitment and the order to the worker."""

import logging
from collections.abc import Callable
from datetime import timedelta

import anyio

from apricotpath.errors import CapacityError, WorkerRefused, WorkerUnavailable
from apricotpath.messages import StartTask, TaskReply
from apricotpath.model import ReplyCode
from apricotpath.rules import EVICT_SLACK_S
from apricotpath.worker import StartOrder, WorkerTask
from apricotpathd.hostview import RETRY_S, HostView
from apricotpathd.taskattempts import Changes, Key, Phase, attempt_from_start
from apricotpathd.taskchecks import TaskCommand, malformed, task_reply

log = logging.getLogger(__name__)


class Starts:
    """Starts attempts and remembers refusals; `on_changes` gets changes found during a start."""

    def __init__(self, view: HostView, on_changes: Callable[[Changes], None]) -> None:
        self.view = view
        self._on_changes = on_changes
        # Refused starts by attempt, with the clock reading up to which anchors stay refused.
        self._refused: dict[Key, tuple[int, TaskReply]] = {}

    async def start(self, msg: StartTask) -> TaskReply:
        """Start an attempt unless a check fails; a repeated start changes nothing."""
        key = (msg.task, msg.attempt)
        if key in self.view.table.active or key in self.view.table.ended:
            return task_reply(msg, True, ReplyCode.KNOWN, "")
        reply = self._refusal(msg)
        if reply is None:
            reply = await self._admit(msg)
        if not reply.accepted:
            self._expire_refused()
            # A second copy of a refused start must not run either.
            self._refused[key] = (max(msg.anchor_clock_ms, self._refused_up_to(key)), reply)
        return reply

    def refuse_absent(self, msg: TaskCommand) -> TaskReply:
        """Return the reply to a command for an attempt that is not held here."""
        key = (msg.task, msg.attempt)
        if key in self.view.table.ended:
            return task_reply(msg, True, ReplyCode.ENDED, "the attempt has ended")
        reply = task_reply(msg, False, ReplyCode.UNKNOWN, "the attempt does not run here")
        # The owner may rely on this reply, so a delayed start of the attempt must not run.
        self._refused[key] = (self.view.clock.last_reading_ms, reply)
        return reply

    def _refused_up_to(self, key: Key) -> int:
        return self._refused[key][0] if key in self._refused else -1

    def _expire_refused(self) -> None:
        window_ms = int(self.view.cfg.policy.start_window_s * 1000)
        for key, (anchor_ms, _) in list(self._refused.items()):
            if anchor_ms + window_ms < self.view.clock.last_reading_ms:
                del self._refused[key]

    def _refusal(self, msg: StartTask) -> TaskReply | None:
        """Return the refusal of a start by checks that need no worker call, or None."""
        if reason := malformed(msg):
            return task_reply(msg, False, ReplyCode.MALFORMED, reason)
        if self.view.draining:
            return task_reply(msg, False, ReplyCode.DRAINING, "the agent takes no new work")
        if not self.view.ready:
            return task_reply(msg, False, ReplyCode.NOT_READY, "the worker does not answer")
        if msg.anchor_incarnation != self.view.incarnation:
            return task_reply(msg, False, ReplyCode.ANCHOR, "the anchor is of another incarnation")
        if msg.anchor_clock_ms > self.view.clock.last_reading_ms:
            return task_reply(
                msg, False, ReplyCode.ANCHOR, "the anchor is ahead of the worker's clock"
            )
        if msg.anchor_clock_ms <= self._refused_up_to((msg.task, msg.attempt)):
            return self._refused[msg.task, msg.attempt][1]
        if msg.bundle_version > self.view.rules.bundle_version:
            return task_reply(
                msg, False, ReplyCode.BUNDLE_BEHIND, "this host does not have that bundle yet"
            )
        if self.view.table.of_task(msg.task) is not None:
            return task_reply(
                msg, False, ReplyCode.BUSY, "another attempt of the task has not ended here"
            )
        return self._hours_refusal(msg)

    def _hours_refusal(self, msg: StartTask) -> TaskReply | None:
        utc = self.view.utc()
        allowed = self.view.allowance(msg.team, msg.activity, utc)
        if allowed.code:
            return task_reply(msg, False, allowed.code, allowed.reason)
        lead = timedelta(seconds=msg.checkpoint_s + EVICT_SLACK_S)
        if allowed.until is not None and utc + lead >= allowed.until:
            return task_reply(msg, False, ReplyCode.HOURS, f"{allowed.reason} begins too soon")
        return None

    async def _admit(self, msg: StartTask) -> TaskReply:
        held = attempt_from_start(msg)
        try:
            self.view.table.add(held)
        except CapacityError as exc:
            return task_reply(msg, False, ReplyCode.CAPACITY, str(exc))
        order = self._order(msg)
        try:
            row: WorkerTask | None = await self.view.worker.start(order)
        except WorkerRefused as exc:
            self.view.table.drop(held)
            return task_reply(msg, False, ReplyCode.REFUSED, str(exc))
        except WorkerUnavailable as exc:
            log.info("start of %s has no answer: %s", msg.task, exc)
            row = await self._resolve_start(order)
        if row is None:
            self.view.table.drop(held)
            return task_reply(
                msg, False, ReplyCode.LATE, "the start did not reach the worker in time"
            )
        held.confirmed_at = anyio.current_time()
        if held.phase is Phase.STARTING:
            held.phase = Phase.RUNNING
        changes = Changes()
        self.view.table.apply_row(row, held.confirmed_at, changes)
        self._on_changes(changes)
        return task_reply(msg, True, ReplyCode.OK, "")

    def _order(self, msg: StartTask) -> StartOrder:
        policy = self.view.cfg.policy
        anchor_ms = self.view.clock.to_worker(msg.anchor_clock_ms)
        deadline_ms = anchor_ms + int(policy.task_lease_s * 1000)
        allowed = self.view.allowance(msg.team, msg.activity, self.view.utc())
        limit_ms = self.view.limit_ms(allowed)
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
            boot=self.view.clock.boot,
        )

    async def _resolve_start(self, order: StartOrder) -> WorkerTask | None:
        """Return the attempt once the worker lists it, or None once it cannot start.

        The order may still be under way, so only a status past `start_by_ms`
        or of another boot proves that it never starts.
        """
        unanswered_at = anyio.current_time()
        while True:
            if (
                await self.view.refresh()
                and self.view.status
                and self.view.status_requested_at >= unanswered_at
            ):
                status = self.view.status
                for row in status.tasks:
                    if (row.task, row.attempt) == (order.task, order.attempt):
                        return row
                if status.boot != order.boot or status.clock_ms > order.start_by_ms:
                    return None
            await anyio.sleep(RETRY_S)
