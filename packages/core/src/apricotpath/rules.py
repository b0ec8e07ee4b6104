"""What the control state tells a host about tasks."""

from dataclasses import dataclass
from datetime import datetime
from typing import Protocol

from apricotpath.ids import DataCentreId, ServiceId, TeamId
from apricotpath.model import Size


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether an activity may run at one moment.

    `rule` names the rule that decided. `until` is the start of the next
    forbidden period in UTC, or None when no end is in sight.
    """

    allowed: bool
    rule: str
    bundle_version: int
    until: datetime | None = None


class Rules(Protocol):
    """Control state in force in this process."""

    @property
    def bundle_version(self) -> int:
        """Version of the bundle in force; 0 before the first."""

    def in_service(self, dc: DataCentreId) -> bool:
        """Tell whether operators have a data centre in service."""

    def claim_of(self, service: ServiceId) -> Size:
        """Return what one backend server of a service occupies on its host."""

    def verdict(self, team: TeamId, activity: str, dc: DataCentreId, utc: datetime) -> Verdict:
        """Decide whether a team's activity may run in a data centre at a UTC time."""
