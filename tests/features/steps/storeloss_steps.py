"""Steps for storeloss.feature, beside those for worlds of replacements."""

from collections.abc import Callable
from typing import Any

import anyio
from authority_steps import RandomLosses, leader_of
from behave import then, when
from replacements_steps import CORE, SAMPLE_S, Replacements, scenario

from apricotpath.boottime import boot_s
from apricotpath.entryrecords import LeaderRecord
from apricotpath.ids import Epoch
from apricotpath.messages import Message
from apricotpath.workload import Step
from support.jobworld import PREFIX, EntryNode, MemoryLink

# A term that has lasted so long may be handed over.
SETTLED_S = 5.0
# How long the former scheduler stays without the store after another one has been elected.
AWAY_S = 6.0
# How much later a handover arrives, or the writes of a former scheduler are carried out.
LATE_S = 3.0
LATE_WRITE_S = 1.2
WAIT_LIMIT_S = 10.0
QUESTION, ANSWER, HANDOVER = "StoreQuestion", "StoreReached", "TermHandover"


class StoreLoss:
    """A scheduler that loses the store, and what was seen afterwards."""

    def __init__(self, run: Replacements) -> None:
        self.run = run
        self.former = leader_of(run)
        self.term = self.former.jobs.election.term
        assert self.term is not None
        self.epoch = self.term.epoch
        self.at = boot_s()
        self.ended_at = float("inf")
        self.taken_over_s = self.begun_s = float("inf")

    @property
    def faults(self) -> Any:
        """Faults of the former scheduler's store."""
        return self.former.store.faults

    async def wait_for_successor(self) -> None:
        """Wait until a later term has begun and its scheduler has loaded its tables."""
        with anyio.fail_after(WAIT_LIMIT_S):
            while self.newest_epoch() <= self.epoch:
                await anyio.sleep(SAMPLE_S / 5)
        self.taken_over_s = boot_s() - self.at

    def newest_epoch(self) -> Epoch:
        """Return the latest epoch of the schedulers that have loaded their tables."""
        schedulers = [node.jobs.scheduler for node in self.run.world.entries.values()]
        loaded = [item.term.epoch for item in schedulers if item and item.loaded.is_set()]
        return max(loaded, default=Epoch(0))

    def elections(self) -> int:
        """Return how many terms have begun since the loss, as the store shows it."""
        item = self.run.world.shared.items[f"{PREFIX}ctl/epoch"]
        return LeaderRecord.parse(item.value).epoch - self.epoch

    def on_send(
        self, kind: str, delays: tuple[float, ...], then: Callable[[EntryNode], None] | None = None
    ) -> None:
        """Deliver messages of a kind with these delays, and call `then` with their receiver."""

        def deliver(link: MemoryLink, body: Message) -> tuple[float, ...]:
            if type(body).__name__ != kind:
                return (0.0,)
            if then is not None:
                then(self.run.world.entries[str(link.far.hello.process_id)])
            return delays

        self.run.world.deliveries = deliver

    def lose_questions(self) -> None:
        self.on_send(QUESTION, ())

    def lose_answers(self) -> None:
        self.on_send(ANSWER, ())

    def lose_handover(self) -> None:
        self.on_send(HANDOVER, ())

    def delay_handover(self) -> None:
        """Deliver the handover after a third entry has been elected."""

        async def lose_store_meanwhile(node: EntryNode) -> None:
            node.store.faults.silent = True
            await anyio.sleep(LATE_S - 1.0)
            node.store.faults.silent = False

        def begin(node: EntryNode) -> None:
            self.run.world.group.start_soon(lose_store_meanwhile, node)

        self.on_send(HANDOVER, (LATE_S,), begin)

    def repeat_handover(self) -> None:
        self.on_send(HANDOVER, (0.0, 0.01))

    def silence_successor(self) -> None:
        def silence(node: EntryNode) -> None:
            node.store.faults.silent = True

        self.on_send(HANDOVER, (0.0,), silence)

    def lose_election_answer(self) -> None:
        def lose(node: EntryNode) -> None:
            node.store.faults.lost_answers = 1

        self.on_send(HANDOVER, (0.0,), lose)

    def delay_election(self) -> None:
        def delay(node: EntryNode) -> None:
            node.store.faults.late_writes, node.store.faults.late_s = 1, LATE_WRITE_S

        self.on_send(HANDOVER, (0.0,), delay)

    def kill_successor(self) -> None:
        def kill(node: EntryNode) -> None:
            self.run.world.group.start_soon(self.run.world.kill, node)

        self.on_send(HANDOVER, (0.0,), kill)

    def write_late(self) -> None:
        self.faults.late_while_silent, self.faults.late_s = True, LATE_WRITE_S


