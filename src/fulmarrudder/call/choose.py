"""Filter: from a target version to the endpoint that serves the request.

Health and load as targets report them lag or mislead, so the choice rests on
what this node observes, and on what the nodes beside the targets tell with
each answer: how many requests run or wait there, and how long one takes.
"""

import dataclasses
import enum
import math
import operator
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
# Part of that latency within which an answer is soon enough: a sooner one from
# farther away is worth nothing more, and its bytes and its hop cost. The rest
# is for what varies.
SOON_PART = 0.5
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
# Where an endpoint is, seen from a node: the target beside it, another one of
# its data centre, or one of another.
BESIDE, NEAR, AWAY = range(3)
# An endpoint that tells nothing for this long, and for so many times what a
# request takes there, is given up where the request may go elsewhere: a node
# that is well answers many requests in that time, and those that it owes have
# some of theirs left.
PATIENCE_LEAST_S = 0.25
PATIENCE_FACTOR = 3.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Told:
    """What the node beside a target told of it.

    Attributes:
        load: Requests that ran or waited there.
        held_s: How long one of the kind asked for takes, once it runs.
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
        failing: Moving average of the part that failed or was turned away.
        failures: Failures in a row.
        ejections: Ejections in a row.
        ejected_until: Clock seconds.
        others: Requests of other nodes there, when it last told.
        held_s: How long a request runs there, as far as it has told; moving
            average over all kinds.
        held_by: The same, by kind of request, as last told.
        told_at: Clock seconds at which it last told.
        owes_since: Clock seconds since which it has owed an answer and told
            nothing.
        failed_at: Clock seconds of the latest of these.
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
    held_by: dict[str, float] = dataclasses.field(default_factory=dict)
    told_at: float = 0.0
    owes_since: float = 0.0
    failed_at: float = 0.0

    def quiet_s(self, now: float) -> float:
        """Returns for how long it has owed answers and told nothing."""
        return now - self.owes_since if self.outstanding else 0.0

    def occupancy(self, now: float) -> float:
        """Returns how many requests are likely to run or wait there."""
        age = now - self.told_at
        others = self.others * max(0.0, 1.0 - age / LOAD_FADES_S)
        return others + self.outstanding


class Room(enum.Enum):
    """What is known of an endpoint's slots."""

    FREE = "free"
    FULL = "full"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, kw_only=True)
