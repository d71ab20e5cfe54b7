"""Decisions of an entry node on where an attempt goes, and whether any is worth it."""

import dataclasses
import random
from collections.abc import Mapping

from fulmarrudder.call.attempts import Attempt
from fulmarrudder.call.ending import is_stale
from fulmarrudder.call.endpoint_stats import SlotState, WaitEstimate
from fulmarrudder.call.load_balancer import LoadBalancer
from fulmarrudder.call.message import Refusal, RefusalReason
from fulmarrudder.call.plan import Call
from fulmarrudder.call.refusals import not_run
from fulmarrudder.call.retry import (
    MAX_SPILL_ATTEMPTS,
    RetryDecision,
    may_accept,
)
from fulmarrudder.call.route import RouteTable
from fulmarrudder.call.slots import MIN_RETRY_AFTER_S, likely_late
from fulmarrudder.call.version_split import eligible_versions
from fulmarrudder.clock import Clock
from fulmarrudder.membership import FactStore
from fulmarrudder.model import Condition, Presence
from fulmarrudder.state_machine import State

# Fraction of the latency objective, from the arrival of a call. While another
# endpoint has a free slot, a host node queues the call only if it expects to
# answer within this.
SPILL_DEADLINE_FRACTION = 0.5


@dataclasses.dataclass(slots=True, kw_only=True)
class ActiveConfig:
    """Configuration that an entry node routes by.

    Attributes:
        state: The replicated state, or None before the first one.
        table: Routes of its arrangement, or None before the first one.
        withdrawn: Target versions that moves led to without completing, by
            service.
    """

    state: State | None = None
    table: RouteTable | None = None
    withdrawn: Mapping[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )


def overload_refusal(estimate: WaitEstimate) -> Refusal:
    """Returns the refusal of a call that would be late everywhere."""
    return not_run(
        RefusalReason.OVERLOADED,
        "all targets told that they are full",
        retry_after_s=max(MIN_RETRY_AFTER_S, estimate.wait_s),
    )


class EndpointSelector:
    """Selects the endpoints of calls.

    Attributes:
        active_config: Configuration by which calls are routed.
        facts: Endpoints that this node knows.
        balancer: Compares endpoints.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        facts: FactStore,
        balancer: LoadBalancer,
        rng: random.Random,
    ):
        self.clock = clock
        self.facts = facts
        self.balancer = balancer
        self.rng = rng
        self.active_config = ActiveConfig()

    def choose(self, call: Call) -> Presence | None:
        """Returns the endpoint of the next attempt, or None."""
        version_filters = eligible_versions(
            self.active_config.state,
            call.service,
            call.route.name,
            self.facts.brakes,
            self.rng,
            self.active_config.withdrawn.get(call.service, frozenset()),
        )
        endpoints = self.facts.endpoints_of(call.service)
        now = self.clock.seconds()
        for version_filter in version_filters:
            eligible = tuple(
                [
                    p
                    for p in endpoints
                    if version_filter.allows(p.target_version)
                ]
            )
            if call.capacity_refusals:
                eligible = self._filter_by_slots(eligible, call, now)
            chosen = self.balancer.choose(
                eligible,
                None,
                now,
                call.tried_nodes,
                route=call.route.name,
                body_bytes=call.head.length,
                latency_objective_s=call.route.latency_objective_ms / 1000,
            )
            if chosen is not None:
                return chosen
        return None

    def choose_next(
        self, call: Call, ended: Attempt, decision: RetryDecision
    ) -> Presence | None:
        """Returns the endpoint of the attempt after one that has ended.

        Args:
            call: The call.
            ended: The attempt that has ended.
            decision: `RETRY` or `RESEND`.
        """
        if decision is RetryDecision.RESEND:
            return ended.presence
        presence = self.choose(call)
        if presence is None and is_stale(ended.result.ending):
            # There is no other endpoint, and this one may be well.
            return ended.presence
        return presence

    def spill_deadline(self, call: Call) -> float:
        """Returns the spill deadline of the current attempt.

        Returns:
            Clock seconds, or 0 when no other endpoint has a free slot.
        """
        if call.attempts > MAX_SPILL_ATTEMPTS:
            return 0.0
        now = self.clock.seconds()
        for presence in self.facts.endpoints_of(call.service):
            if presence.condition is not Condition.READY:
                continue
            if presence.node in call.tried_nodes:
                continue
            if self.balancer.slot_state(presence, now) is SlotState.FREE:
                objective_s = call.route.latency_objective_ms / 1000
                return call.arrived_at + SPILL_DEADLINE_FRACTION * objective_s
        return 0.0

    def overload_of(self, call: Call) -> WaitEstimate | None:
        """Returns the wait of a call that is expected to be late everywhere.

        Only the least urgent requests of a service are judged here: more
        urgent ones overtake queued requests, so the load of a target does not
        determine how long they wait.

        Returns:
            The shortest wait, or None if the call may be in time.
        """
        least_urgent_rank = self.active_config.table.least_urgent_rank.get(
            call.service, 0
        )
        if not call.soft_deadline or not 0 < least_urgent_rank <= call.rank:
            return None
        now = self.clock.seconds()
        endpoints = self.facts.endpoints_of(call.service)
        estimate = self.balancer.shortest_wait(endpoints, now, call.route.name)
        if estimate is None:
            return None
        if not likely_late(
            now, estimate.wait_s, estimate.service_time_s, call.soft_deadline
        ):
            return None
        return estimate

    def _filter_by_slots(
        self, eligible: tuple[Presence, ...], call: Call, now: float
    ) -> tuple[Presence, ...]:
        return tuple(
            presence
            for presence in eligible
            if may_accept(
                self.balancer.slot_state(presence, now),
                call.capacity_refusals,
                tells_work=self.balancer.tells_work(presence),
            )
        )
