"""In-memory model of the key-value store: revisions, transactions, leases and history."""

from base64 import b64decode, b64encode
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio

MAX_VALUE_BYTES = 1 << 20
MAX_TXN_OPERATIONS = 128
# Limits of the history for watches and for reads at past revisions.
HISTORY_EVENTS = 20_000
HISTORY_BYTES = 64 << 20
# gRPC status codes of the gateway's error bodies.
INVALID_ARGUMENT, NOT_FOUND, RESOURCE_EXHAUSTED, OUT_OF_RANGE = 3, 5, 8, 11


class GatewayError(Exception):
    """An error that the gateway answers with a gRPC code and a message."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


@dataclass(frozen=True, slots=True)
class Row:
    """One version of a key."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int


@dataclass(frozen=True, slots=True)
class Change:
    """One change of a key; `before` or `after` is None where the key does not exist."""

    revision: int
    key: bytes
    before: Row | None
    after: Row | None


@dataclass(slots=True)
class Lease:
    """A lease with its attached keys; `ends_at` is monotonic time in seconds."""

    ttl_s: float
    ends_at: float
    keys: set[bytes] = field(default_factory=set)


class StoreModel:
    """Keys, leases and history; all methods must run in one event loop.

    All but the latest `history_events` changes are compacted.
    """

    def __init__(self, history_events: int = HISTORY_EVENTS) -> None:
        self.history_events = history_events
        self.rows: dict[bytes, Row] = {}
        self.revision = 1
        self.compacted = 0
        self.leases: dict[int, Lease] = {}
        self.history: deque[Change] = deque()
        self.history_bytes = 0
        # Watches wait for this event; each change sets and replaces it.
        self.changed = anyio.Event()
        self._next_lease = 7_000_000_001

    def dispatch(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Serve one call other than a watch; raises GatewayError."""
        calls: dict[str, Callable[[dict[str, Any]], dict[str, Any]]] = {
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._txn,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keepalive,
            "/v3/lease/revoke": self._revoke,
        }
        if path not in calls:
            raise GatewayError(NOT_FOUND, f"no call {path}")
        try:
            return calls[path](body)
        except (KeyError, ValueError, TypeError, AttributeError) as exc:
            raise GatewayError(INVALID_ARGUMENT, f"malformed request: {exc!r}") from exc

    def events(self, start: bytes, end: bytes, since: int) -> list[dict[str, Any]]:
        """Return the events since revision `since`, inclusive, for `start` <= key < `end`."""
        return [
            _event(change)
            for change in self.history
            if change.revision >= since and start <= change.key < end
        ]

    def end_lease(self, number: int) -> None:
        """End a lease and delete its keys."""
        lease = self.leases.pop(number, None)
        if lease is None or not lease.keys:
            return
        self.revision += 1
        for key in sorted(lease.keys):
            self._set_row(key, None, 0)
        self.notify()

    def expire(self) -> None:
        """End the leases whose TTL has passed."""
        now = anyio.current_time()
        for number in [n for n, lease in self.leases.items() if lease.ends_at <= now]:
            self.end_lease(number)

    def seconds_to_expiry(self) -> float:
        """Return the seconds until the next lease ends, or infinity if there is none."""
        ends = min((lease.ends_at for lease in self.leases.values()), default=float("inf"))
        return max(0.0, ends - anyio.current_time())

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

    def header(self) -> dict[str, str]:
        """Return the header of a response."""
        return {"cluster_id": "1", "member_id": "1", "revision": str(self.revision)}

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        start, end = key_range(body)
        rows = self._rows_at(int(body.get("revision", 0)))
        matching_rows = sorted(
            (row for key, row in rows.items() if start <= key < end), key=_key_of
        )
        limit = int(body.get("limit", 0)) or len(matching_rows)
        return {
            "header": self.header(),
            "kvs": [_row_json(row) for row in matching_rows[:limit]],
            "more": len(matching_rows) > limit,
            "count": str(len(matching_rows)),
        }

    def _rows_at(self, revision: int) -> dict[bytes, Row]:
        if revision > self.revision:
            raise GatewayError(OUT_OF_RANGE, "required revision is a future revision")
        if not revision or revision == self.revision:
            return self.rows
        if revision < self.compacted:
            raise GatewayError(OUT_OF_RANGE, "required revision has been compacted")
        rows = dict(self.rows)
        for change in reversed(self.history):
            if change.revision <= revision:
                break
            if change.before is None:
                rows.pop(change.key, None)
            else:
                rows[change.key] = change.before
        return rows

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        operations = body.get("success", [])
        if len(operations) > MAX_TXN_OPERATIONS:
            raise GatewayError(INVALID_ARGUMENT, "too many operations in txn request")
        matched = all(self._compare_matches(item) for item in body.get("compare", []))
        if matched:
            puts = [item["request_put"] for item in operations if "request_put" in item]
            self._check_puts(puts)
            if operations:
                self._apply(operations)
        return {"header": self.header(), "succeeded": matched}

    def _compare_matches(self, compare: dict[str, Any]) -> bool:
        if compare.get("target") != "MOD" or compare.get("result", "EQUAL") != "EQUAL":
            raise GatewayError(INVALID_ARGUMENT, "only compares of the mod revision are supported")
        row = self.rows.get(b64decode(compare["key"]))
        return (row.mod_revision if row else 0) == int(compare.get("mod_revision", 0))

    def _check_puts(self, puts: list[dict[str, Any]]) -> None:
        for put in puts:
            if len(b64decode(put["value"])) > MAX_VALUE_BYTES:
                raise GatewayError(INVALID_ARGUMENT, "request is too large")
            lease = int(put.get("lease", 0))
            if lease and lease not in self.leases:
                raise GatewayError(NOT_FOUND, "requested lease not found")

    def _apply(self, operations: list[dict[str, Any]]) -> None:
        self.revision += 1
        for item in operations:
            if "request_put" in item:
                put = item["request_put"]
                key = b64decode(put["key"])
                self._set_row(key, b64decode(put["value"]), int(put.get("lease", 0)))
            else:
                start, end = key_range(item["request_delete_range"])
                for key in [key for key in self.rows if start <= key < end]:
                    self._set_row(key, None, 0)
        self.notify()

    def _set_row(self, key: bytes, value: bytes | None, lease: int) -> None:
        before = self.rows.get(key)
        after = None
        if before is not None and before.lease in self.leases:
            self.leases[before.lease].keys.discard(key)
        if value is None:
            self.rows.pop(key, None)
        else:
            created = before.create_revision if before else self.revision
            version = before.version + 1 if before else 1
            after = self.rows[key] = Row(key, value, created, self.revision, version, lease)
            if lease:
                self.leases[lease].keys.add(key)
        self.history.append(Change(self.revision, key, before, after))
        self.history_bytes += len(value or b"")
        while len(self.history) > self.history_events or self.history_bytes > HISTORY_BYTES:
            compacted_change = self.history.popleft()
            self.history_bytes -= len(compacted_change.after.value) if compacted_change.after else 0
            self.compacted = compacted_change.revision

    def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        ttl = int(body["TTL"])
        number = int(body.get("ID", 0)) or self._next_lease
        self._next_lease += 1
        self.leases[number] = Lease(ttl, anyio.current_time() + ttl)
        self.notify()
        return {"header": self.header(), "ID": str(number), "TTL": str(ttl)}

    def _keepalive(self, body: dict[str, Any]) -> dict[str, Any]:
        number = int(body["ID"])
        lease = self.leases.get(number)
        if lease is None:
            return {"result": {"header": self.header(), "ID": str(number)}}
        lease.ends_at = anyio.current_time() + lease.ttl_s
        ttl = str(int(lease.ttl_s))
        return {"result": {"header": self.header(), "ID": str(number), "TTL": ttl}}

    def _revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        number = int(body["ID"])
        if number not in self.leases:
            raise GatewayError(NOT_FOUND, "requested lease not found")
        self.end_lease(number)
        return {"header": self.header()}


def key_range(body: dict[str, Any]) -> tuple[bytes, bytes]:
    """Return the first key of a request's range and its exclusive end."""
    start = b64decode(body["key"])
    end = b64decode(body.get("range_end", ""))
    return start, end or start + b"\0"


def _key_of(row: Row) -> bytes:
    return row.key


def _row_json(row: Row) -> dict[str, str]:
    content = {
        "key": b64encode(row.key).decode(),
        "value": b64encode(row.value).decode(),
        "create_revision": str(row.create_revision),
        "mod_revision": str(row.mod_revision),
        "version": str(row.version),
    }
    # The gateway omits fields with default values.
    return content | ({"lease": str(row.lease)} if row.lease else {})


def _event(change: Change) -> dict[str, Any]:
    if change.after is not None:
        return {"kv": _row_json(change.after)}
    kv = {"key": b64encode(change.key).decode(), "mod_revision": str(change.revision)}
    return {"type": "DELETE", "kv": kv}
