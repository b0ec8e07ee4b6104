"""Steps for replacements.feature; the world runs in virtual time at the first check."""

import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import anyio
from behave import given, then, when

from apricotpath.boottime import boot_s
from apricotpath.executor import ExecutorUnavailable, ExecutorUnreachable
from apricotpath.ids import Epoch, JobId
from apricotpath.model import Size
from apricotpath.workload import Step
from apricotpathd.attachment import ExecutorPhase
from support.jobworld import PREFIX, EntryNode, JobWorld, run_virtual

CORE = Size(1000, 100, 0)
HOST = Size(8000, 8000, 0)
# How often the running tasks are looked at.
SAMPLE_S = 0.05
# Time between the last event of a scenario and its checks.
SETTLE_S = 16.0
# Time between the notice of an executor and its end, and between that and its agent's SIGTERM.
DRAIN_S = 3.5
AGENT_STOP_DELAY_S = 1.0
RESTART_DELAY_S = 1.0
# How long it takes until agents find an entry that has started again.
LOOKUP_S = 2.0
Action = Callable[["Replacements"], Awaitable[None]]


class Replacements:
    """Actions of a scenario on a world, and how long tasks and the scheduler were away."""

    def __init__(self, entries: int, hosts: int) -> None:
        self.entries, self.hosts = entries, hosts
        self.seconds, self.checkpoint_s = 1000.0, 0.0
        self.actions: list[Action] = []
        self.background: list[Action] = []
        self.job = JobId("")
        self.busiest = ""
        self.final_state = ""
        self.tasks_expected = 0
        self.down_s: dict[str, float] = {}
        self.longest_down_s: dict[str, float] = {}
        self.without_scheduler_s = 0.0
        self.violations: list[str] = []
        self.replaced: set[int] = set()
        self.resigned: Any = None
        self.term_after_resigning: Any = None
        self.taken_for_ended: list[str] = []
        self.late_calls = 0
        self.most_stops = 0
        self._world: JobWorld | None = None
        self._ran = False

    @property
    def world(self) -> JobWorld:
        assert self._world is not None
        return self._world

    def run(self) -> None:
        """Run the scenario once; later checks use the recorded results."""
        if not self._ran:
            self._ran = True
            run_virtual(self._main)

    async def _main(self) -> None:
        async with anyio.create_task_group() as group:
            world = self._world = JobWorld(group)
            world.behaviour.seconds = self.seconds
            world.behaviour.checkpoint_s = self.checkpoint_s
            for number in range(self.entries):
                world.add_entry(f"entry{number}")
            for number in range(self.hosts):
                world.add_agent(f"host{number}", HOST)
            await world.wait_until_attached()
            for action in self.actions:
                await action(self)
            async with anyio.create_task_group() as watched:
                group.start_soon(self._watch)
                for action in self.background:
                    watched.start_soon(action, self)
            await anyio.sleep(SETTLE_S)
            self.violations = world.violations()
            if self.resigned is not None:
                self.term_after_resigning = self.resigned.jobs.election.term
            group.cancel_scope.cancel()

    async def _watch(self) -> None:
        """Record how long tasks do not run, and how long there is no scheduler."""
        while True:
            await anyio.sleep(SAMPLE_S)
            if self.world.leader() is None:
                self.without_scheduler_s += SAMPLE_S
            running = self.running_tasks()
            for number in range(self.tasks_expected):
                task = f"{self.job}.0.0.{number}"
                self.down_s[task] = 0.0 if task in running else self.down_s.get(task, 0) + SAMPLE_S
                longest = max(self.longest_down_s.get(task, 0.0), self.down_s[task])
                self.longest_down_s[task] = longest

    def running_tasks(self) -> set[str]:
        """Return the tasks that run at an executor now."""
        models = [node.model for node in self.world.agents.values()]
        for model in models:
            model.process_due()
        return {str(task) for model in models for task, _ in model.runs}

    async def start_tasks(self, step: Step, work_s: float) -> None:
        """Submit a job of one step and wait until all its tasks are at work."""
        self.job = await self.world.submit(step)
        with anyio.fail_after(5):
            while len(self.running_tasks()) < step.count:
                await anyio.sleep(SAMPLE_S)
        await anyio.sleep(work_s)
        agents = self.world.agents
        self.busiest = max(agents, key=lambda name: len(agents[name].model.runs))

    async def shut_down_executor(self, name: str) -> None:
        """End an executor and all its runs, and deregister it at its agent."""
        node = self.world.agents[name]
        node.sends_heartbeats = False
        node.model.shut_down()
        node.agent.on_executor_shutdown(node.model.name)

    async def announce_end(self, name: str, notice_s: float) -> None:
        """Let an executor announce when it ends, and return at that time."""
        node = self.world.agents[name]
        node.drain_until = boot_s() + notice_s
        assert node.agent.state is not None
        state = replace(node.agent.state, draining=True, leaves_at=node.drain_until)
        node.agent.on_executor_heartbeat(state)
        await anyio.sleep(notice_s)

    async def replace_host(self, number: int) -> None:
        """Add a host, drain and end the executor of another one, then stop its agent."""
        old = f"host{number}"
        self.world.add_agent(f"new{number}", HOST)
        node = self.world.agents[old]
        node.drain_until = boot_s() + DRAIN_S
        await anyio.sleep(DRAIN_S)
        await self.shut_down_executor(old)
        await anyio.sleep(AGENT_STOP_DELAY_S)
        await self.world.stop_agent(old)

    async def replace_host_once(self, old: int) -> None:
        """Replace a host, unless it is being replaced already."""
        if old not in self.replaced:
            self.replaced.add(old)
            await self.replace_host(old)

    async def restart_agent(self, name: str, pause_s: float) -> None:
        """Kill an agent and start it again."""
        node = self.world.agents[name]
        await self.world.kill(node)
        await anyio.sleep(pause_s)
        again = self.world.add_agent(name, HOST)
        again.sends_heartbeats, again.drain_until = node.sends_heartbeats, node.drain_until

    async def restart_entry_unmarked(self, name: str) -> None:
        """Shut an entry down whose write that it drains is refused, and start it again."""
        node = self.world.entries[name]
        node.store.faults.down = True
        await node.process.drain()
        node.store.faults.down = False
        await anyio.sleep(4.5)
        await node.jobs.resign()
        await self.world.kill(node)
        await anyio.sleep(RESTART_DELAY_S)
        self.world.add_entry(name, agents_link_after_s=LOOKUP_S)

    def cut_off(self, former: EntryNode) -> None:
        """Cut a scheduler off from the store, and with the busiest host from other entries."""
        former.store.faults.silent = True
        cut_off = {former.process.hello.process_id, self.busiest}
        for name in set(self.world.entries) - cut_off:
            self.world.partitioned_pairs.update(frozenset({name, other}) for other in cut_off)

    async def wait_for_other_leader(self, former: EntryNode) -> str:
        """Return the name of an entry that schedules beside a former scheduler."""
        with anyio.fail_after(10):
            while True:
                for name, node in self.world.entries.items():
                    scheduler = node.jobs.scheduler
                    if node is not former and scheduler is not None and scheduler.loaded.is_set():
                        return name
                await anyio.sleep(SAMPLE_S)

    async def restart_entry(self, name: str, serving_s: float) -> None:
        """Shut an entry down gracefully and start it again."""
        await self.world.stop_entry(name, serving_s)
        await anyio.sleep(RESTART_DELAY_S)
        self.world.add_entry(name, agents_link_after_s=LOOKUP_S)


