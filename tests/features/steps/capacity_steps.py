"""Steps for capacity.feature."""

import logging
import random
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import anyio
import trio.testing
from behave import given, then, when
from httpx import AsyncClient

from apricotpath.codec import Envelope, encode
from apricotpath.config import (
    Address,
    AgentSettings,
    BackendSettings,
    EntrySettings,
    LinkSettings,
    StoreSettings,
)
from apricotpath.messages import Announce, HostReport, Leaving
from apricotpath.model import Size
from apricotpath.store import EtcdStore
from apricotpath_bench.ownertables import OwnerBench, announce_of, process_of
from apricotpath_bench.storestandin import DirectTransport, StandinStore
from apricotpathd.agent import ANNOUNCE_REPEAT_S, Agent
from apricotpathd.agenttasks import REPORT_INTERVAL_S
from apricotpathd.backendtransport import BackendTransport
from apricotpathd.hostregistry import HostRegistry
from apricotpathd.hosts import HostTable
from apricotpathd.members import Members

for name in ("members", "registration"):
    logging.getLogger(f"apricotpathd.{name}").setLevel(logging.ERROR)

PORT = Address("127.0.0.1", 1)
IDLE_S = 30


def run_in_virtual_time(main: Any) -> None:
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(1)
    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(main, backend="trio", backend_options={"clock": clock})


class StoreTrial:
    """Entries with their host registries on one store stand-in, and its calls per second."""

    def __init__(self, entries: int) -> None:
        self.entries = entries
        self.store = StandinStore()
        self.members: list[Members] = []
        self.peak = self.idle_calls = 0

    def run(self, event: str) -> None:
        async def main() -> None:
            async with anyio.create_task_group() as group:
                for number in range(self.entries):
                    self._start(number, group)
                await anyio.sleep(20)
                if event.startswith("lose"):
                    self.store.apply_faults({"refuse": True})
                    await anyio.sleep(60)
                    # Count only the calls after the outage.
                    for bins in self.store.per_second.values():
                        bins.clear()
                    self.store.apply_faults({"refuse": False})
                    await anyio.sleep(20)
                before = self._calls()
                await anyio.sleep(IDLE_S)
                self.idle_calls = self._calls() - before
                assert all(member.registration.is_valid() for member in self.members)
                group.cancel_scope.cancel()

        run_in_virtual_time(main)
        seconds: Counter[int] = Counter()
        for bins in self.store.per_second.values():
            seconds.update(bins)
        self.peak = max(seconds.values())

    def _calls(self) -> int:
        return sum(self.store.counts.values())

    def _start(self, number: int, group: Any) -> None:
        store = StoreSettings("http://127.0.0.1:1")
        cfg = EntrySettings(f"entry-{number}", "dc", PORT, PORT, PORT, store, ())
        client = EtcdStore(store, DirectTransport(self.store))
        members = Members(cfg, f"i{number}", client, random.Random(number))
        control = SimpleNamespace(
            has_founders=lambda service: False,
            service_rules=lambda service: service,
            merge_founders=lambda service, founders: True,
        )
        registry = HostRegistry(cfg.policy, HostTable(), control, members, lambda: None)
        self.members.append(members)
        group.start_soon(members.run)
        group.start_soon(registry.run)
        for host in range(300):
            peer = SimpleNamespace(process_id=process_of(host), incarnation=f"a{host}")
            announcement = replace(announce_of(host), service=f"service-{host % 5}")
            link = SimpleNamespace(peer=peer, is_open=True)
            group.start_soon(registry.received, link, Envelope(1, 0, announcement))


class HostChurn:
    """A shard owner whose hosts are replaced by hosts with new names."""

    def __init__(self, hosts: int) -> None:
        self.hosts = hosts

    def run(self, count: int, step_s: float) -> None:
        async def main() -> None:
            self.bench = bench = OwnerBench(self.hosts, 0, shards=2)
            shards = bench.state.shards.values()
            for number in range(self.hosts, self.hosts + count):
                now = step_s * number
                old = bench.links[number - self.hosts]
                bench.table.closed(old, now)
                bench._add_host(number)
                for shard in shards:
                    shard.claim_sent_at[process_of(number)] = now
                bench.table.expire(now, bench.policy.key_memory_s)
                bench.owner.tick(now)

        run_in_virtual_time(main)


class RecordingLink:
    """Open link that records the sent messages."""

    def __init__(self) -> None:
        self.is_open = True
        self.sent: list[Any] = []

    async def send(self, body: Any) -> None:
        self.sent.append(body)


class IdleAgent:
    """An agent without a worker, with links that record its messages."""

    def __init__(self, links: int) -> None:
        self.links = [RecordingLink() for _ in range(links)]

    def run(self, seconds: float) -> None:
        async def main() -> None:
            backend = BackendSettings("b", "scraps", "http://127.0.0.1:1")
            names = ("agent", "host", "rack", "dc")
            cfg = AgentSettings(*names, Size(), "http://127.0.0.1:1", (), PORT, (), backend)
            agent = Agent(cfg)
            agent.links.extend(self.links)
            async with anyio.create_task_group() as group:
                group.start_soon(agent.announce_forever)
                await anyio.sleep(seconds)
                await agent.leave()
                await anyio.sleep(1.5)
                group.cancel_scope.cancel()

        run_in_virtual_time(main)


