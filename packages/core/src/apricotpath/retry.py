"""Retry budgets and deadline checks; time is passed in, in seconds."""

from dataclasses import dataclass

# A service with little traffic may still retry a few times after a failure.
INITIAL_TOKENS = 3.0
# Bounds the retries that a long quiet time could save up for one failure.
MAX_TOKENS = 20.0


@dataclass(slots=True)
class RetryBudget:
    """Token bucket of one service: each arrival adds `share`, each retry takes 1.

    With `limited` false every retry is allowed, as a baseline.
    """

    share: float
    limited: bool = True
    tokens: float = INITIAL_TOKENS

    def arrived(self) -> None:
        """Count the arrival of a request."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.share)

    def take(self) -> bool:
        """Take the right to one retry; false if the budget is spent."""
        if not self.limited:
            return True
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def may_retry(
    budget: RetryBudget, tries: int, max_tries: int, deadline: float, need_s: float, now: float
) -> bool:
    """Decide on one more try that needs about `need_s` seconds, and pay for it."""
    if tries >= max_tries or now + need_s >= deadline:
        return False
    return budget.take()
