"""Store of the facts that this node has received."""

from functools import singledispatch

from fulmarrudder.membership.departures import Departures
from fulmarrudder.membership.digest import Digest, toggle
from fulmarrudder.model import (
    Brake,
    Condition,
    Evacuation,
    Fact,
    FactKey,
    Presence,
    Strike,
    key_of,
    precedence_of,
)

TOMBSTONE_S = 600.0


class FactStore:
    """Stores, for each key, the fact with the highest precedence.

    Attributes:
        facts: All facts by key.
        presences_by_service: Presences by service and node id.
        endpoint_cache: Presences of a service, sorted by node id.
        strikes: Wall-clock seconds at which each strike expires, by the
            request's fingerprint and the id of the crash.
        brakes: All brakes.
        tombstone_deadlines: Clock seconds at which the presence of a lost
            node is removed, by key.
        digest: Digest of the facts that all nodes hold.
        departures: Targets that have told that they leave.
        evacuated: Data centres whose targets must get no requests.
    """

    def __init__(self):
        self.facts: dict[FactKey, Fact] = {}
        self.presences_by_service: dict[str, dict[str, Presence]] = {}
        self.endpoint_cache: dict[str, tuple[Presence, ...]] = {}
        self.strikes: dict[str, dict[str, float]] = {}
        self.brakes: tuple[Brake, ...] = ()
        self.tombstone_deadlines: dict[FactKey, float] = {}
        self.digest = Digest()
        self.departures = Departures()
        self.evacuated: frozenset[str] = frozenset()

    def merge(self, fact: Fact, now: float) -> bool:
        """Stores a fact if it has precedence over the stored one.

        Args:
            fact: The fact.
            now: Clock seconds at which a tombstone's lifetime starts.

        Returns:
            Whether the store has changed.
        """
        fact = _corrected(fact, self.departures, now)
        key = key_of(fact)
        previous = self.facts.get(key)
        if previous is not None and precedence_of(fact) <= precedence_of(
            previous
        ):
            return False
        self.facts[key] = fact
        if previous is not None:
            self.digest = toggle(self.digest, previous)
        self.digest = toggle(self.digest, fact)
        _index(fact, self, previous, now)
        return True

    def index_presence(
        self, previous: Presence | None, fact: Presence, now: float
    ) -> None:
        """Updates the indexes for a presence.

        Args:
            previous: The presence that is replaced, or None.
            fact: The new presence.
            now: Clock seconds.
        """
        key = key_of(fact)
        self.tombstone_deadlines.pop(key, None)
        if previous is not None:
            self.presences_by_service.get(previous.service, {}).pop(
                previous.node, None
            )
            self.endpoint_cache.pop(previous.service, None)
        if fact.condition is Condition.LOST:
            self.tombstone_deadlines[key] = now + TOMBSTONE_S
            return
        if fact.service:
            self.presences_by_service.setdefault(fact.service, {})[
                fact.node
            ] = fact
            self.endpoint_cache.pop(fact.service, None)

    def endpoints_of(self, service: str) -> tuple[Presence, ...]:
        """Returns the presences of a service that may get requests.

        Those in evacuated data centres are left out; sorted by node id.
        """
        endpoints = self.endpoint_cache.get(service)
        if endpoints is None:
            found = (
                presence
                for presence in self.presences_by_service.get(
                    service, {}
                ).values()
                if presence.data_centre not in self.evacuated
            )
            endpoints = tuple(sorted(found, key=lambda p: p.node))
            self.endpoint_cache[service] = endpoints
        return endpoints

    def index_evacuation(self, fact: Evacuation) -> None:
        """Updates the indexes for an evacuation."""
        others = self.evacuated - {fact.data_centre}
        self.evacuated = others | (
            {fact.data_centre} if fact.in_force else frozenset()
        )
        self.endpoint_cache.clear()

    def presence_of(self, node: str) -> Presence | None:
        """Returns the presence of a node, or None."""
        return self.facts.get(FactKey(kind="presence", name=node))

    def all_of(self, kind: type) -> tuple[Fact, ...]:
        """Returns all facts of one kind."""
        return tuple(f for f in self.facts.values() if isinstance(f, kind))

    def strikes_against(self, fingerprint: str, wall: float) -> int:
        """Returns the number of strikes against a request.

        Args:
            fingerprint: Digest of the request.
            wall: Wall-clock seconds; expired strikes are not counted.
        """
        expiries = self.strikes.get(fingerprint)
        if not expiries:
            return 0
        return sum(1 for expires in expiries.values() if expires > wall)

    def discard(self, key: FactKey) -> None:
        """Removes a fact."""
        fact = self.facts.pop(key, None)
        if fact is None:
            return
        self.digest = toggle(self.digest, fact)
        _unindex(fact, self)

    def expire(self, now: float, wall: float) -> None:
        """Removes expired tombstones and strikes.

        Args:
            now: Clock seconds.
            wall: Wall-clock seconds.
        """
        self.departures.expire(now)
        for key, deadline in tuple(self.tombstone_deadlines.items()):
            if deadline <= now:
                del self.tombstone_deadlines[key]
                self.discard(key)
        for key, fact in tuple(self.facts.items()):
            if isinstance(fact, Strike) and fact.expires <= wall:
                self.discard(key)
                if not self.strikes.get(fact.fingerprint):
                    self.strikes.pop(fact.fingerprint, None)

    def discard_closed_moves(self, open_moves: frozenset[str]) -> None:
        """Removes the brakes of moves that are not open.

        Args:
            open_moves: Ids of the open moves.
        """
        for brake in self.brakes:
            if brake.move not in open_moves:
                self.discard(key_of(brake))

    def retain_services(self, interest: frozenset[str], node: str) -> None:
        """Removes presences of services outside this node's interest.

        Args:
            interest: Services whose presences are kept.
            node: Id of this node, whose own presence is kept.
        """
        for service in tuple(self.presences_by_service):
            if service in interest:
                continue
            for name in tuple(self.presences_by_service[service]):
                if name != node:
                    self.discard(FactKey(kind="presence", name=name))


