"""Lease deadlines of the attempts on an agent's worker."""

import logging
from dataclasses import replace

import anyio

from apricotpath.errors import WorkerError
from apricotpath.messages import RenewTasks
from apricotpath.model import ReplyCode
from apricotpathd.hostview import HostView
from apricotpathd.taskattempts import HeldAttempt, Phase

log = logging.getLogger(__name__)

# A deadline may exceed its limit by this much, since clock readings vary.
DEADLINE_TOLERANCE_MS = 100


class Leases:
    """Extends leases for owners, and shortens those that exceed a limit."""

    def __init__(self, view: HostView) -> None:
        self.view = view
        # Serialises changes, so that an extension in flight cannot take effect after a reduction.
        self._lock = anyio.Lock()

    async def renew(self, msg: RenewTasks) -> None:
        """Extend the leases listed in an owner's renewal."""
        lease_ms = int(self.view.cfg.policy.task_lease_s * 1000)
        deadline_ms = self.view.clock.to_worker(msg.anchor_clock_ms) + lease_ms
        for task in msg.tasks:
            held = self.view.table.of_task(task)
            if held is not None and held.shard == msg.shard:
                await self._update_deadline(held, deadline_ms)

    async def cap_forever(self) -> None:
        """Shorten leases that exceed the limits of a new bundle, until cancelled.

        This runs in a separate loop, since a call to the worker may hang.
        """
        while True:
            for held in list(self.view.table.active.values()):
                await self._update_deadline(held, None)
            await anyio.sleep(self.view.cfg.policy.tick_s)

    async def shorten(self, held: HeldAttempt, latest_ms: int) -> None:
        """Reduce the deadline to `latest_ms` on the worker's clock if it is later."""
        async with self._lock:
            if held.row is not None and held.row.deadline_ms > latest_ms:
                await self._set_deadline(held, latest_ms)

    async def _update_deadline(self, held: HeldAttempt, wanted_ms: int | None) -> None:
        """Extend a lease to `wanted_ms` if that is later, and never past the limit."""
        async with self._lock:
            row = held.row
            if row is None or held.ended.is_set() or held.phase is Phase.STOPPING:
                return
            allowed = self.view.allowance(held.team, held.activity, self.view.utc())
            if allowed.code is ReplyCode.HOURS:
                return
            limit_ms = self.view.limit_ms(allowed)
            target_ms = max(row.deadline_ms, wanted_ms or 0)
            if limit_ms is not None and target_ms > limit_ms + DEADLINE_TOLERANCE_MS:
                target_ms = limit_ms
            if target_ms != row.deadline_ms:
                await self._set_deadline(held, target_ms)

    async def _set_deadline(self, held: HeldAttempt, deadline_ms: int) -> None:
        try:
            row = await self.view.worker.renew(held.task, held.attempt, deadline_ms)
        except WorkerError as exc:
            log.info("lease of %s was not changed: %s", held.task, exc)
            return
        if held.row is not None:
            held.row = replace(held.row, deadline_ms=row.deadline_ms)
