"""Steps for callers.feature."""

import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from random import Random
from typing import Any
from unittest.mock import patch

import anyio
from behave import given, then, when
from h2.exceptions import ProtocolError
from httpx import AsyncClient, HTTPError, Limits, Response
from request_harness import ADDRESS, SERVICE, AgentNode, EntryNode, Net

from apricotpath.config import Address, LimitSettings, LinkSettings, RequestSettings
from apricotpath.link import dial_forever, listen
from apricotpath_bench.backendstandin import BackendApp, expected_body, serve_app
from apricotpathd.callers import CallerApp, serve_callers

LIMITS = LimitSettings(request_body=1 << 20, header_bytes=8192, read_timeout_s=1.0)
WAIT_S = 10.0


def bound_socket() -> tuple[socket.socket, int]:
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    return sock, sock.getsockname()[1]


class LoopbackNet(Net):
    """One entry, agents and backend servers over TCP in real time."""

    def __init__(self, agents: int, limits: LimitSettings) -> None:
        super().__init__(1, limits)
        self.count = agents
        self.shutdown: Any = None
        self.backends_stop: Any = None
        self.open_servers = 0
        # Longer than the time limit of a scenario, so that a stream left open makes it fail.
        self.keep_alive_s = 2 * WAIT_S
        self.url = ""
        self.app: Any = None

    def run_scenario(self, actions: Callable[["LoopbackNet"], Awaitable[None]]) -> None:
        async def main() -> None:
            self.shutdown, self.backends_stop = anyio.Event(), anyio.Event()
            with anyio.fail_after(WAIT_S):
                async with anyio.create_task_group() as self.group:
                    await self.start_processes()
                    await actions(self)
                    # Hypercorn fails if it is cancelled while it serves, so it is shut down first.
                    self.shutdown.set()
                    self.backends_stop.set()
                    await until(lambda: self.open_servers == 0)
                    self.group.cancel_scope.cancel()

        with (
            patch("apricotpathd.exchange.ANNOUNCE_WAIT_S", 0.0),
            patch("apricotpathd.callers.KEEP_ALIVE_S", self.keep_alive_s),
        ):
            anyio.run(main)

    async def start_processes(self) -> None:
        entry = self.entries["entry1"] = EntryNode(self, "entry1", RequestSettings())
        self.group.start_soon(entry.run)
        bound: list[Address] = []
        listening = anyio.Event()

        async def started(address: Address) -> None:
            bound.append(address)
            listening.set()

        self.group.start_soon(
            *(listen, ADDRESS, entry.hello, LinkSettings(), entry, self.group, started)
        )
        await listening.wait()
        names = [f"agent{number}" for number in range(1, self.count + 1)]
        self.rules.founding = frozenset(f"{name}-1" for name in names)
        for name in names:
            sock, port = bound_socket()
            self.urls[name] = f"http://127.0.0.1:{port}"
            backend = BackendApp(SERVICE)
            self.group.start_soon(self.serve, serve_app, backend, sock, self.backends_stop)
            agent = self.agents[name] = AgentNode(self, name, 1, backend)
            self.group.start_soon(agent.run)
            self.group.start_soon(
                dial_forever, bound[0], agent.hello, LinkSettings(), agent, Random(1)
            )
        sock, port = bound_socket()
        self.url = f"http://127.0.0.1:{port}"
        self.port = port
        self.app = CallerApp(entry.component.cfg, self.rules, entry.component, entry.metrics)
        self.group.start_soon(self.app.run)
        self.group.start_soon(self.serve, serve_callers, self.app, sock, self.shutdown)
        await until(lambda: len(entry.hosts.rows) == self.count)
        await until(lambda: can_connect(port))

    async def serve(self, server: Any, app: Any, sock: socket.socket, end: Any) -> None:
        self.open_servers += 1
        await server(app, f"fd://{sock.detach()}", end.wait)
        self.open_servers -= 1


def pause(seconds: float) -> None:
    time.sleep(seconds)


def can_connect(port: int) -> bool:
    with socket.socket() as sock:
        return sock.connect_ex(("127.0.0.1", port)) == 0


async def until(ready: Callable[[], bool]) -> None:
    """Poll until a condition holds that has no event; the run has a time limit."""
    while not ready():
        await anyio.sleep(0.005)


