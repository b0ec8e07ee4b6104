"""Typed messages between apricotpath processes; each matches one struct in wire.capnp.

The messages of runs, between an agent and the scheduler, are defined here; the others are
imported from one module per subject.
"""

from dataclasses import dataclass

from apricotpath.controlmessages import ControlAck, ControlUpdate, DataCentreStatus, ServiceFounders
from apricotpath.entrymessages import (
    HostHold,
    JobAccepted,
    JobCall,
    JobCancelling,
    JobReply,
    JobStatus,
    JobStatuses,
    LeaderNotice,
    ShareGrant,
    ShareRequest,
    StoreQuestion,
    StoreReached,
    Supported,
    SupportRequest,
    TermHandover,
)
from apricotpath.ids import (
    DataCentreId,
    Epoch,
    FenceToken,
    HostId,
    InstanceId,
    RackId,
    ServiceId,
    TaskId,
)
from apricotpath.linkmessages import Failure, Heartbeat, Hello, Leaving
from apricotpath.messagebase import Message
from apricotpath.model import Size, StartAnswer
from apricotpath.requestmessages import (
    Header,
    KeyReserved,
    ReleaseKey,
    RequestBody,
    RequestCancel,
    RequestFailed,
    RequestRefused,
    RequestStart,
    ReserveKey,
    ResponseAck,
    ResponseBody,
    ResponseStart,
    Settle,
    Settled,
)
from apricotpath.taskmessages import (
    Announce,
    ClaimShard,
    EvictTask,
    OutcomeAck,
    RenewTasks,
    ShardClaimed,
    StartTask,
    StopTask,
    TaskOutcome,
    TaskReply,
    TaskReport,
    ThrottleTask,
)
from apricotpath.workload import NO_SIZE, RunResult

__all__ = [
    "Announce",
    "ClaimShard",
    "ControlAck",
    "ControlUpdate",
    "DataCentreStatus",
    "EvictTask",
    "ExecutorCrash",
    "Failure",
    "Header",
    "Heartbeat",
    "Hello",
    "HostAttach",
    "HostAttached",
    "HostCapacity",
    "HostDetached",
    "HostGrant",
    "HostHold",
    "HostReport",
    "HostRuns",
    "HostSilent",
    "JobAccepted",
    "JobCall",
    "JobCancelling",
    "JobReply",
    "JobStatus",
    "JobStatuses",
    "KeyReserved",
    "LeaderNotice",
    "Leaving",
    "Message",
    "OrderAnswer",
    "OrderAnswers",
    "OutcomeAck",
    "ReleaseKey",
    "RenewTasks",
    "RequestBody",
    "RequestCancel",
    "RequestFailed",
    "RequestRefused",
    "RequestStart",
    "ReserveKey",
    "ResponseAck",
    "ResponseBody",
    "ResponseStart",
    "RunAtCrash",
    "RunEnding",
    "RunName",
    "RunOrder",
    "RunStatus",
    "RunTrait",
    "RunTraits",
    "ServiceFounders",
    "Settle",
    "Settled",
    "ShardClaimed",
    "ShareGrant",
    "ShareRequest",
    "StartRuns",
    "StartTask",
    "StopRuns",
    "StopTask",
    "StoreQuestion",
    "StoreReached",
    "SupportRequest",
    "Supported",
    "TaskOutcome",
    "TaskReply",
    "TaskReport",
    "TermHandover",
    "ThrottleTask",
]


@dataclass(frozen=True, slots=True)
class HostReport(Message):
    """State of a host, sent every second; `usage` may lag behind the actual use.

    `pressure` is the slowdown of the backend server's requests relative to
    its own unloaded baseline (1.0 = none).
    """

    host: HostId
    worker_clock_ms: int
    ready: bool
    committed: Size
    usage: Size
    pressure: float
    busy_slots: int
    queued: int
    tasks: tuple[TaskReport, ...]
    outcomes: tuple[TaskOutcome, ...]


@dataclass(frozen=True, slots=True)
class RunAtCrash:
    """A run that was on an executor when it crashed, and how long (ms) it had certainly run."""

    task: TaskId
    run: int
    ran_ms: int


# Stands for the time since a crash that an agent does not tell.
UNKNOWN_AGO_MS = -1


@dataclass(frozen=True, slots=True)
class ExecutorCrash:
    """An executor that ended without notice while its agent ran, with its runs.

    `ago_ms`: for how long (ms) it has not answered; UNKNOWN_AGO_MS from earlier versions.
    """

    instance: InstanceId
    born_ms: int
    runs: tuple[RunAtCrash, ...]
    ago_ms: int = UNKNOWN_AGO_MS


NO_FENCE = FenceToken(0)
# Stands for the rest of a lease that an agent does not tell.
UNKNOWN_LEASE_MS = -1


