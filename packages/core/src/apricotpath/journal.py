"""Journal of one shard in the store: group commit, snapshots, replay."""

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
from apricotpath.jsonfields import parse_object, read_int, read_list, read_str
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

# Format version of stored values; values of a newer version are rejected.
JOURNAL_VERSION = 1
# The store limits values to 1 MB; the difference is for the fields around the records.
MAX_VALUE_BYTES = 900_000
# Limit of encoded records waiting to be written; further appends raise StoreUnavailable.
MAX_QUEUED_BYTES = 8 << 20
# How long a caller waits while the outcome of a write with a lost answer is determined. Then
# it gets StoreOutcomeUnknown, but the journal keeps trying, since nothing may be written
# after a gap.
SETTLE_WAIT_S = 10.0
# How long a write that hits the store's rate limit is retried.
LIMITED_WAIT_S = 5.0
SEQ_DIGITS = 16
MAX_SEQ = 10**SEQ_DIGITS - 1
PART_DIGITS = 5

Seq = NewType("Seq", int)


# One record: a JSON object that the caller interprets (see `apricotpath.records`).
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
    # `append` has returned or was cancelled; a later success is reported to `on_late_success`.
    caller_done: bool = False

    def settle(self, error: StoreError | None = None) -> None:
        """Set the caller's outcome; only the first call has an effect."""
        if not self.done.is_set():
            self.error = error
            self.done.set()


