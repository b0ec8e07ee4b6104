"""Base class of the messages between apricotpath processes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Message:
    """Base class of all message bodies."""
