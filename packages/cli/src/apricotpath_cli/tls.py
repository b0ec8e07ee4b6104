"""Commands that create the certificates of processes."""

import argparse
from datetime import UTC, datetime
from pathlib import Path

from apricotpath.certs import create_authority, issue_certificate
from apricotpath_cli.options import Groups


def add_group(groups: Groups) -> None:
    """Add `tls init|issue`."""
    commands = groups.add_parser(
        "tls", help="make certificates for TLS between processes"
    ).add_subparsers(required=True, metavar="COMMAND")
    init = commands.add_parser("init", help="make a private certificate authority")
    init.add_argument("--name", default="apricotpath", help="name in the certificate")
    init.set_defaults(run=_init)
    issue = commands.add_parser("issue", help="make the certificate of a process")
    issue.add_argument("process", help="name of the process")
    issue.add_argument(
        "--address",
        action="append",
        metavar="IP",
        help="IP address of the process; may be repeated; 127.0.0.1 if not given",
    )
    issue.set_defaults(run=_issue)
    for parser in (init, issue):
        parser.add_argument(
            "--folder",
            type=Path,
            default=Path(),
            help="folder of authority.crt and authority.key, and of the created files",
        )


def _init(args: argparse.Namespace) -> int:
    certificate, key = args.folder / "authority.crt", args.folder / "authority.key"
    create_authority(args.name, certificate, key, datetime.now(UTC))
    print(f"wrote {certificate} and {key}")
    return 0


def _issue(args: argparse.Namespace) -> int:
    authority = (args.folder / "authority.crt", args.folder / "authority.key")
    files = (args.folder / f"{args.process}.crt", args.folder / f"{args.process}.key")
    addresses = tuple(args.address or ["127.0.0.1"])
    issue_certificate(args.process, addresses, authority, files, datetime.now(UTC))
    print(f"wrote {files[0]} and {files[1]}")
    return 0
