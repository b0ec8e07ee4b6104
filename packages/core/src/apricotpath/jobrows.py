"""Jobs in the scheduler's tables: their steps, tasks and runs.

What a job takes grows with its open tasks only: those that may start soon, run, or have left
something to remember. The others are numbers in the state of their step.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from apricotpath.ids import HostId
from apricotpath.workload import Job, Progress, Step, TaskKey

# Progress in percent at which a long-running task is ready to serve.
READY_PERCENT = 100


class RunPhase(Enum):
    """Phase of a run that has not ended."""

    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True)
class Run:
    """One run of a task on a host; `since` is in boot-clock seconds.

    `percent` is the progress that the executor reports, `first_percent` that
    of its first report; `stalled_s` is the reported time without progress.
    `load` is the tail latency in ms of a long-running task, else the
    processors in use in thousandths of a core. `pace` is the speed limit of a
    filler task in percent. `saved` names its newest checkpoint. `survived`: the
    executor listed it SURVIVAL_S or more after it was ordered. `on_other`: it was reported by
    another incarnation of its host's executor than the one that it was ordered for.
    """

    task: TaskKey
    run: int
    host: HostId
    instance: str
    born_ms: int
    phase: RunPhase = RunPhase.ORDERED
    since: float = 0.0
    saved: str = ""
    percent: int = 0
    first_percent: int = 0
    stalled_s: float = 0.0
    load: float = 0.0
    pace: int = 100
    stop_sent_at: float = 0.0
    survived: bool = False
    on_other: bool = False


@dataclass(slots=True)
class Task:
    """One task of a step; `saved` names its newest checkpoint."""

    key: TaskKey
    done: bool = False
    failed_runs: set[int] = field(default_factory=set)
    last_run: int = 0
    saved: str = ""
    runs: dict[int, Run] = field(default_factory=dict)
    failed_hosts: list[HostId] = field(default_factory=list)
    waiting_since: float = 0.0


@dataclass(slots=True)
class StepState:
    """Progress of one step of one occurrence.

    `remaining` counts the tasks that are not done; `done` has a bit for each that is, by its
    position. Tasks from position `opened` on are created later, or when a record names them.
    """

    remaining: int
    done: int = 0
    opened: int = 0

    def is_done(self, position: int) -> bool:
        """Return whether the task at a position is done."""
        return bool(self.done >> position & 1)


class JobRow:
    """A job with its open tasks; all are dropped once the job and its runs have ended.

    `steps` holds the steps of open occurrences. Occurrences before `next_occurrence` were
    opened, `opened` of them are not finished. `finished` has a bit for each that is.
    """

    def __init__(self, job: Job) -> None:
        self.job = job
        self.progress = Progress.QUEUED
        self.cancelling = False
        self.failing = False
        self.ended_at = 0.0
        self.tasks: dict[TaskKey, Task] = {}
        self.steps: dict[tuple[int, int], StepState] = {}
        self.next_occurrence = 0
        self.opened = 0
        self.finished = 0
        self.awaits_due = False

    @property
    def to_be_stopped(self) -> bool:
        """Whether the remaining runs of the job are to be stopped."""
        return self.cancelling or self.failing or self.progress.final

    @property
    def completed(self) -> bool:
        """Whether all occurrences are finished."""
        return self.finished.bit_count() == self.job.occurrences

    def step(self, task: TaskKey) -> Step:
        """Return the step of a task."""
        return self.job.steps[task.step]

    def members(self, task: TaskKey) -> Iterator[Task]:
        """Yield the open tasks of the same step and occurrence; of a gang these are all."""
        for index in range(self.step(task).count):
            member = self.tasks.get(TaskKey(task.job, task.occurrence, task.step, index))
            if member is not None:
                yield member

    def step_ready(self, occurrence: int, number: int) -> bool:
        """Return whether all steps that a step depends on are done."""
        return all(
            self.steps[occurrence, earlier].remaining == 0
            for earlier in self.job.steps[number].after
        )

    def runs(self) -> Iterator[Run]:
        """Yield all runs that have not ended."""
        for task in self.tasks.values():
            yield from task.runs.values()

    def is_finished(self, occurrence: int) -> bool:
        """Return whether all tasks of an occurrence are done."""
        return bool(self.finished >> occurrence & 1)

    def open_steps(self, occurrence: int) -> None:
        """Add the steps of an occurrence that is not finished, if they are not there."""
        if (occurrence, 0) not in self.steps:
            for number, step in enumerate(self.job.steps):
                self.steps[occurrence, number] = StepState(step.count)

    def open_task(self, key: TaskKey) -> Task | None:
        """Return a task and open it if necessary; None if there is none, or if it is done."""
        task = self.tasks.get(key)
        if task is not None or not self.has_task(key) or self.is_finished(key.occurrence):
            return task
        self.open_steps(key.occurrence)
        state = self.steps[key.occurrence, key.step]
        if state.is_done(key.position):
            return None
        positions = range(self.step(key).count) if self.step(key).gang else (key.position,)
        for position in positions:
            member = TaskKey(key.job, key.occurrence, key.step, position)
            if not state.is_done(position):
                self.tasks[member] = Task(member)
        return self.tasks[key]

    def done_tasks(self) -> dict[tuple[int, int], int]:
        """Return which tasks are done and have no runs, as bits, by occurrence and step.

        Occurrences are left out if that holds for all of their tasks.
        """
        done = {key: state.done for key, state in self.steps.items()}
        for key in (key for key, task in self.tasks.items() if task.done):
            if self.is_finished(key.occurrence):
                for number, step in enumerate(self.job.steps):
                    done.setdefault((key.occurrence, number), (1 << step.count) - 1)
            done[key.occurrence, key.step] &= ~(1 << key.position)
        return done

    def has_task(self, key: TaskKey) -> bool:
        """Return whether a task belongs to the job."""
        return (
            0 <= key.occurrence < self.job.occurrences
            and 0 <= key.step < len(self.job.steps)
            and 0 <= key.position < self.step(key).count
        )
