"""What the request path needs to know of the bundle and the data centres' status."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from apricotpath.ids import ClassId, DataCentreId, IncarnationId, ServiceId


@dataclass(frozen=True, slots=True)
class ClassRules:
    """Rules of one request class; a higher `priority` is shed later.

    `deadline_s` applies when the caller names none, and `queue` is the most
    requests of the class that may wait at one entry.
    """

    name: ClassId
    priority: int
    idempotent: bool
    deadline_s: float
    queue: int


@dataclass(frozen=True, slots=True)
class ServiceRules:
    """Rules of one service, with its request classes by name."""

    service: ServiceId
    classes: Mapping[ClassId, ClassRules]


class Rules(Protocol):
    """The control state as the request path sees it; all calls are immediate."""

    def service_rules(self, service: ServiceId) -> ServiceRules | None:
        """Return the rules of a service, or None if the bundle does not name it."""

    def in_service(self, data_centre: DataCentreId) -> bool:
        """Tell whether a data centre is in service."""

    def founders(self, service: ServiceId) -> frozenset[IncarnationId]:
        """Return the agents that were there when the service first started."""

    def has_founders(self, service: ServiceId) -> bool:
        """Tell whether the record of the service's founders exists."""
