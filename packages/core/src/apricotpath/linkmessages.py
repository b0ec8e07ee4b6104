"""Messages that any two linked processes exchange."""

from dataclasses import dataclass

from apricotpath.controlmessages import DataCentreStatus
from apricotpath.ids import DataCentreId, IncarnationId, ProcessId
from apricotpath.messagebase import Message
from apricotpath.model import Role


@dataclass(frozen=True, slots=True)
class Hello(Message):
    """First message in both directions of a link."""

    protocol: int
    role: Role
    process_id: ProcessId
    incarnation: IncarnationId
    data_centre: DataCentreId


@dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """Sent every `LinkSettings.heartbeat_s`; `worker_clock_ms` is 0 if an entry is the sender."""

    seq: int
    worker_clock_ms: int
    bundle_version: int
    statuses: tuple[DataCentreStatus, ...]


@dataclass(frozen=True, slots=True)
class Leaving(Message):
    """The sender accepts no new work from now on."""

    reason: str


@dataclass(frozen=True, slots=True)
class Failure(Message):
    """Error reply to a call, or the reason why the sender closes the link."""

    code: str
    text: str
