"""Pipeline of an entry node: screen, route, choose, try, deliver."""

import dataclasses
import random
from collections.abc import Callable

from twisted.internet.defer import CancelledError, TimeoutError

from fulmarrudder.call.answer import Answer, refusal_answer
from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.buffering import buffer_answer
from fulmarrudder.call.dialect import OWN, Dialect
from fulmarrudder.call.ending import (
    Answered,
    Broken,
    Declined,
    Ending,
    Late,
    counts_as_failure,
    lacks_capacity,
    may_have_reached_target,
    may_have_run,
    refusal_for,
    shed,
    shows_no_target,
    with_earlier_attempts,
)
from fulmarrudder.call.endpoint_stats import LoadReport, SlotState
from fulmarrudder.call.errors import CallError, ConnectError
from fulmarrudder.call.host import HostPipeline, UpstreamAnswer
from fulmarrudder.call.load_balancer import LoadBalancer
from fulmarrudder.call.message import Refusal, RefusalReason, RequestHead
from fulmarrudder.call.plan import Call, CallerTimeouts, plan
from fulmarrudder.call.poison import (
    FINGERPRINT_BODY_BYTES,
    fingerprint_of,
    refuse_poison_request,
)
from fulmarrudder.call.refusals import not_run
from fulmarrudder.call.retry import (
    MAX_ATTEMPTS,
    MAX_SPILL_ATTEMPTS,
    RETRY_BUDGET_LIMIT,
    RETRY_BUDGET_RATIO,
    RetryBudget,
    RetryContext,
    RetryDecision,
    decide_retry,
    may_accept,
)
from fulmarrudder.call.route import RoutedRequest, RouteTable
from fulmarrudder.call.screen import screen
from fulmarrudder.call.sender import Sender
from fulmarrudder.call.slots import MIN_RETRY_AFTER_S, likely_late
from fulmarrudder.call.upstream import ConnectionPool
from fulmarrudder.call.version_split import eligible_versions
from fulmarrudder.clock import Clock, wall_seconds
from fulmarrudder.fold import State
from fulmarrudder.membership import FactStore
from fulmarrudder.model import Condition, Presence
from fulmarrudder.observe import Metrics, Spans
from fulmarrudder.pipe import flow

# Part of the latency that callers hope for that an answer may take without the
# request going elsewhere.
COMFORT_PART = 0.5
UNREACHABLE = not_run(
    RefusalReason.UNREACHABLE,
    "node beside the target could not be reached",
)


@dataclasses.dataclass(slots=True, kw_only=True)
class ActiveConfig:
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


