"""Scheduling decisions of an owner: placement, eviction, interference guards, impossible jobs."""

import logging
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from itertools import islice

from apricotpath.eviction import Victim, choose_victims, lost_work
from apricotpath.ids import DataCentreId, JobId, ProcessId, TaskId, TeamId
from apricotpath.interference import (
    HIGH_PRESSURE,
    MIN_ADDED_SLOWDOWN,
    MOVE_PAUSE_S,
    GuardedTask,
    GuardRow,
    Step,
    guard,
)
from apricotpath.jobs import NO_PROCESS, JobRow, task_id
from apricotpath.model import JobSpec, Priority, Size, TaskClass
from apricotpath.placement import (
    NO_CAPACITY,
    NO_HOSTS,
    Demand,
    Mode,
    Placement,
    Placer,
    Reason,
    rule_refusal,
)
from apricotpath.records import JobForgotten, JobImpossible, TaskAssigned
from apricotpathd.commands import Commands
from apricotpathd.runs import OwnerState, Phase, Proposal, Run, Shard
from apricotpathd.shares import TeamShares, no_limits

log = logging.getLogger(__name__)

MAX_STARTS_PER_TICK = 200
# A job that found no free capacity is retried after this time, by priority, so that
# many waiting jobs do not scan all hosts in every tick.
RETRY_S = {Priority.URGENT: 0.0, Priority.NORMAL: 0.4, Priority.LOW: 0.9}
# Evictions for an urgent task are expected to free its capacity within this time.
RESERVATION_TTL_S = 3.0
MAX_URGENT_PER_TICK = 64
MAX_RULE_EVICTIONS_PER_SCAN = 50
IMPOSSIBLE_AFTER_S = 30.0
ENDED_JOB_RETENTION_S = 6 * 3600.0
THROTTLE_RESEND_S = 3.0


@dataclass(frozen=True, slots=True)
class Reservation:
    """Capacity on a host that evictions free for one urgent task; `until` is monotonic seconds."""

    process: ProcessId
    size: Size
    until: float


