"""Timeline of one job or task from the logs of several processes."""

import argparse
import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from apricotpath.errors import InputError
from apricotpath_cli.output import print_json

# Fields with the ids that a line is about, and the fields that every line has.
SUBJECT_FIELDS = ("job", "task", "tasks")
COMMON_FIELDS = ("time", "level", "logger", "text", "process_id")
# Texts of periodic lines, which are about no particular job.
PERIODIC_TEXTS = frozenset({"fleet", "filler tasks paced", "traffic"})

LogLine = dict[str, Any]


def explain_from_logs(args: argparse.Namespace) -> int:
    """Print the lines about an id, and the lines in between that concern all jobs."""
    if not args.subject or not args.logs:
        raise InputError("--id and --logs are needed together")
    lines = sorted(read_logs(args.logs), key=lambda line: str(line["time"]))
    selected = timeline(lines, args.subject)
    if not selected:
        raise InputError(f"no line of the logs names {args.subject}")
    if args.json:
        print_json(selected)
    else:
        for line in selected:
            print(format_line(line))
    return 0


def read_logs(names: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines of files, without any text before a line's JSON object."""
    for name in names:
        try:
            text = Path(name).read_text(errors="replace")
        except OSError as exc:
            raise InputError(f"{name}: {exc.strerror or exc}") from exc
        for row in text.splitlines():
            try:
                line = json.loads(row[row.find("{") :])
            except ValueError:
                # The files may contain other output between the log lines.
                continue
            if isinstance(line, dict) and "time" in line and "text" in line:
                yield line


def timeline(lines: list[LogLine], subject: str) -> list[LogLine]:
    """Return the lines that refer to a subject, and those in between that concern all jobs."""
    indexes = [index for index, line in enumerate(lines) if refers_to(line, subject)]
    if not indexes:
        return []
    return collapse_repeats(
        line
        for line in lines[indexes[0] : indexes[-1] + 1]
        if refers_to(line, subject) or is_global(line)
    )


def collapse_repeats(lines: Iterable[LogLine]) -> list[LogLine]:
    """Keep only the first of the global lines with the same process and text.

    Its field `repeated` counts the others. Lines about a job or task are all kept.
    """
    kept: list[LogLine] = []
    first: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        message_key = (str(line.get("process_id")), str(line["text"]))
        if is_global(line) and message_key in first:
            first[message_key]["repeated"] = first[message_key].get("repeated", 0) + 1
            continue
        kept.append(dict(line))
        first[message_key] = kept[-1]
    return kept


def refers_to(line: LogLine, subject: str) -> bool:
    """Tell whether a line names the job or task, or a task of the job."""
    for field in SUBJECT_FIELDS:
        value = line.get(field, "")
        for name in value if isinstance(value, list) else [value]:
            if name == subject or str(name).startswith(f"{subject}."):
                return True
    return False


def is_global(line: LogLine) -> bool:
    """Tell whether a line is about no particular job or task and is not periodic."""
    return line["text"] not in PERIODIC_TEXTS and not any(field in line for field in SUBJECT_FIELDS)


def format_line(line: LogLine) -> str:
    """Format a line as its time of day, process, text and other fields."""
    time_of_day = str(line["time"]).partition("T")[2].rstrip("Z")
    rest = " ".join(
        f"{name}={json.dumps(value) if not isinstance(value, str) else value}"
        for name, value in line.items()
        if name not in COMMON_FIELDS
    )
    return f"{time_of_day} {line.get('process_id', '-')}: {line['text']} {rest}".rstrip()
