"""Keeps calls meant for an executor's former incarnation from taking effect on the next one."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from apricotpath.executor import (
    Executor,
    ExecutorError,
    ExecutorFenced,
    ExecutorReplaced,
    ExecutorReport,
    ExecutorUnreachable,
)
from apricotpath.ids import FenceToken
from apricotpath.messages import RunStatus

log = logging.getLogger(__name__)

# Interval between two attempts to fence, which may be in progress at the same time.
ATTEMPT_INTERVAL_S = 0.1
# Pause between two attempts of a stop.
STOP_RETRY_S = 0.05


@dataclass(frozen=True, slots=True, eq=False)
class Restart:
    """A new incarnation of an executor under an id that may have been used before.

    `born_ms`: its start time (Unix ms). `stops_runs`: what it runs was started for a former
    incarnation.
    """

    executor: Executor
    born_ms: int
    stops_runs: bool = True


class RestartGuard:
    """Fences an incarnation of an executor, even while there is no scheduler.

    One that has restarted under its id has seen no fencing token and would carry out delayed
    calls of the former one. It is called under a token above all that were used before, and the
    runs that it lists are stopped if they were started for the former incarnation. A later
    attachment may have the same token; the guard's calls start no run, extend no lease and
    acknowledge nothing, so that they may be carried out late.

    `on_unreachable` is called when the executor's address refuses a connection, and
    `on_fenced` once it is fenced, with the start time (Unix ms) that it reported, or else the
    restart's. That time may be lower than the one of the restart, which then was no restart.
    """

    def __init__(
        self, on_unreachable: Callable[[], None], on_fenced: Callable[[int], None]
    ) -> None:
        self._on_unreachable, self._on_fenced = on_unreachable, on_fenced
        self._restart: Restart | None = None
        self._born_ms = 0
        self._fenced = True
        self._changed = anyio.Event()

    @property
    def pending(self) -> bool:
        """Whether a new incarnation has not answered yet; it must get no starts until then."""
        return not self._fenced

    @property
    def stops_runs(self) -> bool:
        """Whether what the newest incarnation lists is stopped."""
        return self._restart is None or self._restart.stops_runs

    def begin(self, restart: Restart) -> bool:
        """Note a new incarnation; `run` has to fence it if this returns True."""
        if self._restart is not None and restart.born_ms <= self._born_ms:
            return False
        if restart.stops_runs:
            log.warning("executor restarted under its id", extra={"born_ms": restart.born_ms})
        self._restart, self._born_ms, self._fenced = restart, restart.born_ms, False
        self._signal()
        return True

    def cancel(self) -> None:
        """End all calls: the executor has another id, or has ended."""
        self._restart, self._born_ms, self._fenced = None, 0, True
        self._signal()

    def _signal(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def run(self, fence: FenceToken) -> None:
        """Fence the newest incarnation and stop the runs that it lists; return once done."""
        restart = self._restart
        if restart is None:
            return
        async with anyio.create_task_group() as group:
            while self._is_open(restart):
                changed = self._changed
                group.start_soon(self._attempt, group, restart, fence)
                with anyio.move_on_after(ATTEMPT_INTERVAL_S):
                    await changed.wait()

    async def _attempt(self, group: TaskGroup, restart: Restart, fence: FenceToken) -> None:
        """Make one attempt to fence; the first one that is answered stops the listed runs."""
        try:
            report = await restart.executor.renew_lease(fence, 0, None, 0.0)
        except (ExecutorFenced, ExecutorReplaced) as exc:
            log.info("executor needs no fence: %s", exc)
            self._finish(restart, restart.born_ms)
        except ExecutorError as exc:
            log.info("executor not fenced: %s", exc)
            if isinstance(exc, ExecutorUnreachable) and self._is_open(restart):
                self._on_unreachable()
        else:
            if self._is_open(restart):
                self._handle_report(group, restart, fence, report)

    def _is_open(self, restart: Restart) -> bool:
        """Tell whether a restart is the newest one and not fenced yet."""
        return restart is self._restart and not self._fenced

    def _handle_report(
        self, group: TaskGroup, restart: Restart, fence: FenceToken, report: ExecutorReport
    ) -> None:
        """Stop the runs that a fenced incarnation lists, unless it has not restarted."""
        extra = {"born_ms": report.born_ms, "fence": fence, "runs": len(report.runs)}
        log.info("executor fenced", extra=extra)
        has_restarted = not report.born_ms or report.born_ms >= restart.born_ms
        for status in report.runs if has_restarted and restart.stops_runs else ():
            group.start_soon(self._stop, restart, fence, status)
        self._finish(restart, report.born_ms)

    def _finish(self, restart: Restart, born_ms: int) -> None:
        if self._is_open(restart):
            self._fenced = True
            self._born_ms = born_ms or restart.born_ms
            self._signal()
            self._on_fenced(self._born_ms)

    async def _stop(self, restart: Restart, fence: FenceToken, status: RunStatus) -> None:
        """Stop a run, with retries until it is answered or the executor has restarted again."""
        extra = {"task": status.task, "run": status.run, "born_ms": restart.born_ms}
        log.warning("run of former incarnation stopped", extra=extra)
        while restart is self._restart:
            try:
                await restart.executor.stop(status.task, status.run, fence)
                return
            except (ExecutorFenced, ExecutorReplaced) as exc:
                log.info("stop refused: %s", exc, extra=extra)
                return
            except ExecutorError as exc:
                log.info("stop failed: %s", exc, extra=extra)
            await anyio.sleep(STOP_RETRY_S)
