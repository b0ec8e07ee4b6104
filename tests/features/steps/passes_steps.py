"""Steps for passes.feature."""

from hashlib import sha256
from itertools import accumulate
from typing import Any

import anyio
from behave import given, then, when

from apricotpath.fleet import FleetSettings, Host
from apricotpath.hostload import PlacementInput
from apricotpath.ids import DataCentreId, Epoch, FenceToken, HostId, JobId, RackId
from apricotpath.jobmetrics import JobMetrics
from apricotpath.jobrows import READY_PERCENT, Run, RunPhase
from apricotpath.jobtable import JobTable
from apricotpath.model import Size
from apricotpath.runplacement import place
from apricotpath.runrecords import Assigned
from apricotpath.slices import Slices
from apricotpath.term import Term
from apricotpath.workload import HostFacts, Job, Queue, Step, TaskKey
from apricotpathd.hosttracker import HostTracker
from apricotpathd.planning import Planning
from apricotpathd.runstops import RunStops
from support.executormodel import ExecutorModel
from support.jobworld import QUEUE, SERVICE, JobWorld, run_virtual
from support.placementtables import digest_of_passes

CORE = Size(1000, 100, 0)
ESTIMATE_S = 1.0
RUN_S = 30.0
# Fits on no host; the job is submitted and cancelled only to have something written.
HUGE = Size(1000 * CORE.cpu_milli, 0, 0)
# Longer than the interval of the search for copies, so that the pass after a write looks for them.
LOG_INTERVAL_S = 0.5
# Time for a submitted or cancelled job to reach the scheduler.
ARRIVE_S = 0.05
# Longer than the time from a join to the next search for copies.
SETTLE_S = 2.0
AGENTS = 2
JOINED = "joined"
# A time long after the serving tasks began.
NOW = 100.0
DRAIN_S = 30.0
SLOW_SPEED = 0.2
SLOW_PERCENT = 10
HOST = Size(8000, 8000, 0)


class PassesWorld:
    """A job world with a speculative step that does not fit on its first agents."""

    def __init__(self, room: int) -> None:
        self.capacity = Size(room * CORE.cpu_milli, room * CORE.memory_mb, 0)
        self.step = Step(0, CORE)
        # The most tasks on a host at a time, and the hosts that lacked room for one.
        self.most = 0
        self.overcommitted: list[str] = []
        # Numbers of the runs that the joined agent has started.
        self.joined: list[int] = []

    def run(self, join_at_s: float) -> None:
        """Run the world; an agent joins it while the log is written, and has some time to run."""

        async def main() -> None:
            cfg = FleetSettings(log_interval_s=LOG_INTERVAL_S)
            async with anyio.create_task_group() as group:
                await self._run(JobWorld(group, cfg), join_at_s)
                group.cancel_scope.cancel()

        run_virtual(main)

    async def _run(self, world: JobWorld, join_at_s: float) -> None:
        world.behaviour.seconds = RUN_S
        world.add_entry("entry0")
        for number in range(AGENTS):
            world.add_agent(f"host{number}", self.capacity)
        await world.wait_until_attached()
        await world.submit(self.step)
        await anyio.sleep(join_at_s)
        await self._write_something(world)
        world.add_agent(JOINED, self.capacity)
        await anyio.sleep(SETTLE_S)
        models = [node.model for node in world.agents.values()]
        self.most = max(most_at_a_time(model) for model in models)
        self.overcommitted = [model.name for model in models if model.overcommitted]
        self.joined = sorted(run for _, run in world.agents[JOINED].model.began)

    async def _write_something(self, world: JobWorld) -> None:
        """Make the scheduler write a record that moves no task."""
        job = await world.submit(Step(1, HUGE))
        await anyio.sleep(ARRIVE_S)
        await world.entries["entry0"].job_service.cancel(job)
        await anyio.sleep(ARRIVE_S)


def most_at_a_time(model: ExecutorModel) -> int:
    """Return the highest number of runs that an executor has had at a time."""
    begins = [(began, 1) for began in model.began.values()]
    ends = [(ended, -1) for _, _, _, ended in model.history]
    return max(accumulate(change for _, change in sorted(begins + ends)), default=0)


