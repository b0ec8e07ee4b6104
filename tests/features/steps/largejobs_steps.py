"""Steps for largejobs.feature."""

from collections import Counter
from typing import Any

import anyio
from behave import given, then, when

from apricotpath.boottime import boot_s
from apricotpath.errors import InputError
from apricotpath.ids import HostId, JobId, QueueId, TaskId
from apricotpath.jobcodec import job_text
from apricotpath.jobtable import JobTable
from apricotpath.messages import JobStatus, JobStatuses
from apricotpath.model import Size
from apricotpath.runrecords import Assigned, Ended, from_row, to_row
from apricotpath.store import Put
from apricotpath.workload import Job, Progress, RunResult, Schedule, Step, TaskKey, check_limits
from apricotpathd.jobservice import JobService, Submission
from support.jobworld import JobWorld, run_virtual
from support.memorystore import MemoryStore, SharedStore

SIZE = Size(100, 10, 0)
QUEUE = QueueId("bread")
# Now in UTC seconds, and a time at which a year of occurrences is overdue.
UTC_S = 1_700_000_000.0
LONG_AGO_S = UTC_S - 2 * 365 * 86400
INTERVAL_S = 300.0
YEAR_TIMES = 105_120
# Later than any scenario ends.
NEVER_S = 1e6
ALL_WRITES = 100
# A read, a write and a pause between writes.
AT_ONCE_S = 0.2

FORMS: dict[str, tuple[tuple[Step, ...], Schedule | None]] = {
    "6 tasks, 105120 times, not yet due": (
        (Step(6, SIZE),),
        Schedule(YEAR_TIMES, UTC_S + 3600, INTERVAL_S),
    ),
    "6 tasks, 105120 times, long overdue": (
        (Step(6, SIZE),),
        Schedule(YEAR_TIMES, LONG_AGO_S, INTERVAL_S),
    ),
    "6 tasks, 500 times, long overdue": (
        (Step(6, SIZE),),
        Schedule(500, LONG_AGO_S, INTERVAL_S),
    ),
    "60 steps of 10000 tasks": (tuple(Step(10_000, SIZE) for _ in range(60)), None),
    "3 steps of 3000 tasks in a row": (
        (Step(3000, SIZE), Step(3000, SIZE, after=(0,)), Step(3000, SIZE, after=(1,))),
        None,
    ),
    "2500 tasks": ((Step(2500, SIZE),), None),
}