class RandomEvents:
    """Events in a random order that overlap, each of a random kind."""

    def __init__(self, run: Replacements, seed: int) -> None:
        self.run, self.rng = run, random.Random(seed)

    async def happen(self, count: int) -> None:
        """Begin an event at a time, and wait until all are over."""
        kinds = [
            self.replace_host,
            self.restart_entry,
            self.kill_entry,
            self.restart_agent,
            self.deregister_late,
            self.silence_executor,
        ]
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(self.rng.choice(kinds))
                await anyio.sleep(self.rng.uniform(0.1, 3.0))

    def _any_agent(self) -> str:
        """Return the name of an agent that is not stopped."""
        agents = self.run.world.agents
        return self.rng.choice([n for n, node in agents.items() if not node.scope.cancel_called])

    async def replace_host(self) -> None:
        await self.run.replace_host_once(self.rng.randrange(3))

    async def restart_entry(self) -> None:
        name = self.rng.choice(list(self.run.world.entries))
        if not self.run.world.entries[name].jobs.election.draining:
            await self.run.restart_entry(name, self.rng.uniform(0.5, 4.5))

    async def kill_entry(self) -> None:
        name = self.rng.choice(list(self.run.world.entries))
        node = self.run.world.entries[name]
        if node.jobs.election.draining:
            return
        node.jobs.election.draining = True
        await self.run.world.kill(node)
        await anyio.sleep(self.rng.uniform(0.3, 3.0))
        self.run.world.add_entry(name)

    async def restart_agent(self) -> None:
        # The hosts with lower numbers are replaced.
        name = f"host{self.rng.randrange(3, 6)}"
        if not self.run.world.agents[name].scope.cancel_called:
            await self.run.restart_agent(name, self.rng.uniform(0.2, 2.0))

    async def deregister_late(self) -> None:
        node = self.run.world.agents[self._any_agent()]
        node.agent.on_executor_shutdown(node.model.name)

    async def silence_executor(self) -> None:
        executor: Any = self.run.world.agents[self._any_agent()].agent.executor
        if executor is not None:
            executor.unresponsive = True
            await anyio.sleep(self.rng.uniform(0.5, 4.0))
            executor.unresponsive = False


