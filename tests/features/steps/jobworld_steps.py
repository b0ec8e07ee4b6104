"""Steps for jobworld.feature; the world runs in virtual time at the first check."""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.lowlevel
from behave import given, then, when

from apricotpath.boottime import boot_s
from apricotpath.ids import JobId, TaskId
from apricotpath.model import Size
from apricotpath.runlog import MIN_LOG_BYTES
from apricotpath.workload import Job, Step, TaskKey
from apricotpathd.attachment import ExecutorState
from apricotpathd.jobservice import Submission
from support.jobworld import PREFIX, QUEUE, JobWorld, run_virtual

CORE = Size(1000, 100, 0)
HOST = Size(8000, 8000, 0)
Action = Callable[["Script"], Awaitable[None]]


class Script:
    """Actions of a scenario on a world; they run in order inside the event loop."""

    def __init__(self, entries: int, agents: int) -> None:
        self.entries, self.agents = entries, agents
        self.seed = 1
        self.seconds = 1.0
        self.unanswered_share = 0.0
        self.listed_endings = 500
        self.checkpoint_s = 0.0
        self.failing_first = False
        self.actions: list[Action] = []
        self.jobs: list[JobId] = []
        self.world: JobWorld | None = None
        self.cancel_answer: bool | None = None

    def run(self) -> None:
        run_virtual(self._main, self.seed)

    async def _main(self) -> None:
        async with anyio.create_task_group() as group:
            world = self.world = JobWorld(group)
            world.behaviour.seconds = self.seconds
            world.behaviour.checkpoint_s = self.checkpoint_s
            world.behaviour.listed_endings = self.listed_endings
            world.unanswered_share = self.unanswered_share
            if self.failing_first:
                world.behaviour.failing.add(TaskId("0000000000000001.0.0.0"))
            for number in range(self.entries):
                world.add_entry(f"entry{number}")
            for number in range(self.agents):
                world.add_agent(f"host{number}", HOST)
            await world.wait_until_attached()
            for action in self.actions:
                await action(self)
            group.cancel_scope.cancel()

    @property
    def running_world(self) -> JobWorld:
        assert self.world is not None
        return self.world

    def runs_started(self) -> int:
        """Return how many runs have started."""
        models = [node.model for node in self.running_world.agents.values()]
        return sum(len(model.history) + len(model.runs) for model in models)


def script(context: Any) -> Script:
    found: Script = context.script
    return found


@given("a jobworld of {entries:d} entries and {agents:d} agents")
def create(context: Any, entries: int, agents: int) -> None:
    context.script = Script(entries, agents)


@given("tasks of the jobworld take {seconds:d} seconds")
def set_run_time(context: Any, seconds: int) -> None:
    script(context).seconds = seconds


@given("tasks of the jobworld take {seconds:d} seconds and make a checkpoint each second")
def set_run_time_with_checkpoints(context: Any, seconds: int) -> None:
    script(context).seconds, script(context).checkpoint_s = seconds, 1.0


@given("the jobworld's executors leave {share:d} of 100 orders unanswered and carry them out late")
def unanswered_share(context: Any, share: int) -> None:
    script(context).unanswered_share = share / 100


@given("the executors of the jobworld list at most {count:d} endings at a time")
def list_endings(context: Any, count: int) -> None:
    script(context).listed_endings = count


@given("the first task of the jobworld's next job always fails")
def failing(context: Any) -> None:
    script(context).failing_first = True


@when("a job of steps {first:d} and {second:d} is submitted to the jobworld")
def submit(context: Any, first: int, second: int) -> None:
    submit_many(context, 1, first, second)


@when("{count:d} jobs of steps {first:d} and {second:d} are submitted to the jobworld")
def submit_many(context: Any, count: int, first: int, second: int) -> None:
    async def act(run: Script) -> None:
        run.seed = count
        for _ in range(count):
            steps = (Step(first, CORE, 1.0), Step(second, CORE, 1.0, after=(0,)))
            run.jobs.append(await run.running_world.submit(*steps))
        await anyio.sleep(0.5)

    script(context).actions.append(act)


@when("the queue of a link is full as the first starts are sent in the jobworld")
def reject_first_starts(context: Any) -> None:
    async def act(run: Script) -> None:
        run.running_world.starts_rejected = 1

    script(context).actions.append(act)


@when("a job of {count:d} tasks with checkpoints is submitted to the jobworld")
def submit_with_checkpoints(context: Any, count: int) -> None:
    async def act(run: Script) -> None:
        run.jobs.append(await run.running_world.submit(Step(count, CORE, 20.0, checkpoints=True)))

    script(context).actions.append(act)


