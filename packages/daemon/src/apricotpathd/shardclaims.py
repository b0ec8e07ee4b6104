"""Acquisition and release of shards in the store, with a new epoch for each owner."""

from dataclasses import replace

from apricotpath.config import EntrySettings
from apricotpath.errors import ConflictError, StoreUnavailable
from apricotpath.ids import EntryId, Epoch, IncarnationId, ShardId
from apricotpath.store import Compare
from apricotpathd.controlstore import ControlStore
from apricotpathd.controlview import ShardOwner, Views, keep_newer
from apricotpathd.registration import Registration


class ShardClaims:
    """Shards of one incarnation of an entry.

    Once `leaving` is set, it acquires no more shards.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        incarnation: IncarnationId,
        control: ControlStore,
        registration: Registration,
        views: Views,
    ) -> None:
        self.leaving = False
        self._cfg = cfg
        self._incarnation = incarnation
        self._control = control
        self._registration = registration
        self._views = views

    def owned(self) -> list[ShardId]:
        """Return the shards whose record names this incarnation."""
        owners = self._views.newest.shards.items()
        return sorted(shard for shard, owner in owners if self._is_own(owner))

    def _is_own(self, owner: ShardOwner) -> bool:
        return (owner.entry, owner.incarnation) == (self._cfg.entry, self._incarnation)

    async def acquire(self, shard: ShardId) -> ShardOwner:
        """Acquire a shard that is free or whose owner is not registered, with the next epoch.

        A shard that this incarnation owns already is returned unchanged. Raises
        ConflictError if another entry owns it, StoreUnavailable or StoreLimited
        (both without effect), or StoreOutcomeUnknown.
        """
        if self.leaving or not self._registration.is_valid():
            raise StoreUnavailable("this entry is not registered in the store")
        former = self._views.newest.shards.get(shard)
        if former is not None and self._is_own(former):
            return former
        if self._views.newest.live_owner(shard) is not None:
            raise ConflictError(f"shard {shard} belongs to another entry")
        epoch = Epoch(former.epoch + 1 if former else 1)
        # The transaction checks these conditions again, since the view is up to a second old.
        compares = [Compare(self._control.entry_key(self._cfg.entry), self._registration.revision)]
        if former is not None and former.entry and former.entry != self._cfg.entry:
            holder = self._views.newest.entries.get(former.entry)
            revision = holder.mod_revision if holder else 0
            compares.append(Compare(self._control.entry_key(former.entry), revision))
        owner = ShardOwner(shard, self._cfg.entry, self._incarnation, epoch, 0)
        return await self._put(owner, former, compares)

    async def release(self, shard: ShardId, settled: bool = False) -> None:
        """Release a shard of this incarnation; raises like `acquire`."""
        former = self._views.newest.shards.get(shard)
        if former is None or not self._is_own(former):
            raise ConflictError(f"shard {shard} does not belong to this entry")
        owner = replace(former, entry=EntryId(""), incarnation=IncarnationId(""), settled=settled)
        await self._put(owner, former, [])

    async def _put(
        self, owner: ShardOwner, former: ShardOwner | None, compares: list[Compare]
    ) -> ShardOwner:
        key = self._control.shard_key(owner.shard)
        expected = former.mod_revision if former else 0
        content = {
            "owner": owner.entry,
            "incarnation": owner.incarnation,
            "epoch": owner.epoch,
            "settled": owner.settled,
        }
        result = await self._control.compare_and_swap(key, expected, content, compares)
        if not result.succeeded:
            raise ConflictError(f"shard {owner.shard} was changed by another entry first")
        owner = replace(owner, mod_revision=result.revision)
        # If an answer was lost, the next owner's change may have been read in the meantime.
        newest = self._views.newest
        shards = {**newest.shards, owner.shard: owner}
        self._views.publish(keep_newer(replace(newest, shards=shards), newest))
        return owner
