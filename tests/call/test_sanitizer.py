"""Heads are checked, and hop-by-hop fields are removed."""

import pytest

from fulmarrudder.call.message import (
    Headers,
    Refusal,
    RequestHead,
    ResponseHead,
)
from fulmarrudder.call.sanitizer import sanitize_request, sanitize_response


def head(*fields, target=b"/x", is_http11=True):
    fields = fields or ((b"host", b"a"),)
    return RequestHead(
        method=b"GET",
        target=target,
        headers=Headers(tuple(fields)),
        is_http11=is_http11,
    )


HOST = (b"host", b"a")


@pytest.mark.parametrize(
    "bad",
    [
        head((b"accept", b"*/*")),
        head(HOST, HOST),
        head(target=b"http://a/x"),
        head(target=b"/a/../deposits"),
        head(target=b"/a/%2e%2E/deposits"),
        head(target=b"/a/."),
        head(target=b"/a b"),
        head(HOST, (b"connection", b"Idempotency-Key")),
        head(HOST, (b"expect", b"miracles")),
    ],
)
def test_bad_head_is_refused_as_not_run(bad):
    refusal = sanitize_request(bad)
    assert isinstance(refusal, Refusal)
    assert refusal.ran.value == "no"
    assert 400 <= refusal.status < 500


def test_hop_by_hop_fields_are_removed():
    kept = sanitize_request(
        head(
            HOST,
            (b"connection", b"x-a, close"),
            (b"x-a", b"1"),
            (b"te", b"trailers"),
            (b"x-b", b"2"),
        )
    )
    assert kept.headers.fields == (HOST, (b"x-b", b"2"))


def test_dots_within_a_segment_are_allowed():
    assert sanitize_request(head(target=b"/a..b/c.d?x=../y")) == head(
        target=b"/a..b/c.d?x=../y"
    )


def test_caller_cannot_set_internal_fields():
    cleaned = sanitize_request(head(HOST, (b"fulmarrudder-route", b"x")))
    assert cleaned.headers.fields == (HOST,)


def test_target_cannot_report_that_a_request_did_not_run():
    response = ResponseHead(
        status=503,
        reason=b"",
        headers=Headers(((b"fulmarrudder-ran", b"no"), (b"x", b"1"))),
    )
    cleaned = sanitize_response(response)
    assert cleaned.headers.fields == ((b"x", b"1"),)
