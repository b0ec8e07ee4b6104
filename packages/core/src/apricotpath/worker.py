"""Adapter to the platform's worker on the same host."""

import json
from dataclasses import MISSING, dataclass, fields, is_dataclass
from enum import Enum
from functools import cache
from types import UnionType
from typing import Any, Protocol, TypeVar, get_args, get_origin, get_type_hints

import anyio
import httpx

from apricotpath.errors import WorkerRefused, WorkerUnavailable
from apricotpath.ids import Epoch, ShardId, TaskId, TeamId
from apricotpath.model import Outcome, RunState, Size, TaskClass

T = TypeVar("T")

# The worker answers "not done, and it had no effect" with this status.
REFUSED_STATUS = 409


@dataclass(frozen=True, slots=True)
class WorkerTask:
    """One task that the worker runs or remembers until `forget`.

    `outcome` is None while the task runs. `deadline_ms` is the end of its
    lease on the worker's clock; `progress` runs from 0.0 to 1.0. `checkpoint_s`
    is the declared time of a checkpoint, which a restarted agent needs again.
    """

    task: TaskId
    attempt: int
    shard: ShardId
    epoch: Epoch
    team: TeamId
    activity: str
    task_class: TaskClass
    state: RunState
    size: Size
    usage: Size
    deadline_ms: int
    checkpoint: str
    progress: float
    outcome: Outcome | None
    reason: str
    checkpoint_s: float = 0.0
    share: float = 1.0


@dataclass(frozen=True, slots=True)
class WorkerStatus:
    """State of the worker; `clock_ms` is its monotonic clock, restarted with `boot`."""

    boot: str
    clock_ms: int
    size: Size
    usage: Size
    tasks: tuple[WorkerTask, ...]


@dataclass(frozen=True, slots=True)
class StartOrder:
    """One start.

    The worker refuses it when its clock has passed `start_by_ms`, when it
    knows a higher attempt of the task, or when the size does not fit. It kills
    the task at `deadline_ms`, or at most the kill grace later. Both times are
    on the clock of `boot`: the worker refuses an order for another boot.
    """

    task: TaskId
    attempt: int
    shard: ShardId
    epoch: Epoch
    team: TeamId
    activity: str
    task_class: TaskClass
    size: Size
    command: str
    run_time_s: float
    checkpoint: str
    checkpoint_s: float
    start_by_ms: int
    deadline_ms: int
    boot: str = ""


class Worker(Protocol):
    """What an agent needs of the worker.

    Every call may raise WorkerUnavailable (effect unknown) or WorkerRefused
    (no effect). All calls are idempotent by (task, attempt).
    """

    async def status(self) -> WorkerStatus:
        """Return the worker's clock, size, usage and all tasks."""

    async def start(self, order: StartOrder) -> WorkerTask:
        """Start a task, or return it if this attempt is known already."""

    async def renew(self, task: TaskId, attempt: int, deadline_ms: int) -> WorkerTask:
        """Move a running task's deadline, later or earlier."""

    async def checkpoint(self, task: TaskId, attempt: int) -> WorkerTask:
        """Write a checkpoint and return the task with the checkpoint's id."""

    async def throttle(self, task: TaskId, attempt: int, share: float) -> WorkerTask:
        """Limit a task to a share of its processors, from 0.0 to 1.0."""

    async def stop(self, task: TaskId, attempt: int, outcome: Outcome) -> WorkerTask:
        """Ask a task to stop; it has ended when its state says so."""

    async def forget(self, task: TaskId, attempt: int) -> None:
        """Drop the record of an ended attempt; the highest attempt is remembered."""


def to_plain(value: Any) -> Any:
    """Return a dataclass of this module as JSON values."""
    if is_dataclass(value):
        return {item.name: to_plain(getattr(value, item.name)) for item in fields(value)}
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple):
        return [to_plain(item) for item in value]
    return value


def from_plain(cls: type[T], value: Any) -> T:
    """Return a dataclass of this module from JSON values, or raise ValueError."""
    result: T = _convert(cls, value)
    return result


@cache
def _hints(cls: Any) -> dict[str, Any]:
    return get_type_hints(cls)


