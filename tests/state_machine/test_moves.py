"""Only the controller's latest term raises shares; the first decision wins."""

import pytest

from fulmarrudder.model import (
    CloseMove,
    Decision,
    EndMove,
    StartMove,
    StepMove,
)
from fulmarrudder.state_machine import (
    Applied,
    Phase,
    Reason,
    current_version_of,
    move_by_id,
)
from tests.conftest import claim


def start(move="m", to="2", expected=1):
    return StartMove(
        move=move,
        operator="ana",
        service="caja",
        to_version=to,
        expected=expected,
        deadline=2e9,
    )


def step(permille, *, term=1, before=0):
    return StepMove(
        move="m", term=term, expected_permille=before, permille=permille
    )


def end(decision, *, by="ana", term=0):
    return EndMove(move="m", decision=decision, by=by, reason="r", term=term)


@pytest.fixture
def moving(published):
    published.append(start())
    return published


def test_move_starts_with_share_zero(moving):
    assert move_by_id(moving.state, "m").permille == 0


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        (start(move="n"), Reason.MOVE_OPEN),
        (start(expected=7), Reason.STALE_VERSION),
    ],
)
def test_move_that_cannot_start_is_refused(moving, body, reason):
    assert moving.append(body).reason is reason


def test_move_to_an_undeclared_target_version_is_refused(published):
    outcome = published.append(start(to="9"))
    assert outcome.reason is Reason.UNKNOWN_TARGET_VERSION
    assert "it has 1, 2" in outcome.detail


def test_step_of_an_older_term_is_refused(moving):
    moving.append(claim(holder="n2/1", expected=1))
    assert moving.append(step(10, term=1)).reason is Reason.STALE_TERM
    assert isinstance(moving.append(step(10, term=2)), Applied)


def test_step_that_expects_another_share_is_refused(moving):
    moving.append(step(10))
    assert moving.append(step(20, before=0)).reason is Reason.STALE_STEP
    assert moving.append(step(5, before=10)).reason is Reason.STALE_STEP


def test_first_of_complete_and_take_back_wins(moving):
    assert isinstance(moving.append(end(Decision.COMPLETE, by="ana")), Applied)
    outcome = moving.append(end(Decision.TAKE_BACK, by="bor"))
    assert outcome.reason is Reason.MOVE_DECIDED
    assert "completing, decided by ana" in outcome.detail
    assert current_version_of(moving.state, "caja") == "2"


def test_taken_back_move_keeps_the_old_target_version(moving):
    moving.append(step(500))
    moving.append(end(Decision.TAKE_BACK, by="controller", term=1))
    move = move_by_id(moving.state, "m")
    assert (move.phase, move.permille) == (Phase.TAKING_BACK, 0)
    assert current_version_of(moving.state, "caja") == "1"


def test_decided_move_stays_open_until_the_controller_closes_it(moving):
    moving.append(end(Decision.COMPLETE))
    assert move_by_id(moving.state, "m").phase is Phase.COMPLETING
    moving.append(CloseMove(move="m", term=1, data_centres=("lima-1",)))
    move = move_by_id(moving.state, "m")
    assert move.phase is Phase.COMPLETED
    assert move.data_centres == ("lima-1",)
    assert not moving.state.moves


def test_closing_a_running_move_is_refused(moving):
    outcome = moving.append(CloseMove(move="m", term=1, data_centres=()))
    assert outcome.reason is Reason.MOVE_DECIDED
