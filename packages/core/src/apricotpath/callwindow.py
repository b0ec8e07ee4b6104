"""Limit on the calls that are under way at one server, by how fast it answers them."""

from typing import NamedTuple

INITIAL_CALLS = 8
MIN_CALLS = 1
# Leaves connections of a pool of 32 to other calls.
MAX_CALLS = 24
# Answers that take at most this long (seconds) show that the server can take more calls.
QUICK_ANSWER_S = 0.1
# Answers that take longer than this (seconds) show that calls queue up at the server.
SLOW_ANSWER_S = 0.25
DECREASE = 0.5


class OpenCall(NamedTuple):
    """A call that is under way; numbers rise in the order of sending."""

    number: int
    sent_at: float


class CallWindow:
    """Additive increase, multiplicative decrease of the limit; times are in seconds.

    The limit rises by one for each round of quick answers, while it is reached. It falls at most
    once in a round: when an answer is slow, or when a call gets none. A call without an answer
    counts as lost, not as a sign of load, if one that was sent after it was answered.
    """

    def __init__(self) -> None:
        self.open = 0
        self._limit = float(INITIAL_CALLS)
        self._last_sent = self._newest_answered = self._last_before_decrease = 0

    @property
    def limit(self) -> int:
        """Most calls that may be under way."""
        return int(self._limit)

    @property
    def has_room(self) -> bool:
        """Whether another call may be sent."""
        return self.open < self.limit

    def send(self, now: float) -> OpenCall:
        """Count a call that is about to be sent."""
        self.open += 1
        self._last_sent += 1
        return OpenCall(self._last_sent, now)

    def abandon(self) -> None:
        """Give back a call that was not sent after all."""
        self.open -= 1

    def answered(self, call: OpenCall, now: float) -> None:
        """Adjust the limit to an answer, a refusal included."""
        was_full = self.open >= self.limit
        self.open -= 1
        self._newest_answered = max(self._newest_answered, call.number)
        took_s = now - call.sent_at
        if took_s > SLOW_ANSWER_S:
            self._decrease(call)
        elif was_full and took_s <= QUICK_ANSWER_S:
            self._limit = min(float(MAX_CALLS), self._limit + 1 / self._limit)

    def unanswered(self, call: OpenCall) -> None:
        """Adjust the limit to a call without an answer."""
        self.open -= 1
        if call.number > self._newest_answered:
            self._decrease(call)

    def _decrease(self, call: OpenCall) -> None:
        """Lower the limit, unless the call was sent before it was lowered last."""
        if call.number > self._last_before_decrease:
            self._last_before_decrease = self._last_sent
            self._limit = max(float(MIN_CALLS), self._limit * DECREASE)
