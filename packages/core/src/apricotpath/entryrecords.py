"""Records of entries in the store: the registration of an entry and the elected leader."""

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from heapq import nsmallest
from operator import itemgetter
from typing import Any, Generic, Self, TypeVar

from apricotpath.config import Address
from apricotpath.errors import InputError
from apricotpath.ids import Epoch, HostId, IncarnationId, ProcessId
from apricotpath.jsonfields import (
    parse_object,
    read_address,
    read_bool,
    read_int,
    read_number,
    read_object,
    read_str,
)
from apricotpath.jsontext import json_bytes
from apricotpath.store import KeyValue, new_token

log = logging.getLogger(__name__)

MAX_RECORD_BYTES = 16 << 10
# Hosts whose holds a record tells, the shortest ones; other hosts are held for the full time.
MAX_HOLDS = 100
# Fencing tokens are epochs shifted by 24 bits, and must fit a signed integer of 64 bits.
MAX_EPOCH = 1 << 38
# Keys whose newest record is remembered by a reader.
MAX_REMEMBERED = 10_000

Record = TypeVar("Record")


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """Registration of an entry, by which agents and other entries find it.

    `cores` is the number of its processors. A `draining` entry shuts down, and leads only
    while no other entry can. `began` is the store's revision when the incarnation began; 0 if
    it is not known. `supports`: it answers a `SupportRequest`, unlike earlier versions.
    """

    address: Address
    cores: float
    incarnation: IncarnationId
    draining: bool = False
    began: int = 0
    supports: bool = False

    @classmethod
    def parse(cls, value: bytes) -> Self:
        """Return the record of a stored value, or raise InputError."""
        content = _parse_record(value)
        return cls(
            read_address(content, "host", "port"),
            read_number(content, "cores", 0.0, low=0),
            IncarnationId(read_str(content, "incarnation", "")),
            read_bool(content, "draining", False),
            read_int(content, "began", 0, low=0),
            read_bool(content, "supports", False),
        )

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
                "began": self.began,
                "supports": self.supports,
            }
        )


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """The leader as stored under the leader key and the epoch key.

    Once its term has `ended`, it does nothing in that term any more. `holds` then tells for
    how many seconds from then on runs may continue on a host. The longest holds may be left
    out; a host that is not named is held for the full time.
    `former_ended` tells that no leader before this one granted leases any more when the
    record was written; else they grant none from `former_left_s` after that on; None from
    earlier versions. `began` is that of the entry's registration.
    """

    epoch: Epoch
    entry: ProcessId
    incarnation: IncarnationId
    ended: bool = False
    holds: Mapping[HostId, float] = field(default_factory=dict)
    former_ended: bool = False
    began: int = 0
    former_left_s: float | None = None

    @classmethod
    def parse(cls, value: bytes) -> Self:
        """Return the record of a stored value, or raise InputError."""
        content = _parse_record(value)
        return cls(
            Epoch(read_int(content, "epoch", low=1, high=MAX_EPOCH)),
            ProcessId(read_str(content, "entry")),
            IncarnationId(read_str(content, "incarnation")),
            read_bool(content, "ended", False),
            _parse_holds(content),
            read_bool(content, "former_ended", False),
            read_int(content, "began", 0, low=0),
            read_number(content, "former_left_s", low=0) if "former_left_s" in content else None,
        )

    def encode(self) -> bytes:
        """Return the stored form, with a unique token of this write."""
        content: dict[str, Any] = {
            "epoch": self.epoch,
            "entry": self.entry,
            "incarnation": self.incarnation,
            "ended": self.ended,
            "holds": shortest_holds(self.holds),
            "former_ended": self.former_ended,
            "began": self.began,
            "token": new_token(),
        }
        if self.former_left_s is not None:
            content["former_left_s"] = self.former_left_s
        return json_bytes(content)


def shortest_holds(holds: Mapping[HostId, float]) -> dict[HostId, float]:
    """Return the shortest holds (seconds), as many as one record or message tells."""
    return dict(nsmallest(MAX_HOLDS, holds.items(), key=itemgetter(1)))


def _parse_holds(content: dict[str, Any]) -> Mapping[HostId, float]:
    holds = read_object(content, "holds", {})
    return {HostId(host): read_number(holds, host, low=0) for host in holds}


def _parse_record(value: bytes) -> dict[str, Any]:
    if len(value) > MAX_RECORD_BYTES:
        raise InputError(f"the record is longer than {MAX_RECORD_BYTES} bytes")
    return parse_object(value, "the record")


class RecordReader(Generic[Record]):
    """Reads the records of one kind from items of the store.

    `parse` raises InputError for a malformed value. Such a value counts as missing, and is
    logged once per revision of its key. `malformed` counts these values.
    """

    def __init__(self, parse: Callable[[bytes], Record]) -> None:
        self.malformed = 0
        self._parse = parse
        self._newest: dict[str, tuple[int, Record | None]] = {}

    def read(self, item: KeyValue | None) -> Record | None:
        """Return the record of an item, or None if it is missing or malformed."""
        if item is None:
            return None
        newest = self._newest.get(item.key)
        if newest is not None and newest[0] == item.mod_revision:
            return newest[1]
        record = self._parse_item(item)
        self._newest[item.key] = (item.mod_revision, record)
        if len(self._newest) > MAX_REMEMBERED:
            del self._newest[next(iter(self._newest))]
        return record

    def _parse_item(self, item: KeyValue) -> Record | None:
        try:
            return self._parse(item.value)
        except InputError as exc:
            self.malformed += 1
            log.warning(
                "malformed record ignored: %s",
                exc,
                extra={"key": item.key, "rev": item.mod_revision, "malformed": self.malformed},
            )
            return None


def next_epoch(
    item: KeyValue | None, stored: LeaderRecord | None, seen: LeaderRecord | None
) -> Epoch:
    """Return an epoch that is higher than all earlier ones.

    `stored` is the record in the item of the epoch key, and `seen` the newest leader known
    otherwise. A malformed item counts with its revision: each epoch is written by a change of
    its own, so that none exceeds the revision of the key at that time.
    """
    known = [record.epoch for record in (stored, seen) if record is not None]
    if item is not None and stored is None:
        known.append(Epoch(item.mod_revision))
    return Epoch(max(known, default=0) + 1)
