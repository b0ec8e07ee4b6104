"""Crashes of executors: which tasks are suspected of them, and which have caused them.

A task that crashes executors does so each time it starts. Other tasks are there by chance, the
more often the more executors crash for reasons of their own. A task is therefore judged by the
probability that so many executors would have crashed by themselves so soon after its starts.

Crashes close to each other may have one cause, on one host or on many. Before a crash that could
end its job, a task is therefore held back for a while; executors that crash without it meanwhile
make crashes more probable there, and take back the suspicions from there. Sufficient evidence is:
three suspicions, improbable enough without the task, the last one by a run that was ordered after
such a pause and shared with no other job, and, unless all came at the start, more than one host.
"""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import Enum
from math import exp, prod
from typing import NamedTuple

from apricotpath.ids import HostId, JobId
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
# Crashes within this time (seconds) may have one cause. Executors that crash by themselves every
# few seconds do so without the task meanwhile.
CALM_S = 4.0
# A host that has crashed so often without a task is taken to crash by itself.
HOST_CRASHES = 2
# Added to the time (seconds) over which the crashes of one host are counted.
PRIOR_SPAN_S = 10.0
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
    how long (seconds). `apart`: the run was ordered CALM_S or more after the last crash of which
    the task is suspected. `ago_s`: time (seconds) from the crash to its record; the log does
    not keep it.
    """

    blame: Blame
    chance: float = 1.0
    alone: bool = False
    host: HostId = HostId("")
    ran_s: float = 0.0
    apart: bool = False
    ago_s: float = 0.0

    @property
    def delayed(self) -> bool:
        """Whether the run had survived its start."""
        return self.ran_s >= SURVIVAL_S


BYSTANDER = CrashPart(Blame.BYSTANDER)


@dataclass(slots=True)
class CrashHistory:
    """The crashes at which runs of one task were there, by the number of the run.

    `suspected_at`: boot-clock time (seconds) of the last crash of which the task is suspected;
    after a load, the latest time that the records allow. `calm_s` and `waited_s`: those of the
    newest `SuspectWaited` record of the task, 0 without one.
    """

    parts: dict[int, CrashPart] = field(default_factory=dict)
    suspected_at: float = float("-inf")
    calm_s: float = 0.0
    waited_s: float = 0.0

    def note(self, run: int, part: CrashPart, now: float = float("-inf")) -> None:
        """Note a run's part in a crash; one that outlived its start clears the task."""
        self.parts[run] = part
        if part.blame is Blame.SUSPECT:
            self.suspected_at = max(self.suspected_at, now - part.ago_s)
            self.calm_s = self.waited_s = 0.0
        if part.blame is Blame.OUTLIVED:
            self.parts = dict.fromkeys(self.parts, BYSTANDER)

    def resume_wait(self, calm_s: float, waited_s: float, now: float) -> None:
        """Count the wait of the task on from a record of it."""
        self.calm_s, self.waited_s = calm_s, waited_s
        self.suspected_at = min(self.suspected_at, now - calm_s)

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
    def holds_back(self) -> bool:
        """Whether the next crash could end the job, so that the task starts after a pause only."""
        return self.suspected and self.suspicions >= MIN_SUSPICIONS - 1

    @property
    def held_until(self) -> float:
        """Until when the task must not start, since another crash too soon proves nothing."""
        return self.suspected_at + CALM_S if self.holds_back else float("-inf")

    def is_apart(self, ordered_at: float) -> bool:
        """Return whether a run was ordered CALM_S or more after the last suspicion."""
        return ordered_at >= self.suspected_at + CALM_S

    def runs_suspected_on(self, host: HostId) -> list[int]:
        """Return the numbers of the runs that are suspected of a crash of a host."""
        return [
            run
            for run, part in self.parts.items()
            if part.blame is Blame.SUSPECT and part.host == host
        ]

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
        if len(parts) < MIN_SUSPICIONS or self.chance > CONVICT_CHANCE:
            return False
        if not parts[-1].alone or not parts[-1].apart:
            return False
        return not self.delayed or len({part.host for part in parts}) > 1

    def _suspected_parts(self) -> list[CrashPart]:
        return [part for part in self.parts.values() if part.blame is Blame.SUSPECT]


class _Crash(NamedTuple):
    """A crash of a host's executor; the jobs whose tasks are suspected of it.

    `at_start`: they had just started, so that one of them is likely to be the cause.
    """

    at: float
    host: HostId
    jobs: frozenset[JobId]
    at_start: bool


class CrashRate:
    """Counts the crashes of executors; times are boot-clock seconds."""

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._crashes: deque[_Crash] = deque()

    def add(self, now: float, host: HostId, jobs: frozenset[JobId], at_start: bool = False) -> None:
        """Count one crash; tasks of `jobs` are suspected of it, perhaps just at their start."""
        self._crashes.append(_Crash(now, host, jobs, at_start))

    def without(self, own: int, hosts: int, now: float) -> float:
        """Return the crashes per second of one executor, leaving `own` of them out."""
        while self._crashes and now - self._crashes[0].at > RATE_WINDOW_S:
            self._crashes.popleft()
        seen_s = hosts * min(RATE_WINDOW_S, now - self._started_at)
        others = max(0, len(self._crashes) - own)
        return (others + PRIOR_CRASHES) / (seen_s + PRIOR_HOST_S)

    def on_host(self, host: HostId, now: float) -> "HostCrashes":
        """Return the crashes of one host in the last RATE_WINDOW_S."""
        recent = [crash for crash in self._crashes if now - crash.at <= RATE_WINDOW_S]
        return HostCrashes([crash for crash in recent if crash.host == host], now)


class HostCrashes:
    """The recent crashes of one host."""

    def __init__(self, crashes: list[_Crash], now: float) -> None:
        self._crashes, self._now = crashes, now

    def rate_without(self, job: JobId) -> float:
        """Return the crashes per second that a job is not suspected of; 0 for too few.

        Those at the start of other jobs' suspects do not count, since these may be the cause.
        """
        times = [
            crash.at
            for crash in self._crashes
            if job not in crash.jobs and not (crash.jobs and crash.at_start)
        ]
        if len(times) < HOST_CRASHES:
            return 0.0
        return len(times) / (self._now - times[0] + PRIOR_SPAN_S)

    @property
    def crashes_by_itself(self) -> bool:
        """Whether the host has crashed repeatedly without any suspect."""
        return sum(not crash.jobs for crash in self._crashes) >= HOST_CRASHES


class CrashedRun(NamedTuple):
    """A run that was lost with its executor.

    `ran_s`: how long (seconds) it had certainly run. `suspected`: its task was suspected before.
    `rate`: crashes per second of one executor that have nothing to do with the task. `apart` and
    `ago_s`: see `CrashPart`.
    """

    task: TaskKey
    run: int
    ran_s: float
    suspected: bool
    rate: float
    apart: bool = False
    ago_s: float = 0.0


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
            alone, ago_s = len(jobs) == 1, run.ago_s
            parts[run] = CrashPart(Blame.SUSPECT, chance, alone, host, run.ran_s, run.apart, ago_s)
        else:
            parts[run] = BYSTANDER
    return parts
