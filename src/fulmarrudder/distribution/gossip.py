"""Gossip of facts in a fleet without relays.

`topology` chooses the links, `spread` the links that a fact is sent on,
`outbox` sends what is queued for them, `evidence` adds up what nodes count, and
`document_exchange` hands over configuration. `Gossip` keeps the links and
declares nodes lost.
"""

import dataclasses
import math
import random
from collections.abc import Callable
from functools import singledispatchmethod

from twisted.internet.protocol import Factory

from fulmarrudder.clock import Clock, wall_seconds
from fulmarrudder.distribution.codec import encode
from fulmarrudder.distribution.dial import Dialer
from fulmarrudder.distribution.document_exchange import (
    DocumentExchange,
    Offer,
)
from fulmarrudder.distribution.evidence import (
    EvidenceCollector,
    EvidenceReporter,
    report_interval_s,
)
from fulmarrudder.distribution.guard import ignore
from fulmarrudder.distribution.link import Link
from fulmarrudder.distribution.message import (
    PROTOCOL,
    VACANCY_PROTOCOL,
    ConfigChange,
    Document,
    FactBatch,
    Hello,
    Message,
    ResyncRequest,
    Role,
    SourceUpdate,
    UpToDate,
    Vacancy,
)
from fulmarrudder.distribution.outbox import Outbox
from fulmarrudder.distribution.quota_exchange import QuotaExchange
from fulmarrudder.distribution.spread import (
    Hop,
    is_forwarded,
    is_sent_on_open,
    origin_of,
)
from fulmarrudder.distribution.topology import (
    Peer,
    Topology,
    collector_of,
    count_nodes,
    topology_of,
)
from fulmarrudder.log import Backoff
from fulmarrudder.membership import (
    Digest,
    FactStore,
    format_digest,
    is_covered,
    parse_digest,
)
from fulmarrudder.model import Condition, Evidence, Fact, Presence, key_of
from fulmarrudder.observe import Metrics, logs
from fulmarrudder.quotas import FleetQuotas, QuotaReport, QuotaUse

# Time to reconnect before a node whose link broke is declared lost.
SUSPECT_TIMEOUT_S = 3.0
# Time for the first witnesses of a loss to declare it before others do.
WITNESS_DELAY_S = 1.0
# Nodes that declare a loss at once; two, so that one may fail.
FIRST_WITNESSES = 2
# Time after its start during which a node dials all its neighbours, as they
# may not have its address yet.
STARTUP_DIAL_S = 3.0
# Time after which no other dial between two nodes is expected to be under way.
LINK_SETTLE_S = 0.25
RETRY_BASE_DELAY_S = 0.2
RETRY_MAX_DELAY_S = 2.0
# Time for which a change that is sent to all neighbours may take a node's link.
MAX_CHANGE_LINK_S = 0.2


@dataclasses.dataclass(slots=True, kw_only=True)
class _DialState:
    """Attempts to reach one node.

    Attributes:
        peer: The node.
        retry_at: Clock seconds before which it is not dialled again.
        link: The link that is open or being opened, or None.
    """

    peer: Peer
    backoff: Backoff
    retry_at: float = 0.0
    link: Link | None = None


