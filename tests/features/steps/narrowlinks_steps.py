"""Steps for narrowlinks.feature."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from behave import given, then, when

from apricotpath.boottime import boot_s
from apricotpath.ids import JobId
from apricotpath.messages import JobStatuses
from apricotpath.model import Size
from apricotpath.runlog import MAX_EXTRA, RunLog
from apricotpath.runrecords import Assigned
from apricotpath.store import Compare, Delete, Put, TxnResult
from apricotpath.workload import Step, TaskKey
from support.jobworld import PREFIX, JobWorld, run_virtual
from support.memorystore import MemoryStore, SharedStore

NARROW_BYTES_PER_S = 250_000
CAPACITY = Size(16_000, 64_000)
TASK = Step(40, Size(1000, 100), 1.0)
SHORT_TASK = Step(2, Size(1000, 100), 1.0)
LOG_PREFIX = f"{PREFIX}otherruns/"
EPOCH_KEY = "test/otherepoch"


class NarrowWorld:
    """A job world whose actions are carried out by the last step of a scenario."""

    def __init__(self, entries: int, agents: int) -> None:
        self.entries, self.agents = entries, agents
        self.actions: list[Callable[[], Awaitable[None]]] = []
        self.jobs: list[JobId] = []
        self.world: Any = None

    def run(self) -> None:
        run_virtual(self._main)

    async def _main(self) -> None:
        async with anyio.create_task_group() as group:
            self.world = JobWorld(group)
            self.start_entries()
            for number in range(self.agents):
                self.world.add_agent(f"agent{number}", CAPACITY, rack=f"r{number}")
            await self.world.wait_until_attached()
            for action in self.actions:
                await action()
            group.cancel_scope.cancel()

    def start_entries(self) -> None:
        for number in range(self.entries):
            # The first one is elected, having most processors.
            self.world.add_entry(f"entry{number}", cores=2.0 - number / 10)

    async def lose_power(self, change: Callable[[dict[str, MemoryStore]], None]) -> None:
        """Kill all processes, and start them again with other links to the store."""
        world = self.world
        for node in [*world.entries.values(), *world.agents.values()]:
            await world.kill(node)
        for agent in world.agents.values():
            agent.model.crash()
        await anyio.sleep(1.0)
        self.start_entries()
        change({name: node.store for name, node in world.entries.items()})
        for number in range(self.agents):
            world.add_agent(f"agent{number}", CAPACITY, rack=f"r{number}")


@given(
    "a narrowlinks world of {entries:d} entries and {agents:d} agents"
    " with {jobs:d} jobs of 40 waiting tasks"
)
def world_with_work(context: Any, entries: int, agents: int, jobs: int) -> None:
    context.narrow = case = NarrowWorld(entries, agents)

    async def act() -> None:
        case.jobs = [await case.world.submit(TASK) for _ in range(jobs)]
        await anyio.sleep(5)

    case.actions.append(act)


@given(
    "a narrowlinks world of {entries:d} entries and {agents:d} agents"
    " with {jobs:d} jobs that have ended"
)
def world_with_past(context: Any, entries: int, agents: int, jobs: int) -> None:
    context.narrow = case = NarrowWorld(entries, agents)

    async def act() -> None:
        case.jobs = [await case.world.submit(SHORT_TASK) for _ in range(jobs)]
        for job in case.jobs:
            assert await case.world.wait_for_end(job, 30) == "completed"

    case.actions.append(act)


@when("the narrowlinks world loses power, and connections to the store {fault}")
def lose_power_narrow(context: Any, fault: str) -> None:
    def change(stores: dict[str, MemoryStore]) -> None:
        for store in stores.values():
            faults = store.faults
            store.page_items = 2
            if "Mbit/s" in fault:
                faults.bytes_per_s = NARROW_BYTES_PER_S
            if "reset" in fault:
                limit = 300_000 if "300 kB" in fault else 20_000
                faults.reset_every_bytes = faults.reset_after_bytes = limit

    context.narrow.actions.append(lambda: context.narrow.lose_power(change))


@when("the narrowlinks world loses power, and the strongest entry reads no page of the store")
def lose_power_stalled(context: Any) -> None:
    def change(stores: dict[str, MemoryStore]) -> None:
        async def stall() -> None:
            # It reads the election's keys, and nothing any more once it is elected.
            while context.narrow.world.entries["entry0"].jobs.scheduler is None:
                await anyio.sleep(0.001)
            stores["entry0"].faults.reads_stall = True

        context.narrow.world.group.start_soon(stall)

    context.narrow.actions.append(lambda: context.narrow.lose_power(change))


@when(
    "the narrowlinks world loses power,"
    " and no entry reads a page of the store for {seconds:d} seconds"
)
def lose_power_unread(context: Any, seconds: int) -> None:
    def change(stores: dict[str, MemoryStore]) -> None:
        async def stall() -> None:
            # Elections need the first pages of the election's keys.
            await anyio.sleep(0.1)
            for store in stores.values():
                store.faults.reads_stall = True
            await anyio.sleep(seconds)
            for store in stores.values():
                store.faults.reads_stall = False

        context.narrow.world.group.start_soon(stall)

    context.narrow.actions.append(lambda: context.narrow.lose_power(change))


async def serve_again(case: NarrowWorld, within: float) -> None:
    lost_at = boot_s()
    with anyio.fail_after(within):
        while case.world.leader() is None:
            await anyio.sleep(0.05)
    await case.world.wait_until_attached()
    assert boot_s() - lost_at <= within, boot_s() - lost_at


@then("the narrowlinks world serves again within {within:d} seconds")
def serves(context: Any, within: int) -> None:
    context.narrow.actions.append(lambda: serve_again(context.narrow, within))


@then("the narrowlinks world serves again within {within:d} seconds after a power cut")
def serves_after_cut(context: Any, within: int) -> None:
    case: NarrowWorld = context.narrow

    async def act() -> None:
        await case.lose_power(lambda _: None)
        await serve_again(case, within)

    case.actions.append(act)


@then("the narrowlinks world runs no task twice and completes its first job")
def completes(context: Any) -> None:
    case: NarrowWorld = context.narrow

    async def act() -> None:
        assert await case.world.wait_for_end(case.jobs[0], 120) == "completed"
        assert not case.world.violations(), case.world.violations()

    case.actions.append(act)
    case.run()


@when("the scheduler of the narrowlinks world is killed")
def kill_scheduler(context: Any) -> None:
    case: NarrowWorld = context.narrow
    context.sent = sent = []

    async def act() -> None:
        for node in case.world.entries.values():
            original = node.job_service.apply_statuses

            def record(message: JobStatuses, apply: Any = original) -> None:
                sent.append(message)
                apply(message)

            node.job_service.apply_statuses = record
        await case.world.kill(case.world.leader())
        await anyio.sleep(10)

    case.actions.append(act)


@then("the next scheduler of the narrowlinks world sends no final state")
def no_final_states(context: Any) -> None:
    async def act() -> None:
        assert any(message.whole for message in context.sent)
        final = [status for message in context.sent for status in message.jobs]
        assert not [status for status in final if status.progress.final], len(final)

    context.narrow.actions.append(act)


@then("each entry of the narrowlinks world still shows the jobs as completed")
def still_completed(context: Any) -> None:
    case: NarrowWorld = context.narrow

    async def act() -> None:
        for node in case.world.entries.values():
            for job in case.jobs if not node.scope.cancel_called else []:
                progress = await node.job_service.progress(job)
                assert progress is not None and progress.value == "completed", (job, progress)

    case.actions.append(act)
    case.run()


@when("the scheduler writes a snapshot at 1 part a second in the narrowlinks world")
def slow_snapshot(context: Any) -> None:
    case: NarrowWorld = context.narrow

    async def act() -> None:
        node = case.world.leader()
        run_log, original = node.jobs.scheduler._log, node.store.txn
        seqs: list[int] = []

        async def slow_txn(compares: list[Compare], operations: list[Put | Delete]) -> TxnResult:
            if any("/parts/" in item.key for item in operations if isinstance(item, Put)):
                seqs.append(run_log._seq)
                await anyio.sleep(1.0)
            return await original(compares, operations)

        node.store.txn = slow_txn
        # Makes the next pass of the scheduler write a snapshot.
        run_log.entries += 10_000
        with anyio.fail_after(60):
            while f"{PREFIX}runs/snapshot" not in case.world.shared.items:
                await anyio.sleep(0.05)
        context.appends = run_log._seq - seqs[0]

    case.actions.append(act)


@then("the narrowlinks scheduler appends at least {least:d} times during the snapshot")
def appended(context: Any, least: int) -> None:
    async def act() -> None:
        assert context.appends >= least, context.appends

    context.narrow.actions.append(act)


def assigned(number: int) -> Assigned:
    task = TaskKey(JobId("a"), 0, 0, number)
    return Assigned(task, 1, "host-of-the-fleet", "instance-0123456789", 1_700_000_000_000)


@when("{count:d} records and 20 other operations are appended to a run log at once")
def append_batch(context: Any, count: int) -> None:
    shared = context.shared = SharedStore()
    context.records = [assigned(number) for number in range(count)]

    async def act() -> None:
        store = MemoryStore(shared)
        result = await store.txn([], [Put(EPOCH_KEY, b"{}")])
        run_log = RunLog(store, LOG_PREFIX, EPOCH_KEY, result.revision)
        await run_log.load()
        extra = [Put(f"test/extra/{number}", b"x") for number in range(MAX_EXTRA)]
        await run_log.append(context.records, extra)
        next_log = RunLog(store, LOG_PREFIX, EPOCH_KEY, result.revision)
        context.loaded = await next_log.load()

    run_virtual(act)


@then("no value of the run log has more than {limit:d} bytes")
def small_values(context: Any, limit: int) -> None:
    sizes = [len(item.value) for item in context.shared.items.values()]
    assert max(sizes) <= limit, max(sizes)


@then("the next run log loads the {count:d} records in order, and the other operations took effect")
def batch_loaded(context: Any, count: int) -> None:
    assert context.loaded == context.records
    extra = [key for key in context.shared.items if key.startswith("test/extra/")]
    assert len(extra) == MAX_EXTRA, len(extra)
