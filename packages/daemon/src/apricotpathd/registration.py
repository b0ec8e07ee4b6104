"""Registration of an entry in the store under a lease."""

import logging
import random
from math import inf

import anyio

from apricotpath.config import EntrySettings
from apricotpath.errors import ConflictError, StoreError
from apricotpath.ids import IncarnationId
from apricotpath.store import LeaseId
from apricotpathd.controlrecords import parse_entry, parse_record
from apricotpathd.controlstore import ControlStore
from apricotpathd.controlview import ControlView
from apricotpathd.storebackoff import RETRY_FIRST_S, StoreBackoff

log = logging.getLogger(__name__)


class Registration:
    """Keeps the record of one incarnation of an entry in the store.

    `revision` is the mod revision of the record, 0 while there is none.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        incarnation: IncarnationId,
        control: ControlStore,
        rng: random.Random,
    ) -> None:
        self.lease: LeaseId | None = None
        self.revision = 0
        self._cfg = cfg
        self._incarnation = incarnation
        self._control = control
        self._rng = rng
        self._renewed_at = -inf
        self._was_registered = False
        self._stopped = False
        self._lease_lost = anyio.Event()

    def is_valid(self) -> bool:
        """Tell whether the entry's lease is valid, judged by the last renewal."""
        remaining_s = self._renewed_at + self._cfg.policy.entry_lease_s - anyio.current_time()
        return self.lease is not None and self.revision > 0 and remaining_s > 0

    def stop(self) -> None:
        """Register and renew no more; the lease remains until `revoke` or its expiry."""
        self._stopped = True

    async def revoke(self) -> None:
        """Revoke the lease, so that others need not wait for its expiry; errors are logged."""
        lease, self.lease = self.lease, None
        if lease is not None:
            try:
                await self._control.store.lease_revoke(lease)
            except StoreError as exc:
                log.warning("the store lease was not revoked: %s", exc)

    async def run(self) -> None:
        """Keep the entry registered until it is stopped or cancelled."""
        await anyio.sleep(self._rng.random() * RETRY_FIRST_S)
        backoff = StoreBackoff(self._rng)
        while not self._stopped:
            try:
                if self.lease is None:
                    await self._register()
                    wait = self._cfg.policy.entry_renew_s
                else:
                    wait = await self._renew()
                backoff.succeeded()
            except (StoreError, ConflictError) as exc:
                log.warning("this entry is not registered: %s", exc)
                wait = backoff.failed(exc)
            with anyio.move_on_after(wait):
                await self._lease_lost.wait()
                self._lease_lost = anyio.Event()

    async def _register(self) -> None:
        key = self._control.entry_key(self._cfg.entry)
        item = await self._control.store.get(key)
        former = parse_record(item, parse_entry) if item is not None else None
        if former is not None and former.incarnation != self._incarnation and self._was_registered:
            raise ConflictError(f"another process is registered as entry {self._cfg.entry}")
        started = anyio.current_time()
        lease = await self._control.store.lease_grant(self._cfg.policy.entry_lease_s)
        address = self._cfg.advertise or self._cfg.links
        content = {
            "incarnation": self._incarnation,
            "host": address.host,
            "port": address.port,
            "data_centre": self._cfg.data_centre,
        }
        expected = item.mod_revision if item is not None else 0
        try:
            result = await self._control.compare_and_swap(key, expected, content, lease=lease)
        except StoreError:
            await self._try_revoke(lease)
            raise
        if not result.succeeded or self._stopped:
            await self._try_revoke(lease)
            raise ConflictError(f"the record of entry {self._cfg.entry} was changed or dropped")
        self.lease, self._renewed_at = lease, started
        self.revision = result.revision
        self._was_registered = True

    async def _try_revoke(self, lease: LeaseId) -> None:
        """Revoke the lease of a failed registration; if that fails, the lease expires."""
        try:
            await self._control.store.lease_revoke(lease)
        except StoreError as exc:
            log.info("a store lease was not revoked and will expire: %s", exc)

    async def _renew(self) -> float:
        """Renew the lease and return the seconds until the next renewal."""
        assert self.lease is not None
        started = anyio.current_time()
        lease = self.lease
        alive = await self._control.store.lease_keepalive(lease)
        if alive and self.lease == lease:
            self._renewed_at = started
            return self._cfg.policy.entry_renew_s
        if not alive:
            self._clear_lease("the store lease has ended")
        # A random delay, so that entries whose leases ended in the same outage do not all
        # register at once.
        return self._rng.random() * RETRY_FIRST_S

    def _clear_lease(self, reason: str) -> None:
        if self.lease is not None:
            log.warning("this entry must register again: %s", reason)
        self.lease, self.revision = None, 0

    def check(self, view: ControlView) -> None:
        """Register again if a view newer than the registration lacks this entry's record."""
        if not view.store_up or view.revision < self.revision:
            return
        record = view.entries.get(self._cfg.entry)
        present = record is not None and record.mod_revision == self.revision
        if self.lease is not None and not present:
            self._clear_lease("its record is gone from the store")
            self._lease_lost.set()
