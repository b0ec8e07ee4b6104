"""Steps for doubts.feature, beside those for holds and worlds of replacements."""

from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import anyio
from behave import given, then, when
from hostholds_steps import (
    CAPACITY,
    CFG,
    HOST,
    NEW,
    OLD,
    RACK,
    SERVICE,
    ZONE,
    FakeLink,
    HeldHost,
)
from replacements_steps import RESTART_DELAY_S, RandomEvents, Replacements, scenario

from apricotpath.boottime import boot_s
from apricotpath.codec import Envelope
from apricotpath.ids import FenceToken, ProcessId
from apricotpath.messages import (
    HostAttach,
    HostAttached,
    HostGrant,
    HostRuns,
    LeaderNotice,
    Message,
)
from apricotpath.model import Size
from apricotpath.workload import HostFacts, Step
from apricotpathd.attachment import ExecutorState
from apricotpathd.hostagent import HostAgent
from apricotpathd.hostevents import ExecutorName
from apricotpathd.hosttracker import HostTracker
from support.executormodel import Behaviour, ExecutorModel, ModelExecutor
from support.jobworld import run_virtual
from support.machinemodel import Fault
from support.upkeepworld import UpkeepWorld

CORE = Size(1000, 100)
# A task that runs until the late order is carried out, or the wave's time is nearly over.
LONG_S = 15.0


class DoubtfulHost(HeldHost):
    """A host with a run of the last term, whose executor answers little or nothing."""

    async def attach_twice(self, tracker: HostTracker, first_s: float, last_s: float) -> None:
        """Attach twice over one link."""
        for at in (first_s, last_s):
            await anyio.sleep_until(at)
            self.attach(tracker)

    async def relink(
        self, tracker: HostTracker, first_s: float, last_s: float, is_open: bool
    ) -> None:
        """Attach twice, over two links."""
        former = self.link
        await anyio.sleep_until(first_s)
        self.attach(tracker)
        await anyio.sleep_until(last_s)
        if not is_open:
            tracker.link_closed(former)
        self.link = FakeLink("oven")
        self.attach(tracker)
        tracker.link_closed(former)

    async def attach_leased(self, tracker: HostTracker, lease_s: float, event: str) -> None:
        """Attach after 1 second, with what is left of a lease."""
        await anyio.sleep_until(1.0)
        epoch = OLD if "former epoch" in event else NEW
        self.attach(tracker, epoch, round(lease_s * 1000))
        if event == "its link closes":
            tracker.link_closed(self.link)

    async def acknowledge_late(self, tracker: HostTracker, after_s: float) -> None:
        """Report once, and get an acknowledgement later."""
        fence = self.attach(tracker)
        tracker.receive_report(self.link, HostRuns(fence, 1, True, False, 0, 100.0, (), ()))
        # The run is not reported, but kept, as if its end were not known yet.
        tracker.lost_runs.clear()
        await anyio.sleep(after_s)
        tracker.acknowledge_endings(ExecutorName(HOST, "oven", 1), 1)


@given("a doubts host of the last term whose scheduler may still grant leases")
def held_host(context: Any) -> None:
    context.case = DoubtfulHost()


@given("a doubts host that reports once and is silent from then on")
def silent_host(context: Any) -> None:
    context.case = DoubtfulHost()


@when(
    "the doubts host attaches {first_s:g} and {last_s:g} seconds after the start of the term, "
    "over one link"
)
def attach_twice(context: Any, first_s: float, last_s: float) -> None:
    case: DoubtfulHost = context.case
    run_virtual(lambda: case.watch(case.attach_twice, first_s, last_s))


@when(
    "the doubts host attaches {first_s:g} and {last_s:g} seconds after the start of the term, "
    "over another link, {when} the first one is {state}"
)
def relink(context: Any, first_s: float, last_s: float, when: str, state: str) -> None:
    case: DoubtfulHost = context.case
    run_virtual(lambda: case.watch(case.relink, first_s, last_s, state == "open"))


@when(
    "the doubts host attaches after 1 second with {lease_s:g} seconds of a lease left, and {event}"
)
def attach_leased(context: Any, lease_s: float, event: str) -> None:
    case: DoubtfulHost = context.case
    run_virtual(lambda: case.watch(case.attach_leased, lease_s, event))


@when("the doubts host gets an acknowledgement of endings {after_s:g} seconds after its report")
def acknowledge(context: Any, after_s: float) -> None:
    case: DoubtfulHost = context.case
    run_virtual(lambda: case.watch(case.acknowledge_late, after_s))


