"""Transition rules for configuration versions."""

import dataclasses

from expression import Error, Ok, Result

from fulmarrudder.model import Amend, Arrangement, Publish
from fulmarrudder.state_machine.errors import Refusal
from fulmarrudder.state_machine.outcome import Reason
from fulmarrudder.state_machine.state import CurrentVersion, State


def validation_errors(arrangement: Arrangement) -> tuple[str, ...]:
    """Validates an arrangement, without regard to the state.

    Args:
        arrangement: The arrangement.

    Returns:
        One message for each error; empty when the arrangement is valid.
    """
    errors = _duplicate_names("service", [s.name for s in arrangement.services])
    errors += _duplicate_names("route", [r.name for r in arrangement.routes])
    known = set()
    for service in arrangement.services:
        known.add(service.name)
        if service.initial not in service.target_versions:
            errors.append(
                f"service {service.name}: initial target version"
                f" {service.initial} is not among its target versions"
            )
    for route in arrangement.routes:
        if route.service not in known:
            errors.append(f"route {route.name}: no service {route.service}")
        if not route.prefix.startswith("/"):
            errors.append(f"route {route.name}: prefix must start with /")
        for caller in route.callers:
            if caller not in known:
                errors.append(f"route {route.name}: no caller service {caller}")
    return tuple(errors)


def _duplicate_names(kind: str, names: list[str]) -> list[str]:
    seen: set[str] = set()
    errors = []
    for name in names:
        if name in seen:
            errors.append(f"{kind} {name}: name is used twice")
        seen.add(name)
    return errors


def _conflicts_with_state(state: State, arrangement: Arrangement) -> list[str]:
    declared = {s.name: s.target_versions for s in arrangement.services}
    errors = []
    for move in state.moves:
        versions = declared.get(move.service, ())
        for needed in (move.from_version, move.to_version):
            if needed not in versions:
                errors.append(
                    f"service {move.service}: open move {move.id} needs"
                    f" target version {needed}"
                )
    currents = _current_versions_by_service(state)
    moving = {move.service for move in state.moves}
    for service in arrangement.services:
        current = currents.get(service.name)
        if current is None or service.name in moving:
            continue
        if current not in service.target_versions:
            errors.append(
                f"service {service.name}: current target version {current}"
                " is not among its target versions"
            )
    return errors


def _current_versions_by_service(state: State) -> dict[str, str]:
    return {c.service: c.target_version for c in state.currents}


def publish(state: State, body: Publish) -> Result[State, Refusal]:
    """Replaces the active arrangement, or refuses the new one.

    Args:
        state: State before the record.
        body: The operator's record.

    Returns:
        The state with the new version, or why it is refused.
    """
    if body.expected != state.version:
        return Error(
            Refusal(
                reason=Reason.STALE_VERSION,
                detail=f"version {state.version}"
                f" by {state.operator or 'nobody'}"
                f" is in force, not {body.expected}",
            )
        )
    errors = list(validation_errors(body.arrangement))
    errors += _conflicts_with_state(state, body.arrangement)
    if errors:
        return Error(Refusal(reason=Reason.INVALID, detail="; ".join(errors)))
    current_versions = _current_versions_by_service(state)
    currents = tuple(
        CurrentVersion(
            service=s.name,
            target_version=current_versions.get(s.name, s.initial),
        )
        for s in sorted(body.arrangement.services, key=lambda s: s.name)
    )
    return Ok(
        dataclasses.replace(
            state,
            version=state.version + 1,
            operator=body.operator,
            arrangement=body.arrangement,
            currents=currents,
        )
    )


def amend(state: State, body: Amend) -> Result[State, Refusal]:
    """Applies an amendment to the active arrangement.

    Args:
        state: State before the record.
        body: The operator's record.

    Returns:
        As `publish` returns for the resulting arrangement.
    """
    return publish(
        state,
        Publish(
            operator=body.operator,
            expected=body.expected,
            arrangement=apply_amendment(state.arrangement, body),
        ),
    )


def apply_amendment(arrangement: Arrangement, body: Amend) -> Arrangement:
    """Returns an arrangement with an amendment applied."""
    services = {s.name: s for s in arrangement.services}
    routes = {r.name: r for r in arrangement.routes}
    for name in body.dropped_services:
        services.pop(name, None)
    for name in body.dropped_routes:
        routes.pop(name, None)
    services.update({s.name: s for s in body.services})
    routes.update({r.name: r for r in body.routes})
    return Arrangement(
        services=tuple(services.values()), routes=tuple(routes.values())
    )


def amendment_between(
    operator: str, expected: int, old: Arrangement, new: Arrangement
) -> Amend:
    """Returns the amendment that turns one arrangement into another.

    Args:
        operator: Operator who publishes it.
        expected: Configuration version of the old arrangement.
        old: The active arrangement.
        new: The arrangement to publish; its names are unique.
    """
    old_services = {s.name: s for s in old.services}
    old_routes = {r.name: r for r in old.routes}
    new_services = {s.name for s in new.services}
    new_routes = {r.name for r in new.routes}
    return Amend(
        operator=operator,
        expected=expected,
        services=tuple(
            s for s in new.services if old_services.get(s.name) != s
        ),
        routes=tuple(r for r in new.routes if old_routes.get(r.name) != r),
        dropped_services=tuple(sorted(set(old_services) - new_services)),
        dropped_routes=tuple(sorted(set(old_routes) - new_routes)),
    )
