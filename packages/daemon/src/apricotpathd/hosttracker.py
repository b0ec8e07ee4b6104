"""Tracks the attached hosts of a scheduler: reports, lease grants and answers to orders."""

import logging
from collections import OrderedDict, deque
from collections.abc import Callable, Mapping
from dataclasses import replace

from apricotpath.absences import AbsenceBasis, EndBasis
from apricotpath.boottime import boot_s
from apricotpath.crashes import SURVIVAL_S
from apricotpath.errors import InputError
from apricotpath.fleet import NOT_ATTACHED, FleetSettings, Host
from apricotpath.hostleases import LeaseBasis
from apricotpath.ids import FenceToken, HostId
from apricotpath.jobrows import Run, RunPhase
from apricotpath.jobtable import JobTable
from apricotpath.link import Link
from apricotpath.messages import (
    UNKNOWN_LEASE_MS,
    Failure,
    HostAttach,
    HostAttached,
    HostCapacity,
    HostDetached,
    HostGrant,
    HostRuns,
    HostSilent,
    OrderAnswers,
    RunName,
    StartRuns,
    StopRuns,
)
from apricotpath.model import Size, StartAnswer
from apricotpath.quarantine import Quarantine
from apricotpath.term import Term
from apricotpath.workload import HostFacts, TaskKey
from apricotpathd.crashreports import CrashReports
from apricotpathd.fencetokens import FenceTokens
from apricotpathd.hostevents import ExecutorName, LostRun, ReportedEnding
from apricotpathd.hostsending import send_nowait
from apricotpathd.hosttraits import HostTraits
from apricotpathd.incarnationlog import note_ended_incarnations, note_incarnation

log = logging.getLogger(__name__)

# A stop is sent again after this time while the host still reports the run.
STOP_RESEND_S = 0.6
# A host that rejected a start gets no starts for this time; its next report tells why.
REJECTED_PAUSE_S = 0.15
# The progress of a run counts as a measure of its host's speed only after this time.
MIN_SPEED_SAMPLE_S = 0.8
MAX_REPORT_GAP_S = 1.0
# Leases of hosts that have not reported for this time are told to the other entries, which is
# before `silent_s`, from which on such hosts get no new runs.
UNREPORTED_S = 1.0
# While so many lost runs are queued, no more hosts are looked at for expired leases.
MAX_QUEUED_LOST = 1000


