"""Team limits across all entries: the home entry of a team lends shares, owners borrow them."""

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
# Prefix of a request's kind: a new home asks which share an entry holds from a former home.
HELD_PREFIX = "held-"
# A new home repeats its question to an entry without an answer after this time.
HELD_RETRY_S = 0.2
# Equals the default of `PolicySettings.fresh_s`, the maximum view age for starting tasks.
FRESH_S = 2.0
# Seconds at the end of a share in which it is not used, by kind.
QUIET_S = {SIZE: 0.0, RATE: WINDOW_S}

Limits = Callable[[TeamId], TeamLimit | None]


def no_limits(_: TeamId) -> TeamLimit | None:
    """Return no limit for any team."""
    return None


def quota_fraction(size: Size, quota: Size) -> float:
    """Return the fraction of a quota that a size takes, the maximum over its dimensions.

    The sum of these fractions is at least the fraction in use of each dimension, so
    a sum of at most 1.0 keeps every dimension within the quota.
    """
    pairs = (
        (size.cpu_milli, quota.cpu_milli),
        (size.memory_mb, quota.memory_mb),
        (size.accelerators, quota.accelerators),
    )
    return max((used / whole if whole else 1e9) if used else 0.0 for used, whole in pairs)


class TeamShares:
    """The shares of team limits that this entry may use, and those that it lends to others."""

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
        self._former_views_expire_at = 0.0

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
                self.used[team] = sum(quota_fraction(size, limit.quota) for size in committed)

    def admit(self, spec: JobSpec, now: float) -> Reason | None:
        """Count one more start of a team, or return the limit that forbids it."""
        limit = self.limits(spec.team)
        if limit is None:
            return None
        window = self.rates.setdefault(spec.team, RateShare())
        # Request both shares before either can refuse, so that their delays do not add up.
        rate = inf
        if limit.rate > 0:
            rate = self._held_share(spec.team, RATE, window.required_rate(now), now)
        if limit.quota is not None:
            fraction = quota_fraction(spec.size, limit.quota)
            used = self.used.get(spec.team, 0.0)
            if used + fraction > self._held_share(spec.team, SIZE, used + fraction, now) + 1e-9:
                return Reason("quota", f"team {spec.team} has used its quota", "teams")
        if limit.rate > 0 and not window.try_acquire(rate, now):
            return Reason("rate", f"team {spec.team} starts {limit.rate:g} tasks/s", "teams")
        if limit.quota is not None:
            self.used[spec.team] = used + fraction
        return None

    def _held_share(self, team: TeamId, kind: str, need: float, now: float) -> float:
        """Return the share held; requests more if it is too small or about to expire.

        An entry whose registration has expired uses no share. A new home relies on this,
        since it does not ask unregistered entries for the shares they hold.
        """
        borrower = self.borrowers.setdefault((team, kind), Borrower())
        amount = borrower.amount_to_request(need, now)
        if amount is not None:
            self._request(team, kind, amount, borrower, now)
        registered = self.entry in self.members.view().entries
        return borrower.available(now) if registered else 0.0

    def renew_used_shares(self, now: float) -> None:
        """Renew the shares that committed tasks use, and apply membership changes."""
        self._update_members(now)
        for team, used in self.used.items():
            if used > 0:
                self._held_share(team, SIZE, used, now)

    def _update_members(self, now: float) -> None:
        """Drop the lenders of teams whose home has moved to another entry.

        An entry that has left may act on its last view for another `fresh_s` seconds.
        """
        entries = frozenset(self.members.view().entries)
        if entries == self._entries:
            return
        if not self._entries or self._entries - entries:
            self._former_views_expire_at = now + self.fresh_s
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
            if not borrower.accepts_grants_of(self.entry, now):
                return
            borrower.accept_grant(grant.amount, grant.ttl_ms / 1000.0, now, QUIET_S[kind])
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
        if isinstance(reply, ShareGrant) and borrower.accepts_grants_of(home, anyio.current_time()):
            borrower.accept_grant(reply.amount, reply.ttl_ms / 1000.0, sent_at, QUIET_S[kind])

    def answer(self, entry: EntryId, request: ShareRequest, now: float) -> ShareGrant:
        """Answer another entry: lend it a share, or return the share that is held here."""
        if not request.kind.startswith(HELD_PREFIX):
            return self.lend(entry, request, now)
        kind = request.kind.removeprefix(HELD_PREFIX)
        borrower = self.borrowers.setdefault((request.team, kind), Borrower())
        held = borrower.report_share(entry, now)
        left_s = max(0.0, borrower.until + QUIET_S.get(kind, 0.0) - now)
        return ShareGrant(request.team, held, int(left_s * 1000) + 1, request.kind)

    def lend(self, entry: EntryId, request: ShareRequest, now: float) -> ShareGrant:
        """Answer a request for part of a team's limit; refused if this is not its home."""
        self._update_members(now)
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
        """Return a lender that opens once the shares lent by a former home are counted.

        Without the answers of all entries it opens when every old share has expired.
        """
        lender = Lender(total, now + SHARE_TTL_S, whole=key[1] == RATE)
        others = [name for name in self.members.view().entries if name != self.entry]
        if not others:
            self._open_lender(key, lender, {}, now)
        elif self.group is not None:
            self.group.start_soon(self._collect_held_shares, key, lender, others)
        return lender

    async def _collect_held_shares(
        self, key: tuple[TeamId, str], lender: Lender, others: list[EntryId]
    ) -> None:
        """Ask all other entries for their shares, until all have answered or the lender opens."""
        held: dict[EntryId, Loan] = {}
        waiting = list(others)
        while waiting and anyio.current_time() < lender.opens_at:
            for name in list(waiting):
                loan = await self._query_held_share(name, key)
                if loan is not None:
                    held[name] = loan
                    waiting.remove(name)
            if waiting:
                await anyio.sleep(HELD_RETRY_S)
        if not waiting and self.lenders.get(key) is lender:
            self._open_lender(key, lender, held, anyio.current_time())

    async def _query_held_share(self, name: EntryId, key: tuple[TeamId, str]) -> Loan | None:
        link = self.members.link_to(name)
        if link is None:
            return None
        try:
            reply = await link.call(ShareRequest(key[0], 0.0, HELD_PREFIX + key[1]))
        except LinkError as exc:
            log.info("no answer from entry %s about its share: %s", name, exc)
            return None
        if not isinstance(reply, ShareGrant):
            return None
        return Loan(reply.amount, anyio.current_time() + reply.ttl_ms / 1000.0)

    def _open_lender(
        self, key: tuple[TeamId, str], lender: Lender, held: dict[EntryId, Loan], now: float
    ) -> None:
        own = self.borrowers.setdefault(key, Borrower())
        until = own.until + QUIET_S.get(key[1], 0.0)
        held = {**held, self.entry: Loan(own.report_share(self.entry, now), until)}
        lender.take_over(held, now, max(now, self._former_views_expire_at))
