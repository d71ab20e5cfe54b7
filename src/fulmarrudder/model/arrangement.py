"""The arrangement of routes and services that operators publish."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A named group of interchangeable targets.

    Attributes:
        name: Unique name.
        target_versions: Every target version that may receive traffic.
        initial: The target version that is current when the service is new.
    """

    name: str
    target_versions: tuple[str, ...]
    initial: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A rule from a request to a service.

    Attributes:
        name: Unique name.
        host: Host that must match, or empty for any.
        prefix: Path prefix that must match.
        service: Name of the service that answers.
        idempotent: Whether every method on the route is safe to repeat.
        timeout_ms: Time allowed for a request, in milliseconds.
        callers: Services whose nodes carry the route; empty for all nodes.
    """

    name: str
    host: str
    prefix: str
    service: str
    idempotent: bool = False
    timeout_ms: int = 10_000
    callers: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrangement:
    """One operator's configuration version, as a whole.

    Attributes:
        services: All services.
        routes: All routes.
    """

    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
