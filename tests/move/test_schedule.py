"""The deadline determines the pace, not the analysis."""

import pytest

from fulmarrudder.move import NoRegression, Regression, next_action
from fulmarrudder.move.schedule import (
    HOLD_WEIGHTS,
    MIN_HOLD_S,
    SHARES_PERMILLE,
    Complete,
    RaiseShare,
    TakeBack,
    Wait,
    hold_duration_s,
)
from fulmarrudder.state_machine import Move


def move(permille, deadline=1000.0):
    return Move(
        id="m",
        service="s",
        from_version="1",
        to_version="2",
        operator="a",
        deadline=deadline,
        permille=permille,
    )


def act(permille, *, requests=1000, held_s=1e6, wall=0.0):
    return next_action(
        move(permille),
        NoRegression(requests=requests),
        held_s=held_s,
        wall=wall,
    )


def test_shares_rise_one_after_another_to_the_end():
    for share, following in zip(
        SHARES_PERMILLE, SHARES_PERMILLE[1:], strict=False
    ):
        action = act(share)
        if following == 1000:
            assert isinstance(action, Complete)
        else:
            assert action == RaiseShare(permille=following)


@pytest.mark.parametrize("permille", [0, 10, 500])
def test_regression_takes_the_move_back_at_once(permille):
    regression = Regression(route="r", reason="fails")
    action = next_action(move(permille), regression, held_s=0.0, wall=0.0)
    assert action == TakeBack(route="r", reason="fails")


def test_share_is_not_raised_early_or_without_evidence():
    assert isinstance(act(10, held_s=0.1), Wait)
    action = act(500, requests=3)
    assert action == Wait(missing="37 requests on the new version")


def test_passed_deadline_takes_the_move_back_with_a_reason():
    action = act(250, wall=1000.1)
    assert action == TakeBack(
        route="", reason="deadline passed at 250 permille"
    )
    assert isinstance(act(0, wall=1000.1), TakeBack)


def test_holds_fit_the_deadline_and_favour_small_shares():
    left, spent = 300.0, 0.0
    holds = []
    for share in SHARES_PERMILLE[:-1]:
        hold = hold_duration_s(share, left - spent)
        holds.append(hold)
        spent += hold
    assert spent < 0.7 * left
    assert holds[0] > 3 * holds[-1]
    assert hold_duration_s(10, 1.0) == MIN_HOLD_S
    assert len(HOLD_WEIGHTS) == len(SHARES_PERMILLE)


def test_doubt_holds_the_share_until_the_deadline():
    doubtful = NoRegression(requests=1000, doubt="3 of 40 failed")
    action = next_action(move(500), doubtful, held_s=1e6, wall=0.0)
    assert action == Wait(missing="an end to doubt: 3 of 40 failed")
    late = next_action(move(500), doubtful, held_s=1e6, wall=1000.1)
    assert "in doubt: 3 of 40 failed" in late.reason


def test_tight_deadline_at_a_low_rate_still_leaves_time_to_complete():
    """Guards against a move that cannot complete for lack of requests.

    At 150 requests a second and a deadline of 30 s, small shares once received
    too few requests to be raised in time.
    """
    rate, clock, permille, held_s = 150.0, 0.0, 0, 0.0
    moving = move(0, deadline=30.0)
    while clock < 30.0:
        finding = NoRegression(requests=int(held_s * rate * permille / 1000))
        action = next_action(moving, finding, held_s=held_s, wall=clock)
        if isinstance(action, Complete):
            break
        clock, held_s = clock + 1.0, held_s + 1.0
        if isinstance(action, RaiseShare):
            permille, held_s = action.permille, 0.0
            moving = move(permille, deadline=30.0)
    assert clock < 28.0
