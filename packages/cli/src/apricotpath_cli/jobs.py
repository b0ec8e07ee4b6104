"""Commands that submit, show and cancel jobs."""

import argparse
from pathlib import Path
from typing import Any
from urllib.parse import quote, urlencode

from apricotpath.config import load_json
from apricotpath.submission import job_from_json
from apricotpath_cli.options import Groups, add_entries
from apricotpath_cli.output import print_fields, print_json, print_table
from apricotpath_cli.views import call_any_entry


def add_group(groups: Groups) -> None:
    """Add `jobs submit|list|show|cancel`."""
    commands = groups.add_parser("jobs", help="submit, show and cancel jobs").add_subparsers(
        required=True, metavar="COMMAND"
    )
    submit = commands.add_parser("submit", help="submit a job file")
    submit.add_argument("file", type=Path)
    submit.set_defaults(run=_submit)
    listing = commands.add_parser("list", help="list jobs")
    listing.add_argument("--team")
    listing.add_argument("--state")
    listing.add_argument("--limit", type=int, default=100)
    listing.set_defaults(run=_list)
    show = commands.add_parser("show", help="show a job with its tasks")
    show.set_defaults(run=_call, method="GET")
    cancel = commands.add_parser("cancel", help="cancel a job")
    cancel.set_defaults(run=_call, method="DELETE")
    for parser in (show, cancel):
        parser.add_argument("job")
    for parser in (submit, listing, show, cancel):
        add_entries(parser)


def _submit(args: argparse.Namespace) -> int:
    value = load_json(args.file)
    # The file contains the job's id, so sending it to a second entry cannot run the job twice.
    job_from_json(value, str(args.file))
    return _print(args, call_any_entry(args, "POST", "/v1/jobs", value))


def _list(args: argparse.Namespace) -> int:
    names = ("team", "state", "limit")
    query = {name: getattr(args, name) for name in names if getattr(args, name)}
    answer = call_any_entry(args, "GET", f"/v1/jobs?{urlencode(query)}")
    if args.json:
        print_json(answer)
    else:
        print_table(answer.get("jobs", []))
    return 0


def _call(args: argparse.Namespace) -> int:
    target = f"/v1/jobs/{quote(args.job, safe='')}"
    return _print(args, call_any_entry(args, args.method, target))


def _print(args: argparse.Namespace, answer: dict[str, Any]) -> int:
    if args.json:
        print_json(answer)
        return 0
    tasks = answer.pop("tasks", None)
    print_fields(answer)
    if isinstance(tasks, list):
        print_table(tasks)
    elif tasks is not None:
        print_fields({"tasks": tasks})
    return 0
