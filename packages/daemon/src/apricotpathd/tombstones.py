"""Tombstones: records of jobs that were cancelled before they were stored.

A job is stored only while it has no tombstone, and a tombstone only while its job is not stored.
Whichever comes first holds, also against a write that the store carries out late. Tombstones stand
apart from the keys of jobs, so that no scheduler loads them when its term begins.
"""

import logging
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import anyio

from apricotpath.boottime import boot_s
from apricotpath.errors import ApricotpathError, InputError, StoreError
from apricotpath.ids import JobId
from apricotpath.jobkeys import JobKeys
from apricotpath.jsonfields import parse_object, read_number
from apricotpath.jsontext import json_bytes
from apricotpath.mirror import WatchableStore
from apricotpath.runlog import LATE_WRITE_S, MAX_TXN_ENTRIES
from apricotpath.store import Compare, Delete, KeyValue, Put, Store

log = logging.getLogger(__name__)

# A submission writes nothing any more this long after its call was read, for example because its
# process was paused meanwhile.
MAX_SUBMISSION_S = 30.0
# A tombstone that an entry has written is not written again within this time.
REUSE_S = 30.0
# Clocks of two hosts differ by less.
CLOCK_MARGIN_S = 60.0
# No write of a submission that began before a tombstone was written, or reused, takes effect
# after this time.
LIFETIME_S = MAX_SUBMISSION_S + LATE_WRITE_S + REUSE_S
# Tombstones that one entry writes within LIFETIME_S. Each takes about 60 bytes in the store and
# 110 bytes in the entry's memory.
MAX_TOMBSTONES = 4096
# Time between two writes of an entry, each with up to TOMBSTONES_PER_WRITE tombstones.
WRITE_INTERVAL_S = 0.1
# Calls that wait for a write; the last one waits for 1.6 s.
MAX_WAITING = 256
# A tombstone needs a compare and a put, its removal a compare and a delete.
TOMBSTONES_PER_WRITE = MAX_TXN_ENTRIES // 2
# Time from the start of a term to the first sweep, between two sweeps, between two pages of a
# sweep, and between two of its removals.
FIRST_SWEEP_S = 5.0
SWEEP_INTERVAL_S = 60.0
PAGE_INTERVAL_S = 0.5
REMOVAL_INTERVAL_S = 0.05


class TooManyTombstones(ApricotpathError):
    """So many jobs that are not stored were cancelled that no more tombstones are written."""


@dataclass(eq=False, slots=True)
class WriteGroup:
    """Jobs whose tombstones are stored by one write.

    `written` is False if one of the jobs is stored, and None until the outcome is known. `error`
    is why it is not.
    """

    jobs: list[JobId] = field(default_factory=list)
    written: bool | None = None
    error: StoreError | None = None


