"""How long suspects of crashes have waited for their next start, as records of the run log.

A scheduler that continues the table counts the waits on, so that a series of schedulers delays no
task by more than the records lag behind.
"""

from collections.abc import Iterator
from heapq import nsmallest

from apricotpath.crashes import CALM_S, CrashHistory
from apricotpath.hostload import MAX_SUSPECT_WAIT_S
from apricotpath.jobtable import JobTable
from apricotpath.runrecords import SuspectWaited

# Interval (seconds) of the records.
RECORD_INTERVAL_S = 0.25
# After this time (seconds) a task starts as if it were no suspect, so that no more is recorded.
LONGEST_WAIT_S = CALM_S + MAX_SUSPECT_WAIT_S
# Tasks that are recorded at a time: about 10 kB of the run log.
MAX_RECORDS = 200


def suspect_waits(table: JobTable, now: float) -> list[SuspectWaited]:
    """Return records of the suspects that wait, first those of which the least is recorded."""
    return [record for _, record in nsmallest(MAX_RECORDS, _waits(table, now), key=_recorded_s)]


def _waits(table: JobTable, now: float) -> Iterator[tuple[CrashHistory, SuspectWaited]]:
    """Yield the suspects that wait, unless so much is recorded that no more matters."""
    for key, history in table.crashes.items():
        task = table.waiting.get(key)
        if task is None or not history.suspected or _shorter_s(history) >= LONGEST_WAIT_S:
            continue
        calm_s = max(0.0, now - history.suspected_at)
        yield history, SuspectWaited(key, calm_s, max(0.0, now - task.waiting_since))


def _shorter_s(history: CrashHistory) -> float:
    return min(history.calm_s, history.waited_s)


def _recorded_s(item: tuple[CrashHistory, SuspectWaited]) -> float:
    return _shorter_s(item[0])
