"""Steps for cli.feature."""

import ast
import contextlib
import io
import json
import shlex
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from behave import given, then, when
from control_steps import RULES, signed_bundle, status
from operator_standin import MemoryEntries

from apricotpath.bundle import to_json_value
from apricotpath.signing import generate_key, save_key
from apricotpath_cli import __file__ as cli_file
from apricotpath_cli import client
from apricotpath_cli.cmdline import main

JOB = {
    "job_id": "j1",
    "team": "collection",
    "activity": "report",
    "size": {"cpu_milli": 100},
    "tasks": 1,
    "run_time_s": 1,
}

# Runs the command in an interpreter that cannot see the bench package, neither on PYTHONPATH nor
# through an editable install; the first argument is a folder with plugins, or empty.
WITHOUT_BENCH = """
import sys
from importlib.util import find_spec
from pathlib import Path
sys.path = [name for name in sys.path if not (Path(name) / "apricotpath_bench").exists()]
assert find_spec("apricotpath_bench") is None
folder = sys.argv.pop(1)
if folder:
    sys.path.append(folder)
from apricotpath_cli.cmdline import main
sys.exit(main())
"""
PLUGIN_FAULTS = {"imports what is absent": "import absent\n", "adds no group": "add_group = None\n"}
COMMAND_TIMEOUT_S = 60


class OperatorsCommand:
    """Runs the command against in-memory entries and files in a folder, and keeps its output."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.key = generate_key()
        self.entries = MemoryEntries(["one", "two"], [self.key.public_text])
        for services in self.entries.services.values():
            services.control.merge_bundle(signed_bundle(self.key, 1))
        self.code, self.out, self.err = -1, "", ""
        save_key(self.key, folder / "key")
        save_key(generate_key(), folder / "stranger")
        (folder / "tls").mkdir()
        (folder / "tls2").mkdir()
        with contextlib.redirect_stdout(io.StringIO()):
            assert main(["tls", "init", "--folder", str(folder / "tls")]) == 0
        rules = to_json_value(RULES)
        self._write("bundle", {**rules, "version": 2})
        self._write("bad_bundle", {**rules, "version": 0})
        self._write("job", JOB)
        self._write("bad_job", {**JOB, "tasks": 0})
        self._write("bad_settings", {"entrys": []})
        self.before = self._files()

    def _write(self, name: str, value: Any) -> None:
        (self.folder / name).write_text(json.dumps(value))

    def _files(self) -> dict[str, bytes]:
        return {str(path): path.read_bytes() for path in self.folder.rglob("*") if path.is_file()}

    def run(self, arguments: str) -> None:
        names = ("key", "stranger", "bundle", "bad_bundle", "job", "bad_job", "bad_settings")
        paths = {name: str(self.folder / name) for name in (*names, "new", "signed", "tls")}
        to = f"--entry http://one --entry http://two --timeout 1 --key {paths['key']}"
        argv = shlex.split(arguments.format(to=to, **paths))
        out, err = io.StringIO(), io.StringIO()
        client.transport = self.entries
        try:
            with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
                self.code = main(argv)
        finally:
            client.transport = None
        self.out, self.err = out.getvalue(), err.getvalue()

    def add_fault(self, fault: str) -> None:
        one, two = self.entries.services.values()
        if fault == "an answer that is lost":
            self.entries.lose_answers = 1
        elif fault == "an entry that is down":
            self.entries.down = {"two": 1000}
        elif fault == "an entry that is down twice":
            self.entries.down = {"two": 2}
        elif fault == "all entries down":
            self.entries.down = {"one": 1000, "two": 1000}
        elif fault == "lagging agents":
            one.in_force = two.in_force = False
        elif fault == "the store out":
            one.store_out = two.store_out = True
        elif fault == "another bundle 2":
            for services in (one, two):
                services.control.merge_bundle(signed_bundle(self.key, 2, region="elsewhere"))
        elif fault == "another operator's bring-back":
            one.in_force = two.in_force = False
            self.entries.on_write = self._bring_back
        else:
            assert fault == "none"

    def _bring_back(self) -> None:
        for services in self.entries.services.values():
            services.control.merge_statuses([status("suva-depot", 9, "in")])

    def unchanged(self) -> bool:
        return self._files() == self.before and not self.entries.changes


@given("an operators' command with 2 entries")
def _(context: Any) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.command = OperatorsCommand(Path(folder.name))


@given("the entries have the fault {fault}")
def _(context: Any, fault: str) -> None:
    context.command.add_fault(fault)


@when("the command runs with {arguments}")
def _(context: Any, arguments: str) -> None:
    context.command.run("" if arguments == "nothing" else arguments)


@then("the command exits with {code:d} and one sentence like {sentence}")
def _(context: Any, code: int, sentence: str) -> None:
    command = context.command
    assert command.code == code, (command.code, command.err)
    assert command.err.startswith("apricotpath: "), command.err
    assert command.err.count("\n") == 1, command.err
    assert sentence in command.err, command.err
    assert command.out == ""


@then("the command exits with {code:d} and prints {words}")
def _(context: Any, code: int, words: str) -> None:
    command = context.command
    assert command.code == code, (command.code, command.out, command.err)
    assert words in command.out + command.err, (command.out, command.err)


@then("the command changed nothing")
def _(context: Any) -> None:
    assert context.command.unchanged()


@then('the entries saw the change "{change}" {times:d} times')
def _(context: Any, change: str, times: int) -> None:
    assert context.command.entries.changes.count(change) == times, context.command.entries.changes


def run_without_bench(folder: str, arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-c", WITHOUT_BENCH, folder, *shlex.split(arguments)]
    return subprocess.run(
        command, capture_output=True, text=True, check=False, timeout=COMMAND_TIMEOUT_S
    )


@when("the operators' command runs without the bench package with {arguments}")
def _(context: Any, arguments: str) -> None:
    context.completed = run_without_bench("", arguments)


@when("the operators' command runs beside a plugin that {fault} with {arguments}")
def _(context: Any, fault: str, arguments: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        plugins = Path(folder) / "apricotpath_plugins"
        plugins.mkdir()
        (plugins / "load.py").write_text(PLUGIN_FAULTS[fault])
        context.completed = run_without_bench(folder, arguments)


@then("the command without the bench package exits with {code:d} and prints only {words}")
def _(context: Any, code: int, words: str) -> None:
    completed = context.completed
    output = completed.stdout + completed.stderr
    assert completed.returncode == code, (completed.returncode, output)
    assert output.count("\n") == 1 and words in output, output


def imported_modules(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module or ""


@when("the imports of the operators' command are collected")
def _(context: Any) -> None:
    paths = list(Path(cli_file).parent.rglob("*.py"))
    context.imported = {name for path in paths for name in imported_modules(path)}


@then("the operators' command imports no module of the bench package")
def _(context: Any) -> None:
    found = [name for name in context.imported if name.partition(".")[0] == "apricotpath_bench"]
    assert "apricotpath_cli.options" in context.imported, context.imported
    assert not found, found
