"""Steps for misbehavingclients.feature."""

import atexit
import json
import os
import threading
import time
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any, ClassVar

import httpx
from behave import given, then, when

from support.crowd import (
    CLIENT_ENDED,
    SHORT_HEADER_BYTES,
    Address,
    Crowd,
    H2Client,
    chunked,
    pieces,
    request_head,
)
from support.platformworld import HOST, PREFIX, PlatformWorld

ENTRY = "front-1"
# Limits of the entry, below those of the smallest machine so that a small crowd reaches them.
MEMORY_MB = 128
MAX_DESCRIPTORS = 400
# Descriptors beyond those of clients that the entry needs for its links, store and logs.
RESERVED_DESCRIPTORS = 100
SAMPLE_INTERVAL_S = 0.02
SETTLE_INTERVAL_S = 0.5
SETTLE_S = 8.0
# Share of a processor below which the entry has nothing left to handle.
IDLE_SHARE = 0.2
CROWD_S = 20.0
BODY_BYTES = 262_144
HEADER_BYTES = 16_000
# What a client keeps back at the end of a body.
KEPT_BACK_BYTES = 10
# Just fits HTTP/2's table of headers, so that repeating it takes a client a few bytes.
QUERY = "?" + "a" * 3500
JOB_PATH = PREFIX + "f" * 16
TARGETS = (("front", JOB_PATH), ("front", "/none/" + "f" * 16), ("ready", "/readyz"))


