"""Stand-in for the platform's worker: simulates tasks under leases, over HTTP JSON."""

import argparse
import json
import signal
import time
import uuid
from collections.abc import Callable
from dataclasses import asdict, dataclass, field, fields
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import httpx
from hypercorn.asyncio import serve
from hypercorn.config import Config

from apricotpath.ids import TaskId
from apricotpath.model import Outcome, RunState, Size
from apricotpath.worker import (
    REFUSED_STATUS,
    StartOrder,
    WorkerStatus,
    WorkerTask,
    from_json_value,
    to_json_value,
)
from apricotpathd.asgi import JSON, Receive, Scope, Send, body_headers, read_body, serve_lifespan

AttemptKey = tuple[TaskId, int]

# A served stand-in advances its simulated time this often, which keeps its record current.
SYNC_INTERVAL_S = 0.1
NEVER_MS = float("inf")
# A task with this command fails when it has run to its end.
FAILING_COMMAND = "false"


class Refusal(Exception):
    """The worker refuses a call; the call has no effect."""


@dataclass(slots=True)
class Faults:
    """Fault switches; times in seconds.

    `lose_answers` is the number of answers that are still to be lost, although their
    calls take effect; a negative number loses all. `lose_calls`, if not empty, limits
    this to the calls named there. `size_factor` is measured usage over declared size.
    """

    refuse_starts: bool = False
    fail_all: bool = False
    slow_stop_s: float = 0.0
    ignore_stop: bool = False
    lose_answers: int = 0
    lose_calls: tuple[str, ...] = ()
    checkpoint_fails: bool = False
    slow_checkpoint_s: float = 0.0
    size_factor: float = 1.0


@dataclass(frozen=True, slots=True)
class StandInSettings:
    """Size and behaviour of a stand-in worker; times in seconds.

    `slowdown[a][b]` divides the speed of a task of activity `a` for each running task of
    activity `b`. A task is killed `kill_delay_s` after its lease has expired. A record
    line for each start and end is appended to the file `record`.
    """

    size: Size
    slowdown: dict[str, dict[str, float]] = field(default_factory=dict)
    usage_lag_s: float = 1.0
    kill_delay_s: float = 0.5
    stop_s: float = 0.05
    record: Path | None = None


@dataclass(slots=True)
class Run:
    """One attempt of a task; times in ms on the worker's clock."""

    order: StartOrder
    started_ms: float
    deadline_ms: float
    progress: float
    share: float = 1.0
    checkpoint: str = ""
    checkpoints: int = 0
    writing_until_ms: float = NEVER_MS
    writing_progress: float = 0.0
    stop_at_ms: float = NEVER_MS
    stop_outcome: Outcome | None = None
    outcome: Outcome | None = None
    ended_ms: float = 0.0
    reason: str = ""

    @property
    def live(self) -> bool:
        """Whether the attempt is still running."""
        return self.outcome is None

    @property
    def state(self) -> RunState:
        """State that the worker reports."""
        if self.outcome is not None:
            return RunState.ENDED
        if self.stop_outcome is not None:
            return RunState.STOPPING
        return RunState.THROTTLED if self.share < 1.0 else RunState.RUNNING


def checkpoint_id(attempt: int, number: int, progress: float) -> str:
    """Return a checkpoint id that contains the progress, so that any worker can resume from it."""
    return f"{attempt:06d}.{number:06d}@{progress:.9f}"


def checkpoint_progress(checkpoint: str) -> float:
    """Return the progress in a checkpoint id, 0.0 for an empty id."""
    return float(checkpoint.partition("@")[2]) if checkpoint else 0.0


