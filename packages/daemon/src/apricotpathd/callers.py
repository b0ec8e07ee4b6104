"""HTTP port for callers: `/s/<service>/<path>` as an ASGI app for hypercorn."""

import json
import logging
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup
from hypercorn.config import Config, Sockets

from apricotpath.config import EntrySettings, LimitSettings
from apricotpath.errors import NotRun, OutcomeUnknown
from apricotpath.ids import ClassId, ServiceId, TeamId
from apricotpath.messages import Header
from apricotpath.metrics import Metrics
from apricotpath.model import ResultClass
from apricotpath.servicerules import ClassRules, RequestRules
from apricotpathd.asgi import JSON, Receive, Scope, Send, send_body, serve_asgi, serve_lifespan
from apricotpathd.attempt import AnswerStream, CallerRequest
from apricotpathd.exchange import Exchange

log = logging.getLogger(__name__)

PREFIX = "/s/"
MAX_HEADER_CHARS = 128
IDEMPOTENCY_KEY = b"idempotency-key"
# Retry-After of calls that are rejected because of the state of this entry.
REJECTED_RETRY_AFTER_S = 1
# Limit on all buffered request bodies together, as a multiple of the limit for one body.
MAX_BUFFERED_BODIES = 8
# Time for reading what had already arrived when the time for a body ran out.
ARRIVED_READ_S = 0.1
# Hypercorn also keeps a connection that its caller has closed until this time has passed,
# so a longer time would let closed connections use up the connection limit.
KEEP_ALIVE_S = 15.0
DEFAULT_TEAM = TeamId("none")
# Request headers that are not forwarded: hop-by-hop headers, and headers that the entry sets.
DROPPED_REQUEST_HEADERS = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade host "
    b"content-length expect apricotpath-class apricotpath-team apricotpath-deadline-ms "
    b"apricotpath-request-id".split()
)


class RejectedRequest(NotRun):
    """A request that is rejected before it is forwarded; `status` is the HTTP status to send."""

    def __init__(self, status: int, reason: str, text: str) -> None:
        super().__init__(text, reason)
        self.status = status


class CallerApp:
    """ASGI app of one entry; `run` must be running while requests are served."""

    def __init__(
        self, cfg: EntrySettings, rules: RequestRules, exchange: Exchange, metrics: Metrics
    ) -> None:
        self.cfg = cfg
        self.rules = rules
        self.exchange = exchange
        self.metrics = metrics
        self.open_requests = 0
        self.draining = False
        self._buffered_bytes = 0
        self._group: TaskGroup | None = None
        self._idle = anyio.Event()

    async def run(self) -> None:
        """Watch for callers that disconnect, until cancelled."""
        async with anyio.create_task_group() as self._group:
            await anyio.sleep_forever()

    async def drain(self) -> None:
        """Return when no request is open."""
        self.draining = True
        while self.open_requests:
            self._idle = anyio.Event()
            await self._idle.wait()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["type"] == "http":
            self.open_requests += 1
            try:
                await _Call(self, scope, receive, send).serve()
            finally:
                self.open_requests -= 1
                if not self.open_requests:
                    self._idle.set()

    def watch(self, call: "_Call") -> None:
        """Cancel a call when its caller disconnects."""
        if self._group is not None:
            self._group.start_soon(call.watch)

    def reserve_buffer(self, size: int) -> bool:
        """Reserve buffer space for request bodies; return False if the limit would be exceeded."""
        if self._buffered_bytes + size > MAX_BUFFERED_BODIES * self.cfg.limits.request_body:
            return False
        self._buffered_bytes += size
        return True

    def release_buffer(self, size: int) -> None:
        """Release bytes reserved by `reserve_buffer`."""
        self._buffered_bytes -= size


