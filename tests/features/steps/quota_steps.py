"""Steps for quota.feature."""

import random
from collections import defaultdict
from typing import Any

from behave import given, then, when

from apricotpath.quota import SHARE_TTL_S, WINDOW_S, Borrower, Lender, RateShare, RollingWindow

STEP_S = 0.05


class QuotaSubject:
    """Simulates the shares of many teams across entries, compared with an exact window."""

    def __init__(self) -> None:
        self.limits: dict[str, int] = {}
        self.entries = [f"e{n}" for n in range(6)]
        self.rng = random.Random(0)
        self.bursts = True
        self.window = RollingWindow(0)
        self.times: dict[str, list[float]] = defaultdict(list)
        self.by_entry: dict[str, int] = defaultdict(int)
        self.exact: dict[str, RollingWindow] = {}
        self.served = self.served_exact = self.messages = 0

    def start_requests(self, now: float) -> list[tuple[str, str]]:
        """Return (team, entry) of each requested start: a fifth of the teams burst at 2 entries."""
        if not self.bursts:
            return [("t0", entry) for entry in self.entries]
        period = random.Random(int(now) // 5)
        bursting = [team for team in self.limits if period.random() < 0.2]
        pairs = [(t, self.entries[(int(t[1:]) + n) % 6]) for t in bursting for n in (0, 1)]
        return [pair for pair in pairs if self.rng.random() < 0.5]

    def run(self, seconds: int, faults: str = "no faults") -> None:
        borrowers = {(t, e): Borrower() for t in self.limits for e in self.entries}
        rates = {key: RateShare() for key in borrowers}
        lenders = {t: Lender(float(n), 0.0, whole=True) for t, n in self.limits.items()}
        self.exact = {t: RollingWindow(n) for t, n in self.limits.items()}
        for step in range(int(seconds / STEP_S)):
            now = step * STEP_S
            if faults == "a change of the lender" and step == int(seconds / STEP_S / 2):
                opens_at = now + SHARE_TTL_S
                lenders = {
                    t: Lender(float(n), opens_at, whole=True) for t, n in self.limits.items()
                }
            for team, entry in self.start_requests(now):
                self.served_exact += self.exact[team].try_acquire(now)
                rate, borrower = rates[team, entry], borrowers[team, entry]
                amount = borrower.amount_to_request(rate.required_rate(now), now)
                if amount is not None:
                    self.messages += 2
                    granted, ttl = lenders[team].request(entry, amount, now)
                    if faults != "lost answers" or self.rng.random() > 0.2:
                        borrower.accept_grant(granted, ttl, now, WINDOW_S)
                if rate.try_acquire(borrower.available(now), now):
                    self.served += 1
                    self.by_entry[entry] += 1
                    self.times[team].append(now)


@given("a quota window of {limit:d} starts per second")
def _(context: Any, limit: int) -> None:
    context.quota = QuotaSubject()
    context.quota.window.limit = limit


@when("{count:d} starts at random times from seed {seed:d} are checked against the quota window")
def _(context: Any, count: int, seed: int) -> None:
    subject, now = context.quota, 0.0
    rng, limit = random.Random(seed), subject.window.limit
    for _number in range(count):
        now += rng.expovariate(3 * limit)
        allowed = sum(now - time < WINDOW_S for time in subject.times["t"]) < limit
        taken = subject.window.try_acquire(now)
        assert taken == allowed, now
        if taken:
            subject.times["t"].append(now)


@then(
    "no quota window of one second holds more than {limit:d} starts and none was refused needlessly"
)
def _(context: Any, limit: int) -> None:
    check_windows(context.quota.times["t"], limit)


def check_windows(times: list[float], limit: int) -> None:
    for first, last in zip(times, times[limit:], strict=False):
        assert last - first >= WINDOW_S - 1e-9, (first, last, limit)


@given("a quota of {teams:d} teams over 6 entries with bursts from seed {seed:d}")
def _(context: Any, teams: int, seed: int) -> None:
    subject = context.quota = QuotaSubject()
    subject.rng = random.Random(seed)
    subject.limits = {f"t{n}": subject.rng.choice([3, 6, 20, 60]) for n in range(teams)}


@given("a quota of one team with {limit:d} starts per second over 6 entries that all request it")
def _(context: Any, limit: int) -> None:
    context.quota = QuotaSubject()
    context.quota.limits, context.quota.bursts = {"t0": limit}, False


@when("the quota runs for {seconds:d} s with {faults}")
def _(context: Any, seconds: int, faults: str) -> None:
    context.quota.run(seconds, faults)


@when("the quota runs for {seconds:d} s")
def _(context: Any, seconds: int) -> None:
    context.quota.run(seconds)


@then("no team exceeded its quota rate in any second")
def _(context: Any) -> None:
    for team, times in context.quota.times.items():
        check_windows(times, context.quota.limits[team])


@then("the quota served at least {share:d} % of what an exact window would serve")
def _(context: Any, share: int) -> None:
    subject = context.quota
    found = 100 * subject.served / subject.served_exact
    print(f"served {found:.1f} %, {subject.messages} messages against {2 * subject.served_exact}")
    assert found >= share, found


@then("every entry got a part of the quota")
def _(context: Any) -> None:
    assert all(context.quota.by_entry[entry] for entry in context.quota.entries)


@given("a quota lender that opens in {seconds:d} s")
def _(context: Any, seconds: int) -> None:
    context.quota = QuotaSubject()
    context.quota.lender = Lender(8.0, float(seconds))


@then("the quota lender grants nothing before and the whole limit after")
def _(context: Any) -> None:
    lender = context.quota.lender
    assert lender.request("e0", 8.0, 9.9)[0] == 0.0
    assert lender.request("e0", 9.0, 10.0)[0] == 8.0
    assert lender.request("e1", 4.0, 11.0)[0] == 0.0
    # Half of the 4.0 that no entry requests is lent in addition, within the limit.
    assert lender.request("e1", 4.0, 20.0)[0] == 6.0
    assert lender.request("e2", 8.0, 20.0)[0] == 2.0
