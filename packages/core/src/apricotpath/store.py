"""Adapter to the platform's key-value service, the etcd v3 JSON gateway."""

import math
from base64 import b64decode, b64encode
from collections import Counter
from collections.abc import AsyncIterator, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum
from types import TracebackType
from typing import Any, NewType, Protocol, Self
from uuid import uuid4

import anyio
import httpx

from apricotpath.config import StoreSettings
from apricotpath.errors import (
    InputError,
    StoreError,
    StoreLeaseEnded,
    StoreLimited,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from apricotpath.jsonfields import parse_json, parse_object, read_int, read_str

LeaseId = NewType("LeaseId", int)

# Keys per page of a range read; keeps one response well below the memory limit of an entry.
RANGE_PAGE_KEYS = 200
# A watch that receives no event or progress line for this long is treated as disconnected.
WATCH_IDLE_S = 60.0
# Delays between attempts to settle a write, that is, to determine its outcome after its answer
# was lost, and the time limit for all attempts.
SETTLE_FIRST_S = 0.05
SETTLE_MAX_S = 1.0
SETTLE_TOTAL_S = 10.0
# Versions of a key that are searched for a writer token.
SETTLE_MAX_VERSIONS = 8
# gRPC status codes that the gateway reports in the body of an error.
GRPC_NOT_FOUND = 5
GRPC_RESOURCE_EXHAUSTED = 8
# Codes after which the write may have been applied: unknown, deadline exceeded, aborted,
# internal, unavailable.
GRPC_UNCERTAIN = frozenset({2, 4, 10, 13, 14})


@dataclass(frozen=True, slots=True)
class KeyValue:
    """One key with its value and the revision that last changed it."""

    key: str
    value: bytes
    mod_revision: int
    lease: LeaseId


@dataclass(frozen=True, slots=True)
class RangeResult:
    """Keys in order, and the store's revision at which they were read."""

    items: tuple[KeyValue, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Compare:
    """Condition that a key has this mod revision; 0 means that the key is absent."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Sets a key; with a lease, the key is deleted when the lease ends."""

    key: str
    value: bytes
    lease: LeaseId | None = None


@dataclass(frozen=True, slots=True)
class Delete:
    """Deletes a key, all keys with the prefix `key`, or all from `key` up to but not `end`."""

    key: str
    prefix: bool = False
    end: str = ""


@dataclass(frozen=True, slots=True)
class TxnResult:
    """Whether all compares were true, and the store's revision after the transaction."""

    succeeded: bool
    revision: int


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """One change; `value` is None for a deletion."""

    key: str
    value: bytes | None
    mod_revision: int


class Store(Protocol):
    """Interface to the platform's key-value store. Keys are full paths.

    Every call may raise StoreUnavailable (no effect), StoreLimited (no effect)
    and, for writes, StoreOutcomeUnknown (the answer was lost).
    """

    async def get(self, key: str, revision: int = 0) -> KeyValue | None:
        """Return one key, or None; reads at a past revision of the store if `revision` is not 0."""

    async def range(self, prefix: str, end: str = "") -> RangeResult:
        """Return all keys with a prefix, or from `prefix` up to but not `end`, in key order.

        All of them are read at one revision of the store.
        """

    async def txn(
        self, compares: Sequence[Compare], operations: Sequence[Put | Delete]
    ) -> TxnResult:
        """Apply all operations atomically if every compare is true, else none of them."""

    async def lease_grant(self, ttl_s: float) -> LeaseId:
        """Return a new lease that ends `ttl_s` seconds after its last keepalive."""

    async def lease_keepalive(self, lease: LeaseId) -> bool:
        """Renew a lease; False means that it has ended."""

    async def lease_revoke(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""

    def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yield the changes since a revision, inclusive.

        Raises StoreUnavailable when the connection ends.
        """


def new_token() -> str:
    """Return a unique writer token, which identifies one write of a value."""
    return uuid4().hex


def has_token(value: bytes, token: str) -> bool:
    """Tell whether a JSON value carries a writer token."""
    try:
        content = parse_json(value, "the value")
    except InputError:
        return False
    return isinstance(content, dict) and content.get("token") == token


def prefix_end(prefix: str) -> str:
    """Return the first key after all keys with a prefix; prefixes are ASCII."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def settle_delays() -> Iterator[float]:
    """Yield delays in seconds that double up to SETTLE_MAX_S, without end."""
    delay = SETTLE_FIRST_S
    while True:
        yield delay
        delay = min(2 * delay, SETTLE_MAX_S)


class TokenState(Enum):
    """State of a write, determined by reading its key back; see `find_token`."""

    APPLIED = "applied"
    UNCHANGED = "unchanged"
    OVERTAKEN = "overtaken"
    UNCERTAIN = "uncertain"


@dataclass(frozen=True, slots=True)
class TokenLookup:
    """Result of `find_token`; `revision` is the write's mod revision if it was applied."""

    state: TokenState
    revision: int = 0


async def find_token(store: Store, key: str, token: str, expected: int) -> TokenLookup:
    """Determine whether a write with a token took effect on a key.

    `expected` is the mod revision that the write compared. UNCHANGED means not
    yet: a delayed copy of the write can still arrive. OVERTAKEN means that
    another writer was first, so the write never takes effect. UNCERTAIN means
    that the history needed to decide has been compacted or is too long.
    Raises StoreUnavailable or StoreLimited.
    """
    revision = 0
    for _ in range(SETTLE_MAX_VERSIONS):
        try:
            item = await store.get(key, revision)
        except (StoreUnavailable, StoreLimited):
            raise
        except StoreError:
            return TokenLookup(TokenState.UNCERTAIN)
        if item is not None and has_token(item.value, token):
            return TokenLookup(TokenState.APPLIED, item.mod_revision)
        found = item.mod_revision if item is not None else 0
        if found == expected:
            return TokenLookup(TokenState.OVERTAKEN if revision else TokenState.UNCHANGED)
        if found == 0:
            return TokenLookup(TokenState.UNCERTAIN)
        revision = found - 1
    return TokenLookup(TokenState.UNCERTAIN)


async def settled_txn(
    store: Store,
    compares: Sequence[Compare],
    operations: Sequence[Put | Delete],
    token_key: str,
    token: str,
) -> TxnResult:
    """Run a transaction that puts a value with `token` at `token_key`, and determine its outcome.

    The compares must contain `token_key`, a key that is never deleted. After a
    lost answer the key is read back. The same transaction is sent again only
    if the key is unchanged; the compare keeps it from taking effect twice.
    The revision of a success is the mod revision of `token_key`.
    Raises StoreUnavailable or StoreLimited (no effect), or StoreOutcomeUnknown
    if the outcome could not be determined within SETTLE_TOTAL_S or from the
    history of the key.
    """
    expected = next(item.mod_revision for item in compares if item.key == token_key)
    try:
        return await store.txn(compares, operations)
    except StoreOutcomeUnknown:
        started = anyio.current_time()
    refused = False
    for delay in settle_delays():
        if anyio.current_time() - started > SETTLE_TOTAL_S:
            break
        await anyio.sleep(delay)
        try:
            finding = await find_token(store, token_key, token, expected)
            state = finding.state
            if state is TokenState.APPLIED:
                return TxnResult(True, finding.revision)
            # A key that still has its non-zero expected revision has not been written since,
            # so the compare that failed was another one. It can never become true again,
            # since revisions only increase.
            if state is TokenState.OVERTAKEN or (refused and expected):
                return TxnResult(False, 0)
            if state is TokenState.UNCERTAIN or refused:
                break
            result = await store.txn(compares, operations)
            if result.succeeded:
                return result
            refused = True
        except (StoreUnavailable, StoreLimited, StoreOutcomeUnknown):
            continue
    raise StoreOutcomeUnknown(f"the outcome of a write to {token_key} could not be determined")


class EtcdStore:
    """Store client for the etcd v3 JSON gateway; counts its calls by kind in `calls`."""

    def __init__(
        self, cfg: StoreSettings, transport: httpx.AsyncBaseTransport | None = None
    ) -> None:
        self.cfg = cfg
        self.calls: Counter[str] = Counter()
        # The connect timeout is shorter than the total, so that a host that drops packets
        # causes StoreUnavailable and not StoreOutcomeUnknown.
        timeout = httpx.Timeout(cfg.timeout_s, connect=cfg.timeout_s / 2, pool=cfg.timeout_s / 2)
        self._client = httpx.AsyncClient(base_url=cfg.url, transport=transport, timeout=timeout)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.aclose()

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def get(self, key: str, revision: int = 0) -> KeyValue | None:
        """Return one key, or None; see Store."""
        body = {"key": _encode(key)} | ({"revision": str(revision)} if revision else {})
        answer = await self._read("/v3/kv/range", body)
        items = [_key_value(item) for item in answer.get("kvs", [])]
        return items[0] if items else None

    async def range(self, prefix: str, end: str = "") -> RangeResult:
        """Return a range of keys at one revision, read in pages; see Store."""
        start, stop = prefix, end or prefix_end(prefix)
        items: list[KeyValue] = []
        revision = 0
        while True:
            body = {
                "key": _encode(start),
                "range_end": _encode(stop),
                "limit": str(RANGE_PAGE_KEYS),
            }
            if revision:
                body["revision"] = str(revision)
            answer = await self._read("/v3/kv/range", body)
            page = [_key_value(item) for item in answer.get("kvs", [])]
            items += page
            revision = revision or _revision(answer)
            if not answer.get("more") or not page:
                return RangeResult(tuple(items), revision)
            start = page[-1].key + "\0"

    async def txn(
        self, compares: Sequence[Compare], operations: Sequence[Put | Delete]
    ) -> TxnResult:
        """Run a transaction; see Store."""
        body = {
            "compare": [_compare(item) for item in compares],
            "success": [_operation(item) for item in operations],
        }
        answer = await self._write("/v3/kv/txn", body)
        return TxnResult(bool(answer.get("succeeded", False)), _revision(answer))

    async def lease_grant(self, ttl_s: float) -> LeaseId:
        """Return a new lease; the time to live is rounded up to whole seconds."""
        answer = await self._write("/v3/lease/grant", {"TTL": str(math.ceil(ttl_s)), "ID": "0"})
        return LeaseId(int(answer["ID"]))

    async def lease_keepalive(self, lease: LeaseId) -> bool:
        """Renew a lease; False means that it has ended."""
        answer = await self._write("/v3/lease/keepalive", {"ID": str(lease)})
        return int(answer.get("result", {}).get("TTL", 0)) > 0

    async def lease_revoke(self, lease: LeaseId) -> None:
        """End a lease and delete its keys; a lease that has ended is no error."""
        try:
            await self._write("/v3/lease/revoke", {"ID": str(lease)})
        except StoreLeaseEnded:
            return

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yield the changes since a revision; see Store."""
        self.calls["watch"] += 1
        request = {
            "key": _encode(prefix),
            "range_end": _encode(prefix_end(prefix)),
            "start_revision": str(from_revision),
        }
        timeout = httpx.Timeout(self.cfg.timeout_s, read=WATCH_IDLE_S)
        try:
            async with self._client.stream(
                "POST", "/v3/watch", json={"create_request": request}, timeout=timeout
            ) as response:
                if response.status_code != 200:
                    await response.aread()
                    _raise_for(response, "watch")
                async for line in response.aiter_lines():
                    for event in _watch_events(line):
                        yield event
        except (httpx.TransportError, OSError) as exc:
            raise StoreUnavailable(f"the watch of {prefix} was cut: {exc}") from exc
        except (InputError, ValueError, KeyError, TypeError, AttributeError) as exc:
            raise StoreUnavailable(f"the watch of {prefix} sent a malformed line: {exc}") from exc
        raise StoreUnavailable(f"the watch of {prefix} was cut")

    async def _read(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        try:
            return await self._call(path, body)
        except StoreOutcomeUnknown as exc:
            # A read has no effect, so a lost answer just means that the store is unavailable.
            raise StoreUnavailable(str(exc)) from exc

    async def _write(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        return await self._call(path, body)

    async def _call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        kind = path.rsplit("/", 1)[-1]
        self.calls[kind] += 1
        try:
            # The httpx timeouts apply to each step of a call; this one limits the total.
            with anyio.fail_after(self.cfg.timeout_s):
                response = await self._client.post(path, json=body)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as exc:
            raise StoreUnavailable(f"the store cannot be reached for {kind}: {exc!r}") from exc
        except (httpx.TransportError, OSError, TimeoutError) as exc:
            raise StoreOutcomeUnknown(f"the store's answer to {kind} was lost: {exc!r}") from exc
        if response.status_code != 200:
            _raise_for(response, kind)
        try:
            return parse_object(response.content, "the answer")
        except InputError as exc:
            raise StoreOutcomeUnknown(f"the store's answer to {kind} is malformed") from exc


def _raise_for(response: httpx.Response, kind: str) -> None:
    try:
        answer = parse_object(response.content, "the answer")
        code, text = read_int(answer, "code", 0), read_str(answer, "message", "")
    except InputError:
        code, text = 0, ""
    reason = f"the store answered {response.status_code} to {kind}: {text}"
    if response.status_code == 429 or code == GRPC_RESOURCE_EXHAUSTED:
        raise StoreLimited(reason)
    if code == GRPC_NOT_FOUND and "lease" in text:
        raise StoreLeaseEnded(reason)
    if response.status_code >= 500 or code in GRPC_UNCERTAIN:
        raise StoreOutcomeUnknown(reason)
    raise StoreError(reason)


def _encode(key: str) -> str:
    return b64encode(key.encode()).decode()


def _key_value(item: dict[str, Any]) -> KeyValue:
    return KeyValue(
        b64decode(item["key"]).decode(),
        b64decode(item.get("value", "")),
        int(item.get("mod_revision", 0)),
        LeaseId(int(item.get("lease", 0))),
    )


def _revision(answer: dict[str, Any]) -> int:
    return int(answer.get("header", {}).get("revision", 0))


def _compare(item: Compare) -> dict[str, str]:
    return {
        "key": _encode(item.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(item.mod_revision),
    }


def _operation(item: Put | Delete) -> dict[str, dict[str, str]]:
    if isinstance(item, Put):
        put = {"key": _encode(item.key), "value": b64encode(item.value).decode()}
        if item.lease is not None:
            put["lease"] = str(item.lease)
        return {"request_put": put}
    delete = {"key": _encode(item.key)}
    end = item.end or (prefix_end(item.key) if item.prefix else "")
    if end:
        delete["range_end"] = _encode(end)
    return {"request_delete_range": delete}


def _watch_events(line: str) -> Iterator[WatchEvent]:
    if not line.strip():
        return
    content = parse_object(line, "a watch event")
    result = content.get("result")
    if result is None or result.get("canceled"):
        raise StoreUnavailable(f"the store ended a watch: {line[:200]}")
    for event in result.get("events", []):
        item = _key_value(event["kv"])
        deleted = event.get("type", "PUT") == "DELETE"
        yield WatchEvent(item.key, None if deleted else item.value, item.mod_revision)
