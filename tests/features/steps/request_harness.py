"""Entries, agents and backend servers in one process, with links over memory streams."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from logging import getLogger
from random import Random
from typing import Any

import anyio
import trio.testing
from anyio.abc import ByteStream
from httpx import ASGITransport, AsyncClient, ConnectError, MockTransport, Request, Response

from apricotpath.config import (
    Address,
    AgentSettings,
    BackendSettings,
    EntrySettings,
    LimitSettings,
    LinkSettings,
    RequestSettings,
    StoreSettings,
)
from apricotpath.errors import LinkError, NotRun, OutcomeUnknown
from apricotpath.link import Link
from apricotpath.messages import Announce, Heartbeat, Hello, Leaving
from apricotpath.metrics import Metrics
from apricotpath.model import Maturity, Role, Size
from apricotpath.servicerules import ClassRules, ServiceRules
from apricotpath_bench.backendstandin import BackendApp, expected_body
from apricotpathd.agentrequests import AgentRequests, http_client
from apricotpathd.attempt import CallerRequest
from apricotpathd.exchange import Exchange
from apricotpathd.hosts import HostTable

# One line per request would hide the output of a failed scenario.
getLogger("httpx").setLevel("WARNING")

ADDRESS = Address("127.0.0.1", 0)
SERVICE = "scraps"
CLASSES = {
    "intake": ClassRules("intake", 1, True, 10.0, 20),
    "booking": ClassRules("booking", 0, False, 10.0, 20),
    "round-plan": ClassRules("round-plan", 2, True, 10.0, 20),
}


class FixedRules:
    """Control state that tests set directly."""

    def __init__(self) -> None:
        self.out: set[str] = set()
        self.founding: frozenset[str] = frozenset()
        self.founded = True
        self.loaded = True

    def has_bundle(self) -> bool:
        return self.loaded

    def service_rules(self, service: str) -> ServiceRules | None:
        known = self.loaded and service == SERVICE
        return ServiceRules(SERVICE, Size(), CLASSES) if known else None

    def in_service(self, data_centre: str) -> bool:
        return data_centre not in self.out

    def founders(self, service: str) -> frozenset[str]:
        return self.founding

    def has_founders(self, service: str) -> bool:
        return self.founded


class MemoryStream(ByteStream):
    """One end of a byte stream; with `discards` set, sent bytes are dropped."""

    def __init__(self, tx: Any, rx: Any) -> None:
        self.tx, self.rx, self.discards = tx, rx, False

    async def send(self, item: bytes) -> None:
        if not self.discards:
            await self.tx.send(item)

    async def receive(self, max_bytes: int = 65536) -> bytes:
        return await self.rx.receive()

    async def send_eof(self) -> None:
        await self.tx.aclose()

    async def aclose(self) -> None:
        await self.tx.aclose()
        await self.rx.aclose()


def stream_pair() -> tuple[MemoryStream, MemoryStream]:
    tx1, rx1 = anyio.create_memory_object_stream(1000)
    tx2, rx2 = anyio.create_memory_object_stream(1000)
    return MemoryStream(tx1, rx2), MemoryStream(tx2, rx1)


class Node:
    """Handler of a process's links; `fault` injects faults into received messages.

    It returns the delays in seconds after which the message is handled: an empty
    list loses the message, two delays duplicate it, and a long delay reorders it.
    """

    def __init__(self, net: "Net", hello: Hello, component: Any) -> None:
        self.net, self.hello, self.component = net, hello, component
        self.links: set[Link] = set()
        self.alive = True
        self.scope = anyio.CancelScope()
        self.fault: Callable[[Any], list[float]] | None = None

    def heartbeat(self) -> Heartbeat:
        return Heartbeat(1, 0, 0, ())

    async def run(self) -> None:
        with self.scope:
            await self.component.run()

    async def opened(self, link: Link) -> None:
        self.links.add(link)
        await self.component.link_opened(link)

    async def closed(self, link: Link) -> None:
        self.links.discard(link)
        if self.alive:
            await self.component.link_closed(link)

    async def received(self, link: Link, envelope: Any) -> None:
        if not self.alive or type(envelope.body) not in self.component.handles:
            return
        for delay in self.fault(envelope.body) if self.fault else [0.0]:
            if delay:
                self.net.group.start_soon(self._later, delay, link, envelope)
            else:
                await self.component.received(link, envelope)

    async def _later(self, delay: float, link: Link, envelope: Any) -> None:
        await anyio.sleep(delay)
        if self.alive:
            await self.component.received(link, envelope)

    def kill(self) -> None:
        self.alive = False
        self.scope.cancel()
        for link in list(self.links):
            link.close("the process was killed")


def refuse_connection(_: Request) -> Response:
    raise ConnectError("connection refused")


class AgentNode(Node):
    """An agent and its backend server, which keeps running when the agent restarts."""

    def __init__(self, net: "Net", name: str, number: int, backend: BackendApp) -> None:
        self.net, self.name, self.backend = net, name, backend
        cfg = AgentSettings(
            *(name, f"host-{name}", "rack", f"dc-{name}", Size(16000, 60000), "", (), ADDRESS, ()),
            backend=BackendSettings(f"backend-{name}", SERVICE, net.urls.get(name, "http://x")),
        )
        incarnation = f"{name}-{number}"
        requests = AgentRequests(cfg, incarnation, net.rules, self._client)
        super().__init__(net, Hello(1, Role.AGENT, name, incarnation, cfg.data_centre), requests)

    def _client(self, cfg: BackendSettings) -> AsyncClient:
        if self.name in self.net.urls:
            return http_client(cfg)
        if self.name in self.net.down:
            return AsyncClient(transport=MockTransport(refuse_connection))
        return AsyncClient(transport=ASGITransport(self.backend))

    async def opened(self, link: Link) -> None:
        await super().opened(link)
        maturity = self.net.maturity.get(self.name, self.component.maturity())
        await link.send(
            Announce(
                *(f"host-{self.name}", "rack", f"dc-{self.name}", Size(), f"backend-{self.name}"),
                *(SERVICE, 8, 64, False, True, maturity),
            )
        )

    async def leave(self) -> None:
        self.component.leave()
        for link in list(self.links):
            await link.send(Leaving("shutdown"))


class EntryNode(Node):
    """An entry's exchange with its host table."""

    def __init__(self, net: "Net", name: str, cfg: RequestSettings) -> None:
        settings = EntrySettings(
            *(name, "dc-entry", ADDRESS, ADDRESS, ADDRESS, StoreSettings("http://x"), ()),
            requests=cfg,
            limits=net.limits,
        )
        self.hosts = HostTable()
        self.metrics = Metrics()
        exchange = Exchange(
            settings, f"{name}-1", net.rules, self.hosts, self.metrics, Random(net.seed)
        )
        super().__init__(net, Hello(1, Role.ENTRY, name, f"{name}-1", "dc-entry"), exchange)

    async def received(self, link: Link, envelope: Any) -> None:
        now = anyio.current_time()
        if isinstance(envelope.body, Announce):
            self.hosts.announced(link, envelope.body, now)
        elif isinstance(envelope.body, Leaving):
            for row in self.hosts.rows.values():
                row.leaving = row.leaving or row.link is link
        await super().received(link, envelope)

    async def closed(self, link: Link) -> None:
        self.hosts.closed(link, anyio.current_time())
        await super().closed(link)


