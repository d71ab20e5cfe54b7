"""Pipeline of facts between links: merge what is news, pass it on.

Where a fact goes depends on its kind and on where it came from.
"""

import collections
import dataclasses
import enum
from collections.abc import Callable, Iterable
from functools import singledispatch

from fulmarrudder.clock import Clock, wall_seconds
from fulmarrudder.distribution.children import Children
from fulmarrudder.distribution.link import Link
from fulmarrudder.distribution.message import FactBatch
from fulmarrudder.distribution.peers import Peers
from fulmarrudder.distribution.uplink import Uplink
from fulmarrudder.membership import FactStore
from fulmarrudder.model import (
    Brake,
    Condition,
    Course,
    Evidence,
    Fact,
    Held,
    Presence,
    Strike,
    Summary,
    key_of,
    order_of,
)

FLUSH_S = 0.05
LOST_GRACE_S = 4.0
UNVOUCHED_S = 8.0
FACTS_PER_MESSAGE = 500
URGENT = (Brake, Strike, Course)


class Origin(enum.Enum):
    """Where a fact came from, as seen by this node."""

    SELF = "self"
    BELOW = "below"
    ABOVE = "above"
    PEER = "peer"


OWN_SIDE = frozenset({Origin.SELF, Origin.BELOW})


class FactRouter:
    """Merges facts and passes news on to the links that want them.

    Attributes:
        source_links: For each node, the link by which its presence last came from
            within this data centre.
        doubted: Nodes of this data centre that none of a relay's links
            vouches for, with the clock seconds at which they are lost.
        controller: Returns the id of the node that holds the controller's
            duty, or empty.
        on_new_fact: Called with each fact that was news.
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
        self.doubted: dict[str, float] = {}
        self.outbox: dict[Link, dict] = collections.defaultdict(dict)
        self.flushing = None

    def broadcast(self, fact: Fact) -> None:
        """Spreads a fact of this node's own."""
        self._take(fact, Origin.SELF, None)

    def receive(self, facts: Iterable[Fact], link: Link, origin: Origin):
        """Takes facts from a link.

        Args:
            facts: The facts.
            link: The link that they came by.
            origin: What is on its other side.
        """
        for fact in facts:
            self._note_via(fact, link, origin)
            self._take(fact, origin, link)

    def introduce(self, link: Link, facts: Iterable[Fact]) -> None:
        """Sends facts to a link that has just opened."""
        batch: list[Fact] = []
        for fact in facts:
            batch.append(fact)
            if len(batch) == FACTS_PER_MESSAGE:
                link.send(FactBatch(facts=tuple(batch)))
                batch = []
        if batch:
            link.send(FactBatch(facts=tuple(batch)))

    def for_child(self, services: frozenset[str] | None) -> Iterable[Fact]:
        """Yields what a child needs that wants some services."""
        for fact in tuple(self.facts.facts.values()):
            if _for_child(fact, services):
                yield fact

    def for_parent(self) -> Iterable[Fact]:
        """Yields what a parent needs to know of this node's subtree."""
        for fact in tuple(self.facts.facts.values()):
            if _for_parent(fact, self):
                yield fact

    def for_peer(self) -> Iterable[Fact]:
        """Yields what another relay needs to know of this data centre."""
        for fact in tuple(self.facts.facts.values()):
            if _for_peer(fact, self):
                yield fact

    def is_below(self, node: str) -> bool:
        """Tells whether a node was last heard by way of a child."""
        return self.source_links.get(node) in self.children.by_link

    def link_gone(self, link: Link) -> None:
        """Declares nodes lost that do not turn up elsewhere in time."""
        self.outbox.pop(link, None)
        for node, last in tuple(self.source_links.items()):
            if last is not link:
                continue
            presence = self.facts.presence_of(node)
            if presence is None:
                continue
            self.clock.callLater(
                LOST_GRACE_S, self._declare_lost, presence, link
            )

    def _declare_lost(self, presence: Presence, link: Link) -> None:
        if self.source_links.get(presence.node) is not link:
            return
        now = self.facts.presence_of(presence.node)
        if now is None or order_of(now) != order_of(presence):
            return
        del self.source_links[presence.node]
        self.broadcast(dataclasses.replace(now, condition=Condition.LOST))

    def _note_via(self, fact: Fact, link: Link, origin: Origin) -> None:
        if not isinstance(fact, Presence) or origin is Origin.ABOVE:
            return
        if origin is Origin.PEER and fact.data_centre != self.data_centre:
            return
        known = self.facts.presence_of(fact.node)
        if known is None or order_of(fact) >= order_of(known):
            self.source_links[fact.node] = link

    def _take(self, fact: Fact, origin: Origin, link: Link | None) -> None:
        if not self.facts.merge(fact, self.clock.seconds()):
            return
        for destination in _destinations(fact, self, origin):
            if destination is not link:
                self._queue(destination, fact)
        if isinstance(fact, URGENT):
            self.flush()
        self.on_new_fact(fact)

    def _queue(self, link: Link, fact: Fact) -> None:
        self.outbox[link][key_of(fact)] = fact
        if self.flushing is None:
            self.flushing = self.clock.callLater(FLUSH_S, self.flush)

    def flush(self) -> None:
        """Sends what has been queued."""
        if self.flushing is not None and self.flushing.active():
            self.flushing.cancel()
        self.flushing = None
        outbox, self.outbox = self.outbox, collections.defaultdict(dict)
        for link, queued in outbox.items():
            self.introduce(link, queued.values())

    def expire(self) -> None:
        """Forgets what has had its time."""
        self.facts.expire(self.clock.seconds(), wall_seconds())
        if self.is_relay():
            self._declare_unvouched()
        else:
            self.doubted.clear()

    def _declare_unvouched(self) -> None:
        # A relay that dies has no parent to miss it, and may have been the
        # only one of its data centre; its heir finds that no link is its.
        now = self.clock.seconds()
        for presence in self.facts.all_of(Presence):
            if not self._doubtful(presence):
                self.doubted.pop(presence.node, None)
                continue
            due = self.doubted.setdefault(presence.node, now + UNVOUCHED_S)
            if now >= due:
                del self.doubted[presence.node]
                lost = dataclasses.replace(presence, condition=Condition.LOST)
                self.broadcast(lost)

    def _doubtful(self, presence: Presence) -> bool:
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

    def links_up(self) -> list[Link]:
        """Returns the parent's link, if there is a parent."""
        return [self.uplink.link] if self.uplink.placed else []

    def links_down(self, service: str) -> list[Link]:
        """Returns the children's links that want a service."""
        children = self.children.by_link.values()
        return [child.link for child in children if child.wants(service)]