@given("entries with {cores} cores join the jobworld")
def join_entries(context: Any, cores: str) -> None:
    async def act(run: Script) -> None:
        for number, text in enumerate(cores.replace(" and ", ", ").split(", ")):
            run.running_world.add_entry(f"entry{run.entries + number}", float(text))
        await anyio.sleep(2.0)

    script(context).actions.append(act)


@then("the jobworld's agents have sent at most {most:d} reports")
def reports_sent(context: Any, most: int) -> None:
    sent = script(context).running_world.messages["HostRuns"]
    assert sent <= most, sent


@then("the scheduler of the jobworld is {which} within {limit:d} seconds")
def scheduler_is(context: Any, which: str, limit: int) -> None:
    async def act(run: Script) -> None:
        with anyio.fail_after(limit):
            while run.running_world.leader() is None:
                await anyio.sleep(0.05)
        leader = run.running_world.leader()
        assert leader is not None
        name = leader.process.hello.process_id
        assert (name != "entry4") if which == "any other" else (name == which), name

    script(context).actions.append(act)
    script(context).run()


FAULTS: dict[str, Action] = {}


def fault(name: str) -> Callable[[Action], Action]:
    def register(action: Action) -> Action:
        FAULTS[name] = action
        return action

    return register


@fault("nothing happens")
async def do_nothing(run: Script) -> None:
    await anyio.lowlevel.checkpoint()


@fault("the scheduler is killed")
async def kill_scheduler(run: Script) -> None:
    leader = run.running_world.leader()
    assert leader is not None
    await run.running_world.kill(leader)


@fault("the two strongest entries are killed")
async def kill_strongest(run: Script) -> None:
    await kill_scheduler(run)
    await run.running_world.kill(run.running_world.entries["entry4"])


@fault("the strongest entry cannot reach the store")
async def partition_strongest(run: Script) -> None:
    run.running_world.entries["entry4"].store.faults.silent = True
    await kill_scheduler(run)


@fault("the scheduler is killed and the store lost")
async def kill_scheduler_without_store(run: Script) -> None:
    await kill_scheduler(run)
    await make_store_unavailable(run)


@fault("an agent joins")
async def add_agent(run: Script) -> None:
    run.running_world.add_agent("host9", HOST)


@fault("an agent is killed and started again")
async def restart_agent(run: Script) -> None:
    await run.running_world.kill(run.running_world.agents["host0"])
    await anyio.sleep(1.0)
    run.running_world.add_agent("host0", HOST)


@fault("an executor crashes")
async def crash_executor(run: Script) -> None:
    run.running_world.agents["host0"].model.crash()


@fault("an executor is lost for good")
async def lose_executor(run: Script) -> None:
    node = run.running_world.agents["host0"]
    node.sends_heartbeats = False
    node.model.crash()
    node.agent.executor.unresponsive = True  # type: ignore[union-attr]


@fault("an executor crashes and its agent is killed")
async def crash_both(run: Script) -> None:
    await crash_executor(run)
    await restart_agent(run)


@fault("an agent is cut off for 20 seconds")
async def partition_agent(run: Script) -> None:
    run.running_world.group.start_soon(run.running_world.partition, "host0", 20.0)


@fault("an agent is cut off for 60 seconds")
async def partition_agent_long(run: Script) -> None:
    run.running_world.group.start_soon(run.running_world.partition, "host0", 60.0)


@fault("the scheduler is paused for 5 seconds")
async def pause_scheduler(run: Script) -> None:
    leader = run.running_world.leader()
    assert leader is not None
    name = leader.process.hello.process_id
    resume = run.running_world.pause(name)
    leader.store.faults.silent = True
    await anyio.sleep(5.0)
    leader.store.faults.silent = False
    resume()


@fault("the scheduler is cut off for 6 seconds")
async def partition_scheduler(run: Script) -> None:
    leader = run.running_world.leader()
    assert leader is not None
    leader.store.faults.silent = True
    run.running_world.group.start_soon(
        run.running_world.partition, leader.process.hello.process_id, 6.0
    )
    await anyio.sleep(6.0)
    leader.store.faults.silent = False


@fault("the store is away for 5 seconds")
async def make_store_unavailable(run: Script) -> None:
    for node in run.running_world.entries.values():
        node.store.faults.silent = True
    await anyio.sleep(5.0)
    for node in run.running_world.entries.values():
        node.store.faults.silent = False


