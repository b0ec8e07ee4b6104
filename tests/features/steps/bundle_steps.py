"""Steps for bundle.feature."""

import copy
import json
from pathlib import Path
from typing import Any

from behave import given, then, when

from apricotpath.bundle import (
    MAX_BUNDLE_BYTES,
    bundle_bytes,
    diff,
    load_bundle,
    parse_bundle,
    to_json_value,
)
from apricotpath.errors import BundleError

EXAMPLES = Path(__file__).parents[3] / "examples"


def changed(value: Any, path: str, new: Any) -> Any:
    """Return a copy of a JSON value in which the value at a dotted path is replaced."""
    value = copy.deepcopy(value)
    *parents, last = path.split(".")
    container = value
    for name in parents:
        container = container[int(name)] if isinstance(container, list) else container[name]
    container[last] = new
    return value


class BundleSubject:
    """Holds an example bundle, and its JSON values to be changed."""

    def __init__(self) -> None:
        self.old = load_bundle(EXAMPLES / "suva" / "bundle.json")
        self.value = to_json_value(self.old)

    def error(self) -> BundleError:
        try:
            parse_bundle(json.dumps(self.value).encode(), "rules.json")
        except BundleError as exc:
            return exc
        raise AssertionError("the bundle was accepted")


@then("each example bundle equals itself after it is written and parsed")
def _(context: Any) -> None:
    for name in ("suva", "asante"):
        bundle = load_bundle(EXAMPLES / name / "bundle.json")
        assert parse_bundle(bundle_bytes(bundle)) == bundle
        assert diff(bundle, bundle) == []


@given("the example bundle of Suva")
def _(context: Any) -> None:
    context.bundle_case = BundleSubject()


@when("the bundle value at {path} becomes {value}")
def _(context: Any, path: str, value: str) -> None:
    subject = context.bundle_case
    subject.value = changed(subject.value, path, json.loads(value))


@then("the bundle is refused at {where} because {rule}")
def _(context: Any, where: str, rule: str) -> None:
    exc = context.bundle_case.error()
    assert str(exc).startswith("rules.json: "), exc
    assert exc.path == where.replace("(top)", ""), (exc.path, exc)
    assert rule in exc.rule, exc


@then("the bundle text {kind} is refused")
def _(context: Any, kind: str) -> None:
    texts = {
        "empty": b"",
        "a list": b"[]",
        "with a repeated key": b'{"version": 1, "version": 2}',
        "with a bare NaN": b'{"version": NaN}',
        "nested 100000 deep": b"[" * 100_000,
        "not UTF-8": b'{"region": "\xff"}',
        "larger than allowed": b" " * (MAX_BUNDLE_BYTES + 1),
    }
    try:
        parse_bundle(texts[kind])
    except BundleError:
        return
    raise AssertionError("the text was accepted")


@then("the comparison of the changed bundle shows")
def _(context: Any) -> None:
    value = context.bundle_case.value
    for row in context.table:
        path, _equals, new = row["change"].partition("=")
        value = changed(value, path, json.loads(new))
    lines = diff(context.bundle_case.old, parse_bundle(json.dumps(value).encode()))
    expected = [row["line"] for row in context.table]
    # A new data centre also shows its default value.
    assert sorted(lines) == sorted([*expected, "+ datacentres.new.in_service: true"]), lines
