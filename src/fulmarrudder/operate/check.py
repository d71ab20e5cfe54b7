"""Checks an arrangement before it is sent: what it lacks, and what it changes.

An arrangement that has been parsed is valid. What is found here is valid and
yet cannot mean what its author intended.
"""

import dataclasses
import enum
import re
import types
from collections.abc import Iterable, Iterator
from functools import singledispatch

from fulmarrudder.call.retry import MAX_ATTEMPTS
from fulmarrudder.model import (
    Arrangement,
    Limits,
    Route,
    Service,
    WeightedService,
    Workspace,
)

# What no accepted request target holds.
_UNMATCHABLE = re.compile(r"[\x00-\x20\x7f?#]|/(\.|%2e){1,2}(/|$)", re.I)


class Kind(enum.Enum):
    """What a finding tells.

    Attributes:
        ERROR: The document is not valid; nodes would refuse it.
        UNREACHABLE: No request can match the entry, or reach it.
        CONTRADICTION: Limits of the entry do not fit together.
    """

    ERROR = "error"
    UNREACHABLE = "never matches"
    CONTRADICTION = "contradiction"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """Something that is wrong with an arrangement.

    Attributes:
        kind: What it tells.
        subject: The entry, such as `route quotes`; empty for the whole.
        detail: What is wrong.
    """

    kind: Kind
    subject: str
    detail: str


class Change(enum.Enum):
    """How an entry differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """An entry that differs between two arrangements.

    Attributes:
        change: How it differs.
        subject: The entry.
        detail: Fields that changed, with both values; empty if it was added or
            removed. Keys are counted, not told.
    """

    change: Change
    subject: str
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Result of a check.

    Attributes:
        findings: What is wrong.
        differences: What differs from the arrangement compared with.
    """

    findings: tuple[Finding, ...] = ()
    differences: tuple[Difference, ...] = ()


def check(arrangement: Arrangement) -> tuple[Finding, ...]:
    """Returns what is wrong with a valid arrangement."""
    findings = [*_check_matches(arrangement), *_check_use(arrangement)]
    for entry in _entries_of(arrangement).values():
        subject = _subject_of(entry)
        for kind, detail in _faults_of(entry):
            findings.append(Finding(kind=kind, subject=subject, detail=detail))
    return tuple(findings)


def compare(before: Arrangement, after: Arrangement) -> tuple[Difference, ...]:
    """Returns what differs between two arrangements, entry by entry."""
    old, new = _entries_of(before), _entries_of(after)
    if before.workspaces is not None:
        old["workspaces"] = "required"
    if after.workspaces is not None:
        new["workspaces"] = "required"
    differences = []
    for subject in old.keys() | new.keys():
        if subject not in old:
            found = Difference(change=Change.ADDED, subject=subject)
        elif subject not in new:
            found = Difference(change=Change.REMOVED, subject=subject)
        elif old[subject] == new[subject]:
            continue
        else:
            found = Difference(
                change=Change.CHANGED,
                subject=subject,
                detail=", ".join(_changed_fields(old[subject], new[subject])),
            )
        differences.append(found)
    return tuple(sorted(differences, key=lambda found: found.subject))


def _entries_of(arrangement: Arrangement) -> dict[str, object]:
    """Returns the entries of an arrangement by subject."""
    entries = (
        *arrangement.services,
        *arrangement.routes,
        *(arrangement.workspaces or ()),
        arrangement.limits,
    )
    return {_subject_of(entry): entry for entry in entries}


def _changed_fields(old, new) -> Iterator[str]:
    for field in dataclasses.fields(new):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before == after:
            continue
        if field.name == "keys":
            added = len(set(after) - set(before))
            removed = len(set(before) - set(after))
            yield f"keys: {added} added, {removed} removed"
            continue
        yield f"{field.name}: {_short(before)} -> {_short(after)}"


@singledispatch
def _short(value) -> str:
    """Returns a value of a field as text for one line."""
    return str(value)


@_short.register
def _(value: types.NoneType) -> str:
    return "-"


@_short.register
def _(value: tuple) -> str:
    return "/".join(map(_short, value)) or "-"


@_short.register
def _(value: WeightedService) -> str:
    return f"{value.service}:{value.weight}"


