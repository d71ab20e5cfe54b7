"""The two versions are compared over the same interval."""

import pytest

from fulmarrudder.move import Bad, Counts, RouteEvidence, Unproven, judge
from fulmarrudder.move.judge import wilson
from fulmarrudder.move.ledger import Window


def counts(requests, failures=0, slow_share=0.0):
    slow = round(requests * slow_share)
    return Counts(
        requests=requests,
        failures=failures,
        slow=(0, 0, 0, requests - slow, 0, 0, slow),
    )


def found(old, new, *others):
    routes = (RouteEvidence(route="r", old=old, new=new), *others)
    window = Window(routes=routes)
    return judge(window, (window,))


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
    assert isinstance(found(old, new), Bad)


@pytest.mark.parametrize(
    ("old", "new"),
    [
        (counts(900), counts(100)),
        (counts(900), counts(100, 1)),
        (counts(900, 200), counts(100, 25)),
        (counts(900, slow_share=0.5), counts(100, slow_share=0.55)),
        (counts(0), counts(4, 2)),
        (counts(900), counts(0)),
        (counts(900), counts(5, slow_share=1.0)),
    ],
)
def test_version_that_is_no_worse_stays_unproven(old, new):
    assert isinstance(found(old, new), Unproven)


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
    assert isinstance(judge(slow, (now, slow)), Unproven)
    assert isinstance(judge(slow, (slow,)), Bad)


def test_wilson_interval_holds_the_share():
    for part, whole in ((0, 10), (5, 10), (10, 10), (1, 1000)):
        low, high = wilson(part, whole)
        assert 0 <= low <= part / whole <= high <= 1
    assert wilson(0, 0) == (0.0, 1.0)
