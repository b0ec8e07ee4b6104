"""Rules of a service and its request classes, as the bundle gives them."""

from dataclasses import dataclass

from apricotpath.ids import ClassId, ServiceId
from apricotpath.model import Size


@dataclass(frozen=True, slots=True)
class ClassRules:
    """One request class; priority 0 is the highest, `queue` is a number of requests."""

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
    classes: dict[ClassId, ClassRules]