def scenario(context: Any) -> Replacements:
    found: Replacements = context.replacements
    return found


@given("a world of replacements with {entries:d} entries and {hosts:d} hosts")
def create(context: Any, entries: int, hosts: int) -> None:
    context.replacements = Replacements(entries, hosts)


@given("tasks of the replacements take {seconds:d} seconds and make a checkpoint each second")
def set_run_time(context: Any, seconds: int) -> None:
    scenario(context).seconds, scenario(context).checkpoint_s = float(seconds), 1.0


@given("{count:d} long-running tasks at work")
def start_long_running(context: Any, count: int) -> None:
    async def act(run: Replacements) -> None:
        run.tasks_expected = count
        await run.start_tasks(Step(count, CORE, long_running=True, max_per_host=4), 1.0)

    scenario(context).actions.append(act)


@given("{count:d} tasks with checkpoints at work for {work_s:d} seconds")
def start_with_checkpoints(context: Any, count: int, work_s: int) -> None:
    async def act(run: Replacements) -> None:
        step = Step(count, CORE, run.seconds, checkpoints=True, max_per_host=4)
        await run.start_tasks(step, float(work_s))

    scenario(context).actions.append(act)


@when("the executor of the host with most tasks shuts down without time to stop them")
def shut_down(context: Any) -> None:
    async def act(run: Replacements) -> None:
        await run.shut_down_executor(run.busiest)

    scenario(context).background.append(act)


@when(
    "the executor of the host with most tasks shuts down without time to stop them, "
    "just after the scheduler was killed"
)
def shut_down_after_kill(context: Any) -> None:
    async def act(run: Replacements) -> None:
        leader = run.world.leader()
        assert leader is not None
        await run.world.kill(leader)
        await anyio.sleep(0.1)
        await run.shut_down_executor(run.busiest)

    scenario(context).background.append(act)


