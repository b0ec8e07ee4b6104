"""Logs runs that another incarnation of an executor has than they were ordered for."""

import logging
from collections.abc import Iterable

from apricotpath.fleet import Host
from apricotpath.jobrows import Run
from apricotpath.jobtable import JobTable
from apricotpath.messages import RunEnding

log = logging.getLogger(__name__)


def note_incarnation(host: Host, run: Run) -> None:
    """Log once that another incarnation reports a run than it was ordered for."""
    ordered_for = (run.instance, run.born_ms)
    reported_by = host.executor_incarnation()
    if run.on_other or not run.instance or ordered_for == reported_by:
        return
    run.on_other = True
    log.warning(
        "run reported by another incarnation",
        extra={
            "task": str(run.task),
            "run": run.run,
            "host": host.host,
            "ordered_for": ordered_for,
            "reported_by": reported_by,
        },
    )


def note_ended_incarnations(table: JobTable, host: Host, endings: Iterable[RunEnding]) -> None:
    """Log runs that ended on another incarnation than they were ordered for."""
    ended = {(ending.task, ending.run) for ending in endings}
    if not ended:
        return
    for (key, number), run in table.by_host.get(host.host, {}).items():
        if (str(key), number) in ended:
            note_incarnation(host, run)
