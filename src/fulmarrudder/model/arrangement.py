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
class WeightedService:
    """A service's part of a route whose requests are split.

    Attributes:
        service: Name of the service.
        weight: Its part, in relation to the other parts' weights.
    """

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """What callers may send, and how long they may take.

    Attributes:
        header_bytes: Bytes of a request's head.
        body_bytes: Bytes of a request's body.
        header_ms: Time for a request's head, in milliseconds.
        idle_ms: Time that a connection may stay idle, in milliseconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1 << 40
    header_ms: int = 10_000
    idle_ms: int = 60_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A rule from a request to a service.

    Attributes:
        name: Unique name.
        host: Host that must match, or empty for any.
        prefix: Path prefix that must match.
        service: Name of the service that answers.
        idempotent: Whether every method on the route is safe to repeat.
        by_method: Whether methods that are idempotent by definition are safe
            to repeat although the route is not.
        timeout_ms: Time allowed for a request, in milliseconds.
        callers: Services whose nodes carry the route; empty for all nodes.
        split: Parts among which requests are split; empty when `service`
            takes them all.
        rank: Urgency; 0 is the most urgent.
        latency_objective_ms: Latency that callers hope for, in milliseconds; 0 for none.
        attempts: Targets that one request may be handed to.
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
    """One operator's configuration version, as a whole.

    Attributes:
        services: All services.
        routes: All routes.
        limits: What callers may send.
    """

    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    limits: Limits = Limits()
