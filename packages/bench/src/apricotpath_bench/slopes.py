"""Measures slopes of the entry's and owner's work through the real code, at several sizes."""

import argparse
import json
import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

import anyio

from apricotpath.bundle import parse_bundle
from apricotpath.codec import LENGTH_BYTES, Envelope, decode, encode
from apricotpath.ids import (
    ClassId,
    Epoch,
    IncarnationId,
    KeyId,
    ProcessId,
    RequestId,
    ServiceId,
    ShardId,
    TaskId,
    TeamId,
)
from apricotpath.messages import (
    ControlUpdate,
    Header,
    Heartbeat,
    HostReport,
    Message,
    RenewTasks,
    RequestStart,
    ReserveKey,
    StartTask,
)
from apricotpath.model import Maturity, Priority, TaskClass
from apricotpath.quota import WINDOW_S, Borrower, Lender, RateShare, RollingWindow
from apricotpath.records import TaskAssigned, TaskFinished, to_json
from apricotpath.settle import KeyTable
from apricotpath_bench.ownertables import TASK, TEAMS, OwnerBench, announce_of
from apricotpath_bench.procstat import load_average
from apricotpath_bench.shapes import SUVA, bundle_of

HOSTS = (325, 1300, 2600, 5200)
# Running tasks in the whole system for these hosts, and the entries that share them.
TASKS_PER_HOST, ENTRIES = 43_000 / 5200, 24
ROUNDS = 5
US_PER_S = 1e6
SHARE_TEAMS, SHARE_SECONDS, SHARE_RATE = 20, 30, 6


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured value: what, at which size, and its unit."""

    name: str
    size: int
    value: float
    unit: str


def timed(act: Callable[[], Any], rounds: int = ROUNDS) -> float:
    """Return the least processor time in seconds of several runs, which the machine disturbs."""
    best = float("inf")
    for _ in range(rounds):
        begun = time.process_time()
        act()
        best = min(best, time.process_time() - begun)
    return best


def owner_slopes(hosts: int) -> list[Figure]:
    """Measure one owner of 1/24 of the tasks that is linked to all hosts."""
    tasks = int(hosts * TASKS_PER_HOST / ENTRIES)
    bench = OwnerBench(hosts, tasks)
    bench.fill_inbox()
    reports = timed(lambda: bench.owner.reconciler.process_reports(1.0), 1)
    found = [Figure("report handled", hosts, reports / hosts * US_PER_S, "us each")]
    owner, now = bench.owner, 2.0

    def idle_tick() -> None:
        nonlocal now
        now += 0.01
        owner.tick(now)

    owner.tick(now)
    found.append(Figure("tick, nothing new", hosts, timed(idle_tick, 20) * 1e3, "ms"))

    def scan() -> None:
        nonlocal now
        now += 0.6
        owner.tick(now)

    found.append(Figure("tick with scan", hosts, timed(scan) * 1e3, "ms"))
    frames, size = bench.traffic()
    now += 20.0
    begun = time.process_time()
    owner.reconciler.renew(now, now)
    renew_s = time.process_time() - begun
    sent, size_now = bench.traffic()
    found.append(Figure("renewal of all tasks", tasks, renew_s * 1e3, "ms"))
    found.append(Figure("renewal frames of all tasks", tasks, sent - frames, "frames"))
    found.append(Figure("renewal bytes of all tasks", tasks, size_now - size, "bytes"))
    added = 0
    number = 900_000
    while added < 10:
        spec = bench.job(number, 200, Priority.URGENT)
        added += bench.state.shard_of(spec.job_id) is not None
        number += 1
    begun = time.process_time()
    owner.scheduler.place(now)
    place_s = time.process_time() - begun
    placed = sum(len(p.records) for shard in bench.state.shards.values() for p in shard.outbox)
    found.append(Figure("placement", hosts, place_s / max(placed, 1) * US_PER_S, "us per start"))
    found.append(Figure("placed in one tick", hosts, placed, "starts"))
    return found


def sample_messages(bench: OwnerBench) -> dict[str, Message]:
    """Return typical messages with realistic fields."""
    task, team = TaskId("job-000123/17"), TeamId("team-17")
    incarnation = IncarnationId("0123456789abcdef")
    headers = tuple(Header(f"header-{n}", "value-of-a-header") for n in range(6))
    full = bench.report_of(0)
    reports = {
        f"HostReport, {count} tasks": HostReport(
            *(full.host, 1, True, full.committed, full.usage, 1.0, 0, 0),
            tuple((full.tasks * count)[:count]),
            (),
        )
        for count in (0, 8, 40)
    }
    return {
        "Heartbeat": Heartbeat(1, 123_456, 7, ()),
        "Announce": announce_of(1),
        **reports,
        "StartTask": StartTask(
            *(ShardId(1), Epoch(1), task, 1, team, "reporting", TaskClass.BATCH, TASK),
            *("run --all", 600.0, "", 1.0, incarnation, 123_456, 7),
        ),
        "RenewTasks, 8 tasks": RenewTasks(ShardId(1), Epoch(1), (task,) * 8, incarnation, 1),
        "RequestStart, 200 B": RequestStart(
            RequestId(f"{incarnation}.1"),
            ServiceId("scraps"),
            ClassId("intake"),
            team,
            KeyId(""),
            True,
            900,
            "POST",
            "/work",
            headers,
            b"x" * 200,
            True,
        ),
    }


def codec_slopes() -> list[Figure]:
    """Measure bytes and processor time per message."""
    found, count = [], 300
    for name, body in sample_messages(OwnerBench(1, 40)).items():
        envelope = Envelope(1, 0, body)
        frame = encode(envelope)
        payload = frame[LENGTH_BYTES:]
        out = timed(lambda e=envelope: [encode(e) for _ in range(count)])  # type: ignore[misc]
        back = timed(lambda p=payload: [decode(p) for _ in range(count)])  # type: ignore[misc]
        found += [
            Figure(f"{name}: frame", 1, len(frame), "bytes"),
            Figure(f"{name}: encode", 1, out / count * US_PER_S, "us"),
            Figure(f"{name}: decode", 1, back / count * US_PER_S, "us"),
        ]
    return found


def control_slopes() -> list[Figure]:
    """Measure a bundle with the teams and data centres of the target, sent to many peers."""
    bundle = bundle_of(SUVA)
    team = next(iter(bundle["teams"].values()))
    bundle["teams"] = {f"team-{n}": team for n in range(TEAMS)}
    data = json.dumps(bundle).encode()
    update = Envelope(1, 0, ControlUpdate(1, data, (), (), 0))
    found = [
        Figure("bundle of 220 teams", TEAMS, len(data), "bytes"),
        Figure("bundle parse", TEAMS, timed(lambda: parse_bundle(data)) * 1e3, "ms"),
    ]
    for peers in (11, 100, 300):
        cost = timed(lambda n=peers: [encode(update) for _ in range(n)])  # type: ignore[misc]
        found.append(Figure("control update encoded for peers", peers, cost * 1e3, "ms"))
        found.append(Figure("control update bytes", peers, peers * len(encode(update)), "bytes"))
    return found


def journal_slopes() -> list[Figure]:
    """Measure the size and cost of the records of one task from start to end."""
    task = TaskId("job-000123/17")
    announce = announce_of(1)
    records = [
        TaskAssigned(task, 1, announce.host, ProcessId("agent-00001")),
        TaskFinished(task, 1),
    ]
    texts = [json.dumps(to_json(record), separators=(",", ":")) for record in records]
    cost = timed(lambda: [json.dumps(to_json(r)) for r in records * 500])
    return [
        Figure("journal bytes per task", 1, sum(map(len, texts)) + 2, "bytes"),
        Figure("journal records per task", 1, len(records), "records"),
        Figure("journal encoding per task", 1, cost / 500 * US_PER_S, "us"),
    ]


def memory_slopes() -> list[Figure]:
    """Measure memory per row by tracemalloc, as the difference between two sizes."""

    def grown(build: Callable[[int], Any], low: int, high: int) -> float:
        sizes = []
        for count in (low, high):
            tracemalloc.start()
            kept = build(count)
            sizes.append(tracemalloc.get_traced_memory()[0])
            tracemalloc.stop()
            del kept
        return (sizes[1] - sizes[0]) / (high - low)

    def jobs(count: int) -> OwnerBench:
        bench = OwnerBench(1, 0, shards=16)
        for number in range(count):
            bench.job(number, 1)
        return bench

    def keys(count: int) -> KeyTable:
        table = KeyTable(120.0)
        for n in range(count):
            ask = ReserveKey(
                KeyId(f"{n:032x}"),
                ServiceId("scraps"),
                RequestId(f"0123456789abcdef.{n}"),
                ProcessId("agent-1"),
                IncarnationId("0123456789abcdef"),
            )
            table.reserve(ask, Maturity.FULL, 0.0)
        return table

    return [
        Figure(
            "memory per host row and link stub",
            1,
            grown(lambda n: OwnerBench(n, 0), 100, 1100),
            "bytes",
        ),
        Figure(
            "memory per running task", 1, grown(lambda n: OwnerBench(50, n), 100, 2100), "bytes"
        ),
        Figure("memory per job of one task", 1, grown(jobs, 100, 1100), "bytes"),
        Figure("memory per idempotency key", 1, grown(keys, 100, 2100), "bytes"),
    ]


def share_slopes(entries: int) -> list[Figure]:
    """Compare lent rates with an exact window at one place, as in the CALLR article of 2018.

    Every team asks for twice its rate at random entries; grants arrive at once.
    """
    rng = random.Random(entries)
    teams = range(SHARE_TEAMS)
    lenders = [Lender(SHARE_RATE, 0.0, whole=True) for _ in teams]
    exact = [RollingWindow(SHARE_RATE) for _ in teams]
    borrowers = [[Borrower() for _ in range(entries)] for _ in teams]
    windows = [[RateShare() for _ in range(entries)] for _ in teams]
    times: list[list[float]] = [[] for _ in teams]
    asked = lent = allowed = 0
    step = 0.1
    for tick in range(int(SHARE_SECONDS / step)):
        now = tick * step
        for team in teams:
            wanted = int(2 * SHARE_RATE * step + rng.random())
            for _ in range(wanted):
                allowed += exact[team].try_acquire(now)
                at = rng.randrange(entries)
                borrower, window = borrowers[team][at], windows[team][at]
                amount = borrower.amount_to_request(window.required_rate(now), now)
                if amount is not None:
                    asked += 1
                    granted, ttl = lenders[team].request(f"entry-{at}", amount, now)  # type: ignore[arg-type]
                    borrower.accept_grant(granted, ttl, now, WINDOW_S)
                if window.try_acquire(borrower.available(now), now):
                    lent += 1
                    times[team].append(now)
    most = max(
        sum(1 for at in moments if begun <= at < begun + WINDOW_S - 1e-9)
        for moments in times
        for begun in moments
    )
    return [
        Figure("lent share of the exact window's starts", entries, lent / allowed * 100, "%"),
        Figure(f"most starts in 1 s at a limit of {SHARE_RATE}", entries, most, "starts"),
        Figure("share requests per team", entries, asked / SHARE_TEAMS / SHARE_SECONDS, "1/s"),
    ]


async def run(hosts: tuple[int, ...]) -> list[Figure]:
    """Return all figures; tables with cancel scopes need an event loop."""
    found = [figure for size in hosts for figure in owner_slopes(size)]
    found += codec_slopes() + control_slopes() + journal_slopes() + memory_slopes()
    for entries in (1, 3, 8, 24):
        found += share_slopes(entries)
    return found


def main(arguments: list[str] | None = None) -> None:
    """Print a table, then the same as one line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=list(HOSTS))
    options = parser.parse_args(arguments)
    figures = sorted(anyio.run(run, tuple(options.hosts)), key=lambda figure: figure.name)
    for figure in figures:
        print(f"{figure.name:45} {figure.size:6} {figure.value:12.2f} {figure.unit}")
    result = {"load_average": load_average(), "figures": [asdict(figure) for figure in figures]}
    print(json.dumps(result))


if __name__ == "__main__":
    main()
