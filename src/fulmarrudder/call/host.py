"""Pipeline of a host node, which runs beside a target.

It admits a request, claims its idempotency key, forwards it to the target and
counts the result. The host node owns all connections to the target and its
slots, so only it can report that a request did not run.
"""

import dataclasses
import functools
import math
import random
from collections.abc import Callable

from twisted.internet.defer import (
    CancelledError,
    TimeoutError,
    ensureDeferred,
)
from twisted.internet.task import deferLater

from fulmarrudder.call.advice import AdviceTracker
from fulmarrudder.call.answer import Answer, refusal_answer
from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.claimed import ClaimedRuns
from fulmarrudder.call.claims import Claims
from fulmarrudder.call.cold import ColdLimit
from fulmarrudder.call.ending import (
    FIRST_FAILURE_STATUS,
    with_earlier_attempts,
)
from fulmarrudder.call.endpoint_stats import LoadReport
from fulmarrudder.call.errors import ConnectError, SlotError
from fulmarrudder.call.exchange import (
    ConnectionLostError,
    Exchange,
    ExchangeEnd,
    StaleConnectionError,
    UpstreamAnswer,
)
from fulmarrudder.call.header_names import (
    DEFAULT_HEADER_NAMES,
    AnswerValidity,
    HeaderNames,
    check_answer,
    target_fields,
)
from fulmarrudder.call.holding import SlotUse
from fulmarrudder.call.host_report import HostReport
from fulmarrudder.call.intake import Intake
from fulmarrudder.call.load import load_of, load_report
from fulmarrudder.call.message import (
    Refusal,
    RefusalReason,
    RequestHead,
    ResponseHead,
)
from fulmarrudder.call.poison import STRIKE_TTL_S, refuse_poison_request
from fulmarrudder.call.refusals import EVACUATED, broken, late, not_run
from fulmarrudder.call.retry import RetryBudgets
from fulmarrudder.call.sanitizer import sanitize_response
from fulmarrudder.call.slots import SlotRequest, Slots
from fulmarrudder.call.tally import Tallies
from fulmarrudder.call.target_limits import TargetLimits
from fulmarrudder.call.upstream import Connection, ConnectionPool
from fulmarrudder.call.vacancies import VacancyReporter
from fulmarrudder.call.warmup import WarmupTracker
from fulmarrudder.clock import wall_seconds
from fulmarrudder.membership import Announcement, FactStore, LocalTarget
from fulmarrudder.model import Condition, Strike
from fulmarrudder.observe import EventLog, Metrics
from fulmarrudder.placement import Circuit

# A request cancelled sooner than this is not counted: its duration says nothing
# about the target's latency.
MIN_CANCELLED_TALLY_S = 1.0
# A target that closed a connection counts as alive if it keeps a new one open
# for this long: the kernel needs some milliseconds to remove a dead process,
# and accepts connections for it until then.
PROBE_S = 0.1
# Validities of answers that the target wrote to the request.
TOLD_BY_TARGET = frozenset({AnswerValidity.VALID, AnswerValidity.NOT_RUN})
CIRCUIT_OPEN = not_run(
    RefusalReason.UNREACHABLE, "target closes its connections"
)
NO_TIME_LEFT = not_run(RefusalReason.DEADLINE, "no time left", 504)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostRequest:
    """A request for the local target.

    Attributes:
        head: The head for the target.
        service: Service that the entry node chose.
        target_version: Target version that the entry node chose.
        route: Name of the route.
        fingerprint: Digest of the request.
        key: Idempotency key, or empty when none needs claiming.
        repeatable: Whether the request may safely run twice.
        deadline: Clock seconds.
        soft_deadline: Soft deadline of the answer in clock seconds, or 0.
        rank: Priority; 0 is the highest.
        spill_deadline: Clock seconds after which the request should spill
            over to another target; 0 when the entry node has no other one.
    """

    head: RequestHead
    service: str
    target_version: str
    route: str
    fingerprint: str
    key: str
    repeatable: bool
    deadline: float
    soft_deadline: float = 0.0
    rank: int = 0
    spill_deadline: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _TargetReply:
    """The head of a target's answer.

    Attributes:
        exchange: The exchange that it ended.
        is_resent: Whether the request was sent before, so that it may have run.
    """

    head: ResponseHead
    exchange: Exchange
    is_resent: bool = False


