"""Measures processor time, memory, traffic and store calls of idle agents and entries."""

import argparse
import json
import subprocess
import sys
import tempfile
import time
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

import httpx

from apricotpath_bench.deploy import Deployment, DeploymentError
from apricotpath_bench.procstat import cpu_seconds, load_average, resident_mb
from apricotpath_bench.shapes import SUVA

HOST_COUNTS = (11, 100, 300)
GROUP_SIZE = 50
SETTLE_S = 6.0
READY_S = 60.0
# Limits for the control software on one node: percent of a core, memory and traffic.
MAX_CORE_PERCENT, MAX_MB, MAX_KB_PER_S = 3.6, 128, 22.0
SHAPE = replace(SUVA, name="idle", hosts=1, entries=3, data_centres=("suva-depot",), quiet_hours=())


@dataclass(frozen=True, slots=True)
class Idle:
    """Cost at a number of hosts; processor time in percent of one core.

    `agent_percent` and `agent_mb` apply to an agent in a process of its own with an HTTP
    worker. `packed_percent` is the cost per agent of those that share a process and have
    no HTTP worker. Traffic is per agent, over the links to all entries.
    """

    hosts: int
    agent_percent: float
    agent_mb: float
    packed_percent: float
    agent_sent_kb_s: float
    agent_received_kb_s: float
    entry_percent: float
    entry_mb: float
    store_calls_s: float


class AgentGroup:
    """One process with many agents, see `hostgroup`."""

    def __init__(self, template: Path, first: int, count: int) -> None:
        command = [sys.executable, "-m", "apricotpath_bench.hostgroup"]
        self.count = count
        self.process = subprocess.Popen(
            [*command, str(template), str(first), str(count)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def traffic(self) -> list[int]:
        """Return bytes sent and received, open links and the number of ready agents."""
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.write("\n")
        self.process.stdin.flush()
        values: list[int] = json.loads(self.process.stdout.readline())
        return values

    def wait_ready(self, entries: int) -> None:
        """Wait until all agents are ready and linked to all entries."""
        deadline = time.monotonic() + READY_S
        while (found := self.traffic())[2:] != [self.count * entries, self.count]:
            if time.monotonic() > deadline:
                raise DeploymentError(f"a group of {self.count} agents is not ready: {found}")
            time.sleep(0.2)

    def stop(self) -> None:
        """End the process."""
        self.process.kill()
        self.process.wait()


def store_calls(deployment: Deployment) -> float:
    """Return the number of calls to the store stand-in so far."""
    counts: dict[str, Any] = httpx.get(f"{deployment.url('store')}/counts", timeout=5).json()
    return float(sum(counts["calls"].values()))


def snapshot(deployment: Deployment, groups: list[AgentGroup]) -> dict[str, float]:
    """Return the current values of all counters."""
    pids = {name: item.process.pid for name, item in deployment.processes.items()}
    packed = [group.traffic() for group in groups]
    return {
        "at": time.monotonic(),
        "agent": cpu_seconds(pids["agent-1"]),
        "entry": sum(cpu_seconds(pids[name]) for name in pids if name.startswith("entry")),
        "packed": sum(cpu_seconds(group.process.pid) for group in groups),
        "sent": sum(values[0] for values in packed),
        "received": sum(values[1] for values in packed),
        "calls": store_calls(deployment),
    }


def measure(deployment: Deployment, groups: list[AgentGroup], seconds: float) -> Idle:
    """Return the cost over an interval of `seconds`."""
    before = snapshot(deployment, groups)
    time.sleep(seconds)
    after = snapshot(deployment, groups)
    rate = {
        name: (after[name] - before[name]) / (after["at"] - before["at"])
        for name in before
        if name != "at"
    }
    packed, entries = sum(group.count for group in groups), deployment.shape.entries
    pids = {name: item.process.pid for name, item in deployment.processes.items()}
    return Idle(
        hosts=packed + 1,
        agent_percent=round(rate["agent"] * 100, 2),
        agent_mb=round(resident_mb(pids["agent-1"]), 1),
        packed_percent=round(rate["packed"] / packed * 100, 2),
        agent_sent_kb_s=round(rate["sent"] / packed / 1024, 2),
        agent_received_kb_s=round(rate["received"] / packed / 1024, 2),
        entry_percent=round(rate["entry"] / entries * 100, 2),
        entry_mb=round(resident_mb(pids["entry-1"]), 1),
        store_calls_s=round(rate["calls"], 2),
    )


def run(sizes: tuple[int, ...], seconds: float, entries: int) -> list[Idle]:
    """Measure one deployment while its number of hosts grows through `sizes`."""
    result, groups = [], []
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(replace(SHAPE, entries=entries), Path(folder))
        try:
            deployment.start()
            present = 1
            for size in sizes:
                while present < size:
                    count = min(GROUP_SIZE, size - present)
                    group = AgentGroup(Path(folder) / "agent-1.json", present, count)
                    groups.append(group)
                    present += count
                    group.wait_ready(entries)
                time.sleep(SETTLE_S)
                result.append(measure(deployment, groups, seconds))
                print(json.dumps(asdict(result[-1])), flush=True)
        finally:
            for group in groups:
                group.stop()
            deployment.stop()
    return result


def main(arguments: list[str] | None = None) -> None:
    """Print one JSON line per size, then the limits and the entry's cost per host."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=list(HOST_COUNTS))
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--entries", type=int, default=3)
    options = parser.parse_args(arguments)
    result = run(tuple(options.hosts), options.seconds, options.entries)
    first, last = result[0], result[-1]
    summary = {
        "limits": {"percent": MAX_CORE_PERCENT, "mb": MAX_MB, "kb_s": MAX_KB_PER_S},
        "load_average": load_average(),
    }
    if last.hosts > first.hosts:
        hosts = last.hosts - first.hosts
        summary["entry_percent_per_host"] = round(
            (last.entry_percent - first.entry_percent) / hosts, 4
        )
        summary["entry_kb_per_host"] = round((last.entry_mb - first.entry_mb) / hosts * 1024, 1)
    print(json.dumps(summary))


if __name__ == "__main__":
    main()
