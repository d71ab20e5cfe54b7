"""Filter: from a routed request to the target version that serves it."""

import dataclasses
import random

from fulmarrudder.fold import Move, Phase, State, current_of, move_of
from fulmarrudder.model import Brake

PERMILLE = 1000
DONE = frozenset({Phase.COMPLETING, Phase.COMPLETED})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionFilter:
    """Target versions that may serve a request.

    Attributes:
        only: The one that may; empty when there is no such bound.
        but: One that may not; empty when there is none.
    """

    only: str = ""
    but: str = ""

    def admit(self, version: str) -> bool:
        """Tells whether a target version may serve the request."""
        if self.only:
            return version == self.only
        return not self.but or version != self.but


ANY = VersionFilter()


def is_braked(brakes: tuple[Brake, ...], move: Move, route: str) -> bool:
    """Tells whether a brake stops a move's new version on a route."""
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
) -> tuple[VersionFilter, ...]:
    """Orders the target versions that may serve a request.

    Args:
        state: The folded state.
        service: Service that the route names.
        route: Name of the route.
        brakes: Brakes known here.
        rng: Decides within the share.

    Returns:
        Versions to try in turn; the last resort of a running move is the
        old version, never the new one.
    """
    current = current_of(state, service)
    if current is None:
        return ()
    move = move_of(state, service)
    if move is None:
        return (VersionFilter(only=current),)
    new, old = VersionFilter(only=move.to_version), old_of(move)
    if move.phase in DONE:
        return (new, ANY) if not move.from_version else (new,)
    if move.phase is not Phase.RUNNING:
        return (old,)
    if move.permille == 0 or is_braked(brakes, move, route):
        return (old,)
    if rng.random() * PERMILLE < move.permille:
        return (new, old)
    return (old,)


def old_of(move: Move) -> VersionFilter:
    """Returns the versions that a move leads away from.

    A move that names no old version leads away from all but the new one.
    """
    if move.from_version:
        return VersionFilter(only=move.from_version)
    return VersionFilter(but=move.to_version)
