"""Parses and validates the operator's configuration: JSON to an arrangement."""

from typing import Annotated, Literal

import pydantic
from expression import Error, Ok, Result

from fulmarrudder.model import (
    Arrangement,
    Limits,
    Route,
    Service,
    WeightedService,
)
from fulmarrudder.platform.errors import DocumentError
from fulmarrudder.platform.field_types import (
    Milliseconds,
    Name,
    PlatformModel,
    Version,
    list_faults,
)

Prefix = Annotated[str, pydantic.Field(pattern=r"^/(.*/)?$", max_length=1024)]
Positive = Annotated[int, pydantic.Field(ge=1)]


class _Service(PlatformModel):
    name: Name
    # Connections that one target accepts from all nodes together.
    max_connections: Positive = pydantic.Field(alias="maxConnections")


class _WeightedService(PlatformModel):
    service: Name
    weight: int = pydantic.Field(ge=0)


class _Route(PlatformModel):
    name: Name
    prefix: Prefix = pydantic.Field(alias="pathPrefix")
    service: Name | None = None
    split: list[_WeightedService] | None = pydantic.Field(
        None, alias="trafficSplit", min_length=1
    )
    # Only requests of idempotent routes may run more than once.
    route_type: Literal["idempotent", "non_idempotent", "upload"] = (
        pydantic.Field(alias="routeType")
    )
    timeout: Milliseconds = pydantic.Field(gt=0)
    latency_objective: Milliseconds = pydantic.Field(0.0, alias="targetLatency")
    rank: int = pydantic.Field(0, alias="priority", ge=0)
    # Targets that one request may be sent to, including the first one.
    max_attempts: Positive = pydantic.Field(alias="maxAttempts")

    @pydantic.model_validator(mode="after")
    def _check_destination(self):
        if (self.service is None) == (self.split is None):
            raise ValueError("needs either service or trafficSplit")
        if self.split and not sum(part.weight for part in self.split):
            raise ValueError("the weights of trafficSplit add up to 0")
        return self


class _Host(PlatformModel):
    hostname: Name
    paths: list[_Route]


class _Limits(PlatformModel):
    header_bytes: Positive = pydantic.Field(alias="maxHeaderBytes")
    body_bytes: Positive = pydantic.Field(alias="maxBodyBytes")
    header_timeout: Milliseconds = pydantic.Field(alias="headerTimeout", gt=0)
    idle_timeout: Milliseconds = pydantic.Field(alias="idleTimeout", gt=0)


class _Config(PlatformModel):
    version: Version
    hosts: list[_Host] = pydantic.Field(alias="virtualHosts")
    services: list[_Service]
    limits: _Limits


def parse_config(data: bytes) -> Result[tuple[int, Arrangement], DocumentError]:
    """Parses and validates a configuration.

    Args:
        data: JSON.

    Returns:
        The version and the arrangement, or every validation error.
    """
    try:
        model = _Config.model_validate_json(data)
    except pydantic.ValidationError as error:
        return Error(DocumentError("; ".join(list_faults(error))))
    faults = _consistency_faults(model)
    if faults:
        return Error(DocumentError("; ".join(faults)))
    services = tuple(
        Service(name=s.name, target_versions=(), initial="")
        for s in model.services
    )
    routes = tuple(
        _route(host.hostname, route)
        for host in model.hosts
        for route in host.paths
    )
    limits = Limits(
        header_bytes=model.limits.header_bytes,
        body_bytes=model.limits.body_bytes,
        header_ms=int(model.limits.header_timeout),
        idle_ms=int(model.limits.idle_timeout),
    )
    arrangement = Arrangement(services=services, routes=routes, limits=limits)
    return Ok((model.version, arrangement))


def _route(host: str, route: _Route) -> Route:
    split = tuple(
        WeightedService(service=part.service, weight=part.weight)
        for part in route.split or ()
    )
    return Route(
        name=route.name,
        host=host.lower(),
        prefix=route.prefix,
        service=route.service or split[0].service,
        idempotent=route.route_type == "idempotent",
        by_method=False,
        timeout_ms=int(route.timeout),
        split=split,
        rank=route.rank,
        latency_objective_ms=int(route.latency_objective),
        attempts=route.max_attempts,
    )


def _consistency_faults(model: _Config) -> list[str]:
    faults = []
    service_names = {service.name for service in model.services}
    seen = set()
    for host in model.hosts:
        for route in host.paths:
            match = (host.hostname.lower(), route.prefix)
            if match in seen:
                faults.append(
                    f"route {route.name}: {match} has a route already"
                )
            seen.add(match)
            split_services = [part.service for part in route.split or ()]
            for service in split_services or [route.service]:
                if service not in service_names:
                    faults.append(
                        f"route {route.name}: unknown service {service}"
                    )
    return faults
