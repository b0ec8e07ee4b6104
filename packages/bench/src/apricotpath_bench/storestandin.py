"""Stand-in for the platform's key-value store: the etcd v3 JSON gateway, in memory."""

import argparse
import json
from collections.abc import AsyncIterator
from typing import Any

import anyio
import anyio.lowlevel
import httpx
from hypercorn.asyncio import serve
from hypercorn.config import Config

from apricotpath_bench.storefaults import ConnectionDropped, Limits, StandinStore
from apricotpath_bench.storemodel import (
    INVALID_ARGUMENT,
    NOT_FOUND,
    OUT_OF_RANGE,
    RESOURCE_EXHAUSTED,
    GatewayError,
)
from apricotpathd.asgi import (
    JSON,
    Receive,
    Scope,
    Send,
    body_headers,
    read_body,
    send_json,
    serve_lifespan,
)

__all__ = ["DirectTransport", "Limits", "StandinApp", "StandinStore"]

MAX_REQUEST_BYTES = 4 << 20
# HTTP status for each gRPC status code of the gateway's errors.
HTTP_STATUS = {INVALID_ARGUMENT: 400, NOT_FOUND: 404, RESOURCE_EXHAUSTED: 429, OUT_OF_RANGE: 400}


class StandinApp:
    """ASGI application of the gateway, extended by `POST /faults` and `GET /counts`."""

    def __init__(self, store: StandinStore | None = None) -> None:
        self.store = store or StandinStore()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        path, raw_body = scope["path"], await read_body(receive, MAX_REQUEST_BYTES)
        try:
            body = json.loads(raw_body or b"{}")
            if path == "/v3/watch":
                await self._serve_watch(body, receive, send)
            elif path == "/counts":
                await send_json(send, 200, self.store.count_report())
            elif path == "/faults":
                self.store.apply_faults(body)
                await send_json(send, 200, {})
            else:
                await send_json(send, 200, await self.store.handle(path, body))
        except GatewayError as exc:
            await send_json(send, HTTP_STATUS[exc.code], _error_body(exc))
        except ValueError as exc:
            await send_json(send, 400, {"code": INVALID_ARGUMENT, "message": str(exc)})
        except ConnectionDropped:
            # Hypercorn closes the connection if an app fails in the middle of a response.
            # Without a started response it would answer 500 instead.
            await send(
                {"type": "http.response.start", "status": 200, "headers": body_headers(JSON, 1)}
            )
            raise

    async def _serve_watch(self, body: dict[str, Any], receive: Receive, send: Send) -> None:
        messages = self.store.watch(body)
        first = await anext(messages)
        headers = [(b"content-type", b"application/json")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})

        async def forward() -> None:
            try:
                await send(
                    {"type": "http.response.body", "body": _json_line(first), "more_body": True}
                )
                async for message in messages:
                    part = _json_line(message)
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

    httpx.ASGITransport buffers the whole response, so that a watch would never return.
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
                # Yield to the event loop, so that other tasks can run during a request as over TCP.
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
        yield _json_line(self.first)
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
            yield _json_line(message)

    async def aclose(self) -> None:
        await self.messages.aclose()  # type: ignore[attr-defined]


def _error_body(exc: GatewayError) -> dict[str, Any]:
    return {"error": str(exc), "code": exc.code, "message": f"etcdserver: {exc}"}


def _json_line(message: dict[str, Any]) -> bytes:
    return f"{json.dumps(message)}\n".encode()


def main() -> None:
    """Serve the stand-in until a signal ends it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=2379)
    arguments = parser.parse_args()
    config = Config()
    config.bind = [f"{arguments.host}:{arguments.port}"]
    config.accesslog = None
    # Each dropped connection raises an exception that hypercorn would log.
    config.errorlog = None
    config.keep_alive_timeout = 3600.0
    app: Any = StandinApp()
    anyio.run(serve, app, config)


if __name__ == "__main__":
    main()
