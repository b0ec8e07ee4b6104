"""Steps for workerhealth.feature."""

from itertools import pairwise
from typing import Any

from behave import given, then, when

from apricotpath.workerhealth import WorkerHealth


class WorkerhealthSubject:
    """Health of one worker `w` and the times of its probes in seconds."""

    def __init__(self, results: str) -> None:
        self.health = WorkerHealth()
        for result in results.split():
            self.health.record("w", result[0], result[1] == "+", 0.0)
        self.probes: list[float] = []

    def probe(self, until: float) -> None:
        for now in range(int(until)):
            if self.health.usable("w", now):
                self.probes.append(now)
                self.health.placed("w", now)
                assert not self.health.usable("w", now), "a second probe was allowed"
                self.health.record("w", "c", False, now)


@given("a worker whose results are {results}")
def _(context: Any, results: str) -> None:
    context.health = WorkerhealthSubject(results)


@then("the worker is set aside: {aside}")
def _(context: Any, aside: str) -> None:
    assert context.health.health.set_aside("w") is (aside == "yes")


@when("the worker fails every probe for {until:d} s")
def _(context: Any, until: int) -> None:
    context.health.probe(until)


@then("the worker was probed after pauses of 30, 60, 120, 240, 480 and 600 s")
def _(context: Any) -> None:
    times = [0, *context.health.probes]
    pauses = [b - a for a, b in pairwise(times)]
    assert pauses == [30, 60, 120, 240, 480, 600], pauses


@when("the worker completes a probe")
def _(context: Any) -> None:
    health = context.health.health
    assert not health.usable("w", 29.0) and health.usable("w", 30.0)
    health.placed("w", 30.0)
    health.record("w", "c", True, 31.0)


@then("the worker gets several tasks at once again")
def _(context: Any) -> None:
    health = context.health.health
    health.placed("w", 31.0)
    assert health.usable("w", 31.0) and not health.set_aside("w")
