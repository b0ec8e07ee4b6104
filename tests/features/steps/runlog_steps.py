"""Steps for runlog.feature."""

import json
import logging
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup
from behave import given, then, when

from apricotpath.errors import FencedError
from apricotpath.ids import JobId
from apricotpath.runlog import MAX_EXTRA, LogPosition, RunLog
from apricotpath.runrecords import Ended, RunRecord, to_row
from apricotpath.store import Compare, Delete, Put
from apricotpath.workload import RunResult, TaskKey
from support.jobworld import run_virtual
from support.memorystore import InstantStore, MemoryStore, SharedStore
from support.oddvalues import ODD_HEADS, ODD_LOG_ENTRIES

PREFIX = "test/runs/"
EPOCH_KEY = "test/epoch"
# How late an unanswered write takes effect at most, in seconds.
MAX_LATE_S = 3.0
# Share of appends after which a snapshot is begun.
SNAPSHOT_SHARE = 0.03
HEAD_KEY = f"{PREFIX}snapshot"
# A key that is written and removed beside the run log, as those of jobs are.
OTHER_KEY = "test/other"


def record(number: int) -> Ended:
    return Ended(TaskKey(JobId("a"), 0, 0, number), 1, RunResult.DONE)


class ReaderErrors(logging.Handler):
    """Keeps the errors that the reader of a run log reports."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.records.append(record)


class LogCase:
    """One store and the run logs of successive schedulers."""

    def __init__(self) -> None:
        self.actions: list[Callable[[], Awaitable[None]]] = []
        self.appended: list[RunRecord] = []
        self.fenced = False

    def run(self) -> None:
        self.errors = ReaderErrors()
        logger = logging.getLogger("apricotpath.runlogreader")
        logger.addHandler(self.errors)
        try:
            run_virtual(self._main)
        finally:
            logger.removeHandler(self.errors)

    async def _main(self) -> None:
        self.shared = SharedStore()
        self.store = MemoryStore(self.shared)
        self.log = await self.take_over(self.store)
        await self.append(0)
        for action in self.actions:
            await action()

    async def take_over(self, store: MemoryStore) -> RunLog:
        result = await store.txn([], [Put(EPOCH_KEY, b"{}")])
        log = RunLog(store, PREFIX, EPOCH_KEY, result.revision)
        self.loaded = await log.load()
        await log.find_obsolete()
        return log

    async def append(self, number: int) -> None:
        await self.log.append([record(number)])
        self.appended.append(record(number))


@given("a runlog of the first scheduler")
def first(context: Any) -> None:
    context.log = LogCase()


@when("a record is appended to the runlog while {fault}")
def append_while(context: Any, fault: str) -> None:
    case: LogCase = context.log

    async def act() -> None:
        faults = case.store.faults
        if fault == "the answer is lost":
            faults.lost_answers = 1
        elif fault.startswith("the write"):
            faults.late_writes = 1
        elif fault.startswith("three"):
            faults.lost_answers = 3
        elif fault.startswith("the store"):
            faults.down = True
        async with anyio.create_task_group() as group:
            group.start_soon(case.append, 1)
            await anyio.sleep(4)
            faults.down = False
        await case.append(2)
        await anyio.sleep(5)
        case.store.apply_due_writes()

    case.actions.append(act)


@when("another scheduler takes over {when_} the first one appends to the runlog")
def take_over(context: Any, when_: str) -> None:
    case: LogCase = context.log

    async def act() -> None:
        if "late" in when_:
            case.store.faults.late_writes = 1
        async with anyio.create_task_group() as group:

            async def append() -> None:
                if "late" not in when_:
                    await anyio.sleep(0.1)
                try:
                    await case.append(1)
                except FencedError:
                    case.fenced = True

            group.start_soon(append)
            await anyio.sleep(0.02)
            await case.take_over(MemoryStore(case.shared))
        await anyio.sleep(5)
        case.store.apply_due_writes()

    case.actions.append(act)


@when("{count:d} records are appended to the runlog with a snapshot after every {every:d}")
def snapshots(context: Any, count: int, every: int) -> None:
    case: LogCase = context.log

    async def act() -> None:
        for number in range(1, count + 1):
            await case.append(number)
            if number % every == 0:
                await case.log.snapshot(case.appended, case.log.position())

    case.actions.append(act)


@when("a snapshot of the runlog is begun late, after {count:d} more records were appended")
def late_snapshot(context: Any, count: int) -> None:
    case: LogCase = context.log

    async def act() -> None:
        records, position = list(case.appended), case.log.position()
        for number in range(1, count + 1):
            await case.append(number)
        await case.log.snapshot(records, position)

    case.actions.append(act)


@when("the first scheduler dies during a snapshot of the runlog, and the next one makes it again")
def repeated_snapshot(context: Any) -> None:
    case: LogCase = context.log

    async def act() -> None:
        head = case.shared.items.get(HEAD_KEY)
        assert head is None
        await case.log.snapshot(case.appended, case.log.position())
        case.shared.remove(HEAD_KEY)
        case.log = await case.take_over(MemoryStore(case.shared))
        await case.log.snapshot(case.appended, case.log.position())

    case.actions.append(act)


@when("the next scheduler appends records until no key of the runlog is obsolete")
def remove_obsolete(context: Any) -> None:
    case: LogCase = context.log

    async def act() -> None:
        await case.append(900)
        await remove_all_obsolete(case)

    case.actions.append(act)


async def remove_all_obsolete(case: LogCase) -> None:
    """Append entries without records until they have removed all obsolete keys."""
    while case.log._obsolete:
        await case.log.append([])


@when("the runlog's write of {what} is carried out late, while a newer snapshot replaces it")
def late_older_write(context: Any, what: str) -> None:
    case: LogCase = context.log

    async def act() -> None:
        faults = case.store.faults
        faults.late_prefix = PREFIX + ("snapshot" if what == "a head" else "parts/")
        faults.late_writes, faults.late_s = 1, 1.0
        await case.log.snapshot(case.appended, case.log.position())
        for number in range(1, 41):
            await case.append(number)
        await case.log.snapshot(case.appended, case.log.position())
        # Removes most, but not all, of what the newer snapshot replaces.
        await case.append(41)
        if what == "a part":
            await remove_all_obsolete(case)
        await anyio.sleep(2.0)
        case.store.apply_due_writes()

    case.actions.append(act)


@when("an append to the runlog that removes a key is carried out again after its entry is removed")
def append_again(context: Any) -> None:
    case: LogCase = context.log

    async def act() -> None:
        faults = case.store.faults
        faults.late_prefix = f"{PREFIX}log/"
        faults.late_writes, faults.late_s = 1, 10.0
        await case.log.append([record(1)], [Delete(OTHER_KEY)])
        case.appended.append(record(1))
        await case.log.snapshot(case.appended, case.log.position())
        await case.append(2)
        await remove_all_obsolete(case)
        await case.store.txn([Compare(OTHER_KEY, 0)], [Put(OTHER_KEY, b"accepted")])
        case.store.apply_late_writes()

    case.actions.append(act)


@when("an append to the runlog is not answered, and a snapshot replaces its entry")
def unanswered_append(context: Any) -> None:
    case: LogCase = context.log

    async def act() -> None:
        case.store.faults.late_prefix, case.store.faults.late_writes = f"{PREFIX}log/", 1
        await case.append(1)
        await case.log.snapshot(case.appended, case.log.position())

    case.actions.append(act)


@then("the runlog's entry is in the store for {kept:d} minutes and not after {removed:d}")
def entry_kept(context: Any, kept: int, removed: int) -> None:
    case: LogCase = context.log

    async def act() -> None:
        # The first entry is that of record 0.
        key = f"{PREFIX}log/{2:012d}"
        await anyio.sleep(60.0 * kept)
        await case.append(2)
        case.kept = key in case.shared.items
        await anyio.sleep(60.0 * (removed - kept))
        await case.append(3)
        case.kept_too_long = key in case.shared.items

    case.actions.append(act)
    case.run()
    assert (case.kept, case.kept_too_long) == (True, False), (case.kept, case.kept_too_long)


@then("the key that was written after the removal is in the store")
def still_stored(context: Any) -> None:
    assert OTHER_KEY in context.log.shared.items


@when("{entries:d} entries of {each:d} records each are appended to the runlog")
def append_many(context: Any, entries: int, each: int) -> None:
    case: LogCase = context.log

    async def act() -> None:
        for number in range(1, entries + 1):
            await case.log.append([record(each * number + index) for index in range(each)])

    case.actions.append(act)


@when("each malformed entry is written to the runlog, each followed by a good one")
def odd_entries(context: Any) -> None:
    case: LogCase = context.log

    async def act() -> None:
        for number, value in enumerate(ODD_LOG_ENTRIES.values()):
            key = f"{PREFIX}log/{2 * number + 2:012d}"
            await case.store.txn([], [Put(key, value)])
            case.log = await case.take_over(MemoryStore(case.shared))
            await case.append(number + 1)

    case.actions.append(act)


@then("another task runs at least {least:d} times while the next scheduler loads the runlog")
def runs_meanwhile(context: Any, least: int) -> None:
    case: LogCase = context.log
    runs = 0

    async def count_runs(scope: anyio.CancelScope) -> None:
        nonlocal runs
        while not scope.cancel_called:
            runs += 1
            await anyio.lowlevel.checkpoint()

    async def act() -> None:
        log = RunLog(InstantStore(case.shared), PREFIX, EPOCH_KEY, 0)
        async with anyio.create_task_group() as group:
            group.start_soon(count_runs, group.cancel_scope)
            await log.load()
            group.cancel_scope.cancel()
        assert runs >= least, runs

    case.actions.append(act)
    case.run()


@when("entries with malformed keys are written to the runlog")
def odd_keys(context: Any) -> None:
    case: LogCase = context.log

    async def act() -> None:
        row = json.dumps({"records": [to_row(record(999))]}).encode()
        for name in ("log/", "log/7", "log/000000000001/1", "log/-00000000001", "log/text"):
            await case.store.txn([], [Put(PREFIX + name, row)])
        for name in ("parts/", "parts/text", "parts/1/000001", "parts/000000000001"):
            await case.store.txn([], [Put(PREFIX + name, b"")])

    case.actions.append(act)


@when("the next scheduler appends a record to the runlog")
def append_next(context: Any) -> None:
    case: LogCase = context.log

    async def act() -> None:
        case.log = await case.take_over(MemoryStore(case.shared))
        await case.append(500)

    case.actions.append(act)


@when("the head of the runlog's snapshot is malformed {when_}")
def odd_head(context: Any, when_: str) -> None:
    case: LogCase = context.log

    async def act() -> None:
        if when_ == "right after a snapshot":
            await case.log.snapshot(case.appended, case.log.position())
            await remove_all_obsolete(case)
        elif when_.startswith("after a snapshot"):
            head = case.shared.items[HEAD_KEY]
            await case.log.snapshot(case.appended, case.log.position())
            case.shared.items[head.key] = head
            parts = [key for key in case.shared.items if key.startswith(f"{PREFIX}parts/")]
            case.shared.remove(max(parts))
        elif when_.startswith("while"):
            await case.log.snapshot(case.appended, case.log.position())
            case.log = await case.take_over(MemoryStore(case.shared))
            # The other operations of the append leave room to remove a part of the old keys only.
            other = [Put(f"test/other/{number}", b"") for number in range(MAX_EXTRA)]
            await case.log.append([record(100)], other)
            case.appended.append(record(100))
        for value in ODD_HEADS.values():
            await case.store.txn([], [Put(HEAD_KEY, value)])
            await case.take_over(MemoryStore(case.shared))
            assert case.loaded == case.appended, (value[:80], case.loaded)

    case.actions.append(act)


@then("the next scheduler loads the runlog's records once and in order")
def loads(context: Any) -> None:
    case: LogCase = context.log

    async def act() -> None:
        await case.take_over(MemoryStore(case.shared))
        assert case.loaded == case.appended, case.loaded

    case.actions.append(act)
    case.run()


@then("the runlog rejects the append of the first scheduler as fenced")
def is_fenced(context: Any) -> None:
    case: LogCase = context.log

    async def act() -> None:
        assert case.fenced

    case.actions.append(act)


@then("the next scheduler does not load the first one's last record")
def not_loaded(context: Any) -> None:
    loads(context)


@then("the store holds at most {count:d} keys of the runlog")
def keys(context: Any, count: int) -> None:
    case: LogCase = context.log
    found = [key for key in case.shared.items if key.startswith(PREFIX)]
    assert len(found) <= count, len(found)


@when("the head of the runlog names an older snapshot while entries after it are removed")
def older_head(context: Any) -> None:
    case: LogCase = context.log

    async def act() -> None:
        await case.log.snapshot(case.appended, case.log.position())
        older = case.shared.items[HEAD_KEY].value
        for number in range(1, 41):
            await case.append(number)
        await case.log.snapshot(case.appended, case.log.position())
        # Extra operations leave room for the removal of 26 entries.
        await case.log.append([record(41)], [Put(f"test/other/{n}", b"") for n in range(3)])
        case.appended.append(record(41))
        await case.store.txn([], [Put(HEAD_KEY, older)])

    case.actions.append(act)


class LateWriters:
    """Successive schedulers of one log, whose writes may get no answer and take effect late."""

    def __init__(self, case: LogCase, seed: int) -> None:
        self.case = case
        self.rng = random.Random(seed)
        self.stores: list[MemoryStore] = []
        self.number = 0

    async def run(self, terms: int) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._apply_due_writes)
            for _ in range(terms):
                await self._serve_term()
            await anyio.sleep(MAX_LATE_S)
            await self._take_over()
            group.cancel_scope.cancel()

    async def _apply_due_writes(self) -> None:
        while True:
            for store in self.stores:
                store.apply_due_writes()
            await anyio.sleep(0.02)

    async def _serve_term(self) -> None:
        """Take over and append until the scheduler dies."""
        store = await self._take_over()
        with anyio.move_on_after(self.rng.uniform(0.5, 4.0)):
            async with anyio.create_task_group() as group:
                group.start_soon(self._make_writes_late, store)
                await self._append_with_snapshots(group)

    async def _take_over(self) -> MemoryStore:
        """Begin the next scheduler's term, and check what it has loaded."""
        store, case = MemoryStore(self.case.shared), self.case
        self.stores.append(store)
        case.log = await case.take_over(store)
        # The append in which the scheduler before died may have taken effect.
        assert case.loaded[: len(case.appended)] == case.appended, "records were lost"
        assert len(case.loaded) <= len(case.appended) + 1, "records came twice"
        case.appended = list(case.loaded)
        return store

    async def _append_with_snapshots(self, group: TaskGroup) -> None:
        """Append records; snapshots are written beside, one at a time."""
        log, is_written = self.case.log, anyio.Event()
        is_written.set()

        async def write_snapshot(
            records: list[RunRecord], position: LogPosition, done: anyio.Event
        ) -> None:
            await log.snapshot(records, position)
            done.set()

        while True:
            self.number += 1
            await self.case.append(self.number)
            if is_written.is_set() and self.rng.random() < SNAPSHOT_SHARE:
                is_written = anyio.Event()
                records = list(self.case.appended)
                group.start_soon(write_snapshot, records, log.position(), is_written)

    async def _make_writes_late(self, store: MemoryStore) -> None:
        while True:
            await anyio.sleep(self.rng.uniform(0.0, 0.1))
            store.faults.late_s = self.rng.uniform(0.1, MAX_LATE_S)
            store.faults.late_writes = 1
            store.faults.late_prefix = PREFIX + self.rng.choice(["log/", "parts/", "snapshot"])