@when("that host's agent is told to stop {delay_s:g} seconds later")
def stop_agent(context: Any, delay_s: float) -> None:
    async def act(run: Replacements) -> None:
        # The first action shuts the executor down after 0.1 seconds.
        await anyio.sleep(0.1 + delay_s)
        await run.world.stop_agent(run.busiest)

    scenario(context).background.append(act)


@when("a late deregistration arrives at the agent of the host with most tasks")
def late_deregistration(context: Any) -> None:
    async def act(run: Replacements) -> None:
        node = run.world.agents[run.busiest]
        node.agent.on_executor_shutdown(node.model.name)

    scenario(context).background.append(act)


@when(
    "{count:d} random replacements, restarts and late notices follow one another with seed {seed:d}"
)
def random_events(context: Any, count: int, seed: int) -> None:
    async def act(run: Replacements) -> None:
        await RandomEvents(run, seed).happen(count)

    scenario(context).background.append(act)


@when("the host with most tasks is lost while the scheduler {event}")
def lose_host(context: Any, event: str) -> None:
    async def act(run: Replacements) -> None:
        leader = run.world.leader()
        assert leader is not None
        name = leader.process.hello.process_id
        if event == "was replaced 3 seconds before":
            await run.world.kill(leader)
            await anyio.sleep(3.0)
        node = run.world.agents[run.busiest]
        node.model.shut_down()
        await run.world.kill(node)
        if event == "restarts gracefully":
            await run.restart_entry(name, 2.0)
        elif event == "is killed for good":
            await run.world.kill(leader)
        elif event == "is killed and starts again once it is replaced":
            await run.world.kill(leader)
            while run.world.leader() is None:
                await anyio.sleep(SAMPLE_S)
            run.world.add_entry(name)

    scenario(context).background.append(act)


@when("the executor of the host with most tasks is lost, and its agent stays")
def lose_executor(context: Any) -> None:
    async def act(run: Replacements) -> None:
        node = run.world.agents[run.busiest]
        node.sends_heartbeats = False
        node.model.shut_down()

    scenario(context).background.append(act)


@when(
    "the executor of the host with most tasks leaves {notice_s:g} seconds after it announced "
    "that, without a deregistration"
)
def leave_as_announced(context: Any, notice_s: float) -> None:
    async def act(run: Replacements) -> None:
        node = run.world.agents[run.busiest]
        await run.announce_end(run.busiest, notice_s)
        node.sends_heartbeats = False
        node.model.shut_down()

    scenario(context).background.append(act)


@when("that host's agent stays")
def agent_stays(context: Any) -> None:
    pass


@when(
    "the executor of the host with most tasks announces its end in {notice_s:g} seconds and "
    "stays, refusing {count:d} connections"
)
def stay_beyond_end(context: Any, notice_s: float, count: int) -> None:
    async def act(run: Replacements) -> None:
        agent: Any = run.world.agents[run.busiest].agent
        agent._note_ended = run.taken_for_ended.append
        await run.announce_end(run.busiest, notice_s)
        executor = agent.executor
        renew_lease = executor.renew_lease
        refusals = [ExecutorUnreachable("the connection was refused")] * count

        async def refuse(*args: Any) -> Any:
            if refusals:
                raise refusals.pop()
            return await renew_lease(*args)

        executor.renew_lease = refuse

    scenario(context).background.append(act)


@when("that host's executor answers nothing for {silent_s:d} seconds")
def silence_executor(context: Any, silent_s: int) -> None:
    async def act(run: Replacements) -> None:
        node = run.world.agents[run.busiest]
        node.sends_heartbeats = False
        executor: Any = node.agent.executor
        executor.unresponsive = True
        await anyio.sleep(silent_s)
        executor.unresponsive = False
        node.sends_heartbeats = True

    scenario(context).background.append(act)


