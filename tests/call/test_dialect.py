"""Fields of another front end, and answers that are not to be believed."""

import pytest

from fulmarrudder.call.dialect import (
    Dialect,
    Soundness,
    for_target,
    from_caller,
    soundness,
)
from fulmarrudder.call.message import Headers, RequestHead, ResponseHead

DIALECT = Dialect(
    time_left=b"x-left",
    request_id=b"x-id",
    work_until=b"x-left",
    caller=b"x-caller",
    expected=b"x-expected",
    seal=b"x-seal",
    not_run=b"x-not-run",
)


def request(*fields):
    return RequestHead(
        method=b"GET", target=b"/", headers=Headers(((b"x-id", b"1"), *fields))
    )


def answer(status, *fields):
    return ResponseHead(status=status, reason=b"", headers=Headers(fields))


@pytest.mark.parametrize(
    ("head", "found"),
    [
        (answer(200, (b"x-id", b"1"), (b"x-seal", b"s")), Soundness.SOUND),
        (answer(500, (b"x-id", b"1"), (b"x-seal", b"s")), Soundness.SOUND),
        (answer(200, (b"x-id", b"1")), Soundness.FOREIGN),
        (answer(200, (b"x-id", b"0"), (b"x-seal", b"s")), Soundness.FOREIGN),
        (answer(200, (b"x-seal", b"s")), Soundness.FOREIGN),
        (
            answer(
                200,
                (b"x-id", b"1"),
                (b"x-seal", b"s"),
                (b"content-encoding", b"gzip"),
            ),
            Soundness.FOREIGN,
        ),
        (answer(503, (b"x-not-run", b"1")), Soundness.TURNED_AWAY),
        (answer(421, (b"x-other", b"i-2")), Soundness.MISDIRECTED),
    ],
)
def test_answer_is_believed_only_if_it_is_to_this_request(head, found):
    assert soundness(head, request(), DIALECT) is found


def test_front_end_without_such_fields_believes_every_answer():
    assert soundness(answer(421), request(), Dialect()) is Soundness.SOUND


def test_target_gets_the_time_left_and_its_own_id_whatever_was_sent():
    head = request((b"x-left", b"9999"), (b"x-expected", b"another"))
    kept = from_caller(head, DIALECT, "").headers
    assert kept.get(b"x-left") is None
    assert kept.get(b"x-expected") is None
    assert for_target(DIALECT, left_ms=70, target="i-1") == (
        (b"x-left", b"70"),
        (b"x-expected", b"i-1"),
    )


def test_calling_service_is_set_whatever_was_sent():
    head = from_caller(request((b"x-caller", b"forged")), DIALECT, "caja")
    assert head.headers.get(b"x-caller") == b"caja"
    assert head.headers.count(b"x-caller") == 1
