"""Directory of facts that this node knows."""

from functools import singledispatch

from fulmarrudder.model import (
    Brake,
    Condition,
    Fact,
    Key,
    Presence,
    Strike,
    key_of,
    order_of,
)

TOMBSTONE_S = 600.0


class FactStore:
    """Keeps, of facts with one key, the one with the highest order.

    Attributes:
        facts: All facts by key.
        strikes: When each death is forgotten, by request and death.
    """

    def __init__(self):
        self.facts: dict[Key, Fact] = {}
        self.presences_by_service: dict[str, dict[str, Presence]] = {}
        self.endpoints: dict[str, tuple[Presence, ...]] = {}
        self.strikes: dict[str, dict[str, float]] = {}
        self.brakes: tuple[Brake, ...] = ()
        self.lost_until: dict[Key, float] = {}

    def merge(self, fact: Fact, now: float) -> bool:
        """Takes a fact in when it is news.

        Args:
            fact: The fact.
            now: Clock seconds, from which a tombstone's deadline counts.

        Returns:
            Whether the store has changed.
        """
        key = key_of(fact)
        known = self.facts.get(key)
        if known is not None and order_of(fact) <= order_of(known):
            return False
        self.facts[key] = fact
        _index(fact, self, known, now)
        return True

    def index_presence(
        self, known: Presence | None, fact: Presence, now: float
    ) -> None:
        """Brings endpoints in line with a presence.

        Args:
            known: The presence that it takes the place of, or None.
            fact: The presence.
            now: Clock seconds.
        """
        key = key_of(fact)
        self.lost_until.pop(key, None)
        if known is not None:
            self.presences_by_service.get(known.service, {}).pop(
                known.node, None
            )
            self.endpoints.pop(known.service, None)
        if fact.condition is Condition.LOST:
            self.lost_until[key] = now + TOMBSTONE_S
            return
        if fact.service:
            self.presences_by_service.setdefault(fact.service, {})[
                fact.node
            ] = fact
            self.endpoints.pop(fact.service, None)

    def endpoints_of(self, service: str) -> tuple[Presence, ...]:
        """Returns the nodes beside targets of a service."""
        endpoints = self.endpoints.get(service)
        if endpoints is None:
            found = self.presences_by_service.get(service, {}).values()
            endpoints = tuple(sorted(found, key=lambda p: p.node))
            self.endpoints[service] = endpoints
        return endpoints

    def presence_of(self, node: str) -> Presence | None:
        """Returns the presence of a node, if it is known."""
        return self.facts.get(Key(kind="presence", name=node))

    def all_of(self, kind: type) -> tuple[Fact, ...]:
        """Returns all facts of one kind."""
        return tuple(f for f in self.facts.values() if isinstance(f, kind))

    def strikes_against(self, fingerprint: str, wall: float) -> int:
        """Counts the deaths that a request was part of.

        Args:
            fingerprint: Digest of the request.
            wall: Wall-clock seconds.
        """
        deaths = self.strikes.get(fingerprint)
        if not deaths:
            return 0
        return sum(1 for expires in deaths.values() if expires > wall)

    def drop(self, key: Key) -> None:
        """Forgets a fact."""
        fact = self.facts.pop(key, None)
        if fact is None:
            return
        _unindex(fact, self)

    def expire(self, now: float, wall: float) -> None:
        """Forgets tombstones and strikes whose time has passed."""
        for key, until in tuple(self.lost_until.items()):
            if until <= now:
                del self.lost_until[key]
                self.drop(key)
        for key, fact in tuple(self.facts.items()):
            if isinstance(fact, Strike) and fact.expires <= wall:
                self.drop(key)
                if not self.strikes.get(fact.fingerprint):
                    self.strikes.pop(fact.fingerprint, None)

    def discard_closed_moves(self, open_moves: frozenset[str]) -> None:
        """Forgets brakes of moves that are no longer open."""
        for brake in self.brakes:
            if brake.move not in open_moves:
                self.drop(key_of(brake))

    def forget_services(self, wanted: frozenset[str], node: str) -> None:
        """Forgets presences of services that nothing here can reach.

        Args:
            wanted: Services in this node's interest.
            node: This node's id, which is kept.
        """
        for service in tuple(self.presences_by_service):
            if service in wanted:
                continue
            for name in tuple(self.presences_by_service[service]):
                if name != node:
                    self.drop(Key(kind="presence", name=name))


@singledispatch
def _index(fact: Fact, store: FactStore, known, now: float) -> None:
    """Brings a store's indexes in line with a fact that it takes in."""


@_index.register
def _(fact: Presence, store: FactStore, known, now: float) -> None:
    store.index_presence(known, fact, now)


@_index.register
def _(fact: Brake, store: FactStore, known, now: float) -> None:
    store.brakes = (*store.brakes, fact)


@_index.register
def _(fact: Strike, store: FactStore, known, now: float) -> None:
    deaths = store.strikes.setdefault(fact.fingerprint, {})
    deaths[fact.death] = fact.expires


@singledispatch
def _unindex(fact: Fact, store: FactStore) -> None:
    """Brings a store's indexes in line with a fact that it forgets."""


@_unindex.register
def _(fact: Presence, store: FactStore) -> None:
    store.presences_by_service.get(fact.service, {}).pop(fact.node, None)
    store.endpoints.pop(fact.service, None)


@_unindex.register
def _(fact: Brake, store: FactStore) -> None:
    store.brakes = tuple(b for b in store.brakes if b != fact)


@_unindex.register
def _(fact: Strike, store: FactStore) -> None:
    store.strikes.get(fact.fingerprint, {}).pop(fact.death, None)
