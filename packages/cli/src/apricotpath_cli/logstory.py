"""What the logs of processes say of one job or task, in order of time."""

import argparse
import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from apricotpath.errors import InputError
from apricotpath_cli.output import print_json

# Fields by which a line tells whom it is about, and those that every line has.
SUBJECT_FIELDS = ("job", "task", "tasks")
COMMON_FIELDS = ("time", "level", "logger", "text", "process_id")
# Periodic lines say nothing of one job.
PERIODIC = frozenset({"fleet", "filler tasks paced"})

Line = dict[str, Any]


def explain_from_logs(args: argparse.Namespace) -> int:
    """Print the lines about an id, and what changed for all jobs meanwhile."""
    if not args.subject or not args.logs:
        raise InputError("--id and --logs are needed together")
    lines = sorted(read_logs(args.logs), key=lambda line: str(line["time"]))
    found = story(lines, args.subject)
    if not found:
        raise InputError(f"no line of the logs names {args.subject}")
    if args.json:
        print_json(found)
    else:
        for line in found:
            print(one_line(line))
    return 0


def read_logs(names: Iterable[str]) -> Iterator[Line]:
    """Yield the log lines of files; text before the JSON object of a line is left out."""
    for name in names:
        try:
            text = Path(name).read_text(errors="replace")
        except OSError as exc:
            raise InputError(f"{name}: {exc.strerror or exc}") from exc
        for row in text.splitlines():
            try:
                line = json.loads(row[row.find("{") :])
            except ValueError:
                # Other output may stand between the log lines.
                continue
            if isinstance(line, dict) and "time" in line and "text" in line:
                yield line


def story(lines: list[Line], subject: str) -> list[Line]:
    """Return the lines that name a subject, with those between that concern every job."""
    about = [place for place, line in enumerate(lines) if names_subject(line, subject)]
    if not about:
        return []
    return without_repeats(
        line
        for line in lines[about[0] : about[-1] + 1]
        if names_subject(line, subject) or concerns_all(line)
    )


def without_repeats(lines: Iterable[Line]) -> list[Line]:
    """Return lines without those that a process has said before in the same words.

    The first of them counts the others in `repeated`. Lines about a subject are all kept.
    """
    kept: list[Line] = []
    first: dict[tuple[str, str], Line] = {}
    for line in lines:
        said = (str(line.get("process_id")), str(line["text"]))
        if concerns_all(line) and said in first:
            first[said]["repeated"] = first[said].get("repeated", 0) + 1
            continue
        kept.append(dict(line))
        first[said] = kept[-1]
    return kept


def names_subject(line: Line, subject: str) -> bool:
    """Tell whether a line is about a job or a task, or lists a task of the job."""
    for field in SUBJECT_FIELDS:
        value = line.get(field, "")
        for name in value if isinstance(value, list) else [value]:
            if name == subject or str(name).startswith(f"{subject}."):
                return True
    return False


def concerns_all(line: Line) -> bool:
    """Tell whether a line says what a process believes, apart from any one job."""
    return line["text"] not in PERIODIC and not any(field in line for field in SUBJECT_FIELDS)


def one_line(line: Line) -> str:
    """Return a line in short: time of day, process, text, and the other fields."""
    clock = str(line["time"]).partition("T")[2].rstrip("Z")
    rest = " ".join(
        f"{name}={json.dumps(value) if not isinstance(value, str) else value}"
        for name, value in line.items()
        if name not in COMMON_FIELDS
    )
    return f"{clock} {line.get('process_id', '-')}: {line['text']} {rest}".rstrip()
