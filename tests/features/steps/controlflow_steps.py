"""Steps for controlflow.feature."""

from collections import Counter, deque
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from behave import given, then, when
from control_steps import signed_bundle, status
from trio.testing import MockClock

from apricotpath.codec import Envelope
from apricotpath.config import PolicySettings
from apricotpath.control import Control
from apricotpath.errors import LinkError, SignatureError, StoreUnavailable
from apricotpath.messages import ControlUpdate, DataCentreStatus, Heartbeat, Hello, Message
from apricotpath.model import Role
from apricotpath.signing import check_envelope, generate_key, rotate_key, sign_envelope
from apricotpathd.controlflow import ControlFlow

TAKE_OUT = status("suva-depot", 5, "out")


class MemoryLink:
    """One end of a link whose messages are put into the network's queue."""

    def __init__(self, network: "ControlNetwork", sender: str, receiver: str, boot: int) -> None:
        self.network, self.sender, self.receiver = network, sender, receiver
        role = Role.ENTRY if receiver.startswith("entry") else Role.AGENT
        self.peer = Hello(1, role, receiver, f"{receiver}#{boot}", "suva-depot")  # type: ignore[arg-type]
        self.peer_id = receiver
        self.lost = False

    def send_nowait(self, body: Message, reply_to: int = 0) -> None:
        if self.lost:
            raise LinkError("the link's send queue is full or closed")
        if isinstance(body, ControlUpdate) and body.bundle:
            self.network.bundles_sent[(self.sender, self.receiver)] += 1
        self.network.queue.append((self.receiver, self.sender, Envelope(1, reply_to, body)))


class ControlNetwork:
    """Processes with one ControlFlow each, linked in memory, in virtual time."""

    def __init__(self, entries: int, agents: int) -> None:
        self.key = generate_key()
        self.queue: deque[tuple[str, str, Envelope]] = deque()
        self.flows: dict[str, ControlFlow] = {}
        self.links: dict[tuple[str, str], MemoryLink] = {}
        self.bundles_sent: Counter[tuple[str, str]] = Counter()
        self.written: list[DataCentreStatus] = []
        self.store_fails = 0
        self.script: list[Callable[[], Awaitable[None]]] = []
        self.entries = [f"entry-{number + 1}" for number in range(entries)]
        self.agents = [f"agent-{number + 1}" for number in range(agents)]
        self.script.append(self._build)

    def check(self, step: Callable[[], Awaitable[None]]) -> None:
        """Run the recorded steps and a final one in virtual time."""

        async def main() -> None:
            for action in (*self.script, step):
                await action()
                await self.deliver_all()

        anyio.run(main, backend="trio", backend_options={"clock": MockClock(autojump_threshold=0)})

    async def _build(self) -> None:
        for name in (*self.entries, *self.agents):
            self.add(name)
        for first in self.entries:
            for second in (*self.entries, *self.agents):
                if first < second or second in self.agents:
                    await self.connect(first, second)
        await self.flows["entry-1"].apply_store(signed_bundle(self.key, 1), (), {}, 0.0)

    def add(self, name: str) -> None:
        role = Role.ENTRY if name.startswith("entry") else Role.AGENT
        write = self._write_back if role is Role.ENTRY else None
        self.flows[name] = ControlFlow(Control([self.key.public_text]), role, write)

    async def connect(self, first: str, second: str, boot: int = 1) -> None:
        for sender, receiver in ((first, second), (second, first)):
            link = self.links[(sender, receiver)] = MemoryLink(self, sender, receiver, boot)
            await self.flows[sender].link_opened(link)  # type: ignore[arg-type]

    async def cut(self, first: str, second: str) -> None:
        for sender, receiver in ((first, second), (second, first)):
            await self.flows[sender].link_closed(self.links.pop((sender, receiver)))  # type: ignore[arg-type]

    async def deliver_all(self) -> None:
        while self.queue:
            receiver, sender, envelope = self.queue.popleft()
            link = self.links.get((receiver, sender))
            if link is not None:
                await self.flows[receiver].received(link, envelope)  # type: ignore[arg-type]

    async def _write_back(self, item: DataCentreStatus) -> None:
        if self.store_fails:
            self.store_fails -= 1
            raise StoreUnavailable("the store is out")
        self.written.append(item)

    async def read(self, name: str, version: int, *statuses: DataCentreStatus) -> None:
        data = signed_bundle(self.key, version)
        await self.flows[name].apply_store(data, statuses, {}, anyio.current_time())

    async def take_out(self, name: str) -> None:
        flow = self.flows[name]
        assert flow.control.merge_statuses([TAKE_OUT])
        flow.publish()

    async def heartbeats(self, sender: str, receiver: str, seconds: int) -> None:
        for number in range(seconds):
            control = self.flows[sender].control
            beat = Heartbeat(number, 0, control.bundle_version, control.statuses())
            self.queue.append((receiver, sender, Envelope(1, 0, beat)))
            await self.deliver_all()
            await anyio.sleep(1)

    async def update_all_but(self, sender: str, peer: str) -> None:
        """Put bundle 2 in force at all processes except `peer`, which receives no messages."""
        # No update was sent for 10 s, so only the resend delays for peers that are behind apply.
        await anyio.sleep(10)
        blocked = [link for ends, link in self.links.items() if ends[1] == peer]
        for link in blocked:
            link.lost = True
        await self.read("entry-1", 2)
        await self.deliver_all()
        assert self.flows[peer].control.bundle_version == 1
        for link in blocked:
            link.lost = False
        self.bundles_sent.clear()

    async def take_out_during(self, event: str) -> None:
        """Take the data centre out of service at entry-1 while the named event happens."""
        if event == "the store":
            for name in self.entries[1:]:
                await self.cut("entry-1", name)
            await self.read("entry-1", 1, TAKE_OUT)
            return
        if event == "entry-2 cut off":
            await self.cut("entry-1", "entry-2")
        if event == "agent-1 silent":
            self.links[("entry-1", "agent-1")].lost = True
        await self.take_out("entry-1")
        await self.deliver_all()
        if event == "entry-2 restarted":
            await self.cut("entry-1", "entry-2")
            self.add("entry-2")
            await self.connect("entry-1", "entry-2", boot=2)
            self.queue.clear()


