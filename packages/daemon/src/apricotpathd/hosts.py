"""An entry's table of hosts, filled from announcements and reports of agents."""

from dataclasses import dataclass, field

from apricotpath.ids import HostId, IncarnationId, ProcessId, ServiceId
from apricotpath.link import Link
from apricotpath.messages import Announce, HostReport
from apricotpath.model import Maturity


@dataclass(slots=True)
class HostRow:
    """One agent with its host and backend server; times are monotonic seconds.

    `link` is None while the agent is gone. `report` may be older than the link.
    """

    process: ProcessId
    incarnation: IncarnationId
    announce: Announce
    link: Link | None
    report: HostReport | None = None
    seen_at: float = 0.0
    gone_at: float | None = None
    leaving: bool = False

    @property
    def host(self) -> HostId:
        """The host's id."""
        return self.announce.host

    @property
    def present(self) -> bool:
        """Whether a link to the agent is open."""
        return self.link is not None and self.link.is_open

    @property
    def maturity(self) -> Maturity:
        """How complete the agent's memory of idempotency keys is."""
        return self.announce.maturity


@dataclass(slots=True)
class HostTable:
    """Hosts by agent process id; the newest link and incarnation of an agent win.

    Former incarnations of an agent stay in `former_incarnations` while their positions in the
    order of idempotency keys matter (`key_memory_s`). `link_changes` counts new links and
    incarnations, so that scans for new hosts can be skipped while it is unchanged.
    """

    rows: dict[ProcessId, HostRow] = field(default_factory=dict)
    former_incarnations: list[HostRow] = field(default_factory=list)
    link_changes: int = 0
    _services: dict[ServiceId, dict[ProcessId, HostRow]] = field(default_factory=dict)

    def by_host(self, host: HostId) -> HostRow | None:
        """Return the row of a host, or None."""
        return next((row for row in self.rows.values() if row.host == host), None)

    def of_service(self, service: ServiceId) -> list[HostRow]:
        """Return the rows whose backend server runs a service."""
        return list(self._services.get(service, {}).values())

    def announced(self, link: Link, announce: Announce, now: float) -> HostRow:
        """Insert or update the row of the agent at the other end of a link."""
        assert link.peer is not None
        process, incarnation = link.peer.process_id, link.peer.incarnation
        row = self.rows.get(process)
        if row is not None and row.incarnation != incarnation:
            row.link = None
            row.gone_at = row.gone_at if row.gone_at is not None else now
            self.former_incarnations.append(row)
            self._remove_from_service(row)
            row = None
        if row is None:
            row = self.rows[process] = HostRow(process, incarnation, announce, None)
        if row.link is not link:
            self.link_changes += 1
        if row.announce.service != announce.service:
            self._remove_from_service(row)
        self._services.setdefault(announce.service, {})[process] = row
        row.announce, row.link, row.gone_at = announce, link, None
        row.leaving = row.leaving or announce.leaving
        row.seen_at = now
        return row

    def closed(self, link: Link, now: float) -> HostRow | None:
        """Mark an agent as gone and return its row, or None if this is not its current link."""
        row = self.rows.get(link.peer.process_id) if link.peer is not None else None
        if row is None or row.link is not link:
            return None
        row.link, row.gone_at = None, now
        return row

    def expire(self, now: float, keep_s: float) -> None:
        """Drop rows of agents that have been gone for longer than `keep_s` seconds."""
        self.former_incarnations = [
            row for row in self.former_incarnations if now - (row.gone_at or 0.0) <= keep_s
        ]
        for process, row in list(self.rows.items()):
            if row.gone_at is not None and now - row.gone_at > keep_s:
                del self.rows[process]
                self._remove_from_service(row)

    def _remove_from_service(self, row: HostRow) -> None:
        """Remove a row from the list of its service."""
        rows = self._services.get(row.announce.service, {})
        if rows.get(row.process) is row:
            del rows[row.process]
            if not rows:
                del self._services[row.announce.service]
