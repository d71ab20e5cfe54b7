"""Filter: evidence to a finding on the new target version; pure.

The two versions are compared over the same intervals, so that a load peak,
which troubles both, speaks against neither. Failures are counted over the whole
move: were the versions alike, the new one's part of all failures would follow
its part of the requests, and how unlikely its count then is decides. Latencies
are compared over the latest seconds by Wilson intervals.
"""

import dataclasses
import math

from fulmarrudder.move.stats import (
    Counts,
    Failures,
    RouteEvidence,
    Window,
    sum_evidence,
    sum_failures,
)

REGRESSION_P_VALUE = 1e-5
DOUBT_P_VALUE = 1e-2
MIN_FAILURES = 3
FAILURE_MARGIN = 0.01
LATENCY_Z = 3.0
MIN_TIMED = 10
MIN_TIMED_OLD = 25
SLOW_MARGIN = 0.10
ORDINARY_SHARE = 0.9


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Regression:
    """The new version is worse than the old one.

    Attributes:
        route: Route on which it is, or empty for all together.
        reason: What was compared, in words for operators.
    """

    route: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoRegression:
    """Nothing has been proved against the new version so far.

    Attributes:
        requests: Requests that it has served at the present share.
        doubt: What speaks against it short of proof, or empty.
    """

    requests: int
    doubt: str = ""


Finding = Regression | NoRegression


def compare_versions(
    failures: tuple[Failures, ...], step: Window, recent: tuple[Window, ...]
) -> Finding:
    """Judges the new version, on each route and on all together.

    Args:
        failures: Failures since the move began, by route.
        step: Evidence of the present share.
        recent: Evidence of the latest seconds, the shortest window first.

    Returns:
        What is found.
    """
    parts = (*failures, sum_failures(failures))
    for part in parts:
        reason = _worse_failures(part, REGRESSION_P_VALUE)
        if reason:
            return Regression(route=part.route, reason=reason)
    for part in _timed(recent):
        reason = _worse_latency(part)
        if reason:
            return Regression(route=part.route, reason=reason)
    doubts = [_worse_failures(part, DOUBT_P_VALUE) for part in parts]
    return NoRegression(
        requests=sum_evidence(step.routes).new.requests,
        doubt=next(filter(None, doubts), ""),
    )


def _timed(recent: tuple[Window, ...]) -> tuple[RouteEvidence, ...]:
    """Finds for each route the shortest window that can be judged.

    A version that starts cold is slow at first and then recovers, so that
    slowness counts only while it lasts.
    """
    found: dict[str, RouteEvidence] = {}
    for window in recent:
        for part in (*window.routes, sum_evidence(window.routes)):
            if part.route in found:
                continue
            old_timed, new_timed = (
                sum(part.old.latency_buckets),
                sum(part.new.latency_buckets),
            )
            if new_timed >= MIN_TIMED and old_timed >= MIN_TIMED_OLD:
                found[part.route] = part
    return tuple(found.values())


def wilson_interval(part: int, whole: int, z: float) -> tuple:
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


def binomial_tail(count: int, total: int, expected: float) -> float:
    """Returns the chance of that many of all failures, or more.

    The failures fall on the new version independently, with chances that
    differ by interval; the binomial distribution with their mean bounds the
    tail of their sum.

    Args:
        count: Failures of the new version.
        total: Failures of both.
        expected: Failures that would be the new version's by chance.
    """
    if count <= expected or total == 0:
        return 1.0
    chance = expected / total
    if chance <= 0.0:
        return 0.0
    log_in, log_out = math.log(chance), math.log1p(-chance)
    tail = 0.0
    for number in range(count, total + 1):
        ways = math.lgamma(total + 1) - math.lgamma(number + 1)
        ways -= math.lgamma(total - number + 1)
        term = math.exp(ways + number * log_in + (total - number) * log_out)
        tail += term
        if term < tail * 1e-9:
            break
    return min(1.0, tail)


def _worse_failures(part: Failures, allowed: float) -> str:
    if part.new < MIN_FAILURES:
        return ""
    old, new = part.evidence.old, part.evidence.new
    old_rate = old.failures / old.requests if old.requests else 0.0
    if new.failures / new.requests <= old_rate + FAILURE_MARGIN:
        return ""
    chance = binomial_tail(part.new, part.total, part.expected)
    if chance > allowed:
        return ""
    return (
        f"{new.failures} of {new.requests} requests failed, on the old"
        f" version {old.failures} of {old.requests}"
    )


def _worse_latency(part: RouteEvidence) -> str:
    old_timed, new_timed = (
        sum(part.old.latency_buckets),
        sum(part.new.latency_buckets),
    )
    bound = _ordinary_bucket(part.old)
    old_slow = sum(part.old.latency_buckets[bound + 1 :])
    new_slow = sum(part.new.latency_buckets[bound + 1 :])
    lower, _ = wilson_interval(new_slow, new_timed, LATENCY_Z)
    _, upper = wilson_interval(old_slow, old_timed, LATENCY_Z)
    if lower <= upper + SLOW_MARGIN:
        return ""
    return (
        f"{new_slow} of {new_timed} answers took over {2**bound} ms, on the"
        f" old version {old_slow} of {old_timed}"
    )


def _ordinary_bucket(counts: Counts) -> int:
    wanted = ORDINARY_SHARE * sum(counts.latency_buckets)
    running = 0
    for index, count in enumerate(counts.latency_buckets):
        running += count
        if running >= wanted:
            return index
    return len(counts.latency_buckets) - 1
