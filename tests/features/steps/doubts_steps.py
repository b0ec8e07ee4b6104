"""Steps for doubts.feature, beside those for holds and worlds of replacements."""

from typing import Any

import anyio
from behave import given, then, when
from hostholds_steps import END_S, HOST, FakeLink, HeldHost

from apricotpath.boottime import boot_s
from apricotpath.messages import HostRuns
from apricotpathd.hostevents import ExecutorName
from apricotpathd.hosttracker import HostTracker
from support.jobworld import run_virtual


class DoubtfulHost(HeldHost):
    """A host with a run of the last term, whose executor answers little or nothing."""

    async def watch(self, event: Any, *args: Any) -> None:
        """Let an event happen, and note when the run is given up."""
        started, tracker = boot_s(), self.make_tracker()
        async with anyio.create_task_group() as group:
            group.start_soon(event, tracker, *args)
            while boot_s() < started + END_S and not tracker.lost_runs:
                tracker.expire_leases(boot_s())
                await anyio.sleep(0.05)
            self.given_up_s = boot_s() - started

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


@when("the doubts host gets an acknowledgement of endings {after_s:g} seconds after its report")
def acknowledge(context: Any, after_s: float) -> None:
    case: DoubtfulHost = context.case
    run_virtual(lambda: case.watch(case.acknowledge_late, after_s))


@then(
    "the doubts host is given up between {least:g} and {most:g} seconds after the start of the term"
)
def given_up(context: Any, least: float, most: float) -> None:
    assert least <= context.case.given_up_s <= most, context.case.given_up_s
