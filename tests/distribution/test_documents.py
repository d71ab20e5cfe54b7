"""A node receives one document at a time, on links that stay."""

import pytest

from fulmarrudder.distribution.document_exchange import (
    DOCUMENT_LIMIT_S,
    DOCUMENT_TIMEOUT_S,
    SENDING_LIMIT_S,
    STORE_GRACE_S,
)
from fulmarrudder.distribution.message import ResyncRequest
from tests.distribution.fakes import LATENCY_S
from tests.distribution.traffic import (
    DOCUMENT_CHARACTERS,
    THIN_LINK_BYTES_PER_S,
    TrafficNetwork,
    document,
    linked_fleet,
)

ASKER = "ate-03"
POLL_PERIOD_S = 0.2
# The stated bound within which a version is in force.
CONFIG_APPLY_S = 2.5


def fleet_with_documents(size, *, without=(ASKER,), version=3):
    net = linked_fleet(size)
    for name, node in net.nodes.items():
        if name not in without:
            node.document = document(version)
    return net


def poll(net, seconds, names=(ASKER,)):
    """Runs while nodes that the store refuses ask their neighbours."""
    for _ in range(round(seconds / POLL_PERIOD_S)):
        for name in names:
            net.nodes[name].mesh.request_document()
        net.run(POLL_PERIOD_S)


def version_of(net, name=ASKER):
    held = net.nodes[name].document
    return held.version if held else 0


# Nodes that joined asked on links that were closed at once, as both sides had
# dialled, and then asked others while the first copy filled the links.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nodes_that_join_receive_one_document_each(seed):
    net = TrafficNetwork(8, start=False)
    net.rng.seed(seed)
    joining = {name for name in net.places if name[-1] in "0567"}
    net.start_nodes(name for name in net.places if name not in joining)
    for node in net.nodes.values():
        for name in joining:
            del node.mesh.directory_peers[name]
    net.run(5.0)
    running = tuple(net.nodes.values())
    net.bytes_per_s = THIN_LINK_BYTES_PER_S
    net.start_nodes(sorted(joining))
    for node in running:
        node.document = document(3)
        node.mesh.directory_peers.update(
            net.nodes["surco-00"].mesh.directory_peers
        )
    for name in joining:
        net.nodes[name].mesh.reconcile()
    # Both sides dial before they hear of each other.
    net.clock.pump([LATENCY_S / 2] * 3)
    for node in running:
        node.mesh.reconcile()
    net.clock.pump([LATENCY_S / 2] * 20)
    poll(net, 6.0, joining)
    assert {version_of(net, name) for name in joining} == {3}
    assert {net.documents[name] for name in joining} == {1}


# Guards the same, where links break and open while documents are under way.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_two_documents_are_under_way_to_a_node(seed):
    asking = {"ate-03", "ate-00", "brena-02", "surco-03"}
    net = fleet_with_documents(4, without=asking)
    net.rng.seed(seed)
    net.bytes_per_s = THIN_LINK_BYTES_PER_S / 8
    for index in range(20):
        poll(net, 0.4, asking)
        if index % 3 == 0:
            net.reset_all_links()
    poll(net, 2 * DOCUMENT_LIMIT_S, asking)
    assert {version_of(net, name) for name in asking} == {3}
    assert max(net.most_documents.values()) == 1


def activate(net, name, version):
    """Lets a node activate a version that it has read from the store."""
    if version_of(net, name) < version:
        net.nodes[name].document = document(version)
        net.nodes[name].mesh.tell_version()


# Three of 80 nodes had a version 5 s after the others: their reads of the store
# had begun at the moment at which it was appended, and were not answered.
@pytest.mark.parametrize("silent", [ASKER, "ate-00"])
def test_a_node_whose_read_is_not_answered_gets_the_version_in_time(silent):
    net = fleet_with_documents(20, without=())
    net.bytes_per_s = THIN_LINK_BYTES_PER_S
    for name in net.nodes:
        if name != silent:
            activate(net, name, 4)
    net.run(CONFIG_APPLY_S)
    assert version_of(net, silent) == 4
    assert net.documents == {silent: 1}


# A change on its heels put off the request for the one before.
def test_changes_in_a_row_put_off_no_request():
    net = fleet_with_documents(4, without=())
    for version in range(4, 10):
        for name in net.nodes:
            if name != ASKER:
                activate(net, name, version)
        net.run(CONFIG_APPLY_S / 5)
    assert version_of(net) > 3


# A node on a full link that received one version after another from the store
# received copies of them from its neighbours as well, and all came late.
@pytest.mark.parametrize("period_s", [0.3, 0.45])
def test_a_node_that_advances_asks_for_no_copies(period_s):
    net = fleet_with_documents(4, without=())
    for version in range(4, 30):
        for name in net.nodes:
            if name != ASKER:
                activate(net, name, version)
        activate(net, ASKER, version - 2)
        net.run(period_s)
    assert not net.documents


def test_a_node_whose_version_is_arriving_asks_for_no_copy():
    net = fleet_with_documents(4, without=())
    exchange = net.nodes[ASKER].mesh.documents
    exchange.is_receiving = lambda: True
    for name in net.nodes:
        if name != ASKER:
            activate(net, name, 4)
    net.run(2 * CONFIG_APPLY_S)
    assert not net.documents
    exchange.is_receiving = lambda: False
    net.run(CONFIG_APPLY_S)
    assert version_of(net) == 4


