"""Steps for hostholds.feature, beside those for worlds of replacements."""

from dataclasses import replace
from typing import Any

import anyio
from behave import given, then, when
from replacements_steps import Replacements, scenario

from apricotpath.boottime import boot_s
from apricotpath.codec import PROTOCOL_VERSION, Envelope
from apricotpath.entryrecords import LeaderRecord
from apricotpath.fleet import FleetSettings, Host
from apricotpath.hostleases import LeaseBasis
from apricotpath.ids import (
    DataCentreId,
    Epoch,
    FenceToken,
    HostId,
    IncarnationId,
    InstanceId,
    JobId,
    ProcessId,
    QueueId,
    RackId,
    ServiceId,
)
from apricotpath.jobmetrics import JobMetrics
from apricotpath.jobtable import JobTable
from apricotpath.messages import (
    UNKNOWN_LEASE_MS,
    Hello,
    HostAttach,
    HostAttached,
    HostGrant,
    HostRuns,
    LeaderNotice,
    Message,
)
from apricotpath.model import Role, Size
from apricotpath.runrecords import Assigned
from apricotpath.term import Term
from apricotpath.workload import HostFacts, Job, Step, TaskKey
from apricotpathd.attachment import ExecutorState
from apricotpathd.hostagent import HostAgent
from apricotpathd.hostevents import ExecutorName
from apricotpathd.hosttracker import HostTracker
from apricotpathd.operatorrules import SchedulerRules
from apricotpathd.scheduler import Scheduler
from support.executormodel import Behaviour, ExecutorModel, ModelExecutor
from support.jobworld import run_virtual
from support.memorystore import MemoryStore, SharedStore

HOST = HostId("oven")
SERVICE, ZONE, RACK = ServiceId("bakery"), DataCentreId("z1"), RackId("r1")
CAPACITY = Size(8000, 8000, 0)
CFG = FleetSettings()
OLD, NEW = Epoch(4), Epoch(5)
KEY = TaskKey(JobId("00000000000000a1"), 0, 0, 0)
# Longer than any hold.
END_S = 20.0


@when(
    "the scheduler is frozen for {seconds:g} seconds and the executor with most tasks is lost "
    "for good"
)
def freeze(context: Any, seconds: float) -> None:
    async def act(run: Replacements) -> None:
        world, former = run.world, run.world.leader()
        assert former is not None
        # Long after the start, so that all that is known of earlier terms has been settled.
        await anyio.sleep(world.cfg.authority_s + 1.0)
        lost = world.agents[run.busiest]
        lost.sends_heartbeats = False
        lost.model.shut_down()
        resume = world.pause(str(former.process.hello.process_id))
        former.store.faults.silent = True
        await anyio.sleep(seconds)
        former.store.faults.silent = False
        resume()

    scenario(context).background.append(act)


class FakeLink:
    """A link that keeps what is sent over it."""

    is_open = True

    def __init__(self, name: str) -> None:
        self.peer_id = name
        self.peer = Hello(
            PROTOCOL_VERSION, Role.ENTRY, ProcessId(name), IncarnationId("x"), DataCentreId("z1")
        )
        self.sent: list[Message] = []
        self.epoch = OLD
        self.attached: list[Epoch] = []

    def send_nowait(self, body: Message, reply_to: int = 0) -> None:
        self.sent.append(body)

    async def call(self, body: Message, timeout_s: float | None = None) -> Message:
        self.attached.append(self.epoch)
        return HostAttached(self.epoch, FenceToken(self.epoch * 1000 + len(self.attached)))


