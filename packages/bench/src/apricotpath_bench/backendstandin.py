"""Stand-in for a backend server: answers after a service time and records every run."""

import argparse
import json
import signal
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, fields, replace
from hashlib import blake2b
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl

import anyio
from hypercorn.config import Config

from apricotpathd.asgi import Receive, Scope, Send, read_body, send_json, serve_asgi, serve_lifespan

REQUEST_ID_HEADER = "apricotpath-request-id"
CHUNK_BYTES = 64 << 10
MAX_BODY_BYTES = 1 << 30
# A hanging request ends after this time, so that a test cannot block forever.
HANG_TIMEOUT_S = 600.0


@dataclass(frozen=True, slots=True)
class Faults:
    """Active faults; `slow` multiplies the service time.

    `cut_body` truncates answers at half their length, `hang` sends no answer.
    """

    slow: float = 1.0
    fail_all: bool = False
    cut_body: bool = False
    hang: bool = False


@dataclass(slots=True)
class Run:
    """One run of a request; times in seconds of the process's monotonic clock.

    `end` is None while the request runs.
    """

    request: str
    key: str
    path: str
    start: float
    body_bytes: int = 0
    end: float | None = None
    status: int = 0


def expected_body(request: str, size: int) -> bytes:
    """Return the body of `size` bytes that belongs to a request id.

    Each block of 256 bytes contains the hash of the id and its own offset, so that parts
    of other bodies and reordered parts are detected.
    """
    seed = 15 * blake2b(request.encode(), digest_size=8).hexdigest()
    return "".join(f"{seed}{offset:016x}" for offset in range(0, size, 256)).encode()[:size]


