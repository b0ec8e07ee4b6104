"""Connection pool to a backend server whose cost per request does not grow with its size."""

import ssl
from collections import deque
from collections.abc import AsyncIterator

import anyio
from httpx import AsyncBaseTransport, AsyncByteStream, AsyncHTTPTransport, Limits, Request, Response

# Idle connections are closed after this time.
KEEP_ALIVE_S = 30.0


class BackendTransport(AsyncBaseTransport):
    """Pool of transports with one connection each; the caller limits how many are in use.

    The pool of httpx polls every idle connection before and after each
    request, which with 32 connections took most of an agent's processor time.
    """

    def __init__(self) -> None:
        # The backend server is on loopback without TLS, so an empty context is enough; creating
        # a default one takes 20 ms.
        self._context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        # The most recently used connection is reused first, so that the others can time out.
        self._idle: deque[tuple[float, AsyncHTTPTransport]] = deque()

    async def handle_async_request(self, request: Request) -> Response:
        """Send a request on an idle connection, or on a new one."""
        transport = self._idle.pop()[1] if self._idle else self._open()
        try:
            response = await transport.handle_async_request(request)
        except BaseException:
            with anyio.CancelScope(shield=True):
                await transport.aclose()
            raise
        assert isinstance(response.stream, AsyncByteStream)
        response.stream = _PooledStream(self, transport, response.stream)
        return response

    async def aclose(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self._idle.pop()[1].aclose()

    async def release(self, transport: AsyncHTTPTransport) -> None:
        """Return a connection to the pool, and close those idle for longer than KEEP_ALIVE_S."""
        now = anyio.current_time()
        self._idle.append((now, transport))
        while now - self._idle[0][0] > KEEP_ALIVE_S:
            await self._idle.popleft()[1].aclose()

    def _open(self) -> AsyncHTTPTransport:
        limits = Limits(
            max_connections=1, max_keepalive_connections=1, keepalive_expiry=KEEP_ALIVE_S
        )
        return AsyncHTTPTransport(verify=self._context, trust_env=False, limits=limits)


class _PooledStream(AsyncByteStream):
    """Body of one answer; closing it returns its connection to the pool."""

    def __init__(
        self, pool: BackendTransport, transport: AsyncHTTPTransport, stream: AsyncByteStream
    ) -> None:
        self._pool = pool
        self._transport: AsyncHTTPTransport | None = transport
        self._stream = stream

    async def __aiter__(self) -> AsyncIterator[bytes]:
        async for chunk in self._stream:
            yield chunk

    async def aclose(self) -> None:
        transport, self._transport = self._transport, None
        if transport is None:
            return
        try:
            await self._stream.aclose()
        except BaseException:
            with anyio.CancelScope(shield=True):
                await transport.aclose()
            raise
        await self._pool.release(transport)
