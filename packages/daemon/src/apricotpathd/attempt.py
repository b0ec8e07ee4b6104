"""One try of a request at an agent, and its answer, which arrives in parts."""

from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Protocol

import anyio

from apricotpath.ids import IncarnationId, KeyId, ProcessId, RequestId, ServiceId, TeamId
from apricotpath.link import Link
from apricotpath.messages import Header, Message, RequestRefused, ResponseAck
from apricotpath.servicerules import ClassRules

# Interval of acknowledgements; far below the agent's send window of 1 MiB, so that the
# agent never has to wait for one.
ACK_BYTES = 256 << 10
# Limit on buffered parts that arrived out of order.
MAX_OUT_OF_ORDER_BYTES = 2 << 20


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One caller's request with its complete body; `deadline` is monotonic seconds.

    `key` is the idempotency key as the caller sent it, or empty for an idempotent class.
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

    def key_id(self) -> KeyId:
        """Return a hash of service, team and key, so that teams never share answers."""
        text = f"{self.service}\0{self.team}\0{self.key}"
        return KeyId(blake2b(text.encode(), digest_size=16).hexdigest())


@dataclass(eq=False, slots=True)
class Attempt:
    """One request id at one agent, and the part of its answer received so far.

    `idempotent` tells whether the request may also run at another agent.
    """

    request: RequestId
    process: ProcessId
    incarnation: IncarnationId
    link: Link
    idempotent: bool = False
    status: int = 0
    headers: tuple[Header, ...] = ()
    parts: deque[bytes] = field(default_factory=deque)
    received: int = 0
    acked: int = 0
    complete: bool = False
    refused: RequestRefused | None = None
    failed: str = ""
    total: int = -1
    out_of_order: dict[int, bytes] = field(default_factory=dict)
    out_of_order_bytes: int = 0
    settled_as_running: bool = False
    timed_out: bool = False
    resends: int = 0
    event: anyio.Event = field(default_factory=anyio.Event)

    @property
    def started(self) -> bool:
        """Whether status and headers have arrived."""
        return self.status != 0

    @property
    def link_ended(self) -> bool:
        """Whether the link that the request was sent on has closed."""
        return not self.link.is_open

    def wake(self) -> None:
        """Wake the task that waits for the answer."""
        self.event.set()

    async def wait(self) -> None:
        """Wait until something has changed since the last call."""
        await self.event.wait()
        self.event = anyio.Event()

    def add(self, offset: int, data: bytes, final: bool, total: int) -> None:
        """Add a part of the body; repeated parts are ignored, out-of-order ones buffered."""
        if self.complete:
            return
        if final:
            if total != offset + len(data):
                self.failed = "the length of the answer does not match its parts"
                return
            self.total = total
        if offset > self.received:
            if self.out_of_order_bytes + len(data) <= MAX_OUT_OF_ORDER_BYTES:
                self.out_of_order[offset] = data
                self.out_of_order_bytes += len(data)
            return
        self._append(offset, data)
        while self.out_of_order and (first := min(self.out_of_order)) <= self.received:
            out_of_order = self.out_of_order.pop(first)
            self.out_of_order_bytes -= len(out_of_order)
            self._append(first, out_of_order)
        self.complete = self.total == self.received

    def _append(self, offset: int, data: bytes) -> None:
        skip = self.received - offset
        if skip < len(data):
            self.parts.append(data[skip:] if skip else data)
            self.received = offset + len(data)


class AnswerSource(Protocol):
    """The operations on attempts that an AnswerStream uses."""

    async def wait_for_progress(self, attempt: "Attempt", deadline: float) -> None:
        """Wait until more of the answer has arrived; settle the request if its link closed."""

    def send_best_effort(self, link: Link, message: Message) -> None:
        """Send a message that may be lost without harm."""

    def close_attempt(self, attempt: "Attempt") -> None:
        """Remove an attempt; an agent that still runs it is asked to cancel it."""


class AnswerStream:
    """An answer whose status and headers have arrived; `chunks` yields its body.

    `complete` tells whether the entire body has arrived. `chunks` raises
    OutcomeUnknown if the rest of the body does not arrive.
    """

    def __init__(self, source: AnswerSource, attempt: Attempt, deadline: float) -> None:
        self._source = source
        self._attempt = attempt
        self._deadline = deadline
        self.request = attempt.request
        self.status = attempt.status
        self.headers = attempt.headers

    @property
    def complete(self) -> bool:
        """Whether the entire body has arrived."""
        return self._attempt.complete

    def body(self) -> bytes:
        """Return the body; the answer must be complete."""
        assert self._attempt.complete
        parts = self._attempt.parts
        return parts[0] if len(parts) == 1 else b"".join(parts)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in order, and acknowledge the bytes that the caller has consumed."""
        attempt = self._attempt
        consumed = 0
        while True:
            while attempt.parts:
                data = attempt.parts.popleft()
                yield data
                consumed += len(data)
                if consumed - attempt.acked >= ACK_BYTES:
                    attempt.acked = consumed
                    self._source.send_best_effort(
                        attempt.link, ResponseAck(attempt.request, consumed)
                    )
            if attempt.complete:
                return
            await self._source.wait_for_progress(attempt, self._deadline)

    def close(self) -> None:
        """Close the answer; an agent that still runs the request is asked to cancel it."""
        self._source.close_attempt(self._attempt)
