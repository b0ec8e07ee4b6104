"""Steps for logs.feature."""

import contextlib
import io
import json
import logging
import os
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from behave import given, then, when

from apricotpath.logs import BoundedHandler, JsonFormatter
from apricotpath_cli.cmdline import main

JOB = "00000000000000a1"
WAIT_S = 5.0
READ_BYTES = 65536


class LoggingProcess:
    """A separate logger that writes to a pipe, and the text read from the pipe."""

    def __init__(self, reads: bool) -> None:
        self.reader, writer = os.pipe()
        self.handler = BoundedHandler(writer, "entry-1")
        self.handler.setFormatter(JsonFormatter())
        self.log = logging.Logger("case")
        self.log.addHandler(self.handler)
        self.text = b""
        self.slowest_s = 0.0
        self.logged = 0
        if reads:
            self.read()

    def read(self) -> None:
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        while data := os.read(self.reader, READ_BYTES):
            self.text += data

    def log_line(self, level: int, text: str, extra: dict[str, Any] | None = None) -> None:
        started = time.perf_counter()
        self.log.log(level, text, extra=extra)
        self.slowest_s = max(self.slowest_s, time.perf_counter() - started)
        self.logged += 1

    def lines(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self.text.split(b"\n")[:-1]]

    def written(self, level: str) -> int:
        return sum(line["level"] == level and line["logger"] == "case" for line in self.lines())

    def reported_left_out(self) -> int:
        return sum(line["count"] for line in self.lines() if line["text"] == "log lines left out")

    def wait_for(self, wanted: int, count: Any) -> None:
        ends_at = time.monotonic() + WAIT_S
        while count() < wanted and time.monotonic() < ends_at:
            time.sleep(0.02)
        assert count() == wanted, f"{count()} instead of {wanted}"


@given("a process logs to a pipe that is read")
def step_read(context: Any) -> None:
    context.logging = LoggingProcess(reads=True)


@given("a process logs to a pipe that nobody reads")
def step_not_read(context: Any) -> None:
    context.logging = LoggingProcess(reads=False)


@when("it logs {count:d} lines at once")
def step_burst(context: Any, count: int) -> None:
    for number in range(count):
        context.logging.log_line(logging.INFO, "line", {"number": number})


@when("it logs {count:d} warnings at once")
def step_warnings(context: Any, count: int) -> None:
    for number in range(count):
        context.logging.log_line(logging.WARNING, "warning", {"number": number})


@when("it logs {count:d} lines of {length:d} characters over {seconds:g} seconds")
def step_long_burst(context: Any, count: int, length: int, seconds: float) -> None:
    for number in range(count):
        context.logging.log_line(logging.INFO, "x" * length)
        if seconds and number % 100 == 0:
            time.sleep(100 * seconds / count)


@when("it logs a line with a field of {length:d} characters")
def step_long_field(context: Any, length: int) -> None:
    context.logging.log_line(logging.INFO, "line", {"reason": "x" * length})


@when("the pipe is read again")
def step_read_again(context: Any) -> None:
    context.logging.read()


@when("it ends")
def step_ends(context: Any) -> None:
    context.logging.handler.close()


@then("it ends within {seconds:g} seconds")
def step_ends_within(context: Any, seconds: float) -> None:
    started = time.monotonic()
    context.logging.handler.close()
    assert time.monotonic() - started < seconds


@then("at most {most:d} of its lines are written")
def step_at_most(context: Any, most: int) -> None:
    case = context.logging
    case.wait_for(case.logged, lambda: case.written("info") + case.reported_left_out())
    assert case.written("info") <= most, case.written("info")


@then("the lines written and those reported as left out add up to {count:d}")
def step_total(context: Any, count: int) -> None:
    case = context.logging
    case.wait_for(count, lambda: case.written("info") + case.reported_left_out())
    assert case.reported_left_out() == case.handler.left_out


@then("no log call took longer than {seconds:g} seconds")
def step_no_delay(context: Any, seconds: float) -> None:
    assert context.logging.slowest_s < seconds, context.logging.slowest_s


@then("{count:d} of its {kind} are written")
def step_written(context: Any, count: int, kind: str) -> None:
    level = {"lines": "info", "warnings": "warning"}[kind]
    context.logging.wait_for(count, lambda: context.logging.written(level))


@then("its longest line has at most {length:d} characters")
def step_longest(context: Any, length: int) -> None:
    context.logging.wait_for(1, lambda: context.logging.written("info"))
    assert max(len(line) for line in context.logging.text.split(b"\n")) <= length


def _line(second: int, process: str, text: str, **fields: Any) -> str:
    stamp = f"2026-12-04T10:00:0{second}.000Z"
    return json.dumps({"time": stamp, "process_id": process, "text": text, **fields})


@given("logs of an entry, an agent and a scheduler that was replaced")
def step_logs(context: Any) -> None:
    folder = Path(tempfile.mkdtemp())
    context.add_cleanup(lambda: [path.unlink() for path in folder.iterdir()] and folder.rmdir())
    task = f"{JOB}.0.0.1"
    (folder / "front-1.log").write_text(
        "\n".join(
            [
                _line(1, "front-1", "job submitted", job=JOB, outcome="accepted"),
                _line(2, "front-1", "run ordered", task=task, run=1),
                _line(2, "front-1", "run ordered", task="00000000000000b2.0.0.1", run=1),
                "a line of another program",
            ]
        )
    )
    (folder / "side-1.log").write_text(
        f"9.1 side-1 | {_line(3, 'side-1', 'run started', task=task, run=1)}\n"
    )
    (folder / "front-2.log").write_text(
        "\n".join(
            [
                _line(4, "front-2", "scheduler elected", epoch=2),
                _line(5, "front-2", "fleet", waiting={}),
                _line(6, "front-2", "run ended", task=task, run=1, result="done"),
                _line(7, "front-2", "job ended", job=JOB, progress="completed"),
            ]
        )
    )
    context.log_files = [str(path) for path in sorted(folder.iterdir())]


@when("the operators' command explains {subject} from the logs")
def step_explain(context: Any, subject: str) -> None:
    out, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(errors):
        main(["explain", "--id", subject, "--logs", *context.log_files, "--json"])
    context.explained, context.explain_error = out.getvalue(), errors.getvalue()


@then("it prints the lines {texts} in order of time")
def step_printed(context: Any, texts: str) -> None:
    printed = [line["text"] for line in json.loads(context.explained)]
    assert printed == texts.split(", "), printed


@then('it fails with the sentence "{sentence}"')
def step_sentence(context: Any, sentence: str) -> None:
    assert sentence in context.explain_error, context.explain_error


@given("the agent logs {count:d} times that it cannot reach the store")
def step_repeats(context: Any, count: int) -> None:
    path = next(Path(name) for name in context.log_files if "side-1" in name)
    with path.open("a") as file:
        for _ in range(count):
            file.write(_line(5, "side-1", "entries not looked up") + "\n")


@then('it prints one line "{text}" that was repeated {count:d} times')
def step_repeated(context: Any, text: str, count: int) -> None:
    found = [line for line in json.loads(context.explained) if line["text"] == text]
    assert len(found) == 1 and found[0]["repeated"] == count, found
