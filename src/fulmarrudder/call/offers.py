"""Decision: the endpoint of a slot that this node was told is free."""

import math
from collections.abc import Callable, Iterable

from fulmarrudder.model import Presence
from fulmarrudder.placement import Vacancies

VACANCIES_METRIC = "fulmarrudder_vacancies_total"


def take_offer(
    vacancies: Vacancies,
    endpoints: Iterable[Presence],
    now: float,
    service_time_of: Callable[[Presence], float],
) -> Presence | None:
    """Uses the fastest slot that was told free.

    Args:
        vacancies: Free slots that this node was told of.
        endpoints: Endpoints that may serve the request.
        now: Clock seconds.
        service_time_of: Returns the seconds that the request usually takes
            at an endpoint.

    Returns:
        The endpoint that has it, or None when no slot was told free.
    """
    best, best_s = None, math.inf
    if not vacancies.by_node:
        return None
    for presence in endpoints:
        offer = vacancies.offer_of(presence.node, now)
        if offer is None:
            continue
        expected_s = service_time_of(presence) * offer.slowness
        if expected_s < best_s:
            best, best_s = presence, expected_s
    if best is not None:
        vacancies.use(best.node)
    return best
