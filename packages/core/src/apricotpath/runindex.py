"""The runs on each host, and what they reserve and use there."""

from collections.abc import Callable

from apricotpath.commitments import Commitments
from apricotpath.ids import HostId
from apricotpath.jobrows import Run
from apricotpath.workload import Step, TaskKey


class RunIndex:
    """Runs that have not ended, by host.

    `step_of` returns the step of a task, or None if its job has no tasks any more. What is
    committed on a host is counted once and then changed with each run, so that many runs that
    end one after another cost no more than that many steps.
    """

    def __init__(self, step_of: Callable[[TaskKey], Step | None]) -> None:
        self.by_host: dict[HostId, dict[tuple[TaskKey, int], Run]] = {}
        self._commitments: dict[HostId, Commitments] = {}
        self._step_of = step_of

    def commitments(self, host: HostId) -> Commitments:
        """Return what the runs on a host reserve and use; not to be changed."""
        found = self._commitments.get(host)
        if found is None:
            found = self._commitments[host] = Commitments()
            for run in self.by_host.get(host, {}).values():
                self._commit(found, run, 1)
        return found

    def _commit(self, commitments: Commitments, run: Run, count: int) -> None:
        step = self._step_of(run.task)
        if step is not None:
            commitments.add(run.task, step, count)
        commitments.starting += count * (not run.survived)

    def add(self, run: Run) -> None:
        """Add a run, or replace one with the same task and number."""
        runs = self.by_host.setdefault(run.host, {})
        found = self._commitments.get(run.host)
        if (run.task, run.run) in runs:
            self._commitments.pop(run.host, None)
        elif found is not None:
            self._commit(found, run, 1)
        runs[run.task, run.run] = run

    def remove(self, run: Run) -> None:
        """Remove a run that has ended."""
        removed = self.by_host.get(run.host, {}).pop((run.task, run.run), None)
        found = self._commitments.get(run.host)
        if found is not None and removed is not None:
            self._commit(found, removed, -1)

    def note_survived(self, run: Run) -> None:
        """Note that a run has survived its start."""
        found = self._commitments.get(run.host)
        if found is not None and not run.survived:
            found.starting -= 1
        run.survived = True
