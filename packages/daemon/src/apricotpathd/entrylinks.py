"""Selection of the entries that an agent links to: the scheduler and a few others."""

from collections.abc import Mapping

import anyio

from apricotpath.boottime import boot_s
from apricotpath.entryrecords import EntryRecord
from apricotpath.ids import EntryId, HostId, ProcessId
from apricotpath.quota import rendezvous
from apricotpathd.dialler import Dialler
from apricotpathd.hostagent import HostAgent

# Number of entries other than the scheduler's that an agent stays linked to. They announce a
# new scheduler, also when the agent cannot reach the store.
SPARE_LINKS = 1
# A scheduler that has granted nothing for this long may no longer be the leader.
GRANT_TIMEOUT_S = 1.2
# Without a scheduler, one more entry is dialled per interval. All agents lose the scheduler at
# the same time, and dialling all entries at once would keep its successor busy.
WIDEN_INTERVAL_S = 0.7
REFRESH_INTERVAL_S = 0.4


class EntryLinks:
    """Chooses the entries that an agent dials; `run` must be running.

    Even an unused link costs resources at both ends, so with links to all entries
    each entry would serve every agent.
    """

    def __init__(self, host: HostId, agent: HostAgent, dialler: Dialler) -> None:
        self.registered: dict[ProcessId, EntryRecord] = {}
        self._host, self._agent, self._dialler = host, agent, dialler
        self._granted_at = boot_s()

    def set_entries(self, entries: Mapping[ProcessId, EntryRecord]) -> None:
        """Set the registered entries; an empty mapping leaves them unchanged."""
        if entries:
            self.registered = dict(entries)
            self.refresh()

    async def run(self) -> None:
        """Update the dialled entries when the agent's state changes, until cancelled."""
        while True:
            changed = self._agent.changed
            self.refresh()
            with anyio.move_on_after(REFRESH_INTERVAL_S):
                await changed.wait()

    def refresh(self) -> None:
        """Dial the entries that the agent needs at present."""
        now = boot_s()
        # Without an executor no grants are expected.
        if not self._agent.has_executor or self._agent.lease_grant_age_s() < GRANT_TIMEOUT_S:
            self._granted_at = now
        extra = int((now - self._granted_at) / WIDEN_INTERVAL_S)
        selected = {*self._preferred(SPARE_LINKS + extra), self._agent.leader}
        self._dialler.set_targets(
            {name: record.address for name, record in self.registered.items() if name in selected}
        )

    def _preferred(self, count: int) -> list[ProcessId]:
        """Return this host's preferred entries other than the scheduler's.

        They are ordered by rendezvous hash; those that are draining come last.
        """
        others = [EntryId(name) for name in self.registered if name != self._agent.leader]
        names = [ProcessId(name) for name in rendezvous(self._host, others)]
        return sorted(names, key=lambda name: self.registered[name].draining)[:count]
