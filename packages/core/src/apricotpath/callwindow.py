"""Limit on the calls that are under way at one server, by how fast it answers them."""

from typing import NamedTuple

INITIAL_CALLS = 16
MIN_CALLS = 1
# Fewer than the connections of the HTTP client, so that other calls find one.
MAX_CALLS = 24
# Answers that take at most this long (seconds) show that the server can take more calls: half of
# the timeout of a call.
QUICK_ANSWER_S = 0.25


class OpenCall(NamedTuple):
    """A call that is under way; numbers rise in the order of sending."""

    number: int
    sent_at: float


class CallWindow:
    """AIMD limit on concurrent calls, with slow start; times in seconds.

    `in_flight` is the number of calls under way. Quick answers raise the limit while it is reached:
    by one each during slow start, by one for each round of them afterwards. A call without an
    answer halves it, at most once in a round. A call without an answer counts as
    lost, not as a sign of load, if one that was sent after it was answered.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self._limit = float(INITIAL_CALLS)
        self._was_halved = False
        self._last_sent = self._newest_answered = self._last_before_halving = 0

    @property
    def limit(self) -> int:
        """Most calls that may be under way."""
        return int(self._limit)

    @property
    def has_room(self) -> bool:
        """Whether another call may be sent."""
        return self.in_flight < self.limit

    def send(self, now: float) -> OpenCall:
        """Count a call that is about to be sent."""
        self.in_flight += 1
        self._last_sent += 1
        return OpenCall(self._last_sent, now)

    def abandon(self) -> None:
        """Give back a call that was not sent after all."""
        self.in_flight -= 1

    def answered(self, call: OpenCall, now: float) -> None:
        """Adjust the limit to an answer, a refusal included."""
        was_full = self.in_flight >= self.limit
        self.in_flight -= 1
        self._newest_answered = max(self._newest_answered, call.number)
        if was_full and now - call.sent_at <= QUICK_ANSWER_S:
            step = 1 / self._limit if self._was_halved else 1.0
            self._limit = min(float(MAX_CALLS), self._limit + step)

    def unanswered(self, call: OpenCall) -> None:
        """Adjust the limit to a call without an answer."""
        self.in_flight -= 1
        if call.number > self._newest_answered:
            self._halve(call)

    def _halve(self, call: OpenCall) -> None:
        """Halve the limit, unless the call was sent before it was halved last."""
        if call.number > self._last_before_halving:
            self._last_before_halving = self._last_sent
            self._was_halved = True
            self._limit = max(float(MIN_CALLS), self._limit / 2)
