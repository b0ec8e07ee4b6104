"""Reconciles a shard's journal with the reports of the hosts."""

import logging
from collections import Counter, defaultdict
from collections.abc import Iterable
from functools import partial

from apricotpath.errors import JobUnknown
from apricotpath.ids import JobId, TaskId
from apricotpath.jobs import shard_of, split_task
from apricotpath.link import Link
from apricotpath.messages import HostReport, ShardClaimed, TaskOutcome, TaskReport
from apricotpath.model import Outcome, RunState, TaskState
from apricotpath.records import Record, TaskEvicted, TaskFailed, TaskFinished, TaskLost
from apricotpathd.commands import Commands
from apricotpathd.hosts import HostRow
from apricotpathd.runs import OwnerState, Phase, Proposal, Run, Shard

log = logging.getLogger(__name__)

# A start without an answer is sent again after this time, `MAX_SENDS` times in all.
START_RESEND_S = 1.5
MAX_SENDS = 3
# A report proves that an attempt is absent only if its worker clock is past the start window
# by this margin; heartbeats, and so lease anchors, may be as old as the silence limit.
ABSENCE_MARGIN_MS = 3000
# Maximum reordering of reports; a larger step back of the worker's clock is a restart.
REORDER_MS = 30_000
STOP_RESEND_S = 1.0
EVICT_RESEND_S = 3.0
CLAIM_RESEND_S = 1.0
# An agent whose link has just ended usually redials within this time.
REDIAL_S = 5.0
# How long after the end of a lease to wait for a present host whose worker does not answer.
REPORT_WAIT_S = 30.0
# Bounds the claims of one tick, so that acquiring many shards does not overload the links.
MAX_CLAIMS_PER_TICK = 2000


