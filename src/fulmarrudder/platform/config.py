"""Parses and validates the operator's configuration, as a whole or in parts.

A document is split into entries, one for each route and service and one for the
limits. Entries that were parsed before are not parsed again, so that a change
costs what it changes.
"""

import dataclasses
import functools
import typing
from collections.abc import Iterable, Iterator, Mapping
from typing import Annotated, Any, Literal

import msgspec
from expression import Error, Ok, Result

from fulmarrudder.call import RouteChange
from fulmarrudder.distribution.entries import Entries, entries_of
from fulmarrudder.model import (
    Arrangement,
    Limits,
    Route,
    Service,
    WeightedService,
)
from fulmarrudder.platform.errors import DocumentError
from fulmarrudder.platform.field_types import parse_duration, parse_version

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
Prefix = Annotated[str, msgspec.Meta(pattern=r"^/(.*/)?\Z", max_length=1024)]
Positive = Annotated[int, msgspec.Meta(ge=1)]
Natural = Annotated[int, msgspec.Meta(ge=0)]
# What the decoder raises for bytes that are no document.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, UnicodeError)


class _Milliseconds(float):
    """A duration with its unit, such as "250ms" or "1.5s"."""


class _PositiveMilliseconds(_Milliseconds):
    """A duration that is longer than 0."""


class _Version(int):
    """Version of a configuration: eight hexadecimal digits."""


class _ServiceEntry(msgspec.Struct, tag="service"):
    name: Name
    # Connections that one target accepts from all nodes together.
    maxConnections: Positive  # noqa: N815


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
    timeout: _PositiveMilliseconds
    # Targets that one request may be sent to, including the first one.
    max_attempts: Positive = msgspec.field(name="maxAttempts")
    service: Name | None = None
    split: (
        Annotated[list[_WeightedService], msgspec.Meta(min_length=1)] | None
    ) = msgspec.field(name="trafficSplit", default=None)
    latency_objective: _Milliseconds = msgspec.field(
        name="targetLatency", default=_Milliseconds(0.0)
    )
    rank: Natural = msgspec.field(name="priority", default=0)

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
    header_timeout: _PositiveMilliseconds = msgspec.field(name="headerTimeout")
    idle_timeout: _PositiveMilliseconds = msgspec.field(name="idleTimeout")


class _RouteText(msgspec.Struct, tag="route"):
    hostname: Name
    path: msgspec.Raw


class _ServiceText(msgspec.Struct, tag="service"):
    name: str


class _LimitsText(msgspec.Struct, tag="limits"):
    pass


class _Host(msgspec.Struct):
    hostname: Name
    paths: list[msgspec.Raw]


class _Document(msgspec.Struct):
    version: _Version
    hosts: list[_Host] = msgspec.field(name="virtualHosts")
    services: list[msgspec.Raw]
    limits: msgspec.Raw


class _Head(msgspec.Struct):
    version: _Version


def _decode_value(kind: type, value: Any) -> Any:
    if kind is _Version:
        return kind(parse_version(value))
    duration_ms = parse_duration(value)
    if kind is _PositiveMilliseconds and not duration_ms:
        raise ValueError("not longer than 0")
    return kind(duration_ms)


_decode_document = msgspec.json.Decoder(
    _Document, dec_hook=_decode_value
).decode
_decode_head = msgspec.json.Decoder(_Head, dec_hook=_decode_value).decode
_ENTRY_KINDS = {
    "route": _RouteEntry,
    "service": _ServiceEntry,
    "limits": _LimitsEntry,
}
_decode_entry = msgspec.json.Decoder(
    _RouteEntry | _ServiceEntry | _LimitsEntry, dec_hook=_decode_value
).decode
_decode_texts = msgspec.json.Decoder(
    _RouteText | _ServiceText | _LimitsText
).decode

Part = Route | Service | Limits


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigText:
    """A configuration that is split into entries and not parsed.

    Attributes:
        version: Its version.
        texts: Texts of the entries.
    """

    version: int
    texts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Config:
    """A valid configuration.

    Attributes:
        version: Its version; 0 for none.
        entries: Its entries.
        routes: What the entries of routes mean, by id.
        others: What the other entries mean, by id.
        matches: The routes by host and prefix.
        arrangement: The same as the product's own arrangement.
        change: How its routes differ from those of the configuration that it
            was built from.
    """

    version: int = 0
    entries: Entries = Entries()
    routes: Mapping[int, Route] = dataclasses.field(default_factory=dict)
    others: Mapping[int, Service | Limits] = dataclasses.field(
        default_factory=dict
    )
    matches: Mapping[tuple[str, str], Route] = dataclasses.field(
        default_factory=dict
    )
    arrangement: Arrangement = Arrangement()
    change: RouteChange = RouteChange()


