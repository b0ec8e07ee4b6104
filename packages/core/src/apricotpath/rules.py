"""Interface to the rules in force: whether and where work may run."""

from dataclasses import dataclass
from datetime import datetime
from typing import Protocol

from apricotpath.ids import DataCentreId, ServiceId, TeamId
from apricotpath.model import Size

# An eviction before a forbidden period begins this much earlier than the checkpoint time: slack for
# the checkpoint and a second to stop. Owners and agents must use the same value, or an agent
# refuses what an owner places.
EVICT_SLACK_S = 3.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether work may run at one time, and the deciding rule and bundle.

    `until` is the UTC start of the next forbidden period, or None if there is
    none or the work is forbidden now.
    """

    allowed: bool
    rule: str
    bundle_version: int
    until: datetime | None = None


class Rules(Protocol):
    """The control state in force in this process."""

    @property
    def bundle_version(self) -> int:
        """Version of the bundle in force; 0 before the first."""

    def in_service(self, dc: DataCentreId) -> bool:
        """Return whether a data centre is in service."""

    def claim_of(self, service: ServiceId) -> Size:
        """Return what one backend server of a service reserves on its host."""

    def verdict(self, team: TeamId, activity: str, dc: DataCentreId, utc: datetime) -> Verdict:
        """Decide whether a team's activity may run in a data centre at a UTC time."""
