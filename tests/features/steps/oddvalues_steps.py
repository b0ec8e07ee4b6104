"""Steps for oddvalues.feature; the world runs in virtual time at the first check."""

import logging
import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from behave import given, then, when

from apricotpath.codec import MAX_FRAME
from apricotpath.config import Address, LinkSettings
from apricotpath.errors import LinkError
from apricotpath.ids import DataCentreId, FenceToken, ProcessId, TaskId
from apricotpath.link import Link, dial_forever
from apricotpath.messages import Failure, OrderAnswer, OrderAnswers, StopRuns
from apricotpath.model import Role, Size, StartAnswer
from apricotpath.store import Put
from apricotpath.workload import Step, TaskKey
from apricotpathd.process import Process
from support.jobworld import PREFIX, EntryNode, JobWorld, run_virtual
from support.oddvalues import ODD_ENTRIES, ODD_JOBS, ODD_LEADERS, ODD_LOG_ENTRIES

CORE = Size(1000, 100, 0)
HOST = Size(8000, 8000, 0)
JOB_LIMIT_S = 20.0
LEADER_KEY, EPOCH_KEY = f"{PREFIX}ctl/leader", f"{PREFIX}ctl/epoch"
SUPPORTERS_KEY = f"{PREFIX}ctl/supporters"


class RecordCounter(logging.Handler):
    """Counts the log lines about malformed records by process-independent key."""

    def __init__(self) -> None:
        super().__init__()
        self.counts: dict[str, int] = {}

    def emit(self, record: logging.LogRecord) -> None:
        if "malformed" in record.getMessage():
            key = str(getattr(record, "key", "unnamed"))
            self.counts[key] = self.counts.get(key, 0) + 1


class OddCase:
    """Actions of a scenario on a world with malformed values; `value` names the newest one."""

    def __init__(self, entries: int, agents: int) -> None:
        self.entries, self.agents = entries, agents
        self.before: dict[str, bytes] = {}
        self.value = "none"
        self.epochs: list[int] = []
        self.logged = RecordCounter()

    def run(self, act: Callable[["OddCase"], Awaitable[None]]) -> None:
        async def main() -> None:
            async with anyio.create_task_group() as group:
                world = self.world = JobWorld(group)
                for key, value in self.before.items():
                    world.shared.apply([], [Put(key, value)])
                for number in range(self.entries):
                    world.add_entry(f"entry{number}")
                for number in range(self.agents):
                    world.add_agent(f"host{number}", HOST)
                await world.wait_until_attached()
                await act(self)
                group.cancel_scope.cancel()

        logger = logging.getLogger()
        logger.addHandler(self.logged)
        try:
            run_virtual(main)
        except BaseException as exc:
            raise AssertionError(f"after the value {self.value!r}: {exc!r}") from exc
        finally:
            logger.removeHandler(self.logged)

    async def serve_job(self) -> None:
        """Serve a job to its end, and note the epoch that served it."""
        world = self.world
        await world.wait_until_attached()
        live = [name for name, node in world.entries.items() if not node.scope.cancel_called]
        job = await world.submit(Step(2, CORE, 1.0), at=live[0])
        state = await world.wait_for_end(job, JOB_LIMIT_S, at=live[0])
        assert state == "completed", state
        assert not world.violations(), world.violations()
        leader = world.leader()
        assert leader is not None and leader.jobs.scheduler is not None
        self.epochs.append(leader.jobs.scheduler.epoch)

    async def kill_leader(self) -> EntryNode:
        leader = self.world.leader()
        assert leader is not None
        await self.world.kill(leader)
        return leader

    def write(self, key: str, label: str, value: bytes) -> None:
        """Write a value over the one of a key, and keep its lease."""
        self.value = label
        item = self.world.shared.items.get(key)
        lease = item.lease if item is not None and item.lease in self.world.shared.leases else None
        self.world.shared.apply([], [Put(key, value, lease or None)])


def case_of(context: Any) -> OddCase:
    found: OddCase = context.odd_case
    return found


@given("an oddvalues world of {entries:d} entries and {agents:d} agents")
def create(context: Any, entries: int, agents: int) -> None:
    context.odd_case = OddCase(entries, agents)


@given("each malformed registration is stored in the oddvalues world")
def store_registrations(context: Any) -> None:
    case = case_of(context)
    for number, value in enumerate(ODD_ENTRIES.values()):
        case.before[f"{PREFIX}ctl/entry/odd{number}"] = value
    case.value = "all registrations"


@given("each malformed job is stored in the oddvalues world")
def store_jobs(context: Any) -> None:
    case = case_of(context)
    for number, value in enumerate(ODD_JOBS.values()):
        case.before[f"{PREFIX}jobs/job/odd{number}"] = value
    case.value = "all jobs"


@given("each malformed entry of the run log is stored in the oddvalues world")
def store_log_entries(context: Any) -> None:
    case = case_of(context)
    for number, value in enumerate(ODD_LOG_ENTRIES.values()):
        case.before[f"{PREFIX}runs/log/{number + 1:012d}"] = value
        case.before[f"{PREFIX}runs/parts/{0:012d}/{number:06d}"] = value
    case.before[f"{PREFIX}runs/snapshot"] = b""
    case.value = "all entries of the run log"


