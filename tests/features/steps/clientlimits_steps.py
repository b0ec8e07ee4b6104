"""Steps for clientlimits.feature."""

import socket
import time
from collections import Counter
from typing import Any

import anyio
from anyio.from_thread import start_blocking_portal
from behave import given, then, when

from apricotpath.clientlimits import (
    BudgetExhausted,
    Client,
    ClientLimits,
    ClientTable,
    Limit,
    change_limits,
)
from apricotpath.config import Address
from apricotpath.errors import SettingsError
from apricotpathd.asgi import TEXT, Receive, Scope, Send, read_body, send_body, serve_lifespan
from apricotpathd.httpserver import serve_clients
from support.crowd import Crowd, H2Client, chunked, pieces, request_head
from support.platformworld import free_port

BODY = b"x" * 262_144
LONG_ANSWER = b"x" * (8 << 20)
LIMITS = ClientLimits(
    header_bytes=16_384, header_s=0.6, body_s=0.6, send_s=0.6, idle_s=0.6, connection_bytes=1 << 20
)
WAIT_S = 10.0
HANDLING_S = 0.5
BYTE_INTERVAL_S = 0.02
NAMES = "abcd"


class Table:
    """A table of connections without sockets."""

    def __init__(self, limits: ClientLimits) -> None:
        self.closed: list[object] = []
        self.refused = False
        self.table = ClientTable(limits, lambda _limit, _peer: None)

    def add(self, name: object, peer: str, at: float) -> Client:
        client = Client(peer, lambda _limit: self.closed.append(name), at, at)
        self.table.add(name, client)
        return client


@given("clientlimits of {size:d} bytes and connections a, b, c, d that hold 1000, 1000, 0 and 900")
def make_table(context: Any, size: int) -> None:
    context.limited = limited = Table(ClientLimits(budget_bytes=size))
    context.clients = {name: limited.add(name, name, at) for at, name in enumerate(NAMES)}
    for name, held in (("a", 1000), ("b", 1000), ("d", 900)):
        limited.table.charge(context.clients[name], held)


@given("connection a of the clientlimits is handling a request, and b made progress after d")
def set_progress(context: Any) -> None:
    context.clients["a"].handling = 1
    context.clients["b"].add_progress(2000, 9.0)
    context.clients["c"].add_progress(2000, 10.0)


@when("connection {name} of the clientlimits needs {size:d} bytes")
def need(context: Any, name: str, size: int) -> None:
    try:
        context.limited.table.charge(context.clients[name], size)
    except BudgetExhausted:
        context.limited.refused = True


@then("the clientlimits have closed {names} and hold {size:d} bytes")
def have_closed(context: Any, names: str, size: int) -> None:
    assert context.limited.closed == names.split(", "), context.limited.closed
    assert context.limited.table.used_bytes == size, context.limited.table.used_bytes


@then("the clientlimits have refused it and closed none")
def have_refused(context: Any) -> None:
    assert context.limited.refused
    assert not context.limited.closed, context.limited.closed


@then("the clientlimits have refused it, since the one left is about to progress")
def keeps_handled(context: Any) -> None:
    assert context.limited.refused
    assert context.limited.closed == ["d", "b"], context.limited.closed


@given("clientlimits of 8 connections, 4 from a peer, all taken by one peer")
def fill_peer(context: Any) -> None:
    context.limited = Table(ClientLimits(connections=8, peer_connections=4))
    for number in range(4):
        context.limited.add(number, "peer", number)


@when("that peer of the clientlimits opens one more")
def open_one_more(context: Any) -> None:
    assert context.limited.table.make_room("peer")


@then("the clientlimits have closed its oldest connection")
def closed_oldest(context: Any) -> None:
    assert context.limited.closed == [0], context.limited.closed


@when("the clientlimits are set by {text}")
def set_limits(context: Any, text: str) -> None:
    context.reason = ""
    try:
        change_limits(ClientLimits(), [text])
    except SettingsError as exc:
        context.reason = str(exc)


@then('the clientlimits answer "{reason}"')
def gives_reason(context: Any, reason: str) -> None:
    assert context.reason == reason, context.reason


