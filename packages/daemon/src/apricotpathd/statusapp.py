"""HTTP port of an agent: health, readiness, metrics and state, without credentials."""

import json
from collections.abc import Callable
from typing import Any

from apricotpathd.asgi import JSON, TEXT, Receive, Scope, Send, send_body, serve_lifespan


class StatusApp:
    """ASGI app that serves a process's readiness, metrics and debug state."""

    def __init__(
        self,
        ready: Callable[[], bool],
        metrics: Callable[[], bytes],
        debug: Callable[[], dict[str, Any]],
    ) -> None:
        self.ready = ready
        self.metrics = metrics
        self.debug = debug

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await send_body(send, *self._answer(scope["path"]))

    def _answer(self, path: str) -> tuple[int, str, bytes]:
        if path == "/healthz":
            return 200, TEXT, b"ok\n"
        if path == "/readyz":
            ready = self.ready()
            return (200, TEXT, b"ready\n") if ready else (503, TEXT, b"wait\n")
        if path == "/metrics":
            return 200, "text/plain; version=0.0.4; charset=utf-8", self.metrics()
        if path == "/debug":
            return 200, JSON, json.dumps(self.debug()).encode()
        return 404, TEXT, b"not found\n"
