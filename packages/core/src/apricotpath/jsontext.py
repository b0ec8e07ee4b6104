"""Compact JSON as it is stored."""

import json


def compact_json(value: object) -> str:
    """Return JSON without spaces."""
    return json.dumps(value, separators=(",", ":"))


def json_bytes(value: object) -> bytes:
    """Return JSON without spaces, encoded."""
    return compact_json(value).encode()
