"""Signed HTTP calls to the operator port of entries."""

import json
import secrets
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any, TypeVar

import anyio
import httpx

from apricotpath.errors import (
    ApricotpathError,
    ConflictError,
    InputError,
    NotFoundError,
    SignatureError,
)
from apricotpath.signing import SigningKey, sign_request

NONCE_BYTES = 16
MAX_ANSWER_BYTES = 64 << 20

T = TypeVar("T")


class EntryUnavailable(ApricotpathError):
    """An entry could not be reached or did not answer; the call may have taken effect."""


class EntryFailed(ApricotpathError):
    """An entry answered that it cannot serve the call now."""


# Statuses of calls without effect; 401 counts as bad input too, though it is not malformed.
ERROR_OF_STATUS: dict[int, type[ApricotpathError]] = {
    400: InputError,
    401: SignatureError,
    404: NotFoundError,
    405: InputError,
    409: ConflictError,
    413: InputError,
    414: InputError,
    431: InputError,
}

# Tests set a transport that calls an application directly.
transport: httpx.AsyncBaseTransport | None = None


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer of one entry; if the call failed, `error` is set and `value` is empty."""

    entry: str
    value: dict[str, Any]
    error: ApricotpathError | None = None


class Client:
    """Calls entries; each attempt is signed with a new nonce."""

    def __init__(self, entries: Sequence[str], key: SigningKey, timeout_s: float) -> None:
        self.entries = tuple(entries)
        self._key = key
        self._http = httpx.AsyncClient(
            timeout=timeout_s, transport=transport, trust_env=False, follow_redirects=False
        )

    async def __aenter__(self) -> "Client":
        await self._http.__aenter__()
        return self

    async def __aexit__(self, *exc_info: Any) -> None:
        await self._http.aclose()

    async def call(self, entry: str, method: str, target: str, body: Any = None) -> dict[str, Any]:
        """Return the answer of one entry, or raise; `body` is bytes or a JSON value."""
        data = body if isinstance(body, bytes) else _encode(body)
        now_ms = time.time_ns() // 1_000_000
        headers = sign_request(
            self._key, method, target, data, now_ms, secrets.token_hex(NONCE_BYTES)
        )
        try:
            response = await self._http.request(
                method, entry.rstrip("/") + target, content=data, headers=headers
            )
        except (httpx.HTTPError, httpx.InvalidURL) as exc:
            detail = str(exc) or type(exc).__name__
            raise EntryUnavailable(f"entry {entry} cannot be reached: {detail}") from exc
        return _decode(entry, response)

    async def call_any(self, method: str, target: str, body: Any = None) -> dict[str, Any]:
        """Try the entries in order and return the first answer.

        Only for idempotent calls: reads, and writes that carry an id.
        """
        last_error: ApricotpathError = EntryUnavailable("no entry can be reached")
        for entry in self.entries:
            try:
                return await self.call(entry, method, target, body)
            except (EntryUnavailable, EntryFailed) as exc:
                last_error = exc
        raise last_error

    async def call_all(self, method: str, target: str, body: Any = None) -> list[Answer]:
        """Call all entries concurrently and return the answers in the order of the entries."""

        async def call_one(entry: str) -> Answer:
            try:
                return Answer(entry, await self.call(entry, method, target, body))
            except ApricotpathError as exc:
                return Answer(entry, {}, exc)

        return await gather([partial(call_one, entry) for entry in self.entries])


async def gather(calls: Sequence[Callable[[], Awaitable[T]]]) -> list[T]:
    """Run calls concurrently and return their results in order."""
    results: dict[int, T] = {}

    async def run(number: int, call: Callable[[], Awaitable[T]]) -> None:
        results[number] = await call()

    async with anyio.create_task_group() as group:
        for number, call in enumerate(calls):
            group.start_soon(run, number, call)
    return [results[number] for number in range(len(calls))]


def _encode(body: Any) -> bytes:
    return b"" if body is None else json.dumps(body).encode()


def decode_object(entry: str, response: httpx.Response) -> dict[str, Any]:
    """Return the JSON object that an entry has answered, or raise EntryFailed."""
    try:
        if len(response.content) > MAX_ANSWER_BYTES:
            raise ValueError
        value = json.loads(response.content)
        if not isinstance(value, dict):
            raise ValueError
    except (ValueError, RecursionError) as exc:
        raise EntryFailed(
            f"entry {entry} sent an answer with status {response.status_code} that is not JSON"
        ) from exc
    return value


def _decode(entry: str, response: httpx.Response) -> dict[str, Any]:
    value = decode_object(entry, response)
    if response.status_code < 300:
        return value
    text = str(value.get("error", f"status {response.status_code}"))
    raise ERROR_OF_STATUS.get(response.status_code, EntryFailed)(f"entry {entry}: {text}")
