"""Lease deadlines of the attempts on an agent's worker."""

import logging
from dataclasses import replace

import anyio

from apricotpath.errors import WorkerError
from apricotpath.messages import RenewTasks
from apricotpath.model import ReplyCode
from apricotpathd.heldtasks import Held, Phase
from apricotpathd.hostview import HostView

log = logging.getLogger(__name__)

# Deadlines closer than this to their limit are left alone: readings of the clock vary.
DEADLINE_TOLERANCE_MS = 100


class Leases:
    """Extends leases for owners, and shortens those that go past a limit."""

    def __init__(self, view: HostView) -> None:
        self.view = view
        # One change at a time: an extension in flight must not land after a reduction.
        self._lock = anyio.Lock()

    async def renew(self, msg: RenewTasks) -> None:
        """Extend the leases that an owner's renewal names."""
        lease_ms = int(self.view.cfg.policy.task_lease_s * 1000)
        deadline_ms = self.view.clock.to_worker(msg.anchor_clock_ms) + lease_ms
        for task in msg.tasks:
            held = self.view.table.of_task(task)
            if held is not None and held.shard == msg.shard:
                await self._move_deadline(held, deadline_ms)

    async def cap_forever(self) -> None:
        """Shorten leases that go past the limits of a new bundle, until cancelled.

        This is a loop of its own, since a call to the worker may hang.
        """
        while True:
            for held in list(self.view.table.held.values()):
                await self._move_deadline(held, None)
            await anyio.sleep(self.view.cfg.policy.tick_s)

    async def shorten(self, held: Held, latest_ms: int) -> None:
        """Set the deadline to `latest_ms` of the worker's clock if it is later."""
        async with self._lock:
            if held.row is not None and held.row.deadline_ms > latest_ms:
                await self._set_deadline(held, latest_ms)

    async def _move_deadline(self, held: Held, wanted_ms: int | None) -> None:
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

    async def _set_deadline(self, held: Held, deadline_ms: int) -> None:
        try:
            row = await self.view.worker.renew(held.task, held.attempt, deadline_ms)
        except WorkerError as exc:
            log.info("lease of %s was not moved: %s", held.task, exc)
            return
        if held.row is not None:
            held.row = replace(held.row, deadline_ms=row.deadline_ms)
