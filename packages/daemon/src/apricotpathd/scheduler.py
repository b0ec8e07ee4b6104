"""One scheduler's term: jobs in, starts and stops out, every decision in the run log first."""

import logging
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import anyio

from apricotpath.boottime import boot_s
from apricotpath.election import Term
from apricotpath.errors import FencedError, InputError, LinkError, StoreError
from apricotpath.fleet import NOT_ATTACHED, FleetSettings, Host
from apricotpath.ids import DataCentreId, FenceToken, HostId, JobId, QueueId, TaskId
from apricotpath.jobcodec import ended_text, parse_job
from apricotpath.jobtable import JobTable, Run, RunPhase
from apricotpath.link import Link
from apricotpath.messages import (
    HostAttach,
    HostAttached,
    HostGrant,
    HostRuns,
    JobStatus,
    JobStatuses,
    OrderAnswers,
    RunEnding,
    RunName,
    RunOrder,
    RunTrait,
    RunTraits,
    StartRuns,
    StopRuns,
)
from apricotpath.mirror import FeedStore, Mirror
from apricotpath.model import StartAnswer
from apricotpath.runlog import MAX_EXTRA, SNAPSHOT_EVERY, RunLog
from apricotpath.runplacement import (
    Placement,
    PlacementInput,
    hopeless,
    make_rooms,
    place,
    place_copies,
    slow_runs,
    stalled,
)
from apricotpath.runrecords import Assigned, Ended, JobEnded, RunRecord
from apricotpath.store import Delete, Put
from apricotpath.workload import HostFacts, Queue, RunResult, TaskKey
from apricotpathd.jobdesk import JobKeys

log = logging.getLogger(__name__)

# Fencing tokens of one epoch; each attachment of a host takes the next.
FENCES_PER_EPOCH = 1 << 24
# Without any event, tables are looked through this often for what time alone changes.
IDLE_S = 0.2
# A stop is repeated after this long while the run is still listed.
STOP_AGAIN_S = 0.6
# Runs on an executor that leaves are stopped this long before it goes, to save their work.
LEAVE_LEAD_S = 1.0
# A host whose executor had no room gets no starts for this long.
UNFIT_PAUSE_S = 0.15
LOAD_RETRY_S = 0.1
MOVE_INTERVAL_S = 1.0
COPY_INTERVAL_S = 0.3
# Progress of a run is taken as a reading of its host's speed after this long.
SPEED_AFTER_S = 0.8
MAX_REPORT_GAP_S = 0.6
FLEET_LOG_INTERVAL_S = 2.0
STATUSES_PER_MESSAGE = 4000


@dataclass(frozen=True, slots=True)
class Rules:
    """What operators have in force: queues, and data centres taken out."""

    queues: dict[QueueId, Queue] = field(default_factory=dict)
    out: frozenset[DataCentreId] = frozenset()


@dataclass(slots=True)
class _Batch:
    """Records of one append, and what to do once they are durable."""

    records: list[RunRecord] = field(default_factory=list)
    extra: list[Put | Delete] = field(default_factory=list)
    starts: list[Placement] = field(default_factory=list)
    noted: dict[HostId, int] = field(default_factory=dict)


