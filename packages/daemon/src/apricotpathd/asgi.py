"""Common functions of the ASGI apps: serving, reading request bodies, sending answers."""

import json
from collections.abc import Awaitable, Callable, Iterable, MutableMapping
from typing import Any

import sniffio
from hypercorn.config import Config

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
RawHeaders = Iterable[tuple[bytes, bytes]]

JSON = "application/json"
TEXT = "text/plain"


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Confirm the ASGI startup and shutdown events, which need no work here."""
    while True:
        kind = (await receive())["type"]
        await send({"type": f"{kind}.complete"})
        if kind == "lifespan.shutdown":
            return


async def read_body(receive: Receive, limit: int | None = None) -> bytes:
    """Return the body of a request; reading stops once it exceeds `limit` bytes."""
    body = bytearray()
    while True:
        message = await receive()
        body += message.get("body", b"")
        too_long = limit is not None and len(body) > limit
        if too_long or not message.get("more_body", False):
            return bytes(body)


async def discard_body(receive: Receive, limit: int, release: Callable[[int], None]) -> None:
    """Read a body of at most `limit` bytes without keeping it; `release` gets each piece's size."""
    size = 0
    while size <= limit:
        message = await receive()
        piece = len(message.get("body", b""))
        release(piece)
        size += piece
        if not message.get("more_body", False):
            return


def body_headers(content_type: str, length: int) -> list[tuple[bytes, bytes]]:
    """Return the headers that describe a body of `length` bytes."""
    return [
        (b"content-type", content_type.encode()),
        (b"content-length", str(length).encode()),
    ]


async def send_body(
    send: Send, status: int, content_type: str, body: bytes, extra: RawHeaders = ()
) -> None:
    """Send a complete answer, with `extra` headers after those of its body."""
    headers = [*body_headers(content_type, len(body)), *extra]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def send_json(send: Send, status: int, value: Any) -> None:
    """Send a complete JSON answer."""
    await send_body(send, status, JSON, json.dumps(value).encode())


async def serve_asgi(app: Any, config: Config, stop: Callable[[], Awaitable[Any]]) -> None:
    """Serve an ASGI app with hypercorn on the running event loop until `stop` returns."""
    # Imported only when used, so that asyncio processes do not load trio.
    if sniffio.current_async_library() == "trio":
        from hypercorn.trio import serve
    else:
        from hypercorn.asyncio import serve  # type: ignore[assignment]
    await serve(app, config, shutdown_trigger=stop)
