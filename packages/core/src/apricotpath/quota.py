"""Team limits across all entries: leased shares of a limit, and an exact rolling window.

The rolling window keeps a sorted list of the start times within the last second
in one place, as in the CALLR 2018 article on rate limiting.
"""

from bisect import bisect_right
from collections.abc import Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from math import ceil

from apricotpath.ids import EntryId, TeamId
from apricotpath.model import Size

WINDOW_S = 1.0
# Lease time of a share. The borrower stops using it earlier by the possible drift between two
# clocks, so a share is never in use at two entries.
SHARE_TTL_S = 10.0
CLOCK_DRIFT = 0.01
# A borrower requests this many times what it needs now, so that in a burst its share doubles with
# each request. Shares of events are whole numbers; a factor below 2 would leave a share of 1 at 1.
REQUEST_FACTOR = 2.0
IDLE_RETURN_S = 5.0


@dataclass(frozen=True, slots=True)
class TeamLimit:
    """A team's limits: `share`, its weight in placement, committed size and starts per second.

    `quota` of None and `rate` of 0 mean no limit.
    """

    share: float = 1.0
    quota: Size | None = None
    rate: float = 0.0


@dataclass(slots=True)
class RollingWindow:
    """Exact limit on events in any window of `WINDOW_S` seconds, counted in one place."""

    limit: int
    times: list[float] = field(default_factory=list)

    def try_acquire(self, now: float) -> bool:
        """Count an event and return True, or return False if the window is full."""
        del self.times[: bisect_right(self.times, now - WINDOW_S)]
        if len(self.times) >= self.limit:
            return False
        self.times.insert(bisect_right(self.times, now), now)
        return True

    def available_events(self, now: float) -> int:
        """Return how many events are allowed now."""
        del self.times[: bisect_right(self.times, now - WINDOW_S)]
        return max(0, self.limit - len(self.times))


@dataclass(slots=True)
class Loan:
    """A share of a team's limit leased to one entry until a monotonic time."""

    amount: float
    until: float


@dataclass(slots=True)
class Lender:
    """Lender of one team's limit, at the team's home entry.

    A new home lends nothing until `opens_at`, when every share lent by a former
    home has expired or has been counted by `take_over`. With `whole`, used for
    limits on events, shares are whole numbers; entries then take turns, since
    a small limit cannot be divided among all of them.
    """

    limit: float
    opens_at: float
    whole: bool = False
    loans: dict[EntryId, Loan] = field(default_factory=dict)
    requested: dict[EntryId, float] = field(default_factory=dict)

    def lent(self, now: float) -> float:
        """Return the sum of the unexpired shares."""
        for entry, loan in list(self.loans.items()):
            if loan.until <= now:
                del self.loans[entry]
                self.requested.pop(entry, None)
        return sum(loan.amount for loan in self.loans.values())

    def request(self, entry: EntryId, amount: float, now: float) -> tuple[float, float]:
        """Set the total amount an entry requests; return its share and lease time in seconds.

        If the requested amounts exceed the limit, it is divided by max-min
        fairness. A share that is reduced counts as lent until it has expired.
        """
        if now < self.opens_at:
            return 0.0, self.opens_at - now
        self.lent(now)
        held = self.loans.get(entry)
        self.requested[entry] = max(0.0, amount)
        others = sum(loan.amount for name, loan in self.loans.items() if name != entry)
        turn = int(now / SHARE_TTL_S) if self.whole else None
        fair = _fair_share(self.limit, self.requested, entry, turn)
        desired = min(amount, fair) + self._surplus(others)
        granted = max(0.0, min(desired, self.limit - others))
        granted = float(int(granted)) if self.whole else granted
        # The entry may still use its former, larger share, for example if this answer is
        # lost. The larger one therefore counts until it has expired.
        counted = max(granted, held.amount) if held is not None else granted
        until = now + SHARE_TTL_S
        if held is not None and held.amount > granted:
            until = held.until
            counted = held.amount
        if granted > 0 or held is not None:
            self.loans[entry] = Loan(counted, until)
        return granted, max(0.0, until - now)

    def _surplus(self, lent: float) -> float:
        """Return how much an entry gets beyond its request, from what no entry requests.

        A burst then starts at once instead of waiting for its share to grow. Half of
        the remainder is retained for the next entry with a burst.
        """
        desired = sum(self.requested.values())
        return max(0.0, self.limit - max(lent, desired)) / 2

    def take_over(self, held: Mapping[EntryId, Loan], now: float, opens_at: float) -> None:
        """Count the unexpired loans of a former home, and lend from `opens_at` on."""
        for entry, loan in held.items():
            if loan.amount > 0 and loan.until > now:
                self.loans[entry] = loan
                self.requested.setdefault(entry, loan.amount)
        self.opens_at = min(self.opens_at, opens_at)