# Guards against copies of the document for nodes that are about to read it.
def test_a_version_that_arrives_from_the_store_is_asked_of_nobody():
    net = fleet_with_documents(20, without=())
    net.bytes_by_node.clear()
    for name in net.nodes:
        net.call_later(
            net.rng.uniform(0.0, STORE_GRACE_S / 2), activate, net, name, 4
        )
    net.run(CONFIG_APPLY_S)
    assert not net.documents
    gateways = net.nodes[ASKER].mesh.topology.gateways
    assert set(net.bytes_by_node) <= gateways


# A document that took longer than its timeout was asked of further neighbours,
# whose copies made it take longer still.
def test_a_document_on_a_slow_link_is_not_asked_of_others():
    net = fleet_with_documents(4)
    net.bytes_per_s = DOCUMENT_CHARACTERS / (3 * DOCUMENT_TIMEOUT_S)
    poll(net, 5 * DOCUMENT_TIMEOUT_S)
    assert version_of(net) == 3
    assert net.documents[ASKER] == 1


# What a frozen neighbour sends once it goes on would be a second copy.
def test_a_frozen_neighbour_delays_a_document_and_sends_none_later():
    net = fleet_with_documents(4)
    for name in net.nodes:
        if name != ASKER:
            net.freeze(name)
    net.nodes[ASKER].mesh.request_document()
    asked = net.nodes[ASKER].mesh.documents.source.node
    net.run(0.1)
    for name in tuple(net.frozen):
        if name != asked:
            net.thaw(name)
    poll(net, DOCUMENT_TIMEOUT_S / 2)
    assert version_of(net) == 0
    poll(net, DOCUMENT_TIMEOUT_S)
    assert version_of(net) == 3
    net.thaw(asked)
    net.run(3.0)
    assert net.documents[ASKER] == 1
    assert asked in net.nodes[ASKER].mesh.links


# A node that was frozen itself took its neighbour for silent, and asked another,
# before it handled what had arrived.
def test_a_node_that_was_frozen_handles_a_document_that_arrived():
    net = fleet_with_documents(4)
    mesh = net.nodes[ASKER].mesh
    mesh.request_document()
    net.freeze(ASKER)
    net.run(3 * DOCUMENT_TIMEOUT_S)
    mesh.reconcile()
    mesh.request_document()
    net.thaw(ASKER)
    poll(net, 2 * DOCUMENT_TIMEOUT_S)
    assert version_of(net) == 3
    assert net.documents[ASKER] == 1


def test_a_neighbour_that_closes_is_followed_by_another():
    net = fleet_with_documents(4)
    net.bytes_per_s = THIN_LINK_BYTES_PER_S / 4
    net.nodes[ASKER].mesh.request_document()
    net.run(0.1)
    net.kill(net.nodes[ASKER].mesh.documents.source.node)
    poll(net, 3.0)
    assert version_of(net) == 3
    assert net.documents[ASKER] == 2
    assert net.most_documents[ASKER] == 1


def test_a_neighbour_with_an_older_version_is_followed_by_another():
    net = fleet_with_documents(4, version=2)
    net.nodes[ASKER].document = document(2)
    net.nodes["ate-01"].document = document(3)
    poll(net, 4.0)
    assert version_of(net) == 3
    assert net.documents[ASKER] == 1


# A node that refuses what it received asked for it again five times a second.
def test_a_document_that_was_refused_is_not_received_again():
    net = fleet_with_documents(4)
    mesh = net.nodes[ASKER].mesh
    mesh.documents.on_document = lambda received: None
    poll(net, 3.0)
    assert net.documents[ASKER] == 1
    mesh.documents.on_document = net.nodes[ASKER].receive_document
    net.nodes["ate-01"].document = document(4)
    poll(net, 4.0)
    assert version_of(net) == 4


# Guards the above: a link on which facts arrive but no answer is not waited
# for without end.
def test_a_neighbour_that_never_answers_is_given_up():
    net = fleet_with_documents(4, without=(ASKER, "ate-00", "ate-01"))
    mesh = net.nodes[ASKER].mesh
    silent = net.nodes["ate-02"]
    silent.mesh.documents.answer = lambda request, link: None
    for link in tuple(mesh.documents.offers):
        if link.node != "ate-02":
            mesh.documents.withdraw_offer(link)
    mesh.documents.request_any()
    link = mesh.documents.source
    for sequence in range(2, 2 + round(DOCUMENT_LIMIT_S / POLL_PERIOD_S)):
        assert mesh.documents.source is link
        net.announce("ate-02", sequence=sequence)
        net.run(POLL_PERIOD_S)
    net.run(0.5)
    assert link.closed


# A node that alone had a newer version sent it to all who asked at once.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_node_sends_one_document_at_a_time(seed):
    net = fleet_with_documents(10, version=2, without=())
    net.rng.seed(seed)
    net.nodes["ate-05"].document = document(3)
    net.bytes_per_s = THIN_LINK_BYTES_PER_S
    poll(net, 8.0, net.nodes)
    assert {version_of(net, name) for name in net.nodes} == {3}
    assert max(net.most_documents_sent.values()) == 1
    assert max(net.most_documents.values()) == 1


# Guards the above: a node that does not tell that it has received a document,
# as one of the previous build, must not keep others from it.
def test_a_receiver_that_is_silent_does_not_keep_others_from_a_document():
    net = fleet_with_documents(4, without=("ate-02", "ate-03"))
    for name in ("ate-00", "ate-01"):
        net.nodes[name].document = None
    holder = net.nodes["ate-00"]
    holder.document = document(3)
    net.nodes["ate-02"].mesh.documents.receive = lambda received, link: None
    asked = net.nodes["ate-02"].mesh.links["ate-00"]
    asked.send(ResyncRequest(offset=0, digest=""))
    net.run(0.1)
    poll(net, 4 * SENDING_LIMIT_S)
    assert version_of(net) == 3
