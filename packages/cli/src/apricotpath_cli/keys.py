"""Commands that create, rotate and show operators' signing keys."""

import argparse
from pathlib import Path

from apricotpath.signing import generate_key, load_key, rotate_key, save_key
from apricotpath_cli.options import Groups, add_json
from apricotpath_cli.output import print_fields, print_json


def add_group(groups: Groups) -> None:
    """Add `keys init|rotate|show`."""
    commands = groups.add_parser("keys", help="make and show signing keys").add_subparsers(
        required=True, metavar="COMMAND"
    )
    init = commands.add_parser("init", help="make a new key")
    init.add_argument("file", type=Path)
    init.set_defaults(run=_init)
    rotate = commands.add_parser("rotate", help="make a key that an older one vouches for")
    rotate.add_argument("old", type=Path)
    rotate.add_argument("file", type=Path)
    rotate.set_defaults(run=_rotate)
    show = commands.add_parser("show", help="show the id and the public key")
    show.add_argument("file", type=Path)
    show.set_defaults(run=_show)
    for parser in (init, rotate, show):
        add_json(parser)


def _init(args: argparse.Namespace) -> int:
    save_key(generate_key(), args.file)
    return _show(args)


def _rotate(args: argparse.Namespace) -> int:
    save_key(rotate_key(load_key(args.old)), args.file)
    return _show(args)


def _show(args: argparse.Namespace) -> int:
    key = load_key(args.file)
    value = {
        "key_id": key.key_id,
        "public_key": key.public_text,
        "vouched_for_by": [item.by for item in key.chain],
    }
    if args.json:
        print_json(value)
    else:
        print_fields(value)
    return 0
