"""Encoding of messages as length-prefixed capnp frames."""

from collections.abc import Callable
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from functools import cache
from importlib.resources import files
from typing import Any, get_args, get_origin, get_type_hints

import capnp

from apricotpath import messages
from apricotpath.errors import CodecError
from apricotpath.messages import Message

PROTOCOL_VERSION = 1
LENGTH_BYTES = 4
MAX_FRAME = 1 << 20
# Maximum number of 8-byte words that the decoder traverses; a small frame with aliased
# pointers would otherwise cause unbounded work.
TRAVERSAL_WORDS = 4 * MAX_FRAME // 8

capnp.remove_import_hook()
_wire = capnp.load(str(files("apricotpath").joinpath("wire.capnp")))


@dataclass(frozen=True, slots=True)
class Envelope:
    """One decoded frame; `id` is unique per sender and link, `reply_to` is 0 or an id."""

    id: int
    reply_to: int
    body: Message


def _camel_case(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.title() for part in rest)


def _union_name(cls: type) -> str:
    return cls.__name__[0].lower() + cls.__name__[1:]


MESSAGE_TYPES: dict[str, type[Message]] = {
    _union_name(cls): cls
    for cls in vars(messages).values()
    if isinstance(cls, type) and issubclass(cls, Message) and cls is not Message
}


def _writer(hint: Any) -> Callable[[Any, str, Any], None]:
    """Return the function that sets a field of this type in a capnp builder.

    Fields are set one by one, since `from_dict` took ten times as long on a
    message with a list of structs.
    """
    if get_origin(hint) is tuple:
        return _write_structs if is_dataclass(get_args(hint)[0]) else _write_list
    if is_dataclass(hint):
        return _write_struct
    if isinstance(hint, type) and issubclass(hint, Enum):
        return _write_enum
    return setattr


def _write_structs(builder: Any, name: str, values: tuple[Any, ...]) -> None:
    items = builder.init(name, len(values))
    for index, value in enumerate(values):
        _write_fields(items[index], value)


def _write_list(builder: Any, name: str, values: tuple[Any, ...]) -> None:
    items = builder.init(name, len(values))
    for index, value in enumerate(values):
        items[index] = value


def _write_struct(builder: Any, name: str, value: Any) -> None:
    _write_fields(builder.init(name), value)


def _write_enum(builder: Any, name: str, value: Enum) -> None:
    setattr(builder, name, value.value)


def _write_fields(builder: Any, value: Any) -> None:
    for name, wire_name, write, _ in _field_codecs(value.__class__):
        write(builder, wire_name, getattr(value, name))


def _decoder(hint: Any) -> Callable[[Any], Any] | None:
    """Return the function that converts a capnp value to this type; None for plain values."""
    if get_origin(hint) is tuple:
        item = _decoder(get_args(hint)[0])
        if item is None:
            return tuple
        return lambda values: tuple(item(value) for value in values)
    if is_dataclass(hint) and isinstance(hint, type):
        return lambda value: _from_reader(hint, value)
    if isinstance(hint, type) and issubclass(hint, Enum):
        return hint
    return None


@cache
def _field_codecs(cls: Any) -> tuple[tuple[str, str, Any, Any], ...]:
    """Return (attribute, capnp name, writer, decoder) of each field of a message."""
    hints = get_type_hints(cls)
    return tuple(
        (
            field.name,
            _camel_case(field.name),
            _writer(hints[field.name]),
            _decoder(hints[field.name]),
        )
        for field in fields(cls)
    )


def _from_reader(cls: type, reader: Any) -> Any:
    return cls(
        *(
            decode(getattr(reader, wire_name)) if decode else getattr(reader, wire_name)
            for _, wire_name, _, decode in _field_codecs(cls)
        )
    )


def encode(envelope: Envelope) -> bytes:
    """Return the frame of a message.

    Raises CodecError if a value does not fit its field or the frame is larger
    than MAX_FRAME bytes.
    """
    try:
        builder = _wire.Envelope.new_message(
            version=PROTOCOL_VERSION, id=envelope.id, replyTo=envelope.reply_to
        )
        _write_fields(builder.init(_union_name(type(envelope.body))), envelope.body)
        payload: bytes = builder.to_bytes()
    except (capnp.KjException, TypeError, ValueError, AttributeError, OverflowError) as exc:
        raise CodecError(f"cannot encode {type(envelope.body).__name__}: {exc}") from exc
    if len(payload) > MAX_FRAME:
        raise CodecError(f"a message of {len(payload)} bytes exceeds the limit of {MAX_FRAME}")
    return len(payload).to_bytes(LENGTH_BYTES, "little") + payload


def frame_length(prefix: bytes) -> int:
    """Return the payload length in bytes that a 4-byte prefix announces, or raise CodecError."""
    length = int.from_bytes(prefix, "little")
    if not 0 < length <= MAX_FRAME:
        raise CodecError(f"a frame of {length} bytes is outside 1 to {MAX_FRAME}")
    return length


def decode(payload: bytes) -> Envelope:
    """Return the message of a frame's payload, or raise CodecError."""
    try:
        with _wire.Envelope.from_bytes(payload, traversal_limit_in_words=TRAVERSAL_WORDS) as reader:
            if reader.version != PROTOCOL_VERSION:
                raise CodecError(f"protocol version {reader.version} is not {PROTOCOL_VERSION}")
            kind = str(reader.which())
            body = _from_reader(MESSAGE_TYPES[kind], getattr(reader, kind))
            return Envelope(reader.id, reader.replyTo, body)
    except CodecError:
        raise
    except (capnp.KjException, KeyError, ValueError, TypeError, UnicodeDecodeError) as exc:
        raise CodecError(f"malformed message: {exc}") from exc