def check_all_updated(network: ControlNetwork) -> Callable[[], Awaitable[None]]:
    async def step() -> None:
        for name, flow in network.flows.items():
            assert flow.control.bundle_version == 2, name
            assert flow.control.statuses() == (TAKE_OUT,), name

    return step


@given("a control network of {entries:d} entries and {agents:d} agents linked to both")
def _(context: Any, entries: int, agents: int) -> None:
    context.network = ControlNetwork(entries, agents)


@when("entry-1 reads bundle 2 and a take-out from the store")
def _(context: Any) -> None:
    network = context.network

    async def step() -> None:
        network.bundles_sent.clear()
        await network.read("entry-1", 2, TAKE_OUT)

    network.script.append(step)


@when("entry-1 reads bundle 1 and an older bring-back from the store")
def _(context: Any) -> None:
    network = context.network
    network.script.append(lambda: network.read("entry-1", 1, status("suva-depot", 4, "in")))


@when("{agent} links to entry-1 of the control network")
def _(context: Any, agent: str) -> None:
    network = context.network

    async def step() -> None:
        network.add(agent)
        await network.connect("entry-1", agent)

    network.script.append(step)


@then("the whole control network has bundle 2 and the take-out")
def _(context: Any) -> None:
    context.network.check(check_all_updated(context.network))


@then("entry-1 sees both acknowledged by all its peers")
def _(context: Any) -> None:
    network = context.network

    async def step() -> None:
        flow = network.flows["entry-1"]
        everyone = tuple(sorted(name for name in network.flows if name != "entry-1"))
        for progress in (flow.bundle_progress(2), flow.status_progress(TAKE_OUT)):
            assert progress.confirmed == everyone
            assert progress.waiting == ()

    network.check(step)


@then("each process of the control network was sent bundle 2 at most {times:d} times")
def _(context: Any, times: int) -> None:
    network = context.network

    async def step() -> None:
        received = Counter(receiver for _, receiver in network.bundles_sent.elements())
        assert received["entry-1"] == 0
        assert max(received.values()) <= times, received

    network.check(step)


@when("the updates from {sender} to {peer} are lost while it gets bundle 2")
def _(context: Any, sender: str, peer: str) -> None:
    network = context.network
    network.script.append(lambda: network.update_all_but(sender, peer))


@when("{peer} sends heartbeats to {sender} for {seconds:d} s")
def _(context: Any, peer: str, sender: str, seconds: int) -> None:
    network = context.network
    network.script.append(lambda: network.heartbeats(peer, sender, seconds))


@then("{peer} has bundle 2 in the control network")
def _(context: Any, peer: str) -> None:
    network = context.network

    async def step() -> None:
        assert network.flows[peer].control.bundle_version == 2

    network.check(step)


@then("{sender} sent bundle 2 to {peer} {times:d} times after the loss")
def _(context: Any, sender: str, peer: str, times: int) -> None:
    network = context.network

    async def step() -> None:
        assert network.bundles_sent[(sender, peer)] == times, network.bundles_sent

    network.check(step)


@when("agent-1 of the control network trusts no key")
def _(context: Any) -> None:
    network = context.network

    async def step() -> None:
        network.flows["agent-1"].control = Control([])

    network.script.append(step)


