"""Reading of the run log from the store: keys, the snapshot, and the entries after it."""

import logging
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import groupby

from apricotpath.errors import InputError
from apricotpath.jsonfields import parse_object, read_int
from apricotpath.jsontext import json_bytes
from apricotpath.mirror import WatchableStore
from apricotpath.pagedread import PagedRead, ReadProgress
from apricotpath.store import KeyValue, new_token

log = logging.getLogger(__name__)

# Digits of the numbers in keys, so that keys sort as their numbers do.
SEQ_DIGITS = 12


@dataclass(frozen=True, slots=True)
class RunLogKeys:
    """Keys of a run log in the store."""

    prefix: str

    @property
    def head(self) -> str:
        """Key that names the newest complete snapshot."""
        return f"{self.prefix}snapshot"

    @property
    def parts(self) -> str:
        """Prefix of the parts of all snapshots."""
        return f"{self.prefix}parts/"

    @property
    def entries(self) -> str:
        """Prefix of all log entries."""
        return f"{self.prefix}log/"

    def entry(self, seq: int) -> str:
        """Return the key of a log entry."""
        return f"{self.entries}{seq:0{SEQ_DIGITS}d}"

    def parts_of(self, seq: int) -> str:
        """Return the prefix of the parts of the snapshot that ends with a log entry."""
        return f"{self.parts}{seq:0{SEQ_DIGITS}d}/"

    def part(self, seq: int, number: int) -> str:
        """Return the key of one part of a snapshot."""
        return f"{self.parts_of(seq)}{number:06d}"

    def entry_seq(self, key: str) -> int | None:
        """Return the number in the key of a log entry; None if it has another form."""
        digits = key.rpartition("/")[2]
        if digits.isdecimal() and key == self.entry(int(digits)):
            return int(digits)
        return None

    def part_seq(self, key: str) -> int | None:
        """Return the snapshot's number in the key of a part; None if it has another form."""
        digits = key.removeprefix(self.parts).partition("/")[0]
        if digits.isdecimal() and key.startswith(self.parts_of(int(digits))):
            return int(digits)
        return None


@dataclass(frozen=True, slots=True)
class SnapshotHead:
    """The number of the newest snapshot, and of how many parts it consists.

    `parts` is None if the head does not tell it, as in logs of earlier versions.
    """

    seq: int
    parts: int | None

    def encode(self) -> bytes:
        """Return the JSON form with a new writer token."""
        return json_bytes({"token": new_token(), "seq": self.seq, "parts": self.parts})

    @classmethod
    def parse(cls, value: bytes) -> "SnapshotHead":
        """Parse the JSON form, or raise InputError."""
        content = parse_object(value, "the snapshot's head")
        seq = read_int(content, "seq")
        parts = read_int(content, "parts", low=1) if "parts" in content else None
        return cls(seq, parts)

    def lacks_parts(self, found: int) -> bool:
        """Tell whether `found` parts are too few; there is always at least one."""
        return found < (1 if self.parts is None else self.parts)


# Stands for the head of a log without a snapshot.
NO_SNAPSHOT = SnapshotHead(0, 0)


@dataclass(frozen=True, slots=True)
class StoredLog:
    """What a run log consists of: the parts of its snapshot, and the entries after it by number.

    `snapshot_seq` is the number of the last entry that the snapshot contains, and
    `head_revision` the mod revision of the head, 0 if there is none.
    """

    snapshot_seq: int
    head_revision: int
    parts: tuple[KeyValue, ...]
    entries: Mapping[int, KeyValue]


