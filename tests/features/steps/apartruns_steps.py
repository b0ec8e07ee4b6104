"""Steps for runs that are ordered after the pause of a suspect, in jobtable.feature."""

from typing import Any

from behave import then, when

from apricotpath.crashes import Blame, CrashPart
from apricotpath.ids import HostId, JobId, QueueId
from apricotpath.jobtable import JobTable
from apricotpath.model import Size
from apricotpath.runrecords import Assigned, Crashed, Ended
from apricotpath.workload import Job, RunResult, Step, TaskKey

KEY = TaskKey(JobId("00000000000000a1"), 0, 0, 0)
JOB = Job(KEY.job, QueueId("bread"), "", (Step(1, Size(100, 100, 0)),))


def new_table() -> JobTable:
    table = JobTable()
    table.add(JOB, 0.0)
    table.open_due(0.0, 0.0)
    return table


@when("a run is ordered after two crashes of which its task is suspected, and a snapshot is read")
def read_snapshot(context: Any) -> None:
    table = new_table()
    for run in (1, 2):
        table.apply(Assigned(KEY, run, HostId("oven"), "oven", 1), 10.0 * run)
        table.apply(Crashed(KEY, run, CrashPart(Blame.SUSPECT)), 10.0 * run + 1)
        table.apply(Ended(KEY, run, RunResult.LOST, ""), 10.0 * run + 1)
    table.apply(Assigned(KEY, 3, HostId("oven"), "oven", 2), 40.0)
    context.before = [run.apart for run in table.task(KEY).runs.values()]
    rebuilt = new_table()
    rebuilt.apply_all(list(table.summaries()), 50.0)
    context.after = [run.apart for run in rebuilt.task(KEY).runs.values()]


@then("the run counts as ordered after the pause, also after the snapshot")
def is_apart(context: Any) -> None:
    assert context.before == [True], context.before
    assert context.after == [True], context.after
