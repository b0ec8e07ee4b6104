"""Interface to the executor that runs tasks on a host, as its agent needs it."""

from dataclasses import dataclass
from typing import Protocol

from apricotpath.errors import ApricotpathError
from apricotpath.ids import FenceToken, TaskId
from apricotpath.messages import RunEnding, RunStatus
from apricotpath.model import StartAnswer


class ExecutorError(ApricotpathError):
    """The executor did not do what was asked."""


class ExecutorSilent(ExecutorError):
    """No answer came; the call may have been executed or may be later."""


class ExecutorFenced(ExecutorError):
    """The executor has seen a higher fencing token; nothing was done."""


class ExecutorReplaced(ExecutorError):
    """Another life of the executor answered; nothing was done."""


@dataclass(frozen=True, slots=True)
class Holding:
    """All runs and unnoted ends of an executor at `clock_ms` of its clock.

    `born_ms` is 0 if the executor did not name its life.
    """

    clock_ms: int
    born_ms: int
    runs: tuple[RunStatus, ...]
    endings: tuple[RunEnding, ...]


@dataclass(frozen=True, slots=True)
class StartCall:
    """A start as the executor gets it; `deadline_ms` is a time on the executor's clock."""

    task: TaskId
    run: int
    command: str
    saved: str
    ticket: str
    deadline_ms: int


class Executor(Protocol):
    """Calls to one life of an executor; each raises ExecutorError if it was not done."""

    async def hold(
        self, fence: FenceToken, noted: int, deadline_ms: int | None, wait_s: float
    ) -> Holding:
        """Extend all runs to a deadline, forget ends up to `noted`, and return the lists.

        Waits up to `wait_s` for an end that is not listed yet.
        """

    async def start(self, call: StartCall, fence: FenceToken) -> StartAnswer:
        """Start a run; doing so again is harmless."""

    async def stop(self, task: TaskId, run: int, fence: FenceToken) -> None:
        """Stop a run, or keep it from ever starting."""

    async def pace(self, task: TaskId, run: int, percent: int, fence: FenceToken) -> None:
        """Let a run work at a share of its speed."""
