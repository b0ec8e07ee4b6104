"""Steps for routing.feature."""

from heapq import heappop, heappush
from random import Random
from typing import Any

from behave import given, then, when

from apricotpath.config import RequestSettings
from apricotpath.ids import ProcessId
from apricotpath.routing import Candidate, RoutingTable, choose


class RoutingSubject:
    """Routing table of one entry with identical backend servers."""

    def __init__(self, count: int, choices: int, seed: int) -> None:
        self.candidates = [Candidate(f"b{number}", 8, 64) for number in range(1, count + 1)]
        self.table = RoutingTable()
        self.cfg = RequestSettings(choices=choices)
        self.rng = Random(seed)
        self.sent: dict[str, int] = {}

    def route(self, now: float) -> str | None:
        name = choose(self.candidates, self.table, self.cfg, self.rng, now)
        if name is not None:
            self.table.record_sent(name, now)
            self.sent[name] = self.sent.get(name, 0) + 1
        return name

    def fail(self, name: str) -> None:
        for _number in range(5):
            self.table.record_sent(name, 0.0)
            self.table.record_result(name, 0.001, False, 0.0)

    def used(self, now: float, pending: str = "") -> set[str | None]:
        """Return the backend servers that 50 sequential requests are routed to.

        Requests to `pending` do not end.
        """
        names = set()
        for _number in range(50):
            name = self.route(now)
            names.add(name)
            if name not in (None, pending):
                self.table.record_result(name, 0.001, True, now)
        return names


@given("a routing table of {count:d} backend servers with {choices:d} choices and seed {seed:d}")
def _(context: Any, count: int, choices: int, seed: int) -> None:
    context.routing = RoutingSubject(count, choices, seed)


@when("{count:d} requests are routed without any ending")
def _(context: Any, count: int) -> None:
    for _number in range(count):
        context.routing.route(0.0)


@then("the highest routing load is at most {load:d}")
def _(context: Any, load: int) -> None:
    assert max(context.routing.sent.values()) <= load, context.routing.sent


@then("the highest routing load is at least {load:d}")
def _(context: Any, load: int) -> None:
    assert max(context.routing.sent.values()) >= load, context.routing.sent


@when("{count:d} requests are routed and backend server 1 takes 5 times as long")
def _(context: Any, count: int) -> None:
    subject = context.routing
    ends: list[tuple[float, str, float]] = []
    for number in range(count):
        now = number * 0.002
        for end in sorted(item for item in ends if item[0] <= now):
            ends.remove(end)
            subject.table.record_result(end[1], end[2], True, now)
        name = subject.route(now)
        latency = 0.05 if name == "b1" else 0.01
        ends.append((now + latency, name, latency))


@then("routing sent backend server 1 fewer than {count:d} requests")
def _(context: Any, count: int) -> None:
    assert 0 < context.routing.sent["b1"] < count, context.routing.sent


@when("routing sees backend server 1 fail 5 times in a row")
def _(context: Any) -> None:
    context.routing.fail("b1")


@when("routing sees every backend server fail 5 times in a row")
def _(context: Any) -> None:
    for candidate in context.routing.candidates:
        context.routing.fail(candidate.process)


@then("routing does not use it for 5 s and then sends one probe")
def _(context: Any) -> None:
    subject = context.routing
    assert "b1" not in subject.used(4.9)
    assert "b1" in subject.used(5.0, "b1")
    assert subject.sent["b1"] == 1


@then("after a probe that {probe} routing uses it {again}")
def _(context: Any, probe: str, again: str) -> None:
    subject = context.routing
    subject.table.record_result("b1", 0.001, probe == "succeeds", 5.0)
    assert ("b1" in subject.used(14.9)) == (again == "at once")
    assert "b1" in subject.used(15.1)


@then("routing still finds a backend server")
def _(context: Any) -> None:
    assert context.routing.route(0.1) is not None


class RoutedFleet:
    """Three entries that route to 11 backend servers; some become slow after 5 s."""

    def __init__(self, slow: int, factor: float, seed: int) -> None:
        self.slow, self.factor, self.rng = slow, factor, Random(seed)
        self.candidates = [Candidate(ProcessId(str(n)), 8, 64) for n in range(11)]
        self.tables = [RoutingTable() for _ in range(3)]
        self.busy: dict[str, list[float]] = {str(n): [] for n in range(11)}
        self.open: list[Any] = []
        self.latencies: list[float] = []
        self.last_sent: dict[str, float] = {}

    def simulate(self, rate: float, seconds: float) -> None:
        now, number = 0.0, 0
        while now < seconds:
            now, number = now + self.rng.expovariate(rate), number + 1
            while self.open and self.open[0][0] <= now:
                at, _, table, process, latency = heappop(self.open)
                table.record_result(process, latency, True, at)
            self.send(self.tables[number % 3], number, now)

    def send(self, table: RoutingTable, number: int, now: float) -> None:
        process = choose(self.candidates, table, RequestSettings(), self.rng, now)
        assert process is not None
        work = self.rng.choices((0.02, 0.06, 0.015), (0.5, 0.2, 0.3))[0]
        if int(process) < self.slow and now > 5.0:
            work *= self.factor
        slots = self.busy[process]
        started_at = now if len(slots) < 8 else max(now, heappop(slots))
        heappush(slots, started_at + work)
        while slots[0] <= now:
            heappop(slots)
        table.record_sent(process, now)
        latency = started_at + work - now
        heappush(self.open, (now + latency, number, table, process, latency))
        self.last_sent[process] = now
        if now > 8.0:
            self.latencies.append(latency)


@when(
    "requests are routed to 11 backend servers of which {slow:d} take {factor:g} times "
    "as long at {rate:d} per s from seed {seed:d}"
)
def _(context: Any, slow: int, factor: float, rate: int, seed: int) -> None:
    context.simulation = RoutedFleet(slow, factor, seed)
    context.simulation.simulate(rate, 40.0)


@then("the routed p99 is at most {p99:d} ms and every slow server was tried again")
def _(context: Any, p99: int) -> None:
    simulation = context.simulation
    found = sorted(simulation.latencies)[int(len(simulation.latencies) * 0.99)] * 1000
    assert found <= p99, found
    # Without a later request an entry could not detect that a server has recovered.
    assert all(simulation.last_sent[str(n)] > 20.0 for n in range(simulation.slow)), (
        simulation.last_sent
    )
