"""Long computations in steps, between which other tasks may run; not the steps of a job."""

from collections.abc import Generator
from time import perf_counter
from typing import TypeVar

import anyio

from apricotpath.errors import ApricotpathError

# Work goes on for this long (seconds) before other tasks run; a single step adds to it.
SLICE_S = 0.001

T = TypeVar("T")
# Yields after each step, and returns the result.
Steps = Generator[None, None, T]


class TookTooLong(ApricotpathError):
    """A computation in steps has not ended within its time limit."""


def finish(steps: Steps[T]) -> T:
    """Do all steps at once, and return the result."""
    result: list[T] = []
    while not result:
        do_step(steps, result)
    return result[0]


def do_step(steps: Steps[T], result: list[T]) -> None:
    """Do one step; if it was the last one, append the result to `result`."""
    try:
        next(steps)
    except StopIteration as exc:
        result.append(exc.value)


async def finish_in_slices(steps: Steps[T], share: float, limit_s: float) -> T:
    """Do steps in slices that take at most a `share` of the event loop's time; return the result.

    Raises TookTooLong after `limit_s` seconds.
    """
    try:
        with anyio.fail_after(limit_s):
            while True:
                began, result = perf_counter(), list[T]()
                while not result and perf_counter() - began < SLICE_S:
                    do_step(steps, result)
                took_s = perf_counter() - began
                await anyio.sleep(took_s / share - took_s)
                if result:
                    return result[0]
    except TimeoutError as exc:
        raise TookTooLong(f"not done within {limit_s:g} s") from exc
    finally:
        steps.close()
