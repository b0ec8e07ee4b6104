"""Steps for httpcalls.feature."""

import asyncio
import json
import socket
import ssl
import time
from base64 import b64encode
from collections.abc import Iterator
from contextlib import contextmanager, nullcontext
from errno import EMFILE, ENETUNREACH
from functools import partial
from typing import Any
from unittest import mock

import anyio
from behave import given, then, when

from apricotpath.config import Address
from apricotpath.errors import StoreError
from apricotpath.jobmetrics import JobMetrics
from apricotpath_platform.httpcalls import CallFailed, HttpCaller
from apricotpath_platform.store import PlatformStore

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}"
END_OF_HEAD = b"\r\n\r\n"


class SlowServer:
    """HTTP server on loopback that delays its answers and ignores the first `silent` requests."""

    def __init__(self, delay_s: float = 0.0, silent: int = 0) -> None:
        self.delay_s, self.silent = delay_s, silent
        self.in_flight = self.max_in_flight = 0
        # Once it is set, nothing is delayed any more.
        self.released = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while not reader.at_eof():
            try:
                await reader.readuntil(END_OF_HEAD)
            except asyncio.IncompleteReadError:
                break
            self.in_flight += 1
            self.max_in_flight = max(self.max_in_flight, self.in_flight)
            with anyio.move_on_after(self.delay_s):
                await self.released.wait()
            self.in_flight -= 1
            if self.silent:
                self.silent -= 1
                continue
            writer.write(ANSWER)
        writer.close()


async def outcomes(server: SlowServer, calls: int, timeout_s: float, at_once: bool) -> list[str]:
    """Return the outcome of each call: its status, "no answer" or "not sent"."""
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    caller = HttpCaller(Address("127.0.0.1", port), JobMetrics())
    results: list[str] = []

    async def call() -> None:
        try:
            response = await caller.call("GET", "/kv-key", timeout_s=timeout_s)
            results.append(str(response.status_code))
        except CallFailed as exc:
            results.append("no answer" if exc.sent else "not sent")

    async with anyio.create_task_group() as group:
        for _ in range(calls):
            if at_once:
                group.start_soon(call)
            else:
                await call()
    listener.close()
    return results


@contextmanager
def record_loaded() -> Iterator[list[object]]:
    """Record each SSL context that loads certificates."""
    loaded: list[object] = []
    original = ssl.SSLContext.load_verify_locations

    def load(context: ssl.SSLContext, *args: Any, **options: Any) -> None:
        loaded.append(context)
        original(context, *args, **options)

    with mock.patch.object(ssl.SSLContext, "load_verify_locations", load):
        yield loaded


@given("a httpcalls server that does not answer its first request")
def silent_once(context: Any) -> None:
    context.server = SlowServer(silent=1)


@given("a httpcalls server that answers after {delay_s:g} seconds")
def slow(context: Any, delay_s: float) -> None:
    context.server = SlowServer(delay_s)


@when("httpcalls makes {calls:d} calls in turn with a timeout of {timeout_s:g} seconds")
def one_by_one(context: Any, calls: int, timeout_s: float) -> None:
    with record_loaded() as context.loaded:
        context.outcomes = anyio.run(outcomes, context.server, calls, timeout_s, False)


@when("httpcalls makes {calls:d} calls at once")
def at_once(context: Any, calls: int) -> None:
    context.outcomes = anyio.run(outcomes, context.server, calls, 3.0, True)


@when(
    "httpcalls makes a call with a timeout of {timeout_s:g} seconds while {others:d} others wait"
    " for their answers"
)
def call_beside_others(context: Any, timeout_s: float, others: int) -> None:
    async def main() -> None:
        server = context.server
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        caller = HttpCaller(Address("127.0.0.1", port), JobMetrics())
        async with anyio.create_task_group() as group:
            for _ in range(others):
                group.start_soon(partial(caller.call, "GET", "/kv-key", timeout_s=30.0))
            while server.in_flight < others:
                await anyio.sleep(0.01)
            connections = caller._transport
            try:
                await caller.call("GET", "/kv-key", timeout_s=timeout_s)
            except CallFailed as exc:
                context.sent = exc.sent
            context.kept = caller._transport is connections
            server.released.set()
        listener.close()

    anyio.run(main)


