"""The agent's request path: admission to the backend server, answers and idempotency keys."""

import logging
from collections import deque
from collections.abc import Callable
from functools import singledispatchmethod

import anyio
from anyio.abc import TaskGroup
from httpx import AsyncClient, HTTPError, InvalidURL, Request, Timeout
from httpx import ConnectError as HttpConnectError
from httpx import ConnectTimeout as HttpConnectTimeout

from apricotpath.backendpressure import Pressure
from apricotpath.codec import Envelope
from apricotpath.config import AgentSettings, BackendSettings
from apricotpath.errors import LinkError
from apricotpath.ids import IncarnationId, RequestId
from apricotpath.link import Link, relink_s
from apricotpath.messages import (
    Failure,
    Message,
    ReleaseKey,
    RequestBody,
    RequestCancel,
    RequestFailed,
    RequestRefused,
    RequestStart,
    ReserveKey,
    ResponseAck,
    ResponseBody,
    ResponseStart,
    Settle,
    Settled,
)
from apricotpath.model import Maturity, Settlement
from apricotpath.routing import BACKEND_DOWN
from apricotpath.servicerules import RequestRules
from apricotpath.settle import Answer, KeyTable, RequestTable, StartVerdict, maturity
from apricotpathd.answerforwarder import (
    CHUNK_BYTES,
    TOO_LARGE,
    AdmittedRequest,
    AnswerForwarder,
)
from apricotpathd.backendtransport import BackendTransport

log = logging.getLogger(__name__)

# Limit on the bytes of all buffered request bodies; bounds the agent's memory.
MAX_BUFFERED_BODY_BYTES = 32 << 20
CONNECT_TIMEOUT_S = 1.0
EXPIRE_INTERVAL_S = 1.0
RETRY_AFTER_MS = 1000
REQUEST_ID_HEADER = b"apricotpath-request-id"