class WorkerModel:
    """Simulated worker; `clock` is monotonic and returns seconds.

    Each call first advances the simulated time, from event to event. So tasks end
    and are killed at their exact times without a background task.
    """

    def __init__(
        self,
        cfg: StandInSettings,
        clock: Callable[[], float],
        unix_time: Callable[[], float] = time.time,
    ) -> None:
        self.cfg = cfg
        self.faults = Faults()
        self.boot = uuid.uuid4().hex
        self.runs: dict[AttemptKey, Run] = {}
        self.last_attempts: dict[TaskId, int] = {}
        self.history: list[Run] = []
        self.declared_sums: list[tuple[float, Size]] = []
        self.peak = Size()
        self._clock = clock
        self._origin = clock()
        self._unix_origin = unix_time()
        self._now_ms = 0.0
        self._usage: list[tuple[float, dict[AttemptKey, Size]]] = []

    # Time.

    def clock_ms(self) -> float:
        """Return the worker's monotonic clock in ms."""
        return (self._clock() - self._origin) * 1000.0

    def sync(self) -> None:
        """Advance all tasks to the current time."""
        target = self.clock_ms()
        while True:
            at, run, apply = self._next_event()
            if run is None or apply is None or at > target:
                break
            self._advance(at)
            apply(run)
        self._advance(target)

    def _advance(self, to_ms: float) -> None:
        elapsed = max(0.0, to_ms - self._now_ms)
        for run in self._live_runs():
            run.progress = min(1.0, run.progress + elapsed * self._speed(run))
        self._now_ms = max(self._now_ms, to_ms)

    def _speed(self, run: Run) -> float:
        """Return the progress per ms at the current throttle and interference."""
        divisor = 1.0
        table = self.cfg.slowdown.get(run.order.activity, {})
        for other in self._live_runs():
            if other is not run:
                divisor *= table.get(other.order.activity, 1.0)
        return run.share / (divisor * max(run.order.run_time_s, 0.001) * 1000.0)

    def _live_runs(self) -> list[Run]:
        return [run for run in self.runs.values() if run.live]

    def _next_event(self) -> tuple[float, Run | None, Callable[[Run], None] | None]:
        best: tuple[float, Run | None, Callable[[Run], None] | None] = (NEVER_MS, None, None)
        for run in self._live_runs():
            speed = self._speed(run)
            finish = self._now_ms + (1.0 - run.progress) / speed if speed > 0 else NEVER_MS
            kill = run.deadline_ms + self.cfg.kill_delay_s * 1000.0
            for at, apply in (
                (run.writing_until_ms, self._on_checkpoint_written),
                (run.stop_at_ms, self._on_stopped),
                (kill, self._on_lease_expired),
                (finish, self._on_finished),
            ):
                if at < best[0]:
                    best = (at, run, apply)
        return best

    def _on_finished(self, run: Run) -> None:
        failed = run.order.command == FAILING_COMMAND
        run.progress = 1.0
        self._end_run(
            run, Outcome.FAILED if failed else Outcome.FINISHED, "exit 1" if failed else ""
        )

    def _on_lease_expired(self, run: Run) -> None:
        self._end_run(run, Outcome.LEASE_EXPIRED, "the lease ended")

    def _on_stopped(self, run: Run) -> None:
        self._end_run(run, run.stop_outcome or Outcome.STOPPED, "stopped")

    def _on_checkpoint_written(self, run: Run) -> None:
        run.writing_until_ms = NEVER_MS
        run.checkpoints += 1
        run.checkpoint = checkpoint_id(run.order.attempt, run.checkpoints, run.writing_progress)

    def _end_run(self, run: Run, outcome: Outcome, reason: str) -> None:
        run.outcome, run.reason, run.ended_ms = outcome, reason, self._now_ms
        self._record_declared()
        self._write_record({"event": "end", **self.describe(run)})

    # Calls.

    def status(self) -> WorkerStatus:
        """Return the clock, size, usage and all tasks that are not forgotten yet."""
        self.sync()
        usage = self._lagged_usage()
        total = sum(usage.values(), Size())
        tasks = tuple(self._task_status(key, run, usage) for key, run in self.runs.items())
        return WorkerStatus(self.boot, int(self._now_ms), self.cfg.size, total, tasks)

    def start(self, order: StartOrder) -> WorkerTask:
        """Start an attempt, or return the one that was started before; raises Refusal."""
        self.sync()
        key = (order.task, order.attempt)
        if key not in self.runs:
            self._check_start(order)
            run = Run(order, self._now_ms, order.deadline_ms, checkpoint_progress(order.checkpoint))
            run.checkpoint = order.checkpoint
            self.last_attempts[order.task] = order.attempt
            self.runs[key] = run
            self.history.append(run)
            self._record_declared()
            self._write_record({"event": "start", **self.describe(run)})
            if self.faults.fail_all:
                self._end_run(run, Outcome.FAILED, "every task fails on this worker")
        return self._task_status(key, self.runs[key], {})

    def _check_start(self, order: StartOrder) -> None:
        if self.faults.refuse_starts:
            raise Refusal("this worker refuses every start")
        if order.boot and order.boot != self.boot:
            raise Refusal("the order is for another boot of this worker")
        if self._now_ms > order.start_by_ms or self._now_ms >= order.deadline_ms:
            raise Refusal("the start is late")
        if order.attempt <= self.last_attempts.get(order.task, -1):
            raise Refusal("a later attempt of the task is known, or this one has been forgotten")
        if any(run.order.task == order.task for run in self._live_runs()):
            raise Refusal("an earlier attempt of the task still runs")
        if not (self.declared() + order.size).fits_in(self.cfg.size):
            raise Refusal("the size does not fit")

    def renew(self, task: TaskId, attempt: int, deadline_ms: int) -> WorkerTask:
        """Extend the lease of an attempt; raises Refusal if it is unknown or has expired."""
        key, run = self._find_run(task, attempt)
        if run.live:
            if self._now_ms >= run.deadline_ms:
                raise Refusal("the lease has ended")
            run.deadline_ms = deadline_ms
        return self._task_status(key, run, {})

    def begin_checkpoint(self, task: TaskId, attempt: int) -> float:
        """Begin a checkpoint or join the one in progress; return the seconds until its end."""
        _, run = self._find_run(task, attempt)
        if not run.live:
            return 0.0
        if self.faults.checkpoint_fails:
            raise Refusal("the checkpoint failed")
        if run.writing_until_ms == NEVER_MS:
            duration_s = run.order.checkpoint_s + self.faults.slow_checkpoint_s
            run.writing_progress = run.progress
            run.writing_until_ms = self._now_ms + duration_s * 1000.0
        return (run.writing_until_ms - self._now_ms) / 1000.0

    def throttle(self, task: TaskId, attempt: int, share: float) -> WorkerTask:
        """Limit an attempt to a share of its processors, from 0 to 1."""
        key, run = self._find_run(task, attempt)
        if not 0.0 <= share <= 1.0:
            raise Refusal("the share is outside 0 to 1")
        run.share = share
        self._record_usage()
        return self._task_status(key, run, {})

    def stop(self, task: TaskId, attempt: int, outcome: Outcome) -> WorkerTask:
        """Ask an attempt to stop; repeated calls do not restart the delay."""
        key, run = self._find_run(task, attempt)
        if run.live and run.stop_outcome is None:
            run.stop_outcome = outcome
            if not self.faults.ignore_stop:
                wait = self.cfg.stop_s + self.faults.slow_stop_s
                run.stop_at_ms = self._now_ms + wait * 1000.0
        return self._task_status(key, run, {})

    def forget(self, task: TaskId, attempt: int) -> None:
        """Remove an ended attempt, if it exists; raises Refusal if it is running."""
        self.sync()
        run = self.runs.get((task, attempt))
        if run is not None and run.live:
            raise Refusal("the attempt has not ended")
        self.runs.pop((task, attempt), None)

    def task(self, task: TaskId, attempt: int) -> WorkerTask:
        """Return one attempt; raises Refusal if it does not exist."""
        key, run = self._find_run(task, attempt)
        return self._task_status(key, run, {})

    def reboot(self) -> None:
        """Fail all tasks, forget all state and restart the clock, as a crashed worker does."""
        self.sync()
        for run in self._live_runs():
            self._end_run(run, Outcome.FAILED, "the worker restarted")
        offset = self._now_ms
        for run in self.history:
            run.started_ms, run.ended_ms = run.started_ms - offset, run.ended_ms - offset
        self.declared_sums = [(at - offset, size) for at, size in self.declared_sums]
        self._unix_origin += offset / 1000.0
        self.boot, self._origin, self._now_ms = uuid.uuid4().hex, self._clock(), 0.0
        self.runs, self.last_attempts, self._usage = {}, {}, []

    def _find_run(self, task: TaskId, attempt: int) -> tuple[AttemptKey, Run]:
        self.sync()
        run = self.runs.get((task, attempt))
        if run is None:
            raise Refusal("the attempt is not known")
        return (task, attempt), run

    def _task_status(self, key: AttemptKey, run: Run, usage: dict[AttemptKey, Size]) -> WorkerTask:
        order = run.order
        return WorkerTask(
            order.task,
            order.attempt,
            order.shard,
            order.epoch,
            order.team,
            order.activity,
            order.task_class,
            run.state,
            order.size,
            usage.get(key, Size()),
            int(run.deadline_ms),
            run.checkpoint,
            run.progress,
            run.outcome,
            run.reason,
            order.checkpoint_s,
            run.share,
        )

    # Usage and record.

    def declared(self) -> Size:
        """Return the sum of the declared sizes of all running tasks."""
        return sum((run.order.size for run in self._live_runs()), Size())

    def _record_declared(self) -> None:
        total = self.declared()
        self.declared_sums.append((self._now_ms, total))
        peak = self.peak
        self.peak = Size(
            max(peak.cpu_milli, total.cpu_milli),
            max(peak.memory_mb, total.memory_mb),
            max(peak.accelerators, total.accelerators),
        )
        self._record_usage()

    def _record_usage(self) -> None:
        factor = self.faults.size_factor
        rows = {
            key: Size(
                int(run.order.size.cpu_milli * factor * run.share),
                int(run.order.size.memory_mb * factor),
                run.order.size.accelerators,
            )
            for key, run in self.runs.items()
            if run.live
        }
        self._usage.append((self._now_ms, rows))
        limit = self._now_ms - self.cfg.usage_lag_s * 1000.0
        while len(self._usage) > 1 and self._usage[1][0] <= limit:
            del self._usage[0]

    def _lagged_usage(self) -> dict[AttemptKey, Size]:
        limit = self._now_ms - self.cfg.usage_lag_s * 1000.0
        old_enough = [rows for at, rows in self._usage if at <= limit]
        return old_enough[-1] if old_enough else {}

    def activities(self) -> dict[str, float]:
        """Return the number of running tasks by activity, weighted by their throttle shares."""
        weights: dict[str, float] = {}
        for run in self._live_runs():
            weights[run.order.activity] = weights.get(run.order.activity, 0.0) + run.share
        return weights

    def describe(self, run: Run) -> dict[str, Any]:
        """Return the record of one attempt; unix times in seconds."""
        ended = None if run.live else run.ended_ms
        return {
            "task": run.order.task,
            "attempt": run.order.attempt,
            "team": run.order.team,
            "activity": run.order.activity,
            "run_time_s": run.order.run_time_s,
            "cpu_milli": run.order.size.cpu_milli,
            "start_ms": run.started_ms,
            "end_ms": ended,
            "started_at": self._unix_origin + run.started_ms / 1000.0,
            "ended_at": None if ended is None else self._unix_origin + ended / 1000.0,
            "resumed_from": run.order.checkpoint,
            "checkpoint": run.checkpoint,
            "progress": run.progress,
            "outcome": run.outcome.value if run.outcome else None,
        }

    def record(self) -> dict[str, Any]:
        """Return all attempts, and the sum of declared sizes over time with its maximum."""
        self.sync()
        return {
            "boot": self.boot,
            "clock_ms": self._now_ms,
            "size": asdict(self.cfg.size),
            "runs": [self.describe(run) for run in self.history],
            "sums": [{"ms": at, **asdict(size)} for at, size in self.declared_sums],
            "max": asdict(self.peak),
        }

    def _write_record(self, line: dict[str, Any]) -> None:
        if self.cfg.record is not None:
            with self.cfg.record.open("a", encoding="utf-8") as out:
                out.write(json.dumps({**line, "declared": asdict(self.declared())}) + "\n")


