"""Counts instructions of Python's virtual machine, which are the same in every run."""

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any


def count_instructions(action: Callable[[], None]) -> int:
    """Return how many instructions of Python's virtual machine an action takes."""
    count = 0

    def trace(frame: FrameType, event: str, _arg: Any) -> Any:
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    sys.settrace(trace)
    try:
        action()
    finally:
        sys.settrace(None)
    return count