class Gossip:
    """Exchanges facts with neighbours, and configuration on request.

    Attributes:
        links: Open links by the id of the node on the other side.
        digests: Digest of what the node of each link held when it opened, or
            None.
        directory_peers: Nodes listed in the platform's store, by id.
        dialling: Connection attempts by the id of the node.
        suspect_deadlines: For each node whose link broke, the clock seconds
            at which the first witnesses declare it lost.
        doubt_deadlines: For each node that has not answered or is lost, the
            clock seconds from which it is doubtful while no presence tells
            that it is there.
        outbox: Facts to be sent with the next flush.
        startup_until: Clock seconds until which this node dials every
            neighbour.
        documents: Requests and serves configuration.
        on_new_fact: Called with each fact that changed the store.
        on_own_departure: Called with a presence of this node, of this or an
            earlier start, that tells that its target leaves.
        on_source_update: Called with what another node of this data centre
            has read from the source of versions.
        on_change: Called with a change of the configuration that another node
            of this data centre sends.
        on_vacancy: Called with the id of a node of this data centre and the
            free slot that it tells.
        link_bytes_per_s: Speed of this node's network link.
        evidence_readers: Returns the ids of the nodes that read evidence.
            Gateways read it as well.
        topology: The fleet as this node sees it.
        reporter: Reports this node's evidence to its collector.
        collector: Adds up the evidence that is reported to this node.
        quota_exchange: Tells other nodes what this one admits of workspaces.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        node: str,
        incarnation: int,
        data_centre: str,
        mesh_address: str,
        dialer: Dialer,
        facts: FactStore,
        metrics: Metrics,
        current_document: Callable[[], Document | None],
        on_document: Callable[[Document], None],
        on_new_fact: Callable[[Fact], None],
        on_version_told: Callable[[int, str], None] = ignore,
        is_receiving: Callable[[], bool] = bool,
        evidence_readers: Callable[[], frozenset[str]] = frozenset,
        active_version: Callable[[], int] | None = None,
        on_own_departure: Callable[[Presence], None] = ignore,
        on_source_update: Callable[[SourceUpdate], None] = ignore,
        on_change: Callable[[ConfigChange], None] = ignore,
        on_vacancy: Callable[[str, Vacancy], None] = ignore,
        link_bytes_per_s: float = math.inf,
        quotas: FleetQuotas | None = None,
    ):
        self.clock = clock
        self.rng = rng
        self.node = node
        self.data_centre = data_centre
        self.mesh_address = mesh_address
        self.dialer = dialer
        self.facts = facts
        self.metrics = metrics
        self.on_new_fact = on_new_fact
        self.on_own_departure = on_own_departure
        self.on_source_update = on_source_update
        self.on_change = on_change
        self.on_vacancy = on_vacancy
        self.link_bytes_per_s = link_bytes_per_s
        self.evidence_readers = evidence_readers
        self.topology = Topology()
        self.readers: frozenset[str] = frozenset()
        self.links: dict[str, Link] = {}
        self.digests: dict[Link, Digest | None] = {}
        self.directory_peers: dict[str, Peer] = {}
        self.dialling: dict[str, _DialState] = {}
        self.suspect_deadlines: dict[str, float] = {}
        self.doubt_deadlines: dict[str, float] = {}
        self.stopped = False
        self.startup_until = clock.seconds() + STARTUP_DIAL_S
        self.reporter = EvidenceReporter(
            clock=clock,
            choose_collector=lambda: collector_of(
                node, self.topology, self.links
            ),
            send=self._send_report,
        )
        self.collector = EvidenceCollector(
            clock=clock,
            node=node,
            incarnation=incarnation,
            broadcast=lambda evidence: self._merge(evidence, None),
        )
        if quotas is None:
            quotas = FleetQuotas(node, data_centre, clock.seconds())
        self.quota_exchange = QuotaExchange(
            clock=clock,
            node=node,
            quotas=quotas,
            topology=lambda: self.topology,
            links=self.links,
        )
        self.outbox = Outbox(clock, dialer.guard, self._lacks)
        self.documents = DocumentExchange(
            clock=clock,
            rng=rng,
            metrics=metrics,
            current_document=current_document,
            active_version=active_version,
            on_document=on_document,
            on_version_told=on_version_told,
            is_receiving=is_receiving,
        )
        # An exception at one neighbour does not keep others from the rest.
        self.dial_guarded = dialer.guard("gossip", self._dial_if_due, ignore)

    def link_factory(self) -> Factory:
        """Returns the factory for links that other nodes open."""
        factory = Factory.forProtocol(lambda: self.dialer.accept(self))
        factory.noisy = False
        return factory

    def broadcast(self, fact: Fact) -> None:
        """Merges a fact of this node and sends it to the neighbours.

        Evidence goes to the collector of this node, which adds it up.
        """
        self._broadcast(fact)

    def flush(self) -> None:
        """Sends all queued facts."""
        self.outbox.flush()

    def reconcile(self) -> None:
        """Dials missing neighbours and declares suspect nodes lost."""
        if self.stopped:
            return
        peers = self._peers()
        own = self.facts.presence_of(self.node)
        me = Peer(
            node=self.node,
            data_centre=self.data_centre,
            mesh_address=self.mesh_address,
            doubtful=own is not None and own.condition is Condition.LEAVING,
        )
        self.topology = topology = topology_of(me, peers.values())
        self.quota_exchange.quotas.view.set_nodes(
            count_nodes((me, *peers.values())), self.clock.seconds()
        )
        neighbour_ids = topology.neighbours
        self.reporter.interval_s = report_interval_s(
            topology.local_nodes / len(topology.local_gateways)
        )
        self.readers = self.evidence_readers()
        now = self.clock.seconds()
        for node in tuple(self.dialling):
            if node not in neighbour_ids:
                self._stop_dialling(node)
        for node in neighbour_ids:
            # Of two neighbours the one with the lower id dials. A node that
            # has just started dials all of them, as they may not have its
            # address yet.
            if node in self.links:
                continue
            if self.node < node or now < self.startup_until:
                self.dial_guarded(peers[node], now)
        self._declare_lost(now, neighbour_ids)
        self.documents.request_newer()

    def is_gateway(self) -> bool:
        """Returns whether this node links its data centre with others."""
        return self.node in self.topology.gateways

    def reads_evidence(self) -> bool:
        """Returns whether this node receives the evidence of the others."""
        return self.is_gateway() or self.node in self.readers

    def request_document(self) -> None:
        """Requests a newer configuration from a neighbour.

        Does nothing while one is awaited.
        """
        self.documents.request_any()

    def tell_version(self) -> None:
        """Tells neighbours of the version that this node has activated.

        A reader of the store may not be answered for as long as its read lasts;
        its neighbours have the version by then. The gateways are enough.
        """
        if self.is_gateway():
            self.documents.tell_version()

    def tell_source(self, update: SourceUpdate) -> None:
        """Tells the nodes of this data centre what was read from the source."""
        self._send_to_data_centre(encode(update))

    def tell_change(self, change: ConfigChange) -> bool:
        """Sends a change to the nodes of this data centre.

        Returns:
            Whether it was sent; a large one would take the link for too long,
            and nodes read the version from its source.
        """
        data = encode(change)
        limit = MAX_CHANGE_LINK_S * self.link_bytes_per_s
        if len(data) * len(self._readers_of_updates()) > limit:
            return False
        self._send_to_data_centre(data)
        return True

    def tell_vacancy(self, node: str, vacancy: Vacancy) -> bool:
        """Tells a node of this data centre of a free slot.

        Args:
            node: Its id.
            vacancy: The free slot.

        Returns:
            Whether there is a link to it by which it can be told.
        """
        link = self.links.get(node)
        if link is None or link.data_centre != self.data_centre:
            return False
        if link.protocol < VACANCY_PROTOCOL:
            return False
        link.send(vacancy)
        return True

    def _send_to_data_centre(self, data: bytes) -> None:
        for link in self._readers_of_updates():
            link.send_encoded(data)

    def _readers_of_updates(self) -> tuple[Link, ...]:
        return tuple(
            link
            for link in self.links.values()
            if link.data_centre == self.data_centre and link.protocol >= 1
        )

    def stop(self) -> None:
        """Sends what waits and closes all links; opens no more links."""
        self.collector.flush()
        self.quota_exchange.stop()
        self.flush()
        self.stopped = True
        for link in tuple(self.links.values()):
            link.close()

    def link_opened(self, link: Link) -> None:
        """Sends the first message on a link that this node dialled."""
        for dialling in self.dialling.values():
            if dialling.link is link:
                peer = dialling.peer
                link.send(self._hello(peer.node, peer.data_centre))

    def link_message(self, link: Link, message: Message) -> None:
        """Handles a message from another node."""
        self._handle(message, link)

    def link_closed(self, link: Link) -> None:
        """Schedules another attempt, and suspects the node of the link."""
        now = self.clock.seconds()
        self.outbox.discard(link)
        self.digests.pop(link, None)
        self.documents.link_closed(link)
        for dialling in self.dialling.values():
            if dialling.link is link:
                dialling.link = None
                dialling.retry_at = now + dialling.backoff.next_delay()
        if link.node and self.links.get(link.node) is link:
            del self.links[link.node]
            logs.info("peer-disconnected", peer=link.node)
            self.suspect_deadlines[link.node] = now + SUSPECT_TIMEOUT_S

    @singledispatchmethod
    def _broadcast(self, fact: Fact) -> None:
        self._merge(fact, None)

    @_broadcast.register
    def _(self, fact: Evidence) -> None:
        self.reporter.report(fact)

    def _send_report(self, collector: str, report: Evidence) -> None:
        link = self.links.get(collector)
        if link is not None:
            self.outbox.send(link, (report,))
        else:
            self.collector.add(report)

    @singledispatchmethod
    def _receive(self, fact: Fact, link: Link) -> None:
        self._merge(fact, link)

    @_receive.register
    def _(self, fact: Presence, link: Link) -> None:
        if fact.node == self.node and fact.target_leaves:
            self.on_own_departure(fact)
        self._merge(fact, link)

    @_receive.register
    def _(self, fact: Evidence, link: Link) -> None:
        if fact.attached is None:
            self._merge(fact, link)
        else:
            self.collector.add(fact)

    def _peers(self) -> dict[str, Peer]:
        now = self.clock.seconds()
        peers = {}
        for presence in self.facts.all_of(Presence):
            lost = presence.condition is Condition.LOST
            peers[presence.node] = Peer(
                node=presence.node,
                data_centre=presence.data_centre,
                mesh_address=presence.mesh_address,
                lost=lost,
                doubtful=presence.condition is Condition.LEAVING,
            )
            if lost:
                # The directory may list it longer than its presence is kept.
                self.doubt_deadlines.setdefault(presence.node, now)
            else:
                self.doubt_deadlines.pop(presence.node, None)
        for peer in self.directory_peers.values():
            if peer.node not in peers:
                doubt_deadline = self.doubt_deadlines.get(peer.node, math.inf)
                peers[peer.node] = dataclasses.replace(
                    peer, doubtful=now >= doubt_deadline
                )
        peers.pop(self.node, None)
        return peers

    def _dial_if_due(self, peer: Peer, now: float) -> None:
        dialling = self.dialling.get(peer.node)
        if dialling is None or dialling.peer.mesh_address != peer.mesh_address:
            backoff = Backoff(
                base_delay_s=RETRY_BASE_DELAY_S,
                max_delay_s=RETRY_MAX_DELAY_S,
                rng=self.rng,
            )
            dialling = _DialState(peer=peer, backoff=backoff)
            self.dialling[peer.node] = dialling
        if dialling.link is None and now >= dialling.retry_at:
            self.doubt_deadlines.setdefault(peer.node, now + SUSPECT_TIMEOUT_S)
            dialling.link = self.dialer.dial(peer.mesh_address, self)

    def _stop_dialling(self, node: str) -> None:
        dialling = self.dialling.pop(node)
        if dialling.link is not None:
            dialling.link.close()

    def _is_first_witness(self) -> bool:
        """Returns whether few nodes of this data centre come before this one.

        All neighbours of a node that fails notice it at the same moment.
        """
        earlier = sum(
            1
            for link in self.links.values()
            if link.data_centre == self.data_centre and link.node < self.node
        )
        return earlier < FIRST_WITNESSES

    def _declare_lost(self, now: float, neighbour_ids: frozenset[str]) -> None:
        if not self._is_first_witness():
            now -= WITNESS_DELAY_S
        for node, deadline in tuple(self.suspect_deadlines.items()):
            # Two nodes that are no longer neighbours close their link, so
            # that a closed link is no sign of a failure.
            if node in self.links or node not in neighbour_ids:
                del self.suspect_deadlines[node]
                continue
            if now < deadline:
                continue
            del self.suspect_deadlines[node]
            presence = self.facts.presence_of(node)
            if presence is None or presence.condition is Condition.LOST:
                continue
            logs.warning("node-lost", peer=node, sequence=presence.sequence)
            self.broadcast(
                dataclasses.replace(presence, condition=Condition.LOST)
            )

    def _hello(self, peer: str, data_centre: str) -> Hello:
        """Returns the first message to a node of a data centre.

        Known presences cross to and from gateways only, so that other links
        need no digest.
        """
        gateways = self.topology.gateways
        tells_digest = (
            self.node in gateways
            or peer in gateways
            or data_centre != self.data_centre
        )
        digest = format_digest(self.facts.digest) if tells_digest else ""
        return Hello(
            role=Role.PEER,
            node=self.node,
            data_centre=self.data_centre,
            mesh_address=self.mesh_address,
            offset=self.documents.version,
            digest=digest,
            interest=None,
            protocol=PROTOCOL,
        )

    @singledispatchmethod
    def _handle(self, message: Message, link: Link) -> None:
        logs.warning("link-message-unexpected", kind=type(message).__name__)

    @_handle.register
    def _(self, message: Hello, link: Link) -> None:
        if self.stopped:
            link.close()
            return
        previous = self.links.get(message.node)
        link.node = message.node
        link.data_centre = message.data_centre
        link.protocol = message.protocol
        link.leads_afar = message.data_centre != self.data_centre
        self.suspect_deadlines.pop(message.node, None)
        self.doubt_deadlines.pop(message.node, None)
        if previous is not None and previous is not link:
            if self._has_right_direction(
                previous
            ) and not self._has_right_direction(link):
                link.close()
                return
            self.documents.withdraw_offer(previous)
            previous.close()
        self.links[message.node] = link
        if previous is None:
            logs.info(
                "peer-connected",
                peer=message.node,
                dialled=link.dialled,
                config_version=message.offset,
            )
        if message.node in self.dialling:
            self.dialling[message.node].backoff.reset()
        if not link.dialled:
            link.send(self._hello(message.node, message.data_centre))
        self.documents.add_offer(link, self._offer_of(message, link))
        self.digests[link] = self._digest_of(message)
        self.outbox.send(link, self._facts_on_open(link))
        self._remind_of_departure(link)
        if message.node == self.reporter.collector:
            self.reporter.repeat()

    def _remind_of_departure(self, link: Link) -> None:
        """Tells a node that may have restarted that its target has left."""
        told = self.facts.departures.of_node(link.node, self.clock.seconds())
        if told is not None:
            link.send(FactBatch(facts=(told,)))

    @_handle.register
    def _(self, message: FactBatch, link: Link) -> None:
        for fact in message.facts:
            self._receive(fact, link)

    @_handle.register
    def _(self, message: ResyncRequest, link: Link) -> None:
        self.documents.answer(message, link)

    @_handle.register
    def _(self, message: UpToDate, link: Link) -> None:
        self.documents.receive_version(message, link)

    @_handle.register
    def _(self, message: Document, link: Link) -> None:
        self.documents.receive(message, link)

    @_handle.register
    def _(self, message: SourceUpdate, link: Link) -> None:
        self.on_source_update(message)

    @_handle.register
    def _(self, message: ConfigChange, link: Link) -> None:
        self.on_change(message)

    @_handle.register
    def _(self, message: QuotaReport, link: Link) -> None:
        self.quota_exchange.receive(message, link)

    @_handle.register
    def _(self, message: QuotaUse, link: Link) -> None:
        self.quota_exchange.receive(message, link)

    @_handle.register
    def _(self, message: Vacancy, link: Link) -> None:
        self.on_vacancy(link.node, message)

    def _has_right_direction(self, link: Link) -> bool:
        """Returns whether the node with the lower id dialled the link."""
        return link.dialled == (self.node < link.node)

    def _merge(self, fact: Fact, source: Link | None) -> None:
        if not self.facts.merge(fact, self.clock.seconds()):
            return
        for link in self.links.values():
            if link is source:
                continue
            if is_forwarded(fact, self._hop(link, source)):
                self.outbox.add(link, fact, is_own=source is None)
        self.on_new_fact(fact)

    def _hop(self, link: Link, source: Link | None) -> Hop:
        return Hop(
            is_own=source is None,
            from_gateway=self.node in self.topology.gateways,
            to_gateway=link.node in self.topology.gateways,
            to_reader=link.node in self.readers,
            came_from_afar=(
                source is not None and source.data_centre != self.data_centre
            ),
            leads_afar=link.data_centre != self.data_centre,
        )

    def _offer_of(self, hello: Hello, link: Link) -> Offer:
        """Returns what the node of a new link can be asked for.

        A link that the node with the higher id dialled is closed if the other
        one dialled as well.
        """
        now = self.clock.seconds()
        settled_at = (
            now if self._has_right_direction(link) else now + LINK_SETTLE_S
        )
        return Offer(version=hello.offset, settled_at=settled_at)

    def _digest_of(self, hello: Hello) -> Digest | None:
        """Returns the digest of a peer's facts; None if it tells none."""
        if not hello.digest:
            return None
        parsed = parse_digest(hello.digest)
        if parsed.is_error():
            logs.warning("digest-refused", peer=hello.node, error=parsed.error)
            return None
        return parsed.ok

    def _lacks(self, link: Link, fact: Fact) -> bool:
        """Returns whether the node of a link may lack a fact of this node."""
        digest = self.digests.get(link)
        if digest is None:
            return True
        return not is_covered(fact, self.facts.digest, digest)

    def _facts_on_open(self, link: Link) -> tuple[Fact, ...]:
        hop = self._hop(link, link)
        own_hop = dataclasses.replace(hop, is_own=True)
        return tuple(
            fact
            for fact in self.facts.facts.values()
            if is_sent_on_open(
                fact, own_hop if origin_of(fact) == self.node else hop
            )
        )

    def expire(self, open_moves: frozenset[str]) -> None:
        """Removes expired facts and those of closed moves.

        Args:
            open_moves: Ids of the open moves.
        """
        self.facts.expire(self.clock.seconds(), wall_seconds())
        self.facts.discard_closed_moves(open_moves)
        if not open_moves:
            self.reporter.reset()
            self.collector.reset()
            for evidence in self.facts.all_of(Evidence):
                self.facts.discard(key_of(evidence))
