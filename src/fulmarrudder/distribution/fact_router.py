"""Merges received facts and forwards the new ones over the links.

The destinations of a fact depend on its kind and on its origin.
"""

import collections
import dataclasses
import enum
from collections.abc import Callable, Iterable
from functools import singledispatch

from fulmarrudder.clock import Clock, wall_seconds
from fulmarrudder.distribution.children import Children
from fulmarrudder.distribution.guard import Guard, ignore, unguarded
from fulmarrudder.distribution.link import Link
from fulmarrudder.distribution.message import FactBatch
from fulmarrudder.distribution.peers import Peers
from fulmarrudder.distribution.uplink import Uplink
from fulmarrudder.membership import FactStore
from fulmarrudder.model import (
    Brake,
    Condition,
    ConfigStatus,
    ConfigSummary,
    Evacuation,
    Evidence,
    Fact,
    MoveProgress,
    Presence,
    Strike,
    key_of,
    precedence_of,
)

FLUSH_DELAY_S = 0.05
SUSPECT_TIMEOUT_S = 4.0
UNREACHABLE_TIMEOUT_S = 8.0
MAX_FACTS_PER_MESSAGE = 500
URGENT_KINDS = (Brake, Strike, MoveProgress)


class Origin(enum.Enum):
    """The side from which this node received a fact."""

    LOCAL = "self"
    CHILD = "below"
    PARENT = "above"
    PEER = "peer"


SUBTREE_ORIGINS = frozenset({Origin.LOCAL, Origin.CHILD})


