"""Filter: from a routed request to a call with its deadline."""

import dataclasses
from collections.abc import Callable

from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.header_names import (
    DEFAULT_HEADER_NAMES,
    HeaderNames,
    key_of,
    with_calling_service,
)
from fulmarrudder.call.hop import with_traceparent
from fulmarrudder.call.host import HostRequest
from fulmarrudder.call.message import Refusal, RequestHead
from fulmarrudder.call.refusals import malformed
from fulmarrudder.call.route import RoutedRequest
from fulmarrudder.model import Presence, Route, Workspace

IDEMPOTENT_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS", b"PUT", b"DELETE"})
MAX_KEY_BYTES = 255
# Initial timeouts of callers vary. A timeout below this fraction of the longest
# one shows that the caller has already waited.
MIN_TIMEOUT_FRACTION = 0.8


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """A call in progress at its entry node.

    Attributes:
        head: Head for the target.
        route: Route that it matched.
        body: Body of the request.
        send_continue: Sends 100 Continue if the caller waits for it.
        deadline: Clock seconds.
        idempotent: Whether the request may safely run twice.
        key: Idempotency key, or empty when no claim is needed.
        fingerprint: Digest of the request.
        attempts: Attempts made so far.
        may_have_run: Whether any attempt may have run the request.
        tried_nodes: Ids of the nodes that it was sent to.
        span: Span of the call, or None.
        service: Service that the call goes to.
        soft_deadline: Clock seconds after which an answer is late but still
            useful; 0 without a latency objective.
        target_attempts: Attempts that may have reached a target.
        capacity_refusals: Attempts that nodes refused for lack of capacity.
        id: Request id set by the caller, or empty.
        rank: Priority; 0 is the most urgent.
        arrived_at: Clock seconds at which its head arrived.
        contacted: Whether an attempt has reached the node of a target.
        workspace: Workspace that it belongs to, or None.
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
    tried_nodes: frozenset[str] = frozenset()
    span: object = None
    service: str = ""
    soft_deadline: float = 0.0
    target_attempts: int = 0
    capacity_refusals: int = 0
    id: str = ""
    rank: int = 0
    arrived_at: float = 0.0
    contacted: bool = False
    workspace: Workspace | None = None

    @property
    def may_run_again(self) -> bool:
        """Whether no earlier attempt forbids that the call is sent again."""
        return self.idempotent or bool(self.key) or not self.may_have_run

    def request_to(
        self, presence: Presence, *, spill_deadline: float = 0.0
    ) -> HostRequest:
        """Returns the request to a host node.

        Args:
            presence: The host node.
            spill_deadline: Clock seconds; if the answer is expected later, the
                node refuses so that the call can go to another endpoint. 0
                when there is no other.
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
    """Estimates how long callers have waited, from their timeouts.

    A caller that retries sends the time that it has left. The difference from
    the usual initial timeout on its route has passed since its first attempt.

    Attributes:
        longest_ms: Longest timeout seen, in milliseconds, by route.
    """

    __slots__ = ("longest_ms",)

    def __init__(self):
        self.longest_ms: dict[str, int] = {}

    def elapsed_ms(self, route: str, requested_ms: int) -> int:
        """Returns the milliseconds that a caller has waited so far.

        Args:
            route: Name of the route.
            requested_ms: Timeout that the caller sent.
        """
        longest_ms = self.longest_ms.get(route, 0)
        if requested_ms >= longest_ms:
            self.longest_ms[route] = requested_ms
            return 0
        return max(0, int(longest_ms * MIN_TIMEOUT_FRACTION) - requested_ms)


def plan_call(
    routed: RoutedRequest,
    body: RequestBody,
    send_continue: Callable[[], None],
    *,
    requested_timeout: bytes | None,
    arrived_at: float,
    span,
    traceparent: bytes | None,
    header_names: HeaderNames = DEFAULT_HEADER_NAMES,
    calling_service: str = "",
    caller_timeouts: CallerTimeouts,
) -> Call | Refusal:
    """Builds the call for a routed request.

    Args:
        routed: The request and its route.
        body: Its body.
        send_continue: Sends 100 Continue if the caller waits for it.
        requested_timeout: Timeout field of the caller in milliseconds, as
            sent, or None.
        arrived_at: Clock seconds.
        span: Span of the call, or None.
        traceparent: Value of the W3C traceparent field, or None.
        header_names: Header field names.
        calling_service: Service of the local target.
        caller_timeouts: Initial timeouts of callers.

    Returns:
        The call, or a refusal when a field is malformed.
    """
    head, route = routed.head, routed.route
    timeout_ms = route.timeout_ms
    elapsed_ms = 0
    if requested_timeout is not None:
        if not requested_timeout.isdigit():
            return malformed("timeout is not a whole number")
        timeout_ms = min(timeout_ms, int(requested_timeout))
        elapsed_ms = caller_timeouts.elapsed_ms(
            route.name, int(requested_timeout)
        )
    idempotent = route.idempotent or (
        route.by_method and head.method in IDEMPOTENT_METHODS
    )
    key = key_of(head, header_names)
    if len(key) > MAX_KEY_BYTES:
        return malformed("Idempotency-Key is too long")
    soft_deadline = 0.0
    if route.latency_objective_ms:
        soft_deadline = (
            arrived_at + (route.latency_objective_ms - elapsed_ms) / 1000
        )
    head = with_calling_service(
        with_traceparent(head, traceparent), header_names, calling_service
    )
    return Call(
        head=head,
        service=routed.service,
        soft_deadline=soft_deadline,
        rank=_rank_of(routed),
        workspace=routed.workspace,
        arrived_at=arrived_at,
        id=_text(head.headers.get(header_names.request_id)),
        route=route,
        body=body,
        send_continue=send_continue,
        deadline=arrived_at + timeout_ms / 1000,
        idempotent=idempotent,
        key="" if idempotent else key.decode("latin-1"),
        span=span,
    )


def _rank_of(routed: RoutedRequest) -> int:
    """Returns the priority of a request; that of its workspace goes first."""
    workspace = routed.workspace
    if workspace is None or workspace.rank is None:
        return routed.route.rank
    return workspace.rank


def _text(value: bytes | None) -> str:
    return "" if value is None else value.decode("latin-1")
