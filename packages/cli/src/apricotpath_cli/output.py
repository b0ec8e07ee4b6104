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
    cells = [[format_name(name) for name in names]]
    cells += [[format_value(row.get(name)) for name in names] for row in rows]
    widths = [max(len(line[column]) for line in cells) for column in range(len(names))]
    for line in cells:
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(padded).rstrip())


def print_fields(value: Mapping[str, Any]) -> None:
    """Print an object as one aligned `name  value` line per field."""
    width = max((len(name) for name in value), default=0)
    for name, item in value.items():
        print(f"{format_name(name).ljust(width)}  {format_value(item)}")


def format_name(name: str) -> str:
    """Return a field name with spaces instead of underscores."""
    return name.replace("_", " ")


def format_value(value: Any) -> str:
    """Return a value as the text of a table cell."""
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    if isinstance(value, Mapping):
        return ", ".join(f"{format_name(key)} {format_value(item)}" for key, item in value.items())
    if isinstance(value, list):
        return ", ".join(format_value(item) for item in value) or "-"
    # Replaces control characters, which an entry could send to the terminal otherwise.
    return "".join(char if char.isprintable() else "?" for char in str(value))


class Progress:
    """Progress on standard error, in one line on a terminal and in a line per change elsewhere."""

    def __init__(self) -> None:
        self._shown = ""
        self._on_terminal = sys.stderr.isatty()

    def show(self, line: str) -> None:
        """Show a line unless it is the one already shown."""
        if line == self._shown:
            return
        if self._on_terminal:
            sys.stderr.write("\r\x1b[K" + line)
        else:
            sys.stderr.write(line + "\n")
        sys.stderr.flush()
        self._shown = line

    def done(self) -> None:
        """End the line on a terminal, so that it stays there."""
        if self._on_terminal and self._shown:
            sys.stderr.write("\n")
