"""Splits the operator's configuration into entries, and puts it together again.

An entry is a text that stands for itself: one for each route, service and workspace, one
for the limits, and one that tells that there are workspaces.
"""

import dataclasses
import functools
from collections.abc import Iterator

import msgspec
from expression import Error, Ok, Result

from fulmarrudder.distribution.entries import Entries
from fulmarrudder.platform.decoding import (
    DECODE_ERRORS,
    Name,
    Version,
    decode_value,
    faults_in_json,
)
from fulmarrudder.platform.errors import DocumentError

ROUTE_PREFIX = '{"type":"route"'
WORKSPACE_PREFIX = '{"type":"tenant"'
WORKSPACE_LIST_TEXT = '{"type":"tenancy"}'


class _RouteText(msgspec.Struct, tag="route"):
    hostname: Name
    path: msgspec.Raw


class _ServiceText(msgspec.Struct, tag="service"):
    name: str


class _LimitsText(msgspec.Struct, tag="limits"):
    pass


class _WorkspaceText(msgspec.Struct, tag="tenant"):
    name: str


class _WorkspaceListText(msgspec.Struct, tag="tenancy"):
    pass


class _Host(msgspec.Struct):
    hostname: Name
    paths: list[msgspec.Raw]


class _Document(msgspec.Struct):
    version: Version
    hosts: list[_Host] = msgspec.field(name="virtualHosts")
    services: list[msgspec.Raw]
    limits: msgspec.Raw
    workspaces: list[msgspec.Raw] | None = msgspec.field(
        name="tenants", default=None
    )


class _Head(msgspec.Struct):
    version: Version


_decode_document = msgspec.json.Decoder(_Document, dec_hook=decode_value).decode
_decode_head = msgspec.json.Decoder(_Head, dec_hook=decode_value).decode
_decode_texts = msgspec.json.Decoder(
    _RouteText
    | _ServiceText
    | _LimitsText
    | _WorkspaceText
    | _WorkspaceListText
).decode


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigText:
    """A configuration that is split into entries and not parsed.

    Attributes:
        version: Its version.
        texts: Texts of the entries.
    """

    version: int
    texts: tuple[str, ...]


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
        faults = faults_in_json(data, _Document) or [str(error)]
        return Error(DocumentError("; ".join(faults)))
    unique = dict.fromkeys(texts)
    routes = sum(len(host.paths) for host in document.hosts)
    if routes > sum(text.startswith(ROUTE_PREFIX) for text in unique):
        return Error(DocumentError("a route is listed twice"))
    workspaces = len(document.workspaces or ())
    if workspaces > sum(text.startswith(WORKSPACE_PREFIX) for text in unique):
        return Error(DocumentError("a workspace is listed twice"))
    return Ok(ConfigText(version=document.version, texts=tuple(unique)))


def _texts_of(document: _Document) -> Iterator[str]:
    for host in document.hosts:
        name = msgspec.json.encode(host.hostname).decode()
        prefix = f'{ROUTE_PREFIX},"hostname":{name},"path":'
        for path in host.paths:
            yield f"{prefix}{str(path, 'utf-8')}}}"
    for service in document.services:
        yield _tagged("service", str(service, "utf-8"))
    yield _tagged("limits", str(document.limits, "utf-8"))
    if document.workspaces is None:
        return
    yield WORKSPACE_LIST_TEXT
    for workspace in document.workspaces:
        yield _tagged("tenant", str(workspace, "utf-8"))


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
    parts = _DocumentParts()
    for text in entries.ids:
        _collect(_decode_texts(text), text, parts)
    document = {
        "version": f"{version:08x}",
        "services": parts.services,
        "limits": parts.limits,
        "virtualHosts": [
            {"hostname": hostname, "paths": paths}
            for hostname, paths in parts.hosts.items()
        ],
    }
    if parts.workspaces is not None:
        document["tenants"] = parts.workspaces
    return msgspec.json.encode(document).decode()


@dataclasses.dataclass(slots=True, kw_only=True)
class _DocumentParts:
    """Parts of a document that is being put together.

    Attributes:
        hosts: Routes by host.
        services: The services.
        limits: The limits.
        workspaces: The workspaces; None if there is no list of them.
    """

    hosts: dict[str, list[msgspec.Raw]] = dataclasses.field(
        default_factory=dict
    )
    services: list[msgspec.Raw] = dataclasses.field(default_factory=list)
    limits: msgspec.Raw | None = None
    workspaces: list[msgspec.Raw] | None = None

    def list_workspaces(self) -> list[msgspec.Raw]:
        """Returns the list of the workspaces, begun if there is none yet."""
        if self.workspaces is None:
            self.workspaces = []
        return self.workspaces


@functools.singledispatch
def _collect(entry: msgspec.Struct, text: str, parts: _DocumentParts) -> None:
    """Adds an entry to the parts of a document."""
    raise TypeError(type(entry).__name__)


@_collect.register
def _(entry: _RouteText, text: str, parts: _DocumentParts) -> None:
    parts.hosts.setdefault(entry.hostname, []).append(entry.path)


@_collect.register
def _(entry: _ServiceText, text: str, parts: _DocumentParts) -> None:
    parts.services.append(_untagged("service", text))


@_collect.register
def _(entry: _LimitsText, text: str, parts: _DocumentParts) -> None:
    parts.limits = _untagged("limits", text)


@_collect.register
def _(entry: _WorkspaceText, text: str, parts: _DocumentParts) -> None:
    parts.list_workspaces().append(_untagged("tenant", text))


@_collect.register
def _(entry: _WorkspaceListText, text: str, parts: _DocumentParts) -> None:
    parts.list_workspaces()


def _untagged(kind: str, text: str) -> msgspec.Raw:
    fields = text.removeprefix(f'{{"type":"{kind}"').removeprefix(",")
    return msgspec.Raw(f"{{{fields}".encode())
