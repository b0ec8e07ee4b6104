"""Waiting until a change is in force."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from apricotpath_cli.client import Answer, Client
from apricotpath_cli.output import Progress

EXIT_DONE = 0
EXIT_NOT_YET = 3
POLL_S = 0.25

# Tells whether the status of an entry reports the change as in force.
InForce = Callable[[dict[str, Any]], bool]
# Called with the answers of each poll, for example to resend the change to an entry without it.
PollCallback = Callable[[list[Answer]], Awaitable[None]]


async def wait_in_force(
    client: Client,
    label: str,
    in_force: InForce,
    wait_s: float,
    on_poll: PollCallback | None = None,
) -> int:
    """Poll the entries until all that answer, and at least one, report the change as in force.

    Each entry reports for the whole deployment, so an entry that cannot be
    reached from here does not delay the result. Returns the exit code.
    """
    progress = Progress()
    with anyio.move_on_after(wait_s):
        while True:
            answers = await client.call_all("GET", "/v1/status")
            reachable = [answer for answer in answers if answer.error is None]
            ready = [answer for answer in reachable if _reports_in_force(in_force, answer)]
            progress.show(f"{label}: in force at {len(ready)} of {len(answers)} entries")
            if reachable and len(ready) == len(reachable):
                progress.done()
                print(f"{label}: in force")
                return EXIT_DONE
            if on_poll is not None:
                await on_poll(answers)
            await anyio.sleep(POLL_S)
    progress.done()
    print(f"{label}: accepted, not yet in force")
    return EXIT_NOT_YET


def _reports_in_force(in_force: InForce, answer: Answer) -> bool:
    try:
        return in_force(answer.value)
    except (KeyError, TypeError, AttributeError):
        return False
