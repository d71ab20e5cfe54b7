"""Caller connections: ordering, refusals, reuse and closing."""

import json
import random

import pytest
from twisted.internet.testing import StringTransport

from fulmarrudder.call import (
    ActiveConfig,
    CallFactory,
    EntryPipeline,
    LoadBalancer,
    RouteTable,
    served,
)
from fulmarrudder.call.body import MAX_REPLAY_BYTES
from fulmarrudder.call.buffering import MAX_BUFFERED_BYTES
from fulmarrudder.call.message import (
    BodyEnd,
    BodyPart,
    Framing,
    Headers,
    RequestHead,
    ResponseHead,
)
from fulmarrudder.call.poison import fingerprint_of
from fulmarrudder.call.served import LINGER_S
from fulmarrudder.model import Condition, Presence, Strike
from fulmarrudder.observe import Metrics, Spans
from tests.call.test_host import Harness
from tests.conftest import LogBuilder, publish

TOKEN = b"t" * 16


class Transport(StringTransport):
    """A transport that can be aborted and accepts TCP_NODELAY."""

    def setTcpNoDelay(self, on):  # noqa: N802
        pass

    def abortConnection(self):  # noqa: N802
        self.aborted = True
        self.loseConnection()

    aborted = False


class EntryHarness(Harness):
    """An entry node that is also the host node of the only target.

    Attributes:
        target_node: Host node of the target; n1 is the entry node itself.
        target_address: Call address of the host node.
    """

    target_node = "n1"
    target_address = ""

    def __init__(self, configured=True):
        super().__init__()
        spans, metrics = Spans(self.clock, 1.0), Metrics()
        self.entry = EntryPipeline(
            clock=self.clock,
            pool=self.pool,
            host=self.host,
            node="n1",
            token=TOKEN,
            facts=self.facts,
            balancer=LoadBalancer("lima-1", random.Random(1)),
            rng=random.Random(1),
            spans=spans,
            metrics=metrics,
            header_names=self.header_names,
        )
        self.facts.merge(
            Presence(
                node=self.target_node,
                incarnation=1,
                sequence=1,
                data_centre="lima-1",
                call_address=self.target_address,
                mesh_address="",
                service="caja",
                target_version="1",
                condition=Condition.READY,
                slots=2,
            ),
            0.0,
        )
        if configured:
            builder = LogBuilder()
            builder.append(publish())
            self.entry.active_config = ActiveConfig(
                state=builder.state, table=RouteTable(builder.state.arrangement)
            )
        self.calls = CallFactory(
            clock=self.clock,
            entry=self.entry,
            host=self.host,
            token=TOKEN,
            spans=spans,
            metrics=metrics,
        )

    def connect(self):
        connection = self.calls.buildProtocol(None)
        transport = Transport()
        transport.protocol = connection
        connection.makeConnection(transport)
        return connection, transport

    def send(self, data):
        connection, transport = self.connect()
        connection.dataReceived(data)
        return transport


def get(path=b"/", extra=b"", method=b"GET"):
    return b"%b %b HTTP/1.1\r\nHost: a\r\n%b\r\n" % (method, path, extra)


def head_of(transport):
    head, _, body = transport.value().partition(b"\r\n\r\n")
    return int(head.split()[1]), head.lower(), body


@pytest.fixture
def harness():
    return EntryHarness()


def test_call_is_answered_and_the_connection_stays_open(harness):
    transport = harness.send(get())
    harness.answer(data=b"hello")
    status, head, body = head_of(transport)
    assert (status, body) == (200, b"hello")
    assert b"content-length: 5" in head
    assert not transport.disconnecting


def test_pipelined_requests_are_answered_in_order(harness):
    transport = harness.send(get(b"/a", method=b"PUT") + get(b"/b"))
    assert len(harness.pool.made) == 1
    harness.answer(data=b"first")
    harness.clock.advance(0.1)
    assert len(harness.pool.made) == 2
    harness.answer(data=b"second")
    value = transport.value()
    assert value.index(b"first") < value.index(b"second")


