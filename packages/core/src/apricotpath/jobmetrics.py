"""Metrics of jobs, their runs, and calls to the store and executors."""

from apricotpath.absences import EndBasis
from apricotpath.clientlimits import Limit
from apricotpath.groupwaits import GroupWait
from apricotpath.ids import QueueId
from apricotpath.metrics import MetricSet
from apricotpath.workload import Progress, RunResult

# Limits label cardinality, since operators choose queue names; other queues share one label.
MAX_QUEUES = 256
OTHER_QUEUES = QueueId("other")
# Upper bounds of the buckets for absences of tasks, in seconds.
ABSENCE_BUCKETS_S = [0.1, 0.2, 0.5, *map(float, range(1, 13)), 15.0, 20.0, 30.0, 60.0]


class JobMetrics(MetricSet):
    """Metrics of one process that serves, schedules or runs jobs; times are in seconds."""

    def __init__(self) -> None:
        super().__init__()
        self._queues: set[QueueId] = set()
        self._call_s = self._histogram(
            "apricotpath_job_call_seconds", "Time to answer a caller's call on jobs"
        )
        self._calls = self._counter(
            "apricotpath_job_calls_total", "Callers' calls on jobs by status"
        )
        self._wait_s = self._histogram(
            "apricotpath_task_wait_seconds", "Time from a task's turn to the order of its run"
        )
        self._absence_s = self._histogram(
            "apricotpath_task_absence_seconds",
            "Time from the end of a run of a long-running task to its next start, by what the end "
            "is known from",
            ABSENCE_BUCKETS_S,
        )
        self._job_s = self._histogram(
            "apricotpath_job_seconds", "Time from the acceptance of a job to its final state"
        )
        self._runs = self._counter("apricotpath_runs_ended_total", "Ends of runs by result")
        self._crashes = self._counter(
            "apricotpath_executor_crashes_total", "Executors that ended without notice"
        )
        self._group_wait_s = self._histogram(
            "apricotpath_group_wait_seconds", "Time that groups waited for their starts, by size"
        )
        self._outward_call_s = self._histogram(
            "apricotpath_outward_call_seconds", "Time of calls to the store and the executor"
        )
        self._outward_calls = self._counter(
            "apricotpath_outward_calls_total", "Calls to the store and the executor by outcome"
        )
        self._upkeep_orders = self._counter(
            "apricotpath_upkeep_orders_total", "Orders of machine upkeep by answer"
        )

        self._limits = self._counter(
            "apricotpath_client_limits_total", "Requests and connections ended by a limit"
        )

    def client_limited(self, limit: Limit) -> None:
        """Count a request or connection that a limit on clients has ended."""
        self._limits.inc({"limit": limit.value})

    def _queue_label(self, queue: QueueId) -> QueueId:
        if len(self._queues) < MAX_QUEUES:
            self._queues.add(queue)
        return queue if queue in self._queues else OTHER_QUEUES

    def call_answered(self, call: str, queue: QueueId, status: int, seconds: float) -> None:
        """Count a caller's call that was answered."""
        labels = {"call": call, "queue": self._queue_label(queue)}
        self._call_s.add(labels, seconds)
        self._calls.inc({**labels, "status": str(status)})

    def task_ordered(self, queue: QueueId, waited_s: float) -> None:
        """Count a run that was ordered."""
        self._wait_s.add({"queue": self._queue_label(queue)}, waited_s)

    def absence_ended(self, basis: EndBasis, away_s: float) -> None:
        """Count a start of a long-running task that had run before."""
        self._absence_s.add({"basis": basis.value}, away_s)

    def group_started(self, wait: GroupWait) -> None:
        """Count a group of which a pass has started tasks."""
        labels = {"queue": self._queue_label(wait.queue), "size": wait.size.value}
        self._group_wait_s.add(labels, wait.waited_s)

    def run_ended(self, queue: QueueId, result: RunResult) -> None:
        """Count a run that ended or was given up as lost."""
        self._runs.inc({"queue": self._queue_label(queue), "result": result.value})

    def executor_crashed(self) -> None:
        """Count a crash of an executor that the scheduler has heard of."""
        self._crashes.inc({})

    def job_ended(self, queue: QueueId, progress: Progress, seconds: float) -> None:
        """Count a job that has reached its final state."""
        self._job_s.add({"queue": self._queue_label(queue), "progress": progress.value}, seconds)

    def upkeep_answered(self, answer: str) -> None:
        """Count an order of the upkeep of a machine."""
        self._upkeep_orders.inc({"answer": answer})

    def outward_call_ended(self, call: str, outcome: str, seconds: float) -> None:
        """Count a call to the store or an executor."""
        self._outward_call_s.add({"call": call}, seconds)
        self._outward_calls.inc({"call": call, "outcome": outcome})
