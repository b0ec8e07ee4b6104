"""TCP relay that can silence connections, like a NAT or firewall that loses their state."""

import anyio
from anyio.abc import ByteStream, SocketAttribute


class Relay:
    """Forwards connections to a port on loopback.

    `silence()` silences all open connections for good without closing them, and
    returns how many there are; later connections work. `cut()` closes all.
    """

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.port = 0
        self.connections: list[_Connection] = []
        self.refuse = False

    async def run(self, *, task_status: anyio.abc.TaskStatus[int]) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(SocketAttribute.local_port)
        task_status.started(self.port)
        async with listener:
            await listener.serve(self._serve)

    def silence(self) -> int:
        for connection in self.connections:
            connection.silenced = True
        return len(self.connections)

    def cut(self) -> None:
        for connection in self.connections:
            connection.scope.cancel()

    async def _serve(self, stream: ByteStream) -> None:
        if self.refuse:
            await anyio.aclose_forcefully(stream)
            return
        connection = _Connection()
        self.connections.append(connection)
        try:
            with connection.scope:
                target = await anyio.connect_tcp("127.0.0.1", self.target_port)
                async with target, stream, anyio.create_task_group() as group:
                    group.start_soon(connection.pump, stream, target)
                    group.start_soon(connection.pump, target, stream)
        except* OSError:
            pass
        finally:
            self.connections.remove(connection)


class _Connection:
    """One relayed connection."""

    def __init__(self) -> None:
        self.silenced = False
        self.scope = anyio.CancelScope()

    async def pump(self, source: ByteStream, sink: ByteStream) -> None:
        while True:
            try:
                data = await source.receive()
                if self.silenced:
                    # Forwards neither the bytes nor the end of the stream.
                    await anyio.sleep_forever()
                await sink.send(data)
            except (anyio.EndOfStream, anyio.ClosedResourceError, anyio.BrokenResourceError):
                if self.silenced:
                    await anyio.sleep_forever()
                self.scope.cancel()
                return
