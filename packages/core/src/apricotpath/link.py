"""TCP connections between processes: framing, heartbeats, calls and reconnecting."""

import logging
import random
import ssl
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import anyio
from anyio.abc import ByteStream, TaskGroup
from anyio.streams.tls import TLSAttribute, TLSStream

from apricotpath.codec import (
    LENGTH_BYTES,
    PROTOCOL_VERSION,
    Envelope,
    decode,
    encode,
    frame_length,
)
from apricotpath.config import MAX_PORT, Address, LinkSettings, TlsSettings
from apricotpath.errors import CodecError, LinkError, PeerError, SettingsError
from apricotpath.messages import Failure, Heartbeat, Hello, Message
from apricotpath.traffic import Traffic

log = logging.getLogger(__name__)

# Queued frames are joined up to this size before they are sent, to save system calls.
WRITE_BATCH_BYTES = 64 << 10
READ_BYTES = 64 << 10
# The pause before a redial is multiplied with a random factor between these two.
MIN_REDIAL_JITTER = 0.5
MAX_REDIAL_JITTER = 1.5


class Handler(Protocol):
    """Callbacks of a link.

    `received` runs in the link's reading task, in order of arrival. It must
    start a separate task for anything that waits; otherwise no heartbeats are
    read meanwhile and the link times out.
    """

    def heartbeat(self) -> Heartbeat:
        """Return the next heartbeat to send."""

    async def opened(self, link: "Link") -> None:
        """Handle a link whose Hello messages have been exchanged."""

    async def received(self, link: "Link", envelope: Envelope) -> None:
        """Handle a message that is not the reply to a call."""

    async def closed(self, link: "Link") -> None:
        """Handle the end of an opened link."""


