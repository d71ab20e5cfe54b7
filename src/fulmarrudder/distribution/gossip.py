"""Pipeline of facts in a fleet without relays: each node tells a few others.

Nodes of a data centre are linked with one another; two of each are linked with
two of every other, so that a fact crosses between two data centres twice.
"""

import collections
import dataclasses
import random
from collections.abc import Callable, Iterable
from functools import singledispatchmethod

from twisted.internet.protocol import Factory

from fulmarrudder.clock import Clock, wall_seconds
from fulmarrudder.distribution.dial import Dialer
from fulmarrudder.distribution.link import Link
from fulmarrudder.distribution.message import (
    Document,
    FactBatch,
    Hello,
    Message,
    ResyncRequest,
    Role,
)
from fulmarrudder.log import Backoff
from fulmarrudder.membership import FactStore
from fulmarrudder.model import (
    Brake,
    Condition,
    Course,
    Evidence,
    Fact,
    Presence,
    Strike,
    key_of,
)
from fulmarrudder.observe import Metrics, logs

# Nodes of a data centre that keep links to other ones: one may be lost.
GATEWAYS = 2
# Facts that are not urgent wait this long for others to go with them.
FLUSH_S = 0.05
# A node whose link broke and is not back by then is taken as lost.
LOST_GRACE_S = 3.0
# A node that has just started dials all its neighbours for this long.
NEW_S = 3.0
RETRY_BASE_S = 0.2
RETRY_LIMIT_S = 2.0
FACTS_PER_MESSAGE = 200
URGENT = (Brake, Strike, Course, Presence)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Peer:
    """A node that may be dialled.

    Attributes:
        lost: Whether it is taken as lost.
    """

    node: str
    data_centre: str
    mesh_address: str
    lost: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class _Dialling:
    address: str
    backoff: Backoff
    due: float = 0.0
    link: Link | None = None


def neighbours(me: Peer, others: Iterable[Peer]) -> frozenset[str]:
    """Chooses the nodes that a node keeps links to; pure.

    Within a data centre all are linked. Between two, the first nodes by their
    ids are: the first with the first, the second with the second.

    Args:
        me: The node.
        others: All other nodes.

    Returns:
        Ids of the nodes to link with; the relation is the same from both
        sides that know the same nodes.
    """
    chosen = set()
    by_place: dict[str, list[str]] = {me.data_centre: [me.node]}
    for other in others:
        if other.data_centre == me.data_centre:
            chosen.add(other.node)
        if not other.lost:
            by_place.setdefault(other.data_centre, []).append(other.node)
    gateways = {
        place: sorted(nodes)[:GATEWAYS] for place, nodes in by_place.items()
    }
    own = gateways.pop(me.data_centre)
    if me.node not in own:
        return frozenset(chosen)
    mine = own.index(me.node)
    for theirs in gateways.values():
        for index, node in enumerate(theirs):
            if index == min(mine, len(theirs) - 1):
                chosen.add(node)
            elif mine == min(index, len(own) - 1):
                chosen.add(node)
    return frozenset(chosen)


