"""Pipeline of an entry node: screen, route, choose, try, deliver."""

import collections
import dataclasses
import random

from twisted.internet.defer import CancelledError, TimeoutError

from fulmarrudder.call.answer import Answer, WholeAnswer, refused
from fulmarrudder.call.body import KEEP_BYTES, RequestBody
from fulmarrudder.call.choose import Chooser
from fulmarrudder.call.collect import Collector
from fulmarrudder.call.errors import CallError, ConnectError
from fulmarrudder.call.hop import hop_head, refusal_of
from fulmarrudder.call.host import Host, HostRequest, LiveAnswer
from fulmarrudder.call.message import (
    IDEMPOTENCY_KEY_HEADER,
    TIMEOUT_HEADER,
    Framing,
    Headers,
    Ran,
    Refusal,
    RefusalReason,
    RequestHead,
)
from fulmarrudder.call.refusals import broken, late, malformed, not_run
from fulmarrudder.call.retry import (
    MOST_ATTEMPTS,
    Answered,
    Attempt,
    Broken,
    Declined,
    Late,
    Next,
    RetryBudget,
    next_after,
)
from fulmarrudder.call.route import Routed, RouteTable
from fulmarrudder.call.screen import clean_response, screen, strip_own
from fulmarrudder.call.share import versions_for
from fulmarrudder.call.suspects import (
    PREFIX_BYTES,
    fingerprint_of,
    refuse_suspect,
)
from fulmarrudder.call.upstream import Pool
from fulmarrudder.clock import Clock, wall_seconds
from fulmarrudder.fold import State
from fulmarrudder.membership import FactStore
from fulmarrudder.model import Presence
from fulmarrudder.observe import Metrics, Spans
from fulmarrudder.pipe import flow

SAFE_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS", b"PUT", b"DELETE"})
KEY_LIMIT = 255
HOP_GRACE_S = 0.25
REFUSAL_BYTES = 65_536
UNREACHABLE = not_run(
    RefusalReason.UNREACHABLE,
    "node beside the target could not be reached",
)


@dataclasses.dataclass(slots=True, kw_only=True)
class InForce:
    """What an entry node has in force.

    Attributes:
        state: The folded state, or None before there is one.
        table: Routes of its arrangement.
    """

    state: State | None = None
    table: RouteTable | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class _Call:
    """A call under way at its entry node."""

    head: RequestHead
    routed: Routed
    body: RequestBody
    ready: object
    deadline: float
    idempotent: bool
    key: str
    fingerprint: str = ""
    attempts: int = 0
    may_have_run: bool = False
    tried: frozenset[str] = frozenset()
    span: object = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Tried:
    """How an attempt ended, with the answer that it gave, if any."""

    ending: object
    answer: Answer | None = None


