"""Steps for jobtable.feature."""

import json
import random
from typing import Any

from behave import given, then, when

from apricotpath.ids import HostId, JobId, QueueId
from apricotpath.jobcodec import job_text, parse_job
from apricotpath.jobtable import JobTable
from apricotpath.model import Size
from apricotpath.runrecords import Assigned, Ended, RunRecord, from_row, to_row
from apricotpath.workload import Job, RunResult, Schedule, Step, TaskKey

JOB = JobId("00000000000000a1")
HOST = HostId("oven")
# Time (UTC seconds) at which 20 occurrences of the jobs that repeat are due.
DUE_S = 20.0


class TableCase:
    """A table with one job, changed by records."""

    def __init__(self, *steps: Step) -> None:
        self.table = JobTable()
        self.job = Job(JOB, QueueId("bread"), "bake", steps)
        self.table.add(self.job, 0.0)

    def key(self, place: str) -> TaskKey:
        step, position = place.split(".")
        return TaskKey(JOB, 0, int(step), int(position))

    def end(self, place: str, run: int, result: str, saved: str = "") -> None:
        self.table.apply(Assigned(self.key(place), run, HOST, "i-1", 1), 1.0)
        self.record_end(place, run, result, saved)

    def record_end(self, place: str, run: int, result: str, saved: str = "") -> None:
        self.table.apply(Ended(self.key(place), run, RunResult(result), saved), 2.0)

    def waiting_names(self) -> list[str]:
        return sorted(f"{key.step}.{key.position}" for key in self.table.waiting)


@given("a jobtable with a job of steps {first:d} and {second:d}, the second after the first")
def two_steps(context: Any, first: int, second: int) -> None:
    size = Size(100, 10, 0)
    context.case = TableCase(Step(first, size), Step(second, size, after=(0,)))


@given("a jobtable with a gang of {count:d}")
def gang(context: Any, count: int) -> None:
    context.case = TableCase(Step(count, Size(100, 10, 0), gang=True))


@given("a jobtable with a long-running step of {count:d}")
def long_running(context: Any, count: int) -> None:
    context.case = TableCase(Step(count, Size(100, 10, 0), long_running=True))


@when("run {run:d} of {place} in the jobtable ends {result} with checkpoint {saved}")
def end_saved(context: Any, run: int, place: str, result: str, saved: str) -> None:
    context.case.end(place, run, result, saved)


@when("run {run:d} of {place} in the jobtable ends {result:w}")
def end(context: Any, run: int, place: str, result: str) -> None:
    context.case.end(place, run, result)


@when("the end {result:w} of run {run:d} of {place} reaches the jobtable again")
def end_again(context: Any, result: str, run: int, place: str) -> None:
    context.case.record_end(place, run, result)


@when("the jobtable's job is cancelled")
def cancel(context: Any) -> None:
    context.case.table.cancel(JOB)


@when("run {run:d} of {place} in the jobtable is assigned")
def assign(context: Any, run: int, place: str) -> None:
    case = context.case
    case.table.apply(Assigned(case.key(place), run, HOST, "i-1", 1), 1.0)


@when("run {run:d} of {place} in the jobtable has begun")
def begin(context: Any, run: int, place: str) -> None:
    context.case.table.note_begun(context.case.key(place).job)


@then("the jobtable's job is shown as {progress:w}")
def shown(context: Any, progress: str) -> None:
    assert context.case.table.rows[JOB].progress.value == progress


@then("the jobtable has no waiting tasks")
def no_waiting(context: Any) -> None:
    assert context.case.waiting_names() == [], context.case.waiting_names()


@then("the jobtable has waiting tasks {places}")
def waiting_tasks(context: Any, places: str) -> None:
    assert context.case.waiting_names() == places.split(), context.case.waiting_names()


@then("the jobtable's job is to end {progress:w}")
def to_end(context: Any, progress: str) -> None:
    assert context.case.table.to_end[JOB].value == progress, context.case.table.to_end


@then("the jobtable's job is not to end")
def not_to_end(context: Any) -> None:
    assert not context.case.table.to_end


