"""Filter: from a target version to the endpoint that serves the request.

Health and load as targets report them lag or mislead, so the choice rests on
what this node observes, and on what the nodes beside the targets tell with
each answer: how many requests run or wait there, and how long one takes.
"""

import dataclasses
import math
import random

from fulmarrudder.model import Condition, Presence

EWMA_WEIGHT = 0.2
FIRST_LATENCY_S = 0.005
EJECT_AFTER = 3
EJECT_BASE_S = 1.0
EJECT_LIMIT_S = 30.0
RAMP_S = 5.0
RAMP_FLOOR = 0.1
# What an endpoint told of its load says nothing any more after this long.
LOAD_FADES_S = 0.5
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
# Bytes of a body whose way to another data centre is worth another second.
AWAY_BYTES_PER_S = 200_000
# Part of requests failed that makes an endpoint look this much slower.
FAILING_FACTOR = 20.0
FAILING_WEIGHT = 0.1
FAILING_FADES_S = 3.0
# Nodes that know the same should not all choose the same endpoint.
JITTER = 0.08
# How long a request is taken to run where nothing has been told.
FIRST_HELD_S = 0.1
# One choice in so many goes to an endpoint that has told nothing yet: what is
# never asked is never known.
ACQUAINT_IN = 8
# Endpoints compared for a request; more would all pick the same one.
COMPARED = 5
PATIENCE_LEAST_S = 1.0
PATIENCE_FACTOR = 20.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Told:
    """What the node beside a target told of it.

    Attributes:
        load: Requests that ran or waited there.
        held_s: How long one of them takes, once it runs.
    """

    load: int
    held_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wait:
    """How long a request is likely to wait for a slot, and then to hold it."""

    wait_s: float
    held_s: float


@dataclasses.dataclass(slots=True)
class Observed:
    """What this node has seen of one endpoint.

    Attributes:
        since: When it appeared or returned, in clock seconds.
        outstanding: Requests sent and not answered yet.
        latency_s: Moving average.
        failing: Moving average of the part that failed.
        failures: Failures in a row.
        ejections: Ejections in a row.
        ejected_until: Clock seconds.
        others: Requests of other nodes there, when it last told.
        held_s: How long a request runs there, as far as it has told.
        told_at: Clock seconds at which it last told.
        failed_at: Clock seconds of the latest failure.
    """

    since: float
    outstanding: int = 0
    latency_s: float = FIRST_LATENCY_S
    failing: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    others: int = 0
    held_s: float = FIRST_HELD_S
    told_at: float = 0.0
    failed_at: float = 0.0

    def occupancy(self, now: float) -> float:
        """Returns how many requests are likely to run or wait there."""
        age = now - self.told_at
        others = self.others * max(0.0, 1.0 - age / LOAD_FADES_S)
        return others + self.outstanding


