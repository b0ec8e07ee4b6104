"""Leader election among entries, through the store; the leader schedules jobs."""

import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import replace

import anyio

from apricotpath.boottime import boot_s
from apricotpath.config import Address
from apricotpath.electionattempt import ElectionAttempt
from apricotpath.entrymessages import TermHandover
from apricotpath.entryrecords import EntryRecord, LeaderRecord, RecordReader, next_epoch
from apricotpath.entryregistry import EntryRegistry
from apricotpath.errors import StoreError, StoreLeaseEnded, StoreLimited, StoreUnavailable
from apricotpath.fencelimits import epoch_key
from apricotpath.ids import Epoch, IncarnationId, ProcessId
from apricotpath.leadersupport import Supporter, milliseconds
from apricotpath.linkmessages import Hello
from apricotpath.mirror import Mirror, WatchableStore
from apricotpath.predecessors import GrantsEnd, Predecessors
from apricotpath.receivedhandover import ReceivedHandover
from apricotpath.store import Compare, Delete, KeyValue, LeaseId, Put
from apricotpath.supportgiver import SupportGiver
from apricotpath.term import ElectionSettings, Term

log = logging.getLogger(__name__)

RETRY_S = 0.1
# How long an entry lets registered entries with more processors take a vacant leadership first.
DEFER_S = 0.5
# How long an entry that starts waits for its first read before it registers without it.
LOAD_WAIT_S = 0.1
# Spreads the attempts of entries that see the vacancy at the same time.
JITTER_S = 0.05
# Time limit of each write of an entry that shuts down or gives up its term.
DRAIN_WRITE_S = 1.0
# How long an entry that gave up its term leaves the leadership to others. One of them has given
# up its own term by then if it makes no progress either.
STAND_BACK_S = 4.0