@dataclass(frozen=True, slots=True)
class HostAttach(Message):
    """Call of an agent that registers one incarnation of its executor with the scheduler.

    `epoch` is the highest scheduler epoch that the agent has seen, `crashes` the newest crashes
    of executors beside it. `fence` is the highest token that calls to the executor may have
    carried so far; that of the attachment must be higher. `lease_ms`: for how long at most the
    leases last that this agent was granted; UNKNOWN_LEASE_MS from earlier versions.
    """

    host: HostId
    instance: InstanceId
    born_ms: int
    service: ServiceId
    data_centre: DataCentreId
    rack: RackId
    labels: tuple[str, ...]
    capacity: Size
    epoch: Epoch
    crashes: tuple[ExecutorCrash, ...] = ()
    fence: FenceToken = NO_FENCE
    lease_ms: int = UNKNOWN_LEASE_MS


@dataclass(frozen=True, slots=True)
class HostSilent(Message):
    """Notice of an agent that its executor does not answer; the next HostRuns revokes it."""

    fence: FenceToken


@dataclass(frozen=True, slots=True)
class HostAttached(Message):
    """Reply to HostAttach: the fencing token of the attachment."""

    epoch: Epoch
    fence: FenceToken


@dataclass(frozen=True, slots=True)
class HostDetached(Message):
    """Answer to a HostRuns under a fencing token that the scheduler does not know on its link."""

    fence: FenceToken


@dataclass(frozen=True, slots=True)
class RunStatus:
    """One active run on a host; see `apricotpath.jobtable.Run`.

    `pace` is the current speed limit of a filler task, in percent of full speed.
    """

    task: TaskId
    run: int
    saved: str
    percent: int
    load: float
    pace: int = 100


@dataclass(frozen=True, slots=True)
class RunEnding:
    """The end of a run; `number` increases by one per ending of an executor incarnation."""

    number: int
    task: TaskId
    run: int
    result: RunResult
    saved: str


@dataclass(frozen=True, slots=True)
class HostRuns(Message):
    """Report of all runs of a host and of the endings that are not acknowledged yet.

    `renewal` numbers the reports of one attachment. The first one with whole lists, and the
    last one of an executor that has ended, are `complete`: no other run of an earlier token
    can still begin, or has an ending to be reported.
    `remaining_ms` is the minimum time that a draining executor stays available.
    `filler_percent` is the share of full speed that filler tasks recently got, in percent.
    """

    fence: FenceToken
    renewal: int
    complete: bool
    draining: bool
    remaining_ms: int
    filler_percent: float
    runs: tuple[RunStatus, ...]
    endings: tuple[RunEnding, ...]


@dataclass(frozen=True, slots=True)
class HostCapacity(Message):
    """Sent at once when the capacity of an attached host's executor has changed."""

    fence: FenceToken
    capacity: Size


@dataclass(frozen=True, slots=True)
class HostGrant(Message):
    """Extends the lease of a host's runs, counted from when report `renewal` was sent.

    `noted` is the number of the newest ending that is durably stored.
    """

    fence: FenceToken
    renewal: int
    noted: int


@dataclass(frozen=True, slots=True)
class RunOrder:
    """Order to start one run of a task, from the checkpoint `saved` if it is not empty.

    `pressure` is how much a filler task slows down serving tasks, `size` what the task
    reserves; see `RunTrait`.
    """

    task: TaskId
    run: int
    command: str
    saved: str
    ticket: str
    filler: bool
    target_ms: float
    pressure: float = 0.0
    size: Size = NO_SIZE


@dataclass(frozen=True, slots=True)
class StartRuns(Message):
    """Start orders for a host; valid for a short time after its report `renewal` was sent."""

    fence: FenceToken
    renewal: int
    orders: tuple[RunOrder, ...]


@dataclass(frozen=True, slots=True)
class RunName:
    """Identifies a run of a task."""

    task: TaskId
    run: int


@dataclass(frozen=True, slots=True)
class StopRuns(Message):
    """Runs that a host must stop, or must never start if it has not started them yet."""

    fence: FenceToken
    runs: tuple[RunName, ...]


@dataclass(frozen=True, slots=True)
class RunTrait:
    """Properties of a run, for runs that the agent did not start itself or to update them.

    `pressure` is the increase of the logarithm of the tail latency of serving
    tasks on the same host that a filler task causes at full speed. `size` is what
    the task reserves of the executor's capacity; filler tasks reserve no processors.
    """

    task: TaskId
    run: int
    filler: bool
    target_ms: float
    pressure: float = 0.0
    size: Size = NO_SIZE


@dataclass(frozen=True, slots=True)
class RunTraits(Message):
    """Properties of a host's runs: of all runs after it attaches, then periodically of fillers."""

    fence: FenceToken
    traits: tuple[RunTrait, ...]


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """Result of an order to start a run."""

    task: TaskId
    run: int
    answer: StartAnswer


@dataclass(frozen=True, slots=True)
class OrderAnswers(Message):
    """Reply of a host to StartRuns."""

    fence: FenceToken
    answers: tuple[OrderAnswer, ...]
