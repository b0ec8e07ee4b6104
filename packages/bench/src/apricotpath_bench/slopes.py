"""Measures how the cost of the entry's and owner's work grows with the size of the system."""

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
from apricotpath_bench.ownertables import TASK_SIZE, TEAMS, OwnerBench, announce_of
from apricotpath_bench.procstat import load_average
from apricotpath_bench.shapes import SUVA, bundle_of

HOSTS = (325, 1300, 2600, 5200)
# Running tasks per host, and the number of entries that share the tasks.
TASKS_PER_HOST, ENTRIES = 43_000 / 5200, 24
ROUNDS = 5
US_PER_S = 1e6
SHARE_TEAMS, SHARE_SECONDS, SHARE_RATE = 20, 30, 6


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured value with its name, its unit and the size at which it was measured."""

    name: str
    size: int
    value: float
    unit: str


def min_cpu_s(action: Callable[[], Any], rounds: int = ROUNDS) -> float:
    """Return the minimum processor time of several runs in seconds, to reduce noise."""
    best = float("inf")
    for _ in range(rounds):
        started_at = time.process_time()
        action()
        best = min(best, time.process_time() - started_at)
    return best


def owner_slopes(hosts: int) -> list[Figure]:
    """Measure one of ENTRIES owners; it is linked to all hosts and owns its share of the tasks."""
    tasks = int(hosts * TASKS_PER_HOST / ENTRIES)
    bench = OwnerBench(hosts, tasks)
    bench.fill_inbox()
    reports = min_cpu_s(lambda: bench.owner.reconciler.process_reports(1.0), 1)
    found = [Figure("report handled", hosts, reports / hosts * US_PER_S, "us each")]
    owner, now = bench.owner, 2.0

    def idle_tick() -> None:
        nonlocal now
        now += 0.01
        owner.tick(now)

    owner.tick(now)
    found.append(Figure("tick, nothing new", hosts, min_cpu_s(idle_tick, 20) * 1e3, "ms"))

    def scan() -> None:
        nonlocal now
        now += 0.6
        owner.tick(now)

    found.append(Figure("tick with scan", hosts, min_cpu_s(scan) * 1e3, "ms"))
    frames, size = bench.traffic()
    now += 20.0
    started_at = time.process_time()
    owner.reconciler.renew(now, now)
    renew_s = time.process_time() - started_at
    frames_now, bytes_now = bench.traffic()
    found.append(Figure("renewal of all tasks", tasks, renew_s * 1e3, "ms"))
    found.append(Figure("renewal frames of all tasks", tasks, frames_now - frames, "frames"))
    found.append(Figure("renewal bytes of all tasks", tasks, bytes_now - size, "bytes"))
    added = 0
    number = 900_000
    while added < 10:
        spec = bench.job(number, 200, Priority.URGENT)
        added += bench.state.shard_of(spec.job_id) is not None
        number += 1
    started_at = time.process_time()
    owner.scheduler.place(now)
    place_s = time.process_time() - started_at
    placed = sum(len(p.records) for shard in bench.state.shards.values() for p in shard.outbox)
    found.append(Figure("placement", hosts, place_s / max(placed, 1) * US_PER_S, "us per start"))
    found.append(Figure("placed in one tick", hosts, placed, "starts"))
    return found


def sample_messages(bench: OwnerBench) -> dict[str, Message]:
    """Return typical messages by name."""
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
            *(ShardId(1), Epoch(1), task, 1, team, "reporting", TaskClass.BATCH, TASK_SIZE),
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
        encode_s = min_cpu_s(lambda e=envelope: [encode(e) for _ in range(count)])  # type: ignore[misc]
        decode_s = min_cpu_s(lambda p=payload: [decode(p) for _ in range(count)])  # type: ignore[misc]
        found += [
            Figure(f"{name}: frame", 1, len(frame), "bytes"),
            Figure(f"{name}: encode", 1, encode_s / count * US_PER_S, "us"),
            Figure(f"{name}: decode", 1, decode_s / count * US_PER_S, "us"),
        ]
    return found


def control_slopes() -> list[Figure]:
    """Measure a bundle with TEAMS teams, sent to many peers."""
    bundle = bundle_of(SUVA)
    team = next(iter(bundle["teams"].values()))
    bundle["teams"] = {f"team-{n}": team for n in range(TEAMS)}
    data = json.dumps(bundle).encode()
    update = Envelope(1, 0, ControlUpdate(1, data, (), (), 0))
    found = [
        Figure("bundle of 220 teams", TEAMS, len(data), "bytes"),
        Figure("bundle parse", TEAMS, min_cpu_s(lambda: parse_bundle(data)) * 1e3, "ms"),
    ]
    for peers in (11, 100, 300):
        cost = min_cpu_s(lambda n=peers: [encode(update) for _ in range(n)])  # type: ignore[misc]
        found.append(Figure("control update encoded for peers", peers, cost * 1e3, "ms"))
        found.append(Figure("control update bytes", peers, peers * len(encode(update)), "bytes"))
    return found


def journal_slopes() -> list[Figure]:
    """Measure the size and cost of the journal records of one task from start to end."""
    task = TaskId("job-000123/17")
    announce = announce_of(1)
    records = [
        TaskAssigned(task, 1, announce.host, ProcessId("agent-00001")),
        TaskFinished(task, 1),
    ]
    texts = [json.dumps(to_json(record), separators=(",", ":")) for record in records]
    cost = min_cpu_s(lambda: [json.dumps(to_json(r)) for r in records * 500])
    return [
        Figure("journal bytes per task", 1, sum(map(len, texts)) + 2, "bytes"),
        Figure("journal records per task", 1, len(records), "records"),
        Figure("journal encoding per task", 1, cost / 500 * US_PER_S, "us"),
    ]


def memory_slopes() -> list[Figure]:
    """Measure memory per row with tracemalloc, from the difference between two sizes."""

    def bytes_per_row(build: Callable[[int], Any], low: int, high: int) -> float:
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
            bytes_per_row(lambda n: OwnerBench(n, 0), 100, 1100),
            "bytes",
        ),
        Figure(
            "memory per running task",
            1,
            bytes_per_row(lambda n: OwnerBench(50, n), 100, 2100),
            "bytes",
        ),
        Figure("memory per job of one task", 1, bytes_per_row(jobs, 100, 1100), "bytes"),
        Figure("memory per idempotency key", 1, bytes_per_row(keys, 100, 2100), "bytes"),
    ]


def share_slopes(entries: int) -> list[Figure]:
    """Compare lent rates with one exact window, as the CALLR article of 2018 does.

    Every team attempts twice its rate at random entries; grants arrive immediately.
    """
    rng = random.Random(entries)
    teams = range(SHARE_TEAMS)
    lenders = [Lender(SHARE_RATE, 0.0, whole=True) for _ in teams]
    exact = [RollingWindow(SHARE_RATE) for _ in teams]
    borrowers = [[Borrower() for _ in range(entries)] for _ in teams]
    windows = [[RateShare() for _ in range(entries)] for _ in teams]
    times: list[list[float]] = [[] for _ in teams]
    share_request_count = lent_starts = exact_starts = 0
    step = 0.1
    for tick in range(int(SHARE_SECONDS / step)):
        now = tick * step
        for team in teams:
            attempted_starts = int(2 * SHARE_RATE * step + rng.random())
            for _ in range(attempted_starts):
                exact_starts += exact[team].try_acquire(now)
                at = rng.randrange(entries)
                borrower, window = borrowers[team][at], windows[team][at]
                amount = borrower.amount_to_request(window.required_rate(now), now)
                if amount is not None:
                    share_request_count += 1
                    granted, ttl = lenders[team].request(f"entry-{at}", amount, now)  # type: ignore[arg-type]
                    borrower.accept_grant(granted, ttl, now, WINDOW_S)
                if window.try_acquire(borrower.available(now), now):
                    lent_starts += 1
                    times[team].append(now)
    max_starts = max(
        sum(1 for at in start_times if started_at <= at < started_at + WINDOW_S - 1e-9)
        for start_times in times
        for started_at in start_times
    )
    return [
        Figure(
            "lent share of the exact window's starts",
            entries,
            lent_starts / exact_starts * 100,
            "%",
        ),
        Figure(f"most starts in 1 s at a limit of {SHARE_RATE}", entries, max_starts, "starts"),
        Figure(
            "share requests per team",
            entries,
            share_request_count / SHARE_TEAMS / SHARE_SECONDS,
            "1/s",
        ),
    ]


async def run(hosts: tuple[int, ...]) -> list[Figure]:
    """Return all figures; a coroutine since some tables need an event loop for cancel scopes."""
    found = [figure for size in hosts for figure in owner_slopes(size)]
    found += codec_slopes() + control_slopes() + journal_slopes() + memory_slopes()
    for entries in (1, 3, 8, 24):
        found += share_slopes(entries)
    return found


def main(arguments: list[str] | None = None) -> None:
    """Print a table, then the same figures as one line of JSON."""
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