@when("that host's executor sends no heartbeat for {silent_s:g} seconds")
def pause_heartbeats(context: Any, silent_s: float) -> None:
    async def act(run: Replacements) -> None:
        node = run.world.agents[run.busiest]
        node.sends_heartbeats = False
        await anyio.sleep(silent_s)
        node.sends_heartbeats = True

    scenario(context).background.append(act)


@when("that host's last heartbeat arrives after the deregistration")
def late_heartbeat(context: Any) -> None:
    async def act(run: Replacements) -> None:
        agent = run.world.agents[run.busiest].agent
        while agent.phase is ExecutorPhase.REGISTERED:
            await anyio.sleep(0.001)
        assert agent.phase is ExecutorPhase.DEREGISTERED and agent.state is not None
        agent.on_executor_heartbeat(agent.state)

    scenario(context).background.append(act)


@when("an agent attaches to the next scheduler, restarts and then hears only the former one")
def follow_former(context: Any) -> None:
    async def act(run: Replacements) -> None:
        world, host = run.world, run.busiest
        former = world.leader()
        assert former is not None
        other = next(name for name, node in world.entries.items() if node is not former)
        former.store.faults.silent = True
        world.partitioned_pairs.add(frozenset(world.entries))
        agent = world.agents[host].agent
        # The executor does not answer for a moment, so that it does not see the new token.
        await anyio.sleep(1.0)
        executor: Any = agent.executor
        executor.unresponsive = True
        with anyio.fail_after(5):
            while agent.attachment is None or agent.attachment.epoch < 2:
                await anyio.sleep(0.001)
        world.partitioned_pairs.add(frozenset({host, other}))
        await run.restart_agent(host, 0.2)

    scenario(context).background.append(act)


@when(
    "the scheduler and the host with most tasks are cut off together, "
    "and its successor {ending} after {serving_s:g} seconds"
)
def cut_off_together(context: Any, ending: str, serving_s: float) -> None:
    async def act(run: Replacements) -> None:
        world = run.world
        former = world.leader()
        assert former is not None
        # Longer than any scheduler acts after it has lost its place.
        await anyio.sleep(world.cfg.authority_s + 1.0)
        run.cut_off(former)
        successor = await run.wait_for_other_leader(former)
        await anyio.sleep(serving_s)
        if ending == "stops gracefully":
            await world.stop_entry(successor, 0.0)
        elif ending == "is elected again":
            election = world.entries[successor].jobs.election
            assert election.term is not None
            election.step_down_for(Epoch(election.term.epoch + 1))
        else:
            await world.kill(world.entries[successor])
            await anyio.sleep(RESTART_DELAY_S)
            world.add_entry(successor)

    scenario(context).background.append(act)


@when(
    "the scheduler and the host with most tasks are cut off together, "
    "and hear of no change in the store"
)
def hear_of_no_change(context: Any) -> None:
    async def act(run: Replacements) -> None:
        former = run.world.leader()
        assert former is not None
        run.cut_off(former)
        await run.wait_for_other_leader(former)
        former.store.faults.silent_watches = True
        former.store.faults.silent = False

    scenario(context).background.append(act)


@when(
    "all entries restart in turn, {gap_s:g} second apart, "
    "and the store refuses the write of each that it drains"
)
def restart_unmarked(context: Any, gap_s: float) -> None:
    async def act(run: Replacements) -> None:
        leader = run.world.leader()
        async with anyio.create_task_group() as group:
            entries = run.world.entries
            for name in sorted(entries, key=lambda name: entries[name] is not leader):
                group.start_soon(run.restart_entry_unmarked, name)
                await anyio.sleep(gap_s)

    scenario(context).background.append(act)