class HostPipeline:
    """Serves requests with the local target.

    Attributes:
        leaving: Whether new requests are refused because the node stops.
        in_flight: Requests in progress.
        broadcast: Sends a fact to all other nodes.
        report: Reports decisions as events.
        retry_budgets: Retry budgets of this node.
        intake: Limits the bodies that other nodes send at once.
        has_workspaces: Whether requests tell a workspace that their entry node found.
        advice: Applies what the target tells of itself in its answers.
        cold: Limits the requests of a target that is cold.
        data_centre: Data centre of the node.
        claimed: Runs the requests that claim an idempotency key.
        vacancies: Tells other nodes of free slots.
        circuit: Whether the target answers at all.
    """

    def __init__(
        self,
        *,
        clock,
        pool: ConnectionPool,
        local_target: LocalTarget,
        facts: FactStore,
        log,
        rng: random.Random,
        broadcast,
        header_names: HeaderNames = DEFAULT_HEADER_NAMES,
        events: EventLog | None = None,
        link_bytes_per_s: float = math.inf,
        on_target_leaving: Callable[[], None] | None = None,
        data_centre: str = "",
    ):
        self.data_centre = data_centre
        self.header_names = header_names
        self.clock = clock
        self.pool = pool
        self.local_target = local_target
        self.facts = facts
        self.log = log
        self.rng = rng
        self.broadcast = broadcast
        self.slots = Slots(clock)
        self.tallies = Tallies()
        self.claims: dict[str, Claims] = {}
        self.claimed = ClaimedRuns(clock, self._claims_for)
        self.leaving = False
        self.has_workspaces = False
        self.in_flight = 0
        self.retry_budgets = RetryBudgets()
        self.intake = Intake(clock, link_bytes_per_s)
        self.warmup = WarmupTracker()
        self.report = HostReport(
            clock=clock,
            events=events or EventLog(Metrics()),
            slots=self.slots,
            header_names=header_names,
        )
        limits = TargetLimits(local_target, self.slots)
        self.cold = ColdLimit(
            clock=clock,
            local_target=local_target,
            limits=limits,
            is_evacuated=lambda: self.is_evacuated,
        )
        self.advice = AdviceTracker(
            header_names=header_names,
            local_target=local_target,
            limits=limits,
            slots=self.slots,
            report=self.report,
            on_leaving=on_target_leaving or local_target.leave,
        )
        self.circuit = Circuit()
        self.vacancies = VacancyReporter(
            clock=clock, slots=self.slots, is_open=self._takes_requests
        )

    def apply_announcement(self) -> None:
        """Applies the slot and connection limits that the target announced.

        A connection carries one request at a time, and a new one is opened
        only when none is idle, so a limit on requests also limits
        connections.
        """
        latest = self.local_target.latest
        if latest is not None:
            self.slots.resize(min(latest.slots, latest.connections))
            self.advice.announced(latest)
            self.cold.refresh()
            if latest.incarnation != self.circuit.incarnation:
                self.circuit = Circuit(latest.incarnation)

    @property
    def is_evacuated(self) -> bool:
        """Whether the local target must get no requests."""
        return self.data_centre in self.facts.evacuated

    def apply_evacuation(self) -> None:
        """Applies that the node's data centre is evacuated, or is no longer.

        The target may have become cold meanwhile.
        """
        if self.is_evacuated:
            self.slots.refuse_waiting(EVACUATED.detail)
        else:
            self.local_target.presumed_cold = True
        self.cold.refresh()

    async def serve(
        self, request: HostRequest, body: RequestBody, send_continue
    ) -> Answer:
        """Serves one request with the local target, or refuses it.

        Args:
            request: The request.
            body: Its body.
            send_continue: Called once the body may be sent.

        Returns:
            The target's answer, or an answer that carries a refusal.
        """
        asked_at = self.clock.seconds()
        refusal = self.check_request(request)
        if refusal is None and not self._may_try_target(asked_at):
            refusal = CIRCUIT_OPEN
        if refusal is not None:
            return _refusal_to_node(refusal)
        slot_request = SlotRequest(
            deadline=request.deadline,
            soft_deadline=request.soft_deadline,
            rank=request.rank,
            route=request.route,
            spill_deadline=request.spill_deadline,
            workspace=self._workspace_of(request.head),
            body_bytes=request.head.length,
        )
        granted = self.slots.acquire(request.deadline, slot_request)
        is_queued = not granted.called
        if is_queued:
            # Queued, so it is likely to run: receive its body meanwhile.
            send_continue()
        try:
            run = await granted
        except SlotError as error:
            refusal = self._overload_refusal(request, str(error))
            if self.is_evacuated:
                refusal = EVACUATED
            return _refusal_to_node(refusal)
        self.report.time_in_queue.add(
            request.route, self.clock.seconds() - asked_at
        )
        # The target or this node may have changed state during the wait.
        refusal = self.check_request(request)
        if refusal is None and is_queued and self._avoids_target():
            refusal = CIRCUIT_OPEN
        if refusal is not None:
            self.slots.release(run=run)
            return _refusal_to_node(refusal)
        self.in_flight += 1
        slot_use = SlotUse(
            clock=self.clock,
            slots=self.slots,
            route=request.route,
            run=run,
            on_release=self._request_ended,
        )
        try:
            send = functools.partial(
                self._run, request, body, send_continue, slot_use
            )
            if not request.key:
                return await send()
            return await self.claimed.run(
                request, slot_use, check=self.check_request, send=send
            )
        finally:
            slot_use.release_if_unused()

    def _request_ended(self) -> None:
        self.in_flight -= 1

    def _workspace_of(self, head: RequestHead) -> bytes | None:
        if not self.has_workspaces:
            return None
        return head.headers.get(self.header_names.workspace)

    def _overload_refusal(self, request: HostRequest, detail: str) -> Refusal:
        reason = RefusalReason.OVERLOADED
        if request.spill_deadline:
            reason = RefusalReason.BUSY
        service_time_s = self.slots.service_time(request.route)
        after_s = self.slots.retry_after(request.deadline - service_time_s)
        return not_run(reason, detail, retry_after_s=after_s)

    def _takes_requests(self) -> bool:
        if self.leaving or self.is_evacuated or self.circuit.is_open:
            return False
        # A free slot of a limited target is not one that can be used now.
        if self.slots.rate.is_limited:
            return False
        return self.local_target.condition is Condition.READY

    def _avoids_target(self) -> bool:
        return self.slots.uses_work and self.circuit.is_open

    def _may_try_target(self, now: float) -> bool:
        return not self.slots.uses_work or self.circuit.admits(now)

    @property
    def load(self) -> int:
        """Number of requests that run or wait at this node."""
        return load_of(self.slots)

    def load_report(self, route: str, body_bytes: int = 0) -> LoadReport:
        """Returns the load of the target, for requests of a class.

        Args:
            route: Name of their route.
            body_bytes: Size of their bodies.
        """
        return load_report(
            self.slots,
            self.circuit,
            self.clock.seconds(),
            route=route,
            body_bytes=body_bytes,
        )

    def check_request(self, request: HostRequest) -> Refusal | None:
        """Returns the refusal of a request that may not run now, or None."""
        latest = self.local_target.latest
        condition = self.local_target.condition
        if self.leaving or condition is Condition.LEAVING:
            return not_run(RefusalReason.LEAVING, "target is leaving")
        if self.is_evacuated:
            return EVACUATED
        if latest is None or condition is not Condition.READY:
            return not_run(RefusalReason.NO_TARGET, "no target beside node")
        requested = (request.service, request.target_version)
        if requested != (latest.service, latest.target_version):
            return not_run(RefusalReason.WRONG_TARGET, "another target here")
        if request.deadline <= self.clock.seconds():
            return NO_TIME_LEFT
        return refuse_poison_request(
            self.facts, request.fingerprint, wall_seconds()
        )

    async def _run(self, request, body, send_continue, slot_use) -> Answer:
        target = self.local_target.latest
        connection = await self._connect(request, target)
        if isinstance(connection, Refusal):
            return _refusal_to_node(connection)
        send_continue()
        started_at = self.clock.seconds()
        reply = await self._reply_of(
            target, request, body, slot_use, connection
        )
        if isinstance(reply, Refusal):
            return _refusal_to_node(reply)
        self.circuit.answered()
        head, exchange = reply.head, reply.exchange
        validity = check_answer(head, request.head, self.header_names)
        if validity in TOLD_BY_TARGET:
            self.advice.answered(head, target)
        if validity is not AnswerValidity.VALID:
            refusal = self._refuse_invalid_answer(
                request, target, validity, reply, started_at
            )
            return _refusal_to_node(
                with_earlier_attempts(
                    refusal, may_have_run_before=reply.is_resent
                )
            )
        now = self.clock.seconds()
        exchange.call_at_end(
            functools.partial(
                self._tally_answer, request, started_at, now, head.status
            )
        )
        return UpstreamAnswer(sanitize_response(head), exchange)

    async def _connect(
        self, request: HostRequest, target: Announcement
    ) -> Connection | Refusal:
        try:
            return await self.pool.acquire(
                target.address,
                recently_used=not request.repeatable,
                deadline=request.deadline,
            )
        except ConnectError:
            if self.clock.seconds() >= request.deadline:
                return NO_TIME_LEFT
            self._mark_unreachable(target)
            return not_run(
                RefusalReason.UNREACHABLE, "target refuses connections"
            )

    async def _reply_of(
        self,
        target: Announcement,
        request: HostRequest,
        body: RequestBody,
        slot_use: SlotUse,
        connection: Connection,
    ) -> _TargetReply | Refusal:
        """Sends a request to the target, and counts it if it gets no answer."""
        started_at = self.clock.seconds()
        try:
            return await self._send(request, body, slot_use, target, connection)
        except TimeoutError:
            now = self.clock.seconds()
            self._tally(request, started_at, now, failed=True)
            return late("target gave no answer in time")
        except CancelledError:
            # The caller cancelled; the elapsed time is a lower bound of the
            # target's latency.
            now = self.clock.seconds()
            if now - started_at >= MIN_CANCELLED_TALLY_S:
                self._tally(request, started_at, now, failed=False)
            raise
        except ConnectionLostError as error:
            if body.lost:
                return broken("request body was cut off")
            now = self.clock.seconds()
            self.circuit.lost(now)
            self._tally(request, started_at, now, failed=True)
            ensureDeferred(self._probe(request, target))
            refusal = broken(f"target closed: {error}")
            return dataclasses.replace(refusal, run_ended=self.slots.uses_work)

    async def _send(
        self,
        request: HostRequest,
        body: RequestBody,
        slot_use: SlotUse,
        target: Announcement,
        connection: Connection,
    ) -> _TargetReply:
        """Sends a request, once more if its kept connection was closed."""
        exchange = self._start(request, body, slot_use, target, connection)
        try:
            head = await exchange.wait_for_head(request.deadline)
        except StaleConnectionError:
            if not self._may_resend(request, body):
                raise
        else:
            return _TargetReply(head=head, exchange=exchange)
        self.report.target_event(
            "request-resent", request, address=target.address
        )
        try:
            connection = await self.pool.acquire(
                target.address, new=True, deadline=request.deadline
            )
        except ConnectError as error:
            if self.clock.seconds() >= request.deadline:
                raise TimeoutError("no connection in time") from error
            raise ConnectionLostError("target refuses connections") from error
        exchange = self._start(request, body, slot_use, target, connection)
        head = await exchange.wait_for_head(request.deadline)
        return _TargetReply(head=head, exchange=exchange, is_resent=True)

    def _start(
        self, request, body, slot_use, target: Announcement, connection
    ) -> Exchange:
        left_s = max(0.0, request.deadline - self.clock.seconds())
        fields = target_fields(
            self.header_names, left_ms=int(left_s * 1000), target=target.id
        )
        exchange = connection.start(request.head, body, fields)
        slot_use.attach(exchange)
        return exchange

    def _may_resend(self, request: HostRequest, body: RequestBody) -> bool:
        """Returns whether a request may be sent again, and pays for it.

        The target may have begun to run it, so that it is a retry.
        """
        if not request.repeatable or not body.replayable or body.lost:
            return False
        if self.check_request(request) is not None:
            return False
        return self.retry_budgets.of(request.service).withdraw()

    def _refuse_invalid_answer(
        self,
        request: HostRequest,
        target: Announcement,
        validity: AnswerValidity,
        reply: _TargetReply,
        started_at: float,
    ) -> Refusal:
        self.report.target_event(
            "answer-invalid",
            request,
            found=validity.value,
            status=reply.head.status,
        )
        if validity is AnswerValidity.MISMATCHED:
            reply.exchange.cancel()
            now = self.clock.seconds()
            self._tally(request, started_at, now, failed=True)
            return broken("target's answer was not to this request")
        if validity is AnswerValidity.MISDIRECTED:
            reply.exchange.cancel()
            self._mark_unreachable(target)
            return not_run(
                RefusalReason.MISDIRECTED,
                "another target has the address",
                reached_target=True,
            )
        reply.exchange.discard_body()
        return not_run(
            RefusalReason.TARGET_SHED,
            "target turned the request away",
            retry_after_s=self.slots.retry_after(),
            reached_target=True,
        )

    def _mark_unreachable(self, target: Announcement) -> None:
        """Records that a target is gone, unless another has replaced it."""
        if self.local_target.latest.incarnation == target.incarnation:
            self.local_target.mark_unreachable()

    async def _probe(self, request: HostRequest, target: Announcement) -> None:
        # A new connection distinguishes a crashed target from one that only
        # closed a connection, long before its announcements time out.
        try:
            connection = await self.pool.acquire(
                target.address, recently_used=True
            )
        except ConnectError:
            connection = None
        if connection is not None:
            # A process that is exiting may still accept connections.
            await deferLater(self.clock, PROBE_S)
            if not connection.lost:
                self.pool.release(connection)
                return
        self._mark_unreachable(target)
        self._strike(request, target)

    def _tally_answer(
        self,
        request: HostRequest,
        started_at: float,
        answered_at: float,
        status: int,
        end: ExchangeEnd,
    ) -> None:
        """Counts an answer, which is a success only if it is complete."""
        failed = status >= FIRST_FAILURE_STATUS or end is ExchangeEnd.BROKEN
        self._tally(request, started_at, answered_at, failed=failed)

    def _tally(
        self,
        request: HostRequest,
        started_at: float,
        ended_at: float,
        *,
        failed: bool,
    ) -> None:
        latency_s = ended_at - started_at
        self.report.target_ended(request, latency_s, failed=failed)
        cold = self.warmup.record_request(
            self.local_target.latest.incarnation, self.clock.seconds()
        )
        self.tallies.record(
            request.service,
            request.target_version,
            request.route,
            failed=failed,
            latency_s=None if cold else latency_s,
        )

    def _strike(self, request: HostRequest, target: Announcement) -> None:
        self.report.target_event(
            "target-crashed", request, address=target.address
        )
        self.broadcast(
            Strike(
                fingerprint=request.fingerprint,
                crash_id=f"{target.address}/{target.incarnation}",
                expires=wall_seconds() + STRIKE_TTL_S,
            )
        )

    def _claims_for(self, service: str) -> Claims:
        if service not in self.claims:
            self.claims[service] = Claims(
                self.log, service, self.clock, self.rng
            )
        return self.claims[service]


def _refusal_to_node(refusal: Refusal) -> Answer:
    return refusal_answer(refusal, to_node=True)
