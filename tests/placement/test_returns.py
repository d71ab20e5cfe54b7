"""Callers that are refused together return one after the other."""

from fulmarrudder.placement.returns import LONGEST_LINE_S, ReturnLine


def test_herd_returns_at_the_pace_of_the_queue():
    line = ReturnLine()
    found = [line.next_s(10.0, 0.1, 0.05, 99.0) for _ in range(10)]
    assert found == sorted(found)
    assert len(set(found)) == 10
    assert found[0] == 10.1 - 10.0


def test_nobody_is_sent_away_for_longer_than_the_line_or_its_use():
    for latest, longest_s in ((11.0, 1.0), (99.0, 0.1 + LONGEST_LINE_S)):
        line = ReturnLine()
        found = [line.next_s(10.0, 0.1, 0.05, latest) for _ in range(500)]
        assert max(found) <= longest_s + 1e-9
        assert min(found) >= 0.1 - 1e-9
    assert ReturnLine().next_s(10.0, 0.5, 0.05, 10.2) == 0.5
