"""Steps for hostslopes.feature."""

from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from behave import given, then, when

from apricotpath.boottime import set_clock
from apricotpath.fleet import FleetSettings, Host
from apricotpath.hostload import PlacementInput, host_loads
from apricotpath.ids import DataCentreId, Epoch, HostId, JobId, QueueId, RackId, ServiceId
from apricotpath.joborder import waiting_groups
from apricotpath.jobtable import JobTable
from apricotpath.messages import HostAttach, HostRuns, HostSilent, Message
from apricotpath.model import Size
from apricotpath.runplacement import choose_host, place
from apricotpath.runrecords import Assigned
from apricotpath.term import Term
from apricotpath.workload import HostFacts, Job, Queue, Step, TaskKey
from apricotpathd.hosttracker import HostTracker
from support.instructions import count_instructions

EPOCH = Epoch(3)
CORE = Step(1, Size(1000, 100))


class SilentLink:
    """A link that takes all messages."""

    peer_id = "agent"

    def send_nowait(self, body: Message, reply_to: int = 0) -> None:
        pass


class Fleet:
    """A tracker with attached hosts, each over a link of its own."""

    def __init__(self, hosts: int) -> None:
        term = Term(EPOCH, "epoch", 1)
        self.tracker = HostTracker(term, JobTable(), FleetSettings(), lambda: 0.0, lambda: None)
        self.links = [SilentLink() for _ in range(hosts)]
        self.fences = [
            self.tracker.attach(link, attach_message(number)).fence
            for number, link in enumerate(self.links)
        ]

    def report(self, number: int) -> None:
        message = HostRuns(self.fences[number], 1, True, False, 0, 100.0, (), ())
        self.tracker.receive_report(self.links[number], message)

    def silence(self, number: int) -> None:
        self.tracker.receive_silence(self.links[number], HostSilent(self.fences[number]))

    def close(self, number: int) -> None:
        self.tracker.link_closed(self.links[number])


def attach_message(number: int) -> HostAttach:
    return HostAttach(
        HostId(f"host{number:04d}"),
        f"instance{number}",
        1,
        ServiceId("bakery"),
        DataCentreId("z1"),
        RackId("r1"),
        (),
        Size(16_000, 64_000),
        EPOCH,
    )


EVENTS: dict[str, Callable[[Fleet, int], None]] = {
    "a report of an idle host": Fleet.report,
    "a message that an executor is silent": Fleet.silence,
    "the end of a host's link": Fleet.close,
}


@given("hostslopes trackers of {few:d} and of {many:d} attached hosts")
def fleets(context: Any, few: int, many: int) -> None:
    set_clock(lambda: 1.0)
    context.add_cleanup(set_clock, None)
    context.fleets = [Fleet(few), Fleet(many)]


@when("{event} is counted at both hostslopes trackers")
def count_event(context: Any, event: str) -> None:
    # The host that attached last was found last.
    context.instructions = [
        count_instructions(lambda fleet=fleet: EVENTS[event](fleet, len(fleet.links) - 1))
        for fleet in context.fleets
    ]


@then("it took at most {factor:g} times as many instructions at the larger hostslopes tracker")
def same_cost(context: Any, factor: float) -> None:
    few, many = context.instructions
    assert many <= factor * few, context.instructions


QUEUE = Queue(QueueId("bread"), ServiceId("bakery"), stretch=2.0, target_s=1.0)
FILLER = Step(1, Size(1800, 3200), 2.0, filler=True, image="oven")
# Fits on no host of the fleet.
HUGE = Step(1, Size(15_000, 64_000), 2.0)
NOW = 100.0


