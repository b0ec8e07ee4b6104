"""Steps for incarnations.feature."""

import logging
import random
from dataclasses import replace
from typing import Any

import anyio
from anyio.abc import TaskGroup
from behave import given, then, when

from apricotpath.boottime import boot_s
from apricotpath.codec import Envelope
from apricotpath.executor import ExecutorReport, ExecutorUnavailable, StartCall
from apricotpath.fleet import Host
from apricotpath.ids import FenceToken, HostId, InstanceId, JobId, TaskId
from apricotpath.messages import HostAttach
from apricotpath.model import Size, StartAnswer
from apricotpath.workload import RunResult, Step
from apricotpathd.attachment import ExecutorState
from support.agentcase import TASK, AgentCase
from support.executormodel import CALL_TIMEOUT_S, ExecutorModel, ModelExecutor
from support.jobworld import AgentNode, JobWorld, run_virtual

OTHER_TASK = TaskId("00000000000000a3.0.0.0")
HOST = Size(8000, 8000, 0)
QUICK_RUN_S = 0.3
# Limit of each wait for something that happens at once or not at all.
WAIT_LIMIT_S = 10.0
ODD_BORN_MS = 1 << 41
FAULTS_FOR_S = 12.0
ONE_TASK = Step(1, Size(1000, 100, 0), 2.0)


class LateExecutor(ModelExecutor):
    """Leaves calls without an answer and carries them out `late_s` seconds later.

    `late_starts` and `late_renewals` are the numbers of the next calls that it treats so,
    `odd_lists` that of the next lists with an odd start time. They are shared by the clients
    of all incarnations. A further start has no effect.
    """

    late_starts = 0
    late_renewals = 0
    odd_lists = 0
    late_s = 4.0
    silent_until = 0.0
    answers_stops = True
    stopped_at = float("-inf")

    async def start(self, call: StartCall, fence: FenceToken) -> StartAnswer:
        """Start a run: late, at once, or never."""
        await self._wait_for_answer()
        if LateExecutor.late_starts == 0:
            return self.model.start(call, fence)
        if LateExecutor.late_starts > 1:
            LateExecutor.late_starts = 1
            self._group.start_soon(self._carry_out, self.model.start, call, fence)
        await anyio.sleep(CALL_TIMEOUT_S)
        raise ExecutorUnavailable("no answer")

    async def renew_lease(
        self, fence: FenceToken, acknowledged: int, deadline_ms: int | None, wait_s: float
    ) -> ExecutorReport:
        """Renew the lease at once or late."""
        if boot_s() < LateExecutor.silent_until:
            await self._time_out()
        if LateExecutor.late_renewals:
            LateExecutor.late_renewals -= 1
            self._group.start_soon(
                self._carry_out, self.model.hold, fence, acknowledged, deadline_ms
            )
            await self._time_out()
        report = await super().renew_lease(fence, acknowledged, deadline_ms, wait_s)
        if LateExecutor.odd_lists:
            LateExecutor.odd_lists -= 1
            return replace(report, born_ms=ODD_BORN_MS)
        return report

    async def stop(self, task: TaskId, run: int, fence: FenceToken) -> None:
        """Stop a run, or leave the call without effect and answer."""
        LateExecutor.stopped_at = boot_s()
        if not LateExecutor.answers_stops and not self.model.is_shut_down:
            await self._time_out()
        await super().stop(task, run, fence)

    async def _carry_out(self, execute: Any, *args: Any) -> None:
        await anyio.sleep(LateExecutor.late_s)
        await self._execute(execute, *args)


def agent_case(context: Any) -> AgentCase:
    """Return the case of a scenario; its executor's settings are the default ones."""
    LateExecutor.late_starts = LateExecutor.late_renewals = LateExecutor.odd_lists = 0
    LateExecutor.silent_until = 0.0
    LateExecutor.answers_stops, LateExecutor.stopped_at = True, float("-inf")
    case: AgentCase = context.case
    return case


@given("an incarnations agent whose executor carries out a start {seconds:d} seconds late")
def late_start(context: Any, seconds: int) -> None:
    context.case = AgentCase()
    case = agent_case(context)
    case.connect_executor = LateExecutor
    # The first call is carried out late, the repeated ones never.
    LateExecutor.late_starts, LateExecutor.late_s = 2, float(seconds)


@when("a start is ordered of the incarnations agent, and then it loses its scheduler")
def order_and_lose(context: Any) -> None:
    case: AgentCase = context.case

    async def act() -> None:
        await case.order()
        context.ordered_at = boot_s()
        case.granting = case.attaching = False

    case.actions.append(act)