class Entry:
    """Serves callers: routes, retries, and passes answers back.

    Attributes:
        in_force: The arrangement that requests are routed by.
        budget: Bounds retries.
        chooser: Chooses endpoints.
        waiting: Exchanges that may be repeated and have no answer yet, by
            node.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        pool: Pool,
        host: Host,
        node: str,
        token: bytes,
        facts: FactStore,
        chooser: Chooser,
        rng: random.Random,
        spans: Spans,
        metrics: Metrics,
    ):
        self.clock = clock
        self.pool = pool
        self.host = host
        self.node = node
        self.token = token
        self.facts = facts
        self.chooser = chooser
        self.rng = rng
        self.spans = spans
        self.metrics = metrics
        self.budget = RetryBudget()
        self.waiting: dict[str, set] = collections.defaultdict(set)
        self.in_force = InForce()
        self.steps = (screen, self._arranged, self._match)

    async def open(
        self, head: RequestHead, body: RequestBody, ready, span
    ) -> Answer:
        """Serves one call.

        Args:
            head: Its head, as decoded.
            body: Its body.
            ready: Called once the body is wanted.
            span: Span of the call, or None.

        Returns:
            The target's answer, or a refusal.
        """
        arrived = self.clock.seconds()
        routed = flow(head, self.steps, Refusal)
        if isinstance(routed, Refusal):
            return refused(routed)
        call = self._plan(routed, body, ready, arrived, span)
        if isinstance(call, Refusal):
            return refused(call)
        ready()
        prefix = await body.when_prefix(PREFIX_BYTES)
        call.fingerprint = fingerprint_of(call.head, prefix)
        suspect = refuse_suspect(self.facts, call.fingerprint, wall_seconds())
        if suspect is not None:
            return refused(suspect)
        self.budget.deposit()
        return await self._attempts(call)

    def _arranged(self, head: RequestHead) -> RequestHead | Refusal:
        if self.in_force.table is None:
            return not_run(
                RefusalReason.NO_ARRANGEMENT,
                "node holds no configuration version yet",
            )
        return head

    def _match(self, head: RequestHead) -> Routed | Refusal:
        return self.in_force.table.match(head)

    def _plan(
        self, routed: Routed, body, ready, arrived: float, span
    ) -> _Call | Refusal:
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
        return _Call(
            head=traced(strip_own(head), self.spans.traceparent(span)),
            routed=routed,
            body=body,
            ready=ready,
            deadline=arrived + timeout_ms / 1000,
            idempotent=idempotent,
            key="" if idempotent else key.decode("latin-1"),
            span=span,
        )

    async def _attempts(self, call: _Call) -> Answer:
        last: Answer | None = None
        while True:
            presence = self._next_endpoint(call)
            if presence is None:
                return last or refused(
                    not_run(RefusalReason.NO_TARGET, "no target to send to")
                )
            call.attempts += 1
            tried = await self._attempt(call, presence)
            call.may_have_run |= _may_have_run(tried.ending)
            after = self._decide(call, tried)
            self.metrics.count(
                "fulmarrudder_attempts_total",
                ("ending", type(tried.ending).__name__.lower()),
                ("next", after.value),
            )
            if after is Next.DELIVER:
                self.spans.note(
                    call.span, peer=presence.node, attempts=call.attempts
                )
                return tried.answer
            refusal = _truthful(self._refusal_for(tried), call)
            if after is Next.REFUSE:
                return refused(refusal)
            if isinstance(tried.answer, LiveAnswer):
                tried.answer.cancel()
            last = refused(refusal)

    def _decide(self, call: _Call, tried: _Tried) -> Next:
        broken = isinstance(tried.ending, Broken)
        attempt = Attempt(
            repeatable=call.idempotent or (broken and bool(call.key)),
            replayable=call.body.replayable,
            number=call.attempts,
        )
        after = next_after(tried.ending, attempt)
        if after is Next.RETRY and not self.budget.withdraw():
            answered = isinstance(tried.ending, Answered)
            return Next.DELIVER if answered else Next.REFUSE
        if after is Next.RETRY and self.clock.seconds() >= call.deadline:
            answered = isinstance(tried.ending, Answered)
            return Next.DELIVER if answered else Next.REFUSE
        return after

    def _next_endpoint(self, call: _Call) -> Presence | None:
        chosen = self._choose(call)
        if chosen is not None:
            call.tried = call.tried | {chosen.node}
        return chosen

    def _choose(self, call: _Call) -> Presence | None:
        route = call.routed.route
        versions = versions_for(
            self.in_force.state,
            route.service,
            route.name,
            self.facts.brakes,
            self.rng,
        )
        present = self.facts.endpoints_of(route.service)
        now = self.clock.seconds()
        for version in versions:
            chosen = self.chooser.choose(present, version, now, call.tried)
            if chosen is not None:
                return chosen
        return None

    async def _attempt(self, call: _Call, presence: Presence) -> _Tried:
        request = self._request(call, presence)
        started = self.clock.seconds()
        self.chooser.sent(presence, started)
        failed, gone = True, False
        try:
            if presence.node == self.node:
                answer = await self.host.open(request, call.body, call.ready)
            else:
                answer = await self._hop(request, call, presence)
            tried = _tried_from(answer)
            failed = _counts_as_failure(tried)
            gone = _nothing_there(tried)
        except ConnectError:
            gone = True
            tried = _Tried(ending=Declined(refusal=UNREACHABLE))
        except TimeoutError:
            tried = _Tried(ending=Late())
        except CallError:
            tried = _Tried(ending=Broken())
        except CancelledError:
            failed = False
            raise
        finally:
            now = self.clock.seconds()
            self.chooser.finished(
                presence, now, now - started, failed=failed, gone=gone
            )
        return tried

    def _request(self, call: _Call, presence: Presence) -> HostRequest:
        return HostRequest(
            head=call.head,
            service=presence.service,
            target_version=presence.target_version,
            route=call.routed.route.name,
            fingerprint=call.fingerprint,
            key=call.key,
            repeatable=call.idempotent,
            deadline=call.deadline,
        )

    async def _hop(
        self, request: HostRequest, call: _Call, presence: Presence
    ) -> Answer:
        connection = await self.pool.take(
            presence.call_address, fresh=not call.idempotent
        )
        now = self.clock.seconds()
        waits = call.head.framing is Framing.CHUNKED or (
            call.head.length > KEEP_BYTES
        )
        head = hop_head(request, self.token, now, waits=waits)
        exchange = connection.start(head, call.body, waits=waits)
        left = max(0.0, request.deadline - now) + HOP_GRACE_S
        impatience = None
        if call.idempotent:
            self.waiting[presence.node].add(exchange)
            impatience = self.clock.callLater(
                self.chooser.patience(presence), self._late, call, exchange
            )
        try:
            answer_head = await exchange.begun.addTimeout(left, self.clock)
        finally:
            self._waits_no_more(presence.node, exchange)
            if impatience is not None and impatience.active():
                impatience.cancel()
        answer = LiveAnswer(
            clean_response(answer_head, from_target=False), exchange
        )
        refusal = refusal_of(answer_head)
        if refusal is None:
            return answer
        collector = Collector(REFUSAL_BYTES)
        answer.stream_to(collector)
        data = await collector.whole
        return WholeAnswer(answer.head, data, refusal)

    def _late(self, call: _Call, exchange) -> None:
        # A node that is frozen, or cut off without its connections being
        # closed, would hold the call until its deadline.
        if call.attempts >= MOST_ATTEMPTS or not call.body.replayable:
            return
        if self.budget.tokens >= 1.0 and self._choose(call) is not None:
            exchange.abandon()

    def _waits_no_more(self, node: str, exchange) -> None:
        waiting = self.waiting.get(node)
        if waiting is None:
            return
        waiting.discard(exchange)
        if not waiting:
            del self.waiting[node]

    def node_lost(self, node: str) -> None:
        """Sends what waits for a lost node elsewhere, if it may be repeated.

        Args:
            node: Id of a node that was declared lost.
        """
        for exchange in self.waiting.pop(node, set()):
            exchange.abandon()

    def _refusal_for(self, tried: _Tried) -> Refusal:
        ending = tried.ending
        if isinstance(ending, Declined):
            return ending.refusal
        if isinstance(ending, Late):
            return late("no answer in time")
        return broken("connection was lost before an answer")


def traced(head: RequestHead, traceparent: bytes | None) -> RequestHead:
    """Returns a head that names a span in its W3C field."""
    if traceparent is None:
        return head
    fields = tuple(f for f in head.headers.fields if f[0] != b"traceparent")
    headers = Headers((*fields, (b"traceparent", traceparent)))
    return head.with_headers(headers)


def _tried_from(answer: Answer) -> _Tried:
    refusal = getattr(answer, "refusal", None)
    if refusal is not None:
        return _Tried(ending=Declined(refusal=refusal), answer=answer)
    return _Tried(ending=Answered(status=answer.head.status), answer=answer)


def _may_have_run(ending) -> bool:
    return not (isinstance(ending, Declined) and ending.refusal.ran is Ran.NO)


def _truthful(refusal: Refusal, call: _Call) -> Refusal:
    """Says of a call what holds for all its attempts, not for the last."""
    if refusal.ran is Ran.NO and call.may_have_run:
        return dataclasses.replace(refusal, ran=Ran.UNKNOWN)
    return refusal


def _counts_as_failure(tried: _Tried) -> bool:
    ending = tried.ending
    if isinstance(ending, Answered):
        return ending.status >= 500
    if isinstance(ending, Declined):
        return ending.refusal.reason in EJECTING_REASONS
    return True


def _nothing_there(tried: _Tried) -> bool:
    ending = tried.ending
    return isinstance(ending, Declined) and ending.refusal.reason in (
        RefusalReason.UNREACHABLE,
        RefusalReason.NO_TARGET,
    )


EJECTING_REASONS = frozenset(
    {
        RefusalReason.UNREACHABLE,
        RefusalReason.BROKEN,
        RefusalReason.NO_TARGET,
        RefusalReason.WRONG_TARGET,
        RefusalReason.DEADLINE,
    }
)
