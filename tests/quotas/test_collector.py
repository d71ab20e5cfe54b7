"""A collector tells which of its nodes may still admit requests unheard."""

import pytest

from fulmarrudder.quotas.collector import FORGET_S, QuotaCollector
from fulmarrudder.quotas.message import QuotaReport

SILENCE_S = 1.2


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
