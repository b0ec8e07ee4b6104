"""Byte counts of a process's network traffic by kind, and the log line about them."""

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

log = logging.getLogger(__name__)

TRAFFIC_LOG_INTERVAL_S = 2.0
# Kinds per log line and direction, largest first.
MAX_KINDS_LOGGED = 8


@dataclass(slots=True)
class Traffic:
    """Bytes sent and received so far, by kind: a message type, or a call of the store."""

    sent: Counter[str] = field(default_factory=Counter)
    received: Counter[str] = field(default_factory=Counter)

    def __add__(self, other: "Traffic") -> "Traffic":
        return Traffic(self.sent + other.sent, self.received + other.received)

    def __sub__(self, earlier: "Traffic") -> "Traffic":
        return Traffic(self.sent - earlier.sent, self.received - earlier.received)


async def log_traffic(total: Callable[[], Traffic]) -> None:
    """Log the bytes of each interval, by kind, until cancelled."""
    before = total()
    while True:
        await anyio.sleep(TRAFFIC_LOG_INTERVAL_S)
        now = total()
        interval, before = now - before, now
        log.info(
            "traffic",
            extra={
                "sent_bytes": interval.sent.total(),
                "received_bytes": interval.received.total(),
                "sent": dict(interval.sent.most_common(MAX_KINDS_LOGGED)),
                "received": dict(interval.received.most_common(MAX_KINDS_LOGGED)),
            },
        )
