"""What the policy modules ask of the bundle and the data-centre statuses in force."""

from dataclasses import dataclass
from datetime import datetime
from typing import Protocol

from apricotpath.ids import DataCentreId, ServiceId, TeamId
from apricotpath.model import Size


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a rule allows work now, which rule decided, and until when (UTC) that holds."""

    allowed: bool
    rule: str
    bundle_version: int
    until: datetime | None


class Rules(Protocol):
    """The rules in force."""

    bundle_version: int

    def in_service(self, dc: DataCentreId) -> bool:
        """Tell whether operators have the data centre in service."""

    def claim_of(self, service: ServiceId) -> Size:
        """Return what one backend server of a service reserves on its host."""

    def verdict(self, team: TeamId, activity: str, dc: DataCentreId, utc: datetime) -> Verdict:
        """Decide whether a team's activity may run in a data centre at a time in UTC."""
