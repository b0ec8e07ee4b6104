"""Counts and logs what limits on clients have ended."""

import logging
from collections import Counter
from collections.abc import Callable
from time import monotonic

from apricotpath.clientlimits import Limit

log = logging.getLogger(__name__)

# Each limit is logged once in this time, with how often it was reached meanwhile.
LOG_INTERVAL_S = 5.0


class LimitLog:
    """Called for each request or connection that a limit ends."""

    def __init__(self, count: Callable[[Limit], None], clock: Callable[[], float] = monotonic):
        self._count, self._clock = count, clock
        self._logged_at: dict[Limit, float] = {}
        self._reached: Counter[Limit] = Counter()

    def __call__(self, limit: Limit, peer: str) -> None:
        """Count a limit that was reached by a peer address."""
        self._count(limit)
        self._reached[limit] += 1
        now = self._clock()
        if now - self._logged_at.get(limit, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._logged_at[limit] = now
        times = self._reached.pop(limit)
        log.warning(
            "limit on clients reached", extra={"limit": limit.value, "peer": peer, "times": times}
        )
