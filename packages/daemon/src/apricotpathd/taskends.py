"""Ends attempts: checkpoint, stop, and removal of acknowledged outcomes."""

import logging
from collections.abc import Callable
from functools import partial

import anyio

from apricotpath.errors import WorkerError, WorkerRefused, WorkerUnavailable
from apricotpath.model import Outcome
from apricotpathd.component import TaskFunction
from apricotpathd.hostview import RETRY_S, HostView
from apricotpathd.taskattempts import HeldAttempt, Key, Phase
from apricotpathd.taskleases import Leases

log = logging.getLogger(__name__)

# A checkpoint may exceed its declared time by this much before the task is stopped anyway.
CHECKPOINT_SLACK_S = 2.0
# A task that has not stopped after this time is killed by the end of its lease.
STOP_TIMEOUT_S = 5.0
STOP_REPEAT_S = 1.0


class Endings:
    """Ends attempts.

    `spawn` runs a function in the background; `finished` is called after each end.
    """

    def __init__(
        self,
        view: HostView,
        leases: Leases,
        spawn: Callable[[TaskFunction], None],
        finished: Callable[[], None],
    ) -> None:
        self.view = view
        self.leases = leases
        self._spawn = spawn
        self._finished = finished

    def begin(self, held: HeldAttempt, reason: str, outcome: Outcome) -> None:
        """Start to end an attempt; a second call can only make it skip the checkpoint."""
        if outcome is Outcome.STOPPED:
            held.skip_checkpoint = True
        if held.ending:
            return
        held.phase = Phase.CHECKPOINTING
        held.reason = reason
        log.info("ending %s attempt %d: %s", held.task, held.attempt, reason)
        self._spawn(partial(self.finish, held, outcome))

    async def finish(self, held: HeldAttempt, outcome: Outcome) -> None:
        """Write a checkpoint if one is due, then send stops until the task has ended."""
        if held.phase is Phase.CHECKPOINTING:
            await self.write_checkpoint(held)
        held.phase = Phase.STOPPING
        if held.skip_checkpoint:
            outcome = Outcome.STOPPED
        clock_ms = self.view.status.clock_ms if self.view.status else 0
        kill_ms = clock_ms + int(STOP_TIMEOUT_S * 1000)
        while not held.ended.is_set():
            try:
                await self.view.worker.stop(held.task, held.attempt, outcome)
            except WorkerError as exc:
                log.info("stop of %s has no effect yet: %s", held.task, exc)
            # The worker kills a task that ignores the stop when its lease ends.
            await self.leases.shorten(held, kill_ms)
            with anyio.move_on_after(STOP_REPEAT_S):
                await held.ended.wait()
        self._finished()

    async def write_checkpoint(self, held: HeldAttempt) -> None:
        """Try to write a checkpoint; if that fails, the previous one stays in force."""
        previous = held.row.checkpoint if held.row else held.checkpoint
        with anyio.move_on_after(held.checkpoint_s + CHECKPOINT_SLACK_S):
            while not held.ended.is_set() and not held.skip_checkpoint:
                try:
                    await self.view.worker.checkpoint(held.task, held.attempt)
                    return
                except WorkerRefused as exc:
                    log.warning("checkpoint of %s failed: %s", held.task, exc)
                    return
                except WorkerUnavailable as exc:
                    log.info("checkpoint of %s has no answer: %s", held.task, exc)
                await self.view.refresh()
                if held.row is not None and held.row.checkpoint != previous:
                    return
                await anyio.sleep(RETRY_S)

    async def forget(self, keys: list[Key]) -> None:
        """Drop acknowledged outcomes at the worker and here."""
        for key in keys:
            if key not in self.view.table.ended:
                continue
            try:
                await self.view.worker.forget(*key)
            except WorkerError as exc:
                # It is reported again, and the owner repeats its acknowledgement.
                log.info("outcome of %s not removed from the worker: %s", key[0], exc)
                continue
            self.view.table.ended.pop(key, None)
            self.view.table.forgotten[key] = anyio.current_time()
