"""Filter: evidence to a finding on the new target version; pure.

The two versions are compared over the same intervals, so that a load peak,
which affects both, does not count against either. Failures are counted over the
whole move: under the null hypothesis that the versions are alike, the failures
of each interval are a random part of its requests, and a one-sided test of
those of the new version gives the p-value. Latencies are compared over the
latest seconds by Wilson intervals.

While the old version fails often itself, a difference takes hundreds of
requests to prove. The new version then counts as worse once it has failed a
number of requests and its own failures cannot be ruled out.
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
FAILURE_RATE_MARGIN = 0.01
LATENCY_Z_SCORE = 3.0
MIN_LATENCIES_NEW = 10
MIN_LATENCIES_OLD = 25
SLOW_SHARE_MARGIN = 0.10
SLOW_QUANTILE = 0.9
# Failure rate of the old version above which its failures may hide those of the
# new one.
OBSCURING_FAILURE_RATE = 0.1
# Difference between the failure rates that must be ruled out then.
OBSCURED_FAILURE_MARGIN = 0.15
# The same as a part of the requests that the old version serves: it bounds the
# difference where the old version serves few.
OBSCURED_OWN_FAILURE_RATE = 0.3
OBSCURED_Z_SCORE = 2.0
# Failed requests of the new version up to which such a doubt is waited out.
MAX_OBSCURED_FAILURES = 50


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Regression:
    """The new version is worse than the old one, or may be for too long.

    Attributes:
        route: Route on which it is worse, or empty for all routes together.
        reason: The figures compared, as text for operators.
    """

    route: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoRegression:
    """The new version is not significantly worse so far.

    Attributes:
        requests: Requests that it has served at the present share.
        doubt: Figures that suggest a regression without proving one, or
            empty.
    """

    requests: int
    doubt: str = ""


Finding = Regression | NoRegression


def compare_versions(
    failures: tuple[Failures, ...], step: Window, recent: tuple[Window, ...]
) -> Finding:
    """Compares the versions, on each route and on all routes together.

    Args:
        failures: Failures since the move began, one entry for each route.
        step: Evidence of the present share.
        recent: Evidence of the latest seconds, shortest window first.

    Returns:
        The finding on the new version.
    """
    parts = (*failures, sum_failures(failures))
    for part in parts:
        reason = _failure_regression(part, REGRESSION_P_VALUE)
        if reason:
            return Regression(route=part.route, reason=reason)
    for part in _latency_windows(recent):
        reason = _latency_regression(part)
        if reason:
            return Regression(route=part.route, reason=reason)
    doubts = [_failure_regression(part, DOUBT_P_VALUE) for part in parts]
    at_this_share = sum_evidence(step.routes)
    doubts.append(_obscured_failures(at_this_share))
    doubt = next(filter(None, doubts), "")
    failed = sum_failures(failures).new
    if (
        doubt
        and _is_obscured(at_this_share)
        and failed >= MAX_OBSCURED_FAILURES
    ):
        return Regression(route="", reason=f"{doubt}; still in doubt")
    return NoRegression(requests=at_this_share.new.requests, doubt=doubt)


def _latency_windows(recent: tuple[Window, ...]) -> tuple[RouteEvidence, ...]:
    """Finds for each route the shortest window with enough latencies.

    Targets are slow while they warm up, so only the latest latencies count.
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
            if (
                new_timed >= MIN_LATENCIES_NEW
                and old_timed >= MIN_LATENCIES_OLD
            ):
                found[part.route] = part
    return tuple(found.values())


def wilson_interval(count: int, total: int, z: float) -> tuple:
    """Returns the Wilson score interval of a proportion.

    Args:
        count: Number of cases that have the property.
        total: Number of all cases.
        z: Half-width of the interval, in standard deviations.

    Returns:
        Lower and upper bound; 0 and 1 when there are no cases.
    """
    if total == 0:
        return 0.0, 1.0
    proportion = count / total
    correction = z * z / total
    centre = proportion + correction / 2
    half_width = z * math.sqrt(
        proportion * (1 - proportion) / total + correction / 4 / total
    )
    lower = (centre - half_width) / (1 + correction)
    upper = (centre + half_width) / (1 + correction)
    return max(0.0, lower), min(1.0, upper)


