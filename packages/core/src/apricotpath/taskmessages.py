"""Messages of tasks, between the owner of their shard and an agent."""

from dataclasses import dataclass

from apricotpath.ids import (
    BackendId,
    DataCentreId,
    Epoch,
    HostId,
    IncarnationId,
    RackId,
    ServiceId,
    ShardId,
    TaskId,
    TeamId,
)
from apricotpath.messagebase import Message
from apricotpath.model import Maturity, Outcome, ReplyCode, RunState, Size, TaskClass

NO_TEAM = TeamId("")
NO_EPOCH = Epoch(0)


@dataclass(frozen=True, slots=True)
class Announce(Message):
    """Capacity of an agent: its host and, if `service` is not empty, its backend server."""

    host: HostId
    rack: RackId
    data_centre: DataCentreId
    size: Size
    backend: BackendId
    service: ServiceId
    slots: int
    connections: int
    leaving: bool
    ready: bool
    maturity: Maturity


@dataclass(frozen=True, slots=True)
class TaskReport:
    """One task on a worker; `usage` is measured and `size` is declared."""

    task: TaskId
    shard: ShardId
    epoch: Epoch
    attempt: int
    state: RunState
    size: Size
    usage: Size
    checkpoint: str
    progress: float
    team: TeamId = NO_TEAM
    activity: str = ""


@dataclass(frozen=True, slots=True)
class TaskOutcome:
    """An ended attempt that the shard's owner has not acknowledged yet."""

    task: TaskId
    shard: ShardId
    attempt: int
    outcome: Outcome
    checkpoint: str
    reason: str


@dataclass(frozen=True, slots=True)
class ClaimShard(Message):
    """Sent by a shard's new owner to a host, which then rejects older epochs."""

    shard: ShardId
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class ShardClaimed(Message):
    """Reply to `ClaimShard`: the shard's tasks and outcomes on the host after fencing.

    `epoch` is the highest epoch that the host has seen; the claim was refused
    if it is higher than the claimed one.
    """

    shard: ShardId
    epoch: Epoch
    ready: bool
    tasks: tuple[TaskReport, ...]
    outcomes: tuple[TaskOutcome, ...]


@dataclass(frozen=True, slots=True)
class StartTask(Message):
    """Starts one attempt.

    The anchor names the agent's heartbeat that this message answers; the start
    window and the lease are counted from its clock value.
    """

    shard: ShardId
    epoch: Epoch
    task: TaskId
    attempt: int
    team: TeamId
    activity: str
    task_class: TaskClass
    size: Size
    command: str
    run_time_s: float
    checkpoint: str
    checkpoint_s: float
    anchor_incarnation: IncarnationId
    anchor_clock_ms: int
    bundle_version: int


@dataclass(frozen=True, slots=True)
class StopTask(Message):
    """Stops an attempt without a checkpoint, for example after a cancellation."""

    shard: ShardId
    epoch: Epoch
    task: TaskId
    attempt: int
    reason: str


@dataclass(frozen=True, slots=True)
class EvictTask(Message):
    """Checkpoints an attempt and then stops it."""

    shard: ShardId
    epoch: Epoch
    task: TaskId
    attempt: int
    reason: str


@dataclass(frozen=True, slots=True)
class ThrottleTask(Message):
    """Limits an attempt to a share of its processors, from 0.0 to 1.0."""

    shard: ShardId
    epoch: Epoch
    task: TaskId
    attempt: int
    share: float


@dataclass(frozen=True, slots=True)
class RenewTasks(Message):
    """Renews the leases of a shard's tasks on one host."""

    shard: ShardId
    epoch: Epoch
    tasks: tuple[TaskId, ...]
    anchor_incarnation: IncarnationId
    anchor_clock_ms: int


@dataclass(frozen=True, slots=True)
class TaskReply(Message):
    """Reply to a task command; a refused start had no effect and never will."""

    task: TaskId
    attempt: int
    accepted: bool
    code: ReplyCode
    reason: str


@dataclass(frozen=True, slots=True)
class OutcomeAck(Message):
    """The outcomes of these attempts are in the journal; the host may delete them.

    A host ignores it if it has seen a higher epoch of the shard, since only the
    journal of the current owner is authoritative.
    """

    shard: ShardId
    tasks: tuple[TaskId, ...]
    attempts: tuple[int, ...]
    epoch: Epoch = NO_EPOCH
