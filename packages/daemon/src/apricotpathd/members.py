"""Membership of entries, ownership of shards and reads of the store's control keys."""

import json
import logging
import random
from base64 import b64decode, b64encode
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from hashlib import blake2b
from math import ceil, inf
from types import MappingProxyType
from typing import Any, TypeVar

import anyio

from apricotpath.codec import Envelope
from apricotpath.config import MAX_PORT, Address, EntrySettings
from apricotpath.errors import (
    ConflictError,
    InputError,
    StoreError,
    StoreLimited,
    StoreUnavailable,
)
from apricotpath.ids import DataCentreId, EntryId, Epoch, IncarnationId, ServiceId, ShardId
from apricotpath.jsonfields import parse_object, read_bool, read_int, read_list, read_str, to_str
from apricotpath.link import Link
from apricotpath.messages import DataCentreStatus, Message
from apricotpath.model import ServiceState
from apricotpath.store import (
    Compare,
    KeyValue,
    LeaseId,
    Put,
    Store,
    TxnResult,
    new_token,
    settled_txn,
)

log = logging.getLogger(__name__)

T = TypeVar("T")

# Interval of control reads; each process starts at a random offset within it.
READ_INTERVAL_S = 1.0
# Exponential backoff with jitter after a failed store call, so that entries do not all retry
# at once after an outage. The maximum is far below the time between a missed renewal and the
# end of a lease. It is longer while the store rejects calls with a rate limit.
RETRY_FIRST_S = 0.25
RETRY_MAX_S = 1.0
LIMITED_MAX_S = 4.0
# Time limit of a drain for releasing the shards and the lease; without a release, both end
# when the lease expires.
RELEASE_S = 3.0


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


