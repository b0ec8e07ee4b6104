"""Compact JSON encoding."""

import json


def compact_json(value: object) -> str:
    """Return a value as JSON without spaces."""
    return json.dumps(value, separators=(",", ":"))


def json_bytes(value: object) -> bytes:
    """Return a value as JSON without spaces, encoded in UTF-8."""
    return compact_json(value).encode()
