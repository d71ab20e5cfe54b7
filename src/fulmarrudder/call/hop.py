"""Border between an entry node and the node beside a target.

Deadlines cross as the time left and are stored as deadlines on arrival.
"""

from fulmarrudder.call.host import HostRequest
from fulmarrudder.call.message import (
    ARRIVED_HEADER,
    ELSEWHERE_HEADER,
    FINGERPRINT_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    LOAD_HEADER,
    PEER_HEADER,
    PROMPT_HEADER,
    RAN_HEADER,
    RANK_HEADER,
    REASON_HEADER,
    REPEATABLE_HEADER,
    RETRY_AFTER_HEADER,
    ROUTE_HEADER,
    TARGET_HEADER,
    TIME_LEFT_HEADER,
    Headers,
    Ran,
    Refusal,
    RefusalReason,
    RequestHead,
    ResponseHead,
)
from fulmarrudder.call.refusals import malformed
from fulmarrudder.call.screen import strip_own

TIME_LEFT_LIMIT_MS = 24 * 3600 * 1000
YES = b"yes"
EXPECT = (b"expect", b"100-continue")


def hop_head(
    request: HostRequest, token: bytes, now: float, *, waits: bool
) -> RequestHead:
    """Builds the head that carries a request to another node.

    Args:
        request: The request.
        token: Token by which nodes know each other.
        now: Clock seconds.
        waits: Whether the body waits until the other node wants it.
    """
    left_ms = max(0, int((request.deadline - now) * 1000))
    target = f"{request.service}/{request.target_version}".encode()
    fields = [
        (PEER_HEADER, token),
        (TIME_LEFT_HEADER, b"%d" % left_ms),
        (TARGET_HEADER, target),
        (ROUTE_HEADER, request.route.encode()),
        (FINGERPRINT_HEADER, request.fingerprint.encode()),
    ]
    if request.repeatable:
        fields.append((REPEATABLE_HEADER, YES))
    if request.rank:
        fields.append((RANK_HEADER, b"%d" % request.rank))
    if request.prompt:
        prompt_ms = max(1, int((request.prompt - now) * 1000))
        fields.append((PROMPT_HEADER, b"%d" % prompt_ms))
    if request.elsewhere:
        fields.append((ELSEWHERE_HEADER, YES))
    if waits:
        fields.append(EXPECT)
    headers = request.head.headers.having(*fields)
    return request.head.with_headers(headers)


def traced(head: RequestHead, traceparent: bytes | None) -> RequestHead:
    """Returns a head that names a span in its W3C field."""
    if traceparent is None:
        return head
    fields = tuple(f for f in head.headers.fields if f[0] != b"traceparent")
    headers = Headers((*fields, (b"traceparent", traceparent)))
    return head.with_headers(headers)


def host_request(head: RequestHead, now: float) -> HostRequest | Refusal:
    """Reads the request that a hop's head carries.

    Args:
        head: A screened head from an authenticated node.
        now: Clock seconds.

    Returns:
        The request, or a refusal when fields are missing or wrong.
    """
    headers = head.headers
    left = headers.get(TIME_LEFT_HEADER) or b""
    service, _, version = (headers.get(TARGET_HEADER) or b"").partition(b"/")
    if not left.isdigit() or int(left) > TIME_LEFT_LIMIT_MS:
        return malformed("time left is missing or wrong")
    if not service or not version:
        return malformed("target is missing")
    repeatable = headers.get(REPEATABLE_HEADER) == YES
    prompt_ms = _number(headers.get(PROMPT_HEADER))
    key = b"" if repeatable else headers.get(IDEMPOTENCY_KEY_HEADER) or b""
    return HostRequest(
        head=strip_own(head),
        service=service.decode("latin-1"),
        target_version=version.decode("latin-1"),
        route=(headers.get(ROUTE_HEADER) or b"").decode("latin-1"),
        fingerprint=(headers.get(FINGERPRINT_HEADER) or b"").decode("latin-1"),
        key=key.decode("latin-1"),
        repeatable=repeatable,
        deadline=now + int(left) / 1000,
        prompt=now + prompt_ms / 1000 if prompt_ms else 0.0,
        rank=_number(headers.get(RANK_HEADER)),
        elsewhere=headers.get(ELSEWHERE_HEADER) == YES,
    )


def _number(value: bytes | None) -> int:
    return int(value) if value is not None and value.isdigit() else 0


def load_field(running: int, slots: int) -> tuple[bytes, bytes]:
    """Returns the field by which a node tells how busy its target is.

    Args:
        running: Requests that run or wait there.
        slots: Requests that the target serves at once.
    """
    return (LOAD_HEADER, b"%d/%d" % (running, slots))


def load_of(head: ResponseHead) -> int | None:
    """Returns how many requests ran or waited beside a node, if it tells."""
    value = head.headers.get(LOAD_HEADER)
    if value is None:
        return None
    running = value.partition(b"/")[0]
    return int(running) if running.isdigit() else None


def without_load(head: ResponseHead) -> ResponseHead:
    """Returns an answer's head for a caller."""
    kept = tuple(f for f in head.headers.fields if f[0] != LOAD_HEADER)
    return head.with_headers(Headers(kept))


def refusal_of(head: ResponseHead) -> Refusal | None:
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
            arrived=head.headers.get(ARRIVED_HEADER) == YES,
        )
    except ValueError:
        return None


def _seconds(value: bytes | None) -> float | None:
    return None if value is None else float(value)
