"""An agent's state of its host: the worker's newest status and the table of attempts."""

import logging
from collections.abc import Callable
from datetime import datetime

import anyio

from apricotpath.config import AgentSettings
from apricotpath.errors import WorkerError
from apricotpath.ids import IncarnationId, TeamId
from apricotpath.ledger import Ledger
from apricotpath.model import Size
from apricotpath.rules import Rules
from apricotpath.worker import Worker, WorkerStatus
from apricotpathd.component import UtcClock
from apricotpathd.taskattempts import AttemptTable, Changes, WorkerClock
from apricotpathd.taskchecks import Allowance, allowance

log = logging.getLogger(__name__)

# The worker's clock is read at this interval, so the reading in a heartbeat is at most this
# old plus one call. An older reading only shortens the leases that an owner may grant.
REFRESH_S = 0.25
# Without a status for this long the worker counts as unreachable and starts are refused.
STATUS_STALE_S = 3.0
# Pause before a worker call with an unknown effect is repeated.
RETRY_S = 0.25


class HostView:
    """Settings, rules and state of one host, shared by everything that acts on its tasks.

    `status` is the worker's newest status, None before the first, and
    `status_requested_at` the monotonic time in seconds at which its call began.
    `applied` is called with the changes of each status.
    """

    def __init__(
        self,
        cfg: AgentSettings,
        worker: Worker,
        rules: Rules,
        utc: UtcClock,
        incarnation: IncarnationId,
        applied: Callable[[Changes], None],
    ) -> None:
        self.cfg = cfg
        self.worker = worker
        self.rules = rules
        self.utc = utc
        self.incarnation = incarnation
        self.draining = False
        self.table = AttemptTable(Ledger(Size()))
        policy = cfg.policy
        max_authority_s = policy.task_lease_s + policy.kill_grace_s + policy.start_window_s
        self.clock = WorkerClock(int(max_authority_s * 1000))
        self.status: WorkerStatus | None = None
        self.status_requested_at = -1.0
        self._applied = applied
        self._utc_at_status = utc()
        self._status_received_at = 0.0
        self._refresh_lock = anyio.Lock()
        self._reachable = True

    @property
    def ready(self) -> bool:
        """Whether starts are considered: tasks are adopted and the worker answers."""
        if self.status is None or self.draining:
            return False
        return anyio.current_time() - self._status_received_at <= STATUS_STALE_S

    def allowance(self, team: TeamId, activity: str, utc: datetime) -> Allowance:
        """Decide whether an activity may run on this host at a UTC time."""
        return allowance(self.rules, self.cfg, team, activity, utc)

    def limit_ms(self, allowed: Allowance) -> int | None:
        """Return the latest deadline that the rules allow, on the worker's clock."""
        if allowed.until is None or self.status is None:
            return None
        left_s = (allowed.until - self._utc_at_status).total_seconds()
        return self.status.clock_ms + int(left_s * 1000)

    def set_claim(self) -> None:
        """Commit what the rules reserve for the backend server."""
        if self.cfg.backend is not None:
            self.table.ledger.set_claim(self.rules.claim_of(self.cfg.backend.service))

    async def refresh(self) -> bool:
        """Read the worker's status and apply it; tell whether the worker answered."""
        async with self._refresh_lock:
            status_requested_at = anyio.current_time()
            try:
                status = await self.worker.status()
            except WorkerError as exc:
                if self._reachable:
                    log.warning("cannot read the worker's status: %s", exc)
                self._reachable = False
                return False
            self._reachable = True
            self._apply(status, status_requested_at)
            return True

    async def refresh_forever(self) -> None:
        """Read the worker's status at intervals until cancelled."""
        while True:
            await self.refresh()
            await anyio.sleep(REFRESH_S)

    def _apply(self, status: WorkerStatus, status_requested_at: float) -> None:
        # UTC is read after the status, so a pause in between makes boundaries earlier, not later.
        self._utc_at_status = self.utc()
        if self.clock.update(status):
            log.warning("the worker has restarted and lost its tasks")
        if self.status is None or self.status.size != status.size:
            self.table.ledger.size = _smaller(self.cfg.size, status.size)
        changes = self.table.apply(status, status_requested_at)
        self.status, self.status_requested_at = status, status_requested_at
        self._status_received_at = anyio.current_time()
        self.set_claim()
        self._applied(changes)


def _smaller(a: Size, b: Size) -> Size:
    return Size(
        min(a.cpu_milli, b.cpu_milli),
        min(a.memory_mb, b.memory_mb),
        min(a.accelerators, b.accelerators),
    )
