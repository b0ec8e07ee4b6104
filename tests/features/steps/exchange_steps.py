"""Steps for exchange.feature."""

from typing import Any
from unittest.mock import patch

import anyio
from behave import given, then, when
from key_explorer import VIEWS, KeyExplorer
from request_harness import Net, Reply

from apricotpath.messages import RequestRefused, RequestStart, ResponseBody, ResponseStart
from apricotpath.model import Maturity


class ExchangeSubject:
    """Holds one deployment, the callers' replies and the values measured by a scenario."""

    def __init__(self, agents: int, entries: int, seed: int) -> None:
        self.net = Net(seed)
        self.agents, self.entries = agents, entries
        self.replies: list[Reply] = []
        self.sizes: list[int] = []
        self.measured: dict[str, Any] = {}

    def run_scenario(self, actions: Any) -> None:
        async def scenario(net: Net) -> None:
            await net.start(self.agents, self.entries)
            await actions(net)

        self.net.run(scenario)

    def start_request(self, group: Any, entry: str = "entry1", **options: Any) -> Reply:
        reply = Reply()
        self.replies.append(reply)
        self.sizes.append(options.get("size", 100))

        async def call() -> None:
            await self.net.call(reply, entry, **options)

        group.start_soon(call)
        return reply

    def running_agent(self) -> Any:
        return next(agent for agent in self.net.agents.values() if agent.component.busy_slots)


FAULTS = {
    "lost": lambda rng: [] if rng.random() < 0.3 else [0.0],
    "late": lambda rng: [rng.uniform(0.1, 4.0)],
    "doubled": lambda rng: [0.0, rng.uniform(0.0, 2.0)],
    "reordered": lambda rng: [rng.choice([0.0, 0.001, 0.002])],
}


@given("a deployment with agents: {agents:d}, entries: {entries:d}, seed: {seed:d}")
def _(context: Any, agents: int, entries: int, seed: int) -> None:
    context.exchange = ExchangeSubject(agents, entries, seed)


@when("{count:d} exchange requests of {size:d} bytes are made while answers are {fault}")
def _(context: Any, count: int, size: int, fault: str) -> None:
    subject = context.exchange

    async def actions(net: Net) -> None:
        entry = net.entries["entry1"]
        answers = (ResponseStart, ResponseBody, RequestRefused)
        seen = set()

        def choose_delays(body: Any) -> list[float]:
            part = (type(body), getattr(body, "request", ""), getattr(body, "offset", 0))
            if not isinstance(body, answers) or (fault == "lost" and part in seen):
                return [0.0]
            seen.add(part)
            return FAULTS[fault](entry.component.rng)

        entry.fault = choose_delays
        async with anyio.create_task_group() as group:
            for _number in range(count):
                subject.start_request(group, size=size, work_ms=20)

    subject.run_scenario(actions)


@then("every exchange answer is complete and belongs to its request")
def _(context: Any) -> None:
    subject = context.exchange
    assert subject.replies
    for reply, size in zip(subject.replies, subject.sizes, strict=True):
        subject.net.check_body(reply, size)


@then("no exchange request ran twice")
def _(context: Any) -> None:
    ids = [run.request for run in context.exchange.net.runs]
    assert len(ids) == len(set(ids)) == len(context.exchange.replies), ids


@when("the link of a running exchange request {failure} after {after:f} s and it needs 1 s")
def _(context: Any, failure: str, after: float) -> None:
    subject = context.exchange

    async def actions(net: Net) -> None:
        def fail() -> None:
            for name in net.agents if not after else [subject.running_agent().name]:
                (net.break_link if failure == "breaks" else net.silence)(name)

        async with anyio.create_task_group() as group:
            if after:
                subject.start_request(group, work_ms=1000)
                await anyio.sleep(after)
                fail()
            else:
                fail()
                subject.start_request(group, work_ms=1000)

    subject.run_scenario(actions)


@then("exchange requests that ran: {count:d}")
def _(context: Any, count: int) -> None:
    runs = context.exchange.net.runs
    assert len(runs) == count, runs


@when("an exchange request is delayed for 6 s and its link breaks")
def _(context: Any) -> None:
    subject = context.exchange

    async def actions(net: Net) -> None:
        delayed = []

        def delay_first(body: Any) -> list[float]:
            if isinstance(body, RequestStart) and not delayed:
                delayed.append(body.request)
                return [6.0]
            return [0.0]

        for agent in net.agents.values():
            agent.fault = delay_first
        async with anyio.create_task_group() as group:
            subject.start_request(group, work_ms=10)
            await anyio.sleep(0.5)
            for name in net.agents:
                net.break_link(name)
        await anyio.sleep(10)

    subject.run_scenario(actions)


