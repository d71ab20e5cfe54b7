"""Nodes that join the fleet do not displace those that decide on moves."""

import dataclasses

import pytest

from fulmarrudder.model import Condition, Presence
from tests.platform.test_http import new_node


def presence(name, incarnation, condition=Condition.READY):
    return Presence(
        node=name,
        incarnation=incarnation,
        sequence=1,
        data_centre="lima-1",
        call_address=f"{name}:1",
        mesh_address=f"{name}:2",
        service="caja",
        target_version="v1",
        condition=condition,
    )


@pytest.fixture
def node():
    node = new_node()
    for index in range(6):
        node.facts.merge(presence(f"m{index}", 1000 + index), 0.0)
    return node


# Each node that joined with a low id became a candidate: the lease changed its holder
# ten times in a move of 16 s, and nobody held it for 9 s (esfera-lima trouble-2, seed
# 645050742271).
def test_nodes_that_join_displace_no_candidate(node):
    before = node.controller_candidates()
    assert before == {"m0", "m1", "m2", "m3"}
    for index in range(4):
        node.facts.merge(presence(f"a{index}", 2000 + index), 0.0)
        assert node.controller_candidates() == before


def test_candidate_that_leaves_is_replaced_by_the_next_oldest(node):
    leaving = dataclasses.replace(
        presence("m1", 1001, Condition.LEAVING), sequence=2
    )
    node.facts.merge(leaving, 0.0)
    assert node.controller_candidates() == {"m0", "m2", "m3", "m4"}
    # It comes back as the youngest.
    node.facts.merge(presence("m1", 3000), 0.0)
    assert node.controller_candidates() == {"m0", "m2", "m3", "m4"}