@when("the incarnations agent is replaced by its next process, which finds no scheduler")
def replace_agent(context: Any) -> None:
    case: AgentCase = context.case

    async def act() -> None:
        with anyio.fail_after(WAIT_LIMIT_S):
            while LateExecutor.late_starts > 1:
                await anyio.sleep(0.01)
        await case.agent.link_closed(case.link)
        case.agent = case.next_agent()
        case.group.start_soon(case.agent.run)
        case.send_heartbeat()

    case.actions.append(act)


async def restart_at(context: Any, seconds: float) -> None:
    """Restart the executor some time after the order."""
    await anyio.sleep(context.ordered_at + seconds - boot_s())
    context.case.model.crash()


@when("the incarnations executor restarts under its id after {seconds:d} seconds {how}")
def restart(context: Any, seconds: int, how: str) -> None:
    case: AgentCase = context.case

    async def act() -> None:
        await restart_at(context, seconds)
        if how == "and sends a heartbeat":
            case.send_heartbeat()
        else:
            assert how == "without a heartbeat", how

    case.actions.append(act)


@when(
    "the incarnations executor restarts under its id after {seconds:d} seconds, "
    "heard of {later:g} seconds later"
)
def restart_unheard(context: Any, seconds: int, later: float) -> None:
    case: AgentCase = context.case

    async def act() -> None:
        await restart_at(context, seconds)
        LateExecutor.silent_until = boot_s() + later
        await anyio.sleep(later)
        context.begun = list(case.model.began)
        case.send_heartbeat()

    case.actions.append(act)


@then("no run begins at the incarnations executor in the next {seconds:d} seconds")
def none_begins(context: Any, seconds: int) -> None:
    case: AgentCase = context.case

    async def act() -> None:
        await case.started_after(seconds)

    case.actions.append(act)
    case.run()
    starts = [at for name, at in case.model.starts if name == TASK]
    assert not starts, starts


@then("the run at the incarnations executor has ended as stopped within 1 second")
def is_stopped(context: Any) -> None:
    case: AgentCase = context.case

    async def act() -> None:
        await case.started_after(1.0)

    case.actions.append(act)
    case.run()
    assert context.begun == [(TASK, 1)], context.begun
    ends = [(ending.task, ending.result) for ending in case.model.endings]
    assert ends == [(TASK, RunResult.STOPPED)], (ends, case.model.runs)


@given("an incarnations agent whose executor has ended 1 run and had it acknowledged")
def ended_run(context: Any) -> None:
    context.case = AgentCase()
    case = agent_case(context)
    case.connect_executor = LateExecutor
    case.ack_after_s = 0.05

    async def act() -> None:
        case.behaviour.seconds = QUICK_RUN_S
        await case.order(OTHER_TASK)
        await anyio.sleep(1.0)
        attached = case.agent.attachment
        assert attached is not None and attached.acked_ending == 1, attached
        case.granting = case.attaching = False

    case.actions.append(act)


@given("the incarnations executor carries out a renewal {seconds:d} seconds late")
def late_renewal(context: Any, seconds: int) -> None:
    case: AgentCase = context.case

    async def act() -> None:
        LateExecutor.late_renewals, LateExecutor.late_s = 1, float(seconds)
        with anyio.fail_after(WAIT_LIMIT_S):
            while LateExecutor.late_renewals:
                await anyio.sleep(0.01)

    case.actions.append(act)


def start_directly(model: ExecutorModel, fence: FenceToken) -> None:
    """Let the executor carry out a start that it got before its restart."""
    model.start(StartCall(TASK, 1, "bake", "", "", 1 << 30), fence)


@when(
    "the incarnations executor restarts, and has done the run of a late start after "
    "{seconds:d} seconds"
)
def restart_and_run(context: Any, seconds: int) -> None:
    case: AgentCase = context.case

    async def act() -> None:
        attached = case.agent.attachment
        assert attached is not None
        case.model.crash()
        start_directly(case.model, attached.fence)
        # Neither a list nor a heartbeat tells of the run before it has ended.
        LateExecutor.silent_until = boot_s() + seconds
        await anyio.sleep(seconds)
        case.model.process_due()
        assert case.model.endings, case.model.runs
        # The list of its ending is lost on the way.
        LateExecutor.silent_until = boot_s() + 0.5
        case.send_heartbeat()

    case.actions.append(act)


