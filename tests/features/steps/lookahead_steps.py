"""Steps for lookahead.feature."""

import contextlib
import io
import json
import tempfile
from hashlib import sha256
from typing import Any

import anyio
from behave import given, then, when

from apricotpath.fleet import FleetSettings, Host
from apricotpath.hostload import PlacementInput
from apricotpath.ids import DataCentreId, FenceToken, HostId, JobId, QueueId, RackId, ServiceId
from apricotpath.jobrows import RunPhase
from apricotpath.jobtable import JobTable
from apricotpath.lookahead import Lookahead
from apricotpath.model import Size
from apricotpath.planevents import GiveUpReason
from apricotpath.runplacement import Placement, place
from apricotpath.runrecords import Assigned, Ended
from apricotpath.workload import HostFacts, Job, Queue, RunResult, Step, TaskKey
from apricotpath_platform.cmdline import load_settings, parse_args
from support.instructions import count_instructions
from support.jobworld import JobWorld, run_virtual
from support.placementtables import PASSES, GeneratedTable, digest_of_passes

SERVICE = ServiceId("bakery")
QUEUES = {
    QueueId(name): Queue(QueueId(name), SERVICE, priority=priority)
    for name, priority in (("urgent", 0), ("bread", 1))
}
CORES = 16
TICK_S = 0.1
START = 100.0


class LookaheadCase:
    """Hosts, runs that end at known times, and passes with a plan."""

    def __init__(self) -> None:
        self.table, self.hosts = JobTable(), dict[HostId, Host]()
        self.ahead: Lookahead | None = Lookahead()
        self.out: frozenset[DataCentreId] = frozenset()
        self.now, self.jobs = START, 0
        self.ends: dict[tuple[TaskKey, int], float] = {}
        self.started: dict[JobId, float] = {}
        self.newest = self.gang = JobId("")
        self.placed: list[Placement] = []

    def add_host(self, name: str, rack: str = "") -> HostId:
        host = Host(HostId(name), fence=FenceToken(1), reported=True)
        zone, capacity = DataCentreId(f"zone-{name}"), Size(CORES * 1000, CORES * 1000)
        facts = HostFacts(name, 1, SERVICE, zone, RackId(rack or name), frozenset(), capacity)
        host.facts = facts
        self.hosts[host.host] = host
        return host.host

    def add(self, step: Step, queue: str = "bread") -> JobId:
        self.jobs += 1
        self.newest = JobId(f"{self.jobs:016x}")
        self.table.add(Job(self.newest, QueueId(queue), "", (step,), accepted_s=0.0), self.now)
        return self.newest

    def run(self, host: HostId, step: Step, seconds: float) -> None:
        """Let all tasks of a new step run on a host for some more time."""
        job = self.add(step)
        for position in range(step.count):
            key = TaskKey(job, 0, 0, position)
            self.table.apply(Assigned(key, 1, host, host, 1), self.now)
            self.ends[key, 1] = self.now + seconds

    def fill(self, host: HostId, seconds: float, cores: int = CORES) -> None:
        self.run(host, step(cores, 1, seconds), seconds)

    def tick(self, until: float) -> None:
        """End runs and do passes until a time; runs last as long as estimated."""
        while self.now < until:
            self.now = min(until, self.now + TICK_S)
            for task, run in [key for key, end in self.ends.items() if end <= self.now]:
                del self.ends[task, run]
                self.table.apply(Ended(task, run, RunResult.DONE), self.now)
            self.run_pass()

    def run_pass(self) -> None:
        for host in self.hosts.values():
            host.reported_at = self.now
        inputs = PlacementInput(self.hosts, QUEUES, self.out, self.now, 0.0, FleetSettings())
        self.placed = place(self.table, inputs, self.ahead)
        for item in self.placed:
            self.table.apply(Assigned(item.task, item.run, item.host, item.host, 1), self.now)
            self.ends[item.task, item.run] = self.now + self.table.step_of(item.task).estimate_s
            self.started.setdefault(item.task.job, self.now)

    def reserved(self) -> list[str]:
        assert self.ahead is not None
        return sorted(host for item in self.ahead.reservations.values() for host in item.slots)


def step(count: int, cores: float, seconds: float, **flags: Any) -> Step:
    return Step(count, Size(int(cores * 1000), int(cores * 100)), seconds, **flags)


@then("the lookahead digest of {count:d} generated tables without the switch is {digest:w}")
def same_placements(context: Any, count: int, digest: str) -> None:
    digests = [digest_of_passes(place, seed) for seed in range(1, count + 1)]
    found = sha256("".join(digests).encode()).hexdigest()[:16]
    assert found == digest, found


@when("lookahead places {count:d} generated tables")
def place_generated(context: Any, count: int) -> None:
    context.overcommitted, context.backfilled = [], 0
    for seed in range(1, count + 1):
        generated, ahead = GeneratedTable(seed), Lookahead()
        for _ in range(PASSES):
            generated.run_pass(lambda table, inputs, ahead=ahead: place(table, inputs, ahead))
            context.overcommitted += [
                (seed, name)
                for name, host in generated.hosts.items()
                if host.facts is not None
                and not generated.table.commitments(name).claimed.fits_in(host.facts.capacity)
            ]
        context.backfilled += ahead.counts.backfilled


