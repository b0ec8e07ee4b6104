"""What hosts do with decisions in a replay: deterministic, driven by a trace's measurements.

It stands in for agents, workers and backend servers at the messages and calls
of the entry. It is no simulator: no network, no kernel, one step per tick.
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

# Pressure and usage in a report are this old; tasks and outcomes are current.
REPORT_DELAY_S = 1.0
# From the decision to the first work of a task: journal, message and worker.
START_DELAY_S = 0.3
# A backend server without an answer is noticed after this time at the latest.
NO_ANSWER_S = 1.0
# A report may be late by up to this many steps of the pressure history.
HISTORY = 64


@dataclass(slots=True)
class ModelTask:
    """One attempt on a host; `kept` is the progress at its newest checkpoint."""

    task: TaskId
    attempt: int
    spec: JobSpec
    run_s: float
    starts_at: float
    progress: float
    kept: float
    share: float = 1.0
    ends_at: float | None = None
    stopped: bool = False


@dataclass(slots=True)
class ModelHost:
    """A host with its tasks, ended attempts and the slots of its backend server."""

    up: HostUp
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
    """Core seconds done or held in vain, each with its time, and counts."""

    wasted: list[tuple[float, float]] = field(default_factory=list)
    evictions: int = 0
    lost_tasks: int = 0


class HostModel:
    """All hosts of a replay; every time is in seconds of the trace."""

    def __init__(self) -> None:
        self.hosts: dict[ProcessId, ModelHost] = {}
        self.activities: dict[str, Activity] = {}
        self.totals = Totals()
        self.now = 0.0
        # Progress that survives the end of an attempt, as checkpoints do.
        self.kept: dict[TaskId, float] = {}
        self.work: dict[TaskId, float] = {}

    def up(self, event: HostUp, claim: Size) -> None:
        """Add a host, or bring it back empty."""
        host = ModelHost(event, claim, slots=[0.0] * event.slots)
        self.hosts[event.process] = host

    def lose(self, process: ProcessId) -> None:
        """Remove a host; what its tasks did since their checkpoints is lost."""
        host = self.hosts[process]
        host.gone = True
        for task in host.tasks.values():
            self._waste(task, task.progress - task.kept)
            self.totals.lost_tasks += 1
        host.tasks.clear()
        host.outcomes.clear()

    def start(
        self, process: ProcessId, task: TaskId, attempt: int, spec: JobSpec, ratio: float
    ) -> None:
        """Start an attempt from the newest checkpoint; `ratio` is real to declared run time."""
        kept = self.kept.get(task, 0.0)
        run_s = spec.run_time_s * ratio
        self.work[task] = run_s * spec.size.cpu_milli / 1000.0
        self.hosts[process].tasks[task] = ModelTask(
            task, attempt, spec, run_s, self.now + START_DELAY_S, kept, kept
        )

    @singledispatchmethod
    def command(self, message: Message, process: ProcessId) -> None:
        """Carry out a command of the owner; others need nothing here."""

    @command.register
    def _(self, message: EvictTask, process: ProcessId) -> None:
        task = self._attempt(process, message.task, message.attempt)
        if task is not None and task.ends_at is None:
            task.ends_at = self.now + task.spec.checkpoint_s
            self.totals.evictions += 1

    @command.register
    def _(self, message: StopTask, process: ProcessId) -> None:
        task = self._attempt(process, message.task, message.attempt)
        if task is not None:
            task.ends_at, task.stopped = self.now, True

    @command.register
    def _(self, message: ThrottleTask, process: ProcessId) -> None:
        task = self._attempt(process, message.task, message.attempt)
        if task is not None:
            task.share = message.share

    @command.register
    def _(self, message: OutcomeAck, process: ProcessId) -> None:
        for ended in zip(message.tasks, message.attempts, strict=True):
            self.hosts[process].outcomes.pop(ended, None)

    def _attempt(self, process: ProcessId, task: TaskId, attempt: int) -> ModelTask | None:
        found = self.hosts[process].tasks.get(task)
        return found if found is not None and found.attempt == attempt else None

    def step(self, now: float) -> None:
        """Let all tasks work until `now`, and end those that are done."""
        dt, self.now = now - self.now, now
        for host in self.hosts.values():
            if not host.gone:
                self._step(host, now, dt)

    def _step(self, host: ModelHost, now: float, dt: float) -> None:
        running = [task for task in host.tasks.values() if now >= task.starts_at]
        drag = sum(self._of(task).drag * task.share for task in running)
        used = host.claim.cpu_milli + sum(self._use(task) for task in running)
        crowding = max(1.0, used / max(1, host.up.size.cpu_milli))
        for task in running:
            if task.ends_at is None:
                slow = (1.0 + drag - self._of(task).drag * task.share) * crowding
                task.progress = min(1.0, task.progress + dt * task.share / slow / task.run_s)
                if task.progress >= 1.0:
                    self._end(host, task, Outcome.FINISHED, 1.0)
            elif now >= task.ends_at:
                self._evicted(host, task)
        pressure = 1.0 + sum(self._of(task).pressure * task.share for task in running)
        usage = Size(int(used), host.committed.memory_mb, 0)
        host.history.append((now, pressure * crowding, usage))
        del host.history[:-HISTORY]

    def _evicted(self, host: ModelHost, task: ModelTask) -> None:
        keeps = self._of(task).keeps and not task.stopped
        kept = task.progress if keeps else task.kept
        held_s = 0.0 if task.stopped else task.spec.checkpoint_s
        self._waste(task, task.progress - kept, held_s)
        self._end(host, task, Outcome.STOPPED if task.stopped else Outcome.EVICTED, kept)

    def _end(self, host: ModelHost, task: ModelTask, outcome: Outcome, kept: float) -> None:
        del host.tasks[task.task]
        self.kept[task.task] = kept
        checkpoint = f"{task.attempt}@{kept:.6f}" if kept > 0 else ""
        host.outcomes[task.task, task.attempt] = TaskOutcome(
            task.task, ShardId(0), task.attempt, outcome, checkpoint, ""
        )

    def _waste(self, task: ModelTask, progress: float, held_s: float = 0.0) -> None:
        seconds = max(0.0, progress) * task.run_s + held_s
        self.totals.wasted.append((self.now, seconds * task.spec.size.cpu_milli / 1000.0))

    def _of(self, task: ModelTask) -> Activity:
        return self.activities.get(task.spec.activity) or Activity(task.spec.activity)

    def _use(self, task: ModelTask) -> float:
        return task.spec.size.cpu_milli * self._of(task).use_ratio * task.share

    def pressure(self, process: ProcessId) -> float:
        """Return the present slowdown of a backend server's requests."""
        history = self.hosts[process].history
        return history[-1][1] if history else 1.0

    def report(self, process: ProcessId) -> HostReport:
        """Return what the host's agent reports now."""
        host = self.hosts[process]
        late = [row for row in host.history if row[0] <= self.now - REPORT_DELAY_S]
        _, pressure, usage = late[-1] if late else (0.0, 1.0, host.claim)
        return HostReport(
            host.up.host,
            int(self.now * 1000),
            True,
            host.committed,
            usage,
            pressure if host.up.slots else 1.0,
            sum(end > self.now for end in host.slots),
            0,
            tuple(self._reports(host)),
            tuple(host.outcomes.values()),
        )

    def _reports(self, host: ModelHost) -> Iterator[TaskReport]:
        for task in host.tasks.values():
            state = RunState.THROTTLED if task.share < 1.0 else RunState.RUNNING
            checkpoint = f"{task.attempt}@{task.kept:.6f}" if task.kept > 0 else ""
            yield TaskReport(
                task.task,
                ShardId(0),
                1,  # type: ignore[arg-type]
                task.attempt,
                state,
                task.spec.size,
                Size(int(self._use(task)), task.spec.size.memory_mb, 0),
                checkpoint,
                task.progress,
                task.spec.team,
                task.spec.activity,
            )

    def serve(self, process: ProcessId, work_s: float, now: float) -> tuple[float, int]:
        """Serve a request; return its latency in seconds and status, 0 if there is no answer."""
        host = self.hosts[process]
        if host.gone or not host.slots:
            return NO_ANSWER_S, 0
        if host.fault is not None:
            status, latency_s = host.fault
            return latency_s, status
        free_at = max(now, host.slots[0])
        ends_at = free_at + work_s * self.pressure(process)
        heapreplace(host.slots, ends_at)
        return ends_at - now, 200

    def useful_work(self) -> float:
        """Return the core seconds of work done and not lost."""
        kept = dict(self.kept)
        for host in self.hosts.values():
            for task in host.tasks.values():
                kept[task.task] = task.progress
        return sum(progress * self.work[task] for task, progress in kept.items())
