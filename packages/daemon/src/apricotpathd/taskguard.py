"""Evicts tasks that the rules forbid, and throttles for the owner and the host's guard."""

import logging
from datetime import timedelta

import anyio

from apricotpath.errors import WorkerError
from apricotpath.guard import GuardRow, Shed, Throttle, decide
from apricotpath.messages import TaskReply, ThrottleTask
from apricotpath.model import Outcome, ReplyCode, Size
from apricotpath.rules import EVICT_SLACK_S
from apricotpathd.hostview import HostView
from apricotpathd.taskattempts import HeldAttempt, Phase
from apricotpathd.taskchecks import MAX_TASK_S, task_reply
from apricotpathd.taskends import Endings

log = logging.getLogger(__name__)

# Measured usage lags, so the guard waits for the effect of an action before the next one.
GUARD_INTERVAL_S = 2.0


class TaskGuard:
    """Applies the rules in force and the measured usage to running tasks."""

    def __init__(self, view: HostView, endings: Endings) -> None:
        self.view = view
        self.endings = endings

    async def enforce_forever(self) -> None:
        """Evict tasks that the rules no longer allow, at intervals until cancelled."""
        while True:
            if self.view.status is not None:
                self.view.set_claim()
                for held in list(self.view.table.active.values()):
                    self._enforce(held)
            await anyio.sleep(self.view.cfg.policy.tick_s)

    def _enforce(self, held: HeldAttempt) -> None:
        if held.phase is not Phase.RUNNING:
            return
        utc = self.view.utc()
        allowed = self.view.allowance(held.team, held.activity, utc)
        lead = timedelta(seconds=min(held.checkpoint_s, MAX_TASK_S) + EVICT_SLACK_S)
        if allowed.code:
            self.endings.begin(held, allowed.reason, Outcome.EVICTED)
        elif allowed.until is not None and utc + lead >= allowed.until:
            self.endings.begin(held, f"{allowed.reason} begins soon", Outcome.EVICTED)

    async def throttle(self, msg: ThrottleTask, held: HeldAttempt) -> TaskReply:
        """Limit a task to the owner's share, or to the guard's if that is smaller."""
        if not 0.0 <= msg.share <= 1.0:
            return task_reply(msg, False, ReplyCode.MALFORMED, "the share is outside 0 to 1")
        held.owner_share = msg.share
        try:
            await self._apply_share(held)
        except WorkerError as exc:
            return task_reply(msg, False, ReplyCode.REFUSED, str(exc))
        return task_reply(msg, True, ReplyCode.OK, "")

    async def _apply_share(self, held: HeldAttempt) -> None:
        share = min(held.owner_share, held.guard_share)
        await self.view.worker.throttle(held.task, held.attempt, share)

    async def guard_forever(self) -> None:
        """Throttle or evict tasks while the host is overloaded, at intervals until cancelled."""
        while True:
            await anyio.sleep(GUARD_INTERVAL_S)
            if self.view.cfg.policy.guards and self.view.status is not None:
                await self._guard(self.view.status.usage)

    async def _guard(self, usage: Size) -> None:
        rows = [
            GuardRow(*held.key, held.task_class, held.size, held.row.usage, held.guard_share)
            for held in self.view.table.active.values()
            if held.row is not None and not held.ending
        ]
        for action in decide(self.view.table.ledger.size, usage, rows):
            held = self.view.table.active.get((action.task, action.attempt))
            if held is None:
                continue
            if isinstance(action, Shed):
                self.endings.begin(held, action.reason, Outcome.EVICTED)
            elif isinstance(action, Throttle):
                held.guard_share = action.share
                try:
                    await self._apply_share(held)
                except WorkerError as exc:
                    log.info("%s was not throttled: %s", held.task, exc)
