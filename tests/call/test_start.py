"""Requests that come while a node starts wait for what the node is about to know."""

import math

import pytest
from twisted.internet.defer import CancelledError, ensureDeferred
from twisted.internet.task import Clock

from fulmarrudder.call import ActiveConfig
from fulmarrudder.call.start import HOLD_LIMIT_S, START_S, StartGate
from tests.call.test_walks import REQUEST_ID, Walk


class Scene:
    """An entry node that has just started, and a target of another node."""

    def __init__(self, log_lines):
        self.walk = Walk(log_lines)
        self.network, self.entry = self.walk.network, self.walk.entry.entry
        self.config = self.entry.active_config
        self.entry.start_gate.until = self.network.seconds() + START_S

    def forget(self, *, config=False, targets=False):
        if config:
            self.entry.active_config = ActiveConfig()
        if targets:
            self.entry.facts.presences_by_service.clear()
            self.entry.facts.endpoint_cache.clear()
            self.entry.facts.facts.clear()

    def learn(self):
        self.entry.active_config = self.config
        self.entry.facts.merge(self.walk.host.presence, 0.0)
        self.entry.start_gate.notify()
        self.network.run(0.01)


@pytest.fixture
def scene(log_lines):
    return Scene(log_lines)


# In the second after all machines had lost power, 540 requests were refused as their
# nodes had no configuration yet, and 160 as no target was known yet; both were there
# 0.3 s later, and the callers had used up their tries (esfera-lima-large trouble-1).
@pytest.mark.parametrize(
    "unknown",
    [{"config": True}, {"targets": True}, {"config": True, "targets": True}],
)
def test_request_that_comes_while_a_node_starts_is_served(scene, unknown):
    scene.forget(**unknown)
    caller = scene.walk.send(b"GET")
    scene.network.advance(0.3)
    scene.network.run(0.01)
    assert not caller.received
    scene.learn()
    scene.walk.target.answer(REQUEST_ID)
    scene.network.run(0.01)
    assert caller.received.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("unknown", [{"config": True}, {"targets": True}])
def test_request_is_refused_soon_if_the_node_learns_nothing(scene, unknown):
    scene.forget(**unknown)
    caller = scene.walk.send(b"GET")
    scene.network.advance(HOLD_LIMIT_S)
    scene.network.run(0.01)
    assert caller.received.startswith(b"HTTP/1.1 503")


# A node that has run for a while knows that it cannot serve the request.
@pytest.mark.parametrize("unknown", [{"config": True}, {"targets": True}])
def test_request_is_refused_at_once_after_the_start(scene, unknown):
    scene.forget(**unknown)
    scene.network.advance(START_S)
    caller = scene.walk.send(b"GET")
    assert caller.received.startswith(b"HTTP/1.1 503")


def test_caller_that_leaves_while_it_is_held_leaves_nothing_behind(scene):
    scene.forget(config=True)
    caller = scene.walk.send(b"GET")
    caller.transport.loseConnection()
    scene.network.run(0.01)
    scene.learn()
    assert not scene.walk.target.received


def test_requests_that_were_held_in_vain_leave_nothing_behind():
    clock = Clock()
    gate = StartGate(clock, until=math.inf)
    held = [ensureDeferred(gate.hold(lambda: False)) for _ in range(2)]
    held[0].addErrback(lambda failure: failure.trap(CancelledError))
    held[0].cancel()
    clock.advance(HOLD_LIMIT_S)
    assert held[1].called
    assert not gate.waiting
