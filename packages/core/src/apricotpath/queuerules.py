"""Rules of queues that are not configured any more, under which their accepted jobs go on."""

from collections.abc import Iterator, Mapping

from apricotpath.ids import QueueId
from apricotpath.jobtable import JobTable
from apricotpath.runrecords import QueueKept
from apricotpath.workload import Queue


def changed_queues(table: JobTable, configured: Mapping[QueueId, Queue]) -> Iterator[QueueKept]:
    """Yield records of the queues with jobs whose newest rules are not in the run log."""
    for name in table.queues_used:
        queue = configured.get(name)
        if queue is not None and table.queues.get(name) != queue:
            yield QueueKept(queue)


def queues_in_force(
    table: JobTable, configured: Mapping[QueueId, Queue], is_older: bool = False
) -> Mapping[QueueId, Queue]:
    """Return the rules of all known queues: those configured, else the last known ones.

    With `is_older`, the last known ones are those of a later configuration, and go first.
    """
    return {**configured, **table.queues} if is_older else {**table.queues, **configured}


def forget_queues(table: JobTable, configured: Mapping[QueueId, Queue]) -> None:
    """Drop the rules of queues that are neither configured nor have a job that has not ended."""
    needed = {row.job.queue for row in table.rows.values() if not row.progress.final or row.tasks}
    for queue in table.queues.keys() - configured.keys() - needed:
        del table.queues[queue]
    table.queues_used &= needed
