"""Links between entries: each dials the registered entries that sort after it."""

import logging

from apricotpath.codec import Envelope
from apricotpath.config import LinkSettings
from apricotpath.ids import EntryId
from apricotpath.link import Handler, Link
from apricotpath.messages import Hello, Message
from apricotpath.model import Role
from apricotpathd.dialler import Dialler
from apricotpathd.members import ControlView

log = logging.getLogger(__name__)


class Peers:
    """Component that keeps one link to each other registered entry.

    Of two entries the one whose id sorts first dials, so that there is one
    link between them. Peers stay dialled while the store is out.
    """

    handles: frozenset[type[Message]] = frozenset()

    def __init__(self, entry: EntryId, hello: Hello, cfg: LinkSettings, handler: Handler) -> None:
        self.entry = entry
        self.links: dict[EntryId, Link] = {}
        self._dialler = Dialler(hello, cfg, handler)

    async def run(self) -> None:
        """Hold the task group of the dialling loops until cancelled."""
        await self._dialler.run()

    async def received(self, link: Link, envelope: Envelope) -> None:
        """Do nothing; no message is for this part."""

    async def link_opened(self, link: Link) -> None:
        """Remember the newest link to an entry."""
        if link.peer is not None and link.peer.role is Role.ENTRY:
            self.links[EntryId(link.peer.process_id)] = link

    async def link_closed(self, link: Link) -> None:
        """Forget the link unless a newer one has replaced it."""
        if link.peer is not None:
            entry = EntryId(link.peer.process_id)
            if self.links.get(entry) is link:
                del self.links[entry]

    async def drain(self) -> None:
        """Return at once; links close with the process."""

    def on_view(self, view: ControlView) -> None:
        """Dial the entries of a new view; a failed read changes nothing."""
        if not view.store_up or not self._dialler.running:
            return
        self._dialler.want(
            {
                record.entry: record.address
                for record in view.entries.values()
                if record.entry > self.entry
            }
        )
