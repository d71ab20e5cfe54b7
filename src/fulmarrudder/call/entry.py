"""Pipeline of an entry node: sanitize, route, balance, attempt, deliver."""

import dataclasses
import functools
import math
import random
from collections.abc import Callable

from twisted.internet.defer import CancelledError, TimeoutError

from fulmarrudder.call.answer import Answer, BufferedAnswer, refusal_answer
from fulmarrudder.call.attempts import (
    Attempt,
    AttemptResult,
    RunningAttempts,
    retry_context,
)
from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.buffering import buffer_answer
from fulmarrudder.call.ending import (
    Answered,
    Broken,
    Declined,
    Late,
    Withheld,
    counts_as_failure,
    lacks_capacity,
    may_have_reached_target,
    may_have_run,
    refusal_for,
    shed,
    shows_no_target,
    with_earlier_attempts,
)
from fulmarrudder.call.errors import CallError, ConnectError, WithheldError
from fulmarrudder.call.exchange import (
    ExchangeEnd,
    StaleConnectionError,
    UpstreamAnswer,
)
from fulmarrudder.call.freshness import ConfigFreshness
from fulmarrudder.call.header_names import DEFAULT_HEADER_NAMES, HeaderNames
from fulmarrudder.call.host import HostPipeline
from fulmarrudder.call.load_balancer import LoadBalancer
from fulmarrudder.call.message import Refusal, RefusalReason, RequestHead
from fulmarrudder.call.plan import Call, CallerTimeouts, plan_call
from fulmarrudder.call.poison import (
    FINGERPRINT_BODY_BYTES,
    fingerprint_of,
    refuse_poison_request,
)
from fulmarrudder.call.refusals import (
    UNCONFIRMED_KEYS,
    UNKNOWN_KEY,
    not_run,
)
from fulmarrudder.call.report import EntryReport
from fulmarrudder.call.retry import (
    REPEATING_DECISIONS,
    RetryBudget,
    RetryContext,
    RetryDecision,
    allows_attempt,
    allows_sending,
    decide_retry,
)
from fulmarrudder.call.route import RoutedRequest
from fulmarrudder.call.sanitizer import sanitize_request
from fulmarrudder.call.selection import (
    ActiveConfig,
    EndpointSelector,
    overload_refusal,
)
from fulmarrudder.call.sender import Reply, Sender, StallCause
from fulmarrudder.call.start import StartGate
from fulmarrudder.call.upstream import ConnectionPool
from fulmarrudder.clock import Clock, wall_seconds
from fulmarrudder.membership import FactStore
from fulmarrudder.model import Presence
from fulmarrudder.observe import EventLog, Metrics, Spans
from fulmarrudder.pipe import run_steps

BODY_LATE = not_run(
    RefusalReason.DEADLINE, "request body did not arrive in time", 408
)
UNREACHABLE = not_run(
    RefusalReason.UNREACHABLE,
    "node beside the target could not be reached",
)
CONNECTION_LATE = not_run(
    RefusalReason.DEADLINE,
    "connection to the node beside the target did not open in time",
    504,
)


def _without_workspace(routed: RoutedRequest) -> RoutedRequest | Refusal:
    """Passes on a request where there are no workspaces."""
    return routed


def _admit_all(call: Call) -> Refusal | None:
    """Admits a call where there are no quotas."""
    return None


def _refund_nothing(call: Call) -> None:
    """Is told of a call that reached no target where there are no quotas."""


