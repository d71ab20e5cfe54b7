"""Evacuations reach every node that understands them."""

import pytest
from twisted.internet.task import Clock

from fulmarrudder.distribution.guard import unguarded
from fulmarrudder.distribution.message import PROTOCOL
from fulmarrudder.distribution.outbox import Outbox
from fulmarrudder.model import Evacuation, SourceEra
from tests.distribution.test_gossip import running_fleet

EVACUATED = Evacuation(data_centre="b", offset=7, in_force=True)
ENDED = Evacuation(data_centre="b", offset=9, in_force=False)


def evacuated_at(net):
    return {name for name, n in net.nodes.items() if n.facts.evacuated}


# The store was away from two data centres: they hear of it from the third alone.
def test_nodes_without_a_store_hear_of_an_evacuation_from_the_others():
    net = running_fleet(size=4, data_centres="abc")
    for node in net.nodes.values():
        if node.data_centre == "a":
            node.mesh.broadcast(EVACUATED)
    net.run(0.2)
    assert evacuated_at(net) == set(net.nodes)
    for node in net.nodes.values():
        if node.data_centre == "a":
            node.mesh.broadcast(ENDED)
    net.run(0.2)
    assert not evacuated_at(net)


def test_data_centre_that_was_cut_off_hears_of_the_end():
    net = running_fleet(size=4, data_centres="abc")
    for node in net.nodes.values():
        node.mesh.broadcast(EVACUATED)
    for other in "ab":
        net.partition(other, "c")
    for node in net.nodes.values():
        if node.data_centre != "c":
            node.mesh.broadcast(ENDED)
    net.run(1.0)
    assert evacuated_at(net) == {n for n in net.nodes if n.startswith("c")}
    net.partitions.clear()
    net.run(15.0)
    assert not evacuated_at(net)


class RecordingLink:
    """A link that records the facts that are sent on it."""

    def __init__(self, protocol):
        self.protocol = protocol
        self.facts = []

    def send(self, message):
        self.facts += message.facts


# A node of an older build closes a link on which it gets an unknown fact.
@pytest.mark.parametrize("protocol", range(PROTOCOL + 1))
@pytest.mark.parametrize("fact", [EVACUATED, ENDED, SourceEra(number=2)])
def test_only_nodes_that_understand_a_fact_are_told(protocol, fact):
    link = RecordingLink(protocol)
    outbox = Outbox(Clock(), unguarded, lambda link, fact: True)
    outbox.add(link, fact, is_own=True)
    outbox.flush()
    outbox.send(link, [fact])
    assert link.facts == ([fact] * 2 if protocol >= 2 else [])
