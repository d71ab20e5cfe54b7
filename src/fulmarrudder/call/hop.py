"""Border between an entry node and the node beside a target.

Deadlines cross as the time left and are stored as deadlines on arrival.
"""

import functools
import urllib.parse

from fulmarrudder.call.endpoint_stats import LoadReport
from fulmarrudder.call.host import HostRequest
from fulmarrudder.call.message import (
    IDEMPOTENCY_KEY_HEADER,
    LOAD_HEADER,
    PEER_HEADER,
    RAN_HEADER,
    REACHED_TARGET_HEADER,
    REASON_HEADER,
    RETRY_AFTER_HEADER,
    Field,
    Headers,
    Ran,
    Refusal,
    RefusalReason,
    RequestHead,
    ResponseHead,
)
from fulmarrudder.call.refusals import malformed

TIME_LEFT_LIMIT_MS = 24 * 3600 * 1000
YES = b"yes"
HOP_PARTS = 10
# A name is led by a dash, so that an empty one is a part as well.
LEAST_NAME = 2
EXPECT = (b"expect", b"100-continue")


def hop_fields(
    request: HostRequest, token: bytes, now: float, *, expect_continue: bool
) -> tuple[Field, ...]:
    """Builds the fields that carry a request to another node.

    One field carries all that nodes tell each other of a request, as bytes
    between data centres are dear.

    Args:
        request: The request.
        token: Token by which nodes know each other.
        now: Clock seconds.
        expect_continue: Whether the body waits until the other node wants it.
    """
    left_ms = max(0, int((request.deadline - now) * 1000))
    prompt_ms = 0
    if request.soft_deadline:
        prompt_ms = max(1, int((request.soft_deadline - now) * 1000))
    comfort_ms = 0
    if request.spill_deadline:
        comfort_ms = max(1, int((request.spill_deadline - now) * 1000))
    flags = b"r" if request.repeatable else b""
    value = b" ".join(
        (
            token,
            b"%d" % left_ms,
            b"%d" % prompt_ms,
            b"%d" % comfort_ms,
            b"%d" % request.rank,
            b"-" + flags,
            _quoted(request.service),
            _quoted(request.target_version),
            _quoted(request.route),
            request.fingerprint.encode(),
        )
    )
    if expect_continue:
        return (PEER_HEADER, value), EXPECT
    return ((PEER_HEADER, value),)


@functools.lru_cache(maxsize=4_096)
def _quoted(name: str) -> bytes:
    return b"-" + urllib.parse.quote(name).encode()


def parse_token(shown: bytes) -> bytes:
    """Returns the token in the field that a head from another node carries.

    Args:
        shown: Value of the field.
    """
    return shown.partition(b" ")[0]


def with_traceparent(
    head: RequestHead, traceparent: bytes | None
) -> RequestHead:
    """Returns a head that names a span in its W3C field."""
    if traceparent is None:
        return head
    fields = tuple(f for f in head.headers.fields if f[0] != b"traceparent")
    headers = Headers((*fields, (b"traceparent", traceparent)))
    return head.with_headers(headers)


def parse_host_request(
    head: RequestHead, shown: bytes, now: float
) -> HostRequest | Refusal:
    """Reads the request that a hop carries.

    Args:
        head: A screened head from an authenticated node.
        shown: Value of the field by which nodes tell each other of it.
        now: Clock seconds.

    Returns:
        The request, or a refusal when parts are missing or wrong.
    """
    parts = shown.split(b" ")
    if len(parts) != HOP_PARTS:
        return malformed("fields of the hop are missing")
    numbers, (flags, service, version, route, fingerprint) = (
        parts[1:5],
        parts[5:],
    )
    if not all(number.isdigit() for number in numbers):
        return malformed("numbers of the hop are wrong")
    left, soft_deadline, spill_deadline, rank = map(int, numbers)
    if left > TIME_LEFT_LIMIT_MS:
        return malformed("time left is wrong")
    if len(service) < LEAST_NAME or len(version) < LEAST_NAME:
        return malformed("target is missing")
    repeatable = b"r" in flags
    key = b"" if repeatable else head.headers.get(IDEMPOTENCY_KEY_HEADER) or b""
    return HostRequest(
        head=head,
        service=_unquoted(service),
        target_version=_unquoted(version),
        route=_unquoted(route),
        fingerprint=fingerprint.decode("latin-1"),
        key=key.decode("latin-1"),
        repeatable=repeatable,
        deadline=now + left / 1000,
        soft_deadline=now + soft_deadline / 1000 if soft_deadline else 0.0,
        rank=rank,
        spill_deadline=now + spill_deadline / 1000 if spill_deadline else 0.0,
    )


@functools.lru_cache(maxsize=4_096)
def _unquoted(name: bytes) -> str:
    return urllib.parse.unquote(name[1:].decode("latin-1"))


def load_field(load: int, service_time_s: float) -> Field:
    """Returns the field by which a node tells how busy its target is.

    Args:
        load: Requests that run or wait there.
        service_time_s: Seconds for which one of the kind asked for holds its slot.
    """
    return (LOAD_HEADER, b"%d/%d" % (load, max(1, service_time_s * 1000)))


def parse_load_report(head: ResponseHead) -> LoadReport | None:
    """Returns what a node told of its target, if it did."""
    value = head.headers.get(LOAD_HEADER)
    if value is None:
        return None
    load, _, held_ms = value.partition(b"/")
    if not load.isdigit() or not held_ms.isdigit():
        return None
    return LoadReport(load=int(load), service_time_s=int(held_ms) / 1000)


def parse_refusal(head: ResponseHead) -> Refusal | None:
    """Returns the refusal that another node's answer tells, or None."""
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
