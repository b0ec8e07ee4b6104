"""Adapter to the platform's key-value service, the etcd v3 JSON gateway."""

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import NewType, Protocol

LeaseId = NewType("LeaseId", int)


@dataclass(frozen=True, slots=True)
class KeyValue:
    """One key with its value and the revision that last changed it."""

    key: str
    value: bytes
    mod_revision: int
    lease: LeaseId


@dataclass(frozen=True, slots=True)
class RangeResult:
    """Keys in order, and the store's revision at which they were read."""

    items: tuple[KeyValue, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Compare:
    """Holds if the key's mod revision equals this; 0 means that the key is absent."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Sets a key; with a lease, the key goes when the lease ends."""

    key: str
    value: bytes
    lease: LeaseId | None = None


@dataclass(frozen=True, slots=True)
class Delete:
    """Deletes a key, or every key with this prefix."""

    key: str
    prefix: bool = False


@dataclass(frozen=True, slots=True)
class TxnResult:
    """Whether all compares held, and the revision after the transaction."""

    succeeded: bool
    revision: int


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """One change; `value` is None for a deletion."""

    key: str
    value: bytes | None
    mod_revision: int


class Store(Protocol):
    """What apricotpath needs of the platform's store. Keys are full paths.

    Every call may raise StoreUnavailable (no effect), StoreLimited (no effect)
    and, for writes, StoreOutcomeUnknown (the answer was lost).
    """

    async def get(self, key: str) -> KeyValue | None:
        """Return one key, or None."""

    async def range(self, prefix: str) -> RangeResult:
        """Return all keys with a prefix, in key order."""

    async def txn(
        self, compares: Sequence[Compare], operations: Sequence[Put | Delete]
    ) -> TxnResult:
        """Run the operations if every compare holds, all at once or not at all."""

    async def lease_grant(self, ttl_s: float) -> LeaseId:
        """Return a new lease that ends `ttl_s` seconds after its last keepalive."""

    async def lease_keepalive(self, lease: LeaseId) -> bool:
        """Renew a lease; False means that it has ended."""

    async def lease_revoke(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""

    def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yield changes from a revision on; raises StoreUnavailable when cut."""
