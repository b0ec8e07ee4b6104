"""Paces the filler tasks of one executor, so that serving tasks beside them keep their target."""

import logging

import anyio
from anyio.abc import TaskGroup

from apricotpath.boottime import boot_s
from apricotpath.executor import Executor, ExecutorError
from apricotpath.ids import TaskId
from apricotpath.messages import RunStatus
from apricotpath.pacing import Pacer, pressure_in_use
from apricotpathd.attachment import Attachment, RunView

log = logging.getLogger(__name__)

# Load readings are averages over half a second, so faster pacing would gain little.
PACE_INTERVAL_S = 0.35
# An unchanged pace is sent again, since an older order may be carried out late.
PACE_REPEAT_S = 2.0
PACE_LOG_INTERVAL_S = 2.0


class FillerPacing:
    """Chooses the paces of filler tasks and sends them; `run` must be running.

    The calls are made in the background: an executor that does not answer them
    must not delay the renewal of its lease.
    """

    def __init__(self) -> None:
        self._pacer = Pacer()
        self._paced_at = float("-inf")
        self._logged_at = float("-inf")
        self._sending: set[tuple[TaskId, int]] = set()
        self._group: TaskGroup | None = None

    @property
    def percent(self) -> int:
        """Current speed limit of all filler tasks together, in percent."""
        return round(self._pacer.percent)

    @property
    def average_percent(self) -> float:
        """Recent average of the speed limit in percent."""
        return self._pacer.average_percent

    async def run(self) -> None:
        """Send paces until cancelled."""
        async with anyio.create_task_group() as self._group:
            await anyio.sleep_forever()

    def update(self, attached: Attachment, executor: Executor, runs: tuple[RunStatus, ...]) -> None:
        """Adjust all paces to the latencies in a report of the executor, at intervals."""
        now = boot_s()
        if now - self._paced_at < PACE_INTERVAL_S:
            return
        self._paced_at = now
        views = [(status, attached.views.get((status.task, status.run))) for status in runs]
        ratios = [
            status.load / view.target_ms
            for status, view in views
            if view is not None and view.target_ms > 0
        ]
        worst = max(ratios, default=None)
        filler_views = [(status, view) for status, view in views if view and view.filler]
        # The oldest run comes first; the order stays the same from one reading to the next.
        filler_views.sort(key=lambda item: (item[1].settled_at, item[0].task))
        fillers = len(filler_views)
        pressures = [view.pressure for _, view in filler_views]
        in_use = pressure_in_use(pressures, [view.pace_percent for _, view in filler_views])
        percent = self._pacer.update(worst, fillers, in_use)
        if fillers and worst is not None:
            self._log(now, percent, worst, len(ratios), fillers)
        for (status, view), pace in zip(filler_views, self._pacer.limits(pressures), strict=True):
            uncertain = pace < 100 or view.pace_in_doubt
            repeat = uncertain and now - view.pace_sent_at > PACE_REPEAT_S
            if view.pace_percent != pace or repeat or view.pace_unanswered:
                view.pace_percent, view.pace_sent_at = pace, now
                self._send_soon(attached, executor, (status.task, status.run), view)

    def start(self, attached: Attachment, executor: Executor, task: TaskId, run: int) -> None:
        """Pace a filler task from its start if serving tasks run on the host."""
        view = attached.views.get((task, run))
        if view is None or not any(other.target_ms > 0 for other in attached.views.values()):
            return
        pressures = [other.pressure for other in attached.views.values() if other.filler]
        pressures = [*pressures, view.pressure]
        view.pace_percent = self._pacer.limits(pressures)[-1]
        view.pace_sent_at = boot_s()
        self._send_soon(attached, executor, (task, run), view)

    def _log(self, now: float, percent: int, worst: float, serving: int, fillers: int) -> None:
        """Log the current pace of filler tasks at intervals."""
        if now - self._logged_at < PACE_LOG_INTERVAL_S:
            return
        self._logged_at = now
        log.info(
            "filler tasks paced",
            extra={
                "percent": percent,
                "worst_tail_share": round(worst, 2),
                "serving": serving,
                "fillers": fillers,
            },
        )

    def _send_soon(
        self, attached: Attachment, executor: Executor, name: tuple[TaskId, int], view: RunView
    ) -> None:
        if self._group is not None and name not in self._sending:
            self._sending.add(name)
            self._group.start_soon(self._send, attached, executor, name, view)

    async def _send(
        self, attached: Attachment, executor: Executor, name: tuple[TaskId, int], view: RunView
    ) -> None:
        """Send a run's pace, and the newest one again if it has changed meanwhile."""
        sent: int | None = None
        while view.pace_percent != sent and attached.views.get(name) is view:
            sent = view.pace_percent
            view.pace_unanswered = True
            try:
                await executor.pace(*name, sent, attached.fence)
                view.pace_unanswered = False
            except ExecutorError as exc:
                view.pace_in_doubt = True
                log.info("pace not set: %s", exc, extra={"task": name[0], "percent": sent})
        self._sending.discard(name)
