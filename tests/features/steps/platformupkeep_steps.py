"""Steps about upkeep waves for platformpath.feature."""

from typing import Any

from behave import then, when


@when("the operator opens wave {wave:d} for all machines of platformpath, {most:d} at a time")
def open_wave(context: Any, wave: int, most: int) -> None:
    world = context.platform.world
    names = sorted(world.machines.model.executors)
    assert not world.machines.model.listed_at and not world.machines.pages
    body = {"wave": wave, "machines": names, "durationS": 20, "maxCount": most}
    world.write_as_operator(f"op/wave/{wave}", body)


@then("platformpath reports wave {wave:d} as completed within {seconds:d} seconds")
def wave_completed(context: Any, wave: int, seconds: int) -> None:
    world = context.platform.world
    key = f"status/wave/{wave}"
    world.wait(lambda: b"completed" in getattr(world.shared.items.get(key), "value", b""), seconds)


@then("each machine of platformpath had one upkeep, ordered by the scheduler with its epoch")
def one_upkeep_each(context: Any) -> None:
    platform = context.platform
    model = platform.world.machines.model
    assert set(model.upkeeps.values()) == {1}, model.upkeeps
    assert len(model.upkeeps) == len(model.executors) and model.most_down[1] == 1
    epoch = platform.world.status(platform.scheduler(), "/debug").json()["epoch"]
    last = model.orders[-1]
    assert (last.holder, last.token) == (platform.scheduler(), epoch), model.orders
    assert not model.violations(), model.violations()
