"""Steps for codec.feature."""

import random
from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any, get_args, get_origin, get_type_hints

from behave import given, then, when

from apricotpath import codec
from apricotpath.codec import MESSAGE_TYPES, Envelope, decode, encode, frame_length
from apricotpath.errors import CodecError
from apricotpath.messages import DataCentreStatus, Heartbeat, RequestBody
from apricotpath.model import ServiceState


def sample(hint: Any) -> Any:
    """Return a non-default value for the type of a message field."""
    while hasattr(hint, "__supertype__"):
        hint = hint.__supertype__
    if get_origin(hint) is tuple:
        return (sample(get_args(hint)[0]),) * 2
    if is_dataclass(hint):
        hints = get_type_hints(hint)
        return hint(*(sample(hints[field.name]) for field in fields(hint)))
    if issubclass(hint, Enum):
        return list(hint)[-1]
    return {int: 41, str: "text", bytes: b"bytes", bool: True, float: 0.5}[hint]


class CodecSubject:
    """Holds the frame and the messages under test."""

    def __init__(self) -> None:
        self.frame = b""
        self.samples = [Envelope(3, 2, sample(cls)) for cls in MESSAGE_TYPES.values()]
        self.decoded: list[Envelope] = []
        self.errors = 0

    def damage(self, how: str) -> None:
        """Damage the heartbeat's frame as described by `how`."""
        frame = self.frame
        changes = {
            "cutting it short": frame[: len(frame) // 2],
            "an unknown version": self._with_version(frame, 99),
            "an unknown kind": self._with_kind(frame, 999),
            "a bad enum value": frame.replace(b"out\0", b"up?\0"),
            "a length of zero": b"\0\0\0\0" + frame[4:],
            "a length over 1 MiB": (codec.MAX_FRAME + 1).to_bytes(4, "little") + frame[4:],
        }
        assert changes[how] != frame
        self.frame = changes[how]

    @staticmethod
    def _with_version(frame: bytes, version: int) -> bytes:
        # The data section follows the 4-byte length, the 8-byte segment table and the root pointer.
        return frame[:20] + version.to_bytes(2, "little") + frame[22:]

    @staticmethod
    def _with_kind(frame: bytes, kind: int) -> bytes:
        return frame[:22] + kind.to_bytes(2, "little") + frame[24:]

    def decode_frame(self) -> Envelope:
        frame_length(self.frame[:4])
        return decode(self.frame[4:])


@given("a sample of every message kind")
def _(context: Any) -> None:
    context.codec = CodecSubject()
    assert len(context.codec.samples) > 25


@when("each is encoded and decoded")
def _(context: Any) -> None:
    context.codec.decoded = [decode(encode(sample)[4:]) for sample in context.codec.samples]


@then("each equals what was encoded")
def _(context: Any) -> None:
    assert context.codec.decoded == context.codec.samples


@given("the frame of a heartbeat")
def _(context: Any) -> None:
    context.codec = CodecSubject()
    status = DataCentreStatus("suva-depot", 4, ServiceState.OUT)
    context.codec.frame = encode(Envelope(1, 0, Heartbeat(1, 2, 3, (status,))))


@when("the frame is damaged by {how}")
def _(context: Any, how: str) -> None:
    context.codec.damage(how)


@then("decoding it raises a codec error")
def _(context: Any) -> None:
    try:
        context.codec.decode_frame()
    except CodecError:
        return
    raise AssertionError("the damaged frame was accepted")


@when("{count:d} random payloads from seed {seed:d} are decoded")
def _(context: Any, count: int, seed: int) -> None:
    rng = random.Random(seed)
    subject = context.codec = CodecSubject()
    frames = [encode(sample)[4:] for sample in subject.samples]
    for _number in range(count):
        payload = bytearray(rng.choice(frames))
        for _change in range(rng.randint(1, 6)):
            payload[rng.randrange(len(payload))] = rng.randrange(256)
        try:
            subject.decoded.append(decode(bytes(payload)))
        except CodecError:
            subject.errors += 1


@then("each gives a message or a codec error")
def _(context: Any) -> None:
    assert context.codec.errors > 0
    assert context.codec.decoded


@when("a body of 2 MiB is encoded")
def _(context: Any) -> None:
    context.raised = None
    try:
        encode(Envelope(1, 0, RequestBody("r", 0, bytes(2 << 20), True, 2 << 20)))
    except CodecError as exc:
        context.raised = exc


@then("encoding it raises a codec error")
def _(context: Any) -> None:
    assert context.raised is not None
