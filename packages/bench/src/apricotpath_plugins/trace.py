"""Command group `trace`: writes the trace of a simulated deployment and replays traces."""

import argparse
from pathlib import Path

from apricotpath.errors import ApricotpathError, InputError
from apricotpath.trace import read_trace, write_trace
from apricotpath_cli.options import Groups

SHAPES = ("suva", "asante", "teams")


def add_group(groups: Groups) -> None:
    """Add `trace record|replay`."""
    commands = groups.add_parser("trace", help="make and replay traces").add_subparsers(
        required=True, metavar="ACTION"
    )
    record = commands.add_parser("record", help="write the trace of a simulated deployment")
    record.add_argument("out", type=Path)
    record.add_argument("--shape", choices=SHAPES, required=True)
    record.add_argument("--seed", type=int, required=True)
    record.set_defaults(run=_record)
    replay = commands.add_parser("replay", help="replay a trace through the scheduling code")
    replay.add_argument("file", type=Path)
    replay.add_argument("--seed", type=int, help="seed to use instead of the trace's")
    replay.add_argument("--outcomes", type=Path, help="file of expected outcomes to check")
    replay.set_defaults(run=_replay)


def _record(args: argparse.Namespace) -> int:
    try:
        from apricotpath_bench.tracemaker import trace_of
    except ImportError as exc:
        raise ApricotpathError(f"a library of apricotpath-bench is not installed: {exc}") from exc
    write_trace(args.out, trace_of(args.shape, args.seed))
    print(f"{args.out}: written")
    return 0


def _replay(args: argparse.Namespace) -> int:
    try:
        from apricotpath_bench.replay import load_outcomes, report
    except ImportError as exc:
        raise ApricotpathError(f"a library of apricotpath-bench is not installed: {exc}") from exc
    trace = read_trace(args.file)
    if not trace.events:
        raise InputError(f"{args.file}: has no events to replay")
    outcomes = load_outcomes(args.outcomes) if args.outcomes else ()
    text, all_met = report(trace, outcomes, args.seed)
    print(text)
    return 0 if all_met else 1