class Journal:
    """Journal of a shard, written by the owner of one epoch; needs `run` as a background task.

    `shard_revision` is the mod revision of `shard/<n>` when this owner
    acquired it. Every transaction compares it, so a former owner cannot write.
    `on_late_success` is called with records that became durable after their
    caller was cancelled or got StoreOutcomeUnknown.
    """

    def __init__(
        self,
        store: Store,
        shard: ShardId,
        epoch: Epoch,
        shard_revision: int,
        cfg: PolicySettings,
        prefix: str = "/apricotpath/",
        on_late_success: Callable[[Sequence[JsonRecord]], None] | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.store = store
        self.shard = shard
        self.epoch = epoch
        self.cfg = cfg
        self.fenced = False
        self.writes = 0
        self.records_written = 0
        self._on_late_success = on_late_success
        self._rng = rng or random.Random()
        self._owner = Compare(f"{prefix}shard/{shard}", shard_revision)
        self._root = f"{prefix}journal/{shard}/"
        self._next = Seq(1)
        self._last = Seq(0)
        self._loaded = False
        self._queue: deque[_Pending] = deque()
        self._queued_bytes = 0
        self._wake = anyio.Event()
        # Durable batches for which some `append` calls have not returned yet, oldest first.
        self._unreturned_batches: deque[tuple[Seq, list[_Pending]]] = deque()
        self._snapshot_lock = anyio.Lock()
        self._closed = False
        self._closing = False

    @property
    def last_seq(self) -> int:
        """Number of the newest durable log entry."""
        return self._last

    async def append(self, records: Sequence[JsonRecord]) -> None:
        """Write records atomically and return when they are durable.

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
            self._discard_unsent(pending)
            # Under asyncio a cancellation can arrive after the outcome.
            if (
                pending.done.is_set()
                and pending.error is None
                and self._on_late_success is not None
            ):
                self._on_late_success(pending.records)
            raise
        finally:
            pending.caller_done = True
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

    def _discard_unsent(self, pending: _Pending) -> None:
        """Remove the records of a cancelled caller from the queue if they are still there."""
        if pending in self._queue:
            self._queue.remove(pending)
            self._queued_bytes -= pending.size

    def close(self) -> None:
        """End `run` after the write in progress; records still queued are not written."""
        self._closing = True
        self._wake.set()

    async def run(self) -> None:
        """Write queued records until cancelled, closed or fenced; pending callers get an error.

        The first batch after an idle period is written at once, each further
        one `journal_interval_s` after the previous one.
        """
        next_at = anyio.current_time()
        batch: list[_Pending] = []
        try:
            while not self.fenced and not self._closing:
                await self._wake.wait()
                await anyio.sleep(max(0.0, next_at - anyio.current_time()))
                batch = self._next_batch()
                next_at = anyio.current_time() + self.cfg.journal_interval_s
                if batch:
                    await self._commit(batch)
        finally:
            self._closed = True
            reason = f"the journal of shard {self.shard} was closed"
            _settle(batch, StoreOutcomeUnknown(f"{reason} during a write"))
            fenced = FencedError(f"a newer owner has shard {self.shard}; nothing was written")
            self._fail_queue(fenced if self.fenced else StoreUnavailable(reason))

    def _next_batch(self) -> list[_Pending]:
        batch: list[_Pending] = []
        size = 0
        while self._queue and size + self._queue[0].size <= MAX_VALUE_BYTES:
            batch.append(self._queue.popleft())
            size += batch[-1].size
        self._queued_bytes -= size
        if not self._queue:
            self._wake = anyio.Event()
        return batch

    def _allocate_seq(self) -> Seq:
        seq = self._next
        self._next = Seq(seq + 1)
        return seq

    async def _commit(self, batch: list[_Pending]) -> None:
        """Write one batch and settle its callers; return when the outcome is certain."""
        seq, token = self._allocate_seq(), new_token()
        key = self._log_key(seq)
        texts = [text for pending in batch for text in pending.texts]
        put = Put(key, self._value(token, texts))
        compares = (self._owner, Compare(key, 0))
        started = anyio.current_time()
        # Set once a copy of the write may have been applied, or may still be applied later.
        in_doubt = False
        for delay in settle_delays():
            try:
                if in_doubt and await self._settle_by_reading(batch, seq, token):
                    return
                result = await self.store.txn(compares, (put,))
                if result.succeeded or await self._settle_by_reading(batch, seq, token, in_doubt):
                    if result.succeeded:
                        self._mark_durable(batch, seq)
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

    async def _settle_by_reading(
        self, batch: list[_Pending], seq: Seq, token: str, in_doubt: bool = True
    ) -> bool:
        """Read the batch's key back and settle the callers; False if still uncertain."""
        key = self._log_key(seq)
        state = (await find_token(self.store, key, token, 0)).state
        if state is TokenState.APPLIED:
            self._mark_durable(batch, seq)
            return True
        owner = await self.store.get(self._owner.key)
        still_owner = owner is not None and owner.mod_revision == self._owner.mod_revision
        if still_owner and state is not TokenState.OVERTAKEN:
            return False
        # The newer owner may have deleted the entry after a snapshot that covers it. If that
        # owner has an entry with the same number, this batch was never written, since an
        # owner allocates numbers above all that it has read.
        self.fenced = True
        reason = f"a newer owner has shard {self.shard}"
        if in_doubt and state is not TokenState.OVERTAKEN:
            _settle(batch, StoreOutcomeUnknown(f"{reason}; it may have read the records"))
        else:
            _settle(batch, FencedError(f"{reason}; nothing was written"))
        return True

    def _mark_durable(self, batch: list[_Pending], seq: Seq) -> None:
        self.writes += 1
        self.records_written += sum(len(pending.records) for pending in batch)
        self._last = seq
        waiting = []
        for pending in batch:
            if pending.caller_done or pending.done.is_set():
                if self._on_late_success is not None:
                    self._on_late_success(pending.records)
                continue
            pending.settle()
            waiting.append(pending)
        self._last_returned_seq()
        self._unreturned_batches.append((seq, waiting))

    def _fail_queue(self, error: StoreError) -> None:
        _settle(self._queue, error)
        self._queue.clear()
        self._queued_bytes = 0
        self._wake = anyio.Event()

    async def load(self) -> list[JsonRecord]:
        """Return the records of the newest complete snapshot and of the later log entries.

        They are in order. Must be called once before `append`. Raises FencedError
        if the shard has a newer owner, and StoreError if a value cannot be read.
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
                parts.setdefault(seq, []).append(self._part(item))
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
        """Write a snapshot of the caller's state, then delete the log entries that it covers.

        The state must contain every record whose `append` has returned and
        every one passed to `on_late_success`. A crash at any point leaves either
        the previous snapshot with its log, or the new one. Raises FencedError,
        StoreUnavailable, StoreLimited or StoreOutcomeUnknown; the journal
        stays usable and a later snapshot cleans up.
        """
        # Computed before the first await, while the state and the covered entries agree.
        covers, texts = (
            self._last_returned_seq(),
            [compact_json(record) for record in state_records],
        )
        async with self._snapshot_lock:
            if not self._loaded:
                raise StoreUnavailable(f"the journal of shard {self.shard} is not open")
            # The number is unique, so parts of an interrupted snapshot never mix with this one.
            seq, token = self._allocate_seq(), new_token()
            groups = list(_split(texts))
            for number, group in enumerate(groups):
                header = {"part": number, "parts": len(groups), "covers": covers}
                await self._put_part(seq, number, self._value(token, group, header), token)
            await self._delete_covered(seq, covers)

    def _last_returned_seq(self) -> Seq:
        """Return the newest log entry up to which all `append` calls have returned."""
        while self._unreturned_batches and all(
            item.caller_done for item in self._unreturned_batches[0][1]
        ):
            self._unreturned_batches.popleft()
        return Seq(self._unreturned_batches[0][0] - 1) if self._unreturned_batches else self._last

    async def _put_part(self, seq: Seq, number: int, value: bytes, token: str) -> None:
        key = f"{self._root}snap/{seq:0{SEQ_DIGITS}d}/{number:0{PART_DIGITS}d}"
        compares = (self._owner, Compare(key, 0))
        result = await settled_txn(self.store, compares, (Put(key, value),), key, token)
        if not result.succeeded:
            raise FencedError(f"a newer owner has shard {self.shard}; the snapshot was dropped")

    async def _delete_covered(self, seq: Seq, covers: Seq) -> None:
        """Delete covered log entries and older snapshots; idempotent."""
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
        # The records are already encoded as JSON, so they are joined instead of encoded again.
        return f'{head[:-1]},"records":[{",".join(texts)}]}}'.encode()

    def _content(self, item: KeyValue) -> dict[str, Any]:
        try:
            content = parse_object(item.value, "the journal value")
            version = read_int(content, "version")
            read_str(content, "token")
            read_list(content, "records")
        except InputError as exc:
            raise StoreError(f"the journal value {item.key} is malformed") from exc
        if version > JOURNAL_VERSION:
            raise StoreError(f"the journal value {item.key} has the newer version {version}")
        return content

    def _part(self, item: KeyValue) -> dict[str, Any]:
        """Return the content of a part of a snapshot."""
        content = self._content(item)
        try:
            for name in ("part", "parts", "covers"):
                read_int(content, name, low=0, high=MAX_SEQ)
        except InputError as exc:
            raise StoreError(f"the journal value {item.key} is malformed") from exc
        return content


def _settle(batch: Sequence[_Pending] | deque[_Pending], error: StoreError) -> None:
    for pending in batch:
        pending.settle(error)


def _is_complete(parts: list[dict[str, Any]]) -> bool:
    first = parts[0]
    numbers = [part["part"] for part in parts if part["token"] == first["token"]]
    return numbers == list(range(first["parts"]))


def _split(texts: Sequence[str]) -> Iterator[list[str]]:
    """Split encoded records into groups that fit one value; no records give one empty group."""
    group: list[str] = []
    size = 0
    for text in texts:
        if group and size + len(text) + 1 > MAX_VALUE_BYTES:
            yield group
            group, size = [], 0
        group.append(text)
        size += len(text) + 1
    yield group
