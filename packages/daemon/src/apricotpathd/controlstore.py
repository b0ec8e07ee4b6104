"""Reads and conditional writes of the store's control keys."""

import json
from collections.abc import Sequence
from typing import Any

from apricotpath.ids import DataCentreId, EntryId, ServiceId, ShardId
from apricotpath.store import (
    Compare,
    LeaseId,
    Put,
    Store,
    TxnResult,
    new_token,
    settled_txn,
)
from apricotpathd.controlrecords import build_view
from apricotpathd.controlview import ControlView


class ControlStore:
    """The control keys under one prefix of the store."""

    def __init__(self, store: Store, prefix: str) -> None:
        self.store = store
        self.prefix = prefix
        self.bundle_key = f"{prefix}bundle"

    def entry_key(self, entry: EntryId) -> str:
        """Return the key of an entry's record."""
        return f"{self.prefix}entry/{entry}"

    def shard_key(self, shard: ShardId) -> str:
        """Return the key of a shard's owner."""
        return f"{self.prefix}shard/{shard}"

    def status_key(self, data_centre: DataCentreId) -> str:
        """Return the key of a data centre's status."""
        return f"{self.prefix}dc/{data_centre}"

    def service_key(self, service: ServiceId) -> str:
        """Return the key of a service's founders."""
        return f"{self.prefix}service/{service}"

    async def read_view(self, started: float) -> ControlView:
        """Read the control keys in two range calls that leave out the journals between them.

        `started` is the monotonic time in seconds. Raises StoreError.
        """
        low = await self.store.range(self.prefix, f"{self.prefix}journal/")
        high = await self.store.range(f"{self.prefix}service/", f"{self.prefix}shard0")
        return build_view((*low.items, *high.items), self.prefix, low.revision, started)

    async def compare_and_swap(
        self,
        key: str,
        expected: int,
        content: dict[str, Any],
        compares: Sequence[Compare] = (),
        lease: LeaseId | None = None,
    ) -> TxnResult:
        """Put a JSON value with a writer token if the key's mod revision is `expected`.

        On success, the revision of the result is the key's new mod revision. Raises
        StoreUnavailable or StoreLimited (both without effect), or StoreOutcomeUnknown.
        """
        token = new_token()
        put = Put(key, json.dumps(content | {"token": token}).encode(), lease)
        conditions = (*compares, Compare(key, expected))
        return await settled_txn(self.store, conditions, (put,), key, token)
