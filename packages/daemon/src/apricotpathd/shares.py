"""Limits of teams over all entries: lending at a team's home, borrowing at the owners."""

import logging
from collections.abc import Callable
from math import inf

import anyio
from anyio.abc import TaskGroup

from apricotpath.errors import LinkError
from apricotpath.ids import EntryId, TeamId
from apricotpath.messages import ShareGrant, ShareRequest
from apricotpath.model import JobSpec, Size
from apricotpath.placement import Reason
from apricotpath.quota import (
    SHARE_TTL_S,
    WINDOW_S,
    Borrower,
    Lender,
    Loan,
    RateShare,
    TeamLimit,
    home_of,
)
from apricotpathd.runs import Members

log = logging.getLogger(__name__)

SIZE, RATE = "size", "rate"
# Prefix of a request's kind: a new home asks what an entry holds of a former one.
HELD = "held-"
# A new home asks an entry that gave no answer again after this time.
ASK_AGAIN_S = 0.2
# Agrees with `PolicySettings.fresh_s`, the age of a view on which starts may rest.
FRESH_S = 2.0
QUIET_S = {SIZE: 0.0, RATE: WINDOW_S}

Limits = Callable[[TeamId], TeamLimit | None]


def no_limits(_: TeamId) -> TeamLimit | None:
    """Return no limit for any team."""
    return None


def quota_part(size: Size, quota: Size) -> float:
    """Return the part of a quota that a size takes in its largest dimension.

    The sum of these parts is at least the part of each dimension in use, so a
    sum of at most 1.0 keeps every dimension within the quota.
    """
    pairs = (
        (size.cpu_milli, quota.cpu_milli),
        (size.memory_mb, quota.memory_mb),
        (size.accelerators, quota.accelerators),
    )
    return max((used / whole if whole else 1e9) if used else 0.0 for used, whole in pairs)


