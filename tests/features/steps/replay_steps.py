"""Steps for replay.feature."""

import contextlib
import io
import json
import tempfile
from dataclasses import replace
from pathlib import Path
from typing import Any

from behave import given, then, when

from apricotpath.trace import Trace, read_trace, write_trace
from apricotpath_bench.replay import BASELINES, compare, load_outcomes, run_once
from apricotpath_bench.tracemaker import trace_of
from apricotpath_cli.cmdline import main

TRACES = Path(__file__).parents[2] / "traces"
SHORT_TRACE_S = 24.0


def short_trace() -> Trace:
    """Return the first SHORT_TRACE_S seconds of the shipped trace `suva`."""
    trace = read_trace(TRACES / "suva.jsonl")
    return Trace(trace.header, tuple(item for item in trace.events if item.at <= SHORT_TRACE_S))


class ReplayCommand:
    """Runs the command on files in a temporary folder."""

    def __init__(self, given_input: str) -> None:
        with tempfile.TemporaryDirectory() as folder:
            trace, outcomes = Path(folder) / "t.jsonl", Path(folder) / "outcomes.json"
            short = short_trace()
            few = tuple(item for item in short.events if item.at <= 2.0)
            events = () if given_input == "a trace without events" else few
            write_trace(trace, replace(short, events=events))
            if given_input == "a newer trace":
                text = trace.read_text().replace('"version": 1', '"version": 9', 1)
                trace.write_text(text)
            stated = {"metric": "urgent.start_s", "most": 1.8, "why": "a target"}
            if given_input == "an outcome that is out of reach":
                stated = {"metric": "urgent.start_s", "least": 99.0, "why": "a target"}
            if given_input == "an unknown metric":
                stated = {"metric": "luck", "most": 1.0, "why": "a target"}
            outcomes.write_text(json.dumps({"outcomes": [stated]}))
            output = io.StringIO()
            with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
                self.code = main(["trace", "replay", str(trace), "--outcomes", str(outcomes)])
            self.output = output.getvalue()


@given("the short replay trace")
def _(context: Any) -> None:
    context.trace = short_trace()


@when("it is replayed twice with seed 3 and once with seed 4")
def _(context: Any) -> None:
    context.results = [run_once(context.trace, seed=seed) for seed in (3, 3, 4)]


@then("the replay digests of seed 3 are equal and that of seed 4 differs")
def _(context: Any) -> None:
    first, again, other = context.results
    assert first == again and first.decisions > 1000, (first.digest, again.digest)
    assert first.digest != other.digest


@when("it is replayed with the baseline of {decision}")
def _(context: Any, decision: str) -> None:
    context.results = [run_once(context.trace), run_once(context.trace, BASELINES[decision])]


@then("the replay digest differs from that of the production decisions")
def _(context: Any) -> None:
    production, baseline = context.results
    assert production.digest != baseline.digest


@when("the replay command gets {given_input}")
def _(context: Any, given_input: str) -> None:
    context.command = ReplayCommand(given_input)


@then("the replay command exits with {code:d} and prints {text}")
def _(context: Any, code: int, text: str) -> None:
    command = context.command
    assert command.code == code and text in command.output, (command.code, command.output)


@given("the shipped {name} replay trace")
def _(context: Any, name: str) -> None:
    context.name, context.trace = name, read_trace(TRACES / f"{name}.jsonl")


@when("all its replay baselines are compared")
def _(context: Any) -> None:
    result, context.metrics = compare(context.trace)
    print(result.digest, context.metrics)


@then("every expected outcome of the replay holds")
def _(context: Any) -> None:
    stated = load_outcomes(TRACES / f"{context.name}.outcomes.json")
    missed = [text for outcome in stated if (text := outcome.missed(context.metrics))]
    assert stated and not missed, missed


@then("the command in its header makes the same replay trace")
def _(context: Any) -> None:
    assert trace_of(context.name, context.trace.header.seed) == context.trace
