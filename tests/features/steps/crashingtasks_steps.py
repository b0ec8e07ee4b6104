"""Steps for crashingtasks.feature; the world runs in virtual time at the first check."""

from itertools import pairwise
from typing import Any

import anyio
from behave import given, then, when

from apricotpath.crashes import Blame, CrashHistory, CrashPart
from apricotpath.ids import HostId, TaskId
from apricotpath.model import Size
from apricotpath.workload import Step, TaskKey
from support.crashingtasks import LONGEST_S, SAMPLE_S, CrashingTasks
from support.jobworld import QUEUE, JobWorld

CORE = Size(1000, 100, 0)
# Length of runs that are not to end within a scenario.
ENDLESS_S = 1000.0
# Time for the start of tasks before the first crash that no task causes.
WORK_S = 1.0
# A run of this length is long enough for a copy after the estimate.
COPIED_RUN_S = 1.0
COPIED_ESTIMATE_S = 0.1

KINDS: dict[str, Step] = {
    "plain": Step(1, CORE, 1.0),
    "filler": Step(1, CORE, 1.0, filler=True),
    "gang": Step(3, CORE, 10.0, gang=True),
    "long-running": Step(1, CORE, long_running=True),
    "speculative": Step(1, CORE, 1.0, speculative=True),
}
LENGTHS = {"gang": 10.0, "long-running": ENDLESS_S}


def scenario(context: Any) -> CrashingTasks:
    found: CrashingTasks = context.crashing_tasks
    return found


def results(context: Any) -> CrashingTasks:
    """Return the scenario after its run."""
    scenario(context).run()
    return scenario(context)


@given("a world of crashing tasks with {entries:d} entries and {hosts:d} hosts")
def create(context: Any, entries: int, hosts: int) -> None:
    context.crashing_tasks = CrashingTasks(entries, hosts)


@given("its crashed executors {form}")
def set_silence(context: Any, form: str) -> None:
    shares = {"refuse connections": 0.0, "answer nothing": 1.0, "do either": 0.5}
    scenario(context).silent_share = shares[form]


@given("executors of crashing tasks restart in {seconds:g} seconds")
def set_restart(context: Any, seconds: float) -> None:
    scenario(context).restart_s = seconds


@given("its tasks take {seconds:d} seconds")
def set_length(context: Any, seconds: int) -> None:
    scenario(context).seconds = float(seconds)


@given("its deadly tasks crash their executors after {seconds:g} seconds of work")
def set_deadly_after(context: Any, seconds: float) -> None:
    scenario(context).deadly_after_s = seconds


@when("{count:d} ordinary jobs of {tasks:d} tasks are submitted")
def submit_ordinary(context: Any, count: int, tasks: int) -> None:
    async def act(run: CrashingTasks) -> None:
        await run.submit_others(count, Step(tasks, CORE, run.seconds))

    scenario(context).actions.append(act)


@when("{count:d} ordinary jobs of {tasks:d} tasks of {seconds:d} seconds are at work")
def start_ordinary(context: Any, count: int, tasks: int, seconds: int) -> None:
    async def act(run: CrashingTasks) -> None:
        await run.submit_others(count, Step(tasks, CORE, float(seconds)), float(seconds))
        await anyio.sleep(WORK_S)

    scenario(context).actions.append(act)


@when("an ordinary gang of {tasks:d} tasks of {seconds:d} seconds is at work")
def start_gang(context: Any, tasks: int, seconds: int) -> None:
    async def act(run: CrashingTasks) -> None:
        run.world.behaviour.gangs[run.world.next_job()] = float("-inf")
        step = Step(tasks, CORE, float(seconds), gang=True)
        await run.submit_others(1, step, float(seconds))
        await anyio.sleep(WORK_S)

    scenario(context).actions.append(act)


@when("a job of {tasks:d} tasks is submitted of which {deadly:d} are deadly")
def submit_deadly(context: Any, tasks: int, deadly: int) -> None:
    submit_many_deadly(context, 1, tasks, deadly)


@when("{count:d} jobs of {tasks:d} tasks are submitted of which {deadly:d} each are deadly")
def submit_many_deadly(context: Any, count: int, tasks: int, deadly: int) -> None:
    async def act(run: CrashingTasks) -> None:
        for _ in range(count):
            await run.submit_deadly(Step(tasks, CORE, run.seconds), tasks=deadly)

    scenario(context).actions.append(act)


@when("a {kind} step with a deadly task is submitted")
def submit_deadly_kind(context: Any, kind: str) -> None:
    async def act(run: CrashingTasks) -> None:
        if KINDS[kind].gang:
            run.world.behaviour.gangs[run.world.next_job()] = float("-inf")
        if kind in LENGTHS:
            run.world.behaviour.lengths[run.world.next_job()] = LENGTHS[kind]
        await run.submit_deadly(KINDS[kind], tasks=1)

    scenario(context).actions.append(act)


