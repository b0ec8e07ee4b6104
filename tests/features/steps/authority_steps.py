"""Steps for authority.feature, beside those for worlds of replacements."""

from typing import Any

import anyio
from behave import when
from replacements_steps import SAMPLE_S, Replacements, scenario

from support.jobworld import EntryNode


def leader_of(run: Replacements) -> EntryNode:
    """Return the entry that schedules."""
    leader = run.world.leader()
    assert leader is not None
    return leader


@when(
    "authority's scheduler and a host are cut off, and pages take its successor {seconds:d} seconds"
)
def load_slowly(context: Any, seconds: int) -> None:
    async def act(run: Replacements) -> None:
        former = leader_of(run)
        run.cut_off(former)
        for node in run.world.entries.values():
            node.store.faults.page_s = seconds
        with anyio.fail_after(30):
            while all(
                node is former or not has_loaded(node) for node in run.world.entries.values()
            ):
                await anyio.sleep(SAMPLE_S)

    scenario(context).background.append(act)


def has_loaded(node: EntryNode) -> bool:
    """Tell whether an entry schedules."""
    scheduler = node.jobs.scheduler
    return scheduler is not None and scheduler.loaded.is_set()