class Server:
    """A limited server on loopback, whose app answers with the length of the body."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.handled = 0
        self.table = ClientTable(LIMITS, self._count)
        self.address = ("127.0.0.1", free_port())
        self.crowd = Crowd(WAIT_S)
        self._portal_manager = start_blocking_portal()
        self.portal = self._portal_manager.__enter__()
        self.stop = self.portal.call(anyio.Event)
        self._serving = self.portal.start_task_soon(
            serve_clients, self.app, Address(*self.address), self.table, self.stop.wait
        )
        self.answer = b""
        self.conn = self.connect()

    def _count(self, limit: Limit, _peer: str) -> None:
        self.counts[limit.value] += 1

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        body = b"" if scope["path"] == "/unread" else await read_body(receive)
        if scope["path"] in ("/slow", "/unread"):
            await anyio.sleep(HANDLING_S)
            self.handled += 1
        if scope["path"] == "/long":
            await send({"type": "http.response.start", "status": 200, "headers": []})
            for part in pieces(LONG_ANSWER):
                await send({"type": "http.response.body", "body": part, "more_body": True})
        else:
            await send_body(send, 200, TEXT, str(len(body)).encode())

    def connect(self) -> socket.socket:
        ends_at = time.monotonic() + WAIT_S
        while (conn := self.crowd.connect(self.address)) is None:
            assert time.monotonic() < ends_at
            time.sleep(BYTE_INTERVAL_S)
        conn.settimeout(WAIT_S)
        return conn

    def wait(self, check: Any) -> None:
        ends_at = time.monotonic() + WAIT_S
        while not check():
            assert time.monotonic() < ends_at, (self.counts, self.table.used_bytes)
            time.sleep(BYTE_INTERVAL_S)

    def read_until_closed(self) -> None:
        """Read until the server closes the connection."""
        while data := self.conn.recv(65_536):
            self.answer += data

    def send_slowly(self, size: int) -> None:
        """Send bytes one by one until the server closes the connection."""
        try:
            for _ in range(size):
                self.conn.send(b"a")
                time.sleep(BYTE_INTERVAL_S)
        except OSError:
            return

    def close(self) -> None:
        self.crowd.close()
        self.portal.call(self.stop.set)
        self._serving.result(WAIT_S)
        self._portal_manager.__exit__(None, None, None)


@given("a server with clientlimits")
def start_server(context: Any) -> None:
    context.server = Server()
    context.add_cleanup(context.server.close)


def post(*headers: str) -> bytes:
    return request_head("POST", "/", "host", *headers) + b"\r\n"


SIZED = post(f"Content-Length: {len(BODY)}", "Connection: close")
CODED = post("Transfer-Encoding: chunked", "Connection: close")
SHORT_FIELDS = SIZED[:-2] + b"a:\r\n" * 4000 + b"\r\n"
HEAD = request_head("POST", "/", "host")
REQUESTS: dict[str, list[bytes]] = {
    "a body of legal size in one piece": [SIZED + BODY],
    "a body of legal size in small pieces": [SIZED, *pieces(BODY, 500)],
    "a body of legal size in chunks": [CODED, *chunked(pieces(BODY, 100)), b"0\r\n\r\n"],
    "a body of legal size after 4000 short fields": [SHORT_FIELDS + BODY],
    "a head that stops half-way": [HEAD],
    "a head that goes on byte by byte": [HEAD + b"a: "],
    "a body that stops half-way": [SIZED + BODY[:-1]],
    "a body that goes on byte by byte": [SIZED + b"x"],
    "a head beyond the limit": [HEAD + b"a: " + b"a" * 20_000],
    "a body that the app does not read": [
        request_head("POST", "/unread", "host", f"Content-Length: {len(BODY)}") + b"\r\n" + BODY
    ],
    "more than a connection may hold": [
        post(f"Content-Length: {8 * len(BODY)}", "Connection: close"),
        *[BODY] * 4,
    ],
}


@when("a client of the clientlimits sends {name}")
def send_request(context: Any, name: str) -> None:
    server = context.server
    if name == "nothing":
        return
    if name == "a body of legal size over HTTP/2":
        client = H2Client(server.conn, "host")
        client.send_bodies([client.request("POST", "/")], BODY, end=True)
        return
    for part in REQUESTS[name]:
        server.conn.sendall(part)
    if name.endswith("byte by byte"):
        server.send_slowly(200)


@then("the clientlimits' server answers 200 with the length 262144")
def answers_length(context: Any) -> None:
    server = context.server
    if "HTTP/2" in context.scenario.name:
        # The client lets the server send no body, so the answer waits for its time limit.
        server.wait(lambda: server.counts["send_s"] == 1)
        return
    server.read_until_closed()
    assert server.answer.startswith(b"HTTP/1.1 200 "), server.answer
    assert server.answer.endswith(b"\r\n\r\n262144"), server.answer
    assert not server.counts, server.counts


@then("the clientlimits' server answers {status:d} and closes the connection")
def answers_status(context: Any, status: int) -> None:
    server = context.server
    server.read_until_closed()
    assert server.answer.startswith(b"HTTP/1.1 %d " % status), server.answer
    assert status != 503 or b"retry-after: 1" in server.answer, server.answer


@then("the clientlimits' server answers it without any limit")
def answers_unread(context: Any) -> None:
    server = context.server
    server.read_until_closed()
    assert server.answer.startswith(b"HTTP/1.1 200 "), server.answer
    assert not server.counts, server.counts


@then("nothing stays charged to the clientlimits")
def nothing_charged(context: Any) -> None:
    server = context.server
    server.wait(lambda: server.table.used_bytes == 0 and not server.table.clients)


@then("the clientlimits have counted {limit}")
def have_counted(context: Any, limit: str) -> None:
    assert context.server.counts[limit] >= 1, context.server.counts


@when("a client of the clientlimits reads no answer")
def read_nothing(context: Any) -> None:
    context.server.conn.sendall(request_head("GET", "/long", "host") + b"\r\n")


@when("a client of the clientlimits reads no answer over HTTP/2")
def read_nothing_h2(context: Any) -> None:
    H2Client(context.server.conn, "host").request("GET", "/", end=True)


@then("the clientlimits' server has closed its connection for {limit}")
def closed_for(context: Any, limit: str) -> None:
    server = context.server
    server.wait(lambda: server.counts[limit] >= 1)
    server.wait(lambda: not server.table.clients)


@when("a client of the clientlimits closes its connection while its request is handled")
def close_while_handled(context: Any) -> None:
    server = context.server
    server.conn.sendall(request_head("GET", "/slow", "host") + b"\r\n")
    server.wait(lambda: any(client.handling for client in server.table.clients.values()))
    server.conn.close()


@then("the clientlimits' server has handled the request")
def has_handled(context: Any) -> None:
    context.server.wait(lambda: context.server.handled == 1)