class RunLogReader:
    """Reads a run log that nobody else can write; what was read is kept when a call fails."""

    def __init__(self, store: WatchableStore, keys: RunLogKeys, progress: ReadProgress) -> None:
        self._store, self._keys, self._progress = store, keys, progress
        self._heads: list[KeyValue | None] = []
        self._reads: dict[tuple[str, str], PagedRead] = {}

    async def read(self) -> StoredLog:
        """Return the run log; call it again after a StoreError to continue.

        Only the newest snapshot and the entries after it are read, unless the head that names it
        is malformed, parts of it are missing, or the entries right after it are.
        """
        if not self._heads:
            self._heads.append(await self._store.get(self._keys.head))
        item = self._heads[0]
        revision = item.mod_revision if item is not None else 0
        head = self._parse_head(item)
        stored = await self._read_named(head, revision) if head is not None else None
        return stored or await self._read_best(head, revision)

    def _parse_head(self, item: KeyValue | None) -> SnapshotHead | None:
        """Return the head; None if it is malformed."""
        if item is None:
            return NO_SNAPSHOT
        try:
            return SnapshotHead.parse(item.value)
        except InputError as exc:
            log.error("malformed head of a snapshot ignored: %s", exc)
            return None

    async def _read_named(self, head: SnapshotHead, revision: int) -> StoredLog | None:
        """Read the snapshot that the head names, and what follows; None if that is superseded.

        It may be if it lacks parts, or if the entry right after it is gone: entries are removed
        once a newer snapshot is complete, in order but for those that are held for a while.
        With other gaps, a newer one need not be whole.
        """
        parts: tuple[KeyValue, ...] = ()
        if head is not NO_SNAPSHOT:
            parts = self._counted(head, await self._range(self._keys.parts_of(head.seq)))
        if head.lacks_parts(len(parts)):
            numbers = {"snapshot": head.seq, "found": len(parts), "parts": head.parts}
            log.error("the newest snapshot of the run log lacks parts", extra=numbers)
            return None
        entries = await self._entries_after(head.seq)
        missing = _count_missing(head.seq, max(entries, default=head.seq), entries)
        if missing:
            numbers = {"snapshot": head.seq, "entries": len(entries), "missing": missing}
            log.error("the run log lacks entries after its newest snapshot", extra=numbers)
            if head.seq + 1 not in entries:
                return None
        return StoredLog(head.seq, revision, parts, entries)

    def _counted(self, head: SnapshotHead, parts: Iterable[KeyValue]) -> tuple[KeyValue, ...]:
        """Return the parts that the head counts.

        A longer snapshot that was not completed may have left others at the same place.
        """
        if head.parts is None:
            return tuple(parts)
        end = self._keys.part(head.seq, head.parts)
        return tuple(item for item in parts if item.key < end)

    async def _range(self, prefix: str, after: str = "") -> tuple[KeyValue, ...]:
        key = (prefix, after)
        if key not in self._reads:
            self._reads[key] = PagedRead(self._store, prefix, self._progress, after)
        return (await self._reads[key].finish()).items

    async def _entries_after(self, seq: int) -> dict[int, KeyValue]:
        after = self._keys.entry(seq) if seq else ""
        return self._numbered(await self._range(self._keys.entries, after))

    def _numbered(self, items: Iterable[KeyValue]) -> dict[int, KeyValue]:
        """Return the log entries by number, in order; keys of another form are left out."""
        numbered = {}
        for item in items:
            seq = self._keys.entry_seq(item.key)
            if seq is not None:
                numbered[seq] = item
            else:
                log.error("malformed key in the run log ignored", extra={"key": item.key})
        return dict(sorted(numbered.items()))

    async def _read_best(self, head: SnapshotHead | None, revision: int) -> StoredLog:
        """Read all keys, and take the oldest snapshot that the log continues with fewest gaps.

        A newer one may be incomplete, and the parts of an older one are removed after the
        entries between.
        """
        parts = self._by_snapshot(await self._range(self._keys.parts))
        entries = await self._entries_after(0)
        lacking: int | None = None
        if head is not None and head.seq in parts:
            parts[head.seq] = self._counted(head, parts[head.seq])
            lacking = head.seq if head.lacks_parts(len(parts[head.seq])) else None
        # A snapshot begins after the entry of its number has been written.
        last = max([*parts, *entries])
        missing = {seq: _count_missing(seq, last, entries) for seq in parts}
        seq = min(parts, key=lambda seq: (missing[seq], seq == lacking, seq))
        later = {number: item for number, item in entries.items() if number > seq}
        numbers = {"snapshot": seq, "entries": len(later), "missing": missing[seq]}
        log.error("run log loaded by its parts and entries instead of its head", extra=numbers)
        return StoredLog(seq, revision, parts[seq], later)

    def _by_snapshot(self, items: Iterable[KeyValue]) -> dict[int, tuple[KeyValue, ...]]:
        """Return the parts, which are in order, by the number of their snapshot.

        0 stands for the beginning of the log.
        """
        found: dict[int, tuple[KeyValue, ...]] = {0: ()}
        for seq, group in groupby(items, lambda item: self._keys.part_seq(item.key)):
            if seq is not None:
                found[seq] = tuple(group)
        return found


def _count_missing(first: int, last: int, entries: Collection[int]) -> int:
    """Return how many entries after number `first` and up to `last` are not there."""
    return last - first - sum(first < number <= last for number in entries)


async def find_obsolete(
    store: WatchableStore, keys: RunLogKeys, snapshot_seq: int, own_seqs: Sequence[int]
) -> list[str]:
    """Return the keys that earlier schedulers left behind, in the order of their removal.

    These are the entries up to the snapshot that was loaded, and parts of other snapshots than
    that one and those of `own_seqs`. `RunLogReader` relies on log entries being removed before
    the parts they follow. Raises StoreError.
    """
    obsolete: list[str] = []
    progress = ReadProgress()
    entries = PagedRead(store, keys.entries, progress)
    end = keys.entry(snapshot_seq)
    while entries.more and entries.last_key < end:
        items = await entries.next_page()
        obsolete += [item.key for item in items if keys.entry_seq(item.key) and item.key <= end]
    parts = PagedRead(store, keys.parts, progress)
    kept = tuple(keys.parts_of(seq) for seq in (snapshot_seq, *own_seqs))
    while parts.more:
        items = await parts.next_page()
        obsolete += [item.key for item in items if not item.key.startswith(kept)]
    return obsolete
