"""Filter: sends a call to a host node, and waits for its answer."""

import collections
import dataclasses
import enum
from collections.abc import Callable

from fulmarrudder.call.endpoint_stats import LoadReport
from fulmarrudder.call.errors import WithheldError
from fulmarrudder.call.exchange import Exchange, UpstreamAnswer
from fulmarrudder.call.hop import (
    asker_field,
    hop_fields,
    parse_load_report,
    parse_refusal,
)
from fulmarrudder.call.load_balancer import LoadBalancer
from fulmarrudder.call.message import Framing, Refusal
from fulmarrudder.call.plan import Call
from fulmarrudder.call.sanitizer import sanitize_response
from fulmarrudder.call.upstream import Connection, ConnectionPool
from fulmarrudder.clock import Clock
from fulmarrudder.model import Presence

# How long after the deadline a call waits for the other node, whose own deadline
# for it is later by the latency between them, and which can report that the
# call was not run.
HOP_GRACE_S = 0.1
# A larger body is sent only after 100 Continue: that costs a round trip, and
# saves the bytes when the other node refuses the request.
EXPECT_CONTINUE_THRESHOLD_BYTES = 8_192


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Another node's reply to a call.

    Attributes:
        answer: The target's answer, or None when the node refused.
        refusal: The refusal, or None.
        load_report: Load of the node's target, or None.
    """

    answer: UpstreamAnswer | None = None
    refusal: Refusal | None = None
    load_report: LoadReport | None = None


class StallCause(enum.Enum):
    """Why a node is not expected to answer soon."""

    STALLED = "stalled"
    LOST = "lost"


class Sender:
    """Sends calls to other nodes.

    A node that is frozen, or partitioned without a reset of its connections,
    would hold a call until its deadline. A stall is therefore reported while a
    connection does not open, while an idempotent call waits for a node that
    sends no load report, and when the node is declared lost meanwhile. The
    attempt goes on: the node may still answer.

    Attributes:
        pending: Watches of the calls that may be sent elsewhere, by node.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        pool: ConnectionPool,
        token: bytes,
        balancer: LoadBalancer,
    ):
        self.clock = clock
        self.pool = pool
        self.token = token
        self.balancer = balancer
        self.pending: dict[str, set[_StallWatch]] = collections.defaultdict(set)

    async def send(
        self,
        call: Call,
        presence: Presence,
        *,
        spill_deadline: float = 0.0,
        new_connection: bool = False,
        claim_sending: Callable[[], None],
        on_stall: Callable[[StallCause], None],
    ) -> Reply:
        """Sends a call to a node.

        Args:
            call: The call.
            presence: The node.
            spill_deadline: Clock seconds after which the request may spill
                over to another endpoint, or 0.
            new_connection: Whether to open a new connection to the node.
            claim_sending: Called once the request can be sent. Raises
                `WithheldError` if it must not be sent any more.
            on_stall: Called each time the node is found to be stalled, until
                the call is answered or, if it may run once only, sent.

        Raises:
            ConnectError: No connection was opened; nothing was sent.
            WithheldError: Raised by `claim_sending`; nothing was sent.
            CallError: The node gave no answer.
            TimeoutError: The deadline passed.
        """
        watch = _StallWatch(self, call, presence, on_stall)
        watch.start()
        try:
            connection = await self.pool.acquire(
                presence.call_address,
                recently_used=not call.idempotent,
                new=new_connection,
                deadline=call.deadline,
            )
            try:
                claim_sending()
            except WithheldError:
                self.pool.release(connection)
                raise
            watch.sent = True
            if not call.idempotent:
                watch.stop()
            exchange = self._start(connection, call, presence, spill_deadline)
            head = await exchange.wait_for_head(call.deadline + HOP_GRACE_S)
        finally:
            watch.stop()
        load_report, refusal = parse_load_report(head), parse_refusal(head)
        if refusal is not None:
            exchange.discard_body()
            return Reply(refusal=refusal, load_report=load_report)
        return Reply(
            answer=UpstreamAnswer(sanitize_response(head), exchange),
            load_report=load_report,
        )

    def node_lost(self, node: str) -> None:
        """Reports a stall of a node that was declared lost."""
        for watch in tuple(self.pending.get(node, ())):
            watch.on_stall(StallCause.LOST)

    def _start(
        self,
        connection: Connection,
        call: Call,
        presence: Presence,
        spill_deadline: float,
    ) -> Exchange:
        expect_continue = call.head.framing is Framing.CHUNKED or (
            call.head.length > EXPECT_CONTINUE_THRESHOLD_BYTES
        )
        fields = hop_fields(
            call.request_to(presence, spill_deadline=spill_deadline),
            self.token,
            self.clock.seconds(),
            expect_continue=expect_continue,
        )
        if self.balancer.wants_vacancies_of(presence):
            fields = (*fields, asker_field(self.balancer.node))
        return connection.start(
            call.head, call.body, fields, expect_continue=expect_continue
        )


class _StallWatch:
    """Reports periodically that a node is stalled.

    Attributes:
        started_at: Clock seconds since which the node is waited for.
        sent: Whether the request was sent. Before that, the connection has not
            opened, whatever the node reports on others.
        timer: Timer of the next report, or None.
    """

    __slots__ = (
        "call",
        "on_stall",
        "presence",
        "sender",
        "sent",
        "started_at",
        "timer",
    )

    def __init__(
        self,
        sender: Sender,
        call: Call,
        presence: Presence,
        on_stall: Callable[[StallCause], None],
    ):
        self.sender = sender
        self.call = call
        self.presence = presence
        self.on_stall = on_stall
        self.started_at = sender.clock.seconds()
        self.sent = False
        self.timer = None

    def start(self) -> None:
        """Starts to watch the node."""
        self.sender.pending[self.presence.node].add(self)
        self._schedule()

    def stop(self) -> None:
        """Ends the watch; a second call does nothing."""
        timer, self.timer = self.timer, None
        if timer is not None:
            timer.cancel()
        pending = self.sender.pending
        pending[self.presence.node].discard(self)
        if not pending[self.presence.node]:
            del pending[self.presence.node]

    def _schedule(self) -> None:
        now = self.sender.clock.seconds()
        timeout_s = self.sender.balancer.stall_timeout_s(
            self.presence, now, self.call.route.name
        )
        if now + timeout_s < self.call.deadline:
            self.timer = self.sender.clock.callLater(timeout_s, self._expire)

    def _expire(self) -> None:
        self.timer = None
        self._schedule()
        if not self.sent or self.sender.balancer.has_no_report_since(
            self.presence, self.started_at
        ):
            self.on_stall(StallCause.STALLED)
