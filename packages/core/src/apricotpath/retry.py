"""Retry budgets and deadline checks; time is passed in, in seconds."""

from dataclasses import dataclass

# Tokens at the start, so that a service with little traffic can still retry a few times.
INITIAL_TOKENS = 3.0
# Bounds the burst of retries after a long time without failures.
MAX_TOKENS = 20.0


@dataclass(slots=True)
class RetryBudget:
    """Token bucket of one service: each arrival adds `share`, each retry takes 1.

    With `limited` false every retry is allowed, as a baseline for comparison.
    """

    share: float
    limited: bool = True
    tokens: float = INITIAL_TOKENS

    def arrived(self) -> None:
        """Count the arrival of a request."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.share)

    def try_acquire(self) -> bool:
        """Consume the token for one retry; false if the budget is exhausted."""
        if not self.limited:
            return True
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def may_retry(
    budget: RetryBudget, tries: int, max_tries: int, deadline: float, need_s: float, now: float
) -> bool:
    """Return whether one more try of about `need_s` seconds is allowed; consumes a token if so."""
    if tries >= max_tries or now + need_s >= deadline:
        return False
    return budget.try_acquire()