@then("the oddvalues world serves a job, and another one after its scheduler is killed")
def serve_two(context: Any) -> None:
    case = case_of(context)

    async def act(case: OddCase) -> None:
        await case.serve_job()
        await anyio.sleep(2.0)
        await case.kill_leader()
        await case.serve_job()
        assert case.epochs[0] < case.epochs[1], case.epochs

    case.run(getattr(context, "odd_act", act))


@then("the entries of the oddvalues world know each other and nobody else")
def check_peers(context: Any) -> None:
    case = case_of(context)
    for node in case.world.entries.values():
        peers = set(node.jobs.election.registry.addresses())
        assert peers <= set(case.world.entries), peers


@then("each process of the oddvalues world has logged each malformed record once")
def check_logged(context: Any) -> None:
    case = case_of(context)
    assert case.logged.counts == dict.fromkeys(case.before, case.entries), case.logged.counts


@then("the oddvalues world serves a job after each malformed value at the {which}'s key")
def serve_after_each(context: Any, which: str) -> None:
    case = case_of(context)
    keys = {"leader": LEADER_KEY, "epoch": EPOCH_KEY, "supporters": SUPPORTERS_KEY}
    key = keys[which]

    async def act(case: OddCase) -> None:
        for label, value in ODD_LEADERS.items():
            case.write(key, label, value)
            await anyio.sleep(0.5)
            await case.serve_job()

    case.run(act)


@when("all entries of the oddvalues world are replaced beside a malformed epoch")
def replace_entries(context: Any) -> None:
    async def act(case: OddCase) -> None:
        for _ in range(3):
            await case.serve_job()
            await case.kill_leader()
            case.world.add_entry(f"entry{len(case.world.entries)}")
        await case.serve_job()
        for node in case.world.entries.values():
            await case.world.kill(node)
        case.write(EPOCH_KEY, "nested", 100_000 * b"[")
        for number in range(2):
            case.world.add_entry(f"late{number}")
        await case.serve_job()
        await case.kill_leader()
        await case.serve_job()

    context.odd_act = act


@then("the epochs of the oddvalues world only rose")
def check_epochs(context: Any) -> None:
    epochs = case_of(context).epochs
    assert epochs == sorted(epochs), epochs
    assert epochs[0] < epochs[-1], epochs


ODD_TASK_NAMES = ["", "x", "x.0.0", "x.a.0.0", "x.0.0." + 5000 * "1"]
ODD_HOSTS = {
    "a lone surrogate": "\ud800",
    "a long text": 300 * "a",
    "a text with zero": "127.0.0.1\0",
}


@when("an oddvalues peer is dialled for a second at an address whose {part} is {value}")
def dial(context: Any, part: str, value: str) -> None:
    address = Address("127.0.0.1", int(value)) if part == "port" else Address(ODD_HOSTS[value], 1)
    process = Process(Role.ENTRY, ProcessId("front-1"), DataCentreId("z1"))

    async def main() -> None:
        with anyio.move_on_after(1.0) as scope:
            await dial_forever(address, process.hello, LinkSettings(), process, random.Random(1))
        context.dialling = scope.cancelled_caught

    anyio.run(main, backend="trio")


@then("the oddvalues dialling has not ended")
def check_dialling(context: Any) -> None:
    assert context.dialling


@when("an agent of the oddvalues world answers orders of malformed names and refuses a real one")
def answer_orders(context: Any) -> None:
    async def act(case: OddCase) -> None:
        world = case.world
        agent = world.agents["host0"].agent
        job = await world.submit(Step(1, CORE, 5.0))
        while not agent.runs():
            await anyio.sleep(0.01)
        attached = agent.attachment
        assert attached is not None
        (task, run), *_ = agent.runs()
        names = [*ODD_TASK_NAMES, task]
        answers = tuple(OrderAnswer(TaskId(name), run, StartAnswer.REFUSED) for name in names)
        attached.link.send_nowait(OrderAnswers(attached.fence, answers))
        case.value = "names of tasks"
        await anyio.sleep(0.5)
        leader = world.leader()
        assert leader is not None and leader.jobs.scheduler is not None
        found = leader.jobs.scheduler.table.task(TaskKey.parse(task))
        assert found is not None and found.last_run == run + 1, found
        assert await world.wait_for_end(job, JOB_LIMIT_S) == "completed"

    case_of(context).run(act)


@then("the oddvalues world has started the refused run again and completed its job")
def check_answers(context: Any) -> None:
    assert case_of(context).value == "names of tasks"


@when("a message with a number too large and one that is too long are sent over an oddvalues link")
def send_unencodable(context: Any) -> None:
    process = Process(Role.ENTRY, ProcessId("front-1"), DataCentreId("z1"))
    link = Link(None, process.hello, LinkSettings(), process)  # type: ignore[arg-type]
    link.is_open = True
    context.refused = []
    for message in (
        StopRuns(FenceToken(2**70), ()),
        Failure("code", 2 * MAX_FRAME * "a"),
    ):
        try:
            link.send_nowait(message)
        except LinkError as exc:
            context.refused.append(str(exc))


@then("the oddvalues link has refused both")
def check_refused(context: Any) -> None:
    assert len(context.refused) == 2, context.refused
