"""Journal of one shard in the store: group commit, snapshots, replay."""

import json
import logging
import random
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any, NewType

import anyio

from apricotpath.config import PolicySettings
from apricotpath.errors import (
    FencedError,
    InputError,
    StoreError,
    StoreLimited,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from apricotpath.ids import Epoch, ShardId
from apricotpath.jsontext import compact_json
from apricotpath.store import (
    Compare,
    Delete,
    KeyValue,
    Put,
    Store,
    TokenState,
    find_token,
    new_token,
    settle_delays,
    settled_txn,
)

log = logging.getLogger(__name__)

# Version of the values; a process refuses values of a newer version.
JOURNAL_VERSION = 1
# The store takes values up to 1 MB; the rest is left for the fields around the records.
MAX_VALUE_BYTES = 900_000
# Encoded records that may wait to be written; more are refused as not written.
MAX_QUEUED_BYTES = 8 << 20
# Callers wait this long for a lost answer to be settled, then get the error that the
# outcome is unknown. The journal itself goes on settling, since nothing may be written
# after a gap.
SETTLE_WAIT_S = 10.0
# A write that the store refuses because of its rate limit is repeated for this long.
LIMITED_WAIT_S = 5.0
SEQ_DIGITS = 16
PART_DIGITS = 5

Seq = NewType("Seq", int)


# One record: a JSON object. What it means is up to the caller (see `apricotpath.records`).
JsonRecord = dict[str, Any]


@dataclass(slots=True, eq=False)
class _Pending:
    """Records of one `append` call until their outcome is known."""

    records: tuple[JsonRecord, ...]
    texts: tuple[str, ...]
    size: int
    done: anyio.Event = field(default_factory=anyio.Event)
    error: StoreError | None = None
    seq: Seq = Seq(0)
    # The caller has returned or was cancelled; a late success goes to `on_late`.
    released: bool = False

    def settle(self, error: StoreError | None = None) -> None:
        """Give the caller its outcome; only the first one counts."""
        if not self.done.is_set():
            self.error = error
            self.done.set()


class Journal:
    """Journal of a shard, written by the owner of one epoch; `run` must be running.

    `shard_revision` is the mod revision of `shard/<n>` when this owner
    acquired it. Every transaction compares it, so a former owner cannot write.
    `on_late` is called with records that turned out durable after their
    caller was cancelled or heard that the outcome is unknown.
    """

    def __init__(
        self,
        store: Store,
        shard: ShardId,
        epoch: Epoch,
        shard_revision: int,
        cfg: PolicySettings,
        prefix: str = "/apricotpath/",
        on_late: Callable[[Sequence[JsonRecord]], None] | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.store = store
        self.shard = shard
        self.epoch = epoch
        self.cfg = cfg
        self.fenced = False
        self.writes = 0
        self.records_written = 0
        self._on_late = on_late
        self._rng = rng or random.Random()
        self._owner = Compare(f"{prefix}shard/{shard}", shard_revision)
        self._root = f"{prefix}journal/{shard}/"
        self._next = Seq(1)
        self._last = Seq(0)
        self._loaded = False
        self._queue: deque[_Pending] = deque()
        self._queued_bytes = 0
        self._wake = anyio.Event()
        # Durable batches whose callers have not all returned, oldest first.
        self._unreturned: deque[tuple[Seq, list[_Pending]]] = deque()
        self._snapshot_lock = anyio.Lock()
        self._closed = False
        self._closing = False

    @property
    def last_seq(self) -> int:
        """Number of the newest durable log entry, for `debug`."""
        return self._last

    async def append(self, records: Sequence[JsonRecord]) -> None:
        """Return when the records are durable; they become so together or not at all.

        Raises StoreUnavailable (not written and never will be), FencedError
        (not written; a newer owner has the shard) or StoreOutcomeUnknown. The
        caller must apply the records before its next await, or a snapshot
        could miss them.
        """
        if not records:
            return
        pending = self._enqueue(records)
        try:
            await pending.done.wait()
        except BaseException:
            self._forget(pending)
            # Under asyncio a cancellation can arrive after the outcome.
            if pending.done.is_set() and pending.error is None and self._on_late is not None:
                self._on_late(pending.records)
            raise
        finally:
            pending.released = True
        if pending.error is not None:
            raise type(pending.error)(*pending.error.args) from pending.error

    def _enqueue(self, records: Sequence[JsonRecord]) -> _Pending:
        if self.fenced:
            raise FencedError(f"a newer owner has shard {self.shard}; nothing was written")
        if self._closed or not self._loaded:
            raise StoreUnavailable(f"the journal of shard {self.shard} is not open")
        texts = tuple(compact_json(record) for record in records)
        size = sum(len(text) + 1 for text in texts)
        if size > MAX_VALUE_BYTES:
            raise InputError(f"{size} bytes of records exceed the limit of {MAX_VALUE_BYTES}")
        if self._queued_bytes + size > MAX_QUEUED_BYTES:
            raise StoreUnavailable(f"the journal queue of shard {self.shard} is full")
        pending = _Pending(tuple(records), texts, size)
        self._queue.append(pending)
        self._queued_bytes += size
        self._wake.set()
        return pending

    def _forget(self, pending: _Pending) -> None:
        """Drop the records of a cancelled caller if they have not been sent."""
        if pending in self._queue:
            self._queue.remove(pending)
            self._queued_bytes -= pending.size

    def close(self) -> None:
        """End `run` after the write in progress; records still queued are not written."""
        self._closing = True
        self._wake.set()

    async def run(self) -> None:
        """Write queued records until cancelled, closed or fenced; then every caller gets an error.

        The first group after a pause is written at once, later ones
        `journal_interval_s` after the one before.
        """
        next_at = anyio.current_time()
        batch: list[_Pending] = []
        try:
            while not self.fenced and not self._closing:
                await self._wake.wait()
                await anyio.sleep(max(0.0, next_at - anyio.current_time()))
                batch = self._take_batch()
                next_at = anyio.current_time() + self.cfg.journal_interval_s
                if batch:
                    await self._commit(batch)
        finally:
            self._closed = True
            reason = f"the journal of shard {self.shard} was closed"
            _settle(batch, StoreOutcomeUnknown(f"{reason} during a write"))
            fenced = FencedError(f"a newer owner has shard {self.shard}; nothing was written")
            self._fail_queue(fenced if self.fenced else StoreUnavailable(reason))

    def _take_batch(self) -> list[_Pending]:
        batch: list[_Pending] = []
        size = 0
        while self._queue and size + self._queue[0].size <= MAX_VALUE_BYTES:
            batch.append(self._queue.popleft())
            size += batch[-1].size
        self._queued_bytes -= size
        if not self._queue:
            self._wake = anyio.Event()
        return batch

    def _take_seq(self) -> Seq:
        seq = self._next
        self._next = Seq(seq + 1)
        return seq

    async def _commit(self, batch: list[_Pending]) -> None:
        """Write one batch and settle its callers; returns when its outcome is certain."""
        seq, token = self._take_seq(), new_token()
        key = self._log_key(seq)
        texts = [text for pending in batch for text in pending.texts]
        put = Put(key, self._value(token, texts))
        compares = (self._owner, Compare(key, 0))
        started = anyio.current_time()
        # In doubt: a copy of the write may have been applied, or may still be.
        in_doubt = False
        for delay in settle_delays():
            try:
                if in_doubt and await self._settled(batch, seq, token):
                    return
                result = await self.store.txn(compares, (put,))
                if result.succeeded or await self._settled(batch, seq, token, in_doubt):
                    if result.succeeded:
                        self._written(batch, seq)
                    return
                in_doubt = True
            except StoreOutcomeUnknown:
                in_doubt = True
            except StoreLimited as exc:
                if not in_doubt and anyio.current_time() - started > LIMITED_WAIT_S:
                    _settle(batch, StoreUnavailable(f"not written: {exc}"))
                    return
            except StoreUnavailable as exc:
                error = StoreUnavailable(f"not written: {exc}")
                self._fail_queue(error)
                if not in_doubt:
                    _settle(batch, error)
                    return
            except StoreError as exc:
                if not in_doubt:
                    _settle(batch, StoreUnavailable(f"not written: {exc}"))
                    return
            if in_doubt and anyio.current_time() - started > SETTLE_WAIT_S:
                reason = "the answer of the store was lost and could not be settled in time"
                _settle(batch, StoreOutcomeUnknown(reason))
            await anyio.sleep(delay * (0.5 + self._rng.random()))

    async def _settled(
        self, batch: list[_Pending], seq: Seq, token: str, in_doubt: bool = True
    ) -> bool:
        """Read a batch back and settle it if its outcome is certain."""
        key = self._log_key(seq)
        state = (await find_token(self.store, key, token, 0)).state
        if state is TokenState.APPLIED:
            self._written(batch, seq)
            return True
        owner = await self.store.get(self._owner.key)
        same = owner is not None and owner.mod_revision == self._owner.mod_revision
        if same and state is not TokenState.OVERTAKEN:
            return False
        # The newer owner may have covered the entry by a snapshot and deleted it. An entry of
        # that owner under the same number shows that ours never was there, since an owner
        # takes numbers above all that it has read.
        self.fenced = True
        reason = f"a newer owner has shard {self.shard}"
        if in_doubt and state is not TokenState.OVERTAKEN:
            _settle(batch, StoreOutcomeUnknown(f"{reason}; it may have read the records"))
        else:
            _settle(batch, FencedError(f"{reason}; nothing was written"))
        return True

    def _written(self, batch: list[_Pending], seq: Seq) -> None:
        self.writes += 1
        self.records_written += sum(len(pending.records) for pending in batch)
        self._last = seq
        waiting = []
        for pending in batch:
            if pending.released or pending.done.is_set():
                if self._on_late is not None:
                    self._on_late(pending.records)
                continue
            pending.settle()
            waiting.append(pending)
        self._returned_seq()
        self._unreturned.append((seq, waiting))

    def _fail_queue(self, error: StoreError) -> None:
        _settle(self._queue, error)
        self._queue.clear()
        self._queued_bytes = 0
        self._wake = anyio.Event()

    async def load(self) -> list[JsonRecord]:
        """Return the newest complete snapshot and the log entries after it, in order.

        Must be called once before `append`. Raises FencedError if the shard
        has a newer owner, and StoreError if a value cannot be read.
        """
        found = await self.store.range(self._root)
        owner = await self.store.get(self._owner.key)
        if owner is None or owner.mod_revision != self._owner.mod_revision:
            self.fenced = True
            raise FencedError(f"a newer owner has shard {self.shard}")
        covered, records = Seq(0), []
        parts: dict[Seq, list[dict[str, Any]]] = {}
        entries: list[tuple[Seq, KeyValue]] = []
        for item in found.items:
            kind, seq = self._parse_key(item.key)
            self._next = max(self._next, Seq(seq + 1))
            if kind == "snap":
                parts.setdefault(seq, []).append(self._content(item))
            else:
                entries.append((seq, item))
        for seq in sorted(parts, reverse=True):
            if _is_complete(parts[seq]):
                covered = Seq(parts[seq][0]["covers"])
                records = [record for part in parts[seq] for record in part["records"]]
                break
        self._last = covered
        for seq, item in entries:
            if seq > covered:
                records += self._content(item)["records"]
                self._last = seq
        self._loaded = True
        return records

    async def snapshot(self, state_records: Sequence[JsonRecord]) -> None:
        """Write the records that rebuild the caller's state, then delete what they cover.

        The state must contain every record whose `append` has returned and
        every one given to `on_late`. A crash at any point leaves either the
        former snapshot with its log, or the new one. Raises FencedError,
        StoreUnavailable, StoreLimited or StoreOutcomeUnknown; the journal
        stays usable and a later snapshot cleans up.
        """
        # Taken before the first await, while the state and the covered entries agree.
        covers, texts = self._returned_seq(), [compact_json(record) for record in state_records]
        async with self._snapshot_lock:
            if not self._loaded:
                raise StoreUnavailable(f"the journal of shard {self.shard} is not open")
            # The number is unique, so a crashed snapshot never mixes with parts of this one.
            seq, token = self._take_seq(), new_token()
            groups = list(_split(texts))
            for number, group in enumerate(groups):
                header = {"part": number, "parts": len(groups), "covers": covers}
                await self._put_part(seq, number, self._value(token, group, header), token)
            await self._delete_covered(seq, covers)

    def _returned_seq(self) -> Seq:
        """Return the newest log entry such that every caller up to it has its outcome."""
        while self._unreturned and all(item.released for item in self._unreturned[0][1]):
            self._unreturned.popleft()
        return Seq(self._unreturned[0][0] - 1) if self._unreturned else self._last

    async def _put_part(self, seq: Seq, number: int, value: bytes, token: str) -> None:
        key = f"{self._root}snap/{seq:0{SEQ_DIGITS}d}/{number:0{PART_DIGITS}d}"
        compares = (self._owner, Compare(key, 0))
        result = await settled_txn(self.store, compares, (Put(key, value),), key, token)
        if not result.succeeded:
            raise FencedError(f"a newer owner has shard {self.shard}; the snapshot was dropped")

    async def _delete_covered(self, seq: Seq, covers: Seq) -> None:
        """Delete covered entries and older snapshots; repeating it is harmless."""
        operations = (
            Delete(f"{self._root}log/", end=self._log_key(Seq(covers + 1))),
            Delete(f"{self._root}snap/", end=f"{self._root}snap/{seq:0{SEQ_DIGITS}d}/"),
        )
        result = await self.store.txn((self._owner,), operations)
        if not result.succeeded:
            raise FencedError(f"a newer owner has shard {self.shard}")

    def _log_key(self, seq: Seq) -> str:
        return f"{self._root}log/{seq:0{SEQ_DIGITS}d}"

    def _parse_key(self, key: str) -> tuple[str, Seq]:
        try:
            kind, number = key.removeprefix(self._root).split("/")[:2]
            return kind, Seq(int(number))
        except ValueError as exc:
            raise StoreError(f"the journal key {key} is malformed") from exc

    def _value(
        self, token: str, texts: Sequence[str], header: dict[str, int] | None = None
    ) -> bytes:
        content = {"version": JOURNAL_VERSION, "token": token, "epoch": self.epoch}
        head = compact_json(content | (header or {}))
        # The records are already JSON texts; they are joined instead of being encoded again.
        return f'{head[:-1]},"records":[{",".join(texts)}]}}'.encode()

    def _content(self, item: KeyValue) -> dict[str, Any]:
        try:
            content = json.loads(item.value)
            version = content["version"]
        except (ValueError, KeyError, TypeError) as exc:
            raise StoreError(f"the journal value {item.key} is malformed") from exc
        if version > JOURNAL_VERSION:
            raise StoreError(f"the journal value {item.key} has the newer version {version}")
        assert isinstance(content, dict)
        return content


def _settle(batch: Sequence[_Pending] | deque[_Pending], error: StoreError) -> None:
    for pending in batch:
        pending.settle(error)


def _is_complete(parts: list[dict[str, Any]]) -> bool:
    first = parts[0]
    numbers = [part["part"] for part in parts if part["token"] == first["token"]]
    return numbers == list(range(first["parts"]))


def _split(texts: Sequence[str]) -> Iterator[list[str]]:
    """Split records into groups that fit one value; an empty state is one empty group."""
    group: list[str] = []
    size = 0
    for text in texts:
        if group and size + len(text) + 1 > MAX_VALUE_BYTES:
            yield group
            group, size = [], 0
        group.append(text)
        size += len(text) + 1
    yield group
