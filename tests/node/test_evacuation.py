"""A data centre gets nothing while its evacuation is in force."""

import dataclasses

import pytest

from fulmarrudder.membership.announce import WARM_TIMEOUT_S
from fulmarrudder.model import Evacuation
from fulmarrudder.platform.operator_records import OperatorRecords
from fulmarrudder.platform.store import KeyedRecord
from tests.node.fakes import new_node
from tests.platform.test_http import send_heartbeat

OWN, OTHER = "lima-1", "lima-2"


def applied(*records):
    """Returns a node that was told of the operator's records, in order."""
    node = new_node()
    operator_records = OperatorRecords(None, node.clock)
    operator_records.node = node
    for data_centre, value, offset in records:
        operator_records.apply_record(
            KeyedRecord(
                key=f"evacuate/{data_centre}", value=value, offset=offset
            )
        )
    return node


@pytest.mark.parametrize(
    ("records", "evacuated"),
    [
        ([(OTHER, b"{}", 5)], {OTHER}),
        ([(OTHER, b"{}", 5), (OWN, b"{}", 6)], {OTHER, OWN}),
        ([(OTHER, b"{}", 5), (OTHER, None, 6)], set()),
        ([(OTHER, None, 6), (OTHER, b"{}", 5)], set()),
        ([(OTHER, b"{}", 5), (OTHER, None, 6), (OTHER, b"{}", 7)], {OTHER}),
        ([(OTHER, b"{}", 5), (OTHER, None, 5)], set()),
        ([("nowhere", b"{}", 5)], {"nowhere"}),
        ([(OTHER, b"\xff", 5)], {OTHER}),
        ([(OTHER, b"", 5)], set()),
        ([("", b"{}", 5)], set()),
    ],
)
def test_latest_record_of_a_data_centre_counts(records, evacuated):
    assert applied(*records).facts.evacuated == evacuated


# The store was away; what a neighbour tells is all that the node hears.
def test_neighbour_tells_of_an_evacuation_and_of_its_end():
    node = new_node()
    send_heartbeat(node, 1)
    evacuation = Evacuation(data_centre=OWN, offset=5, in_force=True)
    node.gossip.broadcast(evacuation)
    assert node.host.is_evacuated
    node.gossip.broadcast(Evacuation(data_centre=OWN, offset=6, in_force=False))
    node.gossip.broadcast(evacuation)
    assert not node.host.is_evacuated
    assert node.local_target.presumed_cold
    send_heartbeat(node, 2)
    assert not node.local_target.presumed_cold


# Each read of the latest records tells a deletion again.
def test_end_that_is_told_again_changes_nothing():
    node = applied((OWN, b"{}", 5), (OWN, None, 6))
    send_heartbeat(node, 1)
    node.evacuations.request(OWN, 40, in_force=False)
    assert not node.local_target.presumed_cold
    node.evacuations.request(OWN, 41, in_force=True)
    assert node.host.is_evacuated


# A node that restarts learns of targets before it has read the records, or after.
@pytest.mark.parametrize("told_first", [False, True])
def test_endpoints_leave_out_evacuated_data_centres(told_first):
    node = new_node()
    for name, place in (("n2", OWN), ("n3", OTHER)):
        if told_first:
            node.evacuations.request(OTHER, 5, in_force=True)
        presence = dataclasses.replace(
            node.presence_broadcaster.base,
            node=name,
            data_centre=place,
            service="libro",
        )
        node.facts.merge(presence, 0.0)
        node.facts.endpoints_of("libro")
    node.evacuations.request(OTHER, 5, in_force=True)
    assert [p.node for p in node.facts.endpoints_of("libro")] == ["n2"]
    node.evacuations.request(OTHER, 6, in_force=False)
    assert len(node.facts.endpoints_of("libro")) == 2


# Others send what the target offers.
def test_presence_offers_few_slots_while_the_target_may_be_cold():
    node = new_node()
    node.host.cold.per_s_by_service = {"caja": 12.0}
    send_heartbeat(node, 1)
    offered = node.presence_broadcaster.last_sent.slots
    node.clock.advance(WARM_TIMEOUT_S)
    node.refresh_presence()
    assert node.presence_broadcaster.last_sent.slots < offered
