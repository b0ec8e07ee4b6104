"""What a scheduler tells hosts of their runs, and learns of how images disturb each other."""

from apricotpath.boottime import boot_s
from apricotpath.commitments import reserved_size
from apricotpath.disturbance import Disturbance
from apricotpath.fleet import Host
from apricotpath.ids import HostId, TaskId
from apricotpath.jobrows import READY_PERCENT, RunPhase
from apricotpath.jobtable import JobTable
from apricotpath.link import Link
from apricotpath.messages import RunTrait, RunTraits
from apricotpath.workload import HostFacts, Step
from apricotpathd.hostsending import send_nowait

# Interval at which hosts with both serving and filler tasks get new interference estimates.
TRAITS_INTERVAL_S = 2.0


class HostTraits:
    """Learns disturbance from hosts' reports, and sends them the traits of their runs."""

    def __init__(self, table: JobTable) -> None:
        self.disturbance = Disturbance()
        self._table = table
        self._sent_at: dict[HostId, float] = {}

    def observe(self, host: Host, link: Link, now: float) -> None:
        """Update the interference estimates, and send them to a host with both kinds of task."""
        if host.facts is None:
            return
        serving: list[tuple[str, float]] = []
        shares: dict[str, float] = {}
        for run in self._table.by_host.get(host.host, {}).values():
            step = self._table.step_of(run.task)
            if run.phase is not RunPhase.RUNNING:
                continue
            if step.filler:
                share = run.load / max(1, host.facts.capacity.cpu_milli)
                shares[step.image] = shares.get(step.image, 0.0) + share
            elif step.target_ms > 0 and run.percent >= READY_PERCENT and run.load > 0:
                serving.append((step.image, run.load / step.target_ms))
        self.disturbance.observe(serving, shares)
        if serving and shares and now - self._sent_at.get(host.host, 0.0) > TRAITS_INTERVAL_S:
            self.send(host, link, fillers_only=True)

    @staticmethod
    def _cpu_share(facts: HostFacts, step: Step) -> float:
        """Return the share of a host's processors that a task uses at full speed."""
        return step.size.cpu_milli / max(1, facts.capacity.cpu_milli)

    def pressure(self, host: Host, step: Step) -> float:
        """Return by how much a filler task raises the logarithm of tail latencies on a host."""
        if not step.filler or host.facts is None:
            return 0.0
        serving = self._table.commitments(host.host).serving_images
        pressure = self.disturbance.highest(step.image, serving)
        return pressure * self._cpu_share(host.facts, step)

    def send(self, host: Host, link: Link, fillers_only: bool = False) -> None:
        """Send a host the traits of its runs."""
        self._sent_at[host.host] = boot_s()
        traits = []
        for run in self._table.runs_on(host.host):
            if run.task not in self._table.rows[run.task.job].tasks:
                continue
            step = self._table.step_of(run.task)
            if step.filler or not fillers_only:
                name, pressure = TaskId(str(run.task)), self.pressure(host, step)
                trait = RunTrait(
                    name, run.run, step.filler, step.target_ms, pressure, reserved_size(step)
                )
                traits.append(trait)
        send_nowait(link, RunTraits(host.fence, tuple(traits)))
