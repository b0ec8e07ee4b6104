"""Limits of teams over all entries: lending at a team's home, borrowing at the owners."""

import logging
from collections.abc import Callable

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
    RateShare,
    TeamLimit,
    home_of,
)
from apricotpathd.runs import Members

log = logging.getLogger(__name__)

SIZE, RATE = "size", "rate"
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

    def __init__(self, entry: EntryId, members: Members, limits: Limits) -> None:
        self.entry = entry
        self.members = members
        self.limits = limits
        self.group: TaskGroup | None = None
        self.lenders: dict[tuple[TeamId, str], Lender] = {}
        self.borrowers: dict[tuple[TeamId, str], Borrower] = {}
        self.rates: dict[TeamId, RateShare] = {}
        self.used: dict[TeamId, float] = {}
        self.wanted: dict[TeamId, float] = {}

    def weight(self, team: TeamId) -> float:
        """Return a team's weight in the order of placement."""
        limit = self.limits(team)
        return limit.share if limit is not None else 1.0

    def begin_round(self, sizes: dict[TeamId, list[Size]]) -> None:
        """Start a round of placement with the sizes that each team has committed here."""
        self.wanted.clear()
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
        if limit.quota is not None:
            part = quota_part(spec.size, limit.quota)
            used = self.used.get(spec.team, 0.0)
            if used + part > self._available(spec.team, SIZE, used + part, now) + 1e-9:
                return Reason("quota", f"team {spec.team} has used its quota", "teams")
        if limit.rate > 0:
            window = self.rates.setdefault(spec.team, RateShare())
            rate = self._available(spec.team, RATE, window.need(now), now)
            if not window.take(rate, now):
                return Reason("rate", f"team {spec.team} starts {limit.rate:g} tasks/s", "teams")
        if limit.quota is not None:
            self.used[spec.team] = used + part
        return None

    def _available(self, team: TeamId, kind: str, need: float, now: float) -> float:
        """Return the share held; asks for more if it is short or about to end."""
        borrower = self.borrowers.setdefault((team, kind), Borrower())
        amount = borrower.ask(need, now)
        if amount is not None:
            self._request(team, kind, amount, borrower, now)
        return borrower.available(now)

    def keep(self, now: float) -> None:
        """Renew the shares that committed tasks use."""
        for team, used in self.used.items():
            if used > 0:
                self._available(team, SIZE, used, now)

    def _request(
        self, team: TeamId, kind: str, amount: float, borrower: Borrower, now: float
    ) -> None:
        home = home_of(team, list(self.members.view().entries))
        if home == self.entry:
            grant = self.lend(self.entry, ShareRequest(team, amount, kind), now)
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
        if isinstance(reply, ShareGrant):
            borrower.granted(reply.amount, reply.ttl_ms / 1000.0, sent_at, QUIET_S[kind])

    def lend(self, entry: EntryId, request: ShareRequest, now: float) -> ShareGrant:
        """Answer a request for part of a team's limit; refused if this is not its home."""
        limit = self.limits(request.team)
        total = 0.0
        if limit is not None:
            total = 1.0 if request.kind == SIZE else limit.rate
        if home_of(request.team, list(self.members.view().entries)) != self.entry:
            self.lenders.pop((request.team, request.kind), None)
            return ShareGrant(request.team, 0.0, 0, request.kind)
        key = (request.team, request.kind)
        lender = self.lenders.get(key)
        if lender is None:
            # A former home may have lent shares until now; alone, there was none.
            alone = len(self.members.view().entries) == 1
            opens_at = now if alone else now + SHARE_TTL_S
            lender = self.lenders[key] = Lender(total, opens_at, whole=request.kind == RATE)
        lender.limit = total
        amount, seconds = lender.request(entry, request.amount, now)
        return ShareGrant(request.team, amount, int(seconds * 1000), request.kind)
