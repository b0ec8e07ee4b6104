"""The scheduler's run log in the store: fenced appends, snapshots and loading."""

import json
import logging
from collections import deque
from collections.abc import Iterable, Sequence

import anyio
import anyio.lowlevel

from apricotpath.errors import (
    FencedError,
    StoreError,
    StoreLimited,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from apricotpath.jsontext import json_bytes
from apricotpath.runrecords import RunRecord, from_row, to_row
from apricotpath.store import Compare, Delete, Put, Store, new_token, settle_delays

log = logging.getLogger(__name__)

# Entries that a store transaction may have, compares included.
MAX_TXN_ENTRIES = 32
# Entries that every append needs: two compares and one put.
APPEND_ENTRIES = 3
# Operations that a caller may add to one append.
MAX_EXTRA = 20
MAX_PART_BYTES = 512 << 10
# Records handled at a time; other tasks of the process, such as lease renewals, run in between.
RECORDS_PER_SLICE = 200
# Log entries after which a snapshot is due.
SNAPSHOT_EVERY = 1500


class RunLog:
    """Log of one scheduler epoch; every append compares the epoch's key.

    A scheduler of an earlier epoch therefore cannot write. Appends must not run
    concurrently.
    """

    def __init__(self, store: Store, prefix: str, epoch_key: str, epoch_revision: int) -> None:
        self.store = store
        self.entries = 0
        self._prefix = prefix
        self._epoch = Compare(epoch_key, epoch_revision)
        self._seq = 0
        self._obsolete: deque[str] = deque()

    async def load(self) -> list[RunRecord]:
        """Return all records, oldest first: those of the snapshot, then those of the log."""
        values: list[bytes] = []
        head = await self.store.get(f"{self._prefix}snapshot")
        after = 0
        if head is not None:
            after = int(json.loads(head.value)["seq"])
        parts = await self.store.range(f"{self._prefix}parts/")
        for item in parts.items:
            if item.key.startswith(self._part_prefix(after)):
                values.append(item.value)
            else:
                self._obsolete.append(item.key)
        entries = await self.store.range(f"{self._prefix}log/")
        self._seq = after
        for item in entries.items:
            seq = int(item.key.rsplit("/", 1)[1])
            if seq <= after:
                self._obsolete.append(item.key)
                continue
            values.append(item.value)
            self._seq = seq
            self.entries += 1
        return await self._decode(values)

    async def append(
        self, records: Sequence[RunRecord], extra: Sequence[Put | Delete] = ()
    ) -> None:
        """Write the records and extra operations in one transaction; return once durable.

        Retries while the store is unavailable. Raises FencedError if a newer
        scheduler has taken over; nothing of this call is written then.
        """
        self._seq += 1
        key = f"{self._prefix}log/{self._seq:012d}"
        value = {"token": new_token(), "records": [to_row(record) for record in records]}
        operations: list[Put | Delete] = [Put(key, json_bytes(value)), *extra]
        free_entries = MAX_TXN_ENTRIES - APPEND_ENTRIES - len(extra)
        removed = [self._obsolete.popleft() for _ in range(min(free_entries, len(self._obsolete)))]
        operations += [Delete(obsolete) for obsolete in removed]
        await self._write(key, [Compare(key, 0)], operations)
        self.entries += 1

    async def snapshot(self, records: Iterable[RunRecord]) -> None:
        """Replace the log by records that rebuild the same state; raises like `append`."""
        seq = self._seq
        parts: list[list[object]] = [[]]
        size = 0
        for record in records:
            row = to_row(record)
            size += len(json_bytes(row)) + 1
            if size > MAX_PART_BYTES:
                parts.append([])
                size = 0
            parts[-1].append(row)
        for number, rows in enumerate(parts):
            key = f"{self._part_prefix(seq)}{number:06d}"
            part = {"token": new_token(), "records": rows}
            await self._write(key, [], [Put(key, json_bytes(part))])
        head = f"{self._prefix}snapshot"
        old_parts = await self._old_parts(seq)
        await self._write(head, [], [Put(head, json_bytes({"token": new_token(), "seq": seq}))])
        first = seq - self.entries + 1
        self._obsolete += [f"{self._prefix}log/{old:012d}" for old in range(first, seq + 1)]
        self._obsolete += old_parts
        self.entries = 0

    async def _old_parts(self, seq: int) -> list[str]:
        while True:
            try:
                result = await self.store.range(f"{self._prefix}parts/")
            except (StoreUnavailable, StoreLimited):
                await anyio.sleep(0.1)
                continue
            new = self._part_prefix(seq)
            return [item.key for item in result.items if not item.key.startswith(new)]

    def _part_prefix(self, seq: int) -> str:
        return f"{self._prefix}parts/{seq:012d}/"

    async def _write(
        self, key: str, compares: Sequence[Compare], operations: Sequence[Put | Delete]
    ) -> None:
        """Write one transaction that puts `key`; retries until the outcome is certain."""
        expected = next(op.value for op in operations if isinstance(op, Put) and op.key == key)
        unknown = False
        delays = settle_delays()
        while True:
            try:
                result = await self.store.txn([self._epoch, *compares], operations)
                if result.succeeded:
                    return
                if unknown or compares:
                    item = await self.store.get(key)
                    # An earlier attempt whose answer was lost has taken effect.
                    if item is not None and item.value == expected:
                        return
                raise FencedError("a newer scheduler has taken over; nothing was written")
            except StoreOutcomeUnknown:
                unknown = True
            except FencedError:
                raise
            except (StoreUnavailable, StoreLimited):
                pass
            except StoreError as exc:
                log.error("store rejected the write, retrying: %s", exc)
            await anyio.sleep(next(delays))

    async def _decode(self, values: Iterable[bytes]) -> list[RunRecord]:
        records: list[RunRecord] = []
        for value in values:
            for row in json.loads(value)["records"]:
                records.append(from_row(row))
                if len(records) % RECORDS_PER_SLICE == 0:
                    await anyio.lowlevel.checkpoint()
        return records
