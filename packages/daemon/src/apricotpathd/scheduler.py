"""Schedules jobs during one leader term; every decision is written to the run log first."""

import logging
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import islice

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

from apricotpath.boottime import boot_s
from apricotpath.crashes import (
    BYSTANDER,
    Blame,
    CrashedRun,
    CrashHistory,
    CrashPart,
    CrashRate,
    assign_blame,
)
from apricotpath.election import Term
from apricotpath.errors import FencedError, InputError
from apricotpath.fleet import FleetSettings, Host
from apricotpath.hostload import PlacementInput, host_loads
from apricotpath.ids import DataCentreId, FenceToken, JobId, QueueId
from apricotpath.jobcodec import ended_text, parse_job
from apricotpath.jobmetrics import JobMetrics
from apricotpath.joborder import objective_s
from apricotpath.jobtable import JobTable
from apricotpath.messages import (
    ExecutorCrash,
    JobStatus,
    JobStatuses,
    RunEnding,
)
from apricotpath.mirror import Mirror, WatchableStore
from apricotpath.pagedread import ReadProgress
from apricotpath.runlog import MAX_EXTRA, RECORDS_PER_SLICE, LogPosition, RunLog
from apricotpath.runmoves import place_copies
from apricotpath.runplacement import Placement
from apricotpath.runrecords import Assigned, Crashed, Ended, JobEnded, RunRecord
from apricotpath.store import Delete, Put
from apricotpath.waitreasons import host_row, long_waits
from apricotpath.workload import Job, Queue, RunResult, TaskKey
from apricotpathd.hosttracker import ExecutorName, HostTracker
from apricotpathd.jobservice import JobKeys
from apricotpathd.planning import Planning
from apricotpathd.runstops import RunStops
from apricotpathd.startorders import StartOrders
from apricotpathd.tableload import TableLoad

log = logging.getLogger(__name__)

# Maximum time between two scheduling passes; some conditions depend on the clock alone.
MAX_IDLE_S = 0.2
COPY_INTERVAL_S = 0.3
# Bounds the progress that is lost when all machines lose power at once.
SAVE_INTERVAL_S = 2.0
# Intervals of the scans over all jobs for expired ones and over all runs for runs to stop.
FORGET_INTERVAL_S = 0.5
STOP_INTERVAL_S = 0.1
# 600 checkpoint records take about 40 kB in one append.
MAX_CHECKPOINTS_PER_APPEND = 600
FLEET_LOG_INTERVAL_S = 2.0
STATUSES_PER_MESSAGE = 4000
MAX_SUSPECTS_LOGGED = 10


@dataclass(frozen=True, slots=True)
class SchedulerRules:
    """Operator settings in force: the queues, and the data centres that are out of service."""

    queues: dict[QueueId, Queue] = field(default_factory=dict)
    out: frozenset[DataCentreId] = frozenset()


@dataclass(slots=True)
class _Batch:
    """Records of one append, and the actions to take once they are durable.

    `starts` pairs each placement with the fencing token of the attachment that it was
    decided for. `acked_endings` holds the number of the last ending recorded for each
    incarnation of an executor.
    """

    records: list[RunRecord] = field(default_factory=list)
    extra: list[Put | Delete] = field(default_factory=list)
    starts: list[tuple[FenceToken, Placement]] = field(default_factory=list)
    acked_endings: dict[ExecutorName, int] = field(default_factory=dict)


