"""Commands that take data centres out of service and bring them back."""

import argparse
from typing import Any
from urllib.parse import quote

import anyio

from apricotpath.errors import ApricotpathError, ConflictError, InputError
from apricotpath.model import ServiceState
from apricotpath_cli.client import Answer, Client, EntryFailed, EntryUnavailable
from apricotpath_cli.confirm import EXIT_NOT_YET, wait_in_force
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
            return await change(client, args.data_centre, args.state, args.wait)

    return anyio.run(run)


async def change(client: Client, dc: str, state: ServiceState, wait_s: float) -> int:
    """Send the change to every entry, then wait until it is in force.

    Entries that do not answer get it from the others, or from a later try.
    """
    what = f"data centre {dc} {state.value}"
    seq, known = await _next_seq(client, dc)
    if not known:
        raise InputError(f"no entry knows a data centre {dc!r}")
    for attempt in range(TRIES):
        answers = await _send(client, dc, seq, state)
        if any(answer.error is None for answer in answers):
            break
        failed = [answer.error for answer in answers if answer.error is not None]
        decisive = [e for e in failed if not isinstance(e, EntryUnavailable | EntryFailed)]
        if decisive and not any(isinstance(exc, ConflictError) for exc in decisive):
            raise decisive[0]
        if attempt == TRIES - 1:
            raise failed[0]
        await anyio.sleep(RETRY_S)
        # Another operator's change came first, so this one needs a higher number.
        seq = max(seq, (await _next_seq(client, dc))[0])
    return await _confirm(client, dc, seq, state, what, wait_s)


async def _send(client: Client, dc: str, seq: int, state: ServiceState) -> list[Answer]:
    target = f"/v1/datacentres/{quote(dc, safe='')}"
    body = {"seq": seq, "state": state.value}
    if state is ServiceState.OUT:
        return await client.all("PUT", target, body)
    # A bring-back is one compare-and-swap in the store; any entry can do it.
    try:
        return [Answer("", await client.any("PUT", target, body))]
    except ApricotpathError as exc:
        return [Answer("", {}, exc)]


async def _next_seq(client: Client, dc: str) -> tuple[int, bool]:
    """Return a number above every known one, and whether any entry knows the data centre."""
    answers = await client.all("GET", "/v1/status")
    rows = [row for answer in answers for row in _rows(answer.value) if _row_is(row, dc)]
    if all(answer.error is not None for answer in answers):
        error = answers[0].error
        assert error is not None
        raise error
    return 1 + max((int(row.get("seq", 0)) for row in rows), default=0), bool(rows)


def _rows(status: dict[str, Any]) -> list[Any]:
    rows = status.get("data_centres", [])
    return rows if isinstance(rows, list) else []


def _row_is(row: Any, dc: str) -> bool:
    return isinstance(row, dict) and row.get("data_centre") == dc


async def _confirm(
    client: Client, dc: str, seq: int, state: ServiceState, what: str, wait_s: float
) -> int:
    def in_force(status: dict[str, Any]) -> bool:
        row = next(row for row in _rows(status) if _row_is(row, dc))
        return bool(row["seq"] >= seq and row["state"] == state.value and row["in_force"] is True)

    def reached(status: dict[str, Any]) -> bool:
        try:
            return in_force(status)
        except StopIteration:
            return False

    code = await wait_in_force(client, what, reached, wait_s)
    if code == EXIT_NOT_YET and state is ServiceState.OUT:
        # An entry that was unreachable at first may be reachable now.
        await _send(client, dc, seq, state)
    return code