class CallersSubject:
    """Holds one deployment and the responses that its callers received."""

    def __init__(self, agents: int) -> None:
        self.net = LoopbackNet(agents, LIMITS)
        self.responses: list[tuple[int, Response]] = []
        self.error: Exception | None = None
        self.closed = 0
        self.measured: dict[str, Any] = {}

    def client(self, version: int = 1, connections: int = 30) -> AsyncClient:
        return AsyncClient(
            base_url=self.net.url,
            http1=version == 1,
            http2=version == 2,
            timeout=WAIT_S,
            trust_env=False,
            limits=Limits(max_connections=connections),
        )

    async def get(self, client: AsyncClient, size: int, **options: Any) -> None:
        headers = {"Apricotpath-Class": "intake"} | options.pop("headers", {})
        url = f"/s/scraps/x?size={size}&work_ms={options.pop('work_ms', 0)}"
        req = client.build_request("POST", url, headers=headers, **options)
        if req.headers.get("content-length") == "0":
            # Else the client sends the end of the empty body apart, once its other calls are sent.
            del req.headers["content-length"]
        try:
            response = await client.send(req)
        except (HTTPError, ProtocolError) as exc:
            self.error = exc
            return
        self.responses.append((size, response))

    async def get_many(
        self, sizes: list[int], version: int = 1, work_ms: int = 0, at_once: int = 300
    ) -> None:
        limiter = anyio.CapacityLimiter(at_once)

        async def get_one(client: AsyncClient, size: int) -> None:
            async with limiter:
                await self.get(client, size, work_ms=work_ms)

        async with self.client(version, at_once) as client, anyio.create_task_group() as group:
            for size in sizes:
                group.start_soon(get_one, client, size)

    def check(self, size: int, response: Response) -> None:
        assert response.status_code == 200, response.text
        assert response.headers["apricotpath-outcome"] == "answered"
        assert response.content == expected_body(response.headers["run-id"], size)
        assert response.headers["run-id"] == response.headers["apricotpath-request-id"]


@given("a callers deployment with {agents:d} agents")
def _(context: Any, agents: int) -> None:
    context.callers = CallersSubject(agents)


@when("{count:d} callers ask over HTTP/{version:d} for bodies of 0 to {size:d} bytes")
def _(context: Any, count: int, version: int, size: int) -> None:
    sizes = [(0, 100, 70_000, 300_000)[number % 4] for number in range(count)]
    sizes[::30] = [size] * len(sizes[::30])
    context.callers.net.run_scenario(
        lambda net: context.callers.get_many(sizes, version, at_once=40)
    )


@then("each caller got the complete body of its own request once")
def _(context: Any) -> None:
    subject = context.callers
    assert subject.error is None, repr(subject.error)
    for size, response in subject.responses:
        subject.check(size, response)
    ids = {response.headers["run-id"] for _size, response in subject.responses}
    assert len(ids) == len(subject.responses) == len(subject.net.runs) == 120


@when("the backend server truncates a body of {size:d} bytes asked for over HTTP/{version:d}")
def _(context: Any, size: int, version: int) -> None:
    subject = context.callers

    async def actions(net: LoopbackNet) -> None:
        backend = net.agents["agent1"].backend
        backend.faults = type(backend.faults)(cut_body=True)
        async with subject.client(version) as client:
            await subject.get(client, size)

    subject.net.run_scenario(actions)


@then("the caller of the truncated body sees {what}")
def _(context: Any, what: str) -> None:
    subject = context.callers
    if what == "an error":
        assert subject.error is not None, subject.responses
        return
    response = subject.responses[0][1]
    status_and_outcome = f"{response.status_code} {response.headers['apricotpath-outcome']}"
    assert status_and_outcome == what, response.text


async def stalled_body(net: LoopbackNet) -> AsyncIterator[bytes]:
    """Yield the beginning of a body, and end it only after the call has ended."""
    yield b"x"
    await until(lambda: net.app.open_requests == 1)
    await until(lambda: net.app.open_requests == 0)


BAD_CALLS: dict[str, dict[str, Any]] = {
    "another path": {"url": "/x"},
    "an unknown service": {"url": "/s/other/x"},
    "an unknown class": {"headers": {"Apricotpath-Class": "other"}},
    "a booking without a key": {"headers": {"Apricotpath-Class": "booking"}},
    "a deadline that is text": {"headers": {"Apricotpath-Deadline-Ms": "soon"}},
    "a body over the limit": {"content": bytes((1 << 20) + 1)},
    "headers over the limit": {"headers": {f"x{number}": "y" * 1000 for number in range(9)}},
    "a body that stalls": {"content": stalled_body},
}


@when("a caller uploads {size:d} bytes")
def _(context: Any, size: int) -> None:
    subject = context.callers

    async def actions(net: LoopbackNet) -> None:
        async with subject.client() as client:
            await subject.get(client, 10, content=bytes(size))

    subject.net.run_scenario(actions)


