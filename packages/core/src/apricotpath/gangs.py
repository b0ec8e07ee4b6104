"""What the members of a gang share, so that no event of one member is copied to all others."""

from dataclasses import dataclass, field

from apricotpath.ids import HostId

# A gang whose run begins soon after the one before starts again after a pause, counted from that
# begin, which doubles with each such run. Hosts that refuse members get no more orders then.
FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 2.0
SOON_S = 2 * MAX_PAUSE_S


@dataclass(slots=True)
class Gang:
    """Shared state of the tasks of a step and occurrence that run only all together.

    `size` counts the members that are not done, `runs` their runs that have not ended. `saved`
    names the newest checkpoint, which run `saved_run` has written: a gang has one, and all
    members resume from it. `failed_runs` are the numbers of runs in which a member failed,
    `failed_hosts` the hosts of the newest of them. The newest run began at `started_at`
    (boot-clock seconds), and the next one does so at least `pause_s` later. `ended_at` is when
    the first member of the newest run ended; before `started_at` if none has.
    `stopped_run` is the newest run of which a member was stopped to end the others.
    """

    size: int = 0
    runs: int = 0
    last_run: int = 0
    saved: str = ""
    saved_run: int = 0
    failed_runs: set[int] = field(default_factory=set)
    failed_hosts: set[HostId] = field(default_factory=set)
    started_at: float = float("-inf")
    ended_at: float = float("-inf")
    stopped_run: int = 0
    pause_s: float = 0.0

    def save(self, run: int, saved: str) -> None:
        """Set the newest checkpoint; one of an earlier run never replaces that of a later one."""
        if run >= self.saved_run:
            self.saved, self.saved_run = saved, run

    def note_failure(self, run: int, host: HostId) -> None:
        """Note that a run of a member has failed on a host."""
        if run not in self.failed_runs:
            self.failed_hosts.clear()
        self.failed_runs.add(run)
        self.failed_hosts.add(host)

    def note_start(self, run: int, now: float) -> None:
        """Note that a member starts, the first one of a run or a later one."""
        if run <= self.last_run:
            return
        # Runs read from the log at the same time tell nothing about the time between them.
        soon = 0 < now - self.started_at < SOON_S
        longer_s = min(MAX_PAUSE_S, max(FIRST_PAUSE_S, 2 * self.pause_s))
        self.pause_s = longer_s if soon else 0.0
        self.started_at, self.last_run = now, run

    def note_end(self, now: float, known: bool) -> None:
        """Note that a run of a member has ended, `known` if it was among `runs`."""
        self.runs -= known
        if known and self.ended_at < self.started_at:
            self.ended_at = now

    @property
    def incomplete(self) -> bool:
        """Whether some members run and others do not, so that none of them can work."""
        return 0 < self.runs < self.size

    def can_start(self, waiting: int, now: float) -> bool:
        """Return whether all members wait, of which there are `waiting`, and no pause is left."""
        rested = now - self.started_at >= self.pause_s
        return rested and not self.runs and waiting >= self.size
