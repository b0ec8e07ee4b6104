"""Steps for runplacement.feature."""

import random
from collections import Counter
from dataclasses import replace
from typing import Any

from behave import given, then, when

from apricotpath.absences import Absence
from apricotpath.crashes import Blame, CrashPart
from apricotpath.disturbance import Pressures
from apricotpath.fleet import FleetSettings, Host
from apricotpath.hostleases import LeaseBasis
from apricotpath.hostload import PlacementInput, host_loads
from apricotpath.ids import DataCentreId, FenceToken, HostId, JobId, QueueId, RackId, ServiceId
from apricotpath.jobrows import RunPhase
from apricotpath.jobtable import JobTable
from apricotpath.model import Size
from apricotpath.runmoves import place_copies, serving_runs_to_consolidate, slow_runs
from apricotpath.runplacement import Placement, place
from apricotpath.runrecords import Assigned, Crashed, Ended
from apricotpath.waitreasons import long_waits
from apricotpath.workload import HostFacts, Job, Queue, RunResult, Step, TaskKey

CORE = 1000
NOW = 100.0
SERVICE = ServiceId("bakery")
QUEUE = Queue(QueueId("bread"), SERVICE)


class PlacementCase:
    """Hosts and a job table for placement passes."""

    def __init__(self) -> None:
        self.table = JobTable()
        self.hosts: dict[HostId, Host] = {}
        self.out: set[DataCentreId] = set()
        self.placed: list[Placement] = []
        self.pressures = Pressures()
        self.jobs = 0
        self.queue = QUEUE
        self.advised: frozenset[str] | None = None

    def host(self, name: str, cores: int, rack: str = "") -> Host:
        host = Host(HostId(name), fence=FenceToken(1), reported=True, reported_at=NOW)
        zone, labels = DataCentreId(f"zone-{name}"), frozenset({"stone"})
        capacity = Size(cores * CORE, cores * 1000, 0)
        host.facts = HostFacts(name, 1, SERVICE, zone, RackId(rack or name), labels, capacity)
        self.hosts[host.host] = host
        return host

    def add(self, step: Step, waited_s: float = 0.0) -> JobId:
        self.jobs += 1
        job = Job(JobId(f"{self.jobs:016x}"), QUEUE.queue, "", (step,), accepted_s=self.jobs)
        self.table.add(job, NOW - waited_s)
        return job.job_id

    def run(self, host: str, step: Step) -> None:
        """Add a job with one task that runs on a host."""
        key = TaskKey(self.add(step), 0, 0, 0)
        self.table.apply(Assigned(key, 1, HostId(host), host, 1), NOW)

    def place(self, given_now: float = NOW) -> list[Placement]:
        given = PlacementInput(
            self.hosts,
            {QUEUE.queue: self.queue},
            frozenset(self.out),
            given_now,
            0.0,
            FleetSettings(),
            pressures=self.pressures,
            advised=lambda _task: self.advised,
        )
        self.placed = place(self.table, given)
        return self.placed

    def counts(self) -> Counter[str]:
        return Counter(str(placement.host) for placement in self.placed)


def survive_starts(case: PlacementCase) -> None:
    """Let all runs survive their start."""
    for run in (run for runs in case.table.by_host.values() for run in runs.values()):
        run.survived = True


def step(count: int, cores: float, **flags: Any) -> Step:
    return Step(count, Size(int(cores * CORE), int(cores * 100), 0), **flags)


@given("runplacement hosts a and b of {cores:d} cores")
def two_hosts(context: Any, cores: int) -> None:
    context.case = PlacementCase()
    for name in "ab":
        context.case.host(name, cores)


@given("runplacement host a {reason}")
def host_state(context: Any, reason: str) -> None:
    case: PlacementCase = context.case
    host = case.hosts[HostId("a")]
    facts = host.facts
    assert facts is not None
    if reason == "is in a zone taken out":
        case.out.add(facts.data_centre)
    elif reason == "leaves":
        host.draining = True
    elif reason == "is silent":
        host.reported_at = NOW - 10
    elif reason == "is set aside":
        host.set_aside_until = NOW + 1
    elif reason == "is of another service":
        host.facts = HostFacts("a", 1, ServiceId("mill"), facts.data_centre, facts.rack)
    elif reason == "lacks the label":
        host.facts = HostFacts(
            "a", 1, SERVICE, facts.data_centre, facts.rack, frozenset(), facts.capacity
        )
    elif reason == "has not reported its runs":
        host.reported = False
    elif reason == "reports a run that the job table does not contain":
        host.unknown_runs = 1
    else:
        raise AssertionError(reason)


