"""A target that has left is not used again after its node has restarted."""

import dataclasses

import pytest

from fulmarrudder.distribution import Peer
from fulmarrudder.membership import Announcement
from fulmarrudder.model import Condition
from tests.distribution.fakes import FakeNetwork
from tests.platform.test_http import new_node

DATA_CENTRE = "lima-1"


def announcement(sequence=1, condition=Condition.READY, **fields):
    return Announcement(
        **{
            "service": "caja",
            "target_version": "v1",
            "address": "10.0.0.1:80",
            "incarnation": 1000,
            "sequence": sequence,
            "condition": condition,
            "slots": 3,
            "connections": 10,
            "id": "i-1",
            **fields,
        }
    )


class Scene:
    """A node beside a target, and another one that knows of it."""

    def __init__(self):
        self.other = new_node()
        self.node = self.start(incarnation=5)

    def start(self, incarnation):
        """Returns the node after a start; it knows nothing of before."""
        node = new_node()
        node.incarnation = incarnation
        broadcaster = node.presence_broadcaster
        broadcaster.incarnation = incarnation
        broadcaster.base = dataclasses.replace(
            broadcaster.base, node="m1", incarnation=incarnation
        )
        broadcaster.broadcast = self.send
        return node

    def send(self, presence):
        self.other.facts.merge(presence, self.other.clock.seconds())

    def restart(self):
        self.node = self.start(incarnation=9)

    def remind(self):
        """Sends what the other node tells on the new link."""
        told = self.other.facts.departures.of_node(
            "m1", self.other.clock.seconds()
        )
        if told is not None:
            self.node.recall_departure(told)

    def known(self):
        return self.other.facts.presence_of("m1").condition


@pytest.fixture
def scene():
    scene = Scene()
    scene.node.apply_announcement(announcement())
    return scene


# Guards the scene: another node uses the target.
def test_announced_target_is_ready(scene):
    assert scene.known() is Condition.READY


# A restarted node forgot that its target had deregistered, and took the announcement
# that was under way for a ready target's.
@pytest.mark.parametrize("heartbeat_first", [False, True])
def test_target_that_left_before_its_node_restarted_stays_leaving(
    scene, heartbeat_first
):
    scene.node.target_leaves()
    assert scene.known() is Condition.LEAVING
    scene.restart()
    if heartbeat_first:
        scene.node.apply_announcement(announcement(2))
        # Other nodes remember it, whatever its own node says.
        assert scene.known() is Condition.LEAVING
    scene.remind()
    scene.node.apply_announcement(announcement(3))
    assert scene.node.local_target.condition is Condition.LEAVING
    assert scene.known() is Condition.LEAVING


# A node that is stopped alone says that it leaves, and its target does not.
def test_target_is_used_again_after_only_its_node_restarted(scene):
    scene.node.host.leaving = True
    scene.node.refresh_presence()
    assert scene.known() is Condition.LEAVING
    scene.restart()
    scene.remind()
    scene.node.apply_announcement(announcement(2))
    assert scene.known() is Condition.READY


@pytest.mark.parametrize("fields", [{"id": "i-2"}, {"incarnation": 2000}])
def test_next_target_of_the_node_is_ready(scene, fields):
    scene.node.target_leaves()
    scene.restart()
    scene.remind()
    scene.node.apply_announcement(announcement(**fields))
    assert scene.node.local_target.condition is Condition.READY
    assert scene.known() is Condition.READY


# Its new presence had replaced the one that told of the departure.
@pytest.mark.parametrize("is_known_again", [False, True])
def test_node_that_restarts_is_told_of_the_departure_on_its_links(
    is_known_again,
):
    net = FakeNetwork(1)
    nodes = [net.add_gossip_node(name, DATA_CENTRE) for name in "ab"]
    told = []
    nodes[1].mesh.on_own_departure = told.append
    nodes[0].mesh.directory_peers["b"] = Peer(
        node="b", data_centre=DATA_CENTRE, mesh_address="b"
    )
    left = dataclasses.replace(
        new_node().presence_broadcaster.base,
        node="b",
        mesh_address="b",
        sequence=1,
        condition=Condition.LEAVING,
        target="i-1",
        target_incarnation=7,
        target_leaves=True,
    )
    nodes[0].facts.merge(left, 0.0)
    if is_known_again:
        started = dataclasses.replace(
            left, incarnation=99, target="", target_leaves=False
        )
        for node in nodes:
            node.facts.merge(started, 0.0)
    net.run(1.0)
    assert {(p.target, p.target_incarnation) for p in told} == {("i-1", 7)}
