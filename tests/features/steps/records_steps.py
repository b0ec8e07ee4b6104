"""Steps for records.feature."""

import json
from dataclasses import fields
from typing import Any, get_type_hints

from behave import given, then, when

from apricotpath.errors import RecordError
from apricotpath.model import JobSpec, TaskState
from apricotpath.records import KINDS, Record, TaskFinished, from_json, to_json
from ownerworld import job

DAMAGE = {
    "an unknown kind": {"kind": "TaskVanished"},
    "another version": {"version": 2},
    "a missing field": {"attempt": None},
    "an extra field": {"colour": "red"},
    "a field of a wrong type": {"attempt": "1"},
}


class RecordsSubject:
    """Holds a record of every kind, and the error from reading a malformed one."""

    def __init__(self) -> None:
        samples = {JobSpec: job("j", 3, data_centres=("suva-depot",)), str: "", int: 4, float: 1.5}
        samples[TaskState] = TaskState.WAITING
        self.records: list[Record] = []
        self.read: list[Record] = []
        self.error: RecordError | None = None
        for cls in KINDS.values():
            hints = get_type_hints(cls)
            values = [hints[item.name] for item in fields(cls)]
            values = [getattr(hint, "__supertype__", hint) for hint in values]
            self.records.append(cls(*(samples[hint] for hint in values)))

    def read_damaged(self, damage: str) -> None:
        value = {**to_json(TaskFinished("j/1", 1)), **DAMAGE[damage]}
        value = {key: item for key, item in value.items() if item is not None}
        try:
            from_json(value)
        except RecordError as exc:
            self.error = exc


@given("a journal record of every kind")
def _(context: Any) -> None:
    context.records = RecordsSubject()
    assert len(context.records.records) == 11


@when("each journal record is converted to JSON text and back")
def _(context: Any) -> None:
    subject = context.records
    subject.read = [from_json(json.loads(json.dumps(to_json(r)))) for r in subject.records]


@then("each journal record equals the original")
def _(context: Any) -> None:
    assert context.records.read == context.records.records


@when("a journal record is read with {damage}")
def _(context: Any, damage: str) -> None:
    context.records = RecordsSubject()
    context.records.read_damaged(damage)


@then("the journal record is refused with a text that contains {text}")
def _(context: Any, text: str) -> None:
    assert text in str(context.records.error), context.records.error
