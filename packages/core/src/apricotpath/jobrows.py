"""Jobs in the scheduler's tables: their steps, tasks and runs.

What a job takes grows with its open tasks only: those that may start soon, run, or have left
something to remember. The others are numbers in the state of their step.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from apricotpath.absences import Absence
from apricotpath.gangs import Gang
from apricotpath.ids import HostId
from apricotpath.steps import Steps, finish
from apricotpath.workload import Job, Progress, Step, TaskKey

# Progress in percent at which a long-running task is ready to serve.
READY_PERCENT = 100
TASKS_PER_STEP = 256


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
    another incarnation of its host's executor than the one that it was ordered for. `reported_at`:
    when its host last said that it was at work, in boot-clock seconds. `apart`: it
    was ordered after the pause for which a suspect of crashes is held back, and no crash of
    which its task is suspected was recorded since.
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
    stop_sent_at: float = float("-inf")
    survived: bool = False
    on_other: bool = False
    reported_at: float = float("-inf")
    apart: bool = False

    @property
    def was_reported(self) -> bool:
        """Whether its host has told this scheduler that it is at work."""
        return self.reported_at > float("-inf")


@dataclass(slots=True)
class Task:
    """One task of a step; `own_saved` names its newest checkpoint if it is in no gang.

    `absence`: of a long-running task that does not run any more.
    """

    key: TaskKey
    gang: Gang | None = None
    done: bool = False
    failed_runs: set[int] = field(default_factory=set)
    last_run: int = 0
    own_saved: str = ""
    runs: dict[int, Run] = field(default_factory=dict)
    failed_hosts: list[HostId] = field(default_factory=list)
    waiting_since: float = 0.0
    absence: Absence | None = None

    @property
    def saved(self) -> str:
        """Name of the newest checkpoint from which the task resumes; empty without one."""
        return self.gang.saved if self.gang is not None else self.own_saved

    @property
    def away_since(self) -> float:
        """Since when (boot-clock seconds) the task does not run, or else waits."""
        began = self.absence.since if self.absence is not None else self.waiting_since
        return min(began, self.waiting_since)

    def save(self, run: int, saved: str) -> None:
        """Set the newest checkpoint, which a run has written."""
        if self.gang is not None:
            self.gang.save(run, saved)
        else:
            self.own_saved = saved

    def restore(self, failed_runs: Iterable[int], last_run: int, saved: str) -> None:
        """Set the state of the task that a snapshot holds."""
        self.failed_runs, self.last_run = set(failed_runs), last_run
        if self.gang is None:
            self.own_saved = saved
        else:
            self.gang.saved = saved or self.gang.saved
            self.gang.failed_runs |= self.failed_runs
            self.gang.last_run = max(self.gang.last_run, last_run)

    def failures(self) -> int:
        """Return in how many runs the task, or a member of its gang, has failed."""
        return len(self.gang.failed_runs if self.gang is not None else self.failed_runs)

    def add_run(self, run: Run) -> None:
        """Add a run that has been assigned to a host."""
        if self.gang is not None:
            self.gang.runs += run.run not in self.runs
            self.gang.note_start(run.run, run.since)
        self.runs[run.run] = run
        self.last_run = max(self.last_run, run.run)

    def end_run(self, number: int, now: float) -> Run | None:
        """Remove a run that has ended, and return it if it was there."""
        run = self.runs.pop(number, None)
        self.last_run = max(self.last_run, number)
        if self.gang is not None:
            self.gang.note_end(now, run is not None)
            self.gang.last_run = max(self.gang.last_run, number)
        return run

    def note_failure(self, run: Run) -> None:
        """Note that a run has failed."""
        self.failed_runs.add(run.run)
        self.failed_hosts.append(run.host)
        if self.gang is not None:
            self.gang.note_failure(run.run, run.host)


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
        # Runs that have not ended.
        self.run_count = 0

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
        job, occurrence, step, _ = task
        for index in range(self.step(task).count):
            key = TaskKey(job, occurrence, step, index)
            if key in self.tasks:
                yield self.tasks[key]

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

    def drop_task(self, key: TaskKey) -> None:
        """Drop a task that records show as done."""
        task = self.tasks.pop(key, None)
        if task is None:
            return
        self.run_count -= len(task.runs)
        if task.gang is not None:
            task.gang.size -= not task.done
            task.gang.runs -= len(task.runs)

    def open_task(self, key: TaskKey) -> Task | None:
        """Return a task and open it if necessary; None if there is none, or if it is done."""
        task = self.tasks.get(key)
        if task is not None or not self.has_task(key) or self.is_finished(key.occurrence):
            return task
        return finish(self.open_in_steps(key))

    def open_in_steps(self, key: TaskKey) -> Steps[Task | None]:
        """Open a task that the job has in an occurrence that is not finished, in steps."""
        self.open_steps(key.occurrence)
        state = self.steps[key.occurrence, key.step]
        if state.is_done(key.position):
            return None
        if self.step(key).gang:
            yield from self._open_gang(key, state)
        else:
            self.tasks[key] = Task(key)
        return self.tasks[key]

    def _open_gang(self, key: TaskKey, state: StepState) -> Steps[None]:
        """Open all members of a gang that are not done."""
        gang = Gang()
        job, occurrence, step, _ = key
        undone = ~state.done
        for position in range(self.step(key).count):
            if undone >> position & 1:
                member = TaskKey(job, occurrence, step, position)
                self.tasks[member] = Task(member, gang)
                gang.size += 1
            if position % TASKS_PER_STEP == 0:
                yield

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
