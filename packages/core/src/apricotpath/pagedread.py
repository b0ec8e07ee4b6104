"""Reading of all keys with a prefix page by page; pages are kept when a later call fails."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from apricotpath.boottime import boot_s
from apricotpath.errors import StoreError
from apricotpath.store import KeyValue, RangeResult

OnBytes = Callable[[int], None]


@dataclass(frozen=True, slots=True)
class Page:
    """Some keys in order, the store's revision when they were read, and whether more follow."""

    items: tuple[KeyValue, ...]
    revision: int
    more: bool


class PagedStore(Protocol):
    """A store that returns long ranges in pages of a size that it chooses."""

    async def page(self, prefix: str, after: str, on_bytes: OnBytes) -> Page:
        """Return the first keys with a prefix that sort after the key `after`.

        `on_bytes` is called with the size in bytes of each piece of the answer as it arrives.
        Raises StoreUnavailable or StoreLimited.
        """


@dataclass(slots=True)
class ReadProgress:
    """How far the reads that share this object have come.

    `byte_at` and `page_at` are the boot-clock times in seconds at which the last byte and
    the last whole page arrived.
    """

    received_bytes: int = 0
    keys: int = 0
    failed_calls: int = 0
    byte_at: float = field(default_factory=boot_s)
    page_at: float = field(default_factory=boot_s)

    def add_bytes(self, count: int) -> None:
        """Count bytes of an answer that have arrived."""
        self.received_bytes += count
        self.byte_at = boot_s()

    def add_page(self, page: Page) -> None:
        """Count the keys of a page that has arrived whole."""
        self.keys += len(page.items)
        self.byte_at = self.page_at = boot_s()


class PagedRead:
    """One read of all keys with a prefix that sort after the key `after`.

    `more` tells whether keys after `last_key` remain to be read. `started_at` is the boot-clock
    time in seconds at which the call for the first page began.
    """

    def __init__(
        self, store: PagedStore, prefix: str, progress: ReadProgress, after: str = ""
    ) -> None:
        self._store, self._prefix, self._progress = store, prefix, progress
        self._items: list[KeyValue] = []
        self._revision = 0
        self.last_key = after
        self.more = True
        self.started_at = boot_s()

    async def next_page(self) -> tuple[KeyValue, ...]:
        """Read one more page and return its keys; raises StoreError."""
        if not self._items:
            self.started_at = boot_s()
        try:
            page = await self._store.page(self._prefix, self.last_key, self._progress.add_bytes)
        except StoreError:
            self._progress.failed_calls += 1
            raise
        self._progress.add_page(page)
        self._items += page.items
        self._revision = self._revision or page.revision
        self.more = page.more and bool(page.items)
        if page.items:
            self.last_key = page.items[-1].key
        return page.items

    async def finish(self) -> RangeResult:
        """Return all keys; call it again after a StoreError to continue with the next page.

        The pages are not a snapshot. The revision is that of the first one, so that the
        changes after it include every write during the read.
        """
        while self.more:
            await self.next_page()
        return RangeResult(tuple(self._items), self._revision)
