"""Steps for hostslopes.feature."""

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

from behave import given, then, when

from apricotpath.boottime import set_clock
from apricotpath.election import Term
from apricotpath.fleet import FleetSettings
from apricotpath.ids import DataCentreId, Epoch, HostId, RackId, ServiceId
from apricotpath.jobtable import JobTable
from apricotpath.messages import HostAttach, HostRuns, HostSilent, Message
from apricotpath.model import Size
from apricotpath.workload import Step
from apricotpathd.hosttracker import HostTracker

EPOCH = Epoch(3)
CORE = Step(1, Size(1000, 100))


class SilentLink:
    """A link that takes all messages."""

    peer_id = "agent"

    def send_nowait(self, body: Message, reply_to: int = 0) -> None:
        pass


class Fleet:
    """A tracker with attached hosts, each over a link of its own."""

    def __init__(self, hosts: int) -> None:
        term = Term(EPOCH, "epoch", 1)
        self.tracker = HostTracker(term, JobTable(), FleetSettings(), lambda: 0.0, lambda: None)
        self.links = [SilentLink() for _ in range(hosts)]
        self.fences = [
            self.tracker.attach(link, attach_message(number)).fence
            for number, link in enumerate(self.links)
        ]

    def report(self, number: int) -> None:
        message = HostRuns(self.fences[number], 1, True, False, 0, 100.0, (), ())
        self.tracker.receive_report(self.links[number], message)

    def silence(self, number: int) -> None:
        self.tracker.receive_silence(self.links[number], HostSilent(self.fences[number]))

    def close(self, number: int) -> None:
        self.tracker.link_closed(self.links[number])


def attach_message(number: int) -> HostAttach:
    return HostAttach(
        HostId(f"host{number:04d}"),
        f"instance{number}",
        1,
        ServiceId("bakery"),
        DataCentreId("z1"),
        RackId("r1"),
        (),
        Size(16_000, 64_000),
        EPOCH,
    )


EVENTS: dict[str, Callable[[Fleet, int], None]] = {
    "a report of an idle host": Fleet.report,
    "a message that an executor is silent": Fleet.silence,
    "the end of a host's link": Fleet.close,
}


def count_instructions(action: Callable[[], None]) -> int:
    """Return how many instructions of Python's virtual machine an action takes."""
    count = 0

    def trace(frame: FrameType, event: str, _arg: Any) -> Any:
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    sys.settrace(trace)
    try:
        action()
    finally:
        sys.settrace(None)
    return count


@given("hostslopes trackers of {few:d} and of {many:d} attached hosts")
def fleets(context: Any, few: int, many: int) -> None:
    set_clock(lambda: 1.0)
    context.add_cleanup(set_clock, None)
    context.fleets = [Fleet(few), Fleet(many)]


@when("{event} is counted at both hostslopes trackers")
def count_event(context: Any, event: str) -> None:
    # The host that attached last was found last.
    context.instructions = [
        count_instructions(lambda fleet=fleet: EVENTS[event](fleet, len(fleet.links) - 1))
        for fleet in context.fleets
    ]


@then("it took at most {factor:g} times as many instructions at the larger hostslopes tracker")
def same_cost(context: Any, factor: float) -> None:
    few, many = context.instructions
    assert many <= factor * few, context.instructions
