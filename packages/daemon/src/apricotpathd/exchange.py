"""The entry's request path: which backend server gets a request, and retries."""

from random import Random

import anyio

from apricotpath.codec import Envelope
from apricotpath.config import EntrySettings
from apricotpath.errors import NotRun, OutcomeUnknown
from apricotpath.ids import IncarnationId, ProcessId, ServiceId
from apricotpath.link import Link
from apricotpath.messages import Message
from apricotpath.metrics import Metrics
from apricotpath.retry import RetryBudget, may_retry
from apricotpath.routing import BACKEND_DOWN, RoutingTable
from apricotpath.servicerules import RequestRules
from apricotpath.trace import Answer, Request
from apricotpathd.attempt import AnswerStream, Attempt, CallerRequest
from apricotpathd.attempts import Attempts
from apricotpathd.hosts import HostTable
from apricotpathd.keyedrequests import KeyedRequests
from apricotpathd.requestqueues import RequestQueues
from apricotpathd.tracing import RecordEvent, no_trace

TICK_S = 0.05
# A new entry reserves no keys until every agent has had time to dial it: an agent that is
# not linked yet may be the one that remembers the key.
ANNOUNCE_WAIT_S = 5.0
# Upper bound of the random pause before a retry, so that failed requests do not retry together.
RETRY_PAUSE_S = 0.02
# Refusals that concern one agent or its capacity, so that another try may succeed.
RETRIED_REFUSALS = frozenset(("refused", "backend-gone", "key-not-reserved"))


def _is_down(attempt: Attempt) -> bool:
    return attempt.refused is not None and attempt.refused.reason == BACKEND_DOWN


class Exchange:
    """Component that forwards callers' requests to agents and returns the answers."""

    handles: frozenset[type[Message]] = Attempts.handles

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
        self.hosts = hosts
        self.metrics = metrics
        self.rng = rng
        self.routing = RoutingTable()
        self.record: RecordEvent = no_trace
        self.open_requests = 0
        self.attempts = Attempts(cfg.link, incarnation, hosts)
        self.queues = RequestQueues(cfg, rules, hosts, self.routing, rng)
        self._keyed = KeyedRequests(
            self.queues, self.attempts, self.record_result, self.startup_wait_over
        )
        self._budgets: dict[ServiceId, RetryBudget] = {}
        self._started_at: float | None = None
        self._idle = anyio.Event()

    # Component.

    async def run(self) -> None:
        """Dispatch and expire queued requests until cancelled."""
        self._started_at = anyio.current_time()
        while True:
            await anyio.sleep(TICK_S)
            self.queues.tick(anyio.current_time())

    def startup_wait_over(self) -> bool:
        """Tell whether agents that remember keys have had enough time to announce themselves."""
        started_at = self._started_at
        return started_at is not None and anyio.current_time() - started_at >= ANNOUNCE_WAIT_S

    async def received(self, link: Link, envelope: Envelope) -> None:
        """Handle a message from an agent."""
        self.attempts.receive(envelope.body, link)

    async def link_opened(self, link: Link) -> None:
        """Record the newest link to a process."""
        self.attempts.link_opened(link)

    async def link_closed(self, link: Link) -> None:
        """Settle the requests that were sent on a link."""
        self.attempts.link_closed(link)

    async def drain(self) -> None:
        """Return when no request is open."""
        while self.open_requests:
            self._idle = anyio.Event()
            await self._idle.wait()

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
                return await self._keyed.request(req)
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
        process = await self.queues.admit(req, avoid)
        avoid.add(process)
        attempt: Attempt | None = None
        started = anyio.current_time()
        try:
            row = self.hosts.rows.get(process)
            if row is None or row.link is None:
                raise NotRun("The backend server has just gone.", "backend-gone")
            attempts = self.attempts
            attempt = attempts.open(attempts.next_id(), row.process, row.incarnation, row.link)
            attempt.idempotent = True
            return await attempts.send_and_wait(req, attempt)
        finally:
            self.record_result(req.service, process, attempt, started)

    def record_result(
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
        self.queues.dispatch(service)