class HeldHost:
    """A tracker of a new term, in virtual time, with a host that has a run of the last term."""

    def __init__(self) -> None:
        self.table = JobTable()
        self.link: Any = FakeLink("oven")
        self.given_up_s = float("inf")
        self.hold_s = CFG.run_hold_s + CFG.authority_s
        self.recorded: dict[HostId, float] = {}
        self.grants_after_record = 0

    def make_tracker(self) -> HostTracker:
        """Return the tracker of a term that has just begun, with the host of the last one."""
        table = self.table
        table.add(Job(KEY.job, QueueId("bread"), "", (Step(1, CAPACITY, long_running=True),)), 0.0)
        table.apply(Assigned(KEY, 1, HOST, "oven", 1), 0.0)
        tracker = HostTracker(Term(NEW, "", 1), table, CFG, boot_s, lambda: None)
        until = boot_s() + self.hold_s
        host = tracker.hosts[HOST] = Host(HOST)
        host.leases.restore(until, LeaseBasis.ASSUMPTION)
        return tracker

    def attach(
        self, tracker: HostTracker, epoch: Epoch = NEW, lease_ms: int = UNKNOWN_LEASE_MS
    ) -> FenceToken:
        """Attach the host and return its fencing token."""
        call = HostAttach(HOST, InstanceId("oven"), 1, SERVICE, ZONE, RACK, (), CAPACITY, epoch)
        attached = tracker.attach(self.link, replace(call, lease_ms=lease_ms))
        assert isinstance(attached, HostAttached), attached
        return attached.fence

    async def end_term(self, attach_at_s: float, lasts_s: float) -> None:
        """Attach at a time, and end the term later."""
        tracker = self.make_tracker()
        await anyio.sleep(attach_at_s)
        self.attach(tracker)
        await anyio.sleep(lasts_s)
        self.recorded = tracker.end_grants(boot_s())

    async def report_after_record(self) -> None:
        """Report before the end of the term and after it."""
        tracker = self.make_tracker()
        fence = self.attach(tracker)
        tracker.receive_report(self.link, HostRuns(fence, 1, True, False, 0, 100.0, (), ()))
        self.recorded = tracker.end_grants(boot_s())
        self.link.sent.clear()
        tracker.receive_report(self.link, HostRuns(fence, 2, False, False, 0, 100.0, (), ()))
        tracker.acknowledge_endings(ExecutorName(HOST, "oven", 1), 1)
        self.grants_after_record = sum(isinstance(sent, HostGrant) for sent in self.link.sent)

    async def play(self, event: str) -> None:
        """Let the event happen, and note when the run is given up."""
        await self.watch(self._happen, event)

    async def watch(self, event: Any, *args: Any) -> None:
        """Let an event happen to a tracker, and note when the run is given up."""
        started, tracker = boot_s(), self.make_tracker()
        async with anyio.create_task_group() as group:
            group.start_soon(event, tracker, *args)
            while boot_s() < started + END_S and not tracker.lost_runs:
                tracker.expire_leases(boot_s())
                await anyio.sleep(0.05)
            self.given_up_s = boot_s() - started

    async def _happen(self, tracker: HostTracker, event: str) -> None:
        if event == "never attaches":
            return
        while "again and again" in event and boot_s() < END_S:
            self.attach(tracker)
            await anyio.sleep(1.0)
        await anyio.sleep(1.0)
        fence = self.attach(tracker, OLD if "former epoch" in event else NEW)
        if "after a report" in event:
            report = HostRuns(fence, 1, True, False, 0, 100.0, (), ())
            tracker.receive_report(self.link, report)
            tracker.lost_runs.clear()
        if "link closes" in event:
            tracker.link_closed(self.link)
        if "ended at 3" in event:
            await anyio.sleep(2.0)
            tracker.limit_holds(boot_s() + CFG.run_hold_s)


@given("a hostholds host of the last term whose scheduler may still grant leases")
def held_host(context: Any) -> None:
    context.case = HeldHost()


@given("a hostholds host whose runs last 2 seconds as the last scheduler recorded")
def recorded_host(context: Any) -> None:
    context.case = HeldHost()
    context.case.hold_s = 2.0


@when(
    "it attaches {first_s:g} second after the start of the term, "
    "which ends {later_s:g} seconds later"
)
def end_term(context: Any, first_s: float, later_s: float) -> None:
    run_virtual(lambda: context.case.end_term(first_s, later_s))


@then(
    "its hostholds record says {hold_s:g} seconds, "
    "as its next agent may follow the former scheduler"
)
def record_says(context: Any, hold_s: float) -> None:
    assert context.case.recorded == {HOST: hold_s}, context.case.recorded


@given("a hostholds host of the last term that has reported")
def reporting_host(context: Any) -> None:
    context.case = HeldHost()


@when("the term of the hostholds ends, and another report arrives")
def report_late(context: Any) -> None:
    run_virtual(context.case.report_after_record)


@then("the host gets no hostholds grant after the record was taken")
def no_grant(context: Any) -> None:
    assert context.case.recorded[HOST] > 0
    assert context.case.grants_after_record == 0, context.case.grants_after_record


class LoadingScheduler:
    """A scheduler whose store answers no read, in virtual time."""

    def __init__(self, recorded_s: float) -> None:
        last = LeaderRecord(
            OLD, ProcessId("old"), IncarnationId("x"), ended=True, holds={HOST: recorded_s}
        )
        self.term = Term(NEW, "test/ctl/epoch", 1, last)

    async def end_after(self, seconds: float) -> None:
        """Start it, and cancel it while it loads."""
        store = MemoryStore(SharedStore())
        store.faults.silent = True
        scheduler = Scheduler(
            self.term,
            store,
            "test/",
            CFG,
            lambda: SchedulerRules({}),
            boot_s,
            lambda statuses: None,
            JobMetrics(),
            boot_s,
        )
        with anyio.move_on_after(seconds):
            await scheduler.serve()
        assert not scheduler.loaded.is_set()


