"""Facts cross the links of a fleet without relays in few copies."""

import statistics

from fulmarrudder.distribution import Document, Peer
from fulmarrudder.distribution.document_exchange import DOCUMENT_TIMEOUT_S
from fulmarrudder.distribution.message import VACANCY_PROTOCOL, Vacancy
from fulmarrudder.model import Brake, Condition, Evidence, Presence, Tally
from tests.distribution.fakes import FakeNetwork

CONTROL_BYTES_PER_S = 4096
LOCAL_COPIES = 3


def running_fleet(size=10, data_centres="ab"):
    """Returns a network of nodes that are linked and know each other."""
    net = FakeNetwork()
    for data_centre in data_centres:
        for index in range(size):
            net.add_gossip_node(f"{data_centre}-{index:02}", data_centre)
    peers = {
        name: Peer(node=name, data_centre=node.data_centre, mesh_address=name)
        for name, node in net.nodes.items()
    }
    for node in net.nodes.values():
        node.mesh.directory_peers.update(peers)
        node.mesh.broadcast(presence_of(node))
    net.run(5.0)
    return net


def presence_of(node, sequence=1):
    return Presence(
        node=node.name,
        incarnation=1,
        sequence=sequence,
        data_centre=node.data_centre,
        call_address=node.name,
        mesh_address=node.name,
        service="vitrina",
        target_version="v1",
        condition=Condition.READY,
        slots=3,
    )


def evidence_of(node, sequence):
    tally = Tally(
        service="vitrina",
        target_version="v1",
        route="catalogo-consulta",
        requests=10 * sequence,
        failures=sequence,
        latency_buckets=tuple(range(16)),
    )
    return Evidence(
        source=node.name, incarnation=1, sequence=sequence, tallies=(tally,)
    )


def some_brake(reason="slow"):
    return Brake(
        move="vitrina/v2",
        service="vitrina",
        target_version="v2",
        route="",
        reason=reason,
    )


# Each node of a data centre passed each fact on to all others there, so that
# 79 nodes that sent evidence filled every link and requests waited behind it.
def test_evidence_of_a_large_service_keeps_control_bytes_of_nodes_small():
    net = running_fleet()
    net.bytes_by_node.clear()
    seconds = 3
    for sequence in range(1, 1 + 2 * seconds):
        for node in net.nodes.values():
            node.mesh.broadcast(evidence_of(node, sequence))
        net.run(0.5)
    per_second = [
        net.bytes_by_node[name] / seconds for name in sorted(net.nodes)
    ]
    assert statistics.median(per_second) <= CONTROL_BYTES_PER_S


# The same, for presences while many nodes join.
def test_a_node_receives_a_presence_once_and_from_each_gateway():
    net = running_fleet()
    net.copies.clear()
    for node in net.nodes.values():
        node.mesh.broadcast(presence_of(node, sequence=2))
    net.run(1.0)
    assert all(
        node.facts.presence_of(name).sequence == 2
        for node in net.nodes.values()
        for name in net.nodes
    )
    total = len(net.nodes) ** 2
    assert sum(net.copies.values()) <= LOCAL_COPIES * total


# Gateways make up for a link that is missing.
def test_a_brake_reaches_a_node_whose_link_to_its_sender_is_cut():
    net = running_fleet(size=6, data_centres="ab")
    net.cut("a-03", "a-04")
    net.run(0.1)
    net.nodes["a-03"].mesh.broadcast(some_brake())
    net.run(0.1)
    assert all(node.facts.brakes for node in net.nodes.values())


# Each node passed a brake on to all others of its data centre.
def test_a_brake_is_sent_by_its_source_and_by_gateways_only():
    net = running_fleet()
    net.copies.clear()
    net.nodes["a-03"].mesh.broadcast(some_brake())
    net.run(0.2)
    senders = {sender for sender, _ in net.copies}
    assert senders == {"a-03", "a-00", "a-01", "b-00", "b-01"}


# Evidence went to every node; it must still reach those that decide.
def test_evidence_of_another_data_centre_reaches_gateways_and_readers():
    net = running_fleet(size=6)
    for node in net.nodes.values():
        node.readers = frozenset({"a-03"})
    net.run(0.3)
    net.nodes["b-04"].mesh.broadcast(evidence_of(net.nodes["b-04"], 1))
    net.run(0.3)
    informed = {
        name for name, node in net.nodes.items() if node.facts.all_of(Evidence)
    }
    assert informed == {"a-00", "a-01", "a-03", "b-00", "b-01"}
    assert {n for n in net.nodes if net.nodes[n].mesh.reads_evidence()} == {
        "a-00",
        "a-01",
        "a-03",
        "b-00",
        "b-01",
    }


