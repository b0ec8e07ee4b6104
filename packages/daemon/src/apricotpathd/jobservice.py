"""Job calls at any entry: submit, read, cancel and count, through the store and the leader."""

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
from apricotpath.runlog import LATE_WRITE_S
from apricotpath.store import Compare, Put, Store, settle_delays
from apricotpath.workload import Job, Progress, check_job, check_limits

log = logging.getLogger(__name__)

# How long a submission that the store refuses is retried before the call fails.
REFUSED_RETRY_S = 1.0
# How long a submission with an unknown outcome is retried.
UNKNOWN_RETRY_S = 2.5
# Maximum number of job states that an entry keeps in memory.
MAX_STATUSES = 50_000
# Maximum number of jobs with an unknown submission outcome that an entry remembers, and for how
# long; a write without an answer has no effect any more after that.
MAX_UNCERTAIN = 10_000
UNCERTAIN_S = LATE_WRITE_S
# Jobs that may be open at the same time. Each takes up to 75 kB of a scheduler's memory.
MAX_OPEN_JOBS = 5000


class Submission(Enum):
    """Outcome of a submission as the caller sees it."""

    ACCEPTED = "accepted"
    NOT_ACCEPTED = "not-accepted"
    TOO_MANY = "too-many"
    UNKNOWN = "unknown"


class JobServiceUnavailable(StoreError):
    """The answer cannot be determined now."""


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
        """Return the key that marks a job as cancelled."""
        return f"{self.root}cancel/{job}"


