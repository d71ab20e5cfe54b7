"""Parses and validates the entries of a configuration."""

import dataclasses
import functools
from collections.abc import Iterable
from typing import Annotated, Literal

import msgspec
from expression import Error, Ok, Result

from fulmarrudder.model import (
    Limits,
    Route,
    Service,
    WeightedService,
    Workspace,
)
from fulmarrudder.platform.decoding import (
    DECODE_ERRORS,
    Key,
    Milliseconds,
    Name,
    Natural,
    NonNegative,
    Positive,
    PositiveMilliseconds,
    Prefix,
    decode_value,
    list_faults,
)
from fulmarrudder.platform.errors import DocumentError


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceList:
    """Tells that requests need a key, also where no workspace is listed."""


Part = Route | Service | Limits | Workspace | WorkspaceList


class _ServiceEntry(msgspec.Struct, tag="service"):
    name: Name
    # Connections that one target accepts from all nodes together.
    maxConnections: Positive  # noqa: N815
    cold_start: Milliseconds = msgspec.field(
        name="coldStart", default=Milliseconds(0.0)
    )
    cold_per_s: NonNegative = msgspec.field(name="coldPerS", default=0.0)


class _WeightedService(msgspec.Struct):
    service: Name
    weight: Natural


class _Path(msgspec.Struct):
    name: Name
    prefix: Prefix = msgspec.field(name="pathPrefix")
    # Only requests of idempotent routes may run more than once.
    route_type: Literal["idempotent", "non_idempotent", "upload"] = (
        msgspec.field(name="routeType")
    )
    timeout: PositiveMilliseconds
    # Targets that one request may be sent to, including the first one.
    max_attempts: Positive = msgspec.field(name="maxAttempts")
    service: Name | None = None
    split: (
        Annotated[list[_WeightedService], msgspec.Meta(min_length=1)] | None
    ) = msgspec.field(name="trafficSplit", default=None)
    latency_objective: Milliseconds = msgspec.field(
        name="targetLatency", default=Milliseconds(0.0)
    )
    rank: Natural = msgspec.field(name="priority", default=0)
    exempt: bool = msgspec.field(name="authExempt", default=False)

    def __post_init__(self):
        if (self.service is None) == (self.split is None):
            raise ValueError("needs either service or trafficSplit")
        if self.split and not sum(part.weight for part in self.split):
            raise ValueError("the weights of trafficSplit add up to 0")


class _RouteEntry(msgspec.Struct, tag="route"):
    hostname: Name
    path: _Path


class _LimitsEntry(msgspec.Struct, tag="limits"):
    header_bytes: Positive = msgspec.field(name="maxHeaderBytes")
    body_bytes: Positive = msgspec.field(name="maxBodyBytes")
    header_timeout: PositiveMilliseconds = msgspec.field(name="headerTimeout")
    idle_timeout: PositiveMilliseconds = msgspec.field(name="idleTimeout")


class _WorkspaceEntry(msgspec.Struct, tag="tenant"):
    name: Name
    keys: list[Key] = msgspec.field(name="apiKeys")
    rank: Natural | None = msgspec.field(name="priority", default=None)
    requests_per_s: NonNegative = msgspec.field(name="ratePerS", default=0.0)
    burst: NonNegative = msgspec.field(name="burstSize", default=0.0)


class _WorkspaceListEntry(msgspec.Struct, tag="tenancy"):
    pass


_ENTRY_KINDS = {
    "route": _RouteEntry,
    "service": _ServiceEntry,
    "limits": _LimitsEntry,
    "tenant": _WorkspaceEntry,
    "tenancy": _WorkspaceListEntry,
}
_decode_entry = msgspec.json.Decoder(
    _RouteEntry
    | _ServiceEntry
    | _LimitsEntry
    | _WorkspaceEntry
    | _WorkspaceListEntry,
    dec_hook=decode_value,
).decode


def parse_entries(texts: Iterable[str]) -> Result[list[Part], DocumentError]:
    """Parses and validates entries.

    Returns:
        What they mean, in the same order, or every validation error.
    """
    parts, faults = [], []
    for text in texts:
        try:
            parts.append(_part_of(_decode_entry(text)))
        except DECODE_ERRORS as error:
            faults.extend(_faults_of_entry(text) or [str(error)])
    if faults:
        return Error(DocumentError("; ".join(faults)))
    return Ok(parts)


@functools.singledispatch
def _part_of(entry: msgspec.Struct) -> Part:
    raise TypeError(type(entry).__name__)


@_part_of.register
def _(entry: _ServiceEntry) -> Part:
    return Service(
        name=entry.name,
        target_versions=(),
        initial="",
        cold_start_ms=int(entry.cold_start),
        cold_per_s=entry.cold_per_s,
    )


@_part_of.register
def _(entry: _WorkspaceEntry) -> Part:
    return Workspace(
        name=entry.name,
        keys=tuple(dict.fromkeys(entry.keys)),
        rank=entry.rank,
        requests_per_s=entry.requests_per_s,
        burst=entry.burst,
    )


@_part_of.register
def _(entry: _WorkspaceListEntry) -> Part:
    return WorkspaceList()


@_part_of.register
def _(entry: _LimitsEntry) -> Part:
    return Limits(
        header_bytes=entry.header_bytes,
        body_bytes=entry.body_bytes,
        header_ms=int(entry.header_timeout),
        idle_ms=int(entry.idle_timeout),
    )


@_part_of.register
def _(entry: _RouteEntry) -> Part:
    path = entry.path
    split = tuple(
        WeightedService(service=part.service, weight=part.weight)
        for part in path.split or ()
    )
    return Route(
        name=path.name,
        host=entry.hostname.lower(),
        prefix=path.prefix,
        service=path.service or split[0].service,
        idempotent=path.route_type == "idempotent",
        by_method=False,
        timeout_ms=int(path.timeout),
        split=split,
        rank=path.rank,
        latency_objective_ms=int(path.latency_objective),
        attempts=path.max_attempts,
        exempt=path.exempt,
    )


def _faults_of_entry(text: str) -> list[str]:
    try:
        value = msgspec.json.decode(text)
    except DECODE_ERRORS:
        return []
    if not isinstance(value, dict) or not isinstance(value.get("type"), str):
        return []
    kind = _ENTRY_KINDS.get(value["type"])
    if kind is None:
        return []
    place = value.get("hostname") or value.get("name") or "limits"
    return [
        f"{value['type']} {place}{path}: {fault}"
        for path, fault in list_faults(value, kind, "")
    ]
