"""Pins the header fields between nodes, callers and targets.

During an upgrade, nodes of two builds call each other, so that a renamed field
would break their calls.
"""

from fulmarrudder.call.codec import (
    encode_request,
    encode_response,
    refusal_body,
    refusal_head,
)
from fulmarrudder.call.header_names import (
    DEFAULT_HEADER_NAMES,
    request_id_fields,
    target_fields,
    with_calling_service,
)
from fulmarrudder.call.hop import (
    hop_fields,
    load_field,
    parse_host_request,
    parse_load_report,
    parse_refusal,
)
from fulmarrudder.call.host import HostRequest
from fulmarrudder.call.message import (
    IDEMPOTENCY_KEY_HEADER,
    Framing,
    Headers,
    Ran,
    Refusal,
    RefusalReason,
    RequestHead,
    ResponseHead,
)
from fulmarrudder.platform.header_names import HEADER_NAMES

HEAD = RequestHead(
    method=b"POST",
    target=b"/deposits/1",
    headers=Headers(
        (
            (b"host", b"esfera.example"),
            (b"x-request-id", b"r-1"),
            (b"x-caller-service", b"forged"),
            (IDEMPOTENCY_KEY_HEADER, b"k-1"),
        )
    ),
    framing=Framing.LENGTH,
    length=5,
)


def request(*, repeatable, times):
    """Returns a request to a host node, with or without optional deadlines."""
    return HostRequest(
        head=HEAD,
        service="caja fuerte",
        target_version="2",
        route="deposits",
        fingerprint="f1",
        key="" if repeatable else "k-1",
        repeatable=repeatable,
        deadline=101.5,
        soft_deadline=100.25 if times else 0.0,
        rank=3,
        spill_deadline=100.125 if times else 0.0,
    )


def test_fields_of_a_hop_stay(snapshot):
    for repeatable in (False, True):
        for times in (False, True):
            for expect_continue in (False, True):
                sent = request(repeatable=repeatable, times=times)
                fields = hop_fields(
                    sent, b"token", 100.0, expect_continue=expect_continue
                )
                name = f"{repeatable} {times} {expect_continue}"
                assert fields == snapshot(name=name)
                assert parse_host_request(HEAD, fields[0][1], 100.0) == sent


def test_field_of_load_stays(snapshot):
    field = load_field(7, 0.25)
    assert field == snapshot(name="load")
    head = ResponseHead(status=200, reason=b"OK", headers=Headers((field,)))
    told = parse_load_report(head)
    assert (told.load, told.service_time_s) == (7, 0.25)


def test_heads_and_bodies_of_refusals_stay(snapshot):
    for reason in RefusalReason:
        for ran in Ran:
            refusal = Refusal(
                status=503,
                reason=reason,
                ran=ran,
                detail="why",
                retry_after_s=0.25,
                reached_target=ran is Ran.UNKNOWN,
            )
            body = refusal_body(refusal)
            head = refusal_head(refusal, body)
            sent = encode_response(head) + body
            assert sent == snapshot(name=f"{reason.value} {ran.value}")
            read = parse_refusal(head)
            assert (read.reason, read.ran, read.reached_target) == (
                reason,
                ran,
                refusal.reached_target,
            )


def test_fields_for_targets_stay(snapshot):
    for name, header_names in (
        ("own", DEFAULT_HEADER_NAMES),
        ("platform", HEADER_NAMES),
    ):
        fields = target_fields(header_names, left_ms=250, target="i-1")
        head = with_calling_service(HEAD, header_names, "vitrina")
        assert encode_request(head, fields) == snapshot(name=name)
        assert request_id_fields(HEAD, header_names) == snapshot(
            name=f"{name} id"
        )