def read_version(data: bytes) -> Result[int, DocumentError]:
    """Returns the version of a configuration, without parsing the rest."""
    try:
        return Ok(_decode_head(data).version)
    except DECODE_ERRORS as error:
        return Error(DocumentError(str(error)))


def split_config(data: bytes) -> Result[ConfigText, DocumentError]:
    """Splits a configuration into entries.

    Args:
        data: JSON.

    Returns:
        The entries, or what makes the bytes no configuration. The entries may
        be invalid.
    """
    try:
        document = _decode_document(data)
        texts = list(_texts_of(document))
    except DECODE_ERRORS as error:
        faults = _faults_in_json(data, _Document) or [str(error)]
        return Error(DocumentError("; ".join(faults)))
    unique = dict.fromkeys(texts)
    routes = sum(len(host.paths) for host in document.hosts)
    if routes > sum(text.startswith(_ROUTE_PREFIX) for text in unique):
        return Error(DocumentError("a route is listed twice"))
    return Ok(ConfigText(version=document.version, texts=tuple(unique)))


_ROUTE_PREFIX = '{"type":"route"'


def _texts_of(document: _Document) -> Iterator[str]:
    for host in document.hosts:
        name = msgspec.json.encode(host.hostname).decode()
        prefix = f'{_ROUTE_PREFIX},"hostname":{name},"path":'
        for path in host.paths:
            yield f"{prefix}{str(path, 'utf-8')}}}"
    for service in document.services:
        yield _tagged("service", str(service, "utf-8"))
    yield _tagged("limits", str(document.limits, "utf-8"))


def _tagged(kind: str, text: str) -> str:
    """Returns the text of an object with its kind in front."""
    fields = text.strip().removeprefix("{").lstrip()
    separator = "" if fields == "}" else ","
    return f'{{"type":"{kind}"{separator}{fields}'


def join_config(version: int, entries: Entries) -> str:
    """Returns the configuration that consists of some entries, as JSON.

    Args:
        version: Version of the configuration.
        entries: Valid entries.
    """
    hosts: dict[str, list[msgspec.Raw]] = {}
    services, limits = [], msgspec.Raw(b"{}")
    for text in entries.ids:
        entry = _decode_texts(text)
        if isinstance(entry, _RouteText):
            hosts.setdefault(entry.hostname, []).append(entry.path)
        elif isinstance(entry, _ServiceText):
            services.append(_untagged("service", text))
        else:
            limits = _untagged("limits", text)
    document = {
        "version": f"{version:08x}",
        "services": services,
        "limits": limits,
        "virtualHosts": [
            {"hostname": hostname, "paths": paths}
            for hostname, paths in hosts.items()
        ],
    }
    return msgspec.json.encode(document).decode()


def _untagged(kind: str, text: str) -> msgspec.Raw:
    fields = text.removeprefix(f'{{"type":"{kind}"').removeprefix(",")
    return msgspec.Raw(f"{{{fields}".encode())


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


def build_config(
    base: Config,
    version: int,
    entries: Entries,
    new_parts: Mapping[int, Part],
) -> Result[Config, DocumentError]:
    """Returns a configuration that differs from another one in some entries.

    Args:
        base: The other configuration.
        version: Version of the new one.
        entries: All entries of the new one.
        new_parts: Parts of the entries that the base does not have, by id.

    Returns:
        The configuration, or how its parts do not fit together.
    """
    routes, others = dict(base.routes), dict(base.others)
    matches = dict(base.matches)
    removed = []
    for entry_id in base.entries.texts.keys() - entries.texts.keys():
        others.pop(entry_id, None)
        route = routes.pop(entry_id, None)
        if route is not None:
            del matches[route.host, route.prefix]
            removed.append(route)
    faults = []
    for entry_id, part in new_parts.items():
        if not isinstance(part, Route):
            others[entry_id] = part
            continue
        match = (part.host, part.prefix)
        if match in matches:
            faults.append(f"route {part.name}: {match} has a route already")
        routes[entry_id] = matches[match] = part
    faults += _misfits(base, others, matches, new_parts)
    if faults:
        return Error(DocumentError("; ".join(faults)))
    return Ok(
        Config(
            version=version,
            entries=entries,
            routes=routes,
            others=others,
            matches=matches,
            arrangement=Arrangement(
                services=_of_kind(Service, others.values()),
                routes=tuple(matches.values()),
                limits=_of_kind(Limits, others.values())[0],
            ),
            change=RouteChange(
                removed=tuple(removed),
                added=_of_kind(Route, new_parts.values()),
            ),
        )
    )