@when(
    "the incarnations executor answers no call for {seconds:d} seconds, and has restarted meanwhile"
)
def silent_restart(context: Any, seconds: int) -> None:
    case: AgentCase = context.case

    async def act() -> None:
        attached = case.agent.attachment
        assert attached is not None
        LateExecutor.silent_until = boot_s() + seconds
        await anyio.sleep(seconds / 2)
        case.model.crash()
        start_directly(case.model, attached.fence)
        await anyio.sleep(seconds / 2)

    case.actions.append(act)


@then("the incarnations executor has forgotten no ending unseen in the next {seconds:d} seconds")
def none_forgotten(context: Any, seconds: int) -> None:
    case: AgentCase = context.case

    async def act() -> None:
        await case.started_after(seconds)

    case.actions.append(act)
    case.run()
    assert case.model.starts[-1][0] == TASK, case.model.starts
    assert not case.model.unseen, case.model.unseen


@when("a start is ordered of the incarnations agent after a failed renewal and a restart")
def order_after_failure(context: Any) -> None:
    case: AgentCase = context.case

    async def act() -> None:
        case.granting = True
        await anyio.sleep(1.0)
        case.granting = False
        LateExecutor.silent_until = boot_s() + 3.0
        await anyio.sleep(1.5)
        attached = case.agent.attachment
        assert attached is not None and attached.renewal_failed, attached
        case.model.crash()
        await case.order()

    case.actions.append(act)


@when(
    "a run of the incarnations agent is at work, and {lists:d} list has a start time in the far "
    "future"
)
def odd_start_time(context: Any, lists: int) -> None:
    case: AgentCase = context.case

    async def act() -> None:
        LateExecutor.late_starts = 0
        await case.order()
        await anyio.sleep(1.0)
        LateExecutor.odd_lists = lists
        with anyio.fail_after(WAIT_LIMIT_S):
            while LateExecutor.odd_lists > max(0, lists - 2):
                await anyio.sleep(0.01)
        await anyio.sleep(2.0)

    case.actions.append(act)


@when("the incarnations executor restarts and has begun a run of the former one")
def restart_with_run(context: Any) -> None:
    case: AgentCase = context.case

    async def act() -> None:
        case.granting = case.attaching = False
        case.model.crash()
        start_directly(case.model, FenceToken(0))
        context.begun = list(case.model.began)
        case.send_heartbeat()

    case.actions.append(act)


@when(
    "the incarnations executor restarts and has begun a run of the former one, and answers no stop"
)
def restart_without_stops(context: Any) -> None:
    restart_with_run(context)

    async def act() -> None:
        LateExecutor.answers_stops = False

    context.case.actions.append(act)


@when("the incarnations executor shuts down 1 second later, with a scheduler")
def shut_down(context: Any) -> None:
    case: AgentCase = context.case

    async def act() -> None:
        case.granting = case.attaching = True
        await anyio.sleep(1.0)
        assert case.agent.attachment is not None
        case.agent.on_executor_shutdown("oven")
        case.model.shut_down()

    case.actions.append(act)


@then("the incarnations executor gets no stop in the last 1 of 3 seconds")
def no_more_stops(context: Any) -> None:
    case: AgentCase = context.case

    async def act() -> None:
        await anyio.sleep(3.0)
        assert not case.agent.has_executor
        since = boot_s() - LateExecutor.stopped_at
        assert 1.0 <= since < 10.0, since

    case.actions.append(act)
    case.run()


@then("the incarnations agent is attached 2 seconds later, and its run is at work")
def is_attached(context: Any) -> None:
    case: AgentCase = context.case
    case.run()
    assert case.agent.attachment is not None and case.agent.attachment.reported
    at_work = [(run.task, run.result) for run in case.model.runs.values()]
    assert at_work == [(TASK, RunResult.DONE)], (at_work, case.model.endings)


def state_after_restart(node: AgentNode) -> ExecutorState:
    """Return the state that the first heartbeat after a restart shows."""
    state = node.agent.state
    assert state is not None
    return replace(state, facts=replace(state.facts, born_ms=node.model.born_ms))


def late_attach(node: AgentNode, former: bool) -> HostAttach:
    """Return an attachment of an agent's executor, or of its former incarnation."""
    state = node.agent.state
    assert state is not None
    facts = state.facts
    return HostAttach(
        node.agent.host,
        InstanceId(facts.instance),
        facts.born_ms - former,
        facts.service,
        facts.data_centre,
        facts.rack,
        tuple(sorted(facts.labels)),
        facts.capacity,
        node.agent.epoch,
    )


