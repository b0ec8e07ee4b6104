"""Runs the same load on the system and on its baseline, and prints the comparison."""

import argparse
import json
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from apricotpath.errors import ApricotpathError
from apricotpath_bench.load import MAX_REQUESTS_PER_S, PHASES, RunSettings, run_side
from apricotpath_bench.report import measures, text_report, write_report
from apricotpath_bench.shapes import SHAPES

BOTH = "both"
DEFAULT_SECONDS = 60.0


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of a comparison."""
    parser.add_argument("--shape", choices=[*sorted(SHAPES), BOTH], default=BOTH)
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS, help="per side")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--rate", type=float, default=200.0, help=f"requests/s, to {MAX_REQUESTS_PER_S:g}"
    )
    parser.add_argument("--phase", action="append", choices=list(PHASES), help="only this phase")
    parser.add_argument("--out", type=Path, help="folder for report.txt, .json and .html")
    parser.add_argument("--logs", type=Path, help="keep settings and logs in this folder")


def compare(args: argparse.Namespace) -> int:
    """Run the comparison that the options select, print it and return 0."""
    names = ("suva", "asante") if args.shape == BOTH else (args.shape,)
    phases = tuple(args.phase or PHASES)
    results: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as scratch:
        for name in names:
            results[name] = {}
            for side in ("baseline", "system"):
                cfg = RunSettings(
                    SHAPES[name], args.seconds, args.seed, args.rate, side == "baseline"
                )
                folder = (args.logs or Path(scratch)) / name / side
                results[name][side] = run_side(cfg, folder, phases)
            print(text_report(name, measures(results[name]["system"], results[name]["baseline"])))
            print(_outcomes(results[name]), flush=True)
    if args.out is not None:
        write_report(args.out, results)
        print(f"report: {args.out / 'report.html'}")
    return 0


def _outcomes(result: dict[str, Any]) -> str:
    lines = []
    for side, phases in result.items():
        for phase, values in phases.items():
            lag = round(values["send_lag_ms"], 1)
            shown = json.dumps(values["outcomes"])
            lines.append(
                f"{side} {phase}: outcomes {shown}, jobs {values['jobs']}, "
                f"refused jobs {values['refused_jobs']}, latest send {lag} ms late"
            )
    return "\n".join(lines)


def main(argv: Sequence[str] | None = None) -> int:
    """Run from the command line."""
    parser = argparse.ArgumentParser(prog="python -m apricotpath_bench.compare")
    add_options(parser)
    try:
        return compare(parser.parse_args(argv))
    except ApricotpathError as exc:
        print(f"compare: {exc}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
