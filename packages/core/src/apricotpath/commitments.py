"""What the runs on one host reserve and use."""

from dataclasses import dataclass, field

from apricotpath.ids import JobId
from apricotpath.model import Size
from apricotpath.workload import NO_SIZE, Step, TaskKey

# Share of its reserved processors that a long-running task is assumed to use when filler tasks
# are placed.
SERVING_CPU_SHARE = 0.45


@dataclass(slots=True)
class Commitments:
    """Resources committed on one host.

    `claimed` is what tasks reserve; filler tasks reserve no processors. `long_running`
    is the part of it that long-running tasks reserve. `used` estimates the
    processors in use, filler tasks included, in thousandths of a core.
    `fillers` and `serving` count tasks, `steps` counts tasks by step, `runs` all runs and
    `starting` those that have not survived their start yet.
    """

    claimed: Size = NO_SIZE
    long_running: Size = NO_SIZE
    used: float = 0.0
    fillers: int = 0
    serving: int = 0
    steps: dict[tuple[JobId, int, int], int] = field(default_factory=dict)
    runs: int = 0
    starting: int = 0

    def add(self, task: TaskKey, step: Step) -> None:
        """Commit one more task."""
        self.runs += 1
        self.fillers += step.filler
        self.claimed = self.claimed + reserved_size(step)
        if step.long_running:
            self.long_running = self.long_running + reserved_size(step)
        if step.long_running and not step.filler:
            self.serving += 1
            self.used += step.size.cpu_milli * SERVING_CPU_SHARE
        else:
            self.used += step.size.cpu_milli
        self.steps[task.step_key] = self.steps.get(task.step_key, 0) + 1

    def copy_from(self, other: "Commitments") -> None:
        """Take over the commitments of another host or of an earlier time."""
        self.claimed, self.long_running, self.used = other.claimed, other.long_running, other.used
        self.fillers, self.serving, self.steps = other.fillers, other.serving, dict(other.steps)
        self.runs, self.starting = other.runs, other.starting


def reserved_size(step: Step) -> Size:
    """Return the resources that a task reserves; a filler task reserves no processors."""
    if not step.filler:
        return step.size
    return Size(0, step.size.memory_mb, step.size.accelerators)
