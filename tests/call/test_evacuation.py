"""Callers are served on while a data centre is being emptied."""

import dataclasses

import pytest

from fulmarrudder.model import Evacuation
from tests.call.network import MeshNode, Target
from tests.call.test_walks import REQUEST_ID, Walk

EMPTIED = Evacuation(data_centre="lima-1", offset=5, in_force=True)


@pytest.fixture
def walk(log_lines):
    return Walk(log_lines)


def evacuate(node):
    node.host.data_centre = "lima-1"
    node.facts.merge(EMPTIED, 0.0)
    node.host.apply_evacuation()


def add_elsewhere(walk):
    """Adds a target in another data centre."""
    node = MeshNode(walk.network, "n3", 4, "caja")
    target = walk.network.listeners[5] = Target()
    node.announce(5)
    walk.entry.facts.merge(
        dataclasses.replace(node.presence, data_centre="lima-2"), 0.0
    )
    return target


def test_service_without_other_targets_is_refused_at_once(walk):
    walk.entry.facts.merge(EMPTIED, 0.0)
    caller = walk.send(b"POST")
    head = caller.received.split(b"\r\n\r\n")[0]
    assert head.startswith(b"HTTP/1.1 503")
    assert b"retry-after: " in head
    assert not walk.target.received


# The node beside the target knows first: what is on its way must not be lost, also if
# it may not run twice.
@pytest.mark.parametrize("method", [b"GET", b"POST"])
def test_request_under_way_to_an_evacuated_target_goes_elsewhere(walk, method):
    evacuate(walk.host)
    other = add_elsewhere(walk)
    caller = walk.send(method)
    other.answer(REQUEST_ID)
    walk.network.run(0.01)
    assert caller.received.startswith(b"HTTP/1.1 200")
    assert "reason=evacuated" in " ".join(walk.lines())
    assert not walk.target.received
    assert not walk.entry.entry.balancer.is_ejected(
        walk.host.presence, walk.network.seconds()
    )
