"""Slowness that was told fades; answers beside their class show the rest."""

import pytest

from fulmarrudder.placement.speed import Speed


@pytest.mark.parametrize(
    ("age_s", "low", "high"),
    [(0.0, 2.5, 2.5), (0.2, 2.5, 2.5), (0.45, 1.7, 1.9), (0.7, 1.0, 1.1)],
)
def test_slowness_counts_fully_at_first_and_fades_to_the_average(
    age_s, low, high
):
    speed = Speed()
    speed.tell(2.5, 10.0)
    assert low <= speed.now(10.0 + age_s) <= high


def test_target_that_tells_nothing_is_judged_by_its_answers():
    speed = Speed()
    assert speed.now(10.0) == 1.0
    for _ in range(8):
        speed.answered(0.1, 0.3, 10.0)
    assert speed.now(10.0) > 2.0
    assert speed.now(20.0) == pytest.approx(1.0, abs=0.05)


def test_one_long_answer_shows_little():
    speed = Speed()
    speed.answered(0.1, 7.0, 10.0)
    assert speed.now(10.0) < 2.0