class Waiting:
    """A job table with runs on each host, and jobs that wait for room."""

    def __init__(self, hosts: int, runs: int) -> None:
        self.table = JobTable()
        self.hosts = {name: attached_host(name) for name in map(host_name, range(hosts))}
        self._jobs = 0
        for host in self.hosts:
            for task in self.add_job(CORE, runs) if runs else ():
                self.table.apply(Assigned(task, 1, host, f"instance of {host}", 1), NOW)

    def add_job(self, step: Step, tasks: int) -> list[TaskKey]:
        """Add a job of one step, and return its tasks."""
        self._jobs += 1
        job = JobId(f"{self._jobs:016x}")
        step = replace(step, count=tasks)
        self.table.add(Job(job, QUEUE.queue, "bake", (step,), accepted_s=NOW), NOW)
        return [TaskKey(job, 0, 0, number) for number in range(tasks)]

    def inputs(self) -> PlacementInput:
        return PlacementInput(
            self.hosts, {QUEUE.queue: QUEUE}, frozenset(), NOW, NOW, FleetSettings()
        )

    def count_pass(self) -> int:
        # Runs that changed since the last pass are added up once, in whichever pass comes next.
        host_loads(self.table, self.inputs())
        return count_instructions(lambda: place(self.table, self.inputs()))


def host_name(number: int) -> HostId:
    return HostId(f"host{number:04d}")


def attached_host(name: HostId) -> Host:
    host = Host(name, reported=True, reported_at=NOW)
    host.facts = HostFacts(
        f"instance of {name}",
        1,
        QUEUE.service,
        DataCentreId("z1"),
        RackId("r1"),
        frozenset(),
        Size(16_000, 64_000),
    )
    return host


@given("a hostslopes fleet of {hosts:d} hosts, each with {runs:d} runs")
def fleet_with_runs(context: Any, hosts: int, runs: int) -> None:
    context.make_fleet = lambda runs=runs: Waiting(hosts, runs)


def waiting_for(context: Any, work: str) -> Waiting:
    fleet: Waiting = context.make_fleet(0) if "no runs" in work else context.make_fleet()
    if "no room" in work:
        for _ in range(30 if "30 jobs" in work else 1):
            fleet.add_job(HUGE, 40)
    else:
        fleet.add_job(FILLER, 40 if "40" in work else 1)
    return fleet


@when("the hostslopes passes that {work} and that {other_work} are counted")
def count_passes(context: Any, work: str, other_work: str) -> None:
    context.instructions = [waiting_for(context, name).count_pass() for name in (work, other_work)]


@then("the first takes at most {factor:g} times as many instructions as the second")
def little_more(context: Any, factor: float) -> None:
    first, second = context.instructions
    assert first <= factor * second, context.instructions


@then("{count:d} random hostslopes groups of tasks are placed on the same hosts as one by one")
def same_hosts(context: Any, count: int) -> None:
    rng = Random(5)
    for _ in range(count):
        fleet = Waiting(rng.randint(1, 30), 0)
        for host in fleet.hosts:
            for task in fleet.add_job(CORE, rng.randint(1, 12)):
                fleet.table.apply(Assigned(task, 1, host, f"instance of {host}", 1), NOW)
        step = rng.choice([FILLER, CORE, replace(CORE, max_per_host=2)])
        step = replace(step, long_running=rng.random() < 0.3)
        tasks = fleet.add_job(step, rng.randint(1, 80))
        placed = [(item.task, item.host) for item in place(fleet.table, fleet.inputs())]
        assert placed == one_by_one(fleet, tasks), (step, placed)


def one_by_one(fleet: Waiting, tasks: list[TaskKey]) -> list[tuple[TaskKey, HostId]]:
    """Place tasks by looking at all hosts for each of them."""
    loads = host_loads(fleet.table, fleet.inputs())
    group = next(
        group
        for group in waiting_groups(fleet.table, fleet.inputs())
        if group.tasks[0].key.job == tasks[0].job
    )
    placed = []
    for task in group.tasks:
        load = choose_host(group, task, loads.values())
        if load is None:
            break
        load.add_start(task.key, group.step)
        placed.append((task.key, load.host.host))
    return placed
