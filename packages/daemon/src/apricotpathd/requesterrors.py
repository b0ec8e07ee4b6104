"""Errors that callers get for requests that were not sent."""

from apricotpath.admission import Refusal
from apricotpath.errors import NotRun, OutcomeUnknown, RequestError

RETRY_AFTER_S = 1.0

REFUSAL_TEXTS = {
    Refusal.QUEUE_FULL: "Too many requests of this class are waiting.",
    Refusal.SHED: "The request gave way to one of a higher priority.",
    Refusal.WOULD_EXPIRE: "The deadline would pass while the request waits.",
    Refusal.EXPIRED: "The deadline passed while the request waited.",
}


def refused(refusal: Refusal) -> RequestError:
    """Return the error for a request that the queues of its service have refused."""
    return NotRun(REFUSAL_TEXTS[refusal], refusal.value, RETRY_AFTER_S)


def key_may_have_run(cause: str, reason: str) -> OutcomeUnknown:
    """Return the error for a request that was not sent but whose key may have run before.

    Answering "not run" would let the caller choose a new key and run the same work twice.
    """
    text = f"This call was not sent, but an earlier one with its key may have run: {cause}."
    return OutcomeUnknown(text, reason, RETRY_AFTER_S)
