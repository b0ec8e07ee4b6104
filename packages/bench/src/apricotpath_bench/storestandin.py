"""Stand-in for the platform's key-value store: the etcd v3 JSON gateway, in memory."""

import argparse
import json
from base64 import b64decode, b64encode
from collections import Counter, deque
from collections.abc import AsyncIterator, Awaitable, Callable, MutableMapping
from dataclasses import dataclass, field, fields, replace
from typing import Any

import anyio
import anyio.lowlevel
import httpx
from hypercorn.asyncio import serve
from hypercorn.config import Config

MAX_VALUE_BYTES = 1 << 20
MAX_REQUEST_BYTES = 4 << 20
MAX_TXN_OPERATIONS = 128
# History kept for watches and reads at past revisions.
HISTORY_EVENTS = 20_000
HISTORY_BYTES = 64 << 20
# gRPC status codes of the gateway's error bodies, with their HTTP status.
INVALID_ARGUMENT, NOT_FOUND, RESOURCE_EXHAUSTED, OUT_OF_RANGE = 3, 5, 8, 11
HTTP_STATUS = {INVALID_ARGUMENT: 400, NOT_FOUND: 404, RESOURCE_EXHAUSTED: 429, OUT_OF_RANGE: 400}
WRITE_PATHS = {"/v3/kv/txn", "/v3/lease/grant", "/v3/lease/keepalive", "/v3/lease/revoke"}

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class ConnectionDropped(ConnectionResetError):
    """The connection is closed without an answer."""


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
    """One change of a key: its row before and after, None where it is absent."""

    revision: int
    key: bytes
    before: Row | None
    after: Row | None


@dataclass(slots=True)
class Lease:
    """A lease; `ends_at` is monotonic time in seconds."""

    ttl_s: float
    ends_at: float
    keys: set[bytes] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults in force; counts are of calls still to be affected, -1 means all.

    `down` closes connections without an answer and without effect; `refuse`
    (in-process only) fails to connect. `lose_answers` applies writes and then
    closes; `late_writes` closes, and applies the write `late_s` later.
    """

    down: bool = False
    refuse: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    late_writes: int = 0
    late_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Calls per second; a waiting watch counts as one read a second."""

    writes_per_s: float = 300.0
    reads_per_s: float = 2000.0


