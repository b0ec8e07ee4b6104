"""Log lines at intervals about the load of the hosts and the tasks that wait long."""

import logging
from collections import Counter

from apricotpath.hostload import PlacementInput, host_loads
from apricotpath.ids import QueueId
from apricotpath.jobtable import JobTable
from apricotpath.slices import OPERATIONS_PER_SLICE, Slices
from apricotpath.waitreasons import host_row, long_waits
from apricotpathd.hosttracker import HostTracker

log = logging.getLogger(__name__)

FLEET_LOG_INTERVAL_S = 2.0
# The pairs of images with the highest pressures that are logged.
LOGGED_PAIRS = 16


class FleetLog:
    """Logs the load of the hosts and the waiting tasks."""

    def __init__(self, table: JobTable, tracker: HostTracker) -> None:
        self._table, self._tracker = table, tracker
        self._logged_at = float("-inf")

    def is_due(self, now: float) -> bool:
        """Return whether the lines are due."""
        return now - self._logged_at >= FLEET_LOG_INTERVAL_S

    async def write(self, inputs: PlacementInput, slices: Slices) -> None:
        """Write the lines; other tasks run in between."""
        self._logged_at = inputs.now
        loads = host_loads(self._table, inputs)
        for wait in long_waits(self._table, inputs, loads):
            log.info("tasks waiting", extra=wait)
            await slices.note(OPERATIONS_PER_SLICE)
        log.info(
            "fleet",
            extra={
                "attached": len(self._tracker.links),
                "waiting": dict(self._waiting()),
                "unrecorded_endings": len(self._tracker.endings),
                "gangs_left_out": inputs.gang_turns.left_out,
                "pressures": self._tracker.traits.disturbance.heaviest(LOGGED_PAIRS),
                "hosts": {
                    name: host_row(load, inputs.now, inputs.cfg.silent_s)
                    for name, load in loads.items()
                },
            },
        )

    def _waiting(self) -> Counter[QueueId]:
        """Return the number of waiting tasks of each queue."""
        waiting: Counter[QueueId] = Counter()
        for (job, _, _), tasks in self._table.waiting_steps.items():
            waiting[self._table.rows[job].job.queue] += len(tasks)
        return waiting
