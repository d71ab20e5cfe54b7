"""Decision: when an endpoint that fails is ejected, and for how long."""

from fulmarrudder.call.endpoint_stats import EndpointStats

EJECT_AFTER_FAILURES = 3
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
FAILURE_EWMA_WEIGHT = 0.1


def count_outcome(
    stats: EndpointStats,
    now: float,
    *,
    failed: bool,
    unreachable: bool,
    shed: bool,
) -> float:
    """Counts whether a request failed, and ejects its endpoint if needed.

    Args:
        stats: Statistics of the endpoint.
        now: Clock seconds.
        failed: Whether it counts as a failure of the endpoint.
        unreachable: Whether there is no target at the endpoint, which ejects
            it at once.
        shed: Whether the target shed the request.

    Returns:
        Seconds for which the endpoint is ejected from now; 0 if it is not.
    """
    unsuccessful = failed or shed
    stats.failure_rate += FAILURE_EWMA_WEIGHT * (
        unsuccessful - stats.failure_rate
    )
    if unsuccessful:
        stats.last_failure_at = now
    if not failed:
        stats.consecutive_failures = 0
        stats.consecutive_ejections = 0
        return 0.0
    stats.consecutive_failures = (
        EJECT_AFTER_FAILURES if unreachable else stats.consecutive_failures + 1
    )
    if stats.consecutive_failures < EJECT_AFTER_FAILURES:
        return 0.0
    ejection_s = min(
        MAX_EJECTION_S, BASE_EJECTION_S * 2**stats.consecutive_ejections
    )
    stats.ejected_until = now + ejection_s
    stats.slow_start_from = now + ejection_s
    stats.consecutive_ejections = min(stats.consecutive_ejections + 1, 16)
    stats.consecutive_failures = EJECT_AFTER_FAILURES - 1
    return ejection_s
