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
        cold_start_ms: Time for which a target is cold after its start, in
            milliseconds.
        cold_per_s: Requests a second that a cold target takes from all nodes
            together; 0 for no limit.
    """

    name: str
    target_versions: tuple[str, ...]
    initial: str
    cold_start_ms: int = 0
    cold_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A customer whose requests are told by their keys.

    Attributes:
        name: Unique name, which targets are told.
        keys: Its keys; a key belongs to one workspace.
        rank: Priority of its requests, in place of that of their routes; None
            for theirs.
        requests_per_s: Quota in requests a second of the whole fleet; 0 for no
            limit.
        burst: Requests that it may send at once beyond that rate.
    """

    name: str
    keys: tuple[str, ...] = dataclasses.field(repr=False)
    rank: int | None = None
    requests_per_s: float = 0.0
    burst: float = 0.0


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
        exempt: Whether requests need no key of a workspace.
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
    exempt: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrangement:
    """Content of one configuration version.

    Attributes:
        services: All services.
        routes: All routes.
        limits: Limits on the requests of callers.
        workspaces: All workspaces; None where requests need no key.
    """

    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    limits: Limits = Limits()
    workspaces: tuple[Workspace, ...] | None = None
