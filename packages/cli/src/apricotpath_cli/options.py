"""Options shared by several commands, and the settings of the operators' command."""

import argparse
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TypeAlias
from urllib.parse import urlsplit

from apricotpath.config import load_settings
from apricotpath.errors import InputError
from apricotpath.signing import SigningKey, load_key

Handler = Callable[[argparse.Namespace], int]
Groups: TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"

# A change is in force within 5 s at the present size, and within 19 s at the target size.
DEFAULT_WAIT_S = 20.0
DEFAULT_TIMEOUT_S = 3.0
MAX_WAIT_S = 3600.0


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Settings of the operators' command: operator URLs of entries, and the key file."""

    entries: tuple[str, ...] = ()
    key: Path | None = None


def seconds(text: str) -> float:
    """Parse a number of seconds from 0 to an hour."""
    value = float(text)
    if not 0 <= value <= MAX_WAIT_S:
        raise argparse.ArgumentTypeError(f"{text} is outside 0 to {MAX_WAIT_S:g} seconds")
    return value


def add_key(parser: argparse.ArgumentParser) -> None:
    """Add the option for the operator's key file."""
    parser.add_argument("--key", type=Path, metavar="FILE", help="your private key (PEM)")


def add_json(parser: argparse.ArgumentParser) -> None:
    """Add the option for output as JSON."""
    parser.add_argument("--json", action="store_true", help="print JSON instead of a table")


def add_entries(parser: argparse.ArgumentParser) -> None:
    """Add the options of every command that talks to entries."""
    parser.add_argument("--settings", type=Path, metavar="FILE", help="settings: entries and key")
    parser.add_argument(
        "--entry",
        action="append",
        default=[],
        metavar="URL",
        help="operator URL of an entry, for example http://127.0.0.1:7103; may be repeated",
    )
    add_timeout(parser)
    add_key(parser)
    add_json(parser)


def add_timeout(parser: argparse.ArgumentParser) -> None:
    """Add the time limit of each call to an entry."""
    parser.add_argument(
        "--timeout",
        type=seconds,
        default=DEFAULT_TIMEOUT_S,
        metavar="S",
        help="seconds to wait for one answer of an entry",
    )


def add_wait(parser: argparse.ArgumentParser) -> None:
    """Add the option for waiting until a change is in force."""
    parser.add_argument(
        "--wait",
        type=seconds,
        default=DEFAULT_WAIT_S,
        metavar="S",
        help="seconds to wait until the change is in force",
    )


def operator_settings(args: argparse.Namespace) -> OperatorSettings:
    """Return the settings from the file, overridden by the options; raises InputError."""
    cfg = load_settings(args.settings, OperatorSettings) if args.settings else OperatorSettings()
    entries = tuple(args.entry) or cfg.entries
    if not entries:
        raise InputError("no entry is given; use --entry URL or --settings FILE")
    for url in entries:
        check_url(url)
    return OperatorSettings(tuple(dict.fromkeys(entries)), args.key or cfg.key)


def check_url(url: str) -> None:
    """Raise InputError unless a text is the URL of an entry."""
    try:
        parts = urlsplit(url)
        valid = parts.scheme in ("http", "https") and bool(parts.hostname) and parts.port != 0
    except ValueError:
        valid = False
    if not valid or parts.path.strip("/") or parts.query:
        raise InputError(f"{url!r} is not the URL of an entry, such as http://127.0.0.1:7103")


def signing_key(path: Path | None) -> SigningKey:
    """Return the operator's key, or raise InputError."""
    if path is None:
        raise InputError("no key is given; use --key FILE or --settings FILE")
    return load_key(path)
