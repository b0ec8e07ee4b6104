"""Messages between entries, and the scheduler's notices."""

from dataclasses import dataclass

from apricotpath.ids import Epoch, HostId, JobId, ProcessId, QueueId, TeamId
from apricotpath.messagebase import Message
from apricotpath.workload import Progress

NO_EPOCH = Epoch(0)


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
class StoreQuestion(Message):
    """Call of a scheduler that gets no answers from the store: asks whether the receiver does.

    The reply is `StoreReached`, or a Failure if the store does not answer the receiver either or
    it could not lead.
    """

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class StoreReached(Message):
    """Reply to `StoreQuestion`; the store has just shown this mod revision of the epoch key."""

    epoch_revision: int


@dataclass(frozen=True, slots=True)
class HostHold:
    """How long (ms) runs may continue on a host after the end of a term."""

    host: HostId
    left_ms: int


@dataclass(frozen=True, slots=True)
class TermHandover(Message):
    """The sender's term, in which it does nothing any more; the receiver may lead at once.

    `epoch_revision` is the mod revision of the epoch key in that term. `former_ended` and `holds`
    are those of an `apricotpath.entryrecords.LeaderRecord` of an ended term.
    """

    epoch: Epoch
    epoch_revision: int
    former_ended: bool
    holds: tuple[HostHold, ...]


@dataclass(frozen=True, slots=True)
class SupportRequest(Message):
    """Asks an entry to support the sender, the leader of an epoch; see `leadersupport`.

    `number` increases with each request of the epoch. The leaders before the sender grant no
    lease later than `former_ms` after the request was sent. `holds`: for how long leases may last
    that the sender does not extend, left out while an answer shows that the receiver has those
    of request `holds_number` already. `former`: the epoch of an earlier leader that the sender
    wants to know of, or 0.
    """

    epoch: Epoch
    number: int
    former_ms: int
    holds_number: int
    holds: tuple[HostHold, ...]
    former: Epoch = NO_EPOCH


@dataclass(frozen=True, slots=True)
class Supported(Message):
    """Answer to `SupportRequest` by an entry that has not been elected since.

    If it supported the leader of epoch `former`: that leader and those before it grant no lease
    later than `former_ms` after this answer, as far as they wait for this entry's support.
    `former_holds` are those of that leader's newest request.
    """

    epoch: Epoch
    number: int
    former: Epoch = NO_EPOCH
    former_ms: int = 0
    former_holds: tuple[HostHold, ...] = ()


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
