"""Steps for startcalls.feature."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from behave import given, then, when

from apricotpath.boottime import boot_s
from apricotpath.callwindow import MAX_CALLS, CallWindow
from apricotpath.ids import FenceToken, JobId, TaskId
from apricotpath.messages import RunName, RunOrder, StartRuns, StopRuns
from apricotpath.model import Size, StartAnswer
from apricotpath.workload import Step
from apricotpath_platform.httpcalls import MAX_CONNECTIONS
from support.agentcase import AgentCase
from support.executormodel import CALL_TIMEOUT_S
from support.jobworld import JobWorld, run_virtual, tasks_of
from support.ratedexecutor import RatedExecutor

STEP = "00000000000000a1.0.0"
# Larger than each answer of a start takes.
SOON_S = 0.01
GANG_RUN_S = 2.0
LONG_RUN_S = 1000.0
# Time for a gang to be whole, in virtual time.
MAX_WAIT_S = 120.0
MEMBER = Size(100, 10, 0)


def task(number: int) -> TaskId:
    """Return the name of a task of the agent's job."""
    return TaskId(f"{STEP}.{number}")


class WindowCase:
    """Makes calls through a window to a server that handles them one after another."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.loses_every = 0
        self.window = CallWindow()
        self.attempts = 0
        self.took_s = 0.0
        self._busy_until = 0.0
        self._freed = anyio.Event()

    async def play(self, count: int) -> None:
        """Make the calls, and repeat those without an answer."""
        began = boot_s()
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(self._call_until_answered)
        self.took_s = boot_s() - began

    async def _call_until_answered(self) -> None:
        answered = False
        while not answered:
            while not self.window.has_room:
                await self._freed.wait()
            call = self.window.send(boot_s())
            answered = await self._handle()
            if answered:
                self.window.answered(call, boot_s())
            else:
                self.window.unanswered(call)
            self._freed.set()
            self._freed = anyio.Event()

    async def _handle(self) -> bool:
        """Handle a call; return whether it is answered in time."""
        self.attempts += 1
        if self.loses_every and self.attempts % self.loses_every == 0:
            await anyio.sleep(CALL_TIMEOUT_S)
            return False
        now = boot_s()
        self._busy_until = ends_at = max(self._busy_until, now) + 1 / self.rate
        await anyio.sleep(min(CALL_TIMEOUT_S, ends_at - now))
        return ends_at <= now + CALL_TIMEOUT_S


@given("a startcalls window, and a server that answers {rate:g} calls a second")
def window(context: Any, rate: float) -> None:
    context.rate, context.loses_every = rate, 0


@given("the server of the startcalls loses every third call")
def lose(context: Any) -> None:
    context.loses_every = 3


@when("{count:d} startcalls are made through the window")
def make_calls(context: Any, count: int) -> None:
    async def main() -> None:
        context.case = WindowCase(context.rate)
        context.case.loses_every = context.loses_every
        await context.case.play(count)

    run_virtual(main)


@then(
    "the server got at most {attempts:d} startcalls, and the last answer came after "
    "{seconds:g} seconds"
)
def attempts_of_window(context: Any, attempts: int, seconds: float) -> None:
    case: WindowCase = context.case
    assert case.attempts <= attempts, case.attempts
    assert case.took_s <= seconds, case.took_s


@then("the startcalls window ends with a limit of {low:d} to {high:d}")
def limit_between(context: Any, low: int, high: int) -> None:
    assert low <= context.case.window.limit <= high, context.case.window.limit


@then("{count:d} connections to an executor are never used by startcalls")
def connections_left(context: Any, count: int) -> None:
    assert count <= MAX_CONNECTIONS - MAX_CALLS


@given("a startcalls world of {hosts:d} hosts whose executors answer {rate:g} starts a second")
def world_of_hosts(context: Any, hosts: int, rate: float) -> None:
    context.hosts, context.rate = hosts, rate


@when("a gang of {count:d} tasks is submitted to the startcalls world")
def submit_gang(context: Any, count: int) -> None:
    play_world(lambda world: play_gang(context, world, count))


async def add_hosts(context: Any, world: JobWorld, members: int) -> list[Any]:
    """Add hosts that a gang fills, and return their executors."""
    world.add_entry("entry0")
    share = members // context.hosts
    for number in range(context.hosts):
        world.add_agent(f"host{number}", Size(MEMBER.cpu_milli * share, 1_000_000, 0))
    await world.wait_until_attached()
    return [node.agent.executor for node in world.agents.values()]


async def start_gang(world: JobWorld, count: int, run_s: float) -> JobId:
    """Submit a gang."""
    job = world.next_job()
    world.behaviour.seconds = run_s
    world.behaviour.sizes[f"{job}.0.0"] = MEMBER
    return await world.submit(Step(count, MEMBER, run_s, gang=True))


async def play_gang(context: Any, world: JobWorld, count: int) -> None:
    """Run a gang that takes all hosts, and keep its starts and its end."""
    world.executor_class = RatedExecutor
    executors = await add_hosts(context, world, count)
    for executor in executors:
        executor.rate = context.rate
    job = await start_gang(world, count, GANG_RUN_S)
    try:
        context.end = await world.wait_for_end(job, 20.0)
    except TimeoutError:
        context.end = "unfinished"
    began = {name: at for node in world.agents.values() for name, at in node.model.began.items()}
    context.began = [began.get((TaskId(name), 1)) for name in tasks_of(job, 0, count)]
    context.attempts = sum(len(executor.attempts) for executor in executors)


@then("all {count:d} members have begun their first run within {seconds:g} seconds of each other")
def begun_together(context: Any, count: int, seconds: float) -> None:
    begun = [at for at in context.began if at is not None]
    assert len(begun) == count, (len(begun), context.attempts)
    assert max(begun) - min(begun) <= seconds, max(begun) - min(begun)


@then("the executors of the startcalls world got at most {count:d} starts")
def few_attempts(context: Any, count: int) -> None:
    assert context.attempts <= count, context.attempts


@then("the gang of the startcalls world is completed")
def gang_completed(context: Any) -> None:
    assert context.end == "completed", context.end


@given(
    "a startcalls world of {hosts:d} hosts whose executors leave a share of {share:g} of calls "
    "without an answer"
)
def lossy_hosts(context: Any, hosts: int, share: float) -> None:
    context.hosts, context.rate, context.share = hosts, float("inf"), share


@when("a gang of {count:d} long tasks is submitted to the startcalls world")
def submit_long_gang(context: Any, count: int) -> None:
    async def act(world: JobWorld) -> None:
        world.unanswered_share, world.late_s = context.share, 4.0
        await add_hosts(context, world, count)
        await run_long_gang(context, world, count)

    play_world(act)


def play_world(act: Callable[[JobWorld], Awaitable[None]]) -> None:
    """Play what a scenario does in a new world."""

    async def main() -> None:
        async with anyio.create_task_group() as group:
            await act(JobWorld(group))
            group.cancel_scope.cancel()

    run_virtual(main)


async def run_long_gang(context: Any, world: JobWorld, count: int) -> None:
    """Submit a gang, and wait until all members of one run are there."""
    models = [node.model for node in world.agents.values()]
    submitted = boot_s()
    await start_gang(world, count, LONG_RUN_S)

    def is_whole() -> bool:
        runs = [run for model in models for _, run in model.runs]
        return len(runs) == count and len(set(runs)) == 1

    context.took_s = float("inf")
    with anyio.move_on_after(MAX_WAIT_S):
        while not is_whole():
            await anyio.sleep(0.05)
        context.took_s = boot_s() - submitted
    context.violations = world.violations()


@then("the gang of the startcalls world is whole within {seconds:g} seconds")
def is_whole_within(context: Any, seconds: float) -> None:
    assert context.took_s <= seconds, context.took_s


@then("no two runs of a member overlapped")
def no_violations(context: Any) -> None:
    assert not context.violations, context.violations


class StartCase(AgentCase):
    """An agent with a rated executor and many small tasks."""

    def __init__(self) -> None:
        super().__init__()
        self.connect_executor = RatedExecutor
        self.rate = float("inf")
        self.silent_s = 0.0
        self.refused_task: TaskId | None = None
        self.ordered_at = 0.0
        self.valid_until = 0.0

    @property
    def executor(self) -> RatedExecutor:
        """The client of the executor."""
        executor = self.agent.executor
        assert isinstance(executor, RatedExecutor)
        return executor

    async def prepare(self) -> None:
        """Set the behaviour of the executor."""
        self.behaviour.sizes[STEP] = Size(10, 10, 0)
        self.executor.rate = self.rate
        self.executor.silent_until = boot_s() + self.silent_s
        if self.refused_task is not None:
            self.model.highest_blocked_run[self.refused_task] = 1

    async def order_many(self, first: int, count: int) -> None:
        """Order starts of tasks in one message."""
        self.ordered_at = boot_s()
        renewal, reported_at = self.renewals[-1]
        self.valid_until = reported_at + self.agent.cfg.start_window_s
        orders = tuple(
            RunOrder(task(number), 1, "bake", "", "", filler=False, target_ms=0.0)
            for number in range(first, first + count)
        )
        await self.deliver(StartRuns(FenceToken(1000 + self.fences_issued), renewal, orders))

    def play(self, act: Callable[[], Awaitable[None]]) -> None:
        """Run the agent, and then what the scenario does to it."""
        self.actions += [self.prepare, act]
        self.run()


@given("a startcalls agent whose executor answers {rate:g} starts a second")
def rated_agent(context: Any, rate: float) -> None:
    context.case = StartCase()
    context.case.rate = rate


@given("a startcalls agent whose executor answers no start for {seconds:g} seconds")
def silent_agent(context: Any, seconds: float) -> None:
    context.case = StartCase()
    context.case.silent_s = seconds


@given("the executor of the startcalls agent refuses the run of task {number:d}")
def refuse(context: Any, number: int) -> None:
    context.case.refused_task = task(number)


@when(
    "{count:d} starts are ordered of the startcalls agent each second for {seconds:d} seconds, "
    "and {last:d} at {at:g} seconds"
)
def order_repeatedly(context: Any, count: int, seconds: int, last: int, at: float) -> None:
    case: StartCase = context.case

    async def act() -> None:
        for number in range(seconds):
            await case.order_many(number * count, count)
            await anyio.sleep(1.0)
        context.limit = case.agent.start_turns.limit
        await anyio.sleep(at - seconds)
        await case.order_many(seconds * count, last)
        await anyio.sleep(5.0)
        names = [(task(seconds * count + number), 1) for number in range(last)]
        context.waited = [case.model.began.get(name, 1e9) - case.ordered_at for name in names]

    case.play(act)


@then("the startcalls limit had fallen to {limit:d} when the executor answered again")
def limit_fell(context: Any, limit: int) -> None:
    assert context.limit == limit, context.limit


@then("the last {count:d} startcalls have begun within {seconds:g} seconds of their order")
def begun_soon(context: Any, count: int, seconds: float) -> None:
    assert len(context.waited) == count
    assert max(context.waited) <= seconds, context.waited


@when(
    "{count:d} starts are ordered of the startcalls agent, and a stop of the last one "
    "{seconds:g} seconds later"
)
def order_and_withdraw(context: Any, count: int, seconds: float) -> None:
    case: StartCase = context.case
    context.last = task(count - 1)

    async def act() -> None:
        await case.order_many(0, count)
        await anyio.sleep(seconds)
        token = FenceToken(1000 + case.fences_issued)
        await case.deliver(StopRuns(token, (RunName(context.last, 1),)))
        await anyio.sleep(0.05)
        context.refused = list(case.refused)
        await anyio.sleep(5.0)

    case.play(act)


@then("the last run of the startcalls agent is refused 0.05 seconds later")
def withdrawn(context: Any) -> None:
    assert context.refused == [(context.last, 1)], context.refused


@then("the executor has got no startcalls of the last run")
def not_attempted(context: Any) -> None:
    assert context.case.executor.attempts
    assert context.last not in context.case.executor.attempted


@when("{count:d} starts are ordered of the startcalls agent")
def order_all(context: Any, count: int) -> None:
    case: StartCase = context.case

    async def act() -> None:
        await case.order_many(0, count)
        await anyio.sleep(4.0)
        context.answers, context.refused = list(case.answers), list(case.refused)
        await anyio.sleep(15.0)

    case.play(act)


@then("no startcalls are made later than 2 seconds after the report")
def none_late(context: Any) -> None:
    case: StartCase = context.case
    assert max(case.executor.attempts) <= case.valid_until, case.valid_until


@then("each of the {count:d} startcalls is answered as started or refused within 4 seconds")
def all_answered(context: Any, count: int) -> None:
    started = context.answers.count(StartAnswer.STARTED)
    begun = len(context.case.model.began)
    assert 0 < started < count, started
    # A run that began without an answer is reported by the executor instead.
    assert begun + len(context.refused) == count, (begun, len(context.refused))


@then("no run that the startcalls agent refused has begun 15 seconds later")
def none_begun(context: Any) -> None:
    case: StartCase = context.case
    assert not [name for name in case.refused if name in case.model.began]


@when(
    "{count:d} starts are ordered of the startcalls agent, which is detached "
    "{seconds:g} seconds later"
)
def order_and_detach(context: Any, count: int, seconds: float) -> None:
    case: StartCase = context.case

    async def act() -> None:
        await case.order_many(0, count)
        await anyio.sleep(seconds)
        assert case.agent.start_turns.waiting
        case.attaching = False
        await case.agent.link_closed(case.link)
        context.detached_at = boot_s()
        await anyio.sleep(2.0)
        context.waiting = case.agent.start_turns.waiting
        await anyio.sleep(1.0)

    case.play(act)


@then("no startcalls wait 2 seconds later")
def none_waiting(context: Any) -> None:
    assert not context.waiting, context.waiting


@then("no startcalls were made after the agent was detached")
def none_after(context: Any) -> None:
    assert max(context.case.executor.attempts) <= context.detached_at


@then("{count:d} startcalls are answered as started and that of task {number:d} as refused")
def one_refused(context: Any, count: int, number: int) -> None:
    assert context.answers.count(StartAnswer.STARTED) == count, context.answers
    assert context.refused == [(task(number), 1)], context.refused
