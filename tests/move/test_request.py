"""Results and requests of an earlier era of their source stay what they were."""

import pytest

from fulmarrudder.model.position import position_of
from fulmarrudder.move import (
    MoveRequest,
    MoveRequestStore,
    MoveResult,
    request_id,
)
from fulmarrudder.state_machine import Phase

BEFORE = position_of(1, 5)
AFTER = position_of(2, 3)


@pytest.fixture
def store():
    store = MoveRequestStore()
    store.add_move_request(
        MoveRequest(
            id=request_id("caja", "v2", BEFORE),
            service="caja",
            to_version="v2",
            deadline=2e9,
            offset=BEFORE,
        )
    )
    return store


def result(offset, *, taken_back=True):
    return MoveResult(
        service="caja",
        to_version="v2",
        taken_back=taken_back,
        request_offset=offset,
    )


def phases(store):
    return [move.phase for move in store.moves(())]


@pytest.mark.parametrize("offset", [BEFORE - 1, BEFORE])
def test_result_does_not_go_back(store, offset):
    store.add_move_result(result(BEFORE))
    store.add_move_result(result(offset, taken_back=False))
    assert phases(store) == [Phase.TAKEN_BACK]


@pytest.mark.parametrize("is_read_before", [True, False])
def test_result_follows_a_request_to_its_later_position(store, is_read_before):
    if is_read_before:
        store.add_move_result(result(BEFORE))
    store.follow("caja", position_of(2, 1))
    assert store.follow("caja", AFTER) == request_id("caja", "v2", AFTER)
    if not is_read_before:
        store.add_move_result(result(BEFORE))
    assert phases(store) == [Phase.TAKEN_BACK]
    assert store.results["caja"].request_offset == AFTER
