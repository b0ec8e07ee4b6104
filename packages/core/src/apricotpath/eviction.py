"""Which batch tasks make room for urgent work, at the least loss of work done."""

from collections import defaultdict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from apricotpath.ids import JobId, ProcessId, TaskId
from apricotpath.model import Priority, Size

PRIORITY_RANK = {Priority.URGENT: 0, Priority.NORMAL: 1, Priority.LOW: 2}

# A job is evicted at most this often per minute and a task this often in all;
# without the limit, two jobs can evict each other for ever.
JOB_EVICTIONS = 20
JOB_WINDOW_S = 60.0
TASK_EVICTIONS = 6


@dataclass(frozen=True, slots=True)
class Victim:
    """A running batch task; `kept` is its progress at the newest checkpoint.

    `loses` is the chance that its eviction writes no checkpoint.
    """

    task: TaskId
    job: JobId
    process: ProcessId
    size: Size
    priority: Priority
    progress: float
    kept: float
    run_time_s: float
    evictions: int
    loses: float = 1.0


def lost_work(victim: Victim) -> float:
    """Return the core seconds since the newest checkpoint that an eviction is expected to lose."""
    share = max(0.0, victim.progress - victim.kept)
    return victim.loses * share * victim.run_time_s * max(1, victim.size.cpu_milli) / 1000.0


@dataclass(slots=True)
class CheckpointHistory:
    """How many evictions of each activity wrote a checkpoint, and how many did not."""

    written: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    missed: dict[str, int] = field(default_factory=lambda: defaultdict(int))

    def record(self, activity: str, written: bool) -> None:
        """Note the end of an eviction."""
        (self.written if written else self.missed)[activity] += 1

    def loses(self, activity: str) -> float:
        """Return the chance that the next eviction writes none; 0.5 while nothing is known."""
        missed, written = self.missed.get(activity, 0), self.written.get(activity, 0)
        return (missed + 1.0) / (missed + written + 2.0)


@dataclass(slots=True)
class EvictionLimits:
    """Times of recent evictions by job."""

    times: dict[JobId, deque[float]] = field(default_factory=lambda: defaultdict(deque))

    def allows(self, victim: Victim, now: float) -> bool:
        """Tell whether a task may be evicted once more."""
        times = self.times.get(victim.job)
        if victim.evictions >= TASK_EVICTIONS:
            return False
        while times and now - times[0] >= JOB_WINDOW_S:
            times.popleft()
        return not times or len(times) < JOB_EVICTIONS

    def record(self, job: JobId, now: float) -> None:
        """Note an eviction."""
        self.times[job].append(now)


def choose_victims(
    need: Size,
    victims: Iterable[Victim],
    free: Mapping[ProcessId, Size],
    limits: EvictionLimits,
    now: float,
) -> list[Victim]:
    """Return the tasks of one host to evict so that `need` fits, or an empty list.

    Only tasks of low priority are taken. Of all hosts, the one that loses the
    least work is chosen. `free` names the hosts that are allowed.
    """
    by_host: dict[ProcessId, list[Victim]] = defaultdict(list)
    for victim in victims:
        if victim.priority is Priority.LOW and victim.process in free:
            by_host[victim.process].append(victim)
    best: list[Victim] = []
    best_loss = float("inf")
    for process, tasks in by_host.items():
        chosen = _enough(need, free[process], tasks, limits, now)
        loss = sum(lost_work(victim) for victim in chosen)
        if chosen and (loss, len(chosen)) < (best_loss, len(best)):
            best, best_loss = chosen, loss
    return best


def _enough(
    need: Size, free: Size, tasks: list[Victim], limits: EvictionLimits, now: float
) -> list[Victim]:
    """Return the cheapest tasks that free enough on a host, or an empty list."""
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
    """Keep tasks running whose room is not needed, the most costly first."""
    kept = list(chosen)
    for victim in reversed(chosen):
        if need.fits_in(free - victim.size):
            free = free - victim.size
            kept.remove(victim)
    return kept