@singledispatch
def _destinations(
    fact: Fact, fact_router: FactRouter, origin: Origin
) -> list[Link]:
    raise TypeError(f"not a fact: {type(fact).__name__}")


@_destinations.register
def _(fact: Presence, fact_router: FactRouter, origin: Origin) -> list[Link]:
    links = fact_router.links_down(fact.service)
    if origin in OWN_SIDE:
        links += fact_router.links_up()
        links += fact_router.peers.by_node.values()
    return links


@_destinations.register
def _(fact: Brake, fact_router: FactRouter, origin: Origin) -> list[Link]:
    return _everywhere(fact_router)


@_destinations.register
def _(fact: Strike, fact_router: FactRouter, origin: Origin) -> list[Link]:
    return _everywhere(fact_router)


@_destinations.register
def _(fact: Course, fact_router: FactRouter, origin: Origin) -> list[Link]:
    return _everywhere(fact_router)


def _everywhere(fact_router: FactRouter) -> list[Link]:
    links = list(fact_router.children.by_link)
    links += fact_router.links_up()
    links += fact_router.peers.by_node.values()
    return links


@_destinations.register
def _(fact: Held, fact_router: FactRouter, origin: Origin) -> list[Link]:
    return fact_router.links_up()


@_destinations.register
def _(fact: Evidence, fact_router: FactRouter, origin: Origin) -> list[Link]:
    if origin is Origin.PEER:
        return []
    if not fact_router.is_relay():
        return fact_router.links_up()
    controller = fact_router.controller()
    return [
        link
        for node, link in fact_router.peers.by_node.items()
        if node == controller or link.data_centre == fact_router.data_centre
    ]


@_destinations.register
def _(fact: Summary, fact_router: FactRouter, origin: Origin) -> list[Link]:
    if origin is Origin.PEER:
        return []
    link = fact_router.peers.by_node.get(fact_router.controller())
    return [link] if link is not None else []


@singledispatch
def _for_child(fact: Fact, services: frozenset[str] | None) -> bool:
    return isinstance(fact, URGENT)


@_for_child.register
def _(fact: Presence, services: frozenset[str] | None) -> bool:
    if fact.condition is Condition.LOST:
        return False
    return services is None or fact.service in services


@singledispatch
def _for_parent(fact: Fact, fact_router: FactRouter) -> bool:
    return isinstance(fact, URGENT)


@_for_parent.register
def _(fact: Presence, fact_router: FactRouter) -> bool:
    return fact_router.is_below(fact.node)


@_for_parent.register
def _(fact: Held, fact_router: FactRouter) -> bool:
    return fact_router.is_below(fact.node)


@singledispatch
def _for_peer(fact: Fact, fact_router: FactRouter) -> bool:
    return isinstance(fact, URGENT)


@_for_peer.register
def _(fact: Presence, fact_router: FactRouter) -> bool:
    near = fact.data_centre == fact_router.data_centre
    return near or fact_router.is_below(fact.node)
