"""Typed access to JSON that other processes wrote, which may be malformed.

All functions raise InputError, and only this error, for what they cannot accept.
`path` names the value in the error.
"""

import json
from ipaddress import ip_address
from typing import Any

from apricotpath.config import MAX_PORT, Address
from apricotpath.errors import InputError

MISSING = object()
# Numbers that fit a signed integer of 64 bits, as our messages need.
INT_LIMIT = 2**63


def parse_json(data: bytes | str, label: str) -> Any:
    """Parse JSON; `label` names the input in the error."""
    try:
        return json.loads(data)
    # The parser recurses into nested values, and gives up on those that are too deep.
    except (ValueError, RecursionError) as exc:
        raise InputError(f"{label} is not JSON that can be read") from exc


def parse_object(data: bytes | str, label: str) -> dict[str, Any]:
    """Parse a JSON object; `label` names the input in the error."""
    value = parse_json(data, label)
    if not isinstance(value, dict):
        raise InputError(f"{label} is not a JSON object")
    return value


def to_str(value: Any, path: str, max_chars: int | None = None) -> str:
    """Return a string that can be encoded in UTF-8, of at most `max_chars` characters."""
    if not isinstance(value, str):
        raise InputError(f"{path} is not a text", path=path)
    if max_chars is not None and len(value) > max_chars:
        raise InputError(f"{path} is longer than {max_chars} characters", path=path)
    if not value.isascii():
        try:
            value.encode()
        except UnicodeEncodeError as exc:
            raise InputError(f"{path} is not valid Unicode", path=path) from exc
    return value


def to_number(value: Any, path: str, low: float = -INT_LIMIT, high: float = INT_LIMIT) -> float:
    """Return a finite number from `low` to `high`, of a magnitude below INT_LIMIT."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    # The comparison is false for NaN.
    if not is_number or not abs(value) < INT_LIMIT:
        raise InputError(f"{path} is not a number", path=path)
    if not low <= value <= high:
        raise InputError(f"{path} is not between {low} and {high}", path=path)
    return value  # type: ignore[no-any-return]


def to_int(value: Any, path: str, low: int = -INT_LIMIT, high: int = INT_LIMIT) -> int:
    """Return an integer from `low` to `high`; 3.0 counts as an integer."""
    number = to_number(value, path, low, high)
    if number != int(number):
        raise InputError(f"{path} is not a whole number", path=path)
    return int(number)


def to_list(value: Any, path: str, min_length: int = 0) -> list[Any]:
    """Return a list of at least `min_length` values."""
    if not isinstance(value, list):
        raise InputError(f"{path} is not a list", path=path)
    if len(value) < min_length:
        raise InputError(f"{path} has fewer than {min_length} values", path=path)
    return value


def _field(body: Any, name: str, default: Any) -> Any:
    """Return a field unchecked."""
    if not isinstance(body, dict):
        raise InputError(f"there is no object that holds {name}", path=name)
    return body.get(name, default)


def read_str(body: dict[str, Any], name: str, default: Any = MISSING) -> str:
    """Return a string field."""
    return to_str(_field(body, name, default), name)


def read_int(
    body: dict[str, Any],
    name: str,
    default: Any = MISSING,
    low: int = -INT_LIMIT,
    high: int = INT_LIMIT,
) -> int:
    """Return an integer field from `low` to `high`; 3.0 counts as an integer."""
    return to_int(_field(body, name, default), name, low, high)


def read_number(
    body: dict[str, Any],
    name: str,
    default: Any = MISSING,
    low: float = -INT_LIMIT,
    high: float = INT_LIMIT,
) -> float:
    """Return a number field from `low` to `high`."""
    return to_number(_field(body, name, default), name, low, high)


def read_bool(body: dict[str, Any], name: str, default: Any = MISSING) -> bool:
    """Return a boolean field."""
    value = _field(body, name, default)
    if not isinstance(value, bool):
        raise InputError(f"{name} is not true or false", path=name)
    return value


def read_list(body: dict[str, Any], name: str, default: Any = MISSING) -> list[Any]:
    """Return a list field."""
    return to_list(_field(body, name, default), name)


def read_object(body: dict[str, Any], name: str, default: Any = MISSING) -> dict[str, Any]:
    """Return a field with a JSON object."""
    value = _field(body, name, default)
    if not isinstance(value, dict):
        raise InputError(f"{name} is not an object", path=name)
    return value


def read_address(body: dict[str, Any], host: str, port: str) -> Address:
    """Return the address in a field with an IP address and a field with a port."""
    text = read_str(body, host)
    try:
        ip_address(text)
    except ValueError as exc:
        raise InputError(f"{host} is not an IP address", path=host) from exc
    return Address(text, read_int(body, port, low=1, high=MAX_PORT))
