"""Entry point of the operators' command."""

import argparse
import sys
from collections.abc import Callable, Sequence
from typing import NoReturn

from apricotpath.errors import ApricotpathError, InputError
from apricotpath_cli import bundles, checks, datacentres, dryrun, jobs, keys, tls, views
from apricotpath_cli.options import Groups
from apricotpath_cli.plugins import add_plugin_groups

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_INTERRUPTED = 130

# Registers the command groups; a new group of this package is added here.
GROUPS: tuple[Callable[[Groups], None], ...] = (
    keys.add_group,
    tls.add_group,
    bundles.add_group,
    datacentres.add_group,
    jobs.add_group,
    dryrun.add_group,
    views.add_group,
    checks.add_group,
    add_plugin_groups,
)


class Parser(argparse.ArgumentParser):
    """An argument parser that raises its errors as InputError, in one sentence."""

    def error(self, message: str) -> NoReturn:
        """Raise InputError instead of printing the usage and exiting."""
        raise InputError(f"{message} (see '{self.prog} --help')")


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command."""
    parser: argparse.ArgumentParser = Parser(
        prog="apricotpath",
        description="Operators' command of apricotpath.",
        epilog="exit codes: 0 done, 1 failed, 2 bad input (nothing changed), "
        "3 accepted but not yet in force",
        allow_abbrev=False,
    )
    groups = parser.add_subparsers(required=True, metavar="COMMAND")
    for add_group in GROUPS:
        add_group(groups)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command and return its exit code."""
    try:
        args = build_parser().parse_args(argv)
        code: int = args.run(args)
        return code
    except InputError as exc:
        return _report(exc, EXIT_BAD_INPUT)
    except ApricotpathError as exc:
        return _report(exc, EXIT_FAILED)
    except BrokenPipeError:
        return EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED


def _report(exc: Exception, code: int) -> int:
    sentence = " ".join(str(exc).split())
    print(f"apricotpath: {sentence}", file=sys.stderr)
    return code


if __name__ == "__main__":
    sys.exit(main())