@then("entry-1 sent bundle 2 to the refusing agent-1 from {least:d} to {most:d} times")
def _(context: Any, least: int, most: int) -> None:
    network = context.network

    async def step() -> None:
        assert least <= network.bundles_sent[("entry-1", "agent-1")] <= most, network.bundles_sent

    network.check(step)


@when("entry-2 takes suva-depot out while the store is out")
def _(context: Any) -> None:
    network = context.network
    network.script.append(lambda: network.take_out("entry-2"))


@then("entry-1 has written the take-out back after a store read that failed to write once")
def _(context: Any) -> None:
    network = context.network

    async def step() -> None:
        network.store_fails = 1
        await network.read("entry-1", 1)
        assert network.written == []
        await network.read("entry-1", 1)
        assert network.written == [TAKE_OUT]
        await network.read("entry-1", 1, TAKE_OUT)
        assert network.written == [TAKE_OUT]

    network.check(step)


@when("entry-1 takes suva-depot out with {event}")
def _(context: Any, event: str) -> None:
    network = context.network
    network.script.append(lambda: network.take_out_during(event))


@then("after {seconds:g} s entry-1 reports the take-out {report}")
def _(context: Any, seconds: float, report: str) -> None:
    network = context.network

    async def step() -> None:
        await anyio.sleep(seconds)
        flow = network.flows["entry-1"]
        others = frozenset(network.entries[1:])
        now = anyio.current_time()
        found = flow.take_out_in_force("suva-depot", others, now, PolicySettings())
        assert found is (report == "in force")

    network.check(step)


@then("entry-1 reports bundle 2 as not in force")
def _(context: Any) -> None:
    network = context.network

    async def step() -> None:
        assert not network.flows["entry-1"].bundle_in_force(2, frozenset(["entry-2"]))

    network.check(step)


@then("after agent-1 has sent heartbeats for {seconds:d} s entry-1 reports bundle 2 as in force")
def _(context: Any, seconds: int) -> None:
    network = context.network

    async def step() -> None:
        await network.heartbeats("agent-1", "entry-1", seconds)
        assert network.flows["entry-1"].bundle_in_force(2, frozenset(["entry-2"]))

    network.check(step)


@when(
    "bundle 2 by a rotated key revokes the old one and reaches only entry-1 of the control network"
)
def _(context: Any) -> None:
    network = context.network
    network.new_key = rotate_key(network.key)
    revoked = (network.key.key_id,)
    network.bundles = {
        1: signed_bundle(network.key, 1),
        2: signed_bundle(network.new_key, 2, revoked_keys=revoked),
    }

    async def step() -> None:
        for peer in ("entry-2", "agent-1"):
            await network.cut("entry-1", peer)
        assert await network.flows["entry-1"].apply_store(network.bundles[2], (), {}, 0.0)

    network.script.append(step)


@when("{process} restarts in the control network with settings that list {keys}")
def _(context: Any, process: str, keys: str) -> None:
    network = context.network
    old, new = network.key.public_text, network.new_key.public_text
    listed = {"the old key": [old], "the new key": [new], "both keys": [old, new]}[keys]

    async def step() -> None:
        network.restarted = process
        role = Role.ENTRY if process.startswith("entry") else Role.AGENT
        network.flows[process] = ControlFlow(Control(listed), role)

    network.script.append(step)


@when("the restarted control process hears from {source}, which has bundle 1 by the withdrawn key")
def _(context: Any, source: str) -> None:
    hear_from(context.network, source, 1)


@when("the restarted control process hears from {source}, which has bundle 2")
def _(context: Any, source: str) -> None:
    hear_from(context.network, source, 2)


def hear_from(network: ControlNetwork, source: str, version: int) -> None:
    """Let the restarted process read the store, or link to a peer, deliver and end the link."""

    async def step() -> None:
        flow = network.flows[network.restarted]
        if source == "the store":
            await flow.apply_store(network.bundles[version], (), {}, anyio.current_time())
            return
        # The peer may have been brought up to date by the restarted process before.
        if network.flows[source].control.bundle_version != version:
            control = network.flows[source].control = Control([network.key.public_text])
            assert control.merge_bundle(network.bundles[version])
        await network.connect(network.restarted, source)
        await network.deliver_all()
        await network.cut(network.restarted, source)

    network.script.append(step)


@then("the restarted control process has bundle {version:d} and {trusts} the withdrawn key")
def _(context: Any, version: int, trusts: str) -> None:
    network = context.network

    async def step() -> None:
        control = network.flows[network.restarted].control
        found = "accepts"
        try:
            check_envelope(sign_envelope(b"probe", network.key), control.trust())
        except SignatureError:
            found = "refuses"
        assert (control.bundle_version, found) == (version, trusts), (control.bundle_version, found)
        # Without this, a process that was sent no bundle at all would pass.
        assert version or "is not trusted" in control.bundle_error, control.bundle_error

    network.check(step)