class Link:
    """A connection to a peer, with heartbeats in both directions and concurrent calls.

    `run` returns or raises LinkError when the connection ends; afterwards
    every pending and later call raises LinkError.
    """

    def __init__(
        self, stream: ByteStream, hello: Hello, cfg: LinkSettings, handler: Handler
    ) -> None:
        self.cfg = cfg
        self.hello = hello
        self.handler = handler
        self.peer: Hello | None = None
        self.last_heartbeat: Heartbeat | None = None
        self.last_heartbeat_at = 0.0
        self.last_received_at = 0.0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.frames_sent = 0
        self.traffic = Traffic()
        self.last_queued_at = float("-inf")
        self.frames_received = 0
        self.is_open = False
        self._stream = stream
        self._write_lock = anyio.Lock()
        self._next_id = 1
        self._calls: dict[int, _Call] = {}
        self._buffer = bytearray()
        self._outbox: deque[bytes] = deque()
        self._outbox_filled = anyio.Event()
        self._outbox_drained = anyio.Event()
        self._close_reason = ""
        self._scope: anyio.CancelScope | None = None

    @property
    def peer_id(self) -> str:
        """Process id of the peer, for logs."""
        return self.peer.process_id if self.peer else "?"

    def idle_s(self) -> float:
        """Return the seconds since the last frame from the peer."""
        return anyio.current_time() - self.last_received_at

    async def run(self) -> None:
        """Exchange Hello messages and serve the connection until it ends."""
        opened = False
        try:
            with anyio.CancelScope() as self._scope:
                with anyio.move_on_after(self.cfg.silence_s) as hello_timeout:
                    await self._write(Envelope(self._allocate_id(), 0, self.hello))
                    self.peer = self._check_hello(await self._read())
                if hello_timeout.cancelled_caught:
                    raise LinkError("the peer sent no Hello")
                self.is_open = opened = True
                async with anyio.create_task_group() as group:
                    group.start_soon(self._send_frames)
                    group.start_soon(self._send_heartbeats)
                    group.start_soon(self._watch_silence)
                    await self.handler.opened(self)
                    await self._receive()
        except* anyio.EndOfStream:
            self._close_reason = self._close_reason or "the peer closed the connection"
        except* (anyio.ClosedResourceError, anyio.BrokenResourceError, OSError) as group_exc:
            self._close_reason = self._close_reason or f"connection lost: {group_exc.exceptions[0]}"
        except* (CodecError, LinkError) as group_exc:
            self._close_reason = self._close_reason or str(_first_leaf(group_exc))
        finally:
            self.is_open = False
            self._fail_calls()
            with anyio.CancelScope(shield=True):
                with anyio.move_on_after(1):
                    await anyio.aclose_forcefully(self._stream)
                if opened:
                    await self.handler.closed(self)
        if self._close_reason:
            raise LinkError(self._close_reason)

    def close(self, reason: str) -> None:
        """Close the connection at once."""
        self._close_reason = self._close_reason or reason
        self.is_open = False
        if self._scope is not None:
            self._scope.cancel()

    async def send(self, body: Message, reply_to: int = 0) -> int:
        """Queue a message and return its id; waits while the queue is full.

        Raises LinkError if the link is closed or the message cannot be encoded.
        """
        self._require_open()
        while len(self._outbox) >= self.cfg.send_queue:
            await self._outbox_drained.wait()
            self._require_open()
        number = self._allocate_id()
        self._enqueue(Envelope(number, reply_to, body))
        return number

    def send_nowait(self, body: Message, reply_to: int = 0) -> None:
        """Queue a message; raises LinkError like `send`, and if the queue is full."""
        self._require_open()
        if len(self._outbox) >= self.cfg.send_queue:
            raise LinkError("the link's send queue is full")
        self._enqueue(Envelope(self._allocate_id(), reply_to, body))

    async def call(self, body: Message, timeout_s: float | None = None) -> Message:
        """Send a message and return the reply.

        Raises PeerError if the reply is a Failure, and LinkError if the link
        ends or the call times out; the peer may then have executed it or not.
        """
        self._require_open()
        call = _Call()
        number = 0
        limit = self.cfg.call_timeout_s if timeout_s is None else timeout_s
        try:
            with anyio.move_on_after(limit) as scope:
                # The call is registered before its frame is queued, so that its reply is never
                # missed.
                while len(self._outbox) >= self.cfg.send_queue:
                    await self._outbox_drained.wait()
                    self._require_open()
                number = self._allocate_id()
                self._calls[number] = call
                self._enqueue(Envelope(number, 0, body))
                await call.done.wait()
        finally:
            self._calls.pop(number, None)
        if call.reply is None:
            if scope.cancelled_caught:
                raise LinkError(f"no reply to {type(body).__name__} within {limit} s")
            raise LinkError(self._close_reason or "the link is closed")
        if isinstance(call.reply, Failure):
            raise PeerError(call.reply.code, call.reply.text)
        return call.reply

    def _require_open(self) -> None:
        if not self.is_open:
            raise LinkError(self._close_reason or "the link is closed")

    def _enqueue(self, envelope: Envelope) -> None:
        try:
            frame = encode(envelope)
        except CodecError as exc:
            raise LinkError(f"the message cannot be sent: {exc}") from exc
        self.frames_sent += 1
        self.traffic.sent[type(envelope.body).__name__] += len(frame)
        self.last_queued_at = anyio.current_time()
        self._outbox.append(frame)
        self._outbox_filled.set()

    def _allocate_id(self) -> int:
        number = self._next_id
        self._next_id += 1
        return number

    def _check_hello(self, envelope: Envelope) -> Hello:
        if not isinstance(envelope.body, Hello):
            raise LinkError("the first message was not Hello")
        if envelope.body.protocol != PROTOCOL_VERSION:
            raise LinkError(f"the peer speaks protocol {envelope.body.protocol}")
        if self.cfg.tls is not None:
            name = certified_name(self._stream)
            if name != envelope.body.process_id:
                raise LinkError(f"the certificate of {name!r} is not {envelope.body.process_id!r}")
        return envelope.body

    async def _write(self, envelope: Envelope) -> None:
        await self._write_bytes(encode(envelope))

    async def _write_bytes(self, data: bytes) -> None:
        # The lock is needed because `_report_failure` may write while a batch is being sent.
        async with self._write_lock:
            self.bytes_sent += len(data)
            await self._stream.send(data)

    async def _read(self) -> Envelope:
        length = frame_length(await self._read_exactly(LENGTH_BYTES))
        envelope = decode(await self._read_exactly(length))
        self.traffic.received[type(envelope.body).__name__] += LENGTH_BYTES + length
        return envelope

    async def _read_exactly(self, count: int) -> bytes:
        """Return `count` bytes; one read from the stream may buffer many small frames."""
        while len(self._buffer) < count:
            data = await self._stream.receive(READ_BYTES)
            self.last_received_at = anyio.current_time()
            self.bytes_received += len(data)
            self._buffer += data
        result = bytes(self._buffer[:count])
        del self._buffer[:count]
        return result

    async def _receive(self) -> None:
        while True:
            try:
                envelope = await self._read()
            except CodecError as exc:
                await self._report_failure(exc)
                raise
            self.frames_received += 1
            if isinstance(envelope.body, Heartbeat):
                self.last_heartbeat = envelope.body
                self.last_heartbeat_at = self.last_received_at
            call = self._calls.get(envelope.reply_to) if envelope.reply_to else None
            if call is not None:
                call.reply = envelope.body
                call.done.set()
            else:
                await self.handler.received(self, envelope)

    async def _report_failure(self, exc: CodecError) -> None:
        """Send the reason for the coming disconnect to the peer, if it still reads."""
        with anyio.move_on_after(0.2):
            await self._write(Envelope(self._allocate_id(), 0, Failure("codec", str(exc))))

    async def _send_frames(self) -> None:
        while True:
            await self._outbox_filled.wait()
            batch = []
            size = 0
            while self._outbox and size < WRITE_BATCH_BYTES:
                batch.append(self._outbox.popleft())
                size += len(batch[-1])
            if not self._outbox:
                self._outbox_filled = anyio.Event()
            self._outbox_drained.set()
            self._outbox_drained = anyio.Event()
            await self._write_bytes(b"".join(batch))

    async def _send_heartbeats(self) -> None:
        while True:
            quiet_s = anyio.current_time() - self.last_queued_at
            if self.cfg.heartbeat_when_busy or quiet_s >= self.cfg.heartbeat_s:
                await self.send(self.handler.heartbeat())
                quiet_s = 0.0
            await anyio.sleep(self.cfg.heartbeat_s - quiet_s)

    async def _watch_silence(self) -> None:
        while True:
            left = self.cfg.silence_s - self.idle_s()
            if left <= 0:
                raise LinkError(f"the peer was silent for {self.cfg.silence_s} s")
            await anyio.sleep(left)

    def _fail_calls(self) -> None:
        for call in self._calls.values():
            call.done.set()
        self._outbox.clear()
        self._outbox_drained.set()


