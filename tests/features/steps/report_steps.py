"""Steps for report.feature."""

import json
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when

from apricotpath_bench.measure import Latencies
from apricotpath_bench.report import Measure, measures, write_report

VERDICTS = {True: "met", False: "missed", None: "not comparable"}


class ReportSubject:
    """Results of both sides of a comparison, and the files of the report on them."""

    def __init__(self) -> None:
        self.sides = {"system": self.side(0.05), "baseline": self.side(0.1)}
        self.files: dict[str, str] = {}

    @staticmethod
    def side(latency_s: float) -> dict[str, Any]:
        latencies = Latencies()
        for number in range(100):
            latencies.add("booking", "depot", "answered", float(number), number + latency_s)
        requests = {
            "latency": latencies.rows(),
            "curve": latencies.curve(),
            "outcomes": dict(latencies.total()),
        }
        batch = {"useful": 100.0, "wasted": 12.0, "wasted_by_eviction": 10.0}
        batch |= {"uncheckpointed": 50.0, "evictions": 3}
        return {
            "wave": {**requests, "batch": dict(batch)},
            "evict": {"outcomes": {}, "batch": dict(batch), "urgent_started": 4},
            "change": {**requests, "batch": dict(batch), "cost": 0.01},
            "half-failed": {**requests, "sends": 1.0},
        }

    def set_value(self, side: str, phase: str, key: str, value: float) -> None:
        values = self.sides[side][phase]
        if key == "p99":
            self.sides["baseline"][phase]["latency"][0]["p99_ms"] = 100.0
            values["latency"][0]["p99_ms"] = value
        elif key in values.get("batch", {}):
            values["batch"][key] = value
        else:
            values[key] = value

    def rows(self) -> list[Measure]:
        return measures(self.sides["system"], self.sides["baseline"])

    def write(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            write_report(Path(folder) / "out", {"suva": self.sides})
            for path in (Path(folder) / "out").iterdir():
                self.files[path.suffix] = path.read_text(encoding="utf-8")


@given("a recorded comparison for the report")
def _(context: Any) -> None:
    context.report = ReportSubject()


@when("the report's {side} has {key} = {value:g} in phase {phase}")
def _(context: Any, side: str, key: str, value: float, phase: str) -> None:
    context.report.set_value(side, phase, key, value)


@then('the report shows "{measure}" as {verdict}')
def _(context: Any, measure: str, verdict: str) -> None:
    row = next(row for row in context.report.rows() if measure in row.name)
    assert VERDICTS[row.met] == verdict, row
    assert row.target


@when("the report's baseline has no phase {phase}")
def _(context: Any, phase: str) -> None:
    del context.report.sides["baseline"][phase]


@then("the report has measures of wave, evict and half-failed only")
def _(context: Any) -> None:
    phases = {row.name.partition(":")[0] for row in context.report.rows()}
    assert phases == {"wave", "evict", "half-failed"}


@when("the report is written")
def _(context: Any) -> None:
    context.report.write()


@then("the report's text and page name every measure and the missed ones")
def _(context: Any) -> None:
    report, missed = context.report, 0
    for row in report.rows():
        assert row.name in report.files[".txt"]
        assert row.name.replace("'", "&#x27;") in report.files[".html"]
        missed += row.met is False
    assert missed == report.files[".txt"].count("MISSED") == report.files[".html"].count("MISSED")
    assert missed


@then("the report's JSON holds both sides and the measures")
def _(context: Any) -> None:
    value = json.loads(context.report.files[".json"])
    assert value["results"]["suva"] == context.report.sides
    assert len(value["measures"]["suva"]) == len(context.report.rows())


@then("the report's page holds its plots and refers to no other file")
def _(context: Any) -> None:
    page = context.report.files[".html"]
    assert page.count('src="data:image/png;base64,') == page.count("src=") == 1
    assert "href=" not in page
