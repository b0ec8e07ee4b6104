"""Messages that spread the bundle, the data centres' statuses and the founders of services."""

from dataclasses import dataclass

from apricotpath.ids import DataCentreId, IncarnationId, ServiceId
from apricotpath.messagebase import Message
from apricotpath.model import ServiceState


@dataclass(frozen=True, slots=True)
class DataCentreStatus:
    """Service state of one data centre; a higher `seq` supersedes a lower one."""

    data_centre: DataCentreId
    seq: int
    state: ServiceState


@dataclass(frozen=True, slots=True)
class ServiceFounders:
    """The agent incarnations that a service was first started with."""

    service: ServiceId
    incarnations: tuple[IncarnationId, ...]


@dataclass(frozen=True, slots=True)
class ControlUpdate(Message):
    """The sender's control state; `bundle` is a signed envelope or empty.

    `fresh_age_ms` is how long ago the sender's last successful control read
    of the store began, or -1 when there was none.
    """

    bundle_version: int
    bundle: bytes
    statuses: tuple[DataCentreStatus, ...]
    founders: tuple[ServiceFounders, ...]
    fresh_age_ms: int


@dataclass(frozen=True, slots=True)
class ControlAck(Message):
    """Acknowledges control updates with the state in force at the sender."""

    bundle_version: int
    statuses: tuple[DataCentreStatus, ...]
