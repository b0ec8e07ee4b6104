"""Adapter to the platform's worker on the same host."""

from dataclasses import dataclass
from typing import Protocol

from apricotpath.ids import Epoch, ShardId, TaskId, TeamId
from apricotpath.model import Outcome, RunState, Size, TaskClass


@dataclass(frozen=True, slots=True)
class WorkerTask:
    """One task that the worker runs or remembers until `forget`.

    `outcome` is None while the task runs. `deadline_ms` is the end of its
    lease on the worker's clock; `progress` runs from 0.0 to 1.0.
    """

    task: TaskId
    attempt: int
    shard: ShardId
    epoch: Epoch
    team: TeamId
    activity: str
    task_class: TaskClass
    state: RunState
    size: Size
    usage: Size
    deadline_ms: int
    checkpoint: str
    progress: float
    outcome: Outcome | None
    reason: str


@dataclass(frozen=True, slots=True)
class WorkerStatus:
    """State of the worker; `clock_ms` is its monotonic clock, restarted with `boot`."""

    boot: str
    clock_ms: int
    size: Size
    usage: Size
    tasks: tuple[WorkerTask, ...]


@dataclass(frozen=True, slots=True)
class StartOrder:
    """One start.

    The worker refuses it when its clock has passed `start_by_ms`, when it
    knows a higher attempt of the task, or when the size does not fit. It kills
    the task at `deadline_ms`, or at most the kill grace later.
    """

    task: TaskId
    attempt: int
    shard: ShardId
    epoch: Epoch
    team: TeamId
    activity: str
    task_class: TaskClass
    size: Size
    command: str
    run_time_s: float
    checkpoint: str
    checkpoint_s: float
    start_by_ms: int
    deadline_ms: int


class Worker(Protocol):
    """What an agent needs of the worker.

    Every call may raise WorkerUnavailable (effect unknown) or WorkerRefused
    (no effect). All calls are idempotent by (task, attempt).
    """

    async def status(self) -> WorkerStatus:
        """Return the worker's clock, size, usage and all tasks."""

    async def start(self, order: StartOrder) -> WorkerTask:
        """Start a task, or return it if this attempt is known already."""

    async def renew(self, task: TaskId, attempt: int, deadline_ms: int) -> WorkerTask:
        """Move a running task's deadline, later or earlier."""

    async def checkpoint(self, task: TaskId, attempt: int) -> WorkerTask:
        """Write a checkpoint and return the task with the checkpoint's id."""

    async def throttle(self, task: TaskId, attempt: int, share: float) -> WorkerTask:
        """Limit a task to a share of its processors, from 0.0 to 1.0."""

    async def stop(self, task: TaskId, attempt: int, outcome: Outcome) -> WorkerTask:
        """Ask a task to stop; it has ended when its state says so."""

    async def forget(self, task: TaskId, attempt: int) -> None:
        """Drop the record of an ended attempt; the highest attempt is remembered."""
