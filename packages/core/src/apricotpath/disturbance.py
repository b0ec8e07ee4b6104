"""Online estimates of how much filler tasks slow down serving tasks, by their two images."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import log
from typing import Any

from apricotpath.errors import InputError
from apricotpath.jsonfields import parse_object, read_object, to_number
from apricotpath.jsontext import json_bytes

# Initial estimate for an image of serving tasks: logarithm of the ratio of tail latency to target
# without filler tasks.
INITIAL_BASE = -0.8
# Initial estimate for a pair of images: rise of that logarithm when the filler tasks use all
# processors of a host.
INITIAL_PRESSURE = 2.0
MAX_PRESSURE = 16.0
# Pairs with a lower pressure count as low-impact; INITIAL_PRESSURE is above it, so that pairs
# without measurements do not.
LOW_IMPACT_PRESSURE = 1.2
# Learning rates. That of a pair begins at FIRST_RATE and falls with the number of measurements.
BASE_RATE = 0.01
FIRST_RATE = 0.5
PRESSURE_RATE = 0.1
# Measurements after which the rate of a pair is PRESSURE_RATE.
SETTLED_MEASUREMENTS = 8
# Regularisation: measurements beside few filler tasks hardly change the estimates.
MIN_EXPOSURE = 0.02
MIN_RATIO = 0.05
MAX_ERROR = 2.0
# Bounds memory, since callers choose image names; further images and pairs keep the initial
# estimates.
MAX_IMAGES = 256
MAX_PAIRS = 1024


@dataclass(frozen=True, slots=True)
class ImagePair:
    """An image of filler tasks, and one of serving tasks beside them."""

    filler: str
    serving: str


@dataclass(slots=True)
class _Pressure:
    """Estimated pressure of a pair, and the number of measurements that it rests on."""

    value: float = INITIAL_PRESSURE
    measurements: int = 0

    @property
    def rate(self) -> float:
        """Learning rate of the next measurement."""
        settled = min(1.0, self.measurements / SETTLED_MEASUREMENTS)
        return FIRST_RATE + settled * (PRESSURE_RATE - FIRST_RATE)


@dataclass(frozen=True, slots=True)
class Pressures:
    """Estimated pressures of the measured pairs at one moment, by filler and serving image."""

    by_filler: Mapping[str, Mapping[str, float]] = field(default_factory=dict)

    def highest(self, filler: str, serving: Iterable[str]) -> float:
        """Return the highest pressure of an image of filler tasks on images of serving tasks.

        Without serving tasks it is the initial estimate: it is not known which ones will come.
        """
        row = self.by_filler.get(filler, {})
        return _highest(row.get(image, INITIAL_PRESSURE) for image in serving)


class Disturbance:
    """Estimates per pair of images from the measurements of all hosts.

    Model: the logarithm of a serving task's ratio of tail latency to target is
    a base of its image plus, for each image of filler tasks on the host, the
    pressure of the pair times the share of the processors that they use. Each
    measurement corrects the estimates by a step (normalised least mean
    squares), so they follow when images change. The pressure belongs to the
    pair, since tasks that need the same resource (cache, memory bandwidth,
    disk) disturb each other, and others hardly do.
    """

    def __init__(self) -> None:
        self._bases: dict[str, float] = {}
        self._pressures: dict[ImagePair, _Pressure] = {}

    def observe(self, serving: Iterable[tuple[str, float]], shares: Mapping[str, float]) -> None:
        """Update the estimates with a measurement of one host.

        `serving` has the image and the latency ratio of each serving task;
        `shares` has the share of processors that filler tasks use, by image.
        """
        # Tasks that stand still tell nothing.
        shares = {image: share for image, share in shares.items() if share > 0}
        errors: defaultdict[str, list[float]] = defaultdict(list)
        for image, ratio in serving:
            base = self._bases.get(image, INITIAL_BASE)
            expected = sum(
                self.pair_pressure(ImagePair(filler, image)) * share
                for filler, share in shares.items()
            )
            error = log(max(MIN_RATIO, ratio)) - base - expected
            error = max(-MAX_ERROR, min(MAX_ERROR, error))
            errors[image].append(error)
            if image in self._bases or len(self._bases) < MAX_IMAGES:
                self._bases[image] = base + BASE_RATE * error
        exposure = MIN_EXPOSURE + sum(share * share for share in shares.values())
        for image, found in errors.items():
            mean_error = sum(found) / len(found)
            for filler, share in shares.items():
                self._correct(ImagePair(filler, image), mean_error * share / exposure)

    def _correct(self, pair: ImagePair, change: float) -> None:
        """Correct the pressure of a pair; `change` is what would explain the whole error."""
        pressure = self._pressures.get(pair)
        if pressure is None:
            if len(self._pressures) >= MAX_PAIRS:
                return
            pressure = self._pressures[pair] = _Pressure()
        updated = pressure.value + pressure.rate * change
        pressure.value = max(0.0, min(MAX_PRESSURE, updated))
        pressure.measurements += 1

    def encode(self) -> bytes:
        """Return the estimates in the form that `restore` reads."""
        bases = {image: round(value, 4) for image, value in self._bases.items()}
        pressures = {
            filler: {image: round(value, 4) for image, value in row.items()}
            for filler, row in self.pressures().by_filler.items()
        }
        return json_bytes({"bases": bases, "pressures": pressures})

    def restore(self, value: bytes) -> None:
        """Take over the estimates of an earlier scheduler.

        Raises InputError, and keeps all estimates, if they are malformed.
        Estimates that have been made meanwhile are replaced.
        """
        content = parse_object(value, "the estimates")
        bases = _parse_bases(read_object(content, "bases"))
        pressures = _parse_pressures(read_object(content, "pressures"))
        self._bases = bases
        self._pressures = pressures

    def pair_pressure(self, pair: ImagePair) -> float:
        """Return the estimated pressure of a pair."""
        found = self._pressures.get(pair)
        return INITIAL_PRESSURE if found is None else found.value

    def highest(self, filler: str, serving: Iterable[str]) -> float:
        """Return the highest pressure of a filler image on serving ones, as `Pressures` does."""
        return _highest(self.pair_pressure(ImagePair(filler, image)) for image in serving)

    def heaviest(self, count: int) -> dict[str, float]:
        """Return the highest pressures of measured pairs, for logs."""
        pairs = sorted(self._pressures.items(), key=lambda item: -item[1].value)[:count]
        return {f"{pair.filler} on {pair.serving}": round(row.value, 2) for pair, row in pairs}

    def pressures(self) -> Pressures:
        """Return the present pressures of all measured pairs."""
        rows: dict[str, dict[str, float]] = {}
        for pair, pressure in self._pressures.items():
            rows.setdefault(pair.filler, {})[pair.serving] = pressure.value
        return Pressures(rows)


def _parse_bases(rows: dict[str, Any]) -> dict[str, float]:
    if len(rows) > MAX_IMAGES:
        raise InputError(f"there are estimates of more than {MAX_IMAGES} images")
    return {
        image: to_number(value, image, -MAX_PRESSURE, MAX_PRESSURE) for image, value in rows.items()
    }


def _parse_pressures(rows: dict[str, Any]) -> dict[ImagePair, _Pressure]:
    pressures = {
        ImagePair(filler, serving): _Pressure(
            to_number(value, serving, 0.0, MAX_PRESSURE), SETTLED_MEASUREMENTS
        )
        for filler in rows
        for serving, value in read_object(rows, filler).items()
    }
    if len(pressures) > MAX_PAIRS:
        raise InputError(f"there are estimates of more than {MAX_PAIRS} pairs of images")
    return pressures


def _highest(pressures: Iterable[float]) -> float:
    """Return the highest pressure, or the initial estimate without any."""
    return max(pressures, default=INITIAL_PRESSURE)
