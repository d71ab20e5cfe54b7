"""The share of a move determines which target version serves a request."""

import random

import pytest

from fulmarrudder.call.version_split import VersionFilter, eligible_versions
from fulmarrudder.model import Brake, Decision, EndMove, StartMove, StepMove
from tests.conftest import claim, publish


@pytest.fixture
def moving(published):
    published.append(
        StartMove(
            move="m",
            operator="ana",
            service="caja",
            to_version="2",
            expected=1,
            deadline=2e9,
        )
    )
    return published


def step(builder, permille, before=0):
    builder.append(
        StepMove(move="m", term=1, expected_permille=before, permille=permille)
    )


def new_share(state, brakes=(), route="quotes", count=4000):
    rng = random.Random(7)
    served = [
        eligible_versions(state, "caja", route, brakes, rng)[0]
        for _ in range(count)
    ]
    return served.count(VersionFilter(only="2")) / count


def brake(move="m", route=""):
    return Brake(
        move=move, service="caja", target_version="2", route=route, reason="r"
    )


def test_new_version_gets_its_share_of_requests(moving):
    assert new_share(moving.state) == 0
    step(moving, 100)
    assert 0.08 < new_share(moving.state) < 0.12


def test_new_version_is_never_the_last_resort(moving):
    step(moving, 10)
    rng = random.Random(1)
    for _ in range(500):
        found = eligible_versions(moving.state, "caja", "quotes", (), rng)
        old, new = VersionFilter(only="1"), VersionFilter(only="2")
        assert found in ((old,), (new, old))


def test_brake_stops_the_new_version_on_its_route_only(moving):
    step(moving, 500)
    assert new_share(moving.state, (brake(),)) == 0
    by_route = (brake(route="deposits"),)
    assert new_share(moving.state, by_route, "deposits") == 0
    assert new_share(moving.state, by_route, "quotes") > 0.4


def test_brake_of_an_earlier_move_stops_nothing(moving):
    step(moving, 500)
    assert new_share(moving.state, (brake(move="old"),)) > 0.4


def test_completed_move_sends_nothing_to_the_old_version(moving):
    moving.append(
        EndMove(move="m", decision=Decision.COMPLETE, by="ana", reason="r")
    )
    assert new_share(moving.state) == 1


def test_taken_back_move_sends_nothing_to_the_new_version(moving):
    step(moving, 500)
    moving.append(
        EndMove(move="m", decision=Decision.TAKE_BACK, by="ana", reason="r")
    )
    assert new_share(moving.state) == 0


def test_unknown_service_has_no_versions(builder):
    builder.append(publish())
    builder.append(claim())
    assert (
        eligible_versions(builder.state, "x", "r", (), random.Random(1)) == ()
    )