@given("a hostholds scheduler whose predecessor recorded {seconds:g} seconds for a host")
def loading_scheduler(context: Any, seconds: float) -> None:
    context.case = LoadingScheduler(seconds)


@when("it ends {seconds:g} seconds after its start, while it still loads its tables")
def end_while_loading(context: Any, seconds: float) -> None:
    run_virtual(lambda: context.case.end_after(seconds))


@then("its hostholds record says {seconds:g} seconds")
def passed_on(context: Any, seconds: float) -> None:
    assert context.case.term.holds == {HOST: seconds}, context.case.term.holds


@given("a hostholds record of {count:d} hosts that are held for up to {longest_s:g} seconds")
def long_record(context: Any, count: int, longest_s: float) -> None:
    holds = {HostId(f"host{n}"): longest_s * (count - n) / count for n in range(count)}
    context.case = LeaderRecord(OLD, ProcessId("old"), IncarnationId("x"), ended=True, holds=holds)


@then("its stored form names the {count:d} with the shortest holds, and can be read again")
def names_shortest(context: Any, count: int) -> None:
    record: LeaderRecord = context.case
    shortest = dict(sorted(record.holds.items(), key=lambda item: item[1])[:count])
    assert LeaderRecord.parse(record.encode()).holds == shortest


@when("the hostholds host {event}")
def host_event(context: Any, event: str) -> None:
    run_virtual(lambda: context.case.play(event))


@then("its runs are given up between {least:g} and {most:g} seconds after the start of the term")
def given_up(context: Any, least: float, most: float) -> None:
    assert least <= context.case.given_up_s <= most, context.case.given_up_s


class FollowingAgent:
    """An agent with links to two schedulers, whose executor answers."""

    def __init__(self) -> None:
        self.old, self.new = FakeLink("old"), FakeLink("new")
        self.new.epoch = NEW
        self.granted: list[float] = []

    async def main(self) -> None:
        """Attach to the old scheduler, hear of the new one, and go on to hear the old one."""
        async with anyio.create_task_group() as group:
            model = ExecutorModel("oven", CAPACITY, Behaviour())
            agent = HostAgent(HOST, CFG, lambda _facts: ModelExecutor(model, group))
            group.start_soon(agent.run)
            facts = HostFacts("oven", 1, SERVICE, ZONE, RACK, capacity=CAPACITY)
            agent.on_executor_heartbeat(ExecutorState(facts))
            for link in (self.old, self.new):
                await agent.link_opened(link)  # type: ignore[arg-type]
            await self._hear(agent, self.old, LeaderNotice(OLD, ProcessId("old")))
            await anyio.sleep(1.0)
            attached = agent.attachment
            assert attached is not None and attached.epoch == OLD
            await self._hear(agent, self.old, HostGrant(attached.fence, attached.renewal, 0))
            assert attached.granted_until > boot_s()
            # The old one's grants come before the new one has answered, and after that.
            granted_until = attached.granted_until
            await self._hear(agent, self.new, LeaderNotice(NEW, ProcessId("new")))
            assert agent.attachment is None
            for _ in range(20):
                await self._hear(agent, self.old, LeaderNotice(OLD, ProcessId("old")))
                await self._hear(agent, self.old, HostGrant(attached.fence, attached.renewal, 0))
                current = agent.attachment
                self.granted.append(current.granted_until if current is not None else 0.0)
                await anyio.sleep(0.1)
            assert attached.granted_until == granted_until
            group.cancel_scope.cancel()

    @staticmethod
    async def _hear(agent: HostAgent, link: FakeLink, body: Message) -> None:
        await agent.received(link, Envelope(1, 0, body))  # type: ignore[arg-type]


@given("a hostholds agent that is attached to the scheduler of epoch 4")
def following_agent(context: Any) -> None:
    context.case = FollowingAgent()


@when("it hears of the scheduler of epoch 5, and then gets grants and notices of epoch 4")
def hears(context: Any) -> None:
    run_virtual(context.case.main)


@then("its hostholds lease was not extended, and it never attached to epoch 4 again")
def not_extended(context: Any) -> None:
    case: FollowingAgent = context.case
    assert set(case.granted) == {0.0}, case.granted
    assert case.old.attached == [OLD], case.old.attached
    assert case.new.attached and set(case.new.attached) == {NEW}, case.new.attached
