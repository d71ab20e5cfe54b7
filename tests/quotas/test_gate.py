"""An entry node refuses requests beyond the quota of their workspace."""

import dataclasses
import re

import pytest

from fulmarrudder.model import Workspace
from fulmarrudder.quotas import FleetQuotas, QuotaBounds
from fulmarrudder.quotas.gate import QuotaGate
from tests.call.test_walks import Walk, assert_shown, events_of

ACME = Workspace(name="acme", keys=(), requests_per_s=1.0, burst=2.0)
EXACT = QuotaBounds(excess=0.0, slack=0.0)


class Scene:
    """An entry node that is a fleet of its own, and a target of another."""

    def __init__(self, log_lines, workspaces=(ACME,)):
        self.walk = Walk(log_lines)
        self.network, self.entry = self.walk.network, self.walk.entry.entry
        self.quotas = FleetQuotas(
            "n1", "a", self.network.seconds() - 60.0, EXACT
        )
        self.quotas.set_workspaces((), 0.0)
        self.quotas.view.hear("a", 0.0, self.network.seconds())
        self.quotas.set_workspaces(workspaces, self.network.seconds())
        gate = QuotaGate(self.network, self.quotas, self.entry.report.events)
        self.entry.admit, self.entry.refund = gate.admit, gate.refund
        self.entry.identify = self.identify

    def identify(self, routed):
        return dataclasses.replace(routed, workspace=ACME)

    @property
    def tokens(self):
        return self.quotas.buckets["acme"].tokens


@pytest.fixture
def scene(log_lines):
    return Scene(log_lines)


def test_request_beyond_the_quota_gets_429_and_has_not_run(scene):
    scene.quotas.buckets["acme"].tokens = 0.25
    caller = scene.walk.send(b"POST")
    head = caller.received.split(b"\r\n\r\n")[0]
    assert head.startswith(b"HTTP/1.1 429")
    assert b"quota-exceeded" in head
    retry_after_s = float(re.search(rb"retry-after: (\S+)", head)[1])
    assert retry_after_s == pytest.approx(0.75, abs=0.01)
    assert not scene.walk.target.received
    lines = scene.walk.lines()
    assert events_of(lines) == ["quota-exceeded", "call-refused"]
    assert_shown(lines)


def test_request_within_the_quota_takes_a_token(scene):
    before = scene.tokens
    scene.walk.send(b"POST")
    assert scene.walk.target.received
    assert scene.tokens == pytest.approx(before - 1, abs=0.1)


def test_request_that_reaches_no_target_gives_its_token_back(scene):
    before = scene.tokens
    scene.entry.facts.presences_by_service.clear()
    scene.entry.facts.endpoint_cache.clear()
    caller = scene.walk.send(b"POST")
    assert caller.received.startswith(b"HTTP/1.1 503")
    assert scene.tokens == pytest.approx(before, abs=0.1)


def test_caller_that_leaves_before_its_request_is_sent_costs_no_token(scene):
    before = scene.tokens
    scene.entry.start_gate.until = scene.network.seconds() + 2.0
    scene.entry.facts.presences_by_service.clear()
    scene.entry.facts.endpoint_cache.clear()
    scene.walk.send(b"POST").transport.abortConnection()
    scene.network.run(0.1)
    assert not scene.walk.target.received
    assert scene.tokens == pytest.approx(before, abs=0.2)


def test_request_that_may_have_run_keeps_its_token(scene):
    before = scene.tokens
    caller = scene.walk.send(b"POST")
    scene.walk.target.crash()
    scene.network.run(0.2)
    assert caller.received.startswith(b"HTTP/1.1 502")
    assert scene.tokens < before - 0.5


def test_workspace_without_a_limit_is_not_counted(log_lines):
    scene = Scene(log_lines, workspaces=(Workspace(name="acme", keys=()),))
    scene.walk.send(b"POST")
    assert scene.walk.target.received
    assert not scene.quotas.has_limits
