"""Placement passes of the scheduler: the plan that they share, what it learns, and its metrics."""

import logging
from typing import Any

from apricotpath.fleet import FleetSettings
from apricotpath.groupwaits import WaitLog, group_waits
from apricotpath.hostload import PlacementInput
from apricotpath.jobmetrics import JobMetrics
from apricotpath.jobrows import Run
from apricotpath.jobtable import JobTable
from apricotpath.lookahead import Lookahead
from apricotpath.planevents import PlanCounts, SizeClass
from apricotpath.runplacement import Placement, place
from apricotpath.runtimes import RunTimeRatios
from apricotpath.workload import RunResult, Step

log = logging.getLogger(__name__)


class Planning:
    """Chooses starts for one term; `ahead` is None without the setting `backfill`."""

    def __init__(self, cfg: FleetSettings, metrics: JobMetrics) -> None:
        self.ahead = Lookahead() if cfg.backfill else None
        self._metrics = metrics
        self._waits = WaitLog()
        self._totals = PlanCounts()
        # By whether they are those of filler tasks.
        self._ratios = {False: RunTimeRatios(), True: RunTimeRatios()}

    @property
    def held(self) -> int:
        """How many reservations are held."""
        return len(self.ahead.reservations) if self.ahead is not None else 0

    def loaded(self, now: float) -> None:
        """Note that the runs known now were read from the log: their starts are not known."""
        if self.ahead is not None:
            self.ahead.forecasts.known_since = now

    def place(self, table: JobTable, inputs: PlacementInput) -> list[Placement]:
        """Return the tasks to start now, in order, and count them."""
        placements = place(table, inputs, self.ahead)
        placed = [(placement.task, placement.host) for placement in placements]
        for wait in group_waits(table, placed, inputs.hosts, inputs.now):
            self._waits.add(wait)
            self._metrics.group_started(wait)
        if self.ahead is not None:
            counts = self.ahead.take_counts()
            self._metrics.plan_changed(counts)
            self._totals.add(counts)
        return placements

    def run_ended(self, step: Step, run: Run | None, result: RunResult, now: float) -> None:
        """Learn the time of a run that was done, if it ran in one piece and its start is known."""
        if self.ahead is None or run is None or result is not RunResult.DONE:
            return
        resumed = step.checkpoints and run.run > 1
        if step.long_running or resumed or run.since <= self.ahead.forecasts.known_since:
            return
        ran_s, times = now - run.since, self.ahead.times
        self._ratios[step.filler].add(ran_s, times.expected_s(step, now))
        times.note(step, ran_s, now)

    def log_state(self, now: float) -> None:
        """Log the waits of groups by size class, and the plan if there is one."""
        extra: dict[str, Any] = {
            f"{size.value}_waits": self._waits.summary(size)._asdict() for size in SizeClass
        }
        if self.ahead is not None:
            totals = self._totals
            extra |= {
                "made": totals.made,
                "used": totals.used,
                "given_up": {reason.value: count for reason, count in totals.given_up.items()},
                "backfilled": totals.backfilled,
                "run_kinds": len(self.ahead.times),
                "run_ratios": self._ratios[False].summary()._asdict(),
                "filler_run_ratios": self._ratios[True].summary()._asdict(),
                "reservations": [
                    {
                        "job": item.group[0],
                        "step": item.group[2],
                        "hosts": len(item.slots),
                        "starts_in_s": round(
                            max(slot.starts_at for slot in item.slots.values()) - now, 2
                        ),
                        "held_s": round(now - item.held_since, 2),
                    }
                    for item in self.ahead.reservations.values()
                ],
            }
        log.info("groups started", extra=extra)
