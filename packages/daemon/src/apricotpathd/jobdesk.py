"""Calls on jobs at any entry: submit, read, cancel and count, over the store and the leader."""

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

import anyio

from apricotpath.codec import Envelope
from apricotpath.errors import (
    InputError,
    LinkError,
    StoreError,
    StoreLimited,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from apricotpath.ids import Epoch, JobId, ProcessId, QueueId
from apricotpath.jobcodec import StoredJob, job_text, parse_job
from apricotpath.link import Link
from apricotpath.messages import (
    JobAccepted,
    JobCancelling,
    JobStatus,
    JobStatuses,
    LeaderNotice,
    Message,
)
from apricotpath.model import Role
from apricotpath.store import Compare, Put, Store, settle_delays
from apricotpath.workload import Job, Progress, check_job

log = logging.getLogger(__name__)

# How long a submission that the store refuses is tried again before the caller hears of it.
SUBMIT_PATIENCE_S = 1.0
# How long one is tried again whose outcome is not known.
SETTLE_PATIENCE_S = 2.5
# States that an entry keeps in memory.
MAX_STATUSES = 50_000
# Jobs that an entry remembers because it could not tell whether they were stored.
MAX_DOUBTFUL = 10_000


class Submission(Enum):
    """What a caller is told of a submission."""

    ACCEPTED = "accepted"
    NOT_ACCEPTED = "not-accepted"
    UNKNOWN = "unknown"


class DeskUnavailable(StoreError):
    """The answer cannot be known now."""


@dataclass(frozen=True, slots=True)
class JobKeys:
    """Keys of jobs in the store."""

    prefix: str

    @property
    def root(self) -> str:
        """Prefix of all keys about jobs."""
        return f"{self.prefix}jobs/"

    def job(self, job: JobId) -> str:
        """Return the key of a job."""
        return f"{self.root}job/{job}"

    def cancel(self, job: JobId) -> str:
        """Return the key that says that a job is to be cancelled."""
        return f"{self.root}cancel/{job}"


class JobDesk:
    """Component of an entry that serves calls on jobs.

    An accepted job is in the store before its caller hears so; the scheduler
    learns of it by a message, or from the store if the message is lost.
    """

    handles: frozenset[type[Message]] = frozenset({LeaderNotice, JobStatuses})

    def __init__(
        self,
        store: Store,
        prefix: str,
        store_answers: Callable[[], bool] = lambda: True,
        utc: Callable[[], float] = time.time,
    ) -> None:
        self.store = store
        self._store_answers = store_answers
        self.keys = JobKeys(prefix)
        self.statuses: dict[JobId, JobStatus] = {}
        self.epoch = Epoch(0)
        self.leader: ProcessId | None = None
        self.local: Callable[[Message], None] | None = None
        self.on_epoch: Callable[[Epoch], None] = lambda _epoch: None
        self._whole_from: Epoch | None = None
        self._doubtful: dict[JobId, None] = {}
        self._links: list[Link] = []
        self._utc = utc

    # Calls of callers.

    async def submit(self, job: Job) -> Submission:
        """Accept a job; raises InputError if it is malformed."""
        check_job(job)
        job = replace(job, accepted_s=self._utc())
        if job.job_id in self.statuses:
            return Submission.ACCEPTED
        if not self._store_answers():
            # A write that is not even tried leaves no doubt that the job will not run.
            outcome = self._weigh(job.job_id, Submission.NOT_ACCEPTED)
            log.info(
                "job not accepted: the store does not answer",
                extra={"job": job.job_id, "outcome": outcome.value},
            )
            return outcome
        text = job_text(job)
        outcome = self._weigh(job.job_id, await self._store_job(job, text))
        if outcome is Submission.ACCEPTED:
            self._tell(JobAccepted(job.job_id, text))
        log.info(
            "job submitted", extra={"job": job.job_id, "queue": job.queue, "outcome": outcome.value}
        )
        return outcome

    def _weigh(self, job: JobId, outcome: Submission) -> Submission:
        """Return what can be said of a job after all its submissions here.

        An earlier write that was not answered may still be carried out, so a later refusal
        does not mean that the job never runs.
        """
        if outcome is Submission.UNKNOWN:
            self._doubtful[job] = None
            if len(self._doubtful) > MAX_DOUBTFUL:
                del self._doubtful[next(iter(self._doubtful))]
        elif outcome is Submission.ACCEPTED:
            self._doubtful.pop(job, None)
        elif job in self._doubtful:
            return Submission.UNKNOWN
        return outcome

    async def _store_job(self, job: Job, text: str) -> Submission:
        key = self.keys.job(job.job_id)
        unknown = False
        started = anyio.current_time()
        for delay in settle_delays():
            try:
                await self.store.txn([Compare(key, 0)], [Put(key, text.encode())])
            except StoreOutcomeUnknown:
                unknown = True
            except (StoreUnavailable, StoreLimited) as exc:
                log.info("job not stored yet: %s", exc, extra={"job": job.job_id})
            else:
                # Whether now or before: a job of this id is stored.
                return Submission.ACCEPTED
            patience = SETTLE_PATIENCE_S if unknown else SUBMIT_PATIENCE_S
            if anyio.current_time() + delay - started > patience:
                break
            await anyio.sleep(delay)
        return Submission.UNKNOWN if unknown else Submission.NOT_ACCEPTED

    async def progress(self, job: JobId) -> Progress | None:
        """Return a job's state, or None if there is no such job; raises DeskUnavailable."""
        status = self.statuses.get(job)
        if status is not None and (status.progress.final or self.is_fresh()):
            return status.progress
        stored = await self._read(job)
        if stored is None:
            return None
        if stored.ended is not None:
            return stored.ended
        return status.progress if status is not None else Progress.QUEUED

    async def cancel(self, job: JobId) -> bool:
        """Cancel a job; False if there is none. Raises DeskUnavailable."""
        stored = await self._read(job)
        if stored is None:
            return False
        if stored.ended is None:
            key = self.keys.cancel(job)
            try:
                await self.store.txn([], [Put(key, b"{}")])
            except StoreError as exc:
                raise DeskUnavailable(f"the cancelling is not stored: {exc}") from exc
            self._tell(JobCancelling(job))
        log.info("job cancelled", extra={"job": job, "ended": stored.ended is not None})
        return True

    def pending(self, queue: QueueId) -> int:
        """Return how many jobs of a queue have not begun; raises DeskUnavailable."""
        if not self.is_fresh():
            raise DeskUnavailable("the scheduler cannot be reached")
        return sum(
            status.queue == queue and status.progress is Progress.QUEUED
            for status in self.statuses.values()
        )

    def is_fresh(self) -> bool:
        """Tell whether the states of jobs follow the scheduler's."""
        if self._whole_from != self.epoch or self.leader is None:
            return False
        return self.local is not None or self._leader_link() is not None

    async def _read(self, job: JobId) -> StoredJob | None:
        try:
            item = await self.store.get(self.keys.job(job))
        except StoreError as exc:
            raise DeskUnavailable(f"the store did not answer: {exc}") from exc
        if item is None:
            return None
        try:
            return parse_job(item.value)
        except InputError as exc:
            raise DeskUnavailable(str(exc)) from exc

    # Messages.

    def _tell(self, message: Message) -> None:
        """Tell the scheduler at once; it reads the same from the store otherwise."""
        if self.local is not None:
            self.local(message)
            return
        link = self._leader_link()
        if link is None:
            return
        try:
            link.send_nowait(message)
        except LinkError as exc:
            log.info("scheduler not told: %s", exc)

    def _leader_link(self) -> Link | None:
        for link in self._links:
            if link.peer_id == self.leader and link.is_open:
                return link
        return None

    def follow(self, epoch: Epoch, leader: ProcessId) -> None:
        """Follow a scheduler unless a later one is known."""
        if epoch < self.epoch or (epoch == self.epoch and leader == self.leader):
            return
        log.info("following scheduler", extra={"leader": leader, "epoch": epoch})
        self.epoch, self.leader = epoch, leader
        self.on_epoch(epoch)

    def take_statuses(self, message: JobStatuses) -> None:
        """Take over states of jobs from the scheduler."""
        if message.epoch != self.epoch:
            return
        if message.whole:
            self._whole_from = message.epoch
            self.statuses.clear()
        for status in message.jobs:
            self.statuses[status.job] = status
        if len(self.statuses) > MAX_STATUSES:
            self._drop_old()

    def _drop_old(self) -> None:
        """Drop the older half of the final states; the store still has them."""
        final = [job for job, status in self.statuses.items() if status.progress.final]
        for job in final[: len(final) // 2]:
            del self.statuses[job]

    async def run(self) -> None:
        """Do nothing; all work is done in calls."""

    async def received(self, link: Link, envelope: Envelope) -> None:
        """Handle a message of the scheduler."""
        body = envelope.body
        if isinstance(body, LeaderNotice):
            self.follow(body.epoch, body.entry)
        elif isinstance(body, JobStatuses) and link.peer_id == self.leader:
            self.take_statuses(body)

    async def link_opened(self, link: Link) -> None:
        """Note a link to another entry."""
        if link.peer is not None and link.peer.role is Role.ENTRY:
            self._links.append(link)

    async def link_closed(self, link: Link) -> None:
        """Forget a link."""
        if link in self._links:
            self._links.remove(link)

    async def drain(self) -> None:
        """Do nothing; callers are drained by the HTTP server."""