@then("the last httpcalls call was not sent, and the connections are kept")
def not_sent(context: Any) -> None:
    assert context.server.max_in_flight == 32, context.server.max_in_flight
    assert context.sent is False, context.sent
    assert context.kept, "the connections were replaced"


@then("the httpcalls outcomes are {expected}")
def ended_as(context: Any, expected: str) -> None:
    assert context.outcomes == expected.split(", "), context.outcomes


@then("no certificate was loaded for httpcalls")
def none_loaded(context: Any) -> None:
    assert not context.loaded, len(context.loaded)


@then(
    "the httpcalls server had at most {max_in_flight:d} requests in flight and answered all of them"
)
def bounded(context: Any, max_in_flight: int) -> None:
    assert context.server.max_in_flight <= max_in_flight, context.server.max_in_flight
    assert set(context.outcomes) == {"200"}, context.outcomes


@when("httpcalls calls an address at which {failure}")
def call_failing_address(context: Any, failure: str) -> None:
    caller = HttpCaller(Address("127.0.0.1", unused_port()), JobMetrics())
    numbers = {"no descriptor is left": EMFILE, "the network is unreachable": ENETUNREACH}
    connecting = nullcontext()
    if failure in numbers:
        error = OSError(numbers[failure], failure)
        connecting = mock.patch("anyio.connect_tcp", side_effect=error)

    async def call() -> None:
        try:
            await caller.call("GET", "/kv-key", timeout_s=0.5)
        except CallFailed as exc:
            context.outcome = type(exc).__name__

    with connecting:
        anyio.run(call)


def unused_port() -> int:
    """Return a port of the loopback interface on which nothing listens."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


@then("the httpcalls outcome is {outcome:w}")
def check_outcome(context: Any, outcome: str) -> None:
    assert context.outcome == outcome, context.outcome


PIECES = 40
VALUE_BYTES = 7_500


class PageServer:
    """Store on loopback that sends one page of 400 kB in PIECES pieces."""

    def __init__(self, how: str) -> None:
        self.how = how
        value = b64encode(bytes(VALUE_BYTES)).decode()
        items = [{"key": f"k/{number}", "value": value, "rev": 1} for number in range(PIECES)]
        self.page = json.dumps({"items": items, "currentRev": 1, "hasMore": False}).encode()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(END_OF_HEAD)
        status = "503 Busy" if "refused" in self.how else "200 OK"
        head = f"HTTP/1.1 {status}\r\ncontent-length: {len(self.page)}\r\n\r\n"
        writer.write(head.encode())
        size = len(self.page) // PIECES + 1
        try:
            for number in range(PIECES):
                if number == PIECES // 4 and "100 kB" in self.how:
                    break
                writer.write(self.page[number * size : (number + 1) * size])
                await writer.drain()
                await asyncio.sleep(2.5 / PIECES if "takes" in self.how else 0)
            if "reset" in self.how:
                writer.transport.abort()
            else:
                await reader.read()
        except OSError:
            return
        finally:
            writer.close()


@given("a httpcalls store whose page of 400 kB {how}")
def page_store(context: Any, how: str) -> None:
    context.server = PageServer(how)


@when("the page of the httpcalls store is read")
def read_page(context: Any) -> None:
    async def main() -> None:
        listener = await asyncio.start_server(context.server.serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        store = PlatformStore(Address("127.0.0.1", port), JobMetrics())
        started = time.monotonic()
        try:
            context.page = await store.range("k/")
        except StoreError:
            context.page = None
        context.seconds = time.monotonic() - started
        listener.close()

    anyio.run(main)


@then("the read of the httpcalls store {ends} after {least:g} to {most:g} seconds")
def page_read(context: Any, ends: str, least: float, most: float) -> None:
    if ends == "fails":
        assert context.page is None
    else:
        assert [len(item.value) for item in context.page.items] == [VALUE_BYTES] * PIECES
    assert least <= context.seconds <= most, context.seconds
