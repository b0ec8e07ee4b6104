"""Links between entries: each dials the registered entries that sort after it."""

import logging

from apricotpath.codec import Envelope
from apricotpath.config import LinkSettings
from apricotpath.ids import EntryId
from apricotpath.link import Handler, Link
from apricotpath.messages import Hello, Message
from apricotpath.model import Role
from apricotpathd.controlview import ControlView
from apricotpathd.dialler import Dialler

log = logging.getLogger(__name__)


class Peers:
    """Component that keeps one link to each other registered entry.

    Of two entries the one whose id sorts first dials, so that there is one
    link between them. While the store is down, the links are kept.
    """

    handles: frozenset[type[Message]] = frozenset()

    def __init__(self, entry: EntryId, hello: Hello, cfg: LinkSettings, handler: Handler) -> None:
        self.entry = entry
        self.links: dict[EntryId, Link] = {}
        self._dialler = Dialler(hello, cfg, handler)

    async def run(self) -> None:
        """Run the dialling loops until cancelled."""
        await self._dialler.run()

    async def received(self, link: Link, envelope: Envelope) -> None:
        """Do nothing; this component handles no messages."""

    async def link_opened(self, link: Link) -> None:
        """Record the newest link to an entry."""
        if link.peer is not None and link.peer.role is Role.ENTRY:
            self.links[EntryId(link.peer.process_id)] = link

    async def link_closed(self, link: Link) -> None:
        """Remove the link unless a newer one has replaced it."""
        if link.peer is not None:
            entry = EntryId(link.peer.process_id)
            if self.links.get(entry) is link:
                del self.links[entry]

    async def drain(self) -> None:
        """Return immediately; links close with the process."""

    def on_view(self, view: ControlView) -> None:
        """Dial the entries of a new view; a failed read changes nothing."""
        if not view.store_up or not self._dialler.running:
            return
        self._dialler.set_targets(
            {
                record.entry: record.address
                for record in view.entries.values()
                if record.entry > self.entry
            }
        )
