"""The two versions are compared over the same interval."""

import pytest

from fulmarrudder.move import (
    Counts,
    NoRegression,
    Regression,
    RouteEvidence,
    compare_versions,
)
from fulmarrudder.move.analysis import binomial_tail, wilson_interval
from fulmarrudder.move.stats import Failures, MoveStats, Window


def counts(requests, failures=0, slow_share=0.0):
    latency_buckets = round(requests * slow_share)
    return Counts(
        requests=requests,
        failures=failures,
        latency_buckets=(
            0,
            0,
            0,
            requests - latency_buckets,
            0,
            0,
            latency_buckets,
        ),
    )


def found(old, new, *others):
    routes = (RouteEvidence(route="r", old=old, new=new), *others)
    window = Window(routes=routes)
    return compare_versions(failures_in(routes), window, (window,))


def failures_in(routes):
    """Returns the failures of routes that were counted in one interval."""
    found = []
    for part in routes:
        old, new = part.old, part.new
        total = old.failures + new.failures
        share = new.requests / max(1, old.requests + new.requests)
        found.append(
            Failures(
                route=part.route,
                total=total,
                new=new.failures,
                expected=total * share,
                evidence=part,
            )
        )
    return tuple(found)


@pytest.mark.parametrize(
    ("old", "new"),
    [
        (counts(900, 1), counts(9, 3)),
        (counts(900, 1), counts(200, 20)),
        (counts(900, slow_share=0.02), counts(12, slow_share=1.0)),
        (counts(900, 90), counts(100, 60)),
    ],
)
def test_worse_version_is_bad(old, new):
    assert isinstance(found(old, new), Regression)


@pytest.mark.parametrize(
    ("old", "new"),
    [
        (counts(900), counts(100)),
        (counts(900), counts(100, 1)),
        (counts(900, 200), counts(100, 25)),
        (counts(1162, 28), counts(15, 4)),
        (counts(1509, 29), counts(36, 5)),
        (counts(900, slow_share=0.5), counts(100, slow_share=0.55)),
        (counts(0), counts(4, 2)),
        (counts(900), counts(0)),
        (counts(900), counts(5, slow_share=1.0)),
    ],
)
def test_version_that_is_no_worse_stays_unproven(old, new):
    assert isinstance(found(old, new), NoRegression)


def test_one_bad_route_is_named_however_good_the_others_are():
    other = RouteEvidence(route="s", old=counts(900), new=counts(20, 15))
    assert found(counts(9000), counts(9000), other).route == "s"


def test_slowness_that_has_passed_does_not_count():
    slow = Window(
        routes=(
            RouteEvidence(
                route="r", old=counts(900), new=counts(50, slow_share=0.9)
            ),
        )
    )
    now = Window(
        routes=(RouteEvidence(route="r", old=counts(90), new=counts(20)),)
    )
    assert isinstance(compare_versions((), slow, (now, slow)), NoRegression)
    assert isinstance(compare_versions((), slow, (slow,)), Regression)


def test_wilson_interval_holds_the_share():
    for part, whole in ((0, 10), (5, 10), (10, 10), (1, 1000)):
        low, high = wilson_interval(part, whole, 3.0)
        share = pytest.approx(part / whole, abs=1e-12)
        assert 0 <= low <= high <= 1
        assert low < part / whole or low == share
        assert high > part / whole or high == share
    assert wilson_interval(0, 0, 3.0) == (0.0, 1.0)


def test_chance_is_the_binomial_tail():
    assert binomial_tail(3, 3, 0.03) == pytest.approx(1e-6)
    assert binomial_tail(0, 9, 3.0) == 1.0
    assert binomial_tail(2, 2, 1.0) == pytest.approx(0.25)


def test_peak_that_troubles_both_alike_does_not_add_up():
    """Found on held-out moves: five good ones were taken back for a peak."""
    ledger = MoveStats("s", "1", "2", 0.0)
    ledger.sources[("h", 1)] = {}
    shares = ((1000, 0.01, 0.0), (1000, 0.5, 0.2), (1000, 0.01, 0.0))
    for index, (requests, share, failing) in enumerate(shares):
        new = round(requests * share)
        for version, count in (("1", requests - new), ("2", new)):
            place = (version, "r")
            before = ledger.totals.get(place, Counts())
            ledger.totals[place] = before.plus(
                Counts(requests=count, failures=round(count * failing))
            )
        ledger.sample(5.0 * (index + 1))
    window = Window(routes=ledger.step_evidence())
    found = compare_versions(
        ledger.failures(), window, ledger.recent_windows(15.0)
    )
    assert isinstance(found, NoRegression)