class CountingBackend:
    """Backend server on the loopback interface that counts connections and requests."""

    def __init__(self, close: bool) -> None:
        self.close = close
        self.connections = self.requests = 0

    async def serve(self, stream: Any) -> None:
        self.connections += 1
        async with stream:
            try:
                while True:
                    data = b""
                    while b"\r\n\r\n" not in data:
                        data += await stream.receive()
                    self.requests += 1
                    end = b"connection: close\r\n" if self.close else b""
                    await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n" + end + b"\r\nok")
                    if self.close:
                        return
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return

    def run(self, rounds: int, count: int) -> None:
        async def main() -> None:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            client = AsyncClient(transport=BackendTransport())

            # No response of a round is read to its end before all its requests have a
            # connection.
            async def request(arrived: list[int], all_connected: anyio.Event) -> None:
                async with client.stream("GET", f"http://127.0.0.1:{port}/") as response:
                    arrived.append(response.status_code)
                    if len(arrived) == count:
                        all_connected.set()
                    await all_connected.wait()
                    assert await response.aread() == b"ok"

            async with listener, anyio.create_task_group() as group:
                group.start_soon(listener.serve, self.serve)
                for _ in range(rounds):
                    arrived: list[int] = []
                    all_connected = anyio.Event()
                    async with anyio.create_task_group() as calls:
                        for _ in range(count):
                            calls.start_soon(request, arrived, all_connected)
                await client.aclose()
                group.cancel_scope.cancel()

        anyio.run(main)


@given("a capacity trial of {entries:d} entries that each have 300 hosts of 5 services")
def given_entries(context: Any, entries: int) -> None:
    context.subject = StoreTrial(entries)


@when("the capacity entries {event}")
def when_event(context: Any, event: str) -> None:
    context.subject.run(event)


@then("the capacity trial makes at most {most:d} store calls in any second")
def then_peak(context: Any, most: int) -> None:
    assert context.subject.peak <= most, context.subject.peak


@then("the idle capacity entries make at most {most:g} store calls a second each")
def then_idle(context: Any, most: float) -> None:
    rate = context.subject.idle_calls / IDLE_S / context.subject.entries
    assert rate <= most, rate


@given("a capacity owner that is linked to {hosts:d} hosts")
def given_owner(context: Any, hosts: int) -> None:
    context.subject = HostChurn(hosts)


@when("{count:d} capacity hosts are replaced one after another, {step:d} s apart")
def when_replaced(context: Any, count: int, step: int) -> None:
    context.subject.run(count, step)


@then("the capacity tables hold at most {present:d} hosts and {gone:d} that are gone")
def then_tables(context: Any, present: int, gone: int) -> None:
    bench = context.subject.bench
    sizes = {
        "rows": len(bench.table.rows),
        "former": len(bench.table.former_incarnations),
        "listed": sum(map(len, bench.table._services.values())),
    }
    for shard in bench.state.shards.values():
        sizes[f"claims {shard.shard}"] = len(shard.claims)
        sizes[f"claims sent {shard.shard}"] = len(shard.claim_sent_at)
    assert all(size <= present + gone for size in sizes.values()), sizes
    assert sum(row.present for row in bench.table.rows.values()) == present


@given("a capacity agent with {links:d} links")
def given_agent(context: Any, links: int) -> None:
    context.subject = IdleAgent(links)


@when("the capacity agent is idle for {seconds:d} s and then starts to leave")
def when_idle(context: Any, seconds: int) -> None:
    context.subject.run(seconds)


@then("each capacity link carried at most {most:d} announcements and the last one says leaving")
def then_announced(context: Any, most: int) -> None:
    for link in context.subject.links:
        assert any(isinstance(body, Leaving) for body in link.sent)
        announcements = [body for body in link.sent if isinstance(body, Announce)]
        assert announcements and len(announcements) <= most, len(announcements)
        assert announcements[-1].leaving


@then("a capacity agent with {tasks:d} tasks and {links:d} links sends at most {kb:d} KB a second")
def then_bytes(context: Any, tasks: int, links: int, kb: int) -> None:
    async def main() -> None:
        bench = OwnerBench(1, max(tasks, 1))
        full = bench.report_of(0)
        report = replace(full, tasks=full.tasks[:tasks])
        assert isinstance(report, HostReport) and len(report.tasks) == tasks
        heartbeat = bench.links[0].last_heartbeat
        rates = (
            (report, REPORT_INTERVAL_S),
            (heartbeat, LinkSettings().heartbeat_s),
            (announce_of(0), ANNOUNCE_REPEAT_S),
        )
        sent = links * sum(len(encode(Envelope(1, 0, body))) / every for body, every in rates)
        assert sent <= kb * 1024, sent

    anyio.run(main)


@given("a capacity backend server that {behaviour}")
def given_backend(context: Any, behaviour: str) -> None:
    context.subject = CountingBackend(behaviour.startswith("closes"))


@when("{rounds:d} rounds of {count:d} capacity requests at once are sent to it")
def when_requests(context: Any, rounds: int, count: int) -> None:
    context.subject.run(rounds, count)


@then("the capacity backend server has seen {connections:d} connections and {requests:d} requests")
def then_connections(context: Any, connections: int, requests: int) -> None:
    subject = context.subject
    assert (subject.connections, subject.requests) == (connections, requests), vars(subject)
