"""In-memory store with simulated faults, for tests in virtual time."""

from collections.abc import AsyncIterator, Sequence
from contextlib import suppress
from dataclasses import dataclass, field

import anyio
import anyio.lowlevel

from apricotpath.boottime import boot_s
from apricotpath.errors import StoreLeaseEnded, StoreOutcomeUnknown, StoreUnavailable
from apricotpath.mirror import Changes, HistoryCompacted
from apricotpath.pagedread import OnBytes, Page, PagedRead, ReadProgress
from apricotpath.store import (
    Compare,
    Delete,
    KeyValue,
    LeaseId,
    Put,
    RangeResult,
    TxnResult,
    WatchEvent,
)

ANSWER_S = 0.004
PAGE_ITEMS = 500
UNLIMITED = 1 << 60
# Time at which a write takes effect, its compares and its operations.
LateWrite = tuple[float, Sequence[Compare], Sequence[Put | Delete]]


@dataclass
class Faults:
    """Active faults; `lost_answers` and `late_writes` are numbers of further writes.

    A write whose answer is lost takes effect. A late write also gets no answer,
    and takes effect `late_s` later if its compares are still true; only writes that put a key
    with the prefix `late_prefix` are late. The client waits `late_wait_s` for its answer. With
    `late_writes_outlive`, it takes effect also when the client has ended meanwhile.
    With `down`, calls fail at once; with `silent`, after 1 s without an answer, and with
    `silent_watches` only those that ask for changes. Writes without an answer are late as well
    with `late_while_silent`. With `fail_every`, one call in so many fails.
    """

    down: bool = False
    lost_answers: int = 0
    late_writes: int = 0
    late_s: float = 2.0
    late_wait_s: float = 0.0
    late_prefix: str = ""
    late_writes_outlive: bool = False
    silent: bool = False
    silent_watches: bool = False
    late_while_silent: bool = False
    fail_every: int = 0
    # The link of the client; a connection is reset when so many more bytes of pages have come.
    bytes_per_s: float = float("inf")
    reset_every_bytes: int = UNLIMITED
    reset_after_bytes: int = UNLIMITED
    # Reads of pages get no answer, while all other calls do.
    reads_stall: bool = False
    # Reads of pages and changes with exactly one of these prefixes get no answer.
    stalled_prefixes: tuple[str, ...] = ()
    # Each page takes so many seconds more, and comes in one piece a second.
    page_s: int = 0


@dataclass
class SharedStore:
    """The data of the store, shared by all clients."""

    items: dict[str, KeyValue] = field(default_factory=dict)
    history: list[WatchEvent] = field(default_factory=list)
    revision: int = 1
    compacted_revision: int = 0
    leases: dict[LeaseId, tuple[float, float]] = field(default_factory=dict)
    changed: anyio.Event = field(default_factory=anyio.Event)
    writes: int = 0
    late: list[LateWrite] = field(default_factory=list)

    def expire(self) -> None:
        """End the leases that are due, and carry out the late writes that are due."""
        self._end_due_leases()
        due = [entry for entry in self.late if entry[0] <= boot_s()]
        self.late = [entry for entry in self.late if entry[0] > boot_s()]
        for _, compares, operations in due:
            with suppress(StoreLeaseEnded):
                self.apply(compares, operations)

    def _end_due_leases(self) -> None:
        for lease, (ends_at, _) in list(self.leases.items()):
            if boot_s() >= ends_at:
                self.end_lease(lease)

    def end_lease(self, lease: LeaseId) -> None:
        self.leases.pop(lease, None)
        self.take_keys_away(lease)

    def take_keys_away(self, lease: LeaseId) -> None:
        """Remove the keys of a lease, which goes on."""
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self.remove(key)

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.publish(WatchEvent(key, None, self.revision))

    def publish(self, event: WatchEvent) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = anyio.Event()

    def forget_history(self) -> None:
        self.history.clear()
        self.compacted_revision = self.revision

    def apply(self, compares: Sequence[Compare], operations: Sequence[Put | Delete]) -> TxnResult:
        self.expire()
        for compare in compares:
            item = self.items.get(compare.key)
            if (item.mod_revision if item else 0) != compare.mod_revision:
                return TxnResult(False, 0)
        for operation in operations:
            lease = operation.lease if isinstance(operation, Put) else None
            if lease is not None and lease not in self.leases:
                raise StoreLeaseEnded("no such lease")
        if len(compares) + len(operations) > 32:
            raise AssertionError("a transaction has more than 32 entries")
        self.revision += 1
        self.writes += 1
        for operation in operations:
            if isinstance(operation, Put):
                lease = operation.lease or LeaseId(0)
                self.items[operation.key] = KeyValue(
                    operation.key, operation.value, self.revision, lease
                )
                self.publish(WatchEvent(operation.key, operation.value, self.revision))
            elif operation.key in self.items:
                del self.items[operation.key]
                self.publish(WatchEvent(operation.key, None, self.revision))
        return TxnResult(True, self.revision)


