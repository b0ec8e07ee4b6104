"""Steps for authority.feature, beside those for worlds of replacements."""

from typing import Any

import anyio
from behave import then, when
from replacements_steps import SAMPLE_S, Replacements, scenario

from support.jobworld import EntryNode

# How long an entry needs to see the election of another one.
SEEN_S = 0.3
# How long an entry needs to read all keys once the store answers it again.
READ_S = 1.5
# When a late registration is carried out; its store lease lives for 1.5 s after a renewal.
LATE_REGISTRATION_S = 1.0


def leader_of(run: Replacements) -> EntryNode:
    """Return the entry that schedules."""
    leader = run.world.leader()
    assert leader is not None
    return leader


def cut_links(run: Replacements, former: EntryNode) -> None:
    """Cut a scheduler and the busiest host off from the other entries, but not from the store."""
    together = {str(former.process.hello.process_id), run.busiest}
    for name in set(run.world.entries) - together:
        run.world.partitioned_pairs.update(frozenset({name, other}) for other in together)


def take_keys_away(run: Replacements, node: EntryNode) -> None:
    """Remove the keys of an entry, whose store lease goes on."""
    lease = node.jobs.election._lease
    assert lease is not None
    run.world.shared.take_keys_away(lease)


@when("the keys of authority's scheduler are taken away while its lease goes on, {change}")
def lose_keys(context: Any, change: str) -> None:
    async def act(run: Replacements) -> None:
        former = leader_of(run)
        cut_links(run, former)
        former.store.faults.silent_watches = change == "and it hears of no change in the store"
        # A call for changes that is open is answered.
        await anyio.sleep(2.5)
        take_keys_away(run, former)
        await run.wait_for_other_leader(former)

    scenario(context).background.append(act)


@when(
    "authority's scheduler reads a later epoch without a leader key "
    "after the store forgot its history"
)
def read_later_epoch(context: Any) -> None:
    async def act(run: Replacements) -> None:
        world, former = run.world, leader_of(run)
        # Longer than any scheduler acts after it has lost its place.
        await anyio.sleep(world.cfg.authority_s + 1.0)
        term = former.jobs.election.term
        run.cut_off(former)
        successor = await run.wait_for_other_leader(former)
        others = [node for node in world.entries.values() if node is not former]
        third = next(node for node in others if node is not world.entries[successor])
        await anyio.sleep(SEEN_S)
        third.store.faults.silent = True
        await world.stop_entry(successor, 0.0)
        world.shared.forget_history()
        former.store.faults.silent = False
        await anyio.sleep(READ_S)
        context.former_ended = former.jobs.election.term is not term
        former.store.faults.silent = True
        third.store.faults.silent = False
        await run.wait_for_other_leader(former)

    scenario(context).background.append(act)


@then("the former scheduler of authority has ended its term within {limit_s:g} seconds")
def term_ended(context: Any, limit_s: float) -> None:
    assert limit_s == READ_S
    assert context.former_ended


@when(
    "authority's scheduler restarts, is overtaken by its earlier registration and loses its place"
)
def register_late(context: Any) -> None:
    async def act(run: Replacements) -> None:
        world, former = run.world, leader_of(run)
        name = str(former.process.hello.process_id)
        faults = former.store.faults
        faults.late_writes_outlive, faults.late_s = True, LATE_REGISTRATION_S
        faults.late_writes = 1
        world.shared.remove(former.jobs.election.presence_key)
        while faults.late_writes:
            await anyio.sleep(0.001)
        await world.kill(former)
        again = world.add_entry(name)
        await world.wait_until_attached()
        assert world.leader() is again
        incarnation = former.process.incarnation.encode()
        with anyio.fail_after(2):
            while incarnation not in registration(run, again):
                await anyio.sleep(0.001)
        run.cut_off(again)
        take_keys_away(run, again)
        await run.wait_for_other_leader(again)

    scenario(context).background.append(act)


def registration(run: Replacements, node: EntryNode) -> bytes:
    """Return the registration of an entry in the store, or nothing."""
    item = run.world.shared.items.get(node.jobs.election.presence_key)
    return item.value if item is not None else b""


@when(
    "authority's scheduler and a host are cut off, and pages take its successor {seconds:d} seconds"
)
def load_slowly(context: Any, seconds: int) -> None:
    async def act(run: Replacements) -> None:
        former = leader_of(run)
        run.cut_off(former)
        for node in run.world.entries.values():
            node.store.faults.page_s = seconds
        with anyio.fail_after(30):
            while all(
                node is former or not has_loaded(node) for node in run.world.entries.values()
            ):
                await anyio.sleep(SAMPLE_S)

    scenario(context).background.append(act)


def has_loaded(node: EntryNode) -> bool:
    """Tell whether an entry schedules."""
    scheduler = node.jobs.scheduler
    return scheduler is not None and scheduler.loaded.is_set()
