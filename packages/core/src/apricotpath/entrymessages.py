"""Messages between entries, and the scheduler's notices."""

from dataclasses import dataclass

from apricotpath.ids import Epoch, JobId, ProcessId, QueueId, TeamId
from apricotpath.messagebase import Message
from apricotpath.workload import Progress


@dataclass(frozen=True, slots=True)
class JobCall(Message):
    """An operator's call forwarded to another entry; `body` is JSON."""

    method: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class JobReply(Message):
    """Reply to `JobCall`; `body` is JSON."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ShareRequest(Message):
    """Asks the entry that manages a team's limit for a share of it.

    `kind` is "size" (a fraction of the quota) or "rate" (starts per second).
    """

    team: TeamId
    amount: float
    kind: str = "size"


@dataclass(frozen=True, slots=True)
class ShareGrant(Message):
    """Share of a team's limit, to be renewed or returned within `ttl_ms`."""

    team: TeamId
    amount: float
    ttl_ms: int
    kind: str = "size"


@dataclass(frozen=True, slots=True)
class LeaderNotice(Message):
    """The entry that schedules jobs, and its epoch; a higher epoch supersedes a lower one."""

    epoch: Epoch
    entry: ProcessId


@dataclass(frozen=True, slots=True)
class JobAccepted(Message):
    """A job that an entry has just stored; `content` is its stored JSON."""

    job: JobId
    content: str


@dataclass(frozen=True, slots=True)
class JobCancelling(Message):
    """A job whose cancellation an entry has just stored."""

    job: JobId


@dataclass(frozen=True, slots=True)
class JobStatus:
    """State of a job as callers see it."""

    job: JobId
    queue: QueueId
    progress: Progress


@dataclass(frozen=True, slots=True)
class JobStatuses(Message):
    """Durable states of jobs; a message with `whole` set starts a new complete list."""

    epoch: Epoch
    whole: bool
    jobs: tuple[JobStatus, ...]
