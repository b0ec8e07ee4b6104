"""The operator's rules as an entry has read them, and what a scheduler decides by them.

Nothing is started, moved or given up before the rules are read, or while they are outdated. Both
waits are bounded; after them, work goes on by the rules that the run log has kept.
"""

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from apricotpath.ids import DataCentreId, QueueId
from apricotpath.jobtable import JobTable
from apricotpath.queuerules import queues_in_force
from apricotpath.runrecords import OperatorState
from apricotpath.workload import Queue

log = logging.getLogger(__name__)

# Rules are outdated once they were read longer ago. A quiet watch takes one second, and a large
# configuration some more on a narrow link.
MAX_OUT_AGE_S = 3.0
MAX_QUEUES_AGE_S = 6.0
# How long after an entry began to read the rules its scheduler starts nothing without them.
MAX_UNREAD_S = 8.0
# How long a scheduler starts nothing by outdated rules.
MAX_OUTDATED_S = 5.0


@dataclass(frozen=True, slots=True)
class SchedulerRules:
    """The operator's rules as far as they were read: queues, and data centres out of service.

    `queues_read` and `out_read` tell whether what the store has was read, be it nothing or
    malformed; `configured`, whether the queues are those of a valid configuration, which has the
    number `version`. `reading_s`: time since the entry began to read. `queues_age_s` and
    `out_age_s`: maximum ages of what was read; `out_revision`: the store's revision at which `out`
    was read.
    """

    queues: Mapping[QueueId, Queue] = field(default_factory=dict)
    out: frozenset[DataCentreId] = frozenset()
    queues_read: bool = True
    out_read: bool = True
    configured: bool = True
    reading_s: float = float("inf")
    version: int = 0
    queues_age_s: float = 0.0
    out_revision: int = 0
    out_age_s: float = 0.0

    @property
    def read(self) -> bool:
        """Whether all rules were read."""
        return self.queues_read and self.out_read

    @property
    def outdated(self) -> bool:
        """Whether rules that were read may have changed since then."""
        return (self.queues_read and self.queues_age_s > MAX_QUEUES_AGE_S) or (
            self.out_read and self.out_age_s > MAX_OUT_AGE_S
        )


class TermRules:
    """The rules by which a scheduler decides during its term; `table` has those of its run log.

    The run log may have later ones than this entry has read.
    """

    def __init__(self, read: Callable[[], SchedulerRules], table: JobTable) -> None:
        self._read, self._table = read, table
        # Since when (boot-clock seconds) the rules have been outdated.
        self._outdated_since: float | None = None
        self._logged = ""

    def queues(self) -> Mapping[QueueId, Queue]:
        """Return the rules of all known queues."""
        rules = self._read()
        is_older = rules.version < self._table.operator.version
        return queues_in_force(self._table, rules.queues, is_older)

    def configured(self) -> Mapping[QueueId, Queue] | None:
        """Return the queues of the newest known configuration; None if that was not read here."""
        rules = self._read()
        is_newest = rules.configured and rules.version >= self._table.operator.version
        return rules.queues if is_newest else None

    def out(self) -> frozenset[DataCentreId]:
        """Return the data centres that were last known to be out of service."""
        rules, kept = self._read(), self._table.operator
        is_newest = rules.out_read and rules.out_revision >= kept.revision
        return rules.out if is_newest else kept.out

    def new_state(self) -> OperatorState | None:
        """Return what the run log is to keep, unless it does already."""
        rules, kept = self._read(), self._table.operator
        version, out = max(kept.version, rules.version), self.out()
        if version == kept.version and out == kept.out:
            return None
        return OperatorState(version, max(kept.revision, rules.out_revision), out)

    def may_decide(self, now: float) -> bool:
        """Tell whether tasks may be started, moved or given up now (boot-clock seconds)."""
        rules = self._read()
        if not rules.outdated:
            self._outdated_since = None
        elif self._outdated_since is None:
            self._outdated_since = now
        may = rules.read or rules.reading_s > MAX_UNREAD_S
        if self._outdated_since is not None:
            may = may and now - self._outdated_since > MAX_OUTDATED_S
        state = "not read" if not rules.read else "outdated" if rules.outdated else "known"
        self._log(rules, f"{state}; {'tasks start' if may else 'nothing starts'}")
        return may

    def _log(self, rules: SchedulerRules, state: str) -> None:
        """Log by which rules tasks start, when that changes."""
        if state == self._logged:
            return
        former, self._logged = self._logged, state
        known = state.startswith("known")
        if known and not former:
            return
        extra = {
            "queues_read": rules.queues_read,
            "out_read": rules.out_read,
            "queues_age_s": round(rules.queues_age_s, 3) if rules.queues_read else None,
            "out_age_s": round(rules.out_age_s, 3) if rules.out_read else None,
            "reading_s": round(rules.reading_s, 3),
            "version": max(rules.version, self._table.operator.version),
            "out": sorted(self.out()),
        }
        log.log(
            logging.INFO if known else logging.WARNING, "operator's rules %s", state, extra=extra
        )
