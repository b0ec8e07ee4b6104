"""The agent's part in requests: admission to the backend server, answers and keys."""

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatchmethod

import anyio
from anyio.abc import TaskGroup
from httpx import AsyncClient, HTTPError, InvalidURL, Request, Response, Timeout
from httpx import ConnectError as HttpConnectError
from httpx import ConnectTimeout as HttpConnectTimeout

from apricotpath.codec import Envelope
from apricotpath.config import AgentSettings, BackendSettings
from apricotpath.errors import LinkError
from apricotpath.ids import ClassId, IncarnationId, RequestId
from apricotpath.link import Link
from apricotpath.messages import (
    Failure,
    Header,
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
from apricotpathd.backendtransport import BackendTransport

log = logging.getLogger(__name__)

# An answer up to this size travels in one frame; larger ones in chunks of it.
CHUNK_BYTES = 64 << 10
# Bytes of an answer on their way to a caller who has not taken them yet.
SEND_WINDOW_BYTES = 1 << 20
# Request bodies held for requests that have not started; bounds the agent's memory.
HELD_BODIES_BYTES = 32 << 20
CONNECT_TIMEOUT_S = 1.0
EXPIRE_INTERVAL_S = 1.0
RETRY_AFTER_MS = 1000
# Weights of a new sample: recent latency, and the quiet baseline downwards and upwards.
RECENT_WEIGHT = 0.1
QUIET_FALL = 0.1
QUIET_RISE = 0.002
# Without requests for this long the last measurement says nothing about the present.
PRESSURE_MEMORY_S = 5.0
HOP_BY_HOP = frozenset(
    ("connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding")
)


@dataclass(slots=True)
class ClassLatency:
    """Latency of one request class in seconds, now and when the host is quiet."""

    recent_s: float
    quiet_s: float
    at: float


@dataclass(slots=True)
class Pressure:
    """Slowdown of the backend server against its own quiet baseline (1.0 = none).

    The baseline follows faster answers quickly and slower ones very slowly,
    so it stays near the fastest tenth of recent answers.
    """

    classes: dict[ClassId, ClassLatency] = field(default_factory=dict)

    def add(self, request_class: ClassId, seconds: float, now: float) -> None:
        """Add the latency of one answer, without its time in the queue."""
        known = self.classes.get(request_class)
        if known is None:
            self.classes[request_class] = ClassLatency(seconds, seconds, now)
            return
        known.recent_s += RECENT_WEIGHT * (seconds - known.recent_s)
        weight = QUIET_FALL if seconds < known.quiet_s else QUIET_RISE
        known.quiet_s += weight * (seconds - known.quiet_s)
        known.at = now

    def value(self, now: float) -> float:
        """Return the mean slowdown of the classes seen lately."""
        fresh = [c for c in self.classes.values() if now - c.at <= PRESSURE_MEMORY_S]
        ratios = [max(1.0, c.recent_s / max(c.quiet_s, 1e-6)) for c in fresh]
        return sum(ratios) / len(ratios) if ratios else 1.0

    def expected_s(self) -> float:
        """Return the mean recent latency in seconds, 0 if nothing was measured."""
        recent = [c.recent_s for c in self.classes.values()]
        return sum(recent) / len(recent) if recent else 0.0


@dataclass(eq=False, slots=True)
class Job:
    """One admitted request and where its answer goes."""

    start: RequestStart
    link: Link
    deadline: float
    body: bytearray
    complete: bool
    running: bool = False
    acked: int = 0
    ack_event: anyio.Event | None = None
    scope: anyio.CancelScope | None = None
    waiting: list[Link] = field(default_factory=list)


class AgentRequests:
    """Component that runs requests at the backend server on loopback.

    At most `slots` requests run, and at most `connections` run or wait.
    A request whose link breaks goes on, and its answer is kept for Settle.
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
        # A key outlives the longest request by the time that the page promises.
        keep_s = policy.key_memory_s + limits.max_deadline_s
        self.table = RequestTable(limits.kept_answer, limits.kept_answers_total, keep_s)
        self.keys = KeyTable(keep_s)
        self.leaving_at: float | None = None
        self.refused = 0
        self._pressure = Pressure()
        self._jobs: dict[RequestId, Job] = {}
        self._queue: deque[Job] = deque()
        self._busy = 0
        self._held_bytes = 0
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
        """Requests that have been admitted and do not run yet."""
        return len(self._jobs) - self._busy

    @property
    def pressure(self) -> float:
        """Slowdown against the quiet baseline, for HostReport."""
        return self._pressure.value(anyio.current_time())

    def maturity(self) -> Maturity:
        """Return how far back the memory of keys reaches, for Announce."""
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
                self._refuse_late(now)

    async def received(self, link: Link, envelope: Envelope) -> None:
        """Handle a message of an entry."""
        self._handle(envelope.body, link, envelope.id)

    async def link_opened(self, link: Link) -> None:
        """Do nothing: entries start the exchange."""

    async def link_closed(self, link: Link) -> None:
        """Wake the senders of large answers on this link; requests go on."""
        for job in list(self._jobs.values()):
            if job.link is link and job.ack_event is not None:
                job.ack_event.set()
            if job.link is link and not job.complete:
                self._refuse(job.start.request, link, "the link broke before the body was whole")

    def leave(self) -> None:
        """Start leaving: requests are refused once `leave_grace_s` has passed."""
        if self.leaving_at is None:
            self.leaving_at = anyio.current_time()

    async def drain(self) -> None:
        """Leave, and return when the grace has passed and every request has ended."""
        self.leave()
        assert self.leaving_at is not None
        await anyio.sleep_until(self.leaving_at + self.cfg.policy.leave_grace_s)
        while self._jobs:
            self._idle = anyio.Event()
            await self._idle.wait()
        # The last answers are in the send queues of the links; a short pause lets them out.
        await anyio.sleep(0.05)

    # Messages.

    @singledispatchmethod
    def _handle(self, body: Message, link: Link, number: int) -> None:
        raise TypeError(f"{type(body).__name__} is not handled here")

    @_handle.register
    def _start(self, body: RequestStart, link: Link, number: int) -> None:
        now = anyio.current_time()
        deadline = now + body.deadline_ms / 1000
        verdict = self.table.start(body.request, bool(body.key), deadline, now)
        if verdict is StartVerdict.DUPLICATE:
            return
        if verdict is StartVerdict.FORGOTTEN:
            self._post(link, RequestFailed(body.request, "the request is no longer remembered"))
            return
        reason = "the request was settled as never run" if verdict is StartVerdict.NEVER else ""
        reason = reason or self._objection(body, now)
        if reason:
            self._refuse(body.request, link, reason)
            return
        job = Job(body, link, deadline, bytearray(body.body), body.body_complete)
        self._jobs[body.request] = job
        self._held_bytes += len(job.body)
        if job.complete:
            self._enqueue(job)

    def _objection(self, body: RequestStart, now: float) -> str:
        """Return why a request is not admitted, or an empty text."""
        grace = self.cfg.policy.leave_grace_s
        if self._group is None:
            return "the agent is not ready"
        if self.leaving_at is not None and now >= self.leaving_at + grace:
            return "the backend server is leaving"
        if body.service != self.backend.service:
            return "the backend server runs another service"
        if not self.rules.in_service(self.cfg.data_centre):
            return "the data centre is out of service"
        if len(self._jobs) >= self.backend.connections:
            return "the backend server's connections are all in use"
        rounds = 0.0
        if self._busy >= self.backend.slots:
            rounds = (self.queued + 1) / self.backend.slots
        if body.deadline_ms / 1000 <= rounds * self._pressure.expected_s():
            return "the deadline would pass in the queue"
        if self._held_bytes + len(body.body) > HELD_BODIES_BYTES:
            return "too many request bodies are held"
        return ""

    @_handle.register
    def _body(self, body: RequestBody, link: Link, number: int) -> None:
        job = self._jobs.get(body.request)
        if job is None or job.complete or job.link is not link:
            return
        if body.offset < len(job.body):
            return
        too_large = len(job.body) + len(body.data) > self.cfg.limits.request_body
        if body.offset > len(job.body) or too_large:
            self._refuse(body.request, link, "the request body is damaged or too large")
            return
        job.body += body.data
        self._held_bytes += len(body.data)
        if self._held_bytes > HELD_BODIES_BYTES:
            self._refuse(body.request, link, "too many request bodies are held")
        elif body.final and body.total != len(job.body):
            self._refuse(body.request, link, "the request body is not whole")
        elif body.final:
            job.complete = True
            self._enqueue(job)

    @_handle.register
    def _cancel(self, body: RequestCancel, link: Link, number: int) -> None:
        job = self._jobs.get(body.request)
        if job is None:
            return
        if not job.running:
            self._refuse(body.request, link, "the request was cancelled")
        elif not job.start.key and job.scope is not None:
            # With a key the caller may come back for the answer, so that run goes on.
            job.scope.cancel()

    @_handle.register
    def _ack(self, body: ResponseAck, link: Link, number: int) -> None:
        job = self._jobs.get(body.request)
        if job is not None and job.link is link:
            job.acked = max(job.acked, body.offset)
            if job.ack_event is not None:
                job.ack_event.set()

    @_handle.register
    def _settle(self, body: Settle, link: Link, number: int) -> None:
        if body.incarnation != self.incarnation:
            reason = "the agent has restarted since"
            self._post(link, Settled(body.request, Settlement.UNKNOWN, reason), number)
            return
        job = self._jobs.get(body.request)
        if job is not None and not job.complete and job.link is not link:
            self._refuse(body.request, link, "the request body did not arrive")
        view = self.table.settle(body.request, anyio.current_time())
        self._post(link, Settled(body.request, view.settlement, view.reason), number)
        if view.answer is not None and self._group is not None:
            self._group.start_soon(self._send_kept, body.request, view.answer, link)
        elif view.settlement is Settlement.RUNNING and job is not None:
            job.waiting.append(link)

    @_handle.register
    def _reserve(self, body: ReserveKey, link: Link, number: int) -> None:
        reply = self.keys.reserve(body, self.maturity(), anyio.current_time())
        failure = Failure("full", "the agent's table of idempotency keys is full")
        self._post(link, reply or failure, number)

    @_handle.register
    def _release(self, body: ReleaseKey, link: Link, number: int) -> None:
        self.keys.release(body.key, body.request)

    # Queue and runs.

    def _enqueue(self, job: Job) -> None:
        self._queue.append(job)
        self._run_next()

    def _run_next(self) -> None:
        """Start queued requests while there are free slots."""
        now = anyio.current_time()
        while self._queue and self._busy < self.backend.slots:
            job = self._queue.popleft()
            if job.deadline <= now:
                self._refuse(job.start.request, job.link, "the deadline passed in the queue")
            elif self.table.run(job.start.request):
                assert self._group is not None
                job.running = True
                self._busy += 1
                self._group.start_soon(self._run, job)

    def _refuse_late(self, now: float) -> None:
        late = [job for job in self._jobs.values() if not job.running and job.deadline <= now]
        for job in late:
            self._refuse(job.start.request, job.link, "the deadline passed in the queue")

    def _refuse(self, request: RequestId, link: Link, reason: str) -> None:
        """Make sure that a request never runs, and say so."""
        if not self.table.never(request, anyio.current_time()):
            return
        self.refused += 1
        message = RequestRefused(request, reason, RETRY_AFTER_MS)
        job = self._jobs.get(request)
        if job is not None and job in self._queue:
            self._queue.remove(job)
        for target in {link, *(job.waiting if job else ())}:
            self._post(target, message)
        if job is not None:
            self._forget(job)

    def _forget(self, job: Job) -> None:
        if self._jobs.pop(job.start.request, None) is not None:
            self._held_bytes -= len(job.body)
        if not self._jobs:
            self._idle.set()

    async def _run(self, job: Job) -> None:
        """Run one request to its end and send the answer on."""
        request = job.start.request
        answer: Answer | None = None
        reason = "the request was cancelled or its deadline passed while it ran"
        started = anyio.current_time()
        try:
            req = self._build(job)
            if req is None:
                self.table.unsent(request)
                self._refuse(request, job.link, "the request is not valid HTTP")
                return
            with anyio.CancelScope(deadline=job.deadline) as job.scope:
                answer, reason = await self._exchange(job, req)
            now = anyio.current_time()
            if answer is not None or reason == TOO_LARGE:
                self._pressure.add(job.start.request_class, now - started, now)
        except (HttpConnectError, HttpConnectTimeout):
            self.table.unsent(request)
            self._refuse(request, job.link, BACKEND_DOWN)
            return
        except HTTPError as exc:
            reason = f"the backend server's answer is not whole: {exc or type(exc).__name__}"
        finally:
            self._busy -= 1
            job.running = False
            self._run_next()
            if request in self._jobs and self._group is not None:
                self._end(job, answer, reason)

    def _end(self, job: Job, answer: Answer | None, reason: str) -> None:
        """Keep the answer, and tell the links that wait for it."""
        request = job.start.request
        self.table.done(request, answer, reason, anyio.current_time())
        if answer is None and reason != TOO_LARGE:
            self._post(job.link, RequestFailed(request, reason))
        for link in job.waiting:
            if answer is not None and self._group is not None:
                self._group.start_soon(self._send_kept, request, answer, link)
            else:
                self._post(link, RequestFailed(request, reason))
        self._forget(job)

    def _build(self, job: Job) -> Request | None:
        """Return the request for the backend server, or None if HTTP does not allow it."""
        start = job.start
        headers = [(h.name.encode("latin-1"), h.value.encode("latin-1")) for h in start.headers]
        headers.append((REQUEST_ID_HEADER, start.request.encode()))
        url = self.backend.url + start.path
        try:
            return Request(start.method, url, headers=headers, content=bytes(job.body))
        except (InvalidURL, ValueError, TypeError) as exc:
            log.info("a request cannot be sent: %s", exc, extra={"request": start.request})
            return None

    async def _exchange(self, job: Job, req: Request) -> tuple[Answer | None, str]:
        """Send the request and pass the answer on; return it if it can be kept."""
        response = await self._client.send(req, stream=True)
        try:
            return await _Forwarder(self, job, response).run()
        finally:
            with anyio.CancelScope(shield=True):
                await response.aclose()

    async def _send_kept(self, request: RequestId, answer: Answer, link: Link) -> None:
        """Send a kept answer from the beginning."""
        try:
            body = answer.body
            whole = len(body) <= CHUNK_BYTES
            first = body if whole else b""
            await link.send(ResponseStart(request, answer.status, answer.headers, first, whole))
            for offset in range(0, 0 if whole else len(body), CHUNK_BYTES):
                data = body[offset : offset + CHUNK_BYTES]
                final = offset + len(data) == len(body)
                total = len(body) if final else 0
                await link.send(ResponseBody(request, offset, data, final, total))
        except LinkError as exc:
            log.info("a kept answer could not be sent: %s", exc, extra={"request": request})

    def _post(self, link: Link, message: Message, reply_to: int = 0) -> None:
        """Send a message without waiting; a full queue is waited for in a task."""
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


TOO_LARGE = "the answer was too large to be kept"
REQUEST_ID_HEADER = b"apricotpath-request-id"


class _Forwarder:
    """Passes one answer from the backend server to a link, and keeps a copy.

    Once the link has gone it reads on, so that the answer can be kept.
    """

    def __init__(self, requests: AgentRequests, job: Job, response: Response) -> None:
        self.limits = requests.cfg.limits
        self.job = job
        self.response = response
        self.headers = tuple(
            Header(name, value.decode("latin-1"))
            for raw, value in response.headers.raw
            if (name := raw.decode("latin-1").lower()) not in HOP_BY_HOP
        )
        self.kept = bytearray()
        self.sent = -1
        self.total = 0

    async def run(self) -> tuple[Answer | None, str]:
        """Return the whole answer, or None and the reason if it was too large to keep."""
        unsent = bytearray()
        async for chunk in self.response.aiter_raw():
            self.total += len(chunk)
            if self.total <= self.limits.kept_answer:
                self.kept += chunk
            if self.total > self.limits.response_body:
                return None, "the answer exceeds the limit on its size"
            unsent += chunk
            while len(unsent) > CHUNK_BYTES:
                await self._send(bytes(unsent[:CHUNK_BYTES]), False)
                del unsent[:CHUNK_BYTES]
        await self._send(bytes(unsent), True)
        if self.total > self.limits.kept_answer:
            return None, TOO_LARGE
        return Answer(self.response.status_code, self.headers, bytes(self.kept)), ""

    async def _send(self, data: bytes, final: bool) -> None:
        """Send the next part; the first one goes with the status and headers."""
        job, request = self.job, self.job.start.request
        offset = max(self.sent, 0)
        try:
            if self.sent < 0:
                status = self.response.status_code
                await job.link.send(ResponseStart(request, status, self.headers, data, final))
            else:
                while job.link.is_open and offset - job.acked > SEND_WINDOW_BYTES:
                    job.ack_event = anyio.Event()
                    await job.ack_event.wait()
                total = self.total if final else 0
                await job.link.send(ResponseBody(request, offset, data, final, total))
        except LinkError:
            # The entry asks for the answer on its next link.
            pass
        self.sent = offset + len(data)


def http_client(backend: BackendSettings) -> AsyncClient:
    """Return the client for one backend server; deadlines end requests, not timeouts.

    The agent's admission keeps it within the backend server's slots.
    """
    timeout = Timeout(None, connect=CONNECT_TIMEOUT_S)
    return AsyncClient(transport=BackendTransport(), timeout=timeout, follow_redirects=False)
