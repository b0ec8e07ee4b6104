"""An agent's tables of task attempts, filled from the worker's status."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

import anyio

from apricotpath.errors import CapacityError
from apricotpath.ids import Epoch, ShardId, TaskId, TeamId
from apricotpath.ledger import Ledger, LedgerKey
from apricotpath.messages import StartTask, TaskOutcome, TaskReport
from apricotpath.model import Outcome, RunState, Size, TaskClass
from apricotpath.worker import WorkerStatus, WorkerTask

Key = tuple[TaskId, int]

# Calls to the worker time out earlier than this, so a status cannot be requested this long
# before it is applied, and older records of forgotten attempts can be dropped.
FORGOTTEN_KEEP_S = 60.0


class Phase(Enum):
    """What the agent is doing with an attempt."""

    STARTING = "starting"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"


def ledger_key(key: Key) -> LedgerKey:
    """Return the key of an attempt in the ledger."""
    return LedgerKey(f"{key[0]}#{key[1]}")


@dataclass(slots=True)
class HeldAttempt:
    """One attempt that has not ended, to the agent's knowledge.

    A worker status requested before `confirmed_at` (monotonic seconds) may lack the
    attempt. `fits` is False for a running task that was found on the worker and exceeds
    the host's size. `owner_share` and `guard_share` limit its processors.
    """

    task: TaskId
    attempt: int
    shard: ShardId
    epoch: Epoch
    team: TeamId
    activity: str
    task_class: TaskClass
    size: Size
    checkpoint_s: float
    phase: Phase = Phase.RUNNING
    row: WorkerTask | None = None
    checkpoint: str = ""
    confirmed_at: float = 0.0
    fits: bool = True
    owner_share: float = 1.0
    guard_share: float = 1.0
    skip_checkpoint: bool = False
    reason: str = ""
    ended: anyio.Event = field(default_factory=anyio.Event)

    @property
    def key(self) -> Key:
        """Task and attempt."""
        return self.task, self.attempt

    @property
    def ending(self) -> bool:
        """Whether the agent has begun to end the attempt."""
        return self.phase in (Phase.CHECKPOINTING, Phase.STOPPING)

    def report(self) -> TaskReport:
        """Return the attempt in the form of a host report."""
        row = self.row
        # A start without a result yet may be running, so it is reported as running.
        state = row.state if row else RunState.RUNNING
        return TaskReport(
            self.task,
            self.shard,
            self.epoch,
            self.attempt,
            RunState.STOPPING if self.phase is Phase.STOPPING else state,
            self.size,
            row.usage if row else Size(),
            row.checkpoint if row else self.checkpoint,
            row.progress if row else 0.0,
        )


def attempt_from_start(msg: StartTask) -> HeldAttempt:
    """Return an attempt whose start has been admitted."""
    return HeldAttempt(
        msg.task,
        msg.attempt,
        msg.shard,
        msg.epoch,
        msg.team,
        msg.activity,
        msg.task_class,
        msg.size,
        msg.checkpoint_s,
        phase=Phase.STARTING,
        checkpoint=msg.checkpoint,
    )


def attempt_from_worker(row: WorkerTask) -> HeldAttempt:
    """Return an attempt that was found on the worker."""
    stopping = row.state is RunState.STOPPING
    return HeldAttempt(
        row.task,
        row.attempt,
        row.shard,
        row.epoch,
        row.team,
        row.activity,
        row.task_class,
        row.size,
        row.checkpoint_s,
        phase=Phase.STOPPING if stopping else Phase.RUNNING,
        row=row,
        # It is unknown whether the owner or the guard set the share. The guard releases it
        # when the host has spare capacity, and the owner sends its own share again.
        guard_share=row.share,
    )


@dataclass(slots=True)
class WorkerClock:
    """The worker's clock as owners see it, in ms; it does not go back when the worker restarts.

    A restarted worker begins its clock anew, so an anchor of its previous boot could
    look current. Each boot is therefore shifted to `gap_ms` past the last reading,
    which is longer than an anchor can be used for starts and leases.
    """

    gap_ms: int
    boot: str = ""
    base_ms: int = 0
    last_reading_ms: int = 0

    def update(self, status: WorkerStatus) -> bool:
        """Apply a status; tell whether the worker has restarted."""
        restarted = bool(self.boot) and self.boot != status.boot
        if restarted:
            self.base_ms = self.last_reading_ms + self.gap_ms
        self.boot = status.boot
        self.last_reading_ms = max(self.last_reading_ms, self.base_ms + status.clock_ms)
        return restarted

    def to_worker(self, visible_ms: int) -> int:
        """Convert a time to the clock of the worker's current boot."""
        return visible_ms - self.base_ms


