"""Ends of real connections: a reset is told from a close."""

import select
import socket
import struct
import time

import pytest
from twisted.internet.defer import ensureDeferred

from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.message import Framing, Headers, RequestHead
from fulmarrudder.call.upstream import ConnectionPool
from fulmarrudder.reactor import Reactor
from tests.call.fakes import FakeSource
from tests.call.test_host import RecordingSink

GET = RequestHead(method=b"GET", target=b"/", headers=Headers())
ANSWER = b"HTTP/1.1 200 OK\r\n\r\nabc"
# On close: do not linger, which resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
WAIT_S = 5.0


class Loop:
    """A reactor that a test turns by hand, and a target's socket."""

    def __init__(self):
        self.reactor = Reactor()
        self.pool = ConnectionPool(self.reactor)
        self.listener = socket.create_server(("127.0.0.1", 0))

    def turn_until(self, condition):
        end = time.monotonic() + WAIT_S
        while not condition():
            assert time.monotonic() < end, "did not happen in time"
            self.reactor.iterate(0.01)

    def start_exchange(self, head=GET, body=None):
        port = self.listener.getsockname()[1]
        acquiring = ensureDeferred(self.pool.acquire(f"127.0.0.1:{port}"))
        self.turn_until(lambda: acquiring.called)
        exchange = acquiring.result.start(head, body)
        self.target, _ = self.listener.accept()
        # A close with unread bytes is a reset.
        assert self.target.recv(65_536).endswith(b"\r\n\r\n")
        return exchange


@pytest.fixture
def loop():
    loop = Loop()
    yield loop
    loop.target.close()
    loop.listener.close()
    loop.reactor.disconnectAll()
    loop.reactor.iterate(0)


# Guards against the reset of an answer without a length that counts as its end.
@pytest.mark.parametrize("paused", [False, True])
@pytest.mark.parametrize("reset", [False, True])
def test_only_a_close_completes_an_answer_without_a_length(loop, reset, paused):
    exchange = loop.start_exchange()
    loop.target.sendall(ANSWER)
    loop.turn_until(lambda: exchange.head_delivered)
    sink = RecordingSink()
    exchange.stream_to(sink)
    loop.turn_until(lambda: sink.data == b"abc")
    if paused:
        exchange.pauseProducing()
    if reset:
        loop.target.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
    loop.target.close()
    if paused:
        loop.reactor.iterate(0.05)
        exchange.resumeProducing()
    loop.turn_until(lambda: sink.ended or sink.broken)
    assert (sink.ended, sink.broken) == (not reset, reset)


class RacingPoller:
    """Tells the end of a connection as epoll does before its input has ended.

    Attributes:
        poller: The poller whose events are altered.
        ends: How often an end was told.
    """

    def __init__(self, poller):
        self.poller = poller
        self.ends = 0

    def __getattr__(self, name):
        return getattr(self.poller, name)

    def poll(self, timeout, most):
        return [
            (descriptor, self.alter(event))
            for descriptor, event in self.poller.poll(timeout, most)
        ]

    def alter(self, event):
        if event & select.EPOLLERR:
            self.ends += 1
            return select.EPOLLERR
        if event & select.EPOLLHUP:
            self.ends += 1
            return select.EPOLLHUP
        return event


# Guards against a reset whose error is seen before the end of the input: half of an
# answer without a length reached the caller as a complete one.
@pytest.mark.parametrize("is_head_read", [False, True])
def test_error_seen_before_the_end_of_the_input_completes_no_answer(
    loop, is_head_read
):
    exchange = loop.start_exchange()
    loop.target.sendall(ANSWER)
    sink, failures = RecordingSink(), []
    exchange.head_ready.addCallbacks(
        lambda head: exchange.stream_to(sink), failures.append
    )
    if is_head_read:
        loop.turn_until(lambda: sink.data == b"abc")
    else:
        loop.turn_until(lambda: exchange.head is not None)
    loop.reactor._poller = RacingPoller(loop.reactor._poller)
    reset_now(loop.target)
    loop.turn_until(lambda: failures or sink.ended or sink.broken)
    assert loop.reactor._poller.ends == 1
    assert not sink.ended


# Guards against a head without its end that is taken for a whole answer.
@pytest.mark.parametrize("reset", [False, True])
def test_end_in_the_middle_of_a_head_is_a_lost_connection(loop, reset):
    exchange = loop.start_exchange()
    failures = []
    exchange.head_ready.addErrback(failures.append)
    loop.target.sendall(ANSWER[:17])
    loop.reactor.iterate(0.05)
    if reset:
        loop.target.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
    loop.target.close()
    loop.turn_until(lambda: failures)
    assert not exchange.head_delivered


UPLOADS = [
    RequestHead(
        method=b"POST",
        target=b"/",
        headers=Headers(),
        framing=framing,
        length=1_000_000,
    )
    for framing in (Framing.LENGTH, Framing.CHUNKED)
]


def reset_now(target):
    target.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    target.close()


def close_with_unread_bytes(target):
    target.close()


# Guards against an error of the socket that is met by a write: the read after it
# meets an end that looks clean.
@pytest.mark.parametrize("upload", UPLOADS)
@pytest.mark.parametrize("size", [100, 60_000, 200_000])
@pytest.mark.parametrize("end", [reset_now, close_with_unread_bytes])
@pytest.mark.parametrize("is_head_read", [False, True])
def test_reset_while_an_upload_is_written_completes_no_answer(
    loop, upload, size, end, is_head_read
):
    body = RequestBody(FakeSource())
    exchange = loop.start_exchange(upload, body)
    body.receive_part(b"x" * 1_000)
    loop.reactor.iterate(0.01)
    loop.target.sendall(ANSWER + b"a" * 3_000)
    sink, failures = RecordingSink(), []
    exchange.head_ready.addCallbacks(
        lambda head: exchange.stream_to(sink), failures.append
    )
    if is_head_read:
        loop.turn_until(lambda: exchange.head_delivered)
    end(loop.target)
    time.sleep(0.02)
    body.receive_part(b"x" * size)
    loop.turn_until(lambda: failures or sink.ended or sink.broken)
    assert not sink.ended


# Guards against a clean end that counts as none because an upload goes on.
@pytest.mark.parametrize("upload", UPLOADS)
def test_close_while_an_upload_is_written_completes_an_answer(loop, upload):
    body = RequestBody(FakeSource())
    exchange = loop.start_exchange(upload, body)
    loop.target.sendall(ANSWER)
    loop.target.shutdown(socket.SHUT_WR)
    sink = RecordingSink()
    exchange.head_ready.addCallback(lambda head: exchange.stream_to(sink))
    body.receive_part(b"x" * 100)
    loop.turn_until(lambda: sink.ended or sink.broken)
    assert sink.ended