@when("the scheduler is told to stop while the store is away for {away_s:g} seconds")
def stop_during_outage(context: Any, away_s: float) -> None:
    async def act(run: Replacements) -> None:
        leader = run.world.leader()
        assert leader is not None
        nodes = list(run.world.entries.values())
        for node in nodes:
            node.store.faults.down = True
        async with anyio.create_task_group() as group:
            await anyio.sleep(0.5)
            group.start_soon(run.restart_entry, leader.process.hello.process_id, 4.5)
            await anyio.sleep(away_s - 0.5)
            for node in nodes:
                node.store.faults.down = False

    scenario(context).background.append(act)


@when("the scheduler is killed and the other entry resigns while its election is written")
def resign_while_elected(context: Any) -> None:
    async def act(run: Replacements) -> None:
        leader = run.world.leader()
        assert leader is not None
        other = next(node for node in run.world.entries.values() if node is not leader)
        run.resigned = other
        commit = other.store.txn

        async def commit_and_resign(compares: Any, operations: Any) -> Any:
            # Its election, which also compares the record of supporters if that names it.
            elects = len(operations) == 4 and operations[0].key == f"{PREFIX}ctl/leader"
            if elects and not other.jobs.election._resigned:
                run.world.group.start_soon(other.jobs.resign)
            return await commit(compares, operations)

        other.store.txn = commit_and_resign  # type: ignore[method-assign]
        await other.process.drain()
        await run.world.kill(leader)

    scenario(context).background.append(act)


@then("no entry that has resigned schedules")
def none_resigned(context: Any) -> None:
    scenario(context).run()
    election = scenario(context).resigned.jobs.election
    assert scenario(context).term_after_resigning is None, election


@when(
    "a late deregistration arrives at the agent of the host with most tasks, "
    "and one connection is refused"
)
def refuse_once(context: Any) -> None:
    async def act(run: Replacements) -> None:
        node = run.world.agents[run.busiest]
        executor: Any = node.agent.executor
        renew_lease = executor.renew_lease

        async def refuse(*args: Any) -> Any:
            executor.renew_lease = renew_lease
            raise ExecutorUnreachable("no file descriptor is left for a connection")

        executor.renew_lease = refuse
        node.agent.on_executor_shutdown(node.model.name)

    scenario(context).background.append(act)


@then("the agents of the replacements are attached for executors that run")
def all_in_use(context: Any) -> None:
    scenario(context).run()
    phases = [node.agent.phase for node in scenario(context).world.agents.values()]
    assert ExecutorPhase.ENDED not in phases, phases


class CallCounter:
    """Counts the calls of an executor: stops of one run at a time, and calls after its end."""

    def __init__(self, run: Replacements, executor: Any) -> None:
        self.run, self.stops = run, Counter[Any]()
        self.ended_at = float("inf")
        for name in ("renew_lease", "start", "stop", "pace"):
            setattr(executor, name, self._counted(name, getattr(executor, name)))

    def _counted(self, name: str, call: Any) -> Any:
        async def counted(*args: Any) -> Any:
            if boot_s() > self.ended_at + 1.0:
                self.run.late_calls += 1
            if name != "stop":
                return await call(*args)
            self.stops[args[:2]] += 1
            self.run.most_stops = max(self.run.most_stops, *self.stops.values())
            try:
                return await call(*args)
            finally:
                self.stops[args[:2]] -= 1

        return counted


@when(
    "the executor of the host with most tasks drains, answers nothing for {silent_s:d} "
    "{unit} and shuts down"
)
def drain_silently(context: Any, silent_s: int, unit: str) -> None:
    async def act(run: Replacements) -> None:
        node = run.world.agents[run.busiest]
        executor: Any = node.agent.executor
        counter = CallCounter(run, executor)
        # Known to be draining before it is silent.
        node.drain_until = boot_s() + silent_s
        executor.stop = counter._counted("stop", silent_stop)
        await anyio.sleep(silent_s)
        await run.shut_down_executor(run.busiest)
        executor.stop = counter._counted("stop", refused_stop)
        counter.ended_at = boot_s()

    scenario(context).background.append(act)


async def silent_stop(*args: Any) -> None:
    await anyio.sleep(0.5)
    raise ExecutorUnavailable("no answer")