@fault("answers of the store are lost")
async def lose_answers(run: Script) -> None:
    for node in run.running_world.entries.values():
        node.store.faults.lost_answers = 3
        node.store.faults.late_writes = 2


@fault("every entry is killed and started again")
async def restart_entries(run: Script) -> None:
    names = list(run.running_world.entries)
    for name in names:
        await run.running_world.kill(run.running_world.entries[name])
    await anyio.sleep(1.0)
    for name in names:
        run.running_world.add_entry(name)


@fault("all machines lose power after 10 seconds")
async def lose_power(run: Script) -> None:
    await anyio.sleep(10.0)
    entries, agents = list(run.running_world.entries), list(run.running_world.agents)
    for node in [*run.running_world.entries.values(), *run.running_world.agents.values()]:
        await run.running_world.kill(node)
    await anyio.sleep(1.0)
    for name in agents:
        run.running_world.agents[name].model.crash()
        run.running_world.agents[name].model.resumed_s.clear()
    for name in entries:
        run.running_world.add_entry(name)
    for name in agents:
        run.running_world.add_agent(name, HOST)


@fault("the scheduler is killed before ends are noted")
async def kill_before_endings_are_recorded(run: Script) -> None:
    leader = run.running_world.leader()
    assert leader is not None
    await anyio.sleep(2.7)
    leader.store.faults.silent = True
    await anyio.sleep(1.5)
    await run.running_world.kill(leader)


async def write_snapshot(run: Script) -> None:
    """Make the scheduler write a snapshot of the run log now."""
    leader = run.running_world.leader()
    assert leader is not None
    run_log = leader.jobs.scheduler._log  # type: ignore[union-attr]
    items, key = run.running_world.shared.items, f"{PREFIX}runs/snapshot"
    former = items.get(key)
    run_log.log_bytes += MIN_LOG_BYTES + run_log._snapshot_bytes
    with anyio.fail_after(5):
        while items.get(key) == former:
            await anyio.sleep(0.001)


@fault("an older head takes effect late and the scheduler is killed")
async def write_head_late(run: Script) -> None:
    leader = run.running_world.leader()
    assert leader is not None
    store, items = leader.store, run.running_world.shared.items
    store.faults.late_prefix = f"{PREFIX}runs/snapshot"
    store.faults.late_writes, store.faults.late_s = 1, 1000.0
    await write_snapshot(run)
    # Tasks that end now are forgotten by their executors once the ends are in the log.
    steps = [Step(2, CORE, 1.0, after=(number - 1,) if number else ()) for number in range(6)]
    run.jobs.append(await run.running_world.submit(*steps))
    await anyio.sleep(3.5)
    # The log grows by more entries than one append removes.
    for _ in range(45):
        run.jobs.append(await run.running_world.submit(Step(1, CORE, 1.0)))
        await anyio.sleep(0.04)
    await write_snapshot(run)
    count = len([key for key in items if key.startswith(f"{PREFIX}runs/log/")])
    with anyio.fail_after(5):
        while len([key for key in items if key.startswith(f"{PREFIX}runs/log/")]) >= count:
            await anyio.sleep(0.001)
    store.apply_late_writes()
    await run.running_world.kill(leader)


@fault("a host hears only the former scheduler")
async def partition_from_other_entries(run: Script) -> None:
    leader = run.running_world.leader()
    assert leader is not None
    leader.store.faults.silent = True
    others = [name for name, node in run.running_world.entries.items() if node is not leader]
    pairs = {frozenset({"host0", other}) for other in others}
    pairs.add(frozenset(run.running_world.entries))
    run.running_world.partitioned_pairs |= pairs
    await anyio.sleep(30.0)
    leader.store.faults.silent = False
    run.running_world.partitioned_pairs.clear()
    await run.running_world.partition(leader.process.hello.process_id, 2.0)


@when("the jobworld meets a fault: {name}")
def make_fault(context: Any, name: str) -> None:
    script(context).actions.append(FAULTS[name])


@when("rows of the jobworld's running tasks are malformed for {seconds:d} seconds, and {name}")
def spoil_rows(context: Any, seconds: int, name: str) -> None:
    async def act(run: Script) -> None:
        world = run.running_world
        models = [node.model for node in world.agents.values()]
        world.behaviour.unreadable.update(
            run.task for model in models for run in model.runs.values()
        )
        assert world.behaviour.unreadable
        await FAULTS[name](run)
        await anyio.sleep(seconds)
        world.behaviour.unreadable.clear()

    script(context).actions.append(act)