class Members:
    """Component that keeps the entry registered and reads the control keys.

    Listeners are plain functions that are called with the view after every
    read; after a failed read its `store_up` is False.
    """

    handles: frozenset[type[Message]] = frozenset()

    def __init__(
        self,
        cfg: EntrySettings,
        incarnation: IncarnationId,
        store: Store,
        rng: random.Random | None = None,
    ) -> None:
        self.cfg = cfg
        self.incarnation = incarnation
        self.store = store
        self.view = EMPTY_VIEW
        self.leaving = False
        self._rng = rng or random.Random()
        self._prefix = cfg.store.prefix
        self._listeners: list[Callable[[ControlView], None]] = []
        self._lease: LeaseId | None = None
        self._renewed_at = -inf
        self._registered_revision = 0
        self._was_registered = False
        self._stopped = False
        self._lease_lost = anyio.Event()

    # Component.

    async def run(self) -> None:
        """Keep this entry registered and read the control keys until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._keep_registered)
            group.start_soon(self._keep_reading)

    async def received(self, link: Link, envelope: Envelope) -> None:
        """Do nothing; this component handles no messages."""

    async def link_opened(self, link: Link) -> None:
        """Do nothing; membership does not depend on links."""

    async def link_closed(self, link: Link) -> None:
        """Do nothing; membership does not depend on links."""

    async def drain(self) -> None:
        """Release this entry's shards and its lease, so that others need not wait for expiry.

        All components that need a shard must be drained first. Once `leaving` is
        set, this entry acquires no more shards.
        """
        self.leaving = self._stopped = True
        with anyio.move_on_after(RELEASE_S):
            for shard in self.owned():
                try:
                    await self.release_shard(shard)
                except (StoreError, ConflictError) as exc:
                    log.warning("shard %s was not released: %s", shard, exc)
            lease, self._lease = self._lease, None
            if lease is not None:
                try:
                    await self.store.lease_revoke(lease)
                except StoreError as exc:
                    log.warning("the store lease was not revoked: %s", exc)

    # State.

    def add_listener(self, on_view: Callable[[ControlView], None]) -> None:
        """Call a function with each new view."""
        self._listeners.append(on_view)

    def registered(self) -> bool:
        """Tell whether this entry's lease is valid, judged by the last renewal."""
        remaining_s = self._renewed_at + self.cfg.policy.entry_lease_s - anyio.current_time()
        return self._lease is not None and self._registered_revision > 0 and remaining_s > 0

    def owned(self) -> list[ShardId]:
        """Return the shards whose record names this incarnation."""
        return sorted(shard for shard, owner in self.view.shards.items() if self._is_own(owner))

    def _is_own(self, owner: ShardOwner) -> bool:
        return (owner.entry, owner.incarnation) == (self.cfg.entry, self.incarnation)

    # Shards.

    async def acquire_shard(self, shard: ShardId) -> ShardOwner:
        """Acquire a shard that is free or whose owner is not registered, with the next epoch.

        A shard that this incarnation owns already is returned unchanged. Raises
        ConflictError if another entry owns it, StoreUnavailable or StoreLimited
        (both without effect), or StoreOutcomeUnknown.
        """
        if self.leaving or not self.registered():
            raise StoreUnavailable("this entry is not registered in the store")
        former = self.view.shards.get(shard)
        if former is not None and self._is_own(former):
            return former
        if self.view.live_owner(shard) is not None:
            raise ConflictError(f"shard {shard} belongs to another entry")
        epoch = Epoch(former.epoch + 1 if former else 1)
        # The transaction checks these conditions again, since the view is up to a second old.
        compares = [Compare(self._entry_key(self.cfg.entry), self._registered_revision)]
        if former is not None and former.entry and former.entry != self.cfg.entry:
            holder = self.view.entries.get(former.entry)
            revision = holder.mod_revision if holder else 0
            compares.append(Compare(self._entry_key(former.entry), revision))
        owner = ShardOwner(shard, self.cfg.entry, self.incarnation, epoch, 0)
        return await self._put_shard(owner, former, compares)

    async def release_shard(self, shard: ShardId, settled: bool = False) -> None:
        """Release a shard of this incarnation; raises like `acquire_shard`."""
        former = self.view.shards.get(shard)
        if former is None or not self._is_own(former):
            raise ConflictError(f"shard {shard} does not belong to this entry")
        owner = replace(former, entry=EntryId(""), incarnation=IncarnationId(""), settled=settled)
        await self._put_shard(owner, former, [])

    async def _put_shard(
        self, owner: ShardOwner, former: ShardOwner | None, compares: list[Compare]
    ) -> ShardOwner:
        key = f"{self._prefix}shard/{owner.shard}"
        expected = former.mod_revision if former else 0
        content = {
            "owner": owner.entry,
            "incarnation": owner.incarnation,
            "epoch": owner.epoch,
            "settled": owner.settled,
        }
        result = await self._compare_and_swap(key, expected, content, compares)
        if not result.succeeded:
            raise ConflictError(f"shard {owner.shard} was changed by another entry first")
        owner = replace(owner, mod_revision=result.revision)
        # If an answer was lost, the next owner's change may have been read in the meantime.
        shards = {**self.view.shards, owner.shard: owner}
        self._publish(_keep_newer(replace(self.view, shards=shards), self.view))
        return owner

    # Operators' changes.

    async def put_status(
        self, data_centre: DataCentreId, state: ServiceState, seq: int
    ) -> DataCentreStatus:
        """Store a data centre's status; returns it once it is in the store.

        Raises ConflictError if the store has this `seq` with another state, or
        a higher `seq`; otherwise raises like `acquire_shard`.
        """
        key = f"{self._prefix}dc/{data_centre}"
        wanted = DataCentreStatus(data_centre, seq, state)
        item = await self.store.get(key)
        former = _parse(item, _status) if item is not None else None
        if former == wanted:
            return wanted
        if former is not None and former.seq >= seq:
            raise ConflictError(
                f"data centre {data_centre} has change {former.seq} ({former.state.value}) already"
            )
        content = {"seq": seq, "state": state.value}
        expected = item.mod_revision if item is not None else 0
        if not (await self._compare_and_swap(key, expected, content)).succeeded:
            raise ConflictError(f"data centre {data_centre} was changed by someone else first")
        return wanted

    async def put_bundle(self, envelope: bytes, version: int) -> int:
        """Store a signed bundle as the successor of version - 1; returns its mod revision.

        Raises ConflictError if the store has another version than version - 1,
        unless it has exactly this envelope; otherwise raises like `acquire_shard`.
        """
        key = f"{self._prefix}bundle"
        item = await self.store.get(key)
        former = _parse(item, _bundle) if item is not None else None
        if item is not None and former == (version, envelope):
            return item.mod_revision
        if item is not None and former is None:
            raise StoreError("the bundle in the store is malformed")
        present = former[0] if former is not None else 0
        if present != version - 1:
            raise ConflictError(f"bundle version {version} does not follow version {present}")
        content = {"version": version, "envelope": b64encode(envelope).decode()}
        expected = item.mod_revision if item is not None else 0
        result = await self._compare_and_swap(key, expected, content)
        if not result.succeeded:
            raise ConflictError(f"another bundle version {version} was accepted first")
        return result.revision

    async def record_founders(
        self, service: ServiceId, incarnations: Sequence[IncarnationId]
    ) -> tuple[IncarnationId, ...]:
        """Create a service's record if it is absent; returns the stored founders.

        Founders are agent incarnations whose key memory counts as full from the start.
        """
        key = f"{self._prefix}service/{service}"
        content = {"founders": list(incarnations)}
        if (await self._compare_and_swap(key, 0, content)).succeeded:
            founders = tuple(incarnations)
        else:
            item = await self.store.get(key)
            found = _parse(item, _founders) if item is not None else None
            if found is None:
                raise StoreError(f"the record of service {service} is missing or malformed")
            founders = found
        self._publish(replace(self.view, founders={**self.view.founders, service: founders}))
        return founders

    async def _compare_and_swap(
        self,
        key: str,
        expected: int,
        content: dict[str, Any],
        compares: Sequence[Compare] = (),
        lease: LeaseId | None = None,
    ) -> TxnResult:
        """Put a JSON value with a writer token if the key's mod revision is `expected`.

        On success, the revision of the result is the key's new mod revision.
        """
        token = new_token()
        put = Put(key, json.dumps(content | {"token": token}).encode(), lease)
        conditions = (*compares, Compare(key, expected))
        return await settled_txn(self.store, conditions, (put,), key, token)

    # Registration.

    async def _keep_registered(self) -> None:
        await anyio.sleep(self._rng.random() * RETRY_FIRST_S)
        delay = RETRY_FIRST_S
        while not self._stopped:
            try:
                if self._lease is None:
                    await self._register()
                    wait = self.cfg.policy.entry_renew_s
                else:
                    wait = await self._renew()
                delay = RETRY_FIRST_S
            except (StoreError, ConflictError) as exc:
                log.warning("this entry is not registered: %s", exc)
                wait, delay = delay * (0.5 + self._rng.random()), _next_delay(exc, delay)
            with anyio.move_on_after(wait):
                await self._lease_lost.wait()
                self._lease_lost = anyio.Event()

    async def _register(self) -> None:
        key = self._entry_key(self.cfg.entry)
        item = await self.store.get(key)
        former = _parse(item, _entry) if item is not None else None
        if former is not None and former.incarnation != self.incarnation and self._was_registered:
            raise ConflictError(f"another process is registered as entry {self.cfg.entry}")
        started = anyio.current_time()
        lease = await self.store.lease_grant(self.cfg.policy.entry_lease_s)
        address = self.cfg.advertise or self.cfg.links
        content = {
            "incarnation": self.incarnation,
            "host": address.host,
            "port": address.port,
            "data_centre": self.cfg.data_centre,
        }
        expected = item.mod_revision if item is not None else 0
        try:
            result = await self._compare_and_swap(key, expected, content, lease=lease)
        except StoreError:
            await self._try_revoke(lease)
            raise
        if not result.succeeded or self._stopped:
            await self._try_revoke(lease)
            raise ConflictError(f"the record of entry {self.cfg.entry} was changed or dropped")
        self._lease, self._renewed_at = lease, started
        self._registered_revision = result.revision
        self._was_registered = True

    async def _try_revoke(self, lease: LeaseId) -> None:
        """Revoke the lease of a failed registration; if that fails, the lease expires."""
        try:
            await self.store.lease_revoke(lease)
        except StoreError as exc:
            log.info("a store lease was not revoked and will expire: %s", exc)

    async def _renew(self) -> float:
        """Renew the lease and return the seconds until the next renewal."""
        assert self._lease is not None
        started = anyio.current_time()
        lease = self._lease
        alive = await self.store.lease_keepalive(lease)
        if alive and self._lease == lease:
            self._renewed_at = started
            return self.cfg.policy.entry_renew_s
        if not alive:
            self._clear_lease("the store lease has ended")
        # A random delay, so that entries whose leases ended in the same outage do not all
        # register at once.
        return self._rng.random() * RETRY_FIRST_S

    def _clear_lease(self, reason: str) -> None:
        if self._lease is not None:
            log.warning("this entry must register again: %s", reason)
        self._lease, self._registered_revision = None, 0

    # Control reads.

    async def _keep_reading(self) -> None:
        await anyio.sleep(self._rng.random() * READ_INTERVAL_S / 2)
        delay = RETRY_FIRST_S
        while True:
            started = anyio.current_time()
            try:
                view = await self._read(started)
                wait = READ_INTERVAL_S - (anyio.current_time() - started)
                delay = RETRY_FIRST_S
            except StoreError as exc:
                log.info("the control read failed: %s", exc)
                view = replace(self.view, store_up=False)
                wait, delay = delay * (0.5 + self._rng.random()), _next_delay(exc, delay)
            self._publish(_keep_newer(view, self.view))
            self._check_registration()
            await anyio.sleep(max(0.0, wait))

    async def _read(self, started: float) -> ControlView:
        """Read the control keys in two range calls that leave out the journals between them."""
        low = await self.store.range(self._prefix, f"{self._prefix}journal/")
        high = await self.store.range(f"{self._prefix}service/", f"{self._prefix}shard0")
        return build_view((*low.items, *high.items), self._prefix, low.revision, started)

    def _publish(self, view: ControlView) -> None:
        self.view = view
        for listener in self._listeners:
            try:
                listener(view)
            except Exception:
                log.exception("a listener of the control view failed")

    def _check_registration(self) -> None:
        """Register again if a view newer than the registration lacks this entry's record."""
        if not self.view.store_up or self.view.revision < self._registered_revision:
            return
        record = self.view.entries.get(self.cfg.entry)
        present = record is not None and record.mod_revision == self._registered_revision
        if self._lease is not None and not present:
            self._clear_lease("its record is gone from the store")
            self._lease_lost.set()

    def _entry_key(self, entry: EntryId) -> str:
        return f"{self._prefix}entry/{entry}"