class LargeJobs:
    """A table with some jobs of one form."""

    def __init__(self, count: int, form: str) -> None:
        steps, schedule = FORMS[form]
        self.jobs = [
            Job(JobId(f"{number:016x}"), QUEUE, "", steps, schedule) for number in range(count)
        ]
        self.table = self.new_table()
        self.run_counts: Counter[TaskKey] = Counter()

    def new_table(self) -> JobTable:
        table = JobTable()
        for job in self.jobs:
            table.add(job, 0.0)
        return table

    def open_due(self) -> None:
        while not self.table.open_due(UTC_S, 0.0):
            pass

    def run_all(self, at_once: int, rebuilds: int) -> None:
        """Run all tasks to their ends; rebuild the table from its snapshot every few rounds."""
        (job,) = self.jobs
        total = job.occurrences * sum(step.count for step in job.steps)
        every = max(1, total // at_once // rebuilds)
        rounds = 0
        self.open_due()
        while self.table.waiting:
            tasks = list(self.table.waiting.values())[:at_once]
            for task in tasks:
                number = task.last_run + 1
                self.run_counts[task.key] += 1
                self.table.apply(Assigned(task.key, number, HostId("oven"), "i", 1), 0.0)
            rounds += 1
            if rounds % every == 0:
                self.rebuild()
            for task in tasks:
                self.table.apply(Ended(task.key, 1, RunResult.DONE), 0.0)
            self.open_due()

    def rebuild(self) -> None:
        """Replace the table by one from its snapshot, as a new scheduler does."""
        records = [from_row(to_row(record)) for record in self.table.summaries()]
        self.table = self.new_table()
        self.table.apply_all(records, 0.0)


@given("a largejobs table with {count:d} jobs of {form}")
def create(context: Any, count: int, form: str) -> None:
    context.large = LargeJobs(count, form)


@when("all that is due is opened in the largejobs table")
def open_due(context: Any) -> None:
    context.large.open_due()


@then("the largejobs table has at most {most:d} open tasks")
def open_tasks(context: Any, most: int) -> None:
    rows = context.large.table.rows.values()
    count = sum(len(row.tasks) for row in rows)
    assert count <= most, count


@then("every largejobs job has a waiting task, if it is due")
def all_wait(context: Any) -> None:
    table = context.large.table
    waiting = {key.job for key in table.waiting}
    due = {job.job_id for job in context.large.jobs if job.due_s(0) <= UTC_S}
    assert waiting == due, (len(waiting), len(due))


@when("its tasks are run {count:d} at a time, and the table is rebuilt from a snapshot 5 times")
def run_tasks(context: Any, count: int) -> None:
    context.large.run_all(count, 5)


@then("each of its {count:d} tasks was run once, and the largejobs job is completed")
def all_ran(context: Any, count: int) -> None:
    large: LargeJobs = context.large
    assert len(large.run_counts) == count, len(large.run_counts)
    assert set(large.run_counts.values()) == {1}, large.run_counts.most_common(3)
    assert [item.value for item in large.table.to_end.values()] == ["completed"]


@when("a largejobs job of {gangs:d} gangs of {count:d} tasks is submitted")
def submit_gangs(context: Any, gangs: int, count: int) -> None:
    steps = tuple(Step(count, SIZE, gang=True) for _ in range(gangs))
    context.refusal = ""
    try:
        check_limits(Job(JobId("a"), QUEUE, "", steps))
    except InputError as exc:
        context.refusal = str(exc)


@then('it is refused with "{text}"')
def refused(context: Any, text: str) -> None:
    assert text in context.refusal, context.refusal


class LongCommands:
    """A world in which the sizes of the messages with start orders are measured."""

    def __init__(self, hosts: int, room: int) -> None:
        self.hosts, self.capacity = hosts, Size(room * SIZE.cpu_milli, room * SIZE.memory_mb, 0)
        self.starts: Counter[TaskId] = Counter()
        self.largest = 0

    def run(self, tasks: int, command_bytes: int, within_s: float) -> None:
        async def main() -> None:
            async with anyio.create_task_group() as group:
                await self._run(JobWorld(group), tasks, command_bytes, within_s)
                group.cancel_scope.cancel()

        run_virtual(main)

    async def _run(self, world: JobWorld, tasks: int, command_bytes: int, within_s: float) -> None:
        world.behaviour.seconds = 3.0
        world.add_entry("entry0")
        for number in range(self.hosts):
            world.add_agent(f"host{number}", self.capacity)
        await world.wait_until_attached()
        for step, command in ((Step(tasks, SIZE), "x" * command_bytes), (Step(1, SIZE), "y")):
            world.behaviour.sizes[f"{world.next_job()}.0.0"] = SIZE
            await world.submit(step, command=command)
        await anyio.sleep(within_s)
        for node in world.agents.values():
            self.starts.update(task for task, _ in node.model.starts)
        self.largest = world.largest_start_bytes


@given("a largejobs world of {hosts:d} hosts with room for {room:d} tasks")
def long_commands(context: Any, hosts: int, room: int) -> None:
    context.world = LongCommands(hosts, room)


@when(
    "a job of {tasks:d} tasks with a command of {size:d} bytes is submitted, and then one of 1 task"
)
def submit_long(context: Any, tasks: int, size: int) -> None:
    context.world.run(tasks, size, 10.0)


@then("all {count:d} largejobs tasks have started within 10 seconds, each once")
def all_started(context: Any, count: int) -> None:
    starts = context.world.starts
    assert len(starts) == count, len(starts)
    assert set(starts.values()) == {1}, starts.most_common(3)


@then("no largejobs message was larger than {limit:d} kB")
def small_messages(context: Any, limit: int) -> None:
    assert 0 < context.world.largest <= limit * 1000, context.world.largest


class SubmittingEntry:
    """The job service of an entry on a store in memory, in virtual time."""

    def __init__(self) -> None:
        self.store = MemoryStore(SharedStore())
        self.service = JobService(self.store, "t/")
        self._numbers = iter(range(1, 1 << 30))

    def new_job(self) -> Job:
        return Job(JobId(f"{next(self._numbers):016x}"), QUEUE, "", (Step(1, SIZE),))

    def status(self, job: JobId, progress: Progress) -> JobStatuses:
        return JobStatuses(self.service.epoch, False, (JobStatus(job, QUEUE, progress),))


@given("a largejobs entry that knows {count:d} open jobs, and one that it stored without an answer")
def full_entry(context: Any, count: int) -> None:
    context.entry = entry = SubmittingEntry()
    context.open = [entry.new_job() for _ in range(count)]
    for job in context.open:
        entry.service.apply_statuses(entry.status(job.job_id, Progress.RUNNING))
    context.stored = entry.new_job()
    key = entry.service.keys.job(context.stored.job_id)
    run_virtual(lambda: entry.store.txn([], [Put(key, job_text(context.stored).encode())]))


@then("a new job is refused as {outcome:S}, and nothing of it is stored")
def refused_as(context: Any, outcome: str) -> None:
    entry, job = context.entry, context.entry.new_job()
    assert run_virtual(lambda: entry.service.submit(job)).value == outcome
    assert run_virtual(lambda: entry.store.get(entry.service.keys.job(job.job_id))) is None


@then("the job that is stored is accepted again")
def accepted_again(context: Any) -> None:
    outcome = run_virtual(lambda: context.entry.service.submit(context.stored))
    assert outcome is Submission.ACCEPTED, outcome


@when("one of the open largejobs jobs ends")
def one_ends(context: Any) -> None:
    entry, job = context.entry, context.open[0]
    entry.service.apply_statuses(entry.status(job.job_id, Progress.COMPLETED))


@then("a new job is accepted")
def new_accepted(context: Any) -> None:
    entry, job = context.entry, context.entry.new_job()
    assert run_virtual(lambda: entry.service.submit(job)) is Submission.ACCEPTED


@given("a largejobs entry whose submission of a job got no answer from the store")
def uncertain_entry(context: Any) -> None:
    context.entry = SubmittingEntry()


@when("its job is cancelled {seconds:d} seconds later")
def cancel_after(context: Any, seconds: int) -> None:
    entry: SubmittingEntry = context.entry
    job = entry.new_job()

    async def act() -> None:
        faults = entry.store.faults
        faults.late_prefix, faults.late_s = entry.service.keys.root, NEVER_S
        faults.late_writes = ALL_WRITES
        assert await entry.service.submit(job) is Submission.UNKNOWN
        faults.late_writes = 0
        await anyio.sleep(seconds)
        cancelled_at = boot_s()
        context.answer = await entry.service.cancel(job.job_id)
        context.took_s = boot_s() - cancelled_at
        entry.store.apply_late_writes()
        context.stored = await entry.store.get(entry.service.keys.job(job.job_id))

    run_virtual(act)


@then("that is answered at once that there is no such job, which no late write stores any more")
def cancelled_for_good(context: Any) -> None:
    assert context.answer is False, context.answer
    assert context.took_s < AT_ONCE_S, context.took_s
    assert context.stored is None, context.stored
