"""Choice of a backend server for a request; time is passed in, in seconds."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import exp
from random import Random

from apricotpath.config import RequestSettings
from apricotpath.ids import ProcessId

# Reason of an agent's refusal when its backend server is down.
BACKEND_DOWN = "the backend server does not accept connections"
LATENCY_WEIGHT = 0.1
# Ratios of latency beyond this say more about outliers than about load.
MAX_SLOWNESS = 8.0
MIN_LATENCY_S = 0.0005
# A backend server this much slower than the median is avoided while at least half of
# the others have free slots. Its measurement fades with FADE_S, so that it is tried again.
SLOW_FACTOR = 1.5
FADE_S = 10.0
# Failures in a row after which a backend server is ejected, and for how long.
EJECT_FAILURES = 5
EJECT_S = 5.0
MAX_EJECT_S = 60.0
# With more than this share ejected, the failures are probably not theirs.
MAX_EJECTED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server that is present, not leaving and in service."""

    process: ProcessId
    slots: int
    connections: int


@dataclass(slots=True)
class BackendStats:
    """What an entry has measured of one backend server."""

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
        """Return the measurements of a backend server, new ones if there are none."""
        found = self.stats.get(process)
        if found is None:
            found = self.stats[process] = BackendStats()
        return found

    def sent(self, process: ProcessId, now: float) -> None:
        """Count a request that is about to be sent."""
        stats = self.of(process)
        stats.outstanding += 1
        if stats.ejections and stats.ejected_until <= now:
            stats.probing = True

    def finished(self, process: ProcessId, latency_s: float | None, ok: bool, now: float) -> None:
        """Count the end of a request; `latency_s` is None if there was no answer."""
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

    def released(self, process: ProcessId) -> None:
        """Count the end of a request that says nothing about the backend server.

        It was refused, or its caller hung up.
        """
        stats = self.of(process)
        stats.outstanding -= 1
        stats.probing = False

    def healthy(self, process: ProcessId, now: float) -> bool:
        """Tell whether a backend server is not ejected, or may get its probe."""
        stats = self.stats.get(process)
        return stats is None or _usable(stats, now)

    def forget(self, process: ProcessId) -> None:
        """Drop a backend server that has gone for good."""
        self.stats.pop(process, None)


def choose(
    candidates: Sequence[Candidate],
    table: RoutingTable,
    cfg: RequestSettings,
    rng: Random,
    now: float,
) -> ProcessId | None:
    """Return the backend server for a request, or None if none has room.

    Of `cfg.choices` random ones the one with the least load wins, weighted by
    its latency against the fastest of them. An ejected one gets one probe at
    a time after its pause.
    """
    room = [c for c in candidates if table.of(c.process).outstanding < window(c, cfg)]
    if cfg.ejection:
        healthy = [c for c in room if _usable(table.of(c.process), now)]
        ejected = sum(table.of(c.process).ejected_until > now for c in candidates)
        trusted = ejected <= MAX_EJECTED_SHARE * len(candidates)
        room = healthy if trusted else healthy or room
    if not room:
        return None
    if cfg.choices <= 1:
        return rng.choice(room).process
    room = _without_slow(room, table, now)
    drawn = room if len(room) <= cfg.choices else rng.sample(room, cfg.choices)
    fastest = min(_latency(table.of(c.process)) for c in drawn)
    start = rng.randrange(len(drawn))
    turned = [*drawn[start:], *drawn[:start]]
    return min(turned, key=lambda c: score(c, table.of(c.process), fastest)).process


def _without_slow(room: list[Candidate], table: RoutingTable, now: float) -> list[Candidate]:
    """Leave out what is much slower than the median, if enough others have free slots.

    With a share `s` of slow ones, two random choices are both slow with a chance
    of `s` squared, which alone would set the p99 for any `s` above a tenth.
    """
    latencies = sorted(_latency(table.of(c.process)) for c in room)
    limit = SLOW_FACTOR * latencies[len(latencies) // 2]
    fast = [
        c
        for c in room
        if (stats := table.of(c.process)).outstanding < c.slots
        and _latency(stats) * exp((stats.measured_at - now) / FADE_S) <= limit
    ]
    return fast if 2 * len(fast) >= len(room) else room


def score(candidate: Candidate, stats: BackendStats, fastest_s: float) -> float:
    """Return the cost of one more request: share of slots in use times slowness."""
    slowness = min(_latency(stats) / fastest_s, MAX_SLOWNESS)
    return (stats.outstanding + 1) / max(candidate.slots, 1) * slowness


def window(candidate: Candidate, cfg: RequestSettings) -> int:
    """Return how many requests one entry may have outstanding at a backend server.

    More would only wait there, where a later one of a higher priority could
    not pass them.
    """
    return max(1, min(candidate.connections, int(candidate.slots * cfg.window)))


def _usable(stats: BackendStats, now: float) -> bool:
    return stats.ejections == 0 or (stats.ejected_until <= now and not stats.probing)


def _latency(stats: BackendStats) -> float:
    return max(stats.latency_s, MIN_LATENCY_S)
