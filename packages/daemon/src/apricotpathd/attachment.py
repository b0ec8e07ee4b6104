"""An agent's state of its executor, and of one attachment to a scheduler with its runs."""

from dataclasses import dataclass, field
from enum import Enum

from apricotpath.ids import Epoch, FenceToken, TaskId
from apricotpath.link import Link
from apricotpath.workload import HostFacts


@dataclass(frozen=True, slots=True)
class ExecutorState:
    """The newest heartbeat of the executor."""

    facts: HostFacts
    draining: bool = False
    leaves_at: float = float("inf")


class ExecutorPhase(Enum):
    """What the agent knows about the existence of its executor.

    A deregistered executor may still answer: it is about to end, or the notice is a delayed
    one of its earlier incarnation. Nothing runs on an ended one.
    """

    REGISTERED = "registered"
    DEREGISTERED = "deregistered"
    ENDED = "ended"


@dataclass(slots=True)
class RunView:
    """The agent's own data on a run, beyond what the executor reports."""

    filler: bool = False
    target_ms: float = 0.0
    pressure: float = 0.0
    started_at: float = float("inf")
    pace_percent: int = 100
    pace_sent_at: float = float("-inf")


@dataclass(slots=True)
class Attachment:
    """One attachment to a scheduler, with its fencing token.

    `acked_ending` is the number of the last ending that the scheduler has recorded, and
    `granted_renewal` that of the newest report for which it has granted a lease.
    """

    link: Link
    epoch: Epoch
    fence: FenceToken
    facts: HostFacts
    renewal: int = 0
    sent_at: dict[int, float] = field(default_factory=dict)
    granted_until: float = 0.0
    granted_renewal: int = 0
    final_renewal: int | None = None
    acked_ending: int = 0
    reported: bool = False
    renewal_failed: bool = False
    reported_runs: set[tuple[TaskId, int]] = field(default_factory=set)
    views: dict[tuple[TaskId, int], RunView] = field(default_factory=dict)