def _next_delay(exc: Exception, delay: float) -> float:
    return min(2 * delay, LIMITED_MAX_S if isinstance(exc, StoreLimited) else RETRY_MAX_S)


def _keep_newer(view: ControlView, former: ControlView) -> ControlView:
    """Return the view with each shard record at least as new as in the former view.

    A read that began before this entry changed a shard can end after the change.
    Records of shards and services are never deleted.
    """
    shards = dict(view.shards)
    for shard, owner in former.shards.items():
        if shard not in shards or shards[shard].mod_revision < owner.mod_revision:
            shards[shard] = owner
    return replace(view, shards=shards, founders={**former.founders, **view.founders})


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
        if kind == "bundle" and (content := _parse(item, _bundle)) is not None:
            (bundle_version, bundle), bundle_revision = content, item.mod_revision
        elif kind == "dc" and (status := _parse(item, _status)) is not None:
            statuses[status.data_centre] = status
        elif kind == "entry" and (entry := _parse(item, _entry)) is not None:
            entries[entry.entry] = entry
        elif kind == "service" and (found := _parse(item, _founders)) is not None:
            founders[ServiceId(name)] = found
        elif kind == "shard" and (owner := _parse(item, _shard)) is not None:
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


# Fencing of shards compares epochs only, so any that fit a message will do.
MAX_EPOCH = 1 << 62


