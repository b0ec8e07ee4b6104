"""Measures processor time per request in the entry and the agent, on loopback.

Usage: request_cost.py [REQUESTS [CONCURRENT]]; other arguments name the roles
of the processes that it starts itself.
"""

import json
import subprocess
import sys
import time
from pathlib import Path
from random import Random
from typing import Any

import anyio
from httpx import AsyncClient

sys.path.insert(0, str(Path(__file__).parent / "features" / "steps"))
from request_harness import ADDRESS, SERVICE, AgentNode, EntryNode, Net

from apricotpath.config import Address, LinkSettings, RequestSettings
from apricotpath.link import dial_forever, listen
from apricotpath_bench.backendstandin import BackendApp, serve_app
from apricotpathd.callers import CallerApp, serve_callers


async def role_entry(net: Net, port: int) -> None:
    """Serve callers on a port, and print the port of the links."""
    entry = EntryNode(net, "entry1", RequestSettings())
    app = CallerApp(entry.component.cfg, net.rules, entry.component, entry.metrics)

    async def started(address: Address) -> None:
        print(address.port, flush=True)

    net.group.start_soon(entry.run)
    net.group.start_soon(app.run)
    net.group.start_soon(listen, ADDRESS, entry.hello, LinkSettings(), entry, net.group, started)
    await serve_callers(app, f"127.0.0.1:{port}", read_end)


async def role_agent(net: Net, port: int, backend_port: int) -> None:
    """Run an agent that dials a port."""
    net.urls["agent1"] = f"http://127.0.0.1:{backend_port}"
    agent = AgentNode(net, "agent1", 1, BackendApp(SERVICE))
    net.group.start_soon(agent.run)
    address = Address("127.0.0.1", port)
    net.group.start_soon(dial_forever, address, agent.hello, LinkSettings(), agent, Random(1))
    await read_end()


async def role_backend(net: Net, port: int) -> None:
    """Serve the stand-in on a port."""
    await serve_app(BackendApp(SERVICE), f"127.0.0.1:{port}", read_end)


async def read_end() -> None:
    """Report the processor time so far for each line read, until the input ends."""
    while await anyio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True):
        print(time.process_time(), flush=True)


async def run_role(name: str, ports: list[int]) -> None:
    net = Net()
    async with anyio.create_task_group() as net.group:
        await globals()[f"role_{name}"](net, *ports)
        net.group.cancel_scope.cancel()


def spawn(*args: Any) -> subprocess.Popen[str]:
    command = [sys.executable, __file__, *map(str, args)]
    pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE, "text": True}
    return subprocess.Popen(command, **pipes)


def used(process: subprocess.Popen[str]) -> float:
    assert process.stdin is not None and process.stdout is not None
    process.stdin.write("\n")
    process.stdin.flush()
    return float(process.stdout.readline())


async def load(url: str, count: int, concurrent: int) -> list[float]:
    """Make requests and return their times in seconds."""
    times: list[float] = []
    headers = {"Apricotpath-Class": "intake", "Apricotpath-Team": "team"}

    async def work(client: AsyncClient) -> None:
        while len(times) < count:
            begun = time.perf_counter()
            times.append(0.0)
            number = len(times) - 1
            response = await client.get(url, headers=headers)
            assert response.status_code == 200, response.text
            times[number] = time.perf_counter() - begun

    async with AsyncClient(trust_env=False) as client, anyio.create_task_group() as group:
        for _number in range(concurrent):
            group.start_soon(work, client)
    return times


def main(count: int, concurrent: int) -> None:
    entry = spawn("entry", 18431)
    assert entry.stdout is not None
    link_port = entry.stdout.readline().strip()
    backend = spawn("backend", 18432)
    agent = spawn("agent", link_port, 18432)
    url = f"http://127.0.0.1:18431/s/{SERVICE}/x?work_ms=2&size=200"
    try:
        time.sleep(2.0)
        anyio.run(load, url, 200, concurrent)
        before = used(entry), used(agent)
        times = sorted(anyio.run(load, url, count, concurrent))
        after = used(entry), used(agent)
    finally:
        for process in (entry, agent, backend):
            process.terminate()
            process.wait()
    cost = [(b - a) / count * 1e6 for a, b in zip(before, after, strict=True)]
    figures = {"entry_us": round(cost[0]), "agent_us": round(cost[1])}
    figures |= {"p50_ms": times[count // 2] * 1e3, "p99_ms": times[count * 99 // 100] * 1e3}
    print(json.dumps({"requests": count, "concurrent": concurrent, **figures}))


if __name__ == "__main__":
    if len(sys.argv) > 1 and not sys.argv[1].isdigit():
        anyio.run(run_role, sys.argv[1], [int(arg) for arg in sys.argv[2:]])
    else:
        main(*map(int, sys.argv[1:] or ["2000", "4"]))