@when("the agent of a running {name} exchange request restarts")
def _(context: Any, name: str) -> None:
    subject = context.exchange

    async def actions(net: Net) -> None:
        async with anyio.create_task_group() as group:
            subject.start_request(
                group, request_class=name, key="k" * (name == "booking"), work_ms=1000
            )
            await anyio.sleep(0.5)
            agent = subject.running_agent()
            agent.kill()
            net.start_agent(agent.name, 2)

    subject.run_scenario(actions)


@then("the exchange outcome is {outcome}")
def _(context: Any, outcome: str) -> None:
    reply = context.exchange.replies[-1]
    assert reply.outcome == outcome, (reply.outcome, reply.reason)


@when(
    "a booking of 1 s is made, its entry is killed after {killed:f} s and the caller retries "
    "after {retry:f} s"
)
def _(context: Any, killed: float, retry: float) -> None:
    subject = context.exchange

    async def actions(net: Net) -> None:
        async with anyio.create_task_group() as group:
            subject.start_request(group, request_class="booking", key="k", work_ms=1000)
            await anyio.sleep(killed)
            net.entries["entry1"].kill()
            group.cancel_scope.cancel()
        await anyio.sleep(retry)
        async with anyio.create_task_group() as group:
            subject.start_request(group, "entry2", request_class="booking", key="k", work_ms=1000)

    subject.run_scenario(actions)


@when("a booking has run, its home {failure} and the caller retries with the same key")
def _(context: Any, failure: str) -> None:
    subject = context.exchange

    async def actions(net: Net) -> None:
        for _try in range(2):
            async with anyio.create_task_group() as group:
                subject.start_request(group, request_class="booking", key="k")
            home = next(agent for agent in net.agents.values() if agent.backend.runs)
            if failure == "restarts":
                home.kill()
                net.start_agent(home.name, 2)
            else:
                net.partitioned.add((home.name, "entry1"))
                net.break_link(home.name)
            await anyio.sleep(1)

    subject.run_scenario(actions)


@when("{missing:d} of the agents have no full key memory and a booking is made")
def _(context: Any, missing: int) -> None:
    subject = context.exchange

    async def actions(net: Net) -> None:
        # These incarnations are not founders and are as old as the deployment.
        net.rules.founding = frozenset(sorted(net.rules.founding)[missing:])
        for row in net.entries["entry1"].hosts.rows.values():
            joining = row.incarnation not in net.rules.founding
            changed = {"maturity": Maturity.JOINING if joining else Maturity.FULL}
            row.announce = type(row.announce)(
                **{name: getattr(row.announce, name) for name in row.announce.__slots__} | changed
            )
        async with anyio.create_task_group() as group:
            subject.start_request(group, request_class="booking", key="k")

    subject.run_scenario(actions)


@when("{count:d} exchange requests of {work:d} ms are sent at once")
def _(context: Any, count: int, work: int) -> None:
    subject = context.exchange

    async def actions(net: Net) -> None:
        async with anyio.create_task_group() as group:
            for number in range(count):
                name = list(net.entries)[number % len(net.entries)]
                kind = {} if number % 2 else {"request_class": "booking", "key": f"k{number}"}
                subject.start_request(group, name, work_ms=work, **kind)

    subject.run_scenario(actions)


@then("the backend server saw at most {slots:d} requests at a time")
def _(context: Any, slots: int) -> None:
    backend = context.exchange.net.agents["agent1"].backend
    assert 1 < backend.most_present <= slots, backend.most_present


@then("every exchange answer is complete or its request did not run")
def _(context: Any) -> None:
    subject = context.exchange
    answered = [reply for reply in subject.replies if reply.outcome == "answered"]
    for reply in answered:
        subject.net.check_body(reply, 100)
    refused = [reply for reply in subject.replies if reply.outcome == "not-run"]
    assert answered
    assert refused
    assert len(answered) + len(refused) == len(subject.replies)
    assert {run.request for run in subject.net.runs} == {reply.request for reply in answered}


@when("an agent leaves while {count:d} exchange requests of 3 s run")
def _(context: Any, count: int) -> None:
    subject = context.exchange

    async def actions(net: Net) -> None:
        agent = net.agents["agent1"]
        async with anyio.create_task_group() as group:
            for _number in range(count):
                subject.start_request(group, work_ms=3000)
            await anyio.sleep(0.1)
            subject.measured["busy"] = agent.component.busy_slots
            await agent.leave()
            subject.measured["left"] = anyio.current_time()
            group.start_soon(drain, agent.component)
            await anyio.sleep(0.5)
            for _number in range(20):
                subject.start_request(group, work_ms=10)

    async def drain(component: Any) -> None:
        await component.drain()
        subject.measured["drained"] = anyio.current_time()

    subject.run_scenario(actions)