class EntryPipeline:
    """Serves callers: routes, retries, and passes answers back.

    Attributes:
        in_force: The arrangement that requests are routed by.
        budgets: Bound retries, by service.
        dialect: Field names of callers and targets.
        caller: Returns the service beside this node.
        balancer: Chooses endpoints.
        sender: Sends calls to other nodes.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        pool: ConnectionPool,
        host: HostPipeline,
        node: str,
        token: bytes,
        facts: FactStore,
        balancer: LoadBalancer,
        rng: random.Random,
        spans: Spans,
        metrics: Metrics,
        dialect: Dialect = OWN,
        caller: Callable[[], str] = str,
    ):
        self.dialect = dialect
        self.caller = caller
        self.clock = clock
        self.host = host
        self.node = node
        self.facts = facts
        self.balancer = balancer
        self.rng = rng
        self.spans = spans
        self.metrics = metrics
        self.budgets: dict[str, RetryBudget] = {}
        self.budget_ratio = RETRY_BUDGET_RATIO
        self.patience = CallerTimeouts()
        self.budget_limit = RETRY_BUDGET_LIMIT
        self.sender = Sender(
            clock=clock,
            pool=pool,
            token=token,
            balancer=balancer,
            may_go_elsewhere=self._may_go_elsewhere,
        )
        self.active_config = ActiveConfig()
        self.steps = (screen, self._arranged, self._match)

    async def open(
        self,
        head: RequestHead,
        body: RequestBody,
        send_continue,
        span,
    ) -> Answer:
        """Serves one call.

        Args:
            head: Its head, as decoded.
            body: Its body.
            send_continue: Called once the body is wanted.
            span: Span of the call, or None.

        Returns:
            The target's answer, or a refusal.
        """
        arrived = self.clock.seconds()
        asked = head.headers.get(self.dialect.time_left)
        routed = flow(head, self.steps, Refusal)
        if isinstance(routed, Refusal):
            return refusal_answer(routed)
        call = plan(
            routed,
            body,
            send_continue,
            asked=asked,
            arrived=arrived,
            span=span,
            traceparent=self.spans.traceparent(span),
            dialect=self.dialect,
            caller=self.caller(),
            patience=self.patience,
        )
        if isinstance(call, Refusal):
            return refusal_answer(call)
        send_continue()
        prefix = b""
        if not body.ended:
            prefix = await body.when_prefix(FINGERPRINT_BODY_BYTES)
        call.fingerprint = fingerprint_of(call.head, prefix)
        suspect = refuse_poison_request(
            self.facts, call.fingerprint, wall_seconds()
        )
        if suspect is not None:
            return refusal_answer(suspect)
        self.budget_of(call.service).deposit()
        hopeless = self._all_full(call)
        if hopeless is not None:
            return refusal_answer(hopeless)
        return await self._attempts(call)

    def _all_full(self, call: Call) -> Refusal | None:
        """Refuses a request that every target would turn away, as all told.

        Only the least urgent requests of a service are judged here: for the
        others a target's load does not say how long they would wait.
        """
        least_urgent = self.active_config.table.least_urgent.get(
            call.service, 0
        )
        if not call.soft_deadline or not 0 < least_urgent <= call.route.rank:
            return None
        now = self.clock.seconds()
        present = self.facts.endpoints_of(call.service)
        found = self.balancer.shortest_wait(present, now, call.route.name)
        if found is None:
            return None
        if not likely_late(
            now, found.wait_s, found.service_time_s, call.soft_deadline
        ):
            return None
        return not_run(
            RefusalReason.OVERLOADED,
            "all targets told that they are full",
            retry_after_s=max(MIN_RETRY_AFTER_S, found.wait_s),
        )

    def budget_of(self, service: str) -> RetryBudget:
        """Returns the budget of a service's retries."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                ratio=self.budget_ratio, limit=self.budget_limit
            )
            self.budgets[service] = budget
        return budget

    def limit_retries(self, *, ratio: float, limit: float) -> None:
        """Sets this node's part of the retries that all nodes may make.

        Args:
            ratio: Retries earned by a request.
            limit: Most retries that can be saved up, for each service.
        """
        self.budget_ratio, self.budget_limit = ratio, limit
        for budget in self.budgets.values():
            budget.ratio, budget.limit = ratio, limit
            budget.tokens = min(budget.tokens, limit)

    def _arranged(self, head: RequestHead) -> RequestHead | Refusal:
        if self.active_config.table is None:
            return not_run(
                RefusalReason.NO_ARRANGEMENT,
                "node holds no configuration version yet",
            )
        return head

    def _match(self, head: RequestHead) -> RoutedRequest | Refusal:
        return self.active_config.table.match(head, self.rng)

    async def _attempts(self, call: Call) -> Answer:
        last = not_run(RefusalReason.NO_TARGET, "no target to send to")
        while True:
            presence = self._next_endpoint(call)
            if presence is None:
                return refusal_answer(last)
            call.attempts += 1
            tried = await self._attempt(call, presence)
            call.may_have_run |= may_have_run(tried.ending)
            call.arrivals += may_have_reached_target(tried.ending)
            call.crowded += lacks_capacity(tried.ending)
            after = self._decide(call, tried)
            self.metrics.count(
                "fulmarrudder_attempts_total",
                ("ending", type(tried.ending).__name__.lower()),
                ("next", after.value),
            )
            if after is RetryDecision.DELIVER:
                self.spans.note(
                    call.span, peer=presence.node, attempts=call.attempts
                )
                return tried.answer
            last = with_earlier_attempts(
                refusal_for(tried.ending), may_have_run_before=call.may_have_run
            )
            if after is RetryDecision.REFUSE:
                return refusal_answer(last)
            if tried.answer is not None:
                tried.answer.cancel()

    def _decide(self, call: Call, tried: _Tried) -> RetryDecision:
        broken = isinstance(tried.ending, Broken)
        attempt = RetryContext(
            repeatable=call.idempotent or (broken and bool(call.key)),
            replayable=call.body.replayable,
            number=call.attempts,
            arrivals=call.arrivals,
            most=call.route.attempts,
        )
        after = decide_retry(tried.ending, attempt)
        if after is not RetryDecision.RETRY:
            return after
        if self.clock.seconds() < call.deadline:
            # A second target draws on the budget, a second node does not.
            if not call.arrivals or self.budget_of(call.service).withdraw():
                return after
        answered = isinstance(tried.ending, Answered)
        return RetryDecision.DELIVER if answered else RetryDecision.REFUSE

    def _next_endpoint(self, call: Call) -> Presence | None:
        chosen = self._choose(call)
        if chosen is not None:
            call.tried = call.tried | {chosen.node}
        return chosen

    def _choose(self, call: Call) -> Presence | None:
        versions = eligible_versions(
            self.active_config.state,
            call.service,
            call.route.name,
            self.facts.brakes,
            self.rng,
        )
        present = self.facts.endpoints_of(call.service)
        now = self.clock.seconds()
        for wanted in versions:
            fit = tuple(p for p in present if wanted.admit(p.target_version))
            if call.crowded:
                fit = self._worth_asking(fit, call, now)
            chosen = self.balancer.choose(
                fit,
                None,
                now,
                call.tried,
                kind=call.route.name,
                body_bytes=call.head.length,
                aim_s=call.route.aim_ms / 1000,
            )
            if chosen is not None:
                return chosen
        return None

    def _worth_asking(
        self, fit: tuple[Presence, ...], call: Call, now: float
    ) -> tuple[Presence, ...]:
        return tuple(
            presence
            for presence in fit
            if may_accept(self.balancer.slot_state(presence, now), call.crowded)
        )

    async def _attempt(self, call: Call, presence: Presence) -> _Tried:
        started = self.clock.seconds()
        self.balancer.record_sent(presence, started)
        failed, tried = True, None
        spill_deadline = self._comfort(call)
        try:
            if presence.node == self.node:
                tried = await self._ask_own(call, presence, spill_deadline)
            else:
                tried = await self._ask_other(call, presence, spill_deadline)
            failed = counts_as_failure(tried.ending)
        except ConnectError:
            tried = _Tried(ending=Declined(refusal=UNREACHABLE))
        except TimeoutError:
            tried = _Tried(ending=Late())
        except CallError:
            tried = _Tried(ending=Broken())
        except CancelledError:
            failed = False
            raise
        finally:
            ending = None if tried is None else tried.ending
            now = self.clock.seconds()
            self.balancer.record_finished(
                presence,
                now,
                now - started if isinstance(ending, Answered) else None,
                failed=failed,
                gone=shows_no_target(ending),
                shed=shed(ending),
                kind=call.route.name,
            )
        return tried

    async def _ask_own(self, call, presence, spill_deadline: float) -> _Tried:
        request = call.request_to(presence, spill_deadline=spill_deadline)
        answer = await self.host.open(request, call.body, call.send_continue)
        kind = call.route.name
        told = LoadReport(
            load=self.host.load,
            service_time_s=self.host.slots.service_time(kind),
        )
        self.balancer.record_load_report(
            presence, self.clock.seconds(), told, kind
        )
        if answer.refusal is not None:
            return _Tried(ending=Declined(refusal=answer.refusal))
        return await self._answered(call, answer)

    async def _ask_other(self, call, presence, spill_deadline: float) -> _Tried:
        reply = await self.sender.send(
            call, presence, spill_deadline=spill_deadline
        )
        if reply.told is not None:
            self.balancer.record_load_report(
                presence, self.clock.seconds(), reply.told, call.route.name
            )
        if reply.refusal is not None:
            return _Tried(ending=Declined(refusal=reply.refusal))
        return await self._answered(call, reply.answer)

    async def _answered(self, call: Call, answer: Answer) -> _Tried:
        if isinstance(answer, UpstreamAnswer):
            answer = await buffer_answer(answer, self.clock, call.deadline)
        ending = Answered(status=answer.head.status)
        return _Tried(ending=ending, answer=answer)

    def _comfort(self, call: Call) -> float:
        """Returns until when an answer should come from where a call goes.

        Returns:
            Clock seconds, or 0 when there is nowhere else to go.
        """
        if call.attempts > MAX_SPILL_ATTEMPTS:
            return 0.0
        now = self.clock.seconds()
        for presence in self.facts.endpoints_of(call.service):
            if presence.condition is not Condition.READY:
                continue
            if presence.node in call.tried:
                continue
            if self.balancer.slot_state(presence, now) is SlotState.FREE:
                return call.arrived + COMFORT_PART * call.route.aim_ms / 1000
        return 0.0

    def _may_go_elsewhere(self, call: Call) -> bool:
        if call.attempts >= MAX_ATTEMPTS or not call.body.replayable:
            return False
        if self.budget_of(call.service).tokens < 1.0:
            return False
        return self._choose(call) is not None