LOSSES = {
    "its questions to other entries are lost": StoreLoss.lose_questions,
    "answers of the other entries are lost": StoreLoss.lose_answers,
    "its handover is lost": StoreLoss.lose_handover,
    "its handover arrives after another election": StoreLoss.delay_handover,
    "its handover arrives twice": StoreLoss.repeat_handover,
    "the entry that it hands over to loses the store just then": StoreLoss.silence_successor,
    "the answer to the successor's election is lost": StoreLoss.lose_election_answer,
    "the successor's election is carried out late": StoreLoss.delay_election,
    "the entry that it hands over to dies just then": StoreLoss.kill_successor,
    "its own late writes are carried out after the handover": StoreLoss.write_late,
}


async def settled(context: Any, run: Replacements) -> StoreLoss:
    """Return the loss of a scheduler that has served for a while, and let it begin."""
    await anyio.sleep(SETTLED_S)
    loss: StoreLoss = StoreLoss(run)
    context.storeloss = loss
    return loss


@when("storeloss's scheduler finds that its store calls {fault}")
def lose_store(context: Any, fault: str) -> None:
    silent, _, extra = fault.partition(", and ")

    async def act(run: Replacements) -> None:
        loss = await settled(context, run)
        loss.faults.silent = silent == "get no answer"
        loss.faults.down = not loss.faults.silent
        if extra:
            assert extra == "the host with most tasks is lost"
            await run.world.kill(run.world.agents[run.busiest])
            run.world.agents[run.busiest].model.shut_down()
        await loss.wait_for_successor()
        await anyio.sleep(AWAY_S)
        loss.faults.silent = loss.faults.down = False

    scenario(context).background.append(act)


@when(
    "a job of storeloss is submitted at an entry that reaches the store {delay_s:g} seconds later"
)
def submit(context: Any, delay_s: float) -> None:
    async def act(run: Replacements) -> None:
        await anyio.sleep(SETTLED_S + delay_s)
        loss = context.storeloss
        names = [name for name, node in run.world.entries.items() if node is not loss.former]
        submitted_at = boot_s()
        job = await run.world.submit(Step(1, CORE), at=names[0])
        with anyio.fail_after(WAIT_LIMIT_S):
            while not any(task.startswith(job) for task in run.running_tasks()):
                await anyio.sleep(SAMPLE_S / 5)
        loss.begun_s = boot_s() - submitted_at

    scenario(context).background.append(act)


@when("storeloss's scheduler loses the store, and {case}")
def lose_store_with(context: Any, case: str) -> None:
    async def act(run: Replacements) -> None:
        loss = await settled(context, run)
        LOSSES[case](loss)
        loss.faults.silent = True
        await loss.wait_for_successor()
        await anyio.sleep(AWAY_S)
        for node in run.world.entries.values():
            node.store.faults.silent = False

    scenario(context).background.append(act)


@when("storeloss's scheduler reaches the store again just after its handover was lost")
def reach_again(context: Any) -> None:
    async def act(run: Replacements) -> None:
        loss = await settled(context, run)

        def restore(_node: EntryNode) -> None:
            loss.faults.silent = False
            loss.ended_at = boot_s()

        loss.on_send(HANDOVER, (), restore)
        loss.faults.silent = True
        await loss.wait_for_successor()

    scenario(context).background.append(act)


@when("all entries of storeloss lose the store for {seconds:d} seconds at the same time")
def lose_everywhere(context: Any, seconds: int) -> None:
    async def act(run: Replacements) -> None:
        await settled(context, run)
        nodes = list(run.world.entries.values())
        for node in nodes:
            node.store.faults.silent = True
        await anyio.sleep(seconds)
        for node in nodes:
            node.store.faults.silent = False

    scenario(context).background.append(act)


@when(
    "each scheduler of storeloss loses the store for {away_s:d} second, "
    "again and again for {seconds:d} seconds"
)
def lose_again_and_again(context: Any, away_s: int, seconds: int) -> None:
    async def act(run: Replacements) -> None:
        loss = await settled(context, run)
        while boot_s() - loss.at < seconds:
            leader = run.world.leader()
            if leader is not None:
                leader.store.faults.silent = True
                await anyio.sleep(away_s)
                leader.store.faults.silent = False
            await anyio.sleep(SAMPLE_S)

    scenario(context).background.append(act)