class _Call:
    """A call that waits for its reply."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.reply: Message | None = None


def _first_leaf(exc: BaseException) -> BaseException:
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc


def certified_name(stream: ByteStream) -> str:
    """Return the common name in the certificate of a TLS stream's peer, or an empty string."""
    certificate: Any = None
    if TLSAttribute.peer_certificate in stream.extra_attributes:
        certificate = stream.extra(TLSAttribute.peer_certificate)
    # The ssl module represents a subject as a tuple of tuples of (field, value) pairs.
    subject = certificate["subject"] if certificate else ()
    fields: dict[str, str] = dict(pair for part in subject for pair in part)
    return fields.get("commonName", "")


def check_tls(tls: TlsSettings | None) -> None:
    """Raise SettingsError if a TLS file in the settings is missing or unusable."""
    if tls is None:
        return
    for path in (tls.certificate, tls.private_key, tls.authority):
        if not path.is_file():
            raise SettingsError(f"{path}: there is no such file, and TLS needs it")
    try:
        server_context(tls)
    except (OSError, ValueError) as exc:
        text = exc.strerror if isinstance(exc, OSError) else str(exc)
        raise SettingsError(f"{tls.certificate}: cannot be used for TLS: {text}") from exc


def client_context(tls: TlsSettings) -> ssl.SSLContext:
    """Return a client context that presents our certificate and verifies the peer's."""
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=str(tls.authority))
    context.load_cert_chain(tls.certificate, tls.private_key)
    # Processes are addressed by IP address; the authority signs only apricotpath processes.
    context.check_hostname = False
    return context


