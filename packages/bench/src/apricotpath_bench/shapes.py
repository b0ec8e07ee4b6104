"""Shapes of deployments: data centres, hosts, services and teams."""

from dataclasses import dataclass, field
from typing import Any

MB_PER_GB = 1024


@dataclass(frozen=True, slots=True)
class ClassShape:
    """A request class; `share` is its fraction of all arrivals."""

    name: str
    priority: int
    idempotent: bool
    deadline_ms: int
    work_ms: float
    share: float


@dataclass(frozen=True, slots=True)
class Shape:
    """Size and configuration of a deployment, for the local launcher and the load tool.

    Delays are one-way, in milliseconds.
    """

    name: str
    region: str
    time_zone: str
    data_centres: tuple[str, ...]
    service: str
    hosts: int
    cores: int
    memory_gb: int
    classes: tuple[ClassShape, ...]
    teams: tuple[str, ...]
    activities: tuple[str, ...]
    entries: int = 3
    slots: int = 8
    connections: int = 64
    hosts_per_rack: int = 3
    dc_delay_ms: float = 0.0
    client_delay_ms: float = 0.0
    quiet_hours: tuple[dict[str, Any], ...] = field(default=())

    def data_centre_of(self, host: int) -> str:
        """Return the data centre of a host, by its index; a rack is in one data centre."""
        return self.data_centres[host // self.hosts_per_rack % len(self.data_centres)]

    def rack_of(self, host: int) -> str:
        """Return the rack of a host, by its index."""
        return f"rack-{host // self.hosts_per_rack}"


SUVA = Shape(
    name="suva",
    region="viti-levu",
    time_zone="Pacific/Fiji",
    data_centres=("suva-depot", "nasinu-depot", "compost-yard"),
    service="scraps",
    hosts=11,
    cores=16,
    memory_gb=60,
    classes=(
        ClassShape("booking", 0, False, 3000, 20.0, 0.5),
        ClassShape("round-plan", 1, True, 10000, 60.0, 0.2),
        ClassShape("intake", 2, True, 10000, 15.0, 0.3),
    ),
    teams=("depot-suva", "depot-nasinu", "compost"),
    activities=("round-planning", "shredding", "reporting"),
    dc_delay_ms=1.0,
    client_delay_ms=3.0,
    quiet_hours=(
        {
            "datacentres": ["compost-yard"],
            "activities": ["shredding"],
            "zone": "Pacific/Fiji",
            "days": ["mon", "tue", "wed", "thu", "fri", "sat", "sun"],
            "from": "21:00",
            "to": "06:00",
        },
    ),
)

ASANTE = Shape(
    name="asante",
    region="ashanti",
    time_zone="Africa/Accra",
    data_centres=("kumasi", "ejisu", "obuasi", "mampong"),
    service="order-desk",
    hosts=11,
    cores=64,
    memory_gb=250,
    classes=(
        ClassShape("price-check", 0, True, 1000, 8.0, 0.5),
        ClassShape("order", 0, False, 3000, 25.0, 0.15),
        ClassShape("carving-plan", 1, True, 10000, 60.0, 0.15),
        ClassShape("stock-count", 2, True, 10000, 20.0, 0.2),
    ),
    teams=("traders", "carvers", "workshops"),
    activities=("carving-plans", "stock-counts", "sanding"),
    dc_delay_ms=0.5,
    client_delay_ms=1.0,
    quiet_hours=(
        {
            "datacentres": ["mampong"],
            "activities": ["sanding"],
            "zone": "Africa/Accra",
            "days": ["mon", "tue", "wed", "thu", "fri", "sat", "sun"],
            "from": "20:00",
            "to": "06:00",
        },
    ),
)

SMALL = Shape(
    name="small",
    region="viti-levu",
    time_zone="Pacific/Fiji",
    data_centres=("suva-depot", "nasinu-depot"),
    service="scraps",
    hosts=3,
    cores=8,
    memory_gb=16,
    classes=SUVA.classes,
    teams=SUVA.teams,
    activities=SUVA.activities,
    entries=2,
    hosts_per_rack=2,
)

SHAPES = {shape.name: shape for shape in (SMALL, SUVA, ASANTE)}


def bundle_of(shape: Shape, version: int = 1) -> dict[str, Any]:
    """Return a bundle for a shape; each backend server's claim is a quarter of its host."""
    claim = {
        "cpu_milli": shape.cores * 250,
        "memory_mb": shape.memory_gb * MB_PER_GB // 4,
        "accelerators": 0,
    }
    quota = {
        "cpu_milli": shape.hosts * shape.cores * 1000,
        "memory_mb": shape.hosts * shape.memory_gb * MB_PER_GB,
        "accelerators": 0,
    }
    classes = {
        cls.name: {
            "priority": cls.priority,
            "idempotent": cls.idempotent,
            "deadline_s": cls.deadline_ms / 1000,
            "queue": 256,
        }
        for cls in shape.classes
    }
    return {
        "version": version,
        "region": shape.region,
        "datacentres": {
            name: {"zone": shape.time_zone, "in_service": True} for name in shape.data_centres
        },
        "services": {shape.service: {"claim": claim, "classes": classes}},
        "teams": {
            name: {"share": 1.0, "quota": quota, "rate_per_s": 1000.0} for name in shape.teams
        },
        "quiet_hours": list(shape.quiet_hours),
        "placement": [],
        "revoked_keys": [],
    }
