"""Steps for suspectpauses.feature, beside those for worlds of replacements."""

from typing import Any

import anyio
from authority_steps import leader_of
from behave import given, then, when
from doubts_steps import start_again
from leadersupport_steps import name_of
from replacements_steps import SAMPLE_S, Replacements, scenario

from apricotpath.crashes import Blame, CrashPart
from apricotpath.ids import HostId, JobId, QueueId
from apricotpath.jobtable import JobTable
from apricotpath.model import Size
from apricotpath.runrecords import (
    Assigned,
    Crashed,
    Ended,
    RunRecord,
    SuspectWaited,
    from_row,
    to_row,
)
from apricotpath.workload import Job, RunResult, Step, TaskKey

RESTART_S = 1.0
# Time between the start of the task and the second crash.
STARTING_S = 0.05
LIMIT_S = 20.0


async def crash_executor_of(run: Replacements, task: str) -> None:
    """Wait until a task runs, let its executor crash, and wait until that is recorded."""
    with anyio.fail_after(LIMIT_S):
        while task not in run.running_tasks():
            await anyio.sleep(STARTING_S)
        recorded = suspicions(run, task)
        for node in run.world.agents.values():
            if any(str(name) == task for name, _ in node.model.runs):
                node.model.go_down()
        while suspicions(run, task) == recorded:
            await anyio.sleep(SAMPLE_S)


def suspicions(run: Replacements, task: str) -> int:
    """Return of how many crashes the scheduler suspects a task."""
    node = run.world.leader()
    assert node is not None
    assert node.jobs.scheduler is not None
    history = node.jobs.scheduler.table.crashes.get(TaskKey.parse(task))
    return history.suspicions if history is not None else 0


async def change_scheduler(run: Replacements, change: str) -> None:
    """Kill or stop the entry that schedules; it starts again."""
    leader = leader_of(run)
    if change == "killed":
        await run.world.kill(leader)
    else:
        await run.world.stop_entry(name_of(leader), 0.0)
    run.world.group.start_soon(start_again, run, name_of(leader))


@when(
    "its executor crashes and another one as it starts, and suspectpauses' schedulers are "
    "{change} {count:d} times, {gap_s:g} seconds apart"
)
def crash_and_change(context: Any, change: str, count: int, gap_s: float) -> None:
    async def act(run: Replacements) -> None:
        run.world.behaviour.restart_s = RESTART_S
        task = f"{run.job}.0.0.0"
        for _ in range(2):
            await crash_executor_of(run, task)
        for _ in range(count):
            await change_scheduler(run, change)
            await anyio.sleep(gap_s)

    scenario(context).background.append(act)


class PauseTable:
    """A table with one long-running task, its log, and how it is loaded again."""

    def __init__(self) -> None:
        self.job = Job(JobId("j"), QueueId("q"), "", (Step(1, Size(1, 1, 0), long_running=True),))
        self.task = TaskKey(JobId("j"), 0, 0, 0)
        self.now = 0.0
        self.log: list[RunRecord] = []
        self.table = JobTable()
        self.table.add(self.job, self.now)

    def apply(self, *records: RunRecord) -> None:
        self.log += records
        self.table.apply_all(records, self.now)

    def lose_run(self, run: int, host: str) -> None:
        self.apply(
            Assigned(self.task, run, HostId(host), "i", 1), Ended(self.task, run, RunResult.LOST)
        )

    def load(self, source: str, later_s: float) -> None:
        """Let another scheduler load the table."""
        records = self.log if source == "the log" else list(self.table.summaries())
        self.log = [from_row(to_row(record)) for record in records]
        self.now += later_s
        self.table = JobTable()
        self.table.add(self.job, self.now)
        self.table.apply_all(self.log, self.now)


@given(
    "a suspectpauses task that is suspected of 2 crashes, and a record that it has waited "
    "for {waited_s:g} seconds"
)
def create_table(context: Any, waited_s: float) -> None:
    pauses = context.pauses = PauseTable()
    for run in (1, 2):
        pauses.lose_run(run, f"h{run}")
        pauses.apply(Crashed(pauses.task, run, CrashPart(Blame.SUSPECT, 0.001, True)))
    pauses.now += waited_s
    pauses.apply(SuspectWaited(pauses.task, waited_s, waited_s))


@when("another scheduler loads {source} {later_s:g} seconds later")
def load_later(context: Any, source: str, later_s: float) -> None:
    context.pauses.load(source, later_s)


@when("that task has run, and loads follow from {source}")
def run_and_load(context: Any, source: str) -> None:
    context.pauses.lose_run(3, "h3")
    context.pauses.load(source, 100.0)


@then(
    "its suspectpauses task is held for {held_s:g} second more, and counts as waiting "
    "for {waited_s:g} seconds"
)
def check_held(context: Any, held_s: float, waited_s: float) -> None:
    pauses = context.pauses
    assert pauses.table.crashes[pauses.task].held_until == pauses.now + held_s
    check_waiting(context, waited_s)


@then("its suspectpauses task counts as waiting for {waited_s:g} seconds")
def check_waiting(context: Any, waited_s: float) -> None:
    pauses = context.pauses
    assert pauses.table.waiting[pauses.task].waiting_since == pauses.now - waited_s
