"""Fields of another front end, and answers that are not to be believed."""

import pytest

from fulmarrudder.call.header_names import (
    AnswerValidity,
    HeaderNames,
    check_answer,
    target_fields,
    with_calling_service,
)
from fulmarrudder.call.message import Headers, RequestHead, ResponseHead

DIALECT = HeaderNames(
    caller_timeout=b"x-left",
    request_id=b"x-id",
    time_remaining=b"x-left",
    calling_service=b"x-caller",
    expected_target=b"x-expected",
    response_seal=b"x-seal",
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
        (answer(200, (b"x-id", b"1"), (b"x-seal", b"s")), AnswerValidity.VALID),
        (answer(500, (b"x-id", b"1"), (b"x-seal", b"s")), AnswerValidity.VALID),
        (answer(200, (b"x-id", b"1")), AnswerValidity.MISMATCHED),
        (
            answer(200, (b"x-id", b"0"), (b"x-seal", b"s")),
            AnswerValidity.MISMATCHED,
        ),
        (answer(200, (b"x-seal", b"s")), AnswerValidity.MISMATCHED),
        (
            answer(
                200,
                (b"x-id", b"1"),
                (b"x-seal", b"s"),
                (b"content-encoding", b"gzip"),
            ),
            AnswerValidity.MISMATCHED,
        ),
        (answer(503, (b"x-not-run", b"1")), AnswerValidity.NOT_RUN),
        (answer(421, (b"x-other", b"i-2")), AnswerValidity.MISDIRECTED),
    ],
)
def test_answer_is_believed_only_if_it_is_to_this_request(head, found):
    assert check_answer(head, request(), DIALECT) is found


def test_front_end_without_such_fields_believes_every_answer():
    assert (
        check_answer(answer(421), request(), HeaderNames())
        is AnswerValidity.VALID
    )


def test_target_gets_the_time_left_and_its_own_id_whatever_was_sent():
    head = request((b"x-left", b"9999"), (b"x-expected", b"another"))
    kept = with_calling_service(head, DIALECT, "").headers
    assert kept.get(b"x-left") is None
    assert kept.get(b"x-expected") is None
    assert target_fields(DIALECT, left_ms=70, target="i-1") == (
        (b"x-left", b"70"),
        (b"x-expected", b"i-1"),
    )


def test_calling_service_is_set_whatever_was_sent():
    head = with_calling_service(
        request((b"x-caller", b"forged")), DIALECT, "caja"
    )
    assert head.headers.get(b"x-caller") == b"caja"
    assert head.headers.count(b"x-caller") == 1
