"""Circuit breaker per host: a host whose worker fails all tasks is set aside."""

from collections import deque
from dataclasses import dataclass, field

from apricotpath.ids import JobId, ProcessId

# A host is set aside after this many failures in a row, of tasks of at least MIN_JOBS jobs, so
# that a single broken job does not take hosts from others.
FAILURES = 5
MIN_JOBS = 2
FIRST_PAUSE_S = 30.0
MAX_PAUSE_S = 600.0
# A probe without a result after this time no longer blocks the next probe.
PROBE_WAIT_S = 120.0


@dataclass(slots=True)
class HealthRow:
    """Recent results of a host; times are monotonic seconds."""

    recent: deque[tuple[JobId, bool]] = field(default_factory=lambda: deque(maxlen=FAILURES))
    pause_s: float = 0.0
    until: float = 0.0
    probing_until: float = 0.0

    @property
    def set_aside(self) -> bool:
        """Whether the host gets only probes, one at a time."""
        return self.pause_s > 0.0


@dataclass(slots=True)
class WorkerHealth:
    """Health of hosts by agent process."""

    rows: dict[ProcessId, HealthRow] = field(default_factory=dict)

    def record(self, process: ProcessId, job: JobId, succeeded: bool, now: float) -> None:
        """Update the health of a host with the result of one attempt."""
        row = self.rows.setdefault(process, HealthRow())
        if succeeded:
            row.recent.clear()
            row.pause_s = row.until = row.probing_until = 0.0
            return
        row.recent.append((job, False))
        if row.set_aside:
            # Results of tasks that were placed before the pause must not lengthen it.
            if now >= row.until:
                self._pause(row, min(2 * row.pause_s, MAX_PAUSE_S), now)
        elif len(row.recent) == FAILURES and len({job for job, _ in row.recent}) >= MIN_JOBS:
            self._pause(row, FIRST_PAUSE_S, now)

    def usable(self, process: ProcessId, now: float) -> bool:
        """Return whether a task may be placed on a host, as a probe or normally."""
        row = self.rows.get(process)
        if row is None or not row.set_aside:
            return True
        return now >= row.until and now >= row.probing_until

    def placed(self, process: ProcessId, now: float) -> None:
        """Record a placement; on a host that is set aside it is the probe."""
        row = self.rows.get(process)
        if row is not None and row.set_aside:
            row.probing_until = now + PROBE_WAIT_S

    def set_aside(self, process: ProcessId) -> bool:
        """Return whether a host is set aside."""
        row = self.rows.get(process)
        return row is not None and row.set_aside

    @staticmethod
    def _pause(row: HealthRow, pause_s: float, now: float) -> None:
        row.pause_s, row.until, row.probing_until = pause_s, now + pause_s, 0.0