class _Call:
    """One caller's request."""

    def __init__(self, app: CallerApp, scope: Scope, receive: Receive, send: Send) -> None:
        self.app = app
        self.scope = scope
        self.receive = receive
        self.send = send
        self.headers: dict[bytes, bytes] = {}
        self.service = ServiceId("")
        self.request_class = ClassId("")
        # Whether the request's class, once it is known, is idempotent.
        self.idempotent = False
        self.team = DEFAULT_TEAM
        self.request = ""
        self.buffered_bytes = 0
        self.ended = False
        self.body_done = False
        self.cancel_scope = anyio.CancelScope()

    async def serve(self) -> None:
        """Answer the request; every answer has the header Apricotpath-Outcome."""
        started_at = anyio.current_time()
        result = ResultClass.UNKNOWN
        try:
            with self.cancel_scope:
                result = await self._answer(started_at)
        finally:
            self.ended = True
            self.app.release_buffer(self.buffered_bytes)
            seconds = anyio.current_time() - started_at
            metrics = self.app.metrics
            metrics.request_finished(self.service, self.request_class, self.team, result, seconds)

    async def watch(self) -> None:
        """Cancel the call if the connection closes before the answer is complete."""
        while not self.ended:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                if not self.ended:
                    self.cancel_scope.cancel()
                return

    async def _answer(self, started_at: float) -> ResultClass:
        try:
            req = await self._read_request(started_at)
            self.app.watch(self)
            answer = await self.app.exchange.request(req)
        except RejectedRequest as exc:
            result = ResultClass.UNKNOWN if self._may_have_run() else ResultClass.NOT_RUN
            wait_s = REJECTED_RETRY_AFTER_S if exc.status == 503 else 0
            await self._send_error(exc.status, result, exc, exc.reason, wait_s)
            return result
        except NotRun as exc:
            self.app.metrics.request_refused(self.service, exc.reason)
            wait_s = max(1, round(exc.retry_after_s))
            await self._send_error(503, ResultClass.NOT_RUN, exc, exc.reason, wait_s)
            return ResultClass.NOT_RUN
        except OutcomeUnknown as exc:
            status = 504 if exc.reason == "deadline" else 502
            wait_s = round(exc.retry_after_s)
            await self._send_error(status, ResultClass.UNKNOWN, exc, exc.reason, wait_s)
            return ResultClass.UNKNOWN
        try:
            await self._send_answer(answer)
        except OutcomeUnknown as exc:
            log.info("an answer could not be completed: %s", exc, extra={"request": answer.request})
            await self._signal_truncation(answer)
            return ResultClass.UNKNOWN
        finally:
            answer.close()
        return ResultClass.ANSWERED

    def _may_have_run(self) -> bool:
        """Tell whether an earlier call with the key of this rejected one may have run.

        The key's agents have not been asked, and a caller told "not run" may choose a new key.
        """
        if self.idempotent:
            return False
        return any(name == IDEMPOTENCY_KEY and value for name, value in self.scope["headers"])

    async def _read_request(self, started_at: float) -> CallerRequest:
        app, limits = self.app, self.app.cfg.limits
        if app.open_requests > limits.connections:
            raise RejectedRequest(
                503, "too-many-requests", "Too many requests are open at this entry."
            )
        raw = self.scope["headers"]
        if sum(len(name) + len(value) for name, value in raw) > limits.header_bytes:
            raise RejectedRequest(431, "headers-too-large", "The request headers are too large.")
        self.headers = dict(raw)
        rules = self._find_class()
        deadline = started_at + self._deadline_s(rules, limits)
        key = self._header(IDEMPOTENCY_KEY, "")
        if not rules.idempotent and not key:
            text = "This request class needs an Idempotency-Key header."
            raise RejectedRequest(400, "key-missing", text)
        body = await self._read_body(min(deadline, started_at + limits.max_deadline_s))
        query = self.scope["query_string"].decode("latin-1")
        target = self.scope["raw_path"].decode("latin-1")[len(PREFIX) + len(self.service) :] or "/"
        forwarded = tuple(
            Header(name.decode("latin-1"), value.decode("latin-1"))
            for name, value in raw
            if name not in DROPPED_REQUEST_HEADERS
        )
        return CallerRequest(
            self.service,
            rules,
            self.team,
            key if not rules.idempotent else "",
            deadline,
            self.scope["method"],
            f"{target}?{query}" if query else target,
            forwarded,
            body,
        )

    def _find_class(self) -> ClassRules:
        path: str = self.scope["raw_path"].decode("latin-1")
        if not path.startswith(PREFIX):
            raise RejectedRequest(404, "not-found", "Requests go to /s/<service>/<path>.")
        if not self.app.rules.has_bundle():
            raise RejectedRequest(503, "no-bundle", "This entry has no bundle yet.")
        name = ServiceId(path[len(PREFIX) :].partition("/")[0])
        service = self.app.rules.service_rules(name)
        if service is None:
            raise RejectedRequest(404, "no-service", "There is no service of this name.")
        self.service = name
        self.team = TeamId(self._header(b"apricotpath-team", DEFAULT_TEAM))
        class_id = ClassId(self._header(b"apricotpath-class", ""))
        if not class_id and len(service.classes) == 1:
            class_id = next(iter(service.classes))
        rules = service.classes.get(class_id)
        if rules is None:
            text = "The Apricotpath-Class header must name a request class of the service."
            raise RejectedRequest(400, "no-class", text)
        self.request_class, self.idempotent = class_id, rules.idempotent
        return rules

    def _header(self, header: bytes, default: str) -> str:
        value = self.headers.get(header, b"").decode("latin-1").strip()
        if len(value) > MAX_HEADER_CHARS:
            raise RejectedRequest(
                400, "header-too-long", f"The header {header.decode()} is too long."
            )
        return value or default

    def _deadline_s(self, rules: ClassRules, limits: LimitSettings) -> float:
        text = self._header(b"apricotpath-deadline-ms", "")
        if not text:
            return min(rules.deadline_s or limits.default_deadline_s, limits.max_deadline_s)
        if not text.isascii() or not text.isdecimal() or int(text) == 0:
            raise RejectedRequest(
                400, "bad-deadline", "Apricotpath-Deadline-Ms must be a whole number."
            )
        return min(int(text) / 1000, limits.max_deadline_s)

    async def _read_body(self, deadline: float) -> bytes:
        """Return the entire body; it is kept because a retry sends it again."""
        limits = self.app.cfg.limits
        parts: list[bytes] = []
        late_until = float("inf")
        while True:
            now = anyio.current_time()
            if now >= deadline:
                late_until = min(late_until, now + ARRIVED_READ_S)
            message = await self._receive_by(min(deadline, now + limits.read_timeout_s), late_until)
            if message is None:
                raise RejectedRequest(
                    408, "body-too-slow", "The request body did not arrive in time."
                )
            if message["type"] == "http.disconnect":
                self.body_done = True
                raise RejectedRequest(
                    400, "hung-up", "The caller hung up before the body was whole."
                )
            data = message.get("body", b"")
            if data:
                if self.buffered_bytes + len(data) > limits.request_body:
                    raise RejectedRequest(413, "body-too-large", "The request body is too large.")
                if not self.app.reserve_buffer(len(data)):
                    raise RejectedRequest(
                        503, "entry-full", "The entry holds too many request bodies."
                    )
                self.buffered_bytes += len(data)
                parts.append(data)
            if not message.get("more_body", False):
                self.body_done = True
                return parts[0] if len(parts) == 1 else b"".join(parts)

    async def _receive_by(self, end: float, late_until: float) -> Any:
        """Return the next message, or None if it has not arrived by `end` (monotonic seconds).

        After a pause of this process the time has run out before what arrived meanwhile is read,
        so there is a moment more for that, until `late_until` at most.
        """
        with anyio.CancelScope(deadline=end):
            return await self.receive()
        late_until = min(late_until, anyio.current_time() + ARRIVED_READ_S)
        with anyio.CancelScope(deadline=late_until):
            return await self.receive()
        return None

    async def _discard_body(self) -> None:
        """Read the rest of a refused HTTP/2 body for a limited time.

        Hypercorn closes the whole connection, including the caller's other requests,
        when an answer is complete before its request is.
        """
        with anyio.move_on_after(self.app.cfg.limits.read_timeout_s):
            while (await self.receive()).get("more_body", False):
                pass
        self.body_done = True

    async def _send_answer(self, answer: AnswerStream) -> None:
        """Forward the answer; a complete one takes two ASGI messages."""
        self.request = answer.request
        headers = [(h.name.encode("latin-1"), h.value.encode("latin-1")) for h in answer.headers]
        headers = [pair for pair in headers if not pair[0].startswith(b"apricotpath-")]
        headers.append((b"apricotpath-outcome", ResultClass.ANSWERED.value.encode()))
        headers.append((b"apricotpath-request-id", answer.request.encode()))
        start = {"type": "http.response.start", "status": answer.status, "headers": headers}
        await self.send(start)
        if answer.complete:
            await self.send({"type": "http.response.body", "body": answer.body()})
            return
        async for data in answer.chunks():
            await self.send({"type": "http.response.body", "body": data, "more_body": True})
        await self.send({"type": "http.response.body", "body": b""})

    async def _signal_truncation(self, answer: AnswerStream) -> None:
        """Signal to the caller that a body is truncated after its status was sent.

        Over HTTP/1.1 hypercorn closes the connection when the app returns
        without the end of the body. Over HTTP/2 it leaves the stream open
        until the connection has been idle for KEEP_ALIVE_S; ending the stream
        before its content-length is an immediate error for every client
        (RFC 9113, section 8.1.1). Without that header the stream is left
        open, since ending it would make the body look complete.
        """
        sized = any(header.name == "content-length" for header in answer.headers)
        if self.scope["http_version"] == "2" and sized:
            await self.send({"type": "http.response.body", "body": b""})

    async def _send_error(
        self, status: int, result: ResultClass, exc: Exception, reason: str, retry_after_s: int
    ) -> None:
        if not self.body_done and self.scope["http_version"] == "2":
            await self._discard_body()
        value = {"error": str(exc), "reason": reason, "outcome": result.value}
        request = getattr(exc, "request", "") or self.request
        log.info(
            "call not served",
            extra={
                "request": request,
                "service": self.service,
                "class": self.request_class,
                "status": status,
                "reason": reason,
                "outcome": result.value,
            },
        )
        if request:
            value["request"] = request
        body = json.dumps(value).encode()
        headers = [
            (b"apricotpath-outcome", result.value.encode()),
            (b"apricotpath-reason", reason.encode()),
        ]
        if retry_after_s:
            headers.append((b"retry-after", str(retry_after_s).encode()))
        await send_body(self.send, status, JSON, body, headers)


