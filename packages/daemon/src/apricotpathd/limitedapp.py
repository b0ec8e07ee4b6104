"""ASGI wrapper that charges requests and answers to their connection, and limits their time."""

import asyncio
import json
from collections.abc import MutableMapping
from typing import Any

from apricotpath.clientlimits import (
    MIN_BODY_PROGRESS_BYTES,
    BodyStalled,
    BudgetExhausted,
    Client,
    ClientGone,
    ClientLimits,
    ClientTable,
    Limit,
)
from apricotpathd.asgi import JSON, Receive, Scope, Send, send_body

# Memory of a request without its body, in the server and the protocol.
REQUEST_BYTES = 8192
# A path is held as sent and decoded.
PATH_FACTOR = 3
# Key in the ASGI scope under which an app finds the Request.
REQUEST_KEY = "apricotpath.request"
KEPT_HEADERS = (b"host", b"content-length")
RETRY_AFTER_S = 1


class Request:
    """What one request holds of its connection's memory."""

    def __init__(self, table: ClientTable, client: Client) -> None:
        self._table, self._client = table, client
        self._charged = 0

    def charge(self, size: int) -> None:
        """Reserve bytes until the request ends; raises ClientError."""
        self._table.charge(self._client, size)
        self._charged += size

    def release(self, size: int) -> None:
        """Give back bytes before the request ends."""
        self._table.release(self._client, size)
        self._charged -= size

    def end(self) -> None:
        """Give back what is left."""
        self.release(self._charged)

    @property
    def limits(self) -> ClientLimits:
        """The limits in force."""
        return self._table.limits

    def note(self, limit: Limit) -> None:
        """Count a refusal because of a limit."""
        self._table.on_limit(limit, self._client.peer)


class LimitedApp:
    """Wraps an app at an address with limits.

    `receive` raises BodyStalled for a body without progress, BudgetExhausted if
    no memory is left, and ClientGone if the connection is closed, as does `send`.
    """

    def __init__(self, app: Any, table: ClientTable) -> None:
        self._app, self._table = app, table

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI request."""
        client = self._table.clients.get(scope.get("client"))
        if scope["type"] != "http" or client is None:
            return
        request = Request(self._table, client)
        path_bytes = len(scope["raw_path"]) * PATH_FACTOR
        # The server holds the scope as long as the request lasts.
        kept = [item for item in scope["headers"] if item[0] in KEPT_HEADERS]
        scope.update({"headers": kept, "raw_path": b"", "query_string": b""})
        scope[REQUEST_KEY] = request
        limited = _LimitedRequest(self._table, client, request, receive, send)
        client.handling += 1
        try:
            request.charge(REQUEST_BYTES + path_bytes)
            await self._app(scope, limited.receive, limited.send)
        except BudgetExhausted as exc:
            await limited.refuse(503, str(exc))
        except BodyStalled as exc:
            await limited.refuse(408, str(exc))
        except ClientGone:
            # There is nobody to answer.
            pass
        finally:
            limited.end()
            client.handling -= 1
            request.end()


class _LimitedRequest:
    """The receive and send functions of one request."""

    def __init__(
        self, table: ClientTable, client: Client, request: Request, receive: Receive, send: Send
    ) -> None:
        self._table, self._client, self._request = table, client, request
        self._receive, self._send = receive, send
        self._loop = asyncio.get_running_loop()
        self._mark = (self._loop.time(), 0)
        self._size = 0
        self._answering = False
        self._complete = False
        self._discarding: asyncio.Task[None] | None = None

    async def receive(self) -> MutableMapping[str, Any]:
        """Return the next message, once its bytes are charged."""
        message = await self._next()
        if message["type"] == "http.disconnect":
            raise ClientGone("the connection is closed")
        self._complete = not message.get("more_body", False)
        size, now = len(message.get("body", b"")), self._loop.time()
        self._client.add_progress(size, now)
        self._client.unparsed_bytes = 0
        self._size += size
        if self._size - self._mark[1] >= MIN_BODY_PROGRESS_BYTES:
            self._mark = (now, self._size)
        self._request.charge(size)
        return message

    async def _next(self) -> MutableMapping[str, Any]:
        self._client.handling -= 1
        try:
            async with asyncio.timeout_at(self._mark[0] + self._table.limits.body_s):
                return await self._receive()
        except TimeoutError as exc:
            self._request.note(Limit.BODY_S)
            raise BodyStalled("the body makes no progress") from exc
        finally:
            self._client.handling += 1

    async def send(self, message: MutableMapping[str, Any]) -> None:
        """Send a message that the client takes within the time limit."""
        if self._client.closing:
            raise ClientGone("the connection is closed")
        self._start_answer()
        size = len(message.get("body", b""))
        try:
            self._request.charge(size)
        except BudgetExhausted as exc:
            # The request was run, so that a refusal would be wrong.
            self._table.evict(self._client, Limit.BUDGET_BYTES)
            raise ClientGone("no memory is left for the answer") from exc
        self._client.handling -= 1
        try:
            async with asyncio.timeout(self._table.limits.send_s):
                await self._send(message)
        except TimeoutError as exc:
            self._table.evict(self._client, Limit.SEND_S)
            raise ClientGone("the answer makes no progress") from exc
        finally:
            self._client.handling += 1
            self._request.release(size)

    def _start_answer(self) -> None:
        """Discard the rest of the body from now on, since the answer ends only once it is taken."""
        self._answering = True
        if not self._complete and self._discarding is None:
            self._discarding = self._loop.create_task(self._discard())

    async def _discard(self) -> None:
        while (await self._receive()).get("more_body", False):
            pass

    def end(self) -> None:
        """Stop discarding the body."""
        if self._discarding is not None:
            self._discarding.cancel()

    async def refuse(self, status: int, reason: str) -> None:
        """Answer that the request was not run, unless an answer has begun."""
        if self._answering or self._client.closing:
            return
        self._start_answer()
        body = json.dumps({"error": f"{reason}; nothing was run"}).encode()
        headers = [(b"connection", b"close"), (b"retry-after", b"%d" % RETRY_AFTER_S)]
        self._client.handling -= 1
        try:
            async with asyncio.timeout(self._table.limits.send_s):
                await send_body(self._send, status, JSON, body, headers)
        except TimeoutError:
            self._table.evict(self._client, Limit.SEND_S)
        finally:
            self._client.handling += 1
