"""Schedules jobs during one leader term; every decision is written to the run log first."""

import logging
from collections.abc import Callable, Iterable, Mapping, Sequence

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

from apricotpath.boottime import boot_s
from apricotpath.dryrun import JobTrial, try_in_steps
from apricotpath.errors import FencedError, InputError
from apricotpath.fencelimits import limit_key
from apricotpath.fleet import FleetSettings, Host
from apricotpath.gangturns import GangTurns
from apricotpath.hostleases import LeaseBasis
from apricotpath.hostload import PlacementInput
from apricotpath.ids import HostId, JobId
from apricotpath.jobcodec import parse_job
from apricotpath.jobkeys import JobKeys
from apricotpath.jobmetrics import JobMetrics
from apricotpath.jobtable import JobTable
from apricotpath.learnedstate import LearnedState
from apricotpath.messages import (
    JobStatus,
    JobStatuses,
)
from apricotpath.mirror import Mirror, WatchableStore
from apricotpath.newcheckpoints import new_checkpoints
from apricotpath.pagedread import ReadProgress
from apricotpath.queuerules import changed_queues, forget_queues
from apricotpath.runlog import MAX_EXTRA, RECORDS_PER_SLICE, LogPosition, RunLog
from apricotpath.runmoves import place_copies
from apricotpath.runplacement import Placement
from apricotpath.runrecords import Assigned, RunRecord
from apricotpath.slices import OPERATIONS_PER_SLICE, RUNS_PER_OPERATION, Slices
from apricotpath.steps import Steps
from apricotpath.term import Term
from apricotpath.upkeeprecords import UpkeepRecords
from apricotpath.workload import Job, StepKey
from apricotpathd.absencelog import AbsenceLog
from apricotpathd.crashrecorder import CrashRecorder
from apricotpathd.fleetlog import FleetLog
from apricotpathd.hosttracker import HostTracker
from apricotpathd.jobends import JobEnds
from apricotpathd.operatorrules import SchedulerRules, TermRules
from apricotpathd.planning import Planning
from apricotpathd.runends import RunEnds
from apricotpathd.runstops import RunStops
from apricotpathd.schedulerbatch import Batch
from apricotpathd.startorders import StartOrders
from apricotpathd.tableload import TableLoad

log = logging.getLogger(__name__)

