"""Command line of the daemon `apricotpathd`."""

import argparse
import sys
from pathlib import Path

import anyio

from apricotpath.config import AgentSettings, EntrySettings, load_settings
from apricotpath.errors import ApricotpathError, InputError, LinkError
from apricotpath.logs import configure
from apricotpath.model import Role
from apricotpathd.agent import run_agent
from apricotpathd.entry import run_entry

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the daemon's options."""
    parser = argparse.ArgumentParser(prog="apricotpathd", description="An apricotpath process.")
    parser.add_argument("--role", required=True, choices=[role.value for role in Role])
    parser.add_argument("--config", required=True, type=Path, metavar="FILE", help="settings")
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run a role until it ends; returns the exit code."""
    args = build_parser().parse_args(argv)
    try:
        run(Role(args.role), args.config)
    except (ApricotpathError, BaseExceptionGroup) as exc:
        return _report(exc)
    return 0


def run(role: Role, config: Path) -> None:
    """Run one role from a settings file."""
    if role is Role.ENTRY:
        entry = load_settings(config, EntrySettings)
        configure(entry.log_level, entry.entry)
        anyio.run(run_entry, entry)
    else:
        agent = load_settings(config, AgentSettings)
        configure(agent.log_level, agent.process)
        anyio.run(run_agent, agent)


def _report(exc: BaseException) -> int:
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    if not isinstance(exc, ApricotpathError):
        raise exc
    print(f"apricotpathd: {exc}", file=sys.stderr)
    return EXIT_BAD_INPUT if isinstance(exc, InputError | LinkError) else EXIT_FAILED
