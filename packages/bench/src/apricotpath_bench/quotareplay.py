"""Compares lent rate shares of several entries with an exact window, on a trace's starts."""

from collections import Counter, defaultdict
from zlib import crc32

from apricotpath.bundle import Bundle, parse_bundle
from apricotpath.ids import EntryId, TeamId
from apricotpath.quota import WINDOW_S, Borrower, Lender, RateShare, RollingWindow
from apricotpath.trace import BundleInForce, Job, Trace

ENTRIES = tuple(EntryId(f"entry-{number}") for number in range(1, 7))
STEP_S = 0.1
# The replay ends at the latest this long after the last job, with starts still waiting.
MAX_DRAIN_S = 120.0


def replay_limits(trace: Trace) -> dict[str, float]:
    """Return the delays and messages per start of lent rates and of an exact limit.

    Every task of a job is one start. Half of them are at the entry that the job's id selects,
    the others at the next entry. A start waits until the limit allows it. Lent shares are
    compared with an exact window, which takes a request and an answer for every start.
    """
    bundle = _bundle(trace)
    if bundle is None:
        return {}
    limits = {team: row.rate_per_s for team, row in bundle.teams.items() if row.rate_per_s > 0}
    arrivals: list[tuple[float, TeamId, EntryId, int]] = []
    for timed in trace.events:
        if isinstance(timed.event, Job) and timed.event.spec.team in limits:
            spec = timed.event.spec
            first = crc32(spec.job_id.encode()) % len(ENTRIES)
            for number in (0, 1):
                entry = ENTRIES[(first + number) % len(ENTRIES)]
                arrivals.append((timed.at, spec.team, entry, (spec.tasks + 1 - number) // 2))
    if not arrivals:
        return {}
    return _run(limits, arrivals)


def _bundle(trace: Trace) -> Bundle | None:
    for timed in trace.events:
        if isinstance(timed.event, BundleInForce):
            return parse_bundle(timed.event.text.encode())
    return None


def _run(
    limits: dict[TeamId, float], arrivals: list[tuple[float, TeamId, EntryId, int]]
) -> dict[str, float]:
    lenders = {team: Lender(limit, 0.0, whole=True) for team, limit in limits.items()}
    exact = {team: RollingWindow(int(limit)) for team, limit in limits.items()}
    borrowers: dict[tuple[TeamId, EntryId], Borrower] = defaultdict(Borrower)
    rates: dict[tuple[TeamId, EntryId], RateShare] = defaultdict(RateShare)
    waiting: Counter[tuple[TeamId, EntryId]] = Counter()
    exact_waiting: Counter[TeamId] = Counter()
    start_times: dict[TeamId, list[float]] = defaultdict(list)
    delay = exact_delay = 0.0
    messages = starts = at = step = 0
    end = arrivals[-1][0] + MAX_DRAIN_S
    while step * STEP_S < end and (
        at < len(arrivals) or any(waiting.values()) or any(exact_waiting.values())
    ):
        now = step * STEP_S
        step += 1
        while at < len(arrivals) and arrivals[at][0] <= now:
            _, team, entry, count = arrivals[at]
            waiting[team, entry] += count
            exact_waiting[team] += count
            starts += count
            at += 1
        for key in [key for key, count in waiting.items() if count]:
            team, entry = key
            borrower, rate = borrowers[key], rates[key]
            while waiting[key]:
                amount = borrower.amount_to_request(rate.required_rate(now), now)
                if amount is not None:
                    messages += 2
                    granted, ttl_s = lenders[team].request(entry, amount, now)
                    borrower.accept_grant(granted, ttl_s, now, WINDOW_S)
                if not rate.try_acquire(borrower.available(now), now):
                    break
                waiting[key] -= 1
                start_times[team].append(now)
        for team in list(exact_waiting):
            while exact_waiting[team] and exact[team].try_acquire(now):
                exact_waiting[team] -= 1
        delay += STEP_S * sum(waiting.values())
        exact_delay += STEP_S * sum(exact_waiting.values())
    return {
        "limits.delay_s": delay / starts,
        "limits.exact_delay_s": exact_delay / starts,
        "limits.added_delay_s": (delay - exact_delay) / starts,
        "limits.messages_per_start": messages / starts,
        "limits.exact_messages_per_start": 2.0,
        "limits.exceeded": float(
            sum(_count_violations(start_times[t], int(limits[t])) for t in start_times)
        ),
    }


def _count_violations(start_times: list[float], limit: int) -> int:
    """Return the number of starts that exceed the limit within some window."""
    pairs = zip(start_times, start_times[limit:], strict=False)
    return sum(last - first < WINDOW_S - 1e-6 for first, last in pairs)
