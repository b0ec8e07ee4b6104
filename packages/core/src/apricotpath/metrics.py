"""Prometheus metrics of a process, and the metrics of requests to services."""

from collections.abc import Callable, Sequence

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from apricotpath.ids import ClassId, ServiceId, TeamId
from apricotpath.model import ResultClass

# Upper bounds in seconds, dense enough to estimate a p99.9 between 5 ms and 1 s.
LATENCY_BUCKETS_S = [
    *(0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015, 0.02, 0.03, 0.04, 0.05, 0.075, 0.1),
    *(0.15, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 2.0, 5.0, 10.0, 30.0, 120.0),
]
# Limits label cardinality, since callers choose the team name; other teams share one label.
MAX_TEAMS = 512
OTHER_TEAMS = TeamId("other")


class MetricSet:
    """Metrics of one process in a separate registry."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._gauges: list[tuple[Gauge, Callable[[], float]]] = []

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(name, text, registry=self.registry)

    def _histogram(
        self, name: str, text: str, buckets_s: Sequence[float] = LATENCY_BUCKETS_S
    ) -> Histogram:
        return Histogram(name, text, buckets=list(buckets_s), registry=self.registry)

    def add_gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read whenever the metrics are rendered."""
        self._gauges.append((Gauge(name, text, registry=self.registry), read))

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        for gauge, read in self._gauges:
            gauge.set({}, float(read()))
        content, _headers = render(self.registry, ["text/plain"])
        return bytes(content)


class Metrics(MetricSet):
    """Metrics of requests to services."""

    def __init__(self) -> None:
        super().__init__()
        self._teams: set[TeamId] = set()
        self._latency = self._histogram(
            "apricotpath_request_seconds", "Time from the caller's request to the end of its answer"
        )
        self._outcomes = self._counter("apricotpath_requests_total", "Requests by outcome")
        self._retries = self._counter("apricotpath_retries_total", "Further tries of requests")
        self._refusals = self._counter("apricotpath_refusals_total", "Requests refused by reason")

    def request_finished(
        self,
        service: ServiceId,
        request_class: ClassId,
        team: TeamId,
        result: ResultClass,
        seconds: float,
    ) -> None:
        """Count an ended request; only complete responses are added to the latency histogram."""
        if len(self._teams) < MAX_TEAMS:
            self._teams.add(team)
        label = team if team in self._teams else OTHER_TEAMS
        labels = {"service": service, "class": request_class, "team": label}
        if result is ResultClass.ANSWERED:
            self._latency.add(labels, seconds)
        self._outcomes.inc({**labels, "outcome": result.value})

    def request_retried(self, service: ServiceId) -> None:
        """Count a retry of a request."""
        self._retries.inc({"service": service})

    def request_refused(self, service: ServiceId, reason: str) -> None:
        """Count a request or an attempt that was rejected."""
        self._refusals.inc({"service": service, "reason": reason})