@given("runplacement's hosts {guards} their capacity")
def guarding(context: Any, guards: str) -> None:
    context.case.queue = replace(QUEUE, guards_capacity=guards == "guard")


@when("the unknown run of runplacement host a has ended")
def unknown_run_ended(context: Any) -> None:
    context.case.hosts[HostId("a")].unknown_runs = 0
    context.case.place()


@given("a serving task of {cores:d} cores runs on runplacement host {host:w}")
def serving(context: Any, cores: int, host: str) -> None:
    context.case.run(host, step(1, cores, long_running=True, target_ms=10.0))


@given("a serving task of {cores:d} cores of image {image:w} runs on runplacement host {host:w}")
def serving_image(context: Any, cores: int, image: str, host: str) -> None:
    context.case.run(host, step(1, cores, long_running=True, target_ms=10.0, image=image))


@given("{count:d} filler tasks of {cores:d} core run on runplacement host {host:w}")
def fillers_on_one(context: Any, count: int, cores: int, host: str) -> None:
    for _ in range(count):
        context.case.run(host, step(1, cores, filler=True))


@when("a step of {count:d} serving tasks of {cores:d} cores is placed by runplacement")
def place_serving(context: Any, count: int, cores: int) -> None:
    context.case.add(step(count, cores, long_running=True, target_ms=10.0))
    context.case.place()


@given("{count:d} runplacement hosts of {cores:d} cores that are lost")
def lost_hosts(context: Any, count: int, cores: int) -> None:
    context.case = PlacementCase()
    for number in range(count):
        context.case.host(f"h{number}", cores).reported = False


@when(
    "{serving:d} serving tasks of {cores:d} cores wait behind {short:d} short ones of 1 core, "
    "and the hosts return one by one"
)
def hosts_return(context: Any, serving: int, cores: int, short: int) -> None:
    case: PlacementCase = context.case
    case.add(step(short, 1))
    case.add(step(serving, cores, long_running=True, target_ms=10.0))
    for host in case.hosts.values():
        host.reported = True
        for placement in case.place():
            case.table.apply(Assigned(placement.task, placement.run, placement.host, "", 1), NOW)


@then("runplacement has put all serving tasks on {count:d} hosts")
def serving_hosts(context: Any, count: int) -> None:
    table: JobTable = context.case.table
    hosts = {
        run.host
        for row in table.rows.values()
        for run in row.runs()
        if row.step(run.task).long_running
    }
    waiting = [key for key in table.waiting if table.step_of(key).long_running]
    assert (len(hosts), waiting) == (count, []), (hosts, waiting)


@given("{count:d} tasks of {cores:d} core run on each runplacement host")
def running(context: Any, count: int, cores: int) -> None:
    for host in "ab":
        for _ in range(count):
            context.case.run(host, step(1, cores))


@given("a task of {cores:d} cores has waited {seconds:d} seconds for runplacement")
def waiting(context: Any, cores: int, seconds: int) -> None:
    context.case.add(step(1, cores), seconds)


@given("a serving task of {cores:d} cores has waited {seconds:d} seconds for runplacement")
def waiting_serving(context: Any, cores: int, seconds: int) -> None:
    context.case.add(step(1, cores, long_running=True, target_ms=10.0), seconds)


@given(
    "a serving task of {cores:d} cores has waited {seconds:d} seconds for runplacement, "
    "and does not run since {away_s:d} seconds"
)
def waiting_away(context: Any, cores: int, seconds: int, away_s: int) -> None:
    job = context.case.add(step(1, cores, long_running=True, target_ms=10.0), seconds)
    (task,) = context.case.table.rows[job].tasks.values()
    task.absence = Absence(NOW - away_s, LeaseBasis.ASSUMPTION)


@given("{count:d} tasks of {cores:d} core run on runplacement host {host:w}")
def running_on_one(context: Any, count: int, cores: int, host: str) -> None:
    for _ in range(count):
        context.case.run(host, step(1, cores))


@when("a step of {count:d} tasks of {cores:d} core is placed by runplacement")
def place_tasks(context: Any, count: int, cores: int) -> None:
    context.case.add(step(count, cores, label="stone"))
    context.case.place()


