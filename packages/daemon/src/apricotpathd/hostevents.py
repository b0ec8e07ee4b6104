"""Events of hosts that a scheduler has not recorded yet."""

from typing import NamedTuple

from apricotpath.absences import EndBasis
from apricotpath.ids import HostId
from apricotpath.messages import ExecutorCrash, RunEnding
from apricotpath.workload import TaskKey


class ReportedEnding(NamedTuple):
    """An ending reported by a host's executor.

    `executor_incarnation` is the executor's id and start time.
    """

    host: HostId
    executor_incarnation: tuple[str, int]
    ending: RunEnding


class ExecutorName(NamedTuple):
    """One incarnation of a host's executor; each numbers its endings anew."""

    host: HostId
    instance: str
    born_ms: int


class ReportedCrash(NamedTuple):
    """A crash of an executor at a boot-clock time (seconds), reported by its host's agent."""

    host: HostId
    crash: ExecutorCrash
    at: float


class Silence(NamedTuple):
    """Since when (boot-clock seconds) an incarnation of an executor does not answer.

    `at_work`: it had runs, and all of them had survived their start.
    """

    executor_incarnation: tuple[str, int]
    since: float
    at_work: bool


class LostRun(NamedTuple):
    """A run that never began, or that has certainly ended without a reported ending."""

    task: TaskKey
    run: int
    reason: str
    basis: EndBasis
