"""Membership of an entry: its registration, its shards and its reads of the control keys."""

import logging
import random
from dataclasses import replace

import anyio

from apricotpath.codec import Envelope
from apricotpath.config import EntrySettings
from apricotpath.errors import ConflictError, StoreError
from apricotpath.ids import IncarnationId
from apricotpath.link import Link
from apricotpath.messages import Message
from apricotpath.store import Store
from apricotpathd.controlchanges import ControlChanges
from apricotpathd.controlstore import ControlStore
from apricotpathd.controlview import ControlView, Views, keep_newer
from apricotpathd.registration import Registration
from apricotpathd.shardclaims import ShardClaims
from apricotpathd.storebackoff import StoreBackoff

log = logging.getLogger(__name__)

# Interval of control reads; each process starts at a random offset within it.
READ_INTERVAL_S = 1.0
# Time limit of a drain for releasing the shards and the lease; without a release, both end
# when the lease expires.
RELEASE_S = 3.0


class Members:
    """Component that keeps the entry registered and reads the control keys."""

    handles: frozenset[type[Message]] = frozenset()

    def __init__(
        self,
        cfg: EntrySettings,
        incarnation: IncarnationId,
        store: Store,
        rng: random.Random | None = None,
    ) -> None:
        self.cfg = cfg
        self.incarnation = incarnation
        self.store = store
        self.views = Views()
        self._rng = rng or random.Random()
        self._control = ControlStore(store, cfg.store.prefix)
        self.registration = Registration(cfg, incarnation, self._control, self._rng)
        self.shards = ShardClaims(cfg, incarnation, self._control, self.registration, self.views)
        self.changes = ControlChanges(self._control, self.views)

    @property
    def view(self) -> ControlView:
        """The control keys at the last successful read, with this entry's later changes."""
        return self.views.newest

    async def run(self) -> None:
        """Keep this entry registered and read the control keys until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.registration.run)
            group.start_soon(self._keep_reading)

    async def received(self, link: Link, envelope: Envelope) -> None:
        """Do nothing; this component handles no messages."""

    async def link_opened(self, link: Link) -> None:
        """Do nothing; membership does not depend on links."""

    async def link_closed(self, link: Link) -> None:
        """Do nothing; membership does not depend on links."""

    async def drain(self) -> None:
        """Release this entry's shards and its lease, so that others need not wait for expiry.

        All components that need a shard must be drained first.
        """
        self.shards.leaving = True
        self.registration.stop()
        with anyio.move_on_after(RELEASE_S):
            for shard in self.shards.owned():
                try:
                    await self.shards.release(shard)
                except (StoreError, ConflictError) as exc:
                    log.warning("shard %s was not released: %s", shard, exc)
            await self.registration.revoke()

    async def _keep_reading(self) -> None:
        await anyio.sleep(self._rng.random() * READ_INTERVAL_S / 2)
        backoff = StoreBackoff(self._rng)
        while True:
            started = anyio.current_time()
            try:
                view = await self._control.read_view(started)
                wait = READ_INTERVAL_S - (anyio.current_time() - started)
                backoff.succeeded()
            except StoreError as exc:
                log.info("the control read failed: %s", exc)
                view = replace(self.view, store_up=False)
                wait = backoff.failed(exc)
            self.views.publish(keep_newer(view, self.view))
            self.registration.check(self.view)
            await anyio.sleep(max(0.0, wait))
