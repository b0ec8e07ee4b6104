"""What the bundle in force says about a piece of work."""

from dataclasses import dataclass
from datetime import datetime
from typing import Protocol

from apricotpath.config import PolicySettings
from apricotpath.ids import DataCentreId, ServiceId, TeamId
from apricotpath.model import Size


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether work may run now, by which rule and bundle.

    `until` is the UTC start of the next forbidden period, or None if there is
    none or the work is forbidden now.
    """

    allowed: bool
    rule: str
    bundle_version: int
    until: datetime | None = None


class Rules(Protocol):
    """The part of the control state that policies read."""

    def verdict(self, team: TeamId, activity: str, dc: DataCentreId, utc: datetime) -> Verdict:
        """Return whether a team may do an activity in a data centre at a UTC time."""

    def in_service(self, dc: DataCentreId) -> bool:
        """Tell whether a data centre is in service."""

    def is_fresh(self, now: float, cfg: PolicySettings) -> bool:
        """Tell whether the last control read began recently enough to grant starts."""

    def claim_of(self, service: ServiceId) -> Size:
        """Return what one backend server of a service reserves on its host."""
