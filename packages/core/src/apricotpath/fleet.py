"""Hosts as the scheduler tracks them: leases of their runs, health and measured speed."""

from dataclasses import dataclass, field

from apricotpath.ids import FenceToken, HostId
from apricotpath.workload import HostFacts


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Settings of run scheduling; times in seconds.

    `run_lease_s`: lease of runs, counted from the agent's last granted report.
    `authority_s`: how long a scheduler keeps granting leases while it cannot
    reach the store. `clock_drift`: largest share by which an executor's clock
    may be slow. `margin_s`: safety margin added to the lease. `start_window_s`:
    a start order expires this long after the report it answers.
    `log_interval_s`: minimum time between two appends to the run log.
    `retention_s`: how long ended jobs remain readable. `silent_s`: a host
    without a report for this long gets no new runs. `backfill`: waiting groups hold
    reservations, and other tasks are started into the gaps.
    """

    run_lease_s: float = 6.0
    authority_s: float = 6.0
    clock_drift: float = 0.02
    margin_s: float = 0.3
    start_window_s: float = 2.0
    log_interval_s: float = 0.02
    retention_s: float = 150.0
    silent_s: float = 1.6
    backfill: bool = False

    @property
    def run_hold_s(self) -> float:
        """Longest time that runs can continue after the last grant, in seconds."""
        return self.run_lease_s * (1 + self.clock_drift) + self.margin_s


# A host is set aside (gets no new runs) after it failed runs of this many jobs without a success
# in between.
SET_ASIDE_AFTER_JOBS = 2
INITIAL_SET_ASIDE_S = 4.0
MAX_SET_ASIDE_S = 30.0
# Smoothing of the speed that each report yields; the estimated run times of single tasks are
# far off.
SPEED_WEIGHT = 0.08
MAX_SPEED = 1.5
SPEED_RECOVERY = 0.05


NOT_ATTACHED = FenceToken(0)


@dataclass(slots=True)
class Host:
    """One host as the scheduler sees it; times are boot-clock seconds.

    `runs_until`: time by which all its runs have ended unless a new lease is
    granted. `speed`: how fast tasks run here relative to their estimates.
    `filler_percent`: recent speed limit of its filler tasks in percent.
    `silent_since`: when its executor stopped answering; infinite while it answers.
    `renewal`: number of its newest report. `acked_ending`: number of the newest run
    end that is in the run log. `unknown_runs`: number of runs in its newest report that the job
    table does not contain.
    """

    host: HostId
    facts: HostFacts | None = None
    fence: FenceToken = NOT_ATTACHED
    reported: bool = False
    reported_at: float = float("-inf")
    silent_since: float = float("inf")
    renewal: int = 0
    runs_until: float = 0.0
    draining: bool = False
    leaves_at: float = float("inf")
    acked_ending: int = 0
    failed_jobs: set[str] = field(default_factory=set)
    set_aside_until: float = float("-inf")
    set_aside_s: float = INITIAL_SET_ASIDE_S
    speed: float = 1.0
    filler_percent: float = 100.0
    unknown_runs: int = 0

    def executor_incarnation(self) -> tuple[str, int]:
        """Return the instance id and start time (ms) of the executor, or an empty pair."""
        return (self.facts.instance, self.facts.born_ms) if self.facts else ("", 0)

    def accepts_starts(self, now: float, silent_s: float) -> bool:
        """Return whether the host accepts new runs."""
        return not self.exclusion_reason(now, silent_s)

    def exclusion_reason(self, now: float, silent_s: float) -> str:
        """Return why the host accepts no new runs; empty if it does."""
        if self.draining:
            return "leaving"
        if not self.reported or now - self.reported_at >= silent_s:
            return "not heard of"
        if now >= self.silent_since:
            return "executor does not answer"
        return "set aside" if now < self.set_aside_until else ""

    def record_speed(self, speed: float) -> None:
        """Update the speed with a measurement relative to the estimated speed."""
        self.speed += SPEED_WEIGHT * (min(speed, MAX_SPEED) - self.speed)

    def recover_speed(self) -> None:
        """Move the speed back towards 1.0, so that a formerly slow host is tried again."""
        self.speed += SPEED_RECOVERY * (1.0 - self.speed)

    def record_success(self) -> None:
        """Reset the failure count after a successful run."""
        self.failed_jobs.clear()
        self.set_aside_s = INITIAL_SET_ASIDE_S

    def record_failure(self, job: str, now: float) -> bool:
        """Count a failed run; return True if the host is set aside because of it.

        Failures of a single job do not count, since the job itself may be faulty.
        """
        self.failed_jobs.add(job)
        if len(self.failed_jobs) < SET_ASIDE_AFTER_JOBS:
            return False
        self.set_aside_until = now + self.set_aside_s
        self.set_aside_s = min(2 * self.set_aside_s, MAX_SET_ASIDE_S)
        self.failed_jobs.clear()
        return True
