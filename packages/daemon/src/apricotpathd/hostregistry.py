"""Keeps an entry's host table up to date, and records the founders of new services."""

import logging
from collections.abc import Callable

import anyio

from apricotpath.codec import Envelope
from apricotpath.config import PolicySettings
from apricotpath.control import Control
from apricotpath.errors import StoreError
from apricotpath.ids import ServiceId
from apricotpath.link import Link
from apricotpath.messages import Announce, HostReport, Leaving, Message
from apricotpath.model import Role
from apricotpathd.controlview import ControlView
from apricotpathd.hosts import HostTable
from apricotpathd.members import Members

log = logging.getLogger(__name__)

EXPIRE_INTERVAL_S = 1.0


class HostRegistry:
    """Component that updates the host table from announcements and reports."""

    handles: frozenset[type[Message]] = frozenset({Announce, HostReport, Leaving})

    def __init__(
        self,
        policy: PolicySettings,
        hosts: HostTable,
        control: Control,
        members: Members,
        on_founders_recorded: Callable[[], None],
    ) -> None:
        self.policy = policy
        self.hosts = hosts
        self.control = control
        self.members = members
        self.on_founders_recorded = on_founders_recorded
        self._first_seen: dict[ServiceId, float] = {}

    async def run(self) -> None:
        """Expire rows and record the founders of new services until cancelled."""
        while True:
            await anyio.sleep(EXPIRE_INTERVAL_S)
            now = anyio.current_time()
            self.hosts.expire(now, self.policy.key_memory_s)
            await self._record_founders(now)

    async def received(self, link: Link, envelope: Envelope) -> None:
        """Update the row of the agent that sent a message."""
        body = envelope.body
        now = anyio.current_time()
        if isinstance(body, Announce):
            self.hosts.announced(link, body, now)
            if body.service:
                self._first_seen.setdefault(body.service, now)
            return
        assert link.peer is not None
        row = self.hosts.rows.get(link.peer.process_id)
        if row is None or row.link is not link:
            return
        if isinstance(body, HostReport):
            row.report = body
        elif isinstance(body, Leaving):
            row.leaving = True

    async def link_opened(self, link: Link) -> None:
        """Do nothing; the row is added when the agent announces itself."""

    async def link_closed(self, link: Link) -> None:
        """Mark the agent as gone."""
        if link.peer is not None and link.peer.role is Role.AGENT:
            self.hosts.closed(link, anyio.current_time())

    async def drain(self) -> None:
        """Return at once; the table has no work in progress."""

    async def _record_founders(self, now: float) -> None:
        """Record the agents present when a service was first seen, unless they are recorded."""
        view: ControlView = self.members.view
        if not view.store_up:
            return
        for service, seen_at in self._first_seen.items():
            recorded = service in view.founders or self.control.has_founders(service)
            if recorded or now - seen_at < self.policy.founding_s:
                continue
            if self.control.service_rules(service) is None:
                continue
            present = [row.incarnation for row in self.hosts.of_service(service) if row.present]
            try:
                founders = await self.members.changes.record_founders(service, present)
            except StoreError as exc:
                log.info("founders of service %s not recorded yet: %s", service, exc)
                continue
            log.info("founders recorded", extra={"service": service, "founders": len(founders)})
            if self.control.merge_founders(service, founders):
                self.on_founders_recorded()
