"""Filter: from a routed request to a call with its deadline."""

import dataclasses
from collections.abc import Callable

from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.dialect import OWN, Dialect, from_caller
from fulmarrudder.call.hop import traced
from fulmarrudder.call.host import HostRequest
from fulmarrudder.call.message import (
    IDEMPOTENCY_KEY_HEADER,
    Refusal,
    RequestHead,
)
from fulmarrudder.call.refusals import malformed
from fulmarrudder.call.route import RoutedRequest
from fulmarrudder.model import Presence, Route

SAFE_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS", b"PUT", b"DELETE"})
KEY_LIMIT = 255
# Callers differ in how long they wait at first; less than this part of the
# longest wait shows that some of it has passed.
LEAST_PATIENCE = 0.8


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """A call under way at its entry node.

    Attributes:
        send_continue: Called once the body is wanted.
        deadline: Clock seconds.
        idempotent: Whether a second run would do no harm.
        key: Idempotency key, or empty when none needs claiming.
        attempts: Attempts made so far.
        may_have_run: Whether any of them may have run the request.
        tried: Nodes that it was sent to.
        span: Span of the call, or None.
        service: Service that the call goes to.
        soft_deadline: Clock seconds until which its answer is worth most, or 0.
        arrivals: Attempts that may have reached a target.
        crowded: Attempts that nodes turned away for want of room.
        id: The caller's id of the request, or empty.
        rank: Urgency among requests; 0 is the most urgent.
        arrived: Clock seconds at which its head came.
    """

    head: RequestHead
    route: Route
    body: RequestBody
    send_continue: Callable[[], None]
    deadline: float
    idempotent: bool
    key: str
    fingerprint: str = ""
    attempts: int = 0
    may_have_run: bool = False
    tried: frozenset[str] = frozenset()
    span: object = None
    service: str = ""
    soft_deadline: float = 0.0
    arrivals: int = 0
    crowded: int = 0
    id: str = ""
    rank: int = 0
    arrived: float = 0.0

    def request_to(
        self, presence: Presence, *, spill_deadline: float = 0.0
    ) -> HostRequest:
        """Returns what a node beside a target is asked.

        Args:
            presence: The node.
            spill_deadline: Clock seconds after which the answer would rather come
                from another one, or 0.
        """
        return HostRequest(
            head=self.head,
            service=presence.service,
            target_version=presence.target_version,
            route=self.route.name,
            fingerprint=self.fingerprint,
            key=self.key,
            repeatable=self.idempotent,
            deadline=self.deadline,
            soft_deadline=self.soft_deadline,
            rank=self.rank,
            spill_deadline=spill_deadline,
        )


class CallerTimeouts:
    """How long callers wait at their first try, learned by route.

    A caller that tries again says how long it still waits; what is missing to
    the usual wait on its route has passed since it first asked.

    Attributes:
        longest: Longest wait seen, in milliseconds, by route.
    """

    __slots__ = ("longest",)

    def __init__(self):
        self.longest: dict[str, int] = {}

    def spent(self, route: str, asked_ms: int) -> int:
        """Returns the milliseconds that a caller has waited so far."""
        longest = self.longest.get(route, 0)
        if asked_ms >= longest:
            self.longest[route] = asked_ms
            return 0
        return max(0, int(longest * LEAST_PATIENCE) - asked_ms)


def plan(
    routed: RoutedRequest,
    body: RequestBody,
    send_continue: Callable[[], None],
    *,
    asked: bytes | None,
    arrived: float,
    span,
    traceparent: bytes | None,
    dialect: Dialect = OWN,
    caller: str = "",
    patience: CallerTimeouts,
) -> Call | Refusal:
    """Plans a call.

    Args:
        routed: The request and its route.
        body: Its body.
        send_continue: Called once the body is wanted.
        asked: For how long the caller will wait, as it wrote it, or None.
        arrived: Clock seconds.
        span: Span of the call, or None.
        traceparent: Field that names the span, or None.
        dialect: Field names.
        caller: Service beside this node.
        patience: How long callers wait at first.
    """
    head, route = routed.head, routed.route
    timeout_ms = route.timeout_ms
    spent_ms = 0
    if asked is not None:
        if not asked.isdigit():
            return malformed("timeout is not a whole number")
        timeout_ms = min(timeout_ms, int(asked))
        spent_ms = patience.spent(route.name, int(asked))
    idempotent = route.idempotent or (
        route.by_method and head.method in SAFE_METHODS
    )
    key = head.headers.get(IDEMPOTENCY_KEY_HEADER) or b""
    if len(key) > KEY_LIMIT:
        return malformed("Idempotency-Key is too long")
    soft_deadline = 0.0
    if route.aim_ms:
        soft_deadline = arrived + (route.aim_ms - spent_ms) / 1000
    head = from_caller(traced(head, traceparent), dialect, caller)
    return Call(
        head=head,
        service=routed.service,
        soft_deadline=soft_deadline,
        rank=route.rank,
        arrived=arrived,
        id=_text(head.headers.get(dialect.request_id)),
        route=route,
        body=body,
        send_continue=send_continue,
        deadline=arrived + timeout_ms / 1000,
        idempotent=idempotent,
        key="" if idempotent else key.decode("latin-1"),
        span=span,
    )


def _text(value: bytes | None) -> str:
    return "" if value is None else value.decode("latin-1")