@when("a step of {count:d} tasks of {cores:d} core, at most {most:d} per host, is placed")
def place_spread(context: Any, count: int, cores: int, most: int) -> None:
    context.case.add(step(count, cores, max_per_host=most))
    context.case.place()


@when("a step of {count:d} filler tasks of {cores:d} core is placed by runplacement")
def place_filler(context: Any, count: int, cores: int) -> None:
    context.case.add(step(count, cores, filler=True))
    context.case.place()


@when("a gang of {count:d} tasks of {cores:d} core is placed by runplacement")
def place_gang(context: Any, count: int, cores: int) -> None:
    context.case.add(step(count, cores, gang=True))
    context.case.place()


@when("a gang of {count:d} tasks of {cores:d} core on one rack is placed by runplacement")
def place_gang_on_rack(context: Any, count: int, cores: int) -> None:
    context.case.add(step(count, cores, gang=True, same_rack=True))
    context.case.place()


@then("runplacement puts {one:d} on {a:w} and {two:d} on {b:w}")
def puts(context: Any, one: int, a: str, two: int, b: str) -> None:
    counts = context.case.counts()
    assert (counts[a], counts[b]) == (one, two), counts


@then("runplacement puts all {count:d} on one host")
def puts_all(context: Any, count: int) -> None:
    assert list(context.case.counts().values()) == [count], context.case.counts()


