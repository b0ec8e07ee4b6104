"""Deterministic model of hosts for a replay, based on the measurements in a trace.

It replaces agents, workers and backend servers behind the messages and calls of the entry.
It simulates neither network nor kernel and takes one step per tick.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import singledispatchmethod
from heapq import heapreplace

from apricotpath.ids import ProcessId, ShardId, TaskId
from apricotpath.messages import (
    EvictTask,
    HostReport,
    Message,
    OutcomeAck,
    StopTask,
    TaskOutcome,
    TaskReport,
    ThrottleTask,
)
from apricotpath.model import JobSpec, Outcome, RunState, Size
from apricotpath.trace import Activity, HostUp

# Age of pressure and usage in a report; its tasks and outcomes are current.
REPORT_DELAY_S = 1.0
# From a start decision until the task runs: journal, message and worker.
START_DELAY_S = 0.3
# A request fails after this time if its host is gone or has no backend server.
NO_ANSWER_TIMEOUT_S = 1.0
# Steps in the pressure history; it must cover REPORT_DELAY_S.
HISTORY_STEPS = 64


@dataclass(slots=True)
class ModelTask:
    """One attempt on a host; `saved_progress` is the progress at its latest checkpoint."""

    task: TaskId
    attempt: int
    spec: JobSpec
    run_s: float
    starts_at: float
    progress: float
    saved_progress: float
    share: float = 1.0
    ends_at: float | None = None
    stopped: bool = False


@dataclass(slots=True)
class ModelHost:
    """A host with its tasks, ended attempts and the slots of its backend server.

    `slots` are the times at which the slots become free. `fault` is the status and latency
    in seconds of all answers. `history` holds time, pressure and usage of past steps.
    """

    host_up: HostUp
    claim: Size
    tasks: dict[TaskId, ModelTask] = field(default_factory=dict)
    outcomes: dict[tuple[TaskId, int], TaskOutcome] = field(default_factory=dict)
    history: list[tuple[float, float, Size]] = field(default_factory=list)
    slots: list[float] = field(default_factory=list)
    fault: tuple[int, float] | None = None
    gone: bool = False

    @property
    def committed(self) -> Size:
        """Declared sizes of all tasks, and the claim of the backend server."""
        total = self.claim
        for task in self.tasks.values():
            total = total + task.spec.size
        return total


@dataclass(slots=True)
class Totals:
    """Counts, and `wasted`: pairs of time and core seconds that were lost."""

    wasted: list[tuple[float, float]] = field(default_factory=list)
    evictions: int = 0
    lost_tasks: int = 0


class HostModel:
    """All hosts of a replay; times in seconds of the trace."""

    def __init__(self) -> None:
        self.hosts: dict[ProcessId, ModelHost] = {}
        self.activities: dict[str, Activity] = {}
        self.totals = Totals()
        self.now = 0.0
        # Progress of the latest checkpoint, which remains when an attempt ends.
        self.saved_progress: dict[TaskId, float] = {}
        self.work: dict[TaskId, float] = {}

    def host_up(self, event: HostUp, claim: Size) -> None:
        """Add a host, or restore it without tasks."""
        host = ModelHost(event, claim, slots=[0.0] * event.slots)
        self.hosts[event.process] = host

    def host_gone(self, process: ProcessId) -> None:
        """Mark a host as gone; the work of its tasks since their checkpoints is lost."""
        host = self.hosts[process]
        host.gone = True
        for task in host.tasks.values():
            self._add_waste(task, task.progress - task.saved_progress)
            self.totals.lost_tasks += 1
        host.tasks.clear()
        host.outcomes.clear()

    def start(
        self, process: ProcessId, task: TaskId, attempt: int, spec: JobSpec, ratio: float
    ) -> None:
        """Start an attempt from its latest checkpoint; `ratio` is actual over declared run time."""
        saved_progress = self.saved_progress.get(task, 0.0)
        run_s = spec.run_time_s * ratio
        self.work[task] = run_s * spec.size.cpu_milli / 1000.0
        self.hosts[process].tasks[task] = ModelTask(
            task, attempt, spec, run_s, self.now + START_DELAY_S, saved_progress, saved_progress
        )

    @singledispatchmethod
    def command(self, message: Message, process: ProcessId) -> None:
        """Execute a command of the owner; other messages are ignored."""

    @command.register
    def _(self, message: EvictTask, process: ProcessId) -> None:
        task = self._find_attempt(process, message.task, message.attempt)
        if task is not None and task.ends_at is None:
            task.ends_at = self.now + task.spec.checkpoint_s
            self.totals.evictions += 1

    @command.register
    def _(self, message: StopTask, process: ProcessId) -> None:
        task = self._find_attempt(process, message.task, message.attempt)
        if task is not None:
            task.ends_at, task.stopped = self.now, True

    @command.register
    def _(self, message: ThrottleTask, process: ProcessId) -> None:
        task = self._find_attempt(process, message.task, message.attempt)
        if task is not None:
            task.share = message.share

    @command.register
    def _(self, message: OutcomeAck, process: ProcessId) -> None:
        for ended in zip(message.tasks, message.attempts, strict=True):
            self.hosts[process].outcomes.pop(ended, None)

    def _find_attempt(self, process: ProcessId, task: TaskId, attempt: int) -> ModelTask | None:
        found = self.hosts[process].tasks.get(task)
        return found if found is not None and found.attempt == attempt else None

    def step(self, now: float) -> None:
        """Advance all tasks to `now` and end those that are complete."""
        elapsed_s, self.now = now - self.now, now
        for host in self.hosts.values():
            if not host.gone:
                self._step_host(host, now, elapsed_s)

    def _step_host(self, host: ModelHost, now: float, elapsed_s: float) -> None:
        running = [task for task in host.tasks.values() if now >= task.starts_at]
        drag = sum(self._activity_of(task).drag * task.share for task in running)
        used = host.claim.cpu_milli + sum(self._cpu_milli_used(task) for task in running)
        cpu_overcommit = max(1.0, used / max(1, host.host_up.size.cpu_milli))
        for task in running:
            if task.ends_at is None:
                slowdown = (1.0 + drag - self._activity_of(task).drag * task.share) * cpu_overcommit
                task.progress = min(
                    1.0, task.progress + elapsed_s * task.share / slowdown / task.run_s
                )
                if task.progress >= 1.0:
                    self._end_task(host, task, Outcome.FINISHED, 1.0)
            elif now >= task.ends_at:
                self._finish_eviction(host, task)
        pressure = 1.0 + sum(self._activity_of(task).pressure * task.share for task in running)
        usage = Size(int(used), host.committed.memory_mb, 0)
        host.history.append((now, pressure * cpu_overcommit, usage))
        del host.history[:-HISTORY_STEPS]

    def _finish_eviction(self, host: ModelHost, task: ModelTask) -> None:
        keeps = self._activity_of(task).keeps and not task.stopped
        saved_progress = task.progress if keeps else task.saved_progress
        checkpoint_time_s = 0.0 if task.stopped else task.spec.checkpoint_s
        self._add_waste(task, task.progress - saved_progress, checkpoint_time_s)
        self._end_task(
            host, task, Outcome.STOPPED if task.stopped else Outcome.EVICTED, saved_progress
        )

    def _end_task(
        self, host: ModelHost, task: ModelTask, outcome: Outcome, saved_progress: float
    ) -> None:
        del host.tasks[task.task]
        self.saved_progress[task.task] = saved_progress
        checkpoint = f"{task.attempt}@{saved_progress:.6f}" if saved_progress > 0 else ""
        host.outcomes[task.task, task.attempt] = TaskOutcome(
            task.task, ShardId(0), task.attempt, outcome, checkpoint, ""
        )

    def _add_waste(self, task: ModelTask, progress: float, checkpoint_time_s: float = 0.0) -> None:
        seconds = max(0.0, progress) * task.run_s + checkpoint_time_s
        self.totals.wasted.append((self.now, seconds * task.spec.size.cpu_milli / 1000.0))

    def _activity_of(self, task: ModelTask) -> Activity:
        return self.activities.get(task.spec.activity) or Activity(task.spec.activity)

    def _cpu_milli_used(self, task: ModelTask) -> float:
        return task.spec.size.cpu_milli * self._activity_of(task).use_ratio * task.share

    def pressure(self, process: ProcessId) -> float:
        """Return the current slowdown of a backend server's requests."""
        history = self.hosts[process].history
        return history[-1][1] if history else 1.0

    def report(self, process: ProcessId) -> HostReport:
        """Return the report that the host's agent sends now."""
        host = self.hosts[process]
        old_enough = [row for row in host.history if row[0] <= self.now - REPORT_DELAY_S]
        _, pressure, usage = old_enough[-1] if old_enough else (0.0, 1.0, host.claim)
        return HostReport(
            host.host_up.host,
            int(self.now * 1000),
            True,
            host.committed,
            usage,
            pressure if host.host_up.slots else 1.0,
            sum(end > self.now for end in host.slots),
            0,
            tuple(self._task_reports(host)),
            tuple(host.outcomes.values()),
        )

    def _task_reports(self, host: ModelHost) -> Iterator[TaskReport]:
        for task in host.tasks.values():
            state = RunState.THROTTLED if task.share < 1.0 else RunState.RUNNING
            checkpoint = (
                f"{task.attempt}@{task.saved_progress:.6f}" if task.saved_progress > 0 else ""
            )
            yield TaskReport(
                task.task,
                ShardId(0),
                1,  # type: ignore[arg-type]
                task.attempt,
                state,
                task.spec.size,
                Size(int(self._cpu_milli_used(task)), task.spec.size.memory_mb, 0),
                checkpoint,
                task.progress,
                task.spec.team,
                task.spec.activity,
            )

    def serve(self, process: ProcessId, work_s: float, now: float) -> tuple[float, int]:
        """Serve a request; return its latency in seconds and status, 0 if there is no answer."""
        host = self.hosts[process]
        if host.gone or not host.slots:
            return NO_ANSWER_TIMEOUT_S, 0
        if host.fault is not None:
            status, latency_s = host.fault
            return latency_s, status
        free_at = max(now, host.slots[0])
        ends_at = free_at + work_s * self.pressure(process)
        heapreplace(host.slots, ends_at)
        return ends_at - now, 200

    def useful_work(self) -> float:
        """Return the core seconds of work that were done and not lost."""
        saved_progress = dict(self.saved_progress)
        for host in self.hosts.values():
            for task in host.tasks.values():
                saved_progress[task.task] = task.progress
        return sum(progress * self.work[task] for task, progress in saved_progress.items())