class TeamShares:
    """What this entry may use of each team's limits, and what it lends to others."""

    def __init__(
        self, entry: EntryId, members: Members, limits: Limits, fresh_s: float = FRESH_S
    ) -> None:
        self.entry = entry
        self.fresh_s = fresh_s
        self.members = members
        self.limits = limits
        self.group: TaskGroup | None = None
        self.lenders: dict[tuple[TeamId, str], Lender] = {}
        self.borrowers: dict[tuple[TeamId, str], Borrower] = {}
        self.rates: dict[TeamId, RateShare] = {}
        self.used: dict[TeamId, float] = {}
        self._entries: frozenset[EntryId] = frozenset()
        self._settled_at = 0.0

    def weight(self, team: TeamId) -> float:
        """Return a team's weight in the order of placement."""
        limit = self.limits(team)
        return limit.share if limit is not None else 1.0

    def begin_round(self, sizes: dict[TeamId, list[Size]]) -> None:
        """Start a round of placement with the sizes that each team has committed here."""
        self.used = {}
        for team, committed in sizes.items():
            limit = self.limits(team)
            if limit is not None and limit.quota is not None:
                self.used[team] = sum(quota_part(size, limit.quota) for size in committed)

    def admit(self, spec: JobSpec, now: float) -> Reason | None:
        """Count one more start of a team, or return which limit forbids it."""
        limit = self.limits(spec.team)
        if limit is None:
            return None
        window = self.rates.setdefault(spec.team, RateShare())
        # Both shares are asked for before one can refuse, so that the waits do not add up.
        rate = inf
        if limit.rate > 0:
            rate = self._available(spec.team, RATE, window.need(now), now)
        if limit.quota is not None:
            part = quota_part(spec.size, limit.quota)
            used = self.used.get(spec.team, 0.0)
            if used + part > self._available(spec.team, SIZE, used + part, now) + 1e-9:
                return Reason("quota", f"team {spec.team} has used its quota", "teams")
        if limit.rate > 0 and not window.take(rate, now):
            return Reason("rate", f"team {spec.team} starts {limit.rate:g} tasks/s", "teams")
        if limit.quota is not None:
            self.used[spec.team] = used + part
        return None

    def _available(self, team: TeamId, kind: str, need: float, now: float) -> float:
        """Return the share held; asks for more if it is short or about to end.

        An entry whose registration has ended uses no share. A new home relies on it when
        it does not ask entries that are not registered what they hold.
        """
        borrower = self.borrowers.setdefault((team, kind), Borrower())
        amount = borrower.ask(need, now)
        if amount is not None:
            self._request(team, kind, amount, borrower, now)
        registered = self.entry in self.members.view().entries
        return borrower.available(now) if registered else 0.0

    def keep(self, now: float) -> None:
        """Renew the shares that committed tasks use, and follow changes of the members."""
        self._follow_members(now)
        for team, used in self.used.items():
            if used > 0:
                self._available(team, SIZE, used, now)

    def _follow_members(self, now: float) -> None:
        """Drop lenders of teams that have another home now.

        An entry that has left may act on its last view for `fresh_s` seconds more.
        """
        entries = frozenset(self.members.view().entries)
        if entries == self._entries:
            return
        if not self._entries or self._entries - entries:
            self._settled_at = now + self.fresh_s
        self._entries = entries
        names = list(entries)
        for team, kind in list(self.lenders):
            if home_of(team, names) != self.entry:
                del self.lenders[team, kind]

    def _request(
        self, team: TeamId, kind: str, amount: float, borrower: Borrower, now: float
    ) -> None:
        home = home_of(team, list(self.members.view().entries))
        if home == self.entry:
            grant = self.lend(self.entry, ShareRequest(team, amount, kind), now)
            if not borrower.trusts(self.entry, now):
                return
            borrower.granted(grant.amount, grant.ttl_ms / 1000.0, now, QUIET_S[kind])
        elif home is not None and self.group is not None:
            self.group.start_soon(self._borrow, home, team, kind, amount, borrower)

    async def _borrow(
        self, home: EntryId, team: TeamId, kind: str, amount: float, borrower: Borrower
    ) -> None:
        link, sent_at = self.members.link_to(home), anyio.current_time()
        if link is None:
            return
        try:
            reply = await link.call(ShareRequest(team, amount, kind))
        except LinkError as exc:
            log.info("no share of team %s: %s", team, exc)
            return
        if isinstance(reply, ShareGrant) and borrower.trusts(home, anyio.current_time()):
            borrower.granted(reply.amount, reply.ttl_ms / 1000.0, sent_at, QUIET_S[kind])

    def answer(self, entry: EntryId, request: ShareRequest, now: float) -> ShareGrant:
        """Answer another entry: lend it a share, or tell it what is held here."""
        if not request.kind.startswith(HELD):
            return self.lend(entry, request, now)
        kind = request.kind.removeprefix(HELD)
        borrower = self.borrowers.setdefault((request.team, kind), Borrower())
        held = borrower.declare(entry, now)
        left_s = max(0.0, borrower.until + QUIET_S.get(kind, 0.0) - now)
        return ShareGrant(request.team, held, int(left_s * 1000) + 1, request.kind)

    def lend(self, entry: EntryId, request: ShareRequest, now: float) -> ShareGrant:
        """Answer a request for part of a team's limit; refused if this is not its home."""
        self._follow_members(now)
        limit = self.limits(request.team)
        total = 0.0
        if limit is not None:
            total = 1.0 if request.kind == SIZE else limit.rate
        if home_of(request.team, list(self.members.view().entries)) != self.entry:
            return ShareGrant(request.team, 0.0, 0, request.kind)
        key = (request.team, request.kind)
        lender = self.lenders.get(key)
        if lender is None:
            lender = self.lenders[key] = self._new_lender(key, total, now)
        lender.limit = total
        amount, seconds = lender.request(entry, request.amount, now)
        return ShareGrant(request.team, amount, int(seconds * 1000), request.kind)

    def _new_lender(self, key: tuple[TeamId, str], total: float, now: float) -> Lender:
        """Return a lender that opens when it knows what a former home has lent.

        Without the answers of all entries it opens when every old share has ended.
        """
        lender = Lender(total, now + SHARE_TTL_S, whole=key[1] == RATE)
        others = [name for name in self.members.view().entries if name != self.entry]
        if not others:
            self._count_held(key, lender, {}, now)
        elif self.group is not None:
            self.group.start_soon(self._ask_held, key, lender, others)
        return lender

    async def _ask_held(
        self, key: tuple[TeamId, str], lender: Lender, others: list[EntryId]
    ) -> None:
        """Ask every other entry what it holds, until all have answered or it is too late."""
        held: dict[EntryId, Loan] = {}
        waiting = list(others)
        while waiting and anyio.current_time() < lender.opens_at:
            for name in list(waiting):
                loan = await self._held_by(name, key)
                if loan is not None:
                    held[name] = loan
                    waiting.remove(name)
            if waiting:
                await anyio.sleep(ASK_AGAIN_S)
        if not waiting and self.lenders.get(key) is lender:
            self._count_held(key, lender, held, anyio.current_time())

    async def _held_by(self, name: EntryId, key: tuple[TeamId, str]) -> Loan | None:
        link = self.members.link_to(name)
        if link is None:
            return None
        try:
            reply = await link.call(ShareRequest(key[0], 0.0, HELD + key[1]))
        except LinkError as exc:
            log.info("entry %s did not say what it holds: %s", name, exc)
            return None
        if not isinstance(reply, ShareGrant):
            return None
        return Loan(reply.amount, anyio.current_time() + reply.ttl_ms / 1000.0)

    def _count_held(
        self, key: tuple[TeamId, str], lender: Lender, held: dict[EntryId, Loan], now: float
    ) -> None:
        own = self.borrowers.setdefault(key, Borrower())
        until = own.until + QUIET_S.get(key[1], 0.0)
        held = {**held, self.entry: Loan(own.declare(self.entry, now), until)}
        lender.take_over(held, now, max(now, self._settled_at))
