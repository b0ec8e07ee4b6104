"""Steps for link.feature."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import anyio
from behave import given, then, when

from apricotpath.codec import MAX_FRAME, Envelope, encode
from apricotpath.config import Address, LinkSettings
from apricotpath.errors import LinkError
from apricotpath.link import Link, dial_forever, listen
from apricotpath.messages import Heartbeat, Hello, JobCall, JobReply
from apricotpath.model import Role
from support.relay import Relay

WAIT_S = 5.0


def hello(name: str, protocol: int = 1) -> Hello:
    return Hello(protocol, Role.AGENT, name, "incarnation", "suva-depot")


class RecordingHandler:
    """Records links and replies to calls; calls with method `hold` are only stored in `held`."""

    def __init__(self) -> None:
        self.links: list[Link] = []
        self.ended = 0
        self.held: list[tuple[Link, Envelope]] = []

    def heartbeat(self) -> Heartbeat:
        return Heartbeat(1, 0, 0, ())

    async def opened(self, link: Link) -> None:
        self.links.append(link)

    async def received(self, link: Link, envelope: Envelope) -> None:
        if isinstance(envelope.body, JobCall):
            if envelope.body.method == "hold":
                self.held.append((link, envelope))
            else:
                await link.send(JobReply(200, envelope.body.body), envelope.id)

    async def closed(self, link: Link) -> None:
        self.ended += 1


async def until(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(WAIT_S):
        while not condition():
            await anyio.sleep(0.01)


class LinkSubject:
    """Two processes linked through a relay; each scenario runs inside one event loop."""

    def __init__(self, silence_s: float) -> None:
        self.cfg = LinkSettings(heartbeat_s=silence_s / 4, silence_s=silence_s)
        self.client_cfg = self.cfg
        self.server = RecordingHandler()
        self.client = RecordingHandler()
        self.relay = Relay(0)
        self.port = 0
        self.result: Any = None

    def run(self, scenario: Callable[[], Awaitable[None]]) -> None:
        async def main() -> None:
            async with anyio.create_task_group() as group:
                await self._join(group)
                with anyio.fail_after(4 * WAIT_S):
                    await scenario()
                group.cancel_scope.cancel()

        anyio.run(main)

    async def _join(self, group: anyio.abc.TaskGroup) -> None:
        ready = anyio.Event()

        async def listening(address: Address) -> None:
            self.port = address.port
            ready.set()

        address = Address("127.0.0.1", 0)
        group.start_soon(listen, address, hello("server"), self.cfg, self.server, group, listening)
        await ready.wait()
        self.relay.target_port = self.port
        await group.start(self.relay.run)
        target = Address("127.0.0.1", self.relay.port)
        rng = random.Random(1)
        group.start_soon(dial_forever, target, hello("client"), self.client_cfg, self.client, rng)
        await until(lambda: bool(self.client.links and self.server.links))

    async def call(self, body: bytes) -> None:
        reply = await self.client.links[-1].call(JobCall("echo", "/", body))
        assert reply == JobReply(200, body)

    async def call_with_reversed_replies(self, count: int) -> None:
        replies: dict[int, Any] = {}

        async def one(number: int) -> None:
            body = str(number).encode()
            replies[number] = await self.client.links[0].call(JobCall("hold", "/", body))

        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(one, number)
            await until(lambda: len(self.server.held) == count)
            for link, envelope in reversed(self.server.held):
                await link.send(JobReply(200, envelope.body.body), envelope.id)
        self.result = replies

    async def silence_link(self) -> None:
        assert self.relay.silence() == 1
        with anyio.fail_after(2):
            await until(lambda: self.client.ended > 0 and self.server.ended > 0)
        await until(lambda: len(self.client.links) > 1 and self.client.links[-1].is_open)
        await self.call(b"after")
        self.result = "replaced"

    async def silence_link_during_call(self) -> None:
        async def pending() -> None:
            try:
                await self.client.links[0].call(JobCall("hold", "/", b""))
            except LinkError as exc:
                self.result = exc

        async with anyio.create_task_group() as group:
            group.start_soon(pending)
            await until(lambda: len(self.server.held) == 1)
            self.relay.silence()

    async def keep_busy(self, every_s: float, for_s: float) -> None:
        """Make a call every `every_s` seconds, and count the other frames that were received."""
        link = self.client.links[0]
        frames, calls, ends_at = link.frames_received, 0, anyio.current_time() + for_s
        while anyio.current_time() < ends_at:
            await self.call(b"busy")
            calls += 1
            await anyio.sleep(every_s)
        self.result = link.frames_received - frames - calls

    async def connect_unknown_client(self, data: bytes) -> None:
        stream = await anyio.connect_tcp("127.0.0.1", self.port)
        async with stream:
            if data:
                await stream.send(data)
            with anyio.fail_after(WAIT_S):
                try:
                    while True:
                        await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    self.result = "disconnected"
        await self.call(b"still here")


UNKNOWN_CLIENT_BYTES = {
    "random bytes": random.Random(3).randbytes(400),
    "an oversized length": (MAX_FRAME + 1).to_bytes(4, "little"),
    "a message before Hello": encode(Envelope(1, 0, JobCall("echo", "/", b""))),
    "a wrong protocol": encode(Envelope(1, 0, hello("stranger", protocol=9))),
    "Hello then garbage": encode(Envelope(1, 0, hello("stranger"))) + b"\x08\0\0\0garbage!",
    "nothing": b"",
}


@given("two linked processes with a silence limit of {seconds:g} s")
def _(context: Any, seconds: float) -> None:
    context.link = LinkSubject(seconds)


@given("two linked processes whose links send heartbeats {when_busy}")
def _(context: Any, when_busy: str) -> None:
    context.link = LinkSubject(1.0)
    context.link.cfg = context.link.client_cfg = replace(
        context.link.cfg, heartbeat_when_busy=when_busy == "when busy"
    )


@when("messages go both ways on the link every {every_s:g} s for {for_s:g} s")
def _(context: Any, every_s: float, for_s: float) -> None:
    context.link.run(lambda: context.link.keep_busy(every_s, for_s))


@then("the link has carried between {least:d} and {most:d} heartbeats")
def _(context: Any, least: int, most: int) -> None:
    assert least <= context.link.result <= most, context.link.result


@then("both ends count the same bytes of calls and replies")
def _(context: Any) -> None:
    near, far = context.link.client.links[0].traffic, context.link.server.links[0].traffic
    assert near.sent["JobCall"] == far.received["JobCall"] > 0
    assert far.sent["JobReply"] == near.received["JobReply"] > 0


@when("{count:d} link calls are answered in reverse order")
def _(context: Any, count: int) -> None:
    context.link.run(lambda: context.link.call_with_reversed_replies(count))


@then("each link call has its own reply")
def _(context: Any) -> None:
    for number, reply in context.link.result.items():
        assert reply == JobReply(200, str(number).encode())
    assert len(context.link.result) == 20


@when("the relay stops forwarding on the link")
def _(context: Any) -> None:
    context.link.run(context.link.silence_link)


@then("both ends close the silent link within 2 s")
def _(context: Any) -> None:
    assert context.link.client.ended > 0
    assert context.link.server.ended > 0


@then("a new link answers calls")
def _(context: Any) -> None:
    assert context.link.result == "replaced"


@when("the relay stops forwarding on the link during a call")
def _(context: Any) -> None:
    context.link.run(context.link.silence_link_during_call)


@then("the link call ends with a link error")
def _(context: Any) -> None:
    assert isinstance(context.link.result, LinkError)


@when("an unknown client connects to the link port and sends {what}")
def _(context: Any, what: str) -> None:
    context.link.run(lambda: context.link.connect_unknown_client(UNKNOWN_CLIENT_BYTES[what]))


@then("the unknown client is disconnected")
def _(context: Any) -> None:
    assert context.link.result == "disconnected"


@then("the first link still answers calls")
def _(context: Any) -> None:
    assert context.link.client.ended <= 1