class Election:
    """Keeps this entry registered and acquires the leadership when it is vacant.

    `serve_term(term)` runs while this entry is the leader. It must return once
    the term is over, and is cancelled when the entry resigns, hands over or sees a
    later epoch. `leader` is the newest leader that was seen, and `answered_at` the boot-clock
    time (s) at which the store last answered the renewal of the lease or of the term.
    """

    def __init__(
        self,
        store: WatchableStore,
        cfg: ElectionSettings,
        entry: ProcessId,
        incarnation: IncarnationId,
        address: Address,
        serve_term: Callable[[Term], Awaitable[None]],
    ) -> None:
        self.cfg = cfg
        self.store = store
        self.term: Term | None = None
        self._epoch_read_at = float("-inf")
        self.answered_at = float("-inf")
        self._handover: ReceivedHandover | None = None
        self.draining = False
        self._entry, self._incarnation, self._address = entry, incarnation, address
        self._serve_term = serve_term
        self._lease: LeaseId | None = None
        self._changed = anyio.Event()
        self._vacant_since = float("inf")
        self._stands_back_until = float("-inf")
        self._term_scope: anyio.CancelScope | None = None
        self._resigned = self._drain_stored = False
        self._released = anyio.Event()
        self._released.set()
        root = f"{cfg.prefix}ctl/"
        self._leader_key, self._epoch_key = f"{root}leader", epoch_key(cfg.prefix)
        self.leader_records = RecordReader(LeaderRecord.parse)
        self.mirror = Mirror(store, root, self._on_key_change)
        self.registry = EntryRegistry(self.mirror.items, f"{root}entry/", entry)
        self._predecessors = Predecessors(entry, self.registry, cfg.authority_s)
        own = Supporter(entry, incarnation)
        self.support = SupportGiver(
            own, cfg.prefix, self.mirror, self._predecessors, self.leader_records
        )

    @property
    def presence_key(self) -> str:
        """Key of this entry's registration, by which agents and other entries find it."""
        return self.registry.own_key

    @property
    def leader(self) -> LeaderRecord | None:
        """The newest leader that was seen."""
        return self._predecessors.newest

    @property
    def malformed_records(self) -> int:
        """How many malformed records of entries and leaders were read."""
        readers = (self.registry.records, self.leader_records, self.support.records)
        return sum(reader.malformed for reader in readers)

    @property
    def last_led_at(self) -> float:
        """Newest boot-clock time (s) at which the store showed that no later leader was elected."""
        if self.term is None or not self._is_newest(self.mirror.items.get(self._epoch_key)):
            return self._epoch_read_at
        return max(self._epoch_read_at, self.mirror.read_at or self._epoch_read_at)

    def _is_newest(self, epoch_item: KeyValue | None) -> bool:
        """Tell whether the epoch key shows that this entry's term is the newest."""
        shown = epoch_item.mod_revision if epoch_item is not None else 0
        return self.term is not None and shown == self.term.epoch_revision

    async def read_epoch_revision(self) -> int:
        """Return the mod revision of the epoch key, 0 if there is none; raises StoreError."""
        item = await self.store.get(self._epoch_key)
        return item.mod_revision if item is not None else 0

    async def run(self) -> None:
        """Take part in elections until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.mirror.run)
            group.start_soon(self._keep_lease)
            group.start_soon(self._campaign)

    async def drain(self) -> None:
        """Let other entries lead from now on; this entry leads only while none of them can."""
        self.draining = True
        try:
            with anyio.move_on_after(DRAIN_WRITE_S):
                if self._lease is not None:
                    await self._register(self._lease)
        except StoreError as exc:
            log.info("draining not stored: %s", exc)
        self._hand_over_if_possible()

    async def resign(self) -> None:
        """End the term and delete this entry's keys, so that another entry can lead at once."""
        self.draining = self._resigned = True
        if self._term_scope is not None:
            self._term_scope.cancel()
        try:
            with anyio.move_on_after(DRAIN_WRITE_S):
                await self._released.wait()
                await self.store.txn([], [Delete(self.presence_key)])
        except StoreError as exc:
            log.info("resignation not stored: %s", exc)

    async def give_up(self, term: Term) -> None:
        """End a term of this entry for good; return once nothing happens in it any more."""
        term.given_up.set()
        if self.term is term and self._term_scope is not None:
            self._term_scope.cancel()
        await term.ended.wait()

    def can_take_over(self) -> bool:
        """Tell whether this entry could lead if the present leader handed over to it."""
        if self.draining or boot_s() < self._stands_back_until:
            return False
        return self._released.is_set() and self._lease is not None

    def take_over(self, handover: TermHandover, sender: Hello) -> None:
        """Try to acquire the leadership that its holder hands over to this entry."""
        self._handover = ReceivedHandover(handover, sender)
        self._notify()

    def _hand_over_if_possible(self) -> None:
        """End this entry's term if it is draining and another entry can lead."""
        # While the store cannot be written, no other entry could be elected.
        if not self._drain_stored or self._term_scope is None:
            return
        if self.registry.has_non_draining_peer():
            log.info("leadership handed over")
            self._term_scope.cancel()

    def step_down_for(self, epoch: Epoch) -> None:
        """End this entry's term if `epoch` is later than its own."""
        if self.term is not None and epoch > self.term.epoch and self._term_scope is not None:
            log.warning("term ended by a leader with a later epoch", extra={"epoch": epoch})
            self._term_scope.cancel()

    def _end_term_before(self, epoch_revision: int) -> None:
        """End this entry's term if `epoch_revision` of the epoch key is later than its own."""
        term = self.term
        if term is None or self._term_scope is None or epoch_revision <= term.epoch_revision:
            return
        log.warning("term ended by a later epoch", extra={"epoch": term.epoch})
        self._term_scope.cancel()

    def _on_key_change(self, key: str, value: bytes | None, revision: int) -> None:
        if key == self._leader_key:
            record = self.leader_records.read(self.mirror.items.get(key))
            if record is not None and (self.leader is None or record.epoch >= self.leader.epoch):
                self._predecessors.see(record)
                log.info("leader seen", extra={"entry": record.entry, "epoch": record.epoch})
                if record.incarnation != self._incarnation:
                    self.step_down_for(record.epoch)
        elif key == self._epoch_key:
            self._end_term_before(revision)
        self._hand_over_if_possible()
        self._check_predecessor()
        self._notify()

    def _notify(self) -> None:
        """Let this entry look again whether it may lead."""
        self._changed.set()
        self._changed = anyio.Event()

    async def _keep_lease(self) -> None:
        """Keep a store lease alive and this entry registered under it."""
        # So that the first registration shows when this incarnation began.
        with anyio.move_on_after(LOAD_WAIT_S):
            await self.mirror.loaded.wait()
        while not self._resigned:
            started = boot_s()
            try:
                with anyio.move_on_after(self.cfg.lease_s / 2):
                    if self._lease is None:
                        self._lease = await self.store.lease_grant(self.cfg.lease_s)
                        await self._register(self._lease)
                    elif not await self.store.lease_keepalive(self._lease):
                        log.warning("store lease ended", extra={"lease": self._lease})
                        self._lease = None
                        continue
                    elif self.mirror.loaded.is_set() and self._registration_outdated():
                        await self._register(self._lease)
                        self._hand_over_if_possible()
                    self.answered_at = boot_s()
            except StoreLeaseEnded:
                self._lease = None
            except StoreError as exc:
                self._note_failure(exc)
                log.info("store lease not renewed: %s", exc)
            self._check_predecessor()
            await anyio.sleep(max(RETRY_S, self.cfg.renew_s - (boot_s() - started)))

    def _note_failure(self, exc: StoreError) -> None:
        """Note a failed call; a store that limits calls has answered."""
        if isinstance(exc, StoreLimited):
            self.answered_at = boot_s()

    def _registration_outdated(self) -> bool:
        """Tell whether this entry's key does not show its present registration."""
        record = self.registry.own_record()
        shown = record and (record.incarnation, record.began, record.draining)
        return shown != (self._incarnation, self.mirror.first_revision, self.draining)

    async def _register(self, lease: LeaseId) -> None:
        began = self.mirror.first_revision
        record = EntryRecord(
            self._address, self.cfg.cores, self._incarnation, self.draining, began, supports=True
        )
        await self.store.txn([], [Put(self.presence_key, record.encode(), lease)])
        self._drain_stored = record.draining

    async def _campaign(self) -> None:
        """Acquire the leadership whenever it is vacant, and serve each term."""
        await self.mirror.loaded.wait()
        while True:
            changed = self._changed
            term = await self._next_term()
            if term is not None:
                self._released = anyio.Event()
                # The entry may have resigned while its election was written.
                if not self._resigned:
                    await self._serve(term)
                if self.draining or term.given_up.is_set():
                    await self._release(term)
                if term.given_up.is_set():
                    self._stand_back()
                self._released.set()
                continue
            with anyio.move_on_after(RETRY_S if self._is_vacant() else 1.0):
                await changed.wait()

    async def _next_term(self) -> Term | None:
        """Try to acquire the leadership if it was handed over to this entry, or is vacant."""
        handover, self._handover = self._handover, None
        if handover is not None and self._lease is not None and self.can_take_over():
            item = self.mirror.items.get(self._epoch_key)
            former = handover.ended_record(item, self.leader_records.read(item))
            if former is not None:
                return await self._acquire(self._lease, former)
        if not self._may_campaign():
            return None
        await anyio.sleep(random.uniform(0, JITTER_S))
        if self._is_vacant() and self._lease is not None:
            return await self._acquire(self._lease)
        return None

    def _stand_back(self) -> None:
        """Leave the leadership to other entries for a while."""
        self._stands_back_until = boot_s() + STAND_BACK_S
        # If the release was not stored, the leader key ends with its lease.
        self._lease = None

    def _may_campaign(self) -> bool:
        """Tell whether this entry may try to acquire the leadership now.

        It must be vacant, and vacant for DEFER_S if a peer has more processors. An entry that
        is draining, or that has just given up its term, leaves it to any entry that is not
        draining.
        """
        now = boot_s()
        stands_back = self.draining or now < self._stands_back_until
        if self._resigned or (stands_back and self.registry.has_non_draining_peer()):
            return False
        if not self._is_vacant():
            self._vacant_since = float("inf")
            return False
        self._vacant_since = min(self._vacant_since, now)
        return now - self._vacant_since >= DEFER_S or not self.registry.has_peer_with_more_cores(
            self.cfg.cores
        )

    def _is_vacant(self) -> bool:
        record = self.leader_records.read(self.mirror.items.get(self._leader_key))
        # A record that names this entry while it has no term was written by an earlier
        # incarnation, or by an attempt whose answer was lost.
        return record is None or (record.entry == self._entry and self.term is None)

    async def _acquire(self, lease: LeaseId, former: LeaderRecord | None = None) -> Term | None:
        """Try to acquire the leadership, from `former` if the newest leader has handed it over.

        Returns None if another entry was first or the store is unavailable.
        """
        # From here on, nothing that this entry does prolongs what the last leader may grant.
        self.support.is_acquiring = True
        attempt = self._prepare(former)
        started = boot_s()
        revision = await self._write(attempt, lease)
        # Stays set if the write is interrupted: it may be carried out late.
        self.support.is_acquiring = False
        if not revision:
            return None
        self._predecessors.see(attempt.record)
        self._epoch_read_at = started
        self.answered_at = boot_s()
        term = attempt.term(self.cfg.prefix, revision, self.cfg.authority_s)
        attempt.log_success(term)
        return term

    def _prepare(self, former: LeaderRecord | None) -> ElectionAttempt:
        """Return an attempt to follow `former`, or the leader that the store shows."""
        leader = self.mirror.items.get(self._leader_key)
        epoch_item = self.mirror.items.get(self._epoch_key)
        previous = former or self.leader_records.read(epoch_item)
        epoch = next_epoch(epoch_item, previous, self.leader)
        compares = [
            Compare(self._leader_key, leader.mod_revision if leader else 0),
            Compare(self._epoch_key, epoch_item.mod_revision if epoch_item else 0),
        ]
        named = self.support.supporters_of(previous)
        if named.supporters:
            # The last leader waits for them until this election.
            compares.append(self.support.compare())
        former_supporters = named.supporters if not (previous and previous.ended) else frozenset()
        evidence = self.support.evidence(previous, former_supporters)
        first = epoch_item is None
        end = GrantsEnd.first() if first else self._predecessors.grants_end(previous, evidence)
        led_before = [previous.entry] if previous is not None else []
        return ElectionAttempt(
            previous,
            end,
            former_supporters,
            tuple(compares),
            self._leader_record(epoch, end.until),
            named.handed_on(epoch, self._entry, *led_before),
        )

    async def _write(self, attempt: ElectionAttempt, lease: LeaseId) -> int:
        """Write an attempt; return the store's revision, or 0 if it is not known to succeed."""
        puts = attempt.puts(self.cfg.prefix, lease)
        try:
            result = await self.store.txn(attempt.compares, puts)
        except (StoreUnavailable, StoreLimited, StoreLeaseEnded) as exc:
            if isinstance(exc, StoreLeaseEnded):
                self._lease = None
            log.info("leadership not acquired: %s", exc)
            return 0
        except StoreError as exc:
            log.info("election outcome unknown: %s", exc)
            # A write that is not found may be carried out late.
            self.support.note_unanswered(attempt)
            return await self._read_back(puts[1])
        return result.revision if result.succeeded else 0

    def _check_predecessor(self) -> None:
        """Tell the scheduler once the previous leaders have certainly ended."""
        term, now = self.term, boot_s()
        if term is None or term.predecessor_ended.is_set():
            return
        ended = now >= term.former_until and self._predecessors.has_ended(term.predecessor)
        if ended or now >= term.earlier_until:
            basis = "evidence" if ended else "time"
            log.info("predecessor ended", extra={"epoch": term.epoch, "basis": basis})
            term.predecessor_ended.set()

    def _leader_record(self, epoch: Epoch, earlier_until: float) -> LeaderRecord:
        """Return the record of this entry as the leader of an epoch.

        `earlier_until` is the time by which the leaders before it grant no lease any more.
        """
        left_s = milliseconds(earlier_until - boot_s()) / 1000
        return LeaderRecord(
            epoch,
            self._entry,
            self._incarnation,
            former_ended=not left_s,
            began=self.mirror.first_revision,
            former_left_s=left_s,
        )

    async def _read_back(self, put: Put) -> int:
        """Return the mod revision of a write whose answer was lost, or 0 if it is not found."""
        try:
            item = await self.store.get(put.key)
        except StoreError as exc:
            log.info("election outcome unknown: %s", exc)
            return 0
        return item.mod_revision if item is not None and item.value == put.value else 0

    async def _serve(self, term: Term) -> None:
        self.term = term
        try:
            with anyio.CancelScope() as self._term_scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._restore_leader_key, term)
                    group.start_soon(self._read_epoch, term)
                    await self._serve_term(term)
                    group.cancel_scope.cancel()
        finally:
            self.term = None
            self._term_scope = None
            term.ended.set()
            log.info("scheduler term ended", extra={"epoch": term.epoch})

    async def _read_epoch(self, term: Term) -> None:
        """Read the epoch key at intervals; end the term once it shows a later one.

        A living store lease proves nothing: its keys may be gone.
        """
        started = boot_s()
        while True:
            await anyio.sleep(max(RETRY_S, self.cfg.renew_s - (boot_s() - started)))
            started = boot_s()
            try:
                item = await self.store.get(term.epoch_key)
            except StoreError as exc:
                self._note_failure(exc)
                log.info("epoch not read: %s", exc, extra={"epoch": term.epoch})
                continue
            self.answered_at = boot_s()
            if self._is_newest(item):
                self._epoch_read_at = started
            elif item is not None:
                self._end_term_before(item.mod_revision)

    async def _release(self, term: Term) -> None:
        """Delete the leader key, and record that nothing happens in the term any more."""
        compares = [Compare(self._epoch_key, term.epoch_revision)]
        record = replace(
            self._leader_record(term.epoch, term.grants_until), ended=True, holds=term.holds
        )
        release = (Delete(self._leader_key), Put(self._epoch_key, record.encode()))
        try:
            with anyio.move_on_after(DRAIN_WRITE_S):
                await self.store.txn(compares, release)
        except StoreError as exc:
            log.info("end of the term not stored: %s", exc, extra={"epoch": term.epoch})

    async def _restore_leader_key(self, term: Term) -> None:
        """Rewrite the leader key if it disappears while no later term has begun."""
        while True:
            await anyio.sleep(self.cfg.renew_s)
            if self._leader_key in self.mirror.items or self._lease is None:
                continue
            if self.mirror.age_s() > self.cfg.lease_s:
                continue
            compares = [Compare(self._leader_key, 0), Compare(self._epoch_key, term.epoch_revision)]
            try:
                record = self._leader_record(term.epoch, term.grants_until)
                put = Put(self._leader_key, record.encode(), self._lease)
                if (await self.store.txn(compares, [put])).succeeded:
                    log.info("leader key restored", extra={"epoch": term.epoch})
            except StoreLeaseEnded:
                self._lease = None
            except StoreError as exc:
                log.info("leader key not restored: %s", exc)
