"""Steps for load.feature."""

import subprocess
import sys
from collections import Counter
from dataclasses import replace
from typing import Any

from behave import then, when

from apricotpath_bench.arrivals import Arrival, Burst, LoadPlan, request_arrivals
from apricotpath_bench.measure import Latencies, batch_work, change_cost
from apricotpath_bench.shapes import SUVA

TOLERANCE = 0.1


class LoadSubject:
    """Load plans with their arrivals and measured latencies."""

    def __init__(self, *plans: LoadPlan) -> None:
        self.plans = plans
        self.arrivals = [request_arrivals(SUVA, plan) for plan in plans]
        self.latencies = Latencies()

    def rate(self, start: float, end: float) -> float:
        return sum(start <= a.at_s < end for a in self.arrivals[0]) / (end - start)

    def serve(self, count: int, pause_s: float) -> None:
        """Serve requests of 5 ms one at a time, the first after a pause of `pause_s`."""
        free_at = 0.0
        for number in range(count):
            intended = number * 0.01
            free_at = max(free_at, intended) + 0.005 + (0.0 if number else pause_s)
            self.latencies.add("booking", "depot", "answered", intended, free_at)


def is_close(value: float, wanted: float) -> bool:
    return abs(value - wanted) <= TOLERANCE * wanted


def of_classes(arrivals: list[Arrival], names: set[str]) -> list[Arrival]:
    return [arrival for arrival in arrivals if arrival.request_class in names]


def attempt(
    number: int, start_progress: float, progress: float, checkpoint_progress: float, outcome: Any
) -> Any:
    """Return a worker's record of one attempt of a task of 10 s on 2 cores."""
    return {
        "task": "t",
        "attempt": number,
        "run_time_s": 10.0,
        "cpu_milli": 2000,
        "resumed_from": f"1@{start_progress}" if start_progress else "",
        "checkpoint": f"2@{checkpoint_progress}" if checkpoint_progress else "",
        "progress": progress,
        "outcome": outcome,
    }


LAST = attempt(2, 0.4, 1.0, 0.4, "finished")
ATTEMPTS = {
    "one finished attempt": [attempt(1, 0.0, 1.0, 0.0, "finished")],
    "an eviction at its checkpoint": [LAST, attempt(1, 0.0, 0.4, 0.4, "evicted")],
    "an eviction past a checkpoint": [attempt(1, 0.0, 0.5, 0.4, "evicted"), LAST],
    "an eviction not resumed yet": [attempt(1, 0.0, 0.5, 0.4, "evicted")],
    "a lost host": [attempt(1, 0.0, 0.7, 0.4, "lease-expired"), LAST],
    "a running attempt": [attempt(1, 0.0, 0.5, 0.0, None)],
}


@when("the load tool plans {rate:d} requests/s for 60 s from seed {seed:d}")
def _(context: Any, rate: int, seed: int) -> None:
    plan = LoadPlan(seed, 60.0, rate)
    context.load = LoadSubject(plan, plan, replace(plan, seed=seed + 1))


@then("the same load seed gives the same arrivals and another seed does not")
def _(context: Any) -> None:
    first, same, other = context.load.arrivals
    assert first == same != other
    assert first == sorted(first, key=lambda arrival: arrival.at_s)


@then("the load has about {rate:d} arrivals/s in the shares of the classes")
def _(context: Any, rate: int) -> None:
    assert is_close(context.load.rate(0, 60), rate)
    counts = Counter(arrival.request_class for arrival in context.load.arrivals[0])
    for cls in SUVA.classes:
        assert is_close(counts[cls.name] / 60, rate * cls.share), counts


@then("only load arrivals that are not idempotent have a key, and no two share one")
def _(context: Any) -> None:
    keyed = {cls.name for cls in SUVA.classes if not cls.idempotent}
    arrivals = context.load.arrivals[0]
    keys = [arrival.key for arrival in arrivals if arrival.key]
    assert len(set(keys)) == len(keys) == len(of_classes(arrivals, keyed))


@when("the load tool plans 100 requests/s for 60 s with a burst of 3 from 20 to 40 s")
def _(context: Any) -> None:
    context.load = LoadSubject(LoadPlan(3, 60.0, 100.0, (Burst(20.0, 40.0, 3.0),)))