class _BoundedListener(socket.socket):
    """Listening socket that closes new connections while a limit is reached."""

    limit = 0
    open_count = 0

    def accept(self) -> tuple[socket.socket, Any]:
        fd, address = self._accept()  # type: ignore[attr-defined]
        conn = _CountedSocket(self.family, self.type, self.proto, fileno=fd)
        conn.settimeout(0)
        if self.open_count >= self.limit:
            conn.close()
            raise BlockingIOError("too many connections")
        conn.listener = self
        self.open_count += 1
        return conn, address


class _CountedSocket(socket.socket):
    """Connection that counts towards its listener's limit until it is closed."""

    listener: _BoundedListener | None = None

    def close(self) -> None:
        if self.listener is not None:
            self.listener.open_count -= 1
            self.listener = None
        super().close()


class _CallerConfig(Config):
    """Hypercorn settings with a limit on connections."""

    limit = 0

    def create_sockets(self) -> Sockets:
        sockets = super().create_sockets()
        sockets.insecure_sockets = [self._bounded(sock) for sock in sockets.insecure_sockets]
        return sockets

    def _bounded(self, sock: socket.socket) -> socket.socket:
        bounded = _BoundedListener(sock.family, sock.type, sock.proto, fileno=sock.detach())
        bounded.setblocking(False)
        bounded.limit = self.limit
        return bounded


def hypercorn_config(cfg: EntrySettings, bind: str) -> Config:
    """Return hypercorn's settings for the callers' port; `bind` is `host:port` or `fd://N`."""
    limits = cfg.limits
    result = _CallerConfig()
    result.bind = [bind]
    result.limit = limits.connections
    result.backlog = 1024
    result.accesslog = None
    result.errorlog = logging.getLogger("apricotpathd.hypercorn")
    result.h11_max_incomplete_size = limits.header_bytes
    result.h2_max_header_list_size = limits.header_bytes
    result.keep_alive_timeout = KEEP_ALIVE_S
    result.include_server_header = False
    # Requests in flight may run until their deadline.
    result.graceful_timeout = limits.max_deadline_s
    return result


async def serve_callers(app: CallerApp, bind: str, shutdown: Callable[[], Awaitable[Any]]) -> None:
    """Serve callers until `shutdown` returns, then finish the requests in flight."""
    await serve_asgi(app, hypercorn_config(app.cfg, bind), shutdown)
