"""Choice of a backend server for a request; time is passed in, in seconds."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import exp
from random import Random

from apricotpath.config import RequestSettings
from apricotpath.ids import ProcessId

# Reason that an agent refuses with when its backend server is down.
BACKEND_DOWN = "the backend server does not accept connections"
# Weight of the newest sample in the moving average of latencies.
LATENCY_WEIGHT = 0.1
# Latency ratios are capped here; higher ones reflect outliers rather than load.
MAX_LATENCY_RATIO = 8.0
MIN_LATENCY_S = 0.0005
# A backend server this much slower than the median is avoided while at least half of the
# candidates are faster and have free slots. Its latency decays with the time constant FADE_S, so
# that it is tried again.
SLOW_FACTOR = 1.5
FADE_S = 10.0
# Consecutive failures after which a backend server is ejected, and for how long; the time doubles
# with each further ejection up to MAX_EJECT_S.
EJECT_FAILURES = 5
EJECT_S = 5.0
MAX_EJECT_S = 60.0
# If more than this share is ejected, the cause is probably not the backend servers, so ejected ones
# are used when no other is left.
MAX_EJECTED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server that is present, not leaving and in service."""

    process: ProcessId
    slots: int
    connections: int


@dataclass(slots=True)
class BackendStats:
    """Measurements of one backend server by an entry."""

    outstanding: int = 0
    latency_s: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    probing: bool = False
    measured_at: float = 0.0


@dataclass(slots=True)
class RoutingTable:
    """Measurements by agent process id."""

    stats: dict[ProcessId, BackendStats] = field(default_factory=dict)

    def of(self, process: ProcessId) -> BackendStats:
        """Return the measurements of a backend server; creates them on first use."""
        found = self.stats.get(process)
        if found is None:
            found = self.stats[process] = BackendStats()
        return found

    def record_sent(self, process: ProcessId, now: float) -> None:
        """Count a request that is about to be sent."""
        stats = self.of(process)
        stats.outstanding += 1
        if stats.ejections and stats.ejected_until <= now:
            stats.probing = True

    def record_result(
        self, process: ProcessId, latency_s: float | None, ok: bool, now: float
    ) -> None:
        """Record the end of a request; `latency_s` is None if there was no answer."""
        stats = self.of(process)
        stats.outstanding -= 1
        if latency_s is not None:
            weight = LATENCY_WEIGHT if stats.latency_s else 1.0
            stats.latency_s += weight * (latency_s - stats.latency_s)
            stats.measured_at = now
        probed, stats.probing = stats.probing, False
        if ok:
            stats.failures = stats.ejections = 0
            return
        stats.failures += 1
        if (probed or stats.failures >= EJECT_FAILURES) and stats.ejected_until <= now:
            pause = min(EJECT_S * 2**stats.ejections, MAX_EJECT_S)
            stats.ejected_until = now + pause
            stats.ejections += 1
            stats.failures = 0

    def record_cancelled(self, process: ProcessId) -> None:
        """Record the end of a request without a result for the backend server.

        It was refused, or its caller disconnected.
        """
        stats = self.of(process)
        stats.outstanding -= 1
        stats.probing = False

    def healthy(self, process: ProcessId, now: float) -> bool:
        """Return whether a backend server is not ejected, or may get a probe."""
        stats = self.stats.get(process)
        return stats is None or _accepts_requests(stats, now)

    def forget(self, process: ProcessId) -> None:
        """Remove the measurements of a backend server that is gone."""
        self.stats.pop(process, None)


def choose(
    candidates: Sequence[Candidate],
    table: RoutingTable,
    cfg: RequestSettings,
    rng: Random,
    now: float,
) -> ProcessId | None:
    """Return the backend server for a request, or None if all are at their window.

    Of `cfg.choices` random candidates the one with the lowest `score` is
    chosen. An ejected one gets one probe at a time after its pause.
    """
    available = [c for c in candidates if table.of(c.process).outstanding < window(c, cfg)]
    if cfg.ejection:
        healthy = [c for c in available if _accepts_requests(table.of(c.process), now)]
        ejected = sum(table.of(c.process).ejected_until > now for c in candidates)
        ejection_applies = ejected <= MAX_EJECTED_SHARE * len(candidates)
        available = healthy if ejection_applies else healthy or available
    if not available:
        return None
    if cfg.choices <= 1:
        return rng.choice(available).process
    available = _without_slow(available, table, now)
    sampled = available if len(available) <= cfg.choices else rng.sample(available, cfg.choices)
    fastest = min(_latency(table.of(c.process)) for c in sampled)
    start = rng.randrange(len(sampled))
    rotated = [*sampled[start:], *sampled[:start]]
    return min(rotated, key=lambda c: score(c, table.of(c.process), fastest)).process


def _without_slow(available: list[Candidate], table: RoutingTable, now: float) -> list[Candidate]:
    """Leave out candidates much slower than the median, if enough others have free slots.

    With a share `s` of slow candidates, two random choices are both slow with
    probability `s` squared, which dominates the p99 for any `s` above a tenth.
    """
    latencies = sorted(_latency(table.of(c.process)) for c in available)
    limit = SLOW_FACTOR * latencies[len(latencies) // 2]
    fast = [
        c
        for c in available
        if (stats := table.of(c.process)).outstanding < c.slots
        and _latency(stats) * exp((stats.measured_at - now) / FADE_S) <= limit
    ]
    return fast if 2 * len(fast) >= len(available) else available


def score(candidate: Candidate, stats: BackendStats, fastest_s: float) -> float:
    """Return the cost of one more request: share of slots in use times relative latency."""
    latency_ratio = min(_latency(stats) / fastest_s, MAX_LATENCY_RATIO)
    return (stats.outstanding + 1) / max(candidate.slots, 1) * latency_ratio


def window(candidate: Candidate, cfg: RequestSettings) -> int:
    """Return how many requests one entry may have outstanding at a backend server.

    Further requests would only queue there, where a later one of a higher
    priority cannot overtake them.
    """
    return max(1, min(candidate.connections, int(candidate.slots * cfg.window)))


def _accepts_requests(stats: BackendStats, now: float) -> bool:
    return stats.ejections == 0 or (stats.ejected_until <= now and not stats.probing)


def _latency(stats: BackendStats) -> float:
    return max(stats.latency_s, MIN_LATENCY_S)