class ShardScheduler:
    """Makes the owner's scheduling decisions; every start is journaled before it is sent."""

    def __init__(self, state: OwnerState, commands: Commands, shares: TeamShares) -> None:
        self.state = state
        self.commands = commands
        self.shares = shares
        self.retry_at: dict[JobId, float] = {}
        self.reserved: dict[TaskId, Reservation] = {}
        # A trace replay replaces it by a baseline policy.
        self.choose_victims: Callable[..., list[Victim]] = choose_victims
        self.request_remote_capacity: (
            Callable[[JobSpec, list[TaskId], list[DataCentreId]], None] | None
        ) = None
        self._reserved_hosts: set[ProcessId] = set()
        self.unplaceable_since: dict[JobId, float] = {}

    def place(self, now: float) -> None:
        """Assign waiting tasks, if the control state is fresh; evict for urgent ones."""
        if not self.state.is_fresh():
            return
        waiting = [(shard, row) for shard, row in self._waiting() if self._is_due(row, now)]
        if not waiting:
            return
        per_job = max(8, MAX_STARTS_PER_TICK // len(waiting))
        demands = [
            Demand(row, self._startable_numbers(shard, row, per_job)) for shard, row in waiting
        ]
        self.shares.begin_round(self.committed())
        self.reserved = {task: r for task, r in self.reserved.items() if r.until > now}
        self._reserved_hosts = {reservation.process for reservation in self.reserved.values()}
        placer = self._placer(now)
        placed = placer.run(demands, self.state.used, self.shares.weight, MAX_STARTS_PER_TICK)
        by_shard: dict[int, list[Placement]] = defaultdict(list)
        shards = {row.spec.job_id: shard for shard, row in waiting}
        for placement in placed:
            by_shard[shards[placement.job].shard].append(placement)
            self.state.reasons.pop(placement.job, None)
        for number in by_shard:
            shard = shards[by_shard[number][0].job]
            self._assign(shard, by_shard[number], now)
        self._record_reasons(placer, now)
        if self.state.mode is Mode.POLICY:
            self._free_capacity_for_urgent(placer, shards, demands, now)

    def _waiting(self) -> Iterator[tuple[Shard, JobRow]]:
        for shard in self.state.shards.values():
            if shard.usable:
                for job, row in shard.table.jobs.items():
                    if row.waiting and not row.impossible and job not in shard.cancelling:
                        yield shard, row

    def _is_due(self, row: JobRow, now: float) -> bool:
        return self.retry_at.get(row.spec.job_id, now) <= now

    @staticmethod
    def _startable_numbers(shard: Shard, row: JobRow, limit: int) -> list[int]:
        job = row.spec.job_id
        free = (
            number for number in row.waiting_numbers() if task_id(job, number) not in shard.busy
        )
        return list(islice(free, limit))

    def committed(self) -> dict[TeamId, list[Size]]:
        """Return the sizes of all attempts in progress here by team, if teams have limits."""
        if self.shares.limits is no_limits:
            return {}
        sizes: dict[TeamId, list[Size]] = defaultdict(list)
        for shard in self.state.shards.values():
            for run in shard.runs.values():
                sizes[run.spec.team].append(run.spec.size)
        return sizes

    def _placer(self, now: float) -> Placer:
        state = self.state
        return Placer(
            index=state.index,
            rules=state.rules,
            estimates=state.estimates,
            usable=partial(self._usable, now),
            on_placed=partial(state.health.placed, now=now),
            admit=partial(self.shares.admit, now=now),
            now_utc=state.utc(),
            hours_margin_s=state.policy.hours_margin_s,
            mode=state.mode,
        )

    def _usable(self, now: float, process: ProcessId, spec: JobSpec) -> bool:
        """Tell whether a host is healthy, not reserved by evictions and not under pressure.

        Work with a negligible measured slowdown may start on a host under pressure.
        """
        if not self.state.health.usable(process, now):
            return False
        if spec.priority is not Priority.URGENT and process in self._reserved_hosts:
            return False
        row = self.state.guards.get(process)
        if row is None:
            return True
        if row.high_since is None and now - row.moved_at >= MOVE_PAUSE_S:
            return True
        service = self.state.hosts.rows[process].announce.service
        added = self.state.estimates.single.get((service, spec.activity))
        return added is not None and added < MIN_ADDED_SLOWDOWN

    def _assign(self, shard: Shard, placements: list[Placement], now: float) -> None:
        records, runs = [], []
        for placement in placements:
            row = shard.table.jobs[placement.job]
            task = task_id(placement.job, placement.number)
            previous = row.rows.get(placement.number)
            attempt = 1 + (previous.attempt if previous is not None else 0)
            run = Run(
                task,
                row.spec,
                attempt,
                placement.host,
                placement.process,
                Phase.PROPOSED,
                expires_at=0.0,
                checkpoint=previous.checkpoint if previous is not None else "",
                evictions=previous.evictions if previous is not None else 0,
            )
            runs.append(run)
            records.append(TaskAssigned(task, attempt, placement.host, placement.process))
            shard.busy.add(task)
            self.state.add_run(shard, run)
            self.reserved.pop(task, None)
        shard.propose(
            Proposal(
                list(records),
                partial(self._assigned, shard, runs),
                partial(self._not_assigned, shard, runs),
            )
        )

    def _assigned(self, shard: Shard, runs: list[Run], changed: list[bool]) -> None:
        """Send the starts of journaled assignments; one that cannot be sent is recorded as lost."""
        for run, applied in zip(runs, changed, strict=True):
            shard.busy.discard(run.task)
            if not applied:
                self.state.remove_run(shard, run.task)
                continue
            run.phase = Phase.UNSENT
            self.commands.start(shard, run)

    def _not_assigned(self, shard: Shard, runs: list[Run], _: Exception) -> None:
        for run in runs:
            shard.busy.discard(run.task)
            self.state.remove_run(shard, run.task)
            self.state.refresh_host(run.process)

    def _record_reasons(self, placer: Placer, now: float) -> None:
        for job, reason in placer.reasons.items():
            self.state.reasons[job] = reason
            shard = self.state.shard_of(job)
            if shard is not None and reason.code in (NO_CAPACITY.code, NO_HOSTS.code):
                priority = shard.table.jobs[job].spec.priority
                self.retry_at[job] = now + RETRY_S[priority]
        if len(self.retry_at) > 4096:
            self.retry_at = {job: at for job, at in self.retry_at.items() if at > now}

    def _free_capacity_for_urgent(
        self, placer: Placer, shards: dict[JobId, Shard], demands: list[Demand], now: float
    ) -> None:
        """Evict batch tasks, here or at other owners, for urgent tasks that found no capacity."""
        budget = MAX_URGENT_PER_TICK
        for demand in demands:
            spec = demand.row.spec
            reason = placer.reasons.get(spec.job_id)
            if spec.priority is not Priority.URGENT or reason is not NO_CAPACITY:
                continue
            allowed = placer.allowed(spec)[0]
            tasks = [task_id(spec.job_id, number) for number in demand.numbers]
            tasks = [task for task in tasks if task not in self.reserved][:budget]
            budget -= len(tasks)
            freed = self.free_capacity(spec.size, allowed, tasks, now)
            if freed < len(tasks) and self.request_remote_capacity is not None:
                for task in tasks[freed:]:
                    self.reserved[task] = Reservation(
                        NO_PROCESS, spec.size, now + RESERVATION_TTL_S
                    )
                self.request_remote_capacity(spec, tasks[freed:], allowed)

    def free_capacity(
        self, size: Size, data_centres: list[DataCentreId], tasks: list[TaskId], now: float
    ) -> int:
        """Evict tasks of this owner for urgent tasks; return how many of these will fit.

        The hosts take only urgent work until the capacity is used or its reservation expires.
        """
        for freed, task in enumerate(tasks):
            free = self._free_after_evictions(set(data_centres))
            victims = self.choose_victims(size, self._victims(), free, self.state.limits, now)
            if not victims:
                return freed
            self.reserved[task] = Reservation(victims[0].process, size, now + RESERVATION_TTL_S)
            for victim in victims:
                shard = self.state.shard_of(victim.job)
                if shard is not None:
                    run = shard.runs[victim.task]
                    self.commands.evict(shard, run, f"room for urgent task {task}", now)
        return len(tasks)

    def _free_after_evictions(self, allowed: set[DataCentreId]) -> dict[ProcessId, Size]:
        """Return the free capacity of each host after the evictions in progress."""
        free = {
            process: host.free
            for process, host in self.state.index.hosts.items()
            if host.data_centre in allowed
        }
        for shard in self.state.shards.values():
            for run in shard.runs.values():
                if run.phase is Phase.EVICTING and run.process in free:
                    free[run.process] = free[run.process] + run.spec.size
        for reservation in self.reserved.values():
            if reservation.process in free:
                free[reservation.process] = free[reservation.process] - reservation.size
        return free

    def _victims(self) -> Iterator[Victim]:
        for shard in self.state.shards.values():
            if not shard.usable:
                continue
            for run in shard.runs.values():
                if self._may_evict(shard, run):
                    yield self._victim(run)

    def _victim(self, run: Run) -> Victim:
        return victim_of(run, self.state.checkpoints.loss_probability(run.spec.activity))

    @staticmethod
    def _may_evict(shard: Shard, run: Run) -> bool:
        return (
            run.phase is Phase.RUNNING
            and run.spec.task_class is TaskClass.BATCH
            and not run.cancelled
            and not run.absent_reports
            and run.task not in shard.busy
        )

    def guard_hosts(self, now: float) -> None:
        """Throttle or move batch tasks where they slow the requests of a backend server."""
        state = self.state
        state.estimates.decay(now)
        if not state.policy.guards or state.mode is Mode.BASELINE:
            return
        for process, (incarnation, report) in list(state.reports.items()):
            host = state.hosts.rows.get(process)
            if host is None:
                self._forget_host(process)
                continue
            if not host.present or host.incarnation != incarnation or not host.announce.service:
                continue
            row = state.guards.get(process)
            if row is None:
                if report.pressure < HIGH_PRESSURE:
                    continue
                row = state.guards[process] = GuardRow()
            self._guard_host(process, row, report.pressure, now)

    def _guard_host(self, process: ProcessId, row: GuardRow, pressure: float, now: float) -> None:
        host = self.state.hosts.rows[process]
        runs = {
            run.task: (shard, run)
            for shard, run in self.state.runs_on(process)
            if self._may_evict(shard, run)
        }
        tasks = [
            GuardedTask(run.task, run.spec.activity, run.share, lost_work(self._victim(run)))
            for _, run in runs.values()
            if self.state.limits.allows(self._victim(run), now)
        ]
        service = host.announce.service
        action = guard(row, service, pressure, tasks, self.state.estimates, now)
        if action is None:
            return
        shard, run = runs[action.task]
        log.info("guard: %s", action.reason, extra={"task": run.task, "step": action.step.value})
        if action.step is Step.MOVE:
            self.commands.evict(shard, run, action.reason, now)
        else:
            self.commands.throttle(shard, run, action.share, now)

    def _forget_host(self, process: ProcessId) -> None:
        self.state.reports.pop(process, None)
        self.state.guards.pop(process, None)
        self.state.estimates.forget_host(process)
        self.state.index.remove(process)

    def evict_forbidden(self, now: float) -> None:
        """Evict tasks that the bundle forbids or whose data centre is out of service."""
        state = self.state
        found: dict[tuple[TeamId, str, DataCentreId], Reason | None] = {}
        budget = MAX_RULE_EVICTIONS_PER_SCAN
        for shard in state.shards.values():
            for run in shard.runs.values():
                row = state.hosts.rows.get(run.process)
                if row is None or not self._may_evict(shard, run):
                    continue
                key = (run.spec.team, run.spec.activity, row.announce.data_centre)
                if key not in found:
                    found[key] = rule_refusal(
                        state.rules, run.spec, key[2], state.utc(), state.policy.hours_margin_s
                    )
                reason = found[key]
                if reason is not None and budget > 0:
                    budget -= 1
                    self.commands.evict(shard, run, reason.text, now)

    def mark_impossible_jobs(self, now: float) -> None:
        """Mark jobs that fit no registered host as impossible, and unmark them when a host fits."""
        fits: dict[tuple[Size, tuple[DataCentreId, ...]], bool] = {}
        for shard in self.state.shards.values():
            if not shard.usable:
                continue
            for job, row in shard.table.jobs.items():
                if not row.waiting:
                    continue
                key = (row.spec.size, row.spec.data_centres)
                if key not in fits:
                    fits[key] = self.could_hold(row.spec)
                self._update_impossible(shard, job, row, fits[key], now)

    def _update_impossible(
        self, shard: Shard, job: JobId, row: JobRow, fits: bool, now: float
    ) -> None:
        if fits:
            self.unplaceable_since.pop(job, None)
            if row.impossible:
                self._propose(shard, JobImpossible(job, ""))
            return
        since = self.unplaceable_since.setdefault(job, now)
        if not row.impossible and now - since >= IMPOSSIBLE_AFTER_S:
            self._propose(shard, JobImpossible(job, impossible_text(row.spec)))

    @staticmethod
    def _propose(shard: Shard, record: JobImpossible | JobForgotten) -> None:
        shard.propose(Proposal([record], lambda _: None, lambda _: None))

    def could_hold(self, spec: JobSpec) -> bool:
        """Tell whether a task would fit an empty host in one of the job's data centres."""
        for row in self.state.hosts.rows.values():
            announce = row.announce
            if spec.data_centres and announce.data_centre not in spec.data_centres:
                continue
            available = announce.size
            if announce.service:
                available = available - self.state.rules.claim_of(announce.service)
            if spec.size.fits_in(available):
                return True
        return False

    def forget_ended(self, now: float) -> None:
        """Remove jobs that ended long ago; until then repeated submissions are idempotent."""
        for shard in self.state.shards.values():
            if not shard.usable:
                continue
            for job, row in shard.table.jobs.items():
                if not row.ended:
                    shard.ended_at.pop(job, None)
                elif now - shard.ended_at.setdefault(job, now) >= ENDED_JOB_RETENTION_S:
                    self._propose(shard, JobForgotten(job))

    def restore_throttles(self, now: float) -> None:
        """Resend throttles and releases that host reports do not show, as after a lost message."""
        for shard in self.state.shards.values():
            for run in shard.runs.values():
                in_effect = run.throttled is (run.share < 1.0)
                due = not in_effect and now - run.last_command_at >= THROTTLE_RESEND_S
                if due and self._may_evict(shard, run):
                    self.commands.throttle(shard, run, run.share, now)


def victim_of(run: Run, loss_probability: float) -> Victim:
    """Return the data on an attempt that the eviction rules need."""
    spec = run.spec
    return Victim(
        run.task,
        run.job,
        run.process,
        spec.size,
        spec.priority,
        run.progress,
        run.checkpoint_progress,
        spec.run_time_s,
        run.evictions,
        loss_probability,
    )


def impossible_text(spec: JobSpec) -> str:
    """Return the message for a job that fits no registered host."""
    size = f"{spec.size.cpu_milli / 1000:g} cores, {spec.size.memory_mb} MB"
    where = ", ".join(spec.data_centres) if spec.data_centres else "any data centre"
    return f"no known host in {where} could hold {size} and {spec.size.accelerators} accelerators"