class HostTracker:
    """Hosts of one term; `endings` and `lost_runs` are events not recorded yet."""

    def __init__(
        self,
        term: Term,
        table: JobTable,
        cfg: FleetSettings,
        last_store_contact_at: Callable[[], float],
        wake: Callable[[], None],
    ) -> None:
        self.hosts: dict[HostId, Host] = {}
        self.links: dict[HostId, Link] = {}
        # The hosts of `links` by fencing token and by link, so that a report costs the same
        # however many hosts there are.
        self._names_by_fence: dict[FenceToken, HostId] = {}
        self._names_by_link: dict[Link, set[HostId]] = {}
        self.endings: deque[ReportedEnding] = deque()
        self.lost_runs: OrderedDict[tuple[TaskKey, int], LostRun] = OrderedDict()
        self.crash_reports = CrashReports()
        self.quarantine = Quarantine(self.hosts, cfg.silent_s)
        self._term, self._table, self._cfg = term, table, cfg
        self._last_store_contact_at, self._wake = last_store_contact_at, wake
        # Tells whether the other entries let this scheduler grant leases of a host.
        self.may_grant: Callable[[HostId], bool] = lambda _host: True
        self._ungranted: set[HostId] = set()
        # Called with a run and the time when its host says that it is at work.
        self.on_begun: Callable[[Run, float], None] = lambda _run, _now: None
        self.fences = FenceTokens(term)
        self._started = boot_s()
        self._grants_ended = False
        self._last_queued_endings: dict[HostId, int] = {}
        self._unknown_stops_sent_at: dict[HostId, dict[RunName, float]] = {}
        self.traits = HostTraits(table)

    def attach(self, link: Link, message: HostAttach) -> HostAttached | Failure:
        """Attach a host's executor to this term and return the new fencing token.

        The attachment fails while there is no token above the one that the host has used.
        """
        name = message.host
        fence = self.fences.issue(message.fence)
        if fence is None:
            return Failure("no-fence", "no fencing token may be issued yet that is high enough")
        host = self.hosts.setdefault(name, Host(name))
        executor_incarnation = (message.instance, message.born_ms)
        now = boot_s()
        if host.executor_incarnation() != executor_incarnation:
            host.acked_ending = 0
            self._last_queued_endings.pop(name, None)
            host.draining, host.leaves_at = False, float("inf")
            host.forget_failures()
            host.silent_since = float("inf")
        elif host.facts is not None:
            self._log_capacity(host, host.facts.capacity, message.capacity)
        self.crash_reports.queue_crashes(message, now)
        if self.links.get(name, link) is not link:
            # Its former process may have ended unnoticed, and this one followed another scheduler.
            host.leases.on_detached()
        self._detach(name)
        host.fence = fence
        host.reported = False
        host.facts = HostFacts(
            message.instance,
            message.born_ms,
            message.service,
            message.data_centre,
            message.rack,
            frozenset(message.labels),
            message.capacity,
        )
        if message.epoch == self._term.epoch:
            # The agent has dropped its former attachment, and follows no earlier epoch any more.
            host.leases.on_attached(now + self._hold_s(message))
        self.links[name] = link
        self._names_by_fence[host.fence] = name
        self._names_by_link.setdefault(link, set()).add(name)
        log.info(
            "host attached",
            extra={"host": name, "instance": message.instance, "fence": host.fence},
        )
        self._wake()
        return HostAttached(self._term.epoch, host.fence)

    def _hold_s(self, message: HostAttach) -> float:
        """Return for how long runs can continue that their agent was granted leases for."""
        if message.lease_ms <= UNKNOWN_LEASE_MS:
            return self._cfg.run_hold_s
        return self._cfg.hold_s(message.lease_ms / 1000)

    def end_grants(self, now: float) -> dict[HostId, float]:
        """Grant no lease any more; return for how many seconds runs may continue, by host."""
        self._grants_ended = True
        return {
            name: round(host.leases.left_s(now), 3)
            for name, host in self.hosts.items()
            if self._table.by_host.get(name)
        }

    def limit_holds(self, until: float) -> None:
        """Set the time by which runs have ended that earlier schedulers have granted leases to."""
        for host in self.hosts.values():
            host.leases.limit_former(until, LeaseBasis.PREDECESSOR_ENDED)

    def limit_former_grants(self, until: float, holds_until: Mapping[HostId, float]) -> None:
        """Set the time from which on earlier schedulers grant nothing any more.

        `holds_until`: when the leases of single hosts have ended that they did not extend.
        """
        self.limit_holds(until + self._cfg.run_hold_s)
        for name, end in holds_until.items():
            host = self.hosts.get(name)
            if host is not None:
                host.leases.limit_former(end, LeaseBasis.RECORD)

    def link_closed(self, link: Link) -> None:
        """Detach the hosts that are attached over a link.

        The agent may have ended, and its next process may follow an earlier scheduler until the
        executor has seen a token of this term.
        """
        for name in sorted(self._names_by_link.get(link, ())):
            self._detach(name)
            host = self.hosts[name]
            host.leases.on_detached()
            log.info("host detached", extra={"host": name})

    def _detach(self, name: HostId) -> None:
        """Take a host off its link; nothing that comes under its fencing token counts any more."""
        link, host = self.links.pop(name, None), self.hosts[name]
        # Its next attachment numbers its reports anew.
        self._ungranted.discard(name)
        self._names_by_fence.pop(host.fence, None)
        host.reported = False
        host.fence = NOT_ATTACHED
        if link is not None:
            names = self._names_by_link[link]
            names.discard(name)
            if not names:
                del self._names_by_link[link]

    def _attached_host(self, link: Link, fence: FenceToken) -> Host | None:
        """Return the host that is attached over a link under a fencing token."""
        name = self._names_by_fence.get(fence)
        return self.hosts[name] if name is not None and self.links.get(name) is link else None

    def receive_capacity(self, link: Link, message: HostCapacity) -> None:
        """Apply a change of a host's capacity; runs that no longer fit go on."""
        host = self._attached_host(link, message.fence)
        if host is not None and host.facts is not None:
            self._log_capacity(host, host.facts.capacity, message.capacity)
            host.facts = replace(host.facts, capacity=message.capacity)
            self._wake()

    @staticmethod
    def _log_capacity(host: Host, before: Size, after: Size) -> None:
        """Log a change of a host's capacity."""
        if before != after:
            extra = {"host": host.host, "before": before.as_list(), "after": after.as_list()}
            log.info("capacity changed", extra=extra)

    def receive_report(self, link: Link, message: HostRuns) -> None:
        """Apply a host's report and renew the lease of its runs.

        An unknown token is answered: a late attachment over another link may have replaced
        the one that the agent uses, which would go on with reports that count for nothing.
        """
        host = self._attached_host(link, message.fence)
        if host is None:
            log.info("report under an unknown token", extra={"fence": message.fence})
            send_nowait(link, HostDetached(message.fence))
            return
        now = boot_s()
        self._grant(host, link, message.renewal, now)
        host.renewal = message.renewal
        self.crash_reports.end_silence(host)
        host.filler_percent = message.filler_percent
        if message.draining and not host.draining:
            log.info("host is draining", extra={"host": host.host, "left_ms": message.remaining_ms})
            self._wake()
        host.draining = message.draining
        host.leaves_at = now + message.remaining_ms / 1000 if message.draining else float("inf")
        self._match_runs(host, message, now)
        note_ended_incarnations(self._table, host, message.endings)
        self.traits.observe(host, link, now)
        for ending in message.endings:
            if ending.number > self._last_queued_endings.get(host.host, host.acked_ending):
                self._last_queued_endings[host.host] = ending.number
                self.endings.append(ReportedEnding(host.host, host.executor_incarnation(), ending))
                self._wake()
        if message.complete:
            host.reported = True
            # The executor has seen the new fencing token, so nobody renews older leases.
            host.leases.on_fenced(now + self._cfg.run_hold_s)
            self.traits.send(host, link)
            self._wake()

    def receive_silence(self, link: Link, message: HostSilent) -> None:
        """Note that a host's executor does not answer: it gets no starts until its next report."""
        host = self._attached_host(link, message.fence)
        if host is None:
            return
        runs = self._table.runs_on(host.host)
        self.crash_reports.note_silence(host, runs, boot_s())
        log.info("executor does not answer", extra={"host": host.host, "runs": len(runs)})

    def _grant(self, host: Host, link: Link, renewal: int, reported_at: float) -> None:
        """Renew the lease of a host's runs, unless a later scheduler may consider it expired.

        The agent counts the lease from when it sent the report, which arrived at `reported_at`.
        """
        store_silent_s = boot_s() - self._last_store_contact_at()
        if self._grants_ended or store_silent_s > self._cfg.authority_s:
            return
        if not self.may_grant(host.host):
            self._ungranted.add(host.host)
            return
        self._ungranted.discard(host.host)
        host.leases.grant(reported_at + self._cfg.run_hold_s)
        send_nowait(link, HostGrant(host.fence, renewal, host.acked_ending))

    def grant_again(self) -> None:
        """Renew the leases that could not be renewed at the hosts' newest reports."""
        for name in list(self._ungranted):
            self._ungranted.discard(name)
            host, link = self.hosts.get(name), self.links.get(name)
            if host is not None and link is not None and not self._is_unreported(host, boot_s()):
                self._grant(host, link, host.renewal, host.reported_at)

    def silent_holds(self, now: float) -> dict[HostId, float]:
        """Return for how many seconds leases may last, by host that runs tasks and is silent."""
        return {
            name: host.leases.left_s(now)
            for name, host in self.hosts.items()
            if self._is_unreported(host, now) and self._table.by_host.get(name)
        }

    @staticmethod
    def _is_unreported(host: Host, now: float) -> bool:
        """Tell whether a host has not reported for a while, or not yet in this term."""
        return now - host.reported_at >= UNREPORTED_S

    def acknowledge_endings(self, executor: ExecutorName, number: int) -> None:
        """Tell a host that the endings of its executor up to a number are recorded.

        Nothing is sent if the executor has restarted meanwhile.
        """
        host, link = self.hosts.get(executor.host), self.links.get(executor.host)
        incarnation = (executor.instance, executor.born_ms)
        if host is None or host.executor_incarnation() != incarnation:
            return
        host.acked_ending = max(host.acked_ending, number)
        if link is not None and host.reported:
            self._grant(host, link, host.renewal, host.reported_at)

    def _match_runs(self, host: Host, message: HostRuns, now: float) -> None:
        """Reconcile the runs that a host reports with the job table."""
        expected = self._table.by_host.get(host.host, {})
        # A gap between reports is not evidence that a run makes no progress.
        since = min(now - host.reported_at, MAX_REPORT_GAP_S)
        host.reported_at = now
        reported_runs = set()
        host.unknown_runs = 0
        for status in message.runs:
            try:
                key = TaskKey.parse(status.task)
            except InputError as exc:
                log.error("invalid run reported by host %s: %s", host.host, exc)
                continue
            reported_runs.add((key, status.run))
            run = expected.get((key, status.run))
            if run is None:
                host.unknown_runs += 1
                self._stop_unknown_run(host, RunName(status.task, status.run), now)
                continue
            note_incarnation(host, run)
            if run.phase is RunPhase.ORDERED:
                run.phase = RunPhase.RUNNING
                self._note_begun(run, now)
                run.first_percent = status.percent
            run.reported_at = now
            if status.percent != run.percent or status.saved != run.saved:
                run.stalled_s = 0.0
            else:
                run.stalled_s += since
            run.percent, run.saved, run.load = status.percent, status.saved, status.load
            run.pace = status.pace
            if not run.survived and now - run.since >= SURVIVAL_S:
                self._table.note_survived(run)
            self._update_host_speed(host, run, now)
        if message.complete:
            ended = {(ending.task, ending.run) for ending in message.endings}
            for (key, number), run in expected.items():
                if (key, number) not in reported_runs and (str(key), number) not in ended:
                    self.mark_lost(run, "its host does not report it", AbsenceBasis.UNLISTED)

    def _update_host_speed(self, host: Host, run: Run, now: float) -> None:
        """Update the estimate of a host's speed from the progress of a run."""
        row = self._table.rows.get(run.task.job)
        if row is None or not row.tasks or now - run.since < MIN_SPEED_SAMPLE_S:
            return
        step = row.step(run.task)
        if step.estimate_s > 0 and not (step.long_running or step.filler or step.gang):
            rate = (run.percent - run.first_percent) / (now - run.since)
            host.record_speed(rate * step.estimate_s / 100)

    def _stop_unknown_run(self, host: Host, name: RunName, now: float) -> None:
        """Stop a reported run that the job table does not contain."""
        sent = self._unknown_stops_sent_at.setdefault(host.host, {})
        if now - sent.get(name, float("-inf")) < STOP_RESEND_S:
            return
        sent[name] = now
        log.info("unknown run stopped", extra={"host": host.host, "task": name.task})
        self.send(host, StopRuns(host.fence, (name,)))

    def receive_answers(self, link: Link, message: OrderAnswers) -> None:
        """Apply a host's answers to start orders."""
        host = self._attached_host(link, message.fence)
        if host is None:
            return
        now = boot_s()
        for answer in message.answers:
            try:
                key = TaskKey.parse(answer.task)
            except InputError as exc:
                log.error("invalid answer of host %s: %s", host.host, exc)
                continue
            run = self._table.by_host.get(host.host, {}).get((key, answer.run))
            if run is None:
                continue
            if answer.answer is StartAnswer.STARTED:
                run.reported_at = now
                self._note_begun(run, now)
                continue
            if answer.answer in (StartAnswer.UNFIT, StartAnswer.REFUSED):
                host.paused_until = max(host.paused_until, now + REJECTED_PAUSE_S)
            elif answer.answer is StartAnswer.BROKEN:
                self.record_failure(host, run, "refuses starts", now)
            reason = f"its start was answered {answer.answer.value}"
            self.mark_lost(run, reason, AbsenceBasis.NOT_STARTED)

    def _note_begun(self, run: Run, now: float) -> None:
        """Note that a run is at work, as its host says."""
        self._table.note_begun(run.task.job)
        self.on_begun(run, now)

    def record_failure(self, host: Host, run: Run, reason: str, now: float) -> None:
        """Count a failed run against its host or its job."""
        if self.quarantine.record_failure(host, run.task.job, run.since, now):
            extra = {"host": host.host, "reason": reason, "jobs": sorted(host.set_aside_for)}
            log.warning("host set aside", extra=extra | {"for_s": host.set_aside_until - now})

    def restore_share(self, now: float) -> None:
        """Take back hosts that are set aside where too few of a service are left."""
        for host in self.quarantine.restore_share(now):
            log.info("host no longer set aside", extra={"host": host.host})

    def count_set_aside(self) -> int:
        """Return how many hosts are set aside."""
        now = boot_s()
        return sum(host.is_set_aside(now) for host in self.hosts.values())

    def mark_lost(self, run: Run, reason: str, basis: EndBasis) -> None:
        """Queue a run for the scheduler to record as lost, unless it is queued already."""
        self.lost_runs.setdefault((run.task, run.run), LostRun(run.task, run.run, reason, basis))
        self._wake()

    def send(self, host: Host, message: StartRuns | StopRuns) -> bool:
        """Send orders to a host; False if it is not attached or its link rejects them."""
        link = self.links.get(host.host)
        return link is not None and send_nowait(link, message)

    def expire_leases(self, now: float) -> None:
        """Mark the runs of hosts as lost whose leases have certainly expired.

        Those of some hosts are left to the next passes if they are many. An agent may stay
        attached although its executor is permanently lost.
        """
        for name, host in list(self.hosts.items()):
            if now < host.leases.until:
                continue
            if len(self.lost_runs) >= MAX_QUEUED_LOST:
                return
            runs = self._table.runs_on(name)
            if any((run.task, run.run) not in self.lost_runs for run in runs):
                self._log_expiry(host, len(runs), now)
            for run in runs:
                reason = "its host is unreachable and its lease has expired"
                self.mark_lost(run, reason, host.leases.bound.basis)
            if not host.attached and now > host.leases.until + self._cfg.retention_s:
                del self.hosts[name]

    def _log_expiry(self, host: Host, runs: int, now: float) -> None:
        """Log what the end of a host's leases is known from, and since when it is silent."""
        silent_s = now - max(host.reported_at, self._started)
        extra = {"host": host.host, "runs": runs, "basis": host.leases.bound.basis.value}
        log.info("leases of a host have expired", extra=extra | {"silent_s": round(silent_s, 3)})
