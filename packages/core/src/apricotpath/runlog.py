"""The scheduler's run log in the store: fenced appends, snapshots and loading."""

import logging
from collections import deque
from collections.abc import Iterable, Iterator, Mapping, Sequence

import anyio
import anyio.lowlevel

from apricotpath.errors import (
    FencedError,
    InputError,
    StoreError,
    StoreLimited,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from apricotpath.jsonfields import parse_object, read_int, read_list
from apricotpath.jsontext import json_bytes
from apricotpath.runrecords import RunRecord, from_row, to_row
from apricotpath.store import Compare, Delete, KeyValue, Put, Store, new_token, settle_delays

log = logging.getLogger(__name__)

# Entries that a store transaction may have, compares included.
MAX_TXN_ENTRIES = 32
# Digits of the numbers in keys, so that keys sort as their numbers do.
SEQ_DIGITS = 12
# Entries that every append needs: two compares and one put.
APPEND_ENTRIES = 3
# Operations that a caller may add to one append.
MAX_EXTRA = 20
MAX_PART_BYTES = 512 << 10
# Records handled at a time; other tasks of the process, such as lease renewals, run in between.
RECORDS_PER_SLICE = 200
LIST_RETRY_S = 0.1
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
        """Return all records, oldest first: those of the snapshot, then those of the log.

        Malformed records are logged and left out; the hosts' reports then show what runs.
        """
        head = await self.store.get(f"{self._prefix}snapshot")
        parts = await self.store.range(f"{self._prefix}parts/")
        entries = self._entries((await self.store.range(f"{self._prefix}log/")).items)
        after = self._snapshot_seq(head, parts.items, entries)
        part_prefix = self._part_prefix(after)
        items = [item for item in parts.items if item.key.startswith(part_prefix)]
        self._seq = after
        for seq, item in entries.items():
            if seq > after:
                items.append(item)
                self._seq = seq
                self.entries += 1
        # `_snapshot_seq` relies on log entries being removed before the parts they follow.
        self._obsolete += [item.key for seq, item in entries.items() if seq <= after]
        self._obsolete += [item.key for item in parts.items if not item.key.startswith(part_prefix)]
        return await self._decode(items)

    def _entries(self, items: Iterable[KeyValue]) -> dict[int, KeyValue]:
        """Return the log entries by number, in order; keys of another form are left out."""
        numbered = {}
        for item in items:
            digits = item.key.rpartition("/")[2]
            if digits.isdecimal() and item.key == self._entry_key(int(digits)):
                numbered[int(digits)] = item
            else:
                log.error("malformed key in the run log ignored", extra={"key": item.key})
        return dict(sorted(numbered.items()))

    def _snapshot_seq(
        self, head: KeyValue | None, parts: Sequence[KeyValue], entries: Mapping[int, KeyValue]
    ) -> int:
        """Return the number of the last log entry that the newest complete snapshot contains.

        With a malformed head, the oldest snapshot that the log continues is taken: a newer one
        may be incomplete, and the parts of an older one are removed after the entries between.
        """
        if head is None:
            return 0
        found = {0, *(self._part_seq(item.key) for item in parts)}
        try:
            seq = read_int(parse_object(head.value, "the snapshot's head"), "seq")
            if seq in found:
                return seq
            log.error("head of a snapshot without parts ignored", extra={"seq": seq})
        except InputError as exc:
            log.error("malformed head of a snapshot ignored: %s", exc)
        continued = [seq for seq in found if seq + 1 in entries]
        return min(continued) if continued else max(found)

    def _part_seq(self, key: str) -> int:
        """Return the number in the key of a snapshot's part; 0 if it has another form."""
        digits = key.removeprefix(f"{self._prefix}parts/").partition("/")[0]
        return int(digits) if digits.isdecimal() and len(digits) == SEQ_DIGITS else 0

    async def append(
        self, records: Sequence[RunRecord], extra: Sequence[Put | Delete] = ()
    ) -> None:
        """Write the records and extra operations in one transaction; return once durable.

        Retries while the store is unavailable. Raises FencedError if a newer
        scheduler has taken over; nothing of this call is written then.
        """
        self._seq += 1
        key = self._entry_key(self._seq)
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
        self._obsolete += [self._entry_key(old) for old in range(first, seq + 1)]
        self._obsolete += old_parts
        self.entries = 0

    async def _old_parts(self, seq: int) -> list[str]:
        while True:
            try:
                result = await self.store.range(f"{self._prefix}parts/")
            except StoreError as exc:
                log.info("parts of the snapshot not listed: %s", exc)
                await anyio.sleep(LIST_RETRY_S)
                continue
            new = self._part_prefix(seq)
            return [item.key for item in result.items if not item.key.startswith(new)]

    def _entry_key(self, seq: int) -> str:
        return f"{self._prefix}log/{seq:0{SEQ_DIGITS}d}"

    def _part_prefix(self, seq: int) -> str:
        return f"{self._prefix}parts/{seq:0{SEQ_DIGITS}d}/"

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

    @staticmethod
    async def _decode(items: Iterable[KeyValue]) -> list[RunRecord]:
        """Return the records of all items; other tasks run meanwhile."""
        records: list[RunRecord] = []
        for item in items:
            for record in decode_records(item):
                records.append(record)
                if len(records) % RECORDS_PER_SLICE == 0:
                    await anyio.lowlevel.checkpoint()
        return records


def decode_records(item: KeyValue) -> Iterator[RunRecord]:
    """Yield the records of a log entry or of a part of a snapshot; malformed ones are left out."""
    try:
        rows = read_list(parse_object(item.value, "the records"), "records")
    except InputError as exc:
        log.error("malformed entry of the run log ignored: %s", exc, extra={"key": item.key})
        return
    for row in rows:
        try:
            yield from_row(row)
        except InputError as exc:
            log.error("malformed record of the run log ignored: %s", exc, extra={"key": item.key})
