"""Report of a comparison between the system and the baseline, as text, JSON and HTML."""

import base64
import html
import io
import json
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

# Results of one side of a comparison, by phase; also the results of one phase by name.
Side = dict[str, Any]

MAX_P99_RATIO = 0.6
MIN_WORK_RATIO = 0.95
MAX_SENDS_PER_ARRIVAL = 1.1
MAX_WASTE_RATIO = 0.5
MAX_CHANGE_COST = 0.05


@dataclass(frozen=True, slots=True)
class Measure:
    """One measure of the system and its baseline; the target applies to `ratio`.

    `met` is None if there is no target, or no baseline value to compare with.
    """

    name: str
    value: float
    baseline: float
    ratio: float | None = None
    target: str = ""
    met: bool | None = None


def measures(system: Side, baseline: Side) -> list[Measure]:
    """Return the measures of the phases that both sides have."""
    found: list[Measure] = []
    for phase, make in MEASURES.items():
        if phase in system and phase in baseline:
            found += make(system[phase], baseline[phase])
    return found


def _ratio(value: float, baseline: float) -> float | None:
    return value / baseline if baseline else None


def _at_most(name: str, value: float, baseline: float, limit: float) -> Measure:
    ratio = _ratio(value, baseline)
    met = None if ratio is None else ratio <= limit
    return Measure(name, value, baseline, ratio, f"at most {limit:g} of the baseline", met)


def _wave(system: Side, baseline: Side) -> list[Measure]:
    baseline_values = {(row["class"], row["team"]): row for row in baseline["latency"]}
    found = []
    for row in system["latency"]:
        other = baseline_values.get((row["class"], row["team"]))
        if other is not None and row["team"] == "all":
            name = f"wave: p99 of {row['class']}, ms"
            found.append(_at_most(name, row["p99_ms"], other["p99_ms"], MAX_P99_RATIO))
    if "service" in system and "service" in baseline:
        times = system["service"]["p99_ms"], baseline["service"]["p99_ms"]
        found.append(_at_most("wave: p99 at the backend servers, ms", *times, MAX_P99_RATIO))
    system_values, baseline_work = system["batch"]["useful"], baseline["batch"]["useful"]
    ratio = _ratio(system_values, baseline_work)
    met = None if ratio is None else ratio >= MIN_WORK_RATIO
    target = f"at least {MIN_WORK_RATIO:g} of the baseline"
    found.append(
        Measure("wave: batch work kept, core s", system_values, baseline_work, ratio, target, met)
    )
    found.append(
        _without_target("wave: evictions", system, baseline, lambda s: s["batch"]["evictions"])
    )
    found.append(_without_target("wave: answered, share", system, baseline, answered_share))
    return found


def _evict(system: Side, baseline: Side) -> list[Measure]:
    system_values, baseline_values = system["batch"], baseline["batch"]
    return [
        _at_most(
            "evict: work wasted by evictions, core s",
            system_values["wasted_by_eviction"],
            baseline_values["wasted_by_eviction"],
            MAX_WASTE_RATIO,
        ),
        # The baseline may not evict at all. This compares with the same evictions instead.
        _at_most(
            "evict: the same against stops without checkpoint (computed), core s",
            system_values["wasted_by_eviction"],
            system_values["uncheckpointed"],
            MAX_WASTE_RATIO,
        ),
        _without_target("evict: evictions", system, baseline, lambda s: s["batch"]["evictions"]),
        _without_target(
            "evict: urgent tasks started", system, baseline, lambda s: s["urgent_started"]
        ),
    ]


def _change(system: Side, baseline: Side) -> list[Measure]:
    cost = system["cost"]
    target = f"at most {MAX_CHANGE_COST:g}"
    name = "change: work lost beyond the data centre's share"
    return [
        Measure(name, cost, baseline["cost"], cost, target, cost <= MAX_CHANGE_COST),
        _without_target(
            "change: work wasted, core s", system, baseline, lambda s: s["batch"]["wasted"]
        ),
        _without_target("change: answered, share", system, baseline, answered_share),
    ]


def _half_failed(system: Side, baseline: Side) -> list[Measure]:
    sends = system["sends"]
    name, target = "half-failed: requests sent per arrival", f"at most {MAX_SENDS_PER_ARRIVAL:g}"
    return [
        Measure(name, sends, baseline["sends"], sends, target, sends <= MAX_SENDS_PER_ARRIVAL),
        _without_target("half-failed: answered, share", system, baseline, answered_share),
    ]


def _without_target(
    name: str, system: Side, baseline: Side, value: Callable[[Side], float]
) -> Measure:
    return Measure(name, value(system), value(baseline))


def answered_share(phase: Side) -> float:
    """Return the share of a phase's requests that were answered."""
    total = sum(phase["outcomes"].values())
    answered: int = phase["outcomes"].get("answered", 0)
    return answered / total if total else 0.0


