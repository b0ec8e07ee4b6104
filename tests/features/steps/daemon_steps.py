"""Steps for daemon.feature."""

import json
import socket
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when

from apricotpath.signing import generate_key

TIMEOUT_S = 30


class DaemonSubject:
    """Settings of one role, and the result of starting the daemon with them."""

    def __init__(self, role: str) -> None:
        self.role = role
        self.scratch = tempfile.TemporaryDirectory()
        self.sockets: list[socket.socket] = []
        self.done: subprocess.CompletedProcess[str] | None = None
        common = {"data_centre": "suva-depot", "trusted_keys": [generate_key().public_text]}
        self.settings = common | (self._entry() if role == "entry" else self._agent())

    def _address(self) -> dict[str, Any]:
        return {"host": "127.0.0.1", "port": 0}

    def _entry(self) -> dict[str, Any]:
        ports = {name: self._address() for name in ("links", "callers", "operators")}
        return {"entry": "entry-1", "store": {"url": "http://127.0.0.1:1"}, **ports}

    def _agent(self) -> dict[str, Any]:
        return {
            "process": "agent-1",
            "host": "host-1",
            "rack": "rack-1",
            "size": {"cpu_milli": 1000, "memory_mb": 100, "accelerators": 0},
            "worker_url": "http://127.0.0.1:1",
            "entries": [],
            "metrics": self._address(),
        }

    def add_mistake(self, mistake: str) -> None:
        """Add a mistake to the settings."""
        port_name = "callers" if self.role == "entry" else "metrics"
        if mistake == "an unknown setting":
            self.settings["no_such_setting"] = 1
        elif mistake == "a text for a port":
            self.settings[port_name]["port"] = "eighty"
        elif mistake == "a negative size":
            self.settings["size"]["cpu_milli"] = -1
        elif mistake == "a huge drain time":
            self.settings["drain_s"] = 1e300
        elif mistake == "an address in use":
            used = socket.socket()
            used.bind(("127.0.0.1", 0))
            used.listen()
            self.sockets.append(used)
            self.settings[port_name]["port"] = used.getsockname()[1]
        elif mistake == "a missing certificate":
            names = ("certificate", "private_key", "authority")
            self.settings["link"] = {"tls": dict.fromkeys(names, "missing.pem")}
        elif mistake == "a malformed trusted key":
            self.settings["trusted_keys"] = ["not a key"]

    def start(self, mistake: str) -> None:
        """Run the daemon until it ends."""
        self.add_mistake(mistake)
        path = Path(self.scratch.name) / "settings.json"
        if mistake != "no settings file":
            path.write_text(json.dumps(self.settings), encoding="utf-8")
        command = [sys.executable, "-m", "apricotpathd", "--role", self.role, "--config", str(path)]
        self.done = subprocess.run(
            command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
        )

    def close(self) -> None:
        for item in self.sockets:
            item.close()
        self.scratch.cleanup()


@given("valid daemon settings of the role {role}")
def _(context: Any, role: str) -> None:
    context.daemon = DaemonSubject(role)
    context.add_cleanup(context.daemon.close)


@when("the daemon is started with {mistake}")
def _(context: Any, mistake: str) -> None:
    context.daemon.start(mistake)


@then("the daemon ends with exit code {code:d} and one sentence that contains {text}")
def _(context: Any, code: int, text: str) -> None:
    done = context.daemon.done
    assert done.returncode == code, (done.returncode, done.stderr)
    sentences = [line for line in done.stderr.splitlines() if not line.startswith("{")]
    assert len(sentences) == 1, done.stderr
    assert text in sentences[0], sentences[0]