@then("the backend server got {size:d} bytes from the caller")
def _(context: Any, size: int) -> None:
    subject = context.callers
    subject.check(*subject.responses[0])
    assert [run.body_bytes for run in subject.net.runs] == [size]


@when("a caller sends {what}")
def _(context: Any, what: str) -> None:
    subject = context.callers
    options = {"url": "/s/scraps/x", "headers": {}, **BAD_CALLS[what]}
    options["headers"] = {"Apricotpath-Class": "intake"} | options["headers"]
    if callable(options.get("content")):
        options["content"] = options["content"](subject.net)

    async def actions(net: LoopbackNet) -> None:
        async with subject.client() as client:
            subject.responses.append((0, await client.post(**options)))

    subject.net.run_scenario(actions)


@when("the rest of a body arrives while the entry is paused for longer than a body may take")
def _(context: Any) -> None:
    head = b"POST /s/scraps/x HTTP/1.1\r\nhost: entry\r\ncontent-length: 1\r\n"

    async def actions(net: LoopbackNet) -> None:
        with socket.create_connection(("127.0.0.1", net.port), WAIT_S) as sock:
            sock.sendall(head + b"apricotpath-class: intake\r\n\r\n")
            await until(lambda: net.app.open_requests == 1)
            sock.sendall(b"x")
            pause(LIMITS.read_timeout_s + 0.1)
            await until(lambda: net.app.open_requests == 0)
            context.status = int(sock.recv(1 << 16).split()[1])

    context.callers.net.run_scenario(actions)


@then("the paused call is answered with status {status:d}")
def _(context: Any, status: int) -> None:
    assert context.status == status, context.status


@then("the caller gets status {status:d} and reason {reason}, and nothing ran")
def _(context: Any, status: int, reason: str) -> None:
    response = context.callers.responses[0][1]
    assert response.status_code == status, response
    assert response.json()["reason"] == response.headers["apricotpath-reason"] == reason
    assert response.headers["apricotpath-outcome"] == "not-run"
    assert context.callers.net.runs == []


def forget_bundle(net: LoopbackNet) -> None:
    net.rules.loaded = False


def forget_founders(net: LoopbackNet) -> None:
    net.rules.founded = False


def refuse_all(net: LoopbackNet) -> None:
    net.app.cfg = replace(net.app.cfg, limits=replace(LIMITS, connections=0))


# What happens to the entry before the booking is repeated, and what the second call changes.
REPEATS: dict[str, tuple[Callable[[LoopbackNet], None] | None, dict[str, Any]]] = {
    "at an entry that has no bundle yet": (forget_bundle, {}),
    "at an entry without the service's founders": (forget_founders, {}),
    "for a service that the bundle no longer names": (None, {"url": "/s/other/x"}),
    "with a class that the bundle does not name": (None, {"Apricotpath-Class": "other"}),
    "with a deadline that is text": (None, {"Apricotpath-Deadline-Ms": "soon"}),
    "while the entry holds too many requests": (refuse_all, {}),
}


@when("a caller repeats an answered booking {how}")
def _(context: Any, how: str) -> None:
    subject = context.callers
    change, options = REPEATS[how]
    headers = {"Apricotpath-Class": "booking", "Idempotency-Key": "key-1"}

    async def actions(net: LoopbackNet) -> None:
        async with subject.client() as client:
            first = await client.post("/s/scraps/x", headers=headers)
            assert first.headers["apricotpath-outcome"] == "answered", first.text
            if change is not None:
                change(net)
            url = options.get("url", "/s/scraps/x")
            repeat = headers | {name: options[name] for name in options if name != "url"}
            subject.responses.append((0, await client.post(url, headers=repeat)))

    subject.net.run_scenario(actions)


@then("the repeated booking gets status {status:d}, reason {reason} and outcome unknown")
def _(context: Any, status: int, reason: str) -> None:
    response = context.callers.responses[0][1]
    assert response.status_code == status, response.text
    assert response.headers["apricotpath-reason"] == reason
    assert response.headers["apricotpath-outcome"] == "unknown", response.text
    assert len(context.callers.net.runs) == 1


@when("a request without a key reaches an entry that has no bundle yet")
def _(context: Any) -> None:
    subject = context.callers

    async def actions(net: LoopbackNet) -> None:
        forget_bundle(net)
        async with subject.client() as client:
            await subject.get(client, 10)

    subject.net.run_scenario(actions)


