"""Data model of batch and long-running work: jobs, steps, tasks, queues and host facts."""

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
# Tasks of all steps and occurrences of a job. The scheduler keeps a bit of each in memory.
MAX_TASKS_PER_JOB = 1_000_000
# Tasks of all gangs of an occurrence, which the scheduler keeps in memory together.
MAX_GANG_TASKS = 5000


# A job, and the numbers of an occurrence and of a step, which the tasks of a step share.
StepKey = tuple[JobId, int, int]


class Progress(Enum):
    """State of a whole job as shown to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def begun(self) -> bool:
        """Whether a task has begun, or the job has ended."""
        return self is not Progress.QUEUED

    @property
    def final(self) -> bool:
        """Whether the state never changes again."""
        return self in (Progress.COMPLETED, Progress.FAILED, Progress.CANCELLED)


class RunResult(Enum):
    """How one run of a task ended.

    BROKEN: another member of its gang ended. ALONE: the other members of its
    gang did not start in time. LAPSED: its lease expired. LOST: its executor is
    gone, or the run never started and never will.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"


class TaskKey(NamedTuple):
    """Identity of a task: its job, occurrence, step and position in the step."""

    job: JobId
    occurrence: int
    step: int
    position: int

    @property
    def step_key(self) -> StepKey:
        """Job, occurrence and step, which the tasks of a step share."""
        return self.job, self.occurrence, self.step

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.position}"

    @classmethod
    def parse(cls, text: str) -> "TaskKey":
        """Parse the text form `job.occurrence.step.position`, or raise InputError."""
        parts = text.rsplit(".", 3)
        try:
            return cls(JobId(parts[0]), int(parts[1]), int(parts[2]), int(parts[3]))
        except (IndexError, ValueError) as exc:
            raise InputError(f"{text!r} is not the name of a task") from exc


@dataclass(frozen=True, slots=True)
class Step:
    """A group of identical tasks of a job.

    `estimate_s`: estimated run time. `after`: earlier steps that must be done
    first. `checkpoints`: the tasks write checkpoints. `max_per_host`: 0 means
    no limit. `label`: a label that the host must have. `near`: preferred rack,
    which holds the data. `gang`: the tasks only run all together. `same_rack`:
    they are much slower across racks. `speculative`: a second copy may run and
    the first to finish counts. `long_running`: the tasks run until the job is
    cancelled; `max_unavailable`, if set, limits how many of them may be stopped
    deliberately at the same time. `filler`: the tasks use only capacity that
    other tasks leave unused. `target_ms`: target for the tail latency of a
    long-running task.
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
    """Repetition of a job's steps: occurrence k is due at first_s + k * interval_s in UTC."""

    times: int = 1
    first_s: float = 0.0
    interval_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Job:
    """An accepted job; `accepted_s` is UTC seconds by the clock of the entry that accepted it."""

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
        """Return the earliest start of an occurrence in UTC seconds; 0 without a schedule."""
        if self.schedule is None:
            return 0.0
        return self.schedule.first_s + occurrence * self.schedule.interval_s


@dataclass(frozen=True, slots=True)
class Queue:
    """Rules for the jobs of one queue.

    Priority 0 is the highest. A job fails when one of its tasks has failed
    `attempts` times. A job should end within `stretch` times its shortest
    possible run time plus `target_s` seconds. `advised`: an advisory service
    decides which hosts may run a step. `guards_capacity`: the executors of its
    service refuse starts that do not fit; others start whatever they are told to.
    """

    queue: QueueId
    service: ServiceId
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    target_s: float = 0.0
    advised: bool = False
    guards_capacity: bool = True


@dataclass(frozen=True, slots=True)
class HostFacts:
    """What an executor reports about itself.

    `born_ms` is its start time; it distinguishes restarts under the same instance id.
    """

    instance: str
    born_ms: int
    service: ServiceId
    data_centre: DataCentreId
    rack: RackId
    labels: frozenset[str] = field(default_factory=frozenset)
    capacity: Size = NO_SIZE


def check_limits(job: Job) -> None:
    """Raise InputError if a job that is valid is larger than is accepted.

    Unlike `check_job`, this does not apply to jobs that have been accepted already.
    """
    gang_tasks = sum(step.count for step in job.steps if step.gang)
    if gang_tasks > MAX_GANG_TASKS:
        raise InputError(
            f"the gangs of a job have at most {MAX_GANG_TASKS} tasks in all", path="steps"
        )


def check_job(job: Job) -> None:
    """Raise InputError unless the steps and the schedule of a job are valid."""
    if not 0 < len(job.steps) <= MAX_STEPS:
        raise InputError(f"a job has 1 to {MAX_STEPS} steps", path="steps")
    for number, step in enumerate(job.steps):
        step_path = f"steps[{number}]"
        if not 0 < step.count <= MAX_TASKS_PER_STEP:
            raise InputError(f"a step has 1 to {MAX_TASKS_PER_STEP} tasks", path=step_path)
        if min(step.size.cpu_milli, step.size.memory_mb, step.size.accelerators) < 0:
            raise InputError("a size is never negative", path=step_path)
        if any(not 0 <= earlier < number for earlier in step.after):
            raise InputError("a step waits only for earlier steps", path=step_path)
    if job.schedule is not None and job.schedule.times < 1:
        raise InputError("a schedule has at least one occurrence", path="schedule")
    if job.occurrences * sum(step.count for step in job.steps) > MAX_TASKS_PER_JOB:
        raise InputError(f"a job has at most {MAX_TASKS_PER_JOB} tasks", path="schedule")
