"""Base of both roles: identity, message dispatch, signals and graceful shutdown."""

import logging
import secrets
import signal
from collections.abc import Callable, Sequence

import anyio
from anyio.abc import TaskGroup, TaskStatus

from apricotpath.codec import PROTOCOL_VERSION, Envelope
from apricotpath.errors import InputError, LinkError
from apricotpath.ids import DataCentreId, IncarnationId, ProcessId
from apricotpath.link import Link
from apricotpath.messages import DataCentreStatus, Heartbeat, Hello, Message
from apricotpath.model import Role
from apricotpath.traffic import Traffic
from apricotpathd.component import Component

log = logging.getLogger(__name__)

INCARNATION_BYTES = 8


class Process:
    """An entry or agent: its components and their common links.

    A subclass sets `components` and may override the heartbeat's fields.
    """

    def __init__(self, role: Role, process: ProcessId, data_centre: DataCentreId) -> None:
        self.incarnation = IncarnationId(secrets.token_hex(INCARNATION_BYTES))
        self.hello = Hello(PROTOCOL_VERSION, role, process, self.incarnation, data_centre)
        self.components: Sequence[Component] = ()
        self.links: list[Link] = []
        self.draining = False
        self._heartbeats = 0
        self._closed_frames = 0
        self._closed_traffic = Traffic()
        self._routes: dict[type[Message], list[Component]] = {}

    def set_components(self, components: Sequence[Component]) -> None:
        """Set the components; a message goes to each that handles its type, in order."""
        self.components = components
        for component in components:
            for kind in component.handles:
                self._routes.setdefault(kind, []).append(component)

    def worker_clock_ms(self) -> int:
        """Return the worker's clock for heartbeats; an entry has none."""
        return 0

    def control_digest(self) -> tuple[int, tuple[DataCentreStatus, ...]]:
        """Return the bundle version and data-centre statuses for heartbeats."""
        return 0, ()

    def heartbeat(self) -> Heartbeat:
        """Return the next heartbeat (see `apricotpath.link.Handler`)."""
        self._heartbeats += 1
        version, statuses = self.control_digest()
        return Heartbeat(self._heartbeats, self.worker_clock_ms(), version, statuses)

    async def opened(self, link: Link) -> None:
        """Add a new link and notify every component."""
        self.links.append(link)
        for component in self.components:
            await component.link_opened(link)

    async def received(self, link: Link, envelope: Envelope) -> None:
        """Pass a message to the components that handle its type."""
        for component in self._routes.get(type(envelope.body), ()):
            try:
                await component.received(link, envelope)
            except LinkError as exc:
                # The link broke while the message was handled; its reader will close it.
                log.info("message from %s not handled: %s", link.peer_id, exc)
            except InputError as exc:
                log.error("malformed message from %s ignored: %s", link.peer_id, exc)

    async def closed(self, link: Link) -> None:
        """Remove a closed link and notify every component."""
        self.links.remove(link)
        self._closed_frames += link.frames_sent + link.frames_received
        self._closed_traffic += link.traffic
        for component in self.components:
            await component.link_closed(link)

    def frames(self) -> int:
        """Return the number of frames sent and received on all links so far."""
        return self._closed_frames + sum(
            link.frames_sent + link.frames_received for link in self.links
        )

    def link_traffic(self) -> Traffic:
        """Return the bytes sent and received on all links so far, by message type."""
        return sum((link.traffic for link in self.links), self._closed_traffic)

    async def serve(self, group: TaskGroup) -> None:
        """Start the background loops of all components in a task group."""
        for component in self.components:
            group.start_soon(component.run)

    async def drain(self) -> None:
        """Wait until all components have finished their current work."""
        self.draining = True
        async with anyio.create_task_group() as group:
            for component in self.components:
                group.start_soon(component.drain)


async def wait_for_stop(group: TaskGroup, reload: Callable[[], None] = lambda: None) -> None:
    """Return at the first SIGTERM or SIGINT; call `reload` at each SIGHUP until `group` ends.

    A SIGHUP during the graceful shutdown must not end the process.
    """
    await group.start(_reload_at_signals, reload)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            log.info("received %s; shutting down", number.name)
            return


async def _reload_at_signals(
    reload: Callable[[], None], *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
) -> None:
    """Call `reload` at each SIGHUP until cancelled; ignore it from then on."""
    try:
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            task_status.started()
            async for _ in signals:
                reload()
    finally:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
