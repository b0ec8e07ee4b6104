"""The operators' bundle of rules: parsing, validation and comparison."""

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass, field, fields, is_dataclass
from enum import Enum
from pathlib import Path
from typing import Any
from zoneinfo import ZoneInfo

from apricotpath.config import build, parse_json
from apricotpath.errors import BundleError, SettingsError, SignatureError
from apricotpath.hours import MINUTES_PER_DAY, WeeklyPeriod
from apricotpath.ids import ClassId, DataCentreId, KeyId, ServiceId, TeamId
from apricotpath.model import Size
from apricotpath.signing import key_id

# The signed envelope with its base64 payload must fit into one store value and one frame.
MAX_BUNDLE_BYTES = 512 << 10
ANY = "*"
MAX_DEADLINE_S = 3600.0
MAX_QUEUE = 100_000
MAX_PRIORITY = 100
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z")
_CLOCK = re.compile(r"([01][0-9]|2[0-4]):([0-5][0-9])\Z")


class Day(Enum):
    """Weekday on which a quiet period begins."""

    MON = "mon"
    TUE = "tue"
    WED = "wed"
    THU = "thu"
    FRI = "fri"
    SAT = "sat"
    SUN = "sun"


_WEEKDAYS = {day: number for number, day in enumerate(Day)}


@dataclass(frozen=True, slots=True)
class DataCentre:
    """A data centre; if `in_service` is false, it is out of service whatever its status is."""

    zone: str
    in_service: bool = True


@dataclass(frozen=True, slots=True)
class QuietHours:
    """Hours in which activities are forbidden; `start` and `end` are HH:MM local time.

    An end before the start is on the next day. `*` stands for all data
    centres or all activities.
    """

    datacentres: tuple[DataCentreId, ...]
    activities: tuple[str, ...]
    zone: str
    days: tuple[Day, ...]
    start: str = field(metadata={"name": "from"})
    end: str = field(metadata={"name": "to"})

    def applies(self, activity: str, dc: DataCentreId) -> bool:
        """Tell whether the rule applies to an activity in a data centre."""
        return _matches(activity, self.activities) and _matches(dc, self.datacentres)

    def period(self) -> WeeklyPeriod:
        """Return the weekly period of the rule."""
        days = frozenset(_WEEKDAYS[day] for day in self.days)
        return WeeklyPeriod(self.zone, days, clock_minute(self.start), clock_minute(self.end))


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class; priority 0 is the highest, `queue` is a number of requests."""

    priority: int
    idempotent: bool
    deadline_s: float
    queue: int


@dataclass(frozen=True, slots=True)
class Service:
    """A service; `claim` is what each of its backend servers reserves on its host."""

    claim: Size
    classes: dict[ClassId, RequestClass]


@dataclass(frozen=True, slots=True)
class Team:
    """A team's share of contended hosts, its quota and its request rate."""

    share: float
    quota: Size
    rate_per_s: float


@dataclass(frozen=True, slots=True)
class PlacementRule:
    """Work of these teams and activities may run only in these data centres.

    An empty list of teams or activities means all of them; not both may be empty.
    """

    datacentres: tuple[DataCentreId, ...]
    teams: tuple[TeamId, ...] = ()
    activities: tuple[str, ...] = ()

    def applies(self, team: TeamId, activity: str) -> bool:
        """Tell whether the rule applies to an activity of a team."""
        return (not self.teams or team in self.teams) and (
            not self.activities or activity in self.activities
        )


@dataclass(frozen=True, slots=True)
class Bundle:
    """One version of the operators' rules."""

    version: int
    region: str
    datacentres: dict[DataCentreId, DataCentre]
    services: dict[ServiceId, Service]
    teams: dict[TeamId, Team]
    quiet_hours: tuple[QuietHours, ...] = ()
    placement: tuple[PlacementRule, ...] = ()
    revoked_keys: tuple[KeyId, ...] = ()
    trusted_keys: tuple[str, ...] = ()


