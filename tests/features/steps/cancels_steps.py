"""Steps for cancels.feature."""

import json
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from behave import given, then, when

from apricotpath.boottime import boot_s
from apricotpath.ids import JobId, ProcessId
from apricotpath.jobmetrics import JobMetrics
from apricotpath.model import Size
from apricotpath.store import Put
from apricotpath.workload import Job, Progress, Step
from apricotpath_platform.ingress import IngressApp
from apricotpath_platform.operatorview import OperatorView, parse_configuration
from apricotpathd.jobservice import JobService, JobServiceUnavailable, Submission
from apricotpathd.tombstones import TooManyTombstones
from support.jobworld import PREFIX, QUEUE, EntryNode, JobWorld, run_virtual
from support.memorystore import Faults, MemoryStore, SharedStore

CAPACITY = Size(16_000, 64_000)
CORE = Size(1000, 100)
HELD_UP_S = 2.0
# How long a client of the store waits for the answer to a write.
CALL_TIMEOUT_S = 1.2
# All held-up writes are carried out, and all retries over.
QUIET_S = 15.0
FIRST_UNKNOWN = 0x1000

Action = Callable[[], Awaitable[None]]


class CancelWorld:
    """A job world whose actions are carried out by the last step of a scenario."""

    def __init__(self, entries: int, agents: int) -> None:
        self.entries, self.agents = entries, agents
        self.actions: list[Action] = []
        self.world: Any = None
        self.job = JobId("00000000000000c1")
        self.answer: bool | None = None
        self.answered_at = self.took_s = 0.0
        self.answers: Counter[str] = Counter()
        self.writes = 0
        # Submissions under way, by entry.
        self.submissions: dict[str, anyio.CancelScope] = {}

    def run(self) -> None:
        run_virtual(self._main)

    async def _main(self) -> None:
        async with anyio.create_task_group() as group:
            self.world = JobWorld(group)
            for number in range(self.entries):
                # The first one is elected, having most processors.
                self.world.add_entry(f"entry{number}", cores=2.0 - number / 10)
            for number in range(self.agents):
                self.world.add_agent(f"agent{number}", CAPACITY, rack=f"r{number}")
            await self.world.wait_until_attached()
            for action in self.actions:
                await action()
            group.cancel_scope.cancel()

    def entry(self, number: int) -> EntryNode:
        found: EntryNode = self.world.entries[f"entry{number}"]
        return found

    async def submit_at(self, node: EntryNode) -> Submission:
        return await node.job_service.submit(Job(self.job, QUEUE, "bake", (Step(4, CORE, 1.0),)))

    async def submit_unseen(self, node: EntryNode) -> None:
        """Submit the job as a client does that has left; its entry may be killed meanwhile."""
        with self.submissions.setdefault(node.process.hello.process_id, anyio.CancelScope()):
            await self.submit_at(node)

    async def cancel_at(self, node: EntryNode) -> None:
        began = boot_s()
        self.answer = await node.job_service.cancel(self.job)
        self.answered_at = boot_s()
        self.took_s = self.answered_at - began

    def starts(self) -> list[float]:
        """Return when tasks of the job were started."""
        return [
            at
            for node in self.world.agents.values()
            for name, at in node.model.starts
            if name.startswith(self.job)
        ]

    async def kill(self, nodes: list[EntryNode]) -> None:
        for node in nodes:
            if node.process.hello.process_id in self.submissions:
                self.submissions[node.process.hello.process_id].cancel()
            await self.world.kill(node)
        await anyio.sleep(1.0)
        for node in nodes:
            self.world.add_entry(node.process.hello.process_id)


def later(context: Any, action: Action) -> None:
    """Have an action carried out by the last step."""
    context.cancels.actions.append(action)


@given("a cancels world of {entries:d} entries and {agents:d} agents")
def world(context: Any, entries: int, agents: int) -> None:
    context.cancels = CancelWorld(entries, agents)


@when("a job is cancelled at {place} while its write is held up for 2 seconds, and {event}")
def cancel_under_way(context: Any, place: str, event: str) -> None:
    case: CancelWorld = context.cancels

    async def act() -> None:
        submitting, answering = case.entry(1), case.entry(2)
        if place == "the same entry":
            answering = submitting
        hold_up(submitting.store.faults, f"{PREFIX}jobs/job/")
        case.world.group.start_soon(case.submit_unseen, submitting)
        await anyio.sleep(0.1)
        await case.cancel_at(answering)
        killed = {
            "nothing else happens": [],
            "the submitting entry is killed": [submitting],
            "the entry that answered is killed": [answering],
            "the scheduler is killed": [case.world.leader()],
            "all entries are killed": list(case.world.entries.values()),
        }[event]
        await case.kill(killed)
        await anyio.sleep(QUIET_S)
        await case.world.wait_until_attached()

    later(context, act)


