"""Sends the start orders of placements whose assignments are durable."""

import logging
from collections.abc import Iterable, Iterator

from apricotpath.absences import AbsenceBasis
from apricotpath.boottime import boot_s
from apricotpath.commitments import reserved_size
from apricotpath.fleet import Host
from apricotpath.hostload import ORDER_BYTES
from apricotpath.ids import Epoch, FenceToken, HostId, TaskId
from apricotpath.jobmetrics import JobMetrics
from apricotpath.jobrows import JobRow, Run, Task
from apricotpath.jobtable import JobTable
from apricotpath.messages import RunOrder, StartRuns
from apricotpath.runplacement import Placement
from apricotpath.slices import OPERATIONS_PER_SLICE, Slices
from apricotpath.workload import TaskKey
from apricotpathd.hosttracker import HostTracker
from apricotpathd.operatorrules import TermRules

log = logging.getLogger(__name__)

# Start orders are sent in messages of about this size, far below the limit of a frame.
MAX_MESSAGE_BYTES = 64 << 10


class StartOrders:
    """Sends start orders to hosts, as far as the operator's rules allow them."""

    def __init__(
        self,
        epoch: Epoch,
        table: JobTable,
        tracker: HostTracker,
        rules: TermRules,
        metrics: JobMetrics,
    ) -> None:
        self._epoch, self._table, self._tracker = epoch, table, tracker
        self._rules, self._metrics = rules, metrics

    async def send(self, starts: Iterable[tuple[FenceToken, Placement]], slices: Slices) -> None:
        """Send the starts of a batch, each decided for an attachment of its host.

        If the host has attached again meanwhile, its first report shows that the run is missing,
        and the task is placed again. Other tasks run between two parts of the orders.
        """
        by_host: dict[HostId, list[tuple[FenceToken, Placement]]] = {}
        for fence, placement in starts:
            by_host.setdefault(placement.host, []).append((fence, placement))
        for name, placements in by_host.items():
            for first in range(0, len(placements), OPERATIONS_PER_SLICE):
                part = placements[first : first + OPERATIONS_PER_SLICE]
                host = self._tracker.hosts[name]
                self._send_to(host, [item for fence, item in part if fence == host.fence])
                await slices.note(len(part))

    def _send_to(self, host: Host, placements: Iterable[Placement]) -> None:
        """Send start orders, except those that became invalid while they were being written."""
        orders: list[RunOrder] = []
        out = host.facts is not None and host.facts.data_centre in self._rules.out()
        out = out or not self._rules.may_decide(boot_s())
        for placement in placements:
            task = self._table.task(placement.task)
            run = task.runs.get(placement.run) if task else None
            row = self._table.rows.get(placement.task.job)
            if task is None or run is None or row is None:
                continue
            if row.to_be_stopped or task.done or out or host.draining:
                self._mark_not_sent(run)
                continue
            # The time spent on writing the assignment does not count as run time.
            run.since = boot_s()
            orders.append(self._order(host, row, task, run))
            self._note(host, row, task, run)
        for chunk in _in_messages(orders):
            if not self._tracker.send(host, StartRuns(host.fence, host.renewal, chunk)):
                for order in chunk:
                    run = self._table.by_host[host.host][TaskKey.parse(order.task), order.run]
                    self._mark_not_sent(run)

    def _mark_not_sent(self, run: Run) -> None:
        self._tracker.mark_lost(run, "its start was not sent", AbsenceBasis.NOT_STARTED)

    def _order(self, host: Host, row: JobRow, task: Task, run: Run) -> RunOrder:
        step = row.step(task.key)
        return RunOrder(
            TaskId(str(task.key)),
            run.run,
            row.job.command,
            task.saved,
            "",
            step.filler,
            step.target_ms,
            self._tracker.traits.pressure(host, step),
            reserved_size(step),
        )

    def _note(self, host: Host, row: JobRow, task: Task, run: Run) -> None:
        """Count and log a start that is ordered."""
        waited_s = run.since - task.waiting_since
        self._metrics.task_ordered(row.job.queue, waited_s)
        log.info(
            "run ordered",
            extra={
                "task": str(task.key),
                "run": run.run,
                "host": host.host,
                "epoch": self._epoch,
                "saved": task.saved,
                "waited_s": round(waited_s, 3),
                "report_age_s": round(run.since - host.reported_at, 3),
            },
        )


def _in_messages(orders: Iterable[RunOrder]) -> Iterator[tuple[RunOrder, ...]]:
    """Yield the orders in the groups that one message takes."""
    group: list[RunOrder] = []
    size = 0
    for order in orders:
        order_bytes = ORDER_BYTES + len(order.command.encode()) + len(order.saved.encode())
        if group and size + order_bytes > MAX_MESSAGE_BYTES:
            yield tuple(group)
            group, size = [], 0
        group.append(order)
        size += order_bytes
    if group:
        yield tuple(group)
