"""Measures processor time and added latency of the request path on loopback.

One run measures three paths to the same backend stand-in: direct, through a bare
forwarder (hypercorn and httpx only), and through entry and agent.
"""

import argparse
import json
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import anyio
import httpx
import hypercorn.asyncio
from anyio.abc import ByteStream
from hypercorn.config import Config

from apricotpath_bench.deploy import LOOPBACK, Deployment, free_ports
from apricotpath_bench.procstat import cpu_seconds, load_average, resident_mb
from apricotpath_bench.shapes import SUVA, Shape

SIZES_BYTES = (200, 64 << 10)
CONCURRENCY_LEVELS = (1, 32)
WARM_UP_REQUESTS = 200
WORK_MS = 2
READY_S = 10.0
READ_BYTES = 256 << 10
# Limit for the entry's processor time, as a multiple of the bare forwarder's.
TARGET_RATIO = 1.5
SHAPE = replace(
    SUVA,
    name="pathcost",
    hosts=1,
    entries=1,
    data_centres=("suva-depot",),
    slots=64,
    connections=64,
    quiet_hours=(),
)


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of one path at one load; processor times are per request.

    `body` is the size in bytes of the request's and the answer's body. `forwarder_us`,
    `entry_us` and `agent_us` are 0 if the path has no such process.
    """

    path: str
    body: int
    concurrent: int
    requests: int
    p50_ms: float
    p99_ms: float
    backend_us: float
    forwarder_us: float = 0.0
    entry_us: float = 0.0
    agent_us: float = 0.0


class ProfiledDeployment(Deployment):
    """A deployment whose entries and agents write a profile when SIGTERM ends them."""

    def _command(self, name: str) -> tuple[list[str], str]:
        command, port_name = super()._command(name)
        if name.startswith(("entry", "agent")):
            profile = ["-m", "cProfile", "-o", str(self.folder / f"{name}.prof")]
            command = [command[0], *profile, *command[1:]]
        return command, port_name


class Forwarder:
    """ASGI app that forwards each request to one address and streams the answer back."""

    def __init__(self, target: str) -> None:
        limits = httpx.Limits(max_connections=64, max_keepalive_connections=64)
        self.client = httpx.AsyncClient(
            base_url=target, limits=limits, timeout=30.0, trust_env=False
        )

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            while True:
                kind = (await receive())["type"]
                await send({"type": f"{kind}.complete"})
                if kind == "lifespan.shutdown":
                    return
        body = bytearray()
        more = True
        while more:
            message = await receive()
            body += message.get("body", b"")
            more = message.get("more_body", False)
        path = scope["raw_path"] + b"?" + scope["query_string"]
        headers = [pair for pair in scope["headers"] if pair[0] not in (b"host", b"connection")]
        req = self.client.build_request(
            scope["method"], path.decode("latin-1"), headers=headers, content=bytes(body)
        )
        response = await self.client.send(req, stream=True)
        try:
            start = {"type": "http.response.start", "status": response.status_code}
            await send(start | {"headers": [(k.lower(), v) for k, v in response.headers.raw]})
            async for chunk in response.aiter_raw():
                await send({"type": "http.response.body", "body": chunk, "more_body": True})
            await send({"type": "http.response.body", "body": b""})
        finally:
            await response.aclose()


async def serve_forwarder(port: int, target: str) -> None:
    """Serve the bare forwarder until SIGTERM."""
    config = Config()
    config.bind = [f"{LOOPBACK}:{port}"]
    config.accesslog = None
    config.include_server_header = False
    stopped = anyio.Event()

    async def wait_for_signal() -> None:
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                stopped.set()
                return

    async with anyio.create_task_group() as group:
        group.start_soon(wait_for_signal)
        await hypercorn.asyncio.serve(
            Forwarder(target),  # type: ignore[arg-type]
            config,
            shutdown_trigger=stopped.wait,
        )


class Caller:
    """One keep-alive connection of a caller.

    It sends prepared bytes and parses only the status and the length, since a client library
    would take more processor time per request than the measured processes.
    """

    def __init__(self, stream: ByteStream, request: bytes) -> None:
        self.stream = stream
        self.request = request

    async def exchange(self) -> bool:
        """Send the request and read the whole answer; return whether the connection stays open.

        Raises RuntimeError unless the answer is 200.
        """
        await self.stream.send(self.request)
        data = b""
        while (end := data.find(b"\r\n\r\n")) < 0:
            data += await self.stream.receive()
        head = data[:end].lower()
        if not head.startswith(b"http/1.1 200"):
            raise RuntimeError(f"the answer was {data[:300]!r}")
        length = int(head.partition(b"content-length:")[2].partition(b"\r\n")[0])
        remaining = length - (len(data) - end - 4)
        while remaining > 0:
            remaining -= len(await self.stream.receive(READ_BYTES))
        return b"connection: close" not in head


async def run_requests(url: str, body: bytes, count: int, concurrent: int) -> list[float]:
    """Send requests in a closed loop and return their sorted times in seconds."""
    parts = urlsplit(url)
    assert parts.hostname is not None and parts.port is not None
    head = (
        f"POST {parts.path}?{parts.query} HTTP/1.1\r\nhost: {parts.netloc}\r\n"
        "apricotpath-class: intake\r\napricotpath-team: depot-suva\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    request = head.encode() + body
    times: list[float] = []
    remaining = count

    async def work(host: str, port: int) -> None:
        nonlocal remaining
        # Hypercorn closes a connection after 1,000 requests.
        while remaining > 0:
            is_open = True
            async with await anyio.connect_tcp(host, port) as stream:
                caller = Caller(stream, request)
                while remaining > 0 and is_open:
                    remaining -= 1
                    started_at = time.perf_counter()
                    is_open = await caller.exchange()
                    times.append(time.perf_counter() - started_at)

    async with anyio.create_task_group() as group:
        for _ in range(concurrent):
            group.start_soon(work, parts.hostname, parts.port)
    return sorted(times)


def measure(
    path: str, base: str, pids: dict[str, int], body: int, concurrent: int, count: int
) -> Cost:
    """Return the cost of one path under one load."""
    url = f"{base}/work?work_ms={WORK_MS}&size={body}"
    content = b"x" * body
    anyio.run(run_requests, url, content, WARM_UP_REQUESTS, concurrent)
    before = {name: cpu_seconds(pid) for name, pid in pids.items()}
    times = anyio.run(run_requests, url, content, count, concurrent)
    used = {
        f"{name}_us": round((cpu_seconds(pid) - before[name]) / count * 1e6)
        for name, pid in pids.items()
    }
    p50, p99 = (round(times[count * part // 100] * 1e3, 2) for part in (50, 99))
    return Cost(path, body, concurrent, count, p50, p99, **used)


@contextmanager
def forwarder(target: str) -> Iterator[tuple[str, int]]:
    """Run the bare forwarder as a process; yields its base URL and process id."""
    port = free_ports(1)[0]
    command = [sys.executable, "-m", "apricotpath_bench.pathcost", "--forward", target]
    process = subprocess.Popen([*command, "--port", str(port)])
    base = f"http://{LOOPBACK}:{port}"
    try:
        deadline = time.monotonic() + READY_S
        while True:
            try:
                httpx.get(f"{base}/work?work_ms=0&size=1", trust_env=False)
                break
            except httpx.TransportError:
                if time.monotonic() > deadline:
                    raise
                time.sleep(0.05)
        yield base, process.pid
    finally:
        process.kill()
        process.wait()


def run(
    shape: Shape,
    count: int,
    sizes: tuple[int, ...],
    levels: tuple[int, ...],
    profiles: Path | None = None,
) -> list[Cost]:
    """Measure all paths and return their costs; profiles are written to `profiles`, if set."""
    costs = []
    with tempfile.TemporaryDirectory() as scratch:
        folder = profiles or Path(scratch)
        deployment = (ProfiledDeployment if profiles else Deployment)(shape, folder)
        try:
            deployment.start()
            backend = deployment.url("backend-1")
            pids = {name: item.process.pid for name, item in deployment.processes.items()}
            with forwarder(backend) as (forward, forward_pid):
                paths: list[tuple[str, str, dict[str, int]]] = [
                    ("direct", backend, {}),
                    ("forwarder", forward, {"forwarder": forward_pid}),
                    (
                        "entry+agent",
                        f"{deployment.url('entry-1-callers')}/s/{shape.service}",
                        {"entry": pids["entry-1"], "agent": pids["agent-1"]},
                    ),
                ]
                for body in sizes:
                    for concurrent in levels:
                        for name, base, used in paths:
                            used = used | {"backend": pids["backend-1"]}
                            costs.append(measure(name, base, used, body, concurrent, count))
            for name in ("entry-1", "agent-1"):
                print(f"{name}: {resident_mb(pids[name]):.1f} MB resident", file=sys.stderr)
            if profiles:
                for name in ("agent-1", "entry-1"):
                    deployment.terminate(name)
        finally:
            deployment.stop()
    return costs


def ratios(costs: list[Cost]) -> list[dict[str, float]]:
    """Return the processor time of entry and agent relative to the forwarder, by load."""
    result = []
    for cost in costs:
        if cost.path != "entry+agent":
            continue
        base = next(
            other
            for other in costs
            if other.path == "forwarder"
            and (other.body, other.concurrent) == (cost.body, cost.concurrent)
        )
        result.append(
            {
                "body": cost.body,
                "concurrent": cost.concurrent,
                "entry_ratio": round(cost.entry_us / base.forwarder_us, 2),
                "path_ratio": round((cost.entry_us + cost.agent_us) / base.forwarder_us, 2),
                "added_p50_ms": round(cost.p50_ms - base.p50_ms, 2),
            }
        )
    return result


def main(arguments: list[str] | None = None) -> None:
    """Print one JSON line per path and load, then the ratios to the bare forwarder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=2000)
    parser.add_argument("--sizes", type=int, nargs="+", default=list(SIZES_BYTES))
    parser.add_argument("--concurrent", type=int, nargs="+", default=list(CONCURRENCY_LEVELS))
    parser.add_argument("--profiles", type=Path, help="folder for profiles of entry and agent")
    parser.add_argument("--forward", help=argparse.SUPPRESS)
    parser.add_argument("--port", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args(arguments)
    if options.forward:
        anyio.run(serve_forwarder, options.port, options.forward)
        return
    costs = run(
        SHAPE, options.requests, tuple(options.sizes), tuple(options.concurrent), options.profiles
    )
    for cost in costs:
        print(json.dumps(asdict(cost)))
    for ratio in ratios(costs):
        print(json.dumps(ratio | {"target_entry_ratio": TARGET_RATIO}))
    print(json.dumps({"load_average": load_average()}))


if __name__ == "__main__":
    main()
