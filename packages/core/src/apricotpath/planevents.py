"""What happens to reservations and to waiting groups, for metrics and logs."""

from collections import Counter
from enum import Enum
from typing import NamedTuple

from apricotpath.ids import QueueId


class GiveUpReason(Enum):
    """Why a reservation was given up."""

    GONE = "gone"
    HOST = "host"
    NO_ROOM = "no-room"
    LATE = "late"
    OVERDUE = "overdue"
    URGENT = "urgent"


class PlanCounts:
    """What has happened to reservations since the counts were last taken."""

    def __init__(self) -> None:
        self.made = self.used = self.backfilled = 0
        self.given_up: Counter[GiveUpReason] = Counter()

    def add(self, other: "PlanCounts") -> None:
        """Add counts of a later time."""
        self.made += other.made
        self.used += other.used
        self.backfilled += other.backfilled
        self.given_up += other.given_up


class SizeClass(Enum):
    """Whether a group is one that small tasks can keep from its room: a gang, or large tasks."""

    LARGE = "large"
    SMALL = "small"


class GroupWait(NamedTuple):
    """The longest wait (seconds) of the tasks of a group that one pass has started."""

    queue: QueueId
    size: SizeClass
    waited_s: float