class JobService:
    """Component of an entry that serves calls on jobs.

    An accepted job is in the store before the caller gets its answer; the scheduler
    is notified by a message, or reads the job from the store if the message is lost.
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
        self.send_local: Callable[[Message], None] | None = None
        self.on_epoch: Callable[[Epoch], None] = lambda _epoch: None
        self._complete_epoch: Epoch | None = None
        # When (event loop's clock) the newest write with an unknown outcome ended, by job.
        self._uncertain: dict[JobId, float] = {}
        self._open_jobs = 0
        # Jobs that had begun when the newest scheduler sent its states.
        self._begun: set[JobId] = set()
        self._links: list[Link] = []
        self._utc = utc

    # Calls.

    async def submit(self, job: Job) -> Submission:
        """Accept a job; raises InputError if it is malformed."""
        check_job(job)
        check_limits(job)
        job = replace(job, accepted_s=self._utc())
        if job.job_id in self.statuses:
            return Submission.ACCEPTED
        refusal = self.refusal()
        if refusal is Submission.TOO_MANY:
            return await self._refuse(job)
        if refusal is not None:
            # Nothing was written, so it is certain that this submission does not run the job.
            outcome = self._combine_outcomes(job.job_id, Submission.NOT_ACCEPTED)
            log.info(
                "job not accepted: the store does not answer",
                extra={"job": job.job_id, "outcome": outcome.value},
            )
            return outcome
        text = job_text(job)
        # The scheduler may read the stored job before this entry has the store's answer.
        log.info("job submitted", extra={"job": job.job_id, "queue": job.queue})
        outcome = self._combine_outcomes(job.job_id, await self._store_job(job, text))
        log.info("submission answered", extra={"job": job.job_id, "outcome": outcome.value})
        if outcome is Submission.ACCEPTED:
            self._notify_scheduler(JobAccepted(job.job_id, text))
        return outcome

    def refusal(self) -> Submission | None:
        """Return why new jobs are refused now; None if they are not."""
        if self._open_jobs >= MAX_OPEN_JOBS:
            return Submission.TOO_MANY
        return None if self._store_answers() else Submission.NOT_ACCEPTED

    async def _refuse(self, job: Job) -> Submission:
        """Refuse a job for the number of open ones, unless it has been accepted before."""
        try:
            stored = await self._read(job.job_id)
        except JobServiceUnavailable as exc:
            log.info("job not looked up: %s", exc, extra={"job": job.job_id})
            return Submission.UNKNOWN
        outcome = Submission.ACCEPTED if stored is not None else Submission.TOO_MANY
        outcome = self._combine_outcomes(job.job_id, outcome)
        extra = {"job": job.job_id, "open": self._open_jobs, "outcome": outcome.value}
        log.warning("too many jobs are open", extra=extra)
        return outcome

    def _combine_outcomes(self, job: JobId, outcome: Submission) -> Submission:
        """Combine an outcome with those of earlier submissions of the job at this entry.

        An earlier write without an answer may still take effect, so a later refusal
        does not prove that the job never runs.
        """
        if outcome is Submission.UNKNOWN:
            self._uncertain[job] = anyio.current_time()
            if len(self._uncertain) > MAX_UNCERTAIN:
                del self._uncertain[next(iter(self._uncertain))]
        elif outcome is Submission.ACCEPTED:
            self._uncertain.pop(job, None)
        elif self._is_uncertain(job):
            return Submission.UNKNOWN
        return outcome

    def _is_uncertain(self, job: JobId) -> bool:
        """Tell whether an earlier write of a job may still take effect."""
        since = self._uncertain.get(job, float("-inf"))
        return anyio.current_time() - since < UNCERTAIN_S

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
                # A job with this id is stored, by this write or an earlier one.
                return Submission.ACCEPTED
            retry_s = UNKNOWN_RETRY_S if unknown else REFUSED_RETRY_S
            if anyio.current_time() + delay - started > retry_s:
                break
            await anyio.sleep(delay)
        return Submission.UNKNOWN if unknown else Submission.NOT_ACCEPTED

    async def progress(self, job: JobId) -> Progress | None:
        """Return a job's progress, or None if unknown; raises JobServiceUnavailable."""
        status = self.statuses.get(job)
        if status is not None and (status.progress.final or self.is_fresh()):
            return status.progress
        stored = await self._read(job)
        if stored is None:
            return None
        if stored.ended is not None:
            self._add_status(JobStatus(job, stored.job.queue, stored.ended))
            return stored.ended
        return status.progress if status is not None else Progress.QUEUED

    async def cancel(self, job: JobId) -> bool:
        """Cancel a job; False if there is none. Raises JobServiceUnavailable.

        A job that is not stored may come into being while a submission of it is uncertain.
        """
        stored = await self._read(job)
        if stored is None:
            if self._is_uncertain(job):
                raise JobServiceUnavailable("a submission of the job may still take effect")
            return False
        if stored.ended is None:
            key = self.keys.cancel(job)
            try:
                await self.store.txn([], [Put(key, b"{}")])
            except StoreError as exc:
                raise JobServiceUnavailable(f"the cancelling is not stored: {exc}") from exc
            self._notify_scheduler(JobCancelling(job))
        log.info("job cancelled", extra={"job": job, "ended": stored.ended is not None})
        return True

    def pending(self, queue: QueueId) -> int:
        """Return how many jobs of a queue have not started; raises JobServiceUnavailable."""
        if not self.is_fresh():
            raise JobServiceUnavailable("the scheduler cannot be reached")
        return sum(
            status.queue == queue and status.progress is Progress.QUEUED
            for status in self.statuses.values()
        )

    def is_fresh(self) -> bool:
        """Tell whether the job states are up to date with the scheduler's."""
        if self._complete_epoch != self.epoch or self.leader is None:
            return False
        return self.send_local is not None or self._leader_link() is not None

    async def _read(self, job: JobId) -> StoredJob | None:
        try:
            item = await self.store.get(self.keys.job(job))
        except StoreError as exc:
            raise JobServiceUnavailable(f"the store did not answer: {exc}") from exc
        if item is None:
            return None
        try:
            return parse_job(item.value)
        except InputError as exc:
            raise JobServiceUnavailable(str(exc)) from exc

    # Messages.

    def _notify_scheduler(self, message: Message) -> None:
        """Notify the scheduler; if that fails, it finds the change in the store."""
        if self.send_local is not None:
            self.send_local(message)
            return
        link = self._leader_link()
        if link is None:
            return
        try:
            link.send_nowait(message)
        except LinkError as exc:
            log.info("scheduler not notified: %s", exc)

    def _leader_link(self) -> Link | None:
        for link in self._links:
            if link.peer_id == self.leader and link.is_open:
                return link
        return None

    def follow(self, epoch: Epoch, leader: ProcessId) -> None:
        """Follow a scheduler unless this entry follows a later one."""
        if epoch < self.epoch or (epoch == self.epoch and leader == self.leader):
            return
        log.info("following scheduler", extra={"leader": leader, "epoch": epoch})
        self.epoch, self.leader = epoch, leader
        self.on_epoch(epoch)

    def apply_statuses(self, message: JobStatuses) -> None:
        """Apply job states from the scheduler."""
        if message.epoch != self.epoch:
            return
        if message.whole:
            self._complete_epoch = message.epoch
            # Final states never change; the message leaves them out. A new scheduler does not
            # know yet which jobs have begun.
            begun = {job for job, item in self.statuses.items() if item.progress.begun}
            final = {job: item for job, item in self.statuses.items() if item.progress.final}
            self.statuses = final
            self._open_jobs = 0
            self._begun = begun - final.keys()
        for status in message.jobs:
            if status.progress is Progress.QUEUED and status.job in self._begun:
                status = replace(status, progress=Progress.RUNNING)
            self._add_status(status)

    def _add_status(self, status: JobStatus) -> None:
        former = self.statuses.get(status.job)
        self._open_jobs -= former is not None and not former.progress.final
        self._open_jobs += not status.progress.final
        self.statuses[status.job] = status
        if len(self.statuses) > MAX_STATUSES:
            self._evict_final_statuses()

    def _evict_final_statuses(self) -> None:
        """Evict the older half of the final states; the store still has them."""
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
            self.apply_statuses(body)

    async def link_opened(self, link: Link) -> None:
        """Add a link to another entry."""
        if link.peer is not None and link.peer.role is Role.ENTRY:
            self._links.append(link)

    async def link_closed(self, link: Link) -> None:
        """Remove a link."""
        if link in self._links:
            self._links.remove(link)

    async def drain(self) -> None:
        """Do nothing; callers are drained by the HTTP server."""
