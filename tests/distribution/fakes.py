"""A fake network: links between nodes, and partitions of it."""

import collections
import functools
import random

from twisted.internet.task import Clock

from fulmarrudder.distribution import Gossip
from fulmarrudder.distribution.codec import decode, encode
from fulmarrudder.distribution.guard import unguarded
from fulmarrudder.distribution.link import IDLE_TIMEOUT_S
from fulmarrudder.distribution.mesh import Mesh
from fulmarrudder.distribution.message import Document, FactBatch
from fulmarrudder.distribution.state_store import StateStore
from fulmarrudder.log import Envelope, RawRecord
from fulmarrudder.log import encode_envelope as encode_record
from fulmarrudder.membership import FactStore
from fulmarrudder.observe import Metrics

LATENCY_S = 0.002
# Bytes of a message that takes longer arrive at least this often.
HEARING_PERIOD_S = 0.2
# What many links carry alike is decoded once.
decode = functools.lru_cache(maxsize=4096)(decode)


class FakeLink:
    """One side of a link; messages pass through the real codec.

    Attributes:
        documents: Documents that are under way to this side.
    """

    def __init__(self, net, handler, owner):
        self.net = net
        self.handler = handler
        self.owner = owner
        self.other = None
        self.dialled = False
        self.closed = False
        self.node = ""
        self.data_centre = ""
        self.protocol = 0
        self.idle_deadline = 0.0
        self.documents = 0

    def send(self, message):
        self.send_encoded(encode(message))

    def send_encoded(self, data):
        if self.closed:
            return
        message = decode(data).ok
        self.net.count(self.owner, self.other.owner, message, len(data))
        delay = self.net.delay_of(self.owner, self.other.owner, len(data))
        if isinstance(message, Document):
            self.other.documents += 1
            self.net.note_documents(self.owner, self.other.owner)
        for index in range(1, int(delay / HEARING_PERIOD_S) + 1):
            self.net.call_later(index * HEARING_PERIOD_S, self.other.hear)
        self.net.call_later(delay, self.other.receive, message)

    def hear(self):
        self.idle_deadline = self.net.clock.seconds() + IDLE_TIMEOUT_S

    def receive(self, message):
        if self.closed:
            return
        if self.owner in self.net.frozen:
            self.net.frozen[self.owner].append((self.receive, message))
            return
        self.hear()
        if isinstance(message, Document):
            self.documents -= 1
        self.handler.link_message(self, message)

    def close(self):
        if self.closed:
            return
        self.net.call_later(0, self.mark_closed)
        self.net.call_later(LATENCY_S, self.other.mark_closed)

    def mark_closed(self):
        if not self.closed:
            self.closed = True
            self.documents = 0
            self.handler.link_closed(self)


class FakeDialer:
    """Opens links from one node."""

    def __init__(self, net, node):
        self.net = net
        self.node = node
        self.token = b""
        self.guard = unguarded

    def dial(self, address, handler):
        link = FakeLink(self.net, handler, self.node)
        link.dialled = True
        self.net.call_later(LATENCY_S, self.net.connect, self, link, address)
        return link


