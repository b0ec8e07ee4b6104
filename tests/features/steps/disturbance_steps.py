"""Steps for disturbance.feature."""

import json
import random
from math import exp
from typing import Any, cast

import anyio
from behave import given, then, when

from apricotpath.disturbance import LOW_IMPACT_PRESSURE, Disturbance
from apricotpath.learnedstate import LearnedState
from apricotpath.store import KeyValue, LeaseId

IMAGES = ("light", "medium", "heavy")
MEASUREMENTS_PER_S = 2.5
# Standard deviation of the logarithm of one measurement.
NOISE = 0.5


@given(
    "images of disturbance with pressures light {light:g}, medium {medium:g} and heavy {heavy:g}"
)
def create(context: Any, light: float, medium: float, heavy: float) -> None:
    context.disturbance = Disturbance()
    change(context, light, medium, heavy)


@when(
    "the images of disturbance have pressures light {light:g}, medium {medium:g} "
    "and heavy {heavy:g}"
)
def change(context: Any, light: float, medium: float, heavy: float) -> None:
    context.pressures = dict(zip(IMAGES, (light, medium, heavy), strict=True))


@when("disturbance gets {seconds:d} seconds of measurements of {hosts:d} hosts with seed {seed:d}")
def measure(context: Any, seconds: int, hosts: int, seed: int) -> None:
    rng = random.Random(seed)
    for _ in range(int(seconds * MEASUREMENTS_PER_S)):
        for _ in range(hosts):
            shares = {image: rng.uniform(0.05, 0.3) for image in IMAGES if rng.random() < 0.5}
            raised = sum(context.pressures[image] * share for image, share in shares.items())
            ratios = [0.45 * exp(raised + rng.gauss(0, NOISE)) for _ in range(4)]
            context.disturbance.observe([("serving", ratio) for ratio in ratios], shares)


@when("disturbance gets measurements of 0, of 1000000 and without filler tasks")
def extreme(context: Any) -> None:
    for ratio in (0.0, 1e6) * 200:
        context.disturbance.observe([("serving", ratio)], dict.fromkeys(IMAGES, 1.0))
        context.disturbance.observe([("serving", ratio)], {})
        context.disturbance.observe([], {"light": 0.5})


@when("disturbance gets measurements of {count:d} pairs of images")
def many(context: Any, count: int) -> None:
    context.disturbance = Disturbance()
    for number in range(count):
        context.disturbance.observe([(f"serving-{number}", 0.5)], {f"image-{number}": 0.5})


@then("disturbance keeps estimates of {pairs:d} pairs and {images:d} serving images")
def kept(context: Any, pairs: int, images: int) -> None:
    content = json.loads(context.disturbance.encode())
    assert sum(len(row) for row in content["pressures"].values()) == pairs
    assert len(content["bases"]) == images


@when(
    "image heavy slows {slowed:w} down by {pressure:g} and {other:w} not at all, on {hosts:d} hosts"
)
def slows_one(context: Any, slowed: str, pressure: float, other: str, hosts: int) -> None:
    context.slowed, context.other = slowed, other
    for _ in range(hosts):
        ratios = [(slowed, 0.45 * exp(pressure * 0.1)), (other, 0.45)]
        context.disturbance.observe(ratios, {"heavy": 0.1})


@then("disturbance tells the two apart, and expects the higher pressure where both serve")
def tells_apart(context: Any) -> None:
    slowed, other = context.slowed, context.other
    pressure = context.disturbance.pressures().highest
    assert pressure("heavy", [other]) < LOW_IMPACT_PRESSURE < 4 < pressure("heavy", [slowed])
    assert pressure("heavy", [other, slowed]) == pressure("heavy", [slowed])


@then("the only light image of disturbance is {image:w}")
def only_light(context: Any, image: str) -> None:
    assert low_impact_images(context) == {image}, estimated(context)


@then("disturbance ranks the images in the order {order}")
def ordered(context: Any, order: str) -> None:
    pressures = estimated(context)
    assert sorted(pressures, key=lambda image: pressures[image]) == order.split(", "), pressures


@then("the images of disturbance have equal pressures and none is light")
def equal_pressures(context: Any) -> None:
    assert len(set(estimated(context).values())) == 1 and not low_impact_images(context)


@then("all pressures of disturbance are between {least:d} and {most:d}")
def bounded(context: Any, least: int, most: int) -> None:
    assert all(least <= pressure <= most for pressure in estimated(context).values()), estimated(
        context
    )


def estimated(context: Any) -> dict[str, float]:
    """Return the estimated pressures of all images on the serving one."""
    return {image: context.disturbance.highest(image, ["serving"]) for image in IMAGES}


def low_impact_images(context: Any) -> set[str]:
    """Return the images with a low impact."""
    return {image for image, value in estimated(context).items() if value < LOW_IMPACT_PRESSURE}


class SavedValue:
    """A store with at most one value."""

    def __init__(self, value: bytes | None) -> None:
        self.value = value

    async def get(self, key: str) -> KeyValue | None:
        return KeyValue(key, self.value, 1, LeaseId(0)) if self.value is not None else None


def restore(context: Any, value: bytes | None) -> None:
    context.disturbance = Disturbance()
    learned = LearnedState(cast(Any, SavedValue(value)), "test/", context.disturbance, 0.0)
    anyio.run(learned.load)


@when("a new scheduler restores the saved estimates of disturbance")
def restore_saved(context: Any) -> None:
    restore(context, context.disturbance.encode())


@when("a new scheduler restores the estimates {form}")
def restore_form(context: Any, form: str) -> None:
    restore(context, None if form == "not there" else form.encode())


@then("the estimates of disturbance are saved at 4 s, and at 5 s and 9 s they are not")
def saved_at(context: Any) -> None:
    learned = LearnedState(cast(Any, SavedValue(None)), "test/", context.disturbance, 0.0)
    puts = [learned.due_put(now) for now in (4.0, 5.0, 9.0)]
    assert [put is not None for put in puts] == [True, False, False], puts
