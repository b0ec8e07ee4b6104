"""A simulated host for task tests: worker stand-in, agent and a network that can fail."""

from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from functools import cache
from itertools import pairwise
from logging import WARNING, getLogger
from zoneinfo import ZoneInfo

import anyio
import httpx
from trio._core import _run
from trio.testing import MockClock

from apricotpath.codec import Envelope
from apricotpath.config import Address, AgentSettings, BackendSettings, PolicySettings
from apricotpath.messages import HostReport, Message, StartTask
from apricotpath.model import Size, TaskClass
from apricotpath.rules import Verdict
from apricotpath.worker import HttpWorker
from apricotpath_bench.workerstandin import StandInSettings, WorkerApp, WorkerModel
from apricotpathd.agenttasks import AgentTasks

# Logging every call to the worker would take most of the run time of a test.
getLogger("httpx").setLevel(WARNING)

HOST_SIZE = Size(16000, 60000, 2)
# The stand-in admits four times the agent's limit, so that only the agent enforces its limit.
WORKER_SIZE = Size(64000, 240000, 8)
CLAIM = Size(4000, 8000, 0)
KILL_DELAY_S = 1.9


def run_seeded(case, seed: int) -> None:
    """Run a coroutine function in virtual time; the seed also determines trio's task order."""
    # Trio has no public API for this; without it a failing seed would not be reproducible.
    _run._ALLOW_DETERMINISTIC_SCHEDULING = True
    _run._r.seed(seed)
    clock = MockClock(autojump_threshold=0)
    anyio.run(case, backend="trio", backend_options={"clock": clock})


@dataclass(frozen=True)
class QuietHours:
    """Hours of the day, in a zone's local time, in which nothing may run."""

    zone: str
    first: float
    last: float

    def forbids(self, utc: datetime) -> bool:
        local = utc.astimezone(ZoneInfo(self.zone))
        hour = local.hour + local.minute / 60 + local.second / 3600
        return self.first <= hour < self.last

    def next_start(self, utc: datetime) -> datetime:
        return _next_start(self, utc.replace(second=0, microsecond=0))


@cache
def _next_start(quiet: QuietHours, minute: datetime) -> datetime:
    while True:
        minute += timedelta(minutes=1)
        if quiet.forbids(minute):
            return minute


@dataclass
class FakeRules:
    bundle_version: int = 7
    out: bool = False
    quiet: QuietHours | None = None
    claim: Size = CLAIM

    def in_service(self, dc: str) -> bool:
        return not self.out

    def claim_of(self, service: str) -> Size:
        return self.claim

    def verdict(self, team: str, activity: str, dc: str, utc: datetime) -> Verdict:
        if self.quiet is None:
            return Verdict(True, "none", self.bundle_version)
        if self.quiet.forbids(utc):
            return Verdict(False, "quiet", self.bundle_version)
        return Verdict(True, "quiet", self.bundle_version, self.quiet.next_start(utc))


@dataclass
class FakeLink:
    """Records messages of the agent; replies can be awaited by id."""

    is_open: bool = True
    replies: dict = field(default_factory=dict)
    reports: list = field(default_factory=list)
    arrived: anyio.Event = field(default_factory=anyio.Event)

    def send_nowait(self, body: Message, reply_to: int = 0) -> None:
        if isinstance(body, HostReport):
            self.reports.append(body)
        else:
            self.replies[reply_to] = body
        self.arrived.set()
        self.arrived = anyio.Event()

    async def until(self, condition):
        while not (result := condition()):
            await self.arrived.wait()
        return result


class Network(httpx.AsyncBaseTransport):
    """Transports calls to the worker; a call that was sent arrives even if its sender is gone.

    Calls whose path is in `held` wait until `release`, as do answers in `held_answers`; "*"
    stands for all paths. `delay` returns the seconds that a call takes to arrive.
    """

    def __init__(self, group, app: WorkerApp) -> None:
        self.group = group
        self.inner = httpx.ASGITransport(app, raise_app_exceptions=True)
        self.held: set[str] = set()
        self.held_answers: set[str] = set()
        self.delay = lambda: 0.0
        self.released = anyio.Event()
        self.calls: list[str] = []

    def release(self) -> None:
        self.held, self.held_answers = set(), set()
        self.released.set()
        self.released = anyio.Event()

    async def _wait(self, held: set[str], path: str) -> None:
        if path in held or "*" in held:
            await self.released.wait()

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        await request.aread()
        done = anyio.Event()
        answers = []
        path = request.url.path.strip("/")

        async def deliver() -> None:
            await anyio.sleep(self.delay())
            await self._wait(self.held, path)
            self.calls.append(path)
            answers.append(await self.inner.handle_async_request(request))
            await self._wait(self.held_answers, path)
            done.set()

        self.group.start_soon(deliver)
        await done.wait()
        return answers[0]