class TombstoneWriter:
    """Writes the tombstones of an entry, several in one write."""

    def __init__(self, store: Store, keys: JobKeys, utc: Callable[[], float] = time.time) -> None:
        self._store, self._keys, self._utc = store, keys, utc
        # When (boot-clock seconds) tombstones were last written, oldest first.
        self._written_at: dict[JobId, float] = {}
        self._group = WriteGroup()
        self._waiting = 0
        self._turn = anyio.Lock()
        self._next_write_at = float("-inf")

    def count(self) -> int:
        """Return the number of tombstones that this process has written in LIFETIME_S."""
        self._forget_old()
        return len(self._written_at)

    async def write(self, job: JobId) -> bool:
        """Store a job's tombstone; False if it is not, as this or another job is stored.

        Raises TooManyTombstones, or the StoreError of the write.
        """
        if boot_s() - self._written_at.get(job, float("-inf")) < REUSE_S:
            return True
        self._check_limits()
        group = self._join(job)
        self._waiting += 1
        try:
            async with self._turn:
                # Another caller may have written the group meanwhile.
                if group.written is None and group.error is None:
                    await self._write_group(group)
        finally:
            self._waiting -= 1
        if group.error is not None:
            raise group.error
        return bool(group.written)

    def _check_limits(self) -> None:
        """Raise TooManyTombstones if a limit is reached."""
        if self._waiting >= MAX_WAITING:
            limit = f"{MAX_WAITING} cancels of jobs that are not stored are under way here"
        elif self.count() + self._waiting >= MAX_TOMBSTONES:
            limit = f"{MAX_TOMBSTONES} of them were cancelled here within {LIFETIME_S:.0f} s"
        else:
            return
        raise TooManyTombstones(f"the job is not stored, and not cancelled, as {limit}")

    def _join(self, job: JobId) -> WriteGroup:
        """Add a job to the group that is written next."""
        if len(self._group.jobs) >= TOMBSTONES_PER_WRITE:
            self._group = WriteGroup()
        if job not in self._group.jobs:
            self._group.jobs.append(job)
        return self._group

    async def _write_group(self, group: WriteGroup) -> None:
        await anyio.sleep(max(0.0, self._next_write_at - boot_s()))
        if self._group is group:
            self._group = WriteGroup()
        value = json_bytes({"at": round(self._utc(), 3)})
        compares = [Compare(self._keys.job(job), 0) for job in group.jobs]
        puts = [Put(self._keys.tombstone(job), value) for job in group.jobs]
        try:
            group.written = (await self._store.txn(compares, puts)).succeeded
        except StoreError as exc:
            group.error = exc
        finally:
            self._next_write_at = boot_s() + WRITE_INTERVAL_S
        if group.written:
            self._note_written(group.jobs)

    def _note_written(self, jobs: Sequence[JobId]) -> None:
        for job in jobs:
            self._written_at.pop(job, None)
            self._written_at[job] = boot_s()
        log.info("tombstones written", extra={"jobs": list(jobs), "known": len(self._written_at)})

    def _forget_old(self) -> None:
        due = boot_s() - LIFETIME_S
        while self._written_at:
            job = next(iter(self._written_at))
            if self._written_at[job] > due:
                return
            del self._written_at[job]


class TombstoneSweeper:
    """Removes old tombstones of all entries, page by page; `run` does so during a term."""

    def __init__(
        self, store: WatchableStore, keys: JobKeys, utc: Callable[[], float] = time.time
    ) -> None:
        self._store, self._keys, self._utc = store, keys, utc

    async def run(self) -> None:
        """Remove old tombstones until cancelled."""
        await anyio.sleep(FIRST_SWEEP_S)
        while True:
            try:
                await self._sweep()
            except StoreError as exc:
                log.info("tombstones not swept: %s", exc)
            await anyio.sleep(SWEEP_INTERVAL_S)

    async def _sweep(self) -> None:
        """Read all tombstones once, and remove the old ones."""
        found = removed = 0
        after, more = "", True
        while more:
            page = await self._store.page(self._keys.tombstones, after, lambda _: None)
            found += len(page.items)
            removed += await self._remove_old(page.items)
            more = page.more and bool(page.items)
            if more:
                after = page.items[-1].key
                await anyio.sleep(PAGE_INTERVAL_S)
        if found:
            log.info("tombstones swept", extra={"found": found, "removed": removed})

    async def _remove_old(self, items: Sequence[KeyValue]) -> int:
        """Remove the old tombstones of a page; return their number."""
        now = self._utc()
        ages_s = {item.key: now - _written_utc_s(item) for item in items}
        limit_s = LIFETIME_S + CLOCK_MARGIN_S
        for item in items:
            if not ages_s[item.key] > -CLOCK_MARGIN_S:
                await self._date_anew(item)
        old = [item for item in items if ages_s[item.key] > limit_s]
        for first in range(0, len(old), TOMBSTONES_PER_WRITE):
            group = old[first : first + TOMBSTONES_PER_WRITE]
            # One that was written again meanwhile is found by the next sweep.
            compares = [Compare(item.key, item.mod_revision) for item in group]
            await self._store.txn(compares, [Delete(item.key) for item in group])
            await anyio.sleep(REMOVAL_INTERVAL_S)
        return len(old)

    async def _date_anew(self, item: KeyValue) -> None:
        """Give a tombstone whose time is malformed, or still to come, the present time."""
        log.warning("tombstone without a valid time", extra={"key": item.key})
        value = json_bytes({"at": round(self._utc(), 3)})
        compares = [Compare(item.key, item.mod_revision)]
        await self._store.txn(compares, [Put(item.key, value)])
        await anyio.sleep(REMOVAL_INTERVAL_S)


def _written_utc_s(item: KeyValue) -> float:
    """Return when (UTC seconds) a tombstone was written; NaN if that is malformed."""
    try:
        return read_number(parse_object(item.value, "a tombstone"), "at")
    except InputError:
        return float("nan")
