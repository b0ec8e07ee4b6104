"""Commands from a shard's owner to agents, each with the shard's epoch."""

import logging

import anyio
from anyio.abc import TaskGroup

from apricotpath.errors import LinkError
from apricotpath.ids import ProcessId, TaskId
from apricotpath.link import Link
from apricotpath.messages import (
    ClaimShard,
    EvictTask,
    Message,
    OutcomeAck,
    RenewTasks,
    StartTask,
    StopTask,
    TaskReply,
    ThrottleTask,
)
from apricotpath.model import ReplyCode
from apricotpathd.hosts import HostRow
from apricotpathd.runs import OwnerState, Phase, Run, Shard

log = logging.getLogger(__name__)

RENEW_CHUNK = 500


class Commands:
    """Sends commands; a failed send is retried in a later tick of the scheduler."""

    def __init__(self, state: OwnerState) -> None:
        self.state = state
        self.group: TaskGroup | None = None

    def send(self, row: HostRow | None, message: Message) -> bool:
        """Queue a message to a host; return False if its link is closed or its queue full."""
        if row is None or row.link is None:
            return False
        try:
            row.link.send_nowait(message)
        except LinkError as exc:
            log.info("command not sent: %s", exc, extra={"host": row.host})
            return False
        return True

    def present_row(self, process: ProcessId) -> HostRow | None:
        """Return the row of a host that is present, or None."""
        row = self.state.hosts.rows.get(process)
        return row if row is not None and row.present else None

    def claim(self, shard: Shard, row: HostRow, now: float) -> None:
        """Send the shard's epoch to a host."""
        shard.claim_sent_at[row.process] = now
        self.send(row, ClaimShard(shard.shard, shard.epoch))

    def start(self, shard: Shard, run: Run) -> None:
        """Send a start, if the control state is fresh and the host reachable.

        The lease runs from the worker's clock in the last heartbeat. The owner
        counts its end from the receipt of that heartbeat, which is later.
        """
        state, row = self.state, self.present_row(run.process)
        if row is None or row.leaving or not state.is_fresh() or self.group is None:
            return
        link = row.link
        if link is None or link.last_heartbeat is None or link.last_heartbeat.worker_clock_ms <= 0:
            return
        if shard.claims.get(run.process) != row.incarnation:
            return
        if not state.rules.in_service(row.announce.data_centre):
            return
        heartbeat, received_at = link.last_heartbeat, link.last_heartbeat_at
        state.extend_lease(run, heartbeat.worker_clock_ms, received_at)
        run.anchor_clock_ms = heartbeat.worker_clock_ms
        run.anchor_incarnation = row.incarnation
        run.sends += 1
        run.sent_at = anyio.current_time()
        run.phase = Phase.STARTING
        self.group.start_soon(self._call_start, shard, run, link, self._start_message(shard, run))

    def _start_message(self, shard: Shard, run: Run) -> StartTask:
        spec = run.spec
        return StartTask(
            shard=shard.shard,
            epoch=shard.epoch,
            task=run.task,
            attempt=run.attempt,
            team=spec.team,
            activity=spec.activity,
            task_class=spec.task_class,
            size=spec.size,
            command=spec.command,
            run_time_s=spec.run_time_s,
            checkpoint=run.checkpoint,
            checkpoint_s=spec.checkpoint_s,
            anchor_incarnation=run.anchor_incarnation,
            anchor_clock_ms=run.anchor_clock_ms,
            bundle_version=self.state.rules.bundle_version,
        )

    async def _call_start(self, shard: Shard, run: Run, link: Link, message: StartTask) -> None:
        try:
            reply = await link.call(message)
        except LinkError as exc:
            log.info("start unanswered: %s", exc, extra={"task": run.task, "attempt": run.attempt})
            return
        if not isinstance(reply, TaskReply) or shard.relinquished:
            return
        if reply.accepted:
            if run.phase is Phase.STARTING:
                run.accepted, run.phase = True, Phase.RUNNING
            return
        self._handle_refusal(shard, run, reply)

    def _handle_refusal(self, shard: Shard, run: Run, reply: TaskReply) -> None:
        log.info("start refused: %s", reply.reason, extra={"task": run.task, "code": reply.code})
        if reply.code is ReplyCode.EPOCH:
            self.state.relinquish(
                shard, f"host {run.host} knows a newer owner of shard {shard.shard}"
            )
            return
        if reply.code is ReplyCode.REFUSED:
            self.state.health.record(run.process, run.job, False, anyio.current_time())
        # The host counts as full until its next report, as other owners may have used it.
        self.state.index.remove(run.process)
        # A refusal of the only copy proves that the attempt never runs. After a repeated
        # start the refusal may concern one copy while the other runs.
        if run.sends == 1 and run.phase is Phase.STARTING:
            run.expires_at = 0.0

    def stop(self, shard: Shard, row: HostRow, task: TaskId, attempt: int, reason: str) -> None:
        """Stop an attempt without a checkpoint."""
        self.send(row, StopTask(shard.shard, shard.epoch, task, attempt, reason))

    def evict(self, shard: Shard, run: Run, reason: str, now: float) -> bool:
        """Ask a host to checkpoint and stop an attempt; return whether the command was sent."""
        message = EvictTask(shard.shard, shard.epoch, run.task, run.attempt, reason)
        if not self.send(self.present_row(run.process), message):
            return False
        if run.phase is not Phase.EVICTING:
            self.state.limits.record(run.job, now)
        run.phase, run.last_command_at = Phase.EVICTING, now
        return True

    def throttle(self, shard: Shard, run: Run, share: float, now: float) -> None:
        """Limit an attempt to a share of its processors."""
        message = ThrottleTask(shard.shard, shard.epoch, run.task, run.attempt, share)
        if self.send(self.present_row(run.process), message):
            run.share, run.last_command_at = share, now

    def acknowledge(self, shard: Shard, row: HostRow, ended: list[tuple[TaskId, int]]) -> None:
        """Tell a host that the outcomes of these attempts are journaled."""
        tasks, attempts = tuple(t for t, _ in ended), tuple(a for _, a in ended)
        self.send(row, OutcomeAck(shard.shard, tasks, attempts, shard.epoch))

    def renew(self, shard: Shard, row: HostRow, runs: list[Run], now: float) -> None:
        """Renew the leases of attempts on one host."""
        link = row.link
        if link is None or link.last_heartbeat is None or link.last_heartbeat.worker_clock_ms <= 0:
            return
        clock_ms, received_at = link.last_heartbeat.worker_clock_ms, link.last_heartbeat_at
        for offset in range(0, len(runs), RENEW_CHUNK):
            chunk = runs[offset : offset + RENEW_CHUNK]
            # The end of the lease is extended before the message is sent, because a
            # message whose send fails may still arrive.
            for run in chunk:
                self.state.extend_lease(run, clock_ms, received_at)
                run.renewed_at = now
            tasks = tuple(run.task for run in chunk)
            message = RenewTasks(shard.shard, shard.epoch, tasks, row.incarnation, clock_ms)
            if not self.send(row, message):
                return
