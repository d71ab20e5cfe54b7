"""Filter: sends a call to the node beside a target, and waits for its answer."""

import collections
import dataclasses
from collections.abc import Callable

from fulmarrudder.call.endpoint_stats import LoadReport
from fulmarrudder.call.exchange import NULL_SINK, Exchange
from fulmarrudder.call.hop import hop_fields, parse_load_report, parse_refusal
from fulmarrudder.call.host import UpstreamAnswer
from fulmarrudder.call.load_balancer import LoadBalancer
from fulmarrudder.call.message import Framing, Refusal, ResponseHead
from fulmarrudder.call.plan import Call
from fulmarrudder.call.sanitizer import sanitize_response
from fulmarrudder.call.upstream import ConnectionPool
from fulmarrudder.clock import Clock
from fulmarrudder.model import Presence

HOP_GRACE_S = 0.25
# Larger bodies wait until the other node wants them, which costs a round trip
# and spares the bytes where it does not.
EXPECT_CONTINUE_THRESHOLD_BYTES = 8_192


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """What another node made of a call.

    Attributes:
        answer: The target's answer, or None when the node refused.
        refusal: The refusal, or None.
        load_report: What the node told of its target, or None.
    """

    answer: UpstreamAnswer | None = None
    refusal: Refusal | None = None
    load_report: LoadReport | None = None


class Sender:
    """Sends calls to other nodes.

    A node that is frozen, or cut off without its connections being closed,
    would hold a call until its deadline. What may be repeated is given up
    when its node has been silent for too long or is lost, if it may go
    elsewhere.

    Attributes:
        pending: Exchanges that may be repeated and have no answer yet, with
            their calls, by node.
        can_retry_elsewhere: Tells whether a call has an attempt and another
            endpoint left.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        pool: ConnectionPool,
        token: bytes,
        balancer: LoadBalancer,
        can_retry_elsewhere: Callable[[Call], bool],
    ):
        self.clock = clock
        self.pool = pool
        self.token = token
        self.balancer = balancer
        self.can_retry_elsewhere = can_retry_elsewhere
        self.pending: dict[str, dict[Exchange, Call]] = collections.defaultdict(
            dict
        )

    async def send(
        self, call: Call, presence: Presence, *, spill_deadline: float = 0.0
    ) -> Reply:
        """Sends a call to a node.

        Args:
            call: The call.
            presence: The node.
            spill_deadline: Clock seconds after which the answer would rather come
                from another one, or 0.

        Raises:
            CallError: There was no answer.
            TimeoutError: The deadline passed.
        """
        connection = await self.pool.take(
            presence.call_address, recently_used=not call.idempotent
        )
        now = self.clock.seconds()
        expect_continue = call.head.framing is Framing.CHUNKED or (
            call.head.length > EXPECT_CONTINUE_THRESHOLD_BYTES
        )
        request = call.request_to(presence, spill_deadline=spill_deadline)
        fields = hop_fields(
            request, self.token, now, expect_continue=expect_continue
        )
        exchange = connection.start(
            call.head, call.body, fields, expect_continue=expect_continue
        )
        if call.idempotent:
            head = await self._with_patience(exchange, call, presence)
        else:
            head = await exchange.wait_for_head(call.deadline + HOP_GRACE_S)
        load_report, refusal = parse_load_report(head), parse_refusal(head)
        if refusal is not None:
            # Nothing of its body is wanted, so nobody waits for that.
            exchange.stream_to(NULL_SINK)
            return Reply(refusal=refusal, load_report=load_report)
        return Reply(
            answer=UpstreamAnswer(sanitize_response(head), exchange),
            load_report=load_report,
        )

    def node_lost(self, node: str) -> None:
        """Gives up what waits for a node that was declared lost."""
        for exchange, call in tuple(self.pending.get(node, {}).items()):
            self._give_up(exchange, call)

    async def _with_patience(
        self, exchange: Exchange, call: Call, presence: Presence
    ) -> ResponseHead:
        now = self.clock.seconds()
        patience_s = self.balancer.stall_timeout_s(
            presence, now, call.route.name
        )
        late = None
        if now + patience_s < call.deadline:
            late = self.clock.callLater(
                patience_s, self._if_silent, exchange, call, presence, now
            )
        self.pending[presence.node][exchange] = call
        try:
            return await exchange.wait_for_head(call.deadline + HOP_GRACE_S)
        finally:
            self._forget(presence.node, exchange)
            if late is not None and late.active():
                late.cancel()

    def _if_silent(
        self, exchange: Exchange, call: Call, presence: Presence, sent: float
    ) -> None:
        """Gives up on a node that has told nothing since a call was sent."""
        if self.balancer.has_no_report_since(presence, sent):
            self._give_up(exchange, call)

    def _give_up(self, exchange: Exchange, call: Call) -> None:
        if self.can_retry_elsewhere(call):
            exchange.drop_connection()

    def _forget(self, node: str, exchange: Exchange) -> None:
        pending = self.pending[node]
        pending.pop(exchange, None)
        if not pending:
            del self.pending[node]
