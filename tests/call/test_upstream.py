"""Connections to other nodes and targets, and their exchanges."""

import pytest
from twisted.internet.defer import CancelledError, TimeoutError, ensureDeferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from fulmarrudder.call.errors import ConnectError
from fulmarrudder.call.message import Headers, RequestHead
from fulmarrudder.call.upstream import ConnectionPool
from tests.call.fakes import result_of

GET = RequestHead(method=b"GET", target=b"/", headers=Headers())
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"


class Harness:
    """A pool whose connections are controlled by a test."""

    def __init__(self):
        self.reactor = MemoryReactorClock()
        self.pool = ConnectionPool(self.reactor)
        self.acquiring = ensureDeferred(self.pool.acquire("10.0.0.1:80"))

    def last_factory(self):
        return self.reactor.tcpClients[-1][2]

    def connect(self):
        connection = self.last_factory().buildProtocol(None)
        self.transport = StringTransport()
        self.transport.setTcpNoDelay = lambda enabled: None
        connection.makeConnection(self.transport)
        return connection


@pytest.fixture
def harness():
    return Harness()


def test_refused_connection_raises_connect_error(harness):
    refusal = Failure(ConnectionRefusedError())
    harness.last_factory().clientConnectionFailed(None, refusal)
    with pytest.raises(ConnectError):
        result_of(harness.acquiring)


def test_cancelling_while_a_connection_opens_cancels_the_call(harness):
    """The cancellation was treated as a failure to connect.

    The request was then sent to another target, although its caller had closed
    the connection.
    """
    connector = harness.reactor.connectors[-1]
    harness.acquiring.cancel()
    with pytest.raises(CancelledError):
        result_of(harness.acquiring)
    assert connector.stoppedConnecting


def test_head_is_delivered_after_the_body_that_was_read_with_it(harness):
    connection = harness.connect()
    assert result_of(harness.acquiring) is connection
    exchange = connection.start(GET, None)
    bodies = []
    exchange.head_ready.addCallback(
        lambda _: bodies.append(exchange.take_complete_body())
    )
    connection.dataReceived(ANSWER)
    assert bodies == [b"abc"]
    assert harness.pool.idle["10.0.0.1:80"] == [connection]


def test_incomplete_body_is_streamed(harness):
    connection = harness.connect()
    exchange = connection.start(GET, None)
    connection.dataReceived(ANSWER[:-1])
    assert result_of(exchange.head_ready).length == 3
    assert exchange.take_complete_body() is None


def test_connection_of_an_answer_cancelled_at_its_head_is_closed(harness):
    """An answer to a different request must not leave a reusable connection."""
    connection = harness.connect()
    exchange = connection.start(GET, None)
    exchange.head_ready.addCallback(lambda _: exchange.cancel())
    connection.dataReceived(ANSWER)
    assert harness.transport.disconnected
    assert not harness.pool.idle["10.0.0.1:80"]


def test_exchange_is_cancelled_if_its_head_is_late(harness):
    connection = harness.connect()
    waiting = connection.start(GET, None).wait_for_head(0.5)
    harness.reactor.advance(0.6)
    with pytest.raises(TimeoutError):
        result_of(waiting)
    assert harness.transport.disconnected