@when("a job is cancelled in the jobworld after its submission got no answer")
def cancel_before_stored(context: Any) -> None:
    async def act(run: Script) -> None:
        world = run.running_world
        entry, job = next(iter(world.entries.values())), world.next_job()
        faults = entry.store.faults
        faults.late_prefix, faults.late_writes, faults.late_s = f"{PREFIX}jobs/job/", 100, 1000.0
        outcome = await entry.job_service.submit(Job(job, QUEUE, "bake", (Step(1, CORE, 1.0),)))
        faults.late_writes = 0
        assert outcome is Submission.UNKNOWN, outcome
        run.jobs.append(job)
        run.cancel_answer = await entry.job_service.cancel(job)
        entry.store.apply_late_writes()

    script(context).actions.append(act)


@then("the jobworld's job is not stored by its late writes, and does not run")
def never_stored(context: Any) -> None:
    async def act(run: Script) -> None:
        assert run.cancel_answer is False, run.cancel_answer
        job, world = run.jobs[0], run.running_world
        for node in world.entries.values():
            assert await node.job_service.progress(job) is None
        await anyio.sleep(5.0)
        assert not world.start_times(TaskId(str(TaskKey(job, 0, 0, 0))))

    script(context).actions.append(act)
    script(context).run()


@when("the jobworld's job is cancelled at an entry that does not schedule")
def cancel(context: Any) -> None:
    async def act(run: Script) -> None:
        leader = run.running_world.leader()
        others = [node for node in run.running_world.entries.values() if node is not leader]
        assert await others[0].job_service.cancel(run.jobs[0])

    script(context).actions.append(act)


@when("one job is submitted three times at each entry of the jobworld while answers are lost")
def submit_again(context: Any) -> None:
    async def act(run: Script) -> None:
        job = Job(JobId("00000000000000ab"), QUEUE, "bake", (Step(2, CORE, 1.0),))
        run.jobs.append(job.job_id)
        await lose_answers(run)

        async def submit_at(name: str) -> None:
            await run.running_world.entries[name].job_service.submit(job)

        async with anyio.create_task_group() as group:
            for name in list(run.running_world.entries) * 3:
                group.start_soon(submit_at, name)

    script(context).actions.append(act)


@when("the jobworld's job ends while an entry is cut off from all but the store")
def end_while_cut(context: Any) -> None:
    async def act(run: Script) -> None:
        leader = run.running_world.leader()
        names = [name for name, node in run.running_world.entries.items() if node is not leader]
        run.partitioned_entry = names[0]  # type: ignore[attr-defined]
        run.running_world.group.start_soon(run.running_world.partition, names[0], 60.0)
        await run.running_world.wait_for_end(run.jobs[0], 10.0, at=names[1])

    script(context).actions.append(act)


@then("that entry of the jobworld shows it as completed")
def shown_at_cut(context: Any) -> None:
    async def act(run: Script) -> None:
        name = run.partitioned_entry  # type: ignore[attr-defined]
        assert await run.running_world.wait_for_end(run.jobs[0], 1.0, at=name) == "completed"

    script(context).actions.append(act)
    script(context).run()


@then("the jobworld's job is completed within {limit:d} seconds at every entry")
def completed_everywhere(context: Any, limit: int) -> None:
    async def act(run: Script) -> None:
        for name in run.running_world.entries:
            assert await run.running_world.wait_for_end(run.jobs[0], limit, at=name) == "completed"

    finish(context, act)


@then("the jobworld's job is {state:w} within {limit:d} seconds")
def job_ends(context: Any, state: str, limit: int) -> None:
    async def act(run: Script) -> None:
        found = await run.running_world.wait_for_end(run.jobs[0], limit)
        assert found == state, found

    finish(context, act)


@then("the jobworld's jobs are completed within {limit:d} seconds")
def jobs_end(context: Any, limit: int) -> None:
    async def act(run: Script) -> None:
        ends_at = boot_s() + limit
        for job in run.jobs:
            found = await run.running_world.wait_for_end(job, max(0.1, ends_at - boot_s()))
            assert found == "completed", (job, found)

    finish(context, act)


def finish(context: Any, act: Action) -> None:
    """Run the script up to this check; later checks use the recorded results."""
    run = script(context)
    run.actions.append(act)

    async def record(run: Script) -> None:
        await anyio.sleep(3.0)
        run.found = run.running_world.violations()  # type: ignore[attr-defined]
        run.runs = run.runs_started()  # type: ignore[attr-defined]
        active = [node.model.runs for node in run.running_world.agents.values()]
        run.active = sum(map(len, active))  # type: ignore[attr-defined]

    run.actions.append(record)
    run.run()


