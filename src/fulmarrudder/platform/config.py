"""Puts the parsed entries of a configuration together to an arrangement.

What differs from the configuration before is all that is looked at.
"""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping

from expression import Error, Ok, Result

from fulmarrudder.call import RouteChange
from fulmarrudder.distribution.entries import Entries, entries_of
from fulmarrudder.model import Arrangement, Limits, Route, Service, Workspace
from fulmarrudder.platform.document import split_config
from fulmarrudder.platform.entry import Part, WorkspaceList, parse_entries
from fulmarrudder.platform.errors import DocumentError
from fulmarrudder.workspaces import KeyTable, SharedKeyError

OtherPart = Service | Limits | Workspace | WorkspaceList


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
        keys: Its workspaces by key; None where requests need no key.
    """

    version: int = 0
    entries: Entries = Entries()
    routes: Mapping[int, Route] = dataclasses.field(default_factory=dict)
    others: Mapping[int, OtherPart] = dataclasses.field(default_factory=dict)
    matches: Mapping[tuple[str, str], Route] = dataclasses.field(
        default_factory=dict
    )
    arrangement: Arrangement = Arrangement()
    change: RouteChange = RouteChange()
    keys: KeyTable | None = None


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
    keys = _build_keys(base, others, entries, new_parts)
    if keys.is_error():
        faults.append(str(keys.error))
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
                workspaces=_workspaces_of(base, keys.ok),
            ),
            keys=keys.ok,
            change=RouteChange(
                removed=tuple(removed),
                added=_of_kind(Route, new_parts.values()),
            ),
        )
    )


def _misfits(
    base: Config,
    others: Mapping[int, OtherPart],
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


def _build_keys(
    base: Config,
    others: Mapping[int, OtherPart],
    entries: Entries,
    new_parts: Mapping[int, Part],
) -> Result[KeyTable | None, SharedKeyError]:
    """Returns the workspaces by key; None where requests need no key."""
    added = _of_kind(Workspace, new_parts.values())
    if not added and not _of_kind(WorkspaceList, others.values()):
        return Ok(None)
    removed_ids = base.entries.texts.keys() - entries.texts.keys()
    gone = (base.others.get(entry_id) for entry_id in removed_ids)
    removed = _of_kind(Workspace, gone)
    known = base.keys or KeyTable()
    if not added and not removed:
        return Ok(known)
    return known.changed(removed=removed, added=added)


def _workspaces_of(
    base: Config, keys: KeyTable | None
) -> tuple[Workspace, ...] | None:
    if keys is None:
        return None
    return base.arrangement.workspaces if keys is base.keys else keys.workspaces


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
