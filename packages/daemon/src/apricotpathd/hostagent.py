"""Runs tasks of the scheduler on an agent's executor."""

import logging
from collections.abc import Callable
from math import ceil

import anyio
from anyio.abc import TaskGroup

from apricotpath.boottime import boot_s
from apricotpath.codec import Envelope
from apricotpath.errors import LinkError
from apricotpath.executor import (
    Executor,
    ExecutorDisconnected,
    ExecutorError,
    ExecutorFenced,
    ExecutorReplaced,
    ExecutorReport,
    ExecutorUnreachable,
)
from apricotpath.fencelimits import epoch_of
from apricotpath.fleet import FleetSettings
from apricotpath.ids import Epoch, HostId, InstanceId, ProcessId, TaskId
from apricotpath.link import Link
from apricotpath.messages import (
    HostAttach,
    HostAttached,
    HostCapacity,
    HostDetached,
    HostGrant,
    HostRuns,
    HostSilent,
    LeaderNotice,
    Message,
    OrderAnswers,
    RunEnding,
    RunStatus,
    RunTraits,
    StartRuns,
    StopRuns,
)
from apricotpath.model import StartAnswer
from apricotpath.workload import HostFacts
from apricotpathd.attachment import Attachment, ExecutorPhase, ExecutorState
from apricotpathd.crashwatch import CrashWatch
from apricotpathd.executorclock import ExecutorClock
from apricotpathd.fillerpacing import FillerPacing
from apricotpathd.formerfence import FormerFence
from apricotpathd.hostorders import HostOrders
from apricotpathd.incarnations import IncarnationFences
from apricotpathd.startturns import StartTurns

log = logging.getLogger(__name__)

RENEWAL_RETRY_S = 0.1
ATTACH_RETRY_S = 0.1
# After its announced end, an executor has ended once it refuses this many connections in a row; a
# single refusal may be a connection that was reset while it was opened.
MIN_REFUSALS_TO_END = 3