@dataclass(slots=True)
class Bucket:
    """Token bucket that holds one second of calls."""

    rate: float
    tokens: float
    at: float = 0.0

    def take(self, now: float, rate: float) -> bool:
        """Take a token at a refill of `rate` per second; False if none is left."""
        self.tokens = min(self.rate, self.tokens + (now - self.at) * max(0.0, rate))
        self.at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class StandinStore:
    """Keys, leases, watches, limits and faults; all methods must run in one event loop."""

    def __init__(self) -> None:
        self.rows: dict[bytes, Row] = {}
        self.revision = 1
        self.compacted = 0
        self.leases: dict[int, Lease] = {}
        self.history: deque[Change] = deque()
        self.history_bytes = 0
        self.faults = Faults()
        self.watches = 0
        self.counts: Counter[str] = Counter()
        self.per_second: dict[str, Counter[int]] = {"read": Counter(), "write": Counter()}
        self.limits = Limits()
        self._buckets: dict[str, Bucket] = {}
        self._next_lease = 7_000_000_001
        self._changed = anyio.Event()
        self._watch_epoch = 0
        self._late: list[tuple[float, str, dict[str, Any]]] = []
        self.set_limits(Limits())

    # Control of the stand-in.

    def set_limits(self, limits: Limits) -> None:
        """Set the rate limits and fill the buckets."""
        self.limits = limits
        self._buckets = {
            "write": Bucket(limits.writes_per_s, limits.writes_per_s),
            "read": Bucket(limits.reads_per_s, limits.reads_per_s),
        }

    def set_faults(self, **changes: Any) -> None:
        """Change some of the faults in force."""
        self.faults = replace(self.faults, **changes)

    def lapse_lease(self, lease: int = 0) -> None:
        """End a lease as if its time had passed; 0 ends all of them."""
        for number in [lease] if lease else list(self.leases):
            self._end_lease(number)

    def cut_watches(self) -> None:
        """Close the connection of every waiting watch."""
        self._watch_epoch += 1
        self._notify()

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
        """Return the calls by kind and the maximum per second."""
        peaks = {kind: max(bins.values(), default=0) for kind, bins in self.per_second.items()}
        return {
            "calls": dict(self.counts),
            "max_per_s": peaks,
            "watches": self.watches,
            "revision": self.revision,
        }

    # Calls.

    async def handle(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Serve one call other than a watch; raises GatewayError or ConnectionDropped."""
        await self._admit(path, body)
        if path in WRITE_PATHS and self._take("late_writes"):
            self._late.append((anyio.current_time() + self.faults.late_s, path, body))
            raise ConnectionDropped
        answer = self._dispatch(path, body)
        if path in WRITE_PATHS and self._take("lose_answers"):
            raise ConnectionDropped
        return answer

    async def watch(self, body: dict[str, Any]) -> AsyncIterator[dict[str, Any]]:
        """Yield the messages of a watch; raises ConnectionDropped when it is cut."""
        await self._admit("/v3/watch", body)
        request = body["create_request"]
        start, end = _bounds(request)
        at = int(request.get("start_revision", 0)) or self.revision + 1
        yield {"result": {"header": self._header(), "created": True}}
        if at <= self.compacted:
            compacted = str(self.compacted + 1)
            yield {"result": {"canceled": True, "compact_revision": compacted}}
            return
        epoch = self._watch_epoch
        self.watches += 1
        try:
            while True:
                changed = self._changed
                self._expire()
                if self.faults.down or self._watch_epoch != epoch:
                    raise ConnectionDropped
                events = [
                    _event(change)
                    for change in self.history
                    if change.revision >= at and start <= change.key < end
                ]
                at = max(at, self.revision + 1)
                if events:
                    yield {"result": {"header": self._header(), "events": events}}
                    continue
                with anyio.move_on_after(self._until_expiry()):
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
        self._expire()
        self._apply_late()
        now = anyio.current_time()
        kind = "write" if path in WRITE_PATHS else "read"
        self.counts[path] += 1
        self.per_second[kind][int(now)] += 1
        rate = self.limits.writes_per_s if kind == "write" else self.limits.reads_per_s
        if not self._buckets[kind].take(now, rate - (self.watches if kind == "read" else 0)):
            self.counts["limited"] += 1
            raise GatewayError(RESOURCE_EXHAUSTED, "too many requests")

    def _take(self, name: str) -> bool:
        left = getattr(self.faults, name)
        if left > 0:
            self.set_faults(**{name: left - 1})
        return bool(left)

    def _apply_late(self) -> None:
        now = anyio.current_time()
        due = [item for item in self._late if item[0] <= now]
        self._late = [item for item in self._late if item[0] > now]
        for _, path, body in due:
            try:
                self._dispatch(path, body)
            except GatewayError:
                continue

    def _dispatch(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
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

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        start, end = _bounds(body)
        rows = self._rows_at(int(body.get("revision", 0)))
        found = sorted((row for key, row in rows.items() if start <= key < end), key=_key_of)
        limit = int(body.get("limit", 0)) or len(found)
        return {
            "header": self._header(),
            "kvs": [_row_json(row) for row in found[:limit]],
            "more": len(found) > limit,
            "count": str(len(found)),
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
        held = all(self._holds(item) for item in body.get("compare", []))
        if held:
            puts = [item["request_put"] for item in operations if "request_put" in item]
            self._check_puts(puts)
            if operations:
                self._apply(operations)
        return {"header": self._header(), "succeeded": held}

    def _holds(self, compare: dict[str, Any]) -> bool:
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
                self._set(key, b64decode(put["value"]), int(put.get("lease", 0)))
            else:
                start, end = _bounds(item["request_delete_range"])
                for key in [key for key in self.rows if start <= key < end]:
                    self._set(key, None, 0)
        self._notify()

    def _set(self, key: bytes, value: bytes | None, lease: int) -> None:
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
        while len(self.history) > HISTORY_EVENTS or self.history_bytes > HISTORY_BYTES:
            dropped = self.history.popleft()
            self.history_bytes -= len(dropped.after.value) if dropped.after else 0
            self.compacted = dropped.revision

    def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        ttl = int(body["TTL"])
        number = int(body.get("ID", 0)) or self._next_lease
        self._next_lease += 1
        self.leases[number] = Lease(ttl, anyio.current_time() + ttl)
        self._notify()
        return {"header": self._header(), "ID": str(number), "TTL": str(ttl)}

    def _keepalive(self, body: dict[str, Any]) -> dict[str, Any]:
        number = int(body["ID"])
        lease = self.leases.get(number)
        if lease is None:
            return {"result": {"header": self._header(), "ID": str(number)}}
        lease.ends_at = anyio.current_time() + lease.ttl_s
        ttl = str(int(lease.ttl_s))
        return {"result": {"header": self._header(), "ID": str(number), "TTL": ttl}}

    def _revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        number = int(body["ID"])
        if number not in self.leases:
            raise GatewayError(NOT_FOUND, "requested lease not found")
        self._end_lease(number)
        return {"header": self._header()}

    def _end_lease(self, number: int) -> None:
        lease = self.leases.pop(number, None)
        if lease is None or not lease.keys:
            return
        self.revision += 1
        for key in sorted(lease.keys):
            self._set(key, None, 0)
        self._notify()

    def _expire(self) -> None:
        now = anyio.current_time()
        for number in [n for n, lease in self.leases.items() if lease.ends_at <= now]:
            self._end_lease(number)

    def _until_expiry(self) -> float:
        ends = min((lease.ends_at for lease in self.leases.values()), default=float("inf"))
        return max(0.0, ends - anyio.current_time())

    def _notify(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    def _header(self) -> dict[str, str]:
        return {"cluster_id": "1", "member_id": "1", "revision": str(self.revision)}


class StandinApp:
    """ASGI application of the gateway, with `POST /faults` and `GET /counts`."""

    def __init__(self, store: StandinStore | None = None) -> None:
        self.store = store or StandinStore()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
            return
        path, raw = scope["path"], await _read_body(receive)
        try:
            body = json.loads(raw or b"{}")
            if path == "/v3/watch":
                await self._serve_watch(body, receive, send)
            elif path == "/counts":
                await _answer(send, 200, self.store.count_report())
            elif path == "/faults":
                self.store.apply_faults(body)
                await _answer(send, 200, {})
            else:
                await _answer(send, 200, await self.store.handle(path, body))
        except GatewayError as exc:
            await _answer(send, HTTP_STATUS[exc.code], _error_body(exc))
        except ValueError as exc:
            await _answer(send, 400, {"code": INVALID_ARGUMENT, "message": str(exc)})
        except ConnectionDropped:
            # hypercorn closes the connection when an app ends in the middle of a response;
            # it would answer 500 if no response had been started.
            await send({"type": "http.response.start", "status": 200, "headers": _headers(1)})
            raise

    async def _serve_watch(self, body: dict[str, Any], receive: Receive, send: Send) -> None:
        messages = self.store.watch(body)
        first = await anext(messages)
        headers = [(b"content-type", b"application/json")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})

        async def forward() -> None:
            try:
                await send({"type": "http.response.body", "body": _line(first), "more_body": True})
                async for message in messages:
                    part = _line(message)
                    await send({"type": "http.response.body", "body": part, "more_body": True})
                await send({"type": "http.response.body", "body": b""})
            except ConnectionDropped:
                pass
            finally:
                group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(forward)
            while (await receive())["type"] != "http.disconnect":
                pass
            group.cancel_scope.cancel()


class DirectTransport(httpx.AsyncBaseTransport):
    """Connects an httpx client to a stand-in in the same process, with streaming and timeouts.

    httpx.ASGITransport collects a whole response, so a watch would never answer.
    """

    def __init__(self, store: StandinStore) -> None:
        self.store = store

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Serve one request."""
        if self.store.faults.refuse:
            raise httpx.ConnectError("the connection was refused", request=request)
        body = json.loads(request.content)
        path = request.url.path
        limit = request.extensions.get("timeout", {}).get("read")
        try:
            with anyio.fail_after(limit):
                if path == "/v3/watch":
                    messages = self.store.watch(body)
                    first = await anext(messages)
                    return httpx.Response(200, stream=_WatchStream(first, messages, limit))
                # A request takes a moment, so that other tasks run in between as with TCP.
                await anyio.lowlevel.checkpoint()
                return httpx.Response(200, json=await self.store.handle(path, body))
        except GatewayError as exc:
            return httpx.Response(HTTP_STATUS[exc.code], json=_error_body(exc))
        except TimeoutError as exc:
            raise httpx.ReadTimeout("no answer in time", request=request) from exc
        except ConnectionDropped as exc:
            raise httpx.ReadError("the connection was closed", request=request) from exc


class _WatchStream(httpx.AsyncByteStream):
    def __init__(
        self, first: dict[str, Any], messages: AsyncIterator[dict[str, Any]], limit: float | None
    ) -> None:
        self.first, self.messages, self.limit = first, messages, limit

    async def __aiter__(self) -> AsyncIterator[bytes]:
        yield _line(self.first)
        while True:
            try:
                with anyio.fail_after(self.limit):
                    message = await anext(self.messages)
            except StopAsyncIteration:
                return
            except TimeoutError as exc:
                raise httpx.ReadTimeout("no event in time") from exc
            except ConnectionDropped as exc:
                raise httpx.ReadError("the connection was closed") from exc
            yield _line(message)

    async def aclose(self) -> None:
        await self.messages.aclose()  # type: ignore[attr-defined]


def _bounds(body: dict[str, Any]) -> tuple[bytes, bytes]:
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
    # The gateway leaves out fields that have their default.
    return content | ({"lease": str(row.lease)} if row.lease else {})


def _event(change: Change) -> dict[str, Any]:
    if change.after is not None:
        return {"kv": _row_json(change.after)}
    kv = {"key": b64encode(change.key).decode(), "mod_revision": str(change.revision)}
    return {"type": "DELETE", "kv": kv}


def _error_body(exc: GatewayError) -> dict[str, Any]:
    return {"error": str(exc), "code": exc.code, "message": f"etcdserver: {exc}"}


def _line(message: dict[str, Any]) -> bytes:
    return f"{json.dumps(message)}\n".encode()


def _headers(length: int) -> list[tuple[bytes, bytes]]:
    return [(b"content-type", b"application/json"), (b"content-length", str(length).encode())]


async def _answer(send: Send, status: int, content: dict[str, Any]) -> None:
    raw = json.dumps(content).encode()
    headers = _headers(len(raw))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": raw})


async def _read_body(receive: Receive) -> bytes:
    raw = bytearray()
    while True:
        message = await receive()
        raw += message.get("body", b"")
        if len(raw) > MAX_REQUEST_BYTES or not message.get("more_body", False):
            return bytes(raw)


async def _lifespan(receive: Receive, send: Send) -> None:
    while True:
        kind = (await receive())["type"]
        await send({"type": f"{kind}.complete"})
        if kind == "lifespan.shutdown":
            return


def main() -> None:
    """Serve the stand-in until it is ended by a signal."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=2379)
    arguments = parser.parse_args()
    config = Config()
    config.bind = [f"{arguments.host}:{arguments.port}"]
    config.accesslog = None
    # Dropped connections end in an exception that hypercorn would log each time.
    config.errorlog = None
    config.keep_alive_timeout = 3600.0
    app: Any = StandinApp()
    anyio.run(serve, app, config)


if __name__ == "__main__":
    main()
