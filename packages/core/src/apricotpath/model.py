"""Enums and value types shared by all modules."""

from dataclasses import dataclass
from enum import Enum, StrEnum

from apricotpath.ids import DataCentreId, JobId, ServiceId, TeamId


class Role(Enum):
    """Role of a process, as it is sent in `Hello`."""

    ENTRY = "entry"
    AGENT = "agent"


class ServiceState(Enum):
    """Whether operators have a data centre in service."""

    IN = "in"
    OUT = "out"


class TaskClass(Enum):
    """How a task is treated when hosts are contended."""

    LATENCY_CRITICAL = "latency-critical"
    BATCH = "batch"


class Priority(Enum):
    """Order in which waiting tasks are placed; URGENT starts within 1.8 s."""

    URGENT = "urgent"
    NORMAL = "normal"
    LOW = "low"


class TaskState(Enum):
    """State of a task as its shard's owner sees it."""

    WAITING = "waiting"
    ASSIGNED = "assigned"
    RUNNING = "running"
    EVICTING = "evicting"
    HELD = "held"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    IMPOSSIBLE = "impossible"


class JobState(Enum):
    """State of a job as operators see it."""

    OPEN = "open"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    IMPOSSIBLE = "impossible"


class RunState(Enum):
    """State of a task as its worker reports it."""

    RUNNING = "running"
    THROTTLED = "throttled"
    STOPPING = "stopping"
    ENDED = "ended"


class Outcome(Enum):
    """How one attempt of a task ended on a worker."""

    FINISHED = "finished"
    FAILED = "failed"
    EVICTED = "evicted"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease-expired"


class ReplyCode(StrEnum):
    """Why an agent accepted or refused a task command.

    UNKNOWN: the attempt does not run here. EPOCH: a newer owner is known.
    ANCHOR: the start answers no heartbeat of this agent. REFUSED: the worker
    refused. LATE: the start window had passed.
    """

    OK = "ok"
    KNOWN = "known"
    ENDED = "ended"
    UNKNOWN = "unknown"
    EPOCH = "epoch"
    MALFORMED = "malformed"
    DRAINING = "draining"
    NOT_READY = "not-ready"
    ANCHOR = "anchor"
    BUNDLE_BEHIND = "bundle-behind"
    BUSY = "busy"
    OUT = "out"
    HOURS = "hours"
    CAPACITY = "capacity"
    REFUSED = "refused"
    LATE = "late"


class StartAnswer(Enum):
    """What became of an order to start a run.

    REFUSED and all that follow it: the run did not begin and never will.
    UNFIT: the executor had no room. BROKEN: the executor failed the order itself.
    """

    STARTED = "started"
    REFUSED = "refused"
    UNFIT = "unfit"
    BROKEN = "broken"
    TICKET = "ticket"


class Settlement(Enum):
    """What an agent knows of a request id."""

    DONE = "done"
    RUNNING = "running"
    NEVER = "never"
    UNKNOWN = "unknown"


class KeyState(Enum):
    """Answer of an agent to a reservation of an idempotency key."""

    NEW = "new"
    KNOWN = "known"


class Maturity(Enum):
    """How far back an agent's memory of idempotency keys reaches."""

    YOUNG = "young"
    JOINING = "joining"
    FULL = "full"


class ResultClass(Enum):
    """What a caller is told in the `Apricotpath-Outcome` header."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, order=True)
class Size:
    """Processors in thousandths of a core, memory in MB, whole accelerators."""

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Size") -> "Size":
        return Size(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Size") -> "Size":
        return Size(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, other: "Size") -> bool:
        """Tell whether every dimension is at most that of `other`."""
        return (
            self.cpu_milli <= other.cpu_milli
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )


@dataclass(frozen=True, slots=True)
class JobSpec:
    """What a team submits: `tasks` equal tasks of one size.

    `activity` names the kind of work that quiet hours may forbid; an empty
    `data_centres` means any that the bundle allows. Times are in seconds.
    """

    job_id: JobId
    team: TeamId
    activity: str
    size: Size
    tasks: int
    run_time_s: float
    task_class: TaskClass = TaskClass.BATCH
    priority: Priority = Priority.NORMAL
    data_centres: tuple[DataCentreId, ...] = ()
    not_before_hour: int = 0
    not_after_hour: int = 24
    checkpoint_s: float = 1.0
    max_attempts: int = 5
    service: ServiceId | None = None
    command: str = ""
