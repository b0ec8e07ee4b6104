"""What the runs on one host reserve and use."""

from dataclasses import dataclass, field
from typing import TypeVar

from apricotpath.model import Size
from apricotpath.workload import NO_SIZE, Step, StepKey, TaskKey

Key = TypeVar("Key")

# Share of its reserved processors that a long-running task is assumed to use when filler tasks
# are placed.
SERVING_CPU_SHARE = 0.45


@dataclass(slots=True)
class Commitments:
    """Resources committed on one host.

    `claimed` is what tasks reserve; filler tasks reserve no processors. `long_running`
    is the part of it that long-running tasks reserve. `serving_milli` are the processors of
    serving tasks and `other_milli` those of all others, in thousandths of a core.
    `fillers` and `serving` count tasks, `serving_images` counts serving tasks by image,
    `steps` counts tasks by step, `runs` all runs and `starting` those that have not survived their
    start yet.
    """

    claimed: Size = NO_SIZE
    long_running: Size = NO_SIZE
    serving_milli: int = 0
    other_milli: int = 0
    fillers: int = 0
    serving: int = 0
    serving_images: dict[str, int] = field(default_factory=dict)
    steps: dict[StepKey, int] = field(default_factory=dict)
    runs: int = 0
    starting: int = 0

    @property
    def used(self) -> float:
        """Estimated processors in use, filler tasks included, in thousandths of a core."""
        return self.serving_milli * SERVING_CPU_SHARE + self.other_milli

    def add(self, task: TaskKey, step: Step, count: int = 1) -> None:
        """Commit more tasks of a step, or take back some if the count is negative."""
        size = reserved_size(step)
        size = Size(size.cpu_milli * count, size.memory_mb * count, size.accelerators * count)
        self.runs += count
        self.fillers += step.filler * count
        self.claimed = self.claimed + size
        if step.long_running:
            self.long_running = self.long_running + size
        if step.long_running and not step.filler:
            self.serving += count
            self.serving_milli += step.size.cpu_milli * count
            _count(self.serving_images, step.image, count)
        else:
            self.other_milli += step.size.cpu_milli * count
        _count(self.steps, task.step_key, count)

    def copy_from(self, other: "Commitments") -> None:
        """Take over the commitments of another host or of an earlier time."""
        self.claimed, self.long_running = other.claimed, other.long_running
        self.serving_milli, self.other_milli = other.serving_milli, other.other_milli
        self.fillers, self.serving, self.steps = other.fillers, other.serving, dict(other.steps)
        self.serving_images = dict(other.serving_images)
        self.runs, self.starting = other.runs, other.starting


def _count(counts: dict[Key, int], key: Key, change: int) -> None:
    """Change a count, which is left out while it is 0."""
    left = counts.get(key, 0) + change
    if left:
        counts[key] = left
    else:
        del counts[key]


def reserved_size(step: Step) -> Size:
    """Return the resources that a task reserves; a filler task reserves no processors."""
    if not step.filler:
        return step.size
    return Size(0, step.size.memory_mb, step.size.accelerators)
