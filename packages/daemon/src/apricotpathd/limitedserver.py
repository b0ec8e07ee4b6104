"""HTTP server on asyncio that keeps to ClientLimits, with the protocols of hypercorn.

Hypercorn bounds neither its connections nor what they buffer, and has no hook
for that, so this module takes the place of its socket handling.
"""

import asyncio
import contextlib
import logging
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.task_group import TaskGroup
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.protocol import ProtocolWrapper
from hypercorn.protocol.h2 import H2Protocol
from hypercorn.typing import ConnectionState

from apricotpath.clientlimits import BudgetExhausted, Client, ClientGone, ClientTable, Limit
from apricotpathd.limitedapp import LimitedApp
from apricotpathd.turns import Turns

log = logging.getLogger(__name__)

# An ordinary request fits; a piece of HTTP/2 is smaller, since each of its bytes may be a field.
RECEIVE_BYTES = 8192
H2_RECEIVE_BYTES = 4096
SEND_BYTES = 4096
# Memory of a protocol for each byte that it parses: a field of a head takes some hundred bytes,
# and a repeated one is a single byte in HTTP/2.
PARSE_FACTOR = 64
# What a client may send that belongs to no request, above the limit of its head.
UNPARSED_BYTES = 64 << 10
SWEEP_INTERVAL_S = 0.25
# How often it is checked, each ROOM_WAIT_S, whether a closed connection's requests are handled.
HANDLING_CHECKS = 200
CLOSE_STREAMS_S = 1.0
# After an answer that ends a connection, what the client still sends is read and discarded, since
# closing the socket would discard the answer too.
LINGER_S = 1.0
LINGER_BYTES = 1 << 20
ROOM_WAIT_S = 0.05
ACCEPT_RETRY_S = 0.1
TIMEOUT_ANSWER = b"HTTP/1.1 408 \r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
TOO_LARGE_ANSWER = b"HTTP/1.1 431"


class _ConnectionEnded(Exception):
    """Cancels the tasks that are left of a connection."""


class _ClosedStream:
    """Takes what arrives for a stream of HTTP/2 that was answered before its body ended."""

    idle = True

    async def handle(self, _event: object) -> None:
        """Discard an event."""


class _Streams(dict[int, Any]):
    def __missing__(self, _stream_id: int) -> _ClosedStream:
        return _ClosedStream()


class LimitedServer:
    """Serves an ASGI app on one address until told to stop."""

    def __init__(self, app: Any, config: Config, table: ClientTable) -> None:
        self.config, self.table = config, table
        self.app = ASGIWrapper(LimitedApp(app, table))  # type: ignore[arg-type]
        self.context = WorkerContext(None)
        self.loop = asyncio.get_running_loop()
        # Set whenever a connection has been closed.
        self.room = asyncio.Event()
        self.turns = Turns()
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(self, stop: Callable[[], Awaitable[Any]]) -> None:
        """Serve until `stop` returns, and then until all requests are answered."""
        (sock,) = self.config.create_sockets().insecure_sockets
        sock.listen(self.config.backlog)
        accepting = self.loop.create_task(self._accept(sock))
        sweeping = self.loop.create_task(self._sweep())
        try:
            await stop()
            await self.context.terminated.set()
            accepting.cancel()
            await asyncio.wait([accepting])
            sock.close()
            ends_at = self.loop.time() + self.config.graceful_timeout
            while self.table.clients and self.loop.time() < ends_at:
                self._close_idle()
                await asyncio.sleep(ROOM_WAIT_S)
        finally:
            # Does nothing if the socket is closed already.
            sock.close()
            for task in (accepting, sweeping, *self._tasks):
                task.cancel()

    def _close_idle(self) -> None:
        for client in self.table.clients.values():
            if client.idle_since is not None:
                self.table.detach(client)
                client.close(Limit.IDLE_S)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.table.close_overdue(self.loop.time())
            for client in self.table.clients.values():
                client.turns //= 2

    async def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, address = await self.loop.sock_accept(listener)
            except OSError as exc:
                log.warning("connection not accepted: %s", exc)
                await asyncio.sleep(ACCEPT_RETRY_S)
                continue
            while not self.table.make_room(address[0]):
                self.room.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(ROOM_WAIT_S):
                        await self.room.wait()
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(self, sock, address)
            self.table.add(address, connection.client)
            task = self.loop.create_task(connection.run())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            # A full backlog is accepted without waiting, which would hold up the event loop.
            await asyncio.sleep(0)