class FactRouter:
    """Merges facts into the store and forwards the new ones.

    Attributes:
        source_links: For each node, the link on which its latest presence
            arrived. Presences from the parent are not recorded, nor those
            from a peer about nodes of another data centre.
        suspect_deadlines: For each node of a relay's data centre that is not
            reachable over any link, the clock seconds at which it is
            declared lost.
        outbox: Facts to be sent with the next flush, by link and key.
        controller: Returns the id of the node that holds the controller's
            duty, or empty.
        on_new_fact: Called with each fact that changed the store.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        facts: FactStore,
        uplink: Uplink,
        children: Children,
        peers: Peers,
        node: str,
        data_centre: str,
        is_relay: Callable[[], bool],
        controller: Callable[[], str],
        on_new_fact: Callable[[Fact], None],
        guard: Guard = unguarded,
    ):
        self.clock = clock
        self.facts = facts
        self.uplink = uplink
        self.children = children
        self.peers = peers
        self.node = node
        self.data_centre = data_centre
        self.is_relay = is_relay
        self.controller = controller
        self.on_new_fact = on_new_fact
        self.source_links: dict[str, Link] = {}
        self.suspect_deadlines: dict[str, float] = {}
        self.outbox: dict[Link, dict] = collections.defaultdict(dict)
        self.flush_timer = None
        # An exception at one link or fact does not keep others from theirs.
        self.send_guarded = guard("facts", self.send_facts, ignore)
        self.receive_guarded = guard("facts", self._receive_fact, ignore)

    def broadcast(self, fact: Fact) -> None:
        """Merges a fact of this node and sends it to other nodes."""
        self._merge(fact, Origin.LOCAL, None)

    def receive(self, facts: Iterable[Fact], link: Link, origin: Origin):
        """Merges facts from a link and forwards the new ones.

        Args:
            facts: The facts.
            link: The link on which they arrived.
            origin: Side of the tree to which the link leads.
        """
        for fact in facts:
            self.receive_guarded(fact, link, origin)

    def _receive_fact(self, fact: Fact, link: Link, origin: Origin) -> None:
        self._record_source(fact, link, origin)
        self._merge(fact, origin, link)

    def send_facts(self, link: Link, facts: Iterable[Fact]) -> None:
        """Sends facts on a link, split into messages of limited size."""
        batch: list[Fact] = []
        for fact in facts:
            batch.append(fact)
            if len(batch) == MAX_FACTS_PER_MESSAGE:
                link.send(FactBatch(facts=tuple(batch)))
                batch = []
        if batch:
            link.send(FactBatch(facts=tuple(batch)))

    def facts_for_child(
        self, services: frozenset[str] | None
    ) -> Iterable[Fact]:
        """Yields the facts to send to a child when its interest changes.

        Args:
            services: Services that the child subscribes to; None for all.
        """
        for fact in tuple(self.facts.facts.values()):
            if _is_for_child(fact, services):
                yield fact

    def facts_for_parent(self) -> Iterable[Fact]:
        """Yields the facts to send to a new parent: those of the subtree."""
        for fact in tuple(self.facts.facts.values()):
            if _is_for_parent(fact, self):
                yield fact

    def facts_for_peer(self) -> Iterable[Fact]:
        """Yields the facts to send to a relay when its link opens."""
        for fact in tuple(self.facts.facts.values()):
            if _is_for_peer(fact, self):
                yield fact

    def is_in_subtree(self, node: str) -> bool:
        """Returns whether a node's latest presence came from a child."""
        return self.source_links.get(node) in self.children.by_link

    def remove_link(self, link: Link) -> None:
        """Removes a closed link.

        Nodes whose presences arrived on it are declared lost unless they
        send a newer presence within `SUSPECT_TIMEOUT_S`.
        """
        self.outbox.pop(link, None)
        for node, last in tuple(self.source_links.items()):
            if last is not link:
                continue
            presence = self.facts.presence_of(node)
            if presence is None:
                continue
            self.clock.callLater(
                SUSPECT_TIMEOUT_S, self._declare_lost, presence, link
            )

    def _declare_lost(self, presence: Presence, link: Link) -> None:
        if self.source_links.get(presence.node) is not link:
            return
        current = self.facts.presence_of(presence.node)
        if current is None or precedence_of(current) != precedence_of(presence):
            return
        del self.source_links[presence.node]
        self.broadcast(dataclasses.replace(current, condition=Condition.LOST))

    def _record_source(self, fact: Fact, link: Link, origin: Origin) -> None:
        if not isinstance(fact, Presence) or origin is Origin.PARENT:
            return
        if origin is Origin.PEER and fact.data_centre != self.data_centre:
            return
        previous = self.facts.presence_of(fact.node)
        if previous is None or precedence_of(fact) >= precedence_of(previous):
            self.source_links[fact.node] = link

    def _merge(self, fact: Fact, origin: Origin, link: Link | None) -> None:
        if not self.facts.merge(fact, self.clock.seconds()):
            return
        for destination in _destinations(fact, self, origin):
            if destination is not link:
                self._enqueue(destination, fact)
        if isinstance(fact, URGENT_KINDS):
            self.flush()
        self.on_new_fact(fact)

    def _enqueue(self, link: Link, fact: Fact) -> None:
        self.outbox[link][key_of(fact)] = fact
        if self.flush_timer is None:
            self.flush_timer = self.clock.callLater(FLUSH_DELAY_S, self.flush)

    def flush(self) -> None:
        """Sends all queued facts."""
        if self.flush_timer is not None and self.flush_timer.active():
            self.flush_timer.cancel()
        self.flush_timer = None
        outbox, self.outbox = self.outbox, collections.defaultdict(dict)
        for link, queued in outbox.items():
            self.send_guarded(link, queued.values())

    def expire(self) -> None:
        """Removes expired facts; on a relay, declares nodes lost."""
        self.facts.expire(self.clock.seconds(), wall_seconds())
        if self.is_relay():
            self._declare_unreachable()
        else:
            self.suspect_deadlines.clear()

    def _declare_unreachable(self) -> None:
        # A relay that crashes has no parent that would detect this, and may
        # have been the only relay of its data centre. Its successor detects
        # that no link leads to it.
        now = self.clock.seconds()
        for presence in self.facts.all_of(Presence):
            if not self._is_unreachable(presence):
                self.suspect_deadlines.pop(presence.node, None)
                continue
            deadline = self.suspect_deadlines.setdefault(
                presence.node, now + UNREACHABLE_TIMEOUT_S
            )
            if now >= deadline:
                del self.suspect_deadlines[presence.node]
                lost = dataclasses.replace(presence, condition=Condition.LOST)
                self.broadcast(lost)

    def _is_unreachable(self, presence: Presence) -> bool:
        if presence.condition is Condition.LOST:
            return False
        if presence.data_centre != self.data_centre:
            return False
        if presence.node == self.node:
            return False
        link = self.source_links.get(presence.node)
        if link in self.children.by_link:
            return False
        return link is None or self.peers.by_node.get(link.node) is not link

    def parent_links(self) -> list[Link]:
        """Returns the link to the parent, or nothing if there is none."""
        return [self.uplink.link] if self.uplink.accepted else []

    def child_links(self, service: str) -> list[Link]:
        """Returns the links to children that subscribe to a service."""
        children = self.children.by_link.values()
        return [
            child.link for child in children if child.is_interested_in(service)
        ]


