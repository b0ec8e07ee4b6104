"""Distribution of the shards over the registered entries."""

from collections.abc import Collection, Iterable, Mapping
from hashlib import blake2b
from math import ceil
from types import MappingProxyType

from apricotpath.ids import EntryId, ShardId


def fair_shares(
    entries: Collection[EntryId],
    shards: Iterable[ShardId],
    held: Mapping[ShardId, EntryId] = MappingProxyType({}),
) -> dict[ShardId, EntryId]:
    """Return the entry that should own each shard; equal views give equal results.

    An entry keeps the shards that it holds up to its share, which is the number of
    shards per entry rounded up. Each other shard goes to the entry that ranks highest
    by rendezvous hashing among the entries with fewer shards than their share.
    """
    wanted = sorted(shards)
    if not entries:
        return {}
    share = ceil(len(wanted) / len(entries))
    counts = dict.fromkeys(entries, 0)
    result: dict[ShardId, EntryId] = {}
    for shard in wanted:
        holder = held.get(shard)
        if holder is not None and counts.get(holder, share) < share:
            result[shard] = holder
            counts[holder] += 1
    for shard in wanted:
        if shard in result:
            continue
        open_entries = [entry for entry, count in counts.items() if count < share]
        result[shard] = max(open_entries, key=lambda entry, shard=shard: _rank(entry, shard))  # type: ignore[misc]
        counts[result[shard]] += 1
    return result


def _rank(entry: EntryId, shard: ShardId) -> tuple[bytes, EntryId]:
    return blake2b(f"{entry}/{shard}".encode(), digest_size=8).digest(), entry
