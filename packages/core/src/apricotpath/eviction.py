"""Selection of batch tasks to evict for urgent work with the least lost work."""

from collections import defaultdict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from apricotpath.ids import JobId, ProcessId, TaskId
from apricotpath.model import Priority, Size

PRIORITY_RANK = {Priority.URGENT: 0, Priority.NORMAL: 1, Priority.LOW: 2}

# At most JOB_EVICTIONS tasks of a job are evicted per JOB_WINDOW_S, and a task at most
# TASK_EVICTIONS times in all. Without limits, two jobs could evict each other endlessly.
JOB_EVICTIONS = 20
JOB_WINDOW_S = 60.0
TASK_EVICTIONS = 6


@dataclass(frozen=True, slots=True)
class Victim:
    """A running batch task that may be evicted.

    `progress` and `checkpoint_progress`, the progress at the newest checkpoint,
    are shares from 0.0 to 1.0. `loss_probability` is the probability that its
    eviction writes no checkpoint.
    """

    task: TaskId
    job: JobId
    process: ProcessId
    size: Size
    priority: Priority
    progress: float
    checkpoint_progress: float
    run_time_s: float
    evictions: int
    loss_probability: float = 1.0


def lost_work(victim: Victim) -> float:
    """Return the core seconds of work that an eviction is expected to lose."""
    share = max(0.0, victim.progress - victim.checkpoint_progress)
    return (
        victim.loss_probability * share * victim.run_time_s * max(1, victim.size.cpu_milli) / 1000.0
    )


@dataclass(slots=True)
class CheckpointHistory:
    """Numbers of evictions per activity that wrote a checkpoint and that did not."""

    written: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    missed: dict[str, int] = field(default_factory=lambda: defaultdict(int))

    def record(self, activity: str, written: bool) -> None:
        """Count a finished eviction."""
        (self.written if written else self.missed)[activity] += 1

    def loss_probability(self, activity: str) -> float:
        """Return the probability that an eviction writes no checkpoint; 0.5 without any data."""
        missed, written = self.missed.get(activity, 0), self.written.get(activity, 0)
        return (missed + 1.0) / (missed + written + 2.0)


@dataclass(slots=True)
class EvictionLimits:
    """Rate limit of evictions: times of recent evictions by job."""

    times: dict[JobId, deque[float]] = field(default_factory=lambda: defaultdict(deque))

    def allows(self, victim: Victim, now: float) -> bool:
        """Return whether a task may be evicted once more."""
        times = self.times.get(victim.job)
        if victim.evictions >= TASK_EVICTIONS:
            return False
        while times and now - times[0] >= JOB_WINDOW_S:
            times.popleft()
        return not times or len(times) < JOB_EVICTIONS

    def record(self, job: JobId, now: float) -> None:
        """Count an eviction of a task of a job."""
        self.times[job].append(now)


def choose_victims(
    need: Size,
    victims: Iterable[Victim],
    free: Mapping[ProcessId, Size],
    limits: EvictionLimits,
    now: float,
) -> list[Victim]:
    """Return the tasks of one host to evict so that `need` fits, or an empty list.

    Only tasks of low priority are chosen, on the host that loses the least
    work. `free` has the free resources of the hosts that may be used.
    """
    by_host: dict[ProcessId, list[Victim]] = defaultdict(list)
    for victim in victims:
        if victim.priority is Priority.LOW and victim.process in free:
            by_host[victim.process].append(victim)
    best: list[Victim] = []
    least_loss = float("inf")
    for process, tasks in by_host.items():
        chosen = _cheapest_sufficient(need, free[process], tasks, limits, now)
        loss = sum(lost_work(victim) for victim in chosen)
        if chosen and (loss, len(chosen)) < (least_loss, len(best)):
            best, least_loss = chosen, loss
    return best


def _cheapest_sufficient(
    need: Size, free: Size, tasks: list[Victim], limits: EvictionLimits, now: float
) -> list[Victim]:
    """Return the tasks with the least lost work that free enough of a host, or an empty list."""
    chosen: list[Victim] = []
    for victim in sorted(tasks, key=lost_work):
        if not limits.allows(victim, now):
            continue
        chosen.append(victim)
        free = free + victim.size
        if need.fits_in(free):
            return _without_surplus(need, free, chosen)
    return []


def _without_surplus(need: Size, free: Size, chosen: list[Victim]) -> list[Victim]:
    """Remove tasks that need not be evicted, those with the most lost work first."""
    kept = list(chosen)
    for victim in reversed(chosen):
        if need.fits_in(free - victim.size):
            free = free - victim.size
            kept.remove(victim)
    return kept
