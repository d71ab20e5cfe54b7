"""An answer counts as a success of its target only once it is complete."""

import pytest

from fulmarrudder.call.buffering import MAX_BUFFERED_BYTES
from fulmarrudder.call.ejection import EJECT_AFTER_FAILURES
from fulmarrudder.call.exchange import BODY_GRACE_S, DEADLINE_MARGIN_S
from tests.call.byte_harness import (
    CLOSED,
    RESET,
    ByteHarness,
    TwoNodes,
    answer,
)
from tests.call.test_endless_bodies import (
    BLOCK,
    BODIES,
    LEFT_S,
    SMALL_BODIES,
    receive_block_after_block,
    send,
)


@pytest.fixture
def node():
    return ByteHarness()


def tally_of(node):
    """Returns the numbers of requests and of failures, as evidence."""
    (tally,) = node.host.tallies.of_service("caja")
    return tally.requests, tally.failures


def start_streaming(node, body):
    """Passes so much of a body that its caller gets the head."""
    node.receive(body[0])
    for _ in range(MAX_BUFFERED_BYTES // len(BLOCK) + 1):
        node.receive(body[1])


# Guards against a version whose bodies never end, and which is not rolled back.
@BODIES
def test_body_without_end_counts_as_a_failure_of_its_version(node, body):
    send(node)
    start_streaming(node, body)
    receive_block_after_block(node, body[1], LEFT_S + BODY_GRACE_S)
    node.lose(RESET)
    assert tally_of(node) == (1, 1)


# Guards against the same, where the caller waits for a body that stays small.
@SMALL_BODIES
def test_small_body_without_end_counts_as_a_failure_of_its_version(node, body):
    send(node)
    node.receive(body[0])
    receive_block_after_block(node, body[2], LEFT_S)
    node.lose(RESET)
    assert tally_of(node) == (1, 1)


# Guards against the same behind a hop, whose node gives up a little earlier.
@SMALL_BODIES
def test_small_body_without_end_counts_as_a_failure_behind_a_hop(body):
    nodes = TwoNodes()
    nodes.entry.deposit(b"1", b"fulmarrudder-timeout-ms: 900\r\n")
    nodes.pump()
    nodes.host.receive(body[0])
    nodes.pump()
    nodes.host.run(LEFT_S - DEADLINE_MARGIN_S / 2)
    nodes.entry.run(LEFT_S)
    assert nodes.entry.target.transport.aborted
    _, far, _ = nodes.hops[0]
    far.connectionLost(RESET)
    assert tally_of(nodes.host) == (1, 1)


# Guards against a version whose answers are cut, and which is not rolled back.
@BODIES
def test_body_that_is_reset_counts_as_a_failure_of_its_version(node, body):
    send(node)
    start_streaming(node, body)
    node.lose(RESET)
    assert tally_of(node) == (1, 1)


def test_small_body_that_is_cut_counts_as_a_failure_of_its_version(node):
    node.deposit(b"1")
    node.receive(answer(b"1")[:-1])
    node.lose(CLOSED)
    assert tally_of(node) == (1, 1)


# Guards against a target that is blamed for a caller who does not read.
@BODIES
def test_body_that_its_caller_does_not_read_is_no_failure(node, body):
    transport = send(node)
    start_streaming(node, body)
    transport.producer.pauseProducing()
    node.run(LEFT_S + BODY_GRACE_S)
    node.lose(RESET)
    assert transport.aborted
    assert tally_of(node) == (1, 0)


# Guards against a target that is blamed for a caller who has left.
@BODIES
def test_body_whose_caller_leaves_is_no_failure(node, body):
    transport = send(node)
    start_streaming(node, body)
    node.run(0.1)
    transport.protocol.connectionLost(RESET)
    assert node.target.transport.aborted
    assert tally_of(node) == (1, 0)


def test_complete_answer_is_no_failure(node):
    node.deposit(b"1")
    node.receive(answer(b"1", b"a" * 2 * MAX_BUFFERED_BYTES))
    assert tally_of(node) == (1, 0)


def stats_of(node):
    """Returns what the balancer holds of the only endpoint."""
    (stats,) = node.entry.balancer.endpoint_stats.values()
    return stats


# Guards against an endpoint that keeps its traffic although it cuts every body.
@BODIES
def test_endpoint_that_cuts_its_bodies_is_ejected(node, body):
    for _ in range(EJECT_AFTER_FAILURES):
        send(node)
        start_streaming(node, body)
        node.lose(RESET)
    assert stats_of(node).ejected_until > node.clock.seconds()
    assert stats_of(node).outstanding == 0


# Guards against the same where the endpoint is beside another node.
@BODIES
def test_endpoint_that_cuts_its_bodies_is_ejected_behind_a_hop(body):
    nodes = TwoNodes()
    for _ in range(EJECT_AFTER_FAILURES):
        send(nodes.entry)
        nodes.pump()
        start_streaming(nodes.host, body)
        nodes.pump()
        nodes.host.lose(RESET)
        nodes.pump()
    stats = stats_of(nodes.entry)
    assert stats.ejected_until > nodes.entry.clock.seconds()
    assert stats.outstanding == 0


@BODIES
def test_endpoint_is_not_blamed_for_a_caller_who_leaves(node, body):
    for _ in range(EJECT_AFTER_FAILURES):
        transport = send(node)
        start_streaming(node, body)
        transport.protocol.connectionLost(RESET)
    assert not stats_of(node).failure_rate
    assert not stats_of(node).ejected_until