@then("the incarnations agent is attached again within {seconds:d} seconds")
def is_attached_within(context: Any, seconds: int) -> None:
    case: AgentCase = context.case

    async def act() -> None:
        with anyio.fail_after(seconds):
            while case.agent.attachment is None or not case.agent.attachment.reported:
                await anyio.sleep(0.05)

    case.actions.append(act)
    case.run()


class RestartWorld:
    """A job world whose executors restart under their id beside late calls, cuts and kills."""

    end_within_s = 120.0
    # An agent cannot fence an incarnation that carries out late calls before it can be reached.
    late_after_restart_s = 1.5

    def __init__(self, agents: int, share: float) -> None:
        self.agents, self.share = agents, share
        self.violations: list[str] = []
        self.ends: list[str] = []
        # The hosts as the scheduler knows them and the runs at the executors, at the end.
        self.hosts: dict[HostId, Host] = {}
        self.at_work: list[RunResult] = []
        self.started: list[TaskId] = []

    async def main(self, jobs: int, tasks: int, seed: int) -> None:
        """Submit the jobs under random faults, and collect their ends."""
        async with anyio.create_task_group() as group:
            world = await self._start(group)
            group.start_soon(self._inject, world, random.Random(seed))
            submitted = []
            for _ in range(jobs):
                submitted.append(await self._submit(world, tasks))
                await anyio.sleep(1.0)
            for job in submitted:
                self.ends.append(await self._end_of(world, job))
            self.violations = world.violations()
            group.cancel_scope.cancel()

    async def begin_on_next(self) -> None:
        """Let a start that was ordered of an incarnation begin on the next one."""
        async with anyio.create_task_group() as group:
            world = await self._start(group)
            node = world.agents["host0"]
            node.model.crash()
            job = await self._submit(world, 1)
            with anyio.fail_after(WAIT_LIMIT_S):
                while not node.model.starts:
                    await anyio.sleep(0.001)
            await self._end_of(world, job)
            group.cancel_scope.cancel()

    async def attach_late(self, former: bool, closes: bool) -> None:
        """Let a HostAttach arrive over an older link after a newer attachment."""
        async with anyio.create_task_group() as group:
            world = await self._start(group)
            leader, node = world.leader(), world.agents["host0"]
            assert leader is not None
            world.behaviour.seconds = 20.0
            await self._submit(world, 1)
            await anyio.sleep(1.0)
            attached = node.agent.attachment
            assert attached is not None
            older: Any = attached.link
            await world.connect(node.process, leader.process)
            # The agent has dialled anew, and attaches over the newer link.
            await node.agent.link_closed(attached.link)
            await world.wait_until_attached()
            await leader.process.received(older.other, Envelope(1000, 0, late_attach(node, former)))
            if closes:
                await leader.process.closed(older.other)
            await anyio.sleep(2.0)
            scheduler = leader.jobs.scheduler
            assert scheduler is not None
            self.hosts = dict(scheduler.host_tracker.hosts)
            self.at_work = [status.result for status in node.model.runs.values()]
            group.cancel_scope.cancel()

    async def restart_behind_append(self) -> None:
        """Restart an executor after it has reported an ending, which waits for another append."""
        async with anyio.create_task_group() as group:
            world = await self._start(group)
            leader, node = world.leader(), world.agents["host0"]
            assert leader is not None
            follower = next(name for name in world.entries if world.entries[name] is not leader)
            world.behaviour.seconds = 1.0
            jobs = [await self._submit(world, 1)]
            await anyio.sleep(0.8)
            # The assignment of a further task waits for an answer of the store.
            leader.store.faults.silent = True
            jobs.append(await world.submit(ONE_TASK, at=follower))
            await anyio.sleep(0.4)
            reported = node.agent.attachment
            assert reported is not None and reported.reported_ending == 1, reported
            assert reported.acked_ending == 0, reported
            node.model.crash()
            node.agent.on_executor_heartbeat(state_after_restart(node))
            await anyio.sleep(0.1)
            leader.store.faults.silent = False
            for job in jobs:
                self.ends.append(await self._end_of(world, job))
            self.started = [task for task, _ in node.model.starts]
            group.cancel_scope.cancel()

    async def _start(self, group: TaskGroup) -> JobWorld:
        world = JobWorld(group)
        world.unanswered_share = self.share
        world.unanswered_renewals = self.share
        world.late_after_restart_s = self.late_after_restart_s
        world.behaviour.seconds = 2.0
        for number in range(2):
            world.add_entry(f"entry{number}")
        for number in range(self.agents):
            world.add_agent(f"host{number}", HOST)
        await world.wait_until_attached()
        return world

    async def _submit(self, world: JobWorld, tasks: int) -> JobId:
        """Submit a job at the entry that is never killed."""
        return await world.submit(Step(tasks, Size(1000, 100, 0), 2.0), at="entry0")

    async def _inject(self, world: JobWorld, rng: random.Random) -> None:
        until = boot_s() + FAULTS_FOR_S
        while boot_s() < until:
            await self._inject_one(world, rng)
            await anyio.sleep(rng.uniform(0.2, 1.0))

    async def _inject_one(self, world: JobWorld, rng: random.Random) -> None:
        """Cause one fault; an executor restarts while its agent has no scheduler, or so."""
        name = rng.choice(sorted(world.agents))
        kind = rng.choice(["restart", "cut", "agent", "entry"])
        if kind == "restart":
            world.agents[name].model.crash()
        elif kind == "cut":
            world.group.start_soon(world.partition, name, rng.uniform(2.0, 9.0))
            await anyio.sleep(rng.uniform(0.5, 3.0))
            world.agents[name].model.crash()
        elif kind == "agent":
            await world.kill(world.agents[name])
            await anyio.sleep(rng.uniform(0.2, 2.0))
            world.add_agent(name, HOST)
        else:
            await world.kill(world.entries["entry1"])
            await anyio.sleep(rng.uniform(0.2, 2.0))
            world.add_entry("entry1")

    async def _end_of(self, world: JobWorld, job: JobId) -> str:
        try:
            return await world.wait_for_end(job, self.end_within_s, at="entry0")
        except TimeoutError:
            return "unfinished"


