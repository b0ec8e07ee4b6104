"""Model of batch and long-running work: jobs of steps, their tasks, queues and hosts."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from apricotpath.errors import InputError
from apricotpath.ids import DataCentreId, JobId, QueueId, RackId, ServiceId
from apricotpath.model import Size

NO_RACK = RackId("")
NO_SIZE = Size()
MAX_STEPS = 64
MAX_TASKS_PER_STEP = 10_000


class Progress(Enum):
    """State of a whole job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the state never changes again."""
        return self in (Progress.COMPLETED, Progress.FAILED, Progress.CANCELLED)


class RunResult(Enum):
    """How one run of a task ended.

    BROKEN: another member of its gang ended. ALONE: the other members did not
    come in time. LAPSED: its lease ran out. LOST: its executor is gone, or
    the run never began and never will.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"


class TaskKey(NamedTuple):
    """Name of a task: its job, occurrence, step and position in the step."""

    job: JobId
    occurrence: int
    step: int
    position: int

    @property
    def step_key(self) -> tuple[JobId, int, int]:
        """Job, occurrence and step, which the tasks of a step share."""
        return self.job, self.occurrence, self.step

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.position}"

    @classmethod
    def parse(cls, text: str) -> "TaskKey":
        """Return the key of a name, or raise InputError."""
        parts = text.rsplit(".", 3)
        try:
            return cls(JobId(parts[0]), int(parts[1]), int(parts[2]), int(parts[3]))
        except (IndexError, ValueError) as exc:
            raise InputError(f"{text!r} is not the name of a task") from exc


@dataclass(frozen=True, slots=True)
class Step:
    """Equal tasks of a job.

    `after` names earlier steps that must be done first. `max_per_host` 0
    means no limit. `label` is a label that the host must have, `near` the
    rack of the data. `gang`: the tasks work only together. `same_rack`: they
    are much slower on more than one rack. `speculative`: copies may run and
    the first to finish counts. `long_running`: the tasks run until the job is
    cancelled; `max_unavailable` of them may be stopped on purpose at the same
    time, where that is set. `filler`: the tasks use only capacity that other
    tasks leave unused. `target_ms`: bound on the tail latency of the users of
    a long-running task.
    """

    count: int
    size: Size
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    near: RackId = NO_RACK
    max_per_host: int = 0
    speculative: bool = False
    long_running: bool = False
    filler: bool = False
    image: str = ""
    target_ms: float = 0.0
    max_unavailable: int | None = None


@dataclass(frozen=True, slots=True)
class Schedule:
    """Repeated runs of a job's steps: occurrence k is due at first + k x interval (UTC seconds)."""

    times: int = 1
    first_s: float = 0.0
    interval_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Job:
    """An accepted job; `accepted_s` is UTC seconds by the clock of the entry that took it."""

    job_id: JobId
    queue: QueueId
    command: str
    steps: tuple[Step, ...]
    schedule: Schedule | None = None
    accepted_s: float = 0.0

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return self.schedule.times if self.schedule else 1

    def due_s(self, occurrence: int) -> float:
        """Return the UTC second before which an occurrence must not start; 0 without a schedule."""
        if self.schedule is None:
            return 0.0
        return self.schedule.first_s + occurrence * self.schedule.interval_s


@dataclass(frozen=True, slots=True)
class Queue:
    """Rules for the jobs of one queue.

    Priority 0 comes first. A task that has failed `attempts` times fails its
    job. `stretch` times the shortest possible run time plus `target_s` is the
    objective for the whole job. `advised`: an advisory service says which
    hosts may run a step.
    """

    queue: QueueId
    service: ServiceId
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    target_s: float = 0.0
    advised: bool = False


@dataclass(frozen=True, slots=True)
class HostFacts:
    """What an executor says of itself; `born_ms` tells its lives under one id apart."""

    instance: str
    born_ms: int
    service: ServiceId
    data_centre: DataCentreId
    rack: RackId
    labels: frozenset[str] = field(default_factory=frozenset)
    capacity: Size = NO_SIZE


def check_job(job: Job) -> None:
    """Raise InputError unless the steps of a job are consistent."""
    if not 0 < len(job.steps) <= MAX_STEPS:
        raise InputError(f"a job has 1 to {MAX_STEPS} steps", path="steps")
    for number, step in enumerate(job.steps):
        where = f"steps[{number}]"
        if not 0 < step.count <= MAX_TASKS_PER_STEP:
            raise InputError(f"a step has 1 to {MAX_TASKS_PER_STEP} tasks", path=where)
        if min(step.size.cpu_milli, step.size.memory_mb, step.size.accelerators) < 0:
            raise InputError("a size is never negative", path=where)
        if any(not 0 <= earlier < number for earlier in step.after):
            raise InputError("a step waits only for earlier steps", path=where)
    if job.schedule is not None and job.schedule.times < 1:
        raise InputError("a schedule has at least one occurrence", path="schedule")
