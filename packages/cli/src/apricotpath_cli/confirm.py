"""Waiting until a change is in force."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from apricotpath_cli.client import Answer, Client
from apricotpath_cli.output import Progress

EXIT_DONE = 0
EXIT_NOT_YET = 3
POLL_S = 0.25

# Tells from an entry's status whether the change is in force as far as it knows.
InForce = Callable[[dict[str, Any]], bool]
# Looks at each poll's answers, for example to send a change to an entry that lacks it.
Review = Callable[[list[Answer]], Awaitable[None]]


async def wait_in_force(
    client: Client, what: str, in_force: InForce, wait_s: float, review: Review | None = None
) -> int:
    """Poll the entries until every one that answers, and at least one, reports it.

    An entry judges this for the whole deployment, so one that cannot be
    reached from here does not hold the result up.
    """
    progress = Progress()
    with anyio.move_on_after(wait_s):
        while True:
            answers = await client.all("GET", "/v1/status")
            heard = [answer for answer in answers if answer.error is None]
            ready = [answer for answer in heard if _holds(in_force, answer)]
            progress.show(f"{what}: in force at {len(ready)} of {len(answers)} entries")
            if heard and len(ready) == len(heard):
                progress.done()
                print(f"{what}: in force")
                return EXIT_DONE
            if review is not None:
                await review(answers)
            await anyio.sleep(POLL_S)
    progress.done()
    print(f"{what}: accepted, not yet in force")
    return EXIT_NOT_YET


def _holds(in_force: InForce, answer: Answer) -> bool:
    try:
        return in_force(answer.value)
    except (KeyError, TypeError, AttributeError):
        return False
