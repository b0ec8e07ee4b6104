"""Steps for dryrun.feature."""

import contextlib
import io
import json
import random
import socket
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from itertools import pairwise
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import anyio
import anyio.to_thread
import httpx
from behave import given, then, when

from apricotpath.boottime import boot_s
from apricotpath.clientlimits import ClientLimits, ClientTable
from apricotpath.config import Address, LimitSettings
from apricotpath.dryrun import JobTrial, try_job
from apricotpath.fleet import FleetSettings
from apricotpath.gangturns import GangTurns
from apricotpath.ids import DataCentreId, Epoch, JobId, ProcessId, QueueId, ServiceId
from apricotpath.jobmetrics import JobMetrics
from apricotpath.messages import JobStatus
from apricotpath.model import Size
from apricotpath.runplacement import RESERVE_AFTER_S, place
from apricotpath.workload import Job, Progress, Schedule, Step
from apricotpath_cli.cmdline import main as run_command
from apricotpath_platform.dryrun import DryRunApp
from apricotpath_platform.ingress import IngressApp
from apricotpath_platform.operatorview import OperatorView, parse_configuration
from apricotpathd.httpserver import serve_http
from apricotpathd.jobservice import MAX_OPEN_JOBS, JobService
from apricotpathd.limitedapp import REQUEST_KEY
from apricotpathd.scheduler import Scheduler
from apricotpathd.statusapp import StatusApp
from passcost import NOW, PassCost
from passcost import SMALL as SMALL_QUEUE
from support.instructions import count_instructions
from support.jobworld import QUEUE, JobWorld, run_virtual
from support.memorystore import MemoryStore, SharedStore
from support.placementtables import PASSES, GeneratedTable

HOSTS = 3
HOST = Size(8000, 16000, 0)
SMALL = Size(1000, 1000, 0)
WHOLE = Size(8000, 8000, 0)
FOR_EVER_S = 1000.0
SETTLE_S = 1.0
LABEL = "r1"
OTHER_JOB = "f" * 16

TASKS: dict[str, tuple[Step, ...]] = {
    "1 small task": (Step(1, SMALL, 1.0),),
    "3 small tasks": (Step(3, SMALL, 1.0),),
    "20 small tasks": (Step(20, Size(600, 600, 0), 1.0),),
    "1 long task": (Step(1, SMALL, 30.0),),
    "1 task with a label": (Step(1, SMALL, 1.0, label=LABEL),),
    "1 huge task": (Step(1, Size(9000, 1000, 0), 1.0),),
    "a gang of 6": (Step(6, Size(2000, 1000, 0), 1.0, gang=True),),
    "a gang of 60": (Step(60, SMALL, 1.0, gang=True),),
    "5 tasks, one a host": (Step(5, SMALL, 1.0, max_per_host=1),),
    "a later occurrence": (Step(1, SMALL, 1.0),),
    "a chain of two steps": (Step(2, SMALL, 1.0), Step(1, SMALL, 1.0, after=(0,))),
}

# Trials of each outcome that make a comparison with passes meaningful.
MIN_OF_EACH = 20


async def fill(world: JobWorld, hosts: int, **flags: Any) -> None:
    """Fill hosts with a task each that never ends."""
    await world.submit(Step(hosts, WHOLE, FOR_EVER_S, max_per_host=1, **flags))
    await anyio.sleep(SETTLE_S)


async def drain(world: JobWorld, hosts: int) -> None:
    """Let the executors of hosts announce that they leave."""
    for node in list(world.agents.values())[:hosts]:
        node.drain_until = boot_s() + FOR_EVER_S
    await anyio.sleep(SETTLE_S)


async def evacuate(world: JobWorld, zone: str) -> None:
    world.out.add(DataCentreId(zone))


async def set_aside(world: JobWorld, hosts: int) -> None:
    tracker = scheduler_of(world).host_tracker
    for host in list(tracker.hosts.values())[:hosts]:
        host.set_aside_until = boot_s() + FOR_EVER_S


async def use_other_service(world: JobWorld) -> None:
    world.queues[QUEUE] = replace(world.queues[QUEUE], service=ServiceId("dairy"))


