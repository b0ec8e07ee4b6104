"""The agent's HTTP port: health, readiness, metrics and state, without credentials."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

Send = Callable[[dict[str, Any]], Awaitable[None]]


class StatusApp:
    """ASGI app over three functions of a process."""

    def __init__(
        self,
        ready: Callable[[], bool],
        metrics: Callable[[], bytes],
        debug: Callable[[], dict[str, Any]],
    ) -> None:
        self.ready = ready
        self.metrics = metrics
        self.debug = debug

    async def __call__(self, scope: Any, receive: Any, send: Send) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
        elif scope["type"] == "http":
            status, kind, body = self._answer(scope["path"])
            headers = [(b"content-type", kind), (b"content-length", str(len(body)).encode())]
            await send({"type": "http.response.start", "status": status, "headers": headers})
            await send({"type": "http.response.body", "body": body})

    def _answer(self, path: str) -> tuple[int, bytes, bytes]:
        if path == "/healthz":
            return 200, b"text/plain", b"ok\n"
        if path == "/readyz":
            ready = self.ready()
            return (200, b"text/plain", b"ready\n") if ready else (503, b"text/plain", b"wait\n")
        if path == "/metrics":
            return 200, b"text/plain; version=0.0.4; charset=utf-8", self.metrics()
        if path == "/debug":
            return 200, b"application/json", json.dumps(self.debug()).encode()
        return 404, b"text/plain", b"not found\n"


async def _lifespan(receive: Any, send: Send) -> None:
    while True:
        kind = (await receive())["type"]
        await send({"type": f"{kind}.complete"})
        if kind == "lifespan.shutdown":
            return