def test_pipelined_reads_run_concurrently_and_are_answered_in_order(harness):
    """Pipelined lookups waited for the earlier ones on their connection.

    The latency of a lookup was 124 ms at its entry node and 289 ms at its
    caller. Seen in a replay of pozarnik-mesh quiet-1.
    """
    transport = harness.send(
        get(b"/a") + get(b"/b") + get(b"/c", method=b"PUT")
    )
    assert len(harness.pool.made) == 2
    harness.answer(1, data=b"second")
    assert not transport.value()
    harness.answer(0, data=b"first")
    harness.clock.advance(0.1)
    value = transport.value()
    assert value.index(b"first") < value.index(b"second")
    assert len(harness.pool.made) == 3
    harness.answer(2, data=b"third")
    assert transport.value().endswith(b"third")
    assert not transport.disconnecting


def test_leaving_node_answers_started_calls_before_it_closes(harness):
    connection, transport = harness.connect()
    connection.dataReceived(get(b"/a") + get(b"/b"))
    harness.calls.leave()
    harness.answer(0, data=b"first")
    assert not transport.disconnecting
    harness.answer(1, data=b"second")
    harness.clock.advance(0.1)
    assert b"first" in transport.value()
    assert b"second" in transport.value()
    assert transport.value().lower().count(b"connection: close") == 1
    assert transport.disconnecting


# A request that had been read was not answered, as the node left between the
# answer before it and its start.
def test_leaving_node_answers_a_queued_request_before_it_closes(harness):
    transport = harness.send(get(b"/a", method=b"PUT") + get(b"/b"))
    harness.answer(data=b"first")
    harness.calls.leave()
    harness.clock.advance(0.1)
    harness.answer(data=b"second")
    assert b"second" in transport.value()
    assert transport.value().lower().count(b"connection: close") == 1
    assert transport.disconnecting


# A request that had been read was not answered, and its caller not told that the
# connection closes: the node left while the answer before it was streamed.
def test_leaving_node_answers_a_request_queued_behind_a_streamed_answer(
    harness,
):
    transport = harness.send(get(b"/a", method=b"PUT") + get(b"/b"))
    exchange = begin_answer(harness, b"h" * (MAX_BUFFERED_BYTES + 1))
    harness.calls.leave()
    exchange.receive(BodyEnd())
    assert not transport.disconnecting
    harness.clock.advance(0.1)
    harness.answer(data=b"second")
    assert b"second" in transport.value()
    assert transport.value().lower().count(b"connection: close") == 1
    assert transport.disconnecting


# A request was cut off in the middle of its head because the node left.
def test_leaving_node_answers_a_request_whose_head_has_begun(harness):
    connection, transport = harness.connect()
    request = get(b"/a")
    connection.dataReceived(request[:20])
    harness.calls.leave()
    assert not transport.disconnecting
    connection.dataReceived(request[20:])
    harness.answer(data=b"whole")
    assert head_of(transport)[0] == 200
    assert b"connection: close" in head_of(transport)[1]
    assert transport.disconnecting


def test_leaving_node_waits_no_longer_than_the_timeout_of_a_head(harness):
    connection, transport = harness.connect()
    connection.dataReceived(get(b"/a")[:20])
    harness.calls.leave()
    harness.clock.advance(harness.calls.limits.header_ms / 1000 + 0.1)
    harness.calls.sweep()
    assert head_of(transport)[0] == 408
    assert transport.disconnecting


def test_lost_caller_frees_all_its_pipelined_calls(harness):
    connection, _ = harness.connect()
    connection.dataReceived(get(b"/a") + get(b"/b"))
    connection.connectionLost(None)
    assert harness.calls.active == 0
    assert harness.host.slots.taken == 0
    assert all(made.transport.aborted for made in harness.pool.made)


