"""How much slower a backend server answers than without load."""

from dataclasses import dataclass, field

from apricotpath.ids import ClassId

# Smoothing factors of a new sample: for the recent latency, and for the baseline when the
# sample is below it and above it.
RECENT_WEIGHT = 0.1
BASELINE_FALL_WEIGHT = 0.1
BASELINE_RISE_WEIGHT = 0.002
# A request class without requests for this long is left out of the slowdown.
PRESSURE_MEMORY_S = 5.0


@dataclass(slots=True)
class ClassLatency:
    """Latency of one request class in seconds: recent, and the baseline without load."""

    recent_s: float
    baseline_s: float
    updated_at: float


@dataclass(slots=True)
class Pressure:
    """Slowdown of the backend server against its baseline latency without load (1.0 = none).

    The baseline follows faster answers quickly and slower ones very slowly,
    so it stays near the fastest tenth of recent answers.
    """

    classes: dict[ClassId, ClassLatency] = field(default_factory=dict)

    def add(self, request_class: ClassId, seconds: float, now: float) -> None:
        """Add the latency of one answer, without its time in the queue."""
        latency = self.classes.get(request_class)
        if latency is None:
            self.classes[request_class] = ClassLatency(seconds, seconds, now)
            return
        latency.recent_s += RECENT_WEIGHT * (seconds - latency.recent_s)
        weight = BASELINE_FALL_WEIGHT if seconds < latency.baseline_s else BASELINE_RISE_WEIGHT
        latency.baseline_s += weight * (seconds - latency.baseline_s)
        latency.updated_at = now

    def value(self, now: float) -> float:
        """Return the mean slowdown of the classes with recent requests."""
        fresh = [c for c in self.classes.values() if now - c.updated_at <= PRESSURE_MEMORY_S]
        ratios = [max(1.0, c.recent_s / max(c.baseline_s, 1e-6)) for c in fresh]
        return sum(ratios) / len(ratios) if ratios else 1.0

    def expected_s(self) -> float:
        """Return the mean recent latency in seconds, 0 if nothing was measured."""
        recent = [c.recent_s for c in self.classes.values()]
        return sum(recent) / len(recent) if recent else 0.0
