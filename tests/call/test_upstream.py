"""Connections to other nodes and targets, and what they carry."""

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


class Scene:
    """A pool whose connections a test plays."""

    def __init__(self):
        self.reactor = MemoryReactorClock()
        self.pool = ConnectionPool(self.reactor)
        self.taking = ensureDeferred(self.pool.take("10.0.0.1:80"))

    def dial(self):
        return self.reactor.tcpClients[-1][2]

    def connect(self):
        connection = self.dial().buildProtocol(None)
        self.transport = StringTransport()
        self.transport.setTcpNoDelay = lambda enabled: None
        connection.makeConnection(self.transport)
        return connection


@pytest.fixture
def scene():
    return Scene()


def test_connection_that_is_refused_is_told(scene):
    refusal = Failure(ConnectionRefusedError())
    scene.dial().clientConnectionFailed(None, refusal)
    with pytest.raises(ConnectError):
        result_of(scene.taking)


def test_caller_that_leaves_while_a_connection_opens_ends_its_call(scene):
    """Found by reading: it was taken for a connection that failed.

    The request then went on to another target for a caller who had gone.
    """
    connector = scene.reactor.connectors[-1]
    scene.taking.cancel()
    with pytest.raises(CancelledError):
        result_of(scene.taking)
    assert connector.stoppedConnecting


def test_head_is_told_after_the_body_that_came_with_it(scene):
    connection = scene.connect()
    assert result_of(scene.taking) is connection
    exchange = connection.start(GET, None)
    bodies = []
    exchange.head_ready.addCallback(
        lambda _: bodies.append(exchange.take_whole())
    )
    connection.dataReceived(ANSWER)
    assert bodies == [b"abc"]
    assert scene.pool.idle["10.0.0.1:80"] == [connection]


def test_body_that_has_not_come_whole_is_streamed(scene):
    connection = scene.connect()
    exchange = connection.start(GET, None)
    connection.dataReceived(ANSWER[:-1])
    assert result_of(exchange.head_ready).length == 3
    assert exchange.take_whole() is None


def test_answer_that_is_given_up_at_its_head_leaves_no_connection(scene):
    """One that is not to the request it came for spoils its connection."""
    connection = scene.connect()
    exchange = connection.start(GET, None)
    exchange.head_ready.addCallback(lambda _: exchange.cancel())
    connection.dataReceived(ANSWER)
    assert scene.transport.disconnected
    assert not scene.pool.idle["10.0.0.1:80"]


def test_answer_that_does_not_begin_in_time_is_given_up(scene):
    connection = scene.connect()
    waiting = connection.start(GET, None).until(0.5)
    scene.reactor.advance(0.6)
    with pytest.raises(TimeoutError):
        result_of(waiting)
    assert scene.transport.disconnected
