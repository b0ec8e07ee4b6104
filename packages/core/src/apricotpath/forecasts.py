"""Expected ends of runs, and what they will free on each host: pure functions and a cache."""

from bisect import bisect_right
from collections.abc import Mapping
from dataclasses import dataclass

from apricotpath.commitments import Commitments, reserved_size
from apricotpath.fleet import Host
from apricotpath.ids import HostId
from apricotpath.jobrows import Run, RunPhase
from apricotpath.jobtable import JobTable
from apricotpath.model import Size
from apricotpath.runtimes import RunTimes
from apricotpath.workload import NO_SIZE, Step

# Progress tells the speed of a run from this gain and this age on.
MIN_GAIN_PERCENT = 5
MIN_SEEN_S = 0.3
# A run that is overdue, or was told to stop, is expected to need at least this long.
MIN_LEFT_S = 0.1
STOP_S = 0.5
# A forecast is made again after this time, since progress changes it.
MAX_FORECAST_AGE_S = 0.5
# Runs of which one pass makes forecasts, which bounds its time; the oldest forecasts go first.
RUNS_PER_PASS = 600
ALL_DONE_PERCENT = 100


def expected_end(
    run: Run, step: Step, times: RunTimes, reported_at: float, now: float, known_since: float
) -> float:
    """Return when a run is expected to end, in boot-clock seconds; never before `now`.

    Reported progress shows the real speed, which for a filler task depends on what it shares its
    host with. The start of a run older than `known_since` is not known, only what it has gained
    since. An overdue run is expected to need as long again as it is overdue: the few tasks that
    run much longer than others would else be expected to end at any moment.
    """
    if step.long_running:
        return float("inf")
    if run.phase is RunPhase.STOPPING:
        return now + STOP_S
    from_start = run.since > known_since and not (step.checkpoints and run.run > 1)
    gain = run.percent - (0 if from_start else run.first_percent)
    seen_s = reported_at - run.since
    if gain >= MIN_GAIN_PERCENT and seen_s >= MIN_SEEN_S:
        end = reported_at + (ALL_DONE_PERCENT - run.percent) * seen_s / gain
    else:
        end = run.since + times.expected_s(step, now)
    return end if end > now + MIN_LEFT_S else now + max(MIN_LEFT_S, now - end)


@dataclass(slots=True)
class HostForecast:
    """What the runs of one host free, and when.

    `ends` are the sorted expected ends of runs that are not long-running. `freed[k]` is what the
    first k of them reserve, and `freed_used[k]` the processors that they use, in thousandths of
    a core. The forecast was made for `commitments` after so many `changes` of them.
    """

    commitments: Commitments
    changes: int
    made_at: float
    ends: list[float]
    freed: list[Size]
    freed_used: list[float]

    def is_for(self, commitments: Commitments) -> bool:
        """Return whether no run has begun or ended on the host since."""
        return self.commitments is commitments and self.changes == commitments.changes

    def count_ended(self, at: float) -> int:
        """Return how many runs are expected to have ended at a time."""
        return bisect_right(self.ends, at)


class Forecasts:
    """Forecasts of all hosts, which are made again as runs begin, end and go on."""

    def __init__(self, times: RunTimes) -> None:
        self.by_host: dict[HostId, HostForecast] = {}
        # Runs ordered until then (boot-clock seconds) were read from the log.
        self.known_since = float("-inf")
        self._times = times

    def copy(self) -> "Forecasts":
        """Return forecasts that may be renewed without changing these; run times are shared."""
        other = Forecasts(self._times)
        other.by_host, other.known_since = self.by_host.copy(), self.known_since
        return other

    def refresh(self, table: JobTable, hosts: Mapping[HostId, Host], now: float) -> None:
        """Renew the forecasts of changed hosts and the oldest ones, up to RUNS_PER_PASS runs."""
        for name in [name for name in self.by_host if name not in hosts]:
            del self.by_host[name]
        stale = []
        for name in hosts:
            known = self.by_host.get(name)
            if known is None or not known.is_for(table.commitments(name)):
                stale.append((known.made_at if known else float("-inf"), name))
            elif now - known.made_at > MAX_FORECAST_AGE_S and known.ends:
                stale.append((known.made_at, name))
        left = RUNS_PER_PASS
        for _, name in sorted(stale):
            if left <= 0:
                return
            self.by_host[name] = self._forecast(table, hosts[name], now)
            left -= 1 + len(table.by_host.get(name, ()))

    def get(self, table: JobTable, host: HostId) -> HostForecast | None:
        """Return the forecast of a host; None if its runs have changed since."""
        found = self.by_host.get(host)
        return found if found and found.is_for(table.commitments(host)) else None

    def _forecast(self, table: JobTable, host: Host, now: float) -> HostForecast:
        ending = []
        for run in table.by_host.get(host.host, {}).values():
            row = table.rows.get(run.task.job)
            if row is None or not row.tasks:
                continue
            step = row.step(run.task)
            if step.long_running:
                continue
            end = expected_end(run, step, self._times, host.reported_at, now, self.known_since)
            ending.append((end, reserved_size(step), float(step.size.cpu_milli)))
        ending.sort(key=lambda item: item[0])
        freed, freed_used = [NO_SIZE], [0.0]
        for _, size, used in ending:
            freed.append(freed[-1] + size)
            freed_used.append(freed_used[-1] + used)
        ends = [item[0] for item in ending]
        found = table.commitments(host.host)
        return HostForecast(found, found.changes, now, ends, freed, freed_used)
