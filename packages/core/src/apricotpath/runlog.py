"""The scheduler's run log in the store: fenced appends, snapshots and loading."""

import logging
from collections import deque
from collections.abc import AsyncIterator, Iterable, Iterator, Sequence
from contextlib import suppress
from dataclasses import dataclass

import anyio
import anyio.lowlevel

from apricotpath.boottime import boot_s
from apricotpath.errors import (
    FencedError,
    InputError,
    StoreError,
    StoreLimited,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from apricotpath.jsonfields import parse_object, read_list
from apricotpath.jsontext import json_bytes
from apricotpath.mirror import WatchableStore
from apricotpath.pagedread import ReadProgress
from apricotpath.runlogreader import RunLogKeys, RunLogReader, SnapshotHead, find_obsolete
from apricotpath.runrecords import RunRecord, from_row, to_row
from apricotpath.store import Compare, Delete, KeyValue, Put, new_token, settle_delays

log = logging.getLogger(__name__)

# Entries that a store transaction may have, compares included.
MAX_TXN_ENTRIES = 32
# Entries that every append needs: two compares and one put.
APPEND_ENTRIES = 3
# Operations that a caller may add to one append.
MAX_EXTRA = 20
# Records of one transaction, so that it is written in less than the time limit of a call also
# over a narrow link.
MAX_WRITE_BYTES = 64 << 10
# Records handled at a time; other tasks of the process, such as lease renewals, run in between.
RECORDS_PER_SLICE = 200
LIST_RETRY_S = 0.5
# An attempt of a write that got no answer has no effect any more after this time.
LATE_WRITE_S = 600.0
# A snapshot is due after so many log entries, or once the log is larger than the last snapshot
# and than MIN_LOG_BYTES; what a successor reads thus grows with the open work only.
SNAPSHOT_EVERY = 1500
MIN_LOG_BYTES = 128 << 10


@dataclass(frozen=True, slots=True)
class LogPosition:
    """The last entry of a run log, and how much was appended since its newest snapshot."""

    seq: int
    entries: int
    log_bytes: int


class RunLog:
    """Log of one scheduler epoch; every append compares the epoch's key.

    A scheduler of an earlier epoch therefore cannot write. Each write of a snapshot also
    compares the head that the snapshot replaces, so that none can take effect after the head of
    that snapshot or of a later one. Appends must not run concurrently, and snapshots neither, but
    a snapshot may run beside appends.

    `entries` and `log_bytes` count what was appended since the newest snapshot.
    """

    def __init__(
        self,
        store: WatchableStore,
        prefix: str,
        epoch_key: str,
        epoch_revision: int,
        progress: ReadProgress | None = None,
    ) -> None:
        self.store = store
        self.entries = self.log_bytes = 0
        self._snapshot_bytes = 0
        self._keys = RunLogKeys(prefix)
        self._reader = RunLogReader(store, self._keys, progress or ReadProgress())
        self._epoch = Compare(epoch_key, epoch_revision)
        self._seq = self._loaded_snapshot = self._head_revision = 0
        self._own_snapshots: list[int] = []
        # Parts of the newest snapshot.
        self._part_keys: list[str] = []
        # When (boot-clock seconds) the last unanswered attempt of an append ended, by its key.
        self._unanswered: dict[str, float] = {}
        self._obsolete: deque[str] = deque()
        # Obsolete entries that must stay for a while, as an attempt may still take effect.
        self._held: deque[str] = deque()
        self._obsolete_known = False

    @property
    def snapshot_due(self) -> bool:
        """Whether the log has grown so long that a snapshot should replace it.

        Obsolete keys of earlier schedulers are removed before those of this one.
        """
        limit = max(MIN_LOG_BYTES, self._snapshot_bytes)
        is_long = self.entries > SNAPSHOT_EVERY or self.log_bytes > limit
        return is_long and self._obsolete_known

    async def load(self) -> list[RunRecord]:
        """Return all records, oldest first: those of the snapshot, then those of the log.

        Malformed records are logged and left out; the hosts' reports then show what runs.
        Call it again after a StoreError; it keeps what was read.
        """
        stored = await self._reader.read()
        self._loaded_snapshot = stored.snapshot_seq
        self._head_revision = stored.head_revision
        self._seq = max(stored.entries, default=stored.snapshot_seq)
        self.entries = len(stored.entries)
        self.log_bytes = sum(len(item.value) for item in stored.entries.values())
        self._snapshot_bytes = sum(len(item.value) for item in stored.parts)
        self._part_keys = [item.key for item in stored.parts]
        return await self._decode([*stored.parts, *stored.entries.values()])

    async def find_obsolete(self) -> None:
        """Find what earlier schedulers left behind, for appends to remove; retries for good."""
        while True:
            try:
                self._obsolete += await find_obsolete(
                    self.store, self._keys, self._loaded_snapshot, self._own_snapshots
                )
                self._obsolete_known = True
                return
            except StoreError as exc:
                log.info("obsolete keys of the run log not listed: %s", exc)
                await anyio.sleep(LIST_RETRY_S)

    async def append(
        self, records: Sequence[RunRecord], extra: Sequence[Put | Delete] = ()
    ) -> None:
        """Write the records and extra operations; return once all are durable.

        The extra operations take effect together with the last records, at least as many as
        there are operations. Earlier records may precede them in transactions of their own,
        which hold at most MAX_WRITE_BYTES. Retries while the store is unavailable. Raises
        FencedError if a newer scheduler has taken over; the last records and the extra
        operations are not written then.
        """
        rows: list[bytes] = []
        size = 0
        left = len(records) - len(extra)
        for number, record in enumerate(records, 1):
            row = json_bytes(to_row(record))
            size += len(row) + 1
            if rows and number <= left and size > MAX_WRITE_BYTES:
                await self._append_entry(rows, ())
                rows, size = [], len(row) + 1
            rows.append(row)
            if number % RECORDS_PER_SLICE == 0:
                await anyio.lowlevel.checkpoint()
        await self._append_entry(rows, extra)

    async def _append_entry(self, rows: Sequence[bytes], extra: Sequence[Put | Delete]) -> None:
        """Write one log entry, and remove obsolete keys in the same transaction."""
        self._seq += 1
        key = self._keys.entry(self._seq)
        value = _entry_value(rows)
        self._release_held()
        free_entries = MAX_TXN_ENTRIES - APPEND_ENTRIES - len(extra)
        removed = [self._obsolete.popleft() for _ in range(min(free_entries, len(self._obsolete)))]
        deletes = [Delete(obsolete) for obsolete in removed]
        await self._write(Put(key, value), Compare(key, 0), [*extra, *deletes])
        self.entries += 1
        self.log_bytes += len(value)

    def _release_held(self) -> None:
        """Make held entries obsolete once no attempt to write them can take effect."""
        due = boot_s() - LATE_WRITE_S
        while self._held and self._unanswered[self._held[0]] < due:
            key = self._held.popleft()
            del self._unanswered[key]
            self._obsolete.append(key)

    def position(self) -> LogPosition:
        """Return the present end of the log for a snapshot there; no append may be in progress.

        An earlier snapshot at this position that was not completed has the same keys, which
        are not obsolete any more.
        """
        parts = self._keys.parts_of(self._seq)
        self._obsolete = deque(key for key in self._obsolete if not key.startswith(parts))
        return LogPosition(self._seq, self.entries, self.log_bytes)

    async def snapshot(self, records: Sequence[RunRecord], position: LogPosition) -> None:
        """Replace the log up to a position by records that rebuild the state there.

        Entries that were appended since then stay, and so do those of which an attempt was not
        answered: while the key is there, the attempt cannot take effect. They are removed
        LATE_WRITE_S later. Raises FencedError if a newer scheduler has taken over, or if
        another writer has changed the head; parts may be written then.
        """
        seq = position.seq
        self._own_snapshots.append(seq)
        try:
            part_keys, size = await self._write_snapshot(seq, records)
        except FencedError:
            # Without a newer scheduler, somebody else has changed the head.
            await self._read_head_revision()
            raise
        first = seq - position.entries + 1
        replaced = [self._keys.entry(old) for old in range(first, seq + 1)]
        self._held += [key for key in replaced if key in self._unanswered]
        self._obsolete += [key for key in replaced if key not in self._unanswered]
        self._obsolete += [key for key in self._part_keys if key not in part_keys]
        self._part_keys, self._snapshot_bytes = part_keys, size
        self.entries -= position.entries
        self.log_bytes -= position.log_bytes

    async def _write_snapshot(
        self, seq: int, records: Sequence[RunRecord]
    ) -> tuple[list[str], int]:
        """Write parts and head; return the keys of the parts, and the size of all in bytes."""
        former_head = Compare(self._keys.head, self._head_revision)
        part_keys: list[str] = []
        size = 0
        async for rows in _parts(records):
            part_keys.append(self._keys.part(seq, len(part_keys)))
            value = _entry_value(rows)
            size += len(value)
            await self._write(Put(part_keys[-1], value), former_head)
        head = SnapshotHead(seq, len(part_keys)).encode()
        self._head_revision = await self._write(Put(self._keys.head, head), former_head)
        return part_keys, size

    async def _read_head_revision(self) -> None:
        """Set the revision that the next snapshot compares; a failed read leaves it unchanged."""
        with suppress(StoreError):
            item = await self.store.get(self._keys.head)
            self._head_revision = item.mod_revision if item is not None else 0

    async def _write(self, put: Put, compare: Compare, others: Sequence[Put | Delete] = ()) -> int:
        """Write one transaction; retries until the outcome is certain.

        Returns the mod revision of the key that `put` sets. An unanswered attempt may take effect
        later, as long as `compare` is true and the epoch lasts. Raises FencedError if the epoch or
        the compared key has changed.
        """
        delays = settle_delays()
        while True:
            try:
                result = await self.store.txn([self._epoch, compare], [put, *others])
                if result.succeeded:
                    return result.revision
                item = await self.store.get(put.key)
                # An earlier attempt whose answer was lost has taken effect.
                if item is not None and item.value == put.value:
                    return item.mod_revision
                raise FencedError("the epoch or the compared key has changed; nothing was written")
            except FencedError:
                raise
            except StoreOutcomeUnknown:
                if put.key.startswith(self._keys.entries):
                    self._unanswered[put.key] = boot_s()
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


def _entry_value(rows: Sequence[bytes]) -> bytes:
    """Return the JSON text of a log entry, or of a part of a snapshot, with the given records."""
    return b'{"token":"%s","records":[%s]}' % (new_token().encode(), b",".join(rows))


async def _parts(records: Sequence[RunRecord]) -> AsyncIterator[list[bytes]]:
    """Yield the JSON rows of records, at most MAX_WRITE_BYTES at a time; other tasks run meanwhile.

    There is at least one part, so that a snapshot without records is told from a missing one.
    """
    part: list[bytes] = []
    size = 0
    for number, record in enumerate(records, 1):
        row = json_bytes(to_row(record))
        if size + len(row) >= MAX_WRITE_BYTES and part:
            yield part
            part, size = [], 0
        part.append(row)
        size += len(row) + 1
        if number % RECORDS_PER_SLICE == 0:
            await anyio.lowlevel.checkpoint()
    yield part


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
