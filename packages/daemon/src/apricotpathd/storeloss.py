"""Hands the leadership to an entry that reaches the store when this one has lost it."""

import logging
from collections.abc import Sequence
from dataclasses import dataclass

import anyio

from apricotpath.boottime import boot_s
from apricotpath.election import Election
from apricotpath.entryrecords import shortest_holds
from apricotpath.errors import LinkError, PeerError, StoreError, StoreLimited
from apricotpath.ids import ProcessId
from apricotpath.leadersupport import host_holds
from apricotpath.link import Link
from apricotpath.messages import Failure, StoreQuestion, StoreReached, TermHandover
from apricotpath.model import Role
from apricotpath.term import Term

log = logging.getLogger(__name__)

# Interval at which a leader checks when the store answered last.
CHECK_S = 0.1
# The store counts as lost after this time without an answer; longer than the interval at which a
# leader renews its lease and reads the epoch.
LOST_S = 0.5
# Time limit of a read that shows whether the store answers, and of a question to another entry.
PROBE_S = 0.1
# Pause between attempts to hand over.
ATTEMPT_INTERVAL_S = 0.3
# No term is handed over earlier, so that a store that comes and goes does not move the leadership
# all the time.
MIN_TERM_S = 4.0


@dataclass(frozen=True, slots=True)
class Question:
    """A StoreQuestion that is not answered yet, with its number on the link."""

    link: Link
    number: int


class StoreLoss:
    """Watches whether the store answers a leader, and answers other leaders that ask for it.

    A leader hands over only if the store answers another entry and not itself. It ends its term
    for good before it sends anything, so that it does not matter what becomes of the message.
    """

    def __init__(self, election: Election, links: Sequence[Link]) -> None:
        self._election, self._links = election, links
        self._questions: list[Question] = []
        self._asked = anyio.Event()

    async def run(self) -> None:
        """Watch the store and answer questions until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch)
            group.start_soon(self._answer_questions)

    # At the leader.

    async def _watch(self) -> None:
        while True:
            await anyio.sleep(CHECK_S)
            term, now = self._election.term, boot_s()
            if term is None or now - term.elected_at < MIN_TERM_S:
                continue
            if now - self._election.answered_at >= LOST_S:
                await self._hand_over_if_lost(term)
                await anyio.sleep(ATTEMPT_INTERVAL_S)

    async def _hand_over_if_lost(self, term: Term) -> None:
        """Hand a term over if the store answers another entry, and then still not this one."""
        reaching: list[Link] = []
        async with anyio.create_task_group() as group:
            for link in self._links:
                if link.peer is not None and link.peer.role is Role.ENTRY:
                    group.start_soon(self._ask, link, term, reaching)
            await self._is_lost()
        if not reaching or not await self._is_lost() or self._election.term is not term:
            return
        cores = self._election.registry.cores()
        successor = max(reaching, key=lambda link: cores.get(ProcessId(link.peer_id), 0.0))
        await self._hand_over(term, successor)

    async def _ask(self, link: Link, term: Term, reaching: list[Link]) -> None:
        """Ask another entry whether the store answers it; add its link if so."""
        try:
            reply = await link.call(StoreQuestion(term.epoch), PROBE_S)
        except (LinkError, PeerError) as exc:
            log.info("no entry to hand over to: %s", exc, extra={"entry": link.peer_id})
            return
        if isinstance(reply, StoreReached) and reply.epoch_revision == term.epoch_revision:
            reaching.append(link)

    async def _is_lost(self) -> bool:
        """Try the store for PROBE_S; return whether it has not answered."""
        ends_at = boot_s() + PROBE_S
        try:
            with anyio.move_on_after(PROBE_S):
                await self._election.read_epoch_revision()
                self._election.answered_at = boot_s()
        except StoreLimited:
            self._election.answered_at = boot_s()
        except StoreError as exc:
            log.info("store does not answer: %s", exc)
        await anyio.sleep(max(0.0, ends_at - boot_s()))
        return boot_s() - self._election.answered_at >= LOST_S

    async def _hand_over(self, term: Term, successor: Link) -> None:
        """End the term, then tell the successor."""
        silent_s = round(boot_s() - self._election.answered_at, 3)
        await self._election.give_up(term)
        handover = TermHandover(
            term.epoch,
            term.epoch_revision,
            term.predecessor_ended.is_set(),
            host_holds(shortest_holds(term.holds)),
        )
        extra = {"epoch": term.epoch, "to": successor.peer_id, "silent_s": silent_s}
        log.warning("store lost by this entry; leadership handed over", extra=extra)
        try:
            successor.send_nowait(handover)
        except LinkError as exc:
            log.info("handover not sent: %s", exc, extra=extra)

    # At other entries.

    def receive_question(self, link: Link, number: int) -> None:
        """Answer a StoreQuestion soon, in another task than that of the link."""
        self._questions.append(Question(link, number))
        self._asked.set()

    async def _answer_questions(self) -> None:
        while True:
            await self._asked.wait()
            self._asked = anyio.Event()
            questions, self._questions = self._questions, []
            answer = await self._answer()
            for question in questions:
                try:
                    question.link.send_nowait(answer, question.number)
                except LinkError as exc:
                    log.info("answer about the store not sent: %s", exc)

    async def _answer(self) -> StoreReached | Failure:
        if not self._election.can_take_over():
            return Failure("cannot-lead", "this entry cannot lead now")
        try:
            with anyio.fail_after(PROBE_S):
                return StoreReached(await self._election.read_epoch_revision())
        except (StoreError, TimeoutError) as exc:
            log.info("store does not answer: %s", exc)
            return Failure("store-away", "the store does not answer this entry")

    def receive_handover(self, link: Link, handover: TermHandover) -> None:
        """Try to lead in place of the sender."""
        if link.peer is not None:
            self._election.take_over(handover, link.peer)
