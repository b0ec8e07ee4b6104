"""Figures from what a run recorded: latencies, outcomes, and the stand-ins' records."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from apricotpath_bench.workerstandin import checkpoint_progress

# Latencies are kept in microseconds, up to five minutes, to three digits.
MAX_LATENCY_US = 300_000_000
DIGITS = 3
US_PER_S = 1_000_000
ALL = "all"
PERCENTILES = {"p50_ms": 50.0, "p99_ms": 99.0, "p999_ms": 99.9}


def histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, DIGITS)


@dataclass(slots=True)
class Latencies:
    """Latencies by (class, team) and outcomes by class, of one phase of a run.

    A latency counts from the intended arrival: a request that could not be
    sent in time, because the one before it was slow, has waited as well.
    """

    histograms: dict[tuple[str, str], HdrHistogram] = field(default_factory=dict)
    outcomes: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))

    def add(self, cls: str, team: str, outcome: str, intended_s: float, ended_s: float) -> None:
        """Count one request; only answered ones have a latency."""
        self.outcomes[cls][outcome] += 1
        if outcome == "answered":
            key = (cls, team)
            if key not in self.histograms:
                self.histograms[key] = histogram()
            micros = max(1, min(MAX_LATENCY_US, round((ended_s - intended_s) * US_PER_S)))
            self.histograms[key].record_value(micros)

    def merged(self, cls: str = ALL, team: str = ALL) -> HdrHistogram:
        """Return one histogram of all that match."""
        total = histogram()
        for (name, who), part in self.histograms.items():
            if cls in (ALL, name) and team in (ALL, who):
                total.add(part)
        return total

    def rows(self) -> list[dict[str, Any]]:
        """Return count and percentiles of everything, of each class, and of each class and team."""
        keys = [(ALL, ALL), *((cls, ALL) for cls in sorted({c for c, _ in self.histograms}))]
        keys += sorted(self.histograms)
        return [{"class": c, "team": t, **summary(self.merged(c, t))} for c, t in keys]

    def total(self) -> Counter[str]:
        """Return the outcomes of all classes."""
        return sum(self.outcomes.values(), Counter())

    def curve(self) -> list[list[float]]:
        """Return (percentile, milliseconds) points of all requests, for a plot."""
        total = self.merged()
        points = [50.0, 75.0, 90.0, 95.0, 98.0, 99.0, 99.5, 99.9]
        return [[p, total.get_value_at_percentile(p) / 1000.0] for p in points]


def summary(hist: HdrHistogram) -> dict[str, Any]:
    """Return count and percentiles in milliseconds."""
    values = {name: hist.get_value_at_percentile(p) / 1000.0 for name, p in PERCENTILES.items()}
    return {"count": hist.get_total_count(), **values}


@dataclass(slots=True)
class Batch:
    """Batch work in core seconds; `useful` is what the tasks have kept of it.

    `wasted` was done and lost, `wasted_by_eviction` the part that evicted
    attempts lost. `uncheckpointed` is what evictions would have lost if they had
    stopped the attempts without a checkpoint.
    """

    done: float = 0.0
    useful: float = 0.0
    wasted: float = 0.0
    wasted_by_eviction: float = 0.0
    uncheckpointed: float = 0.0
    evictions: int = 0
    finished_tasks: int = 0


def batch_of(runs: Iterable[dict[str, Any]], prefix: str = "") -> Batch:
    """Return the work in the workers' records, of the tasks whose id starts with `prefix`."""
    attempts: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for run in runs:
        if run["task"].startswith(prefix):
            attempts[run["task"]].append(run)
    total = Batch()
    for rows in attempts.values():
        rows.sort(key=lambda run: run["attempt"])
        for at, run in enumerate(rows):
            following = rows[at + 1] if at + 1 < len(rows) else None
            _add(total, run, following)
    return total


def _add(total: Batch, run: dict[str, Any], following: dict[str, Any] | None) -> None:
    weight = run["run_time_s"] * run["cpu_milli"] / 1000.0
    begun = checkpoint_progress(run["resumed_from"])
    total.done += (run["progress"] - begun) * weight
    total.finished_tasks += run["outcome"] == "finished"
    evicted = run["outcome"] == "evicted"
    total.evictions += evicted
    if following is not None:
        kept = checkpoint_progress(following["resumed_from"])
    elif run["outcome"] in (None, "finished"):
        kept = run["progress"]
    else:
        kept = checkpoint_progress(run["checkpoint"])
    lost = max(0.0, run["progress"] - kept) * weight
    total.useful += (run["progress"] - begun) * weight - lost
    total.wasted += lost
    if evicted:
        total.wasted_by_eviction += lost
        total.uncheckpointed += (run["progress"] - begun) * weight


def busy_core_s(runs: Iterable[dict[str, Any]], start: float, end: float) -> float:
    """Return the core seconds that attempts occupied between two unix times."""
    total = 0.0
    for run in runs:
        until = min(end, run["ended_at"] if run["ended_at"] is not None else end)
        total += max(0.0, until - max(start, run["started_at"])) * run["cpu_milli"] / 1000.0
    return total


def change_cost(
    before: float, out: float, after: float, times: tuple[float, ...], share: float
) -> float:
    """Return the part of the work lost while a data centre left and returned, beyond its share.

    `before`, `out` and `after` are core seconds done in the three spans of
    `times` (their lengths in seconds); `share` is its part of the capacity.
    """
    rate = before / times[0] if times[0] else 0.0
    expected = rate * (times[1] * (1.0 - share) + times[2])
    return 1.0 - (out + after) / expected if expected else 0.0


def service_time(backends: Iterable[dict[str, Any]], path: str) -> dict[str, Any]:
    """Return count and percentiles of the time that requests ran at backend servers.

    Unlike the callers' latency this has no part of the load tool's own delays.
    """
    hist = histogram()
    for record in backends:
        for run in record["runs"]:
            if run["path"] == path and run["end"] is not None and run["status"] == 200:
                micros = round((run["end"] - run["start"]) * US_PER_S)
                hist.record_value(max(1, min(MAX_LATENCY_US, micros)))
    return summary(hist)


def sends_per_arrival(backends: Iterable[dict[str, Any]], path: str, arrivals: int) -> float:
    """Return how many requests with a path reached backend servers, per arrival."""
    sent = sum(run["path"] == path for record in backends for run in record["runs"])
    return sent / arrivals if arrivals else 0.0
