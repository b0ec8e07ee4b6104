"""Issues the fencing tokens of one term, up to a limit that is stored first."""

import logging

import anyio

from apricotpath.entryrecords import RecordReader
from apricotpath.errors import StoreError
from apricotpath.fencelimits import (
    FENCES_PER_EPOCH,
    FIRST_LIMIT,
    SPARE_FENCES,
    FenceLimit,
    epoch_of,
)
from apricotpath.ids import FenceToken
from apricotpath.mirror import WatchableStore
from apricotpath.store import Compare, Put
from apricotpath.term import Term

log = logging.getLogger(__name__)

RETRY_S = 0.1


class FenceTokens:
    """Fencing tokens of a term; each is higher than all before it.

    An agent that starts takes the stored limit for the highest token that its earlier
    process may have used, so that no token above the limit is issued before a higher one
    is stored. The first limit is written with the election.
    """

    def __init__(self, term: Term) -> None:
        self._term = term
        self._issued, self._limit, self._wanted = 0, FIRST_LIMIT, 0
        self._changed = anyio.Event()

    def issue(self, used: FenceToken) -> FenceToken | None:
        """Return a token above all issued ones and one that the host has used.

        None if it is above the limit, which is then raised, or if a later epoch has begun.
        """
        epoch = self._term.epoch
        if epoch_of(used) > epoch:
            return None
        first = FenceLimit(epoch, 0).token
        number = max(self._issued, used - first) + 1
        if number > self._limit:
            self._wanted = max(self._wanted, number - 1) + 1
            self._changed.set()
            return None
        self._issued = number
        return FenceToken(first + number)

    async def raise_limits(self, store: WatchableStore, key: str) -> None:
        """Store higher limits when they are needed; return once the epoch has no more tokens."""
        while self._wanted < FENCES_PER_EPOCH:
            if self._wanted <= self._limit:
                await self._changed.wait()
                self._changed = anyio.Event()
                continue
            try:
                await self._raise_limit(store, key)
            except StoreError as exc:
                log.info("limit of fencing tokens not raised: %s", exc)
            if self._wanted > self._limit:
                await anyio.sleep(RETRY_S)
        log.warning("all fencing tokens of the epoch issued", extra={"epoch": self._term.epoch})

    async def _raise_limit(self, store: WatchableStore, key: str) -> None:
        """Store a limit that suffices, unless an earlier write without an answer has done so.

        The write compares the value that it replaces, so that a repeated one cannot take effect
        after a higher limit.
        """
        item = await store.get(key)
        stored = RecordReader(FenceLimit.parse).read(item)
        if stored is None or stored.epoch != self._term.epoch or stored.limit < self._wanted:
            limit = min(self._wanted + SPARE_FENCES, FENCES_PER_EPOCH - 1)
            stored = FenceLimit(self._term.epoch, limit)
            compares = [
                Compare(self._term.epoch_key, self._term.epoch_revision),
                Compare(key, item.mod_revision if item is not None else 0),
            ]
            if not (await store.txn(compares, [Put(key, stored.encode())])).succeeded:
                return
        self._limit = max(self._limit, stored.limit)
        extra = {"epoch": self._term.epoch, "limit": self._limit}
        log.info("limit of fencing tokens raised", extra=extra)
