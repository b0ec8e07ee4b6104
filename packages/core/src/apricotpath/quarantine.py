"""Decides which hosts are set aside, since they fail the runs of several jobs.

A job that fails on several hosts and succeeds on none is taken for the cause of its failures,
and hosts with failures of it are not set aside for these. A run counts against its host only
if it was ordered after the host was set aside last.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from apricotpath.fleet import INITIAL_SET_ASIDE_S, Host
from apricotpath.ids import HostId, JobId, ServiceId

# A host is set aside (gets no new runs) after it failed runs of this many jobs without a success
# in between.
SET_ASIDE_AFTER_JOBS = 2
# A job that fails on this many hosts, and has no success, is the cause.
HOPELESS_AFTER_HOSTS = 2
MAX_SET_ASIDE_S = 30.0
# At least this share of the hosts of a service that could take runs is not set aside.
MIN_USABLE_SHARE = 0.5
# Jobs whose results are remembered.
MAX_JOBS = 10_000


@dataclass(slots=True)
class _JobResults:
    """Where runs of a job have failed, and whether any has succeeded.

    `excused`: its failures do not count against these hosts any more.
    """

    failed_on: set[HostId] = field(default_factory=set)
    succeeded: bool = False
    excused: bool = False

    @property
    def hopeless(self) -> bool:
        """Whether the job, not its hosts, is taken for the cause of its failures."""
        return not self.succeeded and len(self.failed_on) >= HOPELESS_AFTER_HOSTS


class Quarantine:
    """Sets hosts aside and takes them back; times are boot-clock seconds."""

    def __init__(self, hosts: Mapping[HostId, Host], silent_s: float) -> None:
        self._hosts, self._silent_s = hosts, silent_s
        self._jobs: dict[JobId, _JobResults] = {}

    def record_success(self, host: Host, job: JobId) -> None:
        """Note a run that is done: neither its host nor its job is at fault."""
        self._results(job).succeeded = True
        host.failed_jobs.clear()
        host.set_aside_s = INITIAL_SET_ASIDE_S

    def record_failure(self, host: Host, job: JobId, ordered_at: float, now: float) -> bool:
        """Count a failed run; return True if its host is set aside because of it."""
        results = self._results(job)
        results.failed_on.add(host.host)
        if results.hopeless:
            self._excuse(job, results)
            return False
        if ordered_at <= host.set_aside_at:
            return False
        host.failed_jobs.add(job)
        if len(host.failed_jobs) < SET_ASIDE_AFTER_JOBS or not self._may_spare(host, now):
            return False
        host.set_aside_at, host.set_aside_until = now, now + host.set_aside_s
        host.set_aside_s = min(2 * host.set_aside_s, MAX_SET_ASIDE_S)
        host.set_aside_for, host.failed_jobs = host.failed_jobs, set()
        return True

    def _results(self, job: JobId) -> _JobResults:
        """Return the results of a job; the oldest jobs are forgotten."""
        results = self._jobs.setdefault(job, _JobResults())
        if len(self._jobs) > MAX_JOBS:
            del self._jobs[next(iter(self._jobs))]
        return results

    def _excuse(self, job: JobId, results: _JobResults) -> None:
        """Take back, once, what a hopeless job's failures have counted against hosts."""
        if results.excused:
            return
        results.excused = True
        for host in filter(None, map(self._hosts.get, results.failed_on)):
            host.failed_jobs.discard(job)
            if job in host.set_aside_for:
                host.set_aside_for.discard(job)
                if len(host.set_aside_for) < SET_ASIDE_AFTER_JOBS:
                    host.take_back()

    def _may_spare(self, host: Host, now: float) -> bool:
        """Return whether enough hosts of a host's service are left without it."""
        usable, aside = _divide(self._of_service(host.service), now, self._silent_s)
        left = len(usable) - (host in usable)
        return left > 0 and left >= MIN_USABLE_SHARE * (len(usable) + len(aside))

    def _of_service(self, service: ServiceId | None) -> list[Host]:
        return [host for host in self._hosts.values() if host.service == service]

    def restore_share(self, now: float) -> list[Host]:
        """Take back hosts, those that end soonest first, where too few others are left."""
        services = {host.service for host in self._hosts.values() if host.is_set_aside(now)}
        taken_back = []
        for service in services:
            usable, aside = _divide(self._of_service(service), now, self._silent_s)
            count = len(usable) + len(aside)
            aside.sort(key=lambda host: host.set_aside_until)
            while aside and len(usable) < MIN_USABLE_SHARE * count:
                usable.append(aside.pop(0))
                usable[-1].take_back()
                taken_back.append(usable[-1])
        return taken_back


def _divide(hosts: Iterable[Host], now: float, silent_s: float) -> tuple[list[Host], list[Host]]:
    """Return the hosts that could take runs: those that are not set aside, and those that are."""
    usable: list[Host] = []
    aside: list[Host] = []
    for host in hosts:
        if not host.unavailable_reason(now, silent_s):
            (aside if host.is_set_aside(now) else usable).append(host)
    return usable, aside
