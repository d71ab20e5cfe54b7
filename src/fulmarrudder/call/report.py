"""Reports the decisions of an entry node as events.

Every request is passed to `attempt_ended`, so that it returns early for those
without anything to report, and fields are only computed for lines that are
written.
"""

from functools import singledispatch

from fulmarrudder.call.attempts import Attempt, Choice
from fulmarrudder.call.ending import (
    FIRST_FAILURE_STATUS,
    Answered,
    Broken,
    Declined,
    Ending,
    Late,
    Withheld,
)
from fulmarrudder.call.endpoint_stats import SlotState, WaitEstimate
from fulmarrudder.call.host_report import NO_ID, to_ms
from fulmarrudder.call.load_balancer import LoadBalancer
from fulmarrudder.call.message import RefusalReason
from fulmarrudder.call.plan import Call
from fulmarrudder.call.retry import RetryBudget, RetryDecision
from fulmarrudder.call.sender import StallCause
from fulmarrudder.clock import Clock
from fulmarrudder.model import Condition, Presence
from fulmarrudder.observe import EventLog, StageHistograms


class EntryReport:
    """Writes the events of one entry node.

    Attributes:
        events: Log of the events.
        balancer: Knows the state of endpoints.
        time_to_contact: Seconds from a request's arrival until it was first
            sent to a node whose target it may have reached.
        time_in_total: Seconds from a request's arrival until its answer.
    """

    def __init__(
        self, *, clock: Clock, events: EventLog, balancer: LoadBalancer
    ):
        self.clock = clock
        self.events = events
        self.balancer = balancer
        self.metrics = events.metrics
        self.time_to_contact = StageHistograms(self.metrics, "contact")
        self.time_in_total = StageHistograms(self.metrics, "total")

    def choice(self, presence: Presence) -> Choice:
        """Returns the basis on which an endpoint has just been chosen."""
        now = self.clock.seconds()
        reported_at = self.balancer.reported_at(presence, now)
        return Choice(
            basis=self.balancer.basis, reported_at=reported_at, chosen_at=now
        )

    def attempt_ended(
        self,
        call: Call,
        attempt: Attempt,
        ending: Ending,
        decision: RetryDecision,
        budget: RetryBudget,
    ) -> None:
        """Measures an attempt, and reports it unless it simply succeeded.

        Args:
            call: The call.
            attempt: The attempt.
            ending: How it ended.
            decision: What follows.
            budget: The retry budget of the service.
        """
        now = self.clock.seconds()
        if call.target_attempts and not call.contacted:
            call.contacted = True
            self.time_to_contact.add(
                call.route.name, attempt.choice.chosen_at - call.arrived_at
            )
        is_late = 0 < call.soft_deadline < now
        if (
            decision is RetryDecision.DELIVER
            and call.attempts == 1
            and not is_late
            and ending.status < FIRST_FAILURE_STATUS
        ):
            return
        kind = (kind_of(ending), decision, is_late)
        if not self.events.allow(now, "attempt-ended", kind):
            return
        self.events.write(
            "attempt-ended",
            kind,
            **self._request_fields(call, now, attempt.number),
            **self._endpoint_fields(attempt, now),
            ending=type(ending).__name__.lower(),
            **describe(ending),
            decision=decision.value,
            late=is_late,
            retry_tokens=round(budget.tokens, 1),
        )

    def call_ended(self, call: Call) -> None:
        """Measures a call whose answer is decided."""
        elapsed_s = self.clock.seconds() - call.arrived_at
        self.time_in_total.add(call.route.name, elapsed_s)

    def no_endpoint(
        self, call: Call, endpoints: tuple[Presence, ...], reason: RefusalReason
    ) -> None:
        """Reports that no endpoint is left for a call.

        Args:
            call: The call.
            endpoints: Endpoints of its service.
            reason: Why it is refused.
        """
        now = self.clock.seconds()
        if not self.events.allow(now, "no-endpoint", reason):
            return
        self.events.write(
            "no-endpoint",
            reason,
            **self._request_fields(call, now, call.attempts),
            **self._census(call, endpoints, now),
            decision=RetryDecision.REFUSE.value,
            reason=reason.value,
        )

    def overloaded(self, call: Call, estimate: WaitEstimate) -> None:
        """Reports a call that is refused before its first attempt.

        Args:
            call: The call.
            estimate: The shortest wait among the endpoints.
        """
        now = self.clock.seconds()
        if not self.events.allow(now, "request-refused", "entry"):
            return
        self.events.write(
            "request-refused",
            "entry",
            role="entry",
            **self._request_fields(call, now, call.attempts),
            reason=RefusalReason.OVERLOADED.value,
            wait_ms=to_ms(estimate.wait_s),
            service_ms=to_ms(estimate.service_time_s),
        )

    def hop_stalled(
        self, call: Call, attempt: Attempt, cause: StallCause, *, hedged: bool
    ) -> None:
        """Reports a request that waits for a stalled or lost node.

        Args:
            call: The call.
            attempt: The attempt that waits.
            cause: Why its node is not expected to answer soon.
            hedged: Whether another attempt is started beside it.
        """
        now = self.clock.seconds()
        decision = "hedge" if hedged else "wait"
        kind = (cause, hedged)
        self.metrics.count(
            "fulmarrudder_hops_stalled_total",
            ("cause", cause.value),
            ("decision", decision),
        )
        if not self.events.allow(now, "hop-stalled", kind):
            return
        self.events.write(
            "hop-stalled",
            kind,
            **self._request_fields(call, now, attempt.number),
            peer=attempt.presence.node,
            cause=cause.value,
            decision=decision,
        )

    def attempt_cancelled(self, call: Call, attempt: Attempt) -> None:
        """Reports an attempt that was cancelled before it ended.

        Args:
            call: The call.
            attempt: The attempt.
        """
        now = self.clock.seconds()
        cause = "outrun" if attempt.outrun else "caller-lost"
        if not self.events.allow(now, "attempt-cancelled", cause):
            return
        self.events.write(
            "attempt-cancelled",
            cause,
            **self._request_fields(call, now, attempt.number),
            **self._endpoint_fields(attempt, now),
            cause=cause,
            stalled=attempt.stalled,
        )

    def _request_fields(self, call: Call, now: float, attempt: int) -> dict:
        return {
            "request": call.id or NO_ID,
            "service": call.service,
            "route": call.route.name,
            "attempt": attempt,
            "arrived_ms_ago": to_ms(now - call.arrived_at),
            "left_ms": to_ms(call.deadline - now),
            "soft_left_ms": (
                to_ms(call.soft_deadline - now) if call.soft_deadline else None
            ),
            "repeatable": call.idempotent,
            "replayable": call.body.replayable,
        }

    def _endpoint_fields(self, attempt: Attempt, now: float) -> dict:
        presence, choice = attempt.presence, attempt.choice
        age_s = choice.chosen_at - choice.reported_at
        return {
            "peer": presence.node,
            "peer_dc": presence.data_centre,
            "peer_version": presence.target_version,
            "basis": choice.basis,
            "report_age_ms": to_ms(age_s) if choice.reported_at else None,
            "took_ms": to_ms(now - choice.chosen_at),
        }

    def _census(
        self, call: Call, endpoints: tuple[Presence, ...], now: float
    ) -> dict:
        ready = [p for p in endpoints if p.condition is Condition.READY]
        untried = [p for p in ready if p.node not in call.tried_nodes]
        states = [self.balancer.slot_state(p, now) for p in untried]
        return {
            "known": len(endpoints),
            "ready": len(ready),
            "tried": len(ready) - len(untried),
            "ejected": sum(self.balancer.is_ejected(p, now) for p in untried),
            "full": states.count(SlotState.FULL),
            "unreported": states.count(SlotState.UNKNOWN),
            "capacity_refusals": call.capacity_refusals,
        }


@singledispatch
def kind_of(ending: Ending) -> object:
    """Returns what distinguishes the lines about similar endings."""
    return type(ending)


@kind_of.register
def _(ending: Answered) -> object:
    return ending.status


@kind_of.register
def _(ending: Declined) -> object:
    return ending.refusal.reason


@singledispatch
def describe(ending: Ending) -> dict:
    """Returns the fields of an ending."""
    raise TypeError(f"not an ending: {type(ending).__name__}")


@describe.register
def _(ending: Answered) -> dict:
    return {"status": ending.status, "ran": "yes"}


@describe.register
def _(ending: Declined) -> dict:
    refusal = ending.refusal
    fields = {
        "status": refusal.status,
        "reason": refusal.reason.value,
        "ran": refusal.ran.value,
    }
    if refusal.detail:
        # Another node's refusal comes without its detail, which is in that
        # node's log.
        fields["detail"] = refusal.detail
    return fields


@describe.register
def _(ending: Broken) -> dict:
    return {"ran": "unknown", "stale": ending.stale}


@describe.register
def _(ending: Late) -> dict:
    return {"ran": "unknown"}


@describe.register
def _(ending: Withheld) -> dict:
    return {"ran": "no"}
