"""Steps for removedroutes.feature."""

import json
from dataclasses import replace
from typing import Any

import anyio
from behave import given, then, when

from apricotpath.ids import ProcessId
from apricotpath.jobmetrics import JobMetrics
from apricotpath.model import Size
from apricotpath.workload import Progress, RunResult, Step
from apricotpath_platform.ingress import IngressApp
from apricotpath_platform.operatorview import CONFIG_KEY, OperatorView
from support.gangworld import HOST_SIZE, QUEUE, GangWorld, gang_main, wait_until
from support.jobworld import JobWorld, run_virtual
from support.memorystore import MemoryStore, SharedStore

LIMIT_S = 10.0
# Each of the two jobs takes the whole host.
WHOLE = Step(1, Size(HOST_SIZE.cpu_milli, 100, 0))
JOB = "00000000000000a1"
ROUTE = {
    "name": "r-bread",
    "service": "bakery",
    "host": "bread.example",
    "prefix": "/bread/",
    "attempts": 2,
}


@given("a removedroutes scheduler with a running and a waiting job")
def scheduler(context: Any) -> None:
    context.states = []


async def start(world: GangWorld) -> tuple[Any, Any]:
    """Submit two jobs, the first of which runs."""
    jobs = await world.submit(1, WHOLE), await world.submit(2, WHOLE)
    await wait_until(lambda: world.running() == 1, LIMIT_S)
    return jobs


async def snapshot(world: GangWorld) -> None:
    """Have the scheduler write a snapshot at its next pass."""
    run_log = world.scheduler._log
    await wait_until(lambda: run_log._obsolete_known, LIMIT_S)
    run_log.entries = 10_000
    await wait_until(lambda: run_log.entries < 1000, LIMIT_S)


@when("the route of their queue is removed, and {event}")
def remove_route(context: Any, event: str) -> None:
    async def act(world: GangWorld) -> None:
        jobs = await start(world)
        world.queues = {}
        if "snapshot" in event:
            await snapshot(world)
        if "replaced" in event:
            await world.replace_scheduler()
            await anyio.sleep(1.0)
        for _ in jobs:
            await wait_until(lambda: world.running() == 1, LIMIT_S)
            world.end_all(RunResult.DONE)
            await wait_until(lambda: not world.running(), LIMIT_S)
        await wait_until(lambda: all(world.progress(job).final for job in jobs), LIMIT_S)
        context.states = [world.progress(job) for job in jobs]

    run_virtual(gang_main(1, act))


@then("both removedroutes jobs are completed")
def completed(context: Any) -> None:
    assert context.states == [Progress.COMPLETED] * 2, context.states


@when("the attempts of their queue are lowered to 1, its route is removed and a task fails")
def lower_attempts(context: Any) -> None:
    async def act(world: GangWorld) -> None:
        jobs = await start(world)
        world.queues = {QUEUE: replace(world.queues[QUEUE], attempts=1)}
        await anyio.sleep(1.0)
        world.queues = {}
        world.end_all(RunResult.FAILED)
        await wait_until(lambda: world.progress(jobs[0]).final, LIMIT_S)
        context.states = [world.progress(jobs[0])]

    run_virtual(gang_main(1, act))


@then("the removedroutes job is shown as failed")
def failed(context: Any) -> None:
    assert context.states == [Progress.FAILED], context.states


@when("both jobs are done, the route is removed and a snapshot is written")
def forget(context: Any) -> None:
    async def act(world: GangWorld) -> None:
        jobs = await start(world)
        for _ in jobs:
            await wait_until(lambda: world.running() == 1, LIMIT_S)
            world.end_all(RunResult.DONE)
        await wait_until(lambda: all(world.progress(job).final for job in jobs), LIMIT_S)
        world.queues = {}
        await snapshot(world)
        await world.replace_scheduler()
        context.known = dict(world.scheduler.table.queues)

    run_virtual(gang_main(1, act))


