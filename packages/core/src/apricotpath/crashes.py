"""Crashes of executors: which tasks are suspected of them, and which have caused them.

A task that crashes executors does so each time it starts. Other tasks are there by chance, the
more often the more executors crash for reasons of their own. A task is therefore judged by the
probability that so many executors would have crashed by themselves so soon after its starts.
"""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import Enum
from math import exp, prod
from typing import NamedTuple

from apricotpath.ids import HostId
from apricotpath.workload import TaskKey

# A run that has been at work for this long (seconds) has survived its start.
SURVIVAL_S = 0.2
# A run that has been at work for this long (seconds) does not crash its executor; a crash that
# comes sooner may be its doing.
OBSERVATION_S = 3.0
# A task is suspected if its crashes have at most this probability without it, and one of them came
# at its start, or so many some time later.
SUSPECT_CHANCE = 0.01
REPEATED_CRASHES = 2
# A task that was suspected of this many crashes, which have at most this probability without it,
# is given up.
MIN_SUSPICIONS = 3
CONVICT_CHANCE = 1e-5
# Crashes of other executors count for this long (seconds).
RATE_WINDOW_S = 60.0
# Assumed before anything is seen: half a crash in this many seconds of one executor.
PRIOR_HOST_S = 100.0
PRIOR_CRASHES = 0.5


class Blame(Enum):
    """Part of one run in a crash of its executor.

    OUTLIVED: the run had been at work for so long that its task crashes no executors.
    """

    BYSTANDER = "bystander"
    SUSPECT = "suspect"
    OUTLIVED = "outlived"


class CrashPart(NamedTuple):
    """One run's part in a crash.

    `chance`: probability that its executor would have crashed so soon without it. `alone`: no
    other job's task may have caused the crash. `host` and `ran_s`: where the run was and for
    how long (seconds).
    """

    blame: Blame
    chance: float = 1.0
    alone: bool = False
    host: HostId = HostId("")
    ran_s: float = 0.0

    @property
    def delayed(self) -> bool:
        """Whether the run had survived its start."""
        return self.ran_s >= SURVIVAL_S


BYSTANDER = CrashPart(Blame.BYSTANDER)


@dataclass(slots=True)
class CrashHistory:
    """The crashes at which runs of one task were there, by the number of the run."""

    parts: dict[int, CrashPart] = field(default_factory=dict)

    def note(self, run: int, part: CrashPart) -> None:
        """Note a run's part in a crash; one that outlived its start clears the task."""
        self.parts[run] = part
        if part.blame is Blame.OUTLIVED:
            self.parts = dict.fromkeys(self.parts, BYSTANDER)

    @property
    def suspicions(self) -> int:
        """How many crashes the task may have caused."""
        return len(self._suspected_parts())

    @property
    def chance(self) -> float:
        """Probability of these crashes if the task caused none of them."""
        return prod(part.chance for part in self._suspected_parts())

    @property
    def suspected(self) -> bool:
        """Whether the task must start apart from other jobs, to find out."""
        parts = self._suspected_parts()
        at_start = any(not part.delayed for part in parts)
        return (at_start or len(parts) >= REPEATED_CRASHES) and self.chance <= SUSPECT_CHANCE

    @property
    def delayed(self) -> bool:
        """Whether the task may crash executors some time after its start."""
        return any(part.delayed for part in self._suspected_parts())

    @property
    def convicted(self) -> bool:
        """Whether the task must not start again.

        Crashes of a single host some time after the start may be the fault of the host.
        """
        parts = self._suspected_parts()
        if len(parts) < MIN_SUSPICIONS or self.chance > CONVICT_CHANCE or not parts[-1].alone:
            return False
        return not self.delayed or len({part.host for part in parts}) > 1

    def _suspected_parts(self) -> list[CrashPart]:
        return [part for part in self.parts.values() if part.blame is Blame.SUSPECT]


class CrashRate:
    """Counts the crashes of executors; times are boot-clock seconds."""

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count one crash."""
        self._times.append(now)

    def without(self, own: int, hosts: int, now: float) -> float:
        """Return the crashes per second of one executor, leaving `own` of them out."""
        while self._times and now - self._times[0] > RATE_WINDOW_S:
            self._times.popleft()
        seen_s = hosts * min(RATE_WINDOW_S, now - self._started_at)
        others = max(0, len(self._times) - own)
        return (others + PRIOR_CRASHES) / (seen_s + PRIOR_HOST_S)


class CrashedRun(NamedTuple):
    """A run that was lost with its executor.

    `ran_s`: how long (seconds) it had certainly run. `suspected`: its task was suspected before.
    `rate`: crashes per second of one executor that have nothing to do with the task.
    """

    task: TaskKey
    run: int
    ran_s: float
    suspected: bool
    rate: float


def assign_blame(runs: Collection[CrashedRun], host: HostId) -> dict[CrashedRun, CrashPart]:
    """Return the part of each run in the crash that ended it.

    Runs that had not survived their start are suspected first, then those of tasks that were
    suspected before, then all that had not outlived the time of observation.
    """
    young = [run for run in runs if run.ran_s < SURVIVAL_S]
    observed = [run for run in runs if run.ran_s < OBSERVATION_S]
    suspects = young or [run for run in observed if run.suspected] or observed
    jobs = {run.task.job for run in suspects}
    window_s = SURVIVAL_S if young else OBSERVATION_S
    parts = {}
    for run in runs:
        if run.ran_s >= OBSERVATION_S:
            parts[run] = CrashPart(Blame.OUTLIVED)
        elif run in suspects:
            # At most one of the jobs caused the crash; most tasks survive their start, so that
            # the others there count little against one that has not.
            rivals = 1 if young else len(jobs)
            chance = min(1.0, rivals * (1 - exp(-run.rate * window_s)))
            parts[run] = CrashPart(Blame.SUSPECT, chance, len(jobs) == 1, host, run.ran_s)
        else:
            parts[run] = BYSTANDER
    return parts
