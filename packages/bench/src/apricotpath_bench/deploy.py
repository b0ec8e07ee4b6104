"""A deployment of separate processes on loopback, for demonstrations and tests."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpx

from apricotpath.errors import ApricotpathError
from apricotpath_bench.relay import SilentRelay
from apricotpath_bench.shapes import MB_PER_GB, Shape, bundle_of

LOOPBACK = "127.0.0.1"
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
POLL_S = 0.05


class DeploymentError(ApricotpathError):
    """A process of the deployment did not start, or a command failed."""


@dataclass(slots=True)
class LaunchedProcess:
    """A started process and the command that started it."""

    name: str
    command: list[str]
    ready_url: str
    process: subprocess.Popen[bytes]


def free_ports(count: int) -> list[int]:
    """Return TCP ports on loopback that no socket was bound to when they were chosen."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((LOOPBACK, 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


@dataclass(slots=True)
class Deployment:
    """Store, workers, backend servers, entries and agents of one shape.

    All settings, logs and records are written to `folder`. `policy` overrides
    `PolicySettings` in all processes. `overrides` replaces top-level settings by
    process kind, `entry` or `agent`. `noise` maps an activity to the slowdown that
    one of its batch tasks adds to requests of the backend server on the same host.
    With `relayed`, agents reach entry N through `relays["entry-N"]`. Workers and
    backend servers also write their records to `record_path(name)`, so that the
    records survive a kill.
    """

    shape: Shape
    folder: Path
    policy: dict[str, Any] = field(default_factory=dict)
    overrides: dict[str, dict[str, Any]] = field(default_factory=dict)
    noise: dict[str, float] = field(default_factory=dict)
    processes: dict[str, LaunchedProcess] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)
    relayed: bool = False
    relays: dict[str, SilentRelay] = field(default_factory=dict)

    @property
    def key_path(self) -> Path:
        """Path of the operators' private key."""
        return self.folder / "operator.pem"

    def url(self, name: str) -> str:
        """Return the base URL of a named port, for example `entry-1-callers`."""
        return f"http://{LOOPBACK}:{self.ports[name]}"

    def operator_urls(self) -> list[str]:
        """Return the base URLs of the operator interfaces of all entries."""
        return [self.url(f"entry-{n}-operators") for n in range(1, self.shape.entries + 1)]

    def host_names(self) -> list[str]:
        """Return the host numbers, as text, that process names end with."""
        return [str(n) for n in range(1, self.shape.hosts + 1)]

    def record_path(self, name: str) -> Path:
        """Return the record file of a worker or backend server, kept across restarts."""
        return self.folder / f"{name}.record"

    def start(self, bundle: dict[str, Any] | None = None) -> None:
        """Write settings, start all processes and apply the first bundle."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._choose_ports()
        if self.relayed:
            for name in (f"entry-{number}" for number in range(1, self.shape.entries + 1)):
                port, target = self.ports[f"{name}-relay"], self.ports[f"{name}-links"]
                self.relays[name] = SilentRelay(port, target)
        self.cli("keys", "init", str(self.key_path))
        self._write_settings()
        self.start_process("store")
        for host in self.host_names():
            self.start_process(f"worker-{host}")
            self.start_process(f"backend-{host}")
        for number in range(1, self.shape.entries + 1):
            self.start_process(f"entry-{number}")
        for host in self.host_names():
            self.start_process(f"agent-{host}")
        for name in self.processes:
            self.wait_listening(name)
        self.apply_bundle(bundle or bundle_of(self.shape))
        for name in self.processes:
            if name.startswith(("entry", "agent")):
                self.wait_ready(name)

    def apply_bundle(self, bundle: dict[str, Any]) -> str:
        """Sign a bundle, apply it and return the output of the apply command."""
        version = bundle["version"]
        source = self.folder / f"bundle-{version}.json"
        source.write_text(json.dumps(bundle, indent=2), encoding="utf-8")
        signed = self.folder / f"bundle-{version}.signed"
        self.cli("bundle", "sign", str(source), "--key", str(self.key_path), "--out", str(signed))
        return self.run_operator_command("bundle", "apply", str(signed))

    def run_operator_command(self, *arguments: str) -> str:
        """Run an `apricotpath` command against all entries and return its output.

        Raises DeploymentError if the command fails.
        """
        entries = [item for url in self.operator_urls() for item in ("--entry", url)]
        return self.cli(*arguments, *entries, "--key", str(self.key_path))

    def cli(self, *arguments: str) -> str:
        """Run an `apricotpath` command and return its output; raises DeploymentError."""
        completed = self.run_cli(*arguments)
        if completed.returncode != 0:
            raise DeploymentError(
                f"apricotpath {' '.join(arguments)} exited with {completed.returncode}: "
                f"{completed.stderr.strip() or completed.stdout.strip()}"
            )
        return completed.stdout

    def run_cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run an `apricotpath` command and return its output and exit code."""
        command = [sys.executable, "-m", "apricotpath_cli", *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)

    def start_process(self, name: str) -> None:
        """Start or restart a process by name."""
        command, port_name = self._command(name)
        log = (self.folder / f"{name}.log").open("ab")
        process = subprocess.Popen(command, stdout=log, stderr=log, cwd=self.folder)
        log.close()
        self.processes[name] = LaunchedProcess(name, command, self.url(port_name), process)

    def wait_listening(self, name: str) -> None:
        """Wait until a process answers /healthz with any status."""
        self._wait_for_http(name, "/healthz", lambda response: True)

    def wait_ready(self, name: str) -> None:
        """Wait until a process answers /readyz with 200."""
        self._wait_for_http(name, "/readyz", lambda response: response.status_code == 200)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL, as in a crash."""
        self._signal(name, signal.SIGKILL)
        self.processes[name].process.wait()

    def pause(self, name: str) -> None:
        """Suspend a process with SIGSTOP until it is resumed."""
        self._signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused process."""
        self._signal(name, signal.SIGCONT)

    def terminate(self, name: str) -> int:
        """Send SIGTERM to a process, wait for it to end and return its exit code."""
        self._signal(name, signal.SIGTERM)
        return self.processes[name].process.wait(timeout=STOP_TIMEOUT_S)

    def stop(self) -> None:
        """Kill all processes of the deployment and close the relays."""
        running = [item for item in self.processes.values() if item.process.poll() is None]
        for item in running:
            item.process.send_signal(signal.SIGCONT)
            item.process.kill()
        for item in running:
            item.process.wait()
        for relay in self.relays.values():
            relay.close()

    def log_of(self, name: str) -> str:
        """Return the contents of a process's log."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8", errors="replace")

    def record(self, name: str) -> Any:
        """Return the record of a worker or backend server stand-in."""
        return httpx.get(f"{self.url(name)}/record", timeout=10).raise_for_status().json()

    def set_faults(self, name: str, **switches: Any) -> None:
        """Set the fault switches of a stand-in through its HTTP interface."""
        httpx.post(f"{self.url(name)}/faults", json=switches, timeout=10).raise_for_status()

    def _signal(self, name: str, number: signal.Signals) -> None:
        os.kill(self.processes[name].process.pid, number)

    def _wait_for_http(self, name: str, path: str, accepts: Any) -> None:
        item = self.processes[name]
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if item.process.poll() is not None:
                raise DeploymentError(f"{name} ended: {self.log_of(name)[-2000:]}")
            try:
                if accepts(httpx.get(item.ready_url + path, timeout=2)):
                    return
            except httpx.HTTPError:
                pass
            time.sleep(POLL_S)
        raise DeploymentError(f"{name} was not ready in time: {self.log_of(name)[-2000:]}")

    def _choose_ports(self) -> None:
        names = ["store"]
        for number in range(1, self.shape.entries + 1):
            names += [f"entry-{number}-{kind}" for kind in ("links", "callers", "operators")]
            names += [f"entry-{number}-relay"] * self.relayed
        for host in self.host_names():
            names += [f"{kind}-{host}" for kind in ("worker", "backend", "agent")]
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))

    def _command(self, name: str) -> tuple[list[str], str]:
        """Return the command line of a process and the name of its HTTP port."""
        kind = name.partition("-")[0]
        python = [sys.executable, "-m"]
        if kind in ("entry", "agent"):
            port_name = f"{name}-operators" if kind == "entry" else name
            settings = str(self.folder / f"{name}.json")
            return [*python, "apricotpathd", "--role", kind, "--config", settings], port_name
        address = ["--host", LOOPBACK, "--port", str(self.ports[name])]
        if kind == "store":
            return [*python, "apricotpath_bench.storestandin", *address], name
        if kind == "worker":
            size = ["--cpu-milli", str(self.shape.cores * 1000)]
            size += ["--memory-mb", str(self.shape.memory_gb * MB_PER_GB), "--accelerators", "0"]
            size += ["--neighbour", self.url(name.replace("worker", "backend"))]
            size += ["--record", str(self.record_path(name))]
            return [*python, "apricotpath_bench.workerstandin", *address, *size], name
        slots = ["--service", self.shape.service, "--slots", str(self.shape.slots)]
        slots += ["--connections", str(self.shape.connections)]
        slots += ["--noise", json.dumps(self.noise)]
        # The added delay assumes that entry and backend server are in different data centres.
        slots += ["--delay-ms", str(2 * self.shape.dc_delay_ms)]
        slots += ["--record", str(self.record_path(name))]
        return [*python, "apricotpath_bench.backendstandin", *address, *slots], name

    def _write_settings(self) -> None:
        public_key = json.loads(self.cli("keys", "show", str(self.key_path), "--json"))
        common = {"trusted_keys": [public_key["public_key"]], "policy": self.policy}
        for number in range(1, self.shape.entries + 1):
            self._write_settings_file(f"entry-{number}", common | self._entry_settings(number))
        for host in self.host_names():
            self._write_settings_file(f"agent-{host}", common | self._agent_settings(host))

    def _write_settings_file(self, name: str, settings: dict[str, Any]) -> None:
        path = self.folder / f"{name}.json"
        settings = settings | self.overrides.get(name.partition("-")[0], {})
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")

    def _address(self, name: str) -> dict[str, Any]:
        return {"host": LOOPBACK, "port": self.ports[name]}

    def _link_address(self, number: int) -> dict[str, Any]:
        relay = self.relays.get(f"entry-{number}")
        if relay is None:
            return self._address(f"entry-{number}-links")
        return {"host": LOOPBACK, "port": relay.port}

    def _entry_settings(self, number: int) -> dict[str, Any]:
        data_centres = self.shape.data_centres
        return {
            "entry": f"entry-{number}",
            "data_centre": data_centres[(number - 1) % len(data_centres)],
            "links": self._address(f"entry-{number}-links"),
            "callers": self._address(f"entry-{number}-callers"),
            "operators": self._address(f"entry-{number}-operators"),
            "store": {"url": self.url("store")},
        }

    def _agent_settings(self, host: str) -> dict[str, Any]:
        index = int(host) - 1
        numbers = range(1, self.shape.entries + 1)
        return {
            "process": f"agent-{host}",
            "host": f"host-{host}",
            "rack": self.shape.rack_of(index),
            "data_centre": self.shape.data_centre_of(index),
            "size": {
                "cpu_milli": self.shape.cores * 1000,
                "memory_mb": self.shape.memory_gb * MB_PER_GB,
                "accelerators": 0,
            },
            "worker_url": self.url(f"worker-{host}"),
            "entries": [self._link_address(n) for n in numbers],
            "metrics": self._address(f"agent-{host}"),
            "backend": {
                "backend": f"backend-{host}",
                "service": self.shape.service,
                "url": self.url(f"backend-{host}"),
                "slots": self.shape.slots,
                "connections": self.shape.connections,
            },
        }
