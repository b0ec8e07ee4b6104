"""Limits of teams over all entries: shares lent by one entry, or an exact rolling window.

The rolling window keeps a sorted list of start times of the last second at
one place, as the CALLR 2018 rate-limiting article does.
"""

from bisect import bisect_right
from collections.abc import Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from math import ceil

from apricotpath.ids import EntryId, TeamId
from apricotpath.model import Size

WINDOW_S = 1.0
# A share is lent for this long. The borrower stops using it earlier, by the
# drift that two clocks can have, so a share is never in use at two entries.
SHARE_TTL_S = 10.0
CLOCK_DRIFT = 0.01
# A borrower asks for more than it needs now: in a burst its share doubles with
# each request. Shares of events are whole numbers, so a smaller factor leaves a
# share of 1 at 1.
HEADROOM = 2.0
IDLE_RETURN_S = 5.0


@dataclass(frozen=True, slots=True)
class TeamLimit:
    """A team's limits: weight in the order of placement, committed size, starts per second.

    `quota` of None and `rate` of 0 mean no limit.
    """

    share: float = 1.0
    quota: Size | None = None
    rate: float = 0.0


@dataclass(slots=True)
class RollingWindow:
    """Exact limit on events in any window of `WINDOW_S` seconds, at one place."""

    limit: int
    times: list[float] = field(default_factory=list)

    def take(self, now: float) -> bool:
        """Count an event and return True, or return False if the window is full."""
        del self.times[: bisect_right(self.times, now - WINDOW_S)]
        if len(self.times) >= self.limit:
            return False
        self.times.insert(bisect_right(self.times, now), now)
        return True

    def room(self, now: float) -> int:
        """Return how many events are allowed now."""
        del self.times[: bisect_right(self.times, now - WINDOW_S)]
        return max(0, self.limit - len(self.times))


@dataclass(slots=True)
class Loan:
    """What one entry holds of a team's limit until a monotonic time."""

    amount: float
    until: float


@dataclass(slots=True)
class Lender:
    """The lending side of one team's limit, at the team's home entry.

    A new home lends nothing until `opens_at`, when every share that a former
    home lent has run out or `take_over` has counted it. With `whole`, shares
    are whole numbers, for limits on events; then entries take turns, since a
    small limit has no part for each.
    """

    limit: float
    opens_at: float
    whole: bool = False
    loans: dict[EntryId, Loan] = field(default_factory=dict)
    wants: dict[EntryId, float] = field(default_factory=dict)

    def lent(self, now: float) -> float:
        """Return the sum of the shares in force."""
        for entry, loan in list(self.loans.items()):
            if loan.until <= now:
                del self.loans[entry]
                self.wants.pop(entry, None)
        return sum(loan.amount for loan in self.loans.values())

    def request(self, entry: EntryId, amount: float, now: float) -> tuple[float, float]:
        """Set what an entry wants in all; return its share and the seconds it may use it.

        When the wants exceed the limit, each entry gets an equal part and what
        others leave. A share that is cut counts as lent until it has run out.
        """
        if now < self.opens_at:
            return 0.0, self.opens_at - now
        self.lent(now)
        held = self.loans.get(entry)
        self.wants[entry] = max(0.0, amount)
        others = sum(loan.amount for name, loan in self.loans.items() if name != entry)
        turn = int(now / SHARE_TTL_S) if self.whole else None
        fair = _fair_part(self.limit, self.wants, entry, turn)
        wanted = min(amount, fair) + self._spare(others)
        granted = max(0.0, min(wanted, self.limit - others))
        granted = float(int(granted)) if self.whole else granted
        # The entry may have used its former, larger share up to this moment, and a
        # lost answer leaves it in use; so the larger one counts until it has run out.
        counted = max(granted, held.amount) if held is not None else granted
        until = now + SHARE_TTL_S
        if held is not None and held.amount > granted:
            until = held.until
            counted = held.amount
        if granted > 0 or held is not None:
            self.loans[entry] = Loan(counted, until)
        return granted, max(0.0, until - now)

    def _spare(self, lent: float) -> float:
        """Return what an entry gets beyond its wish, from what no entry wants.

        A burst then starts at once instead of waiting for its share to grow. Half
        of what is not lent is kept back, so that the next entry with a burst finds some too.
        """
        wanted = sum(self.wants.values())
        return max(0.0, self.limit - max(lent, wanted)) / 2

    def take_over(self, held: Mapping[EntryId, Loan], now: float, opens_at: float) -> None:
        """Count what all entries hold of a former home's loans, and open at `opens_at`."""
        for entry, loan in held.items():
            if loan.amount > 0 and loan.until > now:
                self.loans[entry] = loan
                self.wants.setdefault(entry, loan.amount)
        self.opens_at = min(self.opens_at, opens_at)


