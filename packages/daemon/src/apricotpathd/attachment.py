"""An agent's state of its executor, and of one attachment to a scheduler with its runs."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

import anyio

from apricotpath.boottime import boot_s
from apricotpath.ids import Epoch, FenceToken, TaskId
from apricotpath.link import Link
from apricotpath.messages import HostGrant, RunEnding, RunStatus, RunTrait
from apricotpath.model import Size
from apricotpath.workload import NO_SIZE, HostFacts

# A renewal waits this long for an ending, which bounds the interval of reports and renewals.
# With serving tasks on the host, the pace of filler tasks needs more frequent readings.
RENEWAL_WAIT_S = 0.8
SERVING_RENEWAL_WAIT_S = 0.4
# Number of reports whose send times are kept. A report follows each acknowledgement of endings, so
# up to 50 are sent per second.
MAX_RENEWALS = 512


@dataclass(frozen=True, slots=True)
class ExecutorState:
    """The newest heartbeat of the executor."""

    facts: HostFacts
    draining: bool = False
    leaves_at: float = float("inf")


class ExecutorPhase(Enum):
    """What the agent knows about the existence of its executor.

    A deregistered executor may still answer: it is about to end, or the notice is a delayed
    one of its earlier incarnation. It counts as ended, with nothing running, once its address
    refuses connections. So does one that has not deregistered, if it goes on refusing them after
    the end that its heartbeats announced.
    """

    REGISTERED = "registered"
    DEREGISTERED = "deregistered"
    ENDED = "ended"


@dataclass(slots=True)
class RunView:
    """The agent's own data on a run, beyond what the executor reports.

    No start of the run takes effect later than `settled_at` (boot-clock seconds), so that
    reports requested after it tell whether the run exists. `pace_unanswered` tells whether
    the newest pace call was not answered, and `pace_in_doubt` whether any was: it may still
    be carried out, after newer ones.
    """

    filler: bool = False
    target_ms: float = 0.0
    pressure: float = 0.0
    size: Size = NO_SIZE
    settled_at: float = float("inf")
    pace_percent: int = 100
    pace_sent_at: float = float("-inf")
    pace_unanswered: bool = False
    pace_in_doubt: bool = False


@dataclass(slots=True)
class Attachment:
    """One attachment to a scheduler, with its fencing token.

    `acked_ending` is the number of the last ending that the scheduler has recorded,
    `reported_ending` of the last one reported to it. `settled` is set while these are
    equal, and when the attachment ends. `granted_renewal` is the number of the newest
    report for which a lease was granted, `final_renewal` that of the report on the end of
    the executor. `complete_reported` tells whether a complete report was sent.
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
    reported_ending: int = 0
    settled: anyio.Event = field(default_factory=anyio.Event)
    reported: bool = False
    complete_reported: bool = False
    renewal_failed: bool = False
    reported_runs: set[tuple[TaskId, int]] = field(default_factory=set)
    views: dict[tuple[TaskId, int], RunView] = field(default_factory=dict)
    # Runs with an unanswered stop call; the event is set when the calls end.
    stopping: dict[tuple[TaskId, int], anyio.Event] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.settled.set()

    def next_renewal(self) -> int:
        """Return the number of a report that is sent now."""
        self.renewal += 1
        self.sent_at[self.renewal] = boot_s()
        self.sent_at.pop(self.renewal - MAX_RENEWALS, None)
        return self.renewal

    def reserved(self) -> Size:
        """Return what the runs reserve of the executor's capacity, starts in progress included."""
        return sum((view.size for view in self.views.values()), NO_SIZE)

    def confirmed_ending(self) -> int:
        """Return the number up to which the executor may forget endings.

        After a renewal without an answer, the executor may be another incarnation, which
        numbers its endings anew.
        """
        return 0 if self.renewal_failed else self.acked_ending

    def renewal_wait_s(self) -> float:
        """Return how long the next renewal may wait; 0 after a failed one."""
        if not self.reported or self.renewal_failed:
            return 0.0
        serving = any(view.target_ms > 0 for view in self.views.values())
        return SERVING_RENEWAL_WAIT_S if serving else RENEWAL_WAIT_S

    def with_pace(self, status: RunStatus) -> RunStatus:
        """Return the status of a run, with the pace of a filler task."""
        view = self.views.get((status.task, status.run))
        if view is None or not view.filler:
            return status
        return replace(status, pace=view.pace_percent)

    def report_endings(self, endings: Iterable[RunEnding]) -> None:
        """Note that endings were reported; they are unsettled until acknowledged."""
        newest = max((ending.number for ending in endings), default=0)
        self.reported_ending = max(self.reported_ending, newest)
        if self.reported_ending > self.acked_ending and self.settled.is_set():
            self.settled = anyio.Event()

    def apply_grant(self, grant: HostGrant, lease_s: float) -> None:
        """Extend the lease, which counts from the report that is answered."""
        sent = self.sent_at.get(grant.renewal)
        if sent is not None:
            self.granted_until = max(self.granted_until, sent + lease_s)
            self.granted_renewal = max(self.granted_renewal, grant.renewal)
        self.acknowledge_endings(grant.noted)

    @property
    def end_answered(self) -> bool:
        """Whether the scheduler has answered the final report on an ended executor."""
        return self.final_renewal is not None and self.granted_renewal >= self.final_renewal

    def missing_runs(self, requested_at: float) -> list[tuple[TaskId, int]]:
        """Return the runs that a list requested then would show if they existed."""
        return [
            name
            for name, view in self.views.items()
            if view.settled_at < requested_at and name not in self.reported_runs
        ]

    def acknowledge_endings(self, number: int) -> None:
        """Note that the scheduler has recorded all endings up to a number."""
        self.acked_ending = max(self.acked_ending, number)
        if self.acked_ending >= self.reported_ending:
            self.settled.set()

    def apply_trait(self, trait: RunTrait) -> None:
        """Apply a trait of a run from the scheduler."""
        name = (trait.task, trait.run)
        view = self.views.get(name)
        if view is None:
            if name not in self.reported_runs:
                # Its start order may still be under way. With a view and without the run in
                # the executor's report, the start would be answered as refused.
                return
            view = self.views[name] = RunView(settled_at=boot_s())
        view.filler, view.target_ms = trait.filler, trait.target_ms
        view.pressure, view.size = trait.pressure, trait.size