@when("{terms:d} schedulers append to the runlog in turn while writes are late, with seed {seed:d}")
def append_in_turn(context: Any, terms: int, seed: int) -> None:
    case: LogCase = context.log

    async def act() -> None:
        await LateWriters(case, seed).run(terms)

    case.actions.append(act)


@when("the runlog's entry {seq:d} is lost")
def lose_entry(context: Any, seq: int) -> None:
    case: LogCase = context.log

    async def act() -> None:
        case.shared.remove(f"{PREFIX}log/{seq:012d}")

    case.actions.append(act)


@when("a snapshot of {count:d} records of the runlog loses a part while the entries are there")
def lose_part(context: Any, count: int) -> None:
    case: LogCase = context.log

    async def act() -> None:
        records = [record(number) for number in range(1, count + 1)]
        await case.log.append(records)
        case.appended += records
        await case.log.snapshot(case.appended, case.log.position())
        parts = [key for key in case.shared.items if key.startswith(f"{PREFIX}parts/")]
        case.shared.remove(max(parts))

    case.actions.append(act)


@when("a snapshot of {count:d} records of the runlog is not completed, and entry {seq:d} is lost")
def incomplete_beside_gap(context: Any, count: int, seq: int) -> None:
    case: LogCase = context.log

    async def act() -> None:
        records = [record(number) for number in range(100, 100 + count)]
        await case.log.append(records)
        case.appended += records
        head = case.shared.items[HEAD_KEY]
        await case.log.snapshot(case.appended, case.log.position())
        case.shared.items[HEAD_KEY] = head
        case.shared.remove(max(key for key in case.shared.items if f"{PREFIX}parts/" in key))
        case.shared.remove(f"{PREFIX}log/{seq:012d}")

    case.actions.append(act)


