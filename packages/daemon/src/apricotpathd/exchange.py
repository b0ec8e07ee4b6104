"""The entry's request path: sending over links, settlement, retries and idempotency keys."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import singledispatchmethod
from hashlib import blake2b
from random import Random

import anyio

from apricotpath.admission import ClassQueues, Refusal, Waiting
from apricotpath.codec import Envelope
from apricotpath.config import EntrySettings
from apricotpath.errors import LinkError, NotRun, OutcomeUnknown, RequestError
from apricotpath.ids import IncarnationId, KeyId, ProcessId, RequestId, ServiceId
from apricotpath.keyplaces import (
    Blocked,
    Existing,
    Granted,
    Place,
    Reply,
    RequestReplies,
    SendMessages,
    SettleAt,
    Step,
    key_places,
    reserve_key,
)
from apricotpath.link import Link, relink_s
from apricotpath.messages import (
    KeyReserved,
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
from apricotpath.metrics import Metrics
from apricotpath.model import Maturity, Settlement
from apricotpath.retry import RetryBudget, may_retry
from apricotpath.routing import BACKEND_DOWN, Candidate, RoutingTable, choose
from apricotpath.servicerules import RequestRules
from apricotpath.settle import request_id
from apricotpath.trace import Answer, Request
from apricotpathd.attempt import AnswerStream, Attempt, CallerRequest
from apricotpathd.hosts import HostRow, HostTable
from apricotpathd.tracing import RecordEvent, no_trace

log = logging.getLogger(__name__)

CHUNK_BYTES = 64 << 10
# An agent that has not replied to a reservation within this time counts as unreachable.
RESERVE_TIMEOUT_S = 1.0
SETTLE_TIMEOUT_S = 2.0
# Extra time after the deadline for one last settle call, which tells whether the request ran.
FINAL_SETTLE_S = 1.0
# How long to wait for a missing part of an answer before asking for the whole answer again.
GAP_WAIT_S = 0.5
TICK_S = 0.05
RETRY_AFTER_S = 1.0
# A new entry reserves no keys until every agent has had time to dial it: an agent that is
# not linked yet may be the one that remembers the key.
ANNOUNCE_WAIT_S = 5.0
# Upper bound of the random pause before a retry, so that failed requests do not retry together.
RETRY_PAUSE_S = 0.02


@dataclass(eq=False, slots=True)
class _QueuedRequest:
    """A queued request and the event that ends its wait."""

    item: Waiting
    event: anyio.Event = field(default_factory=anyio.Event)
    process: ProcessId | None = None
    refusal: Refusal | None = None


def _is_down(attempt: Attempt) -> bool:
    return attempt.refused is not None and attempt.refused.reason == BACKEND_DOWN


class Exchange:
    """Component that forwards callers' requests to agents and returns the answers."""

    handles: frozenset[type[Message]] = frozenset(
        (ResponseStart, ResponseBody, RequestRefused, RequestFailed, Settled, KeyReserved)
    )

    def __init__(
        self,
        cfg: EntrySettings,
        incarnation: IncarnationId,
        rules: RequestRules,
        hosts: HostTable,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        self.cfg = cfg
        self.incarnation = incarnation
        self.rules = rules
        self.hosts = hosts
        self.metrics = metrics
        self.rng = rng
        self.routing = RoutingTable()
        self.record: RecordEvent = no_trace
        self.open_requests = 0
        self._links: dict[ProcessId, Link] = {}
        self._attempts: dict[RequestId, list[Attempt]] = {}
        self._queues: dict[ServiceId, ClassQueues] = {}
        self._queued: dict[Waiting, _QueuedRequest] = {}
        self._budgets: dict[ServiceId, RetryBudget] = {}
        self._counter = 0
        self._started_at: float | None = None
        self._idle = anyio.Event()

    # Component.

    async def run(self) -> None:
        """Dispatch and expire queued requests until cancelled."""
        self._started_at = anyio.current_time()
        while True:
            await anyio.sleep(TICK_S)
            now = anyio.current_time()
            for service, queues in self._queues.items():
                for item in queues.expire(now):
                    self._end_wait(item, refusal=Refusal.EXPIRED)
                if queues.size:
                    self._dispatch(service, queues)

    def startup_wait_over(self) -> bool:
        """Tell whether agents that remember keys have had enough time to announce themselves."""
        started_at = self._started_at
        return started_at is not None and anyio.current_time() - started_at >= ANNOUNCE_WAIT_S

    async def received(self, link: Link, envelope: Envelope) -> None:
        """Handle a message from an agent."""
        self._handle(envelope.body, link)

    async def link_opened(self, link: Link) -> None:
        """Record the newest link to a process; requests are settled over it."""
        if link.peer is not None:
            self._links[link.peer.process_id] = link

    async def link_closed(self, link: Link) -> None:
        """Wake the requests that were sent on a link, so that they are settled."""
        if link.peer is not None and self._links.get(link.peer.process_id) is link:
            del self._links[link.peer.process_id]
        for attempts in self._attempts.values():
            for attempt in attempts:
                if attempt.link is link:
                    attempt.wake()

    async def drain(self) -> None:
        """Return when no request is open."""
        while self.open_requests:
            self._idle = anyio.Event()
            await self._idle.wait()

    @singledispatchmethod
    def _handle(self, body: Message, link: Link) -> None:
        """Ignore late replies to calls that have timed out."""

    @_handle.register
    def _response_start(self, body: ResponseStart, link: Link) -> None:
        for attempt in self._attempts.get(body.request, ()):
            if not attempt.started:
                attempt.status, attempt.headers = body.status, body.headers
            attempt.add(0, body.body, body.body_complete, len(body.body))
            attempt.wake()
        if body.body_complete:
            self._confirm_if_leaving(body.request, len(body.body), link)

    @_handle.register
    def _response_body(self, body: ResponseBody, link: Link) -> None:
        for attempt in self._attempts.get(body.request, ()):
            attempt.add(body.offset, body.data, body.final, body.total)
            attempt.wake()
        if body.final:
            self._confirm_if_leaving(body.request, body.total, link)

    def _confirm_if_leaving(self, request: RequestId, total: int, link: Link) -> None:
        """Confirm a whole answer to an agent that leaves, as it waits for this before it stops."""
        row = self.hosts.rows.get(link.peer.process_id) if link.peer is not None else None
        if row is None or not row.leaving:
            return
        if all(attempt.complete for attempt in self._attempts.get(request, ())):
            self.send_best_effort(link, ResponseAck(request, total))

    @_handle.register
    def _refused(self, body: RequestRefused, link: Link) -> None:
        for attempt in self._attempts.get(body.request, ()):
            attempt.refused = body
            attempt.wake()

    @_handle.register
    def _failed(self, body: RequestFailed, link: Link) -> None:
        for attempt in self._attempts.get(body.request, ()):
            attempt.failed = body.reason
            attempt.wake()

    # Requests.

    async def request(self, req: CallerRequest) -> AnswerStream:
        """Return the answer to a request; the caller must `close` it.

        Raises NotRun only if the request has not run and never will, and
        OutcomeUnknown otherwise.
        """
        budget = self._budgets.get(req.service)
        if budget is None:
            cfg = self.cfg
            budget = RetryBudget(cfg.policy.retry_share, cfg.requests.retry_budget)
            self._budgets[req.service] = budget
        budget.arrived()
        remaining_s = max(0.0, req.deadline - anyio.current_time())
        self.record(Request(req.service, req.rules.name, req.team, deadline_s=remaining_s))
        self.open_requests += 1
        try:
            return await self._request_with_retries(req, budget)
        finally:
            self.open_requests -= 1
            if not self.open_requests:
                self._idle.set()

    async def _request_with_retries(self, req: CallerRequest, budget: RetryBudget) -> AnswerStream:
        avoid: set[ProcessId] = set()
        tries = 0
        may_have_run: OutcomeUnknown | None = None
        while True:
            tries += 1
            try:
                if req.rules.idempotent:
                    return await self._try_idempotent(req, avoid)
                return await self._try_keyed(req)
            except (NotRun, OutcomeUnknown) as exc:
                if isinstance(exc, OutcomeUnknown):
                    may_have_run = may_have_run or exc
                    if not req.rules.idempotent:
                        raise
                elif exc.reason not in RETRIED_REFUSALS:
                    raise may_have_run or exc from exc
                now = anyio.current_time()
                try_limit = self.cfg.requests.max_tries
                if not may_retry(budget, tries, try_limit, req.deadline, RETRY_PAUSE_S, now):
                    # An earlier try that may have run takes precedence over a later refusal.
                    raise may_have_run or exc from exc
                self.metrics.request_retried(req.service)
                await anyio.sleep(RETRY_PAUSE_S * self.rng.random())

    async def _try_idempotent(self, req: CallerRequest, avoid: set[ProcessId]) -> AnswerStream:
        """Try an idempotent request at the backend server that routing chooses."""
        process = await self._admit(req, avoid)
        avoid.add(process)
        attempt: Attempt | None = None
        started = anyio.current_time()
        try:
            row = self.hosts.rows.get(process)
            if row is None or row.link is None:
                raise NotRun("The backend server has just gone.", "backend-gone")
            attempt = self._open_attempt(self._next_id(), row.process, row.incarnation, row.link)
            attempt.idempotent = True
            return await self._send_and_wait(req, attempt)
        finally:
            self._record_result(req.service, process, attempt, started)

    def _record_result(
        self, service: ServiceId, process: ProcessId, attempt: Attempt | None, started: float
    ) -> None:
        """Report the result of a try to routing, and dispatch queued requests."""
        now = anyio.current_time()
        if attempt is not None and attempt.started and not attempt.failed:
            self.routing.record_result(process, now - started, attempt.status < 500, now)
            self.record(Answer(process, now - started, attempt.status))
        elif attempt is not None and (attempt.failed or attempt.timed_out or _is_down(attempt)):
            # A backend server that is down refuses faster than others answer. If this did
            # not count as a failure, it would have the least load and get most requests.
            self.routing.record_result(process, None, False, now)
            self.record(Answer(process, now - started, 0))
        else:
            self.routing.record_cancelled(process)
        queues = self._queues.get(service)
        if queues is not None and queues.size:
            self._dispatch(service, queues)

    async def _send_and_wait(self, req: CallerRequest, attempt: Attempt) -> AnswerStream:
        """Send a request and wait for the start of its answer."""
        try:
            await self._send(req, attempt)
            while not attempt.started:
                await self.wait_for_progress(attempt, req.deadline)
            if not attempt.complete and attempt.received < CHUNK_BYTES:
                await self.wait_for_progress(attempt, req.deadline)
            return AnswerStream(self, attempt, req.deadline)
        except BaseException:
            self.close_attempt(attempt)
            raise

    async def _send(self, req: CallerRequest, attempt: Attempt) -> None:
        """Send the request's frames; if the link closes meanwhile, the request is settled later."""
        remaining_ms = max(0, int((req.deadline - anyio.current_time()) * 1000))
        first, has_more = req.body[:CHUNK_BYTES], len(req.body) > CHUNK_BYTES
        start = RequestStart(
            attempt.request,
            req.service,
            req.rules.name,
            req.team,
            scoped_key(req) if req.key else KeyId(""),
            req.rules.idempotent,
            remaining_ms,
            req.method,
            req.path,
            req.headers,
            first,
            not has_more,
        )
        try:
            await attempt.link.send(start)
            for offset in range(CHUNK_BYTES, len(req.body) if has_more else 0, CHUNK_BYTES):
                data = req.body[offset : offset + CHUNK_BYTES]
                final = offset + len(data) == len(req.body)
                total = len(req.body) if final else 0
                await attempt.link.send(RequestBody(attempt.request, offset, data, final, total))
        except LinkError as exc:
            log.info(
                "request not fully sent; to be settled: %s", exc, extra={"request": attempt.request}
            )

    async def wait_for_progress(self, attempt: Attempt, deadline: float) -> None:
        """Wait until more of an answer has arrived.

        Raises NotRun after a refusal, and OutcomeUnknown when the answer can no
        longer be completed.
        """
        previous = (attempt.received, attempt.complete, attempt.started)
        while True:
            if (attempt.received, attempt.complete, attempt.started) != previous:
                return
            if attempt.refused is not None:
                reason = attempt.refused.reason
                wait_s = attempt.refused.retry_after_ms / 1000
                raise NotRun(f"The request did not run: {reason}.", "refused", wait_s)
            if attempt.failed:
                raise OutcomeUnknown(f"There is no whole answer: {attempt.failed}.", "failed")
            now = anyio.current_time()
            if now >= deadline:
                await self._settle_at_deadline(attempt, deadline + FINAL_SETTLE_S)
            elif attempt.link_ended:
                await self._settle(attempt, deadline)
            elif attempt.out_of_order and not attempt.settled_as_running:
                await self._wait_for_gap(attempt, deadline)
            else:
                with anyio.CancelScope(deadline=deadline):
                    await attempt.wait()

    async def _wait_for_gap(self, attempt: Attempt, deadline: float) -> None:
        """Wait for a missing part of the answer, then ask the agent to send the answer again."""
        # Exponential backoff: the wait doubles with every repeated request for the answer.
        wait_s = GAP_WAIT_S * 2**attempt.resends
        attempt.resends += 1
        received, until = attempt.received, anyio.current_time() + wait_s
        with anyio.CancelScope(deadline=min(until, deadline)):
            while attempt.received == received and not attempt.failed and not attempt.link_ended:
                await attempt.wait()
            return
        if anyio.current_time() < deadline:
            await self._settle(attempt, deadline)

    async def _settle(self, attempt: Attempt, deadline: float) -> None:
        """Settle a request over the current link to the same agent.

        Returns when the settlement is applied, or when the deadline has passed.
        """
        while anyio.current_time() < deadline:
            link = self._links.get(attempt.process)
            if link is None or not link.is_open:
                if attempt.idempotent and self._has_left(attempt.process):
                    attempt.failed = "the agent has left"
                    return
                await anyio.sleep(TICK_S)
                continue
            assert link.peer is not None
            if link.peer.incarnation != attempt.incarnation:
                attempt.failed = "the agent has restarted since"
                return
            attempt.link = link
            settlement, reason = await self._request_settlement(link, attempt, deadline)
            if settlement is not None:
                self._apply_settlement(attempt, settlement, reason)
                return

    def _has_left(self, process: ProcessId) -> bool:
        """Tell whether an agent that announced its shutdown has been gone too long to return."""
        row = self.hosts.rows.get(process)
        if row is None:
            return True
        gone_s = 0.0 if row.gone_at is None else anyio.current_time() - row.gone_at
        return row.leaving and gone_s > relink_s(self.cfg.link)

    async def _settle_at_deadline(self, attempt: Attempt, until: float) -> None:
        """Settle a request whose deadline has passed, to learn whether it ran."""
        link = self._links.get(attempt.process)
        present = link is not None and link.is_open and link.peer is not None
        if present and link is not None and link.peer is not None:
            same_incarnation = link.peer.incarnation == attempt.incarnation
            if same_incarnation and anyio.current_time() < until:
                attempt.link = link
                settlement, reason = await self._request_settlement(link, attempt, until)
                if settlement is not None:
                    self._apply_settlement(attempt, settlement, reason)
                if settlement is Settlement.DONE:
                    with anyio.CancelScope(deadline=until):
                        await attempt.wait()
                    if attempt.started:
                        return
        if attempt.refused is None and not attempt.failed:
            attempt.timed_out = True
            raise OutcomeUnknown("The deadline passed before the answer came.", "deadline")

    async def _request_settlement(
        self, link: Link, attempt: Attempt, deadline: float
    ) -> tuple[Settlement | None, str]:
        timeout_s = max(0.01, min(SETTLE_TIMEOUT_S, deadline - anyio.current_time()))
        try:
            reply = await link.call(Settle(attempt.request, attempt.incarnation), timeout_s)
        except LinkError:
            return None, ""
        if not isinstance(reply, Settled):
            return None, ""
        return reply.settlement, reply.reason

    def _apply_settlement(self, attempt: Attempt, settlement: Settlement, reason: str) -> None:
        if settlement is Settlement.NEVER:
            text = reason or "it did not reach the backend server"
            attempt.refused = RequestRefused(attempt.request, text, 0)
        elif settlement is Settlement.UNKNOWN:
            attempt.failed = reason or "its outcome is not known"
        attempt.settled_as_running = settlement is Settlement.RUNNING

    def _open_attempt(
        self, request: RequestId, process: ProcessId, incarnation: IncarnationId, link: Link
    ) -> Attempt:
        attempt = Attempt(request, process, incarnation, link)
        self._attempts.setdefault(request, []).append(attempt)
        return attempt

    def close_attempt(self, attempt: Attempt) -> None:
        """Remove a try; the request is cancelled if it may still run."""
        others = self._attempts.get(attempt.request)
        if others is None or attempt not in others:
            return
        others.remove(attempt)
        if not others:
            del self._attempts[attempt.request]
            if not attempt.complete and attempt.refused is None and not attempt.failed:
                self.send_best_effort(attempt.link, RequestCancel(attempt.request))

    def send_best_effort(self, link: Link, message: Message) -> None:
        """Send a message that may be lost without harm."""
        try:
            link.send_nowait(message)
        except LinkError as exc:
            log.info("%s could not be sent: %s", type(message).__name__, exc)

    def _next_id(self) -> RequestId:
        self._counter += 1
        return request_id(self.incarnation, self._counter)

    # Admission.

    def candidates(self, service: ServiceId) -> list[Candidate]:
        """Return the backend servers that may receive requests now."""
        return [
            Candidate(row.process, row.announce.slots, row.announce.connections)
            for row in self.hosts.of_service(service)
            if self._usable(row)
        ]

    def _usable(self, row: HostRow) -> bool:
        in_service = self.rules.in_service(row.announce.data_centre)
        return row.present and not row.leaving and in_service

    async def _admit(self, req: CallerRequest, avoid: set[ProcessId]) -> ProcessId:
        """Return a backend server with free capacity, waiting in the queue if necessary."""
        now = anyio.current_time()
        if now >= req.deadline:
            raise NotRun("The deadline has passed.", Refusal.EXPIRED.value)
        queues = self._queues.get(req.service)
        if queues is None:
            by_priority = self.cfg.requests.priority_queues
            queues = ClassQueues(self.cfg.limits.queue, by_priority)
            self._queues[req.service] = queues
        if not queues.size:
            process = self._choose(req.service, avoid, now)
            if process is not None:
                return process
            if not self.candidates(req.service):
                raise NotRun("No backend server is there.", "no-backend", RETRY_AFTER_S)
        queued = _QueuedRequest(Waiting(req.rules, req.deadline, now))
        refusal, shed = queues.enqueue(queued.item, now)
        if shed is not None:
            self._end_wait(shed, refusal=Refusal.SHED)
        if refusal is not None:
            raise _refusal(refusal)
        self._queued[queued.item] = queued
        try:
            await queued.event.wait()
        except BaseException:
            queues.remove(queued.item)
            self._queued.pop(queued.item, None)
            if queued.process is not None:
                self.routing.record_cancelled(queued.process)
            raise
        if queued.process is None:
            raise _refusal(queued.refusal or Refusal.SHED)
        return queued.process

    def _choose(self, service: ServiceId, avoid: set[ProcessId], now: float) -> ProcessId | None:
        """Choose a backend server and count the request as sent to it."""
        candidates = self.candidates(service)
        others = [c for c in candidates if c.process not in avoid]
        process = choose(others or candidates, self.routing, self.cfg.requests, self.rng, now)
        if process is not None:
            self.routing.record_sent(process, now)
        return process

    def _dispatch(self, service: ServiceId, queues: ClassQueues) -> None:
        """Dispatch queued requests while a backend server has free capacity."""
        now = anyio.current_time()
        while queues.size:
            process = self._choose(service, set(), now)
            if process is None:
                return
            item = queues.dequeue(now)
            assert item is not None
            self._end_wait(item, process=process)

    def _end_wait(
        self, item: Waiting, process: ProcessId | None = None, refusal: Refusal | None = None
    ) -> None:
        queued = self._queued.pop(item)
        queued.process, queued.refusal = process, refusal
        queued.event.set()

    # Idempotency keys.

    async def _try_keyed(self, req: CallerRequest) -> AnswerStream:
        """Reserve the key; send the request to its home agent, or wait for an earlier run."""
        if not self.rules.has_founders(req.service):
            # The record may exist without this entry having read it.
            raise _unknown_outcome("the service is still starting", "no-founders")
        now = anyio.current_time()
        if not self.startup_wait_over():
            raise _unknown_outcome("the entry is still starting", "entry-starting")
        if now >= req.deadline:
            raise _unknown_outcome("the deadline has passed", Refusal.EXPIRED.value)
        key, request = scoped_key(req), self._next_id()
        places = key_places(key, self._key_agents(req.service))
        steps = reserve_key(key, req.service, request, places)
        earlier: Attempt | None = None
        reply: Reply = None
        try:
            step = next(steps)
            while True:
                if isinstance(step, SettleAt):
                    if earlier is not None:
                        self.close_attempt(earlier)
                    earlier = await self._settle_earlier_run(step, req.deadline)
                    reply = _settlement(earlier)
                else:
                    reply = await self._perform_step(step)
                step = steps.send(reply)
        except StopIteration as stop:
            result = stop.value
        if isinstance(result, Granted):
            if earlier is not None:
                self.close_attempt(earlier)
            return await self._run_keyed(req, key, request, result.home, places)
        if isinstance(result, Existing) and earlier is not None:
            return await self._await_existing(earlier, req.deadline)
        assert isinstance(result, Blocked)
        if earlier is not None:
            self.close_attempt(earlier)
        raise _unknown_outcome(result.reason, "key-not-reserved")

    async def _await_existing(self, attempt: Attempt, deadline: float) -> AnswerStream:
        """Wait for the answer to an earlier request with the same key."""
        try:
            while not attempt.started:
                await self.wait_for_progress(attempt, deadline)
            return AnswerStream(self, attempt, deadline)
        except NotRun as exc:
            # The earlier request was refused after it had been settled as running.
            self.close_attempt(attempt)
            raise NotRun(str(exc), exc.reason, exc.retry_after_s) from exc
        except BaseException:
            self.close_attempt(attempt)
            raise

    async def _run_keyed(
        self, req: CallerRequest, key: KeyId, request: RequestId, home: Place, places: list[Place]
    ) -> AnswerStream:
        """Send a request whose key is reserved; release the key if the request did not run."""
        started = anyio.current_time()
        row = self.hosts.rows.get(home.process)
        attempt: Attempt | None = None
        self.routing.record_sent(home.process, started)
        try:
            if row is None or row.link is None or row.incarnation != home.incarnation:
                raise NotRun("The backend server has just gone.", "backend-gone")
            attempt = self._open_attempt(request, row.process, row.incarnation, row.link)
            return await self._send_and_wait(req, attempt)
        except NotRun:
            release = ReleaseKey(key, request)
            self._send_all(tuple((place.process, release) for place in places))
            raise
        finally:
            self._record_result(req.service, home.process, attempt, started)

    def _key_agents(self, service: ServiceId) -> list[Place]:
        """Return the agents that may remember keys.

        These are agents that are not young and are present or left within `key_memory_s`.
        """
        now = anyio.current_time()
        founders = self.rules.founders(service)
        memory_s = self.cfg.policy.key_memory_s
        rows: Iterable[HostRow] = [*self.hosts.of_service(service), *self.hosts.former_incarnations]
        places: dict[ProcessId, Place] = {}
        for row in rows:
            if row.announce.service != service:
                continue
            if row.maturity is Maturity.YOUNG and row.incarnation not in founders:
                continue
            if not row.present and now - (row.gone_at or 0.0) >= memory_s:
                continue
            # A former incarnation is a separate place that is not present.
            name = row.process if row.present else ProcessId(f"{row.process}/{row.incarnation}")
            healthy = self.routing.healthy(row.process, now)
            usable = self._usable(row)
            places[name] = Place(row.process, row.incarnation, row.present, usable, healthy)
        return list(places.values())

    async def _perform_step(self, step: Step) -> Reply:
        if isinstance(step, SendMessages):
            self._send_all(step.messages)
            return None
        assert isinstance(step, RequestReplies)
        if len(step.asks) == 1:
            return [await self._reserve(*step.asks[0])]
        replies: list[KeyReserved | None] = [None] * len(step.asks)

        async def ask(index: int) -> None:
            replies[index] = await self._reserve(*step.asks[index])

        async with anyio.create_task_group() as group:
            for index in range(len(step.asks)):
                group.start_soon(ask, index)
        return replies

    async def _reserve(self, process: ProcessId, ask: ReserveKey) -> KeyReserved | None:
        link = self._links.get(process)
        if link is None:
            return None
        try:
            reply = await link.call(ask, RESERVE_TIMEOUT_S)
        except LinkError:
            return None
        return reply if isinstance(reply, KeyReserved) else None

    def _send_all(self, messages: tuple[tuple[ProcessId, Message], ...]) -> None:
        for process, message in messages:
            link = self._links.get(process)
            if link is not None:
                self.send_best_effort(link, message)

    async def _settle_earlier_run(self, step: SettleAt, deadline: float) -> Attempt:
        """Settle an earlier request at its agent; the returned attempt receives its answer."""
        settle = step.settle
        link = self._links.get(step.process)
        attempt = self._open_attempt(
            settle.request, step.process, settle.incarnation, link or _NO_LINK
        )
        try:
            await self._settle(attempt, deadline)
        except BaseException:
            self.close_attempt(attempt)
            raise
        return attempt


class _NoLink(Link):
    """Placeholder for a link that was never opened."""

    def __init__(self) -> None:
        self.is_open = False
        self.peer = None
        self._close_reason = "there is no link"


_NO_LINK = _NoLink()

# Refusals that concern one agent or its capacity, so that another try may succeed.
RETRIED_REFUSALS = frozenset(("refused", "backend-gone", "key-not-reserved"))

_REFUSAL_TEXTS = {
    Refusal.QUEUE_FULL: "Too many requests of this class are waiting.",
    Refusal.SHED: "The request gave way to one of a higher priority.",
    Refusal.WOULD_EXPIRE: "The deadline would pass while the request waits.",
    Refusal.EXPIRED: "The deadline passed while the request waited.",
}


def _refusal(refusal: Refusal) -> RequestError:
    return NotRun(_REFUSAL_TEXTS[refusal], refusal.value, RETRY_AFTER_S)


def _unknown_outcome(cause: str, reason: str) -> OutcomeUnknown:
    """Return the error for a request that was not sent but whose key may have run before.

    Answering "not run" would let the caller choose a new key and run the same work twice.
    """
    text = f"This call was not sent, but an earlier one with its key may have run: {cause}."
    return OutcomeUnknown(text, reason, RETRY_AFTER_S)


def _settlement(attempt: Attempt) -> Settlement:
    """Return the settlement of an attempt; it is UNKNOWN if the attempt failed."""
    if attempt.refused is not None:
        return Settlement.NEVER
    if attempt.failed:
        return Settlement.UNKNOWN
    return Settlement.DONE if attempt.complete else Settlement.RUNNING


def scoped_key(req: CallerRequest) -> KeyId:
    """Return a hash of service, team and key, so that teams never share answers."""
    text = f"{req.service}\0{req.team}\0{req.key}"
    return KeyId(blake2b(text.encode(), digest_size=16).hexdigest())
