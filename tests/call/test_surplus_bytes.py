"""Bytes of a target that belong to no request."""

import gc

import pytest

from tests.call.byte_harness import ByteHarness, answer, turned_away
from tests.call.test_server import head_of

SURPLUS = [
    b"\r\n",
    b"HTTP",
    b"HTTP/1.1 200 OK\r\nX-Id: 2\r\nX-Seal: s\r\n",
    b"HTTP/1.1 102 Processing\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"nonsense",
    answer(b"2"),
    turned_away(b"1"),
]


@pytest.fixture
def node():
    return ByteHarness()


# Guards against an answer that begins with bytes from before its request.
@pytest.mark.parametrize("data", SURPLUS)
def test_idle_connection_that_receives_bytes_is_not_used_again(node, data):
    node.call(b"1")
    node.receive(answer(b"1"))
    first = node.target
    node.receive(data)
    assert first.transport.aborted
    node.call(b"2")
    assert node.target is not first


# Guards against bytes behind an answer that become the start of the next one.
@pytest.mark.parametrize("data", SURPLUS[1:])
def test_connection_with_bytes_behind_an_answer_is_not_used_again(node, data):
    transport = node.call(b"1")
    first = node.target
    node.receive(answer(b"1") + data)
    assert head_of(transport)[2] == b"abc"
    assert first.transport.disconnecting
    node.call(b"2")
    assert node.target is not first


# Guards against the loss of a complete answer because of bytes behind it.
@pytest.mark.parametrize("fields", [b"", b"Connection: close\r\n"])
def test_complete_answer_is_passed_on_despite_bytes_behind_it(node, fields):
    transport = node.deposit(b"1")
    node.receive(answer(b"1", fields=fields) + b"nonsense")
    status, _, body = head_of(transport)
    assert (status, body) == (200, b"abc")
    assert node.target.transport.disconnecting
    assert node.host.slots.taken == 0


# Guards against bytes without end on a connection that serves no request.
def test_idle_connection_is_closed_at_its_first_bytes(node, caplog):
    # Calls that earlier tests left pending log their end when they are collected.
    gc.collect()
    caplog.clear()
    caplog.set_level("INFO", "fulmarrudder")
    node.call(b"1")
    node.receive(answer(b"1"))
    for _ in range(3):
        node.receive(b"\r\n" * 8_192)
    assert node.target.transport.aborted
    assert not node.pool.idle[node.target.address]
    logged = [record.msg["message"] for record in caplog.records]
    assert logged == ["connection-dropped"]