class HostAgent:
    """Component that follows the scheduler of the highest epoch.

    Runs continue only while their lease from the scheduler is valid. All calls to the
    executor carry the attachment's fencing token, so that a delayed call of an
    earlier attachment has no effect. An incarnation of the executor that may still get delayed
    calls of before is called under a higher one before the next attachment; `former_fence` bounds
    the tokens of earlier processes of this agent.
    """

    handles: frozenset[type[Message]] = frozenset(
        {LeaderNotice, HostDetached, HostGrant, StartRuns, StopRuns, RunTraits}
    )

    def __init__(
        self,
        host: HostId,
        cfg: FleetSettings,
        connect: Callable[[HostFacts], Executor],
        former_fence: FormerFence | None = None,
    ) -> None:
        self.host, self.cfg = host, cfg
        self.state: ExecutorState | None = None
        self.phase = ExecutorPhase.REGISTERED
        self.epoch = Epoch(0)
        self.leader: ProcessId | None = None
        self.attachment: Attachment | None = None
        self.executor: Executor | None = None
        self._connect = connect
        self._clock = ExecutorClock()
        # End of the longest lease granted so far; an earlier process of this agent may have been
        # granted one until it ended.
        self._leased_until = boot_s() + cfg.run_lease_s
        # Endings in the executor's newest report; they outlive it and each attachment.
        self._endings: tuple[RunEnding, ...] = ()
        # Connections in a row that the executor has refused to lease renewals.
        self._refusals = 0
        self._links: list[Link] = []
        self.changed = anyio.Event()
        self._group: TaskGroup | None = None
        self.pacing = FillerPacing()
        self.start_turns = StartTurns()
        self._orders = HostOrders(self, self.start_turns)
        self._crash_watch = CrashWatch()
        self.fences = IncarnationFences(former_fence, self._signal, self._note_unreachable)

    # State of the executor.

    def on_executor_heartbeat(self, state: ExecutorState) -> None:
        """Apply a heartbeat of the executor; a restarted executor ends the attachment."""
        previous = self.state
        self.state = state
        if previous is None or (previous.facts.instance, previous.facts.born_ms) != (
            state.facts.instance,
            state.facts.born_ms,
        ):
            log.info("executor connected", extra={"instance": state.facts.instance})
            if previous is not None:
                self._note_crash(previous)
            self.executor = self._connect(state.facts)
            self._endings = ()
            self._refusals = 0
            self.phase = ExecutorPhase.REGISTERED
            self._detach("the executor has restarted")
            former = previous.facts if previous is not None else None
            self.fences.on_heartbeat(former, state.facts, self.executor)
        elif self.phase is ExecutorPhase.ENDED:
            log.warning("executor has not ended", extra={"instance": state.facts.instance})
            self.phase = ExecutorPhase.DEREGISTERED
            self._detach("the executor has not ended")
        if previous is None or state.draining != previous.draining:
            log.info("executor state", extra={"draining": state.draining})
        self._send_capacity(state.facts)
        self._signal()

    def _note_unreachable(self) -> None:
        """Handle that a restarted executor refuses connections; one that shut down has ended."""
        if self.state is not None and self.phase is ExecutorPhase.DEREGISTERED:
            self._note_ended(self.state.facts.instance)
            self._signal()

    def _note_ended(self, instance: str) -> None:
        """Note that the executor has ended; no call to it is repeated any more."""
        log.info("executor ended", extra={"instance": instance})
        self.phase = ExecutorPhase.ENDED
        self.fences.cancel()

    def _note_crash(self, previous: ExecutorState) -> None:
        """Keep the runs of an executor that was replaced, unless it had announced its end."""
        if self.phase is ExecutorPhase.REGISTERED and not previous.draining:
            log.warning("executor crashed", extra={"instance": previous.facts.instance})
            self._crash_watch.on_crash(previous.facts, self.attachment)

    def _send_capacity(self, facts: HostFacts) -> None:
        """Tell the scheduler of a capacity that it does not know yet."""
        attached = self.attachment
        if attached is not None and facts.capacity != attached.facts.capacity:
            attached.facts = facts
            self.send(attached, HostCapacity(attached.fence, facts.capacity))

    def on_executor_shutdown(self, instance: str) -> None:
        """Handle the executor's notice that it shuts down; it ends once it stops answering."""
        if self.state is None or self.state.facts.instance != instance:
            return
        if self.phase is ExecutorPhase.REGISTERED:
            log.info("executor shut down", extra={"instance": instance})
            self.phase = ExecutorPhase.DEREGISTERED
            self._signal()

    @property
    def has_executor(self) -> bool:
        """Whether there is an executor that may run tasks."""
        return self.state is not None and self.phase is not ExecutorPhase.ENDED

    @property
    def draining(self) -> bool:
        """Whether the executor takes no new runs."""
        return not self.has_executor or (self.state is not None and self.state.draining)

    def _detach(self, reason: str) -> None:
        if self.attachment is not None:
            log.info("detached: %s", reason)
            self.attachment.settled.set()
            self.attachment = None
        self._signal()

    def _signal(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    def lease_grant_age_s(self) -> float:
        """Return the seconds since the newest grant; infinite if not attached."""
        attached = self.attachment
        if attached is None or not attached.granted_until:
            return float("inf")
        return boot_s() - (attached.granted_until - self.cfg.run_lease_s)

    def runs(self) -> list[tuple[TaskId, int]]:
        """Return the runs on the executor, including those with a start order in progress."""
        return list(self.attachment.views) if self.attachment is not None else []

    # Loops.

    async def run(self) -> None:
        """Attach, poll the executor and report until cancelled."""
        async with anyio.create_task_group() as self._group:
            self._group.start_soon(self._attach_forever)
            self._group.start_soon(self.pacing.run)
            self._group.start_soon(self.fences.run)
            while True:
                await self._renew_once()

    async def _attach_forever(self) -> None:
        while True:
            changed = self.changed
            link, state = self._leader_link(), self.state
            if link is None or state is None or not self._may_attach():
                await changed.wait()
                continue
            if not await self._attach(link, state.facts):
                await anyio.sleep(ATTACH_RETRY_S)

    def _may_attach(self) -> bool:
        """Whether the newest incarnation of the executor is known and fenced, not attached yet."""
        if self.attachment is not None or self.fences.pending:
            return False
        return self.phase is ExecutorPhase.ENDED or self.fences.settled

    async def _attach(self, link: Link, facts: HostFacts) -> bool:
        call = HostAttach(
            self.host,
            InstanceId(facts.instance),
            facts.born_ms,
            facts.service,
            facts.data_centre,
            facts.rack,
            tuple(sorted(facts.labels)),
            facts.capacity,
            max(self.epoch, epoch_of(self.fences.highest)),
            self._crash_watch.recent_crashes(),
            self.fences.highest,
            ceil(max(0.0, self._leased_until - boot_s()) * 1000),
        )
        try:
            reply = await link.call(call, timeout_s=1.0)
        except LinkError as exc:
            log.info("not attached: %s", exc, extra={"leader": link.peer_id})
            return False
        if not isinstance(reply, HostAttached) or reply.epoch < self.epoch:
            return False
        if reply.fence <= self.fences.highest:
            log.info("attachment under an old token ignored", extra={"fence": reply.fence})
            return False
        if self.state is None or self.state.facts != facts or link is not self._leader_link():
            return False
        if not self._may_attach():
            return False
        self.fences.note_token(reply.fence)
        self.attachment = Attachment(link, reply.epoch, reply.fence, facts)
        log.info("attached", extra={"leader": link.peer_id, "fence": reply.fence})
        self._signal()
        return True

    async def _renew_once(self) -> None:
        attached = self.attachment
        if attached is None or self.executor is None:
            await self.changed.wait()
            return
        if self.phase is ExecutorPhase.ENDED:
            changed = self.changed
            if attached.final_renewal is None:
                self._report_end(attached)
            await changed.wait()
            return
        wait_s = await self._wait_until_settled(attached)
        executor = self.executor
        if attached is not self.attachment or executor is None:
            return
        sent = boot_s()
        try:
            executor_report = await executor.renew_lease(
                attached.fence, attached.confirmed_ending(), self.deadline(attached), wait_s
            )
        except ExecutorFenced as exc:
            log.warning("lease renewal refused: %s", exc)
            self.end_attachment(attached, "a higher fencing token was used")
        except ExecutorReplaced as exc:
            log.warning("lease renewal refused: %s", exc)
            await anyio.sleep(RENEWAL_RETRY_S)
        except ExecutorError as exc:
            refused = isinstance(exc, ExecutorUnreachable) and executor is self.executor
            extra = {"refused": refused, "draining": self.draining, "phase": self.phase.value}
            log.info("lease renewal failed: %s", exc, extra=extra)
            self._refusals = self._refusals + 1 if refused else 0
            if refused and self._has_ended():
                self._note_ended(attached.facts.instance)
                return
            self._note_silence(attached, isinstance(exc, ExecutorDisconnected))
            await anyio.sleep(RENEWAL_RETRY_S)
        else:
            self._refusals = 0
            if attached is self.attachment:
                await self._handle_report(attached, executor, executor_report, sent)

    def _has_ended(self) -> bool:
        """Tell whether an executor that refuses connections has ended, as it had told before."""
        if self.phase is ExecutorPhase.DEREGISTERED:
            return True
        announced = self.state is not None and boot_s() >= self.state.leaves_at
        return announced and self._refusals >= MIN_REFUSALS_TO_END

    def _note_silence(self, attached: Attachment, disconnected: bool) -> None:
        """Tell the scheduler once that the executor does not answer."""
        self._crash_watch.on_silence(attached, disconnected)
        if not attached.renewal_failed and attached is self.attachment:
            self.send(attached, HostSilent(attached.fence))
        attached.renewal_failed = True

    async def _wait_until_settled(self, attached: Attachment) -> float:
        """Wait until reported endings are acknowledged; return how long the renewal may wait.

        The executor answers a renewal at once while it has endings to list, so that
        renewals in the meantime would only repeat the same report.
        """
        wait_s = attached.renewal_wait_s()
        with anyio.move_on_after(wait_s) as scope:
            await attached.settled.wait()
        return 0.0 if scope.cancelled_caught else wait_s

    def end_attachment(self, attached: Attachment, reason: str) -> None:
        """End an attachment if it is the present one."""
        if attached is self.attachment:
            self._detach(reason)

    def _report_end(self, attached: Attachment) -> None:
        """Report that nothing runs any more, with the endings that are not acknowledged yet."""
        self._report(attached, (), self._endings, complete=True)
        attached.final_renewal = attached.renewal

    async def _handle_report(
        self,
        attached: Attachment,
        executor: Executor,
        executor_report: ExecutorReport,
        sent: float,
    ) -> None:
        """Report the executor's runs and endings, and adjust the pace of filler tasks."""
        born_ms = executor_report.born_ms
        if born_ms and attached.facts.born_ms and born_ms != attached.facts.born_ms:
            await self._handle_restart(attached, born_ms)
            return
        attached.renewal_failed = False
        self._clock.note(executor_report.clock_ms)
        attached.reported_runs = {(status.task, status.run) for status in executor_report.runs}
        self._crash_watch.on_answer()
        self._endings = executor_report.endings
        for ending in executor_report.endings:
            attached.views.pop((ending.task, ending.run), None)
        complete = executor_report.whole and not attached.complete_reported
        self._report(attached, executor_report.runs, executor_report.endings, complete)
        self.pacing.update(attached, executor, executor_report.runs)
        if not executor_report.whole:
            # A run that is not listed may be at work.
            return
        for task, run in attached.missing_runs(sent):
            del attached.views[task, run]
            log.info("run not listed", extra={"task": task, "run": run})
            self._orders.answer(attached, task, run, StartAnswer.REFUSED)

    async def _handle_restart(self, attached: Attachment, born_ms: int) -> None:
        """End the attachment to a former incarnation; the next one follows its heartbeat."""
        if born_ms < attached.facts.born_ms:
            # The clock has stepped back, or a start time is odd: a heartbeat will tell.
            attached.renewal_failed = True
            await anyio.sleep(RENEWAL_RETRY_S)
            return
        self._crash_watch.on_silence(attached, disconnected=False)
        self.end_attachment(attached, "the executor has restarted")
        self.fences.on_listed(born_ms)

    def _report(
        self,
        attached: Attachment,
        runs: tuple[RunStatus, ...],
        endings: tuple[RunEnding, ...],
        complete: bool,
    ) -> None:
        """Send a report; all runs that are missing in a complete one have ended."""
        state, draining = self.state, self.draining
        left_s = max(0.0, state.leaves_at - boot_s()) if state and draining else 0.0
        report = HostRuns(
            attached.fence,
            attached.next_renewal(),
            complete,
            draining,
            int(min(left_s, 3600.0) * 1000),
            self.pacing.average_percent,
            tuple(attached.with_pace(status) for status in runs),
            endings,
        )
        if self.send(attached, report):
            attached.reported = True
            attached.complete_reported |= complete
            attached.report_endings(endings)

    def send(
        self,
        attached: Attachment,
        message: HostCapacity | HostRuns | HostSilent | OrderAnswers,
    ) -> bool:
        """Send a message to the scheduler; if its link is closed, the attachment ends."""
        try:
            attached.link.send_nowait(message)
        except LinkError as exc:
            log.info("report not sent: %s", exc)
            self.end_attachment(attached, "the link to the scheduler ended")
            return False
        return True

    def deadline(self, attached: Attachment) -> int | None:
        """Return the lease deadline of runs on the executor's clock; None without a valid grant."""
        return self._clock.time_ms(attached.granted_until)

    # Messages.

    async def received(self, link: Link, envelope: Envelope) -> None:
        """Handle a message of the scheduler."""
        body = envelope.body
        if isinstance(body, LeaderNotice):
            self._follow(body)
            return
        attached = self.attachment
        if attached is None or attached.link is not link or self._group is None:
            return
        if isinstance(body, HostDetached) and body.fence == attached.fence:
            self._detach("the scheduler does not know the attachment")
        elif isinstance(body, HostGrant) and body.fence == attached.fence:
            attached.apply_grant(body, self.cfg.run_lease_s)
            self._leased_until = max(self._leased_until, attached.granted_until)
            if attached.end_answered:
                self._signal()
        elif isinstance(body, StartRuns) and body.fence == attached.fence:
            sent = attached.sent_at.get(body.renewal, float("-inf"))
            for order in body.orders:
                valid = sent + self.cfg.start_window_s
                self._group.start_soon(self._orders.start, attached, order, valid)
        elif isinstance(body, StopRuns) and body.fence == attached.fence:
            for name in body.runs:
                self._group.start_soon(self._orders.stop, attached, name.task, name.run)
        elif isinstance(body, RunTraits) and body.fence == attached.fence:
            for trait in body.traits:
                attached.apply_trait(trait)

    def _follow(self, notice: LeaderNotice) -> None:
        if notice.epoch < self.epoch:
            return
        if notice.epoch > self.epoch or notice.entry != self.leader:
            log.info("following scheduler", extra={"leader": notice.entry, "epoch": notice.epoch})
            self.epoch, self.leader = notice.epoch, notice.entry
            self._detach("a new scheduler")
        self._signal()

    def _leader_link(self) -> Link | None:
        for link in reversed(self._links):
            if link.peer_id == self.leader and link.is_open:
                return link
        return None

    async def link_opened(self, link: Link) -> None:
        """Add a link to an entry."""
        self._links.append(link)
        self._signal()

    async def link_closed(self, link: Link) -> None:
        """Remove a link, and end the attachment that uses it."""
        if link in self._links:
            self._links.remove(link)
        if self.attachment is not None and self.attachment.link is link:
            self._detach("the link to the scheduler closed")

    async def drain(self) -> None:
        """Wait until a scheduler knows that a draining executor has ended.

        Returns at once if the executor stays: the next process of this agent continues the runs.
        """
        while self._awaits_end() and not (self.attachment and self.attachment.end_answered):
            await self.changed.wait()

    def _awaits_end(self) -> bool:
        """Tell whether the executor has announced its end."""
        if self.state is None:
            return False
        return self.state.draining or self.phase is not ExecutorPhase.REGISTERED