def _check_matches(arrangement: Arrangement) -> Iterator[Finding]:
    """Yields routes behind others that match all of the same requests.

    A node uses the first route of a host and prefix that its service may call,
    so that a route stands behind others once these cover all its callers.
    """
    holders: dict[tuple[str, str], list[Route]] = {}
    for route in arrangement.routes:
        earlier = holders.setdefault((route.host, route.prefix), [])
        hiding = _hiding_routes(route, earlier)
        earlier.append(route)
        if not hiding:
            continue
        names = ", ".join(dict.fromkeys(other.name for other in hiding))
        yield Finding(
            kind=Kind.UNREACHABLE,
            subject=_subject_of(route),
            detail=f"route {names} has the same host and prefix",
        )


def _hiding_routes(route: Route, earlier: list[Route]) -> list[Route]:
    """Returns the earlier routes that leave none of a route's callers to it."""
    for other in earlier:
        if not other.callers:
            return [other]
    hiding = []
    for caller in route.callers:
        holders = [other for other in earlier if caller in other.callers]
        if not holders:
            return []
        hiding.append(holders[0])
    return hiding


def _check_use(arrangement: Arrangement) -> Iterator[Finding]:
    """Yields entries that no request needs."""
    used = {route.service for route in arrangement.routes}
    for route in arrangement.routes:
        used.update(part.service for part in route.split if part.weight)
    for service in arrangement.services:
        if service.name in used:
            continue
        yield Finding(
            kind=Kind.UNREACHABLE,
            subject=_subject_of(service),
            detail="no route leads to it",
        )
    if arrangement.workspaces == ():
        for route in arrangement.routes:
            if route.exempt:
                continue
            yield Finding(
                kind=Kind.UNREACHABLE,
                subject=_subject_of(route),
                detail="needs a key, and there is no workspace",
            )


@singledispatch
def _subject_of(entry) -> str:
    raise TypeError(f"not an entry: {type(entry).__name__}")


@_subject_of.register
def _(entry: Service) -> str:
    return f"service {entry.name}"


@_subject_of.register
def _(entry: Route) -> str:
    return f"route {entry.name}"


@_subject_of.register
def _(entry: Workspace) -> str:
    return f"workspace {entry.name}"


@_subject_of.register
def _(entry: Limits) -> str:
    return "limits"


@singledispatch
def _faults_of(entry) -> Iterable[tuple[Kind, str]]:
    """Yields what is wrong with an entry by itself."""
    return ()


@_faults_of.register
def _(entry: Service) -> Iterable[tuple[Kind, str]]:
    if entry.cold_per_s and not entry.cold_start_ms:
        yield Kind.CONTRADICTION, "limits cold targets, and none is ever cold"


@_faults_of.register
def _(entry: Route) -> Iterable[tuple[Kind, str]]:
    if _UNMATCHABLE.search(entry.prefix):
        yield Kind.UNREACHABLE, f"no request has the prefix {entry.prefix!r}"
    if ":" in entry.host:
        yield Kind.UNREACHABLE, "hosts are compared without their port"
    if entry.split:
        for part in entry.split:
            if not part.weight:
                yield (
                    Kind.UNREACHABLE,
                    f"service {part.service} of the split has weight 0",
                )
    if entry.latency_objective_ms > entry.timeout_ms:
        yield (
            Kind.CONTRADICTION,
            f"timeout of {entry.timeout_ms} ms is below the latency"
            f" objective of {entry.latency_objective_ms} ms",
        )
    if entry.attempts > MAX_ATTEMPTS:
        yield (
            Kind.CONTRADICTION,
            f"{entry.attempts} attempts, and nodes make {MAX_ATTEMPTS} at most",
        )


@_faults_of.register
def _(entry: Workspace) -> Iterable[tuple[Kind, str]]:
    if not entry.keys:
        yield Kind.UNREACHABLE, "has no key"
    if entry.requests_per_s and not entry.burst:
        yield Kind.CONTRADICTION, "has a rate and no burst"
    if entry.burst and not entry.requests_per_s:
        yield Kind.CONTRADICTION, "has a burst, and no rate that limits it"


@singledispatch
def render_line(line) -> tuple[str, str, str]:
    """Returns the columns of a line of a report."""
    raise TypeError(f"not a line: {type(line).__name__}")


@render_line.register
def _(line: Finding) -> tuple[str, str, str]:
    return line.kind.value, line.subject or "-", line.detail


@render_line.register
def _(line: Difference) -> tuple[str, str, str]:
    return line.change.value, line.subject, line.detail or "-"
