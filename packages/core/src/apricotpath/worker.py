"""Client for the platform's worker on the same host."""

from dataclasses import MISSING, dataclass, fields, is_dataclass
from enum import Enum
from functools import cache
from types import UnionType
from typing import Any, Protocol, TypeVar, get_args, get_origin, get_type_hints

import anyio
import httpx

from apricotpath.errors import InputError, WorkerRefused, WorkerUnavailable
from apricotpath.ids import Epoch, ShardId, TaskId, TeamId
from apricotpath.jsonfields import parse_object, to_number
from apricotpath.model import Outcome, RunState, Size, TaskClass

T = TypeVar("T")

# HTTP status with which the worker rejects a call that had no effect.
REFUSED_STATUS = 409


@dataclass(frozen=True, slots=True)
class WorkerTask:
    """One task that the worker runs, or an ended one that it keeps until `forget`.

    `outcome` is None while the task runs. `deadline_ms` is the end of its
    lease on the worker's clock; `progress` is from 0.0 to 1.0. `checkpoint_s`
    is the declared duration of a checkpoint, which an agent needs again after
    its restart.
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
    """State of the worker; `clock_ms` is its monotonic clock, reset when `boot` changes."""

    boot: str
    clock_ms: int
    size: Size
    usage: Size
    tasks: tuple[WorkerTask, ...]


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start one attempt of a task.

    The worker rejects it if its clock has passed `start_by_ms`, if it has seen a
    higher attempt of the task, or if the size does not fit. It kills the task
    at `deadline_ms`, or at most the kill grace later. Both times are on the
    clock of `boot`; the worker rejects an order for another boot.
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
    """Interface of the worker that an agent uses.

    Every call may raise WorkerUnavailable (effect unknown) or WorkerRefused
    (no effect). All calls are idempotent per (task, attempt).
    """

    async def status(self) -> WorkerStatus:
        """Return the worker's clock, size, usage and all tasks."""

    async def start(self, order: StartOrder) -> WorkerTask:
        """Start a task, or return it if this attempt was started before."""

    async def renew(self, task: TaskId, attempt: int, deadline_ms: int) -> WorkerTask:
        """Set a running task's deadline, later or earlier."""

    async def checkpoint(self, task: TaskId, attempt: int) -> WorkerTask:
        """Write a checkpoint and return the task with the checkpoint's id."""

    async def throttle(self, task: TaskId, attempt: int, share: float) -> WorkerTask:
        """Limit a task to a share of its processors, from 0.0 to 1.0."""

    async def stop(self, task: TaskId, attempt: int, outcome: Outcome) -> WorkerTask:
        """Ask a task to stop; it has ended once its state is ENDED."""

    async def forget(self, task: TaskId, attempt: int) -> None:
        """Delete the record of an ended attempt, except the task's highest attempt number."""


def to_json_value(value: Any) -> Any:
    """Convert a dataclass of this module to JSON values."""
    if is_dataclass(value):
        return {item.name: to_json_value(getattr(value, item.name)) for item in fields(value)}
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple):
        return [to_json_value(item) for item in value]
    return value


def from_json_value(cls: type[T], value: Any) -> T:
    """Build a dataclass of this module from JSON values, or raise ValueError."""
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
    if hint is float and not isinstance(value, bool):
        try:
            value = float(to_number(value, "the value"))
        except InputError as exc:
            raise ValueError(str(exc)) from exc
    if not isinstance(value, hint) or isinstance(value, bool) is not (hint is bool):
        raise ValueError(f"expected {hint.__name__}, not {type(value).__name__}")
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
    """HTTP client of the worker; `timeout_s` limits each call.

    A call that ends without a complete, well-formed answer raises
    WorkerUnavailable, since it may have taken effect.
    """

    def __init__(
        self, url: str, timeout_s: float, transport: httpx.AsyncBaseTransport | None = None
    ) -> None:
        self.url = url
        self.timeout_s = timeout_s
        # Calls to the loopback address must not go through a proxy set in the environment.
        self._client = httpx.AsyncClient(
            base_url=url, timeout=timeout_s, transport=transport, trust_env=False
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def status(self) -> WorkerStatus:
        """Return the worker's clock, size, usage and all tasks."""
        return await self._call("GET", "/tasks", None, WorkerStatus)

    async def start(self, order: StartOrder) -> WorkerTask:
        """Start a task, or return it if this attempt was started before."""
        return await self._call("POST", "/start", to_json_value(order), WorkerTask)

    async def renew(self, task: TaskId, attempt: int, deadline_ms: int) -> WorkerTask:
        """Set a running task's deadline, later or earlier."""
        return await self._command("/renew", task, attempt, deadline_ms=deadline_ms)

    async def checkpoint(self, task: TaskId, attempt: int) -> WorkerTask:
        """Write a checkpoint and return the task with the checkpoint's id."""
        return await self._command("/checkpoint", task, attempt)

    async def throttle(self, task: TaskId, attempt: int, share: float) -> WorkerTask:
        """Limit a task to a share of its processors, from 0.0 to 1.0."""
        return await self._command("/throttle", task, attempt, share=share)

    async def stop(self, task: TaskId, attempt: int, outcome: Outcome) -> WorkerTask:
        """Ask a task to stop; it has ended once its state is ENDED."""
        return await self._command("/stop", task, attempt, outcome=outcome.value)

    async def forget(self, task: TaskId, attempt: int) -> None:
        """Delete the record of an ended attempt, except the task's highest attempt number."""
        await self._send("POST", "/forget", {"task": task, "attempt": attempt})

    async def _command(
        self, path: str, task: TaskId, attempt: int, **extra_fields: Any
    ) -> WorkerTask:
        return await self._call(
            "POST", path, {"task": task, "attempt": attempt, **extra_fields}, WorkerTask
        )

    async def _call(self, method: str, path: str, body: Any, cls: type[T]) -> T:
        answer = await self._send(method, path, body)
        # The worker puts the task into a field, since its answers also contain its clock.
        plain = answer.get("task") if cls is WorkerTask else answer
        try:
            return from_json_value(cls, plain)
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
        return parse_object(content, "the worker's answer")
    except InputError:
        return None
