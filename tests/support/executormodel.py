"""An in-memory executor with the guarantees of a real one, for tests in virtual time."""

import random
from dataclasses import dataclass, field
from itertools import islice
from zlib import crc32

import anyio

from apricotpath.boottime import boot_s
from apricotpath.executor import (
    ExecutorDisconnected,
    ExecutorFenced,
    ExecutorReplaced,
    ExecutorReport,
    ExecutorUnavailable,
    ExecutorUnreachable,
    StartCall,
)
from apricotpath.fleet import FleetSettings
from apricotpath.ids import FenceToken, TaskId
from apricotpath.messages import RunEnding, RunStatus
from apricotpath.model import Size, StartAnswer
from apricotpath.workload import RunResult

ANSWER_DELAY_S = 0.002
STOP_DELAY_S = 0.3
# A call without an answer fails after this time.
CALL_TIMEOUT_S = 0.5
# A longer lease is shortened to this.
# How much longer a lease lasts on a clock that is as slow as it may be.
SLOW_CLOCK_S = FleetSettings().run_lease_s * FleetSettings().clock_drift
HOLD_MAX_S = 6.0
NEVER = float("inf")


@dataclass
class ModelRun:
    """One run at the executor."""

    task: TaskId
    run: int
    ends_at: float
    result: RunResult
    size: Size
    pace: int = 100
    load: float = 0.0
    saved: str = ""
    crashes_at: float = NEVER


@dataclass(frozen=True)
class Crash:
    """One crash of an executor; `task` caused it, and is None if no task did.

    `running` holds all tasks that ran there, the cause included.
    """

    executor: str
    at: float
    task: TaskId | None
    running: tuple[TaskId, ...]


@dataclass
class Behaviour:
    """Behaviour of runs: their length in seconds, failing tasks, and sizes by task prefix.

    With `checkpoint_s`, a run makes a checkpoint each time it has worked for that
    many seconds. Its name is the work done in seconds, and a start with that
    checkpoint resumes from there. `lengths` holds other lengths of runs by job.

    A task that is in `deadly`, by itself or with its job, crashes its executor
    `deadly_after_s` after its start. `restart_s` later another incarnation is there.
    Meanwhile the executor refuses connections, or leaves calls without an answer
    in the share `silent_share` of crashes. `gangs` maps jobs whose tasks run all together
    to the time at which the gang was broken last by a crash. Reports list at most
    `listed_endings` endings, and leave out the runs of the tasks in `unreadable`. The tasks of
    the jobs in `serving` are ready that many seconds after their start.
    """

    seconds: float = 1.0
    checkpoint_s: float = 0.0
    failing: set[TaskId] = field(default_factory=set)
    sizes: dict[str, Size] = field(default_factory=dict)
    lengths: dict[str, float] = field(default_factory=dict)
    deadly: set[str] = field(default_factory=set)
    deadly_after_s: float = 0.01
    restart_s: float = 3.0
    silent_share: float = 0.0
    gangs: dict[str, float] = field(default_factory=dict)
    listed_endings: int = 500
    unreadable: set[TaskId] = field(default_factory=set)
    serving: dict[str, float] = field(default_factory=dict)

    def is_deadly(self, task: TaskId) -> bool:
        """Tell whether a task crashes its executor."""
        return bool(self.deadly & {str(task), job_of(task)})

    def break_gang(self, task: TaskId, at: float) -> None:
        """Note that a task was lost, which ends the other members of its gang."""
        if job_of(task) in self.gangs:
            self.gangs[job_of(task)] = at

    def is_broken(self, task: TaskId, began: float) -> bool:
        """Tell whether another member of a task's gang was lost since a time."""
        return began <= self.gangs.get(job_of(task), -NEVER)

    def seconds_of(self, task: TaskId) -> float:
        """Return the length of a task's runs."""
        return self.lengths.get(job_of(task), self.seconds)


def job_of(task: TaskId) -> str:
    """Return the job in the name of a task."""
    return str(task).split(".", 1)[0]


