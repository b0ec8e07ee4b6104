"""Settings of both roles: dataclasses, and loading and validation of JSON with comments."""

import json
import types
from dataclasses import MISSING, dataclass, field, fields, is_dataclass
from enum import Enum
from pathlib import Path
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

import json5

from apricotpath.errors import SettingsError
from apricotpath.ids import (
    BackendId,
    DataCentreId,
    EntryId,
    HostId,
    ProcessId,
    RackId,
    ServiceId,
)
from apricotpath.model import Size

T = TypeVar("T")

MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Address:
    """A TCP address: an IP address and a port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """PEM files for mutual TLS between processes; all three are required."""

    certificate: Path
    private_key: Path
    authority: Path


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Timing and limits of connections between processes; times in seconds.

    With `heartbeat_when_busy`, heartbeats are also sent while other messages
    keep the link alive; this is needed where the content of heartbeats is used.
    """

    heartbeat_s: float = 1.0
    heartbeat_when_busy: bool = True
    silence_s: float = 3.0
    dial_timeout_s: float = 2.0
    redial_min_s: float = 0.1
    redial_max_s: float = 2.0
    call_timeout_s: float = 5.0
    send_queue: int = 256
    tls: TlsSettings | None = None


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The platform's key-value service (etcd v3 JSON gateway)."""

    url: str
    timeout_s: float = 2.0
    prefix: str = "/apricotpath/"


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """Timing and policy of scheduling, see docs/design.md section 5; times in seconds."""

    fresh_s: float = 2.0
    start_window_s: float = 2.5
    task_lease_s: float = 30.0
    kill_grace_s: float = 2.0
    run_hold_s: float = 2 * 3600.0
    hours_margin_s: float = 5.0
    key_memory_s: float = 120.0
    founding_s: float = 3.0
    leave_grace_s: float = 2.0
    entry_lease_s: float = 10.0
    entry_renew_s: float = 3.0
    tick_s: float = 0.1
    shards: int = 16
    journal_interval_s: float = 0.2
    retry_share: float = 0.1
    guards: bool = True


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits on callers' requests and their responses; sizes in bytes, times in seconds."""

    request_body: int = 8 << 20
    response_body: int = 64 << 20
    header_bytes: int = 32 << 10
    connections: int = 2000
    queue: int = 512
    read_timeout_s: float = 10.0
    default_deadline_s: float = 10.0
    max_deadline_s: float = 120.0
    kept_answer: int = 256 << 10
    kept_answers_total: int = 16 << 20


@dataclass(frozen=True, slots=True)
class RequestSettings:
    """Routing and retry policy of an entry for callers' requests.

    `choices` backend servers are drawn at random and the least loaded is used;
    1 is random routing. `window` limits the outstanding requests of one entry
    at one backend server, as a multiple of its slots. Setting a switch to false
    gives the baseline behaviour that benchmarks compare with.
    """

    choices: int = 2
    window: float = 2.0
    ejection: bool = True
    priority_queues: bool = True
    retry_budget: bool = True
    max_tries: int = 3


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of `apricotpathd --role entry`."""

    entry: EntryId
    data_centre: DataCentreId
    links: Address
    callers: Address
    operators: Address
    store: StoreSettings
    trusted_keys: tuple[str, ...]
    advertise: Address | None = None
    drain_s: float = 2.0
    link: LinkSettings = field(default_factory=LinkSettings)
    policy: PolicySettings = field(default_factory=PolicySettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
    log_level: str = "INFO"
    trace: Path | None = None
    requests: RequestSettings = field(default_factory=RequestSettings)


@dataclass(frozen=True, slots=True)
class BackendSettings:
    """The backend server on an agent's host."""

    backend: BackendId
    service: ServiceId
    url: str
    slots: int = 8
    connections: int = 64


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of `apricotpathd --role agent`."""

    process: ProcessId
    host: HostId
    rack: RackId
    data_centre: DataCentreId
    size: Size
    worker_url: str
    entries: tuple[Address, ...]
    metrics: Address
    trusted_keys: tuple[str, ...]
    backend: BackendSettings | None = None
    link: LinkSettings = field(default_factory=LinkSettings)
    policy: PolicySettings = field(default_factory=PolicySettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
    log_level: str = "INFO"
    trace: Path | None = None


def load_json(path: Path) -> Any:
    """Parse a file of JSON with comments; raises SettingsError."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"{path}: cannot be read: {exc}") from exc
    return parse_json(text, str(path))


