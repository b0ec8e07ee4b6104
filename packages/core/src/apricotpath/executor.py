"""Interface to the executor that runs tasks on a host, as used by the host's agent."""

from dataclasses import dataclass
from typing import Protocol

from apricotpath.errors import ApricotpathError
from apricotpath.ids import FenceToken, TaskId
from apricotpath.messages import RunEnding, RunStatus
from apricotpath.model import StartAnswer


class ExecutorError(ApricotpathError):
    """The executor did not carry out a call."""


class ExecutorUnavailable(ExecutorError):
    """No answer arrived; the call may have been executed or may still be."""


class ExecutorUnreachable(ExecutorUnavailable):
    """The executor's address refuses connections; the call had no effect."""


class ExecutorDisconnected(ExecutorUnavailable):
    """The connection ended before an answer; until then the executor was alive."""


class ExecutorFenced(ExecutorError):
    """The executor has seen a higher fencing token; the call had no effect."""


class ExecutorReplaced(ExecutorError):
    """The executor has restarted since; the call had no effect."""


@dataclass(frozen=True, slots=True)
class ExecutorReport:
    """The runs and unacknowledged run ends of an executor at `clock_ms` of its clock.

    `born_ms` is its start time, or 0 if the executor did not report it. A run that is
    missing in a `whole` report has neither begun nor an ending to be listed.
    """

    clock_ms: int
    born_ms: int
    runs: tuple[RunStatus, ...]
    endings: tuple[RunEnding, ...]
    whole: bool = True


@dataclass(frozen=True, slots=True)
class StartCall:
    """A start order; it expires at `deadline_ms` on the executor's clock."""

    task: TaskId
    run: int
    command: str
    saved: str
    ticket: str
    deadline_ms: int


class Executor(Protocol):
    """Calls to an executor; each raises ExecutorError if it failed.

    A restarted executor raises ExecutorReplaced.
    """

    async def renew_lease(
        self, fence: FenceToken, acknowledged: int, deadline_ms: int | None, wait_s: float
    ) -> ExecutorReport:
        """Extend the leases of all runs to a deadline and return the runs and run ends.

        Ends up to number `acknowledged` are acknowledged, so the executor drops them.
        Waits up to `wait_s` for an end that was not returned before.
        """

    async def start(self, call: StartCall, fence: FenceToken) -> StartAnswer:
        """Start a run; idempotent."""

    async def stop(self, task: TaskId, run: int, fence: FenceToken) -> None:
        """Stop a run, or prevent it from starting."""

    async def pace(self, task: TaskId, run: int, percent: int, fence: FenceToken) -> None:
        """Limit a run to `percent` of its speed."""