def hold_up(faults: Faults, prefix: str) -> None:
    """Let the next write of a key with a prefix take effect late, without an answer."""
    faults.late_prefix, faults.late_writes, faults.late_s = prefix, 1, HELD_UP_S
    faults.late_wait_s, faults.late_writes_outlive = CALL_TIMEOUT_S, True


@then("the cancelling was answered that there is no such job")
def answered_unknown(context: Any) -> None:
    case: CancelWorld = context.cancels

    async def check() -> None:
        assert case.answer is False, case.answer

    later(context, check)


@then("nothing of the cancelled job ever starts")
def nothing_starts(context: Any) -> None:
    case: CancelWorld = context.cancels

    async def check() -> None:
        assert not case.starts(), case.starts()

    later(context, check)


@then("another submission of it is answered that it is cancelled, at each entry")
def submitted_again(context: Any) -> None:
    case: CancelWorld = context.cancels

    async def check() -> None:
        for node in case.world.entries.values():
            assert await case.submit_at(node) is Submission.CANCELLED
            assert await node.job_service.progress(case.job) is Progress.CANCELLED
        await anyio.sleep(QUIET_S)
        assert not case.starts(), case.starts()

    later(context, check)
    case.run()


@when("a job is submitted again, and refused by the store, while its first write is held up")
def submit_twice(context: Any) -> None:
    case: CancelWorld = context.cancels

    async def act() -> None:
        node = case.entry(0)
        hold_up(node.store.faults, f"{PREFIX}jobs/job/")
        node.store.faults.silent = True
        case.world.group.start_soon(case.submit_unseen, node)
        await anyio.sleep(0.1)
        node.job_service._store_answers = lambda: False
        case.answers[(await case.submit_at(node)).value] += 1

    later(context, act)


@then("the second submission is answered as unknown")
def second_unknown(context: Any) -> None:
    case: CancelWorld = context.cancels
    case.run()
    assert case.answers == {Submission.UNKNOWN.value: 1}, case.answers


@when("{kind} job is cancelled, and {fault}")
def cancel_despite(context: Any, kind: str, fault: str) -> None:
    case: CancelWorld = context.cancels

    async def act() -> None:
        if kind == "a running":
            case.world.behaviour.seconds = 30.0
            assert await case.submit_at(case.entry(0)) is Submission.ACCEPTED
            await anyio.sleep(2.0)
            assert case.starts()
        faults = case.entry(1).store.faults
        if "lost" in fault:
            faults.lost_answers = 1
        else:
            hold_up(faults, PREFIX)
        await case.cancel_at(case.entry(1))

    later(context, act)


@then("the cancelling is answered within {limit_s:g} seconds")
def answered_within(context: Any, limit_s: float) -> None:
    case: CancelWorld = context.cancels

    async def check() -> None:
        assert case.answer is not None
        assert case.took_s <= limit_s, case.took_s

    later(context, check)


@then("nothing of the cancelled job starts later than {seconds:g} seconds after that")
def nothing_later(context: Any, seconds: float) -> None:
    case: CancelWorld = context.cancels

    async def check() -> None:
        await anyio.sleep(QUIET_S)
        late = [at for at in case.starts() if at > case.answered_at + seconds]
        assert not late, late

    later(context, check)
    case.run()


class ServingEntry:
    """The ingress of an entry with its job service, without a listening port."""

    def __init__(self) -> None:
        store = MemoryStore(SharedStore())
        view = OperatorView(store, lambda: None)
        # Never outdated.
        view.mirror.read_at = float("inf")
        route = {"name": QUEUE, "service": "bakery", "host": "bread.example", "prefix": "/bread/"}
        body = {"version": 1, "routes": [route]}
        view.configuration = parse_configuration(json.dumps(body).encode())
        self.service = JobService(store, PREFIX)
        self.app = IngressApp(ProcessId("front-1"), view, self.service, JobMetrics())

    async def call(self, method: str, job: JobId, body: bytes = b"") -> tuple[int, str, bool]:
        """Make a call; return its status and body, and whether it has a Retry-After."""
        sent: list[Any] = []

        async def receive() -> Any:
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(message: Any) -> None:
            sent.append(message)

        headers = [(b"host", b"bread.example")]
        scope = {"type": "http", "method": method, "path": f"/bread/{job}", "headers": headers}
        await self.app(scope, receive, send)
        names = {name for name, _ in sent[0]["headers"]}
        return sent[0]["status"], sent[1]["body"].decode(), b"retry-after" in names


@given("a cancels entry that serves clients")
def serving(context: Any) -> None:
    context.serving = ServingEntry()


@when("{count:d} unknown jobs were cancelled there")
def were_cancelled(context: Any, count: int) -> None:
    jobs = [JobId(f"{FIRST_UNKNOWN + number:016x}") for number in range(count)]
    # Calls are made at time 0.
    context.serving.service.tombstones._written_at = dict.fromkeys(jobs, -1.0)


