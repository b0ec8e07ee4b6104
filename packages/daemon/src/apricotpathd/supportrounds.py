"""Asks the other entries to support this one as the leader; see `apricotpath.leadersupport`."""

import logging
import math
from collections.abc import Sequence
from dataclasses import dataclass

import anyio

from apricotpath.boottime import boot_s
from apricotpath.entrymessages import NO_EPOCH
from apricotpath.entryrecords import shortest_holds
from apricotpath.entryregistry import EntryRegistry
from apricotpath.errors import InputError, LinkError, StoreError
from apricotpath.ids import HostId, ProcessId
from apricotpath.leadersupport import (
    SUPPORT_S,
    Supporter,
    SupportersRecord,
    host_holds,
    milliseconds,
)
from apricotpath.link import Link
from apricotpath.messages import Supported, SupportRequest
from apricotpath.model import Role
from apricotpath.store import Compare, Put, Store
from apricotpath.term import Term
from apricotpathd.hosttracker import HostTracker

log = logging.getLogger(__name__)

# Interval of the requests, and the shortest pause between two of them.
ROUND_S = 0.2
MIN_ROUND_S = 0.02
# Interval of the checks whether the stored record names the entries that answer.
CHECK_S = 0.05
# An entry is left out of the record after so many checks in a row without its support. Counted in
# checks, so that a stall of this process counts as one.
MAX_MISSED_CHECKS = 4
# One that is not waited for is forgotten after so many.
MAX_REMEMBERED_CHECKS = 200
# An entry that was left out is not named again sooner, so that one that comes and goes does not
# cost a write each time.
RETURN_S = 2.0
# Pause after a failed write of the record.
RETRY_S = 0.1
# Limits the messages of a leader that has many entries beside it.
MAX_SUPPORTERS = 8


@dataclass(slots=True)
class Peer:
    """Another entry's process: the newest request it has answered, and when that was sent.

    `missed_checks`: how many checks in a row it has not supported the leader. `returns_at`: when
    it may be named in the record again. Times are on the boot clock.
    """

    answered: int = 0
    sent_at: float = float("-inf")
    missed_checks: int = 0
    returns_at: float = float("-inf")

    @property
    def supports_until(self) -> float:
        """The time until which the peer lets the leader grant leases."""
        return self.sent_at + SUPPORT_S