class Connection:
    """One client's connection, from its acceptance until its socket is closed."""

    def __init__(
        self, server: LimitedServer, sock: socket.socket, address: tuple[str, int]
    ) -> None:
        self.server, self.table, self.loop = server, server.table, server.loop
        self.sock, self.address = sock, address
        now = self.loop.time()
        self.client = Client(address[0], self.close, now, now)
        self.ended = asyncio.Event()
        self._aborted = False
        # Bytes of an incomplete head that are charged.
        self._held = 0
        # Whether the turn of the last piece has not been used by a request yet.
        self._has_turn = False
        self._send_lock = asyncio.Lock()
        self.protocol: ProtocolWrapper

    def close(self, limit: Limit) -> None:
        """Close the connection without waiting for its client."""
        if limit is Limit.HEADER_S and not self._is_h2():
            with contextlib.suppress(OSError):
                self.sock.send(TIMEOUT_ANSWER)
        self._aborted = True
        self.ended.set()

    def _is_h2(self) -> bool:
        return isinstance(self.protocol.protocol, H2Protocol)

    async def run(self) -> None:
        """Serve the connection; its errors end nothing else."""
        try:
            await self._serve()
        except* (_ConnectionEnded, OSError):
            pass
        except* Exception:
            log.warning("connection failed", exc_info=True)
        finally:
            self.sock.close()
            self.table.remove(self.address, self.client)
            self.server.room.set()

    async def _serve(self) -> None:
        # One connection's limits are those at its start.
        limits, config = self.table.limits, self.server.config
        config.h11_max_incomplete_size = limits.header_bytes
        config.h2_max_header_list_size = limits.header_bytes
        config.h2_max_concurrent_streams = limits.requests
        async with TaskGroup(self.loop) as group:
            self.protocol = ProtocolWrapper(
                self.server.app,
                config,
                self.server.context,
                group,
                ConnectionState({}),
                False,
                self.address,
                self.sock.getsockname(),
                self._send,
            )
            reading = self.loop.create_task(self._read())
            try:
                await self.protocol.initiate()
                await self.ended.wait()
            finally:
                reading.cancel()
                await asyncio.wait([reading])
            self.table.detach(self.client)
            if not self._aborted:
                await self._linger()
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CLOSE_STREAMS_S):
                    await self.protocol.handle(Closed())
            await self._wait_handled()
            raise _ConnectionEnded

    async def _wait_handled(self) -> None:
        """Let requests that were received whole be handled, since a job may be half accepted."""
        for _ in range(HANDLING_CHECKS):
            if not self.client.handling:
                return
            await asyncio.sleep(ROOM_WAIT_S)

    async def _linger(self) -> None:
        self.sock.shutdown(socket.SHUT_WR)
        size = 0
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(LINGER_S):
                while size < LINGER_BYTES:
                    data = await self.loop.sock_recv(self.sock, RECEIVE_BYTES)
                    if not data:
                        return
                    size += len(data)

    # Reading.

    async def _read(self) -> None:
        try:
            while not self.ended.is_set():
                size = H2_RECEIVE_BYTES if self._is_h2() else RECEIVE_BYTES
                data = await self.loop.sock_recv(self.sock, size)
                if not data:
                    break
                await self._wait_turn()
                await self._handle(data)
            self._aborted = True
        except (OSError, ClientGone):
            self._aborted = True
        except BudgetExhausted:
            self.table.evict(self.client, Limit.BUDGET_BYTES)
        finally:
            self.ended.set()

    async def _wait_turn(self) -> None:
        self.client.turns += 1
        await self.server.turns.wait(self.client.turns)

    async def _handle(self, data: bytes) -> None:
        """Pass data to the protocol, within the budget for what it parses."""
        client, size = self.client, len(data) * PARSE_FACTOR
        self._count_head(len(data))
        self._has_turn = True
        self.table.reserve(client, size)
        try:
            await self.protocol.handle(RawData(data))
        finally:
            self.table.release(client, size)
        held, self._held = self._held, client.unparsed_bytes
        if held > self._held:
            self.table.release(client, held - self._held)
        else:
            self.table.reserve(client, self._held - held)

    def _count_head(self, size: int) -> None:
        """Count what has arrived since the last part of a request that was recognized."""
        client = self.client
        if self._is_h2():
            # Frames that belong to no request arrive at any time, so they have no time limit.
            client.unparsed_bytes += size
        elif client.idle_since is not None:
            client.add_head(size, self.loop.time())
        if client.unparsed_bytes > self.table.limits.header_bytes + UNPARSED_BYTES:
            self.table.evict(client, Limit.HEADER_BYTES)

    # Sending.

    async def _send(self, event: Event) -> None:
        if isinstance(event, RawData):
            if event.data.startswith(TOO_LARGE_ANSWER):
                self.table.on_limit(Limit.HEADER_BYTES, self.client.peer)
            async with self._send_lock:
                await self._send_data(event.data)
        elif isinstance(event, Closed):
            self.ended.set()
        elif isinstance(event, Updated):
            now = self.loop.time()
            if event.idle:
                self.client.end_requests(now)
                return
            self.client.begin_request(now)
            protocol = self.protocol.protocol
            if isinstance(protocol, H2Protocol) and not isinstance(protocol.streams, _Streams):
                protocol.streams = _Streams(protocol.streams)
            # Also lets the request be charged before the protocol goes on to the next one.
            if not self._has_turn:
                await self._wait_turn()
            self._has_turn = False

    async def _send_data(self, data: bytes) -> None:
        """Send data in parts, each of which the client must take within the time limit."""
        with contextlib.suppress(OSError):
            # An ordinary answer fits the socket's buffer.
            if not self._aborted:
                data = data[self.sock.send(data) :]
        for start in range(0, len(data), SEND_BYTES):
            if self._aborted:
                return
            try:
                async with asyncio.timeout(self.table.limits.send_s):
                    await self.loop.sock_sendall(self.sock, data[start : start + SEND_BYTES])
            except TimeoutError:
                self.table.evict(self.client, Limit.SEND_S)
            except OSError:
                self._aborted = True
                self.ended.set()


async def serve_limited(
    app: Any, config: Config, table: ClientTable, stop: Callable[[], Awaitable[Any]]
) -> None:
    """Serve an ASGI app within the limits of a table, until `stop` returns."""
    await LimitedServer(app, config, table).serve(stop)
