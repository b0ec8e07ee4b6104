"""Stand-in of the platform's worker: runs simulated tasks under leases, over HTTP JSON."""

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

Key = tuple[TaskId, int]

# Simulated time is advanced this often in a process, so that its record is current.
SYNC_S = 0.1
NEVER_MS = float("inf")
# A task with this command runs to its end and then fails.
FAILING_COMMAND = "false"


class Refusal(Exception):
    """The worker refuses a call, which then has no effect."""


@dataclass(slots=True)
class Faults:
    """Fault switches; times in seconds.

    `lose_answers` is how many answers are still lost after their calls took
    effect (negative: all); `lose_calls` limits this to the named calls.
    `size_factor` is measured usage over declared size.
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

    `slowdown[a][b]` divides the speed of activity `a` for each task of activity
    `b` beside it. `kill_delay_s` passes between a lease's end and the kill.
    """

    size: Size
    slowdown: dict[str, dict[str, float]] = field(default_factory=dict)
    usage_lag_s: float = 1.0
    kill_delay_s: float = 0.5
    stop_s: float = 0.05
    record: Path | None = None


@dataclass(slots=True)
class Run:
    """One attempt; times in ms on the worker's clock."""

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
        """Whether the attempt still runs."""
        return self.outcome is None

    @property
    def state(self) -> RunState:
        """State as the worker reports it."""
        if self.outcome is not None:
            return RunState.ENDED
        if self.stop_outcome is not None:
            return RunState.STOPPING
        return RunState.THROTTLED if self.share < 1.0 else RunState.RUNNING


def checkpoint_id(attempt: int, number: int, progress: float) -> str:
    """Return an id that carries its progress, so that any worker can resume from it."""
    return f"{attempt:06d}.{number:06d}@{progress:.9f}"


def checkpoint_progress(checkpoint: str) -> float:
    """Return the progress that a checkpoint holds; 0.0 for an empty id."""
    return float(checkpoint.partition("@")[2]) if checkpoint else 0.0