@then("no lookahead host was overcommitted and lookahead has backfilled tasks")
def none_overcommitted(context: Any) -> None:
    assert not context.overcommitted, context.overcommitted
    assert context.backfilled > 0


@given("lookahead hosts a and b, full for {a:g} and {b:g} seconds, with {cores:d} cores free on b")
def two_hosts(context: Any, a: float, b: float, cores: int) -> None:
    case = context.case = LookaheadCase()
    case.fill(case.add_host("a"), a)
    case.fill(case.add_host("b"), b, CORES - cores)


@given("a lookahead host c on the rack of a, full for {seconds:g} seconds")
def third_host(context: Any, seconds: float) -> None:
    context.case.fill(context.case.add_host("c", "a"), seconds)


@given("a lookahead gang of {count:d} tasks of {cores:d} cores that waits, on {racks}")
def waiting_gang(context: Any, count: int, cores: int, racks: str) -> None:
    case: LookaheadCase = context.case
    case.gang = case.add(step(count, cores, 4.0, gang=True, same_rack=racks == "one rack"))
    case.tick(case.now + 1.0)


@when("a lookahead step of {count:d} tasks of 1 core and {seconds:g} seconds comes")
def new_step(context: Any, count: int, seconds: float) -> None:
    context.case.add(step(count, 1, seconds))
    context.case.run_pass()


@when("an urgent step of {count:d} tasks of 1 core and {seconds:g} seconds comes to lookahead")
def urgent_step(context: Any, count: int, seconds: float) -> None:
    context.case.add(step(count, 1, seconds), "urgent")
    context.case.run_pass()


@then("lookahead starts {count:d} of them on {host:w}")
def starts(context: Any, count: int, host: str) -> None:
    case: LookaheadCase = context.case
    found = [item.host for item in case.placed if item.task.job == case.newest]
    assert found.count(HostId(host)) == count, found


@then("the lookahead gang starts at most {seconds:g} seconds from now")
def gang_starts(context: Any, seconds: float) -> None:
    case: LookaheadCase = context.case
    case.tick(START + seconds + 1.0)
    assert case.gang in case.started, case.now


@then("lookahead reserves {hosts}")
def reserves(context: Any, hosts: str) -> None:
    case: LookaheadCase = context.case
    case.run_pass()
    expected = [] if hosts == "nothing" else hosts.split(" and ")
    assert case.reserved() == expected, case.reserved()


@when("the event of lookahead is: {event}")
def something_happens(context: Any, event: str) -> None:
    case: LookaheadCase = context.case
    host = case.hosts[HostId("a")]
    assert host.facts is not None
    if "cancelled" in event:
        case.table.cancel(case.gang)
    elif "all hosts drain" in event:
        for other in case.hosts.values():
            other.draining = True
        case.tick(case.now + 25.0)
        for other in case.hosts.values():
            other.draining = False
            case.fill(other.host, 2.0)
        case.tick(case.now + 1.5)
    elif "drains" in event:
        host.draining = True
    elif "leaves" in event:
        del case.hosts[host.host]
    elif "taken out" in event:
        case.out = frozenset({host.facts.data_centre})
    elif "shrinks" in event:
        facts = host.facts
        size = Size(12_000, 12_000)
        host.facts = HostFacts("a", 1, SERVICE, facts.data_centre, facts.rack, capacity=size)
    elif "runs" in event:
        seconds = float(event.split()[-2])
        case.ends = dict.fromkeys(case.ends, START + seconds)
        case.tick(START + (2.8 if seconds < 60 else 24.0))
    if "runs" not in event:
        case.run_pass()


@then("lookahead has given up {count:d} reservation as {reason}")
def given_up(context: Any, count: int, reason: str) -> None:
    counts = context.case.ahead.counts.given_up
    assert counts[GiveUpReason(reason)] == count, counts


@when("another scheduler takes over at lookahead")
def new_scheduler(context: Any) -> None:
    context.case.ahead = Lookahead()


@given("{count:d} lookahead hosts in a stream of tasks of 1 core and 1 second")
def stream(context: Any, count: int) -> None:
    case = context.case = LookaheadCase()
    for number in range(count):
        case.add_host(f"h{number}")


def stream_starts(case: LookaheadCase, until: float) -> int:
    """Offer more small tasks than fit until a time; return how many have started."""
    started = 0
    while case.now < until:
        if len(case.table.waiting) < 60:
            case.add(step(60, 1, 1.0))
        case.tick(case.now + TICK_S)
        started += len(case.placed)
    return started


@when("a lookahead task of 15 cores comes into the stream, with backfill")
def into_stream(context: Any) -> None:
    case: LookaheadCase = context.case
    context.before = stream_starts(case, START + 5)
    case.gang = case.add(step(1, 15, 1.0))
    context.after = stream_starts(case, START + 10)