class Reply:
    """The result that one caller received."""

    def __init__(self) -> None:
        self.outcome = "pending"
        self.reason = ""
        self.request = ""
        self.status = 0
        self.body = b""
        self.seconds = 0.0


class Net:
    """A deployment in virtual time."""

    def __init__(self, seed: int = 1, limits: LimitSettings | None = None) -> None:
        self.seed = seed
        self.limits = limits or LimitSettings()
        self.rules = FixedRules()
        self.maturity: dict[str, Maturity] = {}
        # Backend servers that are reached over TCP; the others are called in memory.
        self.urls: dict[str, str] = {}
        # Agents whose backend server accepts no connection.
        self.down: set[str] = set()
        self.agents: dict[str, AgentNode] = {}
        self.entries: dict[str, EntryNode] = {}
        self.streams: dict[tuple[str, str], tuple[MemoryStream, MemoryStream]] = {}
        self.partitioned: set[tuple[str, str]] = set()
        self.group: Any = None

    def run(self, scenario: Callable[["Net"], Awaitable[None]]) -> None:
        """Run a scenario in virtual time, with a trio clock that skips waiting times."""

        async def main() -> None:
            async with anyio.create_task_group() as self.group:
                await scenario(self)
                self.group.cancel_scope.cancel()

        clock = trio.testing.MockClock(autojump_threshold=0)
        anyio.run(main, backend="trio", backend_options={"clock": clock})

    async def start(
        self, agents: int, entries: int = 1, cfg: RequestSettings | None = None
    ) -> None:
        """Start processes and wait until every entry accepts requests with keys."""
        names = [f"agent{number}" for number in range(1, agents + 1)]
        self.rules.founding = frozenset(f"{name}-1" for name in names)
        for number in range(1, entries + 1):
            entry = EntryNode(self, f"entry{number}", cfg or RequestSettings())
            self.entries[f"entry{number}"] = entry
            self.group.start_soon(entry.run)
        for name in names:
            self.start_agent(name, 1)
        await anyio.sleep(5.5)

    def start_agent(self, name: str, number: int) -> None:
        old = self.agents.get(name)
        backend = old.backend if old else BackendApp(SERVICE)
        agent = self.agents[name] = AgentNode(self, name, number, backend)
        self.group.start_soon(agent.run)
        for entry in self.entries.values():
            self.group.start_soon(self._dial, agent, entry)

    async def _dial(self, agent: AgentNode, entry: EntryNode) -> None:
        while agent.alive and entry.alive:
            pair = (agent.name, entry.hello.process_id)
            if pair not in self.partitioned:
                agent_end, entry_end = self.streams[pair] = stream_pair()
                async with anyio.create_task_group() as group:
                    group.start_soon(
                        self._serve, Link(agent_end, agent.hello, LinkSettings(), agent)
                    )
                    group.start_soon(
                        self._serve, Link(entry_end, entry.hello, LinkSettings(), entry)
                    )
            await anyio.sleep(0.1)

    async def _serve(self, link: Link) -> None:
        with suppress(LinkError):
            await link.run()

    def silence(self, agent: str, entry: str = "entry1") -> None:
        """Drop everything that is sent on the current connection."""
        for stream in self.streams[agent, entry]:
            stream.discards = True

    def break_link(self, agent: str, entry: str = "entry1") -> None:
        for link in list(self.agents[agent].links):
            if link.peer is not None and link.peer.process_id == entry:
                link.close("broken by the test")

    async def call(self, reply: Reply, entry: str = "entry1", **options: Any) -> None:
        """Send one caller's request and record its result in `reply`."""
        rules = CLASSES[options.get("request_class", "intake")]
        path = f"/x?work_ms={options.get('work_ms', 0)}&size={options.get('size', 100)}"
        started_at = anyio.current_time()
        req = CallerRequest(
            SERVICE,
            rules,
            "team",
            options.get("key", ""),
            started_at + options.get("deadline_s", 10.0),
            *("POST", path, (), options.get("body", b"")),
        )
        exchange = self.entries[entry].component
        try:
            answer = await exchange.request(req)
            try:
                body = b"".join([part async for part in answer.chunks()])
            finally:
                answer.close()
            reply.outcome, reply.status, reply.body = "answered", answer.status, body
            reply.request = answer.request
        except NotRun as exc:
            reply.outcome, reply.reason = "not-run", exc.reason
        except OutcomeUnknown as exc:
            reply.outcome, reply.reason = "unknown", exc.reason
        reply.seconds = anyio.current_time() - started_at

    async def answer(self, entry: str = "entry1", **options: Any) -> Reply:
        reply = Reply()
        await self.call(reply, entry, **options)
        return reply

    @property
    def runs(self) -> list[Any]:
        """All runs recorded by the backend servers."""
        return [run for agent in self.agents.values() for run in agent.backend.runs]

    def check_body(self, reply: Reply, size: int) -> None:
        """Check that an answer is complete and belongs to its request."""
        assert reply.outcome == "answered", (reply.outcome, reply.reason)
        assert reply.body == expected_body(reply.request, size)