def random_pass(seed: int) -> list[str]:
    """Place and end random work; return a description of each overcommitted host."""
    rng = random.Random(seed)
    case = PlacementCase()
    for name in "abcd":
        case.host(name, rng.randint(2, 16), rack=rng.choice(["r1", "r2"]))
    found = []
    for turn in range(30):
        flags: dict[str, Any] = {}
        kind = rng.choice(["plain", "gang", "filler", "long_running", "near"])
        if kind == "near":
            flags["near"] = RackId("r1")
        elif kind != "plain":
            flags[kind] = True
        case.add(step(rng.randint(1, 6), rng.uniform(0.1, 4.0), **flags))
        for placement in case.place(NOW):
            record = Assigned(placement.task, placement.run, placement.host, placement.host, 1)
            case.table.apply(record, NOW)
        found += [f"turn {turn}: {text}" for text in overcommitted(case)]
        runs = [run for row in case.table.rows.values() for run in row.runs()]
        for run in rng.sample(runs, len(runs) // 3):
            case.table.apply(Ended(run.task, run.run, RunResult.DONE), NOW)
    return found


def overcommitted(case: PlacementCase) -> list[str]:
    found = []
    for host in case.hosts.values():
        total = Size()
        for run in case.table.runs_on(host.host):
            size = case.table.step_of(run.task).size
            filler = case.table.step_of(run.task).filler
            total = total + (Size(0, size.memory_mb, size.accelerators) if filler else size)
        assert host.facts is not None
        if not total.fits_in(host.facts.capacity):
            found.append(f"{host.host} holds {total} of {host.facts.capacity}")
    return found


@when("random jobs are placed on random hosts by runplacement, seeds {a:d} to {b:d}")
def place_random(context: Any, a: int, b: int) -> None:
    context.found = {seed: random_pass(seed) for seed in range(a, b + 1)}


@then("no host of runplacement was overcommitted")
def none_overcommitted(context: Any) -> None:
    assert not any(context.found.values()), context.found


@given("the objective of the runplacement queue is twice the run time of a job")
def queue_objective(context: Any) -> None:
    context.case.queue = Queue(QUEUE.queue, SERVICE, stretch=2.0)


@when(
    "a job of 1 second that has waited {waited:g} seconds and a new one of 1 second "
    "compete for both hosts"
)
def old_and_new(context: Any, waited: float) -> None:
    case: PlacementCase = context.case
    context.ids = []
    for age in (waited, 0.0):
        case.jobs += 1
        steps = (step(2, 1, estimate_s=1.0),)
        job = Job(JobId(f"{case.jobs:016x}"), QUEUE.queue, "", steps, accepted_s=1000.0 - age)
        case.table.add(job, NOW)
        context.ids.append(job.job_id)
    given_now = PlacementInput(
        case.hosts, {QUEUE.queue: case.queue}, frozenset(), NOW, 1000.0, FleetSettings()
    )
    case.placed = place(case.table, given_now)


@then("runplacement starts the {which:w} one first")
def starts_first(context: Any, which: str) -> None:
    expected = context.ids[0 if which == "waiting" else 1]
    assert {placement.task.job for placement in context.case.placed} == {expected}


def running_task(case: PlacementCase, percent: int, **flags: Any) -> None:
    """Add a task estimated at 1 s that has run on host a for 3 s."""
    job = case.add(step(1, 1, estimate_s=1.0, **flags))
    key = TaskKey(job, 0, 0, 0)
    case.table.apply(Assigned(key, 1, HostId("a"), "a", 1), NOW - 3)
    run = case.table.task(key).runs[1]
    run.phase, run.percent = RunPhase.RUNNING, percent


def placement_input(case: PlacementCase) -> PlacementInput:
    queues = {QUEUE.queue: QUEUE}
    return PlacementInput(case.hosts, queues, frozenset(), NOW, 0.0, FleetSettings())


@when("a speculative task of 1 second has run for 3 seconds on runplacement host a")
def slow_speculative(context: Any) -> None:
    running_task(context.case, 50, speculative=True)


@then("runplacement starts a copy of it on {host:w} as run {run:d}")
def copy_started(context: Any, host: str, run: int) -> None:
    copies = place_copies(context.case.table, placement_input(context.case))
    assert [(copy.host, copy.run) for copy in copies] == [(host, run)], copies


@when(
    "a task of 1 second is at 20 percent after 3 seconds on a with speed 0.2, and b has {speed:g}"
)
def slow_host(context: Any, speed: float) -> None:
    running_task(context.case, 20)
    context.case.hosts[HostId("a")].speed = 0.2
    context.case.hosts[HostId("b")].speed = speed


@then("runplacement moves {count:d} runs")
def moves_runs(context: Any, count: int) -> None:
    case: PlacementCase = context.case
    inputs = placement_input(case)
    assert len(slow_runs(case.table, inputs, host_loads(case.table, inputs))) == count


@given("{count:d} filler tasks of {cores:d} core run on each runplacement host")
def running_fillers(context: Any, count: int, cores: int) -> None:
    for host in "ab":
        for _ in range(count):
            context.case.run(host, step(1, cores, filler=True))


@when("a step of {count:d} filler tasks of {cores:d} core after {seconds:d} seconds is placed")
def place_waiting_filler(context: Any, count: int, cores: int, seconds: int) -> None:
    context.newest = context.case.add(step(count, cores, filler=True), seconds)
    context.case.place()


@then("runplacement starts {count:d} task of the newest job")
def starts_of_newest(context: Any, count: int) -> None:
    assert started_of_newest(context) == count, context.case.placed


@then("runplacement starts at least {count:d} tasks of the newest job")
def least_starts_of_newest(context: Any, count: int) -> None:
    assert started_of_newest(context) >= count, context.case.placed


def started_of_newest(context: Any) -> int:
    """Return how many tasks of the newest job were placed."""
    newest = f"{context.case.jobs:016x}"
    return sum(placement.task.job == newest for placement in context.case.placed)


@given("{count:d} runplacement hosts of {cores:d} cores with {used:d} cores in use")
def many_hosts(context: Any, count: int, cores: int, used: int) -> None:
    context.case = PlacementCase()
    for number in range(count):
        context.case.host(f"h{number}", cores)
        context.case.run(f"h{number}", step(1, used))


@given("{count:d} tasks of {cores:d} cores have waited {seconds:d} seconds for runplacement")
def many_waiting(context: Any, count: int, cores: int, seconds: int) -> None:
    for _ in range(count):
        context.case.add(step(1, cores), seconds)


@given("filler tasks on runplacement host a were limited to {percent:d} percent of their speed")
def paced(context: Any, percent: int) -> None:
    context.case.hosts[HostId("a")].filler_percent = float(percent)


@then("runplacement puts between {least:d} and {most:d} on a")
def between(context: Any, least: int, most: int) -> None:
    assert least <= context.case.counts()["a"] <= most, context.case.counts()


@given("a job of serving tasks of {cores:d} cores at work, 1 on runplacement host a and 3 on b")
def serving_job(context: Any, cores: int) -> None:
    case: PlacementCase = context.case
    job = case.add(step(4, cores, long_running=True, target_ms=10.0, max_unavailable=1))
    for position, host in enumerate("abbb"):
        key = TaskKey(job, 0, 0, position)
        case.table.apply(Assigned(key, 1, HostId(host), host, 1), NOW - 10)
        run = case.table.task(key).runs[1]
        run.phase, run.percent = RunPhase.RUNNING, 100
    context.serving_job = job


@when("the case of runplacement is: {text}")
def consolidation_case(context: Any, text: str) -> None:
    case: PlacementCase = context.case
    row = case.table.rows[context.serving_job]
    runs = list(row.runs())
    if "no room" in text:
        case.run("b", step(1, 3))
    elif "b leaves" in text:
        case.hosts[HostId("b")].draining = True
    elif "not at work" in text:
        runs[2].percent = 40
    elif "may be away" in text:
        row.job = replace(row.job, steps=(replace(row.job.steps[0], max_unavailable=0),))
    elif "just begun" in text:
        runs[0].since = NOW - 1
    elif "without filler" in text:
        for run in case.table.runs_on(HostId("a")):
            if run.task.job != context.serving_job:
                case.table.apply(Ended(run.task, run.run, RunResult.DONE), NOW)


@then("runplacement stops {count:d} serving runs on a")
def stops_serving(context: Any, count: int) -> None:
    case: PlacementCase = context.case
    inputs = placement_input(case)
    loads = host_loads(case.table, inputs)
    found = serving_runs_to_consolidate(case.table, inputs, loads)
    assert [run.host for run in found] == ["a"] * count, found


@given("filler tasks of image {image:w} have a low impact on other runplacement tasks")
def light_image(context: Any, image: str) -> None:
    context.case.pressures = Pressures({image: {"": 0.0}})


@given(
    "filler tasks of image {image:w} slow {slowed:w} down by {pressure:g} and {other:w} not at all"
)
def heavy_for_one(context: Any, image: str, slowed: str, pressure: float, other: str) -> None:
    context.case.pressures = Pressures({image: {slowed: pressure, other: 0.0}})


@when(
    "a step of {count:d} filler tasks of {cores:d} core of image {image:w} "
    "is placed by runplacement"
)
def place_image(context: Any, count: int, cores: int, image: str) -> None:
    context.case.add(step(count, cores, filler=True, image=image))
    context.case.place()


@when("a task of 1 core has waited 3 seconds beside hosts with {reason}")
def waits_beside(context: Any, reason: str) -> None:
    case: PlacementCase = context.case
    for host in "ab":
        if reason == "processors reserved":
            case.run(host, step(1, 3.5))
        elif reason == "memory reserved":
            case.run(host, Step(1, Size(CORE, 3950, 0), filler=True))
        elif reason == "processors in use":
            case.run(host, step(1, 5, filler=True))
        elif reason == "long-running tasks":
            case.run(host, step(1, 3.5, long_running=True))
    limit = 1 if reason == "enough tasks of the step" else 0
    job = case.add(step(3, 1, filler=reason == "processors in use", max_per_host=limit), 3.0)
    if limit:
        for index, host in enumerate("ab"):
            case.table.apply(Assigned(TaskKey(job, 0, 0, index), 1, HostId(host), host, 1), NOW)


@then("the runplacement log names {reason} for both hosts")
def wait_logged(context: Any, reason: str) -> None:
    case: PlacementCase = context.case
    inputs = placement_input(case)
    (wait,) = long_waits(case.table, inputs, host_loads(case.table, inputs))
    assert wait["hosts"] == {reason: 2}, wait


@when("a task that is suspected of a crash is advised to run on runplacement host {host:w}")
def place_advised_suspect(context: Any, host: str) -> None:
    case: PlacementCase = context.case
    survive_starts(case)
    case.queue, case.advised = replace(QUEUE, advised=True), frozenset({host})
    task = TaskKey(case.add(step(1, 1)), 0, 0, 0)
    case.table.apply(Crashed(task, 1, CrashPart(Blame.SUSPECT, chance=0.0)), NOW)
    case.place()


@given("a gang of {count:d} tasks of {cores:g} cores that needs the label has waited 3 seconds")
def waiting_gang(context: Any, count: int, cores: float) -> None:
    context.case.add(step(count, cores, gang=True, label="stone"), 3.0)


@when("runplacement host b shrinks to {cores:d} cores")
def shrink(context: Any, cores: int) -> None:
    host = context.case.hosts[HostId("b")]
    assert host.facts is not None
    host.facts = replace(host.facts, capacity=Size(cores * CORE, cores * 1000, 0))
    context.case.place()