@given("a passes world of 2 agents with room for {room:d} tasks of 1 core each")
def passes_world(context: Any, room: int) -> None:
    context.world = PassesWorld(room)


@given(
    "a speculative step of {count:d} tasks, {most} per host, that take much longer than estimated"
)
def speculative_step(context: Any, count: int, most: str) -> None:
    limit = 0 if most == "any number" else int(most.removeprefix("at most "))
    world: PassesWorld = context.world
    world.step = Step(count, CORE, ESTIMATE_S, speculative=True, max_per_host=limit)


@when("another agent joins the passes world after {seconds:g} seconds, while the log is written")
def agent_joins(context: Any, seconds: float) -> None:
    context.world.run(seconds)


@then(
    "it has been given {count:d} tasks, one of them a copy, and no host had more than {most:d} "
    "tasks or lacked room for one"
)
def none_beyond(context: Any, count: int, most: int) -> None:
    world: PassesWorld = context.world
    assert not world.overcommitted, world.overcommitted
    assert world.most == most, world.most
    assert len(world.joined) == count, world.joined
    assert world.joined == [1, 2], world.joined


class StopsCase:
    """Serving tasks on three simulated hosts, and the stop orders that are sent to these."""

    def __init__(self) -> None:
        self.table = JobTable()
        self.tracker = HostTracker(
            Term(Epoch(1), "", 1), self.table, FleetSettings(), lambda: NOW, lambda: None
        )
        self.stops = RunStops(self.table, self.tracker, 0.0)
        for name in "abc":
            self.add_host(HostId(name))

    def add_host(self, name: HostId) -> None:
        """Add an attached host that has room for all serving tasks."""
        facts = HostFacts(name, 1, SERVICE, DataCentreId("z1"), RackId("r1"), capacity=HOST)
        host = Host(name, fence=FenceToken(1), reported=True, reported_at=NOW)
        host.facts = facts
        self.tracker.hosts[name] = host

    def add_job(self, number: int, step: Step, hosts: str) -> None:
        """Add a job whose tasks have been at work on the named hosts for a while."""
        job = Job(JobId(f"{number:016x}"), QUEUE, "", (step,))
        self.table.add(job, 0.0)
        for index, name in enumerate(hosts):
            key = TaskKey(job.job_id, 0, 0, index)
            self.table.apply(Assigned(key, 1, HostId(name), name, 1), 0.0)
            run = self.table.runs_on(HostId(name))[-1]
            run.phase, run.percent = RunPhase.RUNNING, READY_PERCENT

    def inputs(self) -> PlacementInput:
        """Return the inputs of a pass."""
        queues = {QUEUE: Queue(QUEUE, SERVICE)}
        hosts = self.tracker.hosts
        return PlacementInput(hosts, queues, frozenset(), NOW, NOW, FleetSettings())

    def send(self) -> None:
        """Send the stop orders that are due."""
        run_virtual(lambda: self.stops.send(self.inputs(), Slices()))

    def stopped(self) -> list[Run]:
        """Return the runs that were ordered to stop."""
        runs = [run for name in self.tracker.hosts for run in self.table.runs_on(name)]
        return [run for run in runs if run.phase is RunPhase.STOPPING]


@given("passes hosts a, b and c with a serving task on a, three on b, one on c, and room on b")
def serving_on_hosts(context: Any) -> None:
    context.case = StopsCase()
    context.hosts = "abbbc"


@given(
    "a filler task runs on passes host a, and at most {count:d} of the serving tasks may be away"
)
def filler_and_limit(context: Any, count: int) -> None:
    case: StopsCase = context.case
    serving = Step(len(context.hosts), CORE, long_running=True, max_unavailable=count)
    case.add_job(1, serving, context.hosts)
    case.add_job(2, Step(1, CORE, filler=True), "a")


@when("the scheduler looks for runs to stop while {reason}")
def look_for_stops(context: Any, reason: str) -> None:
    case: StopsCase = context.case
    if reason == "passes host c drains":
        host = case.tracker.hosts[HostId("c")]
        host.draining, host.leaves_at = True, NOW + DRAIN_S
    case.send()


