"""Reading of the run log from the store: keys, the snapshot, and the entries after it."""

import logging
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from apricotpath.errors import InputError
from apricotpath.jsonfields import parse_object, read_int
from apricotpath.mirror import WatchableStore
from apricotpath.pagedread import PagedRead, ReadProgress
from apricotpath.store import KeyValue

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

    def part_seq(self, key: str) -> int:
        """Return the snapshot's number in the key of a part; 0 if it has another form."""
        digits = key.removeprefix(self.parts).partition("/")[0]
        return int(digits) if digits.isdecimal() and len(digits) == SEQ_DIGITS else 0


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

        Only the newest complete snapshot and the entries after it are read, unless the head
        that names it is malformed.
        """
        if not self._heads:
            self._heads.append(await self._store.get(self._keys.head))
        head = self._heads[0]
        revision = head.mod_revision if head is not None else 0
        seq = 0 if head is None else self._head_seq(head)
        if seq is not None:
            parts = await self._range(self._keys.parts_of(seq)) if head is not None else ()
            if parts or not seq:
                return StoredLog(seq, revision, parts, await self._entries_after(seq))
            log.error("head of a snapshot without parts ignored", extra={"seq": seq})
        return await self._read_without_head(revision)

    def _head_seq(self, head: KeyValue) -> int | None:
        try:
            return read_int(parse_object(head.value, "the snapshot's head"), "seq")
        except InputError as exc:
            log.error("malformed head of a snapshot ignored: %s", exc)
            return None

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

    async def _read_without_head(self, head_revision: int) -> StoredLog:
        """Read all keys, and take the oldest snapshot that the log continues.

        A newer one may be incomplete, and the parts of an older one are removed after the
        entries between.
        """
        parts = await self._range(self._keys.parts)
        entries = await self._entries_after(0)
        found = {0, *(self._keys.part_seq(item.key) for item in parts)}
        continued = [seq for seq in found if seq + 1 in entries]
        seq = min(continued) if continued else max(found)
        own_parts = tuple(item for item in parts if item.key.startswith(self._keys.parts_of(seq)))
        later = {number: item for number, item in entries.items() if number > seq}
        return StoredLog(seq, head_revision, own_parts, later)


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
