"""Filter: from a target version to the endpoint that serves the request.

Health and load as targets report them lag or mislead, so the choice rests on
what this node observes, and on what the nodes beside the targets tell with
each answer: how many requests run or wait there, and how long one takes.
"""

import dataclasses
import math
import operator
import random

from fulmarrudder.call.endpoint_stats import (
    EWMA_WEIGHT,
    LOAD_REPORT_TTL_S,
    EndpointStats,
    LoadReport,
    SlotState,
    WaitEstimate,
)
from fulmarrudder.model import Condition, Presence

EJECT_AFTER_FAILURES = 3
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
SLOW_START_S = 5.0
SLOW_START_MIN_WEIGHT = 0.1
# What was told within this time is as good as asking again.
FRESH_S = 0.1
# How much sooner an answer must be expected from another data centre than
# from the own one: the way there and back, and what its bytes cost.
AWAY_S = 0.02
# The same as a part of the latency that the caller hopes for: an answer that
# comes soon enough from the own data centre need not come sooner.
AWAY_PART = 0.05
# The target beside this node is reached without another node, which spares
# both of them work: it may be this much slower.
OWN_PART = 0.85
# Part of that latency within which an answer is soon enough: a sooner one from
# farther away is worth nothing more, and its bytes and its hop cost. The rest
# is for what varies.
SOON_PART = 0.6
# Bytes of a body whose way to another data centre is worth another second.
AWAY_BYTES_PER_S = 200_000
# Part of requests failed that makes an endpoint look this much slower.
FAILING_FACTOR = 20.0
FAILING_WEIGHT = 0.1
FAILING_FADES_S = 3.0
# Nodes that know the same should not all choose the same endpoint.
JITTER = 0.08
# One choice in so many goes to an endpoint that has told nothing yet: what is
# never asked is never known.
ACQUAINT_IN = 8
# Larger bodies are not sent anywhere just to learn.
ACQUAINT_BYTES = 8_192
# Endpoints compared for a request; more would all pick the same one.
COMPARED = 5
# Where an endpoint is, seen from a node: the target beside it, another one of
# its data centre, or one of another.
BESIDE, NEAR, AWAY = range(3)
# An endpoint that tells nothing for this long, and for so many times what a
# request takes there, is given up where the request may go elsewhere: a node
# that is well answers many requests in that time, and those that it owes have
# some of theirs left.
MIN_STALL_TIMEOUT_S = 0.25
STALL_TIMEOUT_FACTOR = 3.0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Weighed:
    """An endpoint as a choice weighs it.

    Attributes:
        distance: `BESIDE`, `NEAR` or `AWAY`.
        answer_s: Seconds until an answer is likely; infinite where that is not
            known, or no slot is free.
        cost_s: The same for all, with what speaks for and against going there.
    """

    presence: Presence
    distance: int
    answer_s: float
    cost_s: float = 0.0


