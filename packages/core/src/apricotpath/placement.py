"""Placement of waiting tasks: ordered by priority, team share and age; best fit within rules."""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum
from heapq import heapify, heappop, heappush

from apricotpath.eviction import PRIORITY_RANK
from apricotpath.ids import DataCentreId, HostId, JobId, ProcessId, ServiceId, TeamId
from apricotpath.interference import Estimates
from apricotpath.jobs import JobRow
from apricotpath.model import JobSpec, Priority, Size
from apricotpath.rules import EVICT_SLACK_S, Rules, Verdict

# A host where the predicted slowdown of requests is above SOFT_SLOWDOWN is used last; above
# HARD_SLOWDOWN it is used only for urgent work.
SOFT_SLOWDOWN = 1.2
HARD_SLOWDOWN = 2.0
# Fitting hosts that best fit compares; more do not improve the choice.
MAX_COMPARED = 12


class Mode(Enum):
    """POLICY is the production policy; BASELINE is first fit without feedback, for comparison."""

    POLICY = "policy"
    BASELINE = "baseline"


@dataclass(slots=True)
class Host:
    """A host as placement sees it; `free` is what further tasks may use.

    `activities` counts its tasks by activity.
    """

    process: ProcessId
    host: HostId
    data_centre: DataCentreId
    service: ServiceId
    total: Size
    free: Size
    activities: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class HostIndex:
    """Hosts ordered by free processors, per data centre and by whether they have accelerators.

    Hosts with accelerators are listed separately, so that work that needs none
    uses them only when no other host fits.
    """

    hosts: dict[ProcessId, Host] = field(default_factory=dict)
    order: dict[tuple[DataCentreId, bool], list[tuple[int, ProcessId]]] = field(
        default_factory=dict
    )

    def put(self, host: Host) -> None:
        """Insert or replace a host."""
        self.remove(host.process)
        self.hosts[host.process] = host
        insort(self._rows(host), (host.free.cpu_milli, host.process))

    def remove(self, process: ProcessId) -> None:
        """Remove a host if it is in the index."""
        host = self.hosts.pop(process, None)
        if host is not None:
            self._remove_row(host)

    def resize(self, process: ProcessId, free: Size) -> None:
        """Set the free resources of a host."""
        host = self.hosts[process]
        if free.cpu_milli != host.free.cpu_milli:
            self._remove_row(host)
            insort(self._rows(host), (free.cpu_milli, process))
        host.free = free

    def _rows(self, host: Host) -> list[tuple[int, ProcessId]]:
        return self.order.setdefault((host.data_centre, host.total.accelerators > 0), [])

    def _remove_row(self, host: Host) -> None:
        rows = self._rows(host)
        del rows[bisect_left(rows, (host.free.cpu_milli, host.process))]

    def data_centres(self) -> list[DataCentreId]:
        """Return the data centres that have hosts, in order of their names."""
        return sorted({data_centre for data_centre, _ in self.order})

    def could_hold(
        self, size: Size, data_centres: Iterable[DataCentreId], claim: Callable[[ServiceId], Size]
    ) -> bool:
        """Return whether an otherwise empty host in these data centres could hold a size.

        No data centres means all. `claim` returns what the backend server of a
        service reserves on its host, which is never free.
        """
        allowed = set(data_centres)
        return any(
            (not allowed or host.data_centre in allowed)
            and size.fits_in(host.total - claim(host.service) if host.service else host.total)
            for host in self.hosts.values()
        )


@dataclass(frozen=True, slots=True)
class Reason:
    """Why a job waits: a short code, a sentence, and the deciding rule and bundle, if any."""

    code: str
    text: str
    rule: str = ""
    bundle_version: int = 0


@dataclass(frozen=True, slots=True)
class Placement:
    """A decision to assign task `number` of a job to a host."""

    job: JobId
    number: int
    process: ProcessId
    host: HostId


@dataclass(slots=True)
class Demand:
    """A job with waiting tasks; `numbers` are those that may be placed now."""

    row: JobRow
    numbers: list[int]


# Counts one more start against the limits of the job's team and returns None, or returns why the
# team may not start it.
Admit = Callable[[JobSpec], Reason | None]