class TaskHost:
    """One host; the agent's UTC clock is `offset_s` seconds ahead of the true time."""

    def __init__(
        self, group, base: datetime, rules: FakeRules | None = None, origin: float | None = None
    ) -> None:
        self.group = group
        self.base = base
        self.origin = anyio.current_time() if origin is None else origin
        self.offset_s = 0.0
        self.rules = rules or FakeRules()
        cfg = StandInSettings(WORKER_SIZE, kill_delay_s=KILL_DELAY_S)
        self.model = WorkerModel(cfg, anyio.current_time, lambda: self.true_utc().timestamp())
        self.network = Network(group, WorkerApp(self.model))
        self.agent: AgentTasks | None = None
        self.scope = anyio.CancelScope()
        self.link = FakeLink()
        self.incarnations = 0
        self.calls = 0
        self.renewing = True

    def true_utc(self) -> datetime:
        return self.base + timedelta(seconds=anyio.current_time() - self.origin)

    def utc(self) -> datetime:
        return self.true_utc() + timedelta(seconds=self.offset_s)

    async def start_agent(self) -> None:
        self.incarnations += 1
        address = Address("127.0.0.1", 1)
        backend = BackendSettings("b", "scraps", "http://127.0.0.1:1")
        cfg = AgentSettings(
            "agent", "h", "r", "dc", HOST_SIZE, "http://w", (), address, (), backend
        )
        assert cfg.policy == PolicySettings()
        worker = HttpWorker("http://w", 1.0, self.network)
        incarnation = f"inc{self.incarnations}"
        self.agent = AgentTasks(cfg, worker, self.rules, self.utc, incarnation)
        self.link, self.scope = FakeLink(), anyio.CancelScope()
        self.group.start_soon(self._run, self.agent, self.scope)
        await self.agent.link_opened(self.link)

    async def _run(self, agent: AgentTasks, scope: anyio.CancelScope) -> None:
        with scope:
            await agent.run()

    def kill_agent(self) -> None:
        self.scope.cancel()
        self.link = FakeLink()

    async def until_ready(self) -> None:
        await self.link.until(lambda: self.link.reports and self.link.reports[-1].ready)

    async def send(self, msg: Message) -> int:
        self.calls += 1
        if self.scope.cancel_called:
            return self.calls  # A killed process reads no messages.
        await self.agent.received(self.link, Envelope(self.calls, 0, msg))
        return self.calls

    async def call(self, msg: Message, timeout_s: float = 60.0) -> Message:
        link, number = self.link, await self.send(msg)
        with anyio.fail_after(timeout_s):
            await link.until(lambda: number in link.replies)
        return link.replies[number]

    def start_msg(self, task: str = "t", attempt: int = 1, **changes) -> StartTask:
        values = {
            "shard": 3, "epoch": 1, "task": task, "attempt": attempt, "team": "team",
            "activity": "milling", "task_class": TaskClass.BATCH, "size": Size(8000, 1000, 0),
            "command": "", "run_time_s": 100.0, "checkpoint": "", "checkpoint_s": 1.0,
            "anchor_incarnation": self.agent.incarnation,
            "anchor_clock_ms": self.agent.worker_clock_ms, "bundle_version": 7,
        }  # fmt: skip
        return StartTask(**{**values, **changes})

    async def outcome(self, task: str, attempt: int):
        """Wait for the report of an ended attempt and return it."""
        with anyio.fail_after(300):
            return await self.link.until(lambda: self._reported(task, attempt))

    def _reported(self, task: str, attempt: int):
        rows = self.link.reports[-1].outcomes if self.link.reports else ()
        return next((r for r in rows if (r.task, r.attempt) == (task, attempt)), None)

    def runs(self, task: str | None = None) -> list[dict]:
        rows = self.model.record()["runs"]
        return [row for row in rows if task in (None, row["task"])]


def check_invariants(hosts: list[TaskHost]) -> None:
    """Check the records of all workers: host capacity, no overlapping runs, quiet hours."""
    runs = []
    for host in hosts:
        record = host.model.record()
        peak = Size(**record["max"])
        assert (peak + CLAIM).fits_in(HOST_SIZE), f"capacity: {peak} and {CLAIM} exceed {HOST_SIZE}"
        runs += record["runs"]
        for run in record["runs"]:
            _check_quiet_hours(host, run)
    now = hosts[0].true_utc().timestamp()
    runs.sort(key=lambda run: (run["task"], run["started_at"]))
    for before, after in pairwise(runs):
        if before["task"] == after["task"]:
            ended = before["ended_at"] or now
            assert ended <= after["started_at"], f"overlap: {before} overlaps {after}"
            assert before["attempt"] < after["attempt"], f"overlap: {after} was started again"


def _check_quiet_hours(host: TaskHost, run: dict) -> None:
    if host.rules.quiet is None:
        return
    second = run["started_at"]
    last = run["ended_at"] or host.true_utc().timestamp()
    while second < last:
        assert not host.rules.quiet.forbids(datetime.fromtimestamp(second, UTC)), (
            f"quiet hours: {run}"
        )
        second += 1.0
    final = datetime.fromtimestamp(last, UTC)
    assert not host.rules.quiet.forbids(final), f"quiet hours: {run} ended at {final}"