@then(
    "the doubts host is given up between {least:g} and {most:g} seconds after the start of the term"
)
def given_up(context: Any, least: float, most: float) -> None:
    assert least <= context.case.given_up_s <= most, context.case.given_up_s


class LeaseLink(FakeLink):
    """A link to a scheduler, which keeps what the agent tells of its lease."""

    def __init__(self, told_ms: list[int]) -> None:
        super().__init__("new")
        self.epoch = NEW
        self.told_ms = told_ms

    async def call(self, body: Message, timeout_s: float | None = None) -> Message:
        assert isinstance(body, HostAttach)
        self.told_ms.append(body.lease_ms)
        # Tokens rise with each attachment.
        return HostAttached(NEW, FenceToken(NEW * 1000 + len(self.told_ms)))


class TellingAgent:
    """An agent in virtual time, with a link to a scheduler at a time."""

    def __init__(self) -> None:
        self.told_ms: list[int] = []

    async def main(self, grant_after_s: float, again_after_s: float) -> None:
        """Attach, be granted a lease unless that is never, and attach over another link."""
        async with anyio.create_task_group() as group:
            model = ExecutorModel("oven", CAPACITY, Behaviour())
            agent = HostAgent(HOST, CFG, lambda _facts: ModelExecutor(model, group))
            group.start_soon(agent.run)
            facts = HostFacts("oven", 1, SERVICE, ZONE, RACK, capacity=CAPACITY)
            agent.on_executor_heartbeat(ExecutorState(facts))
            link: Any = LeaseLink(self.told_ms)
            await agent.link_opened(link)
            await self._hear(agent, link, LeaderNotice(NEW, ProcessId("new")))
            if grant_after_s < float("inf"):
                await anyio.sleep(grant_after_s)
                attached = agent.attachment
                assert attached is not None
                # A lease counts from its report, which is sent at the time of the grant here.
                attached.sent_at[attached.renewal] = boot_s()
                await self._hear(agent, link, HostGrant(attached.fence, attached.renewal, 0))
            await anyio.sleep(again_after_s)
            await agent.link_closed(link)
            await agent.link_opened(LeaseLink(self.told_ms))  # type: ignore[arg-type]
            await anyio.sleep(0.5)
            group.cancel_scope.cancel()

    @staticmethod
    async def _hear(agent: HostAgent, link: Any, body: Message) -> None:
        await agent.received(link, Envelope(1, 0, body))


@given("a doubts agent that has just started")
def telling_agent(context: Any) -> None:
    context.case = TellingAgent()


@when("it attaches at once, and again after {again_s:g} seconds without a grant")
def attach_ungranted(context: Any, again_s: float) -> None:
    run_virtual(lambda: context.case.main(float("inf"), again_s))


@when(
    "it attaches, is granted a lease after {grant_s:g} seconds, "
    "and attaches again {again_s:g} second later"
)
def attach_granted(context: Any, grant_s: float, again_s: float) -> None:
    run_virtual(lambda: context.case.main(grant_s, again_s))


@then("it told the schedulers of {first_s:g} and {last_s:g} seconds of a lease")
def told_lease(context: Any, first_s: float, last_s: float) -> None:
    told_s = [told_ms / 1000 for told_ms in context.case.told_ms]
    assert len(told_s) == 2, told_s
    assert first_s - 0.1 <= told_s[0] <= first_s and last_s - 0.1 <= told_s[1] <= last_s, told_s


@when(
    "the scheduler of the doubts is killed {count:d} times, {gap_s:g} seconds apart, "
    "and starts again each time"
)
def kill_schedulers(context: Any, count: int, gap_s: float) -> None:
    async def act(run: Replacements) -> None:
        async with anyio.create_task_group() as group:
            for _ in range(count):
                await anyio.sleep(gap_s)
                leader = run.world.leader()
                assert leader is not None
                await run.world.kill(leader)
                group.start_soon(start_again, run, leader.process.hello.process_id)

    scenario(context).background.append(act)


async def restart_silently(run: Replacements, name: str, silent_s: float) -> None:
    """Restart an agent whose executor answers nothing for a while once it has been fenced."""
    await run.restart_agent(name, 0.2)
    agent = run.world.agents[name].agent
    with anyio.move_on_after(2.0):
        while agent.executor is None or not agent.fences.settled:
            await anyio.sleep(0.001)
    executor: Any = agent.executor
    if executor is not None:
        executor.unresponsive = True
        await anyio.sleep(silent_s)
        executor.unresponsive = False


