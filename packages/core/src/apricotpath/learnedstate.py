"""Keeps what a scheduler has learned in the store, so that the next one goes on with it."""

import logging

from apricotpath.disturbance import Disturbance
from apricotpath.errors import InputError, StoreError
from apricotpath.mirror import WatchableStore
from apricotpath.store import Put

log = logging.getLogger(__name__)

# What is learned later than this before a scheduler ends is lost; each save is part of an append
# that is written anyway.
SAVE_INTERVAL_S = 4.0
# Longer values are neither saved nor restored.
MAX_VALUE_BYTES = 64 << 10


class LearnedState:
    """The stored estimates of one scheduler's term, under one key.

    They only help to choose hosts and paces: a scheduler without them starts from the
    initial ones, so nothing waits for them and a failed read is not repeated.
    """

    def __init__(
        self, store: WatchableStore, prefix: str, disturbance: Disturbance, now: float
    ) -> None:
        self.key = f"{prefix}learned/disturbance"
        self._store, self._disturbance = store, disturbance
        self._saved_at = now
        self._saved = b""

    async def load(self) -> None:
        """Restore the estimates of the earlier scheduler, if they can be read."""
        try:
            item = await self._store.get(self.key)
            if item is None:
                return
            if len(item.value) > MAX_VALUE_BYTES:
                raise InputError(f"the estimates are longer than {MAX_VALUE_BYTES} bytes")
            self._disturbance.restore(item.value)
        except (StoreError, InputError) as exc:
            log.warning("estimates of the earlier scheduler not restored: %s", exc)
            return
        log.info(
            "estimates restored", extra={"images": len(self._disturbance.pressures().by_filler)}
        )

    def due_put(self, now: float) -> Put | None:
        """Return the write that saves the estimates, if it is due and they have changed.

        `now` is in boot-clock seconds. The write must be part of an append, which a later
        scheduler fences.
        """
        if now - self._saved_at < SAVE_INTERVAL_S:
            return None
        self._saved_at = now
        value = self._disturbance.encode()
        if value == self._saved or len(value) > MAX_VALUE_BYTES:
            return None
        self._saved = value
        return Put(self.key, value)
