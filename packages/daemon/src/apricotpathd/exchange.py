"""The entry's part in requests: tries over links, settling, retries and keys."""

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
    AskPlaces,
    Blocked,
    Existing,
    Granted,
    Place,
    Reply,
    SettleAt,
    Step,
    TellPlaces,
    key_places,
    reserve_key,
)
from apricotpath.link import Link
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
# An agent that has not answered a reservation by then is treated as silent.
RESERVE_TIMEOUT_S = 1.0
SETTLE_TIMEOUT_S = 2.0
# At the deadline the agent is asked once more, so that the caller learns the truth.
LAST_SETTLE_S = 1.0
# Parts that came before an earlier one are held for this time.
GAP_WAIT_S = 0.5
TICK_S = 0.05
RETRY_AFTER_S = 1.0
# A new entry must not count the places of a key before every agent had time to
# dial it: one that is missing may be the one that remembers the key.
KEY_SETTLE_S = 5.0
# Failed tries are spread by up to this time, so that they do not come in step.
RETRY_PAUSE_S = 0.02


@dataclass(eq=False, slots=True)
class _Turn:
    """A request in the queue and the event that ends its wait."""

    item: Waiting
    event: anyio.Event = field(default_factory=anyio.Event)
    process: ProcessId | None = None
    refusal: Refusal | None = None


def _is_down(attempt: Attempt) -> bool:
    return attempt.refused is not None and attempt.refused.reason == BACKEND_DOWN