class EntryPipeline:
    """Serves callers: routes calls, retries them and returns answers.

    Attributes:
        selector: Selects the endpoints of attempts.
        freshness: How current it is.
        retry_budgets: Retry budgets of this node, shared with `host`.
        header_names: Header field names of callers and targets.
        calling_service: Returns the service of the local target, which sends
            the calls.
        balancer: Selects endpoints.
        sender: Sends calls to other nodes.
        report: Reports decisions as events.
        start_gate: Holds calls while the node starts.
        version_gate: Holds calls whose key a later version may hold.
        identify: Filter that finds the workspace of a routed request.
        admit: Filter that refuses calls beyond the quota of their workspace.
        refund: Is told of an admitted call that reached no target.
        stop_deadline: Clock seconds by which every call is answered, as the
            node stops then; infinite while it does not stop.
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
        header_names: HeaderNames = DEFAULT_HEADER_NAMES,
        calling_service: Callable[[], str] = str,
        events: EventLog | None = None,
    ):
        self.header_names = header_names
        self.calling_service = calling_service
        self.clock = clock
        self.host = host
        self.node = node
        self.facts = facts
        self.balancer = balancer
        self.rng = rng
        self.spans = spans
        self.metrics = metrics
        self.retry_budgets = host.retry_budgets
        self.caller_timeouts = CallerTimeouts()
        self.report = EntryReport(
            clock=clock, events=events or EventLog(metrics), balancer=balancer
        )
        self.sender = Sender(
            clock=clock,
            pool=pool,
            token=token,
            balancer=balancer,
        )
        balancer.local_report = host.load_report
        self.selector = EndpointSelector(
            clock=clock, facts=facts, balancer=balancer, rng=rng
        )
        self.freshness = ConfigFreshness()
        self.start_gate = StartGate(clock)
        self.version_gate = StartGate(clock, until=math.inf)
        self.identify = _without_workspace
        self.admit: Callable[[Call], Refusal | None] = _admit_all
        self.refund: Callable[[Call], None] = _refund_nothing
        self.stop_deadline = math.inf
        self.steps = (
            sanitize_request,
            self._check_configured,
            self._match_route,
            lambda routed: self.identify(routed),
        )

    @property
    def active_config(self) -> ActiveConfig:
        """Configuration by which calls are routed."""
        return self.selector.active_config

    @active_config.setter
    def active_config(self, config: ActiveConfig) -> None:
        self.selector.active_config = config

    async def serve(
        self,
        head: RequestHead,
        body: RequestBody,
        send_continue,
        span,
    ) -> Answer:
        """Serves one call.

        Args:
            head: Its decoded head.
            body: Its body.
            send_continue: Sends 100 Continue if the caller waits for it.
            span: Span of the call, or None.

        Returns:
            The target's answer, or an answer that carries a refusal.
        """
        arrived_at = self.clock.seconds()
        requested_timeout = head.headers.get(self.header_names.caller_timeout)
        await self.start_gate.hold(
            lambda: self.selector.active_config.table is not None
        )
        routed = run_steps(head, self.steps, Refusal)
        if routed is UNKNOWN_KEY and self._is_behind():
            routed = await self._identify_later(head)
        if isinstance(routed, Refusal):
            return refusal_answer(routed)
        call = plan_call(
            routed,
            body,
            send_continue,
            requested_timeout=requested_timeout,
            arrived_at=arrived_at,
            span=span,
            traceparent=self.spans.traceparent(span),
            header_names=self.header_names,
            calling_service=self.calling_service(),
            caller_timeouts=self.caller_timeouts,
        )
        if isinstance(call, Refusal):
            return refusal_answer(call)
        call.deadline = min(call.deadline, self.stop_deadline)
        beyond_quota = self.admit(call)
        if beyond_quota is not None:
            return refusal_answer(beyond_quota)
        try:
            answer = await self._serve_admitted(call)
        except CancelledError:
            if not call.attempts:
                self.refund(call)
            raise
        if answer.refusal is not None and not call.target_attempts:
            self.refund(call)
        return answer

    async def _serve_admitted(self, call: Call) -> Answer:
        body = call.body
        await self.start_gate.hold(
            lambda: bool(self.facts.endpoints_of(call.service))
        )
        call.send_continue()
        prefix = b""
        if not body.ended:
            waiting = body.wait_for_prefix(FINGERPRINT_BODY_BYTES)
            left_s = max(0.0, call.deadline - self.clock.seconds())
            try:
                prefix = await waiting.addTimeout(left_s, self.clock)
            except TimeoutError:
                return refusal_answer(BODY_LATE)
        call.fingerprint = fingerprint_of(call.head, prefix, self.header_names)
        poison = refuse_poison_request(
            self.facts, call.fingerprint, wall_seconds()
        )
        if poison is not None:
            return refusal_answer(poison)
        self.retry_budget_of(call.service).deposit()
        overloaded = self._refuse_if_overloaded(call)
        if overloaded is not None:
            return refusal_answer(overloaded)
        answer = await self._run_attempts(call)
        self.report.call_ended(call)
        return answer

    def _refuse_if_overloaded(self, call: Call) -> Refusal | None:
        """Refuses a request that is expected to be late at every endpoint."""
        estimate = self.selector.overload_of(call)
        if estimate is None:
            return None
        self.report.overloaded(call, estimate)
        return overload_refusal(estimate)

    def retry_budget_of(self, service: str) -> RetryBudget:
        """Returns the retry budget of a service."""
        return self.retry_budgets.of(service)

    def limit_retries(self, *, ratio: float, limit: float) -> None:
        """Sets this node's part of the retry budget of all nodes.

        Args:
            ratio: Tokens that one request adds.
            limit: Most tokens that the budget of a service holds.
        """
        self.retry_budgets.resize(ratio=ratio, limit=limit)

    def _check_configured(self, head: RequestHead) -> RequestHead | Refusal:
        if self.selector.active_config.table is None:
            return not_run(
                RefusalReason.NO_ARRANGEMENT,
                "node holds no configuration version yet",
            )
        return head

    def _match_route(self, head: RequestHead) -> RoutedRequest | Refusal:
        return self.selector.active_config.table.match(head, self.rng)

    def _is_behind(self) -> bool:
        """Returns whether there is a later version that is not active yet."""
        state = self.selector.active_config.state
        return state is not None and self.freshness.told_version > state.version

    async def _identify_later(
        self, head: RequestHead
    ) -> RoutedRequest | Refusal:
        """Runs the steps again once the version that was told is active."""
        await self.version_gate.hold(lambda: not self._is_behind())
        routed = run_steps(head, self.steps, Refusal)
        if routed is UNKNOWN_KEY and self._is_behind():
            return UNCONFIRMED_KEYS
        return routed

    async def _run_attempts(self, call: Call) -> Answer:
        last_refusal = not_run(RefusalReason.NO_TARGET, "no target to send to")
        attempts = RunningAttempts()
        try:
            self._start_attempt(call, attempts, self.selector.choose(call))
            if not call.attempts:
                self._report_no_endpoint(call, last_refusal)
            while attempts.running or attempts.ended.pending:
                attempt = await self._next_ended(call, attempts)
                if attempt is None:
                    break
                decision = self._decide_next(call, attempts, attempt)
                if decision is RetryDecision.DELIVER:
                    self.spans.set_attributes(
                        call.span,
                        peer=attempt.presence.node,
                        attempts=call.attempts,
                    )
                    attempts.cancel(outrun=True)
                    return attempt.result.answer
                last_refusal = with_earlier_attempts(
                    refusal_for(attempt.result.ending),
                    may_have_run_before=call.may_have_run,
                )
                if attempt.result.answer is not None:
                    attempts.keep(attempt.result.answer)
                is_final = decision is RetryDecision.REFUSE
                if decision in REPEATING_DECISIONS:
                    is_repeated = self._repeat(
                        call, attempts, attempt, decision, last_refusal
                    )
                    is_final = not is_repeated and attempts.has_kept_answer
                if is_final and not attempts.sent():
                    # No connection is waited for that may open too late.
                    break
            answer = attempts.take_kept() or refusal_answer(last_refusal)
            attempts.cancel(outrun=True)
            return answer
        finally:
            attempts.cancel()

    def _repeat(
        self,
        call: Call,
        attempts: RunningAttempts,
        ended: Attempt,
        decision: RetryDecision,
        refusal: Refusal,
    ) -> bool:
        """Starts the attempt after one that has ended.

        Args:
            call: The call.
            attempts: Its attempts.
            ended: The attempt that has ended.
            decision: `RETRY` or `RESEND`.
            refusal: Refusal of the call if it ends now.

        Returns:
            Whether there was an endpoint for it.
        """
        presence = self.selector.choose_next(call, ended, decision)
        self._start_attempt(call, attempts, presence)
        if not attempts.running:
            self._report_no_endpoint(call, refusal)
        return presence is not None

    async def _next_ended(
        self, call: Call, attempts: RunningAttempts
    ) -> Attempt | None:
        """Waits for the next attempt that ends.

        Returns:
            The attempt, or None if an answer is kept and the deadline passes.
        """
        ended = attempts.next_ended()
        if attempts.has_kept_answer:
            left_s = max(0.0, call.deadline - self.clock.seconds())
            ended.addTimeout(left_s, self.clock)
        try:
            return await ended
        except TimeoutError:
            return None

    def _decide_next(
        self, call: Call, attempts: RunningAttempts, attempt: Attempt
    ) -> RetryDecision:
        """Records the end of an attempt, and decides the step after it."""
        ending = attempt.result.ending
        call.may_have_run |= may_have_run(ending)
        call.target_attempts += may_have_reached_target(ending)
        call.capacity_refusals += lacks_capacity(ending)
        self._refund_if_unused(call, attempt)
        decision = self._decide(call, attempts, attempt.result)
        self.metrics.count(
            "fulmarrudder_attempts_total",
            ("ending", type(ending).__name__.lower()),
            ("next", decision.value),
        )
        self.report.attempt_ended(
            call,
            attempt,
            ending,
            decision,
            self.retry_budget_of(call.service),
        )
        return decision

    def _report_no_endpoint(self, call: Call, refusal: Refusal) -> None:
        endpoints = self.facts.endpoints_of(call.service)
        self.report.no_endpoint(call, endpoints, refusal.reason)

    def _start_attempt(
        self, call: Call, attempts: RunningAttempts, presence: Presence | None
    ) -> None:
        """Starts an attempt if there is an endpoint for it."""
        if presence is None:
            return
        call.attempts += 1
        is_resent = presence.node in call.tried_nodes
        call.tried_nodes = call.tried_nodes | {presence.node}
        run = functools.partial(self._run_attempt, call, attempts)
        attempt = Attempt(
            presence=presence,
            number=call.attempts,
            is_resent=is_resent,
            choice=self.report.choice(presence),
        )
        attempts.start(attempt, run)

    def _claim_sending(
        self, call: Call, attempts: RunningAttempts, attempt: Attempt
    ) -> None:
        """Marks an attempt as sent and pays for it, or forbids to send it.

        The retry budget limits the load on targets, so that only an attempt
        beside or after one that may have reached a target costs a token.
        Others may have been sent while the connection of this one opened.

        Raises:
            WithheldError: The attempt must not be sent.
        """
        context = retry_context(call, attempts)
        if not call.may_run_again:
            raise WithheldError("an earlier attempt may have run")
        if not allows_sending(context, is_resent=attempt.is_resent):
            raise WithheldError("limits of the call are reached")
        if context.target_attempts:
            if not self.retry_budget_of(call.service).withdraw():
                raise WithheldError("no retry token is left")
            attempt.is_paid = True
        attempt.sent = True
        attempt.stalled = False

    def _refund_if_unused(self, call: Call, attempt: Attempt) -> None:
        ending = attempt.result.ending
        if attempt.is_paid and not may_have_reached_target(ending):
            self.retry_budget_of(call.service).refund()

    def _handle_stall(
        self,
        call: Call,
        attempts: RunningAttempts,
        attempt: Attempt,
        cause: StallCause,
    ) -> None:
        """Starts an attempt beside those whose nodes are stalled.

        Args:
            call: The call.
            attempts: Its attempts.
            attempt: The attempt whose node was just found to be stalled.
            cause: Why its node counts as stalled.
        """
        attempt.stalled = True
        presence = self._choose_hedge(call, attempts)
        self.report.hop_stalled(
            call, attempt, cause, hedged=presence is not None
        )
        if presence is None:
            return
        self.metrics.count(
            "fulmarrudder_attempts_total",
            ("ending", "stalled"),
            ("next", "hedge"),
        )
        self._start_attempt(call, attempts, presence)

    def _choose_hedge(
        self, call: Call, attempts: RunningAttempts
    ) -> Presence | None:
        """Returns the endpoint of another attempt.

        Returns:
            The endpoint, or None if the call waits for its attempts instead.
        """
        if not attempts.all_stalled() or not call.may_run_again:
            return None
        context = retry_context(call, attempts)
        if not allows_attempt(context) or not self._can_pay(call, context):
            return None
        return self.selector.choose(call)

    def _can_pay(self, call: Call, context: RetryContext) -> bool:
        """Returns whether there is a token for an attempt that needs one."""
        if not context.target_attempts:
            return True
        return self.retry_budget_of(call.service).has_token

    def _decide(
        self, call: Call, attempts: RunningAttempts, result: AttemptResult
    ) -> RetryDecision:
        context = retry_context(call, attempts, result.ending)
        decision = decide_retry(result.ending, context)
        if decision not in REPEATING_DECISIONS:
            return decision
        is_late = self.clock.seconds() >= call.deadline
        if not is_late and self._can_pay(call, context):
            return decision
        final = dataclasses.replace(context, replayable=False)
        return decide_retry(result.ending, final)

    async def _run_attempt(
        self, call: Call, attempts: RunningAttempts, attempt: Attempt
    ) -> AttemptResult:
        presence = attempt.presence
        started = self.clock.seconds()
        self.balancer.record_sent(presence, started)
        failed, result = True, None
        spill_deadline = self.selector.spill_deadline(call)
        claim_sending = functools.partial(
            self._claim_sending, call, attempts, attempt
        )
        try:
            if presence.node == self.node:
                claim_sending()
                result = await self._send_local(call, presence, spill_deadline)
            else:
                on_stall = functools.partial(
                    self._handle_stall, call, attempts, attempt
                )
                result = await self._send_remote(
                    call, attempt, spill_deadline, claim_sending, on_stall
                )
            failed = counts_as_failure(result.ending)
            if result.exchange is not None and not failed:
                failed = None
                record = functools.partial(
                    self._record_outcome, presence, call.route.name
                )
                result.exchange.call_at_end(record)
        except ConnectError:
            is_late = self.clock.seconds() >= call.deadline
            refusal = CONNECTION_LATE if is_late else UNREACHABLE
            result = AttemptResult(ending=Declined(refusal=refusal))
        except TimeoutError:
            result = AttemptResult(ending=Late())
        except WithheldError:
            failed = attempt.stalled
            result = AttemptResult(ending=Withheld())
        except StaleConnectionError:
            result = AttemptResult(ending=Broken(stale=True))
        except CallError:
            result = AttemptResult(ending=Broken())
        except CancelledError:
            failed = True if attempt.outrun and attempt.stalled else None
            self.report.attempt_cancelled(call, attempt)
            raise
        finally:
            ending = None if result is None else result.ending
            now = self.clock.seconds()
            self.balancer.record_finished(
                presence,
                now,
                now - started if isinstance(ending, Answered) else None,
                failed=failed,
                unreachable=shows_no_target(ending),
                shed=shed(ending),
                route=call.route.name,
            )
        return result

    def _record_outcome(
        self, presence: Presence, route: str, end: ExchangeEnd
    ) -> None:
        """Records whether a streamed answer was completed."""
        self.balancer.record_outcome(
            presence,
            self.clock.seconds(),
            failed=end is ExchangeEnd.BROKEN,
            route=route,
        )

    async def _send_local(
        self, call, presence, spill_deadline: float
    ) -> AttemptResult:
        request = call.request_to(presence, spill_deadline=spill_deadline)
        answer = await self.host.serve(request, call.body, call.send_continue)
        route = call.route.name
        report = self.host.load_report(route, call.head.length)
        self.balancer.record_load_report(
            presence, self.clock.seconds(), report, route
        )
        if answer.refusal is not None:
            self.host.report.refused(request, answer.refusal)
            return AttemptResult(ending=Declined(refusal=answer.refusal))
        return await self._buffer(call, answer)

    async def _send_remote(
        self,
        call: Call,
        attempt: Attempt,
        spill_deadline: float,
        claim_sending: Callable[[], None],
        on_stall: Callable[[StallCause], None],
    ) -> AttemptResult:
        presence = attempt.presence
        reply = await self.sender.send(
            call,
            presence,
            spill_deadline=spill_deadline,
            new_connection=attempt.is_resent,
            claim_sending=claim_sending,
            on_stall=on_stall,
        )
        if presence.data_centre != self.balancer.data_centre:
            self._count_transfer(call, reply)
        if reply.load_report is not None:
            self.balancer.record_load_report(
                presence,
                self.clock.seconds(),
                reply.load_report,
                call.route.name,
            )
        if reply.refusal is not None:
            return AttemptResult(ending=Declined(refusal=reply.refusal))
        return await self._buffer(call, reply.answer)

    def _count_transfer(self, call: Call, reply: Reply) -> None:
        """Counts the bodies that cross between two data centres."""
        kind = "refused-request" if reply.refusal else "request"
        self.metrics.count(
            "fulmarrudder_data_centre_bytes_total",
            ("kind", kind),
            by=call.body.received_bytes,
        )
        if reply.answer is not None:
            self.metrics.count(
                "fulmarrudder_data_centre_bytes_total",
                ("kind", "answer"),
                by=reply.answer.head.length,
            )

    async def _buffer(self, call: Call, answer: Answer) -> AttemptResult:
        self.balancer.record_answer_bytes(call.route.name, answer.head.length)
        if isinstance(answer, UpstreamAnswer):
            answer = await buffer_answer(answer, self.clock, call.deadline)
        is_buffered = isinstance(answer, BufferedAnswer)
        exchange = None if is_buffered else answer.exchange
        ending = Answered(status=answer.head.status)
        return AttemptResult(ending=ending, answer=answer, exchange=exchange)