@then(
    'it answers DELETE with {first:d}, POST with {posted:d} and "{state}",'
    ' GET with {shown:d} and "{same}", and DELETE with {last:d}'
)
def answers_all(
    context: Any, first: int, posted: int, state: str, shown: int, same: str, last: int
) -> None:
    job = JobId("00000000000000c2")
    steps = {"steps": [{"count": 1, "cpu": 100, "memMb": 10}]}

    async def main() -> None:
        entry: ServingEntry = context.serving
        assert (await entry.call("DELETE", job))[0] == first
        for method, status in (("POST", posted), ("GET", shown)):
            found = await entry.call(method, job, json.dumps(steps).encode())
            assert found == (status, json.dumps({"state": state}), False), found
        assert (await entry.call("DELETE", job))[0] == last

    run_virtual(main)
    assert state == same


@then('it answers DELETE with {status:d}, "{text}" and Retry-After')
def refuses(context: Any, status: int, text: str) -> None:
    found = run_virtual(lambda: context.serving.call("DELETE", JobId("00000000000000c2")))
    assert found[0] == status and text in found[1] and found[2], found


async def cancel_unknown(case: CancelWorld, job: JobId) -> None:
    """Cancel a job that nobody has submitted, and count the answer."""
    began = boot_s()
    try:
        answer = str(await case.entry(0).job_service.cancel(job))
    except TooManyTombstones:
        answer = "too many"
    except JobServiceUnavailable:
        answer = "unavailable"
    case.answers[answer] += 1
    case.took_s = max(case.took_s, boot_s() - began)


@when("{count:d} unknown jobs are cancelled at one entry, {together:d} at a time")
def cancel_many(context: Any, count: int, together: int) -> None:
    case: CancelWorld = context.cancels

    async def act() -> None:
        writes = case.world.shared.writes
        for first in range(0, count, together):
            async with anyio.create_task_group() as group:
                for number in range(first, first + together):
                    job = JobId(f"{FIRST_UNKNOWN + number:016x}")
                    group.start_soon(cancel_unknown, case, job)
        case.writes = case.world.shared.writes - writes

    later(context, act)


@when("one unknown job is cancelled {count:d} times")
def cancel_again(context: Any, count: int) -> None:
    case: CancelWorld = context.cancels

    async def act() -> None:
        writes = case.world.shared.writes
        for _ in range(count):
            await cancel_unknown(case, case.job)
        case.writes = case.world.shared.writes - writes
        assert case.answers == {"False": count}, case.answers

    later(context, act)


@then("{count:d} of them are acknowledged, and the others refused as too many")
def acknowledged(context: Any, count: int) -> None:
    case: CancelWorld = context.cancels

    async def check() -> None:
        assert case.answers["False"] == count, case.answers
        assert set(case.answers) == {"False", "too many"}, case.answers

    later(context, check)


@then("these cancels took at most {count:d} writes")
def few_writes(context: Any, count: int) -> None:
    case: CancelWorld = context.cancels

    async def check() -> None:
        assert case.writes <= count, case.writes

    later(context, check)
    if count == 1:
        case.run()


@then("each of them was answered within {limit_s:g} seconds")
def each_answered(context: Any, limit_s: float) -> None:
    case: CancelWorld = context.cancels
    case.run()
    assert case.took_s <= limit_s, case.took_s


@then("the cancelling of a stored job is acknowledged beside them")
def stored_cancelled(context: Any) -> None:
    case: CancelWorld = context.cancels

    async def check() -> None:
        assert await case.submit_at(case.entry(0)) is Submission.ACCEPTED
        await case.cancel_at(case.entry(0))
        assert case.answer is True
        assert await case.world.wait_for_end(case.job, 3) == "cancelled"

    later(context, check)


@then("the next scheduler of the cancels world loads none of their records")
def not_loaded(context: Any) -> None:
    case: CancelWorld = context.cancels

    async def check() -> None:
        await case.world.kill(case.world.leader())
        with anyio.fail_after(30):
            while case.world.leader() is None:
                await anyio.sleep(0.05)
        loaded = case.world.leader().jobs.scheduler.load_progress.keys
        # The job that was cancelled, and the run log.
        assert loaded < 100, loaded

    later(context, check)


@when("there is a record of a cancelled job with {value}")
def odd_record(context: Any, value: str) -> None:
    case: CancelWorld = context.cancels

    async def act() -> None:
        key = case.entry(0).job_service.keys.tombstone(case.job)
        await case.entry(0).store.txn([], [Put(key, value.encode())])

    later(context, act)


@then("all of their records are gone {last:d} seconds later, and none was within {first:d} seconds")
def records_gone(context: Any, last: int, first: int) -> None:
    case: CancelWorld = context.cancels

    def count() -> int:
        return sum(key.startswith(f"{PREFIX}tombstones/") for key in case.world.shared.items)

    async def check() -> None:
        stored = count()
        assert stored
        await anyio.sleep(first - QUIET_S)
        assert count() == stored, count()
        await anyio.sleep(last - first + QUIET_S)
        assert count() == 0, count()

    later(context, check)
    case.run()