def test_malformed_request_is_refused_after_earlier_answers(harness):
    transport = harness.send(get(b"/a") + b"nonsense")
    harness.answer(0, data=b"first")
    harness.clock.advance(0.1)
    value = transport.value()
    assert value.index(b"first") < value.index(b"HTTP/1.1 400")
    assert transport.disconnecting


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (
            get(extra=b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"),
            400,
        ),
        (get(extra=b"X: " + b"a" * 20_000 + b"\r\n"), 431),
        (get(b"/a/../b"), 400),
        (get(extra=b"Upgrade: h2c\r\nConnection: upgrade\r\n"), 501),
        (get(extra=b"fulmarrudder-peer: wrong\r\n"), 403),
    ],
)
def test_invalid_request_is_refused_and_not_run(harness, data, status):
    transport = harness.send(data)
    found, head, body = head_of(transport)
    assert found == status
    assert b"fulmarrudder-ran: no" in head
    assert json.loads(body)["ran"] == "no"
    assert not harness.pool.made


def test_malformed_bytes_close_the_connection(harness):
    transport = harness.send(b"nonsense\r\n\r\n")
    assert b"connection: close" in head_of(transport)[1]
    assert transport.disconnecting


def test_malformed_chunk_aborts_the_call(harness):
    chunked = get(extra=b"Transfer-Encoding: chunked\r\n", method=b"POST")
    connection, transport = harness.connect()
    connection.dataReceived(chunked + b"800\r\n" + b"a" * 2048 + b"\r\n")
    assert len(harness.pool.made) == 1
    connection.dataReceived(b"zz\r\n")
    assert transport.aborted
    assert harness.pool.made[0].transport.aborted
    assert harness.host.slots.taken == 0


def test_node_without_an_arrangement_serves_nothing():
    harness = EntryHarness(configured=False)
    status, head, _ = head_of(harness.send(get()))
    assert status == 503
    assert b"fulmarrudder-reason: no-arrangement-yet" in head
    assert not harness.pool.made


def test_refused_get_keeps_its_connection(harness):
    """Each refusal used to close the connection."""
    harness.host.leaving = True
    connection, transport = harness.connect()
    connection.dataReceived(get())
    assert b"connection: close" not in head_of(transport)[1]
    connection.dataReceived(get())
    assert transport.value().count(b"HTTP/1.1 503") == 2
    assert not transport.disconnecting


def test_unknown_route_is_404_and_not_run(harness):
    builder = LogBuilder()
    harness.entry.active_config = ActiveConfig(
        state=builder.state, table=RouteTable(builder.state.arrangement)
    )
    assert head_of(harness.send(get()))[0] == 404


def test_broken_target_connection_is_answered_with_502(harness):
    transport = harness.send(get())
    harness.pool.made[0].exchange.connection_lost()
    status, head, _ = head_of(transport)
    assert status == 502
    assert b"fulmarrudder-ran: unknown" in head


def begin_answer(harness, data):
    exchange = harness.pool.made[0].exchange
    exchange.receive(
        ResponseHead(
            status=200,
            reason=b"",
            headers=Headers(),
            framing=Framing.CHUNKED,
        )
    )
    exchange.receive(BodyPart(data))
    exchange.deliver_head()
    return exchange


def test_truncated_large_answer_resets_the_connection(harness):
    transport = harness.send(get())
    exchange = begin_answer(harness, b"h" * (MAX_BUFFERED_BYTES + 1))
    assert b"HTTP/1.1 200" in transport.value()
    exchange.connection_lost()
    assert transport.aborted
    assert not transport.value().endswith(b"0\r\n\r\n")


def test_truncated_small_answer_is_not_sent(harness):
    transport = harness.send(get())
    begin_answer(harness, b"half").connection_lost()
    status, head, body = head_of(transport)
    assert status == 502
    assert b"fulmarrudder-ran: unknown" in head
    assert b"half" not in body