class Exchange:
    """Component that carries callers' requests to agents and the answers back."""

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
        self.open = 0
        self._links: dict[ProcessId, Link] = {}
        self._attempts: dict[RequestId, list[Attempt]] = {}
        self._queues: dict[ServiceId, ClassQueues] = {}
        self._turns: dict[Waiting, _Turn] = {}
        self._budgets: dict[ServiceId, RetryBudget] = {}
        self._counter = 0
        self._started_at: float | None = None
        self._idle = anyio.Event()

    # Component.

    async def run(self) -> None:
        """Move queues and expire waiting requests until cancelled."""
        self._started_at = anyio.current_time()
        while True:
            await anyio.sleep(TICK_S)
            now = anyio.current_time()
            for service, queues in self._queues.items():
                for item in queues.expire(now):
                    self._end_turn(item, refusal=Refusal.EXPIRED)
                if queues.size:
                    self._dispatch(service, queues)

    def settled(self) -> bool:
        """Tell whether agents that remember keys have had the time to announce themselves."""
        started_at = self._started_at
        return started_at is not None and anyio.current_time() - started_at >= KEY_SETTLE_S

    async def received(self, link: Link, envelope: Envelope) -> None:
        """Handle a message of an agent."""
        self._handle(envelope.body, link)

    async def link_opened(self, link: Link) -> None:
        """Remember the newest link to a process, on which requests are settled."""
        if link.peer is not None:
            self._links[link.peer.process_id] = link

    async def link_closed(self, link: Link) -> None:
        """Wake the requests that were sent on a link, so that they settle."""
        if link.peer is not None and self._links.get(link.peer.process_id) is link:
            del self._links[link.peer.process_id]
        for attempts in self._attempts.values():
            for attempt in attempts:
                if attempt.link is link:
                    attempt.wake()

    async def drain(self) -> None:
        """Return when no request is open."""
        while self.open:
            self._idle = anyio.Event()
            await self._idle.wait()

    @singledispatchmethod
    def _handle(self, body: Message, link: Link) -> None:
        """Ignore late replies to calls that have given up."""

    @_handle.register
    def _response_start(self, body: ResponseStart, link: Link) -> None:
        for attempt in self._attempts.get(body.request, ()):
            if not attempt.started:
                attempt.status, attempt.headers = body.status, body.headers
            attempt.add(0, body.body, body.body_complete, len(body.body))
            attempt.wake()

    @_handle.register
    def _response_body(self, body: ResponseBody, link: Link) -> None:
        for attempt in self._attempts.get(body.request, ()):
            attempt.add(body.offset, body.data, body.final, body.total)
            attempt.wake()

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
        left_s = max(0.0, req.deadline - anyio.current_time())
        self.record(Request(req.service, req.rules.name, req.team, deadline_s=left_s))
        self.open += 1
        try:
            return await self._tries(req, budget)
        finally:
            self.open -= 1
            if not self.open:
                self._idle.set()

    async def _tries(self, req: CallerRequest, budget: RetryBudget) -> AnswerStream:
        avoid: set[ProcessId] = set()
        tries = 0
        may_have_run: OutcomeUnknown | None = None
        while True:
            tries += 1
            try:
                if req.rules.idempotent:
                    return await self._try_any(req, avoid)
                return await self._try_keyed(req)
            except (NotRun, OutcomeUnknown) as exc:
                if isinstance(exc, OutcomeUnknown):
                    may_have_run = may_have_run or exc
                    if not req.rules.idempotent:
                        raise
                elif exc.reason not in RETRIED_REFUSALS:
                    raise may_have_run or exc from exc
                now = anyio.current_time()
                most = self.cfg.requests.max_tries
                if not may_retry(budget, tries, most, req.deadline, RETRY_PAUSE_S, now):
                    # An earlier try that may have run outweighs a later refusal.
                    raise may_have_run or exc from exc
                self.metrics.retried(req.service)
                await anyio.sleep(RETRY_PAUSE_S * self.rng.random())

    async def _try_any(self, req: CallerRequest, avoid: set[ProcessId]) -> AnswerStream:
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
            return await self._send_and_wait(req, attempt)
        finally:
            self._finished(req.service, process, attempt, started)

    def _finished(
        self, service: ServiceId, process: ProcessId, attempt: Attempt | None, started: float
    ) -> None:
        """Feed the result of a try to routing, and let the next request go."""
        now = anyio.current_time()
        if attempt is not None and attempt.started and not attempt.failed:
            self.routing.finished(process, now - started, attempt.status < 500, now)
            self.record(Answer(process, now - started, attempt.status))
        elif attempt is not None and (attempt.failed or attempt.timed_out or _is_down(attempt)):
            # A backend server that is down refuses faster than others answer. If this did
            # not count as a failure, it would have the least load and get most requests.
            self.routing.finished(process, None, False, now)
            self.record(Answer(process, now - started, 0))
        else:
            self.routing.released(process)
        queues = self._queues.get(service)
        if queues is not None and queues.size:
            self._dispatch(service, queues)

    async def _send_and_wait(self, req: CallerRequest, attempt: Attempt) -> AnswerStream:
        """Send a request and wait for the start of its answer."""
        try:
            await self._send(req, attempt)
            while not attempt.started:
                await self.progress(attempt, req.deadline)
            if not attempt.whole and attempt.received < CHUNK_BYTES:
                await self.progress(attempt, req.deadline)
            return AnswerStream(self, attempt, req.deadline)
        except BaseException:
            self.close_attempt(attempt)
            raise

    async def _send(self, req: CallerRequest, attempt: Attempt) -> None:
        """Send the request's frames; a link that ends meanwhile is settled later."""
        left_ms = max(0, int((req.deadline - anyio.current_time()) * 1000))
        first, rest = req.body[:CHUNK_BYTES], len(req.body) > CHUNK_BYTES
        start = RequestStart(
            attempt.request,
            req.service,
            req.rules.name,
            req.team,
            scoped_key(req) if req.key else KeyId(""),
            req.rules.idempotent,
            left_ms,
            req.method,
            req.path,
            req.headers,
            first,
            not rest,
        )
        try:
            await attempt.link.send(start)
            for offset in range(CHUNK_BYTES, len(req.body) if rest else 0, CHUNK_BYTES):
                data = req.body[offset : offset + CHUNK_BYTES]
                final = offset + len(data) == len(req.body)
                total = len(req.body) if final else 0
                await attempt.link.send(RequestBody(attempt.request, offset, data, final, total))
        except LinkError as exc:
            log.info("a request is to be settled: %s", exc, extra={"request": attempt.request})

    async def progress(self, attempt: Attempt, deadline: float) -> None:
        """Wait until more of an answer has come.

        Raises NotRun after a refusal and OutcomeUnknown when no whole answer
        can come any more.
        """
        had = (attempt.received, attempt.whole, attempt.started)
        while True:
            if (attempt.received, attempt.whole, attempt.started) != had:
                return
            if attempt.refused is not None:
                reason = attempt.refused.reason
                wait_s = attempt.refused.retry_after_ms / 1000
                raise NotRun(f"The request did not run: {reason}.", "refused", wait_s)
            if attempt.failed:
                raise OutcomeUnknown(f"There is no whole answer: {attempt.failed}.", "failed")
            now = anyio.current_time()
            if now >= deadline:
                await self._settle_at_deadline(attempt, deadline + LAST_SETTLE_S)
            elif attempt.lost:
                await self._settle(attempt, deadline)
            elif attempt.early and not attempt.following:
                await self._wait_for_gap(attempt, deadline)
            else:
                with anyio.CancelScope(deadline=deadline):
                    await attempt.wait()

    async def _wait_for_gap(self, attempt: Attempt, deadline: float) -> None:
        """Wait a little for a part that is missing, then ask for the answer again."""
        # Each time the answer is asked for again, twice as long is left for it to come.
        wait_s = GAP_WAIT_S * 2**attempt.resends
        attempt.resends += 1
        received, until = attempt.received, anyio.current_time() + wait_s
        with anyio.CancelScope(deadline=min(until, deadline)):
            while attempt.received == received and not attempt.failed and not attempt.lost:
                await attempt.wait()
            return
        if anyio.current_time() < deadline:
            await self._settle(attempt, deadline)

    async def _settle(self, attempt: Attempt, deadline: float) -> None:
        """Ask for a request again over the present link to the same agent.

        Returns when the answer follows, or when the deadline has passed.
        """
        while anyio.current_time() < deadline:
            link = self._links.get(attempt.process)
            if link is None or not link.is_open:
                await anyio.sleep(TICK_S)
                continue
            assert link.peer is not None
            if link.peer.incarnation != attempt.incarnation:
                attempt.failed = "the agent has restarted since"
                return
            attempt.link = link
            settlement, reason = await self._ask(link, attempt, deadline)
            if settlement is not None:
                self._apply(attempt, settlement, reason)
                return

    async def _settle_at_deadline(self, attempt: Attempt, until: float) -> None:
        """Find out, once the deadline has passed, whether the request ran."""
        link = self._links.get(attempt.process)
        present = link is not None and link.is_open and link.peer is not None
        if present and link is not None and link.peer is not None:
            same = link.peer.incarnation == attempt.incarnation
            if same and anyio.current_time() < until:
                attempt.link = link
                settlement, reason = await self._ask(link, attempt, until)
                if settlement is not None:
                    self._apply(attempt, settlement, reason)
                if settlement is Settlement.DONE:
                    with anyio.CancelScope(deadline=until):
                        await attempt.wait()
                    if attempt.started:
                        return
        if attempt.refused is None and not attempt.failed:
            attempt.timed_out = True
            raise OutcomeUnknown("The deadline passed before the answer came.", "deadline")

    async def _ask(
        self, link: Link, attempt: Attempt, deadline: float
    ) -> tuple[Settlement | None, str]:
        left = max(0.01, min(SETTLE_TIMEOUT_S, deadline - anyio.current_time()))
        try:
            reply = await link.call(Settle(attempt.request, attempt.incarnation), left)
        except LinkError:
            return None, ""
        if not isinstance(reply, Settled):
            return None, ""
        return reply.settlement, reply.reason

    def _apply(self, attempt: Attempt, settlement: Settlement, reason: str) -> None:
        if settlement is Settlement.NEVER:
            text = reason or "it did not reach the backend server"
            attempt.refused = RequestRefused(attempt.request, text, 0)
        elif settlement is Settlement.UNKNOWN:
            attempt.failed = reason or "its outcome is not known"
        attempt.following = settlement is Settlement.RUNNING

    def _open_attempt(
        self, request: RequestId, process: ProcessId, incarnation: IncarnationId, link: Link
    ) -> Attempt:
        attempt = Attempt(request, process, incarnation, link)
        self._attempts.setdefault(request, []).append(attempt)
        return attempt

    def close_attempt(self, attempt: Attempt) -> None:
        """Forget a try; one that may still run is cancelled."""
        others = self._attempts.get(attempt.request)
        if others is None or attempt not in others:
            return
        others.remove(attempt)
        if not others:
            del self._attempts[attempt.request]
            if not attempt.whole and attempt.refused is None and not attempt.failed:
                self.post(attempt.link, RequestCancel(attempt.request))

    def post(self, link: Link, message: Message) -> None:
        """Send a message whose loss does no harm."""
        try:
            link.send_nowait(message)
        except LinkError as exc:
            log.info("%s could not be sent: %s", type(message).__name__, exc)

    def _next_id(self) -> RequestId:
        self._counter += 1
        return request_id(self.incarnation, self._counter)

    # Admission.

    def candidates(self, service: ServiceId) -> list[Candidate]:
        """Return the backend servers that may take a request now."""
        return [
            Candidate(row.process, row.announce.slots, row.announce.connections)
            for row in self.hosts.of_service(service)
            if self._usable(row)
        ]

    def _usable(self, row: HostRow) -> bool:
        in_service = self.rules.in_service(row.announce.data_centre)
        return row.present and not row.leaving and in_service

    async def _admit(self, req: CallerRequest, avoid: set[ProcessId]) -> ProcessId:
        """Return a backend server with room, after a wait in the queue if need be."""
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
        turn = _Turn(Waiting(req.rules, req.deadline, now))
        refusal, shed = queues.offer(turn.item, now)
        if shed is not None:
            self._end_turn(shed, refusal=Refusal.SHED)
        if refusal is not None:
            raise _refusal(refusal)
        self._turns[turn.item] = turn
        try:
            await turn.event.wait()
        except BaseException:
            queues.remove(turn.item)
            self._turns.pop(turn.item, None)
            if turn.process is not None:
                self.routing.released(turn.process)
            raise
        if turn.process is None:
            raise _refusal(turn.refusal or Refusal.SHED)
        return turn.process

    def _choose(self, service: ServiceId, avoid: set[ProcessId], now: float) -> ProcessId | None:
        """Choose a backend server and count the request as sent to it."""
        candidates = self.candidates(service)
        others = [c for c in candidates if c.process not in avoid]
        process = choose(others or candidates, self.routing, self.cfg.requests, self.rng, now)
        if process is not None:
            self.routing.sent(process, now)
        return process

    def _dispatch(self, service: ServiceId, queues: ClassQueues) -> None:
        """Let waiting requests go while a backend server has room."""
        now = anyio.current_time()
        while queues.size:
            process = self._choose(service, set(), now)
            if process is None:
                return
            item = queues.take(now)
            assert item is not None
            self._end_turn(item, process=process)

    def _end_turn(
        self, item: Waiting, process: ProcessId | None = None, refusal: Refusal | None = None
    ) -> None:
        turn = self._turns.pop(item)
        turn.process, turn.refusal = process, refusal
        turn.event.set()

    # Idempotency keys.

    async def _try_keyed(self, req: CallerRequest) -> AnswerStream:
        """Reserve the key, then send the request to its home or follow an earlier run."""
        if not self.rules.has_founders(req.service):
            raise NotRun("The service is still starting.", "no-founders", RETRY_AFTER_S)
        now = anyio.current_time()
        if not self.settled():
            raise _not_vouched("the entry is still starting", "entry-starting")
        if now >= req.deadline:
            raise _not_vouched("the deadline has passed", Refusal.EXPIRED.value)
        key, request = scoped_key(req), self._next_id()
        places = key_places(key, self._key_agents(req.service))
        steps = reserve_key(key, req.service, request, places)
        followed: Attempt | None = None
        reply: Reply = None
        try:
            step = next(steps)
            while True:
                if isinstance(step, SettleAt):
                    if followed is not None:
                        self.close_attempt(followed)
                    followed = await self._follow(step, req.deadline)
                    reply = _settlement(followed)
                else:
                    reply = await self._step(step)
                step = steps.send(reply)
        except StopIteration as stop:
            result = stop.value
        if isinstance(result, Granted):
            if followed is not None:
                self.close_attempt(followed)
            return await self._run_keyed(req, key, request, result.home, places)
        if isinstance(result, Existing) and followed is not None:
            return await self._await_existing(followed, req.deadline)
        assert isinstance(result, Blocked)
        if followed is not None:
            self.close_attempt(followed)
        raise _not_vouched(result.reason, "key-not-reserved")

    async def _await_existing(self, attempt: Attempt, deadline: float) -> AnswerStream:
        """Wait for the answer of an earlier request with the same key."""
        try:
            while not attempt.started:
                await self.progress(attempt, deadline)
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
        """Send a request whose key is reserved; give the key back if it never ran."""
        started = anyio.current_time()
        row = self.hosts.rows.get(home.process)
        attempt: Attempt | None = None
        self.routing.sent(home.process, started)
        try:
            if row is None or row.link is None or row.incarnation != home.incarnation:
                raise NotRun("The backend server has just gone.", "backend-gone")
            attempt = self._open_attempt(request, row.process, row.incarnation, row.link)
            return await self._send_and_wait(req, attempt)
        except NotRun:
            release = ReleaseKey(key, request)
            self._tell(tuple((place.process, release) for place in places))
            raise
        finally:
            self._finished(req.service, home.process, attempt, started)

    def _key_agents(self, service: ServiceId) -> list[Place]:
        """Return the agents that may hold keys: not young, present or gone only lately."""
        now = anyio.current_time()
        founders = self.rules.founders(service)
        memory_s = self.cfg.policy.key_memory_s
        rows: Iterable[HostRow] = [*self.hosts.of_service(service), *self.hosts.former]
        places: dict[ProcessId, Place] = {}
        for row in rows:
            if row.announce.service != service:
                continue
            if row.maturity is Maturity.YOUNG and row.incarnation not in founders:
                continue
            if not row.present and now - (row.gone_at or 0.0) >= memory_s:
                continue
            # A former incarnation counts as a place that is not present.
            name = row.process if row.present else ProcessId(f"{row.process}/{row.incarnation}")
            healthy = self.routing.healthy(row.process, now)
            usable = self._usable(row)
            places[name] = Place(row.process, row.incarnation, row.present, usable, healthy)
        return list(places.values())

    async def _step(self, step: Step) -> Reply:
        if isinstance(step, TellPlaces):
            self._tell(step.messages)
            return None
        assert isinstance(step, AskPlaces)
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

    def _tell(self, messages: tuple[tuple[ProcessId, Message], ...]) -> None:
        for process, message in messages:
            link = self._links.get(process)
            if link is not None:
                self.post(link, message)

    async def _follow(self, step: SettleAt, deadline: float) -> Attempt:
        """Settle an earlier request at its home; its answer comes to the attempt."""
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
    """Stands for a link that never opened."""

    def __init__(self) -> None:
        self.is_open = False
        self.peer = None
        self._close_reason = "there is no link"


