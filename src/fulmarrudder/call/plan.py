"""Filter: from a routed request to a call with its deadline."""

import dataclasses
from collections.abc import Callable

from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.hop import traced
from fulmarrudder.call.host import HostRequest
from fulmarrudder.call.message import (
    IDEMPOTENCY_KEY_HEADER,
    TIMEOUT_HEADER,
    Refusal,
    RequestHead,
)
from fulmarrudder.call.refusals import malformed
from fulmarrudder.call.route import Routed
from fulmarrudder.call.screen import strip_own
from fulmarrudder.model import Presence, Route

SAFE_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS", b"PUT", b"DELETE"})
KEY_LIMIT = 255


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """A call under way at its entry node.

    Attributes:
        ready: Called once the body is wanted.
        deadline: Clock seconds.
        idempotent: Whether a second run would do no harm.
        key: Idempotency key, or empty when none needs claiming.
        attempts: Attempts made so far.
        may_have_run: Whether any of them may have run the request.
        tried: Nodes that it was sent to.
        span: Span of the call, or None.
    """

    head: RequestHead
    route: Route
    body: RequestBody
    ready: Callable[[], None]
    deadline: float
    idempotent: bool
    key: str
    fingerprint: str = ""
    attempts: int = 0
    may_have_run: bool = False
    tried: frozenset[str] = frozenset()
    span: object = None

    def request_to(self, presence: Presence) -> HostRequest:
        """Returns what a node beside a target is asked."""
        return HostRequest(
            head=self.head,
            service=presence.service,
            target_version=presence.target_version,
            route=self.route.name,
            fingerprint=self.fingerprint,
            key=self.key,
            repeatable=self.idempotent,
            deadline=self.deadline,
        )


def plan(
    routed: Routed,
    body: RequestBody,
    ready: Callable[[], None],
    *,
    arrived: float,
    span,
    traceparent: bytes | None,
) -> Call | Refusal:
    """Plans a call.

    Args:
        routed: The request and its route.
        body: Its body.
        ready: Called once the body is wanted.
        arrived: Clock seconds.
        span: Span of the call, or None.
        traceparent: Field that names the span, or None.
    """
    head, route = routed.head, routed.route
    timeout_ms = route.timeout_ms
    asked = head.headers.get(TIMEOUT_HEADER)
    if asked is not None:
        if not asked.isdigit():
            return malformed("timeout is not a whole number")
        timeout_ms = min(timeout_ms, int(asked))
    idempotent = route.idempotent or head.method in SAFE_METHODS
    key = head.headers.get(IDEMPOTENCY_KEY_HEADER) or b""
    if len(key) > KEY_LIMIT:
        return malformed("Idempotency-Key is too long")
    return Call(
        head=traced(strip_own(head), traceparent),
        route=route,
        body=body,
        ready=ready,
        deadline=arrived + timeout_ms / 1000,
        idempotent=idempotent,
        key="" if idempotent else key.decode("latin-1"),
        span=span,
    )