class Scheduler:
    """Schedules all jobs for one term; `serve` runs it.

    The in-memory tables are ahead of the log by the batch that is being written;
    nothing is sent or published before the batch is durable.
    """

    def __init__(
        self,
        term: Term,
        store: WatchableStore,
        prefix: str,
        cfg: FleetSettings,
        rules: Callable[[], SchedulerRules],
        last_store_contact_at: Callable[[], float],
        publish: Callable[[JobStatuses], None],
        metrics: JobMetrics,
        utc: Callable[[], float],
    ) -> None:
        self.term = term
        self.cfg = cfg
        self.table = JobTable()
        self.loaded = anyio.Event()
        self.statuses: dict[JobId, JobStatus] = {}
        self._rules, self._publish, self._utc = rules, publish, utc
        self._metrics = metrics
        self._keys = JobKeys(prefix)
        self.load_progress = progress = ReadProgress()
        self._log = RunLog(store, f"{prefix}runs/", term.epoch_key, term.epoch_revision, progress)
        self._mirror = Mirror(store, self._keys.root, self._on_job_key_changed, progress=progress)
        self._wake = anyio.Event()
        self._started = boot_s()
        self._starts_alone = term.predecessor_ended.is_set()
        self._cancel_keys: set[JobId] = set()
        self.host_tracker = HostTracker(term, self.table, cfg, last_store_contact_at, self.wake)
        self._start_orders = StartOrders(
            term.epoch, self.table, self.host_tracker, lambda: rules().out, metrics
        )
        self._run_stops = RunStops(self.table, self.host_tracker, self._started)
        self._copied_at = self._saved_at = self._forgot_at = self._stopped_at = self._started
        self._fleet_logged_at = float("-inf")
        self._snapshot_running = False
        self._crash_rate = CrashRate(self._started)
        self.planning = Planning(cfg, metrics)

    # Start of the term.

    async def serve(self) -> None:
        """Run until the term is over or given up, or the task is cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._mirror.run)
            group.start_soon(self._shorten_holds)
            if await self._load_tables():
                group.start_soon(self._log.find_obsolete)
                try:
                    await self._run_loop(group)
                except FencedError as exc:
                    log.warning("%s", exc, extra={"epoch": self.epoch})
                finally:
                    self.term.holds.update(self.host_tracker.holds(boot_s()))
            group.cancel_scope.cancel()

    @property
    def epoch(self) -> int:
        """The term's epoch."""
        return self.term.epoch

    async def _load_tables(self) -> bool:
        """Load jobs and runs; return False if the term is given up instead."""
        loading = TableLoad(self.term, self._log, self._mirror, self.load_progress)
        records = await loading.read()
        if self.term.given_up.is_set():
            return False
        await self._apply_loaded(records)
        self._restore_hosts()
        self._add_statuses()
        self.loaded.set()
        log.info(
            "scheduler loaded",
            extra=loading.state() | {"jobs": len(self.table.rows), "records": len(records)},
        )
        return True

    def _add_statuses(self) -> None:
        """Add the states of the loaded jobs, but for final ones, which are in the store."""
        self.table.changed.clear()
        for job, row in self.table.rows.items():
            if not row.progress.final:
                self.statuses[job] = JobStatus(job, row.job.queue, row.progress)

    async def _apply_loaded(self, records: Sequence[RunRecord]) -> None:
        """Apply the records of the run log, and let other tasks run in between."""
        now = boot_s()
        for start in range(0, len(records), RECORDS_PER_SLICE):
            self.table.apply_all(records[start : start + RECORDS_PER_SLICE], now)
            await anyio.lowlevel.checkpoint()
        self.planning.loaded(now)

    def _restore_hosts(self) -> None:
        """Add hosts with assigned runs, whose leases an earlier scheduler may have renewed.

        One that ended only while the tables were loaded may have renewed them until then.
        """
        max_hold_s = self.cfg.run_hold_s + self.cfg.authority_s
        hold_s = self.cfg.run_hold_s if self._starts_alone else max_hold_s
        predecessor = self.term.predecessor
        known = predecessor.holds if predecessor is not None else {}
        hosts = [name for name, runs in self.table.by_host.items() if runs]
        for name in hosts:
            until = self._started + min(max_hold_s, known.get(name, hold_s))
            self.host_tracker.hosts[name] = Host(name, runs_until=until)
        log.info("runs of the last term held", extra={"hosts": len(hosts), "hold_s": hold_s})

    async def _shorten_holds(self) -> None:
        """Once the previous schedulers have ended, end the leases that they may have granted."""
        await self.term.predecessor_ended.wait()
        until = boot_s() + self.cfg.run_hold_s
        await self.loaded.wait()
        self.host_tracker.limit_holds(until)

    def wake(self) -> None:
        """Run a scheduling pass soon."""
        self._wake.set()

    def _on_job_key_changed(self, key: str, value: bytes | None, revision: int) -> None:
        """Apply a change of a job's key in the store."""
        if value is None:
            return
        if key.startswith(self._keys.cancel(JobId(""))):
            self.cancel(JobId(key.removeprefix(self._keys.cancel(JobId("")))))
            return
        self.add_job(value, key)

    def add_job(self, content: str | bytes, key: str = "") -> None:
        """Add a stored job unless the table has it already; `key` is where it was found."""
        try:
            stored = parse_job(content)
        except InputError as exc:
            log.error("malformed job ignored: %s", exc, extra={"key": key})
            return
        job, now = stored.job, boot_s()
        if key and key != self._keys.job(job.job_id):
            log.error("job under the key of another one ignored", extra={"key": key})
            return
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
        """Mark a job as cancelled."""
        self._cancel_keys.add(job)
        self.table.cancel(job)
        self.wake()

    # Scheduling loop.

    async def _run_loop(self, group: TaskGroup) -> None:
        while True:
            with anyio.move_on_after(MAX_IDLE_S):
                await self._wake.wait()
            self._wake = anyio.Event()
            batch = self._decide()
            started = boot_s()
            if batch.records or batch.extra:
                await self._log.append(batch.records, batch.extra)
                self._complete_batch(batch)
            self._publish_changes()
            self._send_stops(boot_s())
            if self._log.snapshot_due and not self._snapshot_running:
                self._snapshot_running = True
                # Both are taken before the next append can begin.
                records, position = list(self.table.summaries()), self._log.position()
                group.start_soon(self._write_snapshot, records, position)
            self._log_fleet()
            if batch.records:
                await anyio.sleep(max(0.0, self.cfg.log_interval_s - (boot_s() - started)))

    async def _write_snapshot(self, records: list[RunRecord], position: LogPosition) -> None:
        """Replace the log up to a position by records of the state there, beside later appends."""
        try:
            await self._log.snapshot(records, position)
        except FencedError as exc:
            # A newer scheduler ends the term at the next append; else the next snapshot succeeds.
            log.warning("snapshot not written: %s", exc, extra={"epoch": self.epoch})
        finally:
            self._snapshot_running = False

    def _send_stops(self, now: float) -> None:
        if now - self._stopped_at >= STOP_INTERVAL_S:
            self._stopped_at = now
            self._run_stops.send(self._placement_input(now))

    def _log_fleet(self) -> None:
        """Log the load of the hosts and the waiting tasks at intervals."""
        now = boot_s()
        if now - self._fleet_logged_at < FLEET_LOG_INTERVAL_S:
            return
        self._fleet_logged_at = now
        inputs = self._placement_input(now)
        loads = host_loads(self.table, inputs)
        self.planning.log_state(now)
        for wait in long_waits(self.table, inputs, loads):
            log.info("tasks waiting", extra=wait)
        waiting = Counter(self.table.rows[key.job].job.queue for key in self.table.waiting)
        log.info(
            "fleet",
            extra={
                "attached": len(self.host_tracker.links),
                "waiting": dict(waiting),
                "pressures": self.host_tracker.disturbance.pressures(),
                "hosts": {
                    name: host_row(host_load, now, self.cfg.silent_s)
                    for name, host_load in loads.items()
                },
            },
        )

    def _decide(self) -> _Batch:
        """Apply events and choose starts; return the records that must become durable."""
        batch = _Batch()
        now = boot_s()
        self.host_tracker.expire_leases(now)
        self._process_endings(batch, now)
        self._process_crashes(batch, now)
        self._process_lost_runs(batch, now)
        self._fail_exhausted()
        self._save_progress(batch, now)
        inputs = self._placement_input(now)
        if not self.table.open_due(inputs.utc_s, now):
            self.wake()
        self._assign(batch, self.planning.place(self.table, inputs), now)
        if inputs.budget.spent:
            self.wake()
        # Copies are chosen afterwards, so that they count the tasks placed by this pass.
        self._assign(batch, self._place_copies(inputs), now)
        self._end_jobs(batch, now)
        return batch

    def _assign(self, batch: _Batch, placements: Iterable[Placement], now: float) -> None:
        """Record placements and apply them to the table."""
        for placement in placements:
            host = self.host_tracker.hosts[placement.host]
            instance, born_ms = host.executor_incarnation()
            record = Assigned(placement.task, placement.run, placement.host, instance, born_ms)
            self._apply(batch, record, now)
            batch.starts.append((host.fence, placement))

    def _save_progress(self, batch: _Batch, now: float) -> None:
        """Record checkpoints at intervals, in case hosts and scheduler are lost together."""
        if now - self._saved_at < SAVE_INTERVAL_S:
            return
        self._saved_at = now
        for record in list(islice(self.table.new_checkpoints(), MAX_CHECKPOINTS_PER_APPEND)):
            self._apply(batch, record, now)

    def _place_copies(self, inputs: PlacementInput) -> list[Placement]:
        """Return starts of speculative copies, at intervals since they depend on time only."""
        if inputs.now - self._copied_at < COPY_INTERVAL_S:
            return []
        self._copied_at = inputs.now
        return place_copies(self.table, inputs)

    def _placement_input(self, now: float) -> PlacementInput:
        rules = self._rules()
        return PlacementInput(
            self.host_tracker.hosts,
            rules.queues,
            rules.out,
            now,
            self._utc(),
            self.cfg,
            low_impact_images=self.host_tracker.disturbance.low_impact_images(),
        )

    def _apply(self, batch: _Batch, record: RunRecord, now: float) -> None:
        batch.records.append(record)
        self.table.apply(record, now)

    def _process_endings(self, batch: _Batch, now: float) -> None:
        """Record the reported endings.

        Of an executor that has restarted since, only done runs count: the next incarnation may
        be running the others, as its lists will tell.
        """
        while self.host_tracker.endings:
            name, executor_incarnation, ending = self.host_tracker.endings.popleft()
            batch.acked_endings[ExecutorName(name, *executor_incarnation)] = ending.number
            try:
                key = TaskKey.parse(ending.task)
            except InputError as exc:
                log.error("invalid ending reported by host %s: %s", name, exc)
                continue
            host = self.host_tracker.hosts.get(name)
            if host is not None and host.executor_incarnation() == executor_incarnation:
                self._record_host_health(host, key, ending, now)
            elif ending.result is not RunResult.DONE:
                continue
            self._end_run(batch, key, ending.run, ending.result, ending.saved, now)

    def _record_host_health(self, host: Host, key: TaskKey, ending: RunEnding, now: float) -> None:
        if ending.result is RunResult.DONE:
            host.record_success()
        elif ending.result is RunResult.FAILED and host.record_failure(key.job, now):
            log.warning("host set aside", extra={"host": host.host, "reason": "runs fail"})

    def _process_lost_runs(self, batch: _Batch, now: float) -> None:
        while self.host_tracker.lost_runs:
            key, run, reason = self.host_tracker.lost_runs.popleft()
            task = self.table.task(key)
            lost = task.runs.get(run) if task is not None else None
            if lost is None:
                continue
            log.info(
                "run lost: %s",
                reason,
                extra={
                    "task": str(key),
                    "run": run,
                    "host": lost.host,
                    "percent": lost.percent,
                    "saved": lost.saved,
                },
            )
            self._end_run(batch, key, run, RunResult.LOST, lost.saved, now)

    def _process_crashes(self, batch: _Batch, now: float) -> None:
        """Record the crashes of executors at the tasks that were there."""
        while self.host_tracker.crashes:
            host, crash = self.host_tracker.crashes.popleft()
            runs = list(self._runs_at_crash(crash, now))
            self._crash_rate.add(now)
            parts = assign_blame(runs, host)
            name = ExecutorName(host, crash.instance, crash.born_ms)
            if self.host_tracker.crashed_with_others(name):
                parts = dict.fromkeys(runs, BYSTANDER)
            suspects = [run for run, part in parts.items() if part.blame is Blame.SUSPECT]
            self._metrics.executor_crashed()
            log.warning(
                "executor crashed",
                extra={
                    "host": host,
                    "instance": crash.instance,
                    "runs": len(crash.runs),
                    "suspects": [str(run.task) for run in suspects[:MAX_SUSPECTS_LOGGED]],
                    "suspect_count": len(suspects),
                },
            )
            for run, part in parts.items():
                self._record_crash(batch, run, part, now)

    def _runs_at_crash(self, crash: ExecutorCrash, now: float) -> Iterator[CrashedRun]:
        """Yield the runs at a crash whose tasks are not done, except those recorded before."""
        hosts = len(self.host_tracker.hosts)
        for item in crash.runs:
            try:
                key = TaskKey.parse(item.task)
            except InputError as exc:
                log.error("invalid run reported at a crash: %s", exc)
                continue
            task, history = self.table.task(key), self.table.crashes.get(key, CrashHistory())
            if task is not None and not task.done and item.run not in history.parts:
                rate = self._crash_rate.without(len(history.parts), hosts, now)
                yield CrashedRun(key, item.run, item.ran_ms / 1000, history.suspected, rate)

    def _record_crash(self, batch: _Batch, run: CrashedRun, part: CrashPart, now: float) -> None:
        """Record the part of a task in a crash; its job fails once it is to blame."""
        if part.blame is Blame.OUTLIVED and run.task not in self.table.crashes:
            return
        row = self.table.rows[run.task.job]
        given_up = row.to_be_stopped
        self._apply(batch, Crashed(run.task, run.run, part), now)
        if row.failing and not given_up:
            history = self.table.crashes[run.task]
            log.warning(
                "job failed: its task crashes executors",
                extra={
                    "job": run.task.job,
                    "task": str(run.task),
                    "crashes": len(history.parts),
                    "suspicions": history.suspicions,
                    "chance": history.chance,
                },
            )

    def _end_run(
        self, batch: _Batch, key: TaskKey, run: int, result: RunResult, saved: str, now: float
    ) -> None:
        task = self.table.task(key)
        if task is None or (run not in task.runs and (task.done or result is not RunResult.DONE)):
            return
        row = self.table.rows[key.job]
        self._metrics.run_ended(row.job.queue, result)
        self.planning.run_ended(row.step(key), task.runs.get(run), result, now)
        self._apply(batch, Ended(key, run, result, saved), now)
        log.info("run ended", extra={"task": str(key), "run": run, "result": result.value})

    def _fail_exhausted(self) -> None:
        """Fail jobs with a waiting task that has failed as often as its queue allows.

        Its last failure may be older than this term, or than the queue's return to the rules.
        """
        queues = self._rules().queues
        for key in [key for key, task in self.table.waiting.items() if task.failed_runs]:
            row = self.table.rows[key.job]
            queue = queues.get(row.job.queue)
            if queue is None or row.to_be_stopped:
                continue
            if self.table.out_of_attempts(key, queue.attempts):
                log.info(
                    "job failed",
                    extra={"job": key.job, "task": str(key), "attempts": queue.attempts},
                )
                self.table.fail(key.job)

    def _end_jobs(self, batch: _Batch, now: float) -> None:
        """Record jobs that have ended."""
        for job, progress in list(self.table.to_end.items()):
            if len(batch.extra) + 2 > MAX_EXTRA:
                self.wake()
                return
            accepted = self.table.rows[job].job
            queue, took_s = accepted.queue, max(0.0, self._utc() - accepted.accepted_s)
            self._apply(batch, JobEnded(job, progress), now)
            text = ended_text(job, queue, progress)
            batch.extra.append(Put(self._keys.job(job), text.encode()))
            self._metrics.job_ended(queue, progress, took_s)
            log.info(
                "job ended",
                extra={
                    "job": job,
                    "queue": queue,
                    "progress": progress.value,
                    "took_s": round(took_s, 3),
                    "objective_s": round(self._objective_s(accepted), 3),
                },
            )
        self._forget_jobs(batch, now)

    def _forget_jobs(self, batch: _Batch, now: float) -> None:
        """Remove jobs past their retention time, and the cancel keys of jobs that have ended."""
        if now - self._forgot_at < FORGET_INTERVAL_S:
            return
        self._forgot_at = now
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

    def _objective_s(self, job: Job) -> float:
        """Return the target completion time of a job; 0 if its queue is not configured any more."""
        queue = self._rules().queues.get(job.queue)
        return objective_s(job, queue) if queue is not None else 0.0

    def _complete_batch(self, batch: _Batch) -> None:
        """Acknowledge the endings and send the starts of a batch that has become durable."""
        for executor, number in batch.acked_endings.items():
            self.host_tracker.acknowledge_endings(executor, number)
        self._start_orders.send(batch.starts)

    def _publish_changes(self) -> None:
        """Publish the job states that have changed."""
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
        for start in range(0, len(changed), STATUSES_PER_MESSAGE):
            chunk = tuple(changed[start : start + STATUSES_PER_MESSAGE])
            self._publish(JobStatuses(self.term.epoch, False, chunk))

    def all_statuses(self) -> Iterable[JobStatuses]:
        """Yield messages that together contain the states of all jobs that have not ended.

        Final states are in the store, so that what a new scheduler sends does not grow with
        the jobs of the past.
        """
        job_statuses = [item for item in self.statuses.values() if not item.progress.final]
        for start in range(0, max(1, len(job_statuses)), STATUSES_PER_MESSAGE):
            chunk = tuple(job_statuses[start : start + STATUSES_PER_MESSAGE])
            yield JobStatuses(self.term.epoch, start == 0, chunk)
