"""An agent's knowledge of which runs were on its executor when it crashed."""

from collections import deque
from dataclasses import replace

from apricotpath.boottime import boot_s
from apricotpath.ids import InstanceId
from apricotpath.messages import ExecutorCrash, RunAtCrash
from apricotpath.workload import HostFacts
from apricotpathd.attachment import Attachment

# Crashes that are reported again with each attachment, in case the scheduler has changed.
MAX_CRASHES = 4
# Reported for runs that an earlier attachment started.
LONG_RUN_MS = 1 << 30


class CrashWatch:
    """Keeps the runs that were there when the executor stopped answering.

    Starts that are ordered after that moment had no effect and must not count.
    """

    def __init__(self) -> None:
        # Each with the boot-clock time (seconds) from which on the executor did not answer.
        self._crashes: deque[tuple[float, ExecutorCrash]] = deque(maxlen=MAX_CRASHES)
        self._answered_at = float("-inf")
        self._silent_since = float("inf")
        self._runs: tuple[RunAtCrash, ...] | None = None

    def recent_crashes(self) -> tuple[ExecutorCrash, ...]:
        """Return the newest crashes, with the time since each."""
        now = boot_s()
        return tuple(replace(crash, ago_ms=round((now - at) * 1000)) for at, crash in self._crashes)

    def on_answer(self) -> None:
        """Note that the executor has answered a renewal."""
        self._answered_at = boot_s()
        self._runs = None

    def on_silence(self, attached: Attachment, disconnected: bool) -> None:
        """Note that the executor did not answer.

        If it was `disconnected`, it was alive until now, otherwise at least until its last answer.
        """
        if self._runs is None:
            self._silent_since = boot_s()
            alive_until = self._silent_since if disconnected else self._answered_at
            self._runs = tuple(_runs_of(attached, alive_until))

    def on_crash(self, facts: HostFacts, attached: Attachment | None) -> None:
        """Note that an executor has been replaced without having announced its end."""
        if attached is not None:
            self.on_silence(attached, disconnected=False)
        crash = ExecutorCrash(InstanceId(facts.instance), facts.born_ms, self._runs or ())
        at = self._silent_since if self._runs is not None else boot_s()
        self._crashes.append((at, crash))
        self._runs = None


def _runs_of(attached: Attachment, alive_until: float) -> list[RunAtCrash]:
    """Return the runs of an attachment, those with a start in progress included."""
    runs = []
    for task, run in attached.reported_runs | attached.views.keys():
        view = attached.views.get((task, run))
        ran_ms = LONG_RUN_MS
        if view is not None:
            ran_ms = max(0, round((alive_until - min(view.settled_at, alive_until)) * 1000))
        runs.append(RunAtCrash(task, run, ran_ms))
    return sorted(runs, key=lambda item: (item.task, item.run))