@when("one call in {count:d} of storeloss's scheduler to the store fails for {seconds:d} seconds")
def fail_some(context: Any, count: int, seconds: int) -> None:
    async def act(run: Replacements) -> None:
        loss = await settled(context, run)
        loss.faults.fail_every = count
        await anyio.sleep(seconds)
        loss.faults.fail_every = 0

    scenario(context).background.append(act)


class RandomStoreLosses(RandomLosses):
    """Losses of the store and of messages among other events around elections."""

    async def happen(self, count: int) -> None:
        """Begin an event at a time, and wait until all are over."""
        kinds = [
            *4 * [self.lose_store],
            *2 * [self.disturb_handovers],
            self.lose_store_soon_after_handover,
            self.hear_one_entry,
            self.pause,
            self.kill_entry,
            self.restart_entry,
            self.restart_agent,
            self.write_late,
            self.take_keys_away,
            self.silence_store,
        ]
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(self.rng.choice(kinds))
                await anyio.sleep(self.rng.uniform(0.1, 2.5))

    async def lose_store(self) -> None:
        faults = self._any_entry().store.faults
        faults.late_while_silent = self.rng.random() < 0.5
        faults.late_s = self.rng.uniform(0.2, 4.0)
        faults.silent = True
        await anyio.sleep(self.rng.uniform(0.4, 5.0))
        faults.silent = faults.late_while_silent = False

    async def disturb_handovers(self) -> None:
        kinds = self.rng.sample([QUESTION, ANSWER, HANDOVER], 2)
        delays = self.rng.choice([(), (self.rng.uniform(0.0, 5.0),), (0.0, 0.02, 2.0)])
        self.run.world.deliveries = lambda _link, body: (
            delays if type(body).__name__ in kinds else (0.0,)
        )
        await anyio.sleep(self.rng.uniform(2.0, 6.0))
        self.run.world.deliveries = lambda *_: (0.0,)

    async def lose_store_soon_after_handover(self) -> None:
        """Let the entry that gets the next handover lose the store at that time."""
        receivers: list[EntryNode] = []

        def deliver(link: MemoryLink, body: Message) -> tuple[float, ...]:
            if type(body).__name__ == HANDOVER and not receivers:
                receivers.append(self.run.world.entries[str(link.far.hello.process_id)])
                receivers[0].store.faults.silent = True
            return (0.0,)

        self.run.world.deliveries = deliver
        await anyio.sleep(self.rng.uniform(2.0, 8.0))
        for node in receivers:
            node.store.faults.silent = False


@when("{count:d} random events around storeloss follow one another with seed {seed:d}")
def random_store_losses(context: Any, count: int, seed: int) -> None:
    async def act(run: Replacements) -> None:
        await RandomStoreLosses(run, seed).happen(count)

    scenario(context).background.append(act)


def finished(context: Any) -> StoreLoss:
    """Return the loss of the scenario once its world has run."""
    scenario(context).run()
    found: StoreLoss = context.storeloss
    return found


@then("another entry of storeloss schedules within {limit_s:g} seconds")
@then("some entry of storeloss schedules within {limit_s:g} seconds")
def taken_over(context: Any, limit_s: float) -> None:
    assert finished(context).taken_over_s <= limit_s, finished(context).taken_over_s


@then("the job of storeloss has begun within {limit_s:g} seconds of its submission")
def has_begun(context: Any, limit_s: float) -> None:
    assert finished(context).begun_s <= limit_s, finished(context).begun_s


@then("the scheduler of storeloss changed {count:d} time")
@then("the scheduler of storeloss changed {count:d} times")
def changed(context: Any, count: int) -> None:
    assert finished(context).elections() == count, finished(context).elections()


@then("the former scheduler of storeloss never acted again in its term")
def never_acted(context: Any) -> None:
    loss = finished(context)
    last_grant = scenario(context).world.last_grants.get(loss.epoch, 0.0)
    assert loss.ended_at < float("inf")
    assert last_grant <= loss.ended_at, (last_grant, loss.ended_at)


def handovers(context: Any) -> int:
    """Return how many handovers schedulers have sent."""
    finished(context)
    return scenario(context).world.messages[HANDOVER]


@then("no scheduler of storeloss has handed over")
def none_handed_over(context: Any) -> None:
    assert handovers(context) == 0, handovers(context)


@then("schedulers of storeloss have handed over {count:d} times")
def some_handed_over(context: Any, count: int) -> None:
    assert handovers(context) == count, handovers(context)


@then("schedulers of storeloss have handed over at most {most:d} times")
def few_handovers(context: Any, most: int) -> None:
    assert 0 < handovers(context) <= most, handovers(context)
