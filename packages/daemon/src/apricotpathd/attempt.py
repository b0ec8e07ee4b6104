"""One try of a request at an agent, and the answer that comes back in parts."""

from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from apricotpath.ids import IncarnationId, ProcessId, RequestId, ServiceId, TeamId
from apricotpath.link import Link
from apricotpath.messages import Header, Message, RequestRefused, ResponseAck
from apricotpath.servicerules import ClassRules

# Acknowledged this often, a large answer never waits for the agent's window of 1 MiB.
ACK_BYTES = 256 << 10
# Parts that came before an earlier one are held up to this size.
EARLY_BYTES = 2 << 20


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One caller's request with its whole body; `deadline` is monotonic seconds.

    `key` is the caller's own text, or empty for an idempotent class.
    """

    service: ServiceId
    rules: ClassRules
    team: TeamId
    key: str
    deadline: float
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes


@dataclass(eq=False, slots=True)
class Attempt:
    """One request id at one agent, and what has come back of its answer."""

    request: RequestId
    process: ProcessId
    incarnation: IncarnationId
    link: Link
    status: int = 0
    headers: tuple[Header, ...] = ()
    parts: deque[bytes] = field(default_factory=deque)
    received: int = 0
    acked: int = 0
    whole: bool = False
    refused: RequestRefused | None = None
    failed: str = ""
    total: int = -1
    early: dict[int, bytes] = field(default_factory=dict)
    early_bytes: int = 0
    following: bool = False
    timed_out: bool = False
    resends: int = 0
    event: anyio.Event = field(default_factory=anyio.Event)

    @property
    def started(self) -> bool:
        """Whether status and headers have come."""
        return self.status != 0

    @property
    def lost(self) -> bool:
        """Whether the link it was sent on has ended."""
        return not self.link.is_open

    def wake(self) -> None:
        """Wake the caller's task."""
        self.event.set()

    async def wait(self) -> None:
        """Wait until something has changed since the last call."""
        await self.event.wait()
        self.event = anyio.Event()

    def add(self, offset: int, data: bytes, final: bool, total: int) -> None:
        """Add part of the body; parts seen before are ignored and early ones wait."""
        if self.whole:
            return
        if final:
            if total != offset + len(data):
                self.failed = "the length of the answer does not match its parts"
                return
            self.total = total
        if offset > self.received:
            if self.early_bytes + len(data) <= EARLY_BYTES:
                self.early[offset] = data
                self.early_bytes += len(data)
            return
        self._append(offset, data)
        while self.early and (first := min(self.early)) <= self.received:
            early = self.early.pop(first)
            self.early_bytes -= len(early)
            self._append(first, early)
        self.whole = self.total == self.received

    def _append(self, offset: int, data: bytes) -> None:
        skip = self.received - offset
        if skip < len(data):
            self.parts.append(data[skip:] if skip else data)
            self.received = offset + len(data)


class Follower(Protocol):
    """What an answer needs of the exchange that receives it."""

    async def progress(self, attempt: "Attempt", deadline: float) -> None:
        """Wait until more of the answer has come, settling it if the link is lost."""

    def post(self, link: Link, message: Message) -> None:
        """Send a message whose loss does no harm."""

    def close_attempt(self, attempt: "Attempt") -> None:
        """Forget an attempt; an agent that still runs it is told to stop."""


class AnswerStream:
    """An answer whose start has come; `chunks` yields the rest of it.

    `whole` means that the complete body is at hand. `chunks` raises
    OutcomeUnknown if the rest does not come.
    """

    def __init__(self, exchange: Follower, attempt: Attempt, deadline: float) -> None:
        self._exchange = exchange
        self._attempt = attempt
        self._deadline = deadline
        self.request = attempt.request
        self.status = attempt.status
        self.headers = attempt.headers

    @property
    def whole(self) -> bool:
        """Whether the complete body is at hand."""
        return self._attempt.whole

    def body(self) -> bytes:
        """Return the complete body of a whole answer."""
        assert self._attempt.whole
        parts = self._attempt.parts
        return parts[0] if len(parts) == 1 else b"".join(parts)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in order, acknowledging what the caller has taken."""
        attempt = self._attempt
        taken = 0
        while True:
            while attempt.parts:
                data = attempt.parts.popleft()
                yield data
                taken += len(data)
                if taken - attempt.acked >= ACK_BYTES:
                    attempt.acked = taken
                    self._exchange.post(attempt.link, ResponseAck(attempt.request, taken))
            if attempt.whole:
                return
            await self._exchange.progress(attempt, self._deadline)

    def close(self) -> None:
        """Drop the answer; an agent that still runs the request is told to stop."""
        self._exchange.close_attempt(self._attempt)