@dataclass(slots=True)
class Changes:
    """The changes that a worker status led to."""

    adopted: list[HeldAttempt] = field(default_factory=list)
    ended: list[WorkerTask] = field(default_factory=list)


@dataclass(slots=True)
class AttemptTable:
    """Active (not ended) attempts, unacknowledged ended attempts, and the resource ledger."""

    ledger: Ledger
    active: dict[Key, HeldAttempt] = field(default_factory=dict)
    ended: dict[Key, WorkerTask] = field(default_factory=dict)
    forgotten: dict[Key, float] = field(default_factory=dict)

    def of_task(self, task: TaskId) -> HeldAttempt | None:
        """Return the active attempt of a task, or None."""
        return next((held for held in self.active.values() if held.task == task), None)

    def of_shard(self, shard: ShardId) -> list[HeldAttempt]:
        """Return the active attempts of a shard."""
        return [held for held in self.active.values() if held.shard == shard]

    @property
    def overcommitted(self) -> bool:
        """Whether a task runs that exceeds the host's size."""
        return any(not held.fits for held in self.active.values())

    def add(self, held: HeldAttempt) -> None:
        """Commit resources and add an attempt that is about to start; raises CapacityError."""
        if self.overcommitted:
            raise CapacityError("a task that runs already exceeds the host's size")
        self.ledger.reserve(ledger_key(held.key), held.size)
        self.active[held.key] = held

    def drop(self, held: HeldAttempt) -> None:
        """Remove an attempt that the worker does not run and will not run."""
        self.active.pop(held.key, None)
        self.ledger.release(ledger_key(held.key))
        held.ended.set()

    def apply(self, status: WorkerStatus, requested_at: float) -> Changes:
        """Apply a status that was requested at `requested_at` (monotonic seconds)."""
        changes = Changes()
        seen = {(row.task, row.attempt) for row in status.tasks}
        for row in status.tasks:
            self.apply_row(row, requested_at, changes)
        for key, held in list(self.active.items()):
            # A start in progress may still reach the worker after this status.
            absent = key not in seen and held.phase is not Phase.STARTING
            if absent and held.confirmed_at < requested_at:
                self.drop(held)
        self._commit_adopted()
        self._expire(seen, requested_at)
        return changes

    def apply_row(self, row: WorkerTask, requested_at: float, changes: Changes) -> None:
        """Apply one attempt of a worker status."""
        key = (row.task, row.attempt)
        held = self.active.get(key)
        if row.outcome is not None:
            if held is not None:
                self.drop(held)
            if key not in self.ended and self.forgotten.get(key, -1.0) < requested_at:
                self.ended[key] = row
                changes.ended.append(row)
        elif held is not None:
            held.row = row
        elif key not in self.ended and key not in self.forgotten:
            self._adopt(row, changes)

    def outcomes(self, rows: Iterable[WorkerTask] | None = None) -> tuple[TaskOutcome, ...]:
        """Return the unacknowledged ended attempts in the form of a host report."""
        return tuple(
            TaskOutcome(
                row.task,
                row.shard,
                row.attempt,
                row.outcome or Outcome.FAILED,
                row.checkpoint,
                row.reason,
            )
            for row in (self.ended.values() if rows is None else rows)
        )

    def _adopt(self, row: WorkerTask, changes: Changes) -> None:
        held = attempt_from_worker(row)
        held.fits = False
        self.active[held.key] = held
        changes.adopted.append(held)

    def _commit_adopted(self) -> None:
        for held in self.active.values():
            if held.fits:
                continue
            try:
                self.ledger.adopt(ledger_key(held.key), held.size)
            except CapacityError:
                continue
            held.fits = True

    def _expire(self, seen: set[Key], requested_at: float) -> None:
        for key in [key for key in self.ended if key not in seen]:
            del self.ended[key]
        for key, at in list(self.forgotten.items()):
            if requested_at - at > FORGOTTEN_KEEP_S:
                del self.forgotten[key]
