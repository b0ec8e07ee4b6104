"""Commands that show the state of entries, hosts and backend servers."""

import argparse
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

import anyio

from apricotpath_cli.client import Answer, Client
from apricotpath_cli.logtimeline import explain_from_logs
from apricotpath_cli.options import Groups, add_entries, operator_settings, signing_key
from apricotpath_cli.output import format_value, print_fields, print_json, print_table


def add_group(groups: Groups) -> None:
    """Add `hosts`, `backends`, `explain`, `debug` and `status`."""
    for name, run, help_text in (
        ("status", _status, "show the state of every entry"),
        ("hosts", _list_of("hosts"), "list hosts with commitments and usage"),
        ("backends", _list_of("backends"), "list backend servers"),
        ("debug", _debug, "show the internal state of every entry"),
    ):
        parser = groups.add_parser(name, help=help_text)
        add_entries(parser)
        parser.set_defaults(run=run)
    explain = groups.add_parser("explain", help="tell why work does or does not run")
    explain.add_argument("--job", help="id of a job")
    explain.add_argument("--team")
    explain.add_argument("--activity")
    explain.add_argument("--dc", dest="data_centre", help="data centre")
    explain.add_argument("--id", dest="subject", help="id of a job or task to look for in --logs")
    explain.add_argument("--logs", nargs="+", metavar="FILE", help="logs of processes to read")
    add_entries(explain)
    explain.set_defaults(run=_explain)


def call_any_entry(
    args: argparse.Namespace, method: str, target: str, body: Any = None
) -> dict[str, Any]:
    """Call the entries in order and return the first answer."""
    cfg = operator_settings(args)
    key = signing_key(cfg.key)

    async def run() -> dict[str, Any]:
        async with Client(cfg.entries, key, args.timeout) as client:
            return await client.call_any(method, target, body)

    return anyio.run(run)


def call_all_entries(args: argparse.Namespace, target: str) -> list[Answer]:
    """Send a GET to all entries and return their answers."""
    cfg = operator_settings(args)
    key = signing_key(cfg.key)

    async def run() -> list[Answer]:
        async with Client(cfg.entries, key, args.timeout) as client:
            return await client.call_all("GET", target)

    return anyio.run(run)


def status_rows(
    args: argparse.Namespace, rows_of: Callable[[dict[str, Any]], list[dict[str, Any]]]
) -> int:
    """Print rows from every entry's status; returns exit code 1 if no entry answered."""
    answers = call_all_entries(args, "/v1/status")
    rows: list[dict[str, Any]] = []
    for answer in answers:
        if answer.error is not None:
            rows.append({"entry": answer.entry, "error": str(answer.error)})
        else:
            rows += [{"entry": answer.entry, **row} for row in rows_of(answer.value)]
    if args.json:
        print_json(rows)
    else:
        print_table(rows, ("entry",))
    return _exit_code(answers)


def _exit_code(answers: list[Answer]) -> int:
    return 0 if any(answer.error is None for answer in answers) else 1


def _status(args: argparse.Namespace) -> int:
    return status_rows(args, lambda value: [_summary_row(value)])


def _summary_row(status: dict[str, Any]) -> dict[str, Any]:
    row = {key: value for key, value in status.items() if key not in ("entry", "data_centres")}
    centres = status.get("data_centres", [])
    row["data_centres"] = {
        format_value(item.get("data_centre")): item.get("state") for item in centres
    }
    return row


def _list_of(name: str) -> Callable[[argparse.Namespace], int]:
    def run(args: argparse.Namespace) -> int:
        value = call_any_entry(args, "GET", f"/v1/{name}")
        if args.json:
            print_json(value)
        else:
            print_table(value.get(name, []))
        return 0

    return run


def _debug(args: argparse.Namespace) -> int:
    answers = call_all_entries(args, "/v1/debug")
    print_json(
        {
            answer.entry: answer.value if answer.error is None else {"error": str(answer.error)}
            for answer in answers
        }
    )
    return _exit_code(answers)


def _explain(args: argparse.Namespace) -> int:
    if args.logs or args.subject:
        return explain_from_logs(args)
    names = ("job", "team", "activity", "data_centre")
    query = {name: getattr(args, name) for name in names if getattr(args, name)}
    value = call_any_entry(args, "GET", f"/v1/explain?{urlencode(query)}")
    if args.json:
        print_json(value)
    else:
        print_fields(value)
    return 0
