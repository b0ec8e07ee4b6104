"""Records of the store's control keys, parsed from JSON."""

import logging
from base64 import b64decode
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from apricotpath.config import MAX_PORT, Address
from apricotpath.errors import InputError
from apricotpath.ids import DataCentreId, EntryId, Epoch, IncarnationId, ServiceId, ShardId
from apricotpath.jsonfields import parse_object, read_bool, read_int, read_list, read_str, to_str
from apricotpath.messages import DataCentreStatus
from apricotpath.model import ServiceState
from apricotpath.store import KeyValue
from apricotpathd.controlview import ControlView, EntryRecord, ShardOwner

log = logging.getLogger(__name__)

T = TypeVar("T")

# Fencing of shards compares epochs only, so any that fit a message will do.
MAX_EPOCH = 1 << 62


def build_view(
    items: Iterable[KeyValue], prefix: str, revision: int, started: float
) -> ControlView:
    """Return the view of the control keys; malformed values are logged and left out."""
    entries: dict[EntryId, EntryRecord] = {}
    shards: dict[ShardId, ShardOwner] = {}
    statuses: dict[DataCentreId, DataCentreStatus] = {}
    founders: dict[ServiceId, tuple[IncarnationId, ...]] = {}
    bundle, bundle_version, bundle_revision = b"", 0, 0
    for item in items:
        kind, _, name = item.key.removeprefix(prefix).partition("/")
        if kind == "bundle" and (content := parse_record(item, parse_bundle)) is not None:
            (bundle_version, bundle), bundle_revision = content, item.mod_revision
        elif kind == "dc" and (status := parse_record(item, parse_status)) is not None:
            statuses[status.data_centre] = status
        elif kind == "entry" and (entry := parse_record(item, parse_entry)) is not None:
            entries[entry.entry] = entry
        elif kind == "service" and (found := parse_record(item, parse_founders)) is not None:
            founders[ServiceId(name)] = found
        elif kind == "shard" and (owner := parse_record(item, parse_shard)) is not None:
            shards[owner.shard] = owner
    return ControlView(
        entries,
        shards,
        statuses,
        founders,
        bundle,
        bundle_version,
        bundle_revision,
        revision,
        started,
        store_up=True,
    )


def parse_record(item: KeyValue, build: Callable[[str, dict[str, Any], int], T]) -> T | None:
    """Return the record in a value, or None if it is malformed."""
    name = item.key.rpartition("/")[2]
    try:
        return build(name, parse_object(item.value, "the value"), item.mod_revision)
    except (InputError, ValueError) as exc:
        log.error("the value of %s in the store is malformed: %s", item.key, exc)
        return None


def parse_entry(name: str, content: dict[str, Any], revision: int) -> EntryRecord:
    """Return the record of a registered entry."""
    return EntryRecord(
        EntryId(name),
        IncarnationId(read_str(content, "incarnation")),
        Address(read_str(content, "host"), read_int(content, "port", low=1, high=MAX_PORT)),
        DataCentreId(read_str(content, "data_centre")),
        revision,
    )


def parse_shard(name: str, content: dict[str, Any], revision: int) -> ShardOwner:
    """Return the record of a shard's owner."""
    return ShardOwner(
        ShardId(int(name)),
        EntryId(read_str(content, "owner")),
        IncarnationId(read_str(content, "incarnation")),
        Epoch(read_int(content, "epoch", low=0, high=MAX_EPOCH)),
        revision,
        read_bool(content, "settled", False),
    )


def parse_status(name: str, content: dict[str, Any], revision: int) -> DataCentreStatus:
    """Return the status of a data centre."""
    state = ServiceState(read_str(content, "state"))
    return DataCentreStatus(DataCentreId(name), read_int(content, "seq", low=0), state)


def parse_bundle(name: str, content: dict[str, Any], revision: int) -> tuple[int, bytes]:
    """Return the version and the signed envelope of the bundle."""
    envelope = b64decode(read_str(content, "envelope"), validate=True)
    return read_int(content, "version", low=0), envelope


def parse_founders(name: str, content: dict[str, Any], revision: int) -> tuple[IncarnationId, ...]:
    """Return the agent incarnations that a service was first started with."""
    founders = read_list(content, "founders")
    return tuple(IncarnationId(to_str(item, "founders")) for item in founders)
