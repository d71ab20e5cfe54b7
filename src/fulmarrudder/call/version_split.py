"""Filter: splits requests between the target versions of a move."""

import dataclasses
import random

from fulmarrudder.model import Brake
from fulmarrudder.state_machine import (
    Move,
    Phase,
    State,
    current_version_of,
    open_move_of,
)

PERMILLE = 1000
NEW_VERSION_PHASES = frozenset({Phase.COMPLETING, Phase.COMPLETED})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionFilter:
    """Target versions that may serve a request.

    Attributes:
        only: The only version allowed; empty for any.
        excluded: Versions that are not allowed.
    """

    only: str = ""
    excluded: frozenset[str] = frozenset()

    def allows(self, version: str) -> bool:
        """Returns whether a target version may serve the request."""
        if self.only:
            return version == self.only
        return version not in self.excluded


def is_braked(brakes: tuple[Brake, ...], move: Move, route: str) -> bool:
    """Returns whether a brake stops a move's new version on a route."""
    for brake in brakes:
        if brake.move != move.id or brake.target_version != move.to_version:
            continue
        if brake.route in ("", route):
            return True
    return False


def eligible_versions(
    state: State,
    service: str,
    route: str,
    brakes: tuple[Brake, ...],
    rng: random.Random,
    withdrawn: frozenset[str] = frozenset(),
) -> tuple[VersionFilter, ...]:
    """Returns the target versions that may serve a request, in order.

    Args:
        state: The replicated state.
        service: Name of the service.
        route: Name of the route.
        brakes: Brakes that this node has received.
        rng: Selects between versions by the share of the move.
        withdrawn: Versions of the service that earlier moves led to without
            completing.

    Returns:
        Filters to try in turn; empty for an unknown service. The last one of
        a running move is the old version, never the new one.
    """
    current = current_version_of(state, service)
    if current is None:
        return ()
    move = open_move_of(state, service)
    if move is None:
        return (VersionFilter(only=current, excluded=withdrawn),)
    new = VersionFilter(only=move.to_version)
    old = old_versions(move, withdrawn)
    if move.phase in NEW_VERSION_PHASES:
        if move.from_version:
            return (new,)
        return (new, VersionFilter(excluded=withdrawn - {move.to_version}))
    if move.phase is not Phase.RUNNING:
        return (old,)
    if move.permille == 0 or is_braked(brakes, move, route):
        return (old,)
    if rng.random() * PERMILLE < move.permille:
        return (new, old)
    return (old,)


def old_versions(
    move: Move, withdrawn: frozenset[str] = frozenset()
) -> VersionFilter:
    """Returns the versions that a move replaces.

    A move without an old version replaces all versions but the new one and
    those that were withdrawn.

    Args:
        move: The move.
        withdrawn: Versions that earlier moves led to without completing.
    """
    if move.from_version:
        return VersionFilter(only=move.from_version)
    return VersionFilter(excluded=withdrawn | {move.to_version})
