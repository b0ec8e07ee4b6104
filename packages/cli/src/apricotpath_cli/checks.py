"""The command that checks settings files."""

import argparse
from pathlib import Path

from apricotpath.config import AgentSettings, EntrySettings, load_settings
from apricotpath.control import Control
from apricotpath.errors import SettingsError, SignatureError
from apricotpath_cli.options import Groups, OperatorSettings

KINDS: dict[str, type[EntrySettings] | type[AgentSettings] | type[OperatorSettings]] = {
    "entry": EntrySettings,
    "agent": AgentSettings,
    "operator": OperatorSettings,
}


def add_group(groups: Groups) -> None:
    """Add `check-config`."""
    parser = groups.add_parser("check-config", help="check a settings file")
    parser.add_argument("kind", choices=sorted(KINDS))
    parser.add_argument("file", type=Path)
    parser.set_defaults(run=_check)


def _check(args: argparse.Namespace) -> int:
    cfg = load_settings(args.file, KINDS[args.kind])
    if isinstance(cfg, EntrySettings | AgentSettings):
        try:
            Control(cfg.trusted_keys)
        except SignatureError as exc:
            raise SettingsError(f"{args.file}: trusted_keys: {exc}") from exc
    print(f"{args.file}: valid")
    return 0
