"""Ownership of shards: the journal, the scheduling tick and the operators' calls on jobs."""

import logging
from collections.abc import Callable, Sequence
from typing import Any

import anyio
from anyio.abc import TaskGroup

from apricotpath.codec import Envelope
from apricotpath.config import PolicySettings
from apricotpath.errors import (
    ApricotpathError,
    FencedError,
    LinkError,
    StoreError,
    StoreLimited,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from apricotpath.ids import DataCentreId, EntryId, Epoch, JobId, ShardId, TaskId
from apricotpath.jobs import JobTable
from apricotpath.link import Link
from apricotpath.messages import (
    HostReport,
    JobCall,
    Leaving,
    Message,
    ShardClaimed,
    ShareRequest,
)
from apricotpath.model import JobSpec
from apricotpath.placement import Mode
from apricotpath.quota import rendezvous
from apricotpath.records import Record, from_json, to_json
from apricotpath.rules import Rules
from apricotpathd.commands import Commands
from apricotpathd.component import UtcClock
from apricotpathd.fairshares import fair_shares
from apricotpathd.hosts import HostTable
from apricotpathd.jobcalls import JobCalls
from apricotpathd.reconcile import Reconciler
from apricotpathd.runs import Journal, Members, OwnerState, Phase, Proposal, Run, Shard
from apricotpathd.scheduling import ShardScheduler
from apricotpathd.shares import Limits, TeamShares, no_limits

log = logging.getLogger(__name__)

ACQUIRE_INTERVAL_S = 1.0
# Entries that start together see each other within this time after their first view. Shards
# are distributed only then, so that none has to move soon afterwards.
STARTUP_WAIT_S = 1.5
# An entry that is not the first choice for a shard without an owner waits this long
# per rank, so that usually only one entry tries to acquire it.
RANK_WAIT_S = 3.0
# A shard beyond an entry's fair share is handed over after this time.
HANDOVER_DELAY_S = 10.0
STORE_RETRY_S = 0.5
SNAPSHOT_RECORDS = 5000
# Scans over all attempts run at this interval, placement in every tick.
SCAN_INTERVAL_S = 0.5
IMPOSSIBLE_CHECK_INTERVAL_S = 5.0

OpenJournal = Callable[[ShardId, Epoch], Journal]


class Owner:
    """Owns shards until the store or a host reports a newer owner."""

    handles: frozenset[type[Message]] = frozenset(
        {HostReport, ShardClaimed, JobCall, ShareRequest, Leaving}
    )

    def __init__(
        self,
        entry: EntryId,
        policy: PolicySettings,
        hosts: HostTable,
        members: Members,
        open_journal: OpenJournal,
        rules: Rules,
        is_fresh: Callable[[], bool],
        utc: UtcClock,
        limits: Limits = no_limits,
        mode: Mode = Mode.POLICY,
    ) -> None:
        self.state = OwnerState(entry, policy, hosts, rules, is_fresh, utc, mode)
        self.members = members
        self.open_journal = open_journal
        self.commands = Commands(self.state)
        self.shares = TeamShares(entry, members, limits, policy.fresh_s)
        self.reconciler = Reconciler(self.state, self.commands)
        self.scheduler = ShardScheduler(self.state, self.commands, self.shares)
        self.calls = JobCalls(self.state, members, self.scheduler, self.reconciler)
        self.draining = False
        self._group: TaskGroup | None = None
        self._unowned_since: dict[ShardId, float] = {}
        self._misplaced_since: dict[ShardId, float] = {}
        self._first_view_at: float | None = None
        self._view_changed = anyio.Event()
        self._acquiring: set[ShardId] = set()
        self._next_scan_at = 0.0
        self._next_impossible_check_at = 0.0

    async def submit(self, spec: JobSpec) -> dict[str, Any]:
        """Accept a job, durably, and return its summary. Idempotent by job id.

        Raises InputError, ConflictError, NoOwner, StoreUnavailable (nothing was
        changed) and StoreOutcomeUnknown (submit again).
        """
        return await self.calls.submit(spec)

    async def cancel(self, job: JobId) -> dict[str, Any]:
        """Cancel a job, durably, and return its summary. Errors as for `submit`."""
        return await self.calls.cancel(job)

    async def list(self) -> dict[str, Any]:
        """Return the jobs of all reachable owners and the shards that are missing."""
        return await self.calls.list()

    async def show(self, job: JobId) -> dict[str, Any]:
        """Return a job with its tasks, or raise JobUnknown or NoOwner."""
        return await self.calls.show(job)

    async def explain(self, name: str) -> dict[str, Any]:
        """Return why a job or task waits, or raise JobUnknown or NoOwner."""
        return await self.calls.explain(name)

    def debug(self) -> dict[str, Any]:
        """Return the owner's state for operators, as plain JSON values."""
        state = self.state
        return {
            "shards": [
                {
                    "shard": shard.shard,
                    "epoch": shard.epoch,
                    "loaded": shard.loaded,
                    "jobs": len(shard.table.jobs),
                    "attempts": len(shard.runs),
                    "held": sum(run.phase is Phase.HELD for run in shard.runs.values()),
                    "claims": len(shard.claims),
                }
                for shard in state.shards.values()
            ],
            "hosts_usable": len(state.index.hosts),
            "set_aside": [name for name in state.health.rows if state.health.set_aside(name)],
            "slowdowns": {
                f"{service}/{activity}": round(value, 3)
                for (service, activity), value in state.estimates.single.items()
            },
        }

    async def run(self) -> None:
        """Acquire shards and run the scheduling tick until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = self.commands.group = self.shares.group = group
            self.scheduler.request_remote_capacity = self._request_remote_capacity
            group.start_soon(self._acquire_loop)
            while True:
                self.tick(anyio.current_time())
                await anyio.sleep(self.state.policy.tick_s)

    def tick(self, now: float) -> None:
        """Reconcile and schedule once; the order matters, as later steps use earlier results."""
        self.reconciler.process_reports(now)
        self.reconciler.send_claims(now)
        if now >= self._next_scan_at:
            self._next_scan_at = now + SCAN_INTERVAL_S
            self.reconciler.expire(now)
            self.reconciler.renew(now, self.members.last_contact_at())
            self.reconciler.stop_cancelled(now)
            self.scheduler.evict_forbidden(now)
            self.scheduler.guard_hosts(now)
            self.scheduler.restore_throttles(now)
            self.shares.renew_used_shares(now)
        if now >= self._next_impossible_check_at:
            self._next_impossible_check_at = now + IMPOSSIBLE_CHECK_INTERVAL_S
            self.scheduler.mark_impossible_jobs(now)
            self.scheduler.forget_ended(now)
            self.reconciler.forget_hosts()
        if not self.draining:
            self.scheduler.place(now)

    async def received(self, link: Link, envelope: Envelope) -> None:
        """Handle a message; replies that need the store are sent from a separate task."""
        body = envelope.body
        if isinstance(body, HostReport):
            if link.peer is not None:
                self.state.inbox[link.peer.process_id] = (link, body)
        elif isinstance(body, ShardClaimed):
            self.reconciler.receive_claim(link, body, anyio.current_time())
        elif isinstance(body, JobCall) and self._group is not None:
            self._group.start_soon(self._answer, link, envelope.id, body)
        elif isinstance(body, ShareRequest) and link.peer is not None:
            entry = EntryId(link.peer.process_id)
            grant = self.shares.answer(entry, body, anyio.current_time())
            self._reply(link, grant, envelope.id)
        elif isinstance(body, Leaving) and link.peer is not None:
            self.state.index.remove(link.peer.process_id)

    async def _answer(self, link: Link, number: int, call: JobCall) -> None:
        self._reply(link, await self.calls.answer(call), number)

    def _request_remote_capacity(
        self, spec: JobSpec, tasks: Sequence[TaskId], data_centres: Sequence[DataCentreId]
    ) -> None:
        if self._group is not None:
            self._group.start_soon(self.calls.request_capacity, spec, [*tasks], [*data_centres])

    @staticmethod
    def _reply(link: Link, message: Message, reply_to: int) -> None:
        try:
            link.send_nowait(message, reply_to)
        except LinkError as exc:
            log.info("reply not sent: %s", exc)

    async def link_opened(self, link: Link) -> None:
        """Do nothing: hosts are registered by their announcements."""

    async def link_closed(self, link: Link) -> None:
        """Stop placing tasks on the host; its running tasks continue under their leases."""
        if link.peer is not None:
            row = self.state.hosts.rows.get(link.peer.process_id)
            if row is None or row.link is link or row.link is None:
                self.state.index.remove(link.peer.process_id)

    async def drain(self) -> None:
        """Stop scheduling, and release all shards once their writes are done."""
        self.draining = True
        for shard in list(self.state.shards.values()):
            while shard.loaded and not shard.relinquished and (shard.outbox or shard.busy):
                if shard.store_failed_at is not None:
                    break
                await anyio.sleep(self.state.policy.tick_s)
            await self._release(shard, "the entry is shutting down")

    async def _release(self, shard: Shard, reason: str) -> None:
        # An earlier owner may still renew held tasks, so the next owner must wait for them too.
        held = any(run.phase is Phase.HELD for run in shard.runs.values())
        settled = shard.loaded and not held
        self.state.relinquish(shard, reason)
        try:
            await self.members.release_shard(shard.shard, shard.epoch, settled)
        except StoreError as exc:
            log.warning("shard not released: %s", exc, extra={"shard": shard.shard})

    async def _acquire_loop(self) -> None:
        while True:
            self._view_changed = anyio.Event()
            if not self.draining:
                self._review_shards(anyio.current_time())
            with anyio.move_on_after(ACQUIRE_INTERVAL_S):
                await self._view_changed.wait()

    def view_changed(self) -> None:
        """Review the shards now, since another entry may have released one."""
        self._view_changed.set()

    def _review_shards(self, now: float) -> None:
        """Drop shards that the store assigns to others, and acquire those without an owner."""
        view, entry = self.members.view(), self.state.entry
        numbers = [ShardId(number) for number in range(self.state.policy.shards)]
        held = {number: owner[0] for number, owner in view.owners.items()}
        fair = fair_shares(view.entries, numbers, held)
        if entry in view.entries and self._first_view_at is None:
            self._first_view_at = now
        startup_over = (
            self._first_view_at is not None and now - self._first_view_at >= STARTUP_WAIT_S
        )
        for number in numbers:
            owner, shard = view.owners.get(number), self.state.shards.get(number)
            if shard is not None:
                if owner is not None and owner[1] > shard.epoch:
                    self.state.relinquish(shard, f"{owner[0]} owns it under epoch {owner[1]}")
                else:
                    self._hand_over(shard, fair.get(number), now)
                continue
            if owner is not None and owner[0] in view.entries and owner[0] != entry:
                self._unowned_since.pop(number, None)
                continue
            if entry not in view.entries or number in self._acquiring or not startup_over:
                continue
            since = self._unowned_since.setdefault(number, now)
            ranking = rendezvous(f"shard/{number}", list(view.entries))
            place = 0 if fair[number] == entry else 1 + ranking.index(entry)
            if now - since >= place * RANK_WAIT_S and self._group is not None:
                self._acquiring.add(number)
                self._group.start_soon(self._acquire, number)

    def _hand_over(self, shard: Shard, first: EntryId | None, now: float) -> None:
        """Release a shard beyond this entry's fair share, to balance the load."""
        if first in (None, self.state.entry) or not shard.usable:
            self._misplaced_since.pop(shard.shard, None)
            return
        since = self._misplaced_since.setdefault(shard.shard, now)
        if now - since >= HANDOVER_DELAY_S and not shard.outbox and not shard.busy:
            self._misplaced_since.pop(shard.shard)
            if self._group is not None:
                self._group.start_soon(self._release, shard, f"handed over to {first}")

    async def _acquire(self, number: ShardId) -> None:
        try:
            acquired = await self.members.acquire_shard(number)
        except ApricotpathError as exc:
            log.info("shard not acquired: %s", exc, extra={"shard": number})
            return
        finally:
            self._acquiring.discard(number)
        self._unowned_since.pop(number, None)
        if acquired is None or number in self.state.shards:
            return
        epoch = acquired.epoch
        shard = Shard(number, epoch, self.open_journal(number, epoch), anyio.current_time())
        shard.released = acquired.released
        self.state.shards[number] = shard
        # Hosts take tasks again once they have accepted this claim too.
        for process in list(self.state.index.hosts):
            self.state.index.remove(process)
        log.info("shard acquired", extra={"shard": number, "epoch": epoch})
        if self._group is not None:
            self._group.start_soon(shard.journal.run)
            self._group.start_soon(self._serve, shard)

    async def _serve(self, shard: Shard) -> None:
        """Load a shard's journal, then write proposals until the shard is relinquished."""
        with shard.scope:
            if shard.relinquished:
                return
            try:
                await self._load(shard, first=True)
                while True:
                    await shard.wake.wait()
                    await self._write(shard)
            except FencedError as exc:
                self.state.relinquish(shard, str(exc))
            except ApricotpathError as exc:
                log.exception("shard cannot be served")
                self.state.relinquish(shard, str(exc))

    async def _load(self, shard: Shard, *, first: bool) -> None:
        """Fill the table from the journal and match it with the attempts in memory."""
        while True:
            try:
                stored = await shard.journal.load()
                break
            except FencedError:
                raise
            except StoreError as exc:
                log.info("journal not loaded: %s", exc, extra={"shard": shard.shard})
                await anyio.sleep(STORE_RETRY_S)
        table = JobTable()
        for value in stored:
            table.apply(from_json(value))
        shard.table = table
        self._match_runs(shard, first=first)
        shard.loaded, shard.store_failed_at = True, None

    def _match_runs(self, shard: Shard, *, first: bool) -> None:
        """Keep the attempts that the journal confirms, and add those that only it contains.

        After the first load these are held. After a reload such an assignment was written by
        this owner without an answer; it was never sent, so it can be released at once.
        """
        policy, state = self.state.policy, self.state
        # An owner stops renewing before it releases a shard, so only its last renewals count.
        hold_s = state.lease_total_s + (0.0 if shard.released else policy.run_hold_s * 1.01)
        assigned = {}
        for task, job, row in shard.table.assigned():
            assigned[task] = row.attempt
            run = shard.runs.get(task)
            if run is not None and run.attempt == row.attempt:
                run.cancelled = job.cancelled
                continue
            if run is not None:
                state.remove_run(shard, task)
            held = Run(
                task,
                job.spec,
                row.attempt,
                row.host,
                row.process,
                Phase.HELD if first else Phase.UNSENT,
                shard.acquired_at + hold_s if first else 0.0,
                checkpoint=row.checkpoint,
                evictions=row.evictions,
                cancelled=job.cancelled,
            )
            state.add_run(shard, held)
        for task in list(shard.runs):
            if assigned.get(task) != shard.runs[task].attempt:
                state.remove_run(shard, task)

    async def _write(self, shard: Shard) -> None:
        """Write all proposals in one append, then apply each and call its callback."""
        shard.wake = anyio.Event()
        batch, shard.outbox = shard.outbox, []
        records = [record for proposal in batch for record in proposal.records]
        if not records:
            return
        try:
            await shard.journal.append([to_json(record) for record in records])
        except FencedError as exc:
            self._fail(batch, exc)
            raise
        except (StoreUnavailable, StoreLimited) as exc:
            shard.store_failed_at = anyio.current_time()
            self._fail(batch, exc)
            log.warning("journal not written: %s", exc, extra={"shard": shard.shard})
            await anyio.sleep(STORE_RETRY_S)
            shard.store_failed_at = None
        except StoreError as exc:
            log.warning("journal reloaded: %s", exc, extra={"shard": shard.shard})
            shard.loaded = False
            self._fail(batch, exc)
            # Proposals queued meanwhile are based on a table that is about to be replaced.
            queued, shard.outbox = shard.outbox, []
            self._fail(queued, StoreUnavailable("the journal is being read again"))
            await self._load(shard, first=False)
        except BaseException as exc:
            # A cancelled write may still take effect.
            self._fail(batch, StoreOutcomeUnknown(f"the shard was given up: {exc!r}"))
            raise
        else:
            self._apply(shard, batch)
            shard.appended += len(records)
            if shard.appended >= SNAPSHOT_RECORDS:
                await self._snapshot(shard)

    @staticmethod
    def _fail(batch: Sequence[Proposal], exc: Exception) -> None:
        for proposal in batch:
            proposal.failed(exc)

    @staticmethod
    def _apply(shard: Shard, batch: Sequence[Proposal]) -> None:
        for proposal in batch:
            changed = [shard.table.apply(record) for record in proposal.records]
            proposal.done(changed)

    async def _snapshot(self, shard: Shard) -> None:
        try:
            records: list[Record] = list(shard.table.snapshot_records())
            await shard.journal.snapshot([to_json(record) for record in records])
        except FencedError:
            raise
        except StoreError as exc:
            log.info("snapshot not written: %s", exc, extra={"shard": shard.shard})
            return
        shard.appended = 0
