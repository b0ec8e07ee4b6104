"""Tables, JSON and progress on the terminal."""

import json
import sys
from collections.abc import Mapping, Sequence
from typing import Any


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(json.dumps(value, indent=2, ensure_ascii=False))


def print_table(rows: Sequence[Mapping[str, Any]], columns: Sequence[str] = ()) -> None:
    """Print rows as an aligned table; columns that no row has are left out."""
    names = [name for name in columns if any(name in row for row in rows)]
    names += [name for name in dict.fromkeys(n for row in rows for n in row) if name not in names]
    if not rows:
        print("none")
        return
    cells = [[title(name) for name in names]]
    cells += [[text(row.get(name)) for name in names] for row in rows]
    widths = [max(len(line[column]) for line in cells) for column in range(len(names))]
    for line in cells:
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(padded).rstrip())


def print_fields(value: Mapping[str, Any]) -> None:
    """Print an object as one aligned `name  value` line per field."""
    width = max((len(name) for name in value), default=0)
    for name, item in value.items():
        print(f"{title(name).ljust(width)}  {text(item)}")


def title(name: str) -> str:
    """Return a field name as it is shown."""
    return name.replace("_", " ")


def text(value: Any) -> str:
    """Return a value as it is shown in a table."""
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    if isinstance(value, Mapping):
        return ", ".join(f"{title(key)} {text(item)}" for key, item in value.items())
    if isinstance(value, list):
        return ", ".join(text(item) for item in value) or "-"
    # Control characters from an entry must not reach the terminal.
    return "".join(char if char.isprintable() else "?" for char in str(value))


class Progress:
    """A line on standard error that is rewritten on a terminal and repeated elsewhere."""

    def __init__(self) -> None:
        self._shown = ""
        self._on_terminal = sys.stderr.isatty()

    def show(self, line: str) -> None:
        """Show the state if it differs from the one shown."""
        if line == self._shown:
            return
        if self._on_terminal:
            sys.stderr.write("\r\x1b[K" + line)
        else:
            sys.stderr.write(line + "\n")
        sys.stderr.flush()
        self._shown = line

    def done(self) -> None:
        """Leave the line on a terminal."""
        if self._on_terminal and self._shown:
            sys.stderr.write("\n")