def _parse(item: KeyValue, build: Callable[[str, dict[str, Any], int], T]) -> T | None:
    """Return the record in a value, or None if it is malformed."""
    name = item.key.rpartition("/")[2]
    try:
        return build(name, parse_object(item.value, "the value"), item.mod_revision)
    except (InputError, ValueError) as exc:
        log.error("the value of %s in the store is malformed: %s", item.key, exc)
        return None


def _entry(name: str, content: dict[str, Any], revision: int) -> EntryRecord:
    return EntryRecord(
        EntryId(name),
        IncarnationId(read_str(content, "incarnation")),
        Address(read_str(content, "host"), read_int(content, "port", low=1, high=MAX_PORT)),
        DataCentreId(read_str(content, "data_centre")),
        revision,
    )


def _shard(name: str, content: dict[str, Any], revision: int) -> ShardOwner:
    return ShardOwner(
        ShardId(int(name)),
        EntryId(read_str(content, "owner")),
        IncarnationId(read_str(content, "incarnation")),
        Epoch(read_int(content, "epoch", low=0, high=MAX_EPOCH)),
        revision,
        read_bool(content, "settled", False),
    )


def _status(name: str, content: dict[str, Any], revision: int) -> DataCentreStatus:
    state = ServiceState(read_str(content, "state"))
    return DataCentreStatus(DataCentreId(name), read_int(content, "seq", low=0), state)


def _bundle(name: str, content: dict[str, Any], revision: int) -> tuple[int, bytes]:
    envelope = b64decode(read_str(content, "envelope"), validate=True)
    return read_int(content, "version", low=0), envelope


def _founders(name: str, content: dict[str, Any], revision: int) -> tuple[IncarnationId, ...]:
    founders = read_list(content, "founders")
    return tuple(IncarnationId(to_str(item, "founders")) for item in founders)