def parse_json(text: str, where: str) -> Any:
    """Parse a text of JSON with comments; raises SettingsError.

    Plain JSON is parsed with the standard library, which is faster.
    """
    try:
        return json.loads(text, object_pairs_hook=_unique_pairs)
    except (ValueError, RecursionError):
        pass
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except ValueError as exc:
        raise SettingsError(f"{where}: is not valid JSON with comments: {exc}") from exc
    except RecursionError as exc:
        raise SettingsError(f"{where}: is nested too deeply") from exc


def _unique_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) != len(pairs):
        raise ValueError("a key is repeated")
    return found


def load_settings(path: Path, cls: type[T]) -> T:
    """Load settings from a file; a SettingsError names the file and the path in it."""
    return build(cls, load_json(path), str(path))


def build(cls: type[T], value: Any, where: str) -> T:
    """Build an instance of the dataclass `cls` from JSON values, or raise SettingsError.

    `where` is the file and path of the value, for example `entry.json: links.port`.
    """
    if not isinstance(value, dict):
        raise SettingsError(f"{where}: must be an object")
    hints = get_type_hints(cls)
    # JSON names that are Python keywords, such as `from`, are in the field's metadata.
    fields_by_name = {item.metadata.get("name", item.name): item for item in fields(cls)}  # type: ignore[arg-type]
    for name in value:
        if name not in fields_by_name:
            raise SettingsError(f"{where}: unknown setting {name!r}")
    arguments = {}
    for name, item in fields_by_name.items():
        if name in value:
            arguments[item.name] = _convert(hints[item.name], value[name], _join(where, name))
        elif item.default is MISSING and item.default_factory is MISSING:
            raise SettingsError(f"{where}: setting {name!r} is missing")
    return cls(**arguments)


def _join(where: str, name: str) -> str:
    return f"{where}.{name}" if ": " in where else f"{where}: {name}"


def _convert(hint: Any, value: Any, where: str) -> Any:
    while hasattr(hint, "__supertype__"):
        hint = hint.__supertype__
    origin = get_origin(hint)
    if origin in (types.UnionType, Union):
        if value is None:
            return None
        return _convert(next(a for a in get_args(hint) if a is not type(None)), value, where)
    if origin is tuple:
        if not isinstance(value, list):
            raise SettingsError(f"{where}: must be a list")
        item = get_args(hint)[0]
        return tuple(_convert(item, v, f"{where}[{i}]") for i, v in enumerate(value))
    if origin is dict:
        if not isinstance(value, dict):
            raise SettingsError(f"{where}: must be an object")
        item = get_args(hint)[1]
        return {k: _convert(item, v, _join(where, k)) for k, v in value.items()}
    if is_dataclass(hint):
        return build(hint, value, where)  # type: ignore[arg-type]
    return _convert_scalar(hint, value, where)


def _convert_scalar(hint: Any, value: Any, where: str) -> Any:
    if isinstance(hint, type) and issubclass(hint, Enum):
        choices = [member.value for member in hint]
        if value not in choices:
            raise SettingsError(f"{where}: must be one of {', '.join(map(repr, choices))}")
        return hint(value)
    if hint is Path:
        if not isinstance(value, str) or not value:
            raise SettingsError(f"{where}: must be the path of a file")
        return Path(value)
    if hint is bool:
        if not isinstance(value, bool):
            raise SettingsError(f"{where}: must be true or false")
        return value
    if hint is str:
        if not isinstance(value, str) or not value:
            raise SettingsError(f"{where}: must be a text that is not empty")
        return value
    return _convert_number(hint, value, where)


# Larger numbers are mistakes and would overflow in computations of times.
MAX_NUMBER = 1 << 48


def _convert_number(hint: Any, value: Any, where: str) -> Any:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise SettingsError(f"{where}: must be a number")
    if hint is int and not isinstance(value, int):
        raise SettingsError(f"{where}: must be a whole number")
    if not 0 <= value <= MAX_NUMBER:
        raise SettingsError(f"{where}: {value} is outside 0 to {MAX_NUMBER}")
    if where.endswith(".port") and value > MAX_PORT:
        raise SettingsError(f"{where}: {value} is not a TCP port")
    return hint(value)
