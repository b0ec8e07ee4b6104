"""A term that its leader has handed over to this entry."""

import logging
from dataclasses import dataclass, replace

from apricotpath.entrymessages import TermHandover
from apricotpath.entryrecords import LeaderRecord
from apricotpath.linkmessages import Hello
from apricotpath.store import KeyValue

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ReceivedHandover:
    """A handover to this entry that it has not looked at yet, and the process that sent it."""

    message: TermHandover
    sender: Hello

    def ended_record(
        self, epoch_item: KeyValue | None, leader: LeaderRecord | None
    ) -> LeaderRecord | None:
        """Return the record of the term as ended, or None if it is not the newest.

        `leader` is the record in the item of the epoch key.
        """
        message, sender = self.message, self.sender
        revision = epoch_item.mod_revision if epoch_item is not None else 0
        if leader is None or revision != message.epoch_revision:
            log.info("handover of another term ignored", extra={"epoch": message.epoch})
            return None
        if (leader.entry, leader.incarnation) != (sender.process_id, sender.incarnation):
            log.warning("handover by another process ignored", extra={"epoch": message.epoch})
            return None
        holds = {hold.host: hold.left_ms / 1000 for hold in message.holds}
        log.info("handover accepted", extra={"from": leader.entry, "epoch": leader.epoch})
        return replace(leader, ended=True, holds=holds, former_ended=message.former_ended)
