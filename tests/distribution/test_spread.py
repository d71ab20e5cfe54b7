"""Evacuations reach every node that understands them."""

import pytest

from fulmarrudder.distribution.message import EVACUATION_PROTOCOL
from fulmarrudder.distribution.spread import (
    Hop,
    is_forwarded,
    is_sent_on_open,
)
from fulmarrudder.model import Evacuation
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


# A node of an older build closes a link on which it gets an unknown fact.
@pytest.mark.parametrize("protocol", range(EVACUATION_PROTOCOL + 1))
def test_only_nodes_that_understand_evacuations_are_told(protocol):
    hop = Hop(
        is_own=True,
        from_gateway=True,
        to_gateway=True,
        to_reader=False,
        protocol=protocol,
    )
    understands = protocol >= EVACUATION_PROTOCOL
    assert is_forwarded(EVACUATED, hop) is understands
    assert is_sent_on_open(EVACUATED, hop) is understands