async def reserve(world: JobWorld) -> None:
    """Let a gang of two whole hosts wait beside one that is free until that is reserved."""
    await world.submit(Step(2, WHOLE, 10.0, max_per_host=1))
    await anyio.sleep(SETTLE_S)
    # With less work than others, and on time, the gang goes first.
    world.queues[QUEUE] = replace(world.queues[QUEUE], stretch=10.0)
    await world.submit(Step(2, WHOLE, 0.5, gang=True, max_per_host=1))
    await anyio.sleep(RESERVE_AFTER_S + SETTLE_S)


async def do_nothing(world: JobWorld) -> None:
    pass


@dataclass(frozen=True)
class Situation:
    """State of a world; `racks` are also the labels of the hosts in turn."""

    prepare: Callable[[JobWorld], Awaitable[None]] = do_nothing
    zones: tuple[str, ...] = ("z1",)
    racks: tuple[str, ...] = ("r2",)
    run_s: float = FOR_EVER_S


SITUATIONS = {
    "all hosts are free": Situation(),
    "one host has the label": Situation(racks=("r2", "r1", "r2")),
    "all hosts are busy": Situation(lambda world: fill(world, HOSTS)),
    "one host is free": Situation(lambda world: fill(world, HOSTS - 1)),
    "serving tasks fill all hosts": Situation(lambda world: fill(world, HOSTS, long_running=True)),
    "all hosts are draining": Situation(lambda world: drain(world, HOSTS)),
    "one host is draining": Situation(lambda world: drain(world, 1)),
    "the only data centre is evacuated": Situation(lambda world: evacuate(world, "z1")),
    "one of two data centres is evacuated": Situation(
        lambda world: evacuate(world, "z2"), ("z1", "z2")
    ),
    "one host is set aside": Situation(lambda world: set_aside(world, 1)),
    "all hosts are of another service": Situation(use_other_service),
    "a host is reserved for a gang": Situation(reserve, run_s=10.0),
}


def scheduler_of(world: JobWorld) -> Scheduler:
    """Return the scheduler of a world that is attached."""
    node = world.leader()
    assert node is not None and node.jobs.scheduler is not None
    return node.jobs.scheduler


def in_world(situation: Situation, body: Callable[[JobWorld], Awaitable[Any]]) -> Any:
    """Run a coroutine function in a world of a situation, and return its result."""

    async def main() -> Any:
        async with anyio.create_task_group() as group:
            world = JobWorld(group, FleetSettings())
            world.behaviour.seconds = situation.run_s
            world.add_entry("entry0")
            for number in range(HOSTS):
                zone = situation.zones[number % len(situation.zones)]
                rack = situation.racks[number % len(situation.racks)]
                world.add_agent(f"host{number}", HOST, zone, rack)
            await world.wait_until_attached()
            await situation.prepare(world)
            result = await body(world)
            group.cancel_scope.cancel()
        return result

    return run_virtual(main)


def job_of(tasks: str) -> Job:
    """Return a job for a dry run."""
    schedule = Schedule(1, FOR_EVER_S, 1.0) if tasks == "a later occurrence" else None
    return Job(JobId("0" * 16), QUEUE, "bake", TASKS[tasks], schedule)


def reasons(trial: JobTrial) -> set[str]:
    return {reason for step in trial.steps for reason in step.ruled_out}


def placed_by(trial: JobTrial) -> Counter[str]:
    """Return the numbers of starts that a dry run foretells, by host."""
    return sum((Counter(step.placed) for step in trial.steps), Counter())


@given("a dry-run world where {situation}")
def set_situation(context: Any, situation: str) -> None:
    context.situation = SITUATIONS.get(situation)


@when("the dry run of a job with {tasks} is followed by its submission")
def try_and_submit(context: Any, tasks: str) -> None:
    async def body(world: JobWorld) -> None:
        scheduler, job = scheduler_of(world), job_of(tasks)
        context.trial = scheduler.dry_run(job)
        job = replace(job, job_id=JobId(OTHER_JOB))
        world.behaviour.sizes[f"{job.job_id}.0.0"] = job.steps[0].size
        outcome = await next(iter(world.entries.values())).job_service.submit(job)
        assert outcome.value == "accepted", outcome
        # Before a task ends, so that nothing else gets room.
        await anyio.sleep(SETTLE_S)
        row = scheduler.table.rows[job.job_id]
        context.started = Counter(str(run.host) for run in row.runs())

    in_world(context.situation, body)