@when("the scheduler is killed after crash {count:d}")
def kill_after_crash(context: Any, count: int) -> None:
    async def act(run: CrashingTasks) -> None:
        await run.wait_for_crashes(count)
        await run.kill_scheduler()

    scenario(context).background.append(act)


@when("the scheduler is killed at each of {count:d} crashes")
def kill_at_each(context: Any, count: int) -> None:
    async def act(run: CrashingTasks) -> None:
        for number in range(1, count + 1):
            await run.wait_for_crashes(number)
            await run.kill_scheduler()

    scenario(context).background.append(act)


@when("the scheduler is killed {delay_s:d} seconds after crash {count:d}")
def kill_later(context: Any, delay_s: int, count: int) -> None:
    async def act(run: CrashingTasks) -> None:
        await run.wait_for_crashes(count)
        await anyio.sleep(delay_s)
        await run.kill_scheduler()

    scenario(context).background.append(act)


@when("the store is away for some seconds after crash {count:d}")
def lose_store_after_crash(context: Any, count: int) -> None:
    async def act(run: CrashingTasks) -> None:
        await run.wait_for_crashes(count)
        await run.lose_store()

    scenario(context).background.append(act)


@when("the scheduler is killed and the store away for some seconds after crash {count:d}")
def kill_and_lose_store(context: Any, count: int) -> None:
    async def act(run: CrashingTasks) -> None:
        await run.wait_for_crashes(count)
        await run.kill_scheduler()
        await run.lose_store()

    scenario(context).background.append(act)


@when("all executors crash at once {times:d} times, {pause_s:g} seconds apart")
def crash_all(context: Any, times: int, pause_s: float) -> None:
    async def act(run: CrashingTasks) -> None:
        for _ in range(times):
            for node in run.world.agents.values():
                node.model.go_down()
            await anyio.sleep(pause_s)

    scenario(context).background.append(act)


@when("executors crash one after another {times:d} times, {pause_s:g} seconds apart")
def crash_in_turn(context: Any, times: int, pause_s: float) -> None:
    async def act(run: CrashingTasks) -> None:
        models = [node.model for node in run.world.agents.values()]
        for number in range(times):
            model = models[number % len(models)]
            if not model.is_down:
                model.go_down()
            await anyio.sleep(pause_s)

    scenario(context).background.append(act)


@when("{count:d} executors crash together {times:d} times, {pause_s:g} seconds apart")
def crash_groups(context: Any, count: int, times: int, pause_s: float) -> None:
    async def act(run: CrashingTasks) -> None:
        models = [node.model for node in run.world.agents.values()]
        for number in range(times):
            for offset in range(count):
                model = models[(number * count + offset) % len(models)]
                if not model.is_down:
                    model.go_down()
            await anyio.sleep(pause_s)

    scenario(context).background.append(act)


@then("the jobs with deadly tasks are failed within {limit:d} seconds")
def deadly_failed(context: Any, limit: int) -> None:
    run = results(context)
    wrong = {
        job: run.ended.get(job, "not ended")
        for job in run.deadly
        if job not in run.ended or run.ended[job][0] != "failed" or run.ended[job][1] > limit
    }
    assert not wrong, (wrong, run.crash_count)


@then("all ordinary jobs are completed within {limit:d} seconds")
def others_completed(context: Any, limit: int) -> None:
    run = results(context)
    wrong = {
        job: run.ended.get(job, "not ended")
        for job in run.others
        if job not in run.ended or run.ended[job][0] != "completed" or run.ended[job][1] > limit
    }
    assert not wrong, wrong


@then("no job is shown as failed")
def none_failed(context: Any) -> None:
    run = results(context)
    failed = {job: ended for job, ended in run.ended.items() if ended[0] == "failed"}
    assert not failed, failed


@then("each deadly task has crashed at most {most:d} executors")
def crashes_each(context: Any, most: int) -> None:
    times = results(context).crash_times
    assert times, "no task crashed an executor"
    counts = {task: len(crashes) for task, crashes in times.items()}
    assert max(counts.values()) <= most, counts


@then("deadly tasks have crashed at most {most:d} executors in all")
def crashes_in_all(context: Any, most: int) -> None:
    count = results(context).crash_count
    assert 0 < count <= most, count


@then("no task was started more than {most:d} times after it had crashed 3 executors")
def starts_after_crashes(context: Any, most: int) -> None:
    run = results(context)
    assert run.crash_times, "no task crashed an executor"
    assert max(run.starts_after.values(), default=0) <= most, run.starts_after


