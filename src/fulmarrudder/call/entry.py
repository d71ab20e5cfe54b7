"""Pipeline of an entry node: screen, route, choose, try, deliver."""

import dataclasses
import random

from twisted.internet.defer import CancelledError, TimeoutError

from fulmarrudder.call.answer import Answer, refused
from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.choose import Chooser
from fulmarrudder.call.ending import (
    Answered,
    Broken,
    Declined,
    Ending,
    Late,
    counts_as_failure,
    may_have_run,
    nothing_there,
    refusal_for,
    truthful,
)
from fulmarrudder.call.errors import CallError, ConnectError
from fulmarrudder.call.host import Host, LiveAnswer
from fulmarrudder.call.message import Refusal, RefusalReason, RequestHead
from fulmarrudder.call.plan import Call, plan
from fulmarrudder.call.refusals import not_run
from fulmarrudder.call.retry import (
    MOST_ATTEMPTS,
    Attempt,
    Next,
    RetryBudget,
    next_after,
)
from fulmarrudder.call.route import Routed, RouteTable
from fulmarrudder.call.screen import screen
from fulmarrudder.call.sender import Sender
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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Tried:
    """How an attempt ended, with the answer that it gave, if any."""

    ending: Ending
    answer: Answer | None = None


class Entry:
    """Serves callers: routes, retries, and passes answers back.

    Attributes:
        in_force: The arrangement that requests are routed by.
        budget: Bounds retries.
        chooser: Chooses endpoints.
        sender: Sends calls to other nodes.
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
        self.host = host
        self.node = node
        self.facts = facts
        self.chooser = chooser
        self.rng = rng
        self.spans = spans
        self.metrics = metrics
        self.budget = RetryBudget()
        self.sender = Sender(
            clock=clock,
            pool=pool,
            token=token,
            chooser=chooser,
            may_go_elsewhere=self._may_go_elsewhere,
        )
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
        call = plan(
            routed,
            body,
            ready,
            arrived=arrived,
            span=span,
            traceparent=self.spans.traceparent(span),
        )
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

    async def _attempts(self, call: Call) -> Answer:
        last: Answer | None = None
        while True:
            presence = self._next_endpoint(call)
            if presence is None:
                return last or refused(
                    not_run(RefusalReason.NO_TARGET, "no target to send to")
                )
            call.attempts += 1
            tried = await self._attempt(call, presence)
            call.may_have_run |= may_have_run(tried.ending)
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
            refusal = truthful(
                refusal_for(tried.ending), ran_before=call.may_have_run
            )
            if after is Next.REFUSE:
                return refused(refusal)
            if isinstance(tried.answer, LiveAnswer):
                tried.answer.cancel()
            last = refused(refusal)

    def _decide(self, call: Call, tried: _Tried) -> Next:
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

    def _next_endpoint(self, call: Call) -> Presence | None:
        chosen = self._choose(call)
        if chosen is not None:
            call.tried = call.tried | {chosen.node}
        return chosen

    def _choose(self, call: Call) -> Presence | None:
        route = call.route
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

    async def _attempt(self, call: Call, presence: Presence) -> _Tried:
        started = self.clock.seconds()
        self.chooser.sent(presence, started)
        failed, gone = True, False
        try:
            if presence.node == self.node:
                request = call.request_to(presence)
                answer = await self.host.open(request, call.body, call.ready)
            else:
                answer = await self.sender.send(call, presence)
            tried = _tried_from(answer)
            failed = counts_as_failure(tried.ending)
            gone = nothing_there(tried.ending)
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

    def _may_go_elsewhere(self, call: Call) -> bool:
        if call.attempts >= MOST_ATTEMPTS or not call.body.replayable:
            return False
        return self.budget.tokens >= 1.0 and self._choose(call) is not None


def _tried_from(answer: Answer) -> _Tried:
    refusal = getattr(answer, "refusal", None)
    if refusal is not None:
        return _Tried(ending=Declined(refusal=refusal), answer=answer)
    return _Tried(ending=Answered(status=answer.head.status), answer=answer)