class Watch:
    """Reads the peak memory (MB) and open descriptors of a process until it is stopped."""

    def __init__(self, pid: int) -> None:
        self._folder = Path(f"/proc/{pid}")
        # Resets the peak of the resident memory.
        (self._folder / "clear_refs").write_text("5")
        self.memory_mb = self.descriptors = 0
        self._sample()
        self.memory_at_rest_mb = self.memory_mb
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        # The files are gone once the process has ended.
        with suppress(OSError):
            while not self._stopped.wait(SAMPLE_INTERVAL_S):
                self._sample()

    def _sample(self) -> None:
        self.descriptors = max(self.descriptors, len(list((self._folder / "fd").iterdir())))
        lines = (self._folder / "status").read_text().splitlines()
        peaks = [int(line.split()[1]) // 1024 for line in lines if line.startswith("VmHWM")]
        self.memory_mb = max(self.memory_mb, *peaks, 0)

    def wait_settled(self) -> None:
        """Wait until the process has handled what was sent, for at most SETTLE_S."""
        ends_at = time.monotonic() + SETTLE_S
        before = self._cpu_s()
        while time.monotonic() < ends_at:
            time.sleep(SETTLE_INTERVAL_S)
            now = self._cpu_s()
            if now - before < SETTLE_INTERVAL_S * IDLE_SHARE:
                return
            before = now

    def _cpu_s(self) -> float:
        try:
            fields = (self._folder / "stat").read_text().rpartition(")")[2].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def stop(self) -> None:
        self._stopped.set()
        self._thread.join()


class RunningEntry:
    """One entry and one agent, shared by all scenarios of the feature."""

    shared: ClassVar["RunningEntry | None"] = None

    def __init__(self) -> None:
        self.world = world = PlatformWorld(max_descriptors=MAX_DESCRIPTORS)
        atexit.register(world.close)
        world.start(pairs=1)
        limits = {"memoryMb": MEMORY_MB, "maxFds": MAX_DESCRIPTORS}
        world.settings[ENTRY]["limits"] = limits
        world.end(ENTRY)
        self.number = 0

    @classmethod
    def get(cls) -> "RunningEntry":
        if cls.shared is None:
            cls.shared = cls()
        run = cls.shared
        # A fresh process, since the memory of one scenario would count in the next.
        if run.world.processes[ENTRY].poll() is None:
            run.world.end(ENTRY)
        run.world.run(ENTRY)
        run.world.wait(lambda: run.world.ready(ENTRY))
        run.world.wait(run.serves)
        run.crowd = Crowd(CROWD_S)
        run.watch = Watch(run.world.processes[ENTRY].pid)
        return run

    def serves(self) -> bool:
        """Tell whether an ordinary client's job is accepted."""
        self.number += 1
        step = {"cpu": 500, "memMb": 64, "estRuntimeMs": 500, "count": 1}
        job = {"spec": "bake", "steps": [step]}
        try:
            answer = self.world.call(ENTRY, "POST", f"{PREFIX}{self.number:016x}", job)
        except httpx.HTTPError:
            return False
        return answer.status_code == 200

    def address(self, kind: str) -> Address:
        host, port = self.world.settings[ENTRY]["listen"][kind].rsplit(":", 1)
        return host, int(port)

    def send(self, kind: str, count: int, *parts: bytes) -> None:
        """Send the same parts on several new connections."""
        for _ in range(count):
            self.crowd.send(self.address(kind), parts)

    def h2_clients(self, kind: str, count: int) -> Iterator[H2Client]:
        """Yield HTTP/2 clients with a connection each."""
        for _ in range(count):
            conn = self.crowd.connect(self.address(kind))
            if conn is None:
                return
            with suppress(*CLIENT_ENDED):
                yield H2Client(conn, HOST)


def running(context: Any) -> RunningEntry:
    found: RunningEntry = context.running_entry
    return found


@given("the misbehavingclients' entry is running")
def start_entry(context: Any) -> None:
    context.running_entry = RunningEntry.get()


@when("many misbehavingclients stop just before the end of a body of legal size")
def stop_before_end(context: Any) -> None:
    run = running(context)
    body = b"x" * (BODY_BYTES - KEPT_BACK_BYTES)
    for kind, path in TARGETS:
        sized = request_head("POST", path, HOST, f"Content-Length: {BODY_BYTES}") + b"\r\n"
        coded = request_head("POST", path, HOST, "Transfer-Encoding: chunked") + b"\r\n"
        run.send(kind, 25, sized + body)
        run.send(kind, 25, sized, *pieces(body))
        run.send(kind, 25, coded, *chunked(pieces(body)))
        for client in run.h2_clients(kind, 4):
            with suppress(*CLIENT_ENDED):
                client.send_bodies([client.request("POST", path) for _ in range(20)], body)


@when("many misbehavingclients send a body far over the limit")
def exceed_limit(context: Any) -> None:
    run = running(context)
    body = b"x" * BODY_BYTES
    for kind, path in TARGETS:
        length = f"Content-Length: {20 * BODY_BYTES}"
        sized = request_head("POST", path, HOST, length) + b"\r\n"
        coded = request_head("POST", path, HOST, "Transfer-Encoding: chunked") + b"\r\n"
        run.send(kind, 20, sized, *[body] * 20)
        run.send(kind, 20, coded, *chunked([body] * 20))
        for client in run.h2_clients(kind, 4):
            with suppress(*CLIENT_ENDED):
                client.send_bodies([client.request("POST", path) for _ in range(4)], body * 2)


@when("many misbehavingclients send requests with very many short fields")
def send_short_fields(context: Any) -> None:
    run = running(context)
    count = HEADER_BYTES // SHORT_HEADER_BYTES
    length = f"Content-Length: {BODY_BYTES}"
    steps = json.dumps({"steps": [{}] * (BODY_BYTES // 4 - 10)}, separators=(",", ":"))
    step = {"count": 1, "after": [0] * (BODY_BYTES // 2 - 50)}
    after = json.dumps({"steps": [step]}, separators=(",", ":"))
    members = json.dumps({f"{number:x}": 0 for number in range(24_000)}, separators=(",", ":"))
    query = "?" + "&".join(["a="] * (HEADER_BYTES // 3))
    for kind, path in TARGETS:
        for body in (steps, after, members):
            head = request_head("POST", path, HOST, f"Content-Length: {len(body)}")
            run.send(kind, 8, head + b"\r\n" + body.encode())
        run.send(kind, 8, request_head("POST", path + query, HOST, length) + b"\r\n")
        head = request_head("POST", path, HOST, length)
        run.send(kind, 50, head + b"a:\r\n" * count + b"\r\n")
        for client in run.h2_clients(kind, 8):
            with suppress(*CLIENT_ENDED):
                for _ in range(10):
                    client.request("POST", path, [("a", "")] * 400)
                for body in (steps, after, members):
                    stream = client.request("POST", path)
                    client.send_bodies([stream], body.encode(), end=True)


@when("many misbehavingclients pipeline requests and read no answer")
def pipeline(context: Any) -> None:
    run = running(context)
    for kind, path in TARGETS:
        for client in run.h2_clients(kind, 60):
            with suppress(*CLIENT_ENDED):
                for _ in range(100):
                    client.request("GET", path + QUERY, end=True)
    for kind, path in TARGETS:
        request = request_head("GET", path, HOST) + b"\r\n"
        run.send(kind, 20, *[request * 200] * 100)


@when("a crowd of misbehavingclients is slow or stops half-way")
def be_slow(context: Any) -> None:
    run = running(context)
    for kind, path in TARGETS:
        head = request_head("POST", path, HOST, "Content-Length: 1000")
        run.send(kind, 35, b"")
        run.send(kind, 35, head)
        run.send(kind, 35, head + b"\r\n")
        for number, client in enumerate(run.h2_clients(kind, 35)):
            if number % 2:
                with suppress(*CLIENT_ENDED):
                    client.request("POST", path)
    run.crowd.trickle(rounds=20, interval_s=0.2)


@then("the misbehavingclients' entry has kept its bounds")
def kept_bounds(context: Any) -> None:
    run = running(context)
    run.watch.wait_settled()
    run.crowd.close()
    run.watch.stop()
    exit_code = run.world.processes[ENTRY].poll()
    peak = (run.watch.memory_mb, run.watch.descriptors)
    opened = len(run.crowd.sockets)
    print(f"peak: {peak}, at rest {run.watch.memory_at_rest_mb} MB, {opened} connections")
    assert exit_code is None, (exit_code, peak, run.world.log(ENTRY)[-2000:])
    assert peak[0] <= MEMORY_MB, peak
    assert peak[1] <= MAX_DESCRIPTORS - RESERVED_DESCRIPTORS, peak


@then("the misbehavingclients' entry answers an ordinary request")
def answers_ordinary(context: Any) -> None:
    run = running(context)
    run.world.wait(run.serves)
