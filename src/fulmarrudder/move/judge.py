"""Filter: evidence to a finding on the new target version; pure.

The two versions are compared over the same interval, so that a load peak,
which slows both, speaks against neither. A difference counts when the Wilson
intervals of the two shares lie apart.
"""

import dataclasses
import math

from fulmarrudder.move.ledger import Counts, RouteEvidence, Window, whole_of

CONFIDENCE_Z = 2.8
LEAST_FAILURES = 3
FAILURE_MARGIN = 0.005
LEAST_TIMED = 10
LEAST_TIMED_OLD = 25
SLOW_MARGIN = 0.10
ORDINARY_SHARE = 0.9


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bad:
    """The new version is worse than the old one.

    Attributes:
        route: Route on which it is, or empty for all together.
        reason: What was compared, in words for operators.
    """

    route: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unproven:
    """Nothing speaks against the new version so far.

    Attributes:
        requests: Requests that it has served at the present share.
    """

    requests: int


Finding = Bad | Unproven


def judge(step: Window, recent: tuple[Window, ...]) -> Finding:
    """Judges the new version, on each route and on all together.

    Args:
        step: Evidence of the present share.
        recent: Evidence of the latest seconds, the shortest window first.

    Returns:
        What is found.
    """
    whole = whole_of(step.routes)
    latest = recent[0].routes
    for part in (*step.routes, whole, *latest, whole_of(latest)):
        reason = _worse_failures(part)
        if reason:
            return Bad(route=part.route, reason=reason)
    for part in _timed(recent):
        reason = _worse_latency(part)
        if reason:
            return Bad(route=part.route, reason=reason)
    return Unproven(requests=whole.new.requests)


def _timed(recent: tuple[Window, ...]) -> tuple[RouteEvidence, ...]:
    """Finds for each route the shortest window that can be judged.

    A version that starts cold is slow at first and then recovers, so that
    slowness counts only while it lasts.
    """
    found: dict[str, RouteEvidence] = {}
    for window in recent:
        for part in (*window.routes, whole_of(window.routes)):
            if part.route in found:
                continue
            old_timed, new_timed = sum(part.old.slow), sum(part.new.slow)
            if new_timed >= LEAST_TIMED and old_timed >= LEAST_TIMED_OLD:
                found[part.route] = part
    return tuple(found.values())


def wilson(part: int, whole: int, z: float = CONFIDENCE_Z) -> tuple:
    """Returns the Wilson interval of a share.

    Args:
        part: Cases counted.
        whole: Cases in all.
        z: Standard deviations on each side.

    Returns:
        Lower and upper bound; 0 and 1 when there are no cases.
    """
    if whole == 0:
        return 0.0, 1.0
    share = part / whole
    spread = z * z / whole
    middle = share + spread / 2
    reach = z * math.sqrt(share * (1 - share) / whole + spread / 4 / whole)
    lower = (middle - reach) / (1 + spread)
    upper = (middle + reach) / (1 + spread)
    return max(0.0, lower), min(1.0, upper)


def _worse_failures(part: RouteEvidence) -> str:
    old, new = part.old, part.new
    if new.failures < LEAST_FAILURES:
        return ""
    lower, _ = wilson(new.failures, new.requests)
    _, upper = wilson(old.failures, old.requests)
    if old.requests == 0:
        upper = 0.5
    if lower <= upper + FAILURE_MARGIN:
        return ""
    return (
        f"{new.failures} of {new.requests} requests failed, on the old"
        f" version {old.failures} of {old.requests}"
    )


def _worse_latency(part: RouteEvidence) -> str:
    old_timed, new_timed = sum(part.old.slow), sum(part.new.slow)
    bound = _ordinary_bucket(part.old)
    old_slow = sum(part.old.slow[bound + 1 :])
    new_slow = sum(part.new.slow[bound + 1 :])
    lower, _ = wilson(new_slow, new_timed)
    _, upper = wilson(old_slow, old_timed)
    if lower <= upper + SLOW_MARGIN:
        return ""
    return (
        f"{new_slow} of {new_timed} answers took over {2**bound} ms, on the"
        f" old version {old_slow} of {old_timed}"
    )


def _ordinary_bucket(counts: Counts) -> int:
    wanted = ORDINARY_SHARE * sum(counts.slow)
    running = 0
    for index, count in enumerate(counts.slow):
        running += count
        if running >= wanted:
            return index
    return len(counts.slow) - 1
