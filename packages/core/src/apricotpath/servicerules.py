"""Rules of a service and its request classes, as defined by the bundle."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from apricotpath.ids import ClassId, DataCentreId, IncarnationId, ServiceId
from apricotpath.model import Size


@dataclass(frozen=True, slots=True)
class ClassRules:
    """Rules of one request class; priority 0 is the highest and is shed last.

    `deadline_s` applies when the caller sets none, and `queue` is the maximum
    number of requests of the class that may wait at one entry.
    """

    name: ClassId
    priority: int
    idempotent: bool
    deadline_s: float
    queue: int


@dataclass(frozen=True, slots=True)
class ServiceRules:
    """A service: what each backend server reserves on its host, and its classes."""

    service: ServiceId
    claim: Size
    classes: Mapping[ClassId, ClassRules]


class RequestRules(Protocol):
    """The control state as the request path sees it; no call blocks."""

    def has_bundle(self) -> bool:
        """Return whether a bundle is in force; a process that has just started may have none."""

    def service_rules(self, service: ServiceId) -> ServiceRules | None:
        """Return the rules of a service, or None if it is not in the bundle."""

    def in_service(self, dc: DataCentreId) -> bool:
        """Return whether a data centre is in service."""

    def founders(self, service: ServiceId) -> frozenset[IncarnationId]:
        """Return the agents that were present when the service first started."""

    def has_founders(self, service: ServiceId) -> bool:
        """Return whether the record of these agents exists for the service."""