def binomial_tail(count: int, total: int, expected: float) -> float:
    """Returns the probability of a number of successes or more.

    Args:
        count: The number.
        total: Trials of the binomial distribution.
        expected: Its mean.
    """
    if count <= expected or total == 0:
        return 1.0
    probability = expected / total
    if probability <= 0.0:
        return 0.0
    log_new, log_old = math.log(probability), math.log1p(-probability)
    tail = 0.0
    for number in range(count, total + 1):
        log_combinations = math.lgamma(total + 1) - math.lgamma(number + 1)
        log_combinations -= math.lgamma(total - number + 1)
        term = math.exp(
            log_combinations + number * log_new + (total - number) * log_old
        )
        tail += term
        if term < tail * 1e-9:
            break
    return min(1.0, tail)


def failure_p_value(part: Failures) -> float:
    """Returns the p-value of the failures of the new version.

    Under the null hypothesis their number is a sum of hypergeometric variables,
    one for each interval. The binomial distribution with the same mean and
    variance approximates it: it has fewer trials than there are failures where
    many requests fail, as each interval has only so many that can.

    Args:
        part: Failures of both versions.
    """
    if part.expected <= 0.0:
        return binomial_tail(part.new, part.total, part.expected)
    probability = 1.0 - part.variance / part.expected
    trials = part.total
    if probability > 0.0:
        trials = min(trials, math.ceil(part.expected / probability))
    return binomial_tail(part.new, max(trials, part.new), part.expected)


def _failure_regression(part: Failures, p_value: float) -> str:
    if part.new < MIN_FAILURES:
        return ""
    old, new = part.evidence.old, part.evidence.new
    if _failure_rate(new) <= _failure_rate(old) + FAILURE_RATE_MARGIN:
        return ""
    if failure_p_value(part) > p_value:
        return ""
    return (
        f"{new.failures} of {new.requests} requests failed, on the old"
        f" version {old.failures} of {old.requests}"
    )


def _failure_rate(counts: Counts) -> float:
    return counts.failures / counts.requests if counts.requests else 0.0


def _is_obscured(part: RouteEvidence) -> bool:
    return _failure_rate(part.old) > OBSCURING_FAILURE_RATE


def _obscured_failures(part: RouteEvidence) -> str:
    """Tells if the old version fails so often that the new one may be worse."""
    if not _is_obscured(part):
        return ""
    old, new = part.old, part.new
    old_rate = _failure_rate(old)
    margin = min(
        OBSCURED_FAILURE_MARGIN, OBSCURED_OWN_FAILURE_RATE * (1 - old_rate)
    )
    _, upper = wilson_interval(new.failures, new.requests, OBSCURED_Z_SCORE)
    if upper <= old_rate + margin:
        return ""
    return (
        f"{new.failures} of {new.requests} requests failed at this share, on"
        f" the old version {old.failures} of {old.requests}"
    )


def _latency_regression(part: RouteEvidence) -> str:
    old_timed, new_timed = (
        sum(part.old.latency_buckets),
        sum(part.new.latency_buckets),
    )
    bound = _quantile_bucket(part.old)
    old_slow = sum(part.old.latency_buckets[bound + 1 :])
    new_slow = sum(part.new.latency_buckets[bound + 1 :])
    lower, _ = wilson_interval(new_slow, new_timed, LATENCY_Z_SCORE)
    _, upper = wilson_interval(old_slow, old_timed, LATENCY_Z_SCORE)
    if lower <= upper + SLOW_SHARE_MARGIN:
        return ""
    return (
        f"{new_slow} of {new_timed} answers took over {2**bound} ms, on the"
        f" old version {old_slow} of {old_timed}"
    )


def _quantile_bucket(counts: Counts) -> int:
    needed = SLOW_QUANTILE * sum(counts.latency_buckets)
    cumulative = 0
    for index, count in enumerate(counts.latency_buckets):
        cumulative += count
        if cumulative >= needed:
            return index
    return len(counts.latency_buckets) - 1
