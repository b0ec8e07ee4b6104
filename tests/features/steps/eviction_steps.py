"""Steps for eviction.feature."""

from typing import Any

from behave import given, then, when

from apricotpath.eviction import EvictionLimits, Victim, choose_victims
from apricotpath.model import Priority, Size


def cores(number: float) -> Size:
    return Size(int(number * 1000), 0, 0)


class EvictionSubject:
    """Eviction candidates and the tasks chosen."""

    def __init__(self) -> None:
        self.victims: list[Victim] = []
        self.free: dict[str, Size] = {}
        self.limits = EvictionLimits()
        self.chosen: list[str] = []

    def add(self, name: str, host: str, size: float, priority: str, lost: float) -> None:
        progress = lost / size / 1000.0
        self.victims.append(
            Victim(name, "j", host, cores(size), Priority(priority), progress, 0.0, 1000.0, 0)
        )

    def choose(self, need: float, now: float) -> None:
        found = choose_victims(cores(need), self.victims, self.free, self.limits, now)
        for victim in found:
            self.limits.record(victim.job, now)
            self.victims.remove(victim)
        self.chosen += [victim.task for victim in found]


@given("eviction candidates {text}")
def _(context: Any, text: str) -> None:
    subject = context.eviction = EvictionSubject()
    for item in text.split():
        name, host, size, priority, lost = item.split(":")
        subject.add(name, host, float(size), priority, float(lost))


@given("free cores per host for the eviction {text}")
def _(context: Any, text: str) -> None:
    pairs = (item.split("=") for item in text.split())
    context.eviction.free = {host: cores(float(number)) for host, number in pairs}


@when("an eviction must free {need:d} cores")
def _(context: Any, need: int) -> None:
    context.eviction.choose(need, 0.0)


@then("the evicted tasks are {victims}")
def _(context: Any, victims: str) -> None:
    expected = [] if victims == "none" else victims.split(",")
    assert sorted(context.eviction.chosen) == expected, context.eviction.chosen


@given("{count:d} eviction candidates of one job")
def _(context: Any, count: int) -> None:
    subject = context.eviction = EvictionSubject()
    subject.free = {"h": cores(0)}
    for number in range(count):
        subject.add(f"t{number}", "h", 1, "low", number)


@when("the eviction asks for one core {count:d} times within a minute")
def _(context: Any, count: int) -> None:
    for number in range(count):
        context.eviction.choose(1, number)


@then("the eviction chose {count:d} tasks")
def _(context: Any, count: int) -> None:
    assert len(context.eviction.chosen) == count, context.eviction.chosen


@then("the eviction chooses again a minute later")
def _(context: Any) -> None:
    context.eviction.choose(1, 90.0)
    assert len(context.eviction.chosen) == 21
