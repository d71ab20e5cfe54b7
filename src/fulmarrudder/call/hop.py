"""Encoding of requests and refusals between an entry node and a host node.

Deadlines are sent as time left, because nodes share no clock, and are converted
back to deadlines on arrival.
"""

import functools
import urllib.parse

from fulmarrudder.call.endpoint_stats import LoadReport
from fulmarrudder.call.header_names import (
    DEFAULT_HEADER_NAMES,
    HeaderNames,
    key_of,
)
from fulmarrudder.call.host import HostRequest
from fulmarrudder.call.message import (
    LOAD_HEADER,
    PEER_HEADER,
    RAN_HEADER,
    REACHED_TARGET_HEADER,
    REASON_HEADER,
    RETRY_AFTER_HEADER,
    Field,
    Ran,
    Refusal,
    RefusalReason,
    RequestHead,
    ResponseHead,
)
from fulmarrudder.call.refusals import malformed

TIME_LEFT_LIMIT_MS = 24 * 3600 * 1000
YES = b"yes"
PEER_FIELD_PARTS = 10
# Names start with a dash, so that an empty name is still a part.
MIN_NAME_BYTES = 2
EXPECT = (b"expect", b"100-continue")


def hop_fields(
    request: HostRequest, token: bytes, now: float, *, expect_continue: bool
) -> tuple[Field, ...]:
    """Builds the fields that carry a request to another node.

    A single field holds all the metadata of a request, because bytes between
    data centres are expensive.

    Args:
        request: The request.
        token: Token by which nodes authenticate each other.
        now: Clock seconds.
        expect_continue: Whether the body is sent only after 100 Continue.
    """
    left_ms = max(0, int((request.deadline - now) * 1000))
    soft_ms = 0
    if request.soft_deadline:
        soft_ms = max(1, int((request.soft_deadline - now) * 1000))
    spill_ms = 0
    if request.spill_deadline:
        spill_ms = max(1, int((request.spill_deadline - now) * 1000))
    flags = b"r" if request.repeatable else b""
    value = b" ".join(
        (
            token,
            b"%d" % left_ms,
            b"%d" % soft_ms,
            b"%d" % spill_ms,
            b"%d" % request.rank,
            b"-" + flags,
            _encode_name(request.service),
            _encode_name(request.target_version),
            _encode_name(request.route),
            request.fingerprint.encode(),
        )
    )
    if expect_continue:
        return (PEER_HEADER, value), EXPECT
    return ((PEER_HEADER, value),)


@functools.lru_cache(maxsize=4_096)
def _encode_name(name: str) -> bytes:
    return b"-" + urllib.parse.quote(name).encode()


def parse_token(value: bytes) -> bytes:
    """Returns the token of another node's request.

    Args:
        value: Value of the peer field.
    """
    return value.partition(b" ")[0]


def with_traceparent(
    head: RequestHead, traceparent: bytes | None
) -> RequestHead:
    """Returns a head with a W3C `traceparent` field."""
    if traceparent is None:
        return head
    headers = head.headers.replace(
        (b"traceparent",), (b"traceparent", traceparent)
    )
    return head.with_headers(headers)


def parse_host_request(
    head: RequestHead,
    value: bytes,
    now: float,
    header_names: HeaderNames = DEFAULT_HEADER_NAMES,
) -> HostRequest | Refusal:
    """Parses the request that another node sent.

    Args:
        head: A sanitized head from an authenticated node.
        value: Value of the peer field.
        now: Clock seconds.
        header_names: Field names.

    Returns:
        The request, or a refusal when parts are missing or wrong.
    """
    parts = value.split(b" ")
    if len(parts) != PEER_FIELD_PARTS:
        return malformed("fields of the hop are missing")
    numbers, (flags, service, version, route, fingerprint) = (
        parts[1:5],
        parts[5:],
    )
    if not all(number.isdigit() for number in numbers):
        return malformed("numbers of the hop are wrong")
    left_ms, soft_ms, spill_ms, rank = map(int, numbers)
    if left_ms > TIME_LEFT_LIMIT_MS:
        return malformed("time left is wrong")
    if len(service) < MIN_NAME_BYTES or len(version) < MIN_NAME_BYTES:
        return malformed("target is missing")
    repeatable = b"r" in flags
    key = b"" if repeatable else key_of(head, header_names)
    return HostRequest(
        head=head,
        service=_decode_name(service),
        target_version=_decode_name(version),
        route=_decode_name(route),
        fingerprint=fingerprint.decode("latin-1"),
        key=key.decode("latin-1"),
        repeatable=repeatable,
        deadline=now + left_ms / 1000,
        soft_deadline=now + soft_ms / 1000 if soft_ms else 0.0,
        rank=rank,
        spill_deadline=now + spill_ms / 1000 if spill_ms else 0.0,
    )


@functools.lru_cache(maxsize=4_096)
def _decode_name(name: bytes) -> str:
    return urllib.parse.unquote(name[1:].decode("latin-1"))


def load_field(load: int, service_time_s: float) -> Field:
    """Returns the field that reports the load of a node's target.

    Args:
        load: Number of requests that run or are queued at the target.
        service_time_s: Service time of the request's route, in seconds.
    """
    return (LOAD_HEADER, b"%d/%d" % (load, max(1, service_time_s * 1000)))


def parse_load_report(head: ResponseHead) -> LoadReport | None:
    """Returns the load report of an answer, or None."""
    value = head.headers.get(LOAD_HEADER)
    if value is None:
        return None
    load, _, service_time_ms = value.partition(b"/")
    if not load.isdigit() or not service_time_ms.isdigit():
        return None
    return LoadReport(
        load=int(load), service_time_s=int(service_time_ms) / 1000
    )


def parse_refusal(head: ResponseHead) -> Refusal | None:
    """Returns the refusal in another node's answer, or None."""
    ran = head.headers.get(RAN_HEADER)
    reason = head.headers.get(REASON_HEADER)
    if ran is None or reason is None:
        return None
    try:
        return Refusal(
            status=head.status,
            reason=RefusalReason(reason.decode("latin-1")),
            ran=Ran(ran.decode("latin-1")),
            retry_after_s=_seconds(head.headers.get(RETRY_AFTER_HEADER)),
            reached_target=head.headers.get(REACHED_TARGET_HEADER) == YES,
        )
    except ValueError:
        return None


def _seconds(value: bytes | None) -> float | None:
    return None if value is None else float(value)
