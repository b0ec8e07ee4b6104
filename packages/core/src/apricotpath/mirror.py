"""A copy of one prefix of the store, kept current by waiting for changes."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import anyio

from apricotpath.boottime import boot_s
from apricotpath.errors import StoreError
from apricotpath.store import KeyValue, LeaseId, Store, WatchEvent

log = logging.getLogger(__name__)

RETRY_FIRST_S = 0.05
RETRY_MAX_S = 0.4


class HistoryGone(StoreError):
    """The store no longer has the changes after the given revision."""


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes after a revision, up to and including `revision`."""

    events: tuple[WatchEvent, ...]
    revision: int


class FeedStore(Store, Protocol):
    """A store that tells of changes call by call."""

    async def changes(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes of a prefix after a revision, waiting for the first.

        Returns no events when the wait is over. Raises HistoryGone, or
        StoreUnavailable if there was no answer.
        """


OnChange = Callable[[str, bytes | None, int], None]


class Mirror:
    """The items of a prefix; `run` must be running.

    `on_change(key, value or None, revision)` is called for each difference,
    also when a whole range is read anew. `read_at` is the boot-clock second
    at which the newest answer had been asked for.
    """

    def __init__(
        self, store: FeedStore, prefix: str, on_change: OnChange, wait_s: float = 1.0
    ) -> None:
        self.store = store
        self.prefix = prefix
        self.items: dict[str, KeyValue] = {}
        self.read_at: float | None = None
        self.loaded = anyio.Event()
        self._on_change = on_change
        self._wait_s = wait_s
        self._revision = 0

    def age_s(self) -> float:
        """Return how old the copy may be, in seconds."""
        return float("inf") if self.read_at is None else boot_s() - self.read_at

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        delay = RETRY_FIRST_S
        reachable = True
        whole = True
        while True:
            started = boot_s()
            try:
                if whole:
                    await self._read_whole()
                    whole = False
                else:
                    await self._read_changes()
                self.read_at = started
                delay = RETRY_FIRST_S
                if not reachable:
                    log.info("store regained", extra={"prefix": self.prefix})
                reachable = True
            except HistoryGone:
                log.info(
                    "history of the store is gone; reading anew", extra={"prefix": self.prefix}
                )
                whole = True
            except StoreError as exc:
                if reachable:
                    log.warning("store lost: %s", exc, extra={"prefix": self.prefix})
                reachable = False
                await anyio.sleep(delay)
                delay = min(2 * delay, RETRY_MAX_S)

    async def _read_whole(self) -> None:
        result = await self.store.range(self.prefix)
        found = {item.key: item for item in result.items}
        for key in [key for key in self.items if key not in found]:
            del self.items[key]
            self._on_change(key, None, result.revision)
        for key, item in found.items():
            known = self.items.get(key)
            if known is None or known.mod_revision < item.mod_revision:
                self.items[key] = item
                self._on_change(key, item.value, item.mod_revision)
        self._revision = result.revision
        self.loaded.set()

    async def _read_changes(self) -> None:
        changes = await self.store.changes(self.prefix, self._revision, self._wait_s)
        for event in changes.events:
            known = self.items.get(event.key)
            if known is not None and known.mod_revision >= event.mod_revision:
                continue
            if event.value is None:
                self.items.pop(event.key, None)
            else:
                self.items[event.key] = KeyValue(
                    event.key, event.value, event.mod_revision, LeaseId(0)
                )
            self._on_change(event.key, event.value, event.mod_revision)
        self._revision = max(self._revision, changes.revision)
