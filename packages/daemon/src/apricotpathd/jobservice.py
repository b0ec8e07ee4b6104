"""Job calls at any entry: submit, read, cancel and count, through the store and the leader."""

import logging
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from enum import Enum

import anyio

from apricotpath.boottime import boot_s
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
from apricotpath.jobcodec import StoredJob, ended_text, job_text, parse_job
from apricotpath.jobkeys import JobKeys
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
from apricotpath.store import Compare, KeyValue, Put, Store, settle_delays
from apricotpath.workload import Job, Progress, Queue, check_job, check_limits
from apricotpathd.tombstones import MAX_SUBMISSION_S, TombstoneWriter

log = logging.getLogger(__name__)

# How long a submission or cancelling that the store refuses is retried before the call fails.
REFUSED_RETRY_S = 1.0
# How long a submission or cancelling with an unknown outcome is retried.
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
    # Stored as cancelled, since it was cancelled before.
    CANCELLED = "cancelled"
    NOT_ACCEPTED = "not-accepted"
    TOO_MANY = "too-many"
    UNKNOWN = "unknown"


class JobServiceUnavailable(StoreError):
    """The answer cannot be determined now."""


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
        self.tombstones = TombstoneWriter(store, self.keys, utc)
        self.statuses: dict[JobId, JobStatus] = {}
        self.epoch = Epoch(0)
        self.leader: ProcessId | None = None
        self.send_local: Callable[[Message], None] | None = None
        self.on_epoch: Callable[[Epoch], None] = lambda _epoch: None
        self._complete_epoch: Epoch | None = None
        # When (event loop's clock) the newest write with an unknown outcome ended, by job.
        self._uncertain: dict[JobId, float] = {}
        # How many submissions of a job are under way here.
        self._submitting: Counter[JobId] = Counter()
        self._open_jobs = 0
        # Jobs that had begun when the newest scheduler sent its states.
        self._begun: set[JobId] = set()
        self._links: list[Link] = []
        self._utc = utc

    # Calls.

    async def submit(self, job: Job, rules: Queue | None = None) -> Submission:
        """Accept a job under the present rules of its queue; raises InputError if it is malformed.

        Without `rules`, the job waits for a scheduler that knows those of its queue.
        """
        check_job(job)
        check_limits(job)
        job = replace(job, accepted_s=self._utc())
        status = self.statuses.get(job.job_id)
        if status is not None:
            return _stored_outcome(status.progress)
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
        text = job_text(job, rules)
        # The scheduler may read the stored job before this entry has the store's answer.
        log.info("job submitted", extra={"job": job.job_id, "queue": job.queue})
        self._submitting[job.job_id] += 1
        try:
            outcome = await self._store_job(job, text)
        finally:
            self._submitting[job.job_id] -= 1
            if not self._submitting[job.job_id]:
                del self._submitting[job.job_id]
        outcome = self._combine_outcomes(job.job_id, outcome)
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
        outcome = Submission.TOO_MANY if stored is None else _stored_outcome(stored.ended)
        outcome = self._combine_outcomes(job.job_id, outcome)
        extra = {"job": job.job_id, "open": self._open_jobs, "outcome": outcome.value}
        log.warning("too many jobs are open", extra=extra)
        return outcome

    def _combine_outcomes(self, job: JobId, outcome: Submission) -> Submission:
        """Combine an outcome with those of other submissions of the job at this entry.

        Another write without an answer may still take effect, so a refusal does not prove
        that the job never runs.
        """
        if outcome is Submission.UNKNOWN:
            self._uncertain[job] = anyio.current_time()
            if len(self._uncertain) > MAX_UNCERTAIN:
                del self._uncertain[next(iter(self._uncertain))]
        elif outcome in (Submission.ACCEPTED, Submission.CANCELLED):
            self._uncertain.pop(job, None)
        elif self._is_uncertain(job):
            return Submission.UNKNOWN
        return outcome

    def _is_uncertain(self, job: JobId) -> bool:
        """Tell whether another write of a job may still take effect."""
        if self._submitting[job]:
            return True
        since = self._uncertain.get(job, float("-inf"))
        return anyio.current_time() - since < UNCERTAIN_S

    async def _store_job(self, job: Job, text: str) -> Submission:
        """Store a job unless it is stored already, or was cancelled before."""
        key = self.keys.job(job.job_id)
        compares = [Compare(key, 0), Compare(self.keys.tombstone(job.job_id), 0)]
        unknown = False
        started = boot_s()
        for delay in settle_delays():
            try:
                if (await self.store.txn(compares, [Put(key, text.encode())])).succeeded:
                    return Submission.ACCEPTED
                # Another entry may have stored the job.
                unknown = True
                outcome = await self._find_outcome(job)
                if outcome is not None:
                    return outcome
            except (StoreUnavailable, StoreLimited) as exc:
                log.info("job not stored yet: %s", exc, extra={"job": job.job_id})
            except StoreError as exc:
                unknown = True
                log.info("job may be stored: %s", exc, extra={"job": job.job_id})
            retry_s = UNKNOWN_RETRY_S if unknown else REFUSED_RETRY_S
            if boot_s() + delay - started > retry_s:
                break
            await anyio.sleep(delay)
            if boot_s() - started > MAX_SUBMISSION_S:
                break
        return Submission.UNKNOWN if unknown else Submission.NOT_ACCEPTED

    async def _find_outcome(self, job: Job) -> Submission | None:
        """Return what became of a job that is stored or has a tombstone; None if neither is so.

        One with a tombstone is stored as cancelled, so that its state can be read.
        """
        stored = await self._read(job.job_id)
        if stored is not None:
            return _stored_outcome(stored.ended)
        if await self.store.get(self.keys.tombstone(job.job_id)) is None:
            return None
        key, ended = self.keys.job(job.job_id), Progress.CANCELLED
        text = ended_text(job.job_id, job.queue, ended)
        if not (await self.store.txn([Compare(key, 0)], [Put(key, text.encode())])).succeeded:
            return None
        self._add_status(JobStatus(job.job_id, job.queue, ended))
        return Submission.CANCELLED

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
        """Cancel a job; False if there is none, and none will come into being.

        Raises JobServiceUnavailable, or TooManyTombstones if too many jobs were cancelled here
        that are not stored.
        """
        started = boot_s()
        for delay in settle_delays():
            try:
                found = await self._try_cancel(job)
            except (StoreOutcomeUnknown, StoreLimited) as exc:
                limited = isinstance(exc, StoreLimited)
                retry_s = REFUSED_RETRY_S if limited else UNKNOWN_RETRY_S
                failure = f"the cancelling is not stored: {exc}"
            except JobServiceUnavailable:
                raise
            except StoreError as exc:
                raise JobServiceUnavailable(f"the cancelling is not stored: {exc}") from exc
            else:
                if found is not None:
                    return found
                retry_s, failure = UNKNOWN_RETRY_S, "the job changes all the time"
            if boot_s() + delay - started > retry_s:
                break
            await anyio.sleep(delay)
        raise JobServiceUnavailable(failure)

    async def _try_cancel(self, job: JobId) -> bool | None:
        """Try to cancel a job, as `cancel`; None if it was stored or has ended meanwhile."""
        item = await self._get(job)
        if item is None:
            if not await self.tombstones.write(job):
                return None
            log.info("job cancelled before it was stored", extra={"job": job})
            return False
        stored = _parse_stored(item)
        if stored.ended is None:
            # The record of a job changes only when the job has ended.
            compares = [Compare(item.key, item.mod_revision)]
            result = await self.store.txn(compares, [Put(self.keys.cancel(job), b"{}")])
            if not result.succeeded:
                return None
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

    async def _get(self, job: JobId) -> KeyValue | None:
        """Return the record of a job; raises JobServiceUnavailable."""
        try:
            return await self.store.get(self.keys.job(job))
        except StoreError as exc:
            raise JobServiceUnavailable(f"the store did not answer: {exc}") from exc

    async def _read(self, job: JobId) -> StoredJob | None:
        """Return a stored job; raises JobServiceUnavailable."""
        item = await self._get(job)
        return None if item is None else _parse_stored(item)

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


def _parse_stored(item: KeyValue) -> StoredJob:
    """Return a stored job, or raise JobServiceUnavailable if its record is malformed."""
    try:
        return parse_job(item.value)
    except InputError as exc:
        raise JobServiceUnavailable(str(exc)) from exc


def _stored_outcome(ended: Progress | None) -> Submission:
    """Return the outcome of a submission of a job that is stored already."""
    return Submission.CANCELLED if ended is Progress.CANCELLED else Submission.ACCEPTED