class WorkerApp:
    """ASGI application over a WorkerModel."""

    def __init__(self, model: WorkerModel) -> None:
        self.model = model

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        body = await read_body(receive)
        try:
            status, answer = 200, await self._handle(scope["method"], scope["path"], body)
        except Refusal as exc:
            status, answer = REFUSED_STATUS, {"error": str(exc)}
        except (ValueError, KeyError, TypeError) as exc:
            status, answer = 400, {"error": f"malformed call: {exc}"}
        content = json.dumps({"clock_ms": int(self.model.clock_ms()), **answer}).encode()
        headers = body_headers(JSON, len(content))
        await send({"type": "http.response.start", "status": status, "headers": headers})
        # A body shorter than its declared length makes the server close the connection.
        lost = self._loses_answer(scope["path"])
        await send({"type": "http.response.body", "body": b"" if lost else content})

    def _loses_answer(self, path: str) -> bool:
        faults = self.model.faults
        call = path.strip("/")
        if call in ("faults", "record") or faults.lose_answers == 0:
            return False
        if faults.lose_calls and call not in faults.lose_calls:
            return False
        faults.lose_answers -= 1
        return True

    async def _handle(self, method: str, path: str, body: bytes) -> dict[str, Any]:
        if method == "GET":
            return self._handle_read(path)
        call = json.loads(body)
        if path == "/faults":
            return self._set_faults(call)
        if path == "/start":
            return {"task": to_json_value(self.model.start(from_json_value(StartOrder, call)))}
        task, attempt = TaskId(call["task"]), int(call["attempt"])
        if path == "/forget":
            self.model.forget(task, attempt)
            return {}
        if path == "/checkpoint":
            return {"task": to_json_value(await self._checkpoint(task, attempt))}
        commands: dict[str, Callable[[], WorkerTask]] = {
            "/renew": lambda: self.model.renew(task, attempt, int(call["deadline_ms"])),
            "/throttle": lambda: self.model.throttle(task, attempt, float(call["share"])),
            "/stop": lambda: self.model.stop(task, attempt, Outcome(call["outcome"])),
        }
        return {"task": to_json_value(commands[path]())}

    def _handle_read(self, path: str) -> dict[str, Any]:
        if path == "/record":
            return self.model.record()
        if path == "/tasks":
            plain: dict[str, Any] = to_json_value(self.model.status())
            return plain
        raise KeyError(path)

    def _set_faults(self, changes: dict[str, Any]) -> dict[str, Any]:
        self.model.sync()
        fault_names = {item.name for item in fields(Faults)}
        if unknown := set(changes) - fault_names:
            raise ValueError(f"unknown faults {sorted(unknown)}")
        for name, value in changes.items():
            setattr(self.model.faults, name, tuple(value) if isinstance(value, list) else value)
        self.model._record_usage()
        return asdict(self.model.faults)

    async def _checkpoint(self, task: TaskId, attempt: int) -> WorkerTask:
        wait = self.model.begin_checkpoint(task, attempt)
        before = self.model.task(task, attempt)
        while wait > 0:
            await anyio.sleep(wait)
            now = self.model.task(task, attempt)
            if now.outcome is not None or now.checkpoint != before.checkpoint:
                break
            # Because of rounding, the sleep may end just before the write does.
            wait = 0.001
        return self.model.task(task, attempt)


