"""A scheduler with simulated hosts in virtual time, and a count of what each of its steps does."""

import sys
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import anyio
import anyio.lowlevel
import trio
from anyio.abc import TaskGroup

from apricotpath.boottime import boot_s
from apricotpath.fleet import FleetSettings
from apricotpath.ids import (
    DataCentreId,
    Epoch,
    FenceToken,
    HostId,
    InstanceId,
    JobId,
    QueueId,
    RackId,
    ServiceId,
    TaskId,
)
from apricotpath.jobcodec import job_text
from apricotpath.jobmetrics import JobMetrics
from apricotpath.messages import (
    HostAttach,
    HostGrant,
    HostRuns,
    Message,
    OrderAnswer,
    OrderAnswers,
    RunEnding,
    RunOrder,
    RunStatus,
    StartRuns,
    StopRuns,
)
from apricotpath.model import Size, StartAnswer
from apricotpath.store import Put
from apricotpath.term import Term
from apricotpath.workload import Job, Progress, Queue, RunResult, Step
from apricotpathd.operatorrules import SchedulerRules
from apricotpathd.scheduler import Scheduler
from support.memorystore import MemoryStore, SharedStore

PREFIX, EPOCH_KEY = "t/", "t/ctl/epoch"
QUEUE, SERVICE = QueueId("bread"), ServiceId("bakery")
HOST_SIZE = Size(16_000, 1_000_000, 0)
REPORT_S = 0.1
# Endings that an executor lists at a time.
LISTED_ENDINGS = 500


