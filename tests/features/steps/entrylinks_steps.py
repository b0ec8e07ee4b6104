"""Steps for entrylinks.feature."""

from collections import Counter
from dataclasses import replace
from typing import Any

from behave import given, then, when

from apricotpath.boottime import boot_s, set_clock
from apricotpath.config import Address
from apricotpath.entryrecords import EntryRecord
from apricotpath.ids import HostId, IncarnationId, ProcessId
from apricotpathd.entrylinks import EntryLinks

NAMES = [ProcessId(f"entry{number}") for number in range(10)]
ENTRIES = {name: EntryRecord(Address(name, 1), 1.0, IncarnationId("")) for name in NAMES}


class StubAgent:
    """The attributes of an agent that EntryLinks reads."""

    def __init__(self) -> None:
        self.leader: ProcessId | None = None
        self.granted_at = float("-inf")
        self.has_executor = True

    def lease_grant_age_s(self) -> float:
        return boot_s() - self.granted_at


class StubDialler:
    """Records the entries to dial."""

    def __init__(self) -> None:
        self.dialled: set[str] = set()

    def set_targets(self, wanted: dict[str, Address]) -> None:
        self.dialled = set(wanted)


class LinksCase:
    """The links of one agent, with a clock that the test case advances."""

    def __init__(self, host: str = "host0") -> None:
        self.now = 100.0
        set_clock(lambda: self.now)
        self.agent, self.dialler = StubAgent(), StubDialler()
        links: Any = EntryLinks
        self.links = links(HostId(host), self.agent, self.dialler)
        self.links.set_entries(ENTRIES)

    def grant(self) -> None:
        self.agent.leader = ProcessId("entry3")
        self.agent.granted_at = self.now
        self.links.refresh()

    def advance_clock(self, seconds: float) -> None:
        self.now += seconds
        self.links.refresh()


@given("an agent of entrylinks that knows 10 entries")
def create_case(context: Any) -> None:
    context.case = LinksCase()
    context.add_cleanup(set_clock, None)


@given("an agent of entrylinks that knows 10 entries and has no executor")
def create_case_without_executor(context: Any) -> None:
    create_case(context)
    context.case.agent.has_executor = False


@when("the scheduler of entrylinks grants")
def grant_by_scheduler(context: Any) -> None:
    context.case.grant()


@when("entrylinks runs {seconds:d} seconds later")
def advance(context: Any, seconds: int) -> None:
    context.case.advance_clock(seconds)


@when("a spare entry of entrylinks names a later scheduler")
def name_new_scheduler(context: Any) -> None:
    case: LinksCase = context.case
    case.agent.granted_at = float("-inf")
    spare = next(iter(case.dialler.dialled - {"entry3"}))
    case.agent.leader = ProcessId("entry5" if spare != "entry5" else "entry6")
    case.links.refresh()


@when("300 agents of entrylinks have a scheduler among 10 entries")
def link_many_agents(context: Any) -> None:
    lose_scheduler_of_many_agents(context, 0)


@when("300 agents of entrylinks lose the scheduler among 10 entries for {seconds:d} second")
def lose_scheduler_of_many_agents(context: Any, seconds: int) -> None:
    context.add_cleanup(set_clock, None)
    context.counts = Counter()
    for number in range(300):
        case = LinksCase(f"host{number}")
        case.grant()
        case.agent.granted_at = case.now - (10 if seconds else 0)
        case.advance_clock(seconds)
        context.counts.update(case.dialler.dialled)


@then("entrylinks dials {count:d} entries")
def check_dialled_count(context: Any, count: int) -> None:
    assert len(context.case.dialler.dialled) == count, context.case.dialler.dialled


@then("entrylinks dials {count:d} entries, the scheduler's among them")
def check_dialled_scheduler(context: Any, count: int) -> None:
    check_dialled_count(context, count)
    assert context.case.agent.leader in context.case.dialler.dialled


@then("no entry of entrylinks but the scheduler's has more than {most:d} links")
def check_spread(context: Any, most: int) -> None:
    counts = {name: count for name, count in context.counts.items() if name != "entry3"}
    assert max(counts.values()) <= most, counts


@when("{count:d} of the entries that entrylinks knows are draining")
def drain_entries(context: Any, count: int) -> None:
    case: LinksCase = context.case
    draining = {name: replace(ENTRIES[name], draining=True) for name in NAMES[:count]}
    case.links.set_entries(ENTRIES | draining)


@then("entrylinks dials {count:d} entries, none of them draining")
def check_dialled_not_draining(context: Any, count: int) -> None:
    check_dialled_count(context, count)
    registered = context.case.links.registered
    assert not any(registered[name].draining for name in context.case.dialler.dialled)
