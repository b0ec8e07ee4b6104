"""Placement passes of the scheduler, and how long groups waited for their starts."""

import logging

from apricotpath.groupwaits import SizeClass, WaitLog, group_waits
from apricotpath.hostload import PlacementInput
from apricotpath.jobmetrics import JobMetrics
from apricotpath.jobtable import JobTable
from apricotpath.runplacement import Placement, place

log = logging.getLogger(__name__)


class Planning:
    """Chooses starts for one term."""

    def __init__(self, metrics: JobMetrics) -> None:
        self._metrics = metrics
        self._waits = WaitLog()

    def place(self, table: JobTable, inputs: PlacementInput) -> list[Placement]:
        """Return the tasks to start now, in order, and count them."""
        placements = place(table, inputs)
        placed = [(placement.task, placement.host) for placement in placements]
        for wait in group_waits(table, placed, inputs.hosts, inputs.now):
            self._waits.add(wait)
            self._metrics.group_started(wait)
        return placements

    def log_state(self) -> None:
        """Log the waits of groups by size class."""
        waits = {f"{size.value}_waits": self._waits.summary(size)._asdict() for size in SizeClass}
        log.info("groups started", extra=waits)
