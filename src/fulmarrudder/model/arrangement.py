"""The arrangement of routes and services that operators publish."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A named group of interchangeable targets.

    Attributes:
        name: Unique name.
        target_versions: Every target version that may receive traffic.
        initial: Target version that receives all traffic when the service is
            first published.
    """

    name: str
    target_versions: tuple[str, ...]
    initial: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """A service that receives a weighted part of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other services of the split.
    """

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits on the requests of callers.

    Attributes:
        header_bytes: Maximum size of a request's head, in bytes.
        body_bytes: Maximum size of a request's body, in bytes.
        header_ms: Timeout for receiving a request's head, in milliseconds.
        idle_ms: Timeout of an idle connection, in milliseconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1 << 40
    header_ms: int = 10_000
    idle_ms: int = 60_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Maps matching requests to a service.

    Attributes:
        name: Unique name.
        host: Host that must match, or empty for any.
        prefix: Path prefix that must match.
        service: Name of the service that answers.
        idempotent: Whether every method on the route is safe to repeat.
        by_method: Whether methods that are idempotent by definition are safe
            to repeat although the route is not.
        timeout_ms: Time allowed for a request, in milliseconds.
        callers: Services whose nodes serve the route; empty for all nodes.
        split: Services among which requests are split by weight; empty when
            `service` receives them all.
        rank: Priority of the requests; 0 is the most urgent.
        latency_objective_ms: Latency objective, in milliseconds; 0 for none.
        attempts: Maximum number of targets that one request is sent to.
    """

    name: str
    host: str
    prefix: str
    service: str
    idempotent: bool = False
    by_method: bool = True
    timeout_ms: int = 10_000
    callers: tuple[str, ...] = ()
    split: tuple[WeightedService, ...] = ()
    rank: int = 0
    latency_objective_ms: int = dataclasses.field(
        default=0, metadata={"alias": "aim_ms"}
    )
    attempts: int = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrangement:
    """Content of one configuration version: services, routes and limits.

    Attributes:
        services: All services.
        routes: All routes.
        limits: Limits on the requests of callers.
    """

    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    limits: Limits = Limits()