def server_context(tls: TlsSettings) -> ssl.SSLContext:
    """Return a server context that requires a client certificate of the same authority."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=str(tls.authority))
    context.load_cert_chain(tls.certificate, tls.private_key)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


async def connect(address: Address, cfg: LinkSettings) -> ByteStream:
    """Connect to a process, with TLS if it is configured; raises LinkError.

    Certificate files are read for each connection, so rotation needs no restart.
    """
    if not 0 < address.port <= MAX_PORT:
        raise LinkError(f"{address.port} is not a TCP port")
    try:
        with anyio.fail_after(cfg.dial_timeout_s):
            stream = await anyio.connect_tcp(address.host, address.port)
            if cfg.tls is None:
                return stream
            return await TLSStream.wrap(
                stream, server_side=False, ssl_context=client_context(cfg.tls)
            )
    except (OSError, TimeoutError, ssl.SSLError, anyio.BrokenResourceError) as exc:
        raise LinkError(f"cannot reach {address.host}:{address.port}: {exc}") from exc
    except UnicodeError as exc:
        raise LinkError(f"{address.host!r} is not the name of a host") from exc


def relink_s(cfg: LinkSettings) -> float:
    """Return the longest time in seconds until a broken link is noticed and dialled again."""
    return cfg.silence_s + MAX_REDIAL_JITTER * cfg.redial_max_s + cfg.dial_timeout_s


async def dial_forever(
    address: Address,
    hello: Hello,
    cfg: LinkSettings,
    handler: Handler,
    rng: random.Random,
) -> None:
    """Keep a link to an address; reconnect with exponential backoff and jitter.

    The jitter spreads the reconnects of many processes after a common failure.
    """
    delay = cfg.redial_min_s
    while True:
        started = anyio.current_time()
        try:
            link = Link(await connect(address, cfg), hello, cfg, handler)
            await link.run()
        except LinkError as exc:
            log.info(
                "link to %s:%d ended: %s",
                address.host,
                address.port,
                exc,
                extra={"role": "dialler"},
            )
        if anyio.current_time() - started > cfg.redial_max_s:
            delay = cfg.redial_min_s
        await anyio.sleep(delay * rng.uniform(MIN_REDIAL_JITTER, MAX_REDIAL_JITTER))
        delay = min(2 * delay, cfg.redial_max_s)


async def listen(
    address: Address,
    hello: Hello,
    cfg: LinkSettings,
    handler: Handler,
    group: TaskGroup,
    started: Callable[[Address], Awaitable[None]] | None = None,
) -> None:
    """Accept links on an address until cancelled; raises LinkError if it cannot listen there.

    `started` is called with the bound address, for example when the port was 0.
    """
    try:
        listener = await anyio.create_tcp_listener(
            local_host=address.host, local_port=address.port, reuse_port=False
        )
    except OSError as exc:
        raise LinkError(f"cannot listen on {address.host}:{address.port}: {exc}") from exc

    async def serve(stream: ByteStream) -> None:
        try:
            if cfg.tls is not None:
                with anyio.fail_after(cfg.dial_timeout_s):
                    stream = await TLSStream.wrap(
                        stream, server_side=True, ssl_context=server_context(cfg.tls)
                    )
            await Link(stream, hello, cfg, handler).run()
        except (LinkError, OSError, TimeoutError, anyio.BrokenResourceError) as exc:
            log.info("incoming link ended: %s", exc)
        except anyio.EndOfStream:
            log.info("incoming link ended before it was open")

    async with listener:
        if started is not None:
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            await started(Address(address.host, port))
        await listener.serve(serve, group)