class MemoryStore:
    """A client of the shared store; implements `apricotpath.mirror.WatchableStore`."""

    def __init__(self, shared: SharedStore) -> None:
        self.shared = shared
        self.faults = Faults()
        self.page_items = PAGE_ITEMS
        # Bytes of the values in pages and changes that were returned.
        self.received_bytes = 0
        self._late: list[LateWrite] = []
        self._calls = 0

    async def _simulate_call(self) -> None:
        await anyio.sleep(ANSWER_S)
        self.apply_due_writes()
        if self.faults.silent:
            await anyio.sleep(1.0)
            raise StoreUnavailable("no answer")
        self._calls += 1
        if self.faults.down or (
            self.faults.fail_every and self._calls % self.faults.fail_every == 0
        ):
            raise StoreUnavailable("down")
        self.shared.expire()

    def apply_due_writes(self) -> None:
        """Apply the late writes that are due."""
        for entry in [entry for entry in self._late if entry[0] <= boot_s()]:
            self._late.remove(entry)
            # Nobody waits for the answer, for example that the lease has ended meanwhile.
            with suppress(StoreLeaseEnded):
                self.shared.apply(entry[1], entry[2])

    def apply_late_writes(self) -> None:
        """Apply all late writes now."""
        self._late = [(boot_s(), compares, operations) for _, compares, operations in self._late]
        self.apply_due_writes()

    async def get(self, key: str, revision: int = 0) -> KeyValue | None:
        await self._simulate_call()
        return self.shared.items.get(key)

    async def range(self, prefix: str, end: str = "") -> RangeResult:
        return await PagedRead(self, prefix, ReadProgress()).finish()

    async def page(self, prefix: str, after: str, on_bytes: OnBytes) -> Page:
        await self._stall(prefix)
        await self._simulate_call()
        items, revision = sorted(self.shared.items.items()), self.shared.revision
        found = [item for key, item in items if key.startswith(prefix) and key > after]
        page = tuple(found[: self.page_items])
        size = sum(len(item.value) for item in page)
        self.received_bytes += size
        await self._transfer(size, on_bytes)
        return Page(page, revision, len(found) > len(page))

    async def _stall(self, prefix: str) -> None:
        """Leave a read without an answer if its prefix is stalled."""
        if prefix in self.faults.stalled_prefixes:
            await anyio.sleep(1.0)
            raise StoreUnavailable("no answer")

    async def _transfer(self, size: int, on_bytes: OnBytes) -> None:
        """Take the time that an answer of `size` bytes takes on this client's link."""
        faults = self.faults
        if faults.reads_stall:
            await anyio.sleep(1.0)
            raise StoreUnavailable("no answer")
        for _ in range(faults.page_s):
            await anyio.sleep(1.0)
            on_bytes(1)
        if size > faults.reset_after_bytes:
            await anyio.sleep(faults.reset_after_bytes / faults.bytes_per_s)
            on_bytes(faults.reset_after_bytes)
            faults.reset_after_bytes = faults.reset_every_bytes
            raise StoreUnavailable("the connection was reset")
        faults.reset_after_bytes -= size
        await anyio.sleep(size / faults.bytes_per_s)
        on_bytes(size)

    async def changes(self, prefix: str, after: int, wait_s: float) -> Changes:
        ends_at = boot_s() + wait_s
        await self._stall(prefix)
        while True:
            if self.faults.silent_watches:
                await anyio.sleep(1.0)
                raise StoreUnavailable("no answer")
            await self._simulate_call()
            if after < self.shared.compacted_revision:
                raise HistoryCompacted("forgotten")
            found = tuple(
                event
                for event in self.shared.history
                if event.mod_revision > after and event.key.startswith(prefix)
            )
            if found or boot_s() >= ends_at:
                revision = self.shared.revision
                size = sum(len(event.value or b"") for event in found)
                self.received_bytes += size
                await anyio.sleep(size / self.faults.bytes_per_s)
                return Changes(found, revision)
            changed = self.shared.changed
            with anyio.move_on_after(max(0.0, ends_at - boot_s())):
                await changed.wait()

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        for event in (await self.changes(prefix, from_revision - 1, 1.0)).events:
            yield event

    async def txn(
        self, compares: Sequence[Compare], operations: Sequence[Put | Delete]
    ) -> TxnResult:
        if self.faults.silent and self.faults.late_while_silent:
            self.shared.late.append((boot_s() + self.faults.late_s, compares, operations))
        silent = self.faults.silent
        try:
            await self._simulate_call()
        except StoreUnavailable as exc:
            if silent:
                # A write without an answer may have been carried out.
                raise StoreOutcomeUnknown(str(exc)) from exc
            raise
        if self.faults.late_writes > 0 and self._puts_late_key(operations):
            self.faults.late_writes -= 1
            late = self.shared.late if self.faults.late_writes_outlive else self._late
            late.append((boot_s() + self.faults.late_s, compares, operations))
            await anyio.sleep(self.faults.late_wait_s)
            raise StoreOutcomeUnknown("the answer was lost")
        result = self.shared.apply(compares, operations)
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            raise StoreOutcomeUnknown("the answer was lost")
        return result

    def _puts_late_key(self, operations: Sequence[Put | Delete]) -> bool:
        prefix = self.faults.late_prefix
        if not prefix:
            return True
        return any(isinstance(op, Put) and op.key.startswith(prefix) for op in operations)

    async def lease_grant(self, ttl_s: float) -> LeaseId:
        await self._simulate_call()
        lease = LeaseId(len(self.shared.leases) + self.shared.revision * 1000 + 1)
        self.shared.leases[lease] = (boot_s() + ttl_s, ttl_s)
        return lease

    async def lease_keepalive(self, lease: LeaseId) -> bool:
        await self._simulate_call()
        if lease not in self.shared.leases:
            return False
        ttl_s = self.shared.leases[lease][1]
        self.shared.leases[lease] = (boot_s() + ttl_s, ttl_s)
        return True

    async def lease_revoke(self, lease: LeaseId) -> None:
        await self._simulate_call()
        self.shared.end_lease(lease)


class InstantStore(MemoryStore):
    """Answers without a delay, since virtual time stands still while any task can run."""

    async def _simulate_call(self) -> None:
        await anyio.lowlevel.checkpoint()