@when("all of the runlog but a malformed head is lost")
def lose_all(context: Any) -> None:
    case: LogCase = context.log

    async def act() -> None:
        for key in [key for key in case.shared.items if key.startswith(PREFIX)]:
            case.shared.remove(key)
        await case.store.txn([], [Put(HEAD_KEY, b"{}")])
        case.appended.clear()

    case.actions.append(act)


@when("the head of the runlog is removed")
def remove_head(context: Any) -> None:
    case: LogCase = context.log

    async def act() -> None:
        case.shared.remove(HEAD_KEY)

    case.actions.append(act)


@then("the first scheduler's second attempt to write a snapshot of the runlog succeeds")
def second_attempt(context: Any) -> None:
    case: LogCase = context.log

    async def act() -> None:
        with suppress(FencedError):
            await case.log.snapshot(case.appended, case.log.position())
        await case.log.snapshot(case.appended, case.log.position())
        await remove_all_obsolete(case)

    case.actions.append(act)


@when("a snapshot of the runlog is followed by a part of an earlier one at its place")
def longer_snapshot(context: Any) -> None:
    case: LogCase = context.log

    async def act() -> None:
        await case.log.snapshot(case.appended, case.log.position())
        part = next(key for key in case.shared.items if key.startswith(f"{PREFIX}parts/"))
        value = case.shared.items[part].value
        await case.store.txn([], [Put(part[:-1] + "1", value)])

    case.actions.append(act)