@then("the jobtable's task {place} resumes from {saved} as run {run:d}")
def resumes(context: Any, place: str, saved: str, run: int) -> None:
    task = context.case.table.task(context.case.key(place))
    assert (task.saved, task.last_run + 1) == (saved, run), task


@then("the jobtable's task {place} has failed {times:d} time")
def failed(context: Any, place: str, times: int) -> None:
    assert context.case.table.task(context.case.key(place)).failed_runs == set(range(1, times + 1))


class RandomHistory:
    """A random history of one table, with the log records that produced it."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.records: list[RunRecord] = []
        self.table = JobTable()
        self.jobs: list[Job] = []
        for number in range(3):
            self._add(number)
        for _ in range(120):
            self._advance()

    def _add(self, number: int) -> None:
        rng = self.rng
        steps = []
        for index in range(rng.randint(1, 3)):
            after = tuple(earlier for earlier in range(index) if rng.random() < 0.5)
            kind = rng.choice(["gang", "long_running", "plain", "plain"])
            flags = {kind: True} if kind != "plain" else {}
            steps.append(Step(rng.randint(1, 4), Size(10, 1, 0), after=after, **flags))
        schedule = rng.choice([None, Schedule(rng.randint(1, 40), 0.0, 1.0)])
        job = Job(JobId(f"{number:016x}"), QueueId("bread"), "", tuple(steps), schedule)
        self.jobs.append(job)
        self.table.add(job, 0.0)
        self.table.open_due(DUE_S, 0.0)

    def _advance(self) -> None:
        rng, table = self.rng, self.table
        runs = [run for row in table.rows.values() for run in row.runs()]
        if runs and rng.random() < 0.5:
            run = rng.choice(runs)
            result = rng.choice(list(RunResult))
            record: RunRecord = Ended(run.task, run.run, result, rng.choice(["", f"c{run.run}"]))
        elif table.waiting:
            task = rng.choice(list(table.waiting.values()))
            host = HostId(rng.choice("abc"))
            record = Assigned(task.key, task.last_run + 1, host, "i", 1)
        else:
            return
        self.records.append(from_row(json.loads(json.dumps(to_row(record)))))
        table.apply(record, 1.0)

    def new_table(self) -> JobTable:
        """Return a new table with the same jobs, parsed from their stored form."""
        table = JobTable()
        for job in self.jobs:
            table.add(parse_job(job_text(job)).job, 0.0)
        return table

    def open_due(self, *tables: JobTable) -> None:
        """Open in all tables what is due, so that they can be compared."""
        for table in (self.table, *tables):
            while not table.open_due(DUE_S, 1.0):
                pass


def table_state(table: JobTable) -> Any:
    """Return the state of a table that a replay must reproduce."""
    tasks = {
        task.key: (
            task.done,
            sorted(task.failed_runs),
            task.last_run,
            task.saved,
            sorted(task.runs),
        )
        for row in table.rows.values()
        for task in row.tasks.values()
    }
    done = {
        (job, row.finished, key): state.done
        for job, row in table.rows.items()
        for key, state in row.steps.items()
    }
    finished = {job: row.finished for job, row in table.rows.items()}
    return tasks, done, finished, sorted(table.waiting), dict(table.to_end)


@when("random histories of jobtables are replayed and rebuilt from snapshots, seeds {a:d} to {b:d}")
def replay(context: Any, a: int, b: int) -> None:
    context.tables = []
    for seed in range(a, b + 1):
        history = RandomHistory(seed)
        replayed, rebuilt = history.new_table(), history.new_table()
        replayed.apply_all(history.records, 1.0)
        rebuilt.apply_all(list(history.table.summaries()), 1.0)
        history.open_due(replayed, rebuilt)
        context.tables.append((seed, history.table, replayed, rebuilt))


@then("the rebuilt jobtables equal the original ones")
def tables_equal(context: Any) -> None:
    for seed, table, replayed, rebuilt in context.tables:
        assert table_state(replayed) == table_state(table), f"seed {seed}: replay differs"
        assert table_state(rebuilt) == table_state(table), f"seed {seed}: snapshot differs"
