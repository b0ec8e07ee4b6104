"""Figures of a run, computed from latencies, outcomes and the stand-ins' records."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from apricotpath_bench.workerstandin import checkpoint_progress

# Range and precision of the latency histograms.
MAX_LATENCY_US = 300_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
ALL = "all"
PERCENTILES = {"p50_ms": 50.0, "p99_ms": 99.0, "p999_ms": 99.9}


def histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class Latencies:
    """Latencies by (class, team) and outcomes by class, of one phase of a run.

    A latency is measured from the intended arrival, so that it includes the time by
    which a request was sent late.
    """

    histograms: dict[tuple[str, str], HdrHistogram] = field(default_factory=dict)
    outcomes: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))

    def add(self, cls: str, team: str, outcome: str, intended_s: float, ended_s: float) -> None:
        """Count one request; a latency is recorded only for answered ones."""
        self.outcomes[cls][outcome] += 1
        if outcome == "answered":
            key = (cls, team)
            if key not in self.histograms:
                self.histograms[key] = histogram()
            micros = max(1, min(MAX_LATENCY_US, round((ended_s - intended_s) * US_PER_S)))
            self.histograms[key].record_value(micros)

    def merged(self, cls: str = ALL, team: str = ALL) -> HdrHistogram:
        """Return the merged histogram of a class and team; `ALL` matches any."""
        total = histogram()
        for (name, row_team), part in self.histograms.items():
            if cls in (ALL, name) and team in (ALL, row_team):
                total.add(part)
        return total

    def rows(self) -> list[dict[str, Any]]:
        """Return count and percentiles in total, by class, and by class and team."""
        keys = [(ALL, ALL), *((cls, ALL) for cls in sorted({c for c, _ in self.histograms}))]
        keys += sorted(self.histograms)
        return [{"class": c, "team": t, **summary(self.merged(c, t))} for c, t in keys]

    def total(self) -> Counter[str]:
        """Return the number of requests by outcome, over all classes."""
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
    """Batch work in core seconds.

    `done` is the sum of `useful`, which the tasks kept, and `wasted`, which was lost.
    `wasted_by_eviction` is the part of `wasted` that evicted attempts lost.
    `uncheckpointed` is the work that evictions would have lost if the attempts had been
    stopped without a checkpoint.
    """

    done: float = 0.0
    useful: float = 0.0
    wasted: float = 0.0
    wasted_by_eviction: float = 0.0
    uncheckpointed: float = 0.0
    evictions: int = 0
    finished_tasks: int = 0


def batch_work(runs: Iterable[dict[str, Any]], prefix: str = "") -> Batch:
    """Sum the work of attempts in the workers' records, for task ids that start with `prefix`."""
    attempts: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for run in runs:
        if run["task"].startswith(prefix):
            attempts[run["task"]].append(run)
    total = Batch()
    for rows in attempts.values():
        rows.sort(key=lambda run: run["attempt"])
        for at, run in enumerate(rows):
            next_attempt = rows[at + 1] if at + 1 < len(rows) else None
            _add_attempt(total, run, next_attempt)
    return total


def _add_attempt(total: Batch, run: dict[str, Any], next_attempt: dict[str, Any] | None) -> None:
    weight = run["run_time_s"] * run["cpu_milli"] / 1000.0
    start_progress = checkpoint_progress(run["resumed_from"])
    total.done += (run["progress"] - start_progress) * weight
    total.finished_tasks += run["outcome"] == "finished"
    evicted = run["outcome"] == "evicted"
    total.evictions += evicted
    if next_attempt is not None:
        kept_progress = checkpoint_progress(next_attempt["resumed_from"])
    elif run["outcome"] in (None, "finished"):
        kept_progress = run["progress"]
    else:
        kept_progress = checkpoint_progress(run["checkpoint"])
    lost = max(0.0, run["progress"] - kept_progress) * weight
    total.useful += (run["progress"] - start_progress) * weight - lost
    total.wasted += lost
    if evicted:
        total.wasted_by_eviction += lost
        total.uncheckpointed += (run["progress"] - start_progress) * weight


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
    """Return the fraction of work lost to taking a data centre out, beyond its capacity share.

    `before`, `out` and `after` are the core seconds done in three successive spans whose
    lengths in seconds are `times`. `share` is the data centre's share of all capacity.
    """
    rate = before / times[0] if times[0] else 0.0
    expected = rate * (times[1] * (1.0 - share) + times[2])
    return 1.0 - (out + after) / expected if expected else 0.0


def service_time(backends: Iterable[dict[str, Any]], path: str) -> dict[str, Any]:
    """Return count and percentiles of the run times of requests at backend servers.

    Unlike the callers' latency, these do not include delays of the load tool itself.
    """
    hist = histogram()
    for record in backends:
        for run in record["runs"]:
            if run["path"] == path and run["end"] is not None and run["status"] == 200:
                micros = round((run["end"] - run["start"]) * US_PER_S)
                hist.record_value(max(1, min(MAX_LATENCY_US, micros)))
    return summary(hist)


def sends_per_arrival(backends: Iterable[dict[str, Any]], path: str, arrivals: int) -> float:
    """Return the number of requests with a path at backend servers, divided by `arrivals`."""
    sent = sum(run["path"] == path for record in backends for run in record["runs"])
    return sent / arrivals if arrivals else 0.0
