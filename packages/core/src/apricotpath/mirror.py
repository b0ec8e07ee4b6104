"""Local copy of one prefix of the store, kept up to date by long polling for changes."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import anyio
import anyio.lowlevel

from apricotpath.boottime import boot_s
from apricotpath.errors import StoreError
from apricotpath.pagedread import PagedRead, PagedStore, ReadProgress
from apricotpath.store import KeyValue, LeaseId, Store, WatchEvent

log = logging.getLogger(__name__)

RETRY_FIRST_S = 0.05
RETRY_MAX_S = 0.4
# Keys of a full read that are applied before other tasks run; a job takes about 0.3 ms.
KEYS_PER_SLICE = 50
# Changes within so many intervals of each other are followed by full reads.
STORM_INTERVALS = 2


class HistoryCompacted(StoreError):
    """The store has compacted the changes after the requested revision."""


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes after a revision, up to and including `revision`."""

    events: tuple[WatchEvent, ...]
    revision: int


class WatchableStore(Store, PagedStore, Protocol):
    """A store that can be read in pages and polled for changes."""

    async def changes(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes of a prefix after a revision; wait up to `wait_s` for the first.

        Returns no events if the wait ends without a change. Raises HistoryCompacted, or
        StoreUnavailable if there was no answer.
        """


OnChange = Callable[[str, bytes | None, int], None]


class Mirror:
    """Local copy of the items of a prefix; needs `run` as a background task.

    `on_change(key, value or None, revision)` is called for each changed key,
    also when all keys are read again. `read_at` is the boot-clock time in
    seconds at which the newest successful call began. `first_revision` is the store's revision
    at the first full read, and 0 before it. `progress` counts what full reads receive.
    With `coalesce_s`, changes in quick succession are followed by full reads at that interval
    until nothing changes any more, which suits large values that change many times in a row.
    """

    def __init__(
        self,
        store: WatchableStore,
        prefix: str,
        on_change: OnChange,
        wait_s: float = 1.0,
        progress: ReadProgress | None = None,
        coalesce_s: float = 0.0,
    ) -> None:
        self.store = store
        self.prefix = prefix
        self.items: dict[str, KeyValue] = {}
        self.read_at: float | None = None
        self.first_revision = 0
        self.loaded = anyio.Event()
        self._on_change = on_change
        self._wait_s = wait_s
        self._revision = 0
        self._progress = progress or ReadProgress()
        self._coalesce_s = coalesce_s

    @property
    def revision(self) -> int:
        """Revision of the store whose changes the copy contains; 0 before the first read."""
        return self._revision

    def age_s(self) -> float:
        """Return the maximum age of the copy in seconds; infinite before the first read."""
        return float("inf") if self.read_at is None else boot_s() - self.read_at

    async def run(self) -> None:
        """Keep the copy up to date until cancelled."""
        delay = RETRY_FIRST_S
        reachable = True
        changed_at = float("-inf")
        full_read: PagedRead | None = self._new_read()
        while True:
            try:
                if full_read is not None:
                    await self._read_all(full_read)
                    full_read = None
                # The first answer after failures is not to wait for a change.
                elif await self._read_changes(self._wait_s if reachable else 0.0):
                    now = boot_s()
                    quiet_s, changed_at = now - changed_at, now
                    if quiet_s < STORM_INTERVALS * self._coalesce_s:
                        await self._read_until_quiet()
                delay = RETRY_FIRST_S
                if not reachable:
                    log.info("store reachable again", extra={"prefix": self.prefix})
                reachable = True
            except HistoryCompacted:
                log.info("store history compacted; reading all keys", extra={"prefix": self.prefix})
                full_read = self._new_read()
            except StoreError as exc:
                if reachable:
                    log.warning("store unreachable: %s", exc, extra={"prefix": self.prefix})
                reachable = False
                await anyio.sleep(delay)
                delay = min(2 * delay, RETRY_MAX_S)

    def _new_read(self) -> PagedRead:
        return PagedRead(self.store, self.prefix, self._progress)

    async def _read_until_quiet(self) -> None:
        """Read all keys at intervals for as long as they go on changing.

        The changes themselves would contain each version of a key in between.
        """
        changed = True
        while changed:
            await anyio.sleep(self._coalesce_s)
            changed = await self._read_all(self._new_read())

    async def _read_all(self, full_read: PagedRead) -> bool:
        """Apply a full read; return whether anything has changed."""
        result = await full_read.finish()
        found = {item.key: item for item in result.items}
        gone = [key for key in self.items if key not in found]
        for key in gone:
            del self.items[key]
            self._on_change(key, None, result.revision)
        changed = bool(gone)
        for number, (key, item) in enumerate(found.items(), 1):
            if number % KEYS_PER_SLICE == 0:
                await anyio.lowlevel.checkpoint()
            current = self.items.get(key)
            if current is None or current.mod_revision < item.mod_revision:
                changed = True
                self.items[key] = item
                self._on_change(key, item.value, item.mod_revision)
        self._revision = result.revision
        self.read_at = full_read.started_at
        self.first_revision = self.first_revision or result.revision
        self.loaded.set()
        return changed

    async def _read_changes(self, wait_s: float) -> bool:
        """Wait for changes and apply them; return whether there were any."""
        started = boot_s()
        changes = await self.store.changes(self.prefix, self._revision, wait_s)
        for event in changes.events:
            current = self.items.get(event.key)
            if current is not None and current.mod_revision >= event.mod_revision:
                continue
            if event.value is None:
                self.items.pop(event.key, None)
            else:
                self.items[event.key] = KeyValue(
                    event.key, event.value, event.mod_revision, LeaseId(0)
                )
            self._on_change(event.key, event.value, event.mod_revision)
        self._revision = max(self._revision, changes.revision)
        self.read_at = started
        return bool(changes.events)