class StepCounter(trio.abc.Instrument):
    """Counts the calls of functions, built-in ones included, in each step of one trio task."""

    def __init__(self) -> None:
        self.task: trio.lowlevel.Task | None = None
        self.calls = self.most = 0

    def watch_this_task(self) -> None:
        """Count the steps of the running task."""
        self.task = trio.lowlevel.current_task()
        trio.lowlevel.add_instrument(self)

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Begin to count."""
        if task is self.task:
            self.calls = 0
            sys.setprofile(self._profile)

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """Keep the highest count."""
        if task is self.task:
            sys.setprofile(None)
            self.most = max(self.most, self.calls)

    def _profile(self, frame: Any, event: str, arg: Any) -> None:
        self.calls += event in ("call", "c_call")


class SimulatedHost:
    """A host whose runs go on until the test ends them; it is also the link to the host.

    It refuses the next `refusals` starts, and gets no orders while `gets_no_orders`.
    """

    def __init__(self, name: str, scheduler: Scheduler) -> None:
        self.name, self.peer_id, self.is_open = HostId(name), name, True
        self.peer = None
        self.scheduler = scheduler
        self.fence = FenceToken(0)
        self.renewal = self.last_ending = self.acknowledged = 0
        self.born_ms = 1
        self.runs: dict[tuple[TaskId, int], RunOrder] = {}
        self.saved: dict[TaskId, str] = {}
        self.endings: list[RunEnding] = []
        self.orders: list[RunOrder] = []
        self.refusals = self.stops = 0
        self.percent = 10
        # The hosts whose members of a gang end when one is stopped here.
        self.others: list[SimulatedHost] = []
        self.gets_no_orders = self.is_lost = False
        self.answers: list[OrderAnswer] = []

    def attach(self) -> None:
        """Attach to the scheduler."""
        call = HostAttach(
            self.name,
            InstanceId(self.name),
            self.born_ms,
            SERVICE,
            DataCentreId("z1"),
            RackId("r1"),
            (),
            HOST_SIZE,
            self.scheduler.epoch,
        )
        self.fence = self.scheduler.host_tracker.attach(self, call).fence  # type: ignore[arg-type]
        self.renewal = 0

    def send_nowait(self, body: Message, reply_to: int = 0) -> None:
        """Carry out an order of the scheduler."""
        if self.gets_no_orders and isinstance(body, (StartRuns, StopRuns)):
            return
        if isinstance(body, StartRuns):
            self._start(body.orders)
        elif isinstance(body, StopRuns):
            self.stops += len(body.runs)
            for name in body.runs:
                self.end(name.task, name.run, RunResult.STOPPED)
                for host in self.others:
                    host.break_run(name.run)
        elif isinstance(body, HostGrant):
            self.acknowledged = max(self.acknowledged, body.noted)
            self.endings = [item for item in self.endings if item.number > body.noted]

    def _start(self, orders: Iterable[RunOrder]) -> None:
        """Start runs, or keep the answers to the others until the next report."""
        for order in orders:
            self.orders.append(order)
            if self.refusals:
                self.refusals -= 1
                answer = OrderAnswer(order.task, order.run, StartAnswer.REFUSED)
                self.answers.append(answer)
            else:
                self.runs[order.task, order.run] = order

    def end(self, task: TaskId, run: int, result: RunResult) -> None:
        """End a run, if it is there."""
        if self.runs.pop((task, run), None) is not None:
            self.last_ending += 1
            saved = self.saved.get(task, "")
            self.endings.append(RunEnding(self.last_ending, task, run, result, saved))

    def break_run(self, number: int) -> None:
        """End the runs with a number."""
        for task, run in list(self.runs):
            if run == number:
                self.end(task, run, RunResult.BROKEN)

    def restart(self) -> None:
        """Begin another incarnation, which runs nothing, and attach."""
        self.born_ms += 1
        self.last_ending = self.acknowledged = 0
        self.runs.clear()
        self.endings.clear()
        self.attach()

    def lose(self) -> None:
        """End for good, with all runs."""
        self.is_lost = True
        self.runs.clear()
        self.scheduler.host_tracker.link_closed(self)  # type: ignore[arg-type]

    def report(self) -> None:
        """Send a report, and the answers to start orders."""
        answers, self.answers = tuple(self.answers), []
        if answers:
            message = OrderAnswers(self.fence, answers)
            self.scheduler.host_tracker.receive_answers(self, message)  # type: ignore[arg-type]
        self.renewal += 1
        runs = [
            RunStatus(task, run, self.saved.get(task, ""), self.percent, 0.0)
            for task, run in self.runs
        ]
        endings = tuple(self.endings[:LISTED_ENDINGS])
        complete = self.renewal == 1
        self.scheduler.host_tracker.receive_report(
            self,  # type: ignore[arg-type]
            HostRuns(self.fence, self.renewal, complete, False, 0, 100.0, tuple(runs), endings),
        )


class GangWorld:
    """A scheduler of one term and its hosts; use it inside `run_virtual`."""

    def __init__(self, group: TaskGroup, hosts: int, cfg: FleetSettings | None = None) -> None:
        self.group, self.host_count = group, hosts
        self.cfg = cfg or FleetSettings()
        self.shared = SharedStore()
        self.store = MemoryStore(self.shared)
        self.queues = {QUEUE: Queue(QUEUE, SERVICE, attempts=3)}
        self.counter = StepCounter()
        self.hosts: list[SimulatedHost] = []
        self.epoch = 0
        self.scope = anyio.CancelScope()
        self.scheduler: Scheduler

    async def start(self) -> None:
        """Begin a term, and attach all hosts."""
        self.epoch += 1
        result = await self.store.txn([], [Put(EPOCH_KEY, b"{}")])
        term = Term(Epoch(self.epoch), EPOCH_KEY, result.revision)
        term.predecessor_ended.set()
        self.scheduler = Scheduler(
            term,
            self.store,
            PREFIX,
            self.cfg,
            lambda: SchedulerRules(dict(self.queues), frozenset()),
            boot_s,
            lambda _statuses: None,
            JobMetrics(),
            boot_s,
        )
        self.scope = anyio.CancelScope()
        self.group.start_soon(self._serve, self.scheduler, self.scope)
        await self.scheduler.loaded.wait()
        for number in range(self.host_count):
            if number >= len(self.hosts):
                self.hosts.append(SimulatedHost(f"host{number}", self.scheduler))
            self.hosts[number].scheduler = self.scheduler
            self.hosts[number].attach()
            self.group.start_soon(self._report, self.hosts[number], self.scheduler)

    async def _serve(self, scheduler: Scheduler, scope: anyio.CancelScope) -> None:
        with scope:
            self.counter.watch_this_task()
            await scheduler.serve()

    async def _report(self, host: SimulatedHost, scheduler: Scheduler) -> None:
        while host.scheduler is scheduler and not host.is_lost:
            host.report()
            await anyio.sleep(REPORT_S)

    async def replace_scheduler(self) -> None:
        """End the term at once, and begin the next one."""
        self.scope.cancel()
        trio.lowlevel.remove_instrument(self.counter)
        await anyio.lowlevel.checkpoint()
        await self.start()

    async def submit(self, number: int, *steps: Step) -> JobId:
        """Store a job, and tell the scheduler."""
        job = Job(JobId(f"{number:016x}"), QUEUE, "bake", steps, accepted_s=boot_s())
        text = job_text(job)
        await self.store.txn([], [Put(f"{PREFIX}jobs/job/{job.job_id}", text.encode())])
        self.scheduler.add_job(text)
        return job.job_id

    def running(self) -> int:
        """Return how many runs there are on all hosts."""
        return sum(len(host.runs) for host in self.hosts)

    def end_all(self, result: RunResult) -> None:
        """End all runs."""
        for host in self.hosts:
            for task, run in list(host.runs):
                host.end(task, run, result)

    def progress(self, job: JobId) -> Progress:
        """Return the state of a job."""
        return self.scheduler.table.rows[job].progress


async def wait_until(condition: Callable[[], bool], limit_s: float) -> float:
    """Wait until a condition holds; return the seconds, or raise TimeoutError."""
    started = boot_s()
    with anyio.fail_after(limit_s):
        while not condition():
            await anyio.sleep(0.01)
    return boot_s() - started


def gang_main(
    hosts: int, act: Callable[[GangWorld], Awaitable[None]]
) -> Callable[[], Awaitable[None]]:
    """Return a main function that plays `act` in a new world."""

    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = GangWorld(group, hosts)
            await world.start()
            await act(world)
            group.cancel_scope.cancel()

    return main
