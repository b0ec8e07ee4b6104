"""Records of entries in the store: the registration of an entry and the elected leader."""

import json
import logging
from dataclasses import dataclass
from typing import Self

from apricotpath.config import Address
from apricotpath.ids import Epoch, IncarnationId, ProcessId
from apricotpath.jsontext import json_bytes
from apricotpath.store import new_token

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """Registration of an entry, by which agents and other entries find it.

    `cores` is the number of its processors. A `draining` entry shuts down, and leads only
    while no other entry can.
    """

    address: Address
    cores: float
    incarnation: IncarnationId
    draining: bool = False

    @classmethod
    def parse(cls, value: bytes) -> Self | None:
        """Return the record of a stored value, or None if the value is malformed."""
        try:
            content = json.loads(value)
            return cls(
                Address(str(content["host"]), int(content["port"])),
                float(content.get("cores", 0.0)),
                IncarnationId(content.get("incarnation", "")),
                content.get("draining") is True,
            )
        except (ValueError, KeyError, TypeError, AttributeError):
            log.warning("entry registration is malformed")
            return None

    def encode(self) -> bytes:
        """Return the stored form, with a unique token of this write."""
        return json_bytes(
            {
                "token": new_token(),
                "incarnation": self.incarnation,
                "host": self.address.host,
                "port": self.address.port,
                "cores": self.cores,
                "draining": self.draining,
            }
        )


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """The leader as stored under the leader key and the epoch key.

    Once its term has `ended`, it does nothing in that term any more.
    """

    epoch: Epoch
    entry: ProcessId
    incarnation: IncarnationId
    ended: bool = False

    @classmethod
    def parse(cls, value: bytes | None) -> Self | None:
        """Return the record of a stored value, or None if it is missing or malformed."""
        if value is None:
            return None
        try:
            content = json.loads(value)
            return cls(
                Epoch(int(content["epoch"])),
                ProcessId(content["entry"]),
                IncarnationId(content["incarnation"]),
                content.get("ended") is True,
            )
        except (ValueError, KeyError, TypeError):
            log.warning("leader record is malformed")
            return None

    def encode(self) -> bytes:
        """Return the stored form, with a unique token of this write."""
        return json_bytes(
            {
                "epoch": self.epoch,
                "entry": self.entry,
                "incarnation": self.incarnation,
                "ended": self.ended,
                "token": new_token(),
            }
        )