def load_bundle(path: Path) -> Bundle:
    """Load a bundle from a file; a BundleError names the file, the path in it and the rule."""
    try:
        data = path.read_bytes()
    except OSError as exc:
        raise BundleError(f"{path}: cannot be read: {exc.strerror}") from exc
    return parse_bundle(data, str(path))


def parse_bundle(data: bytes, name: str = "bundle") -> Bundle:
    """Parse and validate a bundle in JSON with comments; raises BundleError."""
    if len(data) > MAX_BUNDLE_BYTES:
        raise BundleError(f"{name}: is larger than {MAX_BUNDLE_BYTES} bytes", rule="size")
    try:
        bundle = build(Bundle, parse_json(data.decode("utf-8"), name), name)
    except UnicodeDecodeError as exc:
        raise BundleError(f"{name}: is not UTF-8 text") from exc
    except SettingsError as exc:
        path, _, rule = str(exc).removeprefix(f"{name}: ").partition(": ")
        raise BundleError(str(exc), path if rule else "", rule or path) from exc
    for path, rule in problems(bundle):
        raise BundleError(f"{name}: {path}: {rule}", path, rule)
    return bundle


def bundle_bytes(bundle: Bundle) -> bytes:
    """Return a bundle as compact JSON, which is what operators sign."""
    return json.dumps(to_json_value(bundle), separators=(",", ":"), ensure_ascii=False).encode()


def to_json_value(value: Any) -> Any:
    """Convert a bundle or a part of it to JSON values."""
    if isinstance(value, Enum):
        return value.value
    if is_dataclass(value) and not isinstance(value, type):
        return {
            item.metadata.get("name", item.name): to_json_value(getattr(value, item.name))
            for item in fields(value)
        }
    if isinstance(value, dict):
        return {key: to_json_value(item) for key, item in value.items()}
    if isinstance(value, tuple):
        return [to_json_value(item) for item in value]
    return value


def clock_minute(text: str) -> int:
    """Parse HH:MM to minutes since midnight; 24:00 is allowed. Raises ValueError."""
    found = _CLOCK.match(text)
    if found is None or int(found[1]) * 60 + int(found[2]) > MINUTES_PER_DAY:
        raise ValueError(text)
    return int(found[1]) * 60 + int(found[2])


def problems(bundle: Bundle) -> Iterator[tuple[str, str]]:
    """Yield (path, rule) for every violation in a bundle of the correct types."""
    if bundle.version < 1:
        yield "version", "must be at least 1"
    if not bundle.datacentres:
        yield "datacentres", "must name at least one data centre"
    for dc, item in bundle.datacentres.items():
        yield from _name_problems(f"datacentres.{dc}", dc)
        yield from _zone_problems(f"datacentres.{dc}.zone", item.zone)
    for number, quiet in enumerate(bundle.quiet_hours):
        yield from _quiet_problems(f"quiet_hours[{number}]", quiet, bundle)
    for service, rules in bundle.services.items():
        yield from _service_problems(f"services.{service}", service, rules)
    for team, row in bundle.teams.items():
        yield from _name_problems(f"teams.{team}", team)
        if row.share <= 0:
            yield f"teams.{team}.share", "must be above 0"
    for number, rule in enumerate(bundle.placement):
        yield from _placement_problems(f"placement[{number}]", rule, bundle)
    for number, text in enumerate(bundle.trusted_keys):
        try:
            key_id(text)
        except SignatureError as exc:
            yield f"trusted_keys[{number}]", str(exc)


