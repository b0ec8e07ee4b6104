"""Steps for operatorrules.feature."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from behave import given, then, when
from removedroutes_steps import RoutedEntry

from apricotpath.boottime import boot_s
from apricotpath.ids import DataCentreId, JobId, QueueId, ServiceId
from apricotpath.jobtable import JobTable
from apricotpath.model import Size
from apricotpath.runrecords import OperatorState, QueueKept, from_row, to_row
from apricotpath.store import Delete, Put
from apricotpath.workload import Queue, Step
from apricotpath_platform.operatorview import CONFIG_KEY, EVACUATION_PREFIX, OperatorView
from apricotpathd.operatorrules import SchedulerRules, TermRules
from support.jobworld import SERVICE, EntryNode, JobWorld, run_virtual
from support.memorystore import Faults

OPERATOR_PREFIX = "op/"
CAPACITY = Size(16_000, 64_000)
CORE = Size(1000, 100)
ZONES = ("z1", "z2")
AGENTS_PER_ZONE = 2
JOB_INTERVAL_S = 0.25
# A configuration of about 300 kB, as with 1,400 routes.
IDLE_ROUTES = 1400
SLOW_READ_S = 3.0
LATE_S = 6.0
# Tasks that were ordered before are started, and the operator's change is known to all.
SETTLED_S = 2.0
WATCHED_S = 20.0
EVACUATED_WITHIN_S = 5.0

Action = Callable[[], Awaitable[None]]


def configuration(version: int, attempts: int) -> bytes:
    """Return a configuration of one queue and many idle routes."""
    route = {"name": "bread", "service": SERVICE, "host": "bread.example", "attempts": attempts}
    routes = [route | {"prefix": "/bread/"}]
    routes += [
        route | {"name": f"idle{number}", "prefix": f"/idle{number}/"}
        for number in range(IDLE_ROUTES)
    ]
    return json.dumps({"version": version, "routes": routes}).encode()


class OperatedWorld:
    """A job world whose entries read the operator's rules from the store.

    Its actions are carried out by the last step of a scenario.
    """

    def __init__(self, entries: int, attempts: int = 2) -> None:
        self.entries, self.attempts = entries, attempts
        self.actions: list[Action] = []
        self.world: Any = None
        self.fault: Callable[[Faults], None] = lambda _faults: None
        self.since = 0.0
        self.job = JobId("")

    def run(self) -> None:
        run_virtual(self._main)

    async def _main(self) -> None:
        async with anyio.create_task_group() as group:
            world = self.world = JobWorld(group)
            self.write(CONFIG_KEY, configuration(1, self.attempts))
            self.start_entries()
            for zone in ZONES:
                for number in range(AGENTS_PER_ZONE):
                    world.add_agent(f"{zone}-agent{number}", CAPACITY, zone, f"{zone}-r{number}")
            await world.wait_until_attached()
            for action in self.actions:
                await action()
            assert not world.violations(), world.violations()
            group.cancel_scope.cancel()

    def start_entries(self) -> None:
        """Start all entries, whose clients of the store have the present fault."""
        for number in range(self.entries):
            node: EntryNode = self.world.add_entry(f"entry{number}", cores=2.0 - number / 10)
            view = OperatorView(node.store, node.jobs.rules_changed)
            node.jobs._rules = view.rules
            self.fault(node.store.faults)
            self.world.group.start_soon(self._watch, node, view)

    async def _watch(self, node: EntryNode, view: OperatorView) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(view.run)
            while not node.scope.cancel_called:
                await anyio.sleep(0.05)
            group.cancel_scope.cancel()

    def write(self, key: str, value: bytes | None) -> None:
        self.world.shared.apply([], [Delete(key) if value is None else Put(key, value)])

    def evacuate(self, zone: str, is_out: bool = True) -> None:
        self.write(f"{EVACUATION_PREFIX}{zone}", b"{}" if is_out else None)

    async def submit_jobs(self) -> None:
        """Submit small jobs all the time at entries that live."""
        while True:
            for name, node in self.world.entries.items():
                if not node.scope.cancel_called:
                    await self.world.submit(Step(2, CORE, 1.0), at=name)
                    break
            await anyio.sleep(JOB_INTERVAL_S)

    def starts(self, zone: str = "") -> list[float]:
        """Return when executors, of a data centre, have started tasks."""
        return [
            at
            for name, node in self.world.agents.items()
            if name.startswith(zone)
            for _task, at in node.model.starts
        ]

    async def kill_entries(self, down_s: float = 1.0) -> None:
        for node in self.world.entries.values():
            await self.world.kill(node)
        await anyio.sleep(down_s)


def set_fault(case: OperatedWorld, fault: str) -> None:
    """Arrange a fault for the entries that are started next."""
    keys = {
        "the configuration is never read": ((OPERATOR_PREFIX,), 0.0),
        "the configuration is not read for 6 seconds": ((OPERATOR_PREFIX,), LATE_S),
        "the evacuations are not read for 6 seconds": ((EVACUATION_PREFIX,), LATE_S),
        "neither is ever read": ((OPERATOR_PREFIX, EVACUATION_PREFIX), 0.0),
    }
    size = len(configuration(1, 1))
    if fault == "the configuration takes 3 seconds to read":
        case.fault = lambda faults: setattr(faults, "bytes_per_s", size / SLOW_READ_S)
    elif fault == "the configuration is malformed":
        case.write(CONFIG_KEY, b'{"version":')
    elif fault == "there is no configuration":
        case.write(CONFIG_KEY, None)
    elif fault.removesuffix(", and the next ones are killed") in keys:
        prefixes, for_s = keys[fault.removesuffix(", and the next ones are killed")]

        def stall(faults: Faults) -> None:
            faults.stalled_prefixes = prefixes
            if for_s:
                case.world.group.start_soon(end_stall, faults, for_s)

        case.fault = stall
    else:
        assert fault == "nothing else happens", fault


async def end_stall(faults: Faults, for_s: float) -> None:
    await anyio.sleep(for_s)
    faults.stalled_prefixes = ()


def later(context: Any, action: Action) -> None:
    """Have an action carried out by the last step."""
    context.operated.actions.append(action)


@given(
    "an operatorrules world of {entries:d} entries whose operator has taken {zone} out of service"
)
def world(context: Any, entries: int, zone: str) -> None:
    case = context.operated = OperatedWorld(entries)

    async def act() -> None:
        case.world.group.start_soon(case.submit_jobs)
        await anyio.sleep(2 * SETTLED_S)
        if zone != "nothing":
            case.evacuate(zone)
        await anyio.sleep(2 * SETTLED_S)
        case.since = boot_s()

    later(context, act)


@when("all entries of the operatorrules world are killed, and {event}")
def kill_all(context: Any, event: str) -> None:
    case: OperatedWorld = context.operated

    async def act() -> None:
        await case.kill_entries()
        if event == "the operator takes z1 out and z2 back":
            case.evacuate("z1")
            case.evacuate("z2", is_out=False)
            # What was ordered before the kill.
            await anyio.sleep(SETTLED_S)
            case.since = boot_s()
        else:
            set_fault(case, event)
        case.start_entries()
        if "next ones are killed" in event:
            await anyio.sleep(4.0)
            await case.kill_entries()
            case.start_entries()

    later(context, act)


@then("nothing has started in {zone} since {moment}")
def nothing_started(context: Any, zone: str, moment: str) -> None:
    case: OperatedWorld = context.operated
    began: list[float] = []

    async def note() -> None:
        began.append(boot_s())

    async def check() -> None:
        await anyio.sleep(max(0.0, began[0] + WATCHED_S - boot_s()))
        late = [at for at in case.starts(zone) if at > case.since]
        assert not late, late

    later(context, note)
    context.checks = [check]


@then("tasks of the operatorrules world start again within {seconds:d} seconds")
def start_again(context: Any, seconds: int) -> None:
    case: OperatedWorld = context.operated

    async def check() -> None:
        began = boot_s()
        with anyio.fail_after(seconds):
            while not any(at > began for at in case.starts()):
                await anyio.sleep(0.05)

    later(context, check)
    case.actions += getattr(context, "checks", [])
    case.run()


@given("an operatorrules world of 2 entries whose queue allows 1 attempt")
def one_attempt(context: Any) -> None:
    context.operated = OperatedWorld(2, attempts=1)


@when("a task fails while there is no scheduler, the attempts are raised to 3, and {fault}")
def fail_unseen(context: Any, fault: str) -> None:
    case: OperatedWorld = context.operated

    async def act() -> None:
        behaviour = case.world.behaviour
        behaviour.seconds = 2.0
        task = f"{case.world.next_job()}.0.0.0"
        behaviour.failing.add(task)
        case.job = await case.world.submit(Step(1, CORE, 2.0))
        await anyio.sleep(1.0)
        await case.kill_entries(2.0)
        behaviour.failing.discard(task)
        case.write(CONFIG_KEY, configuration(2, 3))
        set_fault(case, fault)
        case.start_entries()

    later(context, act)


@then("the job of the operatorrules world is completed")
def job_completed(context: Any) -> None:
    case: OperatedWorld = context.operated

    async def check() -> None:
        assert await case.world.wait_for_end(case.job, 30) == "completed"

    later(context, check)
    case.run()


@when(
    "the scheduler's watch of the operator's keys is cut for {seconds:d} seconds,"
    " and z2 is taken out 0.5 seconds after that"
)
def cut_and_evacuate(context: Any, seconds: int) -> None:
    case: OperatedWorld = context.operated

    async def act() -> None:
        cut_watch(case, seconds)
        await anyio.sleep(0.5)
        case.evacuate("z2")
        case.since = boot_s() + EVACUATED_WITHIN_S

    later(context, act)


@when("the scheduler's watch of the operator's keys is cut for {seconds:d} seconds")
def cut(context: Any, seconds: int) -> None:
    case: OperatedWorld = context.operated

    async def act() -> None:
        cut_watch(case, seconds)
        # It may start tasks until the watch is outdated.
        await anyio.sleep(SETTLED_S * 2)

    later(context, act)


def cut_watch(case: OperatedWorld, seconds: float) -> None:
    """Leave the scheduler's reads of the operator's keys without an answer for a while."""
    faults = case.world.leader().store.faults
    faults.stalled_prefixes = (EVACUATION_PREFIX, OPERATOR_PREFIX)
    case.world.group.start_soon(end_stall, faults, seconds)


@then("nothing starts in z2 from 5 seconds after that on")
def nothing_late(context: Any) -> None:
    case: OperatedWorld = context.operated

    async def check() -> None:
        await anyio.sleep(WATCHED_S)
        late = [at for at in case.starts("z2") if at > case.since]
        assert not late, late

    later(context, check)


# What is read, and how old it is.


@given(
    "operatorrules with a configuration {config} and evacuations {out},"
    " {reading_s:d} seconds after the first read began"
)
def rules_of_age(context: Any, config: str, out: str, reading_s: int) -> None:
    ages_s = [
        float("inf") if text == "not read" else float(text.split()[0]) for text in (config, out)
    ]
    rules = SchedulerRules(
        queues_read=config != "not read",
        out_read=out != "not read",
        configured=config != "not read",
        reading_s=reading_s,
        queues_age_s=ages_s[0],
        out_age_s=ages_s[1],
    )
    context.rules = TermRules(lambda: rules, JobTable())


@then("they allow decisions at once: {now}, and 6 seconds later: {later_on}")
def allow(context: Any, now: str, later_on: str) -> None:
    found = [context.rules.may_decide(at) for at in (0.0, 6.0)]
    assert found == [now == "yes", later_on == "yes"], found


# What the run log keeps.


@given(
    "operatorrules in the run log of version {version:d}, revision {revision:d},"
    " {attempts:d} attempts, and {zone} out of service"
)
def kept_rules(context: Any, version: int, revision: int, attempts: int, zone: str) -> None:
    context.kept = table = JobTable()
    bread, buns = QueueId("bread"), QueueId("buns")
    state = OperatorState(version, revision, frozenset({DataCentreId(zone)}))
    kept = [QueueKept(Queue(name, SERVICE, attempts=attempts)) for name in (bread, buns)]
    table.apply_all([*kept, state], 0.0)


@when(
    "an entry has read version {version:d} with {attempts:d} attempts,"
    " and at revision {revision:d} that {zone} is out"
)
def read_rules(context: Any, version: int, attempts: int, revision: int, zone: str) -> None:
    queue = Queue(QueueId("bread"), ServiceId("bakery"), attempts=attempts)
    rules = SchedulerRules(
        {queue.queue: queue},
        frozenset({DataCentreId(zone)}),
        version=version,
        out_revision=revision,
    )
    context.rules = TermRules(lambda: rules, context.kept)


@then("the operatorrules in force allow {attempts:d} attempts, with {zone} out of service")
def in_force(context: Any, attempts: int, zone: str) -> None:
    assert context.rules.queues()[QueueId("bread")].attempts == attempts
    assert context.rules.out() == {DataCentreId(zone)}
    state = context.rules.new_state() or context.kept.operator
    assert state.out == {DataCentreId(zone)}
    assert state.version >= context.kept.operator.version


@then("a queue that is not configured is {fate}")
def unconfigured(context: Any, fate: str) -> None:
    assert (context.rules.configured() is not None) == (fate == "forgotten")


@then("a table that is rebuilt from its snapshot has the same operatorrules")
def rebuilt(context: Any) -> None:
    records = [from_row(json.loads(json.dumps(to_row(r)))) for r in context.kept.summaries()]
    other = JobTable()
    other.apply_all(records, 0.0)
    assert other.operator == context.kept.operator
    assert other.queues == context.kept.queues


# Answers to clients.


@given("an operatorrules entry that read its configuration {age_s:d} seconds ago")
def entry_of_age(context: Any, age_s: int) -> None:
    context.entry = RoutedEntry()
    context.entry.configure(2, [])
    # Calls are made at time 0.
    context.entry.view.mirror.read_at = -float(age_s)


@then("it answers {status:d} to a call of a queue that it does not know")
def answers(context: Any, status: int) -> None:
    assert context.entry.call("GET") == status
    assert context.entry.service.asked == 0