class Chooser:
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
        self.observed: dict[tuple[str, int], Observed] = {}

    def choose(
        self,
        present: tuple[Presence, ...],
        version: str | None,
        now: float,
        excluded: frozenset[str] = frozenset(),
        *,
        body_bytes: int = 0,
        aim_s: float = 0.0,
    ) -> Presence | None:
        """Chooses an endpoint of a target version.

        Args:
            present: Endpoints of the service.
            version: Target version wanted, or None for any.
            now: Clock seconds.
            excluded: Node ids already tried.
            body_bytes: Size of the request's body.
            aim_s: Latency that the caller hopes for, or 0.

        Returns:
            An endpoint, or None when there is none.
        """
        usable = self._usable(present, version, now, excluded)
        if len(usable) <= 1:
            return usable[0] if usable else None
        unknown = [p for p in usable if not self._seen(p, now).told_at]
        some = 0 < len(unknown) < len(usable)
        if some and self.rng.randrange(ACQUAINT_IN) == 0:
            return self.rng.choice(unknown)
        away_s = AWAY_S + body_bytes / AWAY_BYTES_PER_S + AWAY_PART * aim_s
        compared = self._some_of(usable)
        costs = [self._cost(presence, now, away_s) for presence in compared]
        return compared[costs.index(min(costs))]

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

    def _seen(self, presence: Presence, now: float) -> Observed:
        key = (presence.node, presence.incarnation)
        seen = self.observed.get(key)
        if seen is None:
            seen = self.observed[key] = Observed(now)
        return seen

    def _cost(self, presence: Presence, now: float, away_s: float) -> float:
        """Returns the seconds until an answer is likely, weighed."""
        seen = self._seen(presence, now)
        slots = max(1, presence.slots)
        runs_s = max(seen.held_s, seen.latency_s)
        short = max(0.0, seen.occupancy(now) + 1 - slots)
        answer_s = runs_s * (1 + short / slots)
        if presence.node == self.node:
            answer_s *= OWN_PART
        if presence.data_centre != self.data_centre:
            answer_s += away_s
        warmth = min(1.0, max(RAMP_FLOOR, (now - seen.since) / RAMP_S))
        age = now - seen.failed_at
        failing = seen.failing * math.exp(-age / FAILING_FADES_S)
        trust = warmth / (1 + FAILING_FACTOR * failing**2)
        return answer_s / trust * self.rng.uniform(1 - JITTER, 1 + JITTER)

    def shortest_wait(
        self, present: tuple[Presence, ...], now: float
    ) -> Wait | None:
        """Returns the shortest wait for a slot among endpoints.

        Returns:
            The wait, or None unless all endpoints have told of late.
        """
        shortest: Wait | None = None
        for presence in present:
            if presence.condition is not Condition.READY:
                continue
            seen = self._seen(presence, now)
            if now - seen.told_at > FRESH_S:
                return None
            slots = max(1, presence.slots)
            short = max(0.0, seen.occupancy(now) + 1 - slots)
            wait = Wait(wait_s=short * seen.held_s / slots, held_s=seen.held_s)
            if shortest is None or wait.wait_s < shortest.wait_s:
                shortest = wait
        return shortest

    def has_room(self, presence: Presence, now: float) -> bool:
        """Tells whether an endpoint is likely to have a slot free."""
        occupancy = self._seen(presence, now).occupancy(now)
        return occupancy < max(1, presence.slots)

    def told(self, presence: Presence, now: float, told: Told) -> None:
        """Notes what the node beside a target told of it.

        Args:
            presence: The endpoint.
            now: Clock seconds.
            told: What it told; requests of this node are counted in.
        """
        seen = self._seen(presence, now)
        seen.others = max(0, told.load - seen.outstanding)
        seen.held_s = told.held_s
        seen.told_at = now

    def sent(self, presence: Presence, now: float) -> None:
        """Notes that a request was sent."""
        self._seen(presence, now).outstanding += 1

    def finished(
        self,
        presence: Presence,
        now: float,
        took_s: float,
        *,
        failed: bool,
        gone: bool = False,
    ) -> None:
        """Notes that a request has ended.

        Args:
            presence: The endpoint.
            now: Clock seconds.
            took_s: Time that it took.
            failed: Whether the endpoint failed it.
            gone: Whether nothing listens there, which is conclusive.
        """
        seen = self._seen(presence, now)
        seen.outstanding = max(0, seen.outstanding - 1)
        seen.failing += FAILING_WEIGHT * (failed - seen.failing)
        if not failed:
            seen.failures = 0
            seen.ejections = 0
            seen.latency_s += EWMA_WEIGHT * (took_s - seen.latency_s)
            return
        seen.failed_at = now
        seen.failures = EJECT_AFTER if gone else seen.failures + 1
        if seen.failures < EJECT_AFTER:
            return
        back_off = min(EJECT_LIMIT_S, EJECT_BASE_S * 2**seen.ejections)
        seen.ejected_until = now + back_off
        seen.since = now + back_off
        seen.ejections = min(seen.ejections + 1, 16)
        seen.failures = EJECT_AFTER - 1

    def patience(self, presence: Presence) -> float:
        """Returns after how many seconds an answer is late for an endpoint."""
        seen = self.observed.get((presence.node, presence.incarnation))
        latency = FIRST_LATENCY_S if seen is None else seen.latency_s
        return max(PATIENCE_LEAST_S, PATIENCE_FACTOR * latency)

    def forget(self, known: frozenset[tuple[str, int]]) -> None:
        """Forgets endpoints that are no longer known."""
        for key in tuple(self.observed):
            if key not in known and not self.observed[key].outstanding:
                del self.observed[key]
