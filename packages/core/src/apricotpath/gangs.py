"""What the members of a gang share, so that no event of one member is copied to all others."""

from dataclasses import dataclass, field

from apricotpath.ids import HostId


@dataclass(slots=True)
class Gang:
    """Shared state of the tasks of a step and occurrence that run only all together.

    `size` counts the members that are not done, `runs` their runs that have not ended. `saved`
    names the newest checkpoint, which run `saved_run` has written: a gang has one, and all
    members resume from it. `failed_runs` are the numbers of runs in which a member failed,
    `failed_hosts` the hosts of the newest of them.
    """

    size: int = 0
    runs: int = 0
    last_run: int = 0
    saved: str = ""
    saved_run: int = 0
    failed_runs: set[int] = field(default_factory=set)
    failed_hosts: set[HostId] = field(default_factory=set)

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

    @property
    def incomplete(self) -> bool:
        """Whether some members run and others do not, so that none of them can work."""
        return 0 < self.runs < self.size

    def can_start(self, waiting: int) -> bool:
        """Return whether all members wait, of which there are `waiting`."""
        return not self.runs and waiting >= self.size
