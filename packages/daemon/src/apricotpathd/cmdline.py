"""Command line of the daemon `apricotpathd`."""

import argparse
from pathlib import Path

import anyio

from apricotpath.config import AgentSettings, EntrySettings, load_settings
from apricotpath.errors import ApricotpathError
from apricotpath.logs import configure
from apricotpath.model import Role
from apricotpathd.agent import run_agent
from apricotpathd.entry import run_entry
from apricotpathd.exits import report_error


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
        return report_error("apricotpathd", exc)
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