@given(
    "an incarnations world of {agents:d} agents whose executors leave {share:d} of 100 calls "
    "unanswered"
)
def restart_world(context: Any, agents: int, share: int) -> None:
    context.world = RestartWorld(agents, share / 100)


@when(
    "{jobs:d} jobs of {tasks:d} tasks are submitted to the incarnations world under faults of "
    "seed {seed:d}"
)
def submit_jobs(context: Any, jobs: int, tasks: int, seed: int) -> None:
    world: RestartWorld = context.world

    async def main() -> None:
        await world.main(jobs, tasks, seed)

    run_virtual(main, seed)


@then("the incarnations world has broken no rule and completed all jobs")
def no_rule_broken(context: Any) -> None:
    assert not context.world.violations, context.world.violations
    assert set(context.world.ends) == {"completed"}, context.world.ends


@when("an attachment {which} reaches the scheduler of the incarnations world late")
def attach_late(context: Any, which: str) -> None:
    world: RestartWorld = context.world
    former, closes = which.startswith("of a former"), which.endswith("closes")

    async def main() -> None:
        await world.attach_late(former, closes)

    run_virtual(main)


@then("the incarnations host is attached and reported again 2 seconds later, its run at work")
def is_attached_again(context: Any) -> None:
    world: RestartWorld = context.world
    host = world.hosts[HostId("host0")]
    assert host.fence and host.reported, host
    assert world.at_work == [RunResult.DONE], world.at_work


@when(
    "a run of the incarnations world is done and reported while an append waits, "
    "and the executor restarts"
)
def restart_behind_append(context: Any) -> None:
    run_virtual(context.world.restart_behind_append)


@then("each task of the incarnations world has begun once and is done")
def begun_once(context: Any) -> None:
    world: RestartWorld = context.world
    assert len(world.started) == len(set(world.started)) == 2, world.started
    assert world.ends == ["completed", "completed"], world.ends


class LogRecords(logging.Handler):
    """Keeps the log records with one text."""

    def __init__(self, text: str) -> None:
        super().__init__()
        self.text = text
        self.records: list[Any] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a record."""
        if record.getMessage() == self.text:
            self.records.append(record)


@when("the executor of the incarnations world restarts, and begins a run before it is heard of")
def begin_on_next(context: Any) -> None:
    world: RestartWorld = context.world
    context.records = LogRecords("run reported by another incarnation")
    logger = logging.getLogger("apricotpathd.incarnationlog")
    logger.addHandler(context.records)
    level = logger.level
    logger.setLevel(logging.INFO)
    try:
        run_virtual(world.begin_on_next)
    finally:
        logger.setLevel(level)
        logger.removeHandler(context.records)


@then("the incarnations log names both incarnations of the run once")
def names_both(context: Any) -> None:
    found = [
        (record.task, record.run, record.host, record.ordered_for, record.reported_by)
        for record in context.records.records
    ]
    task = "0000000000000001.0.0.0"
    assert found == [(task, 1, "host0", ("host0", 1), ("host0", 2))], found