@dataclass(slots=True)
class Placer:
    """One placement round; only the index and the estimates are kept between rounds.

    `usable` tells whether a host may get a task of a job, `on_placed` is called for
    each host that gets one.
    """

    index: HostIndex
    rules: Rules
    estimates: Estimates
    usable: Callable[[ProcessId, JobSpec], bool]
    on_placed: Callable[[ProcessId], None]
    admit: Admit
    now_utc: datetime
    hours_margin_s: float
    mode: Mode = Mode.POLICY
    placed: list[Placement] = field(default_factory=list)
    reasons: dict[JobId, Reason] = field(default_factory=dict)
    _verdicts: dict[tuple[TeamId, str, DataCentreId, float], Reason | None] = field(
        default_factory=dict
    )
    _unplaceable: set[tuple[Size, str, tuple[DataCentreId, ...], bool]] = field(default_factory=set)

    def run(
        self,
        demands: Iterable[Demand],
        used: Mapping[TeamId, float],
        shares: Callable[[TeamId], float],
        limit: int,
    ) -> list[Placement]:
        """Place up to `limit` tasks in order of priority, team share and age.

        `used` has the committed cores and `shares` the weight of each team. A
        job that cannot be placed now gets an entry in `reasons` and leaves the
        round; it never blocks the others.
        """
        used_now = dict(used)
        queue = [self._entry(demand, used_now, shares) for demand in demands if demand.numbers]
        if self.mode is Mode.BASELINE:
            queue = [(0, 0.0, *entry[2:]) for entry in queue]
        heapify(queue)
        while queue and len(self.placed) < limit:
            _, _, _, _, demand = entry = heappop(queue)
            spec = demand.row.spec
            key = self._key(demand, used_now, shares)
            if self.mode is Mode.POLICY and key != entry[:4]:
                heappush(queue, (*key, demand))
                continue
            if not self._place_next(demand):
                continue
            used_now[spec.team] = used_now.get(spec.team, 0.0) + spec.size.cpu_milli / 1000.0
            if demand.numbers:
                after = self._key(demand, used_now, shares)
                heappush(queue, (*(after if self.mode is Mode.POLICY else entry[:4]), demand))
        return self.placed

    @staticmethod
    def _key(
        demand: Demand, used: Mapping[TeamId, float], shares: Callable[[TeamId], float]
    ) -> tuple[int, float, float, JobId]:
        spec = demand.row.spec
        weight = used.get(spec.team, 0.0) / max(shares(spec.team), 1e-6)
        return PRIORITY_RANK[spec.priority], weight, demand.row.accepted_at, spec.job_id

    def _entry(
        self, demand: Demand, used: Mapping[TeamId, float], shares: Callable[[TeamId], float]
    ) -> tuple[int, float, float, JobId, Demand]:
        return (*self._key(demand, used, shares), demand)

    def _place_next(self, demand: Demand) -> bool:
        """Place a job's next task, or record why the job waits and return False."""
        spec = demand.row.spec
        allowed, reason = self.allowed(spec)
        if not allowed:
            self.reasons[spec.job_id] = reason or NO_HOSTS
            return False
        shape = (spec.size, spec.activity, tuple(allowed), spec.priority is Priority.URGENT)
        host = None if shape in self._unplaceable else self.find(spec, allowed)
        if host is None:
            self._unplaceable.add(shape)
            self.reasons[spec.job_id] = NO_CAPACITY
            return False
        refused = self.admit(spec)
        if refused is not None:
            self.reasons[spec.job_id] = refused
            return False
        self._commit(host, spec)
        number = demand.numbers.pop(0)
        self.placed.append(Placement(spec.job_id, number, host.process, host.host))
        return True

    def _commit(self, host: Host, spec: JobSpec) -> None:
        self.index.resize(host.process, host.free - spec.size)
        self.on_placed(host.process)
        host.activities[spec.activity] = host.activities.get(spec.activity, 0) + 1

    def allowed(self, spec: JobSpec) -> tuple[list[DataCentreId], Reason | None]:
        """Return the data centres where a job may run now, or the reason why there is none."""
        if not spec.not_before_hour <= self.now_utc.hour < spec.not_after_hour:
            hours = f"{spec.not_before_hour} to {spec.not_after_hour}"
            return [], Reason("job-hours", f"the job runs only from hour {hours} UTC")
        reason = None
        found = []
        for data_centre in self.index.data_centres():
            if spec.data_centres and data_centre not in spec.data_centres:
                continue
            refused = self._refusal(spec, data_centre)
            if refused is None:
                found.append(data_centre)
            reason = reason or refused
        return found, reason

    def _refusal(self, spec: JobSpec, data_centre: DataCentreId) -> Reason | None:
        key = (spec.team, spec.activity, data_centre, spec.checkpoint_s)
        if key not in self._verdicts:
            self._verdicts[key] = rule_refusal(
                self.rules, spec, data_centre, self.now_utc, self.hours_margin_s
            )
        return self._verdicts[key]

    def find(self, spec: JobSpec, data_centres: list[DataCentreId]) -> Host | None:
        """Return the best host for a task, or None."""
        kinds = (True,) if spec.size.accelerators else (False, True)
        for has_accelerators in kinds:
            host = self._first_fit(spec, data_centres, has_accelerators)
            if host is not None:
                return host
        return None

    def _first_fit(
        self, spec: JobSpec, data_centres: list[DataCentreId], has_accelerators: bool
    ) -> Host | None:
        if self.mode is Mode.BASELINE:
            allowed = set(data_centres)
            return next(
                (
                    host
                    for host in self.index.hosts.values()
                    if host.data_centre in allowed
                    and (host.total.accelerators > 0) is has_accelerators
                    and spec.size.fits_in(host.free)
                ),
                None,
            )
        best: Host | None = None
        best_rank = (float("inf"), 0, 0)
        for data_centre in data_centres:
            rows = self.index.order.get((data_centre, has_accelerators), [])
            host, rank = self._best_fit(spec, rows, best_rank)
            if host is not None:
                best, best_rank = host, rank
        return best

    def _best_fit(
        self, spec: JobSpec, rows: list[tuple[int, ProcessId]], best_rank: tuple[float, int, int]
    ) -> tuple[Host | None, tuple[float, int, int]]:
        """Return the host of the lowest rank below `best_rank`, or None, with the best rank.

        A rank is (slowdown, processors left, memory left).
        """
        size, hosts, best, compared = spec.size, self.index.hosts, None, 0
        start = bisect_left(rows, (size.cpu_milli, ""))
        for position in range(start, len(rows)):
            host = hosts[rows[position][1]]
            free = host.free
            if free.memory_mb < size.memory_mb or free.accelerators < size.accelerators:
                continue
            if not self.usable(host.process, spec):
                continue
            slowdown = self._slowdown(spec, host)
            if slowdown > HARD_SLOWDOWN and spec.priority is not Priority.URGENT:
                continue
            # Rows are in order of free processors, so the first host without slowdown fits best.
            rank = (slowdown, free.cpu_milli - size.cpu_milli, free.memory_mb - size.memory_mb)
            if rank < best_rank:
                best, best_rank = host, rank
            compared += 1
            if compared >= MAX_COMPARED and best_rank[0] <= SOFT_SLOWDOWN:
                break
            if (
                best_rank[0] == 0.0
                and position + 1 < len(rows)
                and rows[position + 1][0] > free.cpu_milli
            ):
                break
        return best, best_rank

    def _slowdown(self, spec: JobSpec, host: Host) -> float:
        """Return the predicted slowdown with the task added; 0.0 up to SOFT_SLOWDOWN."""
        if not host.service:
            return 0.0
        estimator = self.estimates
        added = estimator.added(host.service, host.activities, spec.activity)
        if added == 0.0:
            return 0.0
        total = estimator.predict(host.service, host.activities) + added
        return 0.0 if total <= SOFT_SLOWDOWN else total


