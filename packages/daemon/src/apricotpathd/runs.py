"""In-memory state of an owner: shards, attempts in progress, pending journal writes, hosts."""

import logging
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

import anyio

from apricotpath.config import PolicySettings
from apricotpath.errors import FencedError
from apricotpath.eviction import CheckpointHistory, EvictionLimits
from apricotpath.ids import (
    EntryId,
    Epoch,
    HostId,
    IncarnationId,
    JobId,
    ProcessId,
    ShardId,
    TaskId,
    TeamId,
)
from apricotpath.interference import Estimates, GuardRow
from apricotpath.jobs import JobTable, shard_of
from apricotpath.link import Link
from apricotpath.messages import HostReport
from apricotpath.model import JobSpec
from apricotpath.placement import Host, HostIndex, Mode, Reason
from apricotpath.quota import CLOCK_DRIFT
from apricotpath.records import Record
from apricotpath.rules import Rules
from apricotpath.workerhealth import WorkerHealth
from apricotpathd.component import UtcClock
from apricotpathd.hosts import HostRow, HostTable

log = logging.getLogger(__name__)


class Journal(Protocol):
    """A shard's journal as the owner uses it, under one epoch.

    Every call may raise FencedError (a newer owner exists), StoreUnavailable
    or StoreLimited (no effect) and StoreOutcomeUnknown (reload before going on).
    """

    async def run(self) -> None:
        """Write queued records until closed."""

    def close(self) -> None:
        """End `run` after the write in progress."""

    async def append(self, records: Sequence[dict[str, Any]]) -> None:
        """Write records; they are durable when this returns."""

    async def load(self) -> Sequence[dict[str, Any]]:
        """Return the newest snapshot's records and all that follow it."""

    async def snapshot(self, records: Sequence[dict[str, Any]]) -> None:
        """Replace everything written so far by records that rebuild the same table."""


@dataclass(frozen=True, slots=True)
class Acquired:
    """A shard's new epoch, and whether the former owner released it with no task held.

    If it did, no earlier owner can renew the lease of any task of the shard.
    """

    epoch: Epoch
    released: bool = False


@dataclass(frozen=True, slots=True)
class View:
    """Membership as last read from the store.

    `entries` are alive, this one included; `owners` maps a shard to its owner
    and epoch, whether or not the owner is alive.
    """

    entries: tuple[EntryId, ...]
    owners: dict[ShardId, tuple[EntryId, Epoch]]


class Members(Protocol):
    """The entry's membership and shard claims in the store."""

    def view(self) -> View:
        """Return the newest view."""

    def last_contact_at(self) -> float:
        """Return the monotonic time of the last successful store call."""

    def link_to(self, entry: EntryId) -> Link | None:
        """Return an open link to another entry, or None."""

    async def acquire_shard(self, shard: ShardId) -> Acquired | None:
        """Acquire a shard whose owner is gone; None if another entry owns it."""

    async def release_shard(self, shard: ShardId, epoch: Epoch, settled: bool) -> None:
        """Release a shard, so that another entry may acquire it at once.

        `settled` is True if no task is held because an earlier owner may still renew it.
        """


NO_INCARNATION = IncarnationId("")


class Phase(Enum):
    """Progress of an attempt as far as the owner has seen it."""

    PROPOSED = "proposed"
    UNSENT = "unsent"
    STARTING = "starting"
    RUNNING = "running"
    EVICTING = "evicting"
    HELD = "held"


@dataclass(slots=True)
class Run:
    """One assigned attempt; times are monotonic seconds of this process.

    `expires_at` is when the attempt has certainly ended unless its lease is
    renewed; `ended_ms` is the same on the worker's clock, without drift.
    `anchor_clock_ms` belongs to the newest start that was sent. `absent_reports`
    counts reports of the host without the attempt, and `checkpoint_progress` is
    the progress at the newest checkpoint.
    """

    task: TaskId
    spec: JobSpec
    attempt: int
    host: HostId
    process: ProcessId
    phase: Phase
    expires_at: float
    ended_ms: float = 0.0
    anchor_clock_ms: int = 0
    anchor_incarnation: IncarnationId = NO_INCARNATION
    sends: int = 0
    sent_at: float = -1e9
    seen_at: float | None = None
    absent_reports: int = 0
    renewed_at: float = -1e9
    last_command_at: float = -1e9
    share: float = 1.0
    throttled: bool = False
    progress: float = 0.0
    checkpoint_progress: float = 0.0
    checkpoint: str = ""
    evictions: int = 0
    accepted: bool = False
    cancelled: bool = False

    @property
    def job(self) -> JobId:
        """The job's id."""
        return self.spec.job_id


