"""Commands that take data centres out of service and bring them back."""

import argparse
from typing import Any
from urllib.parse import quote

import anyio

from apricotpath.errors import ApricotpathError, ConflictError, InputError, NotFoundError
from apricotpath.ids import DataCentreId
from apricotpath.messages import DataCentreStatus
from apricotpath.model import ServiceState
from apricotpath_cli.client import Answer, Client
from apricotpath_cli.confirm import wait_in_force
from apricotpath_cli.options import (
    Groups,
    add_entries,
    add_wait,
    operator_settings,
    signing_key,
)
from apricotpath_cli.views import status_rows

TRIES = 5
RETRY_S = 0.3


def add_group(groups: Groups) -> None:
    """Add `dc out|in|status`."""
    commands = groups.add_parser(
        "dc", help="take data centres out of service and bring them back"
    ).add_subparsers(required=True, metavar="COMMAND")
    for name, state, text in (
        ("out", ServiceState.OUT, "take a data centre out of service"),
        ("in", ServiceState.IN, "bring a data centre back"),
    ):
        parser = commands.add_parser(name, help=text)
        parser.add_argument("data_centre")
        add_entries(parser)
        add_wait(parser)
        parser.set_defaults(run=_change, state=state)
    status = commands.add_parser("status", help="show the data centres at every entry")
    add_entries(status)
    status.set_defaults(run=_status)


def _status(args: argparse.Namespace) -> int:
    return status_rows(args, lambda value: value.get("data_centres", []))


def _change(args: argparse.Namespace) -> int:
    cfg = operator_settings(args)
    key = signing_key(cfg.key)
    if not args.data_centre or "/" in args.data_centre:
        raise InputError(f"{args.data_centre!r} is not the name of a data centre")

    async def run() -> int:
        async with Client(cfg.entries, key, args.timeout) as client:
            return await change_state(client, args.data_centre, args.state, args.wait)

    return anyio.run(run)


async def change_state(client: Client, dc: str, state: ServiceState, wait_s: float) -> int:
    """Send the change to every entry, wait until it is in force, and return the exit code.

    Entries that do not answer get it from the others, or when it is sent again.
    """
    seq, exists = await _next_seq(client, dc)
    if not exists:
        raise InputError(f"no entry knows a data centre {dc!r}")
    for attempt in range(TRIES):
        wanted = DataCentreStatus(DataCentreId(dc), seq, state)
        errors = [answer.error for answer in await _send(client, wanted)]
        if None in errors:
            return await _confirm(client, wanted, wait_s)
        failed = [exc for exc in errors if exc is not None]
        refused = [exc for exc in failed if isinstance(exc, InputError | NotFoundError)]
        if refused or attempt == TRIES - 1:
            raise (refused or failed)[0]
        await anyio.sleep(RETRY_S)
        # If another operator's change came first, this one needs a higher sequence number.
        seq = max(seq, (await _next_seq(client, dc))[0])
    raise AssertionError("unreachable")


async def _send(client: Client, wanted: DataCentreStatus) -> list[Answer]:
    target = f"/v1/datacentres/{quote(wanted.data_centre, safe='')}"
    body = {"seq": wanted.seq, "state": wanted.state.value}
    if wanted.state is ServiceState.OUT:
        return await client.call_all("PUT", target, body)
    # Bringing a data centre back is one compare-and-swap in the store, by any entry.
    try:
        return [Answer("", await client.call_any("PUT", target, body))]
    except ApricotpathError as exc:
        return [Answer("", {}, exc)]


async def _next_seq(client: Client, dc: str) -> tuple[int, bool]:
    """Return the next sequence number, and whether any entry knows the data centre."""
    answers = await client.call_all("GET", "/v1/status")
    failed = [answer.error for answer in answers if answer.error is not None]
    if len(failed) == len(answers):
        raise failed[0]
    rows = [row for answer in answers if (row := _status_row(answer.value, dc))]
    return 1 + max((_seq(row) for row in rows), default=0), bool(rows)


async def _confirm(client: Client, wanted: DataCentreStatus, wait_s: float) -> int:
    def in_force(status: dict[str, Any]) -> bool:
        row = _status_row(status, wanted.data_centre)
        return _has_change(row, wanted) and row["in_force"] is True

    async def on_poll(answers: list[Answer]) -> None:
        for answer in answers:
            if answer.error is None:
                row = _status_row(answer.value, wanted.data_centre)
                if _is_superseded(row, wanted):
                    raise ConflictError(
                        f"another operator has since changed data centre {wanted.data_centre} "
                        f"to {row['state']!r}; check 'dc status' and try again"
                    )
                # Resends to an entry that could not be reached when the change was sent.
                if wanted.state is ServiceState.OUT and not _has_change(row, wanted):
                    await _send(client, wanted)

    label = f"data centre {wanted.data_centre} {wanted.state.value}"
    return await wait_in_force(client, label, in_force, wait_s, on_poll)


def _status_row(status: dict[str, Any], dc: str) -> dict[str, Any]:
    rows = status.get("data_centres")
    matching = [
        row
        for row in (rows if isinstance(rows, list) else [])
        if isinstance(row, dict) and row.get("data_centre") == dc
    ]
    return matching[0] if matching else {}


def _seq(row: dict[str, Any]) -> int:
    seq = row.get("seq", 0)
    return seq if isinstance(seq, int) else 0


def _has_change(row: dict[str, Any], wanted: DataCentreStatus) -> bool:
    return _seq(row) >= wanted.seq and row.get("state") == wanted.state.value


def _is_superseded(row: dict[str, Any], wanted: DataCentreStatus) -> bool:
    return _seq(row) >= wanted.seq and row.get("state") != wanted.state.value