class SupportRounds:
    """The support of one term: who is asked, who has answered, and whether leases may be granted.

    Each request tells for how long leases of hosts may last that do not report. No lease of such
    a host is granted until the supporters have answered a request that does not name it.
    """

    def __init__(
        self,
        term: Term,
        store: Store,
        key: str,
        links: Sequence[Link],
        registry: EntryRegistry,
        tracker: HostTracker,
    ) -> None:
        self._term, self._store, self._key, self._links = term, store, key, links
        self._registry, self._tracker = registry, tracker
        self._number = self._holds_number = 0
        self._sent_at: dict[int, float] = {}
        self._named: frozenset[HostId] = frozenset()
        # The first request that did not name a host any more, and the newest of these.
        self._unnamed_by: dict[HostId, int] = {}
        self._last_unnamed_by = 0
        self._recorded = term.supporters
        self._peers = {supporter: Peer() for supporter in self._recorded}
        # Those whose support is needed: at least those that the stored record may name.
        self._needed = dict(self._peers)
        # The first record was written with the election.
        self._revision: int | None = term.epoch_revision
        # When the earlier leaders grant no lease any more, and whether a supporter has told that.
        self._former_until = term.earlier_until
        self._former_known = not term.former_supporters
        self._missing: list[ProcessId] = []
        self._asked = anyio.Event()

    async def run(self) -> None:
        """Ask for support and keep the stored record up to date until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._ask)
            group.start_soon(self._keep_record)

    def may_grant(self, host: HostId) -> bool:
        """Tell whether a lease of a host may be granted now; if not, ask for support soon."""
        if host in self._named:
            self._asked.set()
            return False
        now, needed_number = boot_s(), self._unnamed_by.get(host, 0)
        return all(
            now < peer.supports_until and peer.answered >= needed_number
            for peer in self._needed.values()
        )

    def receive(self, link: Link, message: Supported) -> None:
        """Note that an entry supports this leader."""
        if link.peer is None or message.epoch != self._term.epoch:
            return
        supporter = Supporter(link.peer.process_id, link.peer.incarnation)
        peer = self._peers.setdefault(supporter, Peer())
        if not peer.answered < message.number <= self._number:
            return
        peer.answered = message.number
        peer.sent_at = self._sent_at.get(message.number, float("-inf"))
        if message.former != NO_EPOCH and supporter in self._term.former_supporters:
            self._note_former(message)
        self._tracker.grant_again()

    def _note_former(self, message: Supported) -> None:
        """Apply what a supporter of the last leader knows of that leader's grants."""
        former = self._term.predecessor
        if former is None or message.former != former.epoch or self._former_known:
            return
        self._former_known = True
        now = boot_s()
        self._former_until = min(self._former_until, now + message.former_ms / 1000)
        holds_until = {hold.host: now + hold.left_ms / 1000 for hold in message.former_holds}
        self._tracker.limit_former_grants(self._former_until, holds_until)
        extra = {"epoch": former.epoch, "wait_ms": message.former_ms, "holds": len(holds_until)}
        log.info("last scheduler's grants known from a supporter", extra=extra)

    def _check_former(self) -> None:
        """Note that the earlier leaders grant no lease any more, by what a supporter has told."""
        term = self._term
        if self._former_until >= term.earlier_until or term.predecessor_ended.is_set():
            return
        if boot_s() >= self._former_until:
            log.info("predecessor ended", extra={"epoch": term.epoch, "basis": "support"})
            term.predecessor_ended.set()

    async def _ask(self) -> None:
        while True:
            self._send_round()
            self._tracker.grant_again()
            self._check_former()
            self._log_missing()
            with anyio.move_on_after(ROUND_S):
                await self._asked.wait()
            self._asked = anyio.Event()
            await anyio.sleep(MIN_ROUND_S)

    def _send_round(self) -> None:
        """Send a request to each entry."""
        now = boot_s()
        self._number += 1
        self._sent_at[self._number] = now
        self._sent_at.pop(self._number - math.ceil(SUPPORT_S / MIN_ROUND_S), None)
        holds = shortest_holds(self._tracker.silent_holds(now))
        self._note_named(frozenset(holds))
        told = host_holds(holds)
        ended = self._term.predecessor_ended.is_set()
        former_ms = 0 if ended else milliseconds(self._former_until - now)
        former = self._term.predecessor
        asked = former.epoch if former is not None and not self._former_known else NO_EPOCH
        for link in self._links:
            if link.peer is None or link.peer.role is not Role.ENTRY:
                continue
            supporter = Supporter(link.peer.process_id, link.peer.incarnation)
            if supporter not in self._peers and not self._registry.supports(*supporter):
                continue
            knows_holds = self._answered(supporter) >= self._holds_number
            request = SupportRequest(
                self._term.epoch,
                self._number,
                former_ms,
                self._holds_number,
                () if knows_holds else told,
                asked,
            )
            try:
                link.send_nowait(request)
            except LinkError as exc:
                log.info("support not asked for: %s", exc, extra={"entry": link.peer_id})

    def _answered(self, supporter: Supporter) -> int:
        peer = self._peers.get(supporter)
        return peer.answered if peer is not None else 0

    def _note_named(self, named: frozenset[HostId]) -> None:
        """Note the hosts that the next request names."""
        if named == self._named:
            return
        for host in self._named - named:
            self._unnamed_by[host] = self._last_unnamed_by = self._number
        self._named, self._holds_number = named, self._number

    def _log_missing(self) -> None:
        """Log a change of the entries that do not support this leader in time."""
        now = boot_s()
        missing = sorted(
            name.entry for name, peer in self._needed.items() if now >= peer.supports_until
        )
        if missing != self._missing:
            extra = {"epoch": self._term.epoch, "entries": missing}
            text = "no leases granted: support is missing" if missing else "support is complete"
            log.info(text, extra=extra)
            self._missing = missing

    # The stored record.

    async def _keep_record(self) -> None:
        while True:
            await anyio.sleep(CHECK_S)
            try:
                if self._revision is None:
                    await self._read_record()
                wanted = self._wanted()
                if not wanted == self._recorded == self._needed.keys():
                    await self._write_record(wanted)
            except StoreError as exc:
                self._revision = None
                log.info("supporters not stored: %s", exc, extra={"epoch": self._term.epoch})
                await anyio.sleep(RETRY_S)

    def _wanted(self) -> frozenset[Supporter]:
        """Return the entries that the record should name."""
        now = boot_s()
        for peer in self._peers.values():
            peer.missed_checks = 0 if now < peer.supports_until else peer.missed_checks + 1
        lost = {
            name for name, peer in self._needed.items() if peer.missed_checks >= MAX_MISSED_CHECKS
        }
        if lost != self._needed.keys():
            # If none answers, the cause is not theirs.
            for name in lost:
                self._peers[name].returns_at = now + RETURN_S
        found = self._needed.keys() - lost
        found |= {
            name
            for name, peer in self._peers.items()
            if peer.returns_at <= now < peer.supports_until and self._is_up_to_date(peer)
        }
        self._peers = {
            name: peer
            for name, peer in self._peers.items()
            if name in self._needed or peer.missed_checks < MAX_REMEMBERED_CHECKS
        }
        kept = sorted(found, key=lambda name: (name not in self._needed, name))
        return frozenset(kept[:MAX_SUPPORTERS])

    def _is_up_to_date(self, peer: Peer) -> bool:
        """Tell whether a peer takes no host for silent that may be granted leases."""
        return peer.answered >= self._last_unnamed_by

    async def _read_record(self) -> None:
        """Read the stored record, which this leader or one before it has written."""
        item = await self._store.get(self._key)
        self._recorded = frozenset()
        try:
            if item is not None:
                record = SupportersRecord.parse(item.value)
                if record.epoch == self._term.epoch:
                    self._recorded = record.supporters
        except InputError as exc:
            log.warning("malformed record of supporters replaced: %s", exc)
        self._revision = item.mod_revision if item is not None else 0

    async def _write_record(self, wanted: frozenset[Supporter]) -> None:
        """Store the entries whose support is needed from now on."""
        # Needed already while the record may or may not name them.
        self._needed |= {supporter: self._peers[supporter] for supporter in wanted}
        compares = [
            Compare(self._term.epoch_key, self._term.epoch_revision),
            Compare(self._key, self._revision or 0),
        ]
        put = Put(self._key, SupportersRecord(self._term.epoch, wanted).encode())
        result = await self._store.txn(compares, [put])
        if not result.succeeded:
            self._revision = None
            return
        self._revision, self._recorded = result.revision, wanted
        for supporter in self._needed.keys() - wanted:
            del self._needed[supporter]
        names = sorted(supporter.entry for supporter in wanted)
        log.info("supporters stored", extra={"epoch": self._term.epoch, "entries": names})