@then("it has started within {seconds:g} seconds and the stream has lost at most 1 in 5 starts")
def started_in_stream(context: Any, seconds: float) -> None:
    case: LookaheadCase = context.case
    assert case.started.get(case.gang, case.now) <= START + 5 + seconds, case.started.get(case.gang)
    assert context.after >= 0.8 * context.before, (context.before, context.after)


@given("a lookahead host with 14 cores of filler tasks, {state}")
def filler_host(context: Any, state: str) -> None:
    case = context.case = LookaheadCase()
    case.run(case.add_host("a"), step(2, 7, 4.0, filler=True), 4.0)
    case.now += 2.0
    runs = case.table.runs_on(HostId("a"))
    for run in runs:
        run.phase, run.percent = RunPhase.RUNNING, 30
    if "half" in state:
        runs[0].percent = 95


@given("a lookahead host b with a serving task of 2 cores")
def serving_host(context: Any) -> None:
    case: LookaheadCase = context.case
    case.run(case.add_host("b"), step(1, 2, 0.0, long_running=True), 60.0)


@when("a lookahead filler step of {count:d} tasks of {cores:d} cores comes")
def filler_step(context: Any, count: int, cores: int) -> None:
    context.case.add(step(count, cores, 4.0, filler=True))
    context.case.run_pass()


@given(
    "a lookahead table of {hosts:d} hosts, each with {runs:d} runs, and {groups:d} groups that wait"
)
def large_table(context: Any, hosts: int, runs: int, groups: int) -> None:
    case = context.case = LookaheadCase()
    for number in range(hosts):
        case.run(case.add_host(f"h{number}"), step(runs, 0.7, 3.0), 3.0)
    for number in range(groups):
        case.add(step(10, 3.5 + number / 100, 1.0))
    case.now += 2.0


@then("a lookahead pass takes at most {factor:g} times the instructions of one without it")
def pass_cost(context: Any, factor: float) -> None:
    case: LookaheadCase = context.case
    ahead, costs = case.ahead, []
    for plan in (None, ahead):
        case.ahead = plan
        for _ in range(4):
            case.run_pass()
        assert not case.placed
        costs.append(count_instructions(case.run_pass))
    assert ahead is not None and ahead.reservations
    assert costs[1] <= factor * costs[0], costs


@when(
    "a lookahead world runs a stream of small jobs, a gang that fits beside none, "
    "and a new scheduler"
)
def run_world(context: Any) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = context.world = JobWorld(group, FleetSettings(backfill=True))
            world.behaviour.seconds = 1.1
            for name in ("entry0", "entry1"):
                world.add_entry(name)
            for number in range(3):
                world.add_agent(f"host{number}", Size(4000, 4000))
            await world.wait_until_attached()
            context.states, context.plans, context.metrics = [], [], []
            for _ in range(2):
                leader = world.leader()
                assert leader is not None and leader.jobs.scheduler is not None
                name = leader.process.hello.process_id
                context.plans.append(leader.jobs.scheduler.planning)
                jobs = []
                for turn in range(12):
                    jobs.append(await world.submit(step(11, 0.45, 2.0), at=name))
                    if turn == 1:
                        gang = step(3, 4, 0.5, gang=True)
                        jobs.append(await world.submit(gang, at=name))
                    await anyio.sleep(0.4)
                context.states += [await world.wait_for_end(job, 30.0) for job in jobs]
                context.metrics.append(leader.jobs._metrics.render().decode())
                leader.scope.cancel()
                await anyio.sleep(8.0)
            group.cancel_scope.cancel()

    run_virtual(main)


@then("the lookahead gang and all jobs are done before and after the change of scheduler")
def all_done(context: Any) -> None:
    assert set(context.states) == {"completed"}, context.states


@then("the first lookahead scheduler has learned run times and used a reservation")
def planned(context: Any) -> None:
    plan = context.plans[0]
    assert len(plan.ahead.times) > 0 and plan._totals.used > 0, vars(plan._totals)
    assert plan._ratios[False].summary().runs > 0
    assert context.plans[1] is not plan


@then("the lookahead metrics name the waits of large and small groups and the reservations")
def metrics_named(context: Any) -> None:
    for text in ('size="large"', 'size="small"', 'reservations_total{event="made"}'):
        assert text in context.metrics[0], [
            line for line in context.metrics[0].splitlines() if "wait" in line or "reserv" in line
        ]


@when("lookahead settings are loaded with the command line {words}")
def load_words(context: Any, words: str) -> None:
    body = {
        "nodeName": "front-1",
        "ip": "127.0.0.1",
        "portRange": [20000, 20010],
        "zone": "zvolen",
        "platform": {"addr": "127.0.0.1:1"},
        "listen": {},
        "bounds": {},
    }
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(body, file)
        file.flush()
        with contextlib.redirect_stderr(io.StringIO()):
            try:
                cfg = load_settings(parse_args([*words.split(), "--settings", file.name]))
            except SystemExit:
                context.result = "refused"
                return
    context.result = "on" if cfg.fleet.backfill else "off"


@then("the result of lookahead is {result:w}")
def settings_result(context: Any, result: str) -> None:
    assert context.result == result, context.result
