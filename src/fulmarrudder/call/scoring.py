"""Decision: expected latency and cost of endpoints, and the best of them."""

import dataclasses
import math
import operator
import random

from fulmarrudder.call.endpoint_stats import EndpointStats
from fulmarrudder.model import Presence

SLOW_START_S = 5.0
SLOW_START_MIN_WEIGHT = 0.1
# Penalty on the expected latency of an endpoint in another data centre, for the
# round trip and the price of its bytes.
REMOTE_PENALTY_S = 0.02
# Further penalty, as a fraction of the latency objective: an answer that meets
# the objective from the local data centre need not come sooner.
REMOTE_PENALTY_FRACTION = 0.05
# A call to the local target involves no second node and costs less processor
# time, so its expected latency is scaled by this.
LOCAL_TARGET_FACTOR = 0.85
# Fraction of the latency objective within which an expected answer is fast
# enough: a faster one from farther away adds no value but costs bytes and a
# hop. The rest of the objective absorbs variance.
SUFFICIENT_FRACTION = 0.6
# Bytes of bodies and answers between data centres that cost as much as one second.
REMOTE_BYTES_PER_S = 200_000
# An endpoint whose failure rate is r counts as 1 + FAILURE_PENALTY * r**2 times
# slower. The failure rate decays while no request fails.
FAILURE_PENALTY = 20.0
FAILURE_DECAY_S = 3.0
# Random spread of costs, so that nodes with the same reports do not all choose
# the same endpoint.
JITTER = 0.08
# Distance of an endpoint from this node.
LOCAL_TARGET, SAME_DATA_CENTRE, OTHER_DATA_CENTRE = range(3)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An endpoint under comparison.

    Attributes:
        distance: `LOCAL_TARGET`, `SAME_DATA_CENTRE` or `OTHER_DATA_CENTRE`.
        latency_s: Expected latency; infinite without a load report, and
            without a free slot unless the wait for one was reported.
        cost_s: Expected latency adjusted for distance and slow start; finite
            also when no slot is free.
        has_room: Whether it is expected to have a slot free.
    """

    presence: Presence
    distance: int
    latency_s: float
    cost_s: float
    has_room: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scoring:
    """A comparison of endpoints for a request.

    Attributes:
        node: Id of this node, or empty.
        data_centre: Data centre of this node.
        rng: Source of the random spread.
        now: Clock seconds.
        route: Name of the route.
        remote_penalty_s: Penalty on endpoints in other data centres.
    """

    node: str
    data_centre: str
    rng: random.Random
    now: float
    route: str
    remote_penalty_s: float

    def score(
        self, presence: Presence, stats: EndpointStats, silence_s: float
    ) -> Candidate:
        """Estimates the latency and the cost of an endpoint.

        Args:
            presence: The endpoint.
            stats: Its statistics.
            silence_s: Seconds for which its data centre has been silent.
        """
        now = self.now
        distance = self._distance(presence)
        slots = max(1, presence.slots)
        excess = max(0.0, stats.expected_load(now) + 1 - slots)
        if stats.wait_s is None:
            latency_s = (
                stats.unloaded_latency_s(self.route)
                + stats.service_time_s * excess / slots
            )
        else:
            latency_s = stats.latency_now_s(self.route, now, slots)
        # A frozen or partitioned node sends no reports, which is detected long
        # before the deadlines of the requests that were sent there.
        latency_s = max(latency_s, stats.stalled_s(now), silence_s)
        age = now - stats.last_failure_at
        failure_rate = stats.failure_rate * math.exp(-age / FAILURE_DECAY_S)
        latency_s *= 1 + FAILURE_PENALTY * failure_rate**2
        has_report = stats.reported_at > 0.0
        is_known = stats.wait_s is not None or excess == 0
        return Candidate(
            presence=presence,
            distance=distance,
            latency_s=latency_s if has_report and is_known else math.inf,
            cost_s=self._cost_s(latency_s, distance, stats),
            has_room=excess == 0,
        )

    def _distance(self, presence: Presence) -> int:
        if presence.node == self.node:
            return LOCAL_TARGET
        return (
            SAME_DATA_CENTRE
            if presence.data_centre == self.data_centre
            else OTHER_DATA_CENTRE
        )

    def _cost_s(
        self, latency_s: float, distance: int, stats: EndpointStats
    ) -> float:
        if distance == LOCAL_TARGET:
            latency_s *= LOCAL_TARGET_FACTOR
        elif distance == OTHER_DATA_CENTRE:
            latency_s += self.remote_penalty_s
        weight = min(
            1.0,
            max(
                SLOW_START_MIN_WEIGHT,
                (self.now - stats.slow_start_from) / SLOW_START_S,
            ),
        )
        jitter = self.rng.uniform(1 - JITTER, 1 + JITTER)
        return latency_s / weight * jitter


def remote_penalty_s(moved_bytes: float, latency_objective_s: float) -> float:
    """Returns the penalty on endpoints in other data centres.

    Args:
        moved_bytes: Size of the request's body and its expected answer.
        latency_objective_s: Latency objective of the route, or 0.
    """
    return (
        REMOTE_PENALTY_S
        + moved_bytes / REMOTE_BYTES_PER_S
        + REMOTE_PENALTY_FRACTION * latency_objective_s
    )


def best_of(
    candidates: list[Candidate], latency_objective_s: float
) -> tuple[Presence, str]:
    """Returns the best endpoint, and why it is: `nearest` or `cost`.

    Args:
        candidates: The endpoints under comparison; at least one.
        latency_objective_s: Latency objective of the route, or 0.
    """
    sufficient_s = SUFFICIENT_FRACTION * latency_objective_s
    sufficient = [
        c
        for c in candidates
        if c.distance < OTHER_DATA_CENTRE and c.latency_s <= sufficient_s
    ]
    basis = "nearest" if sufficient else "cost"
    if sufficient:
        candidates = _nearest(sufficient)
    best = min(candidates, key=operator.attrgetter("cost_s"))
    return best.presence, basis


def _nearest(candidates: list[Candidate]) -> list[Candidate]:
    """Returns the nearest candidates with room; all of them if none has."""
    with_room = [c for c in candidates if c.has_room]
    if not with_room:
        return candidates
    nearest = min(c.distance for c in with_room)
    return [c for c in with_room if c.distance == nearest]