@dataclass(slots=True)
class Proposal:
    """Records to journal together, with callbacks.

    `done` is called with one flag per record, True if the record changed the table;
    `failed` is called if the records were not written.
    """

    records: list[Record]
    done: Callable[[list[bool]], None]
    failed: Callable[[Exception], None]


@dataclass(slots=True)
class Shard:
    """A shard that this entry owns under `epoch`.

    `busy` contains tasks with a record that is being written; no other decision is
    made about them meanwhile. `claims` holds the incarnation of each host that has
    accepted the epoch. All present hosts had done so when `HostTable.link_changes`
    was `claimed_link_changes`. `released` is as in `Acquired`.
    """

    shard: ShardId
    epoch: Epoch
    journal: Journal
    acquired_at: float
    table: JobTable = field(default_factory=JobTable)
    runs: dict[TaskId, Run] = field(default_factory=dict)
    by_process: dict[ProcessId, dict[TaskId, None]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    claims: dict[ProcessId, IncarnationId] = field(default_factory=dict)
    released: bool = False
    claim_sent_at: dict[ProcessId, float] = field(default_factory=dict)
    claimed_link_changes: int = -1
    outbox: list[Proposal] = field(default_factory=list)
    busy: set[TaskId] = field(default_factory=set)
    cancelling: set[JobId] = field(default_factory=set)
    ended_at: dict[JobId, float] = field(default_factory=dict)
    wake: anyio.Event = field(default_factory=anyio.Event)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    loaded: bool = False
    relinquished: bool = False
    store_failed_at: float | None = None
    appended: int = 0

    @property
    def usable(self) -> bool:
        """Whether decisions may be made: the shard is loaded and owned, and the store works."""
        return self.loaded and not self.relinquished and self.store_failed_at is None

    def add_run(self, run: Run) -> None:
        """Insert an attempt."""
        self.runs[run.task] = run
        self.by_process[run.process][run.task] = None

    def remove_run(self, task: TaskId) -> Run | None:
        """Remove an attempt and return it."""
        run = self.runs.pop(task, None)
        if run is not None:
            tasks = self.by_process[run.process]
            tasks.pop(task, None)
            if not tasks:
                del self.by_process[run.process]
        return run

    def propose(self, proposal: Proposal) -> None:
        """Queue records for the journal; they fail at once if the shard is relinquished."""
        if self.relinquished:
            proposal.failed(FencedError(f"shard {self.shard} is not owned any more"))
            return
        self.outbox.append(proposal)
        self.wake.set()


@dataclass(slots=True)
class OwnerState:
    """State shared by the owner's scheduler, reconciler and calls.

    `inbox` holds the newest report of each agent until the next tick, `reports`
    the last one handled.
    `used` is the committed cores of each team in the shards owned here.
    `reasons` tells why a job's next task waits, as of the last round of placement.
    """

    entry: EntryId
    policy: PolicySettings
    hosts: HostTable
    rules: Rules
    is_fresh: Callable[[], bool]
    utc: UtcClock
    mode: Mode = Mode.POLICY
    shards: dict[ShardId, Shard] = field(default_factory=dict)
    inbox: dict[ProcessId, tuple[Link, HostReport]] = field(default_factory=dict)
    reports: dict[ProcessId, tuple[IncarnationId, HostReport]] = field(default_factory=dict)
    index: HostIndex = field(default_factory=HostIndex)
    health: WorkerHealth = field(default_factory=WorkerHealth)
    estimates: Estimates = field(default_factory=Estimates)
    guards: dict[ProcessId, GuardRow] = field(default_factory=dict)
    limits: EvictionLimits = field(default_factory=EvictionLimits)
    checkpoints: CheckpointHistory = field(default_factory=CheckpointHistory)
    used: dict[TeamId, float] = field(default_factory=lambda: defaultdict(float))
    reasons: dict[JobId, Reason] = field(default_factory=dict)

    @property
    def lease_total_s(self) -> float:
        """Seconds after receipt of an anchor until its lease has certainly ended."""
        return (self.policy.task_lease_s + self.policy.kill_grace_s) * (1.0 + CLOCK_DRIFT)

    def shard_of(self, job: JobId) -> Shard | None:
        """Return the shard of a job if this entry owns it."""
        return self.shards.get(shard_of(job, self.policy.shards))

    def row_of(self, link: Link) -> HostRow | None:
        """Return the row whose current link this is."""
        row = self.hosts.rows.get(link.peer.process_id) if link.peer else None
        return row if row is not None and row.link is link else None

    def extend_lease(self, run: Run, anchor_ms: int, received_at: float) -> None:
        """Extend an attempt's recorded lease to the latest end that an anchor allows."""
        run.expires_at = max(run.expires_at, received_at + self.lease_total_s)
        length_s = self.policy.task_lease_s + self.policy.kill_grace_s
        run.ended_ms = max(run.ended_ms, anchor_ms + 1000.0 * length_s)

    def add_run(self, shard: Shard, run: Run) -> None:
        """Insert an attempt and count it for its team."""
        shard.add_run(run)
        self.used[run.spec.team] += run.spec.size.cpu_milli / 1000.0

    def remove_run(self, shard: Shard, task: TaskId) -> Run | None:
        """Remove an attempt and stop counting it."""
        run = shard.remove_run(task)
        if run is not None:
            self.used[run.spec.team] -= run.spec.size.cpu_milli / 1000.0
        return run

    def relinquish(self, shard: Shard, reason: str) -> None:
        """Give up a shard at once; its tasks continue under their leases."""
        if shard.relinquished:
            return
        shard.relinquished = True
        self.shards.pop(shard.shard, None)
        for run in list(shard.runs.values()):
            self.remove_run(shard, run.task)
        shard.scope.cancel()
        shard.journal.close()
        error = FencedError(reason)
        for proposal in shard.outbox:
            proposal.failed(error)
        shard.outbox.clear()
        log.warning("shard dropped: %s", reason, extra={"shard": shard.shard, "epoch": shard.epoch})

    def runs_on(self, process: ProcessId) -> Iterator[tuple[Shard, Run]]:
        """Yield the attempts on a host in all shards owned here."""
        for shard in self.shards.values():
            for task in shard.by_process.get(process, ()):
                yield shard, shard.runs[task]

    def refresh_host(self, process: ProcessId) -> None:
        """Update the placement index with a host's newest report.

        A host is in the index only while it accepts tasks of every shard
        owned here: present, ready, not leaving and with all claims accepted.
        """
        row, newest = self.hosts.rows.get(process), self.reports.get(process)
        if row is None or newest is None or not self._accepts_tasks(row, *newest):
            self.index.remove(process)
            return
        report = newest[1]
        free = row.announce.size - report.committed
        reported = {(task.task, task.attempt) for task in report.tasks}
        activities = Counter(task.activity for task in report.tasks if task.activity)
        for _, run in self.runs_on(process):
            if (run.task, run.attempt) not in reported:
                free = free - run.spec.size
                activities[run.spec.activity] += 1
        announce = row.announce
        self.index.put(
            Host(
                process,
                row.host,
                announce.data_centre,
                announce.service,
                announce.size,
                free,
                activities,
            )
        )

    def _accepts_tasks(self, row: HostRow, incarnation: IncarnationId, report: HostReport) -> bool:
        return (
            row.present
            and not row.leaving
            and report.ready
            and incarnation == row.incarnation
            and all(
                shard.claims.get(row.process) == row.incarnation for shard in self.shards.values()
            )
        )
