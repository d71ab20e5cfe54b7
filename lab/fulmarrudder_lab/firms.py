"""The two firms that the lab models, with their services."""

import dataclasses

MESH_TOKEN = "mesh-token-for-the-lab-only"
OPERATOR_TOKEN = "operator-token-for-the-lab"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSpec:
    """A service of a firm.

    Attributes:
        prefix: Path prefix of its main route.
        targets: Targets in all data centres together.
        slots: Slots of each target.
        connections: Connections that each target accepts.
        writes: Prefixes of routes that are not idempotent.
        timeout_ms: Time allowed for a request.
    """

    name: str
    prefix: str
    targets: int
    slots: int
    connections: int
    writes: tuple[str, ...] = ()
    timeout_ms: int = 10_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Firm:
    """A firm with its data centres and services."""

    name: str
    host: str
    data_centres: tuple[str, ...]
    services: tuple[ServiceSpec, ...]


ESFERA = Firm(
    name="esfera",
    host="esfera.example",
    data_centres=("lima-1", "lima-2", "lima-3", "lima-4"),
    services=(
        ServiceSpec(
            name="vitrina", prefix="/", targets=4, slots=6, connections=110
        ),
        ServiceSpec(
            name="caja",
            prefix="/quotes",
            targets=4,
            slots=6,
            connections=110,
            writes=("/deposits",),
        ),
        ServiceSpec(
            name="archivo-macro",
            prefix="/photos",
            targets=4,
            slots=6,
            connections=110,
            timeout_ms=600_000,
        ),
    ),
)
POZARNIK = Firm(
    name="pozarnik",
    host="pozarnik.example",
    data_centres=("celje-1", "celje-2", "celje-3"),
    services=(
        ServiceSpec(
            name="tecaji", prefix="/", targets=6, slots=18, connections=130
        ),
        ServiceSpec(
            name="potrdila",
            prefix="/records",
            targets=4,
            slots=18,
            connections=130,
            writes=("/certificates",),
        ),
        ServiceSpec(
            name="vaje",
            prefix="/drills",
            targets=3,
            slots=18,
            connections=130,
            timeout_ms=600_000,
        ),
    ),
)


def arrangement_document(
    firm: Firm, versions: tuple[str, ...] = ("1", "2")
) -> dict:
    """Returns a firm's arrangement as a document to publish.

    Args:
        firm: The firm.
        versions: Target versions of every service; the first is initial.
    """
    services = []
    routes = []
    for service in firm.services:
        services.append(
            {
                "name": service.name,
                "target_versions": list(versions),
                "initial": versions[0],
            }
        )
        routes.append(
            {
                "name": f"{service.name}-reads",
                "host": firm.host,
                "prefix": service.prefix,
                "service": service.name,
                "timeout_ms": service.timeout_ms,
            }
        )
        for prefix in service.writes:
            routes.append(
                {
                    "name": f"{service.name}{prefix.replace('/', '-')}",
                    "host": firm.host,
                    "prefix": prefix,
                    "service": service.name,
                    "timeout_ms": service.timeout_ms,
                }
            )
    return {"services": services, "routes": routes}