def _convert(hint: Any, value: Any) -> Any:
    while hasattr(hint, "__supertype__"):
        hint = hint.__supertype__
    if get_origin(hint) is UnionType:
        return None if value is None else _convert(get_args(hint)[0], value)
    if get_origin(hint) is tuple:
        if not isinstance(value, list):
            raise ValueError("expected a list")
        return tuple(_convert(get_args(hint)[0], item) for item in value)
    if is_dataclass(hint):
        return _convert_fields(hint, value)
    if issubclass(hint, Enum):
        return hint(value)
    if hint is float and isinstance(value, int):
        value = float(value)
    if not isinstance(value, hint) or isinstance(value, bool) is not (hint is bool):
        raise ValueError(f"expected {hint.__name__}, not {value!r}")
    return value


def _convert_fields(cls: Any, value: Any) -> Any:
    if not isinstance(value, dict):
        raise ValueError("expected an object")
    arguments = {}
    for item in fields(cls):
        if item.name in value:
            arguments[item.name] = _convert(_hints(cls)[item.name], value[item.name])
        elif item.default is MISSING:
            raise ValueError(f"{item.name} is missing")
    return cls(**arguments)


class HttpWorker:
    """The worker's HTTP interface; `timeout_s` bounds each call.

    A call that ends without a whole, well-formed answer raises
    WorkerUnavailable, since it may have taken effect.
    """

    def __init__(
        self, url: str, timeout_s: float, transport: httpx.AsyncBaseTransport | None = None
    ) -> None:
        self.url = url
        self.timeout_s = timeout_s
        # A proxy from the environment must not see calls to the loopback address.
        self._client = httpx.AsyncClient(
            base_url=url, timeout=timeout_s, transport=transport, trust_env=False
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def status(self) -> WorkerStatus:
        """Return the worker's clock, size, usage and all tasks."""
        return await self._call("GET", "/tasks", None, WorkerStatus)

    async def start(self, order: StartOrder) -> WorkerTask:
        """Start a task, or return it if this attempt is known already."""
        return await self._call("POST", "/start", to_plain(order), WorkerTask)

    async def renew(self, task: TaskId, attempt: int, deadline_ms: int) -> WorkerTask:
        """Move a running task's deadline, later or earlier."""
        return await self._command("/renew", task, attempt, deadline_ms=deadline_ms)

    async def checkpoint(self, task: TaskId, attempt: int) -> WorkerTask:
        """Write a checkpoint and return the task with the checkpoint's id."""
        return await self._command("/checkpoint", task, attempt)

    async def throttle(self, task: TaskId, attempt: int, share: float) -> WorkerTask:
        """Limit a task to a share of its processors, from 0.0 to 1.0."""
        return await self._command("/throttle", task, attempt, share=share)

    async def stop(self, task: TaskId, attempt: int, outcome: Outcome) -> WorkerTask:
        """Ask a task to stop; it has ended when its state says so."""
        return await self._command("/stop", task, attempt, outcome=outcome.value)

    async def forget(self, task: TaskId, attempt: int) -> None:
        """Drop the record of an ended attempt; the highest attempt is remembered."""
        await self._send("POST", "/forget", {"task": task, "attempt": attempt})

    async def _command(self, path: str, task: TaskId, attempt: int, **more: Any) -> WorkerTask:
        return await self._call(
            "POST", path, {"task": task, "attempt": attempt, **more}, WorkerTask
        )

    async def _call(self, method: str, path: str, body: Any, cls: type[T]) -> T:
        answer = await self._send(method, path, body)
        # The worker nests the task, since every answer carries its clock as well.
        plain = answer.get("task") if cls is WorkerTask else answer
        try:
            return from_plain(cls, plain)
        except (ValueError, TypeError) as exc:
            raise WorkerUnavailable(f"the worker's answer to {path} is malformed: {exc}") from exc

    async def _send(self, method: str, path: str, body: Any) -> dict[str, Any]:
        try:
            with anyio.fail_after(self.timeout_s):
                res = await self._client.request(method, path, json=body)
        except TimeoutError as exc:
            raise WorkerUnavailable(f"the worker did not answer {path} in time") from exc
        except (httpx.HTTPError, OSError) as exc:
            raise WorkerUnavailable(f"the worker cannot be reached: {exc}") from exc
        answer = _parse(res.content)
        if res.status_code == REFUSED_STATUS and answer is not None:
            raise WorkerRefused(str(answer.get("error", "refused without a reason")))
        if res.status_code != 200 or answer is None:
            raise WorkerUnavailable(f"the worker answered {path} with status {res.status_code}")
        return answer


def _parse(content: bytes) -> dict[str, Any] | None:
    try:
        answer = json.loads(content)
    except ValueError:
        return None
    return answer if isinstance(answer, dict) else None