@then("the drain ended after the last answer")
def _(context: Any) -> None:
    measured, backend = context.exchange.measured, context.exchange.net.agents["agent1"].backend
    assert measured["busy"] > 0
    assert measured["drained"] >= max(run.end for run in backend.runs)


@then("nothing started at the leaving agent after it left")
def _(context: Any) -> None:
    subject = context.exchange
    starts = [run.start for run in subject.net.agents["agent1"].backend.runs]
    assert max(starts) <= subject.measured["left"]


async def shut_down_exchange_agent(subject: Any, agent: Any) -> None:
    """Do what an agent's process does: leave, drain and end."""
    subject.measured["busy"] = agent.component.busy_slots
    await agent.leave()
    await agent.component.drain()
    agent.kill()
    subject.measured["stopped"] = anyio.current_time()


@when("an exchange agent shuts down and its link {failure} before its answers of {size:d} bytes")
def _(context: Any, failure: str, size: int) -> None:
    subject = context.exchange

    async def actions(net: Net) -> None:
        agent = net.agents["agent1"]
        async with anyio.create_task_group() as group:
            for _number in range(8):
                subject.start_request(group, work_ms=3000, size=size, deadline_s=30.0)
            await anyio.sleep(0.1)
            group.start_soon(shut_down_exchange_agent, subject, agent)
            await anyio.sleep(2.8)
            if failure == "breaks":
                net.partitioned.add((agent.name, "entry1"))
                net.break_link(agent.name)
                await anyio.sleep(1.0)
                net.partitioned.clear()
            else:
                net.silence(agent.name)

    subject.run_scenario(actions)


@then("the exchange agent had requests and has stopped")
def _(context: Any) -> None:
    measured = context.exchange.measured
    assert measured["busy"] > 0
    assert "stopped" in measured


@when(
    "an exchange agent leaves and is cut off during {name} requests with a deadline of "
    "{deadline:d} s"
)
def _(context: Any, name: str, deadline: int) -> None:
    subject = context.exchange

    async def actions(net: Net) -> None:
        async with anyio.create_task_group() as group:
            for number in range(12):
                key = f"k{number}" * (name == "booking")
                options = {"request_class": name, "key": key, "work_ms": 3000}
                subject.start_request(group, **options, deadline_s=float(deadline))
            await anyio.sleep(0.1)
            agent = subject.running_agent()
            subject.measured["agent"] = agent
            group.start_soon(shut_down_exchange_agent, subject, agent)
            await anyio.sleep(1.0)
            net.partitioned.add((agent.name, "entry1"))
            net.break_link(agent.name)

    subject.run_scenario(actions)


@then("the exchange outcomes of its requests are {outcome} after {low:d} to {high:d} s")
def _(context: Any, outcome: str, low: int, high: int) -> None:
    subject = context.exchange
    late = [reply for reply in subject.replies if reply.seconds > 4.0]
    assert len(late) == subject.measured["busy"], [reply.seconds for reply in subject.replies]
    seen = [(reply.outcome, reply.seconds) for reply in late]
    assert all(found == outcome and low <= seconds <= high for found, seconds in seen), seen


@when("an exchange agent shuts down and its entry is gone before its answers")
def _(context: Any) -> None:
    subject = context.exchange

    async def actions(net: Net) -> None:
        agent = net.agents["agent1"]
        async with anyio.create_task_group() as group:
            subject.start_request(group, work_ms=3000)
            await anyio.sleep(0.1)
            group.start_soon(shut_down_exchange_agent, subject, agent)
            await anyio.sleep(2.8)
            net.entries["entry1"].kill()

    subject.run_scenario(actions)


@then("the exchange agent stopped within {seconds:d} s of its last answer")
def _(context: Any, seconds: int) -> None:
    subject = context.exchange
    last = max(run.end for run in subject.net.runs)
    assert subject.measured["busy"] == 1
    assert subject.measured["stopped"] - last <= seconds, (subject.measured, last)


@when("exchange requests bypass routing after leaving and with the data centre out")
def _(context: Any) -> None:
    subject = context.exchange

    async def actions(net: Net) -> None:
        agent = net.agents["agent1"]
        entry = net.entries["entry1"].component
        entry._usable = lambda row: True
        net.rules.out.add("dc-agent1")
        subject.replies.append(await net.answer())
        net.rules.out.clear()
        agent.component.leave()
        await anyio.sleep(2.0)
        subject.replies.append(await net.answer())

    subject.run_scenario(actions)