@then("no invariant of the jobworld was violated")
def no_invariant_violated(context: Any) -> None:
    assert context.script.found == [], context.script.found


@then("tasks of the jobworld started at most {times:d} times")
def runs_started(context: Any, times: int) -> None:
    assert context.script.runs <= times, context.script.runs


@then("each task of the jobworld resumed from at least {least:d} seconds of work")
def resumed(context: Any, least: int) -> None:
    models = [node.model for node in script(context).running_world.agents.values()]
    found = [done_s for model in models for done_s in model.resumed_s]
    assert found and min(found) >= least, found


@then("nothing runs in the jobworld 3 seconds later")
def nothing_runs(context: Any) -> None:
    assert context.script.active == 0, context.script.active


class RandomFaults:
    """Random temporary faults, one after another."""

    def __init__(self, run: Script, seed: int) -> None:
        self.run, self.rng = run, random.Random(seed)

    async def inject_one(self) -> None:
        """Cause one random fault and wait until it is over."""
        world, rng = self.run.running_world, self.rng
        kind = rng.choice(["entry", "agent", "crash", "cut", "store", "lost", "late", "lease"])
        if kind == "entry":
            name = rng.choice(list(world.entries))
            await world.kill(world.entries[name])
            await anyio.sleep(rng.uniform(0.2, 3.0))
            world.add_entry(name)
        elif kind == "agent":
            name = rng.choice(list(world.agents))
            await world.kill(world.agents[name])
            await anyio.sleep(rng.uniform(0.2, 4.0))
            world.add_agent(name, HOST)
        elif kind == "crash":
            rng.choice(list(world.agents.values())).model.crash()
        elif kind == "cut":
            await world.partition(rng.choice([*world.entries, *world.agents]), rng.uniform(2, 9))
        elif kind == "store":
            nodes = rng.sample(list(world.entries.values()), rng.randint(1, len(world.entries)))
            for node in nodes:
                node.store.faults.silent = True
            await anyio.sleep(rng.uniform(1, 6))
            for node in nodes:
                node.store.faults.silent = False
        elif kind == "lost":
            rng.choice(list(world.entries.values())).store.faults.lost_answers = 3
        elif kind == "late":
            rng.choice(list(world.entries.values())).store.faults.late_writes = 3
        elif world.shared.leases:
            world.shared.end_lease(rng.choice(list(world.shared.leases)))

    async def loop(self, until: float) -> None:
        while boot_s() < until:
            await self.inject_one()
            await anyio.sleep(self.rng.uniform(0.2, 2.0))


@when("{count:d} jobs are submitted to the jobworld under random faults with seed {seed:d}")
def random_faults(context: Any, count: int, seed: int) -> None:
    script(context).seed = seed

    async def act(run: Script) -> None:
        rng = random.Random(seed)
        until = boot_s() + count * 1.0
        run.running_world.unanswered_share = 0.05
        async with anyio.create_task_group() as group:
            for number in range(2):
                group.start_soon(RandomFaults(run, seed * 10 + number).loop, until)
            for number in range(count):
                steps = (
                    Step(rng.randint(1, 5), CORE, 2.0, checkpoints=rng.random() < 0.5),
                    Step(rng.randint(1, 3), CORE, 2.0, after=(0,), gang=rng.random() < 0.3),
                )
                job = Job(JobId(f"{seed:08x}{number:08x}"), QUEUE, "bake", steps)
                group.start_soon(submit_until_accepted, run, job, rng.random())
                run.jobs.append(job.job_id)
                await anyio.sleep(rng.uniform(0.2, 1.6))

    script(context).actions.append(act)


async def submit_until_accepted(run: Script, job: Job, choice: float) -> None:
    """Submit a job at one entry after another, as a client does."""
    while True:
        names = sorted(run.running_world.entries)
        node = run.running_world.entries[names[int(choice * 97) % len(names)]]
        choice += 0.37
        if (
            not node.scope.cancel_called
            and (await node.job_service.submit(job)).value == "accepted"
        ):
            return
        await anyio.sleep(0.3)


