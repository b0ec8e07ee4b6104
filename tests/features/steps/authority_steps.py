"""Steps for authority.feature, beside those for worlds of replacements."""

import random
from collections.abc import Awaitable, Callable
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
# Limit of a wait for something that happens at once or not at all.
WAIT_LIMIT_S = 10.0


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
        with anyio.fail_after(WAIT_LIMIT_S):
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


class RandomLosses:
    """Events around elections that overlap, each of a random kind, in random order."""

    def __init__(self, run: Replacements, seed: int) -> None:
        self.run, self.rng = run, random.Random(seed)

    async def happen(self, count: int) -> None:
        """Begin an event at a time, and wait until all are over."""
        kinds = self.kinds()
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(self.rng.choice(kinds))
                await anyio.sleep(self.rng.uniform(0.1, 2.5))

    def kinds(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the kinds of events, the more frequent ones more than once."""
        return [
            self.take_keys_away,
            self.take_keys_away,
            self.register_late,
            self.write_late,
            self.pause,
            self.hear_one_entry,
            self.restart_agent,
            self.crash_executor,
            self.kill_entry,
            self.restart_entry,
            self.forget_history,
            self.load_slowly,
            self.silence_store,
        ]

    def _any_entry(self) -> EntryNode:
        """Return an entry that is not stopped, most often the scheduler."""
        leader = self.run.world.leader()
        if leader is not None and self.rng.random() < 0.6:
            return leader
        return self.rng.choice(self._live_entries())

    def _live_entries(self) -> list[EntryNode]:
        nodes = list(self.run.world.entries.values())
        return [node for node in nodes if not node.scope.cancel_called] or nodes

    async def _cut(self, node: EntryNode, hosts: list[str], for_s: float) -> None:
        """Cut an entry and some hosts off from the other entries."""
        together = {str(node.process.hello.process_id), *hosts}
        others = set(self.run.world.entries) - together
        pairs = {frozenset({one, other}) for one in together for other in others}
        self.run.world.partitioned_pairs |= pairs
        await anyio.sleep(for_s)
        self.run.world.partitioned_pairs -= pairs

    def _some_hosts(self) -> list[str]:
        return self.rng.sample(list(self.run.world.agents), self.rng.randint(0, 3))

    async def take_keys_away(self) -> None:
        node, for_s = self._any_entry(), self.rng.uniform(2.0, 18.0)
        lease = node.jobs.election._lease
        node.store.faults.silent_watches = self.rng.random() < 0.7
        async with anyio.create_task_group() as group:
            group.start_soon(self._cut, node, self._some_hosts(), for_s)
            await anyio.sleep(self.rng.uniform(0.0, 2.5))
            if lease is not None:
                self.run.world.shared.take_keys_away(lease)
        node.store.faults.silent_watches = False

    async def register_late(self) -> None:
        node = self._any_entry()
        self._make_writes_late(node, 1)
        self.run.world.shared.remove(node.jobs.election.presence_key)
        await anyio.sleep(self.rng.uniform(0.3, 0.9))
        if node in self._live_entries():
            await self._kill(node, self.rng.uniform(0.0, 0.4))

    async def write_late(self) -> None:
        self._make_writes_late(self._any_entry(), self.rng.randint(1, 4))

    def _make_writes_late(self, node: EntryNode, count: int) -> None:
        faults = node.store.faults
        faults.late_writes_outlive, faults.late_writes = True, count
        faults.late_s = self.rng.uniform(0.5, 6.0)

    async def pause(self) -> None:
        node, world = self._any_entry(), self.run.world
        name = str(node.process.hello.process_id)
        if self.rng.random() < 0.3:
            name = self.rng.choice(list(world.agents))
        if name in world._paused:
            return
        resume = world.pause(name)
        node.store.faults.silent |= name in world.entries
        await anyio.sleep(self.rng.choice([3.0, 6.0, 12.0]))
        node.store.faults.silent = False
        resume()

    async def hear_one_entry(self) -> None:
        await self._cut(self._any_entry(), self._some_hosts(), self.rng.uniform(3.0, 15.0))

    async def restart_agent(self) -> None:
        name = self.rng.choice(list(self.run.world.agents))
        if not self.run.world.agents[name].scope.cancel_called:
            await self.run.restart_agent(name, self.rng.uniform(0.1, 2.0))

    async def crash_executor(self) -> None:
        self.rng.choice(list(self.run.world.agents.values())).model.crash()

    async def kill_entry(self) -> None:
        await self._kill(self._any_entry(), self.rng.uniform(0.0, 3.0))

    async def _kill(self, node: EntryNode, pause_s: float) -> None:
        if node.jobs.election.draining or node.scope.cancel_called:
            return
        await self.run.world.kill(node)
        await anyio.sleep(pause_s)
        self.run.world.add_entry(str(node.process.hello.process_id))

    async def restart_entry(self) -> None:
        node = self._any_entry()
        if not node.jobs.election.draining and not node.scope.cancel_called:
            name = str(node.process.hello.process_id)
            await self.run.restart_entry(name, self.rng.uniform(0.0, 2.0))

    async def forget_history(self) -> None:
        self.run.world.shared.forget_history()

    async def load_slowly(self) -> None:
        nodes, seconds = self._live_entries(), self.rng.randint(2, 9)
        for node in nodes:
            node.store.faults.page_s = seconds
        await anyio.sleep(self.rng.uniform(1.0, 8.0))
        for node in nodes:
            node.store.faults.page_s = 0

    async def silence_store(self) -> None:
        entries = self._live_entries()
        nodes = entries if self.rng.random() < 0.3 else [self._any_entry()]
        for node in nodes:
            node.store.faults.silent = True
        await anyio.sleep(self.rng.uniform(1.0, 8.0))
        for node in nodes:
            node.store.faults.silent = False


@when("{count:d} random events around authority's elections follow one another with seed {seed:d}")
def random_losses(context: Any, count: int, seed: int) -> None:
    async def act(run: Replacements) -> None:
        await RandomLosses(run, seed).happen(count)

    scenario(context).background.append(act)
