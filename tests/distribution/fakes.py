"""A fake of the links between nodes: messages cross, or are cut."""

import random

from twisted.internet.task import Clock

from fulmarrudder.distribution import Mesh, StateStore
from fulmarrudder.distribution.codec import decode, encode
from fulmarrudder.log import Envelope, RawRecord
from fulmarrudder.log import encode as encode_record
from fulmarrudder.membership import FactStore
from fulmarrudder.observe import Metrics

LATENCY_S = 0.002


class FakeLink:
    """One side of a link; what is sent crosses the real codec."""

    def __init__(self, net, handler):
        self.net = net
        self.handler = handler
        self.other = None
        self.closed = False
        self.node = ""
        self.data_centre = ""

    def send(self, message):
        self.send_encoded(encode(message))

    def send_encoded(self, data):
        if self.closed:
            return
        self.net.bytes += len(data)
        self.net.clock.callLater(LATENCY_S, self.other.arrive, data)

    def arrive(self, data):
        if not self.closed:
            self.handler.link_message(self, decode(data).ok)

    def close(self):
        if self.closed:
            return
        self.net.clock.callLater(0, self.gone)
        self.net.clock.callLater(LATENCY_S, self.other.gone)

    def gone(self):
        if not self.closed:
            self.closed = True
            self.handler.link_closed(self)


class FakeDialer:
    """Dials for one node."""

    def __init__(self, net, node):
        self.net = net
        self.node = node
        self.token = b""

    def dial(self, address, handler):
        link = FakeLink(self.net, handler)
        self.net.clock.callLater(LATENCY_S, self.net.join, self, link, address)
        return link


class Net:
    """Nodes and the links among them, on a fake clock.

    Attributes:
        log: Raw records as the log has ordered them.
        cut: Pairs of data centres that cannot reach each other.
    """

    def __init__(self, seed=1):
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.members = {}
        self.links = []
        self.log = []
        self.cut = set()
        self.bytes = 0

    def add(self, name, place="lima-1", *, incarnation=1, degree=3):
        member = Member(self, name, place, incarnation, degree)
        self.members[name] = member
        return member

    def join(self, dialer, link, address):
        target = self.members.get(address)
        source = self.members.get(dialer.node)
        if target is None or source is None or self._is_cut(source, target):
            link.gone()
            return
        link.other = FakeLink(self, target.mesh)
        link.other.other = link
        self.links.append((source, target, link))
        target.mesh.link_opened(link.other)
        link.handler.link_opened(link)

    def _is_cut(self, source, target):
        return frozenset({source.place, target.place}) in self.cut

    def cut_off(self, one, other):
        self.cut.add(frozenset({one, other}))
        for source, target, link in self.links:
            if self._is_cut(source, target):
                link.gone()
                link.other.gone()

    def kill(self, name):
        self.members.pop(name)
        for source, target, link in self.links:
            if name in (source.name, target.name):
                link.gone()
                link.other.gone()

    def append(self, body, record_id=None):
        offset = len(self.log)
        text = encode_record(Envelope(id=record_id or f"r{offset}", body=body))
        self.log.append(RawRecord(offset=offset, body=text))

    def feed(self, *names):
        for name in names:
            member = self.members[name]
            member.state_store.apply_records(self.log)
            member.state_store.mark_synced()

    def run(self, seconds):
        for index in range(round(seconds / 0.01)):
            self.clock.advance(0.01)
            if index % 25 == 0:
                for member in tuple(self.members.values()):
                    member.mesh.reconcile()


class Member:
    """A node's mesh with its holder and facts."""

    def __init__(self, net, name, place, incarnation, degree):
        self.name = name
        self.place = place
        self.versions = []
        self.news = []
        self.facts = FactStore()
        self.state_store = StateStore(
            on_outcome=lambda outcome: None, on_advance=self.forward_updates
        )
        self.mesh = Mesh(
            clock=net.clock,
            rng=net.rng,
            node=name,
            holder_id=f"{name}/{incarnation}",
            data_centre=place,
            mesh_address=name,
            seeds=(),
            degree=degree,
            dialer=FakeDialer(net, name),
            state_store=self.state_store,
            facts=self.facts,
            metrics=Metrics(),
            on_new_fact=self.news.append,
            on_position_change=lambda: None,
            on_claim_request=lambda nominate: None,
        )

    def forward_updates(self, before):
        self.versions.append(self.state_store.state.version)
        self.mesh.forward_updates(before)