@then("about 100, 300 and 100 load arrivals/s come in the three spans")
def _(context: Any) -> None:
    for start, wanted in ((0, 100), (20, 300), (40, 100)):
        assert is_close(context.load.rate(start, start + 20), wanted)


@when("the load tool plans a shape again with another share of one class")
def _(context: Any) -> None:
    context.load = LoadSubject(LoadPlan(4, 20.0, 100.0))
    first, *others = SUVA.classes
    shape = replace(SUVA, classes=(replace(first, share=0.9), *others))
    context.load.arrivals.append(request_arrivals(shape, context.load.plans[0]))


@then("the load arrivals of the other classes are the same")
def _(context: Any) -> None:
    names = {cls.name for cls in SUVA.classes[1:]}
    before, after = context.load.arrivals
    assert of_classes(before, names) == of_classes(after, names)
    assert len(before) < len(after)


@when("the load tool plans two phases from one seed")
def _(context: Any) -> None:
    plan = LoadPlan(5, 10.0, 100.0, label="wave")
    context.load = LoadSubject(plan, replace(plan, label="change"))


@then("the two phases have no load key in common")
def _(context: Any) -> None:
    keys = [{a.key for a in arrivals if a.key} for arrivals in context.load.arrivals]
    assert keys[0] and not keys[0] & keys[1]


@when(
    "a load of {count:d} requests every 10 ms is served one at a time with a pause of {pause:d} ms"
)
def _(context: Any, count: int, pause: int) -> None:
    context.load = LoadSubject()
    context.load.serve(count, pause / 1000)


@then("the load p99 is within {low:g} to {high:g} ms")
def _(context: Any, low: float, high: float) -> None:
    p99 = context.load.latencies.rows()[0]["p99_ms"]
    assert low <= p99 <= high, p99


@then("the load p50 includes a wait of at least {waited:g} ms")
def _(context: Any, waited: float) -> None:
    p50 = context.load.latencies.rows()[0]["p50_ms"]
    assert p50 >= waited, p50


@when("the load tool counts one request of each outcome")
def _(context: Any) -> None:
    context.load = LoadSubject()
    for outcome in ("answered", "not-run", "unknown", "error"):
        context.load.latencies.add("intake", "depot", outcome, 1.0, 1.5)


@then("one load latency and four outcomes are counted")
def _(context: Any) -> None:
    latencies = context.load.latencies
    assert [row["count"] for row in latencies.rows()] == [1, 1, 1]
    assert sorted(latencies.total()) == ["answered", "error", "not-run", "unknown"]


@when("the load tool counts the batch work of {attempts}")
def _(context: Any, attempts: str) -> None:
    context.load = batch_work(ATTEMPTS[attempts])


@then("the load work is {done:g} done, {useful:g} useful, {evicted:g} lost by {number:d} evictions")
def _(context: Any, done: float, useful: float, evicted: float, number: int) -> None:
    batch = context.load
    found = (batch.done, batch.useful, batch.wasted_by_eviction)
    assert [round(value, 6) for value in found] == [done, useful, evicted], batch
    assert round(batch.done - batch.useful - batch.wasted, 6) == 0
    assert batch.evictions == number


@when(
    "a data centre with share {share:f} leaves for 10 of 30 s "
    "and {out:d} and {after:d} of 100 core s are done"
)
def _(context: Any, share: float, out: int, after: int) -> None:
    context.load = change_cost(100.0, out, after, (10.0, 10.0, 10.0), share)


@then("the load change cost is {cost:f}")
def _(context: Any, cost: float) -> None:
    assert abs(context.load - cost) < 0.005, context.load


START_CODE = """
import sys
from apricotpath_cli.cmdline import build_parser
args = build_parser().parse_args(["load", "compare", "--shape", "small"])
assert args.shape == "small"
print([name for name in sys.modules if name.startswith("apricotpath_bench")])
"""


@when("a fresh interpreter builds the parser with the load commands")
def _(context: Any) -> None:
    command = [sys.executable, "-c", START_CODE]
    context.load = subprocess.run(command, capture_output=True, text=True, check=True, timeout=60)


@then("no module of the bench package is loaded in the fresh interpreter")
def _(context: Any) -> None:
    assert context.load.stdout.strip() == "[]", context.load.stdout