@when(
    "the agent of the host with most tasks restarts, its executor answers nothing for "
    "{silent_s:g} seconds, and the scheduler of the doubts {event}"
)
def restart_beside_silence(context: Any, silent_s: float, event: str) -> None:
    async def act(run: Replacements) -> None:
        leader = run.world.leader()
        assert leader is not None
        async with anyio.create_task_group() as group:
            group.start_soon(restart_silently, run, run.busiest, silent_s)
            await anyio.sleep(0.1)
            if event == "is killed":
                await run.world.kill(leader)
            else:
                await run.world.stop_entry(leader.process.hello.process_id, 0.5)

    scenario(context).background.append(act)


async def start_again(run: Replacements, name: str) -> None:
    await anyio.sleep(RESTART_DELAY_S)
    run.world.add_entry(name)


@when("the schedulers of the upkeep doubts {event} every {gap_s:g} seconds")
def change_schedulers(context: Any, event: str, gap_s: float) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def change_one() -> None:
        node = upkeep.world.leader()
        if node is None:
            return
        name = str(node.process.hello.process_id)
        if event == "end":
            await upkeep.world.kill(node)
        else:
            await upkeep.world.stop_entry(name, 0.0)
        await anyio.sleep(RESTART_DELAY_S)
        upkeep._add_entry(name)

    async def change_on() -> None:
        while True:
            await anyio.sleep(gap_s)
            upkeep.world.group.start_soon(change_one)

    async def act() -> None:
        upkeep.world.group.start_soon(change_on)

    upkeep.add(context, act)


@when("the record of the upkeep doubts of wave {wave:d} is {value}")
def write_record(context: Any, wave: int, value: str) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        upkeep.write(f"test/upkeep/{wave}", value)

    upkeep.add(context, act)


@when(
    "the first order of the upkeep doubts is carried out {late_s:d} seconds late,"
    " and its scheduler {event}"
)
def order_late(context: Any, late_s: int, event: str) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        world, service = upkeep.world, upkeep.service
        service.faults.append(Fault("late", 1, late_s=late_s))
        await upkeep.wait(lambda: bool(service.orders), 20)
        # It takes the machine of the order, unless that is known to be in doubt.
        ordered = service.executors[service.orders[0].machine].name
        world.behaviour.lengths[world.next_job()] = LONG_S
        await world.submit(Step(1, CORE, LONG_S, label=ordered.replace("host", "r")))
        for _ in range(2 if "next one" in event else 1):
            node = world.leader()
            assert node is not None
            name = str(node.process.hello.process_id)
            if event == "shuts down":
                await world.stop_entry(name, 0.0)
            else:
                await world.kill(node)
            await anyio.sleep(RESTART_DELAY_S)
            if "written again" in event:
                body = {"wave": 1, "machines": upkeep.wave[1][::-1], "durationS": 60}
                upkeep.write("op/wave/1", body | {"maxCount": 1})
            upkeep._add_entry(name)
            await world.wait_until_attached()

    upkeep.add(context, act)


@then("no machine of the upkeep doubts was ordered again once its upkeep had begun")
def not_ordered_again(context: Any) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        counts = Counter(order.machine for order in upkeep.service.orders)
        assert set(counts.values()) == {1}, counts

    upkeep.add(context, act)


@then(
    "the scheduler of the upkeep doubts has at most {most_s:g} seconds left for wave {wave:d} "
    "after {seconds:g} seconds"
)
def time_left(context: Any, most_s: float, wave: int, seconds: float) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        await anyio.sleep(seconds)
        terms = [keeper.term for keeper in upkeep.keepers.values() if keeper.term is not None]
        left_s = [item.due_at - boot_s() for item in terms[-1].open() if item.wave.wave == wave]
        assert len(left_s) == 1 and left_s[0] <= most_s, left_s

    upkeep.add(context, act)


@then("the upkeep doubts leave no record of wave {wave:d}")
def no_record(context: Any, wave: int) -> None:
    upkeep: UpkeepWorld = context.upkeep

    async def act() -> None:
        await anyio.sleep(2.0)
        left = [key for key in upkeep.world.shared.items if key.endswith(f"/upkeep/{wave}")]
        assert not left, left

    upkeep.add(context, act)