@then("both were refused and nothing ran")
def _(context: Any) -> None:
    subject = context.exchange
    assert [reply.outcome for reply in subject.replies] == ["not-run", "not-run"]
    assert subject.net.runs == []


@when("{count:d} exchange requests of 1 s run and {queued:d} queued ones are cancelled")
def _(context: Any, count: int, queued: int) -> None:
    subject = context.exchange

    async def actions(net: Net) -> None:
        async with anyio.create_task_group() as group:
            for _number in range(count):
                subject.start_request(group, work_ms=1000)
            await anyio.sleep(0.1)
            async with anyio.create_task_group() as cancelled_group:
                for _number in range(queued):
                    subject.start_request(cancelled_group, work_ms=1000)
                await anyio.sleep(0.1)
                cancelled_group.cancel_scope.cancel()
        await anyio.sleep(3)

    subject.run_scenario(actions)


@when("{fault} during an exchange request with a deadline of {deadline:d} s")
def _(context: Any, fault: str, deadline: int) -> None:
    subject = context.exchange

    async def actions(net: Net) -> None:
        backend = net.agents["agent1"].backend
        if fault == "the backend server hangs":
            backend.faults = type(backend.faults)(hang=True)
        else:
            net.entries["entry1"].fault = lambda body: []
        subject.replies.append(await net.answer(deadline_s=deadline))

    subject.run_scenario(actions)


@then("the exchange answer took at most {seconds:f} s")
def _(context: Any, seconds: float) -> None:
    assert context.exchange.replies[-1].seconds <= seconds


@when("1 backend server fails all of {count:d} exchange requests it gets")
def _(context: Any, count: int) -> None:
    subject = context.exchange

    async def actions(net: Net) -> None:
        backend = net.agents["agent1"].backend
        backend.faults = type(backend.faults)(fail_all=True)
        for _number in range(count):
            async with anyio.create_task_group() as group:
                subject.start_request(group, work_ms=5)
                await anyio.sleep(0.01)

    subject.run_scenario(actions)


@then("fewer than {count:d} exchange requests were answered with status 500")
def _(context: Any, count: int) -> None:
    statuses = [reply.status for reply in context.exchange.replies]
    assert 0 < statuses.count(500) < count, statuses.count(500)


@given("racing entries where {views}")
def _(context: Any, views: str) -> None:
    context.explorer = KeyExplorer(VIEWS[views])


@when("every interleaving of their messages is explored")
def _(context: Any) -> None:
    context.explorer.explore()


PROTECTIONS = {
    "the majority": ("apricotpath.keyplaces.majority", lambda count: 1),
    "the tombstone": ("apricotpath.settle.RequestTable.mark_never_run", lambda *args: True),
}


@when("every interleaving is explored without {protection}")
def _(context: Any, protection: str) -> None:
    target, replacement = PROTECTIONS[protection]
    with patch(target, replacement):
        context.explorer.explore()


@then("no interleaving runs the key twice or runs a request reported as not run")
def _(context: Any) -> None:
    explorer = context.explorer
    assert explorer.count > 3, explorer.count
    assert not explorer.violations, explorer.violations[0]


@then("some interleaving runs the key once")
def _(context: Any) -> None:
    assert context.explorer.ran


@then("some interleaving runs the key twice")
def _(context: Any) -> None:
    assert any("ran twice" in text for text in context.explorer.violations)


@given("the backend server of an exchange agent is down")
def _(context: Any) -> None:
    context.exchange.net.down.add("agent2")


@when("{count:d} idempotent exchange requests of {work:d} ms are sent one after the other")
def _(context: Any, count: int, work: int) -> None:
    subject = context.exchange
    subject.refused = 0

    async def actions(net: Net) -> None:
        entry = net.entries["entry1"]
        received = entry.component.received

        async def count_refusals(link: Any, envelope: Any) -> None:
            subject.refused += isinstance(envelope.body, RequestRefused)
            await received(link, envelope)

        entry.component.received = count_refusals
        for _number in range(count):
            subject.replies.append(await net.answer(work_ms=work))

    subject.run_scenario(actions)


@then("the exchange sent at most {count:d} requests to the backend server that is down")
def _(context: Any, count: int) -> None:
    subject = context.exchange
    assert 0 < subject.refused <= count, subject.refused
    # Before the ejection the retry budget may run out; each such request was refused.
    not_run = [reply for reply in subject.replies if reply.outcome == "not-run"]
    answered = [reply for reply in subject.replies if reply.outcome == "answered"]
    assert len(not_run) <= subject.refused
    assert len(answered) + len(not_run) == len(subject.replies)
