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
        """Age class of the agent's memory of idempotency keys."""
        return self.announce.maturity


@dataclass(slots=True)
class HostTable:
    """Hosts by agent process id; the newest link and incarnation of an agent win.

    Former incarnations of an agent stay in `former` for as long as their
    places in the key order matter (`key_memory_s`). `openings` counts new links
    and incarnations, so that a scan for these can be left out while it stands.
    """

    rows: dict[ProcessId, HostRow] = field(default_factory=dict)
    former: list[HostRow] = field(default_factory=list)
    openings: int = 0
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
            self.former.append(row)
            self._unlist(row)
            row = None
        if row is None:
            row = self.rows[process] = HostRow(process, incarnation, announce, None)
        if row.link is not link:
            self.openings += 1
        if row.announce.service != announce.service:
            self._unlist(row)
        self._services.setdefault(announce.service, {})[process] = row
        row.announce, row.link, row.gone_at = announce, link, None
        row.leaving = row.leaving or announce.leaving
        row.seen_at = now
        return row

    def closed(self, link: Link, now: float) -> HostRow | None:
        """Mark the agent gone if this was its current link; return its row then."""
        row = self.rows.get(link.peer.process_id) if link.peer is not None else None
        if row is None or row.link is not link:
            return None
        row.link, row.gone_at = None, now
        return row

    def expire(self, now: float, keep_s: float) -> None:
        """Drop rows of agents that have been gone for longer than `keep_s` seconds."""
        self.former = [row for row in self.former if now - (row.gone_at or 0.0) <= keep_s]
        for process, row in list(self.rows.items()):
            if row.gone_at is not None and now - row.gone_at > keep_s:
                del self.rows[process]
                self._unlist(row)

    def _unlist(self, row: HostRow) -> None:
        """Remove a row from the list of its service."""
        rows = self._services.get(row.announce.service, {})
        if rows.get(row.process) is row:
            del rows[row.process]
            if not rows:
                del self._services[row.announce.service]