_NO_LINK = _NoLink()

# Refusals by one agent or lack of room there, where another try may succeed.
RETRIED_REFUSALS = frozenset(("refused", "backend-gone", "key-not-reserved"))

_REFUSAL_TEXTS = {
    Refusal.QUEUE_FULL: "Too many requests of this class are waiting.",
    Refusal.SHED: "The request gave way to one of a higher priority.",
    Refusal.WOULD_EXPIRE: "The deadline would pass while the request waits.",
    Refusal.EXPIRED: "The deadline passed while the request waited.",
}


def _refusal(refusal: Refusal) -> RequestError:
    return NotRun(_REFUSAL_TEXTS[refusal], refusal.value, RETRY_AFTER_S)


def _not_vouched(why: str, reason: str) -> OutcomeUnknown:
    """Return the error for a call that was not sent, when its key may have run before.

    "Not run" would let the caller take a new key and run the same work twice.
    """
    text = f"This call was not sent, but an earlier one with its key may have run: {why}."
    return OutcomeUnknown(text, reason, RETRY_AFTER_S)


def _settlement(attempt: Attempt) -> Settlement:
    """Return what settling has found; without an answer the outcome is unknown."""
    if attempt.refused is not None:
        return Settlement.NEVER
    if attempt.failed:
        return Settlement.UNKNOWN
    return Settlement.DONE if attempt.whole else Settlement.RUNNING


def scoped_key(req: CallerRequest) -> KeyId:
    """Return the key within its service and team, so that teams never share answers."""
    text = f"{req.service}\0{req.team}\0{req.key}"
    return KeyId(blake2b(text.encode(), digest_size=16).hexdigest())
