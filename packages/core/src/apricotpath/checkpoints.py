"""Checkpoints that the run log does not have yet."""

from collections.abc import Iterator

from apricotpath.ids import HostId
from apricotpath.jobtable import JobTable
from apricotpath.runrecords import Saved
from apricotpath.workload import StepKey


def new_checkpoints(table: JobTable, host: HostId, gangs: set[StepKey]) -> Iterator[Saved]:
    """Yield records of the checkpoints of a host's current runs that are not recorded yet.

    A gang has one checkpoint, that of the first member found; `gangs` collects those seen.
    """
    for run in table.by_host.get(host, {}).values():
        task = table.task(run.task)
        # With two runs of a task, only checkpoints of the newer one count.
        if task is None or not run.saved or run.run != task.last_run:
            continue
        if task.gang is not None:
            if run.task.step_key in gangs:
                continue
            gangs.add(run.task.step_key)
        if run.saved != task.saved:
            yield Saved(run.task, run.saved)
