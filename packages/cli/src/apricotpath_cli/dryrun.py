"""Command that tells where a job would go if it were submitted now, and why."""

import argparse
import sys
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

import anyio
import httpx

from apricotpath.errors import InputError
from apricotpath_cli import client
from apricotpath_cli.client import EntryFailed, EntryUnavailable, decode_object
from apricotpath_cli.options import Groups, add_json, add_timeout, check_url
from apricotpath_cli.output import format_value, print_json

PATH = "/dry-run"
# As the entry's limit; a longer file is not sent.
MAX_JOB_BYTES = 1 << 20
# An entry gives a dry run up after 20 s.
TIMEOUT_S = 30.0
STDIN = "-"
# Hosts and groups that a line of text names.
MAX_NAMES = 5

EXIT_CODES = {"placed": 0, "waiting": 3, "refused": 4}
EPILOG = (
    "exit codes: 0 all tasks that are due start now, 3 some wait, 4 a submission would be refused, "
    "1 no entry that schedules answered, 2 bad input"
)


def add_group(groups: Groups) -> None:
    """Add `dry-run`."""
    parser = groups.add_parser(
        "dry-run",
        help="tell where a job would go now, and why, without sending it (on the platform)",
        epilog=EPILOG,
    )
    parser.add_argument("job", metavar="JOB", help="file with the job's JSON, or - for stdin")
    parser.add_argument("--queue", required=True, help="queue of the job")
    parser.add_argument(
        "--entry",
        action="append",
        required=True,
        metavar="URL",
        help="status port of an entry, for example http://127.0.0.1:9464; may be repeated",
    )
    add_timeout(parser)
    parser.set_defaults(timeout=TIMEOUT_S)
    add_json(parser)
    parser.set_defaults(run=_dry_run)


def _dry_run(args: argparse.Namespace) -> int:
    for url in args.entry:
        check_url(url)
    body = _read_job(args.job)
    answer = anyio.run(_ask, args.entry, args.queue, body, args.timeout)
    if args.json:
        print_json(answer)
    else:
        for line in _lines(answer):
            print(line)
    return EXIT_CODES[answer["outcome"]]


def _read_job(name: str) -> bytes:
    """Return the job's JSON, or raise InputError."""
    try:
        if name == STDIN:
            data = sys.stdin.buffer.read(MAX_JOB_BYTES + 1)
        else:
            with Path(name).open("rb") as file:
                data = file.read(MAX_JOB_BYTES + 1)
    except OSError as exc:
        raise InputError(f"{name}: {exc.strerror or exc}") from exc
    if len(data) > MAX_JOB_BYTES:
        raise InputError(f"{name}: the job is longer than {MAX_JOB_BYTES} bytes")
    return data


async def _ask(entries: Sequence[str], queue: str, body: bytes, timeout_s: float) -> dict[str, Any]:
    """Return the answer of the first entry that gives one; asks an entry that schedules."""
    errors: list[str] = []
    async with httpx.AsyncClient(
        timeout=timeout_s, transport=client.transport, trust_env=False
    ) as http:
        for entry in dict.fromkeys(entries):
            url = f"{entry.rstrip('/')}{PATH}?{urlencode({'queue': queue})}"
            try:
                response = await http.post(url, content=body)
                return _decode(entry, response)
            except (httpx.HTTPError, httpx.InvalidURL) as exc:
                errors.append(f"entry {entry} cannot be reached: {exc or type(exc).__name__}")
            except EntryFailed as exc:
                errors.append(str(exc))
    raise EntryUnavailable("; ".join(errors))


def _decode(entry: str, response: httpx.Response) -> dict[str, Any]:
    """Return the answer of an entry; raises EntryFailed, or InputError if the call is wrong."""
    value = decode_object(entry, response)
    if response.status_code in (400, 413):
        raise InputError(f"entry {entry}: {value.get('error')}")
    if response.status_code != 200 or value.get("outcome") not in EXIT_CODES:
        raise EntryFailed(f"entry {entry}: {value.get('error')}")
    return value


def _lines(answer: Mapping[str, Any]) -> Iterator[str]:
    """Yield the lines of text that show an answer."""
    yield (
        f"{answer['outcome']}: queue {format_value(answer['queue'])}, "
        f"configuration {answer['configuration']}, by {format_value(answer['entry'])} "
        f"(epoch {answer['epoch']})"
    )
    if answer["outcome"] == "refused":
        limit = f" ({format_value(answer['limit'])})" if "limit" in answer else ""
        yield f"  status {answer['status']}: {format_value(answer['error'])}{limit}"
        return
    if not answer["steps"]:
        yield f"  not due: the first occurrence is due in {format_value(answer['not_before_s'])} s"
    for step in answer["steps"]:
        yield from _step_lines(step)


def _step_lines(step: Mapping[str, Any]) -> Iterator[str]:
    counts = f"{step['starts']} of {step['due']} due tasks start now, {step['tasks']} in all"
    yield f"step {step['step']}: {step['outcome']}; {counts}"
    if step["placed"]:
        starts = [f"{format_value(host)} ({count})" for host, count in step["placed"].items()]
        yield f"  on {_listed(starts, step['placed_hosts'])}"
    if step["outcome"] == "waiting":
        yield from _wait_lines(step)
    for item in step["ruled_out"]:
        hosts = [format_value(host) for host in item["hosts"]]
        reason = format_value(item["reason"])
        yield f"  ruled out by '{reason}' ({item['count']}): {_listed(hosts, item['count'])}"


def _wait_lines(step: Mapping[str, Any]) -> Iterator[str]:
    after = f" ({format_value(step['after_steps'])})" if step["after_steps"] else ""
    yield f"  waits: {step['waits_for']}{after}"
    size, ahead = step["size"], step["ahead"]
    yield (
        f"  needs {size['cpu_milli'] / 1000:g} cores, {size['memory_mb']} MB and "
        f"{size['accelerators']} accelerators for each task"
    )
    if ahead["groups"]:
        first = [
            f"job {format_value(group['job'])} step {group['step']} ({group['tasks']})"
            for group in ahead["first"]
        ]
        yield f"  behind {ahead['tasks']} waiting tasks: {_listed(first, ahead['groups'])}"
    if step["not_before_s"] is not None:
        yield f"  not before about {step['not_before_s']:g} s from now, as runs are expected to end"


def _listed(names: Sequence[str], count: int) -> str:
    """Return the first names, and how many more there are."""
    shown = ", ".join(names[:MAX_NAMES])
    return shown if count <= MAX_NAMES else f"{shown} and {count - MAX_NAMES} more"
