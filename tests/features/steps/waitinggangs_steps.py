"""Steps for waitinggangs.feature."""

import random
import sys
from dataclasses import replace
from typing import Any

from behave import given, then, when

from apricotpath.fleet import FleetSettings, Host
from apricotpath.gangplacement import assign
from apricotpath.gangturns import GangTurns
from apricotpath.hostload import HostLoad, PlacementInput
from apricotpath.ids import DataCentreId, FenceToken, HostId, JobId, QueueId, RackId, ServiceId
from apricotpath.jobrows import Task
from apricotpath.jobtable import JobTable
from apricotpath.model import Size
from apricotpath.runplacement import Placement, _may_place, _preference, place
from apricotpath.workload import HostFacts, Job, Queue, Step, TaskKey

QUEUE = Queue(QueueId("bread"), ServiceId("bakery"))
NOW = 100.0
CORE = 1000
SMALL = Size(100, 10, 0)
SEEDS = range(1, 301)


def host(number: int, size: Size, rack: str = "r1") -> Host:
    """Return a host that takes starts."""
    name = HostId(f"h{number}")
    facts = HostFacts(name, 1, QUEUE.service, DataCentreId("z"), RackId(rack), capacity=size)
    return Host(name, facts, fence=FenceToken(1), reported=True, reported_at=NOW)


class WaitingGangs:
    """Hosts and waiting jobs; `turns` lasts from pass to pass."""

    def __init__(self, hosts: int, cores: int) -> None:
        size = Size(cores * CORE // 2, 10_000, 0)
        self.hosts = {item.host: item for item in (host(n, size) for n in range(hosts))}
        self.table, self.turns = JobTable(), GangTurns()
        self.jobs = self.calls = self.passes = 0

    def add(self, step: Step) -> JobId:
        """Add a waiting job."""
        self.jobs += 1
        job = Job(JobId(f"{self.jobs:016x}"), QUEUE.queue, "", (step,), accepted_s=self.jobs)
        self.table.add(job, NOW)
        return job.job_id

    def place(self) -> list[Placement]:
        """Make a pass, and count the calls of functions."""
        inputs = PlacementInput(
            self.hosts,
            {QUEUE.queue: QUEUE},
            frozenset(),
            NOW,
            0.0,
            FleetSettings(),
            gang_turns=self.turns,
        )
        self.calls, self.passes = 0, self.passes + 1
        sys.setprofile(self._profile)
        try:
            return place(self.table, inputs)
        finally:
            sys.setprofile(None)

    def _profile(self, frame: Any, event: str, arg: Any) -> None:
        self.calls += event in ("call", "c_call")


@given("waitinggangs hosts of {cores:d} cores, {count:d} in all, half full")
def half_full(context: Any, cores: int, count: int) -> None:
    context.case = WaitingGangs(count, cores)


@given("{count:d} waiting gangs of {members:d} tasks, {sizes}")
def gangs_wait(context: Any, count: int, members: int, sizes: str) -> None:
    # Most members fit, but not all; a gang that is smaller than those before it may still fit.
    room_milli = sum(item.facts.capacity.cpu_milli for item in context.case.hosts.values())
    least_milli = room_milli // members + 2
    for number in range(count):
        more_milli = 0 if sizes == "all alike" else count - number
        context.case.add(Step(members, Size(least_milli + more_milli, 1, 0), gang=True))


@given("a waiting gang of {members:d} small tasks behind them")
def small_gang(context: Any, members: int) -> None:
    context.small = context.case.add(Step(members, SMALL, estimate_s=1e6, gang=True))


@when("an ordinary job of {tasks:d} tasks arrives at the waitinggangs, and a pass is made")
def ordinary(context: Any, tasks: int) -> None:
    context.ordinary = context.case.add(Step(tasks, SMALL))
    context.tasks, context.placed = tasks, context.case.place()


@then("the pass starts the ordinary job, and makes at most {calls:d} calls")
def starts_ordinary(context: Any, calls: int) -> None:
    started = [item for item in context.placed if item.task.job == context.ordinary]
    assert len(started) == context.tasks, context.placed
    assert context.case.calls <= calls, context.case.calls


@when("passes are made until the small waitinggang starts")
def passes(context: Any) -> None:
    case: WaitingGangs = context.case
    while not case.place():
        assert case.passes < 1000, "the small gang was never looked at"


@then("it took at most {most:d} passes")
def few_passes(context: Any, most: int) -> None:
    assert context.case.passes <= most, context.case.passes


def random_load(rng: random.Random, number: int) -> HostLoad:
    """Return a host with some runs on it."""
    size = Size(rng.randint(0, 8000), rng.randint(0, 800), rng.randint(0, 2))
    load = HostLoad(host=host(number, size, rng.choice(["r1", "r2"])), capacity=size)
    for other in range(rng.randint(0, 3)):
        step = Step(
            1,
            Size(rng.randint(0, 2000), rng.randint(0, 200), 0),
            long_running=rng.random() < 0.5,
            filler=rng.random() < 0.3,
        )
        load.add(TaskKey(JobId("other"), 0, 0, other), step)
    return load


def random_gang(rng: random.Random) -> Step:
    """Return a gang of random size and limits."""
    return Step(
        rng.randint(1, 30),
        Size(rng.choice([0, 100, 900]), rng.choice([0, 30, 100]), rng.choice([0, 0, 1])),
        gang=True,
        filler=rng.random() < 0.3,
        same_rack=rng.random() < 0.3,
        max_per_host=rng.choice([0, 0, 1, 3]),
    )


def fits_one_by_one(members: list[Task], step: Step, loads: list[HostLoad]) -> bool:
    """Try each member on each host, as all hosts together decide whether a gang fits."""
    loads = [replace(load, steps=dict(load.steps)) for load in loads]
    for task in members:
        load = next((load for load in loads if _may_place(load, task, step)), None)
        if load is None:
            return False
        load.add_start(task.key, step)
    return True


@when("random gangs are placed on random waitinggangs hosts, seeds 1 to 300")
def place_random(context: Any) -> None:
    context.wrong, context.fitting = [], 0
    for seed in SEEDS:
        rng = random.Random(seed)
        loads = [random_load(rng, number) for number in range(rng.randint(1, 8))]
        step = random_gang(rng)
        table = JobTable()
        table.add(Job(JobId("a"), QUEUE.queue, "", (step,)), NOW)
        members = list(table.waiting.values())
        expected = fits_one_by_one(members, step, loads)
        before = [replace(load, steps=dict(load.steps)) for load in loads]
        chosen = assign(members, step, loads, _preference)
        context.fitting += expected
        for task, load in chosen:
            saved = next(item for item in before if item.host is load.host)
            if not _may_place(saved, task, step):
                context.wrong.append((seed, "a host was given too much"))
            saved.add_start(task.key, step)
        if len(chosen) != (len(members) if expected else 0) or before != loads:
            context.wrong.append((seed, expected, len(chosen)))


@then("each was placed whole if trying each member finds room, and else not at all")
def same_answer(context: Any) -> None:
    assert not context.wrong, context.wrong[:5]
    assert 30 <= context.fitting <= 270, context.fitting
