"""Delays between attempts at store calls that fail."""

import random

from apricotpath.errors import StoreLimited

# Exponential backoff with jitter after a failed store call, so that entries do not all retry
# at once after an outage. The maximum is far below the time between a missed renewal and the
# end of a lease. It is longer while the store rejects calls with a rate limit.
RETRY_FIRST_S = 0.25
RETRY_MAX_S = 1.0
LIMITED_MAX_S = 4.0


class StoreBackoff:
    """Exponential backoff with jitter of one series of store calls."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._delay_s = RETRY_FIRST_S

    def succeeded(self) -> None:
        """Start over after a call that succeeded."""
        self._delay_s = RETRY_FIRST_S

    def failed(self, exc: Exception) -> float:
        """Return the seconds to wait after a call that failed."""
        wait_s = self._delay_s * (0.5 + self._rng.random())
        maximum_s = LIMITED_MAX_S if isinstance(exc, StoreLimited) else RETRY_MAX_S
        self._delay_s = min(2 * self._delay_s, maximum_s)
        return wait_s