class AgentRequests:
    """Component that runs requests at the backend server on loopback.

    At most `slots` requests run, and at most `connections` run or wait.
    A request whose link breaks continues, and its answer is kept for Settle.
    """

    handles: frozenset[type[Message]] = frozenset(
        (RequestStart, RequestBody, RequestCancel, ResponseAck, Settle, ReserveKey, ReleaseKey)
    )

    def __init__(
        self,
        cfg: AgentSettings,
        incarnation: IncarnationId,
        rules: RequestRules,
        client: Callable[[BackendSettings], AsyncClient] | None = None,
    ) -> None:
        assert cfg.backend is not None
        self.cfg = cfg
        self.backend = cfg.backend
        self.incarnation = incarnation
        self.rules = rules
        policy, limits = cfg.policy, cfg.limits
        # A key is remembered for `key_memory_s` after the longest possible request has ended.
        keep_s = policy.key_memory_s + limits.max_deadline_s
        self.table = RequestTable(limits.kept_answer, limits.kept_answers_total, keep_s)
        self.keys = KeyTable(keep_s)
        self.leaving_at: float | None = None
        self.refused = 0
        self._pressure = Pressure()
        self._admitted: dict[RequestId, AdmittedRequest] = {}
        self._queue: deque[AdmittedRequest] = deque()
        # Length in bytes of each answer that no entry has acknowledged.
        self._unconfirmed: dict[RequestId, int] = {}
        self._busy = 0
        self._buffered_bytes = 0
        self._started_at: float | None = None
        self._group: TaskGroup | None = None
        self._client = (client or http_client)(self.backend)
        self._idle = anyio.Event()

    @property
    def busy_slots(self) -> int:
        """Requests that run at the backend server."""
        return self._busy

    @property
    def queued(self) -> int:
        """Requests that have been admitted but have not started."""
        return len(self._admitted) - self._busy

    @property
    def pressure(self) -> float:
        """Slowdown against the baseline latency (1.0 = none), for HostReport."""
        return self._pressure.value(anyio.current_time())

    def maturity(self) -> Maturity:
        """Return the maturity of this agent's memory of idempotency keys, for Announce."""
        founder = self.incarnation in self.rules.founders(self.backend.service)
        started = self._started_at
        age = 0.0 if started is None else anyio.current_time() - started
        return maturity(age, founder, self.cfg.policy.key_memory_s)

    async def run(self) -> None:
        """Run requests and expire records until cancelled."""
        self._started_at = anyio.current_time()
        async with self._client, anyio.create_task_group() as self._group:
            while True:
                await anyio.sleep(EXPIRE_INTERVAL_S)
                now = anyio.current_time()
                self.table.expire(now)
                self.keys.expire(now)
                self._refuse_expired(now)

    async def received(self, link: Link, envelope: Envelope) -> None:
        """Handle a message from an entry."""
        self._handle(envelope.body, link, envelope.id)

    async def link_opened(self, link: Link) -> None:
        """Do nothing; entries send the first message."""

    async def link_closed(self, link: Link) -> None:
        """Wake the senders of large answers on this link; running requests continue."""
        for admitted in list(self._admitted.values()):
            if admitted.link is link and admitted.ack_event is not None:
                admitted.ack_event.set()
            if admitted.link is link and not admitted.complete:
                self._refuse(
                    admitted.start.request, link, "the link broke before the body was whole"
                )

    def leave(self) -> None:
        """Begin to leave; new requests are refused once `leave_grace_s` has passed."""
        if self.leaving_at is None:
            self.leaving_at = anyio.current_time()

    async def drain(self) -> None:
        """Leave, and return when the grace period is over and every request has ended.

        Answers that no entry has acknowledged are waited for, for the time that an entry
        needs to open a new link and settle its requests.
        """
        self.leave()
        assert self.leaving_at is not None
        await anyio.sleep_until(self.leaving_at + self.cfg.policy.leave_grace_s)
        while self._admitted:
            self._idle = anyio.Event()
            await self._idle.wait()
        await self._wait_confirmed()
        # The last refusals are still in the links' send queues; a short pause lets them be sent.
        await anyio.sleep(0.05)

    async def _wait_confirmed(self) -> None:
        """Wait until entries have acknowledged the answers, for a limited time."""
        with anyio.move_on_after(relink_s(self.cfg.link)):
            while self._unconfirmed:
                self._idle = anyio.Event()
                await self._idle.wait()
        for request in self._unconfirmed:
            log.warning("no entry has acknowledged an answer", extra={"request": request})

    # Messages.

    @singledispatchmethod
    def _handle(self, body: Message, link: Link, message_id: int) -> None:
        raise TypeError(f"{type(body).__name__} is not handled here")

    @_handle.register
    def _start(self, body: RequestStart, link: Link, message_id: int) -> None:
        now = anyio.current_time()
        deadline = now + body.deadline_ms / 1000
        verdict = self.table.start(body.request, bool(body.key), deadline, now)
        if verdict is StartVerdict.DUPLICATE:
            return
        if verdict is StartVerdict.FORGOTTEN:
            self._post(link, RequestFailed(body.request, "the request is no longer remembered"))
            return
        reason = "the request was settled as never run" if verdict is StartVerdict.NEVER else ""
        reason = reason or self._refusal_reason(body, now)
        if reason:
            self._refuse(body.request, link, reason)
            return
        admitted = AdmittedRequest(body, link, deadline, bytearray(body.body), body.body_complete)
        self._admitted[body.request] = admitted
        self._buffered_bytes += len(admitted.body)
        if admitted.complete:
            self._enqueue(admitted)

    def _refusal_reason(self, body: RequestStart, now: float) -> str:
        """Return why a request is not admitted, or an empty string."""
        grace = self.cfg.policy.leave_grace_s
        if self._group is None:
            return "the agent is not ready"
        if self.leaving_at is not None and now >= self.leaving_at + grace:
            return "the backend server is leaving"
        if body.service != self.backend.service:
            return "the backend server runs another service"
        if not self.rules.in_service(self.cfg.data_centre):
            return "the data centre is out of service"
        if len(self._admitted) >= self.backend.connections:
            return "the backend server's connections are all in use"
        queue_rounds = 0.0
        if self._busy >= self.backend.slots:
            queue_rounds = (self.queued + 1) / self.backend.slots
        if body.deadline_ms / 1000 <= queue_rounds * self._pressure.expected_s():
            return "the deadline would pass in the queue"
        if self._buffered_bytes + len(body.body) > MAX_BUFFERED_BODY_BYTES:
            return "too many request bodies are held"
        return ""

    @_handle.register
    def _body(self, body: RequestBody, link: Link, message_id: int) -> None:
        admitted = self._admitted.get(body.request)
        if admitted is None or admitted.complete or admitted.link is not link:
            return
        if body.offset < len(admitted.body):
            return
        too_large = len(admitted.body) + len(body.data) > self.cfg.limits.request_body
        if body.offset > len(admitted.body) or too_large:
            self._refuse(body.request, link, "the request body is damaged or too large")
            return
        admitted.body += body.data
        self._buffered_bytes += len(body.data)
        if self._buffered_bytes > MAX_BUFFERED_BODY_BYTES:
            self._refuse(body.request, link, "too many request bodies are held")
        elif body.final and body.total != len(admitted.body):
            self._refuse(body.request, link, "the request body is not whole")
        elif body.final:
            admitted.complete = True
            self._enqueue(admitted)

    @_handle.register
    def _cancel(self, body: RequestCancel, link: Link, message_id: int) -> None:
        admitted = self._admitted.get(body.request)
        if admitted is None:
            return
        if not admitted.running:
            self._refuse(body.request, link, "the request was cancelled")
        elif not admitted.start.key and admitted.scope is not None:
            # A keyed request continues, because the caller may retry to get its answer.
            admitted.scope.cancel()

    @_handle.register
    def _ack(self, body: ResponseAck, link: Link, message_id: int) -> None:
        admitted = self._admitted.get(body.request)
        if admitted is not None and admitted.total == body.offset:
            admitted.confirmed = True
        if self._unconfirmed.get(body.request) == body.offset:
            self._confirm(body.request)
        if admitted is not None and admitted.link is link:
            admitted.acked = max(admitted.acked, body.offset)
            if admitted.ack_event is not None:
                admitted.ack_event.set()

    @_handle.register
    def _settle(self, body: Settle, link: Link, message_id: int) -> None:
        if body.incarnation != self.incarnation:
            reason = "the agent has restarted since"
            self._post(link, Settled(body.request, Settlement.UNKNOWN, reason), message_id)
            return
        admitted = self._admitted.get(body.request)
        if admitted is not None and not admitted.complete and admitted.link is not link:
            self._refuse(body.request, link, "the request body did not arrive")
        view = self.table.settle(body.request, anyio.current_time())
        self._post(link, Settled(body.request, view.settlement, view.reason), message_id)
        if view.settlement is Settlement.UNKNOWN:
            self._confirm(body.request)
        if view.answer is not None and self._group is not None:
            self._group.start_soon(self._send_kept, body.request, view.answer, link)
        elif view.settlement is Settlement.RUNNING and admitted is not None:
            admitted.waiting_links.append(link)

    @_handle.register
    def _reserve(self, body: ReserveKey, link: Link, message_id: int) -> None:
        reply = self.keys.reserve(body, self.maturity(), anyio.current_time())
        failure = Failure("full", "the agent's table of idempotency keys is full")
        self._post(link, reply or failure, message_id)

    @_handle.register
    def _release(self, body: ReleaseKey, link: Link, message_id: int) -> None:
        self.keys.release(body.key, body.request)

    # Queue and runs.

    def _enqueue(self, admitted: AdmittedRequest) -> None:
        self._queue.append(admitted)
        self._run_next()

    def _run_next(self) -> None:
        """Start queued requests while there are free slots."""
        now = anyio.current_time()
        while self._queue and self._busy < self.backend.slots:
            admitted = self._queue.popleft()
            if admitted.deadline <= now:
                self._refuse(
                    admitted.start.request, admitted.link, "the deadline passed in the queue"
                )
            elif self.table.run(admitted.start.request):
                assert self._group is not None
                admitted.running = True
                self._busy += 1
                self._group.start_soon(self._run, admitted)

    def _refuse_expired(self, now: float) -> None:
        expired = [
            admitted
            for admitted in self._admitted.values()
            if not admitted.running and admitted.deadline <= now
        ]
        for admitted in expired:
            self._refuse(admitted.start.request, admitted.link, "the deadline passed in the queue")

    def _refuse(self, request: RequestId, link: Link, reason: str) -> None:
        """Mark a request so that it never runs, and send the refusal."""
        if not self.table.mark_never_run(request, anyio.current_time()):
            return
        self.refused += 1
        message = RequestRefused(request, reason, RETRY_AFTER_MS)
        admitted = self._admitted.get(request)
        if admitted is not None and admitted in self._queue:
            self._queue.remove(admitted)
        for target in {link, *(admitted.waiting_links if admitted else ())}:
            self._post(target, message)
        if admitted is not None:
            self._remove(admitted)

    def _confirm(self, request: RequestId) -> None:
        """Stop waiting for the acknowledgement of an answer."""
        if self._unconfirmed.pop(request, None) is not None and not self._unconfirmed:
            self._idle.set()

    def _remove(self, admitted: AdmittedRequest) -> None:
        if self._admitted.pop(admitted.start.request, None) is not None:
            self._buffered_bytes -= len(admitted.body)
        if not self._admitted:
            self._idle.set()

    async def _run(self, admitted: AdmittedRequest) -> None:
        """Run one request to its end and forward the answer."""
        request = admitted.start.request
        answer: Answer | None = None
        reason = "the request was cancelled or its deadline passed while it ran"
        started = anyio.current_time()
        try:
            req = self._build_request(admitted)
            if req is None:
                self.table.mark_unsent(request)
                self._refuse(request, admitted.link, "the request is not valid HTTP")
                return
            with anyio.CancelScope(deadline=admitted.deadline) as admitted.scope:
                answer, reason = await self._forward(admitted, req)
            now = anyio.current_time()
            if answer is not None or reason == TOO_LARGE:
                self._pressure.add(admitted.start.request_class, now - started, now)
        except (HttpConnectError, HttpConnectTimeout):
            self.table.mark_unsent(request)
            self._refuse(request, admitted.link, BACKEND_DOWN)
            return
        except HTTPError as exc:
            reason = f"the backend server's answer is not whole: {exc or type(exc).__name__}"
        finally:
            self._busy -= 1
            admitted.running = False
            self._run_next()
            if request in self._admitted and self._group is not None:
                self._finish(admitted, answer, reason)

    def _finish(self, admitted: AdmittedRequest, answer: Answer | None, reason: str) -> None:
        """Store the answer, and send the result to the links that wait for it."""
        request = admitted.start.request
        self.table.mark_done(request, answer, reason, anyio.current_time())
        has_answer = answer is not None or reason == TOO_LARGE
        if self.leaving_at is not None and has_answer and not admitted.confirmed:
            self._unconfirmed[request] = admitted.total
        if answer is None and reason != TOO_LARGE:
            self._post(admitted.link, RequestFailed(request, reason))
        for link in admitted.waiting_links:
            if answer is not None and self._group is not None:
                self._group.start_soon(self._send_kept, request, answer, link)
            else:
                self._post(link, RequestFailed(request, reason))
        self._remove(admitted)

    def _build_request(self, admitted: AdmittedRequest) -> Request | None:
        """Return the request for the backend server, or None if HTTP does not allow it."""
        start = admitted.start
        headers = [(h.name.encode("latin-1"), h.value.encode("latin-1")) for h in start.headers]
        headers.append((REQUEST_ID_HEADER, start.request.encode()))
        url = self.backend.url + start.path
        try:
            return Request(start.method, url, headers=headers, content=bytes(admitted.body))
        except (InvalidURL, ValueError, TypeError) as exc:
            log.info("the request is not valid HTTP: %s", exc, extra={"request": start.request})
            return None

    async def _forward(self, admitted: AdmittedRequest, req: Request) -> tuple[Answer | None, str]:
        """Send the request and forward the answer; return it if it is small enough to keep."""
        response = await self._client.send(req, stream=True)
        try:
            return await AnswerForwarder(self.cfg.limits, admitted, response).run()
        finally:
            with anyio.CancelScope(shield=True):
                await response.aclose()

    async def _send_kept(self, request: RequestId, answer: Answer, link: Link) -> None:
        """Send a kept answer from its first byte."""
        try:
            body = answer.body
            single_frame = len(body) <= CHUNK_BYTES
            first = body if single_frame else b""
            await link.send(
                ResponseStart(request, answer.status, answer.headers, first, single_frame)
            )
            for offset in range(0, 0 if single_frame else len(body), CHUNK_BYTES):
                data = body[offset : offset + CHUNK_BYTES]
                final = offset + len(data) == len(body)
                total = len(body) if final else 0
                await link.send(ResponseBody(request, offset, data, final, total))
        except LinkError as exc:
            log.info("a kept answer could not be sent: %s", exc, extra={"request": request})

    def _post(self, link: Link, message: Message, reply_to: int = 0) -> None:
        """Send a message without waiting; if the send queue is full, a task waits for it."""
        try:
            link.send_nowait(message, reply_to)
        except LinkError:
            if link.is_open and self._group is not None:
                self._group.start_soon(self._send_later, link, message, reply_to)

    async def _send_later(self, link: Link, message: Message, reply_to: int) -> None:
        try:
            await link.send(message, reply_to)
        except LinkError as exc:
            log.info("%s could not be sent: %s", type(message).__name__, exc)


def http_client(backend: BackendSettings) -> AsyncClient:
    """Return the client for one backend server.

    It has only a connect timeout, since deadlines end requests, and no limit on
    connections, since admission limits requests to the backend server's slots.
    """
    timeout = Timeout(None, connect=CONNECT_TIMEOUT_S)
    return AsyncClient(transport=BackendTransport(), timeout=timeout, follow_redirects=False)