@when("the head of the runlog's snapshot does not count its parts")
def head_without_count(context: Any) -> None:
    case: LogCase = context.log

    async def act() -> None:
        content = json.loads(case.shared.items[HEAD_KEY].value)
        head = {"token": content["token"], "seq": content["seq"]}
        await case.store.txn([], [Put(HEAD_KEY, json.dumps(head).encode())])

    case.actions.append(act)


@then("the next scheduler loads the runlog's records but that of entry {seq:d}")
def loads_others(context: Any, seq: int) -> None:
    case: LogCase = context.log

    async def act() -> None:
        await case.take_over(MemoryStore(case.shared))
        # Each entry has one record; the first entry has the number 1.
        others = [*case.appended[: seq - 1], *case.appended[seq:]]
        assert case.loaded == others, case.loaded

    case.actions.append(act)
    case.run()


@then("the runlog's reader reports nothing")
def no_report(context: Any) -> None:
    found = context.log.errors.records
    assert not found, [record.getMessage() for record in found]


@then("the runlog's reader reports {missing:d} missing entries after snapshot {seq:d}")
def reports_gap(context: Any, missing: int, seq: int) -> None:
    found = [vars(record) for record in context.log.errors.records]
    numbers = [(item.get("snapshot"), item.get("missing")) for item in found]
    assert (seq, missing) in numbers, numbers


@then("the runlog's reader reports {found:d} parts of {expected:d}")
def reports_parts(context: Any, found: int, expected: int) -> None:
    records = [vars(record) for record in context.log.errors.records]
    numbers = [(item.get("found"), item.get("parts")) for item in records]
    assert (found, expected) in numbers, numbers


@then("the store holds the parts of {count:d} snapshot of the runlog")
def snapshots_held(context: Any, count: int) -> None:
    keys_ = [key for key in context.log.shared.items if key.startswith(f"{PREFIX}parts/")]
    held = {key.removeprefix(f"{PREFIX}parts/").partition("/")[0] for key in keys_}
    assert len(held) == count, held
