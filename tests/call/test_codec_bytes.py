"""Any bytes decode alike however they are cut, or fail with a status."""

import gc

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarrudder.call.codec import (
    HEADER_BYTES_LIMIT,
    HOP_BYTES_LIMIT,
    RequestDecoder,
    ResponseDecoder,
)
from fulmarrudder.call.errors import ProtocolError
from fulmarrudder.call.message import BodyPart, RequestHead, ResponseHead
from tests.call.test_server import EntryHarness

PIECES = (
    b"GET / HTTP/1.1\r\nHost: a\r\n",
    b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n",
    b"POST /x HTTP/1.0\r\nContent-Length: 3\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 000 \r\n\r\n",
    b"HTTP/1.1 200 OK\r\n",
    b"a:\r\n" * 70,
    b"a: b\r\n",
    b"\r\n",
    b"abc",
    b"2\r\nab\r\n",
    b"1;x=y\r\na\r\n",
    b"0\r\n",
)
DATA = st.lists(
    st.one_of(st.sampled_from(PIECES), st.binary(max_size=8)), max_size=12
).map(b"".join)


def decode(kind, parts):
    """Returns what parts decode to, and the status of their error."""
    decoder, events = kind(), []
    if kind is ResponseDecoder:
        decoder.expected = 100
    for part in parts:
        try:
            events += decoder.feed(part)
        except ProtocolError as error:
            events += decoder.take_events()
            return joined(events), error.status
    return joined(events), None


def joined(events):
    """Joins the parts of a body that follow each other."""
    kept = []
    for event in events:
        if kept and isinstance(event, BodyPart):
            if isinstance(kept[-1], BodyPart):
                kept[-1] = BodyPart(kept[-1].data + event.data)
                continue
        kept.append(event)
    return kept


@pytest.mark.parametrize("kind", [RequestDecoder, ResponseDecoder])
@settings(derandomize=True, max_examples=300, deadline=None)
@given(data=DATA, size=st.integers(1, 40))
def test_any_bytes_decode_alike_however_they_are_cut(kind, data, size):
    parts = [data[at : at + size] for at in range(0, len(data), size)]
    events, status = decode(kind, [data])
    assert decode(kind, parts) == (events, status)
    assert status is None or 400 <= status <= 502


# What is kept of a message stays in proportion to its bytes.
@pytest.mark.parametrize("line", [b"a:\r\n", b"%d:\r\n", b"te: a\r\n"])
@pytest.mark.parametrize(
    ("kind", "start"),
    [
        (RequestDecoder, b"GET / HTTP/1.1\r\nHost: a\r\n"),
        (ResponseDecoder, b"HTTP/1.1 200 OK\r\n"),
    ],
)
def test_endless_lines_are_kept_up_to_the_limit(kind, start, line):
    decoder, taken = kind(), 0
    with pytest.raises(ProtocolError) as caught:
        decoder.feed(start)
        while taken < 10 * HEADER_BYTES_LIMIT:
            part = line % taken if b"%" in line else line
            taken += len(part)
            decoder.feed(part)
    assert caught.value.status == 431
    assert taken <= HEADER_BYTES_LIMIT + HOP_BYTES_LIMIT
    assert len(decoder.block) <= HEADER_BYTES_LIMIT + HOP_BYTES_LIMIT


# Guards against refused heads that stay until the garbage collector runs.
@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 5_000,
        b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 500 + b"\0\r\n",
    ],
)
def test_a_refused_head_is_freed_at_once(data):
    gc.collect()
    before = sum(isinstance(o, ProtocolError) for o in gc.get_objects())
    gc.disable()
    try:
        transport = EntryHarness().send(data)
        after = sum(isinstance(o, ProtocolError) for o in gc.get_objects())
    finally:
        gc.enable()
    assert transport.value().startswith(b"HTTP/1.1 4")
    assert after == before


def test_heads_of_both_kinds_are_found():
    found = [
        type(event)
        for kind in (RequestDecoder, ResponseDecoder)
        for piece in PIECES
        for event in decode(kind, [piece + b"\r\n"])[0]
    ]
    assert {RequestHead, ResponseHead} <= set(found)
