"""Expected ends of runs, and what they will free on a host: pure functions."""

from dataclasses import dataclass

from apricotpath.commitments import reserved_size
from apricotpath.fleet import Host
from apricotpath.jobrows import Run, RunPhase
from apricotpath.jobtable import JobTable
from apricotpath.model import Size
from apricotpath.workload import NO_SIZE, Step

# Progress tells the speed of a run from this gain and this age on.
MIN_GAIN_PERCENT = 5
MIN_SEEN_S = 0.3
# A run that is overdue, or was told to stop, is expected to need at least this long.
MIN_LEFT_S = 0.1
STOP_S = 0.5
# Assumed for a step without an estimate.
DEFAULT_RUN_S = 1.0
ALL_DONE_PERCENT = 100


def expected_end(run: Run, step: Step, reported_at: float, now: float) -> float:
    """Return when a run is expected to end, in boot-clock seconds; never before `now`.

    Reported progress shows the real speed, which for a filler task depends on what it shares its
    host with. Of a run that has gone on from a checkpoint, only what it has gained since counts.
    An overdue run is expected to need as long again as it is overdue: the few tasks that run much
    longer than others would else be expected to end at any moment.
    """
    if step.long_running:
        return float("inf")
    if run.phase is RunPhase.STOPPING:
        return now + STOP_S
    resumed = step.checkpoints and run.run > 1
    gain = run.percent - (run.first_percent if resumed else 0)
    seen_s = reported_at - run.since
    if gain >= MIN_GAIN_PERCENT and seen_s >= MIN_SEEN_S:
        end = reported_at + (ALL_DONE_PERCENT - run.percent) * seen_s / gain
    else:
        end = run.since + (step.estimate_s or DEFAULT_RUN_S)
    return end if end > now + MIN_LEFT_S else now + max(MIN_LEFT_S, now - end)


@dataclass(slots=True)
class HostForecast:
    """What the runs of one host free, and when.

    `ends` are the sorted expected ends of runs that are not long-running. `freed[k]` is what the
    first k of them reserve, and `freed_used[k]` the processors that they use, in thousandths of
    a core.
    """

    ends: list[float]
    freed: list[Size]
    freed_used: list[float]


def forecast(table: JobTable, host: Host, now: float) -> HostForecast:
    """Return what the runs of a host will free."""
    ending = []
    for run in table.by_host.get(host.host, {}).values():
        row = table.rows.get(run.task.job)
        if row is None or not row.tasks:
            continue
        step = row.step(run.task)
        if step.long_running:
            continue
        end = expected_end(run, step, host.reported_at, now)
        ending.append((end, reserved_size(step), float(step.size.cpu_milli)))
    ending.sort(key=lambda item: item[0])
    freed, freed_used = [NO_SIZE], [0.0]
    for _, size, used in ending:
        freed.append(freed[-1] + size)
        freed_used.append(freed_used[-1] + used)
    return HostForecast([item[0] for item in ending], freed, freed_used)