class WorkerModel:
    """The simulated worker; `clock` returns seconds and never goes back.

    Time is advanced from event to event when a call comes in, so ends and
    kills happen at their exact times without a background task.
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
        self.runs: dict[Key, Run] = {}
        self.highest: dict[TaskId, int] = {}
        self.history: list[Run] = []
        self.sums: list[tuple[float, Size]] = []
        self.peak = Size()
        self._clock = clock
        self._origin = clock()
        self._unix_origin = unix_time()
        self._now_ms = 0.0
        self._usage: list[tuple[float, dict[Key, Size]]] = []

    # Time.

    def clock_ms(self) -> float:
        """Return the worker's monotonic clock in ms."""
        return (self._clock() - self._origin) * 1000.0

    def sync(self) -> None:
        """Advance all tasks to the present."""
        target = self.clock_ms()
        while True:
            at, run, act = self._next_event()
            if run is None or act is None or at > target:
                break
            self._advance(at)
            act(run)
        self._advance(target)

    def _advance(self, to_ms: float) -> None:
        elapsed = max(0.0, to_ms - self._now_ms)
        for run in self._live():
            run.progress = min(1.0, run.progress + elapsed * self._speed(run))
        self._now_ms = max(self._now_ms, to_ms)

    def _speed(self, run: Run) -> float:
        """Return the progress per ms at the present throttle and interference."""
        slow = 1.0
        table = self.cfg.slowdown.get(run.order.activity, {})
        for other in self._live():
            if other is not run:
                slow *= table.get(other.order.activity, 1.0)
        return run.share / (slow * max(run.order.run_time_s, 0.001) * 1000.0)

    def _live(self) -> list[Run]:
        return [run for run in self.runs.values() if run.live]

    def _next_event(self) -> tuple[float, Run | None, Callable[[Run], None] | None]:
        best: tuple[float, Run | None, Callable[[Run], None] | None] = (NEVER_MS, None, None)
        for run in self._live():
            speed = self._speed(run)
            finish = self._now_ms + (1.0 - run.progress) / speed if speed > 0 else NEVER_MS
            kill = run.deadline_ms + self.cfg.kill_delay_s * 1000.0
            for at, act in (
                (run.writing_until_ms, self._written),
                (run.stop_at_ms, self._stopped),
                (kill, self._killed),
                (finish, self._finished),
            ):
                if at < best[0]:
                    best = (at, run, act)
        return best

    def _finished(self, run: Run) -> None:
        failed = run.order.command == FAILING_COMMAND
        run.progress = 1.0
        self._end(run, Outcome.FAILED if failed else Outcome.FINISHED, "exit 1" if failed else "")

    def _killed(self, run: Run) -> None:
        self._end(run, Outcome.LEASE_EXPIRED, "the lease ended")

    def _stopped(self, run: Run) -> None:
        self._end(run, run.stop_outcome or Outcome.STOPPED, "stopped")

    def _written(self, run: Run) -> None:
        run.writing_until_ms = NEVER_MS
        run.checkpoints += 1
        run.checkpoint = checkpoint_id(run.order.attempt, run.checkpoints, run.writing_progress)

    def _end(self, run: Run, outcome: Outcome, reason: str) -> None:
        run.outcome, run.reason, run.ended_ms = outcome, reason, self._now_ms
        self._count()
        self._append({"event": "end", **self.describe(run)})

    # Calls.

    def status(self) -> WorkerStatus:
        """Return the clock, size, usage and all tasks not yet forgotten."""
        self.sync()
        usage = self._lagged_usage()
        total = sum(usage.values(), Size())
        tasks = tuple(self._task(key, run, usage) for key, run in self.runs.items())
        return WorkerStatus(self.boot, int(self._now_ms), self.cfg.size, total, tasks)

    def start(self, order: StartOrder) -> WorkerTask:
        """Start an attempt, or return it if it is known; raises Refusal."""
        self.sync()
        key = (order.task, order.attempt)
        if key not in self.runs:
            self._check_start(order)
            run = Run(order, self._now_ms, order.deadline_ms, checkpoint_progress(order.checkpoint))
            run.checkpoint = order.checkpoint
            self.highest[order.task] = order.attempt
            self.runs[key] = run
            self.history.append(run)
            self._count()
            self._append({"event": "start", **self.describe(run)})
            if self.faults.fail_all:
                self._end(run, Outcome.FAILED, "every task fails on this worker")
        return self._task(key, self.runs[key], {})

    def _check_start(self, order: StartOrder) -> None:
        if self.faults.refuse_starts:
            raise Refusal("this worker refuses every start")
        if order.boot and order.boot != self.boot:
            raise Refusal("the order is for another boot of this worker")
        if self._now_ms > order.start_by_ms or self._now_ms >= order.deadline_ms:
            raise Refusal("the start is late")
        if order.attempt <= self.highest.get(order.task, -1):
            raise Refusal("a later attempt of the task is known, or this one has been forgotten")
        if any(run.order.task == order.task for run in self._live()):
            raise Refusal("an earlier attempt of the task still runs")
        if not (self.declared() + order.size).fits_in(self.cfg.size):
            raise Refusal("the size does not fit")

    def renew(self, task: TaskId, attempt: int, deadline_ms: int) -> WorkerTask:
        """Move a deadline; raises Refusal if the attempt does not run."""
        key, run = self._find(task, attempt)
        if run.live:
            if self._now_ms >= run.deadline_ms:
                raise Refusal("the lease has ended")
            run.deadline_ms = deadline_ms
        return self._task(key, run, {})

    def begin_checkpoint(self, task: TaskId, attempt: int) -> float:
        """Begin or join a checkpoint; return the seconds until it is written."""
        _, run = self._find(task, attempt)
        if not run.live:
            return 0.0
        if self.faults.checkpoint_fails:
            raise Refusal("the checkpoint failed")
        if run.writing_until_ms == NEVER_MS:
            took = run.order.checkpoint_s + self.faults.slow_checkpoint_s
            run.writing_progress = run.progress
            run.writing_until_ms = self._now_ms + took * 1000.0
        return (run.writing_until_ms - self._now_ms) / 1000.0

    def throttle(self, task: TaskId, attempt: int, share: float) -> WorkerTask:
        """Limit an attempt to a share of its processors."""
        key, run = self._find(task, attempt)
        if not 0.0 <= share <= 1.0:
            raise Refusal("the share is outside 0 to 1")
        run.share = share
        self._note_usage()
        return self._task(key, run, {})

    def stop(self, task: TaskId, attempt: int, outcome: Outcome) -> WorkerTask:
        """Ask an attempt to stop; repeats do not restart the wait."""
        key, run = self._find(task, attempt)
        if run.live and run.stop_outcome is None:
            run.stop_outcome = outcome
            if not self.faults.ignore_stop:
                wait = self.cfg.stop_s + self.faults.slow_stop_s
                run.stop_at_ms = self._now_ms + wait * 1000.0
        return self._task(key, run, {})

    def forget(self, task: TaskId, attempt: int) -> None:
        """Drop an ended attempt, if it is known."""
        self.sync()
        run = self.runs.get((task, attempt))
        if run is not None and run.live:
            raise Refusal("the attempt has not ended")
        self.runs.pop((task, attempt), None)

    def task(self, task: TaskId, attempt: int) -> WorkerTask:
        """Return one attempt; raises Refusal if it is not known."""
        key, run = self._find(task, attempt)
        return self._task(key, run, {})

    def reboot(self) -> None:
        """Lose every task and all memory, and restart the clock."""
        self.sync()
        for run in self._live():
            self._end(run, Outcome.FAILED, "the worker restarted")
        offset = self._now_ms
        for run in self.history:
            run.started_ms, run.ended_ms = run.started_ms - offset, run.ended_ms - offset
        self.sums = [(at - offset, size) for at, size in self.sums]
        self._unix_origin += offset / 1000.0
        self.boot, self._origin, self._now_ms = uuid.uuid4().hex, self._clock(), 0.0
        self.runs, self.highest, self._usage = {}, {}, []

    def _find(self, task: TaskId, attempt: int) -> tuple[Key, Run]:
        self.sync()
        run = self.runs.get((task, attempt))
        if run is None:
            raise Refusal("the attempt is not known")
        return (task, attempt), run

    def _task(self, key: Key, run: Run, usage: dict[Key, Size]) -> WorkerTask:
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
        return sum((run.order.size for run in self._live()), Size())

    def _count(self) -> None:
        total = self.declared()
        self.sums.append((self._now_ms, total))
        peak = self.peak
        self.peak = Size(
            max(peak.cpu_milli, total.cpu_milli),
            max(peak.memory_mb, total.memory_mb),
            max(peak.accelerators, total.accelerators),
        )
        self._note_usage()

    def _note_usage(self) -> None:
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

    def _lagged_usage(self) -> dict[Key, Size]:
        limit = self._now_ms - self.cfg.usage_lag_s * 1000.0
        seen = [rows for at, rows in self._usage if at <= limit]
        return seen[-1] if seen else {}

    def activities(self) -> dict[str, float]:
        """Return the running tasks by activity, each weighted by its throttle share."""
        found: dict[str, float] = {}
        for run in self._live():
            found[run.order.activity] = found.get(run.order.activity, 0.0) + run.share
        return found

    def describe(self, run: Run) -> dict[str, Any]:
        """Return one attempt as the record shows it; unix times in seconds."""
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
        """Return all attempts, the sum of declared sizes over time, and its maximum."""
        self.sync()
        return {
            "boot": self.boot,
            "clock_ms": self._now_ms,
            "size": asdict(self.cfg.size),
            "runs": [self.describe(run) for run in self.history],
            "sums": [{"ms": at, **asdict(size)} for at, size in self.sums],
            "max": asdict(self.peak),
        }

    def _append(self, line: dict[str, Any]) -> None:
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
            status, answer = 200, await self._answer(scope["method"], scope["path"], body)
        except Refusal as exc:
            status, answer = REFUSED_STATUS, {"error": str(exc)}
        except (ValueError, KeyError, TypeError) as exc:
            status, answer = 400, {"error": f"malformed call: {exc}"}
        content = json.dumps({"clock_ms": int(self.model.clock_ms()), **answer}).encode()
        headers = body_headers(JSON, len(content))
        await send({"type": "http.response.start", "status": status, "headers": headers})
        # A body that ends before its declared length makes the server close the connection.
        lost = self._loses(scope["path"])
        await send({"type": "http.response.body", "body": b"" if lost else content})

    def _loses(self, path: str) -> bool:
        faults = self.model.faults
        call = path.strip("/")
        if call in ("faults", "record") or faults.lose_answers == 0:
            return False
        if faults.lose_calls and call not in faults.lose_calls:
            return False
        faults.lose_answers -= 1
        return True

    async def _answer(self, method: str, path: str, body: bytes) -> dict[str, Any]:
        if method == "GET":
            return self._read_answer(path)
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

    def _read_answer(self, path: str) -> dict[str, Any]:
        if path == "/record":
            return self.model.record()
        if path == "/tasks":
            plain: dict[str, Any] = to_json_value(self.model.status())
            return plain
        raise KeyError(path)

    def _set_faults(self, changes: dict[str, Any]) -> dict[str, Any]:
        self.model.sync()
        known = {item.name for item in fields(Faults)}
        if unknown := set(changes) - known:
            raise ValueError(f"unknown faults {sorted(unknown)}")
        for name, value in changes.items():
            setattr(self.model.faults, name, tuple(value) if isinstance(value, list) else value)
        self.model._note_usage()
        return asdict(self.model.faults)

    async def _checkpoint(self, task: TaskId, attempt: int) -> WorkerTask:
        wait = self.model.begin_checkpoint(task, attempt)
        before = self.model.task(task, attempt)
        while wait > 0:
            await anyio.sleep(wait)
            now = self.model.task(task, attempt)
            if now.outcome is not None or now.checkpoint != before.checkpoint:
                break
            # Rounding may wake this up just before the write ends.
            wait = 0.001
        return self.model.task(task, attempt)


async def tell_neighbour(model: WorkerModel, url: str) -> None:
    """Post the running activities to the host's backend server stand-in when they change."""
    told: dict[str, float] | None = None
    async with httpx.AsyncClient(timeout=1.0, trust_env=False) as client:
        while True:
            current = model.activities()
            if current != told:
                try:
                    await client.post(f"{url}/neighbours", json=current)
                    told = current
                except httpx.HTTPError:
                    told = None
            await anyio.sleep(SYNC_S)


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

    async def keep_current() -> None:
        while True:
            model.sync()
            await anyio.sleep(SYNC_S)

    async with anyio.create_task_group() as group:
        group.start_soon(watch_signals)
        group.start_soon(keep_current)
        if neighbour:
            group.start_soon(tell_neighbour, model, neighbour)
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
