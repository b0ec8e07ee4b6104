"""Command group `load`: puts load on a local deployment and compares it with its baseline."""

import argparse

from apricotpath.errors import ApricotpathError
from apricotpath_cli.options import Groups

# Options passed on to `apricotpath_bench.compare`, which validates them.
OPTIONS = {
    "shape": "small, suva, asante or both",
    "seconds": "seconds of load on each side",
    "seed": "seed of the arrivals",
    "rate": "requests per second",
    "phase": "run only this phase: wave, evict, change or half-failed",
    "out": "folder for report.txt, report.json and report.html",
    "logs": "keep settings and logs in this folder",
}


def add_group(groups: Groups) -> None:
    """Add `load compare`."""
    commands = groups.add_parser(
        "load", help="put load on a local deployment and compare it with its baseline"
    ).add_subparsers(required=True, metavar="COMMAND")
    compare = commands.add_parser("compare", help="run the same load on both and report")
    for name, text in OPTIONS.items():
        compare.add_argument(f"--{name}", help=text)
    compare.set_defaults(run=_compare)


def _compare(args: argparse.Namespace) -> int:
    try:
        from apricotpath_bench.compare import main
    except ImportError as exc:
        raise ApricotpathError(f"a library of apricotpath-bench is not installed: {exc}") from exc
    chosen = {name: getattr(args, name) for name in OPTIONS if getattr(args, name) is not None}
    return main([f"--{name}={value}" for name, value in chosen.items()])