@when(
    "a job of {count:d} tasks is submitted to the jobworld "
    "just as the executor of {host:w} begins to leave"
)
def submit_beside_leaving(context: Any, count: int, host: str) -> None:
    async def act(run: Script) -> None:
        world = run.running_world
        node = world.agents[host]
        node.sends_heartbeats = False
        # The scheduler hears of it only with the next report.
        while node.agent.attachment is None or not node.agent.attachment.reported:
            await anyio.sleep(0.01)
        assert node.agent.state is not None
        node.agent.on_executor_heartbeat(ExecutorState(node.agent.state.facts, draining=True))
        run.jobs.append(await world.submit(Step(count, CORE, 1.0)))

    script(context).actions.append(act)


@then("no task of the jobworld was ordered more than {times:d} times")
def ordered_at_most(context: Any, times: int) -> None:
    models = [node.model for node in script(context).running_world.agents.values()]
    found = [(task, run) for model in models for task, run, _, _ in model.history]
    assert found and max(run for _, run in found) <= times, found


@when("every agent attaches again while the starts of a job of {count:d} tasks are written")
def attach_during_write(context: Any, count: int) -> None:
    async def act(run: Script) -> None:
        world = run.running_world
        leader = world.leader()
        assert leader is not None
        other = next(name for name, node in world.entries.items() if node is not leader)
        leader.store.faults.silent = True
        run.jobs.append(await world.submit(Step(count, CORE, 1.0), at=other))
        await anyio.sleep(0.1)
        for node in world.agents.values():
            for link in [link for link in world.links if link.near is node.process]:
                if link.far is leader.process:
                    await world.close(link)
                    await world.connect(node.process, leader.process)
        await anyio.sleep(0.5)
        leader.store.faults.silent = False

    script(context).actions.append(act)


@when("host0's executor restarts while the endings of a job of {count:d} tasks are written")
def restart_during_write(context: Any, count: int) -> None:
    async def act(run: Script) -> None:
        world = run.running_world
        leader, agent = world.leader(), world.agents["host0"]
        assert leader is not None
        run.jobs.append(await world.submit(Step(count, CORE, 1.0)))
        await anyio.sleep(0.9 * run.seconds)
        leader.store.faults.silent = True
        while agent.model.last_ending_number < count:
            await anyio.sleep(0.01)
        await anyio.sleep(0.1)
        leader.store.faults.silent = False
        agent.model.crash()
        await anyio.sleep(2.0)
        assert leader is world.leader()

    script(context).actions.append(act)


@when("a job is submitted to the jobworld while writes are late, and again while all are refused")
def submit_with_unknown_outcome(context: Any) -> None:
    async def act(run: Script) -> None:
        node = run.running_world.entries["entry0"]
        context.outcomes = []
        first, second = (
            Job(JobId(f"{number:016x}"), QUEUE, "bake", (Step(1, CORE, 1.0),)) for number in (7, 8)
        )
        node.store.faults.late_writes, node.store.faults.late_s = 100, 30.0
        context.outcomes.append((await node.job_service.submit(first)).value)
        node.store.faults.late_writes, node.store.faults.down = 0, True
        for job in (first, second):
            context.outcomes.append((await node.job_service.submit(job)).value)

    script(context).actions.append(act)


@then("both submissions to the jobworld are answered unknown")
def both_unknown(context: Any) -> None:
    script(context).run()
    assert context.outcomes[:2] == ["unknown", "unknown"], context.outcomes


@then("another job that the refusing store does not take is answered not-accepted")
def other_refused(context: Any) -> None:
    assert context.outcomes[2] == "not-accepted", context.outcomes


@when(
    "host0 of the jobworld is linked to the scheduler and one other entry, "
    "and the scheduler is killed"
)
def close_other_links_and_kill_scheduler(context: Any) -> None:
    async def act(run: Script) -> None:
        world = run.running_world
        leader = world.leader()
        assert leader is not None
        agent = world.agents["host0"].process
        others = [node for node in world.entries.values() if node is not leader]
        dropped = {node.process for node in others[1:]}
        for link in [link for link in world.links if link.near is agent and link.far in dropped]:
            await world.close(link)
        await world.kill(leader)

    script(context).actions.append(act)


@then("host0 of the jobworld follows the next scheduler within {limit:d} seconds")
def follows_next(context: Any, limit: int) -> None:
    async def act(run: Script) -> None:
        with anyio.fail_after(limit):
            while True:
                leader = run.running_world.leader()
                name = run.running_world.agents["host0"].agent.leader
                if leader is not None and name == leader.process.hello.process_id:
                    return
                await anyio.sleep(0.05)

    script(context).actions.append(act)
    script(context).run()
