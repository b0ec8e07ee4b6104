"""Requests that are not idempotent, whose keys are reserved at agents before they are sent."""

from collections.abc import Callable, Iterable

import anyio

from apricotpath.admission import Refusal
from apricotpath.errors import LinkError, NotRun
from apricotpath.ids import KeyId, ProcessId, RequestId, ServiceId
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
from apricotpath.link import Link
from apricotpath.messages import KeyReserved, Message, ReleaseKey, ReserveKey
from apricotpath.model import Maturity, Settlement
from apricotpathd.attempt import AnswerStream, Attempt, CallerRequest
from apricotpathd.attempts import Attempts
from apricotpathd.hosts import HostRow
from apricotpathd.requesterrors import key_may_have_run
from apricotpathd.requestqueues import RequestQueues

# An agent that has not replied to a reservation within this time counts as unreachable.
RESERVE_TIMEOUT_S = 1.0


class _NoLink(Link):
    """Placeholder for a link that was never opened."""

    def __init__(self) -> None:
        self.is_open = False
        self.peer = None
        self._close_reason = "there is no link"


_NO_LINK = _NoLink()


# Reports the result of a try that began at a monotonic time (seconds).
RecordResult = Callable[[ServiceId, ProcessId, Attempt | None, float], None]


class KeyedRequests:
    """Sends requests with idempotency keys, each key to one run at most.

    `startup_wait_over` tells whether agents that remember keys had enough time to connect.
    """

    def __init__(
        self,
        queues: RequestQueues,
        attempts: Attempts,
        record_result: RecordResult,
        startup_wait_over: Callable[[], bool],
    ) -> None:
        self._queues, self._attempts = queues, attempts
        self._record_result, self._startup_wait_over = record_result, startup_wait_over

    async def request(self, req: CallerRequest) -> AnswerStream:
        """Reserve the key; send the request to its home agent, or wait for an earlier run."""
        if not self._queues.rules.has_founders(req.service):
            # The record may exist without this entry having read it.
            raise key_may_have_run("the service is still starting", "no-founders")
        now = anyio.current_time()
        if not self._startup_wait_over():
            raise key_may_have_run("the entry is still starting", "entry-starting")
        if now >= req.deadline:
            raise key_may_have_run("the deadline has passed", Refusal.EXPIRED.value)
        key, request = req.key_id(), self._attempts.next_id()
        places = key_places(key, self._key_agents(req.service))
        steps = reserve_key(key, req.service, request, places)
        earlier: Attempt | None = None
        reply: Reply = None
        try:
            step = next(steps)
            while True:
                if isinstance(step, SettleAt):
                    if earlier is not None:
                        self._attempts.close_attempt(earlier)
                    earlier = await self._settle_earlier_run(step, req.deadline)
                    reply = _settlement(earlier)
                else:
                    reply = await self._perform_step(step)
                step = steps.send(reply)
        except StopIteration as stop:
            result = stop.value
        if isinstance(result, Granted):
            if earlier is not None:
                self._attempts.close_attempt(earlier)
            return await self._run_keyed(req, key, request, result.home, places)
        if isinstance(result, Existing) and earlier is not None:
            return await self._await_existing(earlier, req.deadline)
        assert isinstance(result, Blocked)
        if earlier is not None:
            self._attempts.close_attempt(earlier)
        raise key_may_have_run(result.reason, "key-not-reserved")

    async def _await_existing(self, attempt: Attempt, deadline: float) -> AnswerStream:
        """Wait for the answer to an earlier request with the same key."""
        try:
            while not attempt.started:
                await self._attempts.wait_for_progress(attempt, deadline)
            return AnswerStream(self._attempts, attempt, deadline)
        except NotRun as exc:
            # The earlier request was refused after it had been settled as running.
            self._attempts.close_attempt(attempt)
            raise NotRun(str(exc), exc.reason, exc.retry_after_s) from exc
        except BaseException:
            self._attempts.close_attempt(attempt)
            raise

    async def _run_keyed(
        self, req: CallerRequest, key: KeyId, request: RequestId, home: Place, places: list[Place]
    ) -> AnswerStream:
        """Send a request whose key is reserved; release the key if the request did not run."""
        started = anyio.current_time()
        row = self._queues.hosts.rows.get(home.process)
        attempt: Attempt | None = None
        self._queues.routing.record_sent(home.process, started)
        try:
            if row is None or row.link is None or row.incarnation != home.incarnation:
                raise NotRun("The backend server has just gone.", "backend-gone")
            attempt = self._attempts.open(request, row.process, row.incarnation, row.link)
            return await self._attempts.send_and_wait(req, attempt)
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
        founders = self._queues.rules.founders(service)
        memory_s = self._queues.cfg.policy.key_memory_s
        rows: Iterable[HostRow] = [
            *self._queues.hosts.of_service(service),
            *self._queues.hosts.former_incarnations,
        ]
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
            healthy = self._queues.routing.healthy(row.process, now)
            usable = self._queues.usable(row)
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
        link = self._attempts.links.get(process)
        if link is None:
            return None
        try:
            reply = await link.call(ask, RESERVE_TIMEOUT_S)
        except LinkError:
            return None
        return reply if isinstance(reply, KeyReserved) else None

    def _send_all(self, messages: tuple[tuple[ProcessId, Message], ...]) -> None:
        for process, message in messages:
            link = self._attempts.links.get(process)
            if link is not None:
                self._attempts.send_best_effort(link, message)

    async def _settle_earlier_run(self, step: SettleAt, deadline: float) -> Attempt:
        """Settle an earlier request at its agent; the returned attempt receives its answer."""
        settle = step.settle
        link = self._attempts.links.get(step.process)
        attempt = self._attempts.open(
            settle.request, step.process, settle.incarnation, link or _NO_LINK
        )
        try:
            await self._attempts.settle(attempt, deadline)
        except BaseException:
            self._attempts.close_attempt(attempt)
            raise
        return attempt


def _settlement(attempt: Attempt) -> Settlement:
    """Return the settlement of an attempt; it is UNKNOWN if the attempt failed."""
    if attempt.refused is not None:
        return Settlement.NEVER
    if attempt.failed:
        return Settlement.UNKNOWN
    return Settlement.DONE if attempt.complete else Settlement.RUNNING
