"""A threaded TCP relay that can drop all traffic of open connections without closing them.

This is how a middlebox behaves that has lost its connection table.
"""

import socket
from contextlib import suppress
from threading import Lock, Thread

LOOPBACK = "127.0.0.1"
READ_BYTES = 64 << 10
DIAL_TIMEOUT_S = 2.0


class SilentRelay:
    """Forwards connections from `port` to another port on loopback.

    `silence_connections()` discards all further traffic of the connections that are open at that
    moment, without closing them. Later connections work.
    """

    def __init__(self, port: int, target_port: int) -> None:
        self.port = port
        self.target_port = target_port
        self._lock = Lock()
        self._connections: list[_RelayedConnection] = []
        self._listener = socket.create_server((LOOPBACK, port))
        Thread(target=self._accept, daemon=True).start()

    def silence_connections(self) -> int:
        """Silence all open connections and return their number."""
        with self._lock:
            for connection in self._connections:
                connection.silenced = True
            return len(self._connections)

    def close(self) -> None:
        """Close the listener and all connections."""
        self._listener.close()
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            connection.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client: socket.socket) -> None:
        try:
            server = socket.create_connection((LOOPBACK, self.target_port), DIAL_TIMEOUT_S)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        connection = _RelayedConnection(client, server)
        with self._lock:
            self._connections.append(connection)
        answers = Thread(target=connection.pump, args=(server, client), daemon=True)
        answers.start()
        connection.pump(client, server)
        answers.join()
        connection.close()
        with self._lock:
            self._connections.remove(connection)


class _RelayedConnection:
    """One relayed connection."""

    def __init__(self, client: socket.socket, server: socket.socket) -> None:
        self.client, self.server = client, server
        self.silenced = False

    def pump(self, source: socket.socket, sink: socket.socket) -> None:
        """Forward bytes until one side ends; discard them while silenced."""
        while True:
            try:
                data = source.recv(READ_BYTES)
                if not self.silenced and data:
                    sink.sendall(data)
            except OSError:
                data = b""
            if not data:
                # A silenced connection does not pass on the end of stream either.
                if not self.silenced:
                    self.close()
                return

    def close(self) -> None:
        """Close both sockets, which ends the reads that wait on them."""
        for sock in (self.client, self.server):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()