def _quiet_problems(path: str, quiet: QuietHours, bundle: Bundle) -> Iterator[tuple[str, str]]:
    yield from _data_centre_problems(
        f"{path}.datacentres", quiet.datacentres, bundle, any_allowed=True
    )
    if not quiet.activities:
        yield f"{path}.activities", "must name at least one activity, or '*' for all"
    yield from _zone_problems(f"{path}.zone", quiet.zone)
    if not quiet.days:
        yield f"{path}.days", "must name at least one day"
    for name, text in (("from", quiet.start), ("to", quiet.end)):
        try:
            minute = clock_minute(text)
        except ValueError:
            yield f"{path}.{name}", "must be a time HH:MM from 00:00 to 24:00"
            return
        if name == "from" and minute == MINUTES_PER_DAY:
            yield f"{path}.from", "must be before 24:00"
            return
    if quiet.start == quiet.end:
        yield f"{path}.to", "must differ from 'from'; a whole day is 00:00 to 24:00"


def _service_problems(path: str, name: str, service: Service) -> Iterator[tuple[str, str]]:
    yield from _name_problems(path, name)
    if not service.classes:
        yield f"{path}.classes", "must name at least one class"
    for class_name, row in service.classes.items():
        where = f"{path}.classes.{class_name}"
        yield from _name_problems(where, class_name)
        if row.priority > MAX_PRIORITY:
            yield f"{where}.priority", f"must be from 0 to {MAX_PRIORITY}"
        if not 0 < row.deadline_s <= MAX_DEADLINE_S:
            yield f"{where}.deadline_s", f"must be above 0 and at most {MAX_DEADLINE_S:g}"
        if row.queue > MAX_QUEUE:
            yield f"{where}.queue", f"must be from 0 to {MAX_QUEUE}"


def _placement_problems(
    path: str, rule: PlacementRule, bundle: Bundle
) -> Iterator[tuple[str, str]]:
    yield from _data_centre_problems(
        f"{path}.datacentres", rule.datacentres, bundle, any_allowed=False
    )
    if not rule.teams and not rule.activities:
        yield path, "must name teams or activities"
    for team in rule.teams:
        if team not in bundle.teams:
            yield f"{path}.teams", f"team {team!r} is not in 'teams'"


def _data_centre_problems(
    path: str, names: tuple[DataCentreId, ...], bundle: Bundle, any_allowed: bool
) -> Iterator[tuple[str, str]]:
    if not names:
        yield path, "must name at least one data centre"
    for name in names:
        if name not in bundle.datacentres and not (any_allowed and name == ANY):
            yield path, f"data centre {name!r} is not in 'datacentres'"


def _name_problems(path: str, name: str) -> Iterator[tuple[str, str]]:
    if not _NAME.match(name):
        yield path, "must be a name of 1 to 63 letters, digits, '.', '_' or '-'"


def _zone_problems(path: str, name: str) -> Iterator[tuple[str, str]]:
    try:
        ZoneInfo(name)
    except (KeyError, ValueError, OSError):
        yield path, f"{name!r} is not a time zone"


def _matches(name: str, names: tuple[str, ...]) -> bool:
    return name in names or ANY in names


def diff(old: Bundle | None, new: Bundle) -> list[str]:
    """Return the differences of two bundles, one readable line per changed value."""
    before = _leaves(to_json_value(old), "") if old is not None else {}
    after = _leaves(to_json_value(new), "")
    lines = []
    for path in sorted(before.keys() | after.keys()):
        if path not in before:
            lines.append(f"+ {path}: {after[path]}")
        elif path not in after:
            lines.append(f"- {path}: {before[path]}")
        elif before[path] != after[path]:
            lines.append(f"~ {path}: {before[path]} -> {after[path]}")
    return lines


def _leaves(value: Any, path: str) -> dict[str, str]:
    if isinstance(value, dict):
        items = ((f"{path}.{key}" if path else key, item) for key, item in value.items())
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        items = ((f"{path}[{number}]", item) for number, item in enumerate(value))
    else:
        return {path: json.dumps(value, ensure_ascii=False)}
    found: dict[str, str] = {}
    for where, item in items:
        found.update(_leaves(item, where))
    return found
