"""Steps for config.feature."""

import json
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when
from bundle_steps import changed
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st

from apricotpath.config import EntrySettings, build, load_json, load_settings
from apricotpath.errors import SettingsError

ENTRY = Path(__file__).parents[3] / "examples" / "suva" / "entry-1.json"
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
NAMES = st.sampled_from(["entry", "links", "port", "host", "store", "policy", "shards", "x"])
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(NAMES, inner, max_size=4),
    max_leaves=8,
)


class EntryFile:
    """Holds the JSON values of an entry's settings and tries changed ones."""

    def __init__(self) -> None:
        self.value = load_json(ENTRY)
        self.accepted = 0
        self.refused = 0
        self.errors_without_file: list[str] = []

    def error(self) -> str:
        try:
            build(EntrySettings, self.value, "entry.json")
        except SettingsError as exc:
            return str(exc)
        raise AssertionError("the settings were accepted")

    def try_arbitrary(self, count: int) -> None:
        paths = st.sampled_from(["", *self.value, "links.port", "links.host", "store.url"])

        # A fixed seed makes the run reproducible.
        @seed(5)
        @settings(max_examples=count, database=None, deadline=None)
        @for_all(paths, VALUES)
        def check(path: str, value: Any) -> None:
            self._try(changed(self.value, path, value) if path else value)

        check()

    def _try(self, value: Any) -> None:
        try:
            build(EntrySettings, value, "entry.json")
            self.accepted += 1
        except SettingsError as exc:
            self.refused += 1
            if not str(exc).startswith("entry.json: "):
                self.errors_without_file.append(str(exc))


@given("the example entry settings")
def _(context: Any) -> None:
    context.entry_file = EntryFile()


@when("the entry setting {path} becomes {value}")
def _(context: Any, path: str, value: str) -> None:
    subject = context.entry_file
    subject.value = changed(subject.value, path, json.loads(value))


@then("the entry settings are refused with {words}")
def _(context: Any, words: str) -> None:
    error = context.entry_file.error()
    assert error.startswith("entry.json: ")
    assert words in error, error


@then("an entry settings file with {content} is refused")
def _(context: Any, content: str) -> None:
    contents = {
        "nothing": b"",
        "a repeated name": b'{"entry": "a", "entry": "b"}',
        "deep nesting": b"[" * 100_000,
        "bytes that are binary": b"\xff\xfe\x00",
    }
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "entry.json"
        if content in contents:
            path.write_bytes(contents[content])
        try:
            load_settings(path, EntrySettings)
        except SettingsError as exc:
            assert str(path) in str(exc)
            return
    raise AssertionError("the file was accepted")


@when("{count:d} arbitrary values replace settings or the whole file")
def _(context: Any, count: int) -> None:
    context.entry_file = EntryFile()
    context.entry_file.try_arbitrary(count)


@then("each gave settings or a settings error that names the file")
def _(context: Any) -> None:
    subject = context.entry_file
    assert not subject.errors_without_file, subject.errors_without_file[:3]
    assert subject.accepted > 0 and subject.refused > 100, (subject.accepted, subject.refused)
