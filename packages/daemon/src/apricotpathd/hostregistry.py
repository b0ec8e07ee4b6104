"""Keeps an entry's host table, and records the founders of services that are new."""

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
from apricotpathd.hosts import HostTable
from apricotpathd.members import ControlView, Members

log = logging.getLogger(__name__)

EXPIRE_INTERVAL_S = 1.0


class HostRegistry:
    """Component that fills the host table from announcements and reports."""

    handles: frozenset[type[Message]] = frozenset({Announce, HostReport, Leaving})

    def __init__(
        self,
        policy: PolicySettings,
        hosts: HostTable,
        control: Control,
        members: Members,
        on_founders: Callable[[], None],
    ) -> None:
        self.policy = policy
        self.hosts = hosts
        self.control = control
        self.members = members
        self.on_founders = on_founders
        self._first_seen: dict[ServiceId, float] = {}

    async def run(self) -> None:
        """Expire rows and found services until cancelled."""
        while True:
            await anyio.sleep(EXPIRE_INTERVAL_S)
            now = anyio.current_time()
            self.hosts.expire(now, self.policy.key_memory_s)
            await self._found_services(now)

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
        """Wait for the agent to announce itself."""

    async def link_closed(self, link: Link) -> None:
        """Mark the agent gone."""
        if link.peer is not None and link.peer.role is Role.AGENT:
            self.hosts.closed(link, anyio.current_time())

    async def drain(self) -> None:
        """Return at once; the table holds no work."""

    async def _found_services(self, now: float) -> None:
        """Record who was there when a service was first seen, if nobody has."""
        view: ControlView = self.members.view
        if not view.store_up:
            return
        for service, seen_at in self._first_seen.items():
            known = service in view.founders or self.control.has_founders(service)
            if known or now - seen_at < self.policy.founding_s:
                continue
            if self.control.service_rules(service) is None:
                continue
            present = [row.incarnation for row in self.hosts.of_service(service) if row.present]
            try:
                founders = await self.members.found_service(service, present)
            except StoreError as exc:
                log.info("service %s is not recorded yet: %s", service, exc)
                continue
            log.info("service recorded", extra={"service": service, "founders": len(founders)})
            if self.control.offer_founders(service, founders):
                self.on_founders()