@then("the next removedroutes scheduler knows no rules of the queue")
def forgotten(context: Any) -> None:
    assert context.known == {}, context.known


@given("a removedroutes world of 2 entries without a scheduler")
def no_scheduler(context: Any) -> None:
    context.states = []


async def replace_scheduler(world: JobWorld) -> None:
    """Kill the scheduler, start its entry again, and wait for the next one."""
    node = world.leader()
    assert node is not None
    await world.kill(node)
    world.add_entry(node.process.hello.process_id)
    await world.wait_until_attached()


@when("the first job of a queue is accepted, its route is removed, and {event}")
def accept_unseen(context: Any, event: str) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = JobWorld(group)
            world.behaviour.seconds = 12.0
            for name in ("entry0", "entry1"):
                world.add_entry(name)
            world.add_agent("host0", HOST_SIZE)
            await world.wait_until_attached()
            leader = world.leader()
            assert leader is not None
            await world.kill(leader)
            other = next(name for name, node in world.entries.items() if node is not leader)
            job = await world.submit(Step(1, Size(1000, 100)), at=other)
            world.queues = {}
            await world.wait_until_attached()
            if event == "the scheduler is replaced twice":
                world.add_entry(leader.process.hello.process_id)
                for _ in range(2):
                    await replace_scheduler(world)
            elif event != "nothing else happens":
                world.add_entry(leader.process.hello.process_id)
                node = world.leader()
                assert node is not None
                run_log = node.jobs.scheduler._log
                await wait_until(lambda: run_log._obsolete_known, LIMIT_S)
                run_log.entries = 10_000
                await wait_until(lambda: run_log.entries < 1000, LIMIT_S)
                await replace_scheduler(world)
            context.states = [await world.wait_for_end(job, 40)]
            group.cancel_scope.cancel()

    run_virtual(main)


@then("the first removedroutes job is completed")
def first_completed(context: Any) -> None:
    assert context.states == ["completed"], context.states


class AskedService:
    """A job service that notes whether it was asked."""

    def __init__(self) -> None:
        self.asked = 0

    async def progress(self, job: str) -> Progress:
        self.asked += 1
        return Progress.RUNNING

    async def cancel(self, job: str) -> bool:
        self.asked += 1
        return True

    async def submit(self, job: Any, rules: Any) -> Any:
        raise AssertionError("the job was submitted")


class RoutedEntry:
    """The ingress of an entry, without a listening port."""

    def __init__(self) -> None:
        self.view = OperatorView(MemoryStore(SharedStore()), lambda: None)
        # Never outdated.
        self.view.mirror.read_at = float("inf")
        self.service: Any = AskedService()
        self.app = IngressApp(ProcessId("front-1"), self.view, self.service, JobMetrics())
        self.configure(1, [ROUTE])

    def configure(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Bring a version of the configuration into force."""
        value = json.dumps({"version": version, "routes": routes}).encode()
        self.view._on_key_changed(CONFIG_KEY, value, version)

    def call(self, method: str) -> int:
        """Make a call on the job; return the status."""
        sent: list[Any] = []

        async def receive() -> Any:
            return {"type": "http.request", "body": b"{}", "more_body": False}

        async def send(message: Any) -> None:
            sent.append(message)

        headers = [(b"host", b"bread.example")]
        scope = {"type": "http", "method": method, "path": f"/bread/{JOB}", "headers": headers}
        run_virtual(lambda: self.app(scope, receive, send))
        return int(sent[0]["status"])


@given("a removedroutes entry that knows a job")
def entry(context: Any) -> None:
    context.entry = RoutedEntry()
    assert context.entry.call("GET") == 200
    context.entry.service.asked = 0


@when("the configuration without its route comes into force at the removedroutes entry")
def reconfigure(context: Any) -> None:
    context.entry.configure(2, [])


@then("{method} of the job is answered 404, and the removedroutes job service was not asked")
def answered(context: Any, method: str) -> None:
    assert context.entry.call(method) == 404
    assert context.entry.service.asked == 0
