"""Prints the time of a pass that places nothing, at 300 hosts with 10,000 waiting tasks.

Run with the packages on PYTHONPATH: python tests/passcost.py [--backfill]
"""

import random
import sys
import time

from apricotpath.fleet import FleetSettings, Host
from apricotpath.hostload import PlacementInput
from apricotpath.ids import DataCentreId, FenceToken, HostId, JobId, QueueId, RackId, ServiceId
from apricotpath.jobtable import JobTable
from apricotpath.lookahead import Lookahead
from apricotpath.model import Size
from apricotpath.runplacement import place
from apricotpath.runrecords import Assigned
from apricotpath.workload import HostFacts, Job, Queue, Step, TaskKey

HOSTS = 300
SERVICE = ServiceId("bakery")
SMALL, PLANNING = QueueId("small"), QueueId("planning")
QUEUES = {
    name: Queue(name, SERVICE, priority=priority, stretch=2.0, target_s=1.0)
    for name, priority in ((SMALL, 0), (PLANNING, 2))
}
NOW = 100.0
WARM_UP_PASSES = 10
PASSES = 20
PASS_S = 0.05


class PassCost:
    """A table with 20 runs on each host, and 960 groups that wait."""

    def __init__(self) -> None:
        self.rng, self.table, self.hosts = random.Random(1), JobTable(), dict[HostId, Host]()
        self.jobs = 0
        for number in range(HOSTS):
            name = HostId(f"h{number}")
            host = Host(name, fence=FenceToken(1), reported=True, reported_at=NOW)
            zone, rack = DataCentreId("z1"), RackId(f"r{number % 20}")
            capacity = Size(16_000, 64_000)
            host.facts = HostFacts(name, 1, SERVICE, zone, rack, capacity=capacity)
            self.hosts[name] = host
            self.run(name, SMALL, Step(14, Size(1100, 1000), 1.0, image="till"))
            self.run(name, PLANNING, Step(6, Size(2000, 3000), 1.0, filler=True, image="plan"))
        for _ in range(840):
            size = Size(self.rng.randint(300, 1600), 500)
            self.add(SMALL, Step(10, size, 1.0, image="till"), NOW - 3)
        for _ in range(20):
            self.add(SMALL, Step(2, Size(12_000, 500), 2.0, image="wide"), NOW - 3)
        for _ in range(100):
            size = Size(self.rng.randint(1800, 7000), self.rng.randint(3000, 13_000))
            self.add(PLANNING, Step(20, size, 4.5, filler=True, image="plan"), NOW - 3)

    def add(self, queue: QueueId, step: Step, since: float) -> JobId:
        """Add a job that waits."""
        self.jobs += 1
        name = JobId(f"{self.jobs:016x}")
        self.table.add(Job(name, queue, "bake", (step,), accepted_s=since), since)
        return name

    def run(self, host: HostId, queue: QueueId, step: Step) -> None:
        """Add a job that runs on a host."""
        name = self.add(queue, step, NOW - 1)
        for position in range(step.count):
            record = Assigned(TaskKey(name, 0, 0, position), 1, host, host, 1)
            self.table.apply(record, NOW - 1)

    def run_pass(self, now: float, ahead: Lookahead | None) -> float:
        """Do one pass, record its starts, and return its processor time in seconds."""
        inputs = PlacementInput(self.hosts, QUEUES, frozenset(), now, now, FleetSettings())
        began = time.process_time()
        placed = place(self.table, inputs, ahead)
        took_s = time.process_time() - began
        for item in placed:
            self.table.apply(Assigned(item.task, item.run, item.host, item.host, 1), now)
        return took_s


def main() -> None:
    """Print the median time of a pass."""
    case, ahead = PassCost(), Lookahead() if "--backfill" in sys.argv else None
    times = [
        case.run_pass(NOW + number * PASS_S, ahead) for number in range(WARM_UP_PASSES + PASSES)
    ]
    waiting, groups = len(case.table.waiting), len(case.table.waiting_steps)
    held = len(ahead.reservations) if ahead is not None else 0
    median_ms = sorted(times[WARM_UP_PASSES:])[PASSES // 2] * 1000
    print(
        f"{waiting} tasks in {groups} groups wait, {held} reservations, {median_ms:.1f} ms a pass"
    )


if __name__ == "__main__":
    main()
