"""Run times learned from runs that have ended, since callers' estimates are far off.

Callers' estimates are off by up to a factor of 2.5 either way, and 3 % of tasks run seven times as
long as others of their kind, so the median is learned.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from statistics import median
from typing import NamedTuple

from apricotpath.workload import Step

# Ended runs of a kind from which on its run time counts as learned, and how many are kept.
MIN_SAMPLES = 5
MAX_SAMPLES = 31
# Samples count for this long.
MAX_SAMPLE_AGE_S = 600.0
# Bounds the memory: callers choose the names of images.
MAX_KINDS = 1024
# Assumed for a step without an estimate while nothing is learned.
DEFAULT_RUN_S = 1.0
# Newest runs of which the percentiles of the ratio to the expected time are taken.
MAX_RATIOS = 500
# Stands for tasks of any size.
ANY_SIZE = -1


class RunKind(NamedTuple):
    """Tasks that are expected to run for about as long.

    `size_class` is the binary order of magnitude of the processors, or ANY_SIZE. Filler tasks are
    a kind of their own, since their times include what they wait for processors.
    """

    image: str
    filler: bool
    size_class: int


@dataclass(slots=True)
class _Samples:
    """Times (boot-clock seconds) and run times (seconds) of the newest ended runs of a kind."""

    items: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    median_s: float = 0.0

    def add(self, ran_s: float, now: float) -> None:
        self.items.append((now, ran_s))
        while now - self.items[0][0] > MAX_SAMPLE_AGE_S:
            self.items.popleft()
        self.median_s = median(item[1] for item in self.items)

    def learned(self, now: float) -> bool:
        return len(self.items) >= MIN_SAMPLES and now - self.items[-1][0] <= MAX_SAMPLE_AGE_S


class RatioSummary(NamedTuple):
    """Percentiles of how many times as long as expected the newest runs took."""

    runs: int
    p5: float
    p50: float
    p95: float


class RunTimeRatios:
    """How many times as long as expected the newest ended runs took."""

    def __init__(self) -> None:
        self._ratios: deque[float] = deque(maxlen=MAX_RATIOS)

    def add(self, ran_s: float, expected_s: float) -> None:
        """Add a run that took `ran_s` seconds in place of `expected_s`; left out if that is 0."""
        if expected_s > 0:
            self._ratios.append(ran_s / expected_s)

    def summary(self) -> RatioSummary:
        """Return the percentiles; zeros if no run has ended."""
        ratios = sorted(self._ratios)
        if not ratios:
            return RatioSummary(0, 0.0, 0.0, 0.0)
        p5, p50, p95 = (ratios[int(share * len(ratios))] for share in (0.05, 0.5, 0.95))
        return RatioSummary(len(ratios), round(p5, 2), round(p50, 2), round(p95, 2))


class RunTimes:
    """Learned run times by image, size class and whether the tasks are filler tasks."""

    def __init__(self) -> None:
        self._samples: OrderedDict[tuple[str, bool, int], _Samples] = OrderedDict()

    def __len__(self) -> int:
        return len(self._samples)

    def note(self, step: Step, ran_s: float, now: float) -> None:
        """Learn from a run that was done after `ran_s` seconds, from the start to the end."""
        if step.long_running:
            return
        for kind in _kinds(step):
            samples = self._samples.get(kind)
            if samples is None:
                samples = self._samples[kind] = _Samples()
            self._samples.move_to_end(kind)
            samples.add(ran_s, now)
        while len(self._samples) > MAX_KINDS:
            self._samples.popitem(last=False)

    def expected_s(self, step: Step, now: float) -> float:
        """Return for how many seconds a task of a step is expected to run.

        A long-running task has no end. What is not learned yet is taken from the caller's estimate.
        """
        if step.long_running:
            return float("inf")
        # Asked for each group and run in a pass, so no keys are made beyond those looked up.
        size_class = step.size.cpu_milli.bit_length()
        samples = self._samples.get((step.image, step.filler, size_class))
        if samples is None or not samples.learned(now):
            samples = self._samples.get((step.image, step.filler, ANY_SIZE))
        if samples is not None and samples.learned(now):
            return samples.median_s
        return step.estimate_s or DEFAULT_RUN_S


def _kinds(step: Step) -> tuple[RunKind, RunKind]:
    """Return the kinds of a step, the closest first."""
    exact = RunKind(step.image, step.filler, step.size.cpu_milli.bit_length())
    return exact, exact._replace(size_class=ANY_SIZE)