@then("the request gets status 503, Retry-After and outcome not-run")
def _(context: Any) -> None:
    response = context.callers.responses[0][1]
    assert response.status_code == 503, response.text
    assert int(response.headers["retry-after"]) > 0
    assert response.headers["apricotpath-outcome"] == "not-run"


@when("{count:d} callers send requests at once with {work:d} ms of work each")
def _(context: Any, count: int, work: int) -> None:
    subject = context.callers
    subject.net.run_scenario(lambda net: subject.get_many([100] * count, 1, work))


@then(
    "each of these callers got an answer or a refusal with Retry-After,"
    " and only answered requests ran"
)
def _(context: Any) -> None:
    subject = context.callers
    assert subject.error is None, repr(subject.error)
    answered = [pair for pair in subject.responses if pair[1].status_code == 200]
    refused = [pair[1] for pair in subject.responses if pair[1].status_code != 200]
    assert answered
    assert refused
    for pair in answered:
        subject.check(*pair)
    for response in refused:
        assert response.headers["apricotpath-outcome"] == "not-run"
        assert int(response.headers["retry-after"]) >= 1
    assert len(subject.net.runs) == len(answered)
    assert subject.net.agents["agent1"].backend.overrun == 0


@when("{count:d} callers share one HTTP/2 connection to an entry that takes {limit:d} requests")
def _(context: Any, count: int, limit: int) -> None:
    subject = context.callers
    subject.net.limits = replace(LIMITS, connections=limit)
    subject.net.run_scenario(lambda net: subject.get_many([70_000] * count, 2, 20, at_once=count))


@then("each caller on the connection was answered or refused")
def _(context: Any) -> None:
    subject = context.callers
    assert subject.error is None, repr(subject.error)
    assert {response.status_code for _size, response in subject.responses} == {200, 503}
    assert len(subject.responses) == 40


@when("{count:d} connections are opened by callers where 40 are allowed")
def _(context: Any, count: int) -> None:
    subject = context.callers
    subject.net.limits = replace(LIMITS, connections=40)
    # Idle connections must stay open until the excess ones have been counted.
    subject.net.keep_alive_s = 1.5

    async def actions(net: LoopbackNet) -> None:
        streams = [await anyio.connect_tcp("127.0.0.1", net.port) for _number in range(count)]

        async def read(stream: Any) -> None:
            try:
                await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                subject.closed += 1

        async with anyio.create_task_group() as group:
            for stream in streams:
                group.start_soon(read, stream)
            with anyio.move_on_after(1.0):
                await until(lambda: subject.closed >= count - 40)
            group.cancel_scope.cancel()
        for stream in streams:
            await stream.aclose()
        async with subject.client() as client:
            while not subject.responses:
                await subject.get(client, 10)

    subject.net.run_scenario(actions)


@then("{count:d} connections were closed and a caller is served once the others have gone")
def _(context: Any, count: int) -> None:
    # The connection of `can_connect` may still be counted.
    assert context.callers.closed - count in (0, 1), context.callers.closed
    context.callers.check(*context.callers.responses[0])


@when("the entry shuts down while {count:d} callers wait for {work:d} ms of work")
def _(context: Any, count: int, work: int) -> None:
    subject = context.callers

    async def actions(net: LoopbackNet) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(subject.get_many, [100] * count, 1, work)
            await until(lambda: net.app.open_requests == count)
            net.shutdown.set()
        await net.app.drain()
        await until(lambda: net.open_servers == len(net.agents))
        subject.measured["open"] = can_connect(net.port)

    subject.net.run_scenario(actions)


@then("all {count:d} callers got their answers and the port is closed")
def _(context: Any, count: int) -> None:
    subject = context.callers
    assert subject.error is None, repr(subject.error)
    assert len(subject.responses) == count
    for size, response in subject.responses:
        subject.check(size, response)
    assert not subject.measured["open"]


@when("a caller hangs up during {work:d} ms of work")
def _(context: Any, work: int) -> None:
    subject = context.callers

    async def actions(net: LoopbackNet) -> None:
        async with subject.client() as client, anyio.create_task_group() as group:
            group.start_soon(lambda: subject.get(client, 10, work_ms=work))
            await until(lambda: len(net.runs) == 1)
            subject.measured["busy"] = net.agents["agent1"].component.busy_slots
            group.cancel_scope.cancel()
        await until(lambda: net.agents["agent1"].component.busy_slots == 0)
        # The stand-in continues its work after the agent has cancelled it; only the slot is free.
        subject.measured["end"] = net.runs[0].end

    subject.net.run_scenario(actions)


@then("the agent's slot for that caller was free before the work had ended")
def _(context: Any) -> None:
    assert context.callers.measured == {"busy": 1, "end": None}
