"""Decides which incarnations of an executor its agent fences before anything starts there."""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from apricotpath.executor import Executor, ExecutorError, ExecutorReplaced
from apricotpath.ids import FenceToken
from apricotpath.workload import HostFacts
from apricotpathd.formerfence import FormerFence
from apricotpathd.restartguard import Restart, RestartGuard

# An executor whose restart no heartbeat confirms within this time is fenced again.
CONFIRM_S = 1.0


class IncarnationFences:
    """Fences the incarnations of an executor against calls that were made before.

    An incarnation that this process has not known from its start is fenced above all tokens
    that earlier processes of the agent may have used, and its runs go on. One that has
    restarted under a known id is fenced as well, and the runs that it lists are stopped.
    Without `former` only the latter is done.

    `on_change` is called when an incarnation may be attached, `on_unreachable` when
    its address refuses a connection.
    """

    def __init__(
        self,
        former: FormerFence | None,
        on_change: Callable[[], None],
        on_unreachable: Callable[[], None],
    ) -> None:
        self._former = former
        self._on_change = on_change
        self._guard = RestartGuard(on_unreachable, self._note_fenced)
        self._highest = FenceToken(0)
        # The newest start times (Unix ms) that the executor's heartbeats and lists have shown.
        self._heard_born_ms = self._listed_born_ms = 0
        self._executor: Executor | None = None
        self._group: TaskGroup | None = None

    @property
    def highest(self) -> FenceToken:
        """The highest token that calls of this process or an earlier one may have carried."""
        bound = self._former.token if self._former is not None else FenceToken(0)
        return max(self._highest, bound)

    @property
    def pending(self) -> bool:
        """Whether the newest incarnation is not fenced yet."""
        return self._guard.pending

    @property
    def settled(self) -> bool:
        """Whether the newest incarnation is fenced, and its heartbeat has been heard."""
        return not self.pending and self._heard_born_ms >= self._listed_born_ms

    async def run(self) -> None:
        """Fence incarnations until cancelled."""
        async with anyio.create_task_group() as self._group:
            if self._former is not None:
                self._group.start_soon(self._former.run)
            if self._guard.pending:
                self._group.start_soon(self._fence)
            await anyio.sleep_forever()

    def note_token(self, fence: FenceToken) -> None:
        """Note the token of a new attachment."""
        self._highest = max(self._highest, fence)

    def on_heartbeat(
        self, previous: HostFacts | None, facts: HostFacts, executor: Executor
    ) -> None:
        """Handle the first heartbeat of an incarnation; `executor` calls it."""
        self._executor, self._heard_born_ms = executor, facts.born_ms
        if previous is None or previous.instance != facts.instance:
            self._listed_born_ms = 0
            self._guard.cancel()
            if self._former is not None:
                self._begin(facts.born_ms, stops_runs=False)
        elif previous.born_ms:
            stops_runs = self._stops_runs
            if facts.born_ms < previous.born_ms:
                # The clock has stepped back: earlier start times tell nothing any more.
                self._listed_born_ms = 0
                self._guard.cancel()
            self._begin(facts.born_ms, stops_runs)

    def on_listed(self, born_ms: int) -> None:
        """Handle that a list of the executor shows a later start time than its heartbeats."""
        self._listed_born_ms = max(self._listed_born_ms, born_ms)
        self._begin(born_ms, self._stops_runs)

    def cancel(self) -> None:
        """Make no further calls: the executor has ended."""
        self._guard.cancel()

    @property
    def _stops_runs(self) -> bool:
        """Whether what an incarnation that has restarted runs is stopped.

        What an unknown one runs may have been started by an earlier process.
        """
        return self._guard.stops_runs or not self._guard.pending

    def _begin(self, born_ms: int, stops_runs: bool) -> None:
        assert self._executor is not None
        begun = self._guard.begin(Restart(self._executor, born_ms, stops_runs))
        if begun and self._group is not None:
            self._group.start_soon(self._fence)

    async def _fence(self) -> None:
        """Fence the newest incarnation once it is known above which tokens."""
        if self._former is not None:
            await self._former.known.wait()
        await self._guard.run(FenceToken(self.highest + 1))

    def _note_fenced(self, born_ms: int) -> None:
        """Handle that an incarnation, which reports this start time, has been fenced."""
        self._listed_born_ms = born_ms
        self._on_change()
        if self._awaits_heartbeat(born_ms) and self._group is not None:
            self._group.start_soon(self._fence_unconfirmed, born_ms)

    def _awaits_heartbeat(self, born_ms: int) -> bool:
        """Whether this is the newest start time of a list, and later than that of heartbeats."""
        return (
            self._listed_born_ms == born_ms and not self.pending and self._heard_born_ms < born_ms
        )

    async def _fence_unconfirmed(self, born_ms: int) -> None:
        """Fence an executor again, whose answer may correct an odd start time of its lists."""
        await anyio.sleep(CONFIRM_S)
        if self._awaits_heartbeat(born_ms):
            stops_runs = self._guard.stops_runs
            self._guard.cancel()
            self._begin(born_ms, stops_runs)


async def answers_as(executor: Executor, facts: HostFacts, fence: FenceToken) -> bool | None:
    """Ask an executor whether it is an incarnation; None if it does not answer or tell."""
    try:
        report = await executor.renew_lease(fence, 0, None, 0.0)
    except ExecutorReplaced:
        return False
    except ExecutorError:
        return None
    return report.born_ms == facts.born_ms if report.born_ms else None
