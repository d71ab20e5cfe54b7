"""One budget for the connections of a node: which of them has to go."""

import math

import pytest

from fulmarrudder.call import server
from fulmarrudder.call.budget import Budget, BudgetLimits, limits_of_machine
from tests.call.test_server import EntryHarness, Transport, get, head_of

MEGABYTE = 1_000_000


@pytest.mark.parametrize(
    ("memory", "descriptors", "limits"),
    [
        (200 * MEGABYTE, 4_100, (50 * MEGABYTE, 1_560)),
        (math.inf, math.inf, (math.inf, math.inf)),
        (200 * MEGABYTE, 100, (50 * MEGABYTE, 1)),
    ],
)
def test_limits_follow_from_the_machine(memory, descriptors, limits):
    found = limits_of_machine(memory, descriptors)
    assert (found.memory_bytes, found.connections) == limits


def test_the_largest_goes_only_beyond_the_budget():
    budget = Budget(BudgetLimits(memory_bytes=100))
    budget.charge("a", 30)
    budget.charge("b", 60)
    assert budget.is_high
    assert budget.largest() is None
    budget.charge("a", 50)
    assert budget.largest() == "b"
    budget.release("b")
    assert (budget.total, budget.largest()) == (50, None)


# Load: many heads that are never finished, beside ordinary callers.
def test_the_connection_that_holds_most_is_closed_and_others_are_served():
    harness = EntryHarness()
    harness.calls.budget.limits = BudgetLimits(memory_bytes=70_000)
    ordinary = harness.send(get())
    connections = [harness.connect() for _ in range(4)]
    for number, (connection, _) in enumerate(connections):
        connection.dataReceived(get()[:-2] + b"a:\r\n" * 1_000 * (number + 1))
    assert [t.aborted for _, t in connections] == [False, False, False, True]
    harness.answer(data=b"hello")
    assert head_of(ordinary)[0] == 200


# Load: clients that only open connections.
def test_the_connection_unused_for_longest_makes_room():
    harness = EntryHarness()
    harness.calls.budget.limits = BudgetLimits(connections=3)
    busy = harness.send(get())
    transports = []
    for _ in range(4):
        harness.clock.advance(0.1)
        transports.append(harness.connect()[1])
        for transport in transports:
            if transport.aborted:
                transport.protocol.connectionLost(None)
    assert [t.aborted for t in transports] == [True, True, False, False]
    harness.answer(data=b"hello")
    assert head_of(busy)[0] == 200


class Unread(Transport):
    """A transport whose peer reads nothing until `read`."""

    offset = 0
    dataBuffer = b""  # noqa: N815
    _tempDataBuffer = ()  # noqa: N815
    _tempDataLen = 0  # noqa: N815

    def writeSomeData(self, data):  # noqa: N802
        return 0

    def write(self, data):
        super().write(data)
        self.dataBuffer += data

    def read(self, size):
        self.dataBuffer = self.dataBuffer[size:]
        if not self.dataBuffer and self.producer is not None:
            self.producer.resumeProducing()


@pytest.fixture
def unread():
    """Returns a harness and a client with two answers that it didn't read."""
    harness = EntryHarness()
    connection, transport = harness.calls.buildProtocol(None), Unread()
    connection.makeConnection(transport)
    for _ in range(2):
        connection.dataReceived(get())
        harness.answer(data=b"a" * 40_000)
    connection.dataReceived(get())
    assert len(harness.pool.made) == 2
    return harness, connection, transport


# Load: clients that send requests and read no answers.
def test_no_request_starts_behind_answers_that_are_not_read(unread):
    harness, connection, transport = unread
    transport.read(len(transport.dataBuffer))
    harness.clock.advance(0)
    assert len(harness.pool.made) == 3
    assert transport.producer is None


def test_a_request_that_comes_once_some_was_read_starts(unread):
    harness, connection, transport = unread
    transport.read(30_000)
    connection.dataReceived(get())
    assert len(harness.pool.made) == 4
    assert transport.producer is None


def test_a_client_that_reads_nothing_is_closed(unread):
    harness, connection, transport = unread
    harness.clock.advance(harness.calls.limits.idle_ms / 1000 + 1)
    harness.calls.sweep()
    assert transport.aborted


# Load: very many short requests at once, each answered at once.
def test_requests_of_one_connection_start_over_several_turns():
    harness = EntryHarness()
    connection, transport = harness.connect()
    turns, pump = [], connection.pump

    def count_answers():
        pump()
        turns.append(transport.value().count(b"HTTP/1.1 400"))

    connection.pump = count_answers
    connection.dataReceived(get(b"/./") * 10 * server.MAX_STARTS)
    harness.clock.advance(0)
    starts = [server.MAX_STARTS * turn for turn in range(1, 11)]
    assert sorted(set(turns)) == starts


def test_requests_behind_one_in_progress_stay_bytes():
    harness = EntryHarness()
    connection, transport = harness.connect()
    connection.dataReceived(get(method=b"PUT") + get() * 2_000)
    assert transport.producerState == "paused"
    decoded = sum(1 for _ in connection.events)
    assert decoded <= 3 * server.HEAD_SLICE_BYTES / len(get())
    harness.answer(data=b"hello")
    harness.clock.advance(0)
    assert len(connection.calls) == server.MAX_OVERLAPPING_REQUESTS
