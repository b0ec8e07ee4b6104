"""Absences of long-running tasks: the time from the end of a run to the next start of its task."""

from enum import Enum
from typing import NamedTuple

from apricotpath.hostleases import LeaseBasis

# Longest time (seconds) that a long-running task is away while there is room for it.
MAX_ABSENCE_S = 9.0


class AbsenceBasis(Enum):
    """What the end of a run is known from, where no lease had to expire.

    UNLISTED: its host reported all of its runs without this one. NOT_STARTED: its start was not
    sent, or refused. EARLIER_TERM: an earlier scheduler had recorded it.
    """

    REPORT = "report"
    UNLISTED = "unlisted"
    NOT_STARTED = "not started"
    EARLIER_TERM = "earlier term"


EndBasis = AbsenceBasis | LeaseBasis


class Absence(NamedTuple):
    """Since when (boot-clock seconds) a task does not run, and what that is known from.

    It begins when its host reported the run last, but not before the term of this scheduler.
    """

    since: float
    basis: EndBasis