def _fair_share(
    limit: float, requested: dict[EntryId, float], entry: EntryId, turn: int | None
) -> float:
    """Return an entry's share of a limit by max-min fairness.

    With `turn`, shares are whole numbers and the entry served first rotates.
    """
    remaining = limit
    order = dict.fromkeys(requested, 0)
    if turn is not None:
        names = sorted(requested)
        order = {name: (position + turn) % len(names) for position, name in enumerate(names)}
    waiting = sorted(requested.items(), key=lambda item: (item[1], order[item[0]], item[0]))
    for index, (name, demand) in enumerate(waiting):
        equal_part = remaining / (len(waiting) - index)
        part = min(demand, equal_part if turn is None else ceil(equal_part), remaining)
        if name == entry:
            return part
        remaining -= part
    return remaining


@dataclass(slots=True)
class Borrower:
    """Borrower of one team's limit, at an owner of shards.

    Once a new home has asked for the share held here, grants of other homes are
    rejected until `exclusive_until`, since the new home has not counted them.
    """

    amount: float = 0.0
    until: float = 0.0
    home: EntryId | None = None
    exclusive_until: float = -1e9
    requested_at: float = -1e9
    last_needed_at: float = -1e9

    def accept_grant(
        self, amount: float, ttl_s: float, sent_at: float, quiet_s: float = 0.0
    ) -> None:
        """Accept a grant of `ttl_s` seconds from `sent_at`, the time of the request.

        The time of the answer does not count, since it may be late. The share is not used in
        its last `quiet_s` seconds: with `WINDOW_S` for a rate, two successive holders of a
        share never use it within one window. A grant of 0 from a home that lends nothing yet
        leaves an older share valid until it expires.
        """
        if amount == 0.0 and self.available(sent_at) > 0.0:
            return
        self.amount = amount
        self.until = sent_at + ttl_s * (1.0 - CLOCK_DRIFT) - quiet_s

    def accepts_grants_of(self, home: EntryId, now: float) -> bool:
        """Return whether a grant of this home may be accepted."""
        return self.home in (None, home) or now >= self.exclusive_until

    def report_share(self, home: EntryId, now: float) -> float:
        """Return the share held for a new home to count, and accept only that home's grants."""
        self.home, self.exclusive_until = home, now + SHARE_TTL_S
        return self.available(now)

    def available(self, now: float) -> float:
        """Return the share that may be used now."""
        return self.amount if now < self.until else 0.0

    def amount_to_request(self, need: float, now: float, retry_s: float = 0.2) -> float | None:
        """Return the amount to request now, or None if no request is needed."""
        if need > 0:
            self.last_needed_at = now
        elif now - self.last_needed_at > IDLE_RETURN_S:
            return None
        if now - self.requested_at < retry_s:
            return None
        short = need > self.available(now)
        if not short and self.until - now > SHARE_TTL_S / 2:
            return None
        self.requested_at = now
        return need * REQUEST_FACTOR


@dataclass(slots=True)
class RateShare:
    """Starts per second within a borrowed rate, counted in a rolling window."""

    window: RollingWindow = field(default_factory=lambda: RollingWindow(0))

    def required_rate(self, now: float) -> float:
        """Return the rate (starts per second) that one more start needs."""
        del self.window.times[: bisect_right(self.window.times, now - WINDOW_S)]
        return len(self.window.times) + 1.0

    def try_acquire(self, share: float, now: float) -> bool:
        """Count a start and return True, or return False if the rate `share` is used up."""
        self.window.limit = int(share)
        return self.window.try_acquire(now)


def home_of(team: TeamId, entries: list[EntryId]) -> EntryId | None:
    """Return the entry that lends a team's limit, by rendezvous hash."""
    return rendezvous(str(team), entries)[0] if entries else None


def rendezvous(key: str, entries: list[EntryId]) -> list[EntryId]:
    """Return the entries ordered by their weight for a key."""
    return sorted(
        entries,
        key=lambda entry: blake2b(f"{key}\0{entry}".encode(), digest_size=8).digest(),
        reverse=True,
    )
