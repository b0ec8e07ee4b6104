"""A TCP relay in threads that can hold its connections silent, as a forgetful middlebox does."""

import socket
from contextlib import suppress
from threading import Lock, Thread

LOOPBACK = "127.0.0.1"
PART_BYTES = 64 << 10
DIAL_TIMEOUT_S = 2.0


class SilentRelay:
    """Forwards connections to a port on loopback.

    `hold()` makes the connections of that moment silent for good without
    closing them; later connections work.
    """

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self._lock = Lock()
        self._pairs: list[_Pair] = []
        self._listener = socket.create_server((LOOPBACK, 0))
        self.port: int = self._listener.getsockname()[1]
        Thread(target=self._accept, daemon=True).start()

    def hold(self) -> int:
        """Silence all present connections and return their number."""
        with self._lock:
            for pair in self._pairs:
                pair.held = True
            return len(self._pairs)

    def close(self) -> None:
        """Close the listener and all connections."""
        self._listener.close()
        with self._lock:
            pairs = list(self._pairs)
        for pair in pairs:
            pair.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            Thread(target=self._serve, args=(near,), daemon=True).start()

    def _serve(self, near: socket.socket) -> None:
        try:
            far = socket.create_connection((LOOPBACK, self.target_port), DIAL_TIMEOUT_S)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        pair = _Pair(near, far)
        with self._lock:
            self._pairs.append(pair)
        other = Thread(target=pair.pump, args=(far, near), daemon=True)
        other.start()
        pair.pump(near, far)
        other.join()
        pair.close()
        with self._lock:
            self._pairs.remove(pair)


class _Pair:
    """One relayed connection."""

    def __init__(self, near: socket.socket, far: socket.socket) -> None:
        self.near, self.far = near, far
        self.held = False

    def pump(self, source: socket.socket, sink: socket.socket) -> None:
        """Forward bytes until one side ends; a held pair swallows them instead."""
        while True:
            try:
                data = source.recv(PART_BYTES)
                if not self.held and data:
                    sink.sendall(data)
            except OSError:
                data = b""
            if not data:
                # A held pair does not tell the other side of the end either.
                if not self.held:
                    self.close()
                return

    def close(self) -> None:
        """Close both sides; a reader of either of them returns."""
        for side in (self.near, self.far):
            with suppress(OSError):
                side.shutdown(socket.SHUT_RDWR)
            side.close()
