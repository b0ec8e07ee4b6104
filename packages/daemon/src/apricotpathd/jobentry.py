"""Runs leader election and the job scheduler on an entry."""

import logging
import time
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

import anyio

from apricotpath.codec import Envelope
from apricotpath.config import Address
from apricotpath.election import Election
from apricotpath.errors import LinkError
from apricotpath.fleet import FleetSettings
from apricotpath.ids import Epoch
from apricotpath.jobmetrics import JobMetrics
from apricotpath.leadersupport import supporters_key
from apricotpath.link import Link
from apricotpath.messages import (
    Failure,
    HostAttach,
    HostCapacity,
    HostRuns,
    HostSilent,
    JobAccepted,
    JobCancelling,
    JobStatuses,
    LeaderNotice,
    Message,
    OrderAnswers,
    StoreQuestion,
    Supported,
    SupportRequest,
    TermHandover,
)
from apricotpath.mirror import WatchableStore
from apricotpath.model import Role
from apricotpath.term import ElectionSettings, Term
from apricotpathd.dialler import Dialler
from apricotpathd.jobservice import JobService
from apricotpathd.operatorrules import SchedulerRules
from apricotpathd.process import Process
from apricotpathd.scheduler import Scheduler
from apricotpathd.storeloss import StoreLoss
from apricotpathd.supportrounds import SupportRounds
from apricotpathd.tombstones import TombstoneSweeper

log = logging.getLogger(__name__)

DIAL_INTERVAL_S = 0.3