@then("no deadly task was started while an executor that it had crashed was down")
def no_start_while_down(context: Any) -> None:
    run = results(context)
    assert run.crash_times, "no task crashed an executor"
    soonest = min(
        (later - former for times in run.crash_times.values() for former, later in pairwise(times)),
        default=LONGEST_S,
    )
    assert soonest >= run.restart_s, f"{soonest:.2f} s after a crash by it"


@then("the world of crashing tasks has no violation")
def no_violation(context: Any) -> None:
    assert not results(context).violations, results(context).violations


@when("a speculative task fails as often as it may, and then its copy is lost with the executor")
def fail_beside_copy(context: Any) -> None:
    async def act(run: CrashingTasks) -> None:
        world = run.world
        task = f"{world.next_job()}.0.0.0"
        world.behaviour.failing.add(TaskId(task))
        await run.submit_others(1, Step(1, CORE, COPIED_ESTIMATE_S, speculative=True), COPIED_RUN_S)
        attempts = world.queues[QUEUE].attempts
        with anyio.fail_after(LONGEST_S):
            while len(failed_runs(world, task)) < attempts:
                await anyio.sleep(SAMPLE_S)
        context.starts = len(world.start_times(task))
        for node in world.agents.values():
            if any(name == task for name, _ in node.model.runs):
                node.model.go_down()

    scenario(context).actions.append(act)


def failed_runs(world: JobWorld, task: str) -> set[int]:
    """Return the runs of a task whose failure the scheduler has recorded."""
    node = world.leader()
    assert node is not None
    assert node.jobs.scheduler is not None
    found = node.jobs.scheduler.table.task(TaskKey.parse(task))
    return found.failed_runs if found is not None else set()


@then("the job of the speculative task is failed within {limit:d} seconds")
def speculative_failed(context: Any, limit: int) -> None:
    run = results(context)
    ends = [run.ended.get(job) for job in run.others]
    assert all(end is not None and end[0] == "failed" and end[1] <= limit for end in ends), ends


@then("the speculative task was not started again")
def not_started_again(context: Any) -> None:
    run = results(context)
    task = f"{run.others[0]}.0.0.0"
    assert len(run.world.start_times(task)) == context.starts, run.world.start_times(task)


@when("a job of {tasks:d} gang members is submitted of which {deadly:d} are deadly")
def submit_deadly_gang(context: Any, tasks: int, deadly: int) -> None:
    async def act(run: CrashingTasks) -> None:
        run.world.behaviour.gangs[run.world.next_job()] = float("-inf")
        await run.submit_deadly(Step(tasks, CORE, 10.0, gang=True), tasks=deadly)

    scenario(context).actions.append(act)


@when(
    "a task fails as often as it may, the last time while its queue is missing for {seconds:d} "
    "seconds"
)
def fail_without_queue(context: Any, seconds: int) -> None:
    async def act(run: CrashingTasks) -> None:
        world = run.world
        task = TaskId(f"{world.next_job()}.0.0.0")
        world.behaviour.failing.add(task)
        queue = world.queues[QUEUE]
        await run.submit_others(1, Step(1, CORE, run.seconds))
        with anyio.fail_after(LONGEST_S):
            while len(world.start_times(task)) < queue.attempts:
                await anyio.sleep(SAMPLE_S)
        del world.queues[QUEUE]
        await anyio.sleep(seconds)
        world.queues[QUEUE] = queue
        context.attempts = queue.attempts

    scenario(context).actions.append(act)


@then("the job of the failing task is failed within {limit:d} seconds")
def failing_failed(context: Any, limit: int) -> None:
    speculative_failed(context, limit)


@then("the failing task was started once for each attempt")
def started_each_attempt(context: Any) -> None:
    run = results(context)
    starts = run.world.start_times(TaskId(f"{run.others[0]}.0.0.0"))
    assert len(starts) == context.attempts, starts


@when(
    "a task was there at one crash less than {crashes:d}, {seconds:g} s after its start, with a "
    "chance of {chance:g}"
)
def make_history(context: Any, crashes: int, seconds: float, chance: float) -> None:
    context.part = CrashPart(Blame.SUSPECT, chance, True, HostId("host0"), seconds)
    context.history = CrashHistory()
    for run in range(1, crashes):
        context.history.note(run, context.part)


@when("it was there at another crash")
def another_crash(context: Any) -> None:
    context.history.note(len(context.history.parts) + 1, context.part)


@then("the task of the crash history is not suspected")
def not_suspected(context: Any) -> None:
    assert not context.history.suspected, context.history


@then("the task of the crash history is suspected")
def suspected(context: Any) -> None:
    assert context.history.suspected, context.history
