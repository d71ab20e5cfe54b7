"""Filter: from a target version to the endpoint that serves the request.

Health and load as targets report them lag or mislead, so the choice rests on
what this node observes: requests it has outstanding, latencies, failures.
"""

import dataclasses
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
PATIENCE_LEAST_S = 1.0
PATIENCE_FACTOR = 20.0


@dataclasses.dataclass(slots=True)
class Observed:
    """What this node has seen of one endpoint.

    Attributes:
        since: When it appeared or returned, in clock seconds.
        outstanding: Requests sent and not answered yet.
        latency_s: Moving average.
        failures: Failures in a row.
        ejections: Ejections in a row.
        ejected_until: Clock seconds.
        load: Requests that ran or waited there when it last told.
        told: Clock seconds at which it did.
    """

    since: float
    outstanding: int = 0
    latency_s: float = FIRST_LATENCY_S
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    load: int = 0
    told: float = 0.0

    def occupancy(self, now: float) -> float:
        """Returns how many requests are likely to run or wait there."""
        age = now - self.told
        told = self.load * max(0.0, 1.0 - age / LOAD_FADES_S)
        return max(told, self.outstanding)


class Chooser:
    """Chooses endpoints for an entry node.

    Attributes:
        data_centre: This node's, which comes first.
        observed: What has been seen, by node id and incarnation.
    """

    def __init__(self, data_centre: str, rng: random.Random):
        self.data_centre = data_centre
        self.rng = rng
        self.observed: dict[tuple[str, int], Observed] = {}

    def choose(
        self,
        present: tuple[Presence, ...],
        version: str | None,
        now: float,
        excluded: frozenset[str] = frozenset(),
    ) -> Presence | None:
        """Chooses an endpoint of a target version.

        Args:
            present: Endpoints of the service.
            version: Target version wanted, or None for any.
            now: Clock seconds.
            excluded: Node ids already tried.

        Returns:
            An endpoint, or None when there is none.
        """
        usable = self._usable(present, version, now, excluded)
        near = [p for p in usable if p.data_centre == self.data_centre]
        free = [p for p in near if self._has_room(p, now)]
        if free:
            return self._better_of_two(free, now)
        free = [p for p in usable if self._has_room(p, now)]
        if free:
            return self._better_of_two(free, now)
        return self._better_of_two(near or usable, now)

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

    def _has_room(self, presence: Presence, now: float) -> bool:
        occupancy = self._seen(presence, now).occupancy(now)
        return occupancy < max(1, presence.slots)

    def _better_of_two(self, among: list[Presence], now: float):
        if not among:
            return None
        if len(among) == 1:
            return among[0]
        first, second = self.rng.sample(among, 2)
        if self._cost(second, now) < self._cost(first, now):
            return second
        return first

    def _cost(self, presence: Presence, now: float) -> float:
        seen = self._seen(presence, now)
        age = now - seen.since
        warmth = min(1.0, max(RAMP_FLOOR, age / RAMP_S))
        load = (seen.occupancy(now) + 1) / max(1, presence.slots)
        return seen.latency_s * load / warmth

    def told(self, presence: Presence, now: float, load: int) -> None:
        """Notes how busy an endpoint said that it was.

        Args:
            presence: The endpoint.
            now: Clock seconds.
            load: Requests that ran or waited there.
        """
        seen = self._seen(presence, now)
        seen.load = load
        seen.told = now

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
        if not failed:
            seen.failures = 0
            seen.ejections = 0
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
