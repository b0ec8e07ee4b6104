"""The control keys of the store as an entry last read them."""

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from math import inf

from apricotpath.config import Address
from apricotpath.ids import DataCentreId, EntryId, Epoch, IncarnationId, ServiceId, ShardId
from apricotpath.messages import DataCentreStatus

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """One registered entry and the address at which it accepts links."""

    entry: EntryId
    incarnation: IncarnationId
    address: Address
    data_centre: DataCentreId
    mod_revision: int


@dataclass(frozen=True, slots=True)
class ShardOwner:
    """Owner of a shard; `entry` is empty after a release. The epoch never decreases.

    `settled` tells that no task was held for an earlier owner at the release.
    """

    shard: ShardId
    entry: EntryId
    incarnation: IncarnationId
    epoch: Epoch
    mod_revision: int
    settled: bool = False


@dataclass(frozen=True, slots=True)
class ControlView:
    """The control keys of the store at the last successful read.

    `read_started_at` is monotonic time in seconds, -inf before the first
    read; `store_up` tells whether the newest read succeeded. `bundle` is the
    signed envelope, empty with version 0 if there is none.
    """

    entries: Mapping[EntryId, EntryRecord]
    shards: Mapping[ShardId, ShardOwner]
    statuses: Mapping[DataCentreId, DataCentreStatus]
    founders: Mapping[ServiceId, tuple[IncarnationId, ...]]
    bundle: bytes = b""
    bundle_version: int = 0
    bundle_revision: int = 0
    revision: int = 0
    read_started_at: float = -inf
    store_up: bool = False

    def is_fresh(self, now: float, fresh_s: float) -> bool:
        """Tell whether the read began at most `fresh_s` seconds before `now`."""
        return now - self.read_started_at <= fresh_s

    def live_owner(self, shard: ShardId) -> ShardOwner | None:
        """Return the owner of a shard if the owning incarnation is registered, else None."""
        owner = self.shards.get(shard)
        if owner is None or not owner.entry:
            return None
        entry = self.entries.get(owner.entry)
        return owner if entry is not None and entry.incarnation == owner.incarnation else None


EMPTY_VIEW = ControlView({}, {}, {}, {})


class Views:
    """The newest view and its listeners.

    Listeners are plain functions that are called with the view after every
    read; after a failed read its `store_up` is False.
    """

    def __init__(self) -> None:
        self.newest = EMPTY_VIEW
        self._listeners: list[Callable[[ControlView], None]] = []

    def add_listener(self, on_view: Callable[[ControlView], None]) -> None:
        """Call a function with each new view."""
        self._listeners.append(on_view)

    def publish(self, view: ControlView) -> None:
        """Replace the newest view and call the listeners; their errors are logged."""
        self.newest = view
        for listener in self._listeners:
            try:
                listener(view)
            except Exception:
                log.exception("a listener of the control view failed")


def keep_newer(view: ControlView, former: ControlView) -> ControlView:
    """Return the view with each shard record at least as new as in the former view.

    A read that began before this entry changed a shard can end after the change.
    Records of shards and services are never deleted.
    """
    shards = dict(view.shards)
    for shard, owner in former.shards.items():
        if shard not in shards or shards[shard].mod_revision < owner.mod_revision:
            shards[shard] = owner
    return replace(view, shards=shards, founders={**former.founders, **view.founders})