@then('the dry run says "{outcome}" since "{cause}"')
def check_outcome(context: Any, outcome: str, cause: str) -> None:
    trial = context.trial
    assert trial.outcome.value == outcome, trial
    found = {step.cause.name for step in trial.steps if step.cause is not None}
    if not trial.steps:
        assert trial.cause is not None, trial
        found = {trial.cause.name}
        assert trial.not_before_s > 0, trial
    assert found == ({cause} - {"-"}), (found, trial)


@then('the dry run rules hosts out as "{reason}"')
def check_ruled_out(context: Any, reason: str) -> None:
    found = reasons(context.trial)
    assert reason in found or reason == "-", (found, context.trial)


@then("the scheduler starts the tasks that the dry run has placed, on the same hosts")
def check_started(context: Any) -> None:
    assert context.started == placed_by(context.trial), (context.started, context.trial)


@then("{trials:d} dry runs on generated tables choose what the pass does with the job")
def compare_on_tables(context: Any, trials: int) -> None:
    outcomes: Counter[str] = Counter()
    for seed in range(trials // PASSES):
        outcomes += compare_passes(seed)
    assert sum(outcomes.values()) == trials, outcomes
    assert min(outcomes["placed"], outcomes["waiting"]) >= MIN_OF_EACH, outcomes


def compare_passes(seed: int) -> Counter[str]:
    """Compare dry runs with the passes on the generated table of a seed; count the outcomes."""
    table, rng = GeneratedTable(seed), random.Random(seed)
    turns = GangTurns()
    outcomes: Counter[str] = Counter()

    def compare(jobs: Any, inputs: Any) -> Any:
        job = replace(random_job(rng), job_id=JobId(f"trial-{len(jobs.rows)}"))
        inputs = replace(inputs, gang_turns=turns)
        before = fingerprint_of_table(jobs), repr(vars(turns))
        trial = try_job(jobs, job, inputs)
        after = fingerprint_of_table(jobs), repr(vars(turns))
        assert before == after, (seed, job)
        jobs.add(replace(job, accepted_s=inputs.utc_s), inputs.now)
        placed = place(jobs, inputs)
        found = Counter(item.host for item in placed if item.task.job == job.job_id)
        assert found == placed_by(trial), (seed, job, found, trial)
        outcomes[trial.outcome.value] += 1
        return placed

    for _ in range(PASSES):
        table.run_pass(compare)
    return outcomes


def random_job(rng: random.Random) -> Job:
    """Return a job of any size and kind for a generated table."""
    size = Size(rng.randint(100, 12000), rng.randint(100, 20000))
    flags: dict[str, Any] = rng.choice(
        [
            {},
            {},
            {"gang": True, "same_rack": True},
            {"filler": True, "image": "plan"},
            {"label": "stone"},
            {"max_per_host": 1},
            {"long_running": True},
        ]
    )
    step = Step(rng.randint(1, 12), size, rng.uniform(0.5, 3), **flags)
    queue = QueueId(rng.choice(["bread", "planning", "counter"]))
    return Job(JobId("trial"), queue, "bake", (step,))


@given("a dry-run table of {hosts:d} hosts on which {tasks:d} tasks wait in {groups:d} groups")
def set_large_table(context: Any, hosts: int, tasks: int, groups: int) -> None:
    table = context.large = PassCost()
    table.run_warm_up()
    waiting = len(table.table.waiting), len(table.table.waiting_steps)
    assert (len(table.hosts), *waiting) == (hosts, tasks, groups), waiting


@then("no step of a dry run of {tasks} takes more than {most:d} instructions")
def check_steps(context: Any, tasks: str, most: int) -> None:
    count = int(tasks.replace("a gang of ", "").split()[0])
    step = Step(count, Size(500, 500), 1.0, image="till", gang="gang" in tasks)
    longest = longest_step(context.large, Job(JobId(""), SMALL_QUEUE, "", (step,)))
    assert longest <= most, longest


def longest_step(table: PassCost, job: Job) -> int:
    """Return the instructions of the longest step of a dry run."""
    return count_instructions(lambda: try_job(table.table, job, table.inputs(NOW)))


@given("a dry-run queue of 2 jobs behind runs of 4 seconds on all hosts")
def set_queue(context: Any) -> None:
    async def prepare(world: JobWorld) -> None:
        # Else the jobs that wait would be late at once, and go last.
        world.queues[QUEUE] = replace(world.queues[QUEUE], stretch=10.0)
        await world.submit(Step(HOSTS, WHOLE, 4.0, max_per_host=1))
        await anyio.sleep(SETTLE_S)
        context.ahead = {await world.submit(Step(1, WHOLE, 4.0)) for _ in range(2)}
        await anyio.sleep(SETTLE_S / 5)

    async def body(world: JobWorld) -> None:
        scheduler = scheduler_of(world)
        context.trial = scheduler.dry_run(Job(JobId(""), QUEUE, "", (Step(1, WHOLE, 4.0),)))
        context.tried_at = boot_s()
        with anyio.fail_after(10):
            while any(not scheduler.table.rows[job].run_count for job in context.ahead):
                await anyio.sleep(0.02)
        context.room_at = boot_s()

    in_world(Situation(prepare, run_s=4.0), body)


@then("the dry run names these {count:d} jobs as ahead")
def check_ahead(context: Any, count: int) -> None:
    (step,) = context.trial.steps
    assert {group.job for group in step.ahead} == context.ahead, step
    assert len(step.ahead) == count, step


@then("the dry run expects room within {limit:d} second of when a run ends")
def check_estimate(context: Any, limit: int) -> None:
    (step,) = context.trial.steps
    waited_s = context.room_at - context.tried_at
    assert abs(step.not_before_s - waited_s) < limit, (step.not_before_s, waited_s)


# What must not change.


def fingerprint_of_table(table: Any) -> str:
    """Return all that a job table holds as text."""
    return repr(
        (
            list(table.rows),
            list(table.summaries()),
            list(table.waiting.items()),
            list(table.waiting_steps.items()),
            {host: table.commitments(host) for host in table.by_host},
            table.crashes,
            sorted(table.changed),
            table.to_end,
            table.retries,
            table.queues,
            sorted(table.queues_used),
            table._due,
        )
    )


def fingerprint(world: JobWorld, scheduler: Scheduler) -> tuple[Any, ...]:
    """Return all that a dry run could change in a scheduler as text."""
    return (
        fingerprint_of_table(scheduler.table),
        repr(vars(scheduler.planning._waits)),
        repr(vars(scheduler.gang_turns)),
        repr(scheduler.host_tracker.hosts),
        repr(scheduler.statuses),
        scheduler._metrics.render(),
        repr(world.messages),
        scheduler._wake.is_set(),
    )


@then("{count:d} dry runs of each kind of job leave tables, hosts, states and metrics as they were")
def check_unchanged(context: Any, count: int) -> None:
    async def body(world: JobWorld) -> None:
        scheduler = scheduler_of(world)
        for tasks in TASKS:
            before = fingerprint(world, scheduler)
            for _ in range(count):
                scheduler.dry_run(job_of(tasks))
            for one, other in zip(before, fingerprint(world, scheduler), strict=True):
                assert one == other, (tasks, one, other)

    in_world(context.situation, body)


# The endpoint and the command.


def submission(count: int = 1, cpu: int = 100, **flags: Any) -> bytes:
    return json.dumps({"steps": [{"count": count, "cpu": cpu, "memMb": 1, **flags}]}).encode()


BODIES = {
    "a small job": submission(),
    "a large job": submission(2000, 4000),
    "a huge job": submission(1, 10**6),
    "a job for an unknown queue": submission(),
    "text that is not JSON": b"steps",
    "a job of 65 steps": json.dumps({"steps": [{}] * 65}).encode(),
    "a gang of 5001": submission(5001, gang=True),
    "a body beyond maxBodyBytes": b" " * (256 << 10) + submission(),
    "a body of 20000 fields": json.dumps({"steps": [0] * 20000}).encode(),
    "a file of 2 MiB": b" " * (2 << 20),
}
CONFIGURATION = {
    "version": 7,
    "services": [{"name": "bakery"}],
    "routes": [
        {"name": "bread", "host": "bread.test", "prefix": "/bread/", "service": "bakery"},
    ],
}


class DryRunEntry:
    """The apps of an entry, over a generated table with hosts in place of a scheduler."""

    def __init__(self, state: str) -> None:
        self.state = state
        store = MemoryStore(SharedStore())
        self.view = OperatorView(store, lambda: None)
        if state != "has no configuration":
            self.view.configuration = parse_configuration(json.dumps(CONFIGURATION).encode())
        answers = state != "cannot reach the store"
        self.job_service = JobService(store, "test/", lambda: answers)
        self.job_service.epoch = Epoch(3)
        if state == "follows another entry":
            self.job_service.leader = ProcessId("front-2")
        for number in range(MAX_OPEN_JOBS if state == "has 5000 open jobs" else 0):
            job = JobId(f"{number:016x}")
            self.job_service._add_status(JobStatus(job, QueueId("bread"), Progress.QUEUED))
        self.tried_at: list[float] = []
        self.takes_s = 0.0
        scheduler = None
        if state not in ("follows another entry", "knows no scheduler"):
            scheduler = SimpleNamespace(loaded=anyio.Event(), dry_run=self.dry_run)
            scheduler.loaded.set()
        jobs: Any = SimpleNamespace(scheduler=scheduler, job_service=self.job_service)
        node, metrics = ProcessId("front-1"), JobMetrics()
        self.table = GeneratedTable(1)
        self.table.change_hosts()
        self.ingress = IngressApp(node, self.view, self.job_service, metrics)
        clients = ClientTable(ClientLimits(), lambda *args: None)
        status = StatusApp(lambda: True, lambda: b"metrics\n", dict)
        self.app = DryRunApp(node, self.view, jobs, clients, status)

    def dry_run(self, job: Job) -> JobTrial:
        self.tried_at.append(anyio.current_time())
        time.sleep(self.takes_s)
        return try_job(self.table.table, job, self.table.inputs())

    async def call(self, app: Any, method: str, url: str, body: bytes = b"") -> httpx.Response:
        """Call an app without a network."""
        transport = httpx.ASGITransport(app=app)
        async with httpx.AsyncClient(transport=transport) as http:
            return await http.request(method, url, content=body)


@given("an entry for dry runs that {state}")
def set_entry(context: Any, state: str) -> None:
    context.entry_state = state


def queue_for(body: str) -> str:
    return "cake" if body == "a job for an unknown queue" else "bread"


@when("the dry-run entry gets {body} as a submission and at its status port")
def submit_and_try(context: Any, body: str) -> None:
    async def main() -> None:
        entry, queue = DryRunEntry(context.entry_state), queue_for(body)
        # The limits of the clients' address apply to connections there.
        context.submitted = await entry.call(
            limited(entry.ingress), "POST", f"http://{queue}.test/{queue}/{OTHER_JOB}", BODIES[body]
        )
        url = f"http://entry/dry-run?queue={queue}"
        context.tried = await entry.call(entry.app, "POST", url, BODIES[body])

    anyio.run(main)


def limited(app: Any) -> Any:
    """Return an app whose requests have the limits of an address."""
    request = SimpleNamespace(
        limits=ClientLimits(), note=lambda limit: None, charge=lambda size: None, release=None
    )
    request.release = request.charge

    async def serve(scope: Any, receive: Any, send: Any) -> None:
        await app({**scope, REQUEST_KEY: request}, receive, send)

    return serve


@then(
    'both answer status {status:d} with the same error, and the dry run names the limit "{limit}"'
)
def check_refused(context: Any, status: int, limit: str) -> None:
    submitted, tried = context.submitted, context.tried.json()
    assert submitted.status_code == status, (submitted, submitted.text)
    assert context.tried.status_code == 200, context.tried.text
    assert (tried["outcome"], tried["status"]) == ("refused", status), tried
    assert tried["error"] == submitted.json()["error"], (tried, submitted.text)
    assert tried.get("limit", "-") == limit, tried


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def run_cli(args: list[str]) -> tuple[int, str, str]:
    """Run the command; return its exit code and what it prints."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = run_command(args)
    return code, out.getvalue(), err.getvalue()


def ask(context: Any, body: str, before: tuple[str, ...] = ()) -> None:
    """Run the command, as text and with --json, against a server on loopback."""

    async def main() -> None:
        address, stopped = Address("127.0.0.1", free_port()), anyio.Event()
        entry = f"http://127.0.0.1:{address.port}"
        async with anyio.create_task_group() as group:
            if context.entry_state != "is away":
                app = DryRunEntry(context.entry_state).app
                group.start_soon(serve_http, app, address, LimitSettings(), stopped.wait)
                await wait_until_served(f"{entry}/healthz")
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "job.json"
                if body in BODIES:
                    path.write_bytes(BODIES[body])
                args = ["dry-run", str(path), "--queue", queue_for(body), *before]
                args += ["--entry", entry]
                context.printed = await anyio.to_thread.run_sync(run_cli, args)
                context.printed_json = await anyio.to_thread.run_sync(run_cli, [*args, "--json"])
            stopped.set()

    anyio.run(main)


async def wait_until_served(url: str) -> None:
    """Wait until a server answers."""
    async with httpx.AsyncClient(trust_env=False) as http:
        with anyio.fail_after(10):
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    if (await http.get(url)).status_code == 200:
                        return
                await anyio.sleep(0.02)


@when("the dry-run command asks it over HTTP about {body}")
def ask_entry(context: Any, body: str) -> None:
    ask(context, body)


@when("the dry-run command asks one that is away first")
def ask_two(context: Any) -> None:
    ask(context, "a small job", ("--entry", f"http://127.0.0.1:{free_port()}"))


@then('the dry-run command ends with {code:d} and prints "{text}"')
def check_printed(context: Any, code: int, text: str) -> None:
    found, out, err = context.printed
    assert found == code, (found, out, err)
    assert text in out, out
    assert not err, err


@then("the dry-run command prints the same outcome as JSON")
def check_json(context: Any) -> None:
    code, out, _ = context.printed_json
    answer = json.loads(out)
    assert code == context.printed[0], (code, out)
    assert context.printed[1].startswith(f"{answer['outcome']}: "), (out, context.printed)
    assert answer["configuration"] == 7 and answer["entry"] == "front-1", out


@then('the dry-run command ends with {code:d} and reports "{text}"')
def check_reported(context: Any, code: int, text: str) -> None:
    found, out, err = context.printed
    assert (found, out) == (code, ""), (found, out, err)
    assert text in err, err


@then("the dry-run endpoint answers 400 without a queue, 405 to a GET and 413 to 2 MiB")
def check_bad_calls(context: Any) -> None:
    async def main() -> list[int]:
        entry = DryRunEntry(context.entry_state)
        calls = (
            ("POST", "/dry-run", b"{}"),
            ("GET", "/dry-run?queue=bread", b""),
            ("POST", "/dry-run?queue=bread", BODIES["a file of 2 MiB"]),
        )
        answers = [await entry.call(entry.app, m, f"http://entry{p}", b) for m, p, b in calls]
        assert all(answer.json()["error"] for answer in answers), answers
        return [answer.status_code for answer in answers]

    assert anyio.run(main) == [400, 405, 413]


async def call_at_once(entry: DryRunEntry, calls: int) -> Counter[int]:
    """Ask for dry runs at the same time; return how many answers had each status."""
    statuses = Counter[int]()

    async def call() -> None:
        url = "http://entry/dry-run?queue=bread"
        answer = await entry.call(entry.app, "POST", url, BODIES["a small job"])
        statuses[answer.status_code] += 1

    async with anyio.create_task_group() as group:
        for _ in range(calls):
            group.start_soon(call)
    return statuses


def least_gap_s(entry: DryRunEntry) -> float:
    """Return the shortest time between two dry runs."""
    return min(later - at for at, later in pairwise(entry.tried_at))


@then("of {calls:d} dry runs at once {served:d} are answered, 10 a second, and the others get 429")
def check_rate(context: Any, calls: int, served: int) -> None:
    async def main() -> None:
        entry = DryRunEntry(context.entry_state)
        statuses = await call_at_once(entry, calls)
        assert statuses == {200: served, 429: calls - served}, statuses
        assert least_gap_s(entry) >= 0.0999, entry.tried_at

    run_virtual(main)


@then("dry runs that take {took_ms:d} ms each are at least {gap_s:d} second apart")
def check_share(context: Any, took_ms: int, gap_s: int) -> None:
    async def main() -> None:
        entry = DryRunEntry(context.entry_state)
        entry.takes_s = took_ms / 1000
        assert await call_at_once(entry, 4) == {200: 4}
        assert least_gap_s(entry) >= gap_s, entry.tried_at

    run_virtual(main)


@then("other paths of the status port are served as before")
def check_other_paths(context: Any) -> None:
    async def main() -> list[tuple[int, bytes]]:
        entry = DryRunEntry(context.entry_state)
        answers = [
            await entry.call(entry.app, "GET", f"http://entry{path}")
            for path in ("/metrics", "/readyz", "/dry")
        ]
        return [(answer.status_code, answer.content) for answer in answers]

    assert anyio.run(main) == [(200, b"metrics\n"), (200, b"ready\n"), (404, b"not found\n")]
