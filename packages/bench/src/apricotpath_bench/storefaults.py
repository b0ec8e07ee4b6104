"""Store stand-in: the model with faults, rate limits and watches."""

from collections import Counter, deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, fields, replace
from typing import Any

import anyio

from apricotpath_bench.storemodel import (
    HISTORY_EVENTS,
    INVALID_ARGUMENT,
    RESOURCE_EXHAUSTED,
    Change,
    GatewayError,
    Row,
    StoreModel,
    key_range,
)

WRITE_PATHS = {"/v3/kv/txn", "/v3/lease/grant", "/v3/lease/keepalive", "/v3/lease/revoke"}


class ConnectionDropped(ConnectionResetError):
    """The connection is closed without a response."""


@dataclass(frozen=True, slots=True)
class Faults:
    """Active faults.

    With `down`, connections are closed without a response and calls have no effect.
    With `refuse` (in-process only), connections fail. `lose_answers` and `late_writes`
    are the numbers of writes that they still affect, -1 for all. `lose_answers` applies
    a write and then closes the connection. `late_writes` closes the connection and
    applies the write `late_s` later.
    """

    down: bool = False
    refuse: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    late_writes: int = 0
    late_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Rate limits in calls per second; an open watch counts as one read per second."""

    writes_per_s: float = 300.0
    reads_per_s: float = 2000.0


@dataclass(slots=True)
class TokenBucket:
    """Token bucket whose capacity is one second of calls."""

    rate: float
    tokens: float
    at: float = 0.0

    def take(self, now: float, rate: float) -> bool:
        """Refill at `rate` per second, then take a token; returns False if none is left."""
        self.tokens = min(self.rate, self.tokens + (now - self.at) * max(0.0, rate))
        self.at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class StandinStore:
    """A store model with limits and faults; all methods must run in one event loop."""

    def __init__(self, history_events: int = HISTORY_EVENTS) -> None:
        self.model = StoreModel(history_events)
        self.faults = Faults()
        self.watches = 0
        self.counts: Counter[str] = Counter()
        self.per_second: dict[str, Counter[int]] = {"read": Counter(), "write": Counter()}
        self.limits = Limits()
        self._buckets: dict[str, TokenBucket] = {}
        self._watch_epoch = 0
        self._delayed_writes: list[tuple[float, str, dict[str, Any]]] = []
        self.set_limits(Limits())

    @property
    def rows(self) -> dict[bytes, Row]:
        """Current rows by key."""
        return self.model.rows

    @property
    def history(self) -> deque[Change]:
        """Changes that are not compacted, oldest first."""
        return self.model.history

    # Control of the stand-in.

    def set_limits(self, limits: Limits) -> None:
        """Set the rate limits and fill the buckets."""
        self.limits = limits
        self._buckets = {
            "write": TokenBucket(limits.writes_per_s, limits.writes_per_s),
            "read": TokenBucket(limits.reads_per_s, limits.reads_per_s),
        }

    def set_faults(self, **changes: Any) -> None:
        """Replace some of the active faults."""
        self.faults = replace(self.faults, **changes)

    def lapse_lease(self, lease: int = 0) -> None:
        """End a lease as if its TTL had passed; 0 ends all leases."""
        for number in [lease] if lease else list(self.model.leases):
            self.model.end_lease(number)

    def cut_watches(self) -> None:
        """Close the connections of all open watches."""
        self._watch_epoch += 1
        self.model.notify()

    def apply_faults(self, body: dict[str, Any]) -> None:
        """Apply a POST /faults body; raises GatewayError on an unknown switch."""
        body = dict(body)
        if "lapse_lease" in body:
            self.lapse_lease(int(body.pop("lapse_lease")))
        if body.pop("cut_watches", False):
            self.cut_watches()
        if "limits" in body:
            self.set_limits(replace(self.limits, **body.pop("limits")))
        if set(body) - {item.name for item in fields(Faults)}:
            raise GatewayError(INVALID_ARGUMENT, f"unknown fault in {sorted(body)}")
        self.set_faults(**body)

    def count_report(self) -> dict[str, Any]:
        """Return the number of calls by path, and the maximum per second of reads and writes."""
        peaks = {kind: max(bins.values(), default=0) for kind, bins in self.per_second.items()}
        return {
            "calls": dict(self.counts),
            "max_per_s": peaks,
            "watches": self.watches,
            "revision": self.model.revision,
        }

    # Calls.

    async def handle(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Serve one call other than a watch; raises GatewayError or ConnectionDropped."""
        await self._admit(path, body)
        if path in WRITE_PATHS and self._consume_fault("late_writes"):
            self._delayed_writes.append((anyio.current_time() + self.faults.late_s, path, body))
            raise ConnectionDropped
        answer = self.model.dispatch(path, body)
        if path in WRITE_PATHS and self._consume_fault("lose_answers"):
            raise ConnectionDropped
        return answer

    async def watch(self, body: dict[str, Any]) -> AsyncIterator[dict[str, Any]]:
        """Yield the messages of a watch; raises ConnectionDropped when a fault closes it."""
        await self._admit("/v3/watch", body)
        request = body["create_request"]
        start, end = key_range(request)
        at = int(request.get("start_revision", 0)) or self.model.revision + 1
        yield {"result": {"header": self.model.header(), "created": True}}
        if at <= self.model.compacted:
            compacted = str(self.model.compacted + 1)
            yield {"result": {"canceled": True, "compact_revision": compacted}}
            return
        epoch = self._watch_epoch
        self.watches += 1
        try:
            while True:
                changed = self.model.changed
                self.model.expire()
                if self.faults.down or self._watch_epoch != epoch:
                    raise ConnectionDropped
                events = self.model.events(start, end, at)
                at = max(at, self.model.revision + 1)
                if events:
                    yield {"result": {"header": self.model.header(), "events": events}}
                    continue
                with anyio.move_on_after(self.model.seconds_to_expiry()):
                    await changed.wait()
        finally:
            self.watches -= 1

    async def _admit(self, path: str, body: dict[str, Any]) -> None:
        if self.faults.refuse or self.faults.down:
            raise ConnectionDropped
        if self.faults.slow_ms:
            await anyio.sleep(self.faults.slow_ms / 1000)
            if self.faults.down:
                raise ConnectionDropped
        self.model.expire()
        self._apply_delayed_writes()
        now = anyio.current_time()
        kind = "write" if path in WRITE_PATHS else "read"
        self.counts[path] += 1
        self.per_second[kind][int(now)] += 1
        rate = self.limits.writes_per_s if kind == "write" else self.limits.reads_per_s
        if not self._buckets[kind].take(now, rate - (self.watches if kind == "read" else 0)):
            self.counts["limited"] += 1
            raise GatewayError(RESOURCE_EXHAUSTED, "too many requests")

    def _consume_fault(self, name: str) -> bool:
        remaining = getattr(self.faults, name)
        if remaining > 0:
            self.set_faults(**{name: remaining - 1})
        return bool(remaining)

    def _apply_delayed_writes(self) -> None:
        now = anyio.current_time()
        due = [item for item in self._delayed_writes if item[0] <= now]
        self._delayed_writes = [item for item in self._delayed_writes if item[0] > now]
        for _, path, body in due:
            try:
                self.model.dispatch(path, body)
            except GatewayError:
                continue