def test_early_refusal_lingers_before_it_closes(harness):
    harness.host.leaving = True
    post = get(extra=b"Content-Length: 99999\r\n", method=b"POST")
    transport = harness.send(post + b"a" * 2000)
    status, head, _ = head_of(transport)
    assert status == 503
    assert b"connection: close" in head
    assert not transport.disconnecting
    harness.clock.advance(LINGER_S + 0.1)
    assert transport.disconnecting


def test_lost_caller_frees_its_call(harness):
    connection, transport = harness.connect()
    connection.dataReceived(get())
    connection.connectionLost(None)
    assert harness.pool.made[0].transport.aborted
    assert harness.host.slots.taken == 0
    assert harness.calls.active == 0


def test_leaving_waits_until_the_last_answer_is_sent(harness):
    """The last answer was lost when a node stopped gracefully."""
    connection, transport = harness.connect()
    connection.dataReceived(get())
    closed = []
    harness.calls.leave().addCallback(closed.append)
    harness.answer()
    assert transport.disconnecting
    assert not closed
    connection.connectionLost(None)
    assert closed


def test_expect_continue_is_answered_before_the_body(harness):
    post = get(
        extra=b"Content-Length: 3\r\nExpect: 100-continue\r\n", method=b"POST"
    )
    connection, transport = harness.connect()
    connection.dataReceived(post)
    assert transport.value() == b"HTTP/1.1 100 Continue\r\n\r\n"
    connection.dataReceived(b"abc")
    harness.answer()
    assert transport.value().count(b"HTTP/1.1") == 2


def test_answer_to_head_has_no_body(harness):
    transport = harness.send(get(method=b"HEAD"))
    harness.answer(data=b"")
    status, head, body = head_of(transport)
    assert (status, body) == (200, b"")


def test_refusal_caused_by_the_end_of_the_body_is_sent(harness):
    """A refusal was not sent when the end of the body caused it.

    A poison request, for instance, is refused once its body is complete. Found
    by the process test of requests that crash targets.
    """
    head = RequestHead(method=b"POST", target=b"/deposits", headers=Headers(()))
    fingerprint = fingerprint_of(head, b"bad")
    for crash_id in ("a/1", "b/1"):
        harness.facts.merge(
            Strike(fingerprint=fingerprint, crash_id=crash_id, expires=9e12),
            0.0,
        )
    post = get(b"/deposits", b"Content-Length: 3\r\n", b"POST")
    transport = harness.send(post + b"bad")
    status, head, _ = head_of(transport)
    assert status == 503
    assert b"crashed-targets-before" in head
    assert not harness.pool.made


def test_answer_that_cannot_be_sent_closes_its_connection(harness, monkeypatch):
    """The call stayed without an answer, and its connection open."""

    def fail(*args, **kw):
        raise KeyError("encode")

    monkeypatch.setattr(served, "encode_response", fail)
    transport = harness.send(get())
    harness.answer(data=b"hello")
    assert transport.aborted
    assert not harness.calls.active


def post(size):
    return b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size


# A body that waits when its answer breaks was watched, and kept, for ever.
def test_body_of_an_aborted_answer_is_no_longer_watched(harness):
    connection, _ = harness.connect()
    connection.dataReceived(post(200_000) + b"x")
    call = connection.calls[0]
    call.body.pauseProducing()
    assert call.body in harness.calls.leaving_watch.paused
    call.abort_answer()
    assert not harness.calls.leaving_watch.paused


# The end of the wait for the request before resumed it.
def test_pipelined_body_that_waits_for_a_slot_is_not_read_on(harness):
    harness.announce(slots=1)
    connection, transport = harness.connect()
    connection.dataReceived(get())
    other, _ = harness.connect()
    other.dataReceived(get())
    connection.dataReceived(post(200_000) + b"x" * 3_000)
    connection.dataReceived(b"x" * MAX_REPLAY_BYTES)
    assert transport.producerState == "paused"
    harness.answer()
    harness.clock.advance(0)
    assert connection.calls[0].body.paused
    assert transport.producerState == "paused"
    harness.answer()
    harness.clock.advance(0)
    assert transport.producerState == "producing"
