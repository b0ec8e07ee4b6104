"""What agents tell a scheduler of executors that crash or do not answer."""

from collections import deque
from collections.abc import Sequence

from apricotpath.fleet import Host
from apricotpath.ids import HostId
from apricotpath.jobrows import Run
from apricotpath.messages import HostAttach
from apricotpathd.hostevents import ExecutorName, ReportedCrash, Silence

# Executors that stop answering within this time of each other may have one cause.
TOGETHER_S = 1.0


class CrashReports:
    """Crashes and silences of one term; `queued` are the crashes not recorded yet.

    Times are boot-clock seconds.
    """

    def __init__(self) -> None:
        self.queued: deque[ReportedCrash] = deque()
        self._known: set[ExecutorName] = set()
        self._silences: dict[HostId, Silence] = {}

    def queue_crashes(self, message: HostAttach, now: float) -> None:
        """Queue the crashes that an agent reports, each once per term."""
        for crash in message.crashes:
            name = ExecutorName(message.host, crash.instance, crash.born_ms)
            if name not in self._known:
                self._known.add(name)
                at = now - max(0, crash.ago_ms) / 1000
                self.queued.append(ReportedCrash(message.host, crash, at))

    def note_silence(self, host: Host, runs: Sequence[Run], now: float) -> None:
        """Note that a host's executor, with these runs, does not answer."""
        host.silent_since = now
        at_work = bool(runs) and all(run.survived for run in runs)
        self._silences[host.host] = Silence(host.executor_incarnation(), now, at_work)

    def end_silence(self, host: Host) -> None:
        """Note that a host's executor answers; the silence of one that has crashed is kept."""
        host.silent_since = float("inf")
        silence = self._silences.get(host.host)
        if silence is not None and silence.executor_incarnation == host.executor_incarnation():
            del self._silences[host.host]

    def crashed_with_others(self, name: ExecutorName) -> bool:
        """Tell whether executors crashed together for a reason that is not the start of a task.

        That is so if another one, all of whose runs had survived their start, crashed as well.
        """
        silence = self._silences.get(name.host)
        if silence is None or silence.executor_incarnation != (name.instance, name.born_ms):
            return False
        return any(
            other.at_work and abs(other.since - silence.since) <= TOGETHER_S
            for host, other in self._silences.items()
            if host != name.host
        )
