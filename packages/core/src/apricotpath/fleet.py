"""Hosts as the scheduler tracks them: leases of their runs, health and measured speed."""

from dataclasses import dataclass, field

from apricotpath.hostleases import HostLeases
from apricotpath.ids import FenceToken, HostId, JobId, ServiceId
from apricotpath.workload import HostFacts, TaskKey


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
    without a report for this long gets no new runs.
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
        """Longest time that runs can continue after the last grant, in seconds."""
        return self.hold_s(self.run_lease_s)

    def hold_s(self, lease_s: float) -> float:
        """Longest time that runs can continue with `lease_s` seconds left of their lease."""
        drift_s = self.run_lease_s * self.clock_drift
        return min(lease_s, self.run_lease_s) + drift_s + self.margin_s


# For how long (seconds) a host is set aside at first.
INITIAL_SET_ASIDE_S = 4.0
# Smoothing of the speed that each report yields; the estimated run times of single tasks are
# far off.
SPEED_WEIGHT = 0.08
MAX_SPEED = 1.5
SPEED_RECOVERY = 0.05


NOT_ATTACHED = FenceToken(0)


@dataclass(slots=True)
class Host:
    """One host as the scheduler sees it; times are boot-clock seconds.

    `leases`: until when its runs may go on. `speed`: how fast tasks run here relative to their
    estimates.
    `filler_percent`: recent speed limit of its filler tasks in percent.
    `silent_since`: when its executor stopped answering; infinite while it answers.
    `renewal`: number of its newest report. `acked_ending`: number of the newest run
    end that is in the run log. `unknown_runs`: number of runs in its newest report that the job
    table does not contain. `failed_jobs`: jobs whose runs have failed here since the last success;
    `set_aside_for`: those for which it was set aside at `set_aside_at`, and `set_aside_s`: for how
    long it will be next. It has refused starts until `paused_until`. `upkeep_stops`: the
    runs (task and number) that must stop now, if the host is being emptied for the upkeep of its
    machine, else None. `upkeep_due`: its machine is to have its upkeep soon.
    """

    host: HostId
    facts: HostFacts | None = None
    fence: FenceToken = NOT_ATTACHED
    reported: bool = False
    reported_at: float = float("-inf")
    silent_since: float = float("inf")
    renewal: int = 0
    leases: HostLeases = field(default_factory=HostLeases)
    draining: bool = False
    leaves_at: float = float("inf")
    acked_ending: int = 0
    failed_jobs: set[JobId] = field(default_factory=set)
    set_aside_for: set[JobId] = field(default_factory=set)
    set_aside_at: float = float("-inf")
    set_aside_until: float = float("-inf")
    set_aside_s: float = INITIAL_SET_ASIDE_S
    paused_until: float = float("-inf")
    speed: float = 1.0
    filler_percent: float = 100.0
    unknown_runs: int = 0
    upkeep_stops: frozenset[tuple[TaskKey, int]] | None = None
    upkeep_due: bool = False

    def executor_incarnation(self) -> tuple[str, int]:
        """Return the instance id and start time (ms) of the executor, or an empty pair."""
        return (self.facts.instance, self.facts.born_ms) if self.facts else ("", 0)

    @property
    def attached(self) -> bool:
        """Whether an agent is attached for the host."""
        return self.fence != NOT_ATTACHED

    def accepts_starts(self, now: float, silent_s: float) -> bool:
        """Return whether the host accepts new runs."""
        return not self.exclusion_reason(now, silent_s)

    def exclusion_reason(self, now: float, silent_s: float) -> str:
        """Return why the host accepts no new runs; empty if it does."""
        reason = self.unavailable_reason(now, silent_s)
        return reason or ("set aside" if self.is_set_aside(now) or now < self.paused_until else "")

    def unavailable_reason(self, now: float, silent_s: float) -> str:
        """Return why the host accepts no new runs, whether set aside or not."""
        if self.draining:
            return "leaving"
        if self.upkeep_stops is not None:
            return "upkeep"
        if not self.reported or now - self.reported_at >= silent_s:
            return "not heard of"
        return "executor does not answer" if now >= self.silent_since else ""

    def is_set_aside(self, now: float) -> bool:
        """Return whether the host gets no new runs because it fails them."""
        return now < self.set_aside_until

    @property
    def service(self) -> ServiceId | None:
        """The service of the host's executor; None while it is not known."""
        return self.facts.service if self.facts is not None else None

    def record_speed(self, speed: float) -> None:
        """Update the speed with a measurement relative to the estimated speed."""
        self.speed += SPEED_WEIGHT * (min(speed, MAX_SPEED) - self.speed)

    def recover_speed(self) -> None:
        """Move the speed back towards 1.0, so that a formerly slow host is tried again."""
        self.speed += SPEED_RECOVERY * (1.0 - self.speed)

    def take_back(self) -> None:
        """End the time for which the host is set aside."""
        self.set_aside_until = float("-inf")

    def forget_failures(self) -> None:
        """Begin anew with another incarnation of the executor."""
        self.failed_jobs.clear()
        self.set_aside_for.clear()
        self.set_aside_s = INITIAL_SET_ASIDE_S
        self.set_aside_at = self.paused_until = float("-inf")
        self.take_back()