async def refused_stop(*args: Any) -> None:
    await anyio.sleep(0.002)
    raise ExecutorUnreachable("the connection was refused")


@then("that executor was not called from 1 second after its end on")
def not_called(context: Any) -> None:
    scenario(context).run()
    assert scenario(context).late_calls == 0, scenario(context).late_calls


@then("that executor got at most one stop of each run at a time")
def one_stop(context: Any) -> None:
    scenario(context).run()
    assert scenario(context).most_stops == 1, scenario(context).most_stops


@when(
    "all entries restart in turn, {gap_s:g} seconds apart, "
    "each serving for {serving_s:g} more seconds"
)
def restart_in_turn(context: Any, gap_s: float, serving_s: float) -> None:
    async def act(run: Replacements) -> None:
        async with anyio.create_task_group() as group:
            for name in list(run.world.entries):
                group.start_soon(run.restart_entry, name, serving_s)
                await anyio.sleep(gap_s)

    scenario(context).background.append(act)


@when(
    "the scheduler restarts {count:d} times, {gap_s:g} seconds apart, "
    "each time serving for {serving_s:g} more seconds"
)
def restart_schedulers(context: Any, count: int, gap_s: float, serving_s: float) -> None:
    async def act(run: Replacements) -> None:
        async with anyio.create_task_group() as group:
            for _ in range(count):
                leader = run.world.leader()
                assert leader is not None
                group.start_soon(run.restart_entry, leader.process.hello.process_id, serving_s)
                await anyio.sleep(gap_s)

    scenario(context).background.append(act)


@when("{count:d} hosts are replaced from second {first_s:g} on, {gap_s:g} seconds apart")
def replace_hosts(context: Any, count: int, first_s: float, gap_s: float) -> None:
    async def act(run: Replacements) -> None:
        await anyio.sleep(first_s)
        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(run.replace_host, number)
                await anyio.sleep(gap_s)

    scenario(context).background.append(act)


@then("no task of the replacements was down for longer than {limit_s:g} seconds")
def none_down(context: Any, limit_s: float) -> None:
    run = scenario(context)
    run.run()
    late = {task: s for task, s in run.longest_down_s.items() if s > limit_s + SAMPLE_S}
    assert run.longest_down_s and not late, late


@then("no executor of the replacements was taken for ended")
def none_ended(context: Any) -> None:
    scenario(context).run()
    assert scenario(context).taken_for_ended == [], scenario(context).taken_for_ended


@then("no run of the replacements was stopped")
def none_stopped(context: Any) -> None:
    scenario(context).run()
    models = [node.model for node in scenario(context).world.agents.values()]
    ended = [entry for model in models for entry in model.history]
    assert not ended, ended


@then("no task of the replacements ran twice at the same time")
def none_twice(context: Any) -> None:
    scenario(context).run()
    assert scenario(context).violations == [], scenario(context).violations


@then("the replacements had a scheduler all the time, but for {limit_s:g} seconds")
def had_scheduler(context: Any, limit_s: float) -> None:
    scenario(context).run()
    away_s = scenario(context).without_scheduler_s
    assert away_s <= limit_s, away_s


@then("the job of the replacements is completed within {limit_s:d} seconds")
def job_completed(context: Any, limit_s: int) -> None:
    async def act(run: Replacements) -> None:
        run.final_state = await run.world.wait_for_end(run.job, limit_s)

    scenario(context).background.append(act)
    scenario(context).run()
    assert scenario(context).final_state == "completed"


@then("each later run of the replacements resumed from at least {least_s:d} seconds of work")
def resumed(context: Any, least_s: int) -> None:
    models = [node.model for node in scenario(context).world.agents.values()]
    # The first runs resume from nothing.
    found = sorted(done_s for model in models for done_s in model.resumed_s)[6:]
    assert found and found[0] >= least_s, found