class Gossip:
    """Spreads facts among nodes, and configuration to those that missed it.

    Attributes:
        links: Open links by the node on the other side.
        directory_peers: Nodes that the platform's store names.
        current_document: Returns the document in force, or None.
        on_document: Called with a document that another node holds.
        on_new_fact: Called with each fact that was news.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        node: str,
        data_centre: str,
        mesh_address: str,
        dialer: Dialer,
        facts: FactStore,
        metrics: Metrics,
        current_document: Callable[[], Document | None],
        on_document: Callable[[Document], None],
        on_new_fact: Callable[[Fact], None],
    ):
        self.clock = clock
        self.rng = rng
        self.node = node
        self.data_centre = data_centre
        self.mesh_address = mesh_address
        self.dialer = dialer
        self.facts = facts
        self.metrics = metrics
        self.current_document = current_document
        self.on_document = on_document
        self.on_new_fact = on_new_fact
        self.links: dict[str, Link] = {}
        self.directory_peers: dict[str, Peer] = {}
        self.dialling: dict[str, _Dialling] = {}
        self.doubted: dict[str, float] = {}
        self.outbox: dict[Link, dict] = collections.defaultdict(dict)
        self.flushing = None
        self.stopped = False
        self.new_until = clock.seconds() + NEW_S

    def link_factory(self) -> Factory:
        """Returns the factory of links that other nodes open."""
        factory = Factory.forProtocol(
            lambda: Link(self.clock, self, self.dialer.token, self.metrics)
        )
        factory.noisy = False
        return factory

    def broadcast(self, fact: Fact) -> None:
        """Spreads a fact of this node's own."""
        self._take(fact, None)

    def flush(self) -> None:
        """Sends what waits to be sent."""
        flushing, self.flushing = self.flushing, None
        if flushing is not None and flushing.active():
            flushing.cancel()
        outbox, self.outbox = self.outbox, collections.defaultdict(dict)
        for link, facts in outbox.items():
            self._send(link, tuple(facts.values()))

    def reconcile(self) -> None:
        """Dials the nodes that should be linked and are not."""
        if self.stopped:
            return
        peers = self._peers()
        me = Peer(
            node=self.node,
            data_centre=self.data_centre,
            mesh_address=self.mesh_address,
        )
        wanted = neighbours(me, peers.values())
        now = self.clock.seconds()
        for node in tuple(self.dialling):
            if node not in wanted:
                self._give_up(node)
        for node in wanted:
            # Of two neighbours the one with the lower id dials, unless the
            # other is new and nobody can know it yet.
            if node in self.links:
                continue
            if self.node < node or now < self.new_until:
                self._ensure(peers[node], now)
        self._declare_lost(now, wanted)

    def request_document(self) -> None:
        """Asks another node for a configuration newer than the one held."""
        if self.links:
            self._ask(self.rng.choice(tuple(self.links.values())))

    def stop(self) -> None:
        """Closes all links and opens none from now on."""
        self.flush()
        self.stopped = True
        for link in tuple(self.links.values()):
            link.close()

    def link_opened(self, link: Link) -> None:
        """Introduces this node."""
        if not link.dialled:
            return
        link.send(self._hello())

    def link_message(self, link: Link, message: Message) -> None:
        """Takes a message of another node."""
        self._receive(message, link)

    def link_closed(self, link: Link) -> None:
        """Forgets a link."""
        now = self.clock.seconds()
        self.outbox.pop(link, None)
        for dialling in self.dialling.values():
            if dialling.link is link:
                dialling.link = None
                dialling.due = now + dialling.backoff.next_delay()
        if link.node and self.links.get(link.node) is link:
            del self.links[link.node]
            self.doubted[link.node] = now + LOST_GRACE_S

    def _peers(self) -> dict[str, Peer]:
        peers = dict(self.directory_peers)
        for presence in self.facts.all_of(Presence):
            peers[presence.node] = Peer(
                node=presence.node,
                data_centre=presence.data_centre,
                mesh_address=presence.mesh_address,
                lost=presence.condition is Condition.LOST,
            )
        peers.pop(self.node, None)
        return peers

    def _ensure(self, peer: Peer, now: float) -> None:
        dialling = self.dialling.get(peer.node)
        if dialling is None or dialling.address != peer.mesh_address:
            backoff = Backoff(
                base_s=RETRY_BASE_S, limit_s=RETRY_LIMIT_S, rng=self.rng
            )
            dialling = _Dialling(address=peer.mesh_address, backoff=backoff)
            self.dialling[peer.node] = dialling
        if dialling.link is None and now >= dialling.due:
            dialling.link = self.dialer.dial(peer.mesh_address, self)

    def _give_up(self, node: str) -> None:
        dialling = self.dialling.pop(node)
        if dialling.link is not None:
            dialling.link.close()

    def _declare_lost(self, now: float, wanted: frozenset[str]) -> None:
        for node, due in tuple(self.doubted.items()):
            # A link that neither side wants any more says nothing.
            if node in self.links or node not in wanted:
                del self.doubted[node]
                continue
            if now < due:
                continue
            del self.doubted[node]
            presence = self.facts.presence_of(node)
            if presence is None or presence.condition is Condition.LOST:
                continue
            logs.warning("node-lost", peer=node, sequence=presence.sequence)
            self.broadcast(
                dataclasses.replace(presence, condition=Condition.LOST)
            )

    def _hello(self) -> Hello:
        current_document = self.current_document()
        return Hello(
            role=Role.PEER,
            node=self.node,
            data_centre=self.data_centre,
            mesh_address=self.mesh_address,
            offset=current_document.version if current_document else 0,
            digest="",
            interest=None,
        )

    @singledispatchmethod
    def _receive(self, message: Message, link: Link) -> None:
        logs.warning("link-message-unexpected", kind=type(message).__name__)

    @_receive.register
    def _(self, message: Hello, link: Link) -> None:
        if self.stopped:
            link.close()
            return
        before = self.links.get(message.node)
        link.node = message.node
        link.data_centre = message.data_centre
        self.doubted.pop(message.node, None)
        if before is not None and before is not link:
            if self._ours(before) and not self._ours(link):
                link.close()
                return
            before.close()
        self.links[message.node] = link
        if message.node in self.dialling:
            self.dialling[message.node].backoff.reset()
        if not link.dialled:
            link.send(self._hello())
        current_document = self.current_document()
        if message.offset > (
            current_document.version if current_document else 0
        ):
            self._ask(link)
        self._send(link, tuple(self.facts.facts.values()))

    @_receive.register
    def _(self, message: FactBatch, link: Link) -> None:
        for fact in message.facts:
            self._take(fact, link)

    @_receive.register
    def _(self, message: ResyncRequest, link: Link) -> None:
        current_document = self.current_document()
        if (
            current_document is not None
            and current_document.version > message.offset
        ):
            link.send(current_document)

    @_receive.register
    def _(self, message: Document, link: Link) -> None:
        self.on_document(message)

    def _ours(self, link: Link) -> bool:
        """Tells whether the side that should dial a link has dialled it."""
        return link.dialled == (self.node < link.node)

    def _ask(self, link: Link) -> None:
        current_document = self.current_document()
        self.metrics.count("fulmarrudder_resyncs_total")
        link.send(
            ResyncRequest(
                offset=current_document.version if current_document else 0,
                digest="",
            )
        )

    def _take(self, fact: Fact, source: Link | None) -> None:
        if not self.facts.merge(fact, self.clock.seconds()):
            return
        for link in self.links.values():
            if link is not source:
                self.outbox[link][key_of(fact)] = fact
        self._flush_soon(fact)
        self.on_new_fact(fact)

    def _flush_soon(self, fact: Fact) -> None:
        delay = 0.0 if isinstance(fact, URGENT) else FLUSH_S
        due = self.clock.seconds() + delay
        if self.flushing is not None:
            if self.flushing.getTime() <= due:
                return
            self.flushing.cancel()
        self.flushing = self.clock.callLater(delay, self._flush_due)

    def _flush_due(self) -> None:
        self.flushing = None
        self.flush()

    def _send(self, link: Link, facts: tuple[Fact, ...]) -> None:
        for start in range(0, len(facts), FACTS_PER_MESSAGE):
            part = facts[start : start + FACTS_PER_MESSAGE]
            link.send(FactBatch(facts=part))

    def expire(self, open_moves: frozenset[str]) -> None:
        """Forgets facts that have had their time.

        Args:
            open_moves: Ids of the moves that are open.
        """
        self.facts.expire(self.clock.seconds(), wall_seconds())
        self.facts.discard_closed_moves(open_moves)
        if not open_moves:
            for evidence in self.facts.all_of(Evidence):
                self.facts.drop(key_of(evidence))
