"""Table of the hosts that a scheduler knows, and how long their runs may go on."""

from dataclasses import dataclass, field

from apricotpath.ids import FenceToken, HostId
from apricotpath.workload import HostFacts


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Times in seconds, and limits, of the scheduling of runs.

    `run_lease_s`: how long runs go on after the agent's last granted report.
    `authority_s`: how long a scheduler goes on granting leases without the
    store. `clock_drift`: how much slower an executor's clock may be.
    `start_window_s`: an order is void this long after the report it answers.
    `log_interval_s`: least time between two appends. `retention_s`: how long
    ended jobs are kept for readers. `silent_s`: a host without a report for
    this long gets no starts.
    """

    run_lease_s: float = 6.0
    authority_s: float = 6.0
    clock_drift: float = 0.02
    margin_s: float = 0.3
    start_window_s: float = 2.0
    log_interval_s: float = 0.02
    retention_s: float = 150.0
    silent_s: float = 1.6

    @property
    def run_hold_s(self) -> float:
        """Longest time that runs go on after the last grant."""
        return self.run_lease_s * (1 + self.clock_drift) + self.margin_s


# An executor that failed runs of this many jobs, with no good end between, is set aside.
FAILED_JOBS = 2
SET_ASIDE_FIRST_S = 4.0
SET_ASIDE_MAX_S = 30.0
# Readings of speed come with each report; estimates of single tasks are far off.
SPEED_WEIGHT = 0.08
SPEED_CAP = 1.5
SPEED_RECOVERY = 0.05


NOT_ATTACHED = FenceToken(0)


@dataclass(slots=True)
class Host:
    """One host as the scheduler sees it; times are boot-clock seconds.

    `runs_until` is when everything that it runs has surely ended, unless it
    is granted more. `speed` is how fast tasks run here, 1 being as estimated.
    `filler_percent` is the share of their speed that filler tasks were given
    lately. `renewal` numbers its newest report.
    """

    host: HostId
    facts: HostFacts | None = None
    fence: FenceToken = NOT_ATTACHED
    reported: bool = False
    reported_at: float = float("-inf")
    renewal: int = 0
    runs_until: float = 0.0
    draining: bool = False
    leaves_at: float = float("inf")
    noted: int = 0
    failed_jobs: set[str] = field(default_factory=set)
    set_aside_until: float = float("-inf")
    set_aside_s: float = SET_ASIDE_FIRST_S
    speed: float = 1.0
    filler_percent: float = 100.0

    def life(self) -> tuple[str, int]:
        """Return the id and birth of the executor, or an empty pair."""
        return (self.facts.instance, self.facts.born_ms) if self.facts else ("", 0)

    def takes_starts(self, now: float, silent_s: float) -> bool:
        """Tell whether new runs may be given to the host."""
        return not self.bar(now, silent_s)

    def bar(self, now: float, silent_s: float) -> str:
        """Return why no new runs may be given to the host; empty if they may."""
        if self.draining:
            return "leaving"
        if not self.reported or now - self.reported_at >= silent_s:
            return "not heard of"
        return "set aside" if now < self.set_aside_until else ""

    def note_speed(self, speed: float) -> None:
        """Take a reading of how fast a task runs here, as a share of its estimated speed."""
        self.speed += SPEED_WEIGHT * (min(speed, SPEED_CAP) - self.speed)

    def recover_speed(self) -> None:
        """Forget old readings step by step, so that a host that was slow is tried again."""
        self.speed += SPEED_RECOVERY * (1.0 - self.speed)

    def note_success(self) -> None:
        """Count a run that ended well."""
        self.failed_jobs.clear()
        self.set_aside_s = SET_ASIDE_FIRST_S

    def note_failure(self, job: str, now: float) -> bool:
        """Count a run that failed here; True if the host is set aside because of it.

        Failures of one job alone may be the job's own fault.
        """
        self.failed_jobs.add(job)
        if len(self.failed_jobs) < FAILED_JOBS:
            return False
        self.set_aside_until = now + self.set_aside_s
        self.set_aside_s = min(2 * self.set_aside_s, SET_ASIDE_MAX_S)
        self.failed_jobs.clear()
        return True