class FakeNetwork:
    """Nodes and the links between them, on a fake clock.

    Attributes:
        nodes: Nodes by name.
        links: Links as (opener, acceptor, the opener's side).
        log: Raw records in the order of the log.
        partitions: Pairs of data centres that cannot reach each other.
        cut_pairs: Pairs of nodes that cannot reach each other.
        bytes: Bytes sent on all links.
        bytes_by_node: The same, by the name of the sending node.
        copies: Facts sent, by the names of sender and receiver.
        documents: Documents sent, by the name of the receiver.
        most_documents: Most documents that were under way at once to a node,
            by its name.
        most_documents_sent: The same, from a node.
        frozen: What nodes that do not run will handle once they do, by name.
    """

    def __init__(self, seed=1):
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.nodes = {}
        self.links = []
        self.log = []
        self.partitions = set()
        self.cut_pairs = set()
        self.bytes = 0
        self.bytes_by_node = collections.Counter()
        self.copies = collections.Counter()
        self.documents = collections.Counter()
        self.most_documents = collections.Counter()
        self.most_documents_sent = collections.Counter()
        self.frozen = {}
        self.due = {}

    def call_later(self, delay, function, *args):
        """Calls a function later; costs one timer for each moment."""
        at = self.clock.seconds() + delay
        if at not in self.due:
            self.due[at] = []
            self.clock.callLater(delay, self._run_due, at)
        self.due[at].append((function, args))

    def _run_due(self, at):
        for function, args in self.due.pop(at):
            function(*args)

    def count(self, sender, receiver, message, size):
        """Counts a message that is sent."""
        self.bytes += size
        self.bytes_by_node[sender] += size
        if isinstance(message, FactBatch):
            self.copies[sender, receiver] += len(message.facts)
        if isinstance(message, Document):
            self.documents[receiver] += 1

    def note_documents(self, sender, receiver):
        """Notes how many documents are under way between nodes."""
        ends = [end for *_, link in self.links for end in (link, link.other)]
        under_way = sum(end.documents for end in ends if end.owner == receiver)
        sent = sum(end.documents for end in ends if end.other.owner == sender)
        self.most_documents[receiver] = max(
            self.most_documents[receiver], under_way
        )
        self.most_documents_sent[sender] = max(
            self.most_documents_sent[sender], sent
        )

    def freeze(self, name):
        """Stops a node; its links stay open."""
        self.frozen[name] = []

    def thaw(self, name):
        """Lets a frozen node go on."""
        for function, message in self.frozen.pop(name):
            function(message)

    def delay_of(self, sender, receiver, size):
        """Returns the seconds until a message arrives."""
        return LATENCY_S

    def add_gossip_node(self, name, data_centre, *, incarnation=1):
        node = FakeGossipNode(self, name, data_centre, incarnation)
        self.nodes[name] = node
        return node

    def add(self, name, data_centre="lima-1", *, incarnation=1, degree=3):
        node = FakeNode(self, name, data_centre, incarnation, degree)
        self.nodes[name] = node
        return node

    def connect(self, dialer, link, address):
        acceptor = self.nodes.get(address)
        opener = self.nodes.get(dialer.node)
        if (
            acceptor is None
            or opener is None
            or self._is_partitioned(opener, acceptor)
        ):
            link.mark_closed()
            return
        link.other = FakeLink(self, acceptor.mesh, acceptor.name)
        link.other.other = link
        self.links.append((opener, acceptor, link))
        acceptor.mesh.link_opened(link.other)
        link.handler.link_opened(link)

    def _is_partitioned(self, opener, acceptor):
        return (
            frozenset({opener.data_centre, acceptor.data_centre})
            in self.partitions
            or frozenset({opener.name, acceptor.name}) in self.cut_pairs
        )

    def partition(self, one, other):
        self.partitions.add(frozenset({one, other}))
        for opener, acceptor, link in self.links:
            if self._is_partitioned(opener, acceptor):
                link.mark_closed()
                link.other.mark_closed()

    def cut(self, one, other):
        """Closes the link between two nodes, and prevents another one."""
        self.cut_pairs.add(frozenset({one, other}))
        for opener, acceptor, link in self.links:
            if {opener.name, acceptor.name} == {one, other}:
                link.mark_closed()
                link.other.mark_closed()

    def kill(self, name):
        self.nodes.pop(name)
        for opener, acceptor, link in self.links:
            if name in (opener.name, acceptor.name):
                link.mark_closed()
                link.other.mark_closed()

    def append(self, body, record_id=None):
        offset = len(self.log)
        text = encode_record(Envelope(id=record_id or f"r{offset}", body=body))
        self.log.append(RawRecord(offset=offset, body=text))

    def apply_log(self, *names):
        """Applies the log to the named nodes, as relays that read it."""
        for name in names:
            node = self.nodes[name]
            node.state_store.apply_records(self.log)
            node.state_store.mark_synced()

    def run(self, seconds):
        for index in range(round(seconds / 0.01)):
            self.clock.advance(0.01)
            if index % 25 == 0:
                for name, node in tuple(self.nodes.items()):
                    if name not in self.frozen:
                        node.mesh.reconcile()


class FakeNode:
    """A node's mesh with its state store and facts."""

    def __init__(self, net, name, data_centre, incarnation, degree):
        self.name = name
        self.data_centre = data_centre
        self.versions = []
        self.new_facts = []
        self.facts = FactStore()
        self.state_store = StateStore(
            on_outcome=lambda outcome: None, on_advance=self.on_advance
        )
        self.mesh = Mesh(
            clock=net.clock,
            rng=net.rng,
            node=name,
            holder_id=f"{name}/{incarnation}",
            data_centre=data_centre,
            mesh_address=name,
            seeds=(),
            degree=degree,
            dialer=FakeDialer(net, name),
            state_store=self.state_store,
            facts=self.facts,
            metrics=Metrics(),
            on_new_fact=self.new_facts.append,
            on_position_change=lambda: None,
            on_claim_request=lambda request: None,
        )

    def on_advance(self, before):
        self.versions.append(self.state_store.state.version)
        self.mesh.forward_updates(before)


class FakeGossipNode:
    """A node's gossip with its facts, in a fleet without relays."""

    def __init__(self, net, name, data_centre, incarnation):
        self.name = name
        self.data_centre = data_centre
        self.new_facts = []
        self.readers = frozenset()
        self.document = None
        self.facts = FactStore()
        self.mesh = Gossip(
            clock=net.clock,
            rng=net.rng,
            node=name,
            incarnation=incarnation,
            data_centre=data_centre,
            mesh_address=name,
            dialer=FakeDialer(net, name),
            facts=self.facts,
            metrics=Metrics(),
            current_document=lambda: self.document,
            on_document=self.receive_document,
            on_new_fact=self.new_facts.append,
            evidence_readers=lambda: self.readers,
        )

    def receive_document(self, document):
        self.document = document
