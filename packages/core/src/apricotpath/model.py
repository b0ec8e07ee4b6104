"""Enums and value types shared by all modules."""

from dataclasses import dataclass
from enum import Enum, StrEnum

from apricotpath.ids import DataCentreId, JobId, ServiceId, TeamId


class Role(Enum):
    """Role of a process, as sent in `Hello`."""

    ENTRY = "entry"
    AGENT = "agent"


class ServiceState(Enum):
    """Whether a data centre is in service, as set by operators."""

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
    """State of a task in its shard owner's job table."""

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
    """State of a job as shown to operators."""

    OPEN = "open"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    IMPOSSIBLE = "impossible"


class RunState(Enum):
    """State of a task as reported by its worker."""

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
    """Why an agent accepted or rejected a task command.

    UNKNOWN: the attempt does not run on this host. EPOCH: the shard has a newer
    owner. ANCHOR: the anchor of the start is not a heartbeat of this agent.
    REFUSED: the worker rejected the call. LATE: the start window had passed.
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
    """Result of an order to start a run.

    After REFUSED, UNFIT, BROKEN and TICKET the run did not begin and never will.
    UNFIT: the executor had no capacity. BROKEN: the executor failed on the order.
    """

    STARTED = "started"
    REFUSED = "refused"
    UNFIT = "unfit"
    BROKEN = "broken"
    TICKET = "ticket"


class Settlement(Enum):
    """State of a request at an agent, as reported in `Settled`."""

    DONE = "done"
    RUNNING = "running"
    NEVER = "never"
    UNKNOWN = "unknown"


class KeyState(Enum):
    """Result of reserving an idempotency key at an agent."""

    NEW = "new"
    KNOWN = "known"


class Maturity(Enum):
    """How complete an agent's record of recent idempotency keys is."""

    YOUNG = "young"
    JOINING = "joining"
    FULL = "full"


class ResultClass(Enum):
    """Outcome of a request in the `Apricotpath-Outcome` response header."""

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

    def as_list(self) -> list[int]:
        """Return the three dimensions in the order of the fields, for log lines."""
        return [self.cpu_milli, self.memory_mb, self.accelerators]

    def fits_in(self, other: "Size") -> bool:
        """Tell whether every dimension is at most that of `other`."""
        return (
            self.cpu_milli <= other.cpu_milli
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as submitted by a team: `tasks` identical tasks of one size.

    `activity` is the kind of work, which quiet hours may forbid. An empty
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
