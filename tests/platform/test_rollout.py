"""The operator's orders, and the verdicts that answer them."""

import json

from fulmarrudder.fold import Phase
from fulmarrudder.model import Course
from fulmarrudder.move import OrderBook, Verdict
from fulmarrudder.platform.rollout import (
    read_order,
    read_verdict,
    write_status,
)

ORDER = json.dumps(
    {"service": "caja", "targetVersion": "v2", "duration": "16s"}
).encode()


def order(offset=3):
    return read_order(ORDER, offset=offset, now=100.0).ok


def course(permille, phase, step=1):
    return Course(
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
    book = OrderBook()
    assert book.take_order(order())
    assert not book.take_order(order())
    move = book.moves(())[0]
    assert (move.service, move.to_version) == ("caja", "v2")
    assert (move.from_version, move.permille) == ("", 0)
    assert move.deadline == 116.0


def test_what_the_controller_said_goes_before_a_verdict_on_record():
    book = OrderBook()
    book.take_order(order())
    book.take_verdict(
        Verdict(service="caja", to_version="v2", taken_back=False)
    )
    assert book.moves(())[0].phase is Phase.COMPLETED
    move = book.moves((course(60, Phase.RUNNING),))[0]
    assert (move.phase, move.permille) == (Phase.RUNNING, 60)


def test_status_is_read_back_as_its_verdict():
    ended = write_status(Phase.TAKEN_BACK, "v2")
    assert json.loads(ended) == {
        "state": "rolled_back",
        "targetVersion": "v2",
    }
    assert read_verdict("caja", ended).ok.taken_back
    assert read_verdict("caja", write_status(Phase.RUNNING, "v2")).ok is None
    assert read_verdict("caja", b"{}").is_error()


def test_order_without_a_duration_is_refused():
    bad = json.dumps({"service": "caja", "targetVersion": "v2"}).encode()
    assert read_order(bad, offset=0, now=0.0).is_error()
