"""Order in which the waiting tasks of jobs are placed."""

from dataclasses import dataclass
from operator import itemgetter

from apricotpath.hostload import PlacementInput
from apricotpath.ids import JobId
from apricotpath.jobrows import JobRow, Task
from apricotpath.jobtable import JobTable
from apricotpath.steps import Steps, finish
from apricotpath.workload import Job, Queue, Step, StepKey, TaskKey

# A job that ends later than LATE_FACTOR times its objective is of little use and placed last; one
# that has waited longer than STARVING_FACTOR times its objective ranks as on time again.
LATE_FACTOR = 3.0
STARVING_FACTOR = 12.0
GROUPS_PER_STEP = 64


@dataclass(slots=True)
class WaitingGroup:
    """The waiting tasks of one step and occurrence."""

    row: JobRow
    step: Step
    queue: Queue
    tasks: list[Task]

    @property
    def key(self) -> StepKey:
        """Job, occurrence and step of the tasks."""
        return self.tasks[0].key.step_key


def waiting_groups(table: JobTable, inputs: PlacementInput) -> list[WaitingGroup]:
    """Return the due waiting tasks grouped by step and occurrence, in placement order."""
    return finish(group_in_steps(table, inputs))


def group_in_steps(table: JobTable, inputs: PlacementInput) -> Steps[list[WaitingGroup]]:
    """Do the same in steps.

    The waiting tasks must not change between the steps. Jobs may end; their tasks are left out.
    """
    # The keys are computed beside the groups, since all groups are ordered in each pass.
    ordered: list[tuple[tuple[int, bool, int, float, float], WaitingGroup]] = []
    works: dict[JobId, float] = {}
    for number, tasks in enumerate(table.waiting_steps.values(), start=1):
        if number % GROUPS_PER_STEP == 0:
            yield
        first = next(iter(tasks))
        row = table.rows[first.job]
        job = row.job
        queue = inputs.queues.get(job.queue)
        if not job.steps or queue is None or job.due_s(first.occurrence) > inputs.utc_s:
            continue
        step, work = job.steps[first.step], works.get(first.job)
        if work is None:
            work = works[first.job] = remaining_work(row)
        # Long-running tasks go first: short ones would take the space needed to keep them on few
        # hosts.
        rank = lateness_rank(job, queue, first, inputs.utc_s)
        key = (queue.priority, not step.long_running, rank, work, job.accepted_s)
        ordered.append((key, WaitingGroup(row, step, queue, list(tasks.values()))))
    yield
    ordered.sort(key=itemgetter(0))
    yield
    return [group for _, group in ordered]


def remaining_work(row: JobRow) -> float:
    """Return the estimated processor time that the open occurrences of a job need.

    The unit is a thousandth of a core second.
    """
    steps, work = row.job.steps, 0.0
    for (_, number), state in row.steps.items():
        step = steps[number]
        work += state.remaining * step.estimate_s * step.size.cpu_milli
    return work


def lateness_rank(job: Job, queue: Queue, task: TaskKey, utc_s: float) -> int:
    """Return 0 if a job can still meet its objective, 1 if it is late, 2 if it is very late.

    Under overload, jobs that can still meet their objective go first. A job
    beyond STARVING_FACTOR also ranks 0, which prevents starvation.
    """
    if job.steps[task.step].long_running:
        return 0
    start_s = job.due_s(task.occurrence) or job.accepted_s
    waited_s = max(0.0, utc_s - start_s)
    limit_s = objective_s(job, queue)
    if waited_s > STARVING_FACTOR * limit_s:
        return 0
    total_s = waited_s + longest_chain_s(job, task.step)
    if total_s <= limit_s:
        return 0
    return 1 if total_s <= LATE_FACTOR * limit_s else 2


def objective_s(job: Job, queue: Queue) -> float:
    """Return the seconds after its acceptance or due time within which a job should end."""
    return queue.stretch * longest_chain_s(job, 0) + queue.target_s


def longest_chain_s(job: Job, first: int) -> float:
    """Return the estimated seconds of the longest chain of dependent steps from step `first`.

    For step 0 this is the longest chain of the whole job.
    """
    # Asked for each group in each pass; most jobs have one step.
    if len(job.steps) == 1:
        return job.steps[0].estimate_s
    ends: dict[int, float] = {}
    for number, step in enumerate(job.steps):
        before = [ends[earlier] for earlier in step.after if earlier in ends]
        if number == first or before or (first == 0 and not step.after):
            ends[number] = max(before, default=0.0) + step.estimate_s
    return max(ends.values(), default=0.0)
