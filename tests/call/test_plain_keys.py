"""Where idempotency keys mean nothing, their field is one like any other."""

import dataclasses

import pytest
from twisted.internet.defer import Deferred

from fulmarrudder.call.message import PEER_HEADER
from tests.call.byte_harness import (
    HEADER_NAMES,
    ByteHarness,
    RemoteHarness,
    TwoNodes,
    answer,
)
from tests.call.fakes import FakeLog
from tests.call.test_server import head_of

KEY = b"Idempotency-Key: k-1\r\n"
PLAIN_NAMES = dataclasses.replace(HEADER_NAMES, idempotency_key=b"")
WAITS_S = 30.0


class PlainHarness(ByteHarness):
    """A node beside the target, on a platform without keys and without a log."""

    header_names = PLAIN_NAMES

    def __init__(self):
        super().__init__()
        self.host.log = None


class PlainRemoteHarness(PlainHarness, RemoteHarness):
    """An entry node on such a platform."""


class PlainNodes(TwoNodes):
    """Two nodes on such a platform."""

    def __init__(self):
        super().__init__()
        self.entry, self.host = PlainRemoteHarness(), PlainHarness()


def pay(node, request_id, fields):
    """Sends a call that may run once whatever its method, and its field."""
    return node.call(request_id, b"POST", b"/deposits/1", fields)


@pytest.mark.parametrize("fields", [KEY, KEY + KEY, b"Idempotency-Key:\r\n"])
def test_request_runs_at_the_own_target_with_its_field(fields):
    node = PlainHarness()
    transport = pay(node, b"1", fields)
    assert b"idempotency-key:" in node.target.transport.value().lower()
    node.receive(answer(b"1"))
    assert head_of(transport)[0] == 200


def test_request_runs_beside_another_node_with_its_field():
    nodes = PlainNodes()
    transport = pay(nodes.entry, b"1", KEY)
    nodes.pump()
    assert b"idempotency-key: k-1" in nodes.host.target.transport.value()
    nodes.host.receive(answer(b"1"))
    nodes.pump()
    assert head_of(transport)[0] == 200


def test_a_request_that_comes_again_is_the_same_whatever_its_field():
    node = PlainRemoteHarness()
    fingerprints = set()
    for request_id, fields in ((b"1", KEY), (b"2", KEY + KEY), (b"3", b"")):
        pay(node, request_id, fields)
        peer_line = next(
            line
            for line in node.target.transport.value().split(b"\r\n")
            if line.startswith(PEER_HEADER)
        )
        fingerprints.add(peer_line.rpartition(b" ")[2])
    assert len(fingerprints) == 1


class BrokenLog:
    """A log whose client raises."""

    def append(self, stream, bodies):
        raise RuntimeError("append")

    def read(self, stream, *, start, limit, wait_ms):
        raise RuntimeError("read")


class BrokenReads(FakeLog):
    """A log that is written, and whose client raises when it is read."""

    read = BrokenLog.read


class SilentLog(FakeLog):
    """A log that never answers."""

    def append(self, stream, bodies):
        return Deferred()


class SilentReads(FakeLog):
    """A log that is written and never read."""

    def read(self, stream, *, start, limit, wait_ms):
        return Deferred()


# Guards against a claim that is never decided: its request would hold a slot for
# as long as its caller waits.
@pytest.mark.parametrize(
    "log", [None, BrokenLog(), BrokenReads(), SilentLog(), SilentReads()]
)
def test_claim_that_cannot_be_written_refuses_its_request(log):
    node = ByteHarness()
    node.host.log = log
    transport = pay(node, b"1", KEY)
    for _ in range(int(WAITS_S / 0.1)):
        node.clock.advance(0.1)
    status, head, _ = head_of(transport)
    assert status == 503
    assert b"fulmarrudder-ran: no\r\n" in head
    assert b"fulmarrudder-reason: claims-unavailable\r\n" in head
    assert node.host.slots.taken == 0