class JobEntry:
    """Component that runs a scheduler whenever this entry is elected."""

    handles: frozenset[type[Message]] = frozenset(
        {
            HostAttach,
            HostCapacity,
            HostRuns,
            HostSilent,
            OrderAnswers,
            JobAccepted,
            JobCancelling,
            StoreQuestion,
            Supported,
            SupportRequest,
            TermHandover,
        }
    )

    def __init__(
        self,
        process: Process,
        store: WatchableStore,
        cfg: FleetSettings,
        election: ElectionSettings,
        address: Address,
        job_service: JobService,
        rules: Callable[[], SchedulerRules],
        dialler: Dialler,
        metrics: JobMetrics,
        utc: Callable[[], float] = time.time,
    ) -> None:
        self.process, self.store, self.cfg = process, store, cfg
        self.prefix = election.prefix
        self.job_service = job_service
        self.scheduler: Scheduler | None = None
        self._rules, self._utc = rules, utc
        self._dialler = dialler
        self._metrics = metrics
        hello = process.hello
        self.election = Election(
            store,
            replace(election, authority_s=cfg.authority_s),
            hello.process_id,
            hello.incarnation,
            address,
            self._serve_term,
        )
        self._store_loss = StoreLoss(self.election, process.links)
        self._support_rounds: SupportRounds | None = None
        # Each is run with the scheduler as long as a term lasts.
        self.term_tasks: list[Callable[[Scheduler], Coroutine[Any, Any, None]]] = []
        job_service.on_epoch = self._epoch_seen

    def rules_changed(self) -> None:
        """Run a scheduling pass with the new rules."""
        if self.scheduler is not None:
            self.scheduler.wake()

    async def run(self) -> None:
        """Take part in elections until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._dialler.run)
            group.start_soon(self.election.run)
            group.start_soon(self._dial_peers)
            group.start_soon(self._store_loss.run)

    async def _dial_peers(self) -> None:
        """Keep one link to each other entry; of two entries, the one that sorts first dials."""
        own_id = self.process.hello.process_id
        await self.election.mirror.loaded.wait()
        while True:
            # A registration that expires while the store is unavailable does not end a link.
            if self.election.mirror.age_s() < 2 * self.election.cfg.lease_s:
                peers = self.election.registry.addresses()
                self._dialler.set_targets({name: peers[name] for name in peers if name > own_id})
            await anyio.sleep(DIAL_INTERVAL_S)

    def _epoch_seen(self, epoch: Epoch) -> None:
        """End this entry's term if it is outdated, and announce the new leader to linked agents."""
        self.election.step_down_for(epoch)
        for link in list(self.process.links):
            self._announce_leader(link)

    def _announce_leader(self, link: Link) -> None:
        """Announce the leader to an agent, which may have no link to it."""
        leader = self.job_service.leader
        if leader is None or link.peer is None or link.peer.role is not Role.AGENT:
            return
        try:
            link.send_nowait(LeaderNotice(self.job_service.epoch, leader))
        except LinkError as exc:
            log.info("leader notice to %s not sent: %s", link.peer_id, exc)

    async def _serve_term(self, term: Term) -> None:
        scheduler = Scheduler(
            term,
            self.store,
            self.prefix,
            self.cfg,
            self._rules,
            lambda: self.election.last_led_at,
            self._publish,
            self._metrics,
            self._utc,
        )
        self.scheduler = scheduler
        tracker = scheduler.host_tracker
        self._support_rounds = rounds = SupportRounds(
            term,
            self.store,
            supporters_key(self.prefix),
            self.process.links,
            self.election.registry,
            tracker,
        )
        tracker.may_grant = rounds.may_grant
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._announce_term, scheduler)
                group.start_soon(self._ask_for_support, scheduler, rounds)
                group.start_soon(self._sweep_tombstones, scheduler)
                for task in self.term_tasks:
                    group.start_soon(task, scheduler)
                await scheduler.serve()
                group.cancel_scope.cancel()
        finally:
            self.scheduler = self._support_rounds = None
            self.job_service.send_local = None

    @staticmethod
    async def _ask_for_support(scheduler: Scheduler, rounds: SupportRounds) -> None:
        """Ask for support once the tables are loaded, as nothing is granted before."""
        await scheduler.loaded.wait()
        await rounds.run()

    async def _sweep_tombstones(self, scheduler: Scheduler) -> None:
        """Remove old tombstones, once the tables are loaded."""
        await scheduler.loaded.wait()
        await TombstoneSweeper(self.store, self.job_service.keys, self._utc).run()

    async def _announce_term(self, scheduler: Scheduler) -> None:
        """Announce the term to all linked processes once its tables are loaded."""
        await scheduler.loaded.wait()
        self.job_service.send_local = self._handle_job_message
        self.job_service.follow(scheduler.term.epoch, self.process.hello.process_id)
        for link in list(self.process.links):
            self._announce_scheduler(link, scheduler)
        for message in scheduler.all_statuses():
            self.job_service.apply_statuses(message)

    def _announce_scheduler(self, link: Link, scheduler: Scheduler) -> None:
        try:
            link.send_nowait(LeaderNotice(scheduler.term.epoch, self.process.hello.process_id))
            if link.peer is not None and link.peer.role is Role.ENTRY:
                for message in scheduler.all_statuses():
                    link.send_nowait(message)
        except LinkError as exc:
            log.info("leader notice to %s not sent: %s", link.peer_id, exc)

    def _publish(self, message: JobStatuses) -> None:
        self.job_service.apply_statuses(message)
        for link in self.process.links:
            if link.peer is not None and link.peer.role is Role.ENTRY:
                try:
                    link.send_nowait(message)
                except LinkError as exc:
                    # The entry has missed a change; after a reconnect it gets all states.
                    log.info("job states not sent to %s: %s", link.peer_id, exc)
                    link.close("its queue is full")

    def _handle_job_message(self, message: Message) -> None:
        """Handle a message about a job, from this process or from another entry."""
        scheduler = self.scheduler
        if scheduler is None:
            return
        if isinstance(message, JobAccepted):
            scheduler.add_job(message.content)
        elif isinstance(message, JobCancelling):
            scheduler.cancel(message.job)

    async def received(self, link: Link, envelope: Envelope) -> None:
        """Handle a message of an agent or of another entry."""
        body = envelope.body
        if isinstance(body, StoreQuestion):
            self._store_loss.receive_question(link, envelope.id)
            return
        if isinstance(body, TermHandover):
            self._store_loss.receive_handover(link, body)
            return
        if isinstance(body, SupportRequest | Supported) and not _is_entry(link):
            log.warning("message about support ignored", extra={"sender": link.peer_id})
            return
        if isinstance(body, SupportRequest):
            answer = self.election.support.answer(body)
            if answer is not None:
                link.send_nowait(answer)
            return
        if isinstance(body, Supported):
            if self._support_rounds is not None:
                self._support_rounds.receive(link, body)
            return
        scheduler = self.scheduler
        if scheduler is None or not scheduler.loaded.is_set():
            if isinstance(body, HostAttach):
                await link.send(Failure("not-leader", "this entry schedules no jobs"), envelope.id)
            return
        if isinstance(body, HostAttach):
            self.election.step_down_for(body.epoch)
            await link.send(scheduler.host_tracker.attach(link, body), envelope.id)
        elif isinstance(body, HostSilent):
            scheduler.host_tracker.receive_silence(link, body)
        elif isinstance(body, HostRuns):
            scheduler.host_tracker.receive_report(link, body)
        elif isinstance(body, HostCapacity):
            scheduler.host_tracker.receive_capacity(link, body)
        elif isinstance(body, OrderAnswers):
            scheduler.host_tracker.receive_answers(link, body)
        else:
            self._handle_job_message(body)

    async def link_opened(self, link: Link) -> None:
        """Announce this entry's scheduler to a new peer, or the leader that this entry follows."""
        if self.scheduler is not None and self.scheduler.loaded.is_set():
            self._announce_scheduler(link, self.scheduler)
        else:
            self._announce_leader(link)

    async def link_closed(self, link: Link) -> None:
        """Detach the hosts of a link."""
        if self.scheduler is not None:
            self.scheduler.host_tracker.link_closed(link)

    async def drain(self) -> None:
        """Let another entry schedule; this one schedules on while there is no other."""
        await self.election.drain()

    async def resign(self) -> None:
        """Stop scheduling for good, just before the process ends."""
        await self.election.resign()


def _is_entry(link: Link) -> bool:
    return link.peer is not None and link.peer.role is Role.ENTRY