class BackendApp:
    """ASGI app that serves `slots` requests at a time and lets the others wait.

    A request beyond `connections` is answered with 503 and counted in `overrun`; the
    agent of the host must never send one. `noise` maps an activity to the slowdown that
    one of its tasks on the same host adds. `delay_s` is the round trip between data
    centres, during which a request holds no slot.
    """

    def __init__(
        self, service: str, slots: int = 8, connections: int = 64, record: Path | None = None
    ) -> None:
        self.service = service
        self.slots = slots
        self.connections = connections
        self.record = record
        self.noise: dict[str, float] = {}
        self.delay_s = 0.0
        self.neighbours: dict[str, float] = {}
        self.faults = Faults()
        self.runs: list[Run] = []
        self.present = 0
        self.most_present = 0
        self.most_running = 0
        self.overrun = 0
        self._running = 0
        self._slots: anyio.Semaphore | None = None

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["type"] == "http":
            body = await read_body(receive)
            if scope["path"] == "/faults" and scope["method"] == "POST":
                await self._set_faults(body, send)
            elif scope["path"] == "/record" and scope["method"] == "GET":
                await send_json(send, 200, self.summary())
            elif scope["path"] == "/neighbours" and scope["method"] == "POST":
                await self._set_neighbours(body, send)
            else:
                await self._serve(scope, len(body), send)

    def summary(self) -> dict[str, Any]:
        """Return all runs and the highest numbers of concurrent requests."""
        return {
            "service": self.service,
            "runs": [asdict(run) for run in self.runs],
            "most_present": self.most_present,
            "most_running": self.most_running,
            "overrun": self.overrun,
        }

    def slowdown(self) -> float:
        """Return the factor on service times, from faults and from the tasks on this host."""
        added = sum(self.noise.get(name, 0.0) * n for name, n in self.neighbours.items())
        return self.faults.slow * (1.0 + added)

    async def _set_neighbours(self, body: bytes, send: Send) -> None:
        """Set the running tasks of this host: activity to number, weighted by throttle share."""
        try:
            self.neighbours = {str(name): float(n) for name, n in json.loads(body).items()}
        except (ValueError, TypeError, AttributeError) as exc:
            await send_json(send, 400, {"error": f"The neighbours are not valid: {exc}."})
            return
        await send_json(send, 200, self.neighbours)

    async def _set_faults(self, body: bytes, send: Send) -> None:
        fault_names = {item.name for item in fields(Faults)}
        try:
            changes = json.loads(body)
            if not isinstance(changes, dict) or set(changes) - fault_names:
                raise ValueError("unknown fault")
        except ValueError as exc:
            await send_json(send, 400, {"error": f"The faults are not valid: {exc}."})
            return
        self.faults = replace(self.faults, **changes)
        await send_json(send, 200, asdict(self.faults))

    async def _serve(self, scope: Scope, body_bytes: int, send: Send) -> None:
        headers = {name.decode(): value.decode("latin-1") for name, value in scope["headers"]}
        query = dict(parse_qsl(scope["query_string"].decode("latin-1")))
        request = headers.get(REQUEST_ID_HEADER, "")
        key = headers.get("idempotency-key", "")
        if self.present >= self.connections:
            self.overrun += 1
            await send_json(send, 503, {"error": "All connections are in use."})
            return
        self.present += 1
        self.most_present = max(self.most_present, self.present)
        if self._slots is None:
            self._slots = anyio.Semaphore(self.slots)
        try:
            if self.delay_s:
                await anyio.sleep(self.delay_s)
            async with self._slots:
                run = Run(request, key, scope["path"], anyio.current_time(), body_bytes)
                self.runs.append(run)
                self._write_record("start", run)
                self._running += 1
                self.most_running = max(self.most_running, self._running)
                try:
                    await self._respond(run, headers, query, send)
                finally:
                    self._running -= 1
                    run.end = anyio.current_time()
                    self._write_record("end", run)
        finally:
            self.present -= 1

    async def _respond(
        self, run: Run, headers: dict[str, str], query: dict[str, str], send: Send
    ) -> None:
        work_ms = float(query.get("work_ms") or headers.get("work-ms") or 0)
        size = min(int(query.get("size") or headers.get("size") or 0), MAX_BODY_BYTES)
        faults = self.faults
        if faults.hang:
            await anyio.sleep(HANG_TIMEOUT_S)
        if work_ms:
            await anyio.sleep(work_ms / 1000 * self.slowdown())
        if faults.fail_all:
            run.status = 500
            await send_json(send, 500, {"error": "The backend server fails everything."})
            return
        run.status = 200
        body = expected_body(run.request, size)
        sent_body = body[: size // 2] if faults.cut_body else body
        response_headers = [
            (b"content-length", str(size).encode()),
            (b"run-id", run.request.encode()),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": response_headers})
        for offset in range(0, len(sent_body), CHUNK_BYTES):
            chunk = sent_body[offset : offset + CHUNK_BYTES]
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
        if not faults.cut_body:
            await send({"type": "http.response.body", "body": b"", "more_body": False})

    def _write_record(self, event: str, run: Run) -> None:
        if self.record is not None:
            with self.record.open("a", encoding="utf-8") as file:
                file.write(json.dumps({"event": event, **asdict(run)}) + "\n")


async def serve_app(app: Any, bind: str, shutdown: Callable[[], Awaitable[Any]]) -> None:
    """Serve an ASGI app on `host:port`, or `fd://N`, until `shutdown` returns."""
    cfg = Config()
    cfg.bind = [bind]
    cfg.accesslog = None
    cfg.errorlog = None
    cfg.keep_alive_timeout = 60.0
    await serve_asgi(app, cfg, shutdown)


async def _main(args: argparse.Namespace) -> None:
    app = BackendApp(args.service, args.slots, args.connections, args.record)
    app.noise, app.delay_s = args.noise, args.delay_ms / 1000.0
    stopped = anyio.Event()

    async def watch_signals() -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _number in signals:
                stopped.set()

    async with anyio.create_task_group() as group:
        group.start_soon(watch_signals)
        await serve_app(app, f"{args.host}:{args.port}", stopped.wait)
        group.cancel_scope.cancel()


def main() -> None:
    """Run the stand-in from the command line until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument(
        "--record", type=Path, help="append the start and end of each run as JSON lines"
    )
    parser.add_argument("--noise", type=json.loads, default={}, help="JSON: activity -> slowdown")
    parser.add_argument("--delay-ms", type=float, default=0.0, help="round trip to the entry")
    anyio.run(_main, parser.parse_args())


if __name__ == "__main__":
    main()