class _Weighed:
    """An endpoint as a choice weighs it.

    Attributes:
        distance: `BESIDE`, `NEAR` or `AWAY`.
        free: Whether a slot is likely to be free there.
        cost_s: Seconds until an answer is likely, weighed.
    """

    presence: Presence
    distance: int
    free: bool
    cost_s: float

    def within(self, limit_s: float) -> bool:
        """Tells whether an answer is likely in a time, without a queue."""
        return self.free and self.cost_s <= limit_s


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
        some = 0 < len(unknown) < len(usable)
        if some and self.rng.randrange(ACQUAINT_IN) == 0:
            return self.rng.choice(unknown)
        away_s = AWAY_S + body_bytes / AWAY_BYTES_PER_S + AWAY_PART * aim_s
        weighed = [
            self._weigh(presence, now, kind, away_s)
            for presence in self._some_of(usable)
        ]
        soon_s = SOON_PART * aim_s
        soon = [w for w in weighed if w.distance < AWAY and w.within(soon_s)]
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

    def _seen(self, presence: Presence, now: float) -> Observed:
        key = (presence.node, presence.incarnation)
        seen = self.observed.get(key)
        if seen is None:
            seen = self.observed[key] = Observed(now)
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
        held_s = max(seen.held_s, seen.latency_s)
        runs_s = max(seen.held_by.get(kind, seen.held_s), seen.latency_s)
        short = max(0.0, seen.occupancy(now) + 1 - slots)
        answer_s = runs_s + held_s * short / slots
        # Who is cut off or frozen tells nothing; that is noticed long before
        # the requests that were sent there have had their time.
        answer_s = max(answer_s, seen.quiet_s(now))
        if distance == BESIDE:
            answer_s *= OWN_PART
        elif distance == AWAY:
            answer_s += away_s
        warmth = min(1.0, max(RAMP_FLOOR, (now - seen.since) / RAMP_S))
        age = now - seen.failed_at
        failing = seen.failing * math.exp(-age / FAILING_FADES_S)
        trust = warmth / (1 + FAILING_FACTOR * failing**2)
        return _Weighed(
            presence=presence,
            distance=distance,
            free=short == 0,
            cost_s=answer_s / trust * self.rng.uniform(1 - JITTER, 1 + JITTER),
        )

    def shortest_wait(
        self, present: tuple[Presence, ...], now: float, kind: str = ""
    ) -> Wait | None:
        """Returns the shortest wait for a slot among endpoints.

        Args:
            present: The endpoints.
            now: Clock seconds.
            kind: What sort of request would wait.

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
            held_s = seen.held_by.get(kind, seen.held_s)
            wait = Wait(wait_s=short * seen.held_s / slots, held_s=held_s)
            if shortest is None or wait.wait_s < shortest.wait_s:
                shortest = wait
        return shortest

    def room(self, presence: Presence, now: float) -> Room:
        """Tells whether an endpoint has a slot free, as far as is known."""
        seen = self._seen(presence, now)
        if now - seen.told_at > LOAD_FADES_S:
            return Room.UNKNOWN
        occupied = seen.others + seen.outstanding
        return Room.FREE if occupied < max(1, presence.slots) else Room.FULL

    def told(
        self, presence: Presence, now: float, told: Told, kind: str = ""
    ) -> None:
        """Notes what the node beside a target told of it.

        Args:
            presence: The endpoint.
            now: Clock seconds.
            told: What it told; requests of this node are counted in.
            kind: What sort of request it told this with.
        """
        seen = self._seen(presence, now)
        seen.others = max(0, told.load - seen.outstanding)
        seen.held_by[kind] = told.held_s
        weight = EWMA_WEIGHT if seen.told_at else 1.0
        seen.held_s += weight * (told.held_s - seen.held_s)
        seen.told_at = seen.owes_since = now

    def sent(self, presence: Presence, now: float) -> None:
        """Notes that a request was sent."""
        seen = self._seen(presence, now)
        if not seen.outstanding:
            seen.owes_since = now
        seen.outstanding += 1

    def finished(
        self,
        presence: Presence,
        now: float,
        took_s: float | None,
        *,
        failed: bool,
        gone: bool = False,
        shed: bool = False,
    ) -> None:
        """Notes that a request has ended.

        Args:
            presence: The endpoint.
            now: Clock seconds.
            took_s: Time until its answer, or None when it was not answered.
            failed: Whether the endpoint failed it.
            gone: Whether nothing listens there, which is conclusive.
            shed: Whether its target turned the request away.
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
                seen.latency_s += EWMA_WEIGHT * (took_s - seen.latency_s)
            return
        seen.failures = EJECT_AFTER if gone else seen.failures + 1
        if seen.failures < EJECT_AFTER:
            return
        back_off = min(EJECT_LIMIT_S, EJECT_BASE_S * 2**seen.ejections)
        seen.ejected_until = now + back_off
        seen.since = now + back_off
        seen.ejections = min(seen.ejections + 1, 16)
        seen.failures = EJECT_AFTER - 1

    def patience(self, presence: Presence, now: float, kind: str = "") -> float:
        """Returns after how many seconds an answer is late for an endpoint.

        Args:
            presence: The endpoint.
            now: Clock seconds.
            kind: What sort of request it owes an answer to.
        """
        seen = self._seen(presence, now)
        usual_s = max(seen.held_by.get(kind, seen.held_s), seen.latency_s)
        return max(PATIENCE_LEAST_S, PATIENCE_FACTOR * usual_s)

    def silent_since(self, presence: Presence, sent: float) -> bool:
        """Tells whether an endpoint has told nothing since a moment.

        Args:
            presence: The endpoint.
            sent: Clock seconds.
        """
        return self._seen(presence, sent).told_at < sent

    def forget(self, known: frozenset[tuple[str, int]]) -> None:
        """Forgets endpoints that are no longer known."""
        for key in tuple(self.observed):
            if key not in known and not self.observed[key].outstanding:
                del self.observed[key]