class DoubtfulEvents(RandomEvents):
    """Random events after which somebody does not know whether something has ended.

    Executors of hosts 0 to 2 end for good; each is replaced first.
    """

    def planned(self) -> Sequence[Callable[[], Awaitable[None]]]:
        """Return kinds of events after which only executors are in doubt."""
        return [self.hand_over, self.hand_over, self.leave_unreported, self.lose_executor]

    def all(self) -> Sequence[Callable[[], Awaitable[None]]]:
        """Return all kinds of events."""
        return [
            *self.planned(),
            self.hand_over_late,
            self.cut_off_scheduler,
            self.cut_off_agent,
            self.kill_entry,
            self.restart_agent,
            self.restart_agent_of_silent,
            self.silence_executor,
        ]

    async def follow_one_another(
        self, kinds: Sequence[Callable[[], Awaitable[None]]], count: int
    ) -> None:
        """Begin an event at a time, and wait until all are over."""
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(self.rng.choice(kinds))
                await anyio.sleep(self.rng.uniform(0.1, 3.0))

    async def _take_host(self) -> str:
        """Return a host that may lose its executor, after another one was added; "" if none."""
        left = sorted(set(range(3)) - self.run.replaced)
        if not left:
            return ""
        number = self.rng.choice(left)
        self.run.replaced.add(number)
        self.run.world.add_agent(f"new{number}", CAPACITY)
        await anyio.sleep(1.0)
        return f"host{number}"

    async def leave_unreported(self) -> None:
        """Let an executor leave as announced without a deregistration; its agent may stop."""
        name = await self._take_host()
        if not name:
            return
        node = self.run.world.agents[name]
        await self.run.announce_end(name, self.rng.uniform(0.1, 3.0))
        node.sends_heartbeats = False
        node.model.shut_down()
        if self.rng.random() < 0.5:
            await anyio.sleep(self.rng.uniform(0.0, 2.0))
            await self.run.world.stop_agent(name)

    async def lose_executor(self) -> None:
        """End an executor for good; its agent stays."""
        name = await self._take_host()
        if name:
            self.run.world.agents[name].sends_heartbeats = False
            self.run.world.agents[name].model.shut_down()

    async def hand_over(self) -> None:
        """Restart the scheduler gracefully; agents find it as soon as it has started."""
        world, leader = self.run.world, self.run.world.leader()
        if leader is not None and not leader.jobs.election.draining:
            name = leader.process.hello.process_id
            await world.stop_entry(name, self.rng.uniform(0.5, 3.0))
            await anyio.sleep(RESTART_DELAY_S)
            world.add_entry(name)

    async def hand_over_late(self) -> None:
        """Restart the scheduler gracefully; the record of its end is written late."""
        leader = self.run.world.leader()
        if leader is not None:
            faults = leader.store.faults
            faults.late_prefix, faults.late_writes_outlive = "test/ctl/epoch", True
            faults.late_writes, faults.late_s = 1, self.rng.uniform(0.5, 3.0)
        await self.hand_over()

    async def cut_off_scheduler(self) -> None:
        """Cut the scheduler off from the store, and from all others but some agents."""
        world, leader = self.run.world, self.run.world.leader()
        if leader is None:
            return
        name = leader.process.hello.process_id
        others = [other for other in world.entries if other != name]
        some = [host for host in world.agents if self.rng.random() < 0.3]
        cut = {frozenset({one, other}) for one in (name, *some) for other in others}
        world.partitioned_pairs |= cut
        leader.store.faults.silent = True
        await anyio.sleep(self.rng.uniform(2.0, 9.0))
        leader.store.faults.silent = False
        world.partitioned_pairs -= cut

    async def restart_agent_of_silent(self) -> None:
        """Restart an agent whose executor answers nothing once it has been fenced."""
        # The hosts with lower numbers lose their executors.
        name = f"host{self.rng.randrange(3, 6)}"
        if not self.run.world.agents[name].scope.cancel_called:
            await restart_silently(self.run, name, self.rng.uniform(2.0, 9.0))

    async def cut_off_agent(self) -> None:
        """Cut an agent off from one entry."""
        world = self.run.world
        cut = {frozenset({self._any_agent(), self.rng.choice(list(world.entries))})}
        world.partitioned_pairs |= cut
        await anyio.sleep(self.rng.uniform(1.0, 6.0))
        world.partitioned_pairs -= cut


@when("{count:d} planned doubts follow one another with seed {seed:d}")
def planned_doubts(context: Any, count: int, seed: int) -> None:
    async def act(run: Replacements) -> None:
        events = DoubtfulEvents(run, seed)
        await events.follow_one_another(events.planned(), count)

    scenario(context).background.append(act)


@when("{count:d} doubts of all kinds follow one another with seed {seed:d}")
def all_doubts(context: Any, count: int, seed: int) -> None:
    async def act(run: Replacements) -> None:
        events = DoubtfulEvents(run, seed)
        await events.follow_one_another(events.all(), count)

    scenario(context).background.append(act)
