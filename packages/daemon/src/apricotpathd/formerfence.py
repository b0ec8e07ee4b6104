"""Bounds the fencing tokens that the earlier processes of an agent may have used."""

import logging

import anyio

from apricotpath.errors import StoreError
from apricotpath.fencelimits import epoch_key, highest_issued, limit_key
from apricotpath.ids import FenceToken
from apricotpath.mirror import WatchableStore

log = logging.getLogger(__name__)

RETRY_S = 0.4


class FormerFence:
    """Reads the bound from the store once; `known` is set after that.

    The earlier processes have ended before this one started, and a scheduler's epoch and the
    limit of its tokens are stored before it issues any. What the store returns to a read of
    this process is therefore at least what they have used.
    """

    def __init__(self, store: WatchableStore, prefix: str) -> None:
        self.known = anyio.Event()
        self.token = FenceToken(0)
        self._store, self._prefix = store, prefix

    async def run(self) -> None:
        """Read the bound, with retries until the store has answered."""
        while not self.known.is_set():
            try:
                epoch = await self._store.get(epoch_key(self._prefix))
                limit = await self._store.get(limit_key(self._prefix))
            except StoreError as exc:
                log.warning("earlier fencing tokens not read: %s", exc)
                await anyio.sleep(RETRY_S)
                continue
            self.token = highest_issued(epoch, limit)
            log.info("earlier fencing tokens bounded", extra={"fence": self.token})
            self.known.set()
