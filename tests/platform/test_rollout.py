"""The operator's orders, and the verdicts that answer them."""

import json

from fulmarrudder.model import MoveProgress
from fulmarrudder.move import MoveRequestStore, MoveResult
from fulmarrudder.platform.rollout import (
    encode_status,
    parse_move_request,
    parse_status,
)
from fulmarrudder.state_machine import Phase

ORDER = json.dumps(
    {"service": "caja", "targetVersion": "v2", "duration": "16s"}
).encode()


def order(offset=3):
    return parse_move_request(ORDER, offset=offset, now=100.0).ok


def course(permille, phase, step=1):
    return MoveProgress(
        move=order().id,
        service="caja",
        to_version="v2",
        permille=permille,
        phase=phase.value,
        deadline=110.0,
        term=1,
        step=step,
    )


def test_order_becomes_a_move_with_a_deadline():
    book = MoveRequestStore()
    assert book.add_move_request(order())
    assert not book.add_move_request(order())
    move = book.moves(())[0]
    assert (move.service, move.to_version) == ("caja", "v2")
    assert (move.from_version, move.permille) == ("", 0)
    assert move.deadline == 116.0


def test_what_the_controller_said_goes_before_a_verdict_on_record():
    book = MoveRequestStore()
    book.add_move_request(order())
    book.add_move_result(
        MoveResult(service="caja", to_version="v2", taken_back=False)
    )
    assert book.moves(())[0].phase is Phase.COMPLETED
    move = book.moves((course(60, Phase.RUNNING),))[0]
    assert (move.phase, move.permille) == (Phase.RUNNING, 60)


def test_status_is_read_back_as_its_verdict():
    ended = encode_status(Phase.TAKEN_BACK, "v2")
    assert json.loads(ended) == {
        "state": "rolled_back",
        "targetVersion": "v2",
    }
    assert parse_status("caja", ended).ok.taken_back
    assert parse_status("caja", encode_status(Phase.RUNNING, "v2")).ok is None
    assert parse_status("caja", b"{}").is_error()


def test_order_without_a_duration_is_refused():
    bad = json.dumps({"service": "caja", "targetVersion": "v2"}).encode()
    assert parse_move_request(bad, offset=0, now=0.0).is_error()
