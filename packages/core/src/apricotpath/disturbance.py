"""Online estimates of how much the filler tasks of each image slow down serving tasks."""

from collections.abc import Iterable, Mapping
from math import log
from typing import Any

from apricotpath.errors import InputError
from apricotpath.jsonfields import parse_object, read_object, to_number
from apricotpath.jsontext import json_bytes

# Initial estimate for an image of serving tasks: logarithm of the ratio of tail latency to target
# without filler tasks.
INITIAL_BASE = -0.8
# Initial estimate for an image of filler tasks: rise of that logarithm when they use all processors
# of a host.
INITIAL_PRESSURE = 2.0
MAX_PRESSURE = 8.0
# Images with a lower pressure count as low-impact; INITIAL_PRESSURE is above it, so that images
# without measurements do not.
LOW_IMPACT_PRESSURE = 1.2
# Learning rates; single measurements scatter by a factor of two.
BASE_RATE = 0.01
PRESSURE_RATE = 0.1
# Regularisation: measurements beside few filler tasks hardly change the estimates.
MIN_EXPOSURE = 0.05
MIN_RATIO = 0.05
MAX_ERROR = 2.0
# Bounds memory, since callers choose image names; further images keep the initial estimates.
MAX_IMAGES = 256


class Disturbance:
    """Estimates per image from the measurements of all hosts.

    Model: the logarithm of a serving task's ratio of tail latency to target is
    a base of its image plus, for each image of filler tasks on the host, the
    image's pressure times the share of the processors that they use. Each
    measurement corrects the estimates by a small step (normalised least mean
    squares), so they follow when images change.
    """

    def __init__(self) -> None:
        self._bases: dict[str, float] = {}
        self._pressures: dict[str, float] = {}

    def observe(self, serving: Iterable[tuple[str, float]], shares: Mapping[str, float]) -> None:
        """Update the estimates with a measurement of one host.

        `serving` has the image and the latency ratio of each serving task;
        `shares` has the share of processors that filler tasks use, by image.
        """
        expected = sum(self.pressure(image) * share for image, share in shares.items())
        errors = []
        for image, ratio in serving:
            base = self._bases.get(image, INITIAL_BASE)
            error = log(max(MIN_RATIO, ratio)) - base - expected
            errors.append(max(-MAX_ERROR, min(MAX_ERROR, error)))
            _set_estimate(self._bases, image, base + BASE_RATE * errors[-1])
        if not errors or not shares:
            return
        exposure = MIN_EXPOSURE + sum(share * share for share in shares.values())
        step = PRESSURE_RATE * sum(errors) / len(errors) / exposure
        for image, share in shares.items():
            updated = self.pressure(image) + step * share
            _set_estimate(self._pressures, image, max(0.0, min(MAX_PRESSURE, updated)))

    def encode(self) -> bytes:
        """Return the estimates in the form that `restore` reads."""
        return json_bytes({"bases": _rounded(self._bases), "pressures": _rounded(self._pressures)})

    def restore(self, value: bytes) -> None:
        """Take over the estimates of an earlier scheduler.

        Raises InputError, and keeps all estimates, if they are malformed.
        Estimates that have been made meanwhile are replaced.
        """
        content = parse_object(value, "the estimates")
        bases = _parse_estimates(read_object(content, "bases"), -MAX_PRESSURE)
        pressures = _parse_estimates(read_object(content, "pressures"), 0.0)
        self._bases = bases
        self._pressures = pressures

    def pressure(self, image: str) -> float:
        """Return the estimated pressure of an image."""
        return self._pressures.get(image, INITIAL_PRESSURE)

    def pressures(self) -> dict[str, float]:
        """Return the rounded pressures of all measured images, for logs."""
        return {image: round(value, 2) for image, value in self._pressures.items()}

    def low_impact_images(self) -> frozenset[str]:
        """Return the images with a low impact on serving tasks."""
        return frozenset(
            image for image, pressure in self._pressures.items() if pressure < LOW_IMPACT_PRESSURE
        )


def _set_estimate(estimates: dict[str, float], image: str, value: float) -> None:
    if image in estimates or len(estimates) < MAX_IMAGES:
        estimates[image] = value


def _rounded(estimates: Mapping[str, float]) -> dict[str, float]:
    return {image: round(value, 4) for image, value in estimates.items()}


def _parse_estimates(rows: dict[str, Any], low: float) -> dict[str, float]:
    if len(rows) > MAX_IMAGES:
        raise InputError(f"there are estimates of more than {MAX_IMAGES} images")
    return {image: to_number(value, image, low, MAX_PRESSURE) for image, value in rows.items()}
