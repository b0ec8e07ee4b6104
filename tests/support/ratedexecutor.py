"""A model of an executor that answers a limited number of start calls a second."""

from math import inf

import anyio
from anyio.abc import TaskGroup

from apricotpath.boottime import boot_s
from apricotpath.executor import StartCall
from apricotpath.ids import FenceToken
from apricotpath.model import StartAnswer
from support.executormodel import CALL_TIMEOUT_S, ExecutorModel, ModelExecutor


class RatedExecutor(ModelExecutor):
    """Handles start calls one after another, `rate` of them a second.

    A call whose caller has given up takes as long as any other, and has no effect. No call that
    arrives before `silent_until` (boot-clock seconds) is handled. `attempts` holds the time of
    each call, `attempted` the names of their tasks.
    """

    def __init__(self, model: ExecutorModel, group: TaskGroup, seed: int = 0) -> None:
        super().__init__(model, group, seed)
        self.rate = inf
        self.silent_until = -inf
        self.attempts: list[float] = []
        self.attempted: list[str] = []
        self._busy_until = -inf

    async def start(self, call: StartCall, fence: FenceToken) -> StartAnswer:
        """Start a run when the earlier calls have been handled, unless that takes too long."""
        now = boot_s()
        self.attempts.append(now)
        self.attempted.append(str(call.task))
        if now < self.silent_until:
            await self._time_out()
        self._busy_until = max(self._busy_until, now) + 1 / self.rate
        if self._busy_until - now > CALL_TIMEOUT_S:
            await self._time_out()
        await anyio.sleep(self._busy_until - now)
        return self.model.start(call, fence)
