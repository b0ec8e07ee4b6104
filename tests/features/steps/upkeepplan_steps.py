"""Steps for upkeepplan.feature."""

from typing import Any

from behave import given, then, when

from apricotpath.fleet import FleetSettings, Host
from apricotpath.hostload import PlacementInput
from apricotpath.ids import (
    DataCentreId,
    FenceToken,
    HostId,
    JobId,
    MachineId,
    QueueId,
    RackId,
    ServiceId,
    WaveId,
)
from apricotpath.jobrows import RunPhase
from apricotpath.jobtable import JobTable
from apricotpath.machines import Machine, MachineList, MachineState, Wave
from apricotpath.model import Size
from apricotpath.runplacement import place
from apricotpath.runrecords import Assigned
from apricotpath.upkeepplan import UpkeepInput, UpkeepPlan, plan_upkeep
from apricotpath.upkeepstate import MachineView, WaveProgress
from apricotpath.workload import HostFacts, Job, Queue, Step, TaskKey

NOW = 100.0
SERVICE = ServiceId("bakery")
QUEUE = Queue(QueueId("bread"), SERVICE)
CORE = Size(1000, 100, 0)
SERVING_JOB = 1000


class PlanCase:
    """Hosts with their machines, and a job table."""

    def __init__(self, names: list[str]) -> None:
        self.table = JobTable()
        self.hosts: dict[HostId, Host] = {}
        self.machines = {name: (MachineState.UP, f"i-{name}") for name in names}
        self.requested_at, self.listed_at = NOW, NOW
        self.serving = 0
        self.jobs = 0
        for name in names:
            host = Host(HostId(name), fence=FenceToken(1), reported=True, reported_at=NOW)
            place = (SERVICE, DataCentreId("z"), RackId("r"), frozenset[str]())
            host.facts = HostFacts(f"i-{name}", 1, *place, Size(8000, 8000, 0))
            self.hosts[host.host] = host

    def submit(self, number: int, step: Step) -> None:
        job = Job(JobId(f"{number:016x}"), QUEUE.queue, "", (step,))
        self.table.add(job, NOW)

    def run(self, number: int, position: int, host: str, ran_s: float, percent: int) -> None:
        key = TaskKey(JobId(f"{number:016x}"), 0, 0, position)
        self.table.apply(Assigned(key, 1, HostId(host), f"i-{host}", 1), NOW - ran_s)
        run = self.table.by_host[HostId(host)][key, 1]
        run.phase, run.percent = RunPhase.RUNNING, percent

    def inputs(self) -> PlacementInput:
        queues = {QUEUE.queue: QUEUE}
        return PlacementInput(self.hosts, queues, frozenset(), NOW, 0.0, FleetSettings())

    def plan(self, progress: WaveProgress) -> UpkeepPlan:
        rows = [Machine(MachineId(n), *row) for n, row in self.machines.items()]
        view = MachineView()
        view.update(set(), MachineList(tuple(rows)), self.requested_at, self.listed_at)
        return plan_upkeep(UpkeepInput([progress], view, self.table, self.inputs(), 2.0))


def split(text: str) -> list[str]:
    return text.replace(" and ", ", ").split(", ")


def wave(names: str, seconds: float, most: int) -> WaveProgress:
    machines = tuple(MachineId(name) for name in split(names))
    return WaveProgress(Wave(WaveId(1), machines, seconds, most), NOW)


@given("upkeepplan hosts {names}")
def create(context: Any, names: str) -> None:
    context.case = PlanCase(split(names))


@given("on host {host} a task of {seconds:d} s that has run for {ran:d} s")
def run_task(context: Any, host: str, seconds: int, ran: int, checkpoints: bool = False) -> None:
    case: PlanCase = context.case
    case.jobs += 1
    case.submit(case.jobs, Step(1, CORE, float(seconds), checkpoints=checkpoints))
    case.run(case.jobs, 0, host, ran, 0)


@given("on host {host} a checkpointing task of {seconds:d} s that has run for {ran:d} s")
def run_checkpointing(context: Any, host: str, seconds: int, ran: int) -> None:
    run_task(context, host, seconds, ran, checkpoints=True)


@given(
    "on host {host} {number:d} serving task of a step of {count:d}, of which {limit:d} may be away"
)
@given(
    "on host {host} {number:d} serving tasks of a step of {count:d}, of which {limit:d} may be away"
)
def serve(context: Any, host: str, number: int, count: int, limit: int) -> None:
    case: PlanCase = context.case
    case.submit(SERVING_JOB, Step(count, CORE, long_running=True, max_unavailable=limit))
    serve_more(context, host, number)


@given("on host {host} {number:d} more of them")
def serve_more(context: Any, host: str, number: int) -> None:
    case: PlanCase = context.case
    for _ in range(number):
        case.run(SERVING_JOB, case.serving, host, 50.0, 100)
        case.serving += 1


@given("the upkeepplan's {state}")
def set_state(context: Any, state: str) -> None:
    case: PlanCase = context.case
    a, b = case.hosts[HostId("a")], case.hosts[HostId("b")]
    if state == "host b is not heard of":
        b.reported_at = NOW - 2
    elif state == "host b drains":
        b.draining = True
    elif state == "host a has an unknown run":
        a.unknown_runs = 1
    elif state == "host a has not reported yet":
        a.reported = False
    elif state == "machine a has another instance":
        case.machines["a"] = (MachineState.UP, "i-new")
    elif state == "machine a is down":
        case.machines["a"] = (MachineState.DOWN, "i-a")
    elif state == "list is 4 s old":
        case.requested_at = case.listed_at = NOW - 4
    elif state == "list is 6 s old, and took 2 s":
        case.requested_at, case.listed_at = NOW - 6, NOW - 4
    else:
        assert state == "other hosts are fine", state


@when("upkeepplan plans a wave of {seconds:d} s for {names}, {most:d} at a time")
def plan(context: Any, seconds: int, names: str, most: int) -> None:
    context.plan = context.case.plan(wave(names, seconds, most))


@when(
    "upkeepplan plans a wave of {seconds:d} s for {names}, {most:d} at a time, until each is sent"
)
def plan_all(context: Any, seconds: int, names: str, most: int) -> None:
    progress = wave(names, seconds, most)
    context.chosen = []
    while len(context.chosen) < len(progress.wave.machines):
        (order,) = context.case.plan(progress).emptied
        context.chosen.append(order.machine)
        progress.order(order.machine).begun = True


@then("the upkeepplan machines were chosen in the order {names}")
def chosen(context: Any, names: str) -> None:
    assert context.chosen == split(names), context.chosen


@then("the upkeepplan stops {what} on host {host}, and sends nothing")
def stops(context: Any, what: str, host: str) -> None:
    found = context.plan.stops.get(HostId(host), ())
    expected = 0 if what == "nothing" else int(what.split()[0])
    assert len(found) == expected, context.plan
    sends_nothing(context)


@then("the upkeepplan sends nothing")
def sends_nothing(context: Any) -> None:
    assert not context.plan.orders, context.plan


@then("the upkeepplan sends machine {name}")
def sends(context: Any, name: str) -> None:
    assert [order.machine for order in context.plan.orders] == [name], context.plan


@then("a serving task that waits then goes to host {host}")
def goes_to(context: Any, host: str) -> None:
    case: PlanCase = context.case
    for name, item in case.hosts.items():
        item.upkeep_due = name in context.plan.due
    case.submit(SERVING_JOB + 1, Step(1, CORE, long_running=True))
    assert [placement.host for placement in place(case.table, case.inputs())] == [host]