def _misfits(
    base: Config,
    others: Mapping[int, Service | Limits],
    matches: Mapping[tuple[str, str], Route],
    new_parts: Mapping[int, Part],
) -> Iterator[str]:
    """Yields how the parts of a configuration do not fit together."""
    stated = len(_of_kind(Limits, others.values()))
    if stated != 1:
        yield f"limits are stated {stated} times"
    services = _of_kind(Service, others.values())
    routes = _of_kind(Route, new_parts.values())
    if services != base.arrangement.services:
        routes = tuple(matches.values())
    names = {service.name for service in services}
    for route in routes:
        for service in [p.service for p in route.split] or [route.service]:
            if service not in names:
                yield f"route {route.name}: unknown service {service}"


def _of_kind(kind: type, parts: Iterable[Part]) -> tuple:
    return tuple(part for part in parts if isinstance(part, kind))


def parse_config(data: bytes) -> Result[tuple[int, Arrangement], DocumentError]:
    """Parses and validates a configuration.

    Args:
        data: JSON.

    Returns:
        The version and the arrangement, or every validation error.
    """
    split = split_config(data)
    if split.is_error():
        return Error(split.error)
    entries = entries_of(split.ok.texts, Entries())
    parsed = parse_entries(entries.ids)
    if parsed.is_error():
        return Error(parsed.error)
    parts = dict(zip(entries.texts, parsed.ok, strict=True))
    return build_config(Config(), split.ok.version, entries, parts).map(
        lambda config: (config.version, config.arrangement)
    )


@functools.singledispatch
def _part_of(entry: msgspec.Struct) -> Part:
    raise TypeError(type(entry).__name__)


@_part_of.register
def _(entry: _ServiceEntry) -> Part:
    return Service(name=entry.name, target_versions=(), initial="")


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
    )


def _faults_of_entry(text: str) -> list[str]:
    try:
        value = msgspec.json.decode(text)
    except DECODE_ERRORS:
        return []
    kind = _ENTRY_KINDS.get(value.get("type"))
    if kind is None:
        return []
    place = value.get("hostname") or value.get("name") or "limits"
    return [
        f"{value['type']} {place}{path}: {fault}"
        for path, fault in _list_faults(value, kind, "")
    ]


def _faults_in_json(data: bytes, kind: type) -> list[str]:
    try:
        value = msgspec.json.decode(data)
    except DECODE_ERRORS:
        return []
    return [
        f"{path or '(top)'}: {fault}"
        for path, fault in _list_faults(value, kind, "")
    ]


def _list_faults(value: Any, kind: Any, path: str) -> Iterator[tuple[str, str]]:
    """Yields every fault of a value, with its path."""
    is_struct = isinstance(kind, type) and issubclass(kind, msgspec.Struct)
    if kind is msgspec.Raw:
        return
    if typing.get_origin(kind) is list and isinstance(value, list):
        (item_kind,) = typing.get_args(kind)
        for index, item in enumerate(value):
            yield from _list_faults(item, item_kind, f"{path}.{index}")
        return
    found = False
    if is_struct and isinstance(value, dict):
        for field in msgspec.structs.fields(kind):
            name = field.encode_name
            if name in value:
                faults = _list_faults(value[name], field.type, f"{path}.{name}")
            else:
                faults = [(f"{path}.{name}", "missing")] * field.required
            for fault in faults:
                found = True
                yield fault
    if found or kind in (_Document, _Host):
        return
    try:
        msgspec.convert(value, kind, dec_hook=_decode_value)
    except (msgspec.MsgspecError, RecursionError) as error:
        yield path, str(error)
