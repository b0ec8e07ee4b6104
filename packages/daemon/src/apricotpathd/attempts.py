"""The attempts of an entry's requests at agents: sending, answers and settlement."""

import logging
from functools import singledispatchmethod

import anyio

from apricotpath.config import LinkSettings
from apricotpath.errors import LinkError, NotRun, OutcomeUnknown
from apricotpath.ids import IncarnationId, KeyId, ProcessId, RequestId
from apricotpath.link import Link, relink_s
from apricotpath.messages import (
    KeyReserved,
    Message,
    RequestBody,
    RequestCancel,
    RequestFailed,
    RequestRefused,
    RequestStart,
    ResponseAck,
    ResponseBody,
    ResponseStart,
    Settle,
    Settled,
)
from apricotpath.model import Settlement
from apricotpath.settle import request_id
from apricotpathd.attempt import AnswerStream, Attempt, CallerRequest
from apricotpathd.hosts import HostTable

log = logging.getLogger(__name__)

CHUNK_BYTES = 64 << 10
SETTLE_TIMEOUT_S = 2.0
# Interval at which a missing link to an agent is looked for.
LINK_POLL_S = 0.05
# Extra time after the deadline for one last settle call, which tells whether the request ran.
FINAL_SETTLE_S = 1.0
# How long to wait for a missing part of an answer before asking for the whole answer again.
GAP_WAIT_S = 0.5


class Attempts:
    """The open attempts of an entry's requests, and the newest link to each agent."""

    handles: frozenset[type[Message]] = frozenset(
        (ResponseStart, ResponseBody, RequestRefused, RequestFailed, Settled, KeyReserved)
    )

    def __init__(self, cfg: LinkSettings, incarnation: IncarnationId, hosts: HostTable) -> None:
        self.links: dict[ProcessId, Link] = {}
        self._cfg, self._incarnation, self._hosts = cfg, incarnation, hosts
        self._attempts: dict[RequestId, list[Attempt]] = {}
        self._counter = 0

    # Messages of agents.

    def receive(self, body: Message, link: Link) -> None:
        """Apply a message from an agent to the attempts of its request."""
        self._handle(body, link)

    def link_opened(self, link: Link) -> None:
        """Record the newest link to a process; requests are settled over it."""
        if link.peer is not None:
            self.links[link.peer.process_id] = link

    def link_closed(self, link: Link) -> None:
        """Wake the requests that were sent on a link, so that they are settled."""
        if link.peer is not None and self.links.get(link.peer.process_id) is link:
            del self.links[link.peer.process_id]
        for attempts in self._attempts.values():
            for attempt in attempts:
                if attempt.link is link:
                    attempt.wake()

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
        row = self._hosts.rows.get(link.peer.process_id) if link.peer is not None else None
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

    async def send_and_wait(self, req: CallerRequest, attempt: Attempt) -> AnswerStream:
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
            req.key_id() if req.key else KeyId(""),
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
                await self.settle(attempt, deadline)
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
            await self.settle(attempt, deadline)

    async def settle(self, attempt: Attempt, deadline: float) -> None:
        """Settle a request over the current link to the same agent.

        Returns when the settlement is applied, or when the deadline has passed.
        """
        while anyio.current_time() < deadline:
            link = self.links.get(attempt.process)
            if link is None or not link.is_open:
                if attempt.idempotent and self._has_left(attempt.process):
                    attempt.failed = "the agent has left"
                    return
                await anyio.sleep(LINK_POLL_S)
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
        row = self._hosts.rows.get(process)
        if row is None:
            return True
        gone_s = 0.0 if row.gone_at is None else anyio.current_time() - row.gone_at
        return row.leaving and gone_s > relink_s(self._cfg)

    async def _settle_at_deadline(self, attempt: Attempt, until: float) -> None:
        """Settle a request whose deadline has passed, to learn whether it ran."""
        link = self.links.get(attempt.process)
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

    # Opening and closing.

    def open(
        self, request: RequestId, process: ProcessId, incarnation: IncarnationId, link: Link
    ) -> Attempt:
        """Open an attempt of a request at an agent."""
        attempt = Attempt(request, process, incarnation, link)
        self._attempts.setdefault(request, []).append(attempt)
        return attempt

    def close_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt; the request is cancelled if it may still run."""
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

    def next_id(self) -> RequestId:
        """Return an id that no other request has."""
        self._counter += 1
        return request_id(self._incarnation, self._counter)