class Reconciler:
    """Handles claims, reports, outcomes, absent attempts and expired leases."""

    def __init__(self, state: OwnerState, commands: Commands) -> None:
        self.state = state
        self.commands = commands

    def send_claims(self, now: float) -> None:
        """Send shard claims to all linked hosts; hosts with assigned tasks come first."""
        budget, link_changes = MAX_CLAIMS_PER_TICK, self.state.hosts.link_changes
        for shard in self.state.shards.values():
            # Only a new link or incarnation can add a host that has not accepted the claim.
            if not shard.loaded or shard.claimed_link_changes == link_changes:
                continue
            rows = self.state.hosts.rows.values()
            unclaimed_rows = [
                row
                for row in rows
                if row.present and shard.claims.get(row.process) != row.incarnation
            ]
            if not unclaimed_rows:
                shard.claimed_link_changes = link_changes
            unclaimed_rows.sort(key=lambda row: row.process not in shard.by_process)
            for row in unclaimed_rows[:budget]:
                if now - shard.claim_sent_at.get(row.process, -1e9) >= CLAIM_RESEND_S:
                    self.commands.claim(shard, row, now)
                    budget -= 1

    def forget_hosts(self) -> None:
        """Drop the claims of agents no longer in the host table; replaced hosts get new names."""
        rows = self.state.hosts.rows
        for shard in self.state.shards.values():
            for process in [name for name in shard.claims if name not in rows]:
                del shard.claims[process]
            for process in [name for name in shard.claim_sent_at if name not in rows]:
                del shard.claim_sent_at[process]

    def receive_claim(self, link: Link, reply: ShardClaimed, now: float) -> None:
        """Handle a host's answer to a claim."""
        shard, row = self.state.shards.get(reply.shard), self.state.row_of(link)
        if shard is None or row is None or not shard.loaded:
            return
        if reply.epoch > shard.epoch:
            self.state.relinquish(shard, f"host {row.host} knows epoch {reply.epoch}")
            return
        if reply.epoch < shard.epoch or not reply.ready:
            return
        if shard.claims.get(row.process) == row.incarnation:
            return
        shard.claims[row.process] = row.incarnation
        present = {(task.task, task.attempt): task for task in reply.tasks}
        for task in list(shard.by_process.get(row.process, ())):
            run = shard.runs[task]
            if run.phase is Phase.HELD:
                self._resolve_held(run, row, present.get((task, run.attempt)), now)
        self._handle_outcomes(shard, row, reply.outcomes, now)
        self.state.refresh_host(row.process)

    def _resolve_held(self, run: Run, row: HostRow, report: TaskReport | None, now: float) -> None:
        """Resolve an attempt held since the shard was acquired, now that its host is fenced.

        If the host does not report it, a start by the former owner may still be
        on its way to the worker, until the start window has passed.
        """
        run.expires_at = now + self.state.lease_total_s
        if report is not None:
            self._mark_running(run, report, now)
            return
        heartbeat = row.link.last_heartbeat if row.link is not None else None
        run.anchor_clock_ms = heartbeat.worker_clock_ms if heartbeat is not None else 0
        run.anchor_incarnation = row.incarnation
        run.sends = MAX_SENDS
        run.phase = Phase.STARTING

    def process_reports(self, now: float) -> None:
        """Handle the newest report of every host that sent one since the last tick."""
        inbox, self.state.inbox = self.state.inbox, {}
        for process, (link, report) in inbox.items():
            row = self.state.row_of(link)
            if row is None or self._is_older(row, report):
                continue
            self.state.reports[process] = (row.incarnation, report)
            if report.ready:
                self._handle_report(row, report, now)
            self.state.refresh_host(process)
            self._observe_interference(row, report, now)

    def _is_older(self, row: HostRow, report: HostReport) -> bool:
        recorded = self.state.reports.get(row.process)
        if recorded is None or recorded[0] != row.incarnation:
            return False
        return 0 < recorded[1].worker_clock_ms - report.worker_clock_ms < REORDER_MS

    def _handle_report(self, row: HostRow, report: HostReport, now: float) -> None:
        reported: set[tuple[TaskId, int]] = set()
        for task in report.tasks:
            reported.add((task.task, task.attempt))
            shard = self.state.shards.get(task.shard)
            if shard is not None and shard.loaded:
                self._handle_task(shard, row, task, now)
        outcomes: dict[int, list[TaskOutcome]] = defaultdict(list)
        for outcome in report.outcomes:
            reported.add((outcome.task, outcome.attempt))
            outcomes[outcome.shard].append(outcome)
        for shard in list(self.state.shards.values()):
            if shard.claims.get(row.process) != row.incarnation:
                continue
            self._handle_outcomes(shard, row, outcomes.get(shard.shard, ()), now)
            for name in list(shard.by_process.get(row.process, ())):
                run = shard.runs[name]
                if (name, run.attempt) not in reported and name not in shard.busy:
                    self._handle_absent(shard, run, row, report, now)

    def _handle_task(self, shard: Shard, row: HostRow, task: TaskReport, now: float) -> None:
        if task.epoch > shard.epoch:
            self.state.relinquish(shard, f"host {row.host} runs a task under epoch {task.epoch}")
            return
        if task.state in (RunState.ENDED, RunState.STOPPING):
            self._mark_present(shard.runs.get(task.task), task, row)
            return
        if shard.claims.get(row.process) != row.incarnation:
            return
        run = shard.runs.get(task.task)
        if run is not None and run.attempt == task.attempt and run.process == row.process:
            self._mark_running(run, task, now)
            return
        self.commands.stop(shard, row, task.task, task.attempt, "not assigned to this host")

    @staticmethod
    def _mark_present(run: Run | None, task: TaskReport, row: HostRow) -> bool:
        if run is None or run.attempt != task.attempt or run.process != row.process:
            return False
        run.absent_reports = 0
        return True

    def _mark_running(self, run: Run, task: TaskReport, now: float) -> None:
        """Mark an attempt as running. A held one is renewed from now on."""
        if run.phase in (Phase.HELD, Phase.STARTING, Phase.UNSENT):
            run.expires_at = max(
                run.expires_at if run.phase is Phase.STARTING else 0.0,
                now + self.state.lease_total_s,
            )
            run.phase = Phase.RUNNING
        run.seen_at, run.absent_reports, run.progress = now, 0, task.progress
        run.throttled = task.state is RunState.THROTTLED
        if task.checkpoint != run.checkpoint:
            run.checkpoint, run.checkpoint_progress = task.checkpoint, task.progress

    def _handle_absent(
        self, shard: Shard, run: Run, row: HostRow, report: HostReport, now: float
    ) -> None:
        """Handle an assigned attempt that its host reports neither as running nor as ended."""
        if run.phase in (Phase.PROPOSED, Phase.UNSENT, Phase.HELD):
            return
        policy = self.state.policy
        settled_ms = run.anchor_clock_ms + 1000 * policy.start_window_s + ABSENCE_MARGIN_MS
        same_incarnation = run.anchor_incarnation == row.incarnation
        if run.accepted or run.seen_at is not None:
            # The worker has lost it, perhaps in a restart, so its lease is not renewed any more.
            run.absent_reports += (
                same_incarnation and report.worker_clock_ms > settled_ms
            ) or not same_incarnation
            return
        if run.sends < MAX_SENDS and not run.cancelled and now - run.sent_at >= START_RESEND_S:
            self.commands.start(shard, run)
        elif same_incarnation and report.worker_clock_ms > settled_ms:
            run.expires_at = 0.0

    def _handle_outcomes(
        self, shard: Shard, row: HostRow, outcomes: Iterable[TaskOutcome], now: float
    ) -> None:
        """Journal and then acknowledge outcomes; recorded ones are acknowledged at once."""
        if not shard.usable:
            return
        records: list[Record] = []
        journaled, recorded = [], []
        for outcome in outcomes:
            run = shard.runs.get(outcome.task)
            if outcome.task in shard.busy:
                continue
            if run is not None and run.attempt == outcome.attempt and run.process == row.process:
                records.append(record_of(outcome))
                journaled.append((outcome.task, outcome.attempt))
                self._record_health(run, outcome, now)
                if outcome.outcome is Outcome.EVICTED:
                    written = outcome.checkpoint not in ("", run.checkpoint)
                    self.state.checkpoints.record(run.spec.activity, written)
            elif self._is_recorded(shard, outcome):
                recorded.append((outcome.task, outcome.attempt))
        if recorded:
            self.commands.acknowledge(shard, row, recorded)
        if records:
            done = partial(self.commands.acknowledge, shard, row, journaled)
            self.record_endings(shard, records, done)

    def _is_recorded(self, shard: Shard, outcome: TaskOutcome) -> bool:
        """Tell whether the journal already has the outcome of an attempt."""
        try:
            job, number = split_task(outcome.task)
        except JobUnknown:
            return True
        if shard_of(job, self.state.policy.shards) != shard.shard:
            return False
        row = shard.table.jobs.get(job)
        if row is None or row.is_finished(number):
            return True
        task = row.rows.get(number)
        if task is None:
            return False
        if task.state is TaskState.ASSIGNED:
            return task.attempt > outcome.attempt
        return task.attempt >= outcome.attempt

    def _record_health(self, run: Run, outcome: TaskOutcome, now: float) -> None:
        health, state = self.state.health, outcome.outcome
        if state is Outcome.FAILED:
            health.record(run.process, run.job, False, now)
        elif state in (Outcome.FINISHED, Outcome.EVICTED):
            health.record(run.process, run.job, True, now)

    def record_endings(self, shard: Shard, records: list[Record], done: object = None) -> None:
        """Journal records that end attempts, then remove these from memory."""
        tasks = [record.task for record in records]  # type: ignore[attr-defined]
        shard.busy.update(tasks)

        def applied(_: list[bool]) -> None:
            shard.busy.difference_update(tasks)
            for task in tasks:
                run = self.state.remove_run(shard, task)
                if run is not None:
                    self.state.refresh_host(run.process)
            if callable(done):
                done()

        def failed(_: Exception) -> None:
            shard.busy.difference_update(tasks)

        shard.propose(Proposal(records, applied, failed))

    def _observe_interference(self, row: HostRow, report: HostReport, now: float) -> None:
        activities = Counter(task.activity for task in report.tasks if task.activity)
        self.state.estimates.observe(
            row.process, row.announce.service, activities, report.pressure, now
        )

    def expire(self, now: float) -> None:
        """Record attempts as lost whose lease has certainly ended.

        A present host gets time for its next report first, since that may contain
        the attempt's outcome, which must not be discarded.
        """
        for shard in self.state.shards.values():
            if not shard.usable:
                continue
            lost: list[Record] = [
                TaskLost(run.task, run.attempt)
                for run in shard.runs.values()
                if now >= run.expires_at
                and self._expects_no_report(run, now)
                and run.phase is not Phase.PROPOSED
                and run.task not in shard.busy
            ]
            if lost:
                log.info("%d attempts lost", len(lost), extra={"shard": shard.shard})
                self.record_endings(shard, lost)

    def _expects_no_report(self, run: Run, now: float) -> bool:
        """Tell whether no further report on an attempt can be expected.

        The worker's clock in a report is decisive, since reports that were queued
        while this process was paused are older than their time of receipt.
        """
        row, recorded = self.state.hosts.rows.get(run.process), self.state.reports.get(run.process)
        if row is None or run.expires_at == 0.0 or now - run.expires_at >= REPORT_WAIT_S:
            return True
        if not row.present:
            return row.gone_at is None or now - row.gone_at >= REDIAL_S
        if recorded is None or not recorded[1].ready or recorded[1].worker_clock_ms < run.ended_ms:
            return False
        # An outcome in the report was skipped while the journal could not be written.
        outcomes = recorded[1].outcomes
        return not any(o.task == run.task and o.attempt == run.attempt for o in outcomes)

    def renew(self, now: float, last_store_contact: float) -> None:
        """Renew the leases of running attempts, unless the store was unavailable for too long.

        A new owner waits `run_hold_s` for tasks on unreachable hosts, so an owner
        without the store must have stopped renewing by then.
        """
        policy = self.state.policy
        if now - last_store_contact >= policy.run_hold_s:
            return
        due_s = policy.task_lease_s / 3.0
        for shard in list(self.state.shards.values()):
            by_process: dict[str, list[Run]] = defaultdict(list)
            for run in shard.runs.values():
                if (
                    now - run.renewed_at >= due_s
                    and run.phase in (Phase.RUNNING, Phase.EVICTING)
                    and not run.absent_reports
                    and not run.cancelled
                    and now < run.expires_at
                    and run.task not in shard.busy
                ):
                    by_process[run.process].append(run)
            for process, runs in by_process.items():
                row = self.state.hosts.rows.get(runs[0].process)
                if row is not None and row.present:
                    assert process == row.process
                    self.commands.renew(shard, row, runs, now)

    def stop_cancelled(self, now: float) -> None:
        """Stop attempts of cancelled jobs, and resend evictions that had no effect."""
        for shard in self.state.shards.values():
            for run in shard.runs.values():
                if run.cancelled and now - run.last_command_at >= STOP_RESEND_S:
                    row = self.commands.present_row(run.process)
                    claimed = row is not None and (shard.claims.get(run.process) == row.incarnation)
                    if row is not None and claimed and run.phase is not Phase.PROPOSED:
                        run.last_command_at = now
                        self.commands.stop(shard, row, run.task, run.attempt, "job cancelled")
                elif run.phase is Phase.EVICTING and now - run.last_command_at >= EVICT_RESEND_S:
                    self.commands.evict(shard, run, "repeated", now)

    def mark_cancelled(self, shard: Shard, job: JobId) -> None:
        """Mark the attempts of a job as cancelled."""
        row = shard.table.jobs.get(job)
        if row is None:
            return
        for number in row.rows:
            run = shard.runs.get(TaskId(f"{job}/{number}"))
            if run is not None:
                run.cancelled = True


def record_of(outcome: TaskOutcome) -> Record:
    """Return the journal record of an attempt's outcome."""
    task, attempt = outcome.task, outcome.attempt
    if outcome.outcome is Outcome.FINISHED:
        return TaskFinished(task, attempt)
    if outcome.outcome is Outcome.FAILED:
        return TaskFailed(task, attempt, outcome.reason)
    if outcome.outcome is Outcome.EVICTED:
        return TaskEvicted(task, attempt, outcome.checkpoint)
    return TaskLost(task, attempt, outcome.checkpoint)