class Scheduler:
    """Schedules all jobs for one term; `serve` runs it.

    The tables run ahead of the log by the batch that is being written;
    nothing is sent or shown before the batch is durable.
    """

    def __init__(
        self,
        term: Term,
        store: FeedStore,
        prefix: str,
        cfg: FleetSettings,
        rules: Callable[[], Rules],
        contact_at: Callable[[], float],
        publish: Callable[[JobStatuses], None],
        utc: Callable[[], float],
    ) -> None:
        self.term = term
        self.cfg = cfg
        self.table = JobTable()
        self.hosts: dict[HostId, Host] = {}
        self.links: dict[HostId, Link] = {}
        self.loaded = anyio.Event()
        self.statuses: dict[JobId, JobStatus] = {}
        self._rules, self._contact_at, self._publish, self._utc = rules, contact_at, publish, utc
        self._keys = JobKeys(prefix)
        self._log = RunLog(store, f"{prefix}runs/", term.epoch_key, term.epoch_revision)
        self._mirror = Mirror(store, self._keys.root, self._job_noted)
        self._wake = anyio.Event()
        self._fences = 0
        self._started = boot_s()
        self._endings: deque[tuple[HostId, tuple[str, int], RunEnding]] = deque()
        self._queued: dict[HostId, int] = {}
        self._lost: deque[tuple[TaskKey, int, str]] = deque()
        self._unknown: dict[HostId, dict[RunName, float]] = {}
        self._cancel_keys: set[JobId] = set()
        self._moved_at = self._copied_at = self._started
        self._fleet_logged_at = float("-inf")

    # Life of the term.

    async def serve(self) -> None:
        """Run until the term is over or the task is cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._mirror.run)
            records = await self._load()
            await self._mirror.loaded.wait()
            self.table.apply_all(records, boot_s())
            self._expect_hosts()
            self.table.changed.update(self.table.rows)
            self.loaded.set()
            log.info(
                "scheduler loaded",
                extra={"jobs": len(self.table.rows), "records": len(records), "epoch": self.epoch},
            )
            try:
                await self._work()
            except FencedError as exc:
                log.warning("%s", exc, extra={"epoch": self.epoch})
            group.cancel_scope.cancel()

    @property
    def epoch(self) -> int:
        """The term's epoch."""
        return self.term.epoch

    async def _load(self) -> list[RunRecord]:
        while True:
            try:
                return await self._log.load()
            except StoreError as exc:
                log.info("run log not read: %s", exc)
                await anyio.sleep(LOAD_RETRY_S)

    def _expect_hosts(self) -> None:
        """Note hosts that runs were assigned to; their agents may have gone on being granted."""
        hold = self.cfg.run_hold_s
        if not self.term.succeeds_itself:
            hold += self.cfg.authority_s
        for name, runs in self.table.by_host.items():
            if runs:
                self.hosts[name] = Host(name, runs_until=self._started + hold)

    def wake(self) -> None:
        """Look through the tables soon."""
        self._wake.set()

    def _job_noted(self, key: str, value: bytes | None, revision: int) -> None:
        """Take over a change of a job's key."""
        if value is None:
            return
        if key.startswith(self._keys.cancel(JobId(""))):
            self.cancel(JobId(key.removeprefix(self._keys.cancel(JobId("")))))
            return
        self.add_job(value)

    def add_job(self, content: str | bytes) -> None:
        """Add a stored job unless it is known."""
        try:
            stored = parse_job(content)
        except InputError as exc:
            log.error("stored job not read: %s", exc)
            return
        job, now = stored.job, boot_s()
        if job.job_id in self.table.rows:
            return
        if stored.ended is not None:
            self.table.add_ended(job, stored.ended, now)
        else:
            self.table.add(job, now)
            if job.job_id in self._cancel_keys:
                self.table.cancel(job.job_id)
        self.table.changed.add(job.job_id)
        self.wake()

    def cancel(self, job: JobId) -> None:
        """Take note that a job is to be cancelled."""
        self._cancel_keys.add(job)
        self.table.cancel(job)
        self.wake()

    # Hosts.

    def attach(self, link: Link, message: HostAttach) -> HostAttached:
        """Put a life of a host's executor under this term and return its fencing token."""
        name = message.host
        host = self.hosts.setdefault(name, Host(name))
        life = (message.instance, message.born_ms)
        now = boot_s()
        if host.life() != life:
            host.noted = 0
            self._queued.pop(name, None)
            host.draining, host.leaves_at = False, float("inf")
            host.note_success()
            host.set_aside_until = float("-inf")
        self._fences += 1
        host.fence = FenceToken(self.epoch * FENCES_PER_EPOCH + self._fences)
        host.reported = False
        host.facts = HostFacts(
            message.instance,
            message.born_ms,
            message.service,
            message.data_centre,
            message.rack,
            frozenset(message.labels),
            message.capacity,
        )
        host.runs_until = max(host.runs_until, now + self.cfg.run_hold_s)
        self.links[name] = link
        log.info(
            "host attached",
            extra={"host": name, "instance": message.instance, "fence": host.fence},
        )
        self.wake()
        return HostAttached(self.term.epoch, host.fence)

    def link_closed(self, link: Link) -> None:
        """Note that the hosts of a link are not attached any more."""
        for name in [name for name, used in self.links.items() if used is link]:
            del self.links[name]
            self.hosts[name].reported = False
            self.hosts[name].fence = NOT_ATTACHED
            log.info("host detached", extra={"host": name})

    def report(self, link: Link, message: HostRuns) -> None:
        """Take over the report of a host and let its runs go on."""
        host = next((item for item in self.hosts.values() if item.fence == message.fence), None)
        if host is None or self.links.get(host.host) is not link:
            return
        now = boot_s()
        self._grant(host, link, message.renewal, now)
        host.renewal = message.renewal
        if message.draining and not host.draining:
            log.info("host leaves", extra={"host": host.host, "left_ms": message.remaining_ms})
            self.wake()
        host.draining = message.draining
        host.leaves_at = now + message.remaining_ms / 1000 if message.draining else float("inf")
        self._match_runs(host, message, now)
        for ending in message.endings:
            if ending.number > self._queued.get(host.host, host.noted):
                self._queued[host.host] = ending.number
                self._endings.append((host.host, host.life(), ending))
                self.wake()
        if message.first:
            host.reported = True
            self._send_traits(host, link)
            self.wake()

    def _grant(self, host: Host, link: Link, renewal: int, now: float) -> None:
        """Let a host's runs go on, if no later scheduler can have counted on their end."""
        if now - self._contact_at() > self.cfg.authority_s:
            return
        host.runs_until = max(host.runs_until, now + self.cfg.run_hold_s)
        _send(link, HostGrant(host.fence, renewal, host.noted))

    def _match_runs(self, host: Host, message: HostRuns, now: float) -> None:
        """Compare what a host runs with the tables."""
        known = self.table.by_host.get(host.host, {})
        # Time without reports says nothing of progress.
        since = min(now - host.reported_at, MAX_REPORT_GAP_S)
        host.reported_at = now
        listed = set()
        for status in message.runs:
            try:
                key = TaskKey.parse(status.task)
            except InputError as exc:
                log.error("host %s reports a run: %s", host.host, exc)
                continue
            listed.add((key, status.run))
            run = known.get((key, status.run))
            if run is None:
                self._stop_unknown(host, RunName(status.task, status.run), now)
                continue
            if run.phase is RunPhase.ORDERED:
                run.phase = RunPhase.RUNNING
                run.first_percent = status.percent
            if status.percent != run.percent or status.saved != run.saved:
                run.stalled_s = 0.0
            else:
                run.stalled_s += since
            run.percent, run.saved, run.load = status.percent, status.saved, status.load
            self._note_speed(host, run, now)
        if message.first:
            ended = {(ending.task, ending.run) for ending in message.endings}
            for (key, number), run in known.items():
                if (key, number) not in listed and (str(key), number) not in ended:
                    self._lose(run, "its host does not know it")

    def _note_speed(self, host: Host, run: Run, now: float) -> None:
        """Learn from a run's progress how fast its host is."""
        row = self.table.rows.get(run.task.job)
        if row is None or not row.tasks or now - run.since < SPEED_AFTER_S:
            return
        step = row.step(run.task)
        if step.estimate_s > 0 and not (step.long_running or step.filler or step.gang):
            rate = (run.percent - run.first_percent) / (now - run.since)
            host.note_speed(rate * step.estimate_s / 100)

    def _stop_unknown(self, host: Host, name: RunName, now: float) -> None:
        """Stop a run that belongs to no unfinished task."""
        sent = self._unknown.setdefault(host.host, {})
        if now - sent.get(name, float("-inf")) < STOP_AGAIN_S:
            return
        sent[name] = now
        log.info("unknown run stopped", extra={"host": host.host, "task": name.task})
        self._send_host(host, StopRuns(host.fence, (name,)))

    def _send_traits(self, host: Host, link: Link) -> None:
        traits = [
            RunTrait(TaskId(str(run.task)), run.run, step.filler, step.target_ms)
            for run in self.table.runs_on(host.host)
            if run.task in self.table.rows[run.task.job].tasks
            for step in (self.table.step_of(run.task),)
        ]
        _send(link, RunTraits(host.fence, tuple(traits)))

    def answers(self, link: Link, message: OrderAnswers) -> None:
        """Take over what became of starts."""
        host = next((item for item in self.hosts.values() if item.fence == message.fence), None)
        if host is None or self.links.get(host.host) is not link:
            return
        now = boot_s()
        for answer in message.answers:
            key = TaskKey.parse(answer.task)
            run = self.table.by_host.get(host.host, {}).get((key, answer.run))
            if run is None:
                continue
            if answer.answer is StartAnswer.STARTED:
                continue
            if answer.answer is StartAnswer.UNFIT:
                host.set_aside_until = max(host.set_aside_until, now + UNFIT_PAUSE_S)
            elif answer.answer is StartAnswer.BROKEN and host.note_failure(key.job, now):
                log.warning("host set aside", extra={"host": host.host, "reason": "refuses starts"})
            self._lose(run, f"its start was answered {answer.answer.value}")

    def _lose(self, run: Run, reason: str) -> None:
        self._lost.append((run.task, run.run, reason))
        self.wake()

    def _send_host(self, host: Host, message: StartRuns | StopRuns) -> bool:
        link = self.links.get(host.host)
        return link is not None and _send(link, message)

    # The work loop.

    async def _work(self) -> None:
        while True:
            with anyio.move_on_after(IDLE_S):
                await self._wake.wait()
            self._wake = anyio.Event()
            batch = self._decide()
            started = boot_s()
            if batch.records or batch.extra:
                await self._log.append(batch.records, batch.extra)
                self._finish(batch)
            self._show()
            self._send_stops()
            if self._log.entries > SNAPSHOT_EVERY:
                await self._log.snapshot(list(self.table.summaries()))
            self._log_fleet()
            if batch.records:
                await anyio.sleep(max(0.0, self.cfg.log_interval_s - (boot_s() - started)))

    def _log_fleet(self) -> None:
        """Log how full the hosts are, now and then."""
        now = boot_s()
        if now - self._fleet_logged_at < FLEET_LOG_INTERVAL_S:
            return
        self._fleet_logged_at = now
        rooms = make_rooms(self.table, self._placement_input(now))
        waiting = Counter(self.table.rows[key.job].job.queue for key in self.table.waiting)
        log.info(
            "fleet",
            extra={
                "attached": len(self.links),
                "waiting": dict(waiting),
                "hosts": {
                    name: [
                        round(room.used / max(1, room.capacity.cpu_milli), 2),
                        room.serving,
                        room.fillers,
                        room.host.takes_starts(now, self.cfg.silent_s),
                    ]
                    for name, room in rooms.items()
                },
            },
        )

    def _decide(self) -> _Batch:
        """Apply what happened and choose starts; returns what must become durable."""
        batch = _Batch()
        now = boot_s()
        self._sweep_hosts(now)
        self._take_endings(batch, now)
        self._take_lost(batch, now)
        given = self._placement_input(now)
        for placement in [*place(self.table, given), *self._copies(given)]:
            host = self.hosts[placement.host]
            instance, born_ms = host.life()
            record = Assigned(placement.task, placement.run, placement.host, instance, born_ms)
            self._apply(batch, record, now)
            batch.starts.append(placement)
        self._end_jobs(batch, now)
        return batch

    def _copies(self, given: PlacementInput) -> list[Placement]:
        """Return starts of copies, looked for less often since they depend on time only."""
        if given.now - self._copied_at < COPY_INTERVAL_S:
            return []
        self._copied_at = given.now
        return place_copies(self.table, given)

    def _placement_input(self, now: float) -> PlacementInput:
        rules = self._rules()
        return PlacementInput(self.hosts, rules.queues, rules.out, now, self._utc(), self.cfg)

    def _apply(self, batch: _Batch, record: RunRecord, now: float) -> None:
        batch.records.append(record)
        self.table.apply(record, now)

    def _sweep_hosts(self, now: float) -> None:
        """Give up the runs of hosts whose leases have surely ended."""
        for name, host in list(self.hosts.items()):
            if host.fence or now < host.runs_until:
                continue
            for run in self.table.runs_on(name):
                self._lost.append((run.task, run.run, "its host is gone and its lease has ended"))
            if now > host.runs_until + self.cfg.retention_s:
                del self.hosts[name]

    def _take_endings(self, batch: _Batch, now: float) -> None:
        while self._endings:
            name, life, ending = self._endings.popleft()
            host = self.hosts.get(name)
            if host is None or host.life() != life:
                continue
            batch.noted[name] = ending.number
            try:
                key = TaskKey.parse(ending.task)
            except InputError as exc:
                log.error("host %s reports an end: %s", name, exc)
                continue
            self._note_health(host, key, ending, now)
            self._end_run(batch, key, ending.run, ending.result, ending.saved, now)

    def _note_health(self, host: Host, key: TaskKey, ending: RunEnding, now: float) -> None:
        if ending.result is RunResult.DONE:
            host.note_success()
        elif ending.result is RunResult.FAILED and host.note_failure(key.job, now):
            log.warning("host set aside", extra={"host": host.host, "reason": "runs fail"})

    def _take_lost(self, batch: _Batch, now: float) -> None:
        while self._lost:
            key, run, reason = self._lost.popleft()
            task = self.table.task(key)
            known = task.runs.get(run) if task is not None else None
            if known is None:
                continue
            log.info("run lost: %s", reason, extra={"task": str(key), "run": run})
            self._end_run(batch, key, run, RunResult.LOST, known.saved, now)

    def _end_run(
        self, batch: _Batch, key: TaskKey, run: int, result: RunResult, saved: str, now: float
    ) -> None:
        task = self.table.task(key)
        if task is None or (run not in task.runs and (task.done or result is not RunResult.DONE)):
            return
        self._apply(batch, Ended(key, run, result, saved), now)
        log.info("run ended", extra={"task": str(key), "run": run, "result": result.value})
        row = self.table.rows.get(key.job)
        if result is not RunResult.FAILED or row is None or row.unwanted:
            return
        queue = self._rules().queues.get(row.job.queue)
        if queue is None or task.runs:
            return
        if self.table.out_of_attempts(key, queue.attempts):
            log.info("job fails", extra={"job": key.job, "task": str(key)})
            self.table.fail(key.job)

    def _end_jobs(self, batch: _Batch, now: float) -> None:
        """Record jobs that have ended, and remove those that were kept long enough."""
        for job, progress in list(self.table.to_end.items()):
            if len(batch.extra) + 2 > MAX_EXTRA:
                self.wake()
                return
            queue = self.table.rows[job].job.queue
            self._apply(batch, JobEnded(job, progress), now)
            text = ended_text(job, queue, progress)
            batch.extra.append(Put(self._keys.job(job), text.encode()))
            log.info("job ended", extra={"job": job, "progress": progress.value})
        for job, row in list(self.table.rows.items()):
            if not row.progress.final or len(batch.extra) + 2 > MAX_EXTRA:
                continue
            if job in self._cancel_keys:
                self._cancel_keys.discard(job)
                batch.extra.append(Delete(self._keys.cancel(job)))
            if now - row.ended_at > self.cfg.retention_s and not row.tasks:
                batch.extra.append(Delete(self._keys.job(job)))
                self.table.remove(job)
                self.statuses.pop(job, None)

    def _finish(self, batch: _Batch) -> None:
        """Act on a batch that is durable."""
        for name, number in batch.noted.items():
            host = self.hosts.get(name)
            if host is not None:
                host.noted = max(host.noted, number)
        by_host: dict[HostId, list[Placement]] = {}
        for placement in batch.starts:
            by_host.setdefault(placement.host, []).append(placement)
        for name, placements in by_host.items():
            self._send_starts(self.hosts[name], placements)

    def _send_starts(self, host: Host, placements: Iterable[Placement]) -> None:
        """Order starts, but for those that have become wrong while they were written."""
        orders = []
        rules = self._rules()
        for placement in placements:
            task = self.table.task(placement.task)
            run = task.runs.get(placement.run) if task else None
            row = self.table.rows.get(placement.task.job)
            if task is None or run is None or row is None:
                continue
            out = host.facts is not None and host.facts.data_centre in rules.out
            if row.unwanted or task.done or out or host.draining:
                self._lose(run, "its start was not sent")
                continue
            step = row.step(placement.task)
            name = TaskId(str(placement.task))
            orders.append(
                RunOrder(
                    name, run.run, row.job.command, task.saved, "", step.filler, step.target_ms
                )
            )
            log.info(
                "run ordered",
                extra={
                    "task": name,
                    "run": run.run,
                    "host": host.host,
                    "waited_s": round(boot_s() - task.waiting_since, 3),
                },
            )
        if orders:
            # If the link is gone, the host's next first report shows that the run is not there.
            self._send_host(host, StartRuns(host.fence, host.renewal, tuple(orders)))

    def _show(self) -> None:
        """Publish the states of jobs that have changed."""
        if not self.table.changed:
            return
        changed = []
        for job in self.table.changed:
            row = self.table.rows.get(job)
            if row is not None:
                status = JobStatus(job, row.job.queue, row.progress)
                if self.statuses.get(job) != status:
                    self.statuses[job] = status
                    changed.append(status)
        self.table.changed.clear()
        if changed:
            self._publish(JobStatuses(self.term.epoch, False, tuple(changed)))

    def whole_statuses(self) -> Iterable[JobStatuses]:
        """Yield messages that together hold the states of all jobs."""
        every = list(self.statuses.values())
        for start in range(0, max(1, len(every)), STATUSES_PER_MESSAGE):
            part = tuple(every[start : start + STATUSES_PER_MESSAGE])
            yield JobStatuses(self.term.epoch, start == 0, part)

    # Stops.

    def _send_stops(self) -> None:
        """Send stops for runs that are not to go on, each again until it has ended."""
        now = boot_s()
        moved = self._runs_to_move(now)
        for name, runs in self.table.by_host.items():
            host = self.hosts.get(name)
            if host is None or not host.reported:
                continue
            stops = [run for run in runs.values() if run in moved or self._unwanted(run, host, now)]
            due = [run for run in stops if now - run.stop_sent_at > STOP_AGAIN_S]
            if not due:
                continue
            for run in due:
                run.stop_sent_at = now
                run.phase = RunPhase.STOPPING
            names = tuple(RunName(TaskId(str(run.task)), run.run) for run in due)
            log.info("runs stopped", extra={"host": name, "tasks": [item.task for item in names]})
            self._send_host(host, StopRuns(host.fence, names))

    def _runs_to_move(self, now: float) -> list[Run]:
        """Return filler runs that another host would bring on faster, looked for once a second."""
        if now - self._moved_at < MOVE_INTERVAL_S:
            return []
        self._moved_at = now
        for host in self.hosts.values():
            host.recover_speed()
        return slow_runs(self.table, self._placement_input(now))

    def _unwanted(self, run: Run, host: Host, now: float) -> bool:
        row = self.table.rows.get(run.task.job)
        if row is None or row.unwanted or run.task not in row.tasks:
            return True
        if row.tasks[run.task].done or run.phase is RunPhase.STOPPING:
            return True
        step = row.step(run.task)
        if host.draining:
            return step.long_running or now > host.leaves_at - LEAVE_LEAD_S
        if run.phase is RunPhase.RUNNING and stalled(run, step):
            log.warning("run makes no progress", extra={"task": str(run.task), "host": host.host})
            if host.note_failure(run.task.job, now):
                log.warning("host set aside", extra={"host": host.host, "reason": "runs stall"})
            return True
        return False

    def impossible_jobs(self) -> list[JobId]:
        """Return jobs with a step that no known host could run."""
        rules = self._rules()
        found = []
        for job, row in self.table.rows.items():
            queue = rules.queues.get(row.job.queue)
            if queue is not None and any(
                hopeless(step, queue, self.hosts.values()) for step in row.job.steps
            ):
                found.append(job)
        return found


def _send(link: Link, message: HostGrant | RunTraits | StartRuns | StopRuns) -> bool:
    """Queue a message on a link; False if the link is gone or does not take it."""
    try:
        link.send_nowait(message)
    except LinkError as exc:
        log.info("message to %s not sent: %s", link.peer_id, exc)
        return False
    return True