@singledispatch
def _destinations(fact: Fact, router: FactRouter, origin: Origin) -> list[Link]:
    raise TypeError(f"not a fact: {type(fact).__name__}")


@_destinations.register
def _(fact: Presence, router: FactRouter, origin: Origin) -> list[Link]:
    links = router.child_links(fact.service)
    if origin in SUBTREE_ORIGINS:
        links += router.parent_links()
        links += router.peers.by_node.values()
    return links


@_destinations.register
def _(fact: Brake, router: FactRouter, origin: Origin) -> list[Link]:
    return _all_links(router)


@_destinations.register
def _(fact: Strike, router: FactRouter, origin: Origin) -> list[Link]:
    return _all_links(router)


@_destinations.register
def _(fact: MoveProgress, router: FactRouter, origin: Origin) -> list[Link]:
    return _all_links(router)


@_destinations.register
def _(fact: Evacuation, router: FactRouter, origin: Origin) -> list[Link]:
    # Only operators of fleets without relays evacuate data centres.
    return []


def _all_links(router: FactRouter) -> list[Link]:
    links = list(router.children.by_link)
    links += router.parent_links()
    links += router.peers.by_node.values()
    return links


@_destinations.register
def _(fact: ConfigStatus, router: FactRouter, origin: Origin) -> list[Link]:
    return router.parent_links()


@_destinations.register
def _(fact: Evidence, router: FactRouter, origin: Origin) -> list[Link]:
    if origin is Origin.PEER:
        return []
    if not router.is_relay():
        return router.parent_links()
    controller = router.controller()
    return [
        link
        for node, link in router.peers.by_node.items()
        if node == controller or link.data_centre == router.data_centre
    ]


@_destinations.register
def _(fact: ConfigSummary, router: FactRouter, origin: Origin) -> list[Link]:
    if origin is Origin.PEER:
        return []
    link = router.peers.by_node.get(router.controller())
    return [link] if link is not None else []


@singledispatch
def _is_for_child(fact: Fact, services: frozenset[str] | None) -> bool:
    return isinstance(fact, URGENT_KINDS)


@_is_for_child.register
def _(fact: Presence, services: frozenset[str] | None) -> bool:
    if fact.condition is Condition.LOST:
        return False
    return services is None or fact.service in services


@singledispatch
def _is_for_parent(fact: Fact, router: FactRouter) -> bool:
    return isinstance(fact, URGENT_KINDS)


@_is_for_parent.register
def _(fact: Presence, router: FactRouter) -> bool:
    return router.is_in_subtree(fact.node)


@_is_for_parent.register
def _(fact: ConfigStatus, router: FactRouter) -> bool:
    return router.is_in_subtree(fact.node)


@singledispatch
def _is_for_peer(fact: Fact, router: FactRouter) -> bool:
    return isinstance(fact, URGENT_KINDS)


@_is_for_peer.register
def _(fact: Presence, router: FactRouter) -> bool:
    is_local = fact.data_centre == router.data_centre
    return is_local or router.is_in_subtree(fact.node)
