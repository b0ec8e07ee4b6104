"""Steps for absences.feature, beside those for worlds of replacements."""

import logging
import re
from typing import Any

from authority_steps import leader_of
from behave import given, then, when
from incarnations_steps import LogRecords
from leadersupport_steps import lose_host
from replacements_steps import Replacements, scenario

from apricotpath.absences import AbsenceBasis, EndBasis
from apricotpath.hostleases import LeaseBasis
from apricotpath.ids import HostId, JobId, QueueId
from apricotpath.jobmetrics import JobMetrics
from apricotpath.jobrows import Run
from apricotpath.jobtable import JobTable
from apricotpath.model import Size
from apricotpath.runrecords import Assigned, Ended
from apricotpath.workload import Job, RunResult, Step, TaskKey
from apricotpathd.absencelog import AbsenceLog

# Time (seconds) between two reports of a host with serving tasks, and between two looks at it.
TOLERANCE_S = 0.6
SERIES = "apricotpath_task_absence_seconds"


def read_absences(metrics: JobMetrics, basis: str) -> tuple[int, float]:
    """Return how many absences are counted for a basis, and their sum in seconds."""
    text = metrics.render().decode()
    found = re.findall(rf'^{SERIES}_(count|sum){{basis="{basis}"}} (\S+)$', text, re.M)
    values = {name: float(value) for name, value in found}
    return int(values.get("count", 0)), values.get("sum", 0.0)


@when("the {subject} of the host with most tasks {event}, for absences")
def lose(context: Any, subject: str, event: str) -> None:
    async def act(run: Replacements) -> None:
        if subject == "executor":
            await run.shut_down_executor(run.busiest)
            return
        if event == "is lost as the scheduler is killed":
            await run.world.kill(leader_of(run))
        await lose_host(run)

    scenario(context).background.append(act)


@then(
    "its tasks' absences are counted as {basis}, and last as long as the tasks were down "
    "but for {before_s:g} seconds"
)
def compare(context: Any, basis: str, before_s: float) -> None:
    run = scenario(context)
    run.run()
    down_s = [seconds for seconds in run.longest_down_s.values() if seconds > 0]
    entries = run.world.entries.values()
    counted = [read_absences(node.jobs._metrics, basis) for node in entries]
    count, total_s = (sum(values) for values in zip(*counted, strict=True))
    assert count == len(down_s) > 0, (counted, down_s)
    missing_s = sum(down_s) - total_s
    assert abs(missing_s) <= (before_s + TOLERANCE_S) * count, (total_s, down_s)


class AbsenceCase:
    """A table with one long-running task, and the measure of its absences."""

    def __init__(self, started: float) -> None:
        step = Step(1, Size(1, 1, 0), long_running=True)
        self.table, self.metrics, self.now = JobTable(), JobMetrics(), started
        self.table.add(Job(JobId("j"), QueueId("q"), "", (step,)), started)
        self.key = TaskKey(JobId("j"), 0, 0, 0)
        self.absences = AbsenceLog(self.table, self.metrics, started)
        self.records = LogRecords("long-running task was away for long")

    def assign(self, number: int) -> Run:
        self.table.apply(Assigned(self.key, number, HostId(f"h{number}"), "i", 1), self.now)
        return self.table.by_host[HostId(f"h{number}")][self.key, number]

    def end(self, run: Run, basis: EndBasis) -> None:
        self.table.apply(Ended(self.key, run.run, RunResult.LOST), self.now)
        task = self.table.task(self.key)
        assert task is not None
        self.absences.on_ended(task, run, basis)

    def begin(self, run: Run) -> None:
        logger = logging.getLogger("apricotpathd.absencelog")
        logger.addHandler(self.records)
        try:
            self.absences.on_begun(run, self.now)
        finally:
            logger.removeHandler(self.records)


@given("an absences task whose run was reported last at {at:g} seconds")
def reported(context: Any, at: float) -> None:
    case = context.absences = AbsenceCase(started=1.0)
    case.absences.on_loaded(2.0)
    case.now = at
    case.first = case.assign(1)
    case.first.reported_at = at


@when(
    "its run ends with the basis assumption, its next start is refused, and another one begins "
    "{later_s:g} seconds after the report"
)
def end_and_begin(context: Any, later_s: float) -> None:
    case = context.absences
    began = case.now + later_s
    case.now += 6.0
    case.end(case.first, LeaseBasis.ASSUMPTION)
    case.end(case.assign(2), AbsenceBasis.NOT_STARTED)
    case.now = began
    case.begin(case.assign(3))


@then("the absences log has {times:d} lines with the task, its basis and {away_s:g} seconds")
def logged(context: Any, times: int, away_s: float) -> None:
    lines = [
        (item.task, item.basis, item.away_s, item.host) for item in context.absences.records.records
    ]
    assert lines == [("j.0.0.0", "assumption", away_s, "h3")] * times, lines


@given("an absences task that an earlier scheduler has recorded as lost")
def left(context: Any) -> None:
    case = context.absences = AbsenceCase(started=50.0)
    case.assign(1)
    case.table.apply(Ended(case.key, 1, RunResult.LOST), case.now)
    case.absences.on_loaded(51.0)


@when("its next run begins {later_s:g} seconds after the start of the term")
def begin_later(context: Any, later_s: float) -> None:
    case = context.absences
    case.now += later_s
    case.begin(case.assign(2))


@then("its absence was counted as {basis} with {away_s:g} seconds")
def counted(context: Any, basis: str, away_s: float) -> None:
    assert read_absences(context.absences.metrics, basis) == (1, away_s)
