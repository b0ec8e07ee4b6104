"""What one pass of the scheduler decides, to be written in one append."""

from dataclasses import dataclass, field

from apricotpath.ids import FenceToken
from apricotpath.jobtable import JobTable
from apricotpath.runplacement import Placement
from apricotpath.runrecords import RunRecord
from apricotpath.store import Delete, Put
from apricotpathd.hostevents import ExecutorName


@dataclass(slots=True)
class Batch:
    """Records of one append, and the actions to take once they are durable.

    `starts` pairs each placement with the fencing token of the attachment that it was
    decided for. `acked_endings` holds the number of the last ending recorded for each
    incarnation of an executor.
    """

    table: JobTable
    records: list[RunRecord] = field(default_factory=list)
    extra: list[Put | Delete] = field(default_factory=list)
    starts: list[tuple[FenceToken, Placement]] = field(default_factory=list)
    acked_endings: dict[ExecutorName, int] = field(default_factory=dict)

    def apply(self, record: RunRecord, now: float) -> None:
        """Add a record, and apply it to the table."""
        self.records.append(record)
        self.table.apply(record, now)