@singledispatch
def _corrected(fact: Fact, departures: Departures, now: float) -> Fact:
    """Returns a fact as it counts, by what was told of departures."""
    return fact


@_corrected.register
def _(fact: Presence, departures: Departures, now: float) -> Fact:
    departures.note(fact, now)
    return departures.correct(fact, now)


@singledispatch
def _index(fact: Fact, store: FactStore, previous, now: float) -> None:
    """Adds a fact to the indexes of a store."""


@_index.register
def _(fact: Presence, store: FactStore, previous, now: float) -> None:
    store.index_presence(previous, fact, now)


@_index.register
def _(fact: Brake, store: FactStore, previous, now: float) -> None:
    store.brakes = (*store.brakes, fact)


@_index.register
def _(fact: Strike, store: FactStore, previous, now: float) -> None:
    expiries = store.strikes.setdefault(fact.fingerprint, {})
    expiries[fact.crash_id] = fact.expires


@_index.register
def _(fact: Evacuation, store: FactStore, previous, now: float) -> None:
    store.index_evacuation(fact)


@singledispatch
def _unindex(fact: Fact, store: FactStore) -> None:
    """Removes a fact from the indexes of a store."""


@_unindex.register
def _(fact: Presence, store: FactStore) -> None:
    store.presences_by_service.get(fact.service, {}).pop(fact.node, None)
    store.endpoint_cache.pop(fact.service, None)


@_unindex.register
def _(fact: Brake, store: FactStore) -> None:
    store.brakes = tuple(b for b in store.brakes if b != fact)


@_unindex.register
def _(fact: Strike, store: FactStore) -> None:
    store.strikes.get(fact.fingerprint, {}).pop(fact.crash_id, None)
