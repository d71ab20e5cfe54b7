"""A collector tells which of its nodes may still admit requests unheard."""

import pytest

from fulmarrudder.quotas.collector import FORGET_S, QuotaCollector
from fulmarrudder.quotas.fleet import CATCH_UP_S, SILENCE_S, FleetView
from fulmarrudder.quotas.message import QuotaReport


def missing_after(silence_s, *, is_last):
    """Returns the part that counts as missing after one of ten falls silent."""
    collector = QuotaCollector("a")
    for node in range(10):
        report = QuotaReport(number=1, is_last=is_last and not node)
        collector.add(f"n{node}", report, 0.0)
    for node in range(1, 10):
        collector.add(f"n{node}", QuotaReport(number=2), silence_s)
    use = collector.take(silence_s, 10, silence_s=SILENCE_S, is_alone=False)
    return use.sums[0].missing


# A node that is cut off goes on with its part; one that has stopped needs none. A
# release replaces half of the nodes within seconds.
@pytest.mark.parametrize(
    ("silence_s", "is_last", "missing"),
    [
        (1.0, False, 0.0),
        (2.0, False, 0.1),
        (2.0, True, 0.0),
        (FORGET_S + 0.1, False, 0.0),
    ],
)
def test_part_is_left_to_nodes_that_may_be_cut_off(silence_s, is_last, missing):
    assert missing_after(silence_s, is_last=is_last) == missing


# A node that is cut off keeps to the part of the rate that is left to it, and its
# reports arrive together when the cut ends: counted again, they would use up the
# bucket of the others.
@pytest.mark.parametrize(
    ("silence_s", "counted"), [(0.5, 9), (SILENCE_S + 0.1, 2)]
)
def test_reports_that_a_cut_held_back_are_not_counted_again(silence_s, counted):
    collector = QuotaCollector("a")
    report = QuotaReport(number=1, counts=(17, 1, 0))
    collector.add("n1", report, 0.0)
    for number in range(7):
        late = QuotaReport(number=2 + number, counts=(17, 1, 0))
        collector.add("n1", late, silence_s + number / 100)
    last = QuotaReport(number=9, counts=(17, 1, 0))
    collector.add("n1", last, silence_s + CATCH_UP_S + 0.1)
    use = collector.take(9.0, 1, silence_s=SILENCE_S, is_alone=False)
    assert use.sums[0].counts == (17, counted, 0)
    assert use.included == (("n1", 9),)


def view_after(*told):
    """Returns a view after some tellers told, at times, what they miss."""
    view = FleetView("a", 0.0)
    for now, teller, missing in told:
        view.hear("a", missing, now, teller)
    return view


# Each of two collectors misses the nodes that report to it. That more are missing
# leaves tokens to them, which must not happen with each message.
@pytest.mark.parametrize(
    ("told", "missing"),
    [
        ([(0.0, "x", 0.1), (0.1, "y", 0.0)], 0.1),
        ([(0.0, "x", 0.1), (0.1, "y", 0.2), (0.2, "x", 0.1)], 0.3),
        ([(0.0, "x", 0.1), (0.4, "x", 0.0)], 0.1),
        ([(0.0, "x", 0.1), (0.4, "x", 0.0), (2.0, "x", 0.0)], 0.0),
        ([(0.0, "x", 0.1), (0.4, "x", 0.0), (1.0, "x", 0.1)], 0.1),
    ],
)
def test_missing_nodes_are_added_up_and_few_only_after_a_while(told, missing):
    assert view_after(*told).missing.get("a", 0.0) == missing


def test_changes_of_collectors_leave_tokens_once():
    told = [(n / 10, "xy"[n % 2], 0.1 * (n % 2)) for n in range(20)]
    assert view_after(*told).epoch == view_after(*told[:2]).epoch