NO_CAPACITY = Reason("no-room", "no usable host has room for one more task")
NO_HOSTS = Reason("no-hosts", "no host is linked in the data centres of the job")


def rule_refusal(
    rules: Rules, spec: JobSpec, data_centre: DataCentreId, now_utc: datetime, margin_s: float
) -> Reason | None:
    """Return why a job's task may not start in a data centre now, or None.

    A start is also refused if a forbidden period begins too soon to checkpoint
    and stop the task before it.
    """
    if not rules.in_service(data_centre):
        text = f"data centre {data_centre} is out of service"
        return Reason("out-of-service", text, "datacentres", rules.bundle_version)
    verdict: Verdict = rules.verdict(spec.team, spec.activity, data_centre, now_utc)
    if not verdict.allowed:
        text = f"{verdict.rule} forbids {spec.activity} of {spec.team} in {data_centre} now"
        return Reason("rule", text, verdict.rule, verdict.bundle_version)
    needed = timedelta(seconds=spec.checkpoint_s + margin_s + EVICT_SLACK_S)
    if verdict.until is not None and verdict.until - now_utc < needed:
        text = f"{verdict.rule} forbids {spec.activity} in {data_centre} from {verdict.until}"
        return Reason("rule", text, verdict.rule, verdict.bundle_version)
    return None
