"""Crowds of misbehaving HTTP clients on loopback, over HTTP/1.1 and HTTP/2."""

import itertools
import select
import socket
import time
from collections.abc import Iterable, Iterator
from contextlib import suppress

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import WindowUpdated
from h2.exceptions import ProtocolError
from h2.settings import SettingCodes

# A server that reads nothing for this long is not waited for.
STALL_S = 0.2
CONNECT_S = 1.0
# Bytes in one call of send, and in one frame.
PIECE_BYTES = 16_000
MAX_READ_BYTES = 65_536
# Small, so that answers which the client does not read stay at the server.
RECEIVE_BUFFER_BYTES = 4096
SHORT_HEADER_BYTES = len(b"a:\r\n")

Address = tuple[str, int]


def request_head(method: str, path: str, host: str, *headers: str) -> bytes:
    """Return the head of an HTTP/1.1 request without the empty line that ends it."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", *headers]
    return "".join(f"{line}\r\n" for line in lines).encode()


def pieces(data: bytes, size: int = PIECE_BYTES) -> Iterator[bytes]:
    """Divide data into pieces of `size` bytes."""
    return (data[start : start + size] for start in range(0, len(data), size))


def chunked(parts: Iterable[bytes]) -> Iterator[bytes]:
    """Return the parts in chunked transfer coding, without the last, empty chunk."""
    return (b"%x\r\n%b\r\n" % (len(part), part) for part in parts)


class Crowd:
    """Open connections of clients that neither read nor end what they have begun."""

    def __init__(self, deadline_s: float) -> None:
        self._ends_at = time.monotonic() + deadline_s
        self.sockets: list[socket.socket] = []

    def connect(self, address: Address) -> socket.socket | None:
        """Open one more connection; None if the server or the deadline does not allow it."""
        if time.monotonic() > self._ends_at:
            return None
        conn = socket.socket()
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn.settimeout(CONNECT_S)
        self.sockets.append(conn)
        try:
            conn.connect(address)
        except OSError:
            return None
        conn.settimeout(STALL_S)
        return conn

    def send(self, address: Address, parts: Iterable[bytes]) -> None:
        """Send the parts on a new connection until the server stops reading or closes it."""
        conn = self.connect(address)
        if conn is None:
            return
        with suppress(OSError):
            for part in parts:
                conn.sendall(part)

    def trickle(self, rounds: int, interval_s: float) -> None:
        """Send one byte on each open connection, several times."""
        for _ in range(rounds):
            for conn in self.sockets:
                with suppress(OSError):
                    conn.send(b"a", socket.MSG_DONTWAIT)
            time.sleep(interval_s)

    def close(self) -> None:
        """Close all connections."""
        for conn in self.sockets:
            conn.close()


class H2Client:
    """An HTTP/2 client that begins requests and reads no bodies of answers."""

    def __init__(self, conn: socket.socket, host: str) -> None:
        self._conn, self._host = conn, host
        self._state = H2Connection(H2Configuration(client_side=True))
        self._state.initiate_connection()
        # The server may send no byte of a body.
        self._state.update_settings({SettingCodes.INITIAL_WINDOW_SIZE: 0})
        self._flush()

    def request(
        self, method: str, path: str, headers: Iterable[tuple[str, str]] = (), end: bool = False
    ) -> int:
        """Send the head of a request; returns its stream."""
        stream = self._state.get_next_available_stream_id()
        pseudo = [(":method", method), (":path", path), (":scheme", "http")]
        self._state.send_headers(
            stream, [*pseudo, (":authority", self._host), *headers], end_stream=end
        )
        self._flush()
        return stream

    def send_bodies(self, streams: list[int], body: bytes, end: bool = False) -> None:
        """Send a body on each stream, as far as the server's windows allow."""
        sent = dict.fromkeys(streams, 0)
        for stream in itertools.cycle(streams):
            if all(count == len(body) for count in sent.values()):
                break
            window = self._state.local_flow_control_window(stream)
            part = body[sent[stream] : sent[stream] + min(PIECE_BYTES, window)]
            if part:
                sent[stream] += len(part)
                self._state.send_data(stream, part, end_stream=end and sent[stream] == len(body))
                self._flush()
            elif not self._wait_window():
                break

    def _wait_window(self) -> bool:
        """Tell whether the server has opened a window again."""
        while select.select([self._conn], [], [], STALL_S)[0]:
            data = self._conn.recv(MAX_READ_BYTES)
            if not data:
                return False
            events = self._state.receive_data(data)
            self._flush()
            if any(isinstance(event, WindowUpdated) for event in events):
                return True
        return False

    def _flush(self) -> None:
        self._conn.sendall(self._state.data_to_send())


# What ends a client's work early: the server closed the connection, or the stream.
CLIENT_ENDED = (OSError, ProtocolError)