# A node that joined got all facts from each of its neighbours, and sent them
# all back.
def test_a_node_that_joins_gets_known_presences_from_gateways_only():
    net = running_fleet(size=10)
    net.copies.clear()
    joined = net.add_gossip_node("a-50", "a")
    joined.mesh.directory_peers.update(net.nodes["a-05"].mesh.directory_peers)
    joined.mesh.broadcast(presence_of(joined))
    net.run(2.0)
    assert len(joined.facts.all_of(Presence)) == len(net.nodes)
    received = sum(
        count for (_, to), count in net.copies.items() if to == "a-50"
    )
    assert received <= LOCAL_COPIES * len(net.nodes)


# A node without configuration asked each neighbour for it, and the answers,
# 134 KB each, filled its link for seconds.
def test_a_node_that_joins_gets_the_configuration_once():
    net = running_fleet(size=8)
    for node in net.nodes.values():
        node.document = Document(version=3, text="{}")
    joined = net.add_gossip_node("a-50", "a")
    joined.mesh.directory_peers.update(net.nodes["a-05"].mesh.directory_peers)
    net.run(2.0)
    assert joined.document == Document(version=3, text="{}")
    assert net.documents["a-50"] == 1


# Nodes that the store refused asked every 0.2 s, and got further copies while
# the first was still on a slow link.
def test_no_second_document_is_requested_while_one_is_awaited():
    net = running_fleet(size=4)
    asker = net.nodes["a-03"]
    for node in net.nodes.values():
        if node is not asker:
            node.document = Document(version=3, text="{}")
    for _ in range(5):
        asker.mesh.request_document()
    net.run(0.1)
    assert net.documents["a-03"] == 1


# Guards the above: nodes that do not answer must not end the search.
def test_a_document_is_requested_again_after_its_timeout():
    net = running_fleet(size=4)
    asker = net.nodes["a-03"]
    for node in net.nodes.values():
        if node is not asker:
            node.document = Document(version=3, text="{}")
    links = tuple(asker.mesh.links.values())
    for link in links:
        link.other.closed = True
    asker.mesh.request_document()
    net.run(DOCUMENT_TIMEOUT_S / 2)
    for link in links:
        link.other.closed = False
    asker.mesh.request_document()
    net.run(DOCUMENT_TIMEOUT_S / 2 + 0.01)
    assert net.documents["a-03"] == 0
    asker.mesh.request_document()
    net.run(0.1)
    assert net.documents["a-03"] == 1


# Guards the same: neighbours that know nothing newer must not delay it.
def test_a_neighbour_without_a_newer_document_ends_the_wait():
    net = running_fleet(size=4)
    asker = net.nodes["a-03"]
    asker.mesh.request_document()
    net.run(0.02)
    assert asker.mesh.documents.source is None


# A node woke up for each fact that it received, with nothing to send.
def test_a_node_that_forwards_nothing_schedules_no_flush():
    net = running_fleet(size=4)
    source, receiver = net.nodes["a-03"], net.nodes["a-02"]
    source.mesh.broadcast(presence_of(source, sequence=2))
    while receiver.facts.presence_of("a-03").sequence < 2:
        net.clock.advance(0.001)
    assert receiver.mesh.outbox.flush_timer is None


# Nodes of an older build close a link on which an unknown message arrives.
def test_vacancy_goes_to_one_node_of_the_data_centre_that_understands_it():
    net = running_fleet(3)
    heard = []
    for name, node in net.nodes.items():
        node.mesh.on_vacancy = lambda sender, vacancy, name=name: heard.append(
            (name, sender, vacancy)
        )
    teller = net.nodes["a-00"].mesh
    vacancy = Vacancy(slowness=140)
    teller.links["a-02"].protocol = VACANCY_PROTOCOL - 1
    assert teller.tell_vacancy("a-01", vacancy)
    assert not teller.tell_vacancy("a-02", vacancy)
    assert not teller.tell_vacancy("b-00", vacancy)
    assert not teller.tell_vacancy("unknown", vacancy)
    net.run(0.1)
    assert heard == [("a-01", "a-00", vacancy)]