async def post_activities(model: WorkerModel, url: str) -> None:
    """Post the running activities to the host's backend server stand-in on every change."""
    last_posted: dict[str, float] | None = None
    async with httpx.AsyncClient(timeout=1.0, trust_env=False) as client:
        while True:
            current = model.activities()
            if current != last_posted:
                try:
                    await client.post(f"{url}/neighbours", json=current)
                    last_posted = current
                except httpx.HTTPError:
                    last_posted = None
            await anyio.sleep(SYNC_INTERVAL_S)


async def run(host: str, port: int, cfg: StandInSettings, neighbour: str = "") -> None:
    """Serve a stand-in worker until SIGTERM or SIGINT."""
    model = WorkerModel(cfg, time.monotonic)
    config = Config()
    config.bind = [f"{host}:{port}"]
    config.accesslog = None
    stop = anyio.Event()

    async def watch_signals() -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                stop.set()
                return

    async def sync_forever() -> None:
        while True:
            model.sync()
            await anyio.sleep(SYNC_INTERVAL_S)

    async with anyio.create_task_group() as group:
        group.start_soon(watch_signals)
        group.start_soon(sync_forever)
        if neighbour:
            group.start_soon(post_activities, model, neighbour)
        app: Any = WorkerApp(model)
        await serve(app, config, shutdown_trigger=stop.wait)
        group.cancel_scope.cancel()


def main(argv: list[str] | None = None) -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(prog="apricotpath_bench.workerstandin", description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--cpu-milli", type=int, default=16000)
    parser.add_argument("--memory-mb", type=int, default=60000)
    parser.add_argument("--accelerators", type=int, default=0)
    parser.add_argument("--slowdown", type=json.loads, default={}, help="JSON: a -> b -> factor")
    parser.add_argument("--usage-lag-s", type=float, default=1.0)
    parser.add_argument("--record", type=Path, help="file that gets one JSON line per start or end")
    parser.add_argument("--neighbour", default="", help="URL of the host's backend server")
    args = parser.parse_args(argv)
    size = Size(args.cpu_milli, args.memory_mb, args.accelerators)
    cfg = StandInSettings(size, args.slowdown, args.usage_lag_s, record=args.record)
    anyio.run(partial(run, args.host, args.port, cfg, args.neighbour), backend="asyncio")


if __name__ == "__main__":
    main()
