"""Forwards answers of a backend server to the entry that waits for them."""

from dataclasses import dataclass, field

import anyio
from httpx import Response

from apricotpath.config import LimitSettings
from apricotpath.errors import LinkError
from apricotpath.link import Link
from apricotpath.messages import Header, RequestStart, ResponseBody, ResponseStart
from apricotpath.settle import Answer

# An answer up to this size is sent in one frame, a larger one in chunks of this size.
CHUNK_BYTES = 64 << 10
# Limit on the bytes of an answer that are sent but not acknowledged by the caller's entry.
SEND_WINDOW_BYTES = 1 << 20
HOP_BY_HOP = frozenset(
    ("connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding")
)
TOO_LARGE = "the answer was too large to be kept"


@dataclass(eq=False, slots=True)
class AdmittedRequest:
    """One admitted request and the links that its answer is sent to.

    `total` is the length of the answer in bytes, -1 until it is known. `confirmed` tells
    whether an entry has acknowledged all of it.
    """

    start: RequestStart
    link: Link
    deadline: float
    body: bytearray
    complete: bool
    running: bool = False
    acked: int = 0
    total: int = -1
    confirmed: bool = False
    ack_event: anyio.Event | None = None
    scope: anyio.CancelScope | None = None
    waiting_links: list[Link] = field(default_factory=list)


class AnswerForwarder:
    """Forwards one answer from the backend server to a link, and keeps a copy.

    If the link closes, it reads the rest of the answer, so that the answer can be kept.
    """

    def __init__(
        self, limits: LimitSettings, admitted: AdmittedRequest, response: Response
    ) -> None:
        self.limits = limits
        self.admitted = admitted
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
        """Return the entire answer, or None and the reason if it was too large to keep."""
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
        self.admitted.total = self.total
        await self._send(bytes(unsent), True)
        if self.total > self.limits.kept_answer:
            return None, TOO_LARGE
        return Answer(self.response.status_code, self.headers, bytes(self.kept)), ""

    async def _send(self, data: bytes, final: bool) -> None:
        """Send the next part; the first one is sent with the status and headers."""
        admitted, request = self.admitted, self.admitted.start.request
        offset = max(self.sent, 0)
        try:
            if self.sent < 0:
                status = self.response.status_code
                await admitted.link.send(ResponseStart(request, status, self.headers, data, final))
            else:
                while admitted.link.is_open and offset - admitted.acked > SEND_WINDOW_BYTES:
                    admitted.ack_event = anyio.Event()
                    await admitted.ack_event.wait()
                total = self.total if final else 0
                await admitted.link.send(ResponseBody(request, offset, data, final, total))
        except LinkError:
            # The entry will request the answer over its next link.
            pass
        self.sent = offset + len(data)