# Maximum time between two scheduling passes; some conditions depend on the clock alone.
MAX_IDLE_S = 0.2
COPY_INTERVAL_S = 0.3
# Bounds the progress that is lost when all machines lose power at once.
SAVE_INTERVAL_S = 2.0
# Interval of the scans over all runs for runs to stop.
STOP_INTERVAL_S = 0.1
# 600 checkpoint records take about 40 kB in one append.
MAX_CHECKPOINTS_PER_APPEND = 600
STATUSES_PER_MESSAGE = 4000


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
        self.rules = TermRules(rules, self.table)
        self._publish, self._utc = publish, utc
        self._metrics = metrics
        self._keys = JobKeys(prefix)
        self._store, self._fence_limit_key = store, limit_key(prefix)
        self.load_progress = progress = ReadProgress()
        self._log = RunLog(store, f"{prefix}runs/", term.epoch_key, term.epoch_revision, progress)
        self._mirror = Mirror(store, self._keys.root, self._on_job_key_changed, progress=progress)
        self._wake = anyio.Event()
        self._started = boot_s()
        self._starts_alone = term.predecessor_ended.is_set()
        self._ends = JobEnds(self.table, self._keys, cfg, metrics, self._started)
        self.host_tracker = HostTracker(term, self.table, cfg, last_store_contact_at, self.wake)
        disturbance = self.host_tracker.traits.disturbance
        self._learned = LearnedState(store, prefix, disturbance, self._started)
        self._start_orders = StartOrders(
            term.epoch, self.table, self.host_tracker, self.rules, metrics
        )
        self._run_stops = RunStops(self.table, self.host_tracker, self._started)
        self._crashes = CrashRecorder(self.table, self.host_tracker, metrics, self._started)
        self.planning = Planning(metrics)
        self._absences = AbsenceLog(self.table, metrics, self._started)
        self.host_tracker.on_begun = self._absences.on_begun
        self._run_ends = RunEnds(
            self.table, self.host_tracker, self._crashes, self._absences, metrics, self.wake
        )
        self._fleet_log = FleetLog(self.table, self.host_tracker)
        self._copied_at = self._saved_at = self._stopped_at = self._started
        self._snapshot_running = False
        self.gang_turns = GangTurns()

    # Start of the term.

    async def serve(self) -> None:
        """Run until the term is over or given up, or the task is cancelled."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._mirror.run)
                group.start_soon(self._shorten_holds)
                group.start_soon(self._learned.load)
                group.start_soon(self._raise_fence_limits, group)
                if await self._load_tables():
                    group.start_soon(self._log.find_obsolete)
                    try:
                        await self._run_loop(group)
                    except FencedError as exc:
                        log.warning("%s", exc, extra={"epoch": self.epoch})
                group.cancel_scope.cancel()
        finally:
            self.term.holds.update(self._end_holds(boot_s()))

    def _end_holds(self, now: float) -> dict[HostId, float]:
        """Return for how many seconds runs may continue after the term, by host."""
        if self.loaded.is_set():
            return self.host_tracker.end_grants(now)
        # Nothing was granted, so that what the last scheduler knew still holds.
        return {name: round(max(0.0, end - now), 3) for name, end in self._known_holds().items()}

    def _known_holds(self) -> Mapping[HostId, float]:
        """Return by when leases have ended that are known from the last scheduler, by host."""
        predecessor = self.term.predecessor
        recorded = predecessor.holds if predecessor is not None else {}
        ends = {name: self._started + hold_s for name, hold_s in recorded.items()}
        for name, until in self.term.holds_until.items():
            ends[name] = min(until, ends.get(name, until))
        return ends

    async def _raise_fence_limits(self, group: TaskGroup) -> None:
        """Store limits of fencing tokens; give the term up once its epoch has none left."""
        await self.host_tracker.fences.raise_limits(self._store, self._fence_limit_key)
        self.term.given_up.set()
        group.cancel_scope.cancel()

    def upkeep_records(self) -> UpkeepRecords:
        """Return the records of upkeeps in the store of this scheduler."""
        return UpkeepRecords(self._store, self._keys.prefix)

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
        for host in list(self.table.by_host):
            # Counted here host by host, and not for all hosts together in the first pass.
            self.table.commitments(host)
            await anyio.lowlevel.checkpoint()
        self._absences.on_loaded(now)
        self._crashes.loaded(now)

    def _restore_hosts(self) -> None:
        """Add hosts with assigned runs, whose leases an earlier scheduler may have renewed.

        One that ended only while the tables were loaded may have renewed them until then.
        """
        authority_s = 0.0 if self._starts_alone else self.cfg.authority_s
        grants_until = min(self._started + authority_s, self.term.earlier_until)
        latest = grants_until + self.cfg.run_hold_s
        known = self._known_holds()
        hosts = [name for name, runs in self.table.by_host.items() if runs]
        for name in hosts:
            until = min(latest, known.get(name, latest))
            basis = LeaseBasis.RECORD if name in known else LeaseBasis.ASSUMPTION
            host = self.host_tracker.hosts[name] = Host(name)
            host.leases.restore(until, basis)
        extra = {
            "hosts": len(hosts),
            "hold_s": round(max(0.0, latest - self._started), 3),
            "recorded": len(known.keys() & set(hosts)),
        }
        log.info("runs of the last term held", extra=extra)

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
            if stored.rules is not None and stored.rules.queue == job.queue:
                # In case no scheduler has seen this queue configured.
                self.table.queues.setdefault(job.queue, stored.rules)
            if job.job_id in self._ends.cancel_keys:
                self.table.cancel(job.job_id)
        self.table.changed.add(job.job_id)
        self.wake()

    def cancel(self, job: JobId) -> None:
        """Mark a job as cancelled."""
        self._ends.cancel_keys.add(job)
        self.table.cancel(job)
        self.wake()

    def dry_run(self, job: Job) -> Steps[JobTrial]:
        """Return the steps that tell what a pass would do with a job that is not submitted.

        They change nothing, and passes may come in between.
        """
        return try_in_steps(self.table, job, self.placement_input(boot_s()))

    # Scheduling loop.

    async def _run_loop(self, group: TaskGroup) -> None:
        while True:
            with anyio.move_on_after(MAX_IDLE_S):
                await self._wake.wait()
            self._wake = anyio.Event()
            slices = Slices()
            batch = await self._decide(slices)
            started = boot_s()
            if batch.records and len(batch.extra) < MAX_EXTRA:
                batch.extra += filter(None, [self._learned.due_put(started)])
            if batch.records or batch.extra:
                await self._log.append(batch.records, batch.extra)
            # Endings that need no record are acknowledged as well.
            await self._complete_batch(batch, slices)
            self._publish_changes()
            await self._send_stops(boot_s(), slices)
            if self._log.snapshot_due and not self._snapshot_running:
                await self._begin_snapshot(group, slices)
            if self._fleet_log.is_due(boot_s()):
                self.planning.log_state()
                await self._fleet_log.write(self.placement_input(boot_s()), slices)
            if batch.records:
                await anyio.sleep(max(0.0, self.cfg.log_interval_s - (boot_s() - started)))

    async def _begin_snapshot(self, group: TaskGroup, slices: Slices) -> None:
        """Take the records and position of a snapshot before the next append can begin."""
        self._snapshot_running = True
        configured = self.rules.configured()
        if configured is not None:
            forget_queues(self.table, configured)
        records: list[RunRecord] = []
        for part in self.table.summary_slices():
            records += part
            await slices.note(OPERATIONS_PER_SLICE)
        group.start_soon(self._write_snapshot, records, self._log.position())

    async def _write_snapshot(self, records: list[RunRecord], position: LogPosition) -> None:
        """Replace the log up to a position by records of the state there, beside later appends."""
        try:
            await self._log.snapshot(records, position)
        except FencedError as exc:
            # A newer scheduler ends the term at the next append; else the next snapshot succeeds.
            log.warning("snapshot not written: %s", exc, extra={"epoch": self.epoch})
        finally:
            self._snapshot_running = False

    async def _send_stops(self, now: float, slices: Slices) -> None:
        if now - self._stopped_at >= STOP_INTERVAL_S:
            self._stopped_at = now
            may_move = self.rules.may_decide(now)
            await self._run_stops.send(self.placement_input(now), slices, may_move)

    async def _decide(self, slices: Slices) -> Batch:
        """Apply events and choose starts; return the records that must become durable.

        Other tasks run in between, but only this one applies records to the table.
        """
        batch = Batch(self.table)
        now = boot_s()
        await self._keep_rules(batch, now, slices)
        self.host_tracker.expire_leases(now)
        self.host_tracker.restore_share(now)
        await self._run_ends.process_endings(batch, now, slices)
        self._crashes.process(lambda record: batch.apply(record, now), now)
        await self._run_ends.process_lost_runs(batch, now, slices)
        self._crashes.record_waits(lambda record: batch.apply(record, now), now)
        await self._save_progress(batch, now, slices)
        # The placement pass lets no other task run until it is done.
        await slices.end_step()
        inputs = self.placement_input(boot_s())
        if self.rules.may_decide(inputs.now):
            if self._ends.fail_exhausted(inputs.queues):
                await self._place(batch, inputs, slices)
            else:
                self.wake()
        self._end_jobs(batch, now)
        return batch

    async def _keep_rules(self, batch: Batch, now: float, slices: Slices) -> None:
        """Record the operator's rules that are not in the run log, for a time without them."""
        configured = self.rules.configured()
        for kept in list(changed_queues(self.table, configured or {})):
            batch.apply(kept, now)
            await slices.note()
        state = self.rules.new_state()
        if state is not None:
            batch.apply(state, now)

    async def _place(self, batch: Batch, inputs: PlacementInput, slices: Slices) -> None:
        """Choose the runs to start now."""
        if not self.table.open_due(inputs.utc_s, inputs.now):
            self.wake()
        await self._assign(batch, self.planning.place(self.table, inputs), inputs.now, slices)
        if inputs.budget.spent:
            self.wake()
        # Copies are chosen afterwards, so that they count the tasks placed by this pass.
        await self._assign(batch, self._place_copies(inputs), inputs.now, slices)

    async def _assign(
        self, batch: Batch, placements: Iterable[Placement], now: float, slices: Slices
    ) -> None:
        """Record placements and apply them to the table."""
        for placement in placements:
            host = self.host_tracker.hosts[placement.host]
            instance, born_ms = host.executor_incarnation()
            record = Assigned(placement.task, placement.run, placement.host, instance, born_ms)
            batch.apply(record, now)
            batch.starts.append((host.fence, placement))
            await slices.note()

    async def _save_progress(self, batch: Batch, now: float, slices: Slices) -> None:
        """Record checkpoints at intervals, in case hosts and scheduler are lost together."""
        if now - self._saved_at < SAVE_INTERVAL_S:
            return
        self._saved_at = now
        gangs: set[StepKey] = set()
        left = MAX_CHECKPOINTS_PER_APPEND
        for host, runs in list(self.table.by_host.items()):
            records = list(new_checkpoints(self.table, host, gangs))[:left]
            left -= len(records)
            for record in records:
                batch.apply(record, now)
                await slices.note()
            await slices.note(len(runs) // RUNS_PER_OPERATION)

    def _place_copies(self, inputs: PlacementInput) -> list[Placement]:
        """Return starts of speculative copies, at intervals since they depend on time only."""
        if inputs.now - self._copied_at < COPY_INTERVAL_S:
            return []
        self._copied_at = inputs.now
        return place_copies(self.table, inputs)

    def placement_input(self, now: float) -> PlacementInput:
        """Return the inputs of a placement pass at a time in boot-clock seconds."""
        return PlacementInput(
            self.host_tracker.hosts,
            self.rules.queues(),
            self.rules.out(),
            now,
            self._utc(),
            self.cfg,
            pressures=self.host_tracker.traits.disturbance.pressures(),
            gang_turns=self.gang_turns,
        )

    def _end_jobs(self, batch: Batch, now: float) -> None:
        """Record jobs that have ended, and forget those past their retention time."""
        for record in self._ends.due(MAX_EXTRA - len(batch.extra) - 1):
            job = self.table.rows[record.job].job
            batch.apply(record, now)
            batch.extra.append(self._ends.note_ended(record, job, self._utc()))
        if self.table.to_end:
            self.wake()
        for removed in self._ends.forget(batch.extra, now):
            self.statuses.pop(removed, None)

    async def _complete_batch(self, batch: Batch, slices: Slices) -> None:
        """Acknowledge the endings and send the starts of a batch that has become durable."""
        for executor, number in batch.acked_endings.items():
            self.host_tracker.acknowledge_endings(executor, number)
        await self._start_orders.send(batch.starts, slices)

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