@then("it has stopped the serving tasks on {hosts:w} only")
def stopped_on(context: Any, hosts: str) -> None:
    stopped = [(run.host, run.task.job) for run in context.case.stopped()]
    assert stopped == [(host, JobId(f"{1:016x}")) for host in hosts], stopped


@given("a slow passes host d runs a task, and only b has room left, for one task")
def slow_host(context: Any) -> None:
    case: StopsCase = context.case
    # What is left on a, b and c by the serving tasks, and by a task on b.
    for number, (host, cores) in enumerate([("a", 7), ("b", 4), ("c", 7)], start=3):
        case.add_job(number, Step(1, Size(cores * CORE.cpu_milli, 0, 0)), host)
    slow = HostId("d")
    case.add_host(slow)
    case.tracker.hosts[slow].speed = SLOW_SPEED
    case.add_job(6, Step(1, CORE, estimate_s=ESTIMATE_S), slow)
    case.table.runs_on(slow)[0].percent = SLOW_PERCENT


@then("it has stopped one run, on {host:w}")
def stopped_one(context: Any, host: str) -> None:
    stopped = [run.host for run in context.case.stopped()]
    assert stopped == [host], stopped


@given("passes hosts a, b and c full of filler tasks")
def full_of_fillers(context: Any) -> None:
    case = context.case = StopsCase()
    filler = Size(2 * HOST.cpu_milli, 0, 0)
    for number, name in enumerate("abc", start=1):
        case.add_job(number, Step(1, filler, filler=True), name)


@when("a passes job of two filler steps has waited for {seconds:g} seconds")
def starving_job(context: Any, seconds: float) -> None:
    steps = (Step(1, CORE, filler=True), Step(1, CORE, filler=True))
    context.case.table.add(Job(JobId(f"{9:016x}"), QUEUE, "", steps), NOW - seconds)


@then("a pass starts one task of it")
def starts_one(context: Any) -> None:
    placed = place(context.case.table, context.case.inputs())
    assert len(placed) == 1, placed


@then("the digest of the passes of {count:d} generated tables is {digest:w}")
def same_placements(context: Any, count: int, digest: str) -> None:
    digests = [digest_of_passes(place, seed) for seed in range(1, count + 1)]
    found = sha256("".join(digests).encode()).hexdigest()[:16]
    assert found == digest, found


@given("a passes host of 8 cores that {count:d} filler tasks of {cores:g} cores run on")
def host_with_fillers(context: Any, count: int, cores: float) -> None:
    case = context.case = StopsCase()
    case.tracker.hosts = {HostId("a"): case.tracker.hosts[HostId("a")]}
    case.add_job(1, Step(count, Size(int(1000 * cores), 100, 0), filler=True), "a" * count)


@when("{count:d} filler tasks of {cores:g} cores come to a pass")
def fillers_come(context: Any, count: int, cores: float) -> None:
    step = Step(count, Size(int(1000 * cores), 100, 0), filler=True)
    context.case.table.add(Job(JobId(f"{9:016x}"), QUEUE, "", (step,)), NOW)


@then("the pass starts {count:d} of them")
def starts_some(context: Any, count: int) -> None:
    placed = place(context.case.table, context.case.inputs())
    assert len(placed) == count, placed


@when("the scheduler starts a small task after 1 second and a gang after 5")
def groups_start(context: Any) -> None:
    case, metrics = StopsCase(), JobMetrics()
    case.table.add(Job(JobId(f"{1:016x}"), QUEUE, "", (Step(1, Size(100, 100, 0)),)), NOW - 1)
    case.table.add(Job(JobId(f"{2:016x}"), QUEUE, "", (Step(2, CORE, gang=True),)), NOW - 5)
    Planning(metrics).place(case.table, case.inputs())
    context.metrics = metrics.render().decode()


@then("the metrics of passes have these waits by size")
def waits_by_size(context: Any) -> None:
    lines = [line for line in context.metrics.splitlines() if "group_wait_seconds_sum" in line]
    sums = {size: line.split()[-1] for line in lines for size in ("small", "large") if size in line}
    assert {size: float(text) for size, text in sums.items()} == {"small": 1, "large": 5}, lines
