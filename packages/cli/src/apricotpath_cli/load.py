"""Commands that load a local deployment and compare it with its baseline."""

import argparse

from apricotpath.errors import InputError
from apricotpath_cli.options import Groups


def add_group(groups: Groups) -> None:
    """Add `load compare`; its other options are those of `apricotpath_bench.compare`."""
    commands = groups.add_parser(
        "load", help="load a local deployment and compare it with its baseline"
    ).add_subparsers(required=True, metavar="COMMAND")
    compare = commands.add_parser("compare", help="run the same load on both and report")
    compare.add_argument("options", nargs=argparse.REMAINDER, help="see 'load compare -- --help'")
    compare.set_defaults(run=_compare)


def _compare(args: argparse.Namespace) -> int:
    # The bench package is large and is not installed with the operators' command.
    try:
        from apricotpath_bench.compare import main
    except ImportError as exc:
        raise InputError(f"the package apricotpath-bench is not installed: {exc}") from exc
    options = [item for item in args.options if item != "--"]
    return main(options)
