"""Filter: from a routed request to the target version that serves it."""

import random

from fulmarrudder.fold import Move, Phase, State, current_of, move_of
from fulmarrudder.model import Brake

PERMILLE = 1000


def braked(brakes: tuple[Brake, ...], move: Move, route: str) -> bool:
    """Tells whether a brake stops a move's new version on a route."""
    for brake in brakes:
        if brake.move != move.id or brake.target_version != move.to_version:
            continue
        if brake.route in ("", route):
            return True
    return False


def versions_for(
    state: State,
    service: str,
    route: str,
    brakes: tuple[Brake, ...],
    rng: random.Random,
) -> tuple[str, ...]:
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
    if move is None or move.phase is not Phase.RUNNING:
        return (current,)
    if move.permille == 0 or braked(brakes, move, route):
        return (move.from_version,)
    if rng.random() * PERMILLE < move.permille:
        return (move.to_version, move.from_version)
    return (move.from_version,)
