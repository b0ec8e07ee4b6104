"""Messages of requests and idempotency keys, between an entry and an agent."""

from dataclasses import dataclass

from apricotpath.ids import ClassId, IncarnationId, KeyId, ProcessId, RequestId, ServiceId, TeamId
from apricotpath.messagebase import Message
from apricotpath.model import KeyState, Maturity, Settlement


@dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header field."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class RequestStart(Message):
    """Start of a request; `deadline_ms` is the time left until its deadline when it was sent.

    `body` is the first part of the body. RequestBody messages carry the rest
    unless `body_complete` is set, so a small request needs one frame.
    """

    request: RequestId
    service: ServiceId
    request_class: ClassId
    team: TeamId
    key: KeyId
    idempotent: bool
    deadline_ms: int
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes = b""
    body_complete: bool = False


@dataclass(frozen=True, slots=True)
class RequestBody(Message):
    """Part of a request body at a byte offset; `total` is set when `final`."""

    request: RequestId
    offset: int
    data: bytes
    final: bool
    total: int


@dataclass(frozen=True, slots=True)
class ResponseStart(Message):
    """Status and headers of the backend server's response.

    `body` is the first part of the body. ResponseBody messages carry the rest
    unless `body_complete` is set, so a small response needs one frame.
    """

    request: RequestId
    status: int
    headers: tuple[Header, ...]
    body: bytes = b""
    body_complete: bool = False


@dataclass(frozen=True, slots=True)
class ResponseBody(Message):
    """Part of a response body at a byte offset; `total` is set when `final`."""

    request: RequestId
    offset: int
    data: bytes
    final: bool
    total: int


@dataclass(frozen=True, slots=True)
class ResponseAck(Message):
    """Flow control: the caller has consumed the body up to `offset`; the agent may send more."""

    request: RequestId
    offset: int


@dataclass(frozen=True, slots=True)
class RequestRefused(Message):
    """The request did not run at this agent and never will."""

    request: RequestId
    reason: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class RequestFailed(Message):
    """The request reached the backend server, but there is no complete response."""

    request: RequestId
    reason: str


@dataclass(frozen=True, slots=True)
class RequestCancel(Message):
    """Cancels a request whose caller has disconnected or whose deadline has passed."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class Settle(Message):
    """Asks for the outcome of a request that was sent to an incarnation of an agent."""

    request: RequestId
    incarnation: IncarnationId


@dataclass(frozen=True, slots=True)
class Settled(Message):
    """Reply to `Settle`; after DONE the stored response follows on the same link."""

    request: RequestId
    settlement: Settlement
    reason: str


@dataclass(frozen=True, slots=True)
class ReserveKey(Message):
    """Reserves an idempotency key for a request that will run at `home`."""

    key: KeyId
    service: ServiceId
    request: RequestId
    home: ProcessId
    home_incarnation: IncarnationId


@dataclass(frozen=True, slots=True)
class KeyReserved(Message):
    """Reply to `ReserveKey`; the last three fields describe the reservation in force."""

    key: KeyId
    state: KeyState
    maturity: Maturity
    request: RequestId
    home: ProcessId
    home_incarnation: IncarnationId


@dataclass(frozen=True, slots=True)
class ReleaseKey(Message):
    """Releases a reservation whose request was never sent."""

    key: KeyId
    request: RequestId