MEASURES: dict[str, Callable[[Side, Side], list[Measure]]] = {
    "wave": _wave,
    "evict": _evict,
    "change": _change,
    "half-failed": _half_failed,
}


def text_report(title: str, rows: list[Measure]) -> str:
    """Return the measures as a text table with the verdict of each target."""
    lines = [title, f"{'measure':<72} {'system':>10} {'baseline':>10} {'ratio':>7}  target"]
    lines += [
        f"{row.name:<72} {row.value:>10.3f} {row.baseline:>10.3f} {_format_ratio(row.ratio):>7}  "
        f"{row.target}{VERDICTS[row.met] if row.target else ''}"
        for row in rows
    ]
    return "\n".join(line.rstrip() for line in lines)


VERDICTS = {True: ": met", False: ": MISSED", None: ": not comparable"}


def _format_ratio(ratio: float | None) -> str:
    return "-" if ratio is None else f"{ratio:.3f}"


def write_report(folder: Path, results: dict[str, Any]) -> None:
    """Write report.json, report.txt and report.html; `results` has both sides by shape name."""
    folder.mkdir(parents=True, exist_ok=True)
    tables = {name: measures(r["system"], r["baseline"]) for name, r in results.items()}
    rows_by_shape = {name: [asdict(row) for row in rows] for name, rows in tables.items()}
    value = {"results": results, "measures": rows_by_shape}
    (folder / "report.json").write_text(json.dumps(value, indent=1), encoding="utf-8")
    text = "\n\n".join(text_report(name, rows) for name, rows in tables.items())
    (folder / "report.txt").write_text(text + "\n", encoding="utf-8")
    (folder / "report.html").write_text(html_report(results, tables), encoding="utf-8")


def html_report(results: dict[str, Any], tables: dict[str, list[Measure]]) -> str:
    """Return an HTML page with all tables and embedded plots."""
    parts = ["<!doctype html><meta charset=utf-8><title>apricotpath: comparison</title>"]
    parts.append("<style>body{font-family:sans-serif}td,th{padding:2px 8px;text-align:right}")
    parts.append("td:first-child{text-align:left}.missed{background:#fcc}</style>")
    for name, rows in tables.items():
        parts.append(f"<h1>{html.escape(name)}</h1><table><tr><th>measure<th>system<th>baseline")
        parts.append("<th>ratio<th>target</tr>")
        parts += [_html_row(row) for row in rows]
        parts.append("</table>")
        image = base64.b64encode(plot(results[name])).decode()
        parts.append(
            f'<img alt="plots of {html.escape(name)}" src="data:image/png;base64,{image}">'
        )
    return "\n".join(parts)


def _html_row(row: Measure) -> str:
    style = ' class="missed"' if row.met is False else ""
    verdict = VERDICTS[row.met] if row.target else ""
    cells = (row.name, f"{row.value:.3f}", f"{row.baseline:.3f}", _format_ratio(row.ratio))
    shown = "".join(f"<td>{html.escape(cell)}" for cell in (*cells, row.target + verdict))
    return f"<tr{style}>{shown}</tr>"


def plot(result: dict[str, Side]) -> bytes:
    """Return a PNG with latency by percentile for each phase with requests, and batch work."""
    # Imported here because matplotlib takes most of a second to load.
    from matplotlib.backends.backend_agg import FigureCanvasAgg
    from matplotlib.figure import Figure

    names = [n for n, values in result["system"].items() if values.get("curve")]
    fig = Figure(figsize=(4.0 * (len(names) + 1), 3.2))
    for at, name in enumerate(names, 1):
        axes = fig.add_subplot(1, len(names) + 1, at)
        for side, style in (("system", "-o"), ("baseline", "--x")):
            curve = result[side].get(name, {}).get("curve", [])
            axes.plot(range(len(curve)), [ms for _, ms in curve], style, label=side)
            axes.set_xticks(range(len(curve)), [f"{p:g}" for p, _ in curve])
        axes.set(title=name, xlabel="percentile", ylabel="latency, ms", yscale="log")
        axes.legend()
    axes = fig.add_subplot(1, len(names) + 1, len(names) + 1)
    phases = [n for n, values in result["system"].items() if "batch" in values]
    for offset, side in ((-0.2, "system"), (0.2, "baseline")):
        heights = [result[side].get(n, {}).get("batch", {}).get("useful", 0.0) for n in phases]
        axes.bar([at + offset for at in range(len(phases))], heights, 0.4, label=side)
    axes.set_xticks(range(len(phases)), phases)
    axes.set(title="batch work kept", ylabel="core s")
    axes.legend()
    fig.tight_layout()
    out = io.BytesIO()
    FigureCanvasAgg(fig).print_png(out)
    return out.getvalue()
