"""Pages are served over HTTP, by method, and a fault costs one answer."""

import pytest
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.logger import globalLogPublisher
from twisted.python.failure import Failure

from fulmarrudder.pages import MAX_CONNECTIONS, Page, PageFactory
from fulmarrudder.site import BoundedSite

LIMIT = 1_000
BLOCK = b"a" * 300


class Transport(StringTransport):
    """A transport that takes any option."""

    def setTcpNoDelay(self, on):  # noqa: N802
        pass


class EchoPage(Page):
    """Answers with the body of the request."""

    allowed = b"POST"
    content_type = b"application/json"

    def render_POST(self, request):  # noqa: N802
        return request.content.read()


class StatePage(Page):
    """Tells that it is not ready, or fails."""

    broken = False

    def render_GET(self, request):  # noqa: N802
        if self.broken:
            raise KeyError("state")
        request.setResponseCode(503)
        return b"not ready\n"


def connect(page):
    factory = PageFactory(page, LIMIT)
    factory.timeOut = None
    channel = factory.buildProtocol(None)
    transport = Transport(lenient=True)
    channel.makeConnection(transport)
    return channel, transport


def ask(page, head, body=b""):
    """Returns the status, the fields and the body of an answer."""
    channel, transport = connect(page)
    channel.dataReceived(head + b"\r\nHost: a\r\n")
    channel.dataReceived(b"Content-Length: %d\r\n\r\n" % len(body) + body)
    head, _, answer = transport.value().partition(b"\r\n\r\n")
    status, *lines = head.split(b"\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(b": ")
        fields[name.lower()] = value
    return int(status.split()[1]), fields, answer


def test_a_page_is_served():
    status, fields, body = ask(EchoPage(), b"POST /any/path HTTP/1.1", b"{}")
    assert (status, body) == (200, b"{}")
    assert fields[b"content-length"] == b"2"
    assert fields[b"content-type"] == b"application/json"
    assert b"date" in fields


def test_head_is_answered_without_the_body():
    status, fields, body = ask(StatePage(), b"HEAD / HTTP/1.1")
    assert (status, body) == (503, b"")
    assert fields[b"content-length"] == b"10"


@pytest.mark.parametrize("method", [b"GET", b"PUT", b"HEAD", b"__class__"])
def test_a_method_that_the_page_does_not_serve_is_refused(method):
    status, fields, _ = ask(EchoPage(), method + b" / HTTP/1.1")
    assert status == 405
    assert fields[b"allow"] == b"POST"


def test_a_connection_serves_several_requests():
    channel, transport = connect(EchoPage())
    for number in range(3):
        channel.dataReceived(
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n%d"
            % number
        )
    assert transport.value().count(b"HTTP/1.1 200 OK") == 3
    assert not transport.disconnecting


def test_a_fault_costs_one_answer_and_is_reported():
    page = StatePage()
    page.broken = True
    failures = []

    def observe(event):
        if "log_failure" in event:
            failures.append(event["log_failure"].type)

    globalLogPublisher.addObserver(observe)
    try:
        status, _, _ = ask(page, b"GET / HTTP/1.1")
    finally:
        globalLogPublisher.removeObserver(observe)
    assert status == 500
    assert failures == [KeyError]
    page.broken = False
    assert ask(page, b"GET / HTTP/1.1")[0] == 503


# Guards against the body of a request that fills the disk of a node.
@pytest.mark.parametrize(
    ("framing", "block"),
    [
        (b"Content-Length: 9999999\r\n\r\n", BLOCK),
        (
            b"Transfer-Encoding: chunked\r\n\r\n",
            b"%x\r\n%b\r\n" % (len(BLOCK), BLOCK),
        ),
    ],
)
def test_request_body_without_end_is_cut_off(framing, block, caplog):
    channel, transport = connect(EchoPage())
    channel.dataReceived(b"POST / HTTP/1.1\r\nHost: a\r\n" + framing)
    taken = 0
    while not transport.disconnected and taken < 10 * LIMIT:
        channel.dataReceived(block)
        taken += len(BLOCK)
    assert taken <= LIMIT + len(BLOCK)
    logged = [record.msg["message"] for record in caplog.records]
    assert logged == ["request-too-large"]


# Load: clients that only open connections.
def test_the_oldest_connection_makes_room():
    factory = PageFactory(EchoPage(), LIMIT)
    factory.timeOut = None
    transports = []
    for _ in range(MAX_CONNECTIONS + 2):
        channel = factory.buildProtocol(None)
        transports.append(Transport(lenient=True))
        channel.makeConnection(transports[-1])
    closed = [transport.disconnected for transport in transports]
    assert closed == [True, True] + [False] * MAX_CONNECTIONS
    channel.connectionLost(Failure(ConnectionDone()))
    assert len(factory.channels) == MAX_CONNECTIONS - 1


# Twisted's factories tell the time each second for an access log, and write a
# line of it for each request, though nobody reads it.
@pytest.mark.parametrize(
    "factory",
    [PageFactory(StatePage(), LIMIT), BoundedSite(None, LIMIT)],
)
def test_a_server_without_requests_does_not_wake_the_node(factory):
    factory.reactor = MemoryReactorClock()
    factory.doStart()
    assert factory.reactor.getDelayedCalls() == []
    factory.doStop()


def test_no_line_is_written_for_a_request():
    events = []
    page = StatePage()
    factory = PageFactory(page, LIMIT)
    factory.doStart()
    channel = factory.buildProtocol(None)
    channel.callLater = MemoryReactorClock().callLater
    channel.makeConnection(Transport(lenient=True))
    globalLogPublisher.addObserver(events.append)
    try:
        channel.dataReceived(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    finally:
        globalLogPublisher.removeObserver(events.append)
    factory.doStop()
    assert events == []