class LoadBalancer:
    """Chooses endpoints for an entry node.

    Attributes:
        data_centre: This node's, which comes first.
        node: Id of this node, or empty.
        observed: What has been seen, by node id and incarnation.
    """

    def __init__(self, data_centre: str, rng: random.Random, *, node: str = ""):
        self.data_centre = data_centre
        self.node = node
        self.rng = rng
        self.observed: dict[tuple[str, int], EndpointStats] = {}

    def choose(
        self,
        present: tuple[Presence, ...],
        version: str | None,
        now: float,
        excluded: frozenset[str] = frozenset(),
        *,
        kind: str = "",
        body_bytes: int = 0,
        aim_s: float = 0.0,
    ) -> Presence | None:
        """Chooses an endpoint of a target version.

        Args:
            present: Endpoints of the service.
            version: Target version wanted, or None for any.
            now: Clock seconds.
            excluded: Node ids already tried.
            kind: What sort of request it is; those of a sort take as long.
            body_bytes: Size of the request's body.
            aim_s: Latency that the caller hopes for, or 0.

        Returns:
            An endpoint, or None when there is none.
        """
        usable = self._usable(present, version, now, excluded)
        if len(usable) <= 1:
            return usable[0] if usable else None
        unknown = [p for p in usable if not self._seen(p, now).told_at]
        some = 0 < len(unknown) < len(usable) and body_bytes <= ACQUAINT_BYTES
        if some and self.rng.randrange(ACQUAINT_IN) == 0:
            return self.rng.choice(unknown)
        away_s = AWAY_S + body_bytes / AWAY_BYTES_PER_S + AWAY_PART * aim_s
        weighed = [
            self._weigh(presence, now, kind, away_s)
            for presence in self._some_of(usable)
        ]
        soon_s = SOON_PART * aim_s
        soon = [
            w for w in weighed if w.distance < AWAY and w.answer_s <= soon_s
        ]
        if soon:
            nearest = min(w.distance for w in soon)
            weighed = [w for w in soon if w.distance == nearest]
        return min(weighed, key=operator.attrgetter("cost_s")).presence

    def _some_of(self, usable: list[Presence]) -> list[Presence]:
        """Picks the endpoints to compare, near ones among them."""
        if len(usable) <= COMPARED:
            return self.rng.sample(usable, len(usable))
        near = [p for p in usable if p.data_centre == self.data_centre]
        far = [p for p in usable if p.data_centre != self.data_centre]
        of_near = min(len(near), max(COMPARED // 2 + 1, COMPARED - len(far)))
        picked = self.rng.sample(near, of_near)
        return picked + self.rng.sample(far, COMPARED - of_near)

    def _usable(self, present, version, now, excluded) -> list[Presence]:
        fit = []
        ejected = []
        for presence in present:
            if presence.condition is not Condition.READY:
                continue
            if version is not None and presence.target_version != version:
                continue
            if presence.node in excluded:
                continue
            seen = self._seen(presence, now)
            if seen.ejected_until > now:
                ejected.append(presence)
                continue
            fit.append(presence)
        return fit or ejected

    def _seen(self, presence: Presence, now: float) -> EndpointStats:
        key = (presence.node, presence.incarnation)
        seen = self.observed.get(key)
        if seen is None:
            seen = self.observed[key] = EndpointStats(now)
        return seen

    def _distance(self, presence: Presence) -> int:
        if presence.node == self.node:
            return BESIDE
        return NEAR if presence.data_centre == self.data_centre else AWAY

    def _weigh(
        self, presence: Presence, now: float, kind: str, away_s: float
    ) -> _Weighed:
        """Estimates the seconds until an answer, weighed by trust."""
        distance = self._distance(presence)
        seen = self._seen(presence, now)
        slots = max(1, presence.slots)
        short = max(0.0, seen.occupancy(now) + 1 - slots)
        answer_s = seen.usual_s(kind) + seen.service_time_s * short / slots
        # Who is cut off or frozen tells nothing; that is noticed long before
        # the requests that were sent there have had their time.
        answer_s = max(answer_s, seen.quiet_s(now))
        age = now - seen.failed_at
        failing = seen.failing * math.exp(-age / FAILING_FADES_S)
        answer_s *= 1 + FAILING_FACTOR * failing**2
        known = seen.told_at > 0.0
        weighed = _Weighed(
            presence=presence,
            distance=distance,
            answer_s=answer_s if known and short == 0 else math.inf,
        )
        if distance == BESIDE:
            answer_s *= OWN_PART
        elif distance == AWAY:
            answer_s += away_s
        warmup = min(
            1.0, max(SLOW_START_MIN_WEIGHT, (now - seen.since) / SLOW_START_S)
        )
        jitter = self.rng.uniform(1 - JITTER, 1 + JITTER)
        weighed.cost_s = answer_s / warmup * jitter
        return weighed

    def shortest_wait(
        self, present: tuple[Presence, ...], now: float, kind: str = ""
    ) -> WaitEstimate | None:
        """Returns the shortest wait for a slot among endpoints.

        Args:
            present: The endpoints.
            now: Clock seconds.
            kind: What sort of request would wait.

        Returns:
            The wait, or None unless all endpoints have told of late.
        """
        shortest: WaitEstimate | None = None
        for presence in present:
            if presence.condition is not Condition.READY:
                continue
            seen = self._seen(presence, now)
            if now - seen.told_at > FRESH_S:
                return None
            slots = max(1, presence.slots)
            short = max(0.0, seen.occupancy(now) + 1 - slots)
            service_time_s = seen.service_time_by_route.get(
                kind, seen.service_time_s
            )
            wait = WaitEstimate(
                wait_s=short * seen.service_time_s / slots,
                service_time_s=service_time_s,
            )
            if shortest is None or wait.wait_s < shortest.wait_s:
                shortest = wait
        return shortest

    def slot_state(self, presence: Presence, now: float) -> SlotState:
        """Tells whether an endpoint has a slot free, as far as is known."""
        seen = self._seen(presence, now)
        if now - seen.told_at > LOAD_REPORT_TTL_S:
            return SlotState.UNKNOWN
        occupied = seen.others + seen.outstanding
        return (
            SlotState.FREE
            if occupied < max(1, presence.slots)
            else SlotState.FULL
        )

    def record_load_report(
        self,
        presence: Presence,
        now: float,
        record_load_report: LoadReport,
        kind: str = "",
    ) -> None:
        """Notes what the node beside a target told of it.

        Args:
            presence: The endpoint.
            now: Clock seconds.
            record_load_report: What it told; requests of this node are counted in.
            kind: What sort of request it told this with.
        """
        seen = self._seen(presence, now)
        seen.others = max(0, record_load_report.load - seen.outstanding)
        seen.service_time_by_route[kind] = record_load_report.service_time_s
        weight = EWMA_WEIGHT if seen.told_at else 1.0
        seen.service_time_s += weight * (
            record_load_report.service_time_s - seen.service_time_s
        )
        seen.told_at = seen.owes_since = now

    def record_sent(self, presence: Presence, now: float) -> None:
        """Notes that a request was sent."""
        seen = self._seen(presence, now)
        if not seen.outstanding:
            seen.owes_since = now
        seen.outstanding += 1

    def record_finished(
        self,
        presence: Presence,
        now: float,
        took_s: float | None,
        *,
        failed: bool,
        gone: bool = False,
        shed: bool = False,
        kind: str = "",
    ) -> None:
        """Notes that a request has ended.

        Args:
            presence: The endpoint.
            now: Clock seconds.
            took_s: Time until its answer, or None when it was not answered.
            failed: Whether the endpoint failed it.
            gone: Whether nothing listens there, which is conclusive.
            shed: Whether its target turned the request away.
            kind: What sort of request it was.
        """
        seen = self._seen(presence, now)
        seen.outstanding = max(0, seen.outstanding - 1)
        poor = failed or shed
        seen.failing += FAILING_WEIGHT * (poor - seen.failing)
        if poor:
            seen.failed_at = now
        if not failed:
            seen.failures = 0
            seen.ejections = 0
            if took_s is not None:
                seen.answered(kind, took_s)
            return
        seen.failures = EJECT_AFTER_FAILURES if gone else seen.failures + 1
        if seen.failures < EJECT_AFTER_FAILURES:
            return
        back_off = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**seen.ejections)
        seen.ejected_until = now + back_off
        seen.since = now + back_off
        seen.ejections = min(seen.ejections + 1, 16)
        seen.failures = EJECT_AFTER_FAILURES - 1

    def stall_timeout_s(
        self, presence: Presence, now: float, kind: str = ""
    ) -> float:
        """Returns after how many seconds an answer is late for an endpoint.

        Args:
            presence: The endpoint.
            now: Clock seconds.
            kind: What sort of request it owes an answer to.
        """
        seen = self._seen(presence, now)
        return max(
            MIN_STALL_TIMEOUT_S, STALL_TIMEOUT_FACTOR * seen.usual_s(kind)
        )

    def has_no_report_since(self, presence: Presence, sent: float) -> bool:
        """Tells whether an endpoint has told nothing since a moment.

        Args:
            presence: The endpoint.
            sent: Clock seconds.
        """
        return self._seen(presence, sent).told_at < sent

    def retain(self, known: frozenset[tuple[str, int]]) -> None:
        """Forgets endpoints that are no longer known."""
        for key in tuple(self.observed):
            if key not in known and not self.observed[key].outstanding:
                del self.observed[key]