class ExecutorModel:
    """One executor; `crash` and `go_down` restart it.

    `history` holds (task, run, from, to) of ended runs, `starts` (task, time) of all
    starts, and `crashes` the crashes after which a new incarnation came. `unseen` holds the
    endings that were acknowledged although no answer of their incarnation had listed them.
    """

    def __init__(self, name: str, capacity: Size, behaviour: Behaviour) -> None:
        self.name = name
        self.instance = name
        self.capacity = capacity
        self.behaviour = behaviour
        self.born_ms = 1
        self.starts: list[tuple[TaskId, float]] = []
        self.crashes: list[Crash] = []
        self.down_until: float | None = None
        self.is_silent = False
        self._rng = random.Random(crc32(name.encode()))
        self.history: list[tuple[TaskId, int, float, float]] = []
        self.overcommitted = False
        # Without a guard it accepts every start, and notes when one took it over its capacity.
        self.guards_capacity = True
        self.over_capacity_at: list[float] = []
        self.is_shut_down = False
        self.resumed_s: list[float] = []
        self.unseen: list[RunEnding] = []
        self._reset()

    def _reset(self) -> None:
        self.started_at = boot_s()
        self.fence = FenceToken(0)
        self.deadline = 0.0
        self.runs: dict[tuple[TaskId, int], ModelRun] = {}
        self.began: dict[tuple[TaskId, int], float] = {}
        self.endings: list[RunEnding] = []
        self.highest_blocked_run: dict[TaskId, int] = {}
        self.last_ending_number = 0
        self.listed_ending = 0
        self.changed = anyio.Event()

    def crash(self) -> None:
        """Lose all runs without a report, and restart under the same id."""
        for run in list(self.runs.values()):
            self._record_run(run, boot_s())
        self.born_ms += 1
        self._reset()

    def go_down(self, task: TaskId | None = None, at: float | None = None) -> None:
        """Lose everything without a report, and come back after a while with another id."""
        crashed_at = boot_s() if at is None else at
        running = tuple(run.task for run in self.runs.values())
        self.crashes.append(Crash(self.name, crashed_at, task, running))
        for run in self.runs.values():
            self._record_run(run, min(run.ends_at, crashed_at))
            self.behaviour.break_gang(run.task, crashed_at)
        self.runs.clear()
        self.endings.clear()
        self.down_until = crashed_at + self.behaviour.restart_s
        self.is_silent = self._rng.random() < self.behaviour.silent_share
        self._signal()

    def _come_back(self, at: float) -> None:
        """Begin another incarnation."""
        self.down_until = None
        self.born_ms += 1
        self.instance = f"{self.name}-{self.born_ms}"
        self._reset()
        self.started_at = at

    @property
    def is_down(self) -> bool:
        """Whether the executor has crashed and is not back yet."""
        self.process_due()
        return self.down_until is not None

    def _signal(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    def shut_down(self) -> None:
        """End for good with all runs; no call is answered any more, nor one that waits."""
        for run in list(self.runs.values()):
            self._record_run(run, boot_s())
        self.runs.clear()
        self.is_shut_down = True
        self._signal()

    def clock_ms(self) -> int:
        return round((boot_s() - self.started_at) * 1000)

    def percent(self, run: ModelRun) -> int:
        """Return the progress of a run in percent."""
        began = self.began[run.task, run.run]
        ready_s = self.behaviour.serving.get(job_of(run.task))
        if ready_s is not None:
            return 100 if boot_s() - began >= ready_s else 0
        return round(min(1.0, (boot_s() - began) / max(0.01, run.ends_at - began)) * 100)

    def _save(self, run: ModelRun, now: float) -> None:
        """Make the checkpoint of a run that is due; one that is stopped has made its last one."""
        every_s = self.behaviour.checkpoint_s
        done_s = self._done_s(run, now)
        if every_s and done_s >= every_s and run.result is not RunResult.STOPPED:
            run.saved = str(every_s * int(done_s / every_s))

    def _done_s(self, run: ModelRun, now: float) -> float:
        return self.behaviour.seconds_of(run.task) - max(0.0, run.ends_at - now)

    def process_due(self) -> None:
        """Process what is due: crashes, checkpoints, ends of runs, and expiry of the lease."""
        now = boot_s()
        if self.down_until is not None:
            if now < self.down_until:
                return
            self._come_back(self.down_until)
        fatal = min(self.runs.values(), key=lambda run: run.crashes_at, default=None)
        if fatal is not None and fatal.crashes_at <= min(now, fatal.ends_at, self.deadline):
            self.go_down(fatal.task, fatal.crashes_at)
            return
        for run in self.runs.values():
            self._save(run, now)
        for run in list(self.runs.values()):
            if self.behaviour.is_broken(run.task, self.began[run.task, run.run]):
                self.end(run, RunResult.BROKEN)
            elif now >= run.ends_at:
                self.end(run, run.result)
        lapses_at = self.deadline + SLOW_CLOCK_S
        if self.runs and now >= lapses_at:
            for run in list(self.runs.values()):
                self.end(run, RunResult.LAPSED, lapses_at)

    def end(self, run: ModelRun, result: RunResult, at: float | None = None) -> None:
        """End a run now, or note that it has ended at a time at which nobody looked."""
        del self.runs[run.task, run.run]
        self._record_run(run, boot_s() if at is None else at)
        self.last_ending_number += 1
        self.endings.append(
            RunEnding(self.last_ending_number, run.task, run.run, result, run.saved)
        )
        self._signal()

    def _record_run(self, run: ModelRun, ended: float) -> None:
        self.history.append((run.task, run.run, self.began[run.task, run.run], ended))

    def check_fence(self, fence: FenceToken) -> None:
        self.process_due()
        if fence < self.fence:
            raise ExecutorFenced("a higher fencing token was used")
        self.fence = fence

    def extend_leases(self, deadline_ms: int) -> None:
        """Extend the lease of all runs to a time on this incarnation's clock."""
        asked = self.started_at + deadline_ms / 1000
        self.deadline = max(self.deadline, min(asked, boot_s() + HOLD_MAX_S))

    def hold(self, fence: FenceToken, acknowledged: int, deadline_ms: int | None) -> None:
        """Extend the leases and forget acknowledged endings."""
        self.check_fence(fence)
        if deadline_ms is not None:
            self.extend_leases(deadline_ms)
        forgotten = [ending for ending in self.endings if ending.number <= acknowledged]
        self.unseen += [ending for ending in forgotten if ending.number > self.listed_ending]
        self.endings = [ending for ending in self.endings if ending.number > acknowledged]

    def list_endings(self) -> tuple[RunEnding, ...]:
        """Return the endings that one answer lists."""
        listed = tuple(islice(self.endings, self.behaviour.listed_endings))
        self.listed_ending = max([self.listed_ending, *(ending.number for ending in listed)])
        return listed

    def start(self, call: StartCall, fence: FenceToken) -> StartAnswer:
        self.check_fence(fence)
        name = (call.task, call.run)
        if name in self.runs:
            return StartAnswer.STARTED
        if call.run <= self.highest_blocked_run.get(call.task, 0):
            self.extend_leases(call.deadline_ms)
            return StartAnswer.REFUSED
        if self.started_at + call.deadline_ms / 1000 <= boot_s():
            return StartAnswer.REFUSED
        self.extend_leases(call.deadline_ms)
        size = self.behaviour.sizes.get(str(call.task).rsplit(".", 1)[0], Size(1000, 100, 0))
        used = sum((run.size for run in self.runs.values()), Size())
        fits = (used + size).fits_in(self.capacity)
        if not fits and self.guards_capacity:
            self.overcommitted = True
            return StartAnswer.UNFIT
        if not fits:
            self.over_capacity_at.append(boot_s())
        fails = call.task in self.behaviour.failing
        result = RunResult.FAILED if fails else RunResult.DONE
        done_s = float(call.saved) if call.saved and self.behaviour.checkpoint_s else 0.0
        self.resumed_s.append(done_s)
        ends_at = boot_s() + self.behaviour.seconds_of(call.task) - done_s
        started = ModelRun(call.task, call.run, ends_at, result, size, saved=call.saved)
        if self.behaviour.is_deadly(call.task):
            started.crashes_at = boot_s() + self.behaviour.deadly_after_s
            self._signal()
        self.runs[name] = started
        self.began[name] = boot_s()
        self.starts.append((call.task, boot_s()))
        self.highest_blocked_run[call.task] = max(
            call.run, self.highest_blocked_run.get(call.task, 0)
        )
        return StartAnswer.STARTED

    def stop(self, task: TaskId, run: int, fence: FenceToken) -> None:
        self.check_fence(fence)
        self.highest_blocked_run[task] = max(run, self.highest_blocked_run.get(task, 0))
        found = self.runs.get((task, run))
        if found is not None and found.result is not RunResult.STOPPED:
            done_s = self._done_s(found, boot_s())
            found.saved = str(done_s) if self.behaviour.checkpoint_s else f"saved-{run}"
            found.result = RunResult.STOPPED
            found.ends_at = boot_s() + STOP_DELAY_S


class ModelExecutor:
    """Client of one incarnation of a model; implements `apricotpath.executor.Executor`.

    A call that is open when the executor crashes ends without an answer. Once another
    incarnation with another id is there, it refuses the calls that are meant for this one;
    one with the same id carries them out.

    `unanswered_share` is the share of orders without an answer, which take effect up to
    `late_s` later, and `unanswered_renewals` that of renewals. Another incarnation carries
    them out `late_after_restart_s` after its start at the earliest. With `unresponsive` set, no
    call is answered; calls that are made meanwhile have no effect.
    """

    def __init__(self, model: ExecutorModel, group: anyio.abc.TaskGroup, seed: int = 0) -> None:
        self.model = model
        self.instance, self.born_ms = model.instance, model.born_ms
        self.unanswered_share = 0.0
        self.unanswered_renewals = 0.0
        self.late_s = 12.0
        self.late_after_restart_s = 0.0
        self.unresponsive = False
        self._group = group
        self._rng = random.Random(seed)

    async def _wait_for_answer(self) -> None:
        await anyio.sleep(ANSWER_DELAY_S)
        if self.model.is_shut_down:
            raise ExecutorUnreachable("the connection was refused")
        if self.model.is_down and not self.model.is_silent:
            raise ExecutorUnreachable("the connection was refused")
        if self.unresponsive or self.model.is_down:
            await self._time_out()
        if self._is_gone():
            raise ExecutorReplaced("the executor has restarted")

    def _is_gone(self) -> bool:
        """Tell whether the incarnation has ended; one that kept its id is not told apart."""
        model = self.model
        return model.is_shut_down or model.is_down or model.instance != self.instance

    async def renew_lease(
        self, fence: FenceToken, acknowledged: int, deadline_ms: int | None, wait_s: float
    ) -> ExecutorReport:
        await self._wait_for_answer()
        model = self.model
        if self.unanswered_renewals and self._rng.random() < self.unanswered_renewals:
            self._group.start_soon(self._execute_late, model.hold, fence, acknowledged, deadline_ms)
            await self._time_out()
        model.hold(fence, acknowledged, deadline_ms)
        born_ms = model.born_ms
        ends_at = boot_s() + wait_s
        # Like a real executor, it waits for an end only while it has none to list.
        while boot_s() < ends_at and not model.endings:
            model.process_due()
            if self._is_gone() or model.born_ms != born_ms:
                await self._lose_connection()
            due = [min(run.ends_at, run.crashes_at) for run in model.runs.values()]
            soonest = min(due, default=ends_at)
            changed = model.changed
            with anyio.move_on_after(max(0.001, min(soonest, ends_at) - boot_s())):
                await changed.wait()
            model.process_due()
        if self._is_gone() or model.born_ms != born_ms:
            await self._lose_connection()
        return ExecutorReport(
            model.clock_ms(),
            model.born_ms,
            tuple(
                RunStatus(run.task, run.run, run.saved, model.percent(run), run.load)
                for run in model.runs.values()
                if run.task not in model.behaviour.unreadable
            ),
            model.list_endings(),
            not model.behaviour.unreadable and len(model.endings) <= model.behaviour.listed_endings,
        )

    async def start(self, call: StartCall, fence: FenceToken) -> StartAnswer:
        await self._wait_for_answer()
        if self._rng.random() < self.unanswered_share:
            self._group.start_soon(self._execute_late, self.model.start, call, fence)
            await self._time_out()
        return self.model.start(call, fence)

    async def stop(self, task: TaskId, run: int, fence: FenceToken) -> None:
        await self._wait_for_answer()
        if self._rng.random() < self.unanswered_share:
            self._group.start_soon(self._execute_late, self.model.stop, task, run, fence)
            await self._time_out()
        self.model.stop(task, run, fence)

    async def _lose_connection(self) -> None:
        if self.model.is_silent:
            await self._time_out()
        raise ExecutorDisconnected("the connection ended without an answer")

    async def _time_out(self) -> None:
        await anyio.sleep(CALL_TIMEOUT_S)
        raise ExecutorUnavailable("no answer")

    async def _execute_late(self, execute: object, *args: object) -> None:
        await anyio.sleep(self._rng.uniform(2.0, self.late_s))
        await self._execute(execute, *args)

    async def _execute(self, execute: object, *args: object) -> None:
        """Carry out a call that nobody waits for, if an executor with this id is there."""
        while self.model.born_ms != self.born_ms:
            ready_at = self.model.started_at + self.late_after_restart_s
            if boot_s() >= ready_at:
                break
            await anyio.sleep_until(ready_at)
        if self._is_gone():
            return
        try:
            execute(*args)  # type: ignore[operator]
        except ExecutorFenced:
            return

    async def pace(self, task: TaskId, run: int, percent: int, fence: FenceToken) -> None:
        await self._wait_for_answer()
        self.model.check_fence(fence)
        found = self.model.runs.get((task, run))
        if found is not None:
            found.pace = percent
