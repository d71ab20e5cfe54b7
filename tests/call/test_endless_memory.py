"""Bytes of a faulty target, without end, take little of a node's memory."""

import tracemalloc

import pytest

from tests.call.byte_harness import ByteHarness
from tests.call.test_endless_answers import ENDLESS_FRAMING, ENDLESS_HEADS
from tests.call.test_endless_bodies import BLOCK, ENDLESS_BODIES, HEAD

FLOOD_BYTES = 4 * 1024 * 1024
# A node has 256 MB, and its target takes up to 110 connections at once.
MOST_BYTES = 256 * 1024 * 1024 // 110
# What the transport of a caller that does not read holds before it stops its
# producer.
UNSENT_BYTES = 65_536
TINY_CHUNKS = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
STREAMS = {
    **ENDLESS_HEADS,
    **ENDLESS_FRAMING,
    **{name: body[:2] for name, body in ENDLESS_BODIES.items()},
    "no HTTP": (b"\x00\x01\x02", bytes(range(256)) * 250),
    "tiny chunks": (TINY_CHUNKS, b"1\r\na\r\n" * 10_000),
    "answers": (b"", (HEAD + b"Content-Length: 3\r\n\r\nabc") * 1000),
    "refusal": (
        b"HTTP/1.1 503 X\r\nX-Id: 1\r\nX-Not-Run: 1\r\n\r\n",
        BLOCK,
    ),
}


def flood(node, transport, stream, *, is_read):
    """Feeds a stream while the node reads; returns the memory that it took."""
    start, block = stream
    tracemalloc.start()
    try:
        node.receive(start)
        fed, target = 0, node.target.transport
        while fed < FLOOD_BYTES and not target.aborted and not target.paused:
            node.receive(block)
            fed += len(block)
            if is_read:
                transport.clear()
            elif len(transport.value()) > UNSENT_BYTES and transport.producer:
                transport.producer.pauseProducing()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


# A node kept all that a faulty target sent until the caller closed, ran out of memory
# and ended with the requests of other callers (a report of another operator).
@pytest.mark.parametrize("stream", STREAMS.values(), ids=STREAMS.keys())
@pytest.mark.parametrize("is_read", [True, False], ids=["read", "unread"])
@pytest.mark.parametrize("method", [b"GET", b"HEAD", b"PUT"])
def test_endless_bytes_of_a_target_do_not_fill_the_memory(
    stream, is_read, method
):
    node = ByteHarness()
    transport = node.call(b"1", method, b"/quotes/1")
    assert flood(node, transport, stream, is_read=is_read) < MOST_BYTES


# The same while the target answers before it has read a body of the caller's.
@pytest.mark.parametrize("stream", STREAMS.values(), ids=STREAMS.keys())
def test_endless_bytes_during_an_upload_do_not_fill_the_memory(stream):
    node = ByteHarness()
    transport = node.send(
        b"PUT /deposits/1 HTTP/1.1\r\nHost: a\r\nX-Id: 1\r\n"
        b"Content-Length: 200000\r\n\r\n" + b"a" * 150_000
    )
    node.open_pending()
    assert flood(node, transport, stream, is_read=False) < MOST_BYTES