def _fair_part(
    limit: float, wants: dict[EntryId, float], entry: EntryId, turn: int | None
) -> float:
    """Return an entry's part of a limit by max-min fairness; `turn` asks for whole parts."""
    left = limit
    order = dict.fromkeys(wants, 0)
    if turn is not None:
        names = sorted(wants)
        order = {name: (place + turn) % len(names) for place, name in enumerate(names)}
    waiting = sorted(wants.items(), key=lambda item: (item[1], order[item[0]], item[0]))
    for index, (name, want) in enumerate(waiting):
        even = left / (len(waiting) - index)
        part = min(want, even if turn is None else ceil(even), left)
        if name == entry:
            return part
        left -= part
    return left


@dataclass(slots=True)
class Borrower:
    """The borrowing side of one team's limit, at an owner of shards.

    Once a home has asked what is held, grants of other homes are not taken
    until `home_until`: the new home has not counted them.
    """

    amount: float = 0.0
    until: float = 0.0
    home: EntryId | None = None
    home_until: float = -1e9
    asked_at: float = -1e9
    needed_at: float = -1e9

    def granted(self, amount: float, ttl_s: float, sent_at: float, quiet_s: float = 0.0) -> None:
        """Take a grant; the time of the request counts, since the answer may be late.

        The share is not used in its last `quiet_s` seconds. With `WINDOW_S` for a rate, a
        share that goes on to another entry is never used by both within one window. A
        home that lends nothing yet leaves an older share in force until it ends.
        """
        if amount == 0.0 and self.available(sent_at) > 0.0:
            return
        self.amount = amount
        self.until = sent_at + ttl_s * (1.0 - CLOCK_DRIFT) - quiet_s

    def trusts(self, home: EntryId, now: float) -> bool:
        """Tell whether a grant of this home may be taken."""
        return self.home in (None, home) or now >= self.home_until

    def declare(self, home: EntryId, now: float) -> float:
        """Return the share held, for a new home that counts it, and trust only that home."""
        self.home, self.home_until = home, now + SHARE_TTL_S
        return self.available(now)

    def available(self, now: float) -> float:
        """Return the share that may be used now."""
        return self.amount if now < self.until else 0.0

    def ask(self, need: float, now: float, retry_s: float = 0.2) -> float | None:
        """Return the amount to request now, or None if no message is needed."""
        if need > 0:
            self.needed_at = now
        elif now - self.needed_at > IDLE_RETURN_S:
            return None
        if now - self.asked_at < retry_s:
            return None
        short = need > self.available(now)
        if not short and self.until - now > SHARE_TTL_S / 2:
            return None
        self.asked_at = now
        return need * HEADROOM


@dataclass(slots=True)
class RateShare:
    """Starts per second within a lent rate: a rolling window of whole starts."""

    window: RollingWindow = field(default_factory=lambda: RollingWindow(0))

    def need(self, now: float) -> float:
        """Return the rate that one more start needs."""
        del self.window.times[: bisect_right(self.window.times, now - WINDOW_S)]
        return len(self.window.times) + 1.0

    def take(self, share: float, now: float) -> bool:
        """Count a start, or return False if the lent rate is used up."""
        self.window.limit = int(share)
        return self.window.take(now)


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
